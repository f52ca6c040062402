"""Fleets for the tests of the promises: the product's, or the baseline relay's.

``-D relay=naive`` on the command line puts ``standins/naive.py`` in the place of the
daemons, so that the same scenario shows what happens without the product.
"""

import json
import random
import uuid

from bench.fleet import LocalFleet
from bench.routes import route
from features.support.processes import LOOPBACK
from oleanderroute.decisions.fingerprint import claim_key
from oleanderroute.decisions.holder_ranking import rank_distinct_domains
from oleanderroute.decisions.verdict import TargetState

WORKSPACE = "papelitos"
HOLDERS = 3
SEED = 11
OUT_STATES = {TargetState.EJECTED, TargetState.PROBATION}


def service_routes(name, **order_changes):
    """Return a lookup, an order and an upload route below ``/NAME``."""
    return [
        route(f"{name}-lookup", "GET", f"/{name}/stock/*", name),
        route(
            f"{name}-order",
            "POST",
            f"/{name}/orders",
            name,
            **{
                "repeatability": "at_most_once",
                "first_byte_ms": 3000,
                **order_changes,
            },
        ),
        route(
            f"{name}-upload",
            "PUT",
            f"/{name}/art/*",
            name,
            **{"class": "long"},
            deadline_ms=60_000,
            first_byte_ms=30_000,
            between_bytes_ms=10_000,
            max_body_bytes=268_435_456,
        ),
    ]


class PromiseFleet(LocalFleet):
    """A fleet whose ledgers outlive killed targets.

    Attributes
    ----------
    spoiled : set of str
        Ids of hosts that were killed or restarted: they are gone or don't vote.
    """

    def __init__(self, stack, services, hosts):
        routes = []
        for name in services:
            routes += service_routes(name)
        super().__init__(stack, services, routes, hosts)
        self.spoiled = set()
        self.rng = random.Random(SEED)

    def ledger_path(self, target_id):
        """Return the file in which a target records its runs."""
        return self.group.directory / f"{target_id}.ledger"

    def target_options(self, target_id, plan):
        return ["--ledger-file", self.ledger_path(target_id), *plan.options]

    def ledger(self, target_id):
        """Return the recorded runs of a target, also of a killed or frozen one."""
        rows = {}
        for line in self.ledger_path(target_id).read_text().splitlines():
            row = json.loads(line)
            rows[row["number"]] = row
        return list(rows.values())

    def host(self, host_id):
        """Return the plan of a host by its id."""
        for host in self.hosts:
            if host.host_id == host_id:
                return host
        raise KeyError(host_id)

    def daemon(self, host):
        """Return the process of a host."""
        return self.daemons[host.host_id]

    def sound_hosts(self):
        """Return the hosts that still vote on claims."""
        return [host for host in self.hosts if host.host_id not in self.spoiled]

    def live_hosts(self):
        """Return the hosts whose process runs."""
        return [host for host in self.hosts if self.daemon(host).is_running()]

    def live_urls(self):
        """Return the base URLs for callers of the hosts whose process runs."""
        return [f"http://{LOOPBACK}:{host.caller_port}" for host in self.live_hosts()]

    def spoil(self, host):
        """Kill a daemon; no later scenario counts on it."""
        self.daemon(host).kill()
        self.spoiled.add(host.host_id)

    def new_key(self, service, holders=None):
        """Return an idempotency key, one with exactly these holders if given."""
        while True:
            key = str(uuid.UUID(int=self.rng.getrandbits(128), version=4))
            if holders is None or self.holders(service, key) == holders:
                return key

    def holders(self, service, key):
        """Return the ids of the claim holders of a key."""
        full_key = claim_key(WORKSPACE, f"POST /{service}/orders", key)
        return set(rank_distinct_domains(full_key, self.hosts, HOLDERS))

    def runs(self, load_id):
        """Return the runs of a request in the ledgers of all targets."""
        rows = []
        for target_id in self.targets:
            for row in self.ledger(target_id):
                if row["load_id"] == load_id:
                    rows.append(row)
        return rows

    def targets_of(self, service):
        """Return the ids of the targets of a service."""
        prefix = f"{service}-"
        return [name for name in self.targets if name.startswith(prefix)]

    def ledger_urls_of(self, service):
        """Return the control URLs of the targets of a service."""
        urls = []
        for target_id in self.targets_of(service):
            urls.append(f"http://{LOOPBACK}:{self.targets[target_id].control_port}")
        return urls

    def explain_all(self, service):
        """Return the target explanations of each live host, by host id and target."""
        views = {}
        for host in self.live_hosts():
            document = self.explain(host, service)
            if document is None:
                continue
            views[host.host_id] = {one["target_id"]: one for one in document["targets"]}
        return views

    def mend(self):
        """End all faults that a scenario may have left behind."""
        self.set_platform_faults(mode="ok")
        for process in [*self.targets.values(), *self.daemons.values()]:
            if process.is_running():
                process.resume()
        for target_id, process in self.targets.items():
            if not process.is_running():
                process.restart()
            self.control_target(target_id, reset=True)
        for host in self.live_hosts():
            self.cut(host)
            # A scenario that failed may have left a change behind; the next one
            # must not fail for it.
            status = self.status(host)
            if status is not None:
                self.revision = max(self.revision, status["revision"])


