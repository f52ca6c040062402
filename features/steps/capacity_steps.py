"""Steps on what control costs a host at the two-year size."""

import asyncio
import gzip
import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import falcon.asgi
import falcon.testing
from behave import given, then, when

from features.support.services import make_service
from oleanderroute.clock import ManualClock
from oleanderroute.decisions.detection import DetectionPool
from oleanderroute.decisions.service_router import ServiceRouter
from oleanderroute.decisions.shards import ShardOwners
from oleanderroute.decisions.verdict import TargetState
from oleanderroute.operator.resources import Metrics
from oleanderroute.outcome import Attempt, AttemptKind, RequestClass
from oleanderroute.peer.gen.oleander_messages.ttypes import OutcomeReport, ServiceReport
from oleanderroute.platform.hostlist import HostEntry, HostList, MemberState
from oleanderroute.tasks.aggregator import Aggregator
from oleanderroute.tasks.reporter import NOT_JUDGED, Reporter
from oleanderroute.topology import SHARDS_PER_DOMAIN, Topology


def host_ids(count):
    return [f"host-{number:03d}" for number in range(count)]


@given("the shard owners of {hosts:d} hosts")
def make_owners(context, hosts):
    context.owners = ShardOwners("aggregator", SHARDS_PER_DOMAIN)
    context.owners.update(host_ids(hosts))


@then("no host owns more than {most:d} shards")
def check_balance(context, most):
    owned = Counter(context.owners.owners)
    assert sum(owned.values()) == SHARDS_PER_DOMAIN
    assert max(owned.values()) <= most, owned.most_common(3)


@then("the loss of any one host moves at most {moved:d} shards")
def check_moves(context, moved):
    before = list(context.owners.owners)
    everyone = list(context.owners.scored)
    for lost in everyone:
        left = [one for one in everyone if one != lost]
        context.owners.update(left)
        fresh = ShardOwners("aggregator", SHARDS_PER_DOMAIN)
        fresh.update(left)
        assert context.owners.owners == fresh.owners
        assert lost not in context.owners.owners
        pairs = zip(before, context.owners.owners, strict=False)
        changed = sum(old != new for old, new in pairs)
        assert changed <= moved, (lost, changed)
        context.owners.update(everyone)
        assert context.owners.owners == before


def listed_host(host_id):
    return HostEntry(host_id, "127.0.0.1", 1, 2, 3, "a", "r", MemberState.LIVE)


@given("a reporter with outcomes of {services:d} services")
def make_reporter(context, services):
    clock = ManualClock()
    hosts = tuple(listed_host(host_id) for host_id in host_ids(5))
    topology = Topology(hosts[0], clock)
    topology.update(HostList(1, hosts, ()))
    context.reporter = Reporter(topology, None, clock)
    entries = {}
    for number in range(services):
        name = f"service-{number}"
        service = replace(make_service(2, 2), name=name)
        router = SimpleNamespace(views={}, verdict_version=1)
        entries[name] = SimpleNamespace(service=service, router=router)
    context.reporter.set_services(entries)
    for name in entries:
        record(context, name, AttemptKind.OK)


def record(context, name, kind):
    attempt = Attempt("t0", RequestClass.QUICK, kind, 0.001)
    context.reporter.record(name, attempt)


@when('one attempt of "{name}" fails')
def fail_attempt(context, name):
    record(context, name, AttemptKind.BROKEN)


def counted_services(batches):
    found = Counter()
    for _, reports in batches:
        for report in reports:
            if report.attempts:
                found[report.service_name] += 1
    return found


@then('the urgent report names only "{name}"')
def check_urgent(context, name):
    found = counted_services(context.reporter.collect_urgent())
    assert found == {name: 1}, found


@then("the next due report names the other {services:d} services")
def check_due(context, services):
    found = counted_services(context.reporter.collect())
    assert len(found) == services, found
    assert set(found.values()) == {1}


class OneService:
    """Takes the place of ``Serving``; it knows one service."""

    def __init__(self, service, clock):
        self.service = service
        self.clock = clock

    def make_detection_pool(self, name):
        if name != self.service.name:
            return None
        return DetectionPool(self.service, self.clock, random.Random(1))


