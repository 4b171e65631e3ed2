"""An instance is stopped with SIGTERM while a caller slowly reads an answer that its backend server has given.

The request must not be repeated. The caller reads all the time, and would have the whole answer before its deadline, before the timeout of the route and
before the end of the grace period. The case is broken if the connection ends before the answer is complete.
"""
import asyncio
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from support3 import BROKEN, HELD, HOST, PORTS, TROUBLE, Deployment, run_case  # noqa: E402
import standins  # noqa: E402

# As large as the pages let the body of a request be (maxBodyBytes).
ANSWER_BYTES = 262_144
READ_BYTES_PER_S = 48_000
# Of the caller's socket, so that the kernel does not read in the caller's place.
RECEIVE_BUFFER_BYTES = 8_192
DEADLINE_MS = 6_000
GRACE_S = 6.0
TERM_AFTER_S = 0.2
CALLERS = 3
RECORDS = standins.RECORD_BYTES


def large_records(service, attempt, count):
    """Replaces the records of the stand-ins for the backend servers of the service `archive`."""
    if service != "archive":
        return small_records(service, attempt, count)
    return small_records(service, attempt, 1) * (ANSWER_BYTES // RECORDS)


small_records = standins.records
standins.records = large_records


async def read_slowly(ip, number, record):
    """Sends one request and reads its answer at a steady rate. Returns True if the answer was complete."""
    attempt = f"reader{number}"
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    begin = time.monotonic()
    received, end = b"", "closed"
    try:
        await loop.sock_connect(connection, (ip, PORTS["entry"]))
        await loop.sock_sendall(connection, (f"POST /ticket/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}"
                                             f"\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nwork"
                                             ).encode())
        expected = None
        while expected is None or len(received) < expected:
            allowed = int((time.monotonic() - begin) * READ_BYTES_PER_S) - len(received)
            if allowed < 1024:
                await asyncio.sleep(0.02)
                continue
            data = await asyncio.wait_for(loop.sock_recv(connection, allowed), 8.0)
            if not data:
                break
            received += data
            if expected is None and b"\r\n\r\n" in received:
                head, _ = received.split(b"\r\n\r\n", 1)
                fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
                expected = len(head) + 4 + int(fields[b"content-length"])
                record(f"{attempt} at {ip}: the answer begins with {head.split(chr(13).encode())[0].decode()}, "
                       f"stamp {fields.get(b'x-server-stamp', b'none').decode()}, {expected} bytes in all")
    except (OSError, asyncio.TimeoutError) as failure:
        expected, end = expected or 0, type(failure).__name__
    finally:
        connection.close()
    complete = bool(expected) and len(received) == expected
    record(f"{attempt} at {ip}: {'complete' if complete else 'connection ' + end} after {time.monotonic() - begin:.2f} s "
           f"with {len(received)} bytes")
    return complete


async def play(fleet, record):
    await asyncio.sleep(2.0)
    stopped = fleet.ips[0]
    readers = [asyncio.create_task(read_slowly(stopped, i, record)) for i in range(CALLERS)]
    await asyncio.sleep(TERM_AFTER_S)
    if TROUBLE:
        fleet.expected_exits.add(stopped)
        fleet.signal(stopped, signal.SIGTERM)
        record(f"SIGTERM to {stopped}")
        process, term = fleet.processes[stopped], time.monotonic()
        while process.poll() is None and time.monotonic() - term < GRACE_S:
            await asyncio.sleep(0.02)
        record(f"{stopped} {'still runs' if process.poll() is None else 'has exited'} {time.monotonic() - term:.2f} s "
               f"after SIGTERM; the grace period is {GRACE_S} s")
    complete = await asyncio.gather(*readers)
    executed = [(e["attempt"], e["server"]) for e in fleet.backend_events if e["event"] == "executed"]
    record(f"run by backend servers: {sorted(executed)}")
    record(f"{sum(complete)} of {CALLERS} answers complete")
    return HELD if all(complete) else BROKEN


run_case(__file__, Deployment("review", shards=10, unsharded_servers=19, instances=9, slots=3), play)
