"""Scenarios with real processes. Usage: scenarios.py BUILD_DIRECTORY SCENARIO...

The time bounds come from section 7.2 of docs/design.md. The execution log of the backend servers shows which requests
were executed.
"""
import copy
import http.client
import os
import signal
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from fleet import Fleet, Load, call, outcomes, wait_until

BUILD = sys.argv[1]

# The fleet must be in its steady state again within this time after the loss of an instance.
STEADY_SECONDS = 5.0
# A published revision must be in force on all instances within this time.
REVISION_SECONDS = 4.0
# A backend server must get no new calls later than this after it starts to drain.
DRAIN_SECONDS = 2.0
# Largest number of backend server crashes that one crashing request may cause in the whole fleet.
MOST_CRASHES = 2
# Statuses by which an answer promises that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)

SWEEP = {"collection": "stock-ledger", "operation": "sweep"}
SHORT_VALIDITY = {"address_validity_ms": 1000, "permit_validity_ms": 10000}


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def check_sweeps(fleet, results, description):
    """Checks that every sweep got a complete answer whose totals equal the ledger."""
    ledger = fleet.ledger(SWEEP["collection"])
    for entry in results:
        answer = entry["answer"]
        check(entry["outcome"] == "ok", f"{description}: {entry['name']} answered {entry['outcome']}: {answer}")
        check(answer["coverage"]["complete"] and answer["totals"] == ledger["totals"],
              f"{description}: {entry['name']} answered {answer['coverage']} {answer['totals']}, "
              f"expected a complete answer with {ledger}")
    check(results, f"{description}: expected at least one sweep, found none")
    slowest = max(entry["seconds"] for entry in results)
    print(f"{description}: {len(results)} sweeps, all complete and equal to the ledger, "
          f"slowest {slowest * 1000:.0f} ms")


def check_deployment(deployment, non_repeatable_request):
    """Checks that every search returns the totals of the ledger, and that a non-repeatable request is executed once.

    Guards against integration faults that tests of single components do not show: in settings, protocols, placement and
    merging. `non_repeatable_request` is (collection, operation, key).
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
                check(status == 200, f"{collection['id']} {operation['id']}: status {status}, expected 200: {answer}")
                check(answer["coverage"]["documents_total"] == ledger["documents"] and answer["coverage"]["complete"],
                      f"{collection['id']}: coverage {answer['coverage']}, expected complete coverage of {ledger}")
                check(answer["totals"] == ledger["totals"],
                      f"{collection['id']}: totals {answer['totals']}, expected {ledger['totals']}")
                searches += 1
        collection, operation, key = non_repeatable_request
        status, answer = fleet.query(names[0], collection, operation, key=key)
        check(answer.get("error") == "permit_required" and answer["executed"] == "no",
              f"without a permit: {answer}, expected permit_required and not executed")
        permit = fleet.permits(names[0], 1)[0]
        answers = [fleet.query(name, collection, operation, key=key, permit=permit) for name in names]
        check(all(status == 200 for status, _ in answers),
              f"resends through all instances, expected status 200 from each: {answers}")
        check(len({answer["query_id"] for _, answer in answers}) == 1,
              f"resends got the answers of several queries, expected one: {answers}")
        check(fleet.execution_count(key) == 1, f"{key} was executed {fleet.execution_count(key)} times, expected once")
        print(f"{deployment}: {searches} searches equal to the ledger; {key} sent {len(names)} times, executed once")


def whole_bureau():
    check_deployment("bureau", ("custody-archive", "transfer", "TRANSFER-90001"))


def whole_cooperative():
    check_deployment("cooperative", ("job-board", "repair", "TICKET-90001"))


def instance_killed():
    """Guards against lost or incomplete answers when a gatherer is killed with calls in flight."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        killed, *others = fleet.instances
        load = Load(fleet, others, SWEEP, rate=40)
        time.sleep(1.5)
        fleet.kill(killed)
        kill_time = time.monotonic()
        time.sleep(STEADY_SECONDS + 1)
        results = load.finish()
        check_sweeps(fleet, [r for r in results if r["begin"] < kill_time], "before the kill")
        check_sweeps(fleet, [r for r in results if r["begin"] >= kill_time + STEADY_SECONDS], "in the steady state")
        check_sweeps(fleet, results, "entire run")


