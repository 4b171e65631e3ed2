"""A fleet of real limpetrouterd processes on loopback before the stand-ins, and a client that checks what it gets."""
import asyncio
import json
import os
import random
import signal
import subprocess
import time

from standins import RECORD_BYTES, Backend, Proxy, Store, encode_answer, records, signature

ZONES = ("a", "b", "c")
PORTS = {"control": 8224, "directory": 8225, "entry": 8226, "readiness": 8227, "peer": 7740}
HOST = "queries.example"

SETTINGS = """[instance]
name = {ip}
data_centre = {zone}
[listen]
http = {ip}:{control}
peer = {ip}:{peer}
threads = 1
[peers]
seeds = {seeds}
port = {peer}
[limits]
backend_threads = 1
[forwarding]
entry = {ip}:{entry}
readiness = {ip}:{readiness}
directory = {ip}:{directory}
store = {store}
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 50
max_address_validity_s = 5
shutdown_grace_s = 6
"""


class Broken(AssertionError):
    """A promise to callers or backend servers does not hold."""


class Deployment:
    """What is deployed: shards with three servers each, and a plain service for requests that must not repeat."""

    def __init__(self, name, shards, plain_servers, instances=6, slots=4):
        self.name, self.shards, self.plain_servers = name, shards, plain_servers
        self.instances, self.slots = instances, slots


BUREAU = Deployment("bureau", shards=10, plain_servers=9, slots=5)
COOPERATIVE = Deployment("cooperative", shards=8, plain_servers=6, slots=3)


