"""Steps on the choice of targets, subsets and dependencies."""

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from features.support.services import make_service
from oleanderroute.clock import ManualClock
from oleanderroute.decisions.choice import ChoiceReason
from oleanderroute.decisions.dependencies import DependencyTracker, ServiceState
from oleanderroute.decisions.service_router import ServiceRouter
from oleanderroute.decisions.subset import (
    EligibleHosts,
    HostLocation,
    choose_all_subsets,
    choose_subset,
)
from oleanderroute.decisions.verdict import TargetState, Verdict
from oleanderroute.declaration.model import Objective, Service, Target
from oleanderroute.outcome import Attempt, AttemptKind, RequestClass

HEALTHY = TargetState.HEALTHY
QUICK = RequestClass.QUICK
LONG = RequestClass.LONG
CONNECTION_LIMIT = 330


class RouterDriver:
    """A router with its clock and the choices it made."""

    def __init__(self, targets, slots):
        self.clock = ManualClock()
        service = make_service(targets, slots)
        self.router = ServiceRouter(service, "h", "a", self.clock, random.Random(5))
        self.chosen = Counter()
        self.reasons = set()

    def now(self):
        return self.clock.now()

    def apply_verdict(self, target_id, state, weight, long_running=0):
        verdict = Verdict(target_id, state, weight, long_running=long_running)
        self.router.apply_verdicts(1, [verdict], self.now())

    def finish(self, kind, latency_s=0.01, count=1, target_id="t0"):
        for _ in range(count):
            self.router.started(target_id, QUICK, self.now())
            attempt = Attempt(target_id, QUICK, kind, latency_s)
            self.router.finished(attempt, self.now())

    def route(self, count, request_class=QUICK, idempotent=True, excluded=frozenset()):
        self.chosen.clear()
        self.reasons.clear()
        for _ in range(count):
            choice = self.router.choose(request_class, excluded, idempotent, self.now())
            self.reasons.add(choice.reason)
            if choice.target is not None:
                self.chosen[choice.target.target_id] += 1


def drain(ago_s=0.0):
    def setup(driver):
        driver.router.mark_draining("t0", driver.now())
        driver.clock.advance(ago_s)
        driver.apply_verdict("t0", HEALTHY, 1.0)

    return setup


def run_here(request_class, count):
    def setup(driver):
        for _ in range(count):
            driver.router.started("t0", request_class, driver.now())

    return setup


def with_verdict(state, weight, long_running=0):
    return lambda driver: driver.apply_verdict("t0", state, weight, long_running)


def leave(driver):
    driver.router.set_targets(driver.router.service.targets, {"t0"})


def run_elsewhere(driver):
    for number in range(5):
        driver.apply_verdict(f"t{number}", HEALTHY, 1.0, 2)


def finish(kind, latency_s=0.01, ago_s=0.0):
    def setup(driver):
        for target in driver.router.service.targets:
            driver.finish(AttemptKind.OK, target_id=target.target_id)
        driver.finish(kind, latency_s, count=3)
        driver.clock.advance(ago_s)
        driver.router.apply_verdicts(1, [], driver.now())

    return setup


SETUPS = {
    "nothing special": lambda driver: None,
    "t0 leaving": leave,
    "t0 draining": lambda driver: driver.router.mark_draining("t0", driver.now()),
    "t0 draining and healthy": drain(),
    "t0 drained 61 s ago": drain(61.0),
    "t0 ejected": with_verdict(TargetState.EJECTED, 0.0),
    "t0 on probation": with_verdict(TargetState.PROBATION, 0.2),
    "t0 at weight 0.25": with_verdict(TargetState.RAMPING, 0.25),
    "t0 with 1 long here": run_here(LONG, 1),
    "t0 with 3 quick here": run_here(QUICK, 3),
    "t0 with 1 long there": with_verdict(HEALTHY, 1.0, 1),
    "t0 with 2 long there": with_verdict(HEALTHY, 1.0, 2),
    "10 long there": run_elsewhere,
    "t0 refusing": finish(AttemptKind.REFUSED_NOT_STARTED),
    "t0 failing": finish(AttemptKind.CONNECT_FAILED),
    "t0 slow": finish(AttemptKind.OK, 2.0),
    "t0 refusing 1 s ago": finish(AttemptKind.REFUSED_NOT_STARTED, ago_s=1.0),
    "t0 slow 60 s ago": finish(AttemptKind.OK, 2.0, ago_s=60.0),
}


