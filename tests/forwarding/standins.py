"""Stand-ins for the platform: a store, backend servers, and a loopback proxy that harms connections.

Everything runs on one asyncio loop. Backend servers keep the only true record of what ran. Standard library only.
"""
import asyncio
import base64
import hashlib
import json
import random
import socket
import struct
import time
from urllib.parse import parse_qs, unquote, urlsplit

RECORD_BYTES = 16


async def read_request(reader):
    """Returns method, target, headers (lower case) and body of the next request, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


def ends_with_loop(serve):
    """A connection that still runs when the loop ends is not a failure."""
    async def run(self, reader, writer):
        try:
            await serve(self, reader, writer)
        except asyncio.CancelledError:
            writer.close()
    return run


def encode_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    # The other direction of a proxied connection may have closed it already.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Store:
    """The platform's store: items with revisions, watches, and the faults that it may have."""

    def __init__(self, address):
        self.host, self.port = address.rsplit(":", 1)
        self.items = {}
        self.history = []
        self.oldest = 0
        self.revision = 1
        self.changed = asyncio.Condition()
        self.mode = "up"
        self.slow = 0.0
        self.refused = set()
        self.server = None
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, int(self.port), backlog=512)

    def stop(self):
        self.server.close()

    async def put(self, key, value):
        """Writes an item, or deletes it if `value` is None. Returns the time of the acknowledgement."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            event = {"key": key, "revision": self.revision, "created": self.revision, "lease": 0, "value": text}
            self.items[key] = event
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()
        return time.monotonic()

    def compact(self):
        self.history.clear()
        self.oldest = self.revision

    def events_after(self, prefix, after):
        return [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

    @ends_with_loop
    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        while request := await read_request(reader):
            self.calls += 1
            if self.slow:
                await asyncio.sleep(self.slow)
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode == "reset" or (self.mode == "lossy" and random.random() < 0.4):
                return reset(writer)
            if self.mode == "busy" or peer in self.refused:
                answer = encode_answer(503, [], b"{}")
            else:
                answer = await self.answer(request[1])
            try:
                writer.write(answer)
                await writer.drain()
            except ConnectionError:
                break
        writer.close()

    async def answer(self, target):
        parts = urlsplit(target)
        query = {name: unquote(values[0]) for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:50]]
            return self.json(200, {"items": page, "hasMore": len(keys) > 50, "currentRev": self.revision})
        if parts.path == "/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                if after < self.oldest:
                    return self.json(410, {})
                events = self.events_after(prefix, after)
                left = end - time.monotonic()
                if events or left <= 0:
                    return self.json(200, {"events": events, "currentRev": self.revision})
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return self.json(404, {})

    @staticmethod
    def json(status, value):
        return encode_answer(status, [("Content-Type", "application/json")], json.dumps(value).encode())


def signature(server_id, service, attempt):
    digest = hashlib.sha256(f"{server_id}|{service}|{attempt}".encode()).hexdigest()[:12]
    return f"{server_id}.{service}.{digest}"


def records(service, attempt, count):
    """The records that a shard holds for a request: the same from each of its servers."""
    out = b""
    for i in range(count):
        out += hashlib.md5(f"{service}|{attempt}|{i}".encode()).digest()
    return out


class Backend:
    """One start of a backend server. `runs` is the record that all backend servers share."""

    def __init__(self, server_id, service, zone, address, runs, slots=4, work=0.015, advertised=None):
        self.id, self.service, self.zone, self.address = server_id, service, zone, address
        self.advertised = advertised or address
        self.runs, self.slots, self.work = runs, slots, work
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.slots_free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.slow = 1.0
        self.fault = None
        self.fault_share = 0.0
        self.server = None
        self.writers = set()

    def entry(self):
        return {"service": self.service, "address": self.advertised, "zone": self.zone, "configVersion": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": 1, "born": self.born}

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=512)

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    @ends_with_loop
    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self.handle(request, writer):
                    break
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        _, target, headers, body = request
        attempt = headers.get("x-attempt-id", "")
        echo = ("X-Attempt-Id", attempt)
        self.runs.append({"at": time.monotonic(), "event": "arrived", "attempt": attempt, "server": self.id,
                          "service": self.service, "patience": headers.get("x-deadline-ms")})
        if headers.get("x-expect-instance") != self.id:
            return await self.send(writer, encode_answer(421, [("X-Instance-Id", self.id)], b""))
        fault = self.fault if random.random() < self.fault_share else None
        if fault == "shed" or self.waiting > 3 * self.slots:
            return await self.send(writer, encode_answer(503, [echo, ("X-Not-Executed", "1")], b""))
        if fault == "mute":
            await asyncio.sleep(30)
            return False
        self.waiting += 1
        async with self.slots_free:
            self.waiting -= 1
            self.running += 1
            # From here on the request has run, whatever becomes of its answer.
            self.runs.append({"at": time.monotonic(), "event": "ran", "attempt": attempt, "server": self.id,
                              "service": self.service, "body": body.decode("latin-1"), "target": target})
            await asyncio.sleep(self.work * self.slow * random.lognormvariate(0, 0.3))
            self.running -= 1
        if fault == "lose":
            reset(writer)
            return False
        load = ("X-Server-Load", f"{self.running},{self.waiting},{self.slots}")
        stamp = ("X-Server-Stamp", signature(self.id, self.service, attempt))
        if fault == "error":
            return await self.send(writer, encode_answer(500, [echo, stamp], b"failed"))
        answer = encode_answer(200, [echo, stamp, load], records(self.service, attempt, 8))
        if fault == "cut":
            await self.send(writer, answer[:-40])
            reset(writer)
            return False
        if fault == "extra":
            answer += answer
        return await self.send(writer, answer)

    @staticmethod
    async def send(writer, data):
        writer.write(data)
        await writer.drain()
        return True


class Proxy:
    """Carries connections to `target` and harms them as told: delay, reset, cut one way, silence."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.delay = 0.0
        self.cut = None
        self.links = set()
        self.server = None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=512)

    def stop(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self.links):
            reset(writer)

    @ends_with_loop
    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        self.links.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.links.discard(writer)
            return reset(writer)
        self.links.add(far_writer)
        await asyncio.gather(self.pump(reader, far_writer, "out"), self.pump(far_reader, writer, "back"))
        self.links -= {writer, far_writer}

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.cut in (way, "both"):
                    # The bytes are held for good: the connection falls silent without a reset.
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, RuntimeError):
            reset(writer)
