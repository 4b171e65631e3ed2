"""End-to-end test of an instance whose callers pipeline requests and do not read the answers.

Usage: flood.py BUILD_DIRECTORY ready|unknown_path|route [CONNECTIONS]

Guards against an instance that holds any number of requests and answers for such callers: its memory grew with the
number of requests until the process ended, and ordinary callers got no answer. The test checks only the process, its
memory and descriptors, and one ordinary request and probe afterwards; it checks neither times nor the share of answered
requests.
"""
import asyncio
import os
import socket
import sys
import tempfile
import threading
import time

from fleet import HOST, PORTS, Deployment, Fleet, GuaranteeViolation, http_exchange

DEFAULT_CONNECTIONS = 6
REQUESTS = 360_000
# Requests that a connection writes at once.
BATCH = 200
# An attack ends after this time also if the instance does not take all requests.
ATTACK_SECONDS = 20.0
# Closed connections are opened again, at most this many times together.
MAX_REOPENS = 2_400
# The instance is told that its machine has this much memory, so that a short attack exceeds it.
MEMORY_MB = 48
# Resident memory of the process plus the bytes that its sockets hold.
MAX_BYTES = MEMORY_MB * 1024 * 1024
MAX_CALLER_CONNECTIONS = 200
# The process may open this many descriptors beyond those of its callers and of the idle process: for connections to
# backend servers, and for connections that it has accepted and is about to close.
EXTRA_DESCRIPTORS = 200
ORDINARY_REQUEST_SECONDS = 60.0
SAMPLE_SECONDS = 0.05

LIMITS = f"memory_mb = {MEMORY_MB}\nmax_connections = {MAX_CALLER_CONNECTIONS}\n"
# Port and path of each attack.
ATTACKS = {
    "ready": (PORTS["readiness"], "/ready"),
    "unknown_path": (PORTS["entry"], "/no/such/route"),
    "route": (PORTS["entry"], "/look/flood"),
}


def open_connection(address):
    """Connects with a small receive buffer, so that the kernel takes few answers on behalf of the caller."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(2.0)
    connection.connect(address)
    return connection


def make_batches(path, thread, count):
    """Returns all requests of a connection. They are made beforehand, so that the sender does not limit the load."""
    return ["".join(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: f{thread}-{first + i}\r\n\r\n"
                    for i in range(BATCH)).encode()
            for first in range(0, count, BATCH)]


def attack(address, batches, thread, end, max_reopens, connections):
    """Sends requests and never reads. Leaves its last connection in `connections`."""
    connection, pending, next_batch, reopens = None, b"", 0, 0
    while (next_batch < len(batches) or pending) and time.monotonic() < end:
        try:
            if connection is None:
                connection, pending = open_connection(address), b""
            if not pending:
                pending = batches[next_batch]
                next_batch += 1
            pending = pending[connection.send(pending):]
        except socket.timeout:
            continue
        except OSError:
            if connection is not None:
                connection.close()
            connection, pending = None, b""
            reopens += 1
            if reopens > max_reopens:
                break
            time.sleep(0.02)
    connections[thread] = (connection, next_batch * BATCH, reopens)


def status_bytes(pid, name):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(name + ":"):
                return int(line.split()[1]) * 1024
    return 0


def socket_bytes(ip):
    """Returns the bytes in the send and receive queues of all TCP sockets of the address."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        for line in file.readlines()[1:]:
            fields = line.split()
            # The queue of a listening socket (state 0A) counts connections.
            if fields[1].startswith(local + ":") and fields[3] != "0A":
                sending, receiving = fields[4].split(":")
                total += int(sending, 16) + int(receiving, 16)
    return total


