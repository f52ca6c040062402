"""An overloaded service in virtual time, with one of three rules at its hosts.

Targets have slots and a first-in, first-out queue of 4 places per slot. Hosts see the
load of the targets 40 ms late and send to one with a short expected wait. Callers that
are refused return after Retry-After, or after a third of their time left if that is
less. ``python -m bench.shedding_trial [SEED]`` prints the table of
docs/design/load-shedding.md and the cost of a decision.
"""

import heapq
import itertools
import random
import sys
import time
from collections import deque
from dataclasses import dataclass
from types import SimpleNamespace

from oleanderroute.decisions.allowance import RepeatAllowance
from oleanderroute.decisions.latency import LatencySample
from oleanderroute.decisions.load_shedding import LoadShedder, RequestNeed
from oleanderroute.decisions.selection import RequestProfile, Selector
from oleanderroute.decisions.standing_queue import StandingQueue
from oleanderroute.decisions.work_estimate import WorkEstimate
from oleanderroute.host.refusal import RETRY_AFTER_S

TARGETS = 20
HOSTS = 60
QUEUE_PLACES_PER_SLOT = 4
VIEW_DELAY_S = 0.04
WARM_UP_S = 20.0
WARM_UP_LOAD = 0.7
OVERLOAD_S = 10.0
MAX_SENDS = 2
# Callers with less time left do not return.
MIN_RETURN_S = 0.1
LATE_CREDIT = 0.15
# Two in a hundred requests take five times their usual time.
TAIL_SHARE = 0.02
TAIL_FACTOR = 5.0
RULES = ("arrival order", "today", "order")


@dataclass(frozen=True)
class Kind:
    """One kind of request and its share of the arrivals."""

    name: str
    priority: int
    objective_s: float
    limit_s: float
    work_s: float
    share: float


@dataclass
class Request:
    """One request of a caller, over all its tries."""

    kind: Kind
    arrived_at: float
    work_s: float
    is_counted: bool
    tries: int = 0
    is_hopeless: bool = False
    done_at: float | None = None

    @property
    def is_served(self):
        """Whether the answer came within the time limit."""
        return self.done_at is not None and (
            self.done_at - self.arrived_at <= self.kind.limit_s
        )

    @property
    def credit(self):
        """1 for an answer within the objective, a part for a late one."""
        if not self.is_served:
            return 0.0
        in_time = self.done_at - self.arrived_at <= self.kind.objective_s
        return 1.0 if in_time else LATE_CREDIT


class Target:
    """Slots and their queue, and the ``TargetView`` that all hosts have of them."""

    cold_until = 0.0
    health = SimpleNamespace(failure_probability=lambda now: 0.02)

    def __init__(self, number):
        self.slots = 2 + number % 5
        self.entry = SimpleNamespace(target_id=number, failure_domain="a")
        self.running = 0
        self.waiting = deque()
        # The load that hosts know of.
        self.seen = 0

    def wait_s(self, now, service_s):
        """Return the wait that a host expects."""
        excess = self.seen + 1.0 - self.slots
        return max(0.0, excess) * service_s / self.slots


class Host:
    """The estimates of one host."""

    def __init__(self, rng):
        self.queue = StandingQueue()
        self.estimate = WorkEstimate()
        self.shedder = LoadShedder(self.queue, self.estimate, rng)


