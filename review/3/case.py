"""Requests that crash each backend that begins to run them come again and again, two of them at a time."""
import asyncio
import os
import random
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (BOUNDS, HOST, ZONES, AddressBook, Backend, Connection, Fleet, Record, finish, reset)  # noqa: E402

SECONDS = 95.0
CLIENTS = 60
REQUESTS_PER_S = 190
DEADLINE_MS = 1200
SHARDS = [f"ledger-{i}" for i in range(10)]
# The crashing request comes again after this time.
CRASH_INTERVAL_S = 4.2
# Each of the crashing requests comes this often.
CRASH_TRIES = 5
# A crashed backend is back after this time, under a new id.
DOWN_S = 3.0
# Each client sends its crashing requests one after the other.
CRASHING_CLIENTS = 2
CRASHING_PATHS = [f"/sweep/crash-{i}" for i in range(8)]
ALLOWED_RETRIES = 3


def work_s():
    """A part of a reserve sweep: 28 ms on average."""
    return min(0.21, 0.026 * random.lognormvariate(0, 0.35))


class RunCounter:
    """Counts the runs of each attempt in place of a line each, which would make the record too long."""

    def __init__(self):
        self.runs = {}

    def line(self, text):
        attempt = text.split(" ")[1]
        self.runs[attempt] = self.runs.get(attempt, 0) + 1


class CrashingBackend(Backend):
    case = None

    async def serve(self, reader, writer):
        if self.state == "crashed":
            return reset(writer)
        await super().serve(reader, writer)

    async def handle(self, message, writer):
        line, headers, _ = message
        if line.split(" ")[1] in CRASHING_PATHS and headers.get("x-expect-instance") == self.id:
            self.case.note_arrival(line.split(" ")[1], headers["x-attempt-id"], self)
        return await super().handle(message, writer)

    async def run(self, attempt, writer):
        if attempt in self.case.crashing:
            self.case.crash(self.case.crashing[attempt], self)
            return False
        return await super().run(attempt, writer)


class Case:
    def __init__(self, directory, record, trouble):
        self.record, self.trouble = record, trouble
        self.fleet = Fleet(directory, record)
        self.runs, self.crashing, self.arrivals, self.crashes, self.outcomes = [], {}, [], [], {}
        self.counter, self.started = RunCounter(), 0
        self.end = 0.0
        self.tasks = set()

    async def start_backend(self, service, zone):
        backend = CrashingBackend(f"i-{self.started:04x}", service, zone, self.fleet.backend_host(), work_s, self.runs,
                                  self.counter, slots=5, queue=30)
        self.started += 1
        backend.case = self
        await backend.start()
        await self.fleet.store.put("servers/" + backend.id, backend.entry())

    def note_arrival(self, path, attempt, backend):
        self.arrivals.append((time.monotonic(), path, attempt))
        self.record.line(f"crashing request {attempt} reaches {backend.id}, which runs {backend.running} others")

    def crash(self, path, backend):
        self.crashes.append((time.monotonic(), path))
        self.record.line(f"crash {backend.id} by {path}")
        backend.state = "crashed"
        backend.server.close()
        for writer in list(backend.writers):
            reset(writer)
        task = asyncio.create_task(self.replace(backend))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def replace(self, backend):
        await asyncio.sleep(DOWN_S)
        await self.start_backend(backend.service, backend.zone)
        # The entry of the former incarnation expires after three heartbeats of silence.
        await asyncio.sleep(0.6)
        await self.fleet.store.put("servers/" + backend.id, None)

    async def run(self):
        fleet = self.fleet
        await fleet.store.start()
        for service in SHARDS:
            for zone in ZONES:
                await self.start_backend(service, zone)
        await fleet.put_config([{"name": "sweep", "prefix": "/sweep/", "hostname": HOST, "routeKind": "idempotent",
                                 "timeoutMs": 1200, "targetLatencyMs": 200, "priority": 1, "maxAttempts": 2,
                                 "fanout": SHARDS, "topK": 20, "minCoverage": 0.89}], SHARDS)
        for ip in fleet.ips:
            fleet.start(ip)
        await fleet.wait_ready(fleet.ips)
        await asyncio.sleep(2.0)
        self.end = time.monotonic() + SECONDS
        clients = [self.client(i) for i in range(CLIENTS)]
        if self.trouble:
            clients += [self.crashing_client(i) for i in range(CRASHING_CLIENTS)]
        await asyncio.gather(*clients)

    async def client(self, number):
        book, connection, sent = AddressBook(self.fleet, ZONES[number % len(ZONES)]), None, 0
        while time.monotonic() < self.end:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S / CLIENTS))
            addresses = await book.current()
            attempt = f"{number:02x}{sent:04x}{random.getrandbits(24):06x}"
            sent += 1
            if connection is None or connection.address not in addresses:
                connection = None
                try:
                    connection = await Connection.open(random.choice(addresses))
                except (OSError, asyncio.TimeoutError):
                    continue
            if not await self.send(connection, attempt, f"/sweep/{attempt}"):
                connection = None

    async def crashing_client(self, number):
        book, sent = AddressBook(self.fleet, ZONES[number]), 0
        await asyncio.sleep(5.0 + number * CRASH_INTERVAL_S / CRASHING_CLIENTS)
        for path in CRASHING_PATHS[number::CRASHING_CLIENTS]:
            for _ in range(CRASH_TRIES):
                attempt = f"c{number}{sent:04x}{random.getrandbits(24):06x}"
                sent += 1
                self.crashing[attempt] = path
                try:
                    connection = await Connection.open(random.choice(await book.current()))
                    await self.send(connection, attempt, path)
                    connection.close()
                except (OSError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(CRASH_INTERVAL_S)

    async def send(self, connection, attempt, path):
        self.record.line(f"send {attempt} {connection.address.split(':')[0]}")
        request = (f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                   f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode()
        try:
            outcome = str((await connection.exchange(request, DEADLINE_MS / 1000 + 1))[0])
        except (OSError, asyncio.TimeoutError) as failure:
            outcome = type(failure).__name__
        self.record.line(f"answer {attempt} {outcome}, run by {self.counter.runs.get(attempt, 0)} backends")
        kind = "crashing" if attempt in self.crashing else "usual"
        self.outcomes[kind, outcome] = self.outcomes.get((kind, outcome), 0) + 1
        return outcome.isdigit()

    def late_retries(self, path):
        """Returns the attempts that reached a backend later than `stableWindowMs` after the third crash."""
        crashes = [at for at, crashed_by in self.crashes if crashed_by == path]
        if len(crashes) < 3:
            return set()
        limit = crashes[2] + BOUNDS["stableWindowMs"] / 1000
        return {attempt for at, sent, attempt in self.arrivals if sent == path and at > limit}


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
    late = [len(case.late_retries(path)) for path in CRASHING_PATHS]
    broken = max(late) > ALLOWED_RETRIES
    summary = (f"{case.outcomes}, {len(case.crashes)} crashes; {late} attempts of the crashing requests reached a backend "
               f"later than 4 s after the third crash ({ALLOWED_RETRIES} are allowed)")
    if broken:
        summary = "BUDGET: " + summary
    record.line(summary)
    record.close()
    print(summary)
    usual = {outcome: count for (kind, outcome), count in case.outcomes.items() if kind == "usual"}
    if usual.get("200", 0) < 0.7 * sum(usual.values()):
        print("could not run: less than seven tenths of the usual requests were served")
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    finish(main())
