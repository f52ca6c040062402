"""Steps on open sends in the choice of a target, in virtual time."""

import copy
import json
import random
import time

from behave import given, then, when

from features.steps.host_decisions_steps import entry, request_profile
from features.support.earlier_choice import EarlierSelector, EarlierTargetView
from features.support.fleet_views import make_view
from features.support.gray_service import CASES, ONCE, compare
from features.support.platform_fleet import ROUTES, configuration
from features.support.thin_links import target_entry
from oleanderroute.clock import ManualClock
from oleanderroute.decisions.health import Finding, TargetHealth
from oleanderroute.decisions.latency import LatencySample
from oleanderroute.decisions.selection import Selector, TargetView
from oleanderroute.host.model import StoreItem
from oleanderroute.platform import documents

CHOICES = 30
SERIES = 60


@when(
    'open sends: the case "{name}" runs with both choices, seeds {first:d} to {last:d}'
)
def step_compare(context, name, first, last):
    case = CASES[name]
    seeds = range(first, last + 1)
    context.earlier = compare(case, seeds, EarlierTargetView, EarlierSelector)
    context.found = compare(case, seeds)
    print(f"{name}, earlier: {context.earlier}")
    print(f"{name}, now: {context.found}")


@then(
    "open sends: at most {ratio:g} of the earlier losses of requests that run once "
    "remain, and under {most:g} a phase"
)
def step_losses(context, ratio, most):
    found, earlier = context.found, context.earlier
    assert earlier.lost[ONCE] > 20, str(earlier)
    assert found.lost_share <= ratio * earlier.lost_share, (
        str(found),
        str(earlier),
    )
    assert found.lost_per_phase < most, str(found)


@then(
    "open sends: late and refused requests and healthy targets taken for gray grow by "
    "at most {most:g} of all"
)
def step_no_worse(context, most):
    found, earlier = context.found, context.earlier
    for name in ("late_share", "refused_share", "wrongly_avoided_share"):
        before, after = getattr(earlier, name), getattr(found, name)
        assert after <= before + most, (name, str(found), str(earlier))


@then("open sends: the sends of the targets differ by no more than before")
def step_imbalance(context):
    assert context.found.imbalance <= context.earlier.imbalance, str(context.found)


@given(
    "open sends: a host whose configuration has routes with time-outs of {short_s:g} "
    "and {long_s:g} s"
)
def step_host(context, short_s, long_s):
    routes = copy.deepcopy(ROUTES)
    for listed, timeout_s in zip(routes, (short_s, long_s), strict=True):
        listed["spec"]["timeoutMs"] = int(timeout_s * 1000)
    context.clock = ManualClock()
    context.view = make_view(context.clock)
    value = json.dumps(configuration(1, routes)).encode()
    context.view.apply([StoreItem(documents.CONFIGURATION_KEY, 1, value)])
    key = f"{documents.TARGET_PREFIX}t1"
    context.view.apply([StoreItem(key, 2, target_entry(1))])
    context.target = context.view.targets["t1"]


def observe(context, finding, number, age_s=0.0):
    sent_at = context.clock.now() - age_s
    context.view.observe("t1", finding, sent_at, ("h2", number))


@when(
    "open sends: another host starts {count:d} sends to a target and the report of "
    "{lost:d} end is lost"
)
def step_sends(context, count, lost):
    for number in range(count):
        observe(context, Finding.SENT, number)
    assert context.target.open_sends(context.clock.now()) == count
    for number in range(lost, count):
        observe(context, Finding.GOOD, number)


@then(
    "open sends: after {before_s:g} s the one without an end counts, and after "
    "{after_s:g} s it does not"
)
def step_expiry(context, before_s, after_s):
    started_at = context.clock.now()
    target = context.target
    assert target.open_sends(started_at + before_s) == 1
    assert target.open_sends(started_at + after_s) == 0


@then("open sends: a start that is learned {late_s:g} s late does not count")
def step_late_start(context, late_s):
    observe(context, Finding.SENT, 100, age_s=late_s)
    assert context.target.open_sends(context.clock.now()) == 1


@then("open sends: the send without an end is counted as overdue until then")
def step_overdue(context):
    assert context.view.count_overdue_sends() == {"pedidos": 0}
    context.clock.advance(2.7)
    assert context.view.count_overdue_sends() == {"pedidos": 1}
    context.clock.advance(0.2)
    assert context.view.count_overdue_sends() == {"pedidos": 0}


def make_choice(view_class, selector_class):
    """Return a function that runs some choices and returns their processor time."""
    selector = selector_class("a", random.Random(1))
    views = []
    for number in range(40):
        view = view_class(entry(f"t{number}"), TargetHealth(0.0))
        for send in range(2):
            view.record_remote_send(("h1", send), 0.9)
        views.append(view)
    latencies = LatencySample()
    profile = request_profile()

    def run():
        started_at = time.process_time()
        for _ in range(CHOICES):
            selector.best(views, latencies, profile, 1.0)
        return time.process_time() - started_at

    return run


@then(
    "open sends: a choice among 40 targets with 2 open sends each takes at most "
    "{ratio:g} times that of the earlier one"
)
def step_cost(context, ratio):
    run_earlier = make_choice(EarlierTargetView, EarlierSelector)
    run_found = make_choice(TargetView, Selector)
    earlier = []
    found = []
    # Short series in turns, so that both meet the same load of the machine.
    for _ in range(SERIES):
        earlier.append(run_earlier())
        found.append(run_found())
    earlier_s = min(earlier)
    found_s = min(found)
    print(
        f"choice: {found_s / CHOICES * 1e6:.0f} us, was {earlier_s / CHOICES * 1e6:.0f}"
    )
    assert found_s <= ratio * earlier_s, (found_s, earlier_s)
