"""Scenarios with real processes. Usage: scenarios.py BUILD_DIRECTORY SCENARIO...

Bounds come from section 7.2 of docs/design.md. What backend servers did is read from their execution log.
"""
import copy
import http.client
import os
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from fleet import Fleet, Load, call, outcomes, wait_until

BUILD = sys.argv[1]

# Time after a loss by which the fleet must be in its steady state again.
STEADY_SECONDS = 5.0
# Time within which a revision must be in force on all instances.
REVISION_SECONDS = 4.0
# Time after which a draining backend server must get no new work.
DRAIN_SECONDS = 2.0
# Backend server crashes that one crashing request may cause in the whole fleet.
MOST_CRASHES = 2

SWEEP = {"collection": "stock-ledger", "operation": "sweep"}
SHORT_VALIDITY = {"address_validity_ms": 1000, "permit_validity_ms": 10000}


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def check_sweeps(fleet, results, what):
    """Every sweep answered in full, with the true totals of the ledger."""
    ledger = fleet.ledger(SWEEP["collection"])
    for entry in results:
        answer = entry["answer"]
        check(entry["outcome"] == "ok", f"{what}: {entry['name']} answered {entry['outcome']}: {answer}")
        check(answer["coverage"]["complete"] and answer["totals"] == ledger["totals"],
              f"{what}: {entry['name']} answered {answer['coverage']} {answer['totals']}, true totals are {ledger}")
    check(results, f"{what}: no results")
    slowest = max(entry["seconds"] for entry in results)
    print(f"{what}: {len(results)} sweeps, all whole and equal to the ledger, slowest {slowest * 1000:.0f} ms")


def whole(deployment, writes):
    """A deployment answers every search with its true totals, and runs a request that is not repeatable once.

    Guards against wiring faults that tests of single parts can't see: settings, protocols, placement, merging.
    """
    with Fleet(deployment, BUILD) as fleet:
        names = list(fleet.instances)
        searches = 0
        for collection in fleet.rules["collections"]:
            ledger = fleet.ledger(collection["id"])
            for operation in collection["operations"]:
                if operation["shards"] != "all":
                    continue
                status, answer = fleet.query(names[searches % len(names)], collection["id"], operation["id"])
                check(status == 200, f"{collection['id']} {operation['id']}: {answer}")
                check(answer["coverage"]["documents_total"] == ledger["documents"] and answer["coverage"]["complete"],
                      f"{collection['id']}: coverage {answer['coverage']}, ledger {ledger}")
                check(answer["totals"] == ledger["totals"],
                      f"{collection['id']}: totals {answer['totals']}, ledger {ledger['totals']}")
                searches += 1
        collection, operation, key = writes
        status, answer = fleet.query(names[0], collection, operation, key=key)
        check(answer.get("error") == "permit_required" and answer["executed"] == "no", f"without a permit: {answer}")
        permit = fleet.permits(names[0], 1)[0]
        answers = [fleet.query(name, collection, operation, key=key, permit=permit) for name in names]
        check(all(status == 200 for status, _ in answers), f"resends through all instances: {answers}")
        check(len({answer["query_id"] for _, answer in answers}) == 1, f"answers of several runs: {answers}")
        check(fleet.execution_count(key) == 1, f"{key} ran {fleet.execution_count(key)} times")
        print(f"{deployment}: {searches} searches equal to the ledger; {key} sent {len(names)} times, ran once")


def whole_bureau():
    whole("bureau", ("custody-archive", "transfer", "TRANSFER-90001"))


def whole_cooperative():
    whole("cooperative", ("job-board", "repair", "TICKET-90001"))


def instance_killed():
    """Guards against answers lost or cut when a gatherer dies with calls in flight."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        victim, *others = fleet.instances
        load = Load(fleet, others, SWEEP, rate=40)
        time.sleep(1.5)
        fleet.kill(victim)
        killed = time.monotonic()
        time.sleep(STEADY_SECONDS + 1)
        results = load.finish()
        check_sweeps(fleet, [r for r in results if r["begin"] < killed], "before the kill")
        check_sweeps(fleet, [r for r in results if r["begin"] >= killed + STEADY_SECONDS], "in the steady state")
        check_sweeps(fleet, results, "whole run")


def instance_paused():
    """Guards against a frozen gatherer holding up queries, and against a resumed process that acts on old views."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        victim, *others = fleet.instances
        load = Load(fleet, others, SWEEP, rate=40)
        time.sleep(1)
        fleet.signal(victim, signal.SIGSTOP)
        frozen = time.monotonic()
        time.sleep(4)
        fleet.signal(victim, signal.SIGCONT)
        resumed = time.monotonic()
        # Requests that may have waited during the pause are refused as not run; sweeps must work soon after.
        first = timed_sweep(fleet, victim)
        while first["outcome"] != "ok" and time.monotonic() < resumed + STEADY_SECONDS:
            check(first["outcome"] == "process_paused" and first["answer"]["executed"] == "no", f"resumed: {first}")
            first = timed_sweep(fleet, victim)
        own = [first] + [timed_sweep(fleet, victim) for _ in range(4)]
        time.sleep(1)
        results = load.finish()
        check_sweeps(fleet, [r for r in results if frozen + 1 <= r["begin"] < resumed],
                     "from the first second after the freeze")
        check_sweeps(fleet, results, "whole run")
        check_sweeps(fleet, own, "through the resumed instance")


