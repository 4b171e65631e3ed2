"""Runs a fleet of real limpetrouterd processes on loopback against stand-ins, and a client that checks every answer."""
import asyncio
import json
import os
import random
import signal
import subprocess
import time

from standins import RECORD_BYTES, Backend, Proxy, Store, encode_answer, records, server_stamp

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
{limits}[forwarding]
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


class GuaranteeViolation(AssertionError):
    """Reports that a guarantee to callers or backend servers was violated."""


class Deployment:
    """Describes the backend servers and instances of a fleet.

    Each shard has one backend server per zone. The unsharded service `archive` takes the requests of routes without
    fan-out, among them all non-idempotent ones.
    `slots` is the number of requests that one backend server executes at once.
    """

    def __init__(self, name, shards, unsharded_servers, instances=6, slots=4):
        self.name, self.shards, self.unsharded_servers = name, shards, unsharded_servers
        self.instances, self.slots = instances, slots


BUREAU = Deployment("bureau", shards=10, unsharded_servers=9, slots=5)
COOPERATIVE = Deployment("cooperative", shards=8, unsharded_servers=6, slots=3)


class Fleet:
    def __init__(self, build, directory, deployment, second_octet, use_proxies=False, limits=""):
        """`second_octet` is the second octet of all loopback addresses; fleets that run at once need different ones.

        `limits` holds further lines of the settings' section [limits].
        """
        self.build, self.directory, self.deployment, self.second_octet = build, directory, deployment, second_octet
        self.use_proxies, self.limits = use_proxies, limits
        self.store = Store(f"127.{second_octet}.200.1:9000")
        self.backend_events = []
        self.backends, self.proxies = {}, {}
        self.processes, self.expected_exits = {}, set()
        self.version = 0
        self.configuration = None
        self.next_port = 10000
        self.ips = [f"127.{second_octet}.{1 + i % len(ZONES)}.{1 + i}" for i in range(deployment.instances)]
        self.zones = {ip: ZONES[i % len(ZONES)] for i, ip in enumerate(self.ips)}
        self.extra_routes = []
        self.backends_added = 0

    async def start(self):
        await self.store.start()
        for shard in range(self.deployment.shards):
            for zone in ZONES:
                await self.add_backend(f"shard{shard}", zone)
        for i in range(self.deployment.unsharded_servers):
            await self.add_backend("archive", ZONES[i % len(ZONES)], service_time_s=0.05)
        await self.write_configuration()
        for ip in self.ips:
            self.start_instance(ip)
        await self.wait_ready(self.ips)

    async def add_backend(self, service, zone, service_time_s=0.01):
        self.backends_added += 1
        server_id = f"i-{self.backends_added:04x}"
        address = f"127.{self.second_octet}.100.1:{self.next_port}"
        advertised = None
        if self.use_proxies:
            proxy = Proxy(f"127.{self.second_octet}.101.1:{self.next_port}", address)
            await proxy.start()
            self.proxies[server_id] = proxy
            advertised = proxy.address
        self.next_port += 1
        backend = Backend(server_id, service, zone, address, self.backend_events, slots=self.deployment.slots,
                          service_time_s=service_time_s, advertised=advertised)
        await backend.start()
        self.backends[server_id] = backend
        await self.store.put("servers/" + server_id, backend.registry_entry())
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
        self.configuration = {
            "configVersion": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}
        return await self.store.put("op/config", self.configuration)

    async def write_all_again(self):
        """Writes what a restored store has lost: the operator's configuration and the entries of live backend servers."""
        await self.store.put("op/config", self.configuration)
        for backend in list(self.backends.values()):
            if backend.state != "crashed":
                await self.store.put("servers/" + backend.id, backend.registry_entry())

    async def remove_expired_entries(self):
        """Removes the entries of backend servers that do not run."""
        for key in [key for key in self.store.items if key.startswith("servers/")]:
            backend = self.backends.get(key.removeprefix("servers/"))
            if backend is None or backend.state == "crashed":
                await self.store.put(key, None)

    def start_instance(self, ip):
        path = os.path.join(self.directory, ip + ".ini")
        seeds = ",".join(f"{seed}:{PORTS['control']}" for seed in self.ips[:3])
        store = f"{self.store.host}:{self.store.port}"
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(ip=ip, zone=self.zones[ip], seeds=seeds, store=store, limits=self.limits,
                                       **PORTS))
        with open(os.path.join(self.directory, ip + ".log"), "ab") as log:
            self.processes[ip] = subprocess.Popen([os.path.join(self.build, "limpetrouterd"), "--config", path],
                                                  stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    async def wait_ready(self, ips, seconds=10):
        deadline = time.monotonic() + seconds
        for ip in ips:
            while await http_status(f"{ip}:{PORTS['readiness']}", "/ready") != 200:
                if time.monotonic() > deadline:
                    raise GuaranteeViolation(f"{ip} did not answer /ready with 200 within {seconds} s")
                await asyncio.sleep(0.05)

    def signal(self, ip, number):
        self.processes[ip].send_signal(number)

    async def stop_gracefully(self, ip, grace_s=6.0):
        """Sends SIGTERM. The process must exit by itself with code 0 within `grace_s` seconds."""
        process = self.processes[ip]
        self.expected_exits.add(ip)
        process.send_signal(signal.SIGTERM)
        start = time.monotonic()
        while process.poll() is None:
            if time.monotonic() - start > grace_s:
                raise GuaranteeViolation(f"{ip} is still running {grace_s} s after SIGTERM")
            await asyncio.sleep(0.05)
        if process.returncode != 0:
            raise GuaranteeViolation(f"{ip} exited with code {process.returncode} after SIGTERM, expected 0")
        del self.processes[ip]
        self.expected_exits.discard(ip)

    def kill(self, ip):
        process = self.processes.pop(ip)
        process.kill()
        process.wait()

    async def check_configuration(self):
        """Every instance must have the newest configuration in force."""
        for ip in self.processes:
            request = f"GET /v1/status/forwarding HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode()
            try:
                _, _, body = await http_exchange(f"{ip}:{PORTS['control']}", request, 3.0)
            except (OSError, asyncio.TimeoutError) as failure:
                raise GuaranteeViolation(f"{ip} did not state its configuration within 3 s: {failure!r}") from failure
            version = json.loads(body)["routing"]["version"]
            if version != self.version:
                raise GuaranteeViolation(f"{ip} has configuration {version} in force, expected {self.version}")

    def check_processes(self):
        for ip, process in self.processes.items():
            if ip not in self.expected_exits and process.poll() is not None:
                raise GuaranteeViolation(f"{ip} exited unexpectedly with code {process.returncode}")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


async def http_exchange(address, request, timeout):
    """Sends raw bytes on a new connection. Returns status, headers and body of the answer.

    Raises OSError if the connection fails or is closed before the answer is complete, and asyncio.TimeoutError if the
    answer takes more than `timeout` seconds.
    """
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
        raise ConnectionError("incomplete answer") from failure
    return int(head[0].split(" ")[1]), headers, body


async def http_status(address, path):
    try:
        return (await http_exchange(address, f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), 2.0))[0]
    except (OSError, asyncio.TimeoutError):
        return 0