class Trial:
    """One run.

    Parameters
    ----------
    kinds : tuple of Kind
    rule : str
        One of `RULES`.
    load : float
        Demand during the overload, in multiples of the capacity.
    seed : int
    refused_share : float
        Share of the sends that targets turn away whatever their load.
    """

    def __init__(self, kinds, rule, load, seed, refused_share=0.0):
        self.kinds = kinds
        self.rule = rule
        self.load = load
        self.rng = random.Random(seed)
        self.refused_share = refused_share
        self.targets = [Target(number) for number in range(TARGETS)]
        self.hosts = [Host(self.rng) for _ in range(HOSTS)]
        self.selector = Selector("a", self.rng)
        self.latencies = LatencySample()
        self.allowance = RepeatAllowance(0.2, 100.0, 10.0, -100.0)
        self.requests = []
        self.events = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.busy_s = 0.0

    def at(self, due_at, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.events, (due_at, next(self.numbers), action, arguments))

    def run(self):
        """Run to the end and return the trial."""
        self.at(0.0, self.arrive)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def arrive(self):
        """Let one request arrive and schedule the next."""
        is_overload = self.now >= WARM_UP_S
        mean_work_s = sum(kind.share * kind.work_s for kind in self.kinds)
        mean_work_s *= 1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0)
        slots = sum(target.slots for target in self.targets)
        rate = (self.load if is_overload else WARM_UP_LOAD) * slots / mean_work_s
        if self.now < WARM_UP_S + OVERLOAD_S:
            self.at(self.now + self.rng.expovariate(rate), self.arrive)
        kind = self.rng.choices(self.kinds, [kind.share for kind in self.kinds])[0]
        work_s = kind.work_s * self.rng.uniform(0.6, 1.4)
        if self.rng.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        request = Request(kind, self.now, work_s, is_overload)
        self.requests.append(request)
        self.enter(request)

    def enter(self, request):
        """Let a request arrive at a host, for the first time or again."""
        request.tries += 1
        host = self.rng.choice(self.hosts)
        kind = request.kind
        self.latencies.objective_s = kind.objective_s
        service_s = self.latencies.service_s
        waits_s = self.selector.healthy_waits_s(self.targets, self.latencies, self.now)
        wait_s = waits_s[0]
        left_s = request.arrived_at + kind.limit_s - self.now
        need = RequestNeed(kind.name, kind.priority, kind.objective_s, left_s)
        if self.rule == "order":
            if host.shedder.is_hopeless(need, self.now):
                request.is_hopeless = True
                self.refuse(request, wait_s)
                return
            result = host.shedder.admit(need, waits_s, service_s, self.now)
            if not result.is_admitted:
                retry_after_s = result.retry_after_s
                if result.is_ordered:
                    retry_after_s = self.selector.spread_return_s(retry_after_s)
                self.refuse(request, retry_after_s)
                return
        elif self.rule == "today":
            if host.queue.should_refuse(wait_s, kind.objective_s, self.now):
                self.refuse(request, wait_s)
                return
        self.send(request, host, need, set())

    def send(self, request, host, need, tried):
        """Send a request to a target, and to another one if it is turned away."""
        profile = RequestProfile(need.objective_s, 0.0, lambda target_id: True)
        untried = [target for target in self.targets if target not in tried]
        target = self.selector.best(untried, self.latencies, profile, self.now)
        self.allowance.record(bool(tried), True, self.now)
        tried.add(target)
        is_full = len(target.waiting) >= QUEUE_PLACES_PER_SLOT * target.slots
        if is_full or self.rng.random() < self.refused_share:
            if len(tried) < MAX_SENDS and self.may_repeat(host, need):
                self.send(request, host, need, tried)
                return
            self.refuse(request, RETRY_AFTER_S)
            return
        self.at(self.now + VIEW_DELAY_S, self.see, target, 1)
        is_queued = target.seen >= target.slots
        if target.running < target.slots:
            self.start(request, host, target, is_queued, self.now)
        else:
            target.waiting.append((request, host, is_queued, self.now))

    def may_repeat(self, host, need):
        """Tell whether one more send is allowed."""
        share = host.shedder.repeat_share(need) if self.rule == "order" else 1.0
        return self.allowance.may_repeat(1, 1, self.now, usable_share=share)

    def see(self, target, change):
        """Let the hosts learn of the start or the end of a send."""
        target.seen += change

    def start(self, request, host, target, is_queued, sent_at):
        """Start a request in a free slot."""
        target.running += 1
        end = self.now + request.work_s
        limit = WARM_UP_S + OVERLOAD_S
        self.busy_s += max(0.0, min(end, limit) - max(self.now, WARM_UP_S))
        self.at(end, self.finish, request, host, target, is_queued, sent_at)

    def finish(self, request, host, target, is_queued, sent_at):
        """End a request and start the next one at its target."""
        request.done_at = self.now
        target.running -= 1
        self.at(self.now + VIEW_DELAY_S, self.see, target, -1)
        self.latencies.add(self.now - sent_at)
        if not is_queued:
            elapsed_s = self.now - sent_at
            self.latencies.add_service_time(elapsed_s)
            host.estimate.add(request.kind.name, elapsed_s, self.now)
        if target.waiting:
            self.start(*self.next_waiting(target))

    def next_waiting(self, target):
        """Return the arguments of the start of the longest waiting request."""
        request, host, is_queued, sent_at = target.waiting.popleft()
        return request, host, target, is_queued, sent_at

    def refuse(self, request, retry_after_s):
        """Let the caller return if it still has time."""
        left_s = request.arrived_at + request.kind.limit_s - self.now
        if left_s < MIN_RETURN_S:
            return
        self.at(
            self.now + min(max(0.1, retry_after_s), left_s / 3), self.enter, request
        )

    # Results

    def share_of(self, name, value):
        """Return the mean of a value over the counted requests of a kind, or of all."""
        values = []
        for request in self.requests:
            if request.is_counted and name in (None, request.kind.name):
                values.append(float(value(request)))
        return sum(values) / len(values)

    def served(self, name=None):
        """Return the share of requests served within their limits."""
        return self.share_of(name, lambda request: request.is_served)

    def served_tries(self, name=None):
        """Return the served share of all tries, returning callers counted again."""
        tries = self.share_of(name, lambda request: request.tries)
        return self.served(name) / tries

    def credit(self, name=None):
        """Return the mean credit of the requests."""
        return self.share_of(name, lambda request: request.credit)

    def utilisation(self):
        """Return the share of the slots' time in use during the overload."""
        slots = sum(target.slots for target in self.targets)
        return self.busy_s / (slots * OVERLOAD_S)


