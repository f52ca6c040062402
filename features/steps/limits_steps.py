"""Steps for admission, retry budget, quarantine and long slots."""

import random

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.support.naive_limits import (
    NaiveBudget,
    NaiveQuarantine,
    NaiveQueue,
    NaiveSlots,
    naive_holders,
)
from oleanderroute.clock import ManualClock
from oleanderroute.decisions.admission import Admission, AdmissionLimits, Ticket
from oleanderroute.decisions.budget import RetryBudget
from oleanderroute.decisions.claims import HolderView, RankedHost
from oleanderroute.decisions.deadline_queue import DeadlineQueue
from oleanderroute.decisions.quarantine import Quarantine
from oleanderroute.decisions.slots import LongSlots
from oleanderroute.declaration.model import Objective, Service, Target
from oleanderroute.outcome import AttemptKind, RequestClass

SMALL = st.integers(0, 5)
# Without a minimum size, hypothesis mostly generates lists of about five steps.
STEPS = st.lists(st.tuples(SMALL, SMALL, SMALL), min_size=50, max_size=80)
GAPS_S = (0.0, 0.1, 0.6, 1.0, 4.0, 150.0)
CLASSES = {"quick": RequestClass.QUICK, "long": RequestClass.LONG}


def make_service(targets=4, slots=2):
    listed = [Target(f"t{n}", "127.0.0.1", 1, "a") for n in range(targets)]
    return Service("s", "r", tuple(listed), slots, 9, 1, 0.5, Objective(0.99, 100))


def compare_queue(steps):
    real, naive = DeadlineQueue(), NaiveQueue()
    for number, (action, due, gap) in enumerate(steps * 6):
        ticket = Ticket(number, RequestClass.QUICK, due)
        if action > 2:
            real.push(ticket)
            naive.push(ticket)
        chosen = naive.first() if gap > 2 else naive.last()
        assert (real.first(), real.last()) == (naive.first(), naive.last())
        if action < 3 and chosen is not None:
            assert real.remove(chosen) and naive.remove(chosen)
            assert not real.remove(chosen)
        assert len(real) == len(naive)
        assert len(real.by_latest) <= 2 * len(real) + 257


def compare_admission(steps):
    clock = ManualClock()
    pair = [Admission(make_service(), AdmissionLimits(queue_limit=8), clock)]
    pair.append(Admission(make_service(), AdmissionLimits(queue_limit=8), clock))
    pair[1].queues = {kind: NaiveQueue() for kind in RequestClass}
    for number, (action, due, gap) in enumerate(steps):
        clock.advance(GAPS_S[gap] / 10)
        now = clock.now()
        real, naive = (act(each, number, action, due, now) for each in pair)
        assert real == naive, (real, naive)
        check_bounds(pair[0])


def act(admission, number, action, due, now):
    """Perform one step and return its comparable result."""
    running = sorted(admission.running)
    if action == 0:
        return admission.expire(now)
    if action <= 2 and running:
        ticket = admission.running[running[due % len(running)]]
        kind = AttemptKind.REFUSED_NOT_STARTED if due == 5 else AttemptKind.OK
        admitted = admission.release(ticket, kind, 0.1 * due, now)
        assert all(each.deadline >= now for each in admitted)
        return admitted
    kind = RequestClass.LONG if action == 5 else RequestClass.QUICK
    return admission.request(Ticket(number, kind, now + due / 3), now)


