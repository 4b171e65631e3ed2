"""Shared parts of the scripts of the third review: a small deployment of the project's own programs and stand-ins.

The stand-ins are those of tests/forwarding. Each script runs from the root of the repository, after the build of the
deploy file.
"""
import asyncio
import os
import random
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "forwarding"))

import fleet as fleet_module  # noqa: E402
from fleet import HOST, PORTS, ZONES, Deployment, Fleet, GuaranteeViolation, http_exchange, http_status  # noqa: E402,F401

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# What deploy/settings.ini becomes on a machine of sites/kwrc-search.toml, except for the memory.
SETTINGS = """[instance]
name = {ip}
data_centre = {zone}
capacity = 0.25
[listen]
http = {ip}:{control}
peer = {ip}:{peer}
threads = 1
[peers]
seeds = {seeds}
port = {peer}
[limits]
backend_threads = 1
memory_mb = {memory_mb}
max_descriptors = 4100
{limits}[forwarding]
entry = {ip}:{entry}
readiness = {ip}:{readiness}
directory = {ip}:{directory}
store = {store}
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 58
max_address_validity_s = 5
contracts = base,drain,config,cost,retry,recover,scatter,platform
server_heartbeat_ms = 1200
shutdown_grace_s = 6
"""


class ReviewFleet(Fleet):
    """A fleet whose routes have the bounds of sites/kwrc-search.toml."""

    async def write_configuration(self):
        await super().write_configuration()
        bounds = {"sweep": {"timeoutMs": 1500, "targetLatencyMs": 150, "topK": 50, "minCoverage": 0.89},
                  "ticket": {"timeoutMs": 6000}, "look": {"timeoutMs": 6000}}
        for route in self.configuration["routes"]:
            route.update(bounds.get(route["name"], {}))
        return await self.store.put("op/config", self.configuration)

    def start_instance(self, ip):
        # A line holds the path of its request, so that an attack would fill the disk.
        log = os.path.join(self.directory, ip + ".log")
        if not os.path.lexists(log):
            os.symlink(os.devnull, log)
        super().start_instance(ip)


class Record:
    """Writes record.txt in the folder of the case, with the seconds since its start in front of each line."""

    def __init__(self, script):
        self.file = open(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:7.2f} {text}"
        print(line, flush=True)
        print(line, file=self.file, flush=True)


def free_octet():
    """Returns a second octet of loopback addresses at which no fleet runs."""
    for octet in random.sample(range(130, 250), 40):
        sockets = []
        try:
            for address in ((f"127.{octet}.200.1", 9000), (f"127.{octet}.1.1", PORTS["entry"])):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind(address)
            return octet
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise OSError("no free loopback addresses")


def run_case(script, deployment, play, memory_mb=260):
    """Starts the deployment and plays the case, which returns HELD or BROKEN. Exits with that code, or with 2.

    `memory_mb` is the memory that each machine is said to have.
    """
    fleet_module.SETTINGS = SETTINGS.replace("{memory_mb}", str(memory_mb))
    record = Record(script)
    record(f"trouble: {'yes' if TROUBLE else 'no'}")
    program = os.path.join(ROOT, "target", "limpetrouterd")
    if not os.access(program, os.X_OK):
        record("target/limpetrouterd is missing: run the build of deploy/system.toml first")
        sys.exit(NOT_RUN)

    async def run():
        with tempfile.TemporaryDirectory(prefix="limpet-review-") as directory:
            fleet = ReviewFleet(os.path.dirname(program), directory, deployment, free_octet())
            try:
                await fleet.start()
                return await asyncio.wait_for(play(fleet, record), 100)
            finally:
                fleet.stop()

    async def run_to_verdict():
        try:
            code = await run()
        except Exception as failure:  # Whatever prevents the case from running is no verdict about the rule.
            traceback.print_exc()
            record(f"the case could not run: {type(failure).__name__}: {failure}".replace(ROOT, "."))
            code = NOT_RUN
        record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "no verdict"}[code])
        sys.stdout.flush()
        # All processes have ended. The event loop would wait for the connections of the stand-ins.
        os._exit(code)

    asyncio.run(run_to_verdict())
