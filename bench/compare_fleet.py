"""The fleet of the comparison: the same targets behind daemons and naive relays."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from .added_latency import start as start_child
from .fleet import LocalFleet, ServicePlan
from .relays import run_target
from .routes import route

ENTRIES = 9
# Below the deadline of an order, so that the relay's own retry falls into it.
NAIVE_TIMEOUT_S = 5.0
CONTROL_THREADS = 8
EJECTION_MESSAGE = "oleander:verdict_changed"
NAIVE = "naive"
PRODUCT = "product"

LOOKUP = {"deadline_ms": 10_000, "first_byte_ms": 3000, "between_bytes_ms": 2000}
ORDER = {
    "repeatability": "at_most_once",
    "deadline_ms": 10_000,
    "first_byte_ms": 1500,
}
LONG = {
    "class": "long",
    "deadline_ms": 30_000,
    "first_byte_ms": 20_000,
    "between_bytes_ms": 10_000,
}
ROUTES = [
    route("lookup", "GET", "/stock/*", "pedidos", **LOOKUP),
    route("order", "POST", "/orders", "pedidos", **ORDER),
    route("upload", "PUT", "/artwork/*", "pedidos", **LONG),
    route("availability", "GET", "/availability/*", "emprestimo", **LOOKUP),
    route("checkout", "POST", "/checkouts", "emprestimo", **ORDER),
    route("added", "GET", "/pedidos/*", "plain"),
]
NAIVE_ROUTES = (
    "/stock=pedidos",
    "/orders=pedidos",
    "/artwork=pedidos",
    "/availability=emprestimo",
    "/checkouts=emprestimo",
    "/pedidos=plain",
)
# Two waiting requests for each slot: a target sheds, but does not refuse every
# request that meets full slots.
SERVICES = {
    "pedidos": ServicePlan(25, 2, floor_slots=25, options=["--queue", 4]),
    "emprestimo": ServicePlan(30, 4, floor_slots=60, options=["--queue", 8]),
}


class PlainTarget:
    """The target of the added-latency measure, in a process of its own."""

    def __init__(self, stack):
        self.process, self.port = start_child(run_target)
        stack.callback(self.close)

    def close(self):
        """End the process."""
        self.process.terminate()
        self.process.join()


class ComparedFleet(LocalFleet):
    """A local fleet whose targets are also served by naive relays.

    Parameters
    ----------
    stack : contextlib.ExitStack
    ablation : str or None
        Mechanism that the daemons run without; see ``bench.ablated_daemon``.
    """

    def __init__(self, stack, ablation=None):
        super().__init__(stack, dict(SERVICES), ROUTES, hosts=ENTRIES)
        self.stack = stack
        self.ablation = ablation
        self.relays = []

    def start_targets(self):
        """Start the stand-ins and the target of the added-latency measure."""
        super().start_targets()
        self.services["plain"] = ServicePlan(1, 8, floor_slots=1)
        self.targets["plain-01"] = PlainTarget(self.stack)
        self.target_domains["plain-01"] = self.failure_domains[0]

    def start_daemon(self, host, **overrides):
        """Start a daemon, or one that lacks a mechanism."""
        if self.ablation is None:
            super().start_daemon(host, **overrides)
            return
        path = self.group.write_json("settings", {**self.settings(host), **overrides})
        self.daemons[host.host_id] = self.group.start(
            "bench.ablated_daemon",
            self.ablation,
            "--settings",
            path,
            name=host.host_id,
            wait=False,
        )

    def start_relays(self):
        """Start as many naive relays as there are daemons."""
        rows = []
        for target_id, target in self.targets.items():
            service = target_id.rpartition("-")[0]
            rows.append(
                {"address": "127.0.0.1", "port": target.port, "service": service}
            )
        options = ["--timeout-s", NAIVE_TIMEOUT_S]
        for text in NAIVE_ROUTES:
            options += ["--route", text]
        for host in self.hosts:
            place = ["--entry-host", f"naive-{host.host_id}"]
            place += ["--entry-domain", host.failure_domain]
            relay = self.group.naive(
                rows, *options, *place, name=f"naive-{host.host_id}", wait=False
            )
            self.relays.append(relay)
        for relay in self.relays:
            relay.wait_ready()

    def targets_of(self, service):
        """Return the ids of the targets of a service."""
        return [name for name in self.targets if name.rpartition("-")[0] == service]

    def control_all(self, target_ids, **switches):
        """Set the gray modes of several targets at nearly the same time."""
        with ThreadPoolExecutor(CONTROL_THREADS) as executor:
            list(
                executor.map(
                    lambda name: self.control_target(name, **switches), target_ids
                )
            )

    def reset(self):
        """Clear the gray modes of all targets of the compared services."""
        names = [name for service in SERVICES for name in self.targets_of(service)]
        self.control_all(names, reset=True)

    def versions(self):
        """Return what there is to compare."""
        found = []
        if self.relays:
            found.append(NaiveVersion(self))
        found.append(DaemonVersion(self))
        return found


@dataclass(slots=True)
class NaiveVersion:
    """The naive relays as one side of the comparison."""

    fleet: ComparedFleet
    name: str = NAIVE

    def urls(self):
        """Return the base URLs for callers."""
        return [f"http://127.0.0.1:{relay.port}" for relay in self.fleet.relays]

    def port(self):
        """Return the port of the first entry."""
        return self.fleet.relays[0].port

    def ejections(self, service, since, until):
        """Return how often a relay left a target of a service out."""
        count = 0
        for relay in self.fleet.relays:
            for line in relay.output_lines():
                if line.get("service") != service or "excluded" not in line:
                    continue
                count += since <= line["at"] <= until
        return count

    def ejection_reasons(self, service, since, until):
        """Return nothing: three errors in a row are the only reason."""
        return []

    def kill_entry(self):
        """Kill the last entry process."""
        self.fleet.relays[-1].kill()


@dataclass(slots=True)
class DaemonVersion:
    """The daemons as one side of the comparison."""

    fleet: ComparedFleet
    name: str = PRODUCT

    def urls(self):
        """Return the base URLs for callers."""
        return self.fleet.urls()

    def port(self):
        """Return the port of the first entry."""
        return self.fleet.hosts[0].caller_port

    def ejections(self, service, since, until):
        """Return how often an aggregator ejected a target of a service."""
        return len(self.ejection_reasons(service, since, until))

    def ejection_reasons(self, service, since, until):
        """Return the target and the reason of each ejection."""
        found = []
        for host in self.fleet.hosts:
            for record in log_records(self.fleet, host):
                if record.get("message_type") != EJECTION_MESSAGE:
                    continue
                if record["state"] != "ejected" or record["service"] != service:
                    continue
                if since <= record["timestamp"] <= until:
                    at_s = record["timestamp"] - since
                    found.append(f"{record['target']} {at_s:.1f} {record['reason']}")
        return found

    def kill_entry(self):
        """Kill the last entry process."""
        self.fleet.daemons[self.fleet.hosts[-1].host_id].kill()


def log_records(fleet, host):
    """Yield the log records of one daemon."""
    path = fleet.group.directory / f"{host.host_id}.log"
    if not path.exists():
        return
    for line in path.read_text().splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            # The last line may be half written.
            continue


def wait_until(wall_s):
    """Sleep until a Unix time in seconds."""
    remaining_s = wall_s - time.time()
    if remaining_s > 0:
        time.sleep(remaining_s)