@given('an aggregator that has judged "{name}"')
def make_aggregator(context, name):
    context.clock = ManualClock()
    service = replace(make_service(3, 2), name=name)
    context.aggregator = Aggregator(
        OneService(service, context.clock), context.clock, None
    )
    context.aggregator.pool_of(name)
    context.aggregator.pools[name].reported_at = context.clock.now()
    asyncio.run(context.aggregator.evaluate())
    context.version = context.aggregator.pools[name].version
    context.service = service


@when("{who} reports a service whose verdicts {state}")
def send_report(context, who, state):
    unknown = replace(context.service, name="service-2")
    service = unknown if state == "are unknown" else context.service
    router = ServiceRouter(service, "h", "a", context.clock, random.Random(1))
    router.verdict_version = 7 if state == "are older" else context.version
    context.clock.advance(20.0)
    reporter = Reporter(None, None, context.clock)
    entry = SimpleNamespace(service=service, router=router)
    reporter.set_services({service.name: entry})
    version = 2 if who == "a host of version 2" else 3
    header = SimpleNamespace(protocol_version=version, host_id="h")
    reports = [ServiceReport(service.name, [], [], router.verdict_version)]
    _, context.reply = context.aggregator.receive_report(OutcomeReport(reports), header)
    reporter.apply_reply(reports, context.reply)
    context.age_s = context.clock.now() - router.verdicts_received_at


@then("the reply {answer}")
def check_reply(context, answer):
    found = [(one.verdict_version, len(one.targets)) for one in context.reply.services]
    expected = {
        "leaves the service out": [],
        "carries all verdicts": [(context.version, 3)],
        "carries no verdicts": [(context.version, 0)],
        "says it judges no verdicts": [(NOT_JUDGED, 0)],
    }
    assert found == expected[answer], found


@then("the entry's verdicts are {age}")
def check_age(context, age):
    assert context.age_s == (0.0 if age == "confirmed" else 20.0), context.age_s


PAGE = b"oleander_requests_total 1\n" * 100


class PageDaemon:
    """Takes the place of the daemon; it has a fixed metrics page."""

    async def render_metrics(self):
        return PAGE


@when('the metrics page is asked for with the encodings "{accepted}"')
def ask_page(context, accepted):
    headers = {} if accepted == "none" else {"Accept-Encoding": accepted}
    application = falcon.asgi.App()
    application.add_route("/metrics", Metrics(PageDaemon()))
    client = falcon.testing.TestClient(application)
    context.page = client.simulate_get("/metrics", headers=headers)


@then("the page is sent {form} with the same content")
def check_page(context, form):
    page = context.page
    encoding = page.headers.get("content-encoding")
    content = page.content
    if form == "compressed":
        assert encoding == "gzip", page.headers
        assert len(content) < len(PAGE) / 10
        content = gzip.decompress(content)
    else:
        assert encoding is None, page.headers
    assert content == PAGE
    assert page.headers["vary"] == "Accept-Encoding"


@given("a router with 4 targets and fresh verdicts")
def make_router(context):
    context.clock = ManualClock()
    service = make_service(4, 2)
    context.router = ServiceRouter(service, "h", "a", context.clock, random.Random(1))
    context.router.apply_verdicts(1, (), context.clock.now())


def run_attempts(context, seconds):
    """Let t0 break and the other targets answer, for a time in seconds."""
    for _ in range(int(seconds * 10)):
        context.clock.advance(0.1)
        for number in range(4):
            kind = AttemptKind.OK if number else AttemptKind.BROKEN
            attempt = Attempt(f"t{number}", RequestClass.QUICK, kind, 0.01)
            context.router.finished(attempt, context.clock.now())


@then("it keeps no outcomes of its own for 15 s")
def check_no_pool(context):
    run_attempts(context, 14.5)
    assert context.router.local_pool is None


@then("it keeps those after 15 s, and ejects by them after 30 s")
def check_pool(context):
    run_attempts(context, 15.0)
    assert context.router.local_pool is not None
    assert not context.router.is_local
    run_attempts(context, 1.0)
    now = context.clock.now()
    for _ in range(50):
        choice = context.router.choose(RequestClass.QUICK, frozenset(), True, now)
        assert choice.target.target_id != "t0"
    assert context.router.explain("t0", now).state is TargetState.EJECTED


@then("it drops them with the next verdicts")
def check_dropped(context):
    context.router.apply_verdicts(2, (), context.clock.now())
    assert context.router.local_pool is None
