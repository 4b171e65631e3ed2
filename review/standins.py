"""Stand-ins for the platform's store, backends and clients, and a launcher of real instances on loopback.

Everything runs in one asyncio loop and uses only the standard library.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "queries.example"
# The bounds of a small deployment, as the sheets state them.
BOUNDS = {"addrReuseS": 2, "stableWindowMs": 4000, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
          "configApplyMs": 3000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "ttl_max_s": 5}
HEARTBEAT_MS = 1200


async def read_message(reader):
    """Returns the first line, the headers (names in lower case) and the body of a request; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


def free_port(addresses, kinds=(socket.SOCK_STREAM, socket.SOCK_DGRAM)):
    """Returns a port below the ephemeral range that is free on all addresses."""
    while True:
        port = random.randint(20000, 31000)
        try:
            for address in addresses:
                for kind in kinds:
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
            return port
        except OSError:
            continue


class Record:
    """The file with what was sent, answered and run. Times are in seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:.3f} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's store."""

    def __init__(self, host):
        self.host, self.port = host, free_port([host], (socket.SOCK_STREAM,))
        self.items, self.history, self.revision = {}, [], 1
        self.changed = asyncio.Condition()
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512)

    async def put(self, key, value):
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["deleted"] = True
        else:
            event["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            event["created"] = self.items.get(key, event).get("created", self.revision)
            event["lease"] = 0
            self.items[key] = event
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                status, value = await self.answer(message[0].split(" ")[1])
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(encode_answer(status, headers, json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def answer(self, target):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {}) if item is None else (200, {**item, "currentRev": self.revision})
        if parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                         "currentRev": self.revision}
        if parts.path != "/kv-watch":
            return 404, {}
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def stamp(server_id, attempt):
    return f"{server_id}.{hashlib.sha256(f'{server_id}|{attempt}'.encode()).hexdigest()[:12]}"


def body_of(server_id, attempt):
    """Returns the bytes that a backend answers to an attempt."""
    return hashlib.sha256(f"body|{server_id}|{attempt}".encode()).digest() * 8


class Backend:
    """A backend. `work_s` returns the time that one request takes. `runs` lists (time, attempt, backend id)."""

    def __init__(self, server_id, service, zone, host, work_s, runs, record, slots=3, queue=12):
        self.id, self.service, self.zone, self.work_s, self.runs = server_id, service, zone, work_s, runs
        self.record, self.slots, self.queue = record, slots, queue
        self.host, self.port = host, free_port([host], (socket.SOCK_STREAM,))
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.free, self.running, self.waiting = asyncio.Semaphore(slots), 0, 0
        self.server, self.writers = None, set()

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "configVersion": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                if not await self.handle(message, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    def load(self):
        return "X-Server-Load", f"{self.running},{self.waiting},{self.slots}"

    async def handle(self, message, writer):
        line, headers, body = message
        method, target, _ = line.split(" ", 2)
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") != self.id:
            return await self.send(writer, encode_answer(421, [("X-Instance-Id", self.id)]))
        if self.waiting >= self.queue:
            return await self.send(writer, encode_answer(503, [("X-Not-Executed", "1"), self.load()]))
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append((time.monotonic(), attempt, self.id))
            self.record.line(f"run {attempt} {self.id}")
            try:
                return await self.run(attempt, writer)
            finally:
                self.running -= 1

    async def run(self, attempt, writer):
        await asyncio.sleep(self.work_s())
        return await self.answer(attempt, writer)

    async def answer(self, attempt, writer):
        headers = [("X-Attempt-Id", attempt), ("X-Server-Stamp", stamp(self.id, attempt)), self.load(),
                   ("Keep-Alive", "timeout=15")]
        return await self.send(writer, encode_answer(200, headers, body_of(self.id, attempt)))

    @staticmethod
    async def send(writer, data):
        writer.write(data)
        await writer.drain()
        return True


def render(template, values):
    """Fills in the sections and values of a settings template that deploy/settings.ini uses."""
    def lookup(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def text(value):
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        value = lookup(match[1])
        return "" if value is None or value is False else match[2].replace("{{.}}", text(value))

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(lookup(match[1])), template)


def run_command():
    """Returns the command that the deploy file states."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "([^"]+)"', file.read(), flags=re.M)[1].split()


class Fleet:
    """Instances of limpetrouterd, started with the command and the template of the deploy file."""

    def __init__(self, directory, record, count=9):
        self.directory, self.record = directory, record
        self.net = random.randint(20, 220)
        self.ips = [f"127.{self.net}.{1 + i % len(ZONES)}.{1 + i}" for i in range(count)]
        self.zones = {ip: ZONES[i % len(ZONES)] for i, ip in enumerate(self.ips)}
        self.ports = {}
        for name in ("front", "ready", "control", "directory", "inner"):
            while (port := free_port(self.ips)) in self.ports.values():
                pass
            self.ports[name] = port
        self.store = Store(f"127.{self.net}.200.1")
        self.processes, self.version, self.config = {}, 0, None
        self.instance_of = {}
        with open(os.path.join(ROOT, "deploy/settings.ini"), encoding="utf-8") as file:
            self.template = file.read()

    def backend_host(self):
        return f"127.{self.net}.100.1"

    def address(self, ip, name):
        return f"{ip}:{self.ports[name]}"

    def settings(self, ip):
        fields = {"ip": ip, "zone": self.zones[ip], "limits": {"cpuShare": 0.25}, "bounds": BOUNDS,
                  "heartbeatMs": HEARTBEAT_MS, "internalPorts": [self.ports["inner"], self.ports["inner"] + 15],
                  "bindAddrs": {name: self.address(ip, name) for name in ("front", "ready", "control", "directory")},
                  "seeds": [self.address(seed, "control") for seed in self.ips[:3]],
                  "platform": {"address": self.store.address}}
        return render(self.template, fields)

    def start(self, ip):
        path = os.path.join(self.directory, ip + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(ip))
        command = run_command()
        command[command.index("--config") + 1] = path
        with open(os.path.join(self.directory, ip + ".log"), "ab") as log:
            self.processes[ip] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.line(f"start {ip}")

    async def wait_ready(self, ips, seconds=15):
        end = time.monotonic() + seconds
        for ip in ips:
            while await http_status(self.address(ip, "ready"), "/ready") != 200:
                if time.monotonic() > end or self.processes[ip].poll() is not None:
                    raise RuntimeError(f"{ip} is not ready")
                await asyncio.sleep(0.05)

    def signal(self, ip, number):
        self.record.line(f"signal {ip} {signal.Signals(number).name}")
        self.processes[ip].send_signal(number)

    async def put_config(self, routes, services):
        self.version += random.randint(1, 3)
        self.config = {"configVersion": self.version, "routes": routes,
                       "services": [{"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                                     "tls": False} for name in services],
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                                  "idleTimeoutMs": 15000}}
        await self.store.put("op/config", self.config)
        self.record.line(f"config {self.version}")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


class Connection:
    """A client's connection to an instance."""

    def __init__(self, address, reader, writer):
        self.address, self.reader, self.writer = address, reader, writer
        self.used_at = time.monotonic()

    @staticmethod
    async def open(address, timeout=1.0):
        host, port = address.rsplit(":", 1)
        return Connection(address, *await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout))

    async def exchange(self, request, timeout):
        """Returns status, headers and body, or raises ConnectionError if the answer is not complete."""
        self.writer.write(request)
        try:
            answer = await asyncio.wait_for(read_message(self.reader), timeout)
        finally:
            self.used_at = time.monotonic()
        if answer is None:
            raise ConnectionError("the connection ended without a complete answer")
        return int(answer[0].split(" ")[1]), answer[1], answer[2]

    def close(self):
        self.writer.close()


async def http_status(address, path):
    try:
        connection = await Connection.open(address)
    except (OSError, asyncio.TimeoutError):
        return 0
    try:
        return (await connection.exchange(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), 2.0))[0]
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        connection.close()