class Watch:
    """Samples memory and descriptors of an instance."""

    def __init__(self, pid, ip):
        self.pid, self.ip = pid, ip
        self.idle_bytes, self.idle_descriptors = status_bytes(pid, "VmRSS"), self.count_descriptors()
        self.peak_bytes = self.peak_socket_bytes = self.peak_descriptors = 0
        self.stopping = False

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def sample(self):
        sockets = socket_bytes(self.ip)
        self.peak_socket_bytes = max(self.peak_socket_bytes, sockets)
        self.peak_bytes = max(self.peak_bytes, status_bytes(self.pid, "VmRSS") + sockets)
        self.peak_descriptors = max(self.peak_descriptors, self.count_descriptors())

    async def run(self):
        while not self.stopping:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def check(self):
        peak_resident = status_bytes(self.pid, "VmHWM")
        print(f"memory: {self.idle_bytes >> 20} MB idle, {peak_resident >> 20} MB peak resident, "
              f"{self.peak_socket_bytes >> 10} KB peak in sockets, {self.peak_bytes >> 20} MB peak of the sum; "
              f"descriptors: {self.idle_descriptors} idle, {self.peak_descriptors} peak", flush=True)
        if max(peak_resident, self.peak_bytes) > MAX_BYTES:
            raise GuaranteeViolation(f"the instance held {max(peak_resident, self.peak_bytes) >> 20} MB at its peak, "
                                     f"expected at most {MAX_BYTES >> 20} MB")
        allowed = self.idle_descriptors + MAX_CALLER_CONNECTIONS + EXTRA_DESCRIPTORS
        if self.peak_descriptors > allowed:
            raise GuaranteeViolation(f"the instance had {self.peak_descriptors} open descriptors, "
                                     f"expected at most {allowed}")


async def check_ordinary_request(ip):
    """Guards against an instance that serves nobody after the attack. A refusal may be repeated."""
    await check_answered(f"{ip}:{PORTS['readiness']}", "/ready")
    await check_answered(f"{ip}:{PORTS['entry']}", "/look/o")


async def check_answered(address, path):
    end = time.monotonic() + ORDINARY_REQUEST_SECONDS
    count, last = 0, None
    while time.monotonic() < end:
        count += 1
        request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: o{count}\r\n\r\n".encode()
        try:
            last, _, _ = await http_exchange(address, request, end - time.monotonic())
            if last == 200:
                return
        except (OSError, asyncio.TimeoutError) as failure:
            last = repr(failure)
        await asyncio.sleep(0.2)
    raise GuaranteeViolation(f"{path} was not answered with 200 within {ORDINARY_REQUEST_SECONDS} s of the "
                             f"attack; the last of {count} attempts ended with {last}")


async def run(build, name, second_octet, count):
    port, path = ATTACKS[name]
    deployment = Deployment("flood", shards=1, unsharded_servers=3, instances=1, slots=4)
    with tempfile.TemporaryDirectory(prefix="limpet-") as directory:
        fleet = Fleet(build, directory, deployment, second_octet, limits=LIMITS)
        connections = {}
        try:
            await fleet.start()
            ip = fleet.ips[0]
            await check_ordinary_request(ip)
            watch = Watch(fleet.processes[ip].pid, ip)
            watching = asyncio.create_task(watch.run())
            batches = [make_batches(path, i, REQUESTS // count) for i in range(count)]
            end = time.monotonic() + ATTACK_SECONDS
            threads = [threading.Thread(target=attack, args=((ip, port), batches[i], i, end, MAX_REOPENS // count,
                                                             connections))
                       for i in range(count)]
            for thread in threads:
                thread.start()
            while any(thread.is_alive() for thread in threads):
                fleet.check_processes()
                await asyncio.sleep(0.1)
            print(f"{name}: sent {sum(c[1] for c in connections.values())} requests, "
                  f"{sum(c[2] for c in connections.values())} connections closed", flush=True)
            # The connections stay open and unread meanwhile.
            ordinary = None
            try:
                await check_ordinary_request(ip)
            except GuaranteeViolation as failure:
                ordinary = failure
                print(f"{name}: {failure}", flush=True)
            watch.stopping = True
            await watching
            fleet.check_processes()
            watch.check()
            if ordinary is not None:
                raise ordinary
        finally:
            fleet.stop()
            for connection, _, _ in connections.values():
                if connection is not None:
                    connection.close()


def main():
    second_octet = {"ready": 71, "unknown_path": 72, "route": 73}[sys.argv[2]]
    start = time.monotonic()
    count = int(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_CONNECTIONS
    asyncio.run(run(sys.argv[1], sys.argv[2], second_octet, count))
    print(f"passed in {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    main()
