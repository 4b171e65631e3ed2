"""Sends requests on kept connections for five minutes. No case: it takes longer than the limit of 120 s.

Exits with 1 if a request of a non-idempotent route was answered 408 although a backend ran it.
"""
import asyncio
import os
import random
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import HOST, ZONES, Backend, Connection, Fleet, Record, finish  # noqa: E402

SECONDS = 310.0
CONNECTIONS = 12
DEADLINE_MS = 5000


async def send_requests(fleet, number, end, results):
    connection, sent = await Connection.open(fleet.address(fleet.ips[number % len(fleet.ips)], "front")), 0
    begin = time.monotonic()
    while time.monotonic() < end:
        attempt = f"{number:02x}{sent:04x}{random.getrandbits(24):06x}"
        sent += 1
        head = (f"POST /post/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 3\r\n\r\n")
        try:
            outcome = (await connection.exchange(head.encode() + b"abc", DEADLINE_MS / 1000 + 1))[0]
        except OSError:
            outcome = "cut"
        results.append((attempt, outcome, time.monotonic() - begin))
        if outcome != 200:
            return
        await asyncio.sleep(0.05)


async def run(fleet, record, runs, results):
    await fleet.store.start()
    for i in range(12):
        backend = Backend(f"i-{i:04x}", "archive", ZONES[i % 3], fleet.backend_host(), lambda: 1.0, runs, record)
        await backend.start()
        await fleet.store.put("servers/" + backend.id, backend.entry())
    await fleet.put_config([{"name": "post", "prefix": "/post/", "hostname": HOST, "routeKind": "non_idempotent",
                             "timeoutMs": 5000, "targetLatencyMs": 800, "priority": 2, "maxAttempts": 2,
                             "service": "archive"}], ["archive"])
    for ip in fleet.ips:
        fleet.start(ip)
    await fleet.wait_ready(fleet.ips)
    end = time.monotonic() + SECONDS
    await asyncio.gather(*(send_requests(fleet, i, end, results) for i in range(CONNECTIONS)))
    await asyncio.sleep(2.0)


def main():
    runs, results = [], []
    with tempfile.TemporaryDirectory() as directory:
        record = Record(os.path.join(directory, "record.txt"))
        fleet = Fleet(directory, record, 3)
        try:
            asyncio.run(run(fleet, record, runs, results))
        finally:
            fleet.stop()
    ran = {attempt for _, attempt, _ in runs}
    bad = [result for result in results if result[1] != 200]
    for attempt, outcome, age in bad:
        print(f"{attempt}: {outcome} on a connection that is {age:.1f} s old, {'run' if attempt in ran else 'not run'}")
    print(f"{len(results)} requests, {len(bad)} without the backend's answer")
    return 1 if any(outcome == 408 and attempt in ran for attempt, outcome, _ in bad) else 0


if __name__ == "__main__":
    finish(main())