SERVICES = {
    "one kind": (Kind("order", 1, 1.0, 3.0, 0.2, 1.0),),
    "three priorities": (
        Kind("order", 0, 1.0, 3.0, 0.2, 0.3),
        Kind("lookup", 1, 1.0, 3.0, 0.2, 0.4),
        Kind("report", 2, 1.0, 3.0, 0.2, 0.3),
    ),
    "work and objective": (
        Kind("lookup", 1, 0.5, 1.5, 0.11, 0.5),
        Kind("report", 1, 3.0, 9.0, 0.52, 0.5),
    ),
    "urgent and long": (
        Kind("order", 0, 2.0, 6.0, 0.4, 0.3),
        Kind("lookup", 1, 0.8, 2.4, 0.11, 0.7),
    ),
    "batch beside short": (
        Kind("order", 0, 0.5, 1.5, 0.11, 0.5),
        Kind("batch", 2, 3.0, 9.0, 0.4, 0.5),
    ),
}


def row(name, load, refused_share, rule, seed):
    """Return one row of the table."""
    trial = Trial(SERVICES[name], rule, load, seed, refused_share).run()
    parts = []
    for kind in SERVICES[name]:
        shares = (
            trial.served(kind.name),
            trial.served_tries(kind.name),
            trial.credit(kind.name),
        )
        parts.append(" ".join((kind.name, *(f"{share:.2f}" for share in shares))))
    title = f"{name}, a fifth turned away" if refused_share else name
    return (
        f"| {title} | {load:g} | {rule} | {trial.credit():.3f} "
        f"| {'; '.join(parts)} | {trial.utilisation():.2f} |"
    )


def decision_cost_s(kinds, targets, rounds=2000):
    """Return the seconds of processor time of one decision under overload."""
    rng = random.Random(1)
    estimate = WorkEstimate()
    shedder = LoadShedder(StandingQueue(), estimate, rng)
    waits_s = sorted(rng.uniform(0.1, 0.4) for _ in range(targets))
    needs = []
    for number in range(kinds):
        needs.append(RequestNeed(f"r{number}", number % 4, 1.0, 3.0))
        for _ in range(60):
            estimate.add(f"r{number}", rng.uniform(0.1, 0.5), 0.0)
    started_at = time.process_time()
    for number in range(rounds):
        need = needs[number % kinds]
        shedder.is_hopeless(need, number / 100)
        shedder.admit(need, waits_s, 0.2, number / 100)
        shedder.repeat_share(need)
    return (time.process_time() - started_at) / rounds


def main():
    """Print the table of the design note and the cost of a decision."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("By kind: share of callers served, share of tries served, credit.\n")
    print("| service | load | rule | credit | by kind | slots in use |")
    print("|---|---|---|---|---|---|")
    rows = [(name, load, 0.0) for name in SERVICES for load in (1.3, 2.0)]
    rows.append(("three priorities", 0.75, 0.2))
    for name, load, refused_share in rows:
        for rule in RULES:
            print(row(name, load, refused_share, rule, seed), flush=True)
    for kinds in (2, 32):
        cost_us = 1e6 * decision_cost_s(kinds, 40)
        print(f"{kinds} kinds, 40 candidates: {cost_us:.0f} us a decision")


if __name__ == "__main__":
    main()
