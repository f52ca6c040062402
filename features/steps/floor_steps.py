"""Steps on the floor of targets in use, in simulated time without a network."""

import heapq
import itertools
import random
from types import SimpleNamespace

from behave import given, then, when

from features.steps.host_decisions_steps import entry
from oleanderroute.decisions.floor import ServiceFloor
from oleanderroute.decisions.health import Finding, TargetHealth
from oleanderroute.decisions.latency import LatencySample
from oleanderroute.decisions.selection import RequestProfile, Selector, TargetView

# Rates and failures of gray phases are those of the users' deployments.
GRAY_START_RATE = 0.1
GRAY_END_RATE = 0.25
GRAY_FAILS = 0.75
LOST_ANSWERS = 0.5
SERVICE_S = 0.31
FINDING_DELAY_S = 0.04
LOSSY_FROM_S, LOSSY_UNTIL_S = 6.0, 12.0
WINDOW_S = 2.0
STEP_S = 0.1
FLOOR_SHARE = 0.7
PROFILE = RequestProfile(3.0, 0.0, lambda target_id: True)


class Simulation:
    """One service, and the hosts of a fleet as one view that lags behind.

    Attributes
    ----------
    sends : list of tuple
        Time, number of the target and whether the request was served.
    """

    def __init__(self, targets, lossy):
        self.lossy = set(range(lossy))
        self.views = [
            TargetView(entry(f"t{n}"), TargetHealth(0.0)) for n in range(targets)
        ]
        self.numbers = {id(view): n for n, view in enumerate(self.views)}
        self.sends = []

    def run(self, per_s, seconds, seed):
        rng = random.Random(seed)
        selector = Selector("a", random.Random(seed))
        self.floor = ServiceFloor(FLOOR_SHARE, random.Random(seed))
        self.latencies = LatencySample()
        self.gray_until = [0.0] * len(self.views)
        self.gray_from = [rng.expovariate(GRAY_START_RATE) for _ in self.views]
        events = []
        order = itertools.count()
        now = 0.0
        while now < seconds:
            now += rng.expovariate(per_s)
            while events and events[0][0] <= now:
                at, _, view, finding, sent_at = heapq.heappop(events)
                self.apply(view, finding, sent_at, at)
            view = self.floor.choose(self.views, now) or selector.best(
                self.views, self.latencies, PROFILE, now
            )
            is_served = self.is_served(self.numbers[id(view)], now, rng)
            self.sends.append((now, self.numbers[id(view)], is_served))
            finding = Finding.GOOD if is_served else Finding.FAILED
            start = (now + FINDING_DELAY_S, next(order), view, Finding.SENT, now)
            end_at = now + SERVICE_S + FINDING_DELAY_S
            heapq.heappush(events, start)
            heapq.heappush(events, (end_at, next(order), view, finding, now))

    def apply(self, view, finding, sent_at, now):
        view.health.observe(finding, sent_at, now, False)
        if finding is Finding.SENT:
            view.record_remote_send(sent_at, sent_at)
            return
        view.record_remote_end(sent_at)
        self.floor.record(finding is not Finding.GOOD, now)
        self.latencies.add(SERVICE_S)

    def is_served(self, number, now, rng):
        while now >= self.gray_from[number]:
            start = self.gray_from[number]
            self.gray_until[number] = start + rng.expovariate(GRAY_END_RATE)
            pause_s = rng.expovariate(GRAY_START_RATE)
            self.gray_from[number] = self.gray_until[number] + pause_s
        if now < self.gray_until[number] and rng.random() < GRAY_FAILS:
            return False
        is_lossy = number in self.lossy and LOSSY_FROM_S <= now < LOSSY_UNTIL_S
        return not (is_lossy and rng.random() < LOST_ANSWERS)


@given(
    "floor: {targets:d} targets, of which each has gray phases, and {lossy:d} lose "
    "half of their answers for 6 s"
)
def step_targets(context, targets, lossy):
    context.simulation = Simulation(targets, lossy)


@when(
    "floor: {per_s:d} requests a second that may run once are sent for {seconds:d} s, "
    "seed {seed:d}"
)
def step_run(context, per_s, seconds, seed):
    context.simulation.run(per_s, seconds, seed)
    context.seconds = seconds


def broken_windows(simulation, seconds, share):
    """Return the starts of windows with too few sound targets in use, and their number.

    Only windows count in which a tenth to half of the requests fail.
    """
    sound = len(simulation.views) - len(simulation.lossy)
    broken = []
    checked = 0
    start = 0.0
    while start + WINDOW_S <= seconds:
        start += STEP_S
        window = []
        for at, number, is_served in simulation.sends:
            if start <= at < start + WINDOW_S:
                window.append((number, is_served))
        failed = sum(1 for _, is_served in window if not is_served)
        if not 0.1 * len(window) < failed < 0.5 * len(window):
            continue
        checked += 1
        used = {number for number, _ in window} - simulation.lossy
        if len(used) < share * sound:
            broken.append(round(start, 1))
    return broken, checked


@then(
    "floor: in any 2 s in which a tenth to half of them fail, at least {share:g} of "
    "the sound targets get some"
)
def step_floor(context, share):
    broken, checked = broken_windows(context.simulation, context.seconds, share)
    assert checked, "no window had so many failures"
    assert not broken, broken


@then(
    "floor: less than {share:g} of the sound targets get some for no longer than "
    "{limit_s:g} s at a time"
)
def step_mended(context, share, limit_s):
    broken, checked = broken_windows(context.simulation, context.seconds, share)
    assert checked, "no window had so many failures"
    since = None
    last = None
    for start in broken:
        if last is None or start - last > 1.5 * STEP_S:
            since = start
        last = start
        assert last - since <= limit_s, broken


@then(
    "floor: with {failed:d} of {count:d} requests failing no target is chosen for the "
    "floor"
)
def step_calm(context, failed, count):
    floor = ServiceFloor(FLOOR_SHARE, random.Random(1))
    unused = SimpleNamespace(staleness_s=lambda now: 3.0, health=TargetHealth(0.0))
    for number in range(count):
        floor.record(number % (count // failed) == 0, 10.0 + 0.01 * number)
    assert floor.choose([unused] * 10, 11.0) is None
    for _ in range(count):
        floor.record(True, 11.0)
    assert floor.choose([unused] * 10, 11.0) is unused


@then(
    "floor: with {failed:d} of {ended:d} requests failing and {unused:d} of {count:d} "
    "targets unused one of these is chosen"
)
def step_small_service(context, failed, ended, unused, count):
    now = 10.0
    floor = ServiceFloor(0.7, random.Random(1))
    for number in range(ended):
        floor.record(number % 100 < failed, now)
    views = []
    for number in range(count):
        view = TargetView(entry(f"t{number}"), TargetHealth(now))
        view.last_own_send_at = now - (2.0 if number < unused else 0.1)
        views.append(view)
    chosen = floor.choose(views, now)
    assert chosen in views[:unused], chosen