class Client:
    """Sends requests at a fixed rate as callers do and checks every answer against the records that the servers hold.

    It looks up the addresses of instances in the directory and reuses connections. `rate` is in requests per second.
    """

    def __init__(self, fleet, rate):
        self.fleet, self.rate = fleet, rate
        self.sent = 0
        self.results = []
        self.failures = []
        self.stopping = False
        self.addresses, self.address_expiry = {}, {}
        self.idle_connections = {}

    async def run(self):
        tasks = set()
        start = time.monotonic()
        while not self.stopping:
            task = asyncio.create_task(self.send_random_request())
            tasks.add(task)
            task.add_done_callback(lambda finished: (tasks.discard(finished), self.collect_failure(finished)))
            self.sent += 1
            await asyncio.sleep(max(0.0, start + self.sent / self.rate - time.monotonic()))
        await asyncio.gather(*tasks, return_exceptions=True)

    def collect_failure(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    async def resolve(self, zone):
        if time.monotonic() < self.address_expiry.get(zone, 0):
            return self.addresses[zone]
        for ip in sorted(self.fleet.ips, key=lambda ip: (self.fleet.zones[ip] != zone, random.random()))[:3]:
            try:
                request = f"GET /resolve?name={HOST}&region=r&zone={zone} HTTP/1.1\r\nHost: x\r\n\r\n"
                status, _, body = await http_exchange(f"{ip}:{PORTS['directory']}", request.encode(), 1.0)
                answer = json.loads(body)
                if status == 200 and answer["addrs"]:
                    self.addresses[zone] = answer["addrs"]
                    self.address_expiry[zone] = time.monotonic() + answer["ttl_s"]
                    break
            except (OSError, asyncio.TimeoutError, ValueError, KeyError):
                continue
        return self.addresses.get(zone, [])

    async def send_random_request(self):
        kind = random.choices(("sweep", "ticket", "look"), (6, 2, 2))[0]
        attempt = f"{self.fleet.second_octet:02x}{self.sent:08x}{random.getrandbits(24):06x}"
        addresses = await self.resolve(random.choice(ZONES))
        if not addresses:
            return self.results.append({"kind": kind, "attempt": attempt, "status": "no address",
                                        "begin": time.monotonic(), "seconds": 0.0, "address": None})
        await self.send(kind, attempt, random.choice(addresses))

    async def send(self, kind, attempt, address, timeout_ms=None):
        client_timeout_ms = timeout_ms or {"sweep": 1200, "ticket": 3000, "look": 2000}.get(kind, 2000)
        method, body = ("POST", b"b" * random.randint(0, 300)) if kind == "ticket" else ("GET", b"")
        framing_header = ""
        if method == "POST" and random.random() < 0.5:
            framing_header = "Transfer-Encoding: chunked\r\n"
            payload = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk)
                               for chunk in (body[:100], body[100:]) if chunk) + b"0\r\n\r\n"
        elif method == "POST":
            framing_header, payload = f"Content-Length: {len(body)}\r\n", body
        else:
            payload = b""
        request = (f"{method} /{kind}/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                   f"X-Deadline-Ms: {client_timeout_ms}\r\n{framing_header}\r\n").encode() + payload
        begin = time.monotonic()
        result = {"kind": kind, "attempt": attempt, "begin": begin, "address": address, "body": body}
        try:
            status, headers, answer = await asyncio.wait_for(self.exchange(address, request),
                                                           client_timeout_ms / 1000 + 1.0)
            result["status"] = status
            self.check_answer(kind, attempt, status, headers, answer)
        except asyncio.TimeoutError:
            result["status"] = "timeout"
        except OSError as failure:
            result["status"] = str(failure) if str(failure) == "incomplete answer" else "connection failed"
        result["seconds"] = time.monotonic() - begin
        self.results.append(result)
        return result

    async def exchange(self, address, request):
        idle = self.idle_connections.setdefault(address, [])
        reader, writer = None, None
        while idle and reader is None:
            reader, writer = idle.pop()
            if reader.at_eof():
                writer.close()
                reader = None
        if reader is None:
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        try:
            writer.write(request)
            status, headers, body = await read_answer(reader)
        except BaseException:
            writer.close()
            raise
        if headers.get("connection") == "close":
            writer.close()
        else:
            idle.append((reader, writer))
        return status, headers, body

    def check_answer(self, kind, attempt, status, headers, body):
        """Guards against wrong results: an answer must hold what the servers named in it hold for the request."""
        if status != 200:
            return
        if kind != "sweep":
            stamp = headers.get("x-server-stamp", "")
            server_id, service = (stamp.split(".") + ["", ""])[:2]
            if stamp != server_stamp(server_id, service, attempt) or body != records(service, attempt, 8):
                raise GuaranteeViolation(f"{attempt}: stamp {stamp!r} or the records do not match this request")
            return
        stamps = [s.strip() for s in headers.get("x-part-stamps", "").split(",") if s.strip()]
        services = []
        for stamp in stamps:
            server_id, service = (stamp.split(".") + ["", ""])[:2]
            if stamp != server_stamp(server_id, service, attempt):
                raise GuaranteeViolation(f"{attempt}: stamp {stamp!r} does not match this request")
            services.append(service)
        total = self.fleet.deployment.shards
        missing = int(headers.get("x-missing-parts", "0"))
        if len(set(services)) != len(services) or len(services) + missing != total:
            raise GuaranteeViolation(f"{attempt}: answered shards {services} and {missing} missing shards are not the "
                                     f"{total} shards of the deployment")
        if len(services) < 0.75 * total:
            raise GuaranteeViolation(f"{attempt}: {len(services)} of {total} shards answered, expected at least 75%")
        candidates = b"".join(records(service, attempt, 8) for service in services)
        expected = sorted((candidates[i:i + RECORD_BYTES] for i in range(0, len(candidates), RECORD_BYTES)),
                          reverse=True)
        if body != b"".join(expected[:20]):
            raise GuaranteeViolation(f"{attempt}: the body is not the 20 greatest records of {services}")


def check_executions(fleet, client, attempts_per_service=2):
    """Compares the requests that backend servers received and executed with the answers that callers got.

    Call it only after all requests have ended.
    """
    if client.failures:
        raise client.failures[0]
    results = client.results
    by_attempt = {result["attempt"]: result for result in results}
    executions, receivers = {}, {}
    for event in fleet.backend_events:
        if event["event"] == "executed":
            executions.setdefault(event["attempt"], []).append(event)
        receivers.setdefault((event["attempt"], event["service"]), set()).add(event["server"])
    for attempt, events in executions.items():
        result = by_attempt.get(attempt)
        if result is None:
            raise GuaranteeViolation(f"{attempt} was executed, but no caller sent it")
        if result["kind"] == "ticket" and len(events) > 1:
            raise GuaranteeViolation(f"non-idempotent {attempt} was executed {len(events)} times, expected once: "
                                     f"{[e['server'] for e in events]}")
        if result["status"] in (429, 503, 408, 421):
            raise GuaranteeViolation(f"{attempt} was answered {result['status']}, which means not executed, but was "
                                     f"executed on {[e['server'] for e in events]}")
        if any(e["target"] != f"/{result['kind']}/{attempt}" for e in events):
            raise GuaranteeViolation(f"{attempt} was executed with another target than /{result['kind']}/{attempt}")
        if result["kind"] == "ticket" and any(e["body"].encode("latin-1") != result["body"] for e in events):
            raise GuaranteeViolation(f"{attempt} was executed with another body than the caller sent")
    for (attempt, service), servers in receivers.items():
        if len(servers) > attempts_per_service:
            raise GuaranteeViolation(f"{attempt} was sent to {len(servers)} servers of {service}, "
                                     f"expected at most {attempts_per_service}")


def count_by_status(results):
    counts = {}
    for result in results:
        counts[result["status"]] = counts.get(result["status"], 0) + 1
    return counts
