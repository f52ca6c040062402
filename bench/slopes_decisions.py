"""Microseconds of processor time per decision, and per change."""

import asyncio
import random
import time
from types import SimpleNamespace

import orjson

from oleanderroute.clock import ManualClock, SystemClock
from oleanderroute.decisions.admission import Admission, AdmissionLimits, Ticket
from oleanderroute.decisions.claims import ClaimLimits, ClaimRound
from oleanderroute.decisions.detection import DetectionPool
from oleanderroute.decisions.service_router import ServiceRouter
from oleanderroute.decisions.shards import ShardOwners
from oleanderroute.decisions.slots import LongSlots
from oleanderroute.decisions.subset import EligibleHosts, HostLocation, choose_subset
from oleanderroute.declaration.assembly import Assembler
from oleanderroute.declaration.chunks import Change, split
from oleanderroute.entry.route_table import RouteTable
from oleanderroute.outcome import Attempt, AttemptKind, RequestClass
from oleanderroute.platform.hostlist import host_list_from_document
from oleanderroute.tasks.aggregator import Aggregator
from oleanderroute.tasks.distribution import Distribution
from oleanderroute.tasks.reporter import ServiceOutbox
from oleanderroute.topology import SHARDS_PER_DOMAIN, Topology

from .slopes_documents import FULL, declaration_document, host_list_document
from .slopes_fit import fit_sizes, processor_us, repeated_us
from .slopes_memory import declared, filled_claims, service_of, small, used_pool
from .slopes_messages import header, report
from .slopes_serving import make_serving

NO_TARGETS = frozenset()


def router_slopes():
    """Return the costs of choosing a target and of learning from an attempt."""
    clock = SystemClock()
    rng = random.Random(1)
    found = []

    def choice_us(targets):
        router = ServiceRouter(service_of(targets), "host-000", "r2-a", clock, rng)
        now = clock.now()
        return processor_us(
            lambda: router.choose(RequestClass.QUICK, NO_TARGETS, True, now), 3000
        )

    found.append(fit_sizes("router choice, target", "us", (5, 18, 32), choice_us))
    router = ServiceRouter(service_of(5), "host-000", "r2-a", clock, rng)
    attempt = Attempt("service-0-00", RequestClass.QUICK, AttemptKind.OK, 0.02)

    def attempt_on_router():
        now = clock.now()
        router.started("service-0-00", RequestClass.QUICK, now)
        router.finished(attempt, now)

    found.append(repeated_us("router, start and end", attempt_on_router, 3000))
    return found


def admission_slopes():
    """Return the cost of one admission and its release."""
    clock = SystemClock()
    admission = Admission(service_of(18), AdmissionLimits(), clock)
    ticket = Ticket("request-1", RequestClass.QUICK, clock.now() + 1e6)

    def admit():
        now = clock.now()
        admission.request(ticket, now)
        admission.release(ticket, AttemptKind.OK, 0.02, now)

    return [repeated_us("admission and release", admit, 3000)]


def detection_slopes():
    """Return the costs of observing an attempt and of evaluating a service."""

    def evaluate_us(targets):
        pool = used_pool(service_of(targets))
        clock = pool.clock

        def evaluate():
            clock.advance(0.25)
            pool.evaluate(clock.now())

        return processor_us(evaluate, 20)

    pool = used_pool(service_of(18))
    attempt = Attempt("service-0-00", RequestClass.QUICK, AttemptKind.OK, 0.02)

    def observe():
        pool.observe("host-000", attempt, pool.clock.now())

    return [
        fit_sizes("detection evaluate, target", "us", (8, 16, 32), evaluate_us),
        repeated_us("detection observe", observe, 2000),
    ]


def claim_slopes():
    """Return the costs of a vote and of a round at the entry."""
    clock = SystemClock()

    def vote_us(claims):
        manual = ManualClock()
        table = filled_claims(claims, manual)
        holders = ("host-000", "host-001", "host-002")
        numbers = iter(range(10**9))

        def vote():
            key = f"workspace/route/{next(numbers):032d}"
            table.request(key, "owner", "f" * 64, holders, manual.now())

        return processor_us(vote, 500)

    table = filled_claims(1, ManualClock())
    answer = table.request(
        "workspace/route/one",
        "owner",
        "f" * 64,
        ("host-000", "host-001", "host-002"),
        table.clock.now(),
    )

    def claim_round():
        holders = ("host-000", "host-001", "host-002")
        one = ClaimRound(holders, "owner", 600.0, ClaimLimits(), clock)
        one.add_vote("host-000", answer)
        one.decision()
        one.add_vote("host-001", answer)
        one.decision()
        one.close()

    return [
        fit_sizes("claim vote, claim held", "us", (1000, 4000, 16000), vote_us),
        repeated_us("claim round at the entry", claim_round, 1000),
    ]


def slot_slopes():
    """Return the cost of a slot request by leases held."""

    def renew_us(leases):
        clock = ManualClock()
        service = service_of(18)
        slots = LongSlots(service, clock)
        slots.set_targets([target.target_id for target in service.targets])
        clock.advance(100)
        for number in range(leases):
            slots.renew(f"lease-{number}", "service-0-00", clock.now())
        return processor_us(
            lambda: slots.renew("lease-0", "service-0-00", clock.now()), 1000
        )

    return [fit_sizes("slot renewal, lease", "us", (4, 9, 18), renew_us)]