@given("a router of {targets:d} targets with {slots:d} slots")
def step_router(context, targets, slots):
    context.routing = RouterDriver(targets, slots)


@given("the router has {setup}")
def step_setup(context, setup):
    SETUPS[setup](context.routing)


@when("{count:d} {cls} requests that are {repeatability} are routed")
def step_route(context, count, cls, repeatability):
    idempotent = repeatability == "idempotent"
    context.routing.route(count, RequestClass[cls], idempotent)


@then("the router uses targets {used} because of {reason}")
def step_used(context, used, reason):
    expected = set()
    if used != "none":
        first, last = used.replace("t", "").split("o")
        expected = {f"t{number}" for number in range(int(first), int(last) + 1)}
    assert set(context.routing.chosen) == expected, context.routing.chosen
    assert ChoiceReason[reason] in context.routing.reasons, context.routing.reasons


@then("the router avoids any excluded set of targets and says when none is left")
def step_excluded(context):
    driver = context.routing
    ids = [f"t{number}" for number in range(5)]

    @settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis_given(
        st.frozensets(st.sampled_from(ids)),
        st.sampled_from(RequestClass),
        st.booleans(),
    )
    def check(excluded, request_class, idempotent):
        driver.route(30, request_class, idempotent, excluded)
        assert not excluded & set(driver.chosen), driver.chosen
        if len(excluded) == len(ids):
            assert driver.reasons == {ChoiceReason.ALL_EXCLUDED}, driver.reasons
            return
        assert driver.chosen.total() == 30

    check()


@then("the router sends t0 between {low:g} and {high:g} of a fair share")
def step_share(context, low, high):
    chosen = context.routing.chosen
    share = chosen["t0"] / (chosen.total() / 10)
    assert low <= share <= high, share


@then("of {all:d} long requests, {own:d} of them own, the router explains {other:d}")
def step_long_verdict(context, own, all, other):
    driver = context.routing
    run_here(LONG, own - driver.router.views["t0"].long)(driver)
    driver.apply_verdict("t0", HEALTHY, 1.0, all)
    explanation = driver.router.explain("t0", driver.now())
    assert explanation.long_in_flight == own, explanation
    assert explanation.long_elsewhere == other, explanation


@when("the router's verdicts are {age_s:d} s old and t0 breaks all requests")
def step_stale(context, age_s):
    driver = context.routing
    for _ in range(age_s * 2):
        driver.clock.advance(0.5)
        driver.finish(AttemptKind.BROKEN)
        for number in range(1, 5):
            driver.finish(AttemptKind.OK, target_id=f"t{number}")
    driver.route(100)


@then("the router judges locally, ejects t0 and asks for all verdicts")
def step_local(context):
    driver = context.routing
    assert driver.chosen["t0"] == 0 and driver.chosen.total() == 100
    explanation = driver.router.explain("t0", driver.now())
    assert explanation.is_local
    assert explanation.state is TargetState.EJECTED, explanation
    assert driver.router.verdict_version == 0


@then("the router sends t0 traffic again after new verdicts")
def step_verdicts_used(context):
    driver = context.routing
    driver.apply_verdict("t0", HEALTHY, 1.0)
    driver.clock.advance(10.0)
    driver.route(300)
    assert not driver.router.explain("t0", driver.now()).is_local
    assert driver.chosen["t0"] > 10, driver.chosen