class AddressBook:
    """The addresses of a client, from the directory. A patient client keeps an answer three times as long."""

    def __init__(self, fleet, zone, patient=False):
        self.fleet, self.zone, self.factor = fleet, zone, 3 if patient else 1
        self.addresses, self.expires = [], 0.0

    async def current(self):
        if time.monotonic() < self.expires:
            return self.addresses
        nearest = sorted(self.fleet.ips, key=lambda ip: (self.fleet.zones[ip] != self.zone, random.random()))
        for ip in nearest[:3]:
            try:
                connection = await Connection.open(self.fleet.address(ip, "directory"))
            except (OSError, asyncio.TimeoutError):
                continue
            try:
                target = f"/resolve?name={HOST}&region=region&zone={self.zone}"
                status, _, body = await connection.exchange(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), 1.0)
                answer = json.loads(body)
                if status == 200 and answer["addrs"]:
                    self.addresses = answer["addrs"]
                    ttl = min(answer["ttl_s"], BOUNDS["ttl_max_s"])
                    self.expires = time.monotonic() + ttl * self.factor
                    return self.addresses
            except (OSError, asyncio.TimeoutError, ValueError, KeyError):
                continue
            finally:
                connection.close()
        return self.addresses


def finish(code):
    """Ends the process at once, because sockets of an ended event loop would only print warnings."""
    sys.stdout.flush()
    os._exit(code)