def timed_sweep(fleet, name):
    begin = time.monotonic()
    status, answer = fleet.query(name, **SWEEP)
    return {"name": name, "begin": begin, "seconds": time.monotonic() - begin, "answer": answer,
            "outcome": "ok" if status == 200 else answer.get("error")}


def instance_leaves():
    """Guards against requests cut off by a graceful shutdown, at the leaving instance and at the others."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        leaving, *others = fleet.instances
        at_leaving = Load(fleet, [leaving], SWEEP, rate=30)
        elsewhere = Load(fleet, others, SWEEP, rate=30)
        time.sleep(1)
        fleet.signal(leaving, signal.SIGTERM)
        # Callers use an address until the answer that named it has expired.
        time.sleep(SHORT_VALIDITY["address_validity_ms"] / 1000)
        own = at_leaving.finish()
        code = fleet.processes.pop(leaving).wait(15)
        time.sleep(1)
        check_sweeps(fleet, own, "at the leaving instance")
        check_sweeps(fleet, elsewhere.finish(), "at the others")
        check(code == 0, f"exit code {code}")
        _, answer = call(fleet.address(others[0]), "GET", "/v1/addresses?caller=process-tests")
        check(leaving not in [entry["instance"] for entry in answer["addresses"]], "a left instance is handed out")


def publish(fleet, **values):
    return fleet.platform_control({"publish": values})["revision"]


def platform_down_and_stale():
    """Guards against queries that need the platform, against new instances that can't start without it, and against
    an accepted revision that reverts when the service is stale."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        names = list(fleet.instances)
        revision = publish(fleet, rules=fleet.rules)
        wait_until(lambda: all(fleet.revision(n) == revision for n in names), REVISION_SECONDS, "revision in force")
        load = Load(fleet, names[1:], SWEEP, rate=30)
        fleet.platform_control({"down": True})
        time.sleep(1)
        fleet.kill(names[0])
        fleet.start_instance(names[0])
        fleet.wait_ready([names[0]], STEADY_SECONDS)
        fleet.platform_control({"down": False, "stale_revision": 1})
        for _ in range(20):
            seen = {name: fleet.revision(name) for name in names}
            check(set(seen.values()) == {revision}, f"revisions {seen}, accepted was {revision}")
            time.sleep(0.1)
        check_sweeps(fleet, load.finish(), "with the platform down and stale")
        check_sweeps(fleet, [timed_sweep(fleet, names[0])], "through the instance that started without the platform")


def revision_in_force():
    """Guards against slow or incomplete spread of a revision, and against an invalid one that replaces a valid one."""
    fleet = Fleet("bureau", BUILD, limits=SHORT_VALIDITY)
    cut_off = list(fleet.instances)[4]
    path = os.path.join(fleet.directory, "settings", cut_off + ".ini")
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path, "w", encoding="utf-8") as file:
        file.write(text.replace(fleet.summary["platform"] + "/", fleet.summary["platform_second"] + "/"))
    with fleet:
        names = list(fleet.instances)
        fleet.platform_control({"address": fleet.summary["platform_second"], "down": True})
        for _ in range(3):
            revision = publish(fleet, rules=fleet.rules)
            _, elapsed = wait_until(lambda: all(fleet.revision(n) == revision for n in names), REVISION_SECONDS,
                                    f"revision {revision} on all instances, one of them cut off from the service")
            print(f"revision {revision} in force on {len(names)} instances after {elapsed * 1000:.0f} ms")
        broken = copy.deepcopy(fleet.rules)
        broken["collections"][0]["operations"][0]["shards"] = "some"
        refused = publish(fleet, rules=broken)
        time.sleep(1)
        reports = [call(fleet.address(n), "GET", "/v1/status/configuration")[1] for n in names]
        check(all(r["revision"] == revision for r in reports), f"an invalid revision came into force: {reports}")
        check(any((r["refused"] or {}).get("revision") == refused for r in reports), f"refusal not reported: {reports}")
        status = call(fleet.summary["platform_control"], "GET", "/control")[1]
        check(status["rejected_calls"] == 0, f"call rate exceeded: {status}")