class Fleet:
    def __init__(self, build, directory, deployment, base, proxied=False):
        """`base` is the second byte of all loopback addresses, so that fleets don't meet."""
        self.build, self.directory, self.deployment, self.base = build, directory, deployment, base
        self.proxied = proxied
        self.store = Store(f"127.{base}.200.1:9000")
        self.runs = []
        self.backends, self.proxies = {}, {}
        self.processes, self.expected_exits = {}, set()
        self.version = 0
        self.next_port = 10000
        self.ips = [f"127.{base}.{1 + i % len(ZONES)}.{1 + i}" for i in range(deployment.instances)]
        self.zones = {ip: ZONES[i % len(ZONES)] for i, ip in enumerate(self.ips)}
        self.extra_routes = []
        self.starts = 0

    async def start(self):
        await self.store.start()
        for shard in range(self.deployment.shards):
            for zone in ZONES:
                await self.add_backend(f"shard{shard}", zone)
        for i in range(self.deployment.plain_servers):
            await self.add_backend("archive", ZONES[i % len(ZONES)], work=0.05)
        await self.write_configuration()
        for ip in self.ips:
            self.start_instance(ip)
        await self.wait_ready(self.ips)

    async def add_backend(self, service, zone, work=0.01):
        self.starts += 1
        server_id = f"i-{self.starts:04x}"
        address = f"127.{self.base}.100.1:{self.next_port}"
        advertised = None
        if self.proxied:
            proxy = Proxy(f"127.{self.base}.101.1:{self.next_port}", address)
            await proxy.start()
            self.proxies[server_id] = proxy
            advertised = proxy.address
        self.next_port += 1
        backend = Backend(server_id, service, zone, address, self.runs, slots=self.deployment.slots, work=work,
                          advertised=advertised)
        await backend.start()
        self.backends[server_id] = backend
        await self.store.put("servers/" + server_id, backend.entry())
        return backend

    def servers_of(self, service):
        return [b for b in self.backends.values() if b.service == service and b.state == "ready"]

    async def write_configuration(self):
        self.version += random.randint(1, 3)
        shards = [f"shard{i}" for i in range(self.deployment.shards)]
        common = {"hostname": HOST, "maxAttempts": 2}
        routes = [
            {**common, "name": "sweep", "prefix": "/sweep/", "routeKind": "idempotent", "timeoutMs": 1200,
             "targetLatencyMs": 300, "priority": 1, "fanout": shards, "topK": 20, "minCoverage": 0.75},
            {**common, "name": "ticket", "prefix": "/ticket/", "routeKind": "non_idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 600, "priority": 2, "service": "archive"},
            {**common, "name": "look", "prefix": "/look/", "routeKind": "idempotent", "timeoutMs": 2000,
             "targetLatencyMs": 600, "priority": 2, "trafficSplit": [{"service": "archive", "weight": 1}]},
        ] + [{**common, "name": f"extra{n}", "prefix": f"/extra{n}/", "routeKind": "idempotent", "timeoutMs": 2000,
              "targetLatencyMs": 600, "priority": 3, "service": "archive"} for n in self.extra_routes]
        services = [{"name": s, "healthPath": "/health", "maxConns": 80, "protocol": "h1", "tls": False}
                    for s in shards + ["archive"]]
        return await self.store.put("op/config", {
            "configVersion": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})

    def start_instance(self, ip):
        path = os.path.join(self.directory, ip + ".ini")
        seeds = ",".join(f"{seed}:{PORTS['control']}" for seed in self.ips[:3])
        store = f"{self.store.host}:{self.store.port}"
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(ip=ip, zone=self.zones[ip], seeds=seeds, store=store, **PORTS))
        with open(os.path.join(self.directory, ip + ".log"), "ab") as log:
            self.processes[ip] = subprocess.Popen([os.path.join(self.build, "limpetrouterd"), "--config", path],
                                                  stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    async def wait_ready(self, ips, seconds=10):
        limit = time.monotonic() + seconds
        for ip in ips:
            while await http_status(f"{ip}:{PORTS['readiness']}", "/ready") != 200:
                if time.monotonic() > limit:
                    raise Broken(f"{ip} is not ready after {seconds} s")
                await asyncio.sleep(0.05)

    def signal(self, ip, number):
        self.processes[ip].send_signal(number)

    async def stop_gracefully(self, ip, grace=6.0):
        """SIGTERM; the process must end by itself within the grace."""
        process = self.processes[ip]
        self.expected_exits.add(ip)
        process.send_signal(signal.SIGTERM)
        start = time.monotonic()
        while process.poll() is None:
            if time.monotonic() - start > grace:
                raise Broken(f"{ip} runs {grace} s after SIGTERM")
            await asyncio.sleep(0.05)
        if process.returncode != 0:
            raise Broken(f"{ip} ended with {process.returncode} after SIGTERM")
        del self.processes[ip]
        self.expected_exits.discard(ip)

    def kill(self, ip):
        process = self.processes.pop(ip)
        process.kill()
        process.wait()

    def check_processes(self):
        for ip, process in self.processes.items():
            if ip not in self.expected_exits and process.poll() is not None:
                raise Broken(f"{ip} ended by itself with {process.returncode}")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


async def http_exchange(address, request, timeout):
    """Sends raw bytes on a connection of its own. Returns status, headers and body; raises OSError if there is none."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), min(timeout, 1.0))
    try:
        writer.write(request)
        return await asyncio.wait_for(read_answer(reader), timeout)
    finally:
        writer.close()


async def read_answer(reader):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = dict((line.split(":", 1)[0].lower(), line.split(":", 1)[1].strip()) for line in head[1:] if line)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as failure:
        raise ConnectionError("cut, no answer") from failure
    return int(head[0].split(" ")[1]), headers, body


async def http_status(address, path):
    try:
        return (await http_exchange(address, f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), 2.0))[0]
    except (OSError, asyncio.TimeoutError):
        return 0


class Client:
    """Callers that ask the directory, keep connections, and check every answer against what the servers hold."""

    def __init__(self, fleet, rate):
        self.fleet, self.rate = fleet, rate
        self.sent = 0
        self.results = []
        self.failures = []
        self.stopping = False
        self.addresses, self.addresses_until = {}, {}
        self.idle = {}

    async def run(self):
        tasks = set()
        start = time.monotonic()
        while not self.stopping:
            task = asyncio.create_task(self.one())
            tasks.add(task)
            task.add_done_callback(lambda ended: (tasks.discard(ended), self.note(ended)))
            self.sent += 1
            await asyncio.sleep(max(0.0, start + self.sent / self.rate - time.monotonic()))
        await asyncio.gather(*tasks, return_exceptions=True)

    def note(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    async def resolve(self, zone):
        if time.monotonic() < self.addresses_until.get(zone, 0):
            return self.addresses[zone]
        for ip in sorted(self.fleet.ips, key=lambda ip: (self.fleet.zones[ip] != zone, random.random()))[:3]:
            try:
                text = f"GET /resolve?name={HOST}&region=r&zone={zone} HTTP/1.1\r\nHost: x\r\n\r\n"
                status, _, body = await http_exchange(f"{ip}:{PORTS['directory']}", text.encode(), 1.0)
                answer = json.loads(body)
                if status == 200 and answer["addrs"]:
                    self.addresses[zone] = answer["addrs"]
                    self.addresses_until[zone] = time.monotonic() + answer["ttl_s"]
                    break
            except (OSError, asyncio.TimeoutError, ValueError, KeyError):
                continue
        return self.addresses.get(zone, [])

    async def one(self):
        kind = random.choices(("sweep", "ticket", "look"), (6, 2, 2))[0]
        attempt = f"{self.fleet.base:02x}{self.sent:08x}{random.getrandbits(24):06x}"
        addresses = await self.resolve(random.choice(ZONES))
        if not addresses:
            return self.results.append({"kind": kind, "attempt": attempt, "status": "no address",
                                        "begin": time.monotonic(), "seconds": 0.0, "address": None})
        await self.send(kind, attempt, random.choice(addresses))

    async def send(self, kind, attempt, address, patience_ms=None):
        patience = patience_ms or {"sweep": 1200, "ticket": 3000, "look": 2000}.get(kind, 2000)
        method, body = ("POST", b"b" * random.randint(0, 300)) if kind == "ticket" else ("GET", b"")
        framing = ""
        if method == "POST" and random.random() < 0.5:
            framing = "Transfer-Encoding: chunked\r\n"
            data = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in (body[:100], body[100:]) if p) + b"0\r\n\r\n"
        elif method == "POST":
            framing, data = f"Content-Length: {len(body)}\r\n", body
        else:
            data = b""
        text = (f"{method} /{kind}/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {patience}\r\n{framing}\r\n").encode() + data
        begin = time.monotonic()
        result = {"kind": kind, "attempt": attempt, "begin": begin, "address": address, "body": body}
        try:
            status, headers, answer = await asyncio.wait_for(self.exchange(address, text), patience / 1000 + 1.0)
            result["status"] = status
            self.check(kind, attempt, status, headers, answer)
        except asyncio.TimeoutError:
            result["status"] = "late"
        except OSError as failure:
            result["status"] = str(failure) if str(failure) == "cut, no answer" else "no connection"
        result["seconds"] = time.monotonic() - begin
        self.results.append(result)
        return result

    async def exchange(self, address, text):
        kept = self.idle.setdefault(address, [])
        reader, writer = None, None
        while kept and reader is None:
            reader, writer = kept.pop()
            if reader.at_eof():
                writer.close()
                reader = None
        if reader is None:
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        try:
            writer.write(text)
            status, headers, body = await read_answer(reader)
        except BaseException:
            writer.close()
            raise
        if headers.get("connection") == "close":
            writer.close()
        else:
            kept.append((reader, writer))
        return status, headers, body

    def check(self, kind, attempt, status, headers, body):
        """Guards against wrong figures: an answer must be what the servers named in it hold for this request."""
        if status != 200:
            return
        if kind != "sweep":
            stamp = headers.get("x-server-stamp", "")
            server_id, service = (stamp.split(".") + ["", ""])[:2]
            if stamp != signature(server_id, service, attempt) or body != records(service, attempt, 8):
                raise Broken(f"{attempt}: the answer is not the one of {stamp!r} to this request")
            return
        stamps = [s.strip() for s in headers.get("x-part-stamps", "").split(",") if s.strip()]
        services = []
        for stamp in stamps:
            server_id, service = (stamp.split(".") + ["", ""])[:2]
            if stamp != signature(server_id, service, attempt):
                raise Broken(f"{attempt}: {stamp} is no answer to this request")
            services.append(service)
        total = self.fleet.deployment.shards
        missing = int(headers.get("x-missing-parts", "0"))
        if len(set(services)) != len(services) or len(services) + missing != total:
            raise Broken(f"{attempt}: {services} and {missing} missing are not the {total} shards")
        if len(services) < 0.75 * total:
            raise Broken(f"{attempt}: {len(services)} of {total} shards are less than the route asks for")
        held = b"".join(records(service, attempt, 8) for service in services)
        split = sorted((held[i:i + RECORD_BYTES] for i in range(0, len(held), RECORD_BYTES)), reverse=True)
        if body != b"".join(split[:20]):
            raise Broken(f"{attempt}: the merged records are not the greatest of {services}")


def check_runs(fleet, client, attempts_per_service=2):
    """What the backend servers saw, against what callers were told. To be called when all work has ended."""
    if client.failures:
        raise client.failures[0]
    results = client.results
    by_attempt = {result["attempt"]: result for result in results}
    ran, arrived = {}, {}
    for event in fleet.runs:
        if event["event"] == "ran":
            ran.setdefault(event["attempt"], []).append(event)
        arrived.setdefault((event["attempt"], event["service"]), set()).add(event["server"])
    for attempt, events in ran.items():
        result = by_attempt.get(attempt)
        if result is None:
            raise Broken(f"{attempt} ran and no caller sent it")
        if result["kind"] == "ticket" and len(events) > 1:
            raise Broken(f"{attempt} must not repeat and ran on {[e['server'] for e in events]}")
        if result["status"] in (429, 503, 408, 421):
            raise Broken(f"{attempt} was answered {result['status']} and ran on {[e['server'] for e in events]}")
        if any(e["target"] != f"/{result['kind']}/{attempt}" for e in events):
            raise Broken(f"{attempt} ran with another target")
        if result["kind"] == "ticket" and any(e["body"].encode("latin-1") != result["body"] for e in events):
            raise Broken(f"{attempt} ran with another body")
    for (attempt, service), servers in arrived.items():
        if len(servers) > attempts_per_service:
            raise Broken(f"{attempt} was sent to {len(servers)} servers of {service}")


def summary(results):
    counts = {}
    for result in results:
        counts[result["status"]] = counts.get(result["status"], 0) + 1
    return counts
