"""Servers that execute requests and then fail, with statuses by which an answer promises that it was not executed.

Usage: failing_servers.py BUILD_DIRECTORY

Guards against a caller that sends a request again because an instance passed such a status on.
"""
import asyncio
import random
import sys
import tempfile

from fleet import COOPERATIVE, PORTS, GuaranteeViolation, Client, Deployment, Fleet, check_executions, count_by_status

REQUESTS = 200
FAILURE_PROBABILITY = 0.4
# Fewer failures than this would show nothing.
MIN_FAILURES = 20


async def run(build):
    with tempfile.TemporaryDirectory(prefix="limpet-") as directory:
        deployment = Deployment(COOPERATIVE.name, 2, 6, instances=3, slots=COOPERATIVE.slots)
        fleet = Fleet(build, directory, deployment, 66)
        try:
            await fleet.start()
            for backend in fleet.backends.values():
                backend.fault, backend.fault_probability = "error", FAILURE_PROBABILITY
            client = Client(fleet, rate=0)
            for number in range(REQUESTS):
                kind = ("ticket", "look", "ticket", "sweep")[number % 4]
                address = f"{fleet.ips[number % len(fleet.ips)]}:{PORTS['entry']}"
                await client.send(kind, f"failing{number}", address)
            counts = count_by_status(client.results)
            print(f"{REQUESTS} requests: {counts}")
            check_executions(fleet, client)
            if counts.get(502, 0) < MIN_FAILURES:
                raise GuaranteeViolation(f"{counts.get(502, 0)} requests were answered with 502, "
                                         f"expected at least {MIN_FAILURES}")
        finally:
            fleet.stop()


def main():
    random.seed(1)
    try:
        asyncio.run(run(sys.argv[1]))
    except GuaranteeViolation as failure:
        print(f"BROKEN: {failure}")
        sys.exit(1)


if __name__ == "__main__":
    main()
