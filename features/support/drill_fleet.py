"""Real hosts whose store comes back from an older copy, and their callers."""

import base64
import contextlib
import json
import threading
import time
from http.client import HTTPConnection

from features.support.http import call, send
from features.support.platform_fleet import configuration, route

METRICS_PORT = 9464
METRICS_TIMEOUT_S = 5.0
HOSTS = {"h1": 41, "h2": 42, "h3": 43, "h4": 44, "h5": 45}
ASK_PAUSE_S = 0.05
AWAY_S = 0.8
WRITTEN_AGAIN_S = 0.5
NEXT_VERSION_S = 4.0
# Bound on a change until it is in force, of the users' pages.
APPLY_S = 2.0
JUDGED_S = 8.0
# Of each target between the copy and the drill.
REPORTS = 4
GONE, LEAVING = "pedidos-0", "pedidos-1"


def routes_of(version):
    """Return the routes; each version moves or adds some."""
    order = "pedidos" if version == 1 else "disenos"
    look = "disenos" if version == 3 else "pedidos"
    found = [
        route("r-order", "unsafe", "/order/", order),
        route("r-look", "safe", "/look/", look),
    ]
    for number in range(2, version + 1):
        found.append(route(f"r-new-{number}", "safe", f"/new-{number}/", "disenos"))
    return found


class DrillFleet:
    """Five hosts in two failure domains, eight targets, and callers of all hosts.

    Attributes
    ----------
    late : list
        Hosts that did not have the next version in force in time.
    wrong : list
        Answers that only an older version allows, or that none does.
    runs_at_left : list
        Runs at targets that had left, or were leaving, before the drill.
    calls : dict of str to int
        Calls of the store by each host in the 8 s after its return.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        fleet.store_fault(keep=True)
        for number in range(4):
            fleet.start_target(f"pedidos-{number}", "pedidos")
            fleet.start_target(f"disenos-{number}", "disenos")
        self.configure(1)
        for name, number in HOSTS.items():
            fleet.start_host(name, number, zone=f"z{number % 2}", wait=False)
        for name in HOSTS:
            fleet.wait_until(lambda name=name: fleet.is_ready(name), f"{name} is ready")
        time.sleep(2.0)
        self.late = []
        self.wrong = []
        self.runs_at_left = []
        self.answered = 0
        # The service that has to run each attempt.
        self.expected = {}
        self.calls = {}
        self.service_of_look = "pedidos"
        self.sent = 0
        self.is_over = threading.Event()

    def configure(self, version):
        self.version = version
        self.fleet.put("op/config", configuration(version, routes_of(version)))

    def play(self, copy):
        """Play the drill with callers, and judge what they got."""
        fleet = self.fleet
        if copy == "some seconds before":
            fleet.store_fault(keep=True)
        self.configure(2)
        entries = self.entries()
        # So that what is written again after the drill gets lower revisions.
        for number in range(REPORTS):
            for key, entry in entries.items():
                entry["status"] |= {"seqNo": 2 + number, "coldRemainingMs": number}
                fleet.put(key, entry)
        fleet.remove(f"servers/{GONE}")
        leaving = entries[f"servers/{LEAVING}"]
        leaving["status"] |= {"state": "draining", "seqNo": 2 + REPORTS}
        fleet.put(f"servers/{LEAVING}", leaving)
        del entries[f"servers/{GONE}"]
        time.sleep(APPLY_S + 0.5)
        runs_before = len(self.runs_at(GONE, LEAVING))
        callers = []
        for name in HOSTS:
            callers.append(threading.Thread(target=self.ask, args=(name,)))
            callers[-1].start()
        try:
            fleet.store_fault(away_s=AWAY_S)
            calls_before = self.store_calls()
            returned_at = time.monotonic()
            time.sleep(WRITTEN_AGAIN_S)
            for key, entry in entries.items():
                fleet.put(key, entry)
            self.configure(2)
            time.sleep(NEXT_VERSION_S)
            self.service_of_look = None
            self.configure(3)
            time.sleep(APPLY_S)
            self.service_of_look = "disenos"
            self.check_next_version()
            time.sleep(max(0.0, returned_at + JUDGED_S - time.monotonic()))
            for name, count in self.store_calls().items():
                self.calls[name] = count - calls_before[name]
        finally:
            self.is_over.set()
            for caller in callers:
                caller.join()
        self.runs_at_left = self.runs_at(GONE, LEAVING)[runs_before:]
        self.judge_runs()

    def entries(self):
        """Return the entries of the targets in the store."""
        found = {}
        answer = call(self.fleet.store_port, "GET", "/kv-range?prefix=servers/")
        for item in answer.json()["items"]:
            found[item["key"]] = json.loads(base64.b64decode(item["value"]))
        return found

    def runs_at(self, *target_ids):
        return [run for run in self.fleet.runs() if run[1] in target_ids]

    def store_calls(self):
        """Return how often each host has called the store."""
        found = {}
        for name, process in self.fleet.hosts.items():
            content = call_metrics(process.address)
            found[name] = 0
            for line in content.splitlines():
                if line.startswith("oleander_host_store_calls_total{"):
                    found[name] += int(float(line.rpartition(" ")[2]))
        return found

    def check_next_version(self):
        for name in HOSTS:
            self.sent += 1
            answer = self.fleet.send(name, "GET", "/new-3/x", f"next-{name}")
            if answer[0] != 200:
                self.late.append((name, answer[0]))

    def ask(self, name):
        """Ask a host all the time for what each version allows."""
        number = 0
        while not self.is_over.is_set():
            number += 1
            for kind in ("order", "look", "new-2"):
                method = "POST" if kind == "order" else "GET"
                attempt_id = f"{name}-{kind}-{number}"
                expected = self.service_of(kind)
                try:
                    answer = self.fleet.send(name, method, f"/{kind}/x", attempt_id)
                except OSError as error:
                    self.wrong.append((attempt_id, repr(error)))
                    continue
                self.judge(attempt_id, answer, expected, self.service_of(kind))
            time.sleep(ASK_PAUSE_S)

    def service_of(self, kind):
        """Return the service of a route; None while either is allowed."""
        return self.service_of_look if kind == "look" else "disenos"

    def judge(self, attempt_id, answer, expected, expected_after):
        status = answer[0]
        self.answered += status == 200
        if 400 <= status < 500 and status not in (408, 421, 429):
            self.wrong.append((attempt_id, status))
        if expected is not None and expected == expected_after:
            self.expected[attempt_id] = expected

    def judge_runs(self):
        """Find the runs at a service that only an older version names."""
        for attempt_id, target_id in self.fleet.runs():
            expected = self.expected.get(attempt_id)
            if expected is not None and not target_id.startswith(expected):
                self.wrong.append((attempt_id, target_id))


def call_metrics(address):
    """Return the metrics of a host."""
    connection = HTTPConnection(address, METRICS_PORT, METRICS_TIMEOUT_S)
    request = send(METRICS_PORT, "GET", "/metrics", connection=connection)
    with contextlib.closing(request):
        return request.answer().body.decode()