def check_bounds(admission):
    in_flight = admission.in_flight
    # Each class may run one request regardless of the limit.
    assert sum(in_flight.values()) <= max(int(admission.ceiling), 2)
    assert in_flight[RequestClass.LONG] <= max(1, admission.ceiling // 2)
    assert admission.waiting_count() <= 8
    for kind in RequestClass:
        assert not admission.queues[kind] or in_flight[kind] > 0


def compare_budget(steps):
    clock = ManualClock()
    real, naive = RetryBudget(clock, random.Random(1)), NaiveBudget()
    for action, _, gap in steps * 2:
        clock.advance(GAPS_S[gap] / 2 if gap < 5 else 0.3)
        now = clock.now()
        if action <= 1:
            real.record_success(now)
            naive.add("success", now)
        elif action <= 3:
            real.record_attempt(action == 2, now)
            naive.add("shed" if action == 2 else "taken", now)
        else:
            # A request opens a bucket in both versions even if the retry is denied.
            naive.add("asked", now)
            reason = real.spend(now, was_shed=action == 5).reason.value
            assert reason == naive.spend(now, action == 5)


def compare_quarantine(steps):
    clock = ManualClock()
    real, naive = Quarantine(clock), NaiveQuarantine()
    for fingerprint, target, gap in steps:
        clock.advance(GAPS_S[gap])
        now = clock.now()
        refused = naive.is_refused(fingerprint, now)
        assert real.is_refused(fingerprint, now) == refused
        verdict = real.record_crash(fingerprint, target, now)
        assert set(verdict.exempt_ids) == naive.record(fingerprint, target, now)


def compare_ranking(steps):
    """Add and remove hosts; removed ones stay ranked for 660 s."""
    view = HolderView("h0", 1, 600.0, 0.0)
    hosts = [RankedHost(f"h{n}", f"d{n % 4}") for n in range(12)]
    listed, left_at, now = set(hosts), {}, 0.0
    for version, (action, number, gap) in enumerate(steps):
        now += GAPS_S[gap]
        changed = hosts[number * 2 + action % 2]
        for host in listed if version > 0 else ():
            left_at[host] = now
        listed ^= {changed}
        view.update(version, list(listed), now)
        left_at.update(dict.fromkeys(listed, now))
        ranked = [h for h, at in left_at.items() if h in listed or now - at < 660.0]
        for key in ("o:1", "o:2", "o:3"):
            assert view.holders(key, now) == naive_holders(key, ranked)


def compare_slots(steps):
    clock = ManualClock()
    service = make_service(targets=2, slots=3)
    names = [target.target_id for target in service.targets]
    real, naive = LongSlots(service, clock), NaiveSlots(names, 2, 3)
    clock.advance(3)
    for action, lease, gap in steps:
        clock.advance(GAPS_S[gap] if gap < 4 else 2.0)
        now = clock.now()
        # Other messages of the entry hosts keep the coordinator from detecting a gap.
        real.last_request_at = now
        if action <= 3:
            excluded = {names[0]} if action < 2 else set()
            decision = real.acquire(lease, excluded, now)
            assert decision.target_id == naive.acquire(lease, excluded, now)
        elif action == 4:
            real.renew(lease, names[lease % 2], now)
            naive.renew(lease, names[lease % 2], now)
        else:
            real.release(lease)
            naive.release(lease)


COMPARISONS = {
    "queue": compare_queue,
    "admission": compare_admission,
    "budget": compare_budget,
    "ranking": compare_ranking,
    "quarantine": compare_quarantine,
    "slots": compare_slots,
}


@then('limits of "{subject}" agree with the naive version on random steps')
def step_agree(context, subject):
    # Hypothesis health checks measure real time, which depends on the machine load.
    options = settings(
        max_examples=100,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    options(for_all(STEPS)(COMPARISONS[subject]))()


@given("limits for a service of {targets:d} targets with {slots:d} slots")
def step_service(context, targets, slots):
    context.service = make_service(targets, slots)


def admit(admission, kind, count, start=0, due_s=60.0):
    now = admission.clock.now()
    for number in range(start, start + count):
        admission.request(Ticket(number, CLASSES[kind], now + due_s), now)


@when('a limits "{kind}" request due in {due:g} s arrives while "{state}"')
def step_request(context, kind, due, state):
    clock = ManualClock()
    admission = Admission(context.service, AdmissionLimits(), clock)
    if "slow" in state:
        admission.expected_s[RequestClass.QUICK] = 0.1
    if state == "busy and slow":
        admit(admission, "quick", 2)
    if state in ("long at limit", "queue full"):
        admit(admission, "long", 2)
    if state == "quick at limit":
        admit(admission, "quick", 2)
    if state == "queue full":
        admit(admission, "long", 127, 200)
        admit(admission, "quick", 129, 1000)
        assert admission.waiting_count() == 256
    if state == "quick queue full":
        admit(admission, "quick", 300)
    if state == "share 0":
        admission.set_share(0.0)
    ticket = Ticket(-1, CLASSES[kind], clock.now() + due)
    context.answer = admission.request(ticket, clock.now())


@then('the limits answer is "{reason}" and displaces {displaced:d}')
def step_answer(context, reason, displaced):
    assert context.answer.reason.value == reason, context.answer
    assert len(context.answer.displaced) == displaced, context.answer


def serve(admission, kind, count):
    for number in range(count):
        ticket = Ticket(number, RequestClass.QUICK, admission.clock.now() + 9)
        admission.request(ticket, admission.clock.now())
        admission.clock.advance(0.1)
        admission.release(ticket, kind, 0.01, admission.clock.now())
    return admission


@then("limits stay at 1 after {count:d} refusals")
def step_floor(context, count):
    admission = Admission(context.service, AdmissionLimits(), ManualClock())
    assert serve(admission, AttemptKind.REFUSED_NOT_STARTED, count).limit == 1.0


@then("limits stay at {slots:d} slots after {count:d} successes")
def step_ceiling(context, slots, count):
    admission = Admission(context.service, AdmissionLimits(), ManualClock())
    admit(admission, "quick", 300, 5000)
    for _ in range(count):
        ticket = next(iter(admission.running.values()), None)
        if ticket is None:
            break
        admission.release(ticket, AttemptKind.OK, 0.01, admission.clock.now())
        assert admission.limit <= slots
        if len(admission.running) == slots:
            return
    raise AssertionError(admission.limit)


@then("limits with a share of {share:g} admit {admitted:d} of {count:d} requests")
def step_share(context, share, admitted, count):
    admission = Admission(context.service, AdmissionLimits(), ManualClock())
    admission.set_share(share)
    served = 0
    for number in range(count):
        ticket = Ticket(number, RequestClass.QUICK, admission.clock.now() + 9)
        result = admission.request(ticket, admission.clock.now())
        if result.state.value == "admitted":
            served += 1
            admission.release(ticket, AttemptKind.OK, 0.01, admission.clock.now())
    assert served == admitted, served


@then("the limits backoff of retry {number:d} lies within {low:g} and {high:g} s")
def step_backoff(context, number, low, high):
    budget = RetryBudget(ManualClock(), random.Random(7))
    waits = {budget.backoff_s(number) for _ in range(100)}
    assert low <= min(waits) and max(waits) <= high and len(waits) > 50


@then("limits of a quarantine bounded to {bound:d} keep its newest confirmed request")
def step_bound(context, bound):
    quarantine = Quarantine(ManualClock(), bound)
    for target in ("t1", "t2"):
        quarantine.record_crash("confirmed", target, 0.0)
    for number in range(1000):
        quarantine.record_crash(f"suspect-{number}", "t1", 1.0)
        kept = len(quarantine.suspected) + len(quarantine.refused)
        assert kept <= bound
    assert quarantine.is_refused("confirmed", 1.0)
    assert quarantine.is_exempt("confirmed", "t1", 1.0)


@when('a limits long slot is acquired while "{state}"')
def step_acquire(context, state):
    clock = ManualClock()
    slots = LongSlots(context.service, clock)
    if state != "just started":
        clock.advance(2.5)
    names = list(slots.target_ids)
    excluded = set()
    if state == "half the slots long":
        for number in range(slots.service_limit()):
            assert slots.acquire(f"other{number}", set(), clock.now()).target_id
            assert max(slots.long_on_target.values()) == 1
    if state == "frozen with leases":
        slots.acquire("other", set(), clock.now())
        clock.advance(7)
    if state == "other targets excluded":
        excluded = set(names[1:])
    if state == "all targets excluded":
        excluded = set(names)
    if state == "no targets":
        slots.set_targets([])
    context.answer = slots.acquire("mine", excluded, clock.now())
    if state == "other targets excluded":
        assert context.answer.target_id == names[0]


@then('the limits slot answer is "{reason}"')
def step_slot_answer(context, reason):
    assert context.answer.reason.value == reason, context.answer


@given("limits: an admission with 24 slots and 2 running requests that never end")
def step_busy_admission(context):
    service = make_service(targets=12, slots=2)
    context.admission = Admission(service, AdmissionLimits(), ManualClock())
    admit(context.admission, "quick", 2)


@when("limits: 10 requests wait for 0.5 s after a refusal {age} s ago")
def step_wait_without_refusal(context, age):
    admission = context.admission
    clock = admission.clock
    if age != "none":
        admission.decreased_at = clock.now() - float(age)
    admit(admission, "quick", 10, start=10)
    context.admitted = []
    for _ in range(50):
        clock.advance(0.01)
        context.admitted += admission.grow_if_waiting(clock.now())


@then("limits: {count:d} of the waiting requests are admitted")
def step_waiting_admitted(context, count):
    assert len(context.admitted) == count, context.admitted
