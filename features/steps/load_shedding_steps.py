"""Steps on load shedding, in virtual time."""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

from behave import then, when
from eliot import add_destinations, remove_destination

from bench.shedding_trial import RULES, SERVICES, Trial
from features.steps.host_decisions_steps import entry
from features.steps.host_sends_steps import (
    DEADLINE_S,
    ScriptedPool,
    make_exchange,
    make_sender,
)
from oleanderroute import events
from oleanderroute.clock import ManualClock, SystemClock
from oleanderroute.decisions.health import TargetHealth
from oleanderroute.decisions.latency import LatencySample
from oleanderroute.decisions.load_shedding import MAX_KINDS, LoadShedder, RequestNeed
from oleanderroute.decisions.selection import Selector, TargetView
from oleanderroute.decisions.standing_queue import StandingQueue
from oleanderroute.decisions.work_estimate import (
    MAX_ROUTES,
    WorkEstimate,
    WorkEstimates,
)
from oleanderroute.host.hostmetrics import HostMetrics
from oleanderroute.host.shedding import RequestShedding

# The order takes effect with workspaces in the configuration.
WITH_WORKSPACES = SimpleNamespace(workspaces={"acme": None})


def make_shedder():
    return LoadShedder(StandingQueue(), WorkEstimate(), random.Random(1))


