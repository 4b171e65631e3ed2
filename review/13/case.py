"""A backend server crashes, starts again under its id and address, and at first turns requests away with Retry-After.

Its entry in the service registry follows one heartbeat later. No request is under way while it is down. The case is broken if the instance sends it more than two
requests between half a second after such a refusal and the end of the time that it asked for.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from support3 import BROKEN, HELD, HOST, PORTS, TROUBLE, Deployment, http_exchange, run_case  # noqa: E402
import fleet as fleet_module  # noqa: E402
import standins  # noqa: E402

REQUESTS_PER_S = 20
CALM_S = 3.0
# Callers send nothing from this time before the crash until the server listens again.
QUIET_S = 0.5
DOWN_S = 1.0
# From the start to the first entry: less than the heartbeat of 1.2 s.
ENTRY_AFTER_S = 1.1
# For this time after its start, the server turns all requests away; then it serves what it gets.
STARTING_S = 0.8
PAUSE_S = 6.0
# The rule counts from then on, and allows two requests.
FREE_S = 0.5
ALLOWED = 2


class StartingBackend(standins.Backend):
    """A backend server that asks for a pause while it starts."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.started = None
        self.refusals, self.arrivals = [], []

    async def handle(self, request, writer):
        now = time.monotonic()
        if self.started is None:
            return await super().handle(request, writer)
        self.arrivals.append(now)
        if now - self.started >= STARTING_S:
            return await super().handle(request, writer)
        self.refusals.append(now)
        attempt = request[2].get("x-attempt-id", "")
        return await self.send(writer, standins.encode_answer(
            503, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1"), ("Retry-After", str(int(PAUSE_S)))], b""))


fleet_module.Backend = StartingBackend


async def send_request(ip, number, statuses):
    attempt = f"pause{number}"
    request = (f"GET /look/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 6000\r\n\r\n")
    try:
        status, _, _ = await http_exchange(f"{ip}:{PORTS['entry']}", request.encode(), 7.0)
    except (OSError, asyncio.TimeoutError) as failure:
        status = type(failure).__name__
    statuses[status] = statuses.get(status, 0) + 1


async def restart(fleet, record):
    """Crashes one backend server of `archive` and starts it again. Returns the new process."""
    former = fleet.servers_of("archive")[0]
    former.state = "crashed"
    former.crash()
    record(f"backend server {former.id} crashes")
    await asyncio.sleep(DOWN_S)
    server = StartingBackend(former.id, former.service, former.zone, former.address, fleet.backend_events,
                             slots=former.slots, service_time_s=former.service_time_s)
    server.started = time.monotonic()
    await server.start()
    fleet.backends[server.id] = server
    record(f"backend server {server.id} listens again at its address")
    await asyncio.sleep(ENTRY_AFTER_S)
    await fleet.store.put("servers/" + server.id, server.registry_entry())
    record(f"backend server {server.id} has written its entry, with the time of its new start")
    return server


async def play(fleet, record):
    used, statuses, tasks, number = fleet.ips[0], {}, [], 0
    begin, restarting = time.monotonic(), None
    crash = begin + CALM_S
    quiet_end = crash + DOWN_S + 0.1
    next_request = begin
    while time.monotonic() < quiet_end + PAUSE_S + 1.0:
        now = time.monotonic()
        if TROUBLE and restarting is None and now >= crash:
            restarting = asyncio.create_task(restart(fleet, record))
        if crash - QUIET_S <= now < quiet_end:
            next_request = quiet_end
        if now >= next_request:
            tasks.append(asyncio.create_task(send_request(used, number, statuses)))
            number += 1
            next_request += 1 / REQUESTS_PER_S
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    record(f"{number} requests sent, all at {used}; answered: {statuses}")
    if restarting is None:
        return HELD
    server = await restarting
    if not server.refusals:
        raise RuntimeError("no request reached the server before its entry")
    first = server.refusals[0]
    late = [at for at in server.arrivals if any(at >= said + FREE_S and at < said + PAUSE_S for said in server.refusals)]
    record(f"{server.id} answered {len(server.refusals)} requests 503 with Retry-After: {int(PAUSE_S)}, the first one "
           f"{first - server.started:.2f} s after its start")
    for at in late[:20]:
        record(f"a request reached {server.id} {at - first:.2f} s after its first refusal")
    record(f"{len(late)} requests reached it later than {FREE_S} s after a refusal and before the end of the time that "
           f"it asked for; {ALLOWED} are allowed")
    return BROKEN if len(late) > ALLOWED else HELD


run_case(__file__, Deployment("review", shards=2, unsharded_servers=2, instances=3, slots=3), play)