def instance_paused():
    """Guards against queries that a paused gatherer delays, and against a resumed process that uses outdated state."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        paused, *others = fleet.instances
        load = Load(fleet, others, SWEEP, rate=40)
        time.sleep(1)
        fleet.signal(paused, signal.SIGSTOP)
        pause_time = time.monotonic()
        time.sleep(4)
        fleet.signal(paused, signal.SIGCONT)
        resume_time = time.monotonic()
        # Requests that may have waited during the pause are refused as not executed. Sweeps must succeed again within
        # STEADY_SECONDS.
        result = timed_sweep(fleet, paused)
        while result["outcome"] != "ok" and time.monotonic() < resume_time + STEADY_SECONDS:
            check(result["outcome"] == "process_paused" and result["answer"]["executed"] == "no",
                  f"through the resumed instance, expected process_paused and not executed: {result}")
            result = timed_sweep(fleet, paused)
        resumed_results = [result] + [timed_sweep(fleet, paused) for _ in range(4)]
        time.sleep(1)
        results = load.finish()
        check_sweeps(fleet, [r for r in results if pause_time + 1 <= r["begin"] < resume_time],
                     "from 1 s after the pause until the resume")
        check_sweeps(fleet, results, "entire run")
        check_sweeps(fleet, resumed_results, "through the resumed instance")


def timed_sweep(fleet, name):
    begin = time.monotonic()
    status, answer = fleet.query(name, **SWEEP)
    return {"name": name, "begin": begin, "seconds": time.monotonic() - begin, "answer": answer,
            "outcome": "ok" if status == 200 else answer.get("error")}


def instance_leaves():
    """Guards against requests that a graceful shutdown interrupts, at the leaving instance and at the others."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        leaving, *others = fleet.instances
        leaving_load = Load(fleet, [leaving], SWEEP, rate=30)
        remaining_load = Load(fleet, others, SWEEP, rate=30)
        time.sleep(1)
        fleet.signal(leaving, signal.SIGTERM)
        # Callers use an address until the validity of the answer that contained it has expired.
        time.sleep(SHORT_VALIDITY["address_validity_ms"] / 1000)
        leaving_results = leaving_load.finish()
        code = fleet.processes.pop(leaving).wait(15)
        time.sleep(1)
        check_sweeps(fleet, leaving_results, "at the leaving instance")
        check_sweeps(fleet, remaining_load.finish(), "at the other instances")
        check(code == 0, f"{leaving} exited with code {code}, expected 0")
        _, answer = call(fleet.address(others[0]), "GET", "/v1/addresses?caller=process-tests")
        check(leaving not in [entry["instance"] for entry in answer["addresses"]],
              f"{leaving} has left, but its address is still returned: {answer}")


def publish(fleet, **values):
    return fleet.platform_control({"publish": values})["revision"]


def platform_down_and_stale():
    """Guards against queries that depend on the platform, against instances that cannot start without it, and against
    an instance that goes back to an older revision when the configuration service returns one."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        names = list(fleet.instances)
        revision = publish(fleet, rules=fleet.rules)
        wait_until(lambda: all(fleet.revision(n) == revision for n in names), REVISION_SECONDS,
                   f"revision {revision} in force on all instances")
        load = Load(fleet, names[1:], SWEEP, rate=30)
        fleet.platform_control({"down": True})
        time.sleep(1)
        fleet.kill(names[0])
        fleet.start_instance(names[0])
        fleet.wait_ready([names[0]], STEADY_SECONDS)
        fleet.platform_control({"down": False, "stale_revision": 1})
        for _ in range(20):
            revisions = {name: fleet.revision(name) for name in names}
            check(set(revisions.values()) == {revision},
                  f"revisions {revisions}, expected {revision} on every instance")
            time.sleep(0.1)
        check_sweeps(fleet, load.finish(), "with the platform down and then stale")
        check_sweeps(fleet, [timed_sweep(fleet, names[0])], "through the instance that started without the platform")


def revision_in_force():
    """Guards against a revision that reaches instances late or not at all, and against an invalid revision that
    replaces a valid one. One instance can't reach the configuration service."""
    fleet = Fleet("bureau", BUILD, limits=SHORT_VALIDITY)
    isolated = list(fleet.instances)[4]
    path = os.path.join(fleet.directory, "settings", isolated + ".ini")
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
                                    f"revision {revision} on all instances, one of them isolated from the service")
            print(f"revision {revision} in force on {len(names)} instances after {elapsed * 1000:.0f} ms")
        invalid_rules = copy.deepcopy(fleet.rules)
        invalid_rules["collections"][0]["operations"][0]["shards"] = "some"
        refused_revision = publish(fleet, rules=invalid_rules)
        time.sleep(1)
        reports = [call(fleet.address(n), "GET", "/v1/status/configuration")[1] for n in names]
        check(all(r["revision"] == revision for r in reports),
              f"expected revision {revision} to stay in force, not an invalid one: {reports}")
        check(any((r["refused"] or {}).get("revision") == refused_revision for r in reports),
              f"no instance reports that it refused revision {refused_revision}: {reports}")
        status = call(fleet.summary["platform_control"], "GET", "/control")[1]
        check(status["rejected_calls"] == 0, f"expected no call above the rate limit of the platform: {status}")


