"""Some backend servers run requests and answer them with a failure. A client must not read that as "has not run"."""
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "forwarding"))
import fleet
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = open(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), "w", encoding="utf-8")
RATE = 60
SECONDS = 15
SERVERS = 14
FAILING_SHARE = 0.15
# Two in five of the requests to a failing server fail.
FAILURE_PATTERN = (True, False, True, False, False)
# Statuses by which an answer to a client promises that the request has not run and never will.
PROMISES = (408, 421, 429, 503)

# The rendered template of deploy/settings.ini with the figures of a small deployment.
fleet.SETTINGS = """[instance]
name = {ip}
data_centre = {zone}
capacity = 0.25
[listen]
http = {ip}:{control}
peer = {ip}:{peer}
threads = 1
[peers]
seeds = {seeds}
port = {peer}
[limits]
backend_threads = 1
memory_mb = 260
max_descriptors = 4100
{limits}[forwarding]
entry = {ip}:{entry}
readiness = {ip}:{readiness}
directory = {ip}:{directory}
store = {store}
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 58
max_address_validity_s = 5
contracts = base,drain,config,cost,retry,recover,scatter,platform
server_heartbeat_ms = 1200
shutdown_grace_s = 6
"""


def record(*fields):
    RECORD.write(" ".join(str(field) for field in fields) + "\n")


class Backend(standins.Backend):
    """Runs each request. As a failing server, it answers some of them with a failure of its own afterwards."""
    failing = False
    handled = 0

    async def handle(self, request, writer):
        method, target, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") != self.id:
            return await self.send(writer, standins.encode_answer(421, [("X-Instance-Id", self.id)], b""))
        self.events.append({"event": "executed", "attempt": attempt, "job": target})
        fails = self.failing and FAILURE_PATTERN[self.handled % len(FAILURE_PATTERN)]
        self.handled += 1
        status = 503 if fails else 200
        record("run", attempt, method, target, "by", self.id, "answer", status, "without X-Not-Executed" if fails else "")
        await asyncio.sleep(0.02)
        stamp = standins.server_stamp(self.id, self.service, attempt)
        return await self.send(writer, standins.encode_answer(
            status, [("X-Attempt-Id", attempt), ("X-Server-Stamp", stamp)], b"failed" if fails else b"done"))


fleet.Backend = Backend


async def main():
    octet = 20 + os.getpid() % 200
    with tempfile.TemporaryDirectory() as directory:
        deployment = fleet.Deployment("small", shards=2, unsharded_servers=SERVERS, instances=3, slots=5)
        run = fleet.Fleet(os.path.join(ROOT, "target"), directory, deployment, octet)
        try:
            try:
                await run.start()
            except (OSError, fleet.GuaranteeViolation) as failure:
                record("cannot start", repr(failure))
                return 2
            await asyncio.sleep(1)
            for server in run.servers_of("archive")[:int(FAILING_SHARE * SERVERS)]:
                server.failing = TROUBLE
            answers = {}

            async def attempt_once(job, attempt, address):
                """Sends one attempt. Returns its status, or 0 if there is no answer."""
                request = (f"POST /ticket/{job} HTTP/1.1\r\nHost: {fleet.HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                           f"X-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nnote").encode()
                try:
                    status, _, _ = await fleet.http_exchange(address, request, 5.0)
                except (OSError, asyncio.TimeoutError):
                    status = 0
                answers[attempt] = status
                record("answer", attempt, status)
                return status

            async def client(job):
                """Asks once more, with a new id, only if the first answer promises that the attempt has not run."""
                addresses = [f"{ip}:{fleet.PORTS['entry']}" for ip in run.ips]
                if await attempt_once(job, f"{octet:02x}{job:012x}-0", random.choice(addresses)) in PROMISES:
                    await asyncio.sleep(0.1)
                    await attempt_once(job, f"{octet:02x}{job:012x}-1", random.choice(addresses))

            begin = time.monotonic()
            tasks = []
            for job in range(RATE * SECONDS):
                tasks.append(asyncio.create_task(client(job)))
                await asyncio.sleep(max(0.0, begin + (job + 1) / RATE - time.monotonic()))
            await asyncio.gather(*tasks)
            executed = [event for event in run.backend_events if event["event"] == "executed"]
            run_attempts = {event["attempt"] for event in executed}
            broken = [attempt for attempt, status in answers.items() if status in PROMISES and attempt in run_attempts]
            jobs = [event["job"] for event in executed]
            repeated = len({job for job in jobs if jobs.count(job) > 1})
            for attempt in broken:
                record("BROKEN", attempt, "was answered", answers[attempt], "and has run")
            summary = (f"attempts={len(answers)} success={sum(status == 200 for status in answers.values())} "
                       f"refused_and_run={len(broken)} jobs_run_twice={repeated}")
            record("summary", f"TROUBLE={int(TROUBLE)}", summary)
            print(summary)
            return 1 if broken else 0
        finally:
            run.stop()


def run_case():
    # A timeout must end the processes that were started as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return asyncio.run(main())
    except Exception as failure:
        record("cannot run", repr(failure))
        return 2


sys.exit(run_case())
