"""Stops the instances of a fleet one after the other with SIGTERM, while clients send requests."""
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (BOUNDS, HOST, ZONES, AddressBook, Backend, Connection, Fleet, Record, body_of,  # noqa: E402
                      finish, stamp)

SECONDS = 95.0
CLIENTS = 180
# Share of the clients that keep the addresses three times as long as stated.
PATIENT_SHARE = 0.33
# Share of the clients that open a new connection for each request.
NEW_CONNECTION_SHARE = 0.85
# Time between two SIGTERMs.
GAP_S = 1.3
REQUESTS_PER_S = 380
DEADLINE_MS = 5000
KEEP_IDLE_S = 4.0
GRACE_S = BOUNDS["graceS"]


def work_s():
    """A custody audit: 220 ms on average."""
    return min(1.3, 0.2 * random.lognormvariate(0, 0.45))


class Client:
    def __init__(self, number, case):
        self.number, self.case = number, case
        self.book = AddressBook(case.fleet, ZONES[number % len(ZONES)], number < PATIENT_SHARE * CLIENTS)
        self.connection = None
        self.keeps_connection = random.random() >= NEW_CONNECTION_SHARE
        self.sent = 0

    async def run(self):
        while time.monotonic() < self.case.end:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S / CLIENTS))
            addresses = await self.book.current()
            if self.connection is not None:
                idle = time.monotonic() - self.connection.used_at
                if self.connection.address not in addresses or idle > KEEP_IDLE_S or self.connection.reader.at_eof():
                    self.drop()
            if addresses:
                await self.send(addresses)
        self.drop()

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def send(self, addresses):
        attempt = f"{self.number:02x}{self.sent:04x}{random.getrandbits(24):06x}"
        self.sent += 1
        if self.connection is None:
            address = random.choice(addresses)
            try:
                self.connection = await Connection.open(address)
            except (OSError, asyncio.TimeoutError):
                return self.case.note(attempt, address, None, "no connection")
        address = self.connection.address
        method, framing, body = "GET", "", b""
        if random.random() < 0.5:
            body = random.randbytes(300)
            method, framing = "POST", f"Content-Length: {len(body)}\r\n"
        path = f"/{'post' if body else 'look'}/{attempt}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n")
        begin = time.monotonic()
        self.case.record.line(f"send {attempt} {method} {address.split(':')[0]}")
        try:
            status, headers, answer = await self.connection.exchange(head.encode() + body, DEADLINE_MS / 1000 + 1)
        except asyncio.TimeoutError:
            self.drop()
            return self.case.note(attempt, address, begin, "no answer")
        except OSError:
            self.drop()
            return self.case.note(attempt, address, begin, "cut")
        if headers.get("connection") == "close" or not self.keeps_connection:
            self.drop()
        if status == 200:
            server = headers.get("x-server-stamp", "").split(".")[0]
            if headers.get("x-server-stamp") != stamp(server, attempt) or answer != body_of(server, attempt):
                return self.case.note(attempt, address, begin, "wrong answer")
        self.case.note(attempt, address, begin, str(status))


class Case:
    def __init__(self, directory, record, trouble):
        self.record, self.trouble = record, trouble
        self.fleet = Fleet(directory, record)
        self.runs, self.results, self.terms = [], [], {}
        self.end = 0.0

    def note(self, attempt, address, begin, outcome):
        self.record.line(f"answer {attempt} {outcome}")
        self.results.append((attempt, address, begin, time.monotonic(), outcome))

    async def run(self):
        fleet = self.fleet
        await fleet.store.start()
        for i in range(36):
            backend = Backend(f"i-{i:04x}", "archive", ZONES[i % 3], fleet.backend_host(), work_s, self.runs, self.record)
            await backend.start()
            await fleet.store.put("servers/" + backend.id, backend.entry())
        common = {"hostname": HOST, "timeoutMs": 5000, "targetLatencyMs": 800, "priority": 2, "maxAttempts": 2,
                  "service": "archive"}
        await fleet.put_config([{**common, "name": "look", "prefix": "/look/", "routeKind": "idempotent"},
                                {**common, "name": "post", "prefix": "/post/", "routeKind": "non_idempotent"}],
                               ["archive"])
        for ip in fleet.ips:
            fleet.start(ip)
        await fleet.wait_ready(fleet.ips)
        await asyncio.sleep(2.0)
        self.end = time.monotonic() + SECONDS
        clients = [asyncio.create_task(Client(i, self).run()) for i in range(CLIENTS)]
        await asyncio.sleep(5.0)
        if self.trouble:
            await self.roll()
        await asyncio.gather(*clients)

    async def roll(self):
        """Stops the instances in turn, each of them once it has been ready for some seconds."""
        restarts = {}
        for turn in range(int((SECONDS - 15) / GAP_S)):
            ip = self.fleet.ips[turn % len(self.fleet.ips)]
            if ip in restarts:
                await restarts[ip]
            restarts[ip] = asyncio.create_task(self.restart(ip))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts.values())

    async def restart(self, ip):
        self.fleet.signal(ip, signal.SIGTERM)
        at = time.monotonic()
        self.terms.setdefault(self.fleet.address(ip, "front"), []).append(at)
        while self.fleet.processes[ip].poll() is None:
            if time.monotonic() - at > GRACE_S:
                self.fleet.signal(ip, signal.SIGKILL)
            await asyncio.sleep(0.005)
        self.record.line(f"exit {ip} {time.monotonic() - at:.3f} s after SIGTERM")
        await asyncio.sleep(0.3)
        self.fleet.start(ip)
        await self.fleet.wait_ready([ip])

    def broken(self):
        """Returns the requests that were passed on to a backend and cut around a SIGTERM."""
        ran = {attempt for _, attempt, _ in self.runs}
        found = []
        for attempt, address, begin, end, outcome in self.results:
            if outcome != "cut" or attempt not in ran:
                continue
            for term in self.terms.get(address, []):
                # Not counted: the backend was still at work in the last sixth of the grace period on a request that
                # was sent no later than 3 s after the SIGTERM.
                excused = begin <= term + 3 and end >= term + GRACE_S * 5 / 6
                if term <= end <= term + GRACE_S + 1 and not excused:
                    found.append((attempt, address, begin - term, end - term))
        return found


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    here = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(here, "record.txt"))
    with tempfile.TemporaryDirectory() as directory:
        case = Case(directory, record, trouble)
        try:
            asyncio.run(case.run())
        except (RuntimeError, OSError) as failure:
            print(f"could not run: {failure!r}")
            return 2
        finally:
            case.fleet.stop()
    outcomes = {}
    for result in case.results:
        outcomes[result[4]] = outcomes.get(result[4], 0) + 1
    summary = f"{len(case.results)} requests {outcomes}, {sum(map(len, case.terms.values()))} SIGTERMs"
    broken = case.broken()
    for attempt, address, begin, end in broken:
        line = f"LOST {attempt} at {address}: sent {begin:.3f} s, cut {end:.3f} s after the SIGTERM, and a backend ran it"
        record.line(line)
        print(line)
    record.line(summary)
    record.close()
    print(summary)
    if outcomes.get("200", 0) < 0.9 * len(case.results):
        print("could not run: less than nine tenths of the requests were served")
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    finish(main())
