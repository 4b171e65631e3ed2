"""Some backends spoil the head of a few of their answers with random bytes. Clients parse answers as RFC 9112 says."""
import asyncio
import os
import random
import re
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (HOST, ZONES, AddressBook, Backend, Connection, Fleet, Record, body_of, encode_answer,  # noqa: E402
                      finish, stamp)

SECONDS = 60.0
CLIENTS = 40
REQUESTS_PER_S = 160
DEADLINE_MS = 3000
# Share of the backends that spoil answers, and of their answers that they spoil.
SPOILING_BACKENDS = 0.5
SPOILED_ANSWERS = 0.05
SPOILED_BYTES = 64
FIELD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*")


def work_s():
    return 0.05 * random.lognormvariate(0, 0.4)


class SpoilingBackend(Backend):
    """Replaces a line of the head of some answers by random bytes, so that they are no HTTP answers."""

    spoils = False
    spoiled = None

    async def answer(self, attempt, writer):
        headers = [("X-Attempt-Id", attempt), ("X-Server-Stamp", stamp(self.id, attempt)), self.load()]
        data = encode_answer(200, headers, body_of(self.id, attempt))
        if self.spoils and random.random() < SPOILED_ANSWERS:
            self.spoiled.add((attempt, self.id))
            self.record.line(f"spoil {attempt} {self.id}")
            junk = random.randbytes(SPOILED_BYTES)
            load = b"X-Server-Load: %s\r\n" % self.load()[1].encode()
            data = data.replace(load, junk + b"\r\n", 1)
        return await self.send(writer, data)


async def read_strictly(reader):
    """Returns status, headers and body of an answer. Raises ValueError if its head is not HTTP/1.1."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].split(b"\r\n")
    if re.fullmatch(rb"HTTP/1\.1 [1-5]\d\d [\t\x20-\x7e\x80-\xff]*", lines[0]) is None:
        raise ValueError(f"status line {lines[0]!r}")
    headers = {}
    for line in lines[1:]:
        if FIELD.fullmatch(line) is None:
            raise ValueError(f"header field {line!r}")
        name, value = line.split(b":", 1)
        headers[name.decode().lower()] = value.strip().decode("latin-1")
    return int(lines[0].split(b" ")[1]), headers, await reader.readexactly(int(headers["content-length"]))


class Case:
    def __init__(self, directory, record, trouble):
        self.record, self.trouble = record, trouble
        self.fleet = Fleet(directory, record)
        self.runs, self.spoiled, self.outcomes, self.broken = [], set(), {}, []
        self.end = 0.0

    async def run(self):
        fleet = self.fleet
        await fleet.store.start()
        for i in range(27):
            backend = SpoilingBackend(f"i-{i:04x}", "archive", ZONES[i % 3], fleet.backend_host(), work_s, self.runs,
                                      self.record)
            backend.spoils = self.trouble and i < 27 * SPOILING_BACKENDS
            backend.spoiled = self.spoiled
            await backend.start()
            await fleet.store.put("servers/" + backend.id, backend.entry())
        common = {"hostname": HOST, "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 2,
                  "service": "archive"}
        await fleet.put_config([{**common, "name": "look", "prefix": "/look/", "routeKind": "idempotent"},
                                {**common, "name": "post", "prefix": "/post/", "routeKind": "non_idempotent"}],
                               ["archive"])
        for ip in fleet.ips:
            fleet.start(ip)
        await fleet.wait_ready(fleet.ips)
        await asyncio.sleep(2.0)
        self.end = time.monotonic() + SECONDS
        await asyncio.gather(*(self.client(i) for i in range(CLIENTS)))

    async def client(self, number):
        book, connection, sent = AddressBook(self.fleet, ZONES[number % len(ZONES)]), None, 0
        while time.monotonic() < self.end:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S / CLIENTS))
            addresses = await book.current()
            attempt = f"{number:02x}{sent:04x}{random.getrandbits(24):06x}"
            sent += 1
            try:
                if connection is None or connection.address not in addresses:
                    connection = await Connection.open(random.choice(addresses))
                outcome = await self.exchange(connection, attempt)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
                outcome = type(failure).__name__
                connection = None
            except ValueError as failure:
                outcome = "no HTTP answer"
                self.broken.append(f"MIXED {attempt}: {failure}")
                connection.close()
                connection = None
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            self.record.line(f"answer {attempt} {outcome}")

    async def exchange(self, connection, attempt):
        method, path, framing, body = "GET", "look", "", b""
        if random.random() < 0.5:
            body = random.randbytes(300)
            method, path, framing = "POST", "post", f"Content-Length: {len(body)}\r\n"
        self.record.line(f"send {attempt} {method} {connection.address.split(':')[0]}")
        connection.writer.write((f"{method} /{path}/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                                 f"X-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n").encode() + body)
        status, headers, answer = await asyncio.wait_for(read_strictly(connection.reader), DEADLINE_MS / 1000 + 1)
        server = headers.get("x-server-stamp", "").split(".")[0]
        if status == 200 and (headers.get("x-server-stamp") != stamp(server, attempt) or
                              answer != body_of(server, attempt)):
            raise ValueError("not the backend's answer")
        return str(status)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    with tempfile.TemporaryDirectory() as directory:
        case = Case(directory, record, trouble)
        try:
            asyncio.run(case.run())
        except (RuntimeError, OSError) as failure:
            print(f"could not run: {failure!r}")
            return 2
        finally:
            case.fleet.stop()
    for line in case.broken:
        record.line(line)
        print(line)
    total = sum(case.outcomes.values())
    summary = f"{total} requests {case.outcomes}, {len(case.spoiled)} answers spoiled by backends"
    record.line(summary)
    record.close()
    print(summary)
    if case.outcomes.get("200", 0) < 0.9 * total:
        print("could not run: less than nine tenths of the requests were served")
        return 2
    return 1 if case.broken else 0


if __name__ == "__main__":
    finish(main())