def subset_slopes():
    """Return the cost of choosing the subset of one service."""

    def subset_us(hosts):
        service = service_of(18)
        places = []
        for number in range(hosts):
            domain = ("r2-a", "r2-b", "r2-c")[number % 3]
            places.append(HostLocation(f"host-{number:03d}", domain))
        census = EligibleHosts(places)
        return processor_us(
            lambda: choose_subset(places[0], census, service.targets, 330), 100
        )

    return [fit_sizes("subset of a service, host", "us", (430, 645, 860), subset_us)]


def route_slopes():
    """Return the cost of a route look-up with all workspaces declared."""

    def match_us(routes):
        table = RouteTable(declared(small(routes=routes, workspaces=51_000)))
        path = f"/path-{routes - 1}/a/b/c"
        return processor_us(lambda: table.match("GET", path, "workspace-00100"), 3000)

    return [fit_sizes("route look-up, route", "us", (200, 600, 1800), match_us)]


def outbox_slopes():
    """Return the cost of adding an attempt to the next report."""
    entry = SimpleNamespace(service=service_of(18))
    outbox = ServiceOutbox(entry)
    attempt = Attempt("service-0-00", RequestClass.QUICK, AttemptKind.OK, 0.02)
    return [repeated_us("reporter, attempt", lambda: outbox.add(attempt, 1.0), 3000)]


def change_slopes():
    """Return milliseconds of processor time per change, by share of the full size."""
    shares = (25, 50, 100)
    return [
        fit_sizes("declaration change, 1% of size", "ms", shares, declaration_ms),
        fit_sizes("host list change, 1% of size", "ms", shares, host_list_ms),
        fit_sizes("shard owners, host", "us", (31, 62, 123), owners_us),
    ]


def declaration_ms(percent):
    """Return the cost of a change of one service to a host, without messages."""
    document = declaration_document(FULL.share(percent / 100))
    assembler = Assembler()
    serving = make_serving(SystemClock())
    costs = []
    for revision in range(1, 5):
        document["services"]["service-0"]["floor_slots"] = revision
        text = orjson.dumps(document).decode()
        manifest, chunks = split(text, Change(revision, str(revision), "a", "m"))

        def install(manifest=manifest, chunks=chunks, revision=revision):
            serving.on_declaration(assembler.assemble(manifest, chunks), revision)
            apply_all(serving)

        costs.append(once_ms(install))
    return min(costs[1:])


def apply_all(serving):
    """Apply what is pending, as the task does in slices."""
    while serving.pending:
        serving.apply_slice()


def once_ms(work):
    """Return milliseconds of processor time of one call that can't be repeated."""
    started = time.process_time()
    work()
    return (time.process_time() - started) * 1e3


def host_list_ms(percent):
    """Return the cost of one leaving host to a host that is no relay."""
    size = FULL.share(percent / 100)
    serving = make_serving(SystemClock())
    serving.on_declaration(declared(size), 1)
    document = host_list_document(size)
    first = host_list_from_document(document)
    distribution = Distribution("host-004", "r2-a", [], random.Random(1))
    topology = Topology(first.hosts[4], SystemClock())
    costs = []
    for version in range(2, 7):
        hosts = [dict(host) for host in document["hosts"]]
        hosts[version]["state"] = "leaving"
        changed = {"version": version, "hosts": hosts, "targets": []}
        listed = host_list_from_document(changed)
        after = type(first)(version, listed.hosts, first.targets)

        def install(after=after):
            distribution.update_hosts(after)
            topology.update(after)
            serving.on_hosts(after)
            apply_all(serving)

        costs.append(once_ms(install))
    return min(costs[1:])


def owners_us(hosts):
    """Return the cost of one host that leaves its failure domain and returns."""
    ids = [f"host-{number:03d}" for number in range(hosts)]
    owners = ShardOwners("aggregator", SHARDS_PER_DOMAIN)
    owners.update(ids)

    def leave_and_return():
        owners.update(ids[1:])
        owners.update(ids)

    return processor_us(leave_and_return, 10) / 2


class JudgedServices:
    """Takes the place of ``Serving`` at an aggregator."""

    def __init__(self, services, clock):
        self.services = services
        self.clock = clock

    def make_detection_pool(self, name):
        """Return a pool for a service."""
        return DetectionPool(self.services[name], self.clock, random.Random(1))


def receive_us(count):
    """Return the cost of a report of quiet services to an aggregator."""
    clock = SystemClock()
    services = declared(small(services=count, targets=18 * count)).services
    aggregator = Aggregator(JudgedServices(services, clock), clock, None)
    asked = report(count, 0)
    sender = header()
    aggregator.receive_report(asked, sender)
    asyncio.run(aggregator.evaluate())
    for one in asked.services:
        one.verdict_version = aggregator.pools[one.service_name].version
    return processor_us(lambda: aggregator.receive_report(asked, sender), 200)


def aggregator_slopes():
    """Return the cost of taking a report, without its attempts."""
    name = "aggregator, quiet service of a report"
    return [fit_sizes(name, "us", (4, 8, 16), receive_us)]


def decision_slopes():
    """Return the costs of all decisions."""
    found = router_slopes() + admission_slopes() + detection_slopes()
    found += claim_slopes() + slot_slopes() + subset_slopes() + route_slopes()
    found += outbox_slopes() + aggregator_slopes() + change_slopes()
    return found
