"""End-to-end test of one deployment with real processes and without faults.

Usage: calm.py BUILD_DIRECTORY bureau|cooperative

The test first runs a steady load alone. Under the same load, it then does planned maintenance: it drains a backend
server, adds a replacement, publishes a new route, and restarts two instances one after the other.
"""
import asyncio
import sys
import tempfile
import time

from fleet import BUREAU, COOPERATIVE, PORTS, GuaranteeViolation, Client, Fleet, check_executions, count_by_status

# A backend server must get no new requests later than this after its drain is published.
DRAIN_SECONDS = 3.0
# A published configuration must be in force on all instances within this time.
CONFIGURATION_SECONDS = 3.0
# Share of requests that must be answered with 200 in a run without faults, as the project's milestone requires.
SERVED_SHARE = 0.99


async def check_drain(fleet):
    """Guards against requests that are still sent to a draining backend server."""
    leaving = fleet.servers_of("shard0")[0]
    leaving.state = "draining"
    drain_time = await fleet.store.put("servers/" + leaving.id, leaving.registry_entry())
    await asyncio.sleep(DRAIN_SECONDS + 1.0)
    late = [e for e in fleet.backend_events if e["server"] == leaving.id and e["at"] > drain_time + DRAIN_SECONDS]
    if late:
        raise GuaranteeViolation(f"{leaving.id} got {len(late)} requests later than {DRAIN_SECONDS} s "
                                 "after its drain, expected none")
    leaving.crash()
    await fleet.store.put("servers/" + leaving.id, None)
    await fleet.add_backend("shard0", leaving.zone)


async def check_configuration(fleet, client):
    """Guards against instances that do not apply a new configuration in time."""
    fleet.extra_routes.append(1)
    await fleet.write_configuration()
    await asyncio.sleep(CONFIGURATION_SECONDS)
    for i, ip in enumerate(fleet.ips):
        result = await client.send("extra1", f"extra{i}", f"{ip}:{PORTS['entry']}")
        if result["status"] != 200:
            raise GuaranteeViolation(f"{ip} answers {result['status']}, expected 200, on a route that was published "
                                     f"{CONFIGURATION_SECONDS} s ago")


async def run(build, deployment, second_octet):
    with tempfile.TemporaryDirectory(prefix="limpet-") as directory:
        fleet = Fleet(build, directory, deployment, second_octet)
        try:
            await fleet.start()
            client = Client(fleet, rate=60)
            load = asyncio.create_task(client.run())
            await asyncio.sleep(4.0)
            await check_drain(fleet)
            await check_configuration(fleet, client)
            for ip in fleet.ips[:2]:
                await fleet.stop_gracefully(ip)
                fleet.start_instance(ip)
                await fleet.wait_ready([ip])
            await asyncio.sleep(2.0)
            fleet.check_processes()
            client.stopping = True
            await load
            await asyncio.sleep(0.5)
            check_executions(fleet, client)
            counts = count_by_status(client.results)
            print(f"{deployment.name}: {counts}")
            if "incomplete answer" in counts:
                raise GuaranteeViolation(f"{counts['incomplete answer']} requests that an instance had read got no "
                                         "complete answer during planned maintenance, expected 0")
            if counts.get(200, 0) < SERVED_SHARE * len(client.results):
                raise GuaranteeViolation(f"{counts.get(200, 0)} of {len(client.results)} requests were answered with "
                                         f"200, expected at least {SERVED_SHARE:.0%}")
            in_time = sum(1 for r in client.results if r["status"] == 200 and r["seconds"] < 0.6)
            print(f"{deployment.name}: {in_time} of {len(client.results)} requests answered with 200 within 600 ms, "
                  f"{fleet.store.call_count} store calls")
        finally:
            fleet.stop()


def main():
    deployment, second_octet = {"bureau": (BUREAU, 61), "cooperative": (COOPERATIVE, 62)}[sys.argv[2]]
    start = time.monotonic()
    asyncio.run(run(sys.argv[1], deployment, second_octet))
    print(f"passed in {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    main()
