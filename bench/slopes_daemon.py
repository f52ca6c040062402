"""Measurements on real daemons: one at full size, and small fleets."""

import os
import time
import urllib.request
from contextlib import ExitStack
from dataclasses import asdict, dataclass

from features.support.processes import load_report
from oleanderroute.tasks.distribution import rank_domain

from .fleet import LocalFleet, ServicePlan, get_json, post_json
from .slopes_documents import (
    DOMAINS,
    FULL,
    REGIONS,
    declaration_document,
    host_documents,
    target_documents,
)

# The daemon publishes its longest delay every 10 s.
DELAY_PERIOD_S = 10.0
LOOP_DELAY = "oleander_event_loop_delay_seconds"
SENT_BYTES = "oleander_peer_sent_bytes_total"
STORE_CALLS_S = 6.0
LOAD_S = 20.0
WARM_S = 6.0
CHANGES = 3


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """What one change cost a daemon.

    Attributes
    ----------
    processor_ms : float
        Above what the idle daemon takes in the same time.
    stall_ms : float
        Longest delay of a timer within 10 s of the change.
    """

    processor_ms: float
    stall_ms: float


@dataclass(slots=True)
class FullSize:
    """The full-size run of one real daemon, a relay without requests."""

    ready_s: float
    resident_mb: float
    idle_percent: float
    idle_stall_ms: float
    host_list: list
    declaration: list
    apply_s: float


@dataclass(slots=True)
class SmallFleet:
    """A small fleet at work.

    Attributes
    ----------
    sent_bytes_per_s : float
        Mean per host, of all kinds of peer messages.
    by_kind : dict
        The same by kind of message.
    """

    hosts: int
    targets: int
    rate: float
    sent_bytes_per_s: float
    by_kind: dict
    processor_percent: float
    resident_mb: float
    answered_share: float


def processor_s(pid):
    """Return the processor time of a process."""
    total_ns = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/schedstat") as source:
            total_ns += int(source.read().split()[0])
    return total_ns / 1e9


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status") as source:
        for line in source:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024 / 1e6
    raise LookupError("VmRSS")


def metric_values(fleet, host, name):
    """Return the values of one metric by the text of their labels."""
    url = f"{fleet.operator_url(host)}/metrics"
    with urllib.request.urlopen(url, timeout=5) as response:
        lines = response.read().decode().splitlines()
    values = {}
    for line in lines:
        if line.startswith(name):
            labels, value = line.rsplit(" ", 1)
            values[labels] = float(value)
    return values


def full_size_run():
    """Start one daemon with everything declared and change things."""
    with ExitStack() as stack:
        fleet = LocalFleet(stack, {}, [], hosts=1)
        fleet.platform = fleet.group.platform(name="platform")
        run = FullSizeRun(fleet)
        return run.measure()


class FullSizeRun:
    """The steps of the full-size run."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.document = declaration_document(FULL)
        self.targets = target_documents(self.document)
        self.host = fleet.hosts[0]
        self.listed = host_documents(FULL.hosts)
        self.place_host()

    def place_host(self):
        """Put the daemon in the place of the host that is the first relay."""
        domain = DOMAINS[0]
        ids = [one["id"] for one in self.listed if one["failure_domain"] == domain]
        first = rank_domain(domain, {domain: ids})[0]
        self.host.host_id = first
        self.host.failure_domain = domain
        for one in self.listed:
            if one["id"] == first:
                one["caller_port"] = self.host.caller_port
                one["peer_port"] = self.host.peer_port
                one["operator_port"] = self.host.operator_port

    def publish(self):
        """Set the platform's list."""
        url = f"{self.fleet.platform_url}/control/hosts"
        post_json(url, {"hosts": self.listed, "targets": self.targets})

    def measure(self):
        """Return a ``FullSize``."""
        self.publish()
        started = time.monotonic()
        self.fleet.apply(self.document, "full size")
        apply_s = time.monotonic() - started
        ready_s = self.start()
        time.sleep(2 * DELAY_PERIOD_S)
        before = processor_s(self.pid)
        time.sleep(DELAY_PERIOD_S)
        self.idle_s = processor_s(self.pid) - before
        idle_stall_ms = self.stall_ms()
        host_list = [self.change(self.leave_host) for _ in range(2)]
        declaration = [self.change(self.edit) for _ in range(2)]
        return FullSize(
            ready_s,
            resident_mb(self.pid),
            self.idle_s / DELAY_PERIOD_S * 100,
            idle_stall_ms,
            [asdict(one) for one in host_list],
            [asdict(one) for one in declaration],
            apply_s,
        )

    def start(self):
        """Start the daemon; return the seconds until it serves with a host list."""
        host = self.host
        settings = self.fleet.settings(host)
        settings["region"] = REGIONS[host.failure_domain]
        settings["peers_seed"] = []
        started = time.monotonic()
        self.fleet.daemons[host.host_id] = self.fleet.group.daemon(
            settings, name=host.host_id
        )
        self.fleet.wait_status(
            lambda status: status["ready"] and status["host_list_version"],
            "the full-size daemon is not ready",
        )
        return time.monotonic() - started

    @property
    def pid(self):
        """Process id of the daemon."""
        return self.fleet.daemons[self.host.host_id].pid

    def stall_ms(self):
        """Return the longest delay that the daemon published last."""
        return max(metric_values(self.fleet, self.host, LOOP_DELAY).values()) * 1e3

    def change(self, act):
        """Make a change and return its ``ChangeCost``.

        The value read at the end is of the 10 s around the change, and of no
        earlier one.
        """
        before = processor_s(self.pid)
        act()
        time.sleep(DELAY_PERIOD_S)
        spent_s = processor_s(self.pid) - before - self.idle_s
        return ChangeCost(spent_s * 1e3, self.stall_ms())

    def leave_host(self):
        """Let one more host leave."""
        for one in self.listed:
            if one["state"] == "live" and one["id"] != self.host.host_id:
                one["state"] = "leaving"
                break
        self.publish()

    def edit(self):
        """Change one service."""
        self.document["services"]["service-3"]["floor_slots"] -= 1
        self.fleet.apply(self.document, "one service")