class NaiveFleet(PromiseFleet):
    """The same targets and callers, with the baseline relay on each host."""

    def start(self):
        self.platform = self.group.platform(name="platform")
        self.start_targets()
        rows = []
        for target_id, process in self.targets.items():
            service = target_id.rpartition("-")[0]
            rows.append({"address": LOOPBACK, "port": process.port, "service": service})
        path = self.group.write_json("naive-targets", rows)
        options = []
        for name in self.services:
            options += ["--route", f"/{name}/={name}"]
        for host in self.hosts:
            self.daemons[host.host_id] = self.group.start(
                "standins.naive",
                "--port",
                host.caller_port,
                "--targets",
                path,
                "--entry-host",
                host.host_id,
                "--entry-domain",
                host.failure_domain,
                *options,
                name=host.host_id,
                wait=False,
            )
        for process in self.daemons.values():
            process.wait_ready()

    def start_daemon(self, host, **overrides):
        self.daemons[host.host_id].restart()

    def cut(self, host, blocked_out=(), blocked_in=()):
        """Relays exchange no messages, so there is nothing to cut."""

    def status(self, host):
        """Relays have no operator port."""
        return {"revision": 0, "ready": True, "votes_on_claims": True, "claims": 0}

    def explain(self, host, service):
        """Relays don't tell what they think of targets."""
        return None


def is_out(explanation):
    """Tell whether a host keeps a target out; an unknown state is an error."""
    return TargetState[explanation["state"].upper()] in OUT_STATES


def shared_fleet(context, name, services, hosts):
    """Return the feature's fleet of this name, started on its first use.

    Each scenario gets it without the faults of the ones before.
    """
    fleet = context.shared_fleets.get(name)
    if fleet is not None:
        fleet.mend()
        return fleet
    fleet = new_fleet(context, context.feature_stack, services, hosts)
    context.shared_fleets[name] = fleet
    return fleet


def new_fleet(context, stack, services, hosts):
    """Start the product's fleet, or the baseline's with ``-D relay=naive``."""
    is_naive = context.config.userdata.get("relay") == "naive"
    fleet = (NaiveFleet if is_naive else PromiseFleet)(stack, services, hosts)
    fleet.start()
    return fleet


def note(context, **figures):
    """Print the figures of a scenario, for docs/PROOFS.md."""
    listed = ", ".join(f"{name}={value}" for name, value in figures.items())
    print(f"  figure: {context.scenario.name}: {listed}")