@then(
    "load shedding: {count:d} random requests of one kind are refused as by the "
    "standing queue"
)
def step_one_kind(context, count):
    rng = random.Random(7)
    shedder = make_shedder()
    queue = StandingQueue()
    now = 100.0
    refused = 0
    for _ in range(count):
        now += rng.choice((0.01, 0.1, 0.4, 2.0))
        level_s = 0.2 + 0.2 * (int(now) // 5 % 2)
        waits_s = sorted(rng.uniform(level_s, 2 * level_s) for _ in range(4))
        shedder.estimate.add("r", rng.uniform(0.1, 0.9), now)
        need = RequestNeed("r", 1, 1.0, rng.uniform(1.0, 3.0))
        result = shedder.admit(need, waits_s, 0.2, now)
        expected = queue.should_refuse(waits_s[0], 1.0, now)
        assert result.is_admitted is not expected and not result.is_ordered
        if expected:
            refused += 1
            assert result.retry_after_s == waits_s[0]
    assert count / 20 < refused < count / 2, refused


@when(
    "load shedding: {service} gets {load:g} times its capacity for 10 s, a fifth "
    "turned away, seed {seed:d}"
)
def step_fifth(context, service, load, seed):
    run_trials(context, service, load, seed, 0.2)


@when(
    "load shedding: {service} gets {load:g} times its capacity for 10 s, seed {seed:d}"
)
def step_trial(context, service, load, seed):
    run_trials(context, service, load, seed, 0.0)


def run_trials(context, service, load, seed, refused_share):
    context.trials = {}
    for rule in RULES:
        trial = Trial(SERVICES[service], rule, load, seed, refused_share)
        context.trials[rule] = trial.run()


@then(
    'load shedding: the credit of "{kind}" is at least {more:g} above that of both '
    "older rules"
)
def step_credit(context, kind, more):
    credits = {rule: trial.credit(kind) for rule, trial in context.trials.items()}
    best = max(credits["arrival order"], credits["today"])
    assert credits["order"] >= best + more, credits


@then(
    "load shedding: the credit of all is at least {factor:g} of that of arrival order"
)
def step_credit_of_all(context, factor):
    credits = {rule: trial.credit() for rule, trial in context.trials.items()}
    assert credits["order"] >= factor * credits["arrival order"], credits


@then(
    "load shedding: each kind gets half of what all get, and none {margin:g} more than "
    "a more urgent one"
)
def step_bounds(context, margin):
    trial = context.trials["order"]
    for measure in (trial.served, trial.served_tries):
        shares = {kind.name: measure(kind.name) for kind in trial.kinds}
        assert min(shares.values()) >= 0.5 * measure(), (measure(), shares)
        for urgent in trial.kinds:
            for other in trial.kinds:
                if urgent.priority < other.priority:
                    assert shares[urgent.name] >= shares[other.name] - margin, shares


@then("load shedding: at least {share:g} of the slots' time is in use")
def step_utilisation(context, share):
    assert context.trials["order"].utilisation() >= share


@then("load shedding: at least {share:g} of the callers of each kind are served")
def step_served(context, share):
    trial = context.trials["order"]
    for kind in trial.kinds:
        assert trial.served(kind.name) >= share, (kind, trial.served(kind.name))


@then(
    "load shedding: with {left:g} s left after {samples:d} samples of {work:g} s, "
    "{age:g} s old, it is {result:w}"
)
def step_hopeless(context, left, samples, work, age, result):
    estimate = WorkEstimate()
    for _ in range(samples):
        estimate.add("r", work, 0.0)
    for _ in range(30):
        estimate.add("other", 5.0, age)
    assert estimate.is_hopeless("r", left, age) is (result == "hopeless")


@then(
    "load shedding: a route with {samples:d} samples has the mean work of its service, "
    "and a service without samples the default"
)
def step_few_samples(context, samples):
    estimate = WorkEstimate()
    assert estimate.mean_s("r", 0.7) == 0.7
    for _ in range(55):
        estimate.add("other", 0.2, 0.0)
    for _ in range(samples):
        estimate.add("r", 2.0, 0.0)
    expected = (55 * 0.2 + samples * 2.0) / (55 + samples)
    assert abs(estimate.mean_s("r", 0.7) - expected) < 1e-9
    assert abs(estimate.mean_s("other", 0.7) - 0.2) < 1e-9


@then(
    "load shedding: {routes:d} routes leave {estimates:d} estimates and {kinds:d} kinds"
)
def step_bounded(context, routes, estimates, kinds):
    shedder = make_shedder()
    for number in range(routes):
        route_id = f"r{number}"
        shedder.estimate.add(route_id, 0.1, 0.0)
        shedder.admit(RequestNeed(route_id, number, 1.0, 1.0), [0.5], 0.1, 0.0)
    assert len(shedder.estimate.routes) == estimates == MAX_ROUTES
    assert len(shedder.kinds) == kinds == MAX_KINDS


def overload(shedder, seconds, priorities, now=100.0, wait_s=0.6):
    """Let requests of some priorities arrive every 0.1 s; return time and refusals."""
    refused = 0
    for _ in range(int(10 * seconds)):
        now += 0.1
        for priority in priorities:
            need = RequestNeed("r", priority, 1.0, 3.0)
            result = shedder.admit(need, [wait_s], 0.4, now)
            refused += not result.is_admitted
    return now, refused


@then("load shedding: after a jump of {jump:g} s requests without a wait are admitted")
def step_jump(context, jump):
    shedder = make_shedder()
    now, refused = overload(shedder, 5, (0, 2))
    assert refused > 10, refused
    _, refused = overload(shedder, 5, (0, 2), now + jump, wait_s=0.0)
    assert refused == 0, refused
    assert all(0.0 < kind.count < 200.0 for kind in shedder.kinds.values())


@then(
    "load shedding: {passed:g} s after the last request of the second kind the order "
    "has ended"
)
def step_disappears(context, passed):
    shedder = make_shedder()
    now, _ = overload(shedder, 1, (0, 2))
    assert shedder.is_ordered
    now, _ = overload(shedder, passed, (2,), now)
    assert not shedder.is_ordered and len(shedder.kinds) == 1, shedder.kinds


@then(
    'load shedding: a host answers a hopeless request 503 "{reason}" without a send, '
    "and serves another service"
)
def step_host(context, reason):
    async def run_requests():
        pool = ScriptedPool(["200"])
        forwarder = make_sender(pool)
        forwarder.view.configuration = WITH_WORKSPACES
        now = SystemClock().now()
        for _ in range(30):
            forwarder.target_sender.work_estimates.of("s").add("r", 2 * DEADLINE_S, now)
        refused = await forwarder.run(make_exchange("once"))
        reached = len(pool.reached)
        other = await forwarder.run(replace(make_exchange("once"), service="s2"))
        return refused, reached, other

    refused, reached, other = asyncio.run(run_requests())
    assert (refused.status, refused.reason, reached) == (503, reason, 0), refused
    assert float(dict(refused.headers)[b"retry-after"]) >= 0.1
    assert other.status == 200, other


@then(
    "load shedding: of {count:d} requests of each priority at full targets a host "
    "refuses more of priority 2 than of 0, with event 700 and counts by priority"
)
def step_overloaded_host(context, count):
    clock = ManualClock(100.0)
    queue = StandingQueue()
    latencies = LatencySample()
    view = SimpleNamespace(
        configuration=WITH_WORKSPACES,
        queue_of=lambda service: queue,
        latencies_of=lambda service: latencies,
    )
    targets = []
    for number in range(4):
        target = TargetView(entry(f"t{number}"), TargetHealth(clock.now()))
        target.own_in_flight = 2 * target.entry.slots
        targets.append(target)
    shedding = RequestShedding(
        view, Selector("a", random.Random(1)), WorkEstimates(), clock
    )
    metrics = HostMetrics()
    refused = {0: 0, 2: 0}
    records = []
    keep = records.append
    add_destinations(keep)
    try:
        for _ in range(count):
            for priority in refused:
                exchange = make_exchange("once")
                exchange.deadline_at = clock.now() + 3.0
                exchange.route = replace(
                    exchange.route, priority=priority, objective_s=1.0
                )
                latencies.objective_s = 1.0
                answer = shedding.refusal(exchange, targets)
                if answer is not None:
                    refused[priority] += 1
                    assert (answer.status, answer.reason) == (503, "no-room")
                    metrics.request_finished(exchange, answer, 0.0)
            clock.advance(0.1)
    finally:
        remove_destination(keep)
    assert refused[2] > 1.2 * refused[0] > 0, refused
    turns = [one for one in records if one["event"] == events.SHEDDING_TURNED.number]
    assert len(turns) == 1 and len(turns[0]["kinds"]) == 2, turns
    for priority, times in refused.items():
        labels = {"service": "s", "priority": str(priority), "reason": "no-room"}
        assert metrics.shed.get(labels) == times


@then(
    "load shedding: without workspaces a host with a standing queue refuses both "
    "priorities alike and no hopeless request"
)
def step_without_workspaces(context):
    async def run_requests():
        forwarder = make_sender(ScriptedPool(["200"] * 2))
        now = SystemClock().now()
        for _ in range(30):
            forwarder.target_sender.work_estimates.of("s").add("r", 2 * DEADLINE_S, now)
        answers = [await forwarder.run(make_exchange("once"))]
        queue = forwarder.view.queue_of("s")
        queue.should_refuse = lambda wait_s, objective_s, now: True
        for priority in (0, 2):
            exchange = make_exchange("once")
            exchange.route = replace(exchange.route, priority=priority)
            answers.append(await forwarder.run(exchange))
        return answers

    served, *refused = asyncio.run(run_requests())
    assert served.status == 200, served
    assert [answer.reason for answer in refused] == ["no-room"] * 2, refused


@then(
    "load shedding: a kind with {rare:d} of {count:d} requests and an objective of "
    "{objective:g} s does not have the others refused at a wait of {wait:g} s"
)
def step_rare_kind(context, rare, count, objective, wait):
    shedder = make_shedder()
    now = 100.0
    refused = 0
    for number in range(count):
        now += 0.1
        need = RequestNeed("bulk", 1, 3.0, 9.0)
        refused += not shedder.admit(need, [wait], 0.15, now).is_admitted
        if number % (count // rare) == count // rare - 1:
            shedder.admit(RequestNeed("rare", 1, objective, 1.0), [wait], 0.15, now)
    assert shedder.is_ordered
    assert refused == 0, refused
