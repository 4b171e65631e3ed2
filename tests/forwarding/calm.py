"""The whole path through real processes for one deployment. Usage: calm.py BUILD_DIRECTORY bureau|cooperative

A calm run, then planned work: a drain, a new route, a server that comes, and instances that restart in turn.
"""
import asyncio
import sys
import tempfile
import time

from fleet import BUREAU, COOPERATIVE, PORTS, Broken, Client, Fleet, check_runs, summary

# Time after which a draining server must get no new work, and after which a configuration must be in force.
DRAIN_SECONDS = 3.0
CONFIGURATION_SECONDS = 3.0
# From the milestone: share of requests of a calm day that are served.
SERVED_SHARE = 0.99


async def check_drain(fleet):
    """Guards against work for a server that leaves."""
    leaving = fleet.servers_of("shard0")[0]
    leaving.state = "draining"
    acknowledged = await fleet.store.put("servers/" + leaving.id, leaving.entry())
    await asyncio.sleep(DRAIN_SECONDS + 1.0)
    late = [e for e in fleet.runs if e["server"] == leaving.id and e["at"] > acknowledged + DRAIN_SECONDS]
    if late:
        raise Broken(f"{leaving.id} got {len(late)} requests more than {DRAIN_SECONDS} s after its drain")
    leaving.crash()
    await fleet.store.put("servers/" + leaving.id, None)
    await fleet.add_backend("shard0", leaving.zone)


async def check_configuration(fleet, client):
    """Guards against instances on which a version is not in force in time."""
    fleet.extra_routes.append(1)
    await fleet.write_configuration()
    await asyncio.sleep(CONFIGURATION_SECONDS)
    for i, ip in enumerate(fleet.ips):
        result = await client.send("extra1", f"extra{i}", f"{ip}:{PORTS['entry']}")
        if result["status"] != 200:
            raise Broken(f"{ip} answers {result['status']} on a route that is {CONFIGURATION_SECONDS} s old")


async def run(build, deployment, base):
    with tempfile.TemporaryDirectory(prefix="limpet-") as directory:
        fleet = Fleet(build, directory, deployment, base)
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
            check_runs(fleet, client)
            counts = summary(client.results)
            print(f"{deployment.name}: {counts}")
            if "cut, no answer" in counts:
                raise Broken("planned work cut off requests that had been read")
            if counts.get(200, 0) < SERVED_SHARE * len(client.results):
                raise Broken(f"less than {SERVED_SHARE:.0%} of the requests were served")
            in_time = sum(1 for r in client.results if r["status"] == 200 and r["seconds"] < 0.6)
            print(f"{deployment.name}: {in_time} of {len(client.results)} within 600 ms, {fleet.store.calls} store calls")
        finally:
            fleet.stop()


def main():
    deployment, base = {"bureau": (BUREAU, 61), "cooperative": (COOPERATIVE, 62)}[sys.argv[2]]
    start = time.monotonic()
    asyncio.run(run(sys.argv[1], deployment, base))
    print(f"passed in {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    main()
