"""Starts a whole deployment of real processes on loopback and stops it by process id.

Used by the process scenarios and by scripts/demo. Standard library only.
"""
import http.client
import json
import os
import signal
import subprocess
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

EXECUTED = ("started",)


def wait_until(condition, seconds, what, interval=0.05):
    """Polls `condition` and returns its first true value and the seconds that it took."""
    start = time.monotonic()
    while True:
        value = condition()
        elapsed = time.monotonic() - start
        if value:
            return value, elapsed
        if elapsed > seconds:
            raise AssertionError(f"{what}: not within {seconds} s")
        time.sleep(interval)


def call(address, method, path, body=None, timeout=10.0):
    """One HTTP request on a connection of its own. Returns status and decoded JSON."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"} if data else {})
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text) if text else {}
        except ValueError:
            return response.status, {"text": text.decode(errors="replace")}
    finally:
        connection.close()


class Fleet:
    """One deployment: both stand-ins and nine instances."""

    def __init__(self, deployment, build, directory=None, limits=None, backend_options=()):
        self.build = os.path.abspath(build)
        self.own_directory = None if directory else tempfile.TemporaryDirectory(prefix="limpet-")
        self.directory = directory or self.own_directory.name
        self.processes = {}
        self.limits = limits or {}
        self.backend_options = list(backend_options)
        generator = os.path.join(self.build, "tests/standins/generate_deployment")
        subprocess.run([generator, "--directory", self.directory, deployment], check=True, stdout=subprocess.DEVNULL)
        self.summary = self.read("deployment.json")
        self.rules = self.read("rules.json")
        self.rules["limits"].update(self.limits)
        with open(os.path.join(self.directory, "rules.json"), "w", encoding="utf-8") as file:
            json.dump(self.rules, file)
        self.instances = {entry["id"]: entry for entry in self.summary["instances"]}

    def read(self, name):
        with open(os.path.join(self.directory, name), encoding="utf-8") as file:
            return json.load(file)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def spawn(self, name, command):
        with open(os.path.join(self.directory, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def start(self):
        standins = os.path.join(self.build, "tests/standins")
        addresses = self.summary["platform"] + "," + self.summary["platform_second"]
        self.spawn("standin_backend", [os.path.join(standins, "standin_backend"), "--directory", self.directory,
                                       "--control", self.summary["backend_control"], "--log", self.log_path(),
                                       *self.backend_options])
        self.spawn("standin_platform", [os.path.join(standins, "standin_platform"), "--directory", self.directory,
                                        "--addresses", addresses, "--control", self.summary["platform_control"]])
        wait_until(lambda: self.answers(self.summary["backend_control"], "/control/ledger"), 10, "backend servers")
        wait_until(lambda: self.answers(self.summary["platform_control"], "/control"), 10, "platform")
        for name in self.instances:
            self.start_instance(name)
        self.wait_ready(self.instances)

    def start_instance(self, name):
        settings = os.path.join(self.directory, "settings", name + ".ini")
        self.spawn(name, [os.path.join(self.build, "limpetrouterd"), "--config", settings])

    def wait_ready(self, names, seconds=20):
        for name in names:
            wait_until(lambda: self.answers(self.address(name), "/healthz"), seconds, f"instance {name} ready")

    def wait_agreed(self, seconds=10):
        """Waits until every instance sees all others as alive, so that all compute the same placement."""
        def agreed():
            views = [call(self.address(name), "GET", "/v1/status/instances")[1]["instances"] for name in self.instances]
            return all(sum(member["state"] == "alive" for member in view) == len(views) - 1 for view in views)
        wait_until(agreed, seconds, "all instances see each other")

    def answers(self, address, path):
        try:
            return call(address, "GET", path, timeout=2)[0] == 200
        except OSError:
            return False

    def log_path(self):
        return os.path.join(self.directory, "execution.log")

    def address(self, name):
        return self.instances[name]["http_address"]

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Ends a process at once and forgets it."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        """Ends every process that this object started, by process id."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        if self.own_directory:
            self.own_directory.cleanup()

    def shut_down(self, seconds=20):
        """Graceful shutdown: SIGTERM to the instances, then to the stand-ins. Returns the exit codes by name."""
        codes = {}
        standins = [name for name in self.processes if name.startswith("standin_")]
        for group in ([name for name in self.processes if name not in standins], standins):
            for name in group:
                self.signal(name, signal.SIGTERM)
            limit = time.monotonic() + seconds
            for name in group:
                codes[name] = self.processes[name].wait(max(0.1, limit - time.monotonic()))
        self.processes.clear()
        return codes

    def backend_control(self, body):
        status, answer = call(self.summary["backend_control"], "POST", "/control", body)
        assert status == 200, answer
        return answer

    def platform_control(self, body):
        status, answer = call(self.summary["platform_control"], "POST", "/control", body)
        assert status == 200, answer
        return answer

    def ledger(self, collection):
        """True totals and number of documents of a collection."""
        status, answer = call(self.summary["backend_control"], "GET", "/control/ledger")
        assert status == 200, answer
        return answer[collection]["41"]

    def execution_log(self):
        with open(self.log_path(), encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def execution_count(self, key):
        """How often a request with this key was started by any backend server."""
        return sum(1 for e in self.execution_log() if e["event"] in EXECUTED and e.get("key") == key)

    def query(self, name, collection, operation, timeout=15.0, **fields):
        return call(self.address(name), "POST", "/v1/query",
                    {"collection": collection, "operation": operation, **fields}, timeout)

    def permits(self, name, count):
        """Permits of the given instance."""
        status, answer = call(self.address(name), "GET", f"/v1/addresses?caller=process-tests&permits={count}")
        assert status == 200, answer
        return answer["permits"]

    def revision(self, name):
        try:
            return call(self.address(name), "GET", "/v1/status/configuration", timeout=2)[1].get("revision")
        except OSError:
            return None


class Load:
    """Callers that send queries at a steady rate and keep every result."""

    def __init__(self, fleet, names, request, rate, callers=24):
        self.fleet, self.names, self.request, self.rate = fleet, list(names), request, rate
        self.results = []
        self.pool = ThreadPoolExecutor(callers)
        self.stopping = False
        self.runner = ThreadPoolExecutor(1)
        self.done = self.runner.submit(self.run)

    def run(self):
        start = time.monotonic()
        pending = []
        sent = 0
        while not self.stopping:
            pending.append(self.pool.submit(self.one, self.names[sent % len(self.names)]))
            sent += 1
            time.sleep(max(0.0, start + sent / self.rate - time.monotonic()))
        for entry in pending:
            entry.result()

    def one(self, name):
        begin = time.monotonic()
        try:
            status, answer = self.fleet.query(name, **self.request)
            outcome = "ok" if status == 200 else answer.get("error", str(status))
        except (OSError, http.client.HTTPException) as failure:
            answer, outcome = {}, type(failure).__name__
        self.results.append({"name": name, "begin": begin, "seconds": time.monotonic() - begin, "outcome": outcome,
                             "answer": answer})

    def finish(self):
        self.stopping = True
        self.done.result()
        self.pool.shutdown()
        self.runner.shutdown()
        return self.results


def outcomes(results):
    return dict(Counter(entry["outcome"] for entry in results))