def store_calls(hosts):
    """Return the platform's calls per second by cause, idle and under changes."""
    with ExitStack() as stack:
        fleet = LocalFleet(stack, {"pedidos": ServicePlan(2)}, ROUTES, hosts=hosts)
        fleet.start()
        time.sleep(3.0)
        idle = calls_during(fleet, lambda: time.sleep(STORE_CALLS_S))
        changes = calls_during(fleet, lambda: make_changes(fleet))
        return {"hosts": hosts, "idle": idle, "changes": changes}


def calls_during(fleet, act):
    """Return the calls per second by cause while ``act`` runs."""
    url = f"{fleet.platform_url}/control/calls"
    before = get_json(url)
    started = time.monotonic()
    act()
    elapsed_s = time.monotonic() - started
    return rates(before, get_json(url), elapsed_s)


def rates(before, after, elapsed_s):
    """Return calls per second by cause and kind."""
    known = {}
    for row in before["rows"]:
        known[row["cause"], row["kind"]] = row["calls"]
    found = {}
    for row in after["rows"]:
        grown = row["calls"] - known.get((row["cause"], row["kind"]), 0)
        if grown:
            name = f"{row['cause']} ({row['kind']})"
            found[name] = round(grown / elapsed_s, 3)
    return found


def make_changes(fleet):
    """Change the declaration several times."""
    for number in range(CHANGES):
        document = fleet.declaration()
        document["services"]["pedidos"]["floor_slots"] = 1 + number % 2
        fleet.apply(document, "change")
        time.sleep(1.0)


ROUTES = [
    {
        "id": "lookup",
        "method": "GET",
        "path": "/stock/*",
        "service": "pedidos",
        "class": "quick",
        "repeatability": "idempotent",
        "deadline_ms": 3000,
        "first_byte_ms": 2000,
        "between_bytes_ms": 2000,
        "max_body_bytes": 1000,
    }
]


def small_fleet(hosts=6, targets=25, rate=120.0):
    """Run a small fleet under load and return a ``SmallFleet``."""
    with ExitStack() as stack:
        services = {"pedidos": ServicePlan(targets)}
        fleet = LocalFleet(stack, services, ROUTES, hosts=hosts)
        fleet.start()
        plan = {
            "entries": fleet.urls(),
            "kinds": {
                "lookup": {"path": "/stock/{id}", "work_ms": 20, "deadline_ms": 3000}
            },
            "phases": [
                {
                    "duration_s": WARM_S + LOAD_S + 2,
                    "rate": rate,
                    "mix": {"lookup": 1.0},
                }
            ],
            "seed": 1,
        }
        load = fleet.group.load(plan)
        time.sleep(WARM_S)
        before = fleet_state(fleet)
        time.sleep(LOAD_S)
        after = fleet_state(fleet)
        report = load_report(load)
        return compare_states(fleet, targets, rate, before, after, report)


@dataclass(slots=True)
class FleetState:
    """Counters of all hosts of a fleet together."""

    at: float
    sent: dict
    processor_s: float


def fleet_state(fleet):
    """Return the ``FleetState`` of a running fleet."""
    sent = {}
    spent_s = 0.0
    at = time.monotonic()
    for host in fleet.hosts:
        for labels, value in metric_values(fleet, host, SENT_BYTES).items():
            kind = labels.split('"')[1]
            sent[kind] = sent.get(kind, 0.0) + value
        spent_s += processor_s(fleet.daemons[host.host_id].pid)
    return FleetState(at, sent, spent_s)


def compare_states(fleet, targets, rate, before, after, report):
    """Return the ``SmallFleet`` between two states."""
    hosts = len(fleet.hosts)
    elapsed_s = after.at - before.at
    by_kind = {}
    for kind, value in after.sent.items():
        grown = value - before.sent.get(kind, 0.0)
        by_kind[kind] = round(grown / elapsed_s / hosts, 1)
    memory = [resident_mb(fleet.daemons[one.host_id].pid) for one in fleet.hosts]
    spent_s = after.processor_s - before.processor_s
    return SmallFleet(
        hosts,
        targets,
        rate,
        sum(by_kind.values()),
        by_kind,
        spent_s / elapsed_s / hosts * 100,
        sum(memory) / hosts,
        answered_share(report),
    )


def answered_share(report):
    """Return the share of requests that were answered."""
    outcomes = report["total"]["all"]["outcomes"]
    total = sum(outcomes.values())
    return outcomes.get("answered", 0) / total if total else 0.0