def backend_server_drains():
    """Guards against calls that are still sent to a backend server after it has reported that it is draining, with the
    configuration service down. A call that the server refuses counts as well."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        load = Load(fleet, fleet.instances, SWEEP, rate=60)
        time.sleep(1)
        fleet.platform_control({"down": True})
        servers = ["stock-01-a", "stock-05-b"]
        before = fleet.execution_log()
        for server in servers:
            check(any(e["server"] == server for e in before),
                  f"{server} got no calls before its drain, expected at least one")
            fleet.backend_control({"server": server, "set": {"draining": True}})
        drain_time = time.time()
        time.sleep(DRAIN_SECONDS + 3)
        check_sweeps(fleet, load.finish(), "while two backend servers drain")
        late_calls = [e for e in fleet.execution_log()
                      if e["server"] in servers and e["event"] in ("started", "not_run")
                      and e["t"] / 1e6 > drain_time + DRAIN_SECONDS]
        check(not late_calls,
              f"{len(late_calls)} calls later than {DRAIN_SECONDS} s after the drain, expected none: {late_calls[:2]}")


def crashing_request():
    """Guards against a request that crashes one backend server after another."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        names = list(fleet.instances)
        # MOST_CRASHES holds only while all instances agree on the holders.
        fleet.wait_converged()
        load = Load(fleet, names, SWEEP, rate=20)
        request = {**SWEEP, "body": {"crash": True}, "deadline_ms": 2000}

        def send(number):
            status, answer = fleet.query(names[number % len(names)], **request)
            return {"outcome": "ok" if status == 200 else answer.get("error")}

        with ThreadPoolExecutor(10) as pool:
            answers = list(pool.map(send, range(50)))
        wait_until(lambda: all(call(fleet.address(n), "GET", "/v1/status/withheld")[1]["withheld"] for n in names),
                   DRAIN_SECONDS, "the crashing request is withheld on all instances")
        crashes = [e["server"] for e in fleet.execution_log() if e["event"] == "server_crashed"]
        check(len(crashes) <= MOST_CRASHES,
              f"{len(crashes)} crashes, expected at most {MOST_CRASHES}: {crashes}, answers {outcomes(answers)}")
        check("ok" not in outcomes(answers),
              f"expected no successful answer to a crashing request: {outcomes(answers)}")
        print(f"50 crashing requests: {len(crashes)} crashes, answers {outcomes(answers)}")
        check_sweeps(fleet, load.finish(), "other requests during the crashes")


def at_most_once():
    """Guards against a second execution when a request is resent while the owner of its permit is killed, and against
    the answer "not executed" for a request that was executed."""
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
            futures = [(n, pool.submit(send, n, attempt)) for attempt in range(3) for n in range(count)]
            time.sleep(0.25)
            fleet.kill(owner)
            answers = [(n, future.result()) for n, future in futures]
            answers += [(n, send(n, 3)) for n in range(count)]
        time.sleep(0.5)
        executions = [fleet.execution_count(f"TRANSFER-{95000 + n}") for n in range(count)]
        for number in range(count):
            request_answers = [answer for n, answer in answers if n == number]
            check(executions[number] <= 1,
                  f"request {number} was executed {executions[number]} times, expected at most once: {request_answers}")
            if any(answer["executed"] == "no" for answer in request_answers):
                check(executions[number] == 0,
                      f"request {number} was executed, but an answer says that it was not: {request_answers}")
            if any(answer["outcome"] == "ok" for answer in request_answers):
                check(executions[number] == 1, f"request {number} succeeded without an execution: {request_answers}")
        print(f"{count} requests sent 4 times each: {sum(executions)} executed, "
              f"answers {outcomes(a for _, a in answers)}")


def refusal_statuses():
    """Guards against a refusal whose HTTP status promises that the request was not executed although servers executed
    it: callers and their libraries send it again after such a status."""
    with Fleet("bureau", BUILD, limits=SHORT_VALIDITY) as fleet:
        # The answers of one shard, and then of all shards, are discarded as damaged.
        for servers in (["stock-01-a", "stock-01-b", "stock-01-c"], ["*"]):
            for server in servers:
                fleet.backend_control({"server": server, "set": {"answer": "wrong_digest", "answer_probability": 1}})
            refused = [fleet.query(name, **SWEEP, deadline_ms=1500) for name in list(fleet.instances)[:3]]
            fleet.backend_control({"server": "*", "set": {"answer": "normal"}})
            for status, answer in refused:
                check(answer.get("status") == "refused" and answer.get("executed") != "no",
                      f"{servers}: expected a refusal of an executed request, got {status}: {answer}")
                check(status not in NOT_EXECUTED_STATUSES,
                      f"{servers}: status {status} promises that the request was not executed: {answer}")
            print(f"{servers}: {len(refused)} sweeps, {dict(Counter((s, a['error']) for s, a in refused))}")


def main():
    for name in sys.argv[2:]:
        start = time.monotonic()
        globals()[name]()
        print(f"{name}: passed in {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    main()
