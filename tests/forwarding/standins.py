"""Stand-ins for the platform: a store, backend servers, and a loopback proxy that injects connection faults.

Everything runs on one asyncio loop. The events that the backend servers record are the authoritative list of executed
requests. Only the standard library is used.
"""
import asyncio
import base64
import hashlib
import json
import random
import socket
import struct
import time
import zlib
from urllib.parse import parse_qs, unquote, urlsplit

RECORD_BYTES = 16
# Statuses of the failures of a server that has executed the request. An instance must not pass the last four on, as
# they promise the caller that the request was not executed.
FAILURE_STATUSES = (500, 503, 429, 408, 421)


async def read_request(reader):
    """Returns method, target, headers (names in lower case) and body of the next request.

    Returns None if the connection is closed before a complete request has arrived.
    """
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


def close_on_cancellation(serve):
    """Decorates a connection handler so that its cancellation closes the connection.

    A connection that is still open when the event loop ends is not an error.
    """
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
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    # The socket is already closed if the other direction of a proxied connection closed it.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Store:
    """The platform's key-value store: items with revisions, watches, and injected faults.

    `mode` is "up", "unresponsive", "reset", "lossy" (resets 40% of the calls) or "unavailable" (answers 503). `delay_s`
    is added to each answer, and calls from `refused_ips` are answered 503.
    """

    def __init__(self, address):
        self.host, self.port = address.rsplit(":", 1)
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.revision = 1
        # Rises by one when the store is restored from an older copy, after which it gives out revisions again.
        self.epoch = 1
        self.items_changed = asyncio.Condition()
        self.mode = "up"
        self.delay_s = 0.0
        self.refused_ips = set()
        self.server = None
        self.call_count = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, int(self.port), backlog=512)

    def stop(self):
        self.server.close()

    async def put(self, key, value):
        """Writes an item, or deletes it if `value` is None. Returns the monotonic time of its acknowledgement."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            event = {"key": key, "revision": self.revision, "created": self.revision, "lease": 0, "value": text}
            self.items[key] = event
        self.history.append(event)
        async with self.items_changed:
            self.items_changed.notify_all()
        return time.monotonic()

    def compact(self):
        """Drops the history, so that watches from older revisions are answered 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def copy(self):
        """Returns a copy of the contents for `restore`."""
        return dict(self.items), list(self.history), self.compacted_revision, self.revision

    async def restore(self, copy):
        """Goes back to an earlier copy of the contents. Everything that was written since is lost."""
        items, history, self.compacted_revision, self.revision = copy
        self.items, self.history = dict(items), list(history)
        self.epoch += 1
        async with self.items_changed:
            self.items_changed.notify_all()

    def events_after(self, prefix, after):
        return [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

    @close_on_cancellation
    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        while request := await read_request(reader):
            self.call_count += 1
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.mode == "unresponsive":
                await asyncio.sleep(3600)
            if self.mode == "reset" or (self.mode == "lossy" and random.random() < 0.4):
                return reset(writer)
            if self.mode == "unavailable" or peer in self.refused_ips:
                answer = self.json(503, {})
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
                if after < self.compacted_revision or after > self.revision:
                    return self.json(410, {})
                events = self.events_after(prefix, after)
                remaining = end - time.monotonic()
                if events or remaining <= 0:
                    return self.json(200, {"events": events, "currentRev": self.revision})
                try:
                    async with self.items_changed:
                        await asyncio.wait_for(self.items_changed.wait(), remaining)
                except asyncio.TimeoutError:
                    pass
        return self.json(404, {})

    def json(self, status, value):
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.epoch))]
        return encode_answer(status, headers, json.dumps(value).encode())


def server_stamp(server_id, service, attempt):
    digest = hashlib.sha256(f"{server_id}|{service}|{attempt}".encode()).hexdigest()[:12]
    return f"{server_id}.{service}.{digest}"


