"""Randomised soak test: injects faults into real processes and checks the guarantees to callers and backend servers.

Usage: soak.py BUILD_DIRECTORY [--seed N] [--seconds S] [--instances N] [--keep DIRECTORY]
Exits with 1 and prints the seed and the list of faults if a guarantee is violated. With --keep, the logs of the failed
run are copied to DIRECTORY.
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

from fleet import BUREAU, COOPERATIVE, GuaranteeViolation, Client, Deployment, Fleet, check_executions, count_by_status

# A backend server must get no new requests later than this after its drain is published, as the platform requires.
DRAIN_SECONDS = 3.0
# Time in which the fleet settles after a fault. A drain is not checked against DRAIN_SECONDS if it overlaps with a
# fault, or with this time before or after one. The final measurement begins this long after all instances are ready.
STABLE_SECONDS = 4.0
# All instances must be ready within this time after the last fault, the bound that holds after the loss of the whole
# fleet.
RECOVERY_SECONDS = 12.0
# Share of requests that must be answered with 200 once the fleet has recovered.
RECOVERED_SHARE = 0.97
# Entries of backend servers that do not run expire this long after the store was restored from a copy with them.
ENTRY_LIFETIME_SECONDS = 3.6


class Soak:
    def __init__(self, fleet, seed):
        self.fleet, self.seed = fleet, seed
        self.fault_log = []
        self.disturbances = []
        self.drains = []
        self.start = time.monotonic()

    def log_event(self, text):
        self.fault_log.append(f"{time.monotonic() - self.start:7.2f} s  {text}")

    def add_disturbance(self, seconds):
        """Records a fault that begins now and lasts `seconds`. Time bounds are not checked around it."""
        now = time.monotonic()
        self.disturbances.append((now - STABLE_SECONDS, now + seconds + STABLE_SECONDS))

    async def restart(self, ip, down_seconds):
        await asyncio.sleep(down_seconds)
        self.fleet.start_instance(ip)

    def live_instances(self):
        return [ip for ip in self.fleet.processes if ip not in self.fleet.expected_exits]

    async def kill(self):
        ip = random.choice(self.live_instances())
        self.add_disturbance(2)
        self.fleet.kill(ip)
        self.log_event(f"SIGKILL {ip}")
        await self.restart(ip, random.uniform(0.1, 1.5))

    async def kill_all(self):
        ips = self.live_instances()
        self.add_disturbance(3)
        self.log_event("SIGKILL all")
        for ip in ips:
            self.fleet.kill(ip)
        await asyncio.gather(*(self.restart(ip, random.uniform(0.2, 1.0)) for ip in ips))

    async def pause(self):
        ip, seconds = random.choice(self.live_instances()), random.uniform(0.3, 3.0)
        self.add_disturbance(seconds)
        self.log_event(f"SIGSTOP {ip} for {seconds:.1f} s")
        process = self.fleet.processes[ip]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    async def terminate(self):
        if len(self.live_instances()) < 3:
            return
        ip = random.choice(self.live_instances())
        self.log_event(f"SIGTERM {ip}")
        try:
            await self.fleet.stop_gracefully(ip)
        except KeyError:
            return
        await self.restart(ip, 0.2)

    async def send_sighup(self):
        ip = random.choice(self.live_instances())
        self.log_event(f"SIGHUP {ip}")
        self.fleet.signal(ip, signal.SIGHUP)

    async def store_fault(self):
        store, seconds = self.fleet.store, random.uniform(0.5, 4.0)
        mode = random.choice(("unresponsive", "reset", "unavailable", "lossy", "slow", "compacted",
                              "partially_unavailable"))
        self.log_event(f"store {mode} for {seconds:.1f} s")
        self.add_disturbance(seconds)
        if mode == "compacted":
            store.compact()
        elif mode == "slow":
            store.delay_s = 0.3
        elif mode == "partially_unavailable":
            store.refused_ips = set(random.sample(self.fleet.ips, len(self.fleet.ips) // 3 + 1))
        else:
            store.mode = mode
        await asyncio.sleep(seconds)
        store.mode, store.delay_s, store.refused_ips = "up", 0.0, set()

    async def store_restored(self):
        store, age, away, write_delay = (self.fleet.store, random.uniform(0.3, 6.0), random.uniform(0.0, 2.0),
                                         random.uniform(0.0, 1.0))
        copy = store.copy()
        await self.publish_configuration()
        await asyncio.sleep(age)
        self.add_disturbance(away + write_delay + ENTRY_LIFETIME_SECONDS)
        store.mode = random.choice(("unresponsive", "reset", "unavailable"))
        await asyncio.sleep(away)
        await store.restore(copy)
        self.log_event(f"store restored from a copy {age:.1f} s old, after {away:.1f} s; written again within "
                       f"{write_delay:.1f} s")
        # Some of what was lost may be written again before instances reach the store.
        writes_first = random.random() < 0.5
        if not writes_first:
            store.mode = "up"
            await asyncio.sleep(write_delay)
        await self.publish_configuration()
        await self.fleet.write_all_again()
        store.mode = "up"
        await asyncio.sleep(ENTRY_LIFETIME_SECONDS)
        await self.fleet.remove_expired_entries()

    async def backend_fault(self):
        fault = random.choice(("shed", "reset", "truncate", "duplicate", "error", "unresponsive", "slow"))
        probability, seconds = random.uniform(0.05, 0.6), random.uniform(0.5, 4.0)
        servers = random.sample(list(self.fleet.backends.values()), max(1, len(self.fleet.backends) // 6))
        self.log_event(f"{len(servers)} backend servers: {fault} with probability {probability:.2f} "
                       f"for {seconds:.1f} s")
        for server in servers:
            server.slowdown = 8.0 if fault == "slow" else 1.0
            server.fault, server.fault_probability = (None if fault == "slow" else fault), probability
        await asyncio.sleep(seconds)
        for server in servers:
            server.slowdown, server.fault = 1.0, None

    async def backend_crash(self):
        servers = [s for s in self.fleet.backends.values()
                   if s.state == "ready" and len(self.fleet.servers_of(s.service)) > 1]
        server = random.choice(servers)
        self.log_event(f"crash {server.id} of {server.service}")
        server.state = "crashed"
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
        drain_time = await self.fleet.store.put("servers/" + server.id, server.registry_entry())
        self.drains.append((server.id, drain_time))
        self.log_event(f"drain {server.id} of {server.service}")
        await asyncio.sleep(DRAIN_SECONDS + 2.0)
        server.crash()
        await self.fleet.store.put("servers/" + server.id, None)
        self.fleet.backends.pop(server.id, None)

    async def connection_fault(self):
        proxies = random.sample(list(self.fleet.proxies.values()), max(1, len(self.fleet.proxies) // 8))
        fault, seconds = random.choice(("delay", "reset", "to_server", "to_client", "both")), random.uniform(0.3, 3.0)
        self.log_event(f"{len(proxies)} proxies: {fault} for {seconds:.1f} s")
        for proxy in proxies:
            if fault == "delay":
                proxy.delay = random.uniform(0.01, 0.1)
            elif fault == "reset":
                proxy.reset_all()
            else:
                proxy.blocked_direction = fault
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.delay, proxy.blocked_direction = 0.0, None

    async def publish_configuration(self):
        self.fleet.extra_routes = random.sample(range(20), random.randint(0, 6))
        self.log_event(f"publish a configuration with {len(self.fleet.extra_routes)} extra routes")
        await self.fleet.write_configuration()

    async def run_faults(self, seconds):
        """Injects faults in random order for `seconds`. Faults may overlap."""
        actions = [self.kill, self.pause, self.terminate, self.send_sighup, self.store_fault, self.store_restored,
                   self.backend_fault, self.backend_fault, self.backend_crash, self.drain, self.connection_fault,
                   self.publish_configuration]
        running = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            action = self.kill_all if random.random() < 0.03 else random.choice(actions)
            if self.live_instances():
                task = asyncio.create_task(action())
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(random.expovariate(1.2))
            self.fleet.check_processes()
        for ended in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(ended, BaseException) and not isinstance(ended, (KeyError, ProcessLookupError, IndexError)):
                raise ended

    def check_drains(self):
        for server_id, drain_time in self.drains:
            if any(begin < drain_time + DRAIN_SECONDS and end > drain_time for begin, end in self.disturbances):
                continue
            late = [e for e in self.fleet.backend_events
                    if e["server"] == server_id and e["at"] > drain_time + DRAIN_SECONDS]
            if late:
                raise GuaranteeViolation(f"{server_id} got {len(late)} requests later than {DRAIN_SECONDS} s after its "
                                         "drain, expected none")


async def run(options, directory):
    random.seed(options.seed)
    base_deployment = random.choice((BUREAU, COOPERATIVE))
    deployment = Deployment(base_deployment.name, 5, 6, instances=options.instances, slots=base_deployment.slots)
    fleet = Fleet(options.build, directory, deployment, 70 + options.seed % 100, use_proxies=True)
    soak = Soak(fleet, options.seed)
    try:
        await fleet.start()
        client = Client(fleet, rate=40)
        load = asyncio.create_task(client.run())
        await asyncio.sleep(1.0)
        await soak.run_faults(options.seconds)
        soak.log_event("faults end")
        for ip in fleet.ips:
            if ip not in fleet.processes:
                fleet.start_instance(ip)
        await fleet.wait_ready(fleet.ips, RECOVERY_SECONDS)
        await asyncio.sleep(STABLE_SECONDS)
        recovered_from = time.monotonic()
        await asyncio.sleep(3.0)
        client.stopping = True
        await load
        await asyncio.sleep(0.5)
        fleet.check_processes()
        check_executions(fleet, client)
        await fleet.check_configuration()
        soak.check_drains()
        recovered = [r for r in client.results if r["begin"] >= recovered_from]
        served = sum(1 for r in recovered if r["status"] == 200)
        if served < RECOVERED_SHARE * len(recovered):
            raise GuaranteeViolation(f"{served} of {len(recovered)} requests were answered with 200 after the faults, "
                                     f"expected at least {RECOVERED_SHARE:.0%}: {count_by_status(recovered)}")
        print(f"seed {options.seed}: {len(soak.fault_log)} faults, {count_by_status(client.results)}")
    except BaseException:
        print(f"seed {options.seed}: faults:\n  " + "\n  ".join(soak.fault_log))
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
        except (GuaranteeViolation, AssertionError) as failure:
            print(f"seed {options.seed}: BROKEN: {failure}")
            if options.keep:
                shutil.copytree(directory, os.path.join(options.keep, f"seed-{options.seed}"), dirs_exist_ok=True)
            sys.exit(1)


if __name__ == "__main__":
    main()
