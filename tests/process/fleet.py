"""Starts a complete deployment of real processes on loopback and stops each of them by its process ID.

The process scenarios and scripts/demo use this module. It needs the standard library only.
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

# Events of the execution log that count as an execution of a request.
EXECUTED = ("started",)


def wait_until(condition, seconds, description, interval=0.05):
    """Polls `condition` every `interval` seconds and returns its first true value and the elapsed seconds.

    Raises AssertionError with `description` if the condition is still false after `seconds`.
    """
    start = time.monotonic()
    while True:
        value = condition()
        elapsed = time.monotonic() - start
        if value:
            return value, elapsed
        if elapsed > seconds:
            raise AssertionError(f"{description}: condition not met within {seconds} s")
        time.sleep(interval)


def call(address, method, path, body=None, timeout=10.0):
    """Sends one HTTP request on a new connection. Returns the status and the decoded JSON.

    A body that is not JSON is returned as {"text": body}.
    """
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
    """One deployment: the stand-ins for the backend servers and the platform, and nine instances."""

    def __init__(self, deployment, build, directory=None, limits=None, backend_options=()):
        self.build = os.path.abspath(build)
        self.temporary_directory = None if directory else tempfile.TemporaryDirectory(prefix="limpet-")
        self.directory = directory or self.temporary_directory.name
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
        wait_until(lambda: self.responds(self.summary["backend_control"], "/control/ledger"), 10,
                   "backend servers ready")
        wait_until(lambda: self.responds(self.summary["platform_control"], "/control"), 10, "platform ready")
        for name in self.instances:
            self.start_instance(name)
        self.wait_ready(self.instances)

    def start_instance(self, name):
        settings = os.path.join(self.directory, "settings", name + ".ini")
        self.spawn(name, [os.path.join(self.build, "limpetrouterd"), "--config", settings])

    def wait_ready(self, names, seconds=20):
        for name in names:
            wait_until(lambda: self.responds(self.address(name), "/healthz"), seconds, f"instance {name} ready")

    def wait_converged(self, seconds=10):
        """Waits until every instance considers all others alive, so that all compute the same placement."""
        def all_converged():
            instance_lists = [call(self.address(name), "GET", "/v1/status/instances")[1]["instances"]
                              for name in self.instances]
            return all(sum(member["state"] == "alive" for member in members) == len(instance_lists) - 1
                       for members in instance_lists)
        wait_until(all_converged, seconds, "every instance considers all others alive")

    def responds(self, address, path):
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
        """Kills a process with SIGKILL and removes it from the fleet's processes."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        """Kills every process that this object started, by its process ID."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        if self.temporary_directory:
            self.temporary_directory.cleanup()

    def shut_down(self, seconds=20):
        """Shuts down gracefully: sends SIGTERM to the instances, and to the stand-ins once the instances have exited.

        Returns the exit codes by name. Raises subprocess.TimeoutExpired if a group takes more than `seconds`.
        """
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
        """Returns the true totals and the number of documents of a collection at snapshot 41, the generated one."""
        status, answer = call(self.summary["backend_control"], "GET", "/control/ledger")
        assert status == 200, answer
        return answer[collection]["41"]

    def execution_log(self):
        with open(self.log_path(), encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def execution_count(self, key):
        """Returns how often backend servers executed a request with this key."""
        return sum(1 for e in self.execution_log() if e["event"] in EXECUTED and e.get("key") == key)

    def query(self, name, collection, operation, timeout=15.0, **fields):
        return call(self.address(name), "POST", "/v1/query",
                    {"collection": collection, "operation": operation, **fields}, timeout)

    def permits(self, name, count):
        """Requests `count` permits from the given instance."""
        status, answer = call(self.address(name), "GET", f"/v1/addresses?caller=process-tests&permits={count}")
        assert status == 200, answer
        return answer["permits"]

    def revision(self, name):
        """Returns the configuration revision that is in force on an instance, or None if it is unreachable."""
        try:
            return call(self.address(name), "GET", "/v1/status/configuration", timeout=2)[1].get("revision")
        except OSError:
            return None


class Load:
    """Sends queries at a fixed rate, in queries per second, from `callers` threads and records every result."""

    def __init__(self, fleet, names, request, rate, callers=24):
        self.fleet, self.names, self.request, self.rate = fleet, list(names), request, rate
        self.results = []
        self.caller_pool = ThreadPoolExecutor(callers)
        self.stopping = False
        self.sender_pool = ThreadPoolExecutor(1)
        self.sender = self.sender_pool.submit(self.run)

    def run(self):
        start = time.monotonic()
        pending = []
        sent = 0
        while not self.stopping:
            pending.append(self.caller_pool.submit(self.send_query, self.names[sent % len(self.names)]))
            sent += 1
            time.sleep(max(0.0, start + sent / self.rate - time.monotonic()))
        for entry in pending:
            entry.result()

    def send_query(self, name):
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
        self.sender.result()
        self.caller_pool.shutdown()
        self.sender_pool.shutdown()
        return self.results


def outcomes(results):
    return dict(Counter(entry["outcome"] for entry in results))