def records(service, attempt, count):
    """Returns the records that each backend server of a service holds for a request."""
    data = b""
    for i in range(count):
        data += hashlib.md5(f"{service}|{attempt}|{i}".encode()).digest()
    return data


class Backend:
    """One incarnation of a backend server.

    All backend servers append to the shared list `events`: "received" when a request arrives, and "executed" once its
    execution begins. `slots` is the number of requests that are executed at once, and `service_time_s` the median time
    of one execution. `advertised` is the address in the registry entry if it differs from the listening address.
    """

    def __init__(self, server_id, service, zone, address, events, slots=4, service_time_s=0.015, advertised=None):
        self.id, self.service, self.zone, self.address = server_id, service, zone, address
        self.advertised = advertised or address
        self.events, self.slots, self.service_time_s = events, slots, service_time_s
        self.start_time_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.free_slots = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        # Factor on the service time.
        self.slowdown = 1.0
        self.fault = None
        self.fault_probability = 0.0
        self.server = None
        self.writers = set()

    def registry_entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.advertised, "zone": self.zone, "configVersion": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.sequence, "born": self.start_time_ms}

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=512)

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    @close_on_cancellation
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
        self.events.append({"at": time.monotonic(), "event": "received", "attempt": attempt, "server": self.id,
                            "service": self.service, "deadline_ms": headers.get("x-deadline-ms")})
        if headers.get("x-expect-instance") != self.id:
            return await self.send(writer, encode_answer(421, [("X-Instance-Id", self.id)], b""))
        fault = self.fault if random.random() < self.fault_probability else None
        if fault == "shed" or self.waiting > 3 * self.slots:
            return await self.send(writer, encode_answer(503, [echo, ("X-Not-Executed", "1")], b""))
        if fault == "unresponsive":
            await asyncio.sleep(30)
            return False
        self.waiting += 1
        async with self.free_slots:
            self.waiting -= 1
            self.running += 1
            # From here on the request counts as executed, even if its answer is lost.
            self.events.append({"at": time.monotonic(), "event": "executed", "attempt": attempt, "server": self.id,
                                "service": self.service, "body": body.decode("latin-1"), "target": target})
            await asyncio.sleep(self.service_time_s * self.slowdown * random.lognormvariate(0, 0.3))
            self.running -= 1
        if fault == "reset":
            reset(writer)
            return False
        load = ("X-Server-Load", f"{self.running},{self.waiting},{self.slots}")
        stamp = ("X-Server-Stamp", server_stamp(self.id, self.service, attempt))
        if fault == "error":
            # The status follows from the attempt, so that the random numbers of a seed stay the same.
            status = FAILURE_STATUSES[zlib.crc32(attempt.encode()) % len(FAILURE_STATUSES)]
            return await self.send(writer, encode_answer(status, [echo, stamp], b"failed"))
        answer = encode_answer(200, [echo, stamp, load], records(self.service, attempt, 8))
        if fault == "truncate":
            await self.send(writer, answer[:-40])
            reset(writer)
            return False
        if fault == "duplicate":
            answer += answer
        return await self.send(writer, answer)

    @staticmethod
    async def send(writer, data):
        writer.write(data)
        await writer.drain()
        return True


class Proxy:
    """Forwards connections to `target` and injects faults.

    `delay` in seconds is added to each chunk. `blocked_direction` is "to_server", "to_client" or "both"; bytes in that
    direction are not forwarded, and the connection stays open without a reset.
    """

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.delay = 0.0
        self.blocked_direction = None
        self.writers = set()
        self.server = None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=512)

    def stop(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    @close_on_cancellation
    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        self.writers.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.writers.discard(writer)
            return reset(writer)
        self.writers.add(server_writer)
        await asyncio.gather(self.pump(reader, server_writer, "to_server"),
                             self.pump(server_reader, writer, "to_client"))
        self.writers -= {writer, server_writer}

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.blocked_direction in (direction, "both"):
                    # The bytes are never forwarded: the connection becomes unresponsive without a reset.
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, RuntimeError):
            reset(writer)
