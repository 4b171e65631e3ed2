"""Randomised soak: real processes, faults from outside, promises checked from what callers and servers see.

Usage: soak.py BUILD_DIRECTORY [--seed N] [--seconds S] [--instances N] [--keep DIRECTORY]
Exits with 1 if a promise does not hold; the seed and the list of faults are printed, and the logs stay in DIRECTORY.
"""
import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from fleet import BUREAU, COOPERATIVE, Broken, Client, Deployment, Fleet, check_runs, summary

# A draining server gets no new work after this time, as the platform's bounds say.
DRAIN_SECONDS = 3.0
# Disturbances excuse time bounds for this long after they end.
STABLE_SECONDS = 4.0
# After the last fault the system must be well again within this time, as after the loss of the whole fleet.
RECOVERY_SECONDS = 12.0
RECOVERED_SHARE = 0.97


class Soak:
    def __init__(self, fleet, seed):
        self.fleet, self.seed = fleet, seed
        self.log = []
        self.disturbed = []
        self.drains = []
        self.start = time.monotonic()

    def note(self, text):
        self.log.append(f"{time.monotonic() - self.start:7.2f} s  {text}")

    def disturb(self, seconds):
        """Excuses time bounds from now until some seconds after the end of a fault."""
        now = time.monotonic()
        self.disturbed.append((now - STABLE_SECONDS, now + seconds + STABLE_SECONDS))

    async def restart(self, ip, down):
        await asyncio.sleep(down)
        self.fleet.start_instance(ip)

    def live(self):
        return [ip for ip in self.fleet.processes if ip not in self.fleet.expected_exits]

    async def kill(self):
        ip = random.choice(self.live())
        self.disturb(2)
        self.fleet.kill(ip)
        self.note(f"SIGKILL {ip}")
        await self.restart(ip, random.uniform(0.1, 1.5))

    async def kill_all(self):
        ips = self.live()
        self.disturb(3)
        self.note("SIGKILL all")
        for ip in ips:
            self.fleet.kill(ip)
        await asyncio.gather(*(self.restart(ip, random.uniform(0.2, 1.0)) for ip in ips))

    async def pause(self):
        ip, seconds = random.choice(self.live()), random.uniform(0.3, 3.0)
        self.disturb(seconds)
        self.note(f"SIGSTOP {ip} for {seconds:.1f} s")
        process = self.fleet.processes[ip]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    async def terminate(self):
        if len(self.live()) < 3:
            return
        ip = random.choice(self.live())
        self.note(f"SIGTERM {ip}")
        try:
            await self.fleet.stop_gracefully(ip)
        except KeyError:
            return
        await self.restart(ip, 0.2)

    async def hang_up(self):
        ip = random.choice(self.live())
        self.note(f"SIGHUP {ip}")
        self.fleet.signal(ip, signal.SIGHUP)

    async def store_fault(self):
        store, seconds = self.fleet.store, random.uniform(0.5, 4.0)
        mode = random.choice(("silent", "reset", "busy", "lossy", "slow", "compacted", "some"))
        self.note(f"store {mode} for {seconds:.1f} s")
        self.disturb(seconds)
        if mode == "compacted":
            store.compact()
        elif mode == "slow":
            store.slow = 0.3
        elif mode == "some":
            store.refused = set(random.sample(self.fleet.ips, len(self.fleet.ips) // 3 + 1))
        else:
            store.mode = mode
        await asyncio.sleep(seconds)
        store.mode, store.slow, store.refused = "up", 0.0, set()

    async def backend_fault(self):
        fault = random.choice(("shed", "lose", "cut", "extra", "error", "mute", "slow"))
        share, seconds = random.uniform(0.05, 0.6), random.uniform(0.5, 4.0)
        servers = random.sample(list(self.fleet.backends.values()), max(1, len(self.fleet.backends) // 6))
        self.note(f"{len(servers)} servers {fault} x {share:.2f} for {seconds:.1f} s")
        for server in servers:
            server.slow = 8.0 if fault == "slow" else 1.0
            server.fault, server.fault_share = (None if fault == "slow" else fault), share
        await asyncio.sleep(seconds)
        for server in servers:
            server.slow, server.fault = 1.0, None

    async def backend_crash(self):
        servers = [s for s in self.fleet.backends.values()
                   if s.state == "ready" and len(self.fleet.servers_of(s.service)) > 1]
        server = random.choice(servers)
        self.note(f"crash {server.id} of {server.service}")
        server.state = "gone"
        server.crash()
        await asyncio.sleep(random.uniform(0.5, 3.6))
        await self.fleet.store.put("servers/" + server.id, None)
        await self.fleet.add_backend(server.service, server.zone)
        del self.fleet.backends[server.id]

    async def drain(self):
        servers = [s for s in self.fleet.backends.values()
                   if s.state == "ready" and len(self.fleet.servers_of(s.service)) > 1]
        server = random.choice(servers)
        await self.fleet.add_backend(server.service, server.zone)
        server.state = "draining"
        at = await self.fleet.store.put("servers/" + server.id, server.entry())
        self.drains.append((server.id, at))
        self.note(f"drain {server.id} of {server.service}")
        await asyncio.sleep(DRAIN_SECONDS + 2.0)
        server.crash()
        await self.fleet.store.put("servers/" + server.id, None)
        self.fleet.backends.pop(server.id, None)

    async def link_fault(self):
        proxies = random.sample(list(self.fleet.proxies.values()), max(1, len(self.fleet.proxies) // 8))
        fault, seconds = random.choice(("delay", "reset", "out", "back", "both")), random.uniform(0.3, 3.0)
        self.note(f"{len(proxies)} links {fault} for {seconds:.1f} s")
        for proxy in proxies:
            if fault == "delay":
                proxy.delay = random.uniform(0.01, 0.1)
            elif fault == "reset":
                proxy.reset_all()
            else:
                proxy.cut = fault
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.delay, proxy.cut = 0.0, None

    async def configure(self):
        self.fleet.extra_routes = random.sample(range(20), random.randint(0, 6))
        self.note(f"configuration with {len(self.fleet.extra_routes)} more routes")
        await self.fleet.write_configuration()

    async def run_faults(self, seconds):
        """Faults in a random order that overlap."""
        actions = [self.kill, self.pause, self.terminate, self.hang_up, self.store_fault, self.backend_fault,
                   self.backend_fault, self.backend_crash, self.drain, self.link_fault, self.configure]
        running = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            action = self.kill_all if random.random() < 0.03 else random.choice(actions)
            if self.live():
                task = asyncio.create_task(action())
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(random.expovariate(1.2))
            self.fleet.check_processes()
        for ended in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(ended, BaseException) and not isinstance(ended, (KeyError, ProcessLookupError, IndexError)):
                raise ended

    def check_drains(self):
        for server_id, at in self.drains:
            if any(begin < at + DRAIN_SECONDS and end > at for begin, end in self.disturbed):
                continue
            late = [e for e in self.fleet.runs if e["server"] == server_id and e["at"] > at + DRAIN_SECONDS]
            if late:
                raise Broken(f"{server_id} got {len(late)} requests later than {DRAIN_SECONDS} s after its drain")


async def run(options, directory):
    random.seed(options.seed)
    chosen = random.choice((BUREAU, COOPERATIVE))
    deployment = Deployment(chosen.name, 5, 6, instances=options.instances, slots=chosen.slots)
    fleet = Fleet(options.build, directory, deployment, 70 + options.seed % 100, proxied=True)
    soak = Soak(fleet, options.seed)
    try:
        await fleet.start()
        client = Client(fleet, rate=40)
        load = asyncio.create_task(client.run())
        await asyncio.sleep(1.0)
        await soak.run_faults(options.seconds)
        soak.note("faults end")
        for ip in fleet.ips:
            if ip not in fleet.processes:
                fleet.start_instance(ip)
        await fleet.wait_ready(fleet.ips, RECOVERY_SECONDS)
        await asyncio.sleep(STABLE_SECONDS)
        calm_from = time.monotonic()
        await asyncio.sleep(3.0)
        client.stopping = True
        await load
        await asyncio.sleep(0.5)
        fleet.check_processes()
        check_runs(fleet, client)
        soak.check_drains()
        calm = [r for r in client.results if r["begin"] >= calm_from]
        served = sum(1 for r in calm if r["status"] == 200)
        if served < RECOVERED_SHARE * len(calm):
            raise Broken(f"{served} of {len(calm)} requests are served after the faults: {summary(calm)}")
        print(f"seed {options.seed}: {len(soak.log)} faults, {summary(client.results)}")
    except BaseException:
        print(f"seed {options.seed}: faults:\n  " + "\n  ".join(soak.log))
        raise
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--keep", help="where the logs of a failed run go")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="limpet-soak-") as directory:
        try:
            asyncio.run(run(options, directory))
        except (Broken, AssertionError) as failure:
            print(f"seed {options.seed}: BROKEN: {failure}")
            if options.keep:
                shutil.copytree(directory, os.path.join(options.keep, f"seed-{options.seed}"), dirs_exist_ok=True)
            sys.exit(1)


if __name__ == "__main__":
    main()