def backend_server_drains():
    """Guards against calls that are still sent to a backend server that said that it drains, with the configuration
    service down. A call that the server has to refuse counts as new work too."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        load = Load(fleet, fleet.instances, SWEEP, rate=60)
        time.sleep(1)
        fleet.platform_control({"down": True})
        servers = ["stock-01-a", "stock-05-b"]
        before = fleet.execution_log()
        for server in servers:
            check(any(e["server"] == server for e in before), f"{server} got no work before its drain")
            fleet.backend_control({"server": server, "set": {"draining": True}})
        drained = time.time()
        time.sleep(DRAIN_SECONDS + 3)
        check_sweeps(fleet, load.finish(), "while two backend servers drain")
        late = [e for e in fleet.execution_log() if e["server"] in servers and e["event"] in ("started", "not_run")
                and e["t"] / 1e6 > drained + DRAIN_SECONDS]
        check(not late, f"{len(late)} calls after {DRAIN_SECONDS} s, for example {late[:2]}")


def crashing_request():
    """Guards against a request that takes down one backend server after the other."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        names = list(fleet.instances)
        # The bound holds as long as the instances agree on the holders.
        fleet.wait_agreed()
        load = Load(fleet, names, SWEEP, rate=20)
        request = {**SWEEP, "body": {"crash": True}, "deadline_ms": 2000}

        def send(number):
            status, answer = fleet.query(names[number % len(names)], **request)
            return {"outcome": "ok" if status == 200 else answer.get("error")}

        with ThreadPoolExecutor(10) as pool:
            answers = list(pool.map(send, range(50)))
        wait_until(lambda: all(call(fleet.address(n), "GET", "/v1/status/withheld")[1]["withheld"] for n in names),
                   DRAIN_SECONDS, "withheld on all instances")
        crashes = [e["server"] for e in fleet.execution_log() if e["event"] == "server_crashed"]
        check(len(crashes) <= MOST_CRASHES, f"{len(crashes)} crashes: {crashes}, answers {outcomes(answers)}")
        check("ok" not in outcomes(answers), f"answers {outcomes(answers)}")
        print(f"50 crashing requests: {len(crashes)} crashes, answers {outcomes(answers)}")
        check_sweeps(fleet, load.finish(), "other requests meanwhile")


def at_most_once():
    """Guards against a second run when a request is sent again while the owner of its permit dies, and against "not
    run" for a request that ran."""
    count = 30
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        owner, *others = fleet.instances
        fleet.backend_control({"service": "custody", "set": {"median_us": 150_000}})
        permits = fleet.permits(owner, count)

        def send(number, attempt):
            name = others[(number + attempt) % len(others)]
            try:
                status, answer = fleet.query(name, "custody-archive", "transfer", key=f"TRANSFER-{95000 + number}",
                                             permit=permits[number], deadline_ms=2000)
            except (OSError, http.client.HTTPException) as failure:
                return {"outcome": type(failure).__name__, "executed": "unknown"}
            if status == 200:
                return {"outcome": "ok", "executed": "yes"}
            return {"outcome": answer.get("error"), "executed": answer.get("executed")}

        with ThreadPoolExecutor(3 * count) as pool:
            sent = [(n, pool.submit(send, n, attempt)) for attempt in range(3) for n in range(count)]
            time.sleep(0.25)
            fleet.kill(owner)
            answers = [(n, future.result()) for n, future in sent]
            answers += [(n, send(n, 3)) for n in range(count)]
        time.sleep(0.5)
        runs = [fleet.execution_count(f"TRANSFER-{95000 + n}") for n in range(count)]
        for number in range(count):
            own = [answer for n, answer in answers if n == number]
            check(runs[number] <= 1, f"request {number} ran {runs[number]} times: {own}")
            if any(answer["executed"] == "no" for answer in own):
                check(runs[number] == 0, f"request {number} ran, but an answer says that it did not: {own}")
            if any(answer["outcome"] == "ok" for answer in own):
                check(runs[number] == 1, f"request {number} succeeded without a run: {own}")
        print(f"{count} requests sent 4 times each: {sum(runs)} ran, answers {outcomes(a for _, a in answers)}")


def main():
    for name in sys.argv[2:]:
        start = time.monotonic()
        globals()[name]()
        print(f"{name}: passed in {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    main()