@given("subset hosts {hosts:d} and targets {targets:d} in {domains:d} failure domains")
def step_subset(context, hosts, targets, domains):
    locations = [
        HostLocation(f"h{number}", f"d{number % domains}") for number in range(hosts)
    ]
    context.hosts = EligibleHosts(locations)
    context.targets = [
        Target(f"t{number}", "127.0.0.1", 1, f"d{number % domains}")
        for number in range(targets)
    ]
    context.subsets = choose_all_subsets(
        context.hosts, context.targets, CONNECTION_LIMIT
    )
    own = choose_subset(locations[7], context.hosts, context.targets, CONNECTION_LIMIT)
    assert own == context.subsets["h7"]


@then(
    "each subset has at least {least:d} targets and no target has over 330 connections"
)
def step_limit(context, least):
    connections = Counter()
    for subset in context.subsets.values():
        assert len(subset.target_ids) >= least, subset
        assert subset.connections >= 1 and not subset.is_over_limit
        assert len(set(subset.target_ids)) == len(subset.target_ids)
        for target_id in subset.target_ids:
            connections[target_id] += subset.connections
    assert len(connections) == len(context.targets)
    assert max(connections.values()) <= CONNECTION_LIMIT, connections.most_common(3)


@then("each subset lies partly in other failure domains")
def step_domains(context):
    domain = {target.target_id: target.failure_domain for target in context.targets}
    for host in context.hosts:
        used = [domain[key] for key in context.subsets[host.host_id].target_ids]
        own = used.count(host.failure_domain)
        assert own <= len(used) / 2, used


@then("one host more changes at most {pairs:d} pairs of the subset")
def step_host_more(context, pairs):
    hosts = EligibleHosts([*context.hosts, HostLocation("new", "d0")])
    changed = changed_pairs(
        context, choose_all_subsets(hosts, context.targets, CONNECTION_LIMIT)
    )
    assert len(changed) <= pairs, len(changed)


@then("a lost target only affects the subset pairs that had it, up to {spread:d} times")
def step_target_lost(context, spread):
    lost = context.targets[0].target_id
    held = sum(lost in subset.target_ids for subset in context.subsets.values())
    changed = changed_pairs(
        context,
        choose_all_subsets(context.hosts, context.targets[1:], CONNECTION_LIMIT),
    )
    assert len(changed) <= held * spread, (len(changed), held)


def changed_pairs(context, later):
    changed = set()
    for host_id, subset in context.subsets.items():
        for target_id in set(subset.target_ids) ^ set(later[host_id].target_ids):
            changed.add((host_id, target_id))
    return changed


def dependency_service(name, depends_on=(), fallback=None):
    return Service(
        name, "r", (), 2, 330, 50, 0.5, Objective(0.99, 100), None, depends_on, fallback
    )


@given("dependencies where pedidos needs precios, which needs tablas")
def step_dependencies(context):
    services = [
        dependency_service("pedidos", ("precios",)),
        dependency_service("precios", ("tablas",)),
        dependency_service("tablas"),
    ]
    context.dependencies = DependencyTracker({each.name: each for each in services})


@given("dependencies where pedidos falls back on copia")
def step_fallback(context):
    pedidos = dependency_service("pedidos", fallback="copia")
    services = {"pedidos": pedidos, "copia": dependency_service("copia")}
    context.dependencies = DependencyTracker(services)


@when("the dependency {name} has capacity {shares} over {length_s:d} s each")
def step_capacity(context, name, shares, length_s):
    context.now = 0.0
    for share in shares.split(","):
        for _ in range(length_s * 2):
            context.now += 0.5
            state = ServiceState(float(share) * 100, 100, 50)
            context.dependencies.update(name, state, context.now)


@then("the dependency admits {admitted:g} of pedidos and {suppressed} ejection")
def step_admits(context, admitted, suppressed):
    share = context.dependencies.admission_share("pedidos")
    assert abs(share.share - admitted) < 0.01, share
    assert (share.dependency == "tablas") == (admitted < 1.0), share
    expected = suppressed == "suppresses"
    assert context.dependencies.is_ejection_suppressed("pedidos") == expected


@then("the dependency sends {diverted:g} of pedidos to its fallback")
def step_diverted(context, diverted):
    decision = context.dependencies.fallback("pedidos", context.now)
    assert abs(decision.share - diverted) < 0.06, decision
    assert decision.fallback == "copia"
