"""One service in virtual time, with targets that stop answering in gray phases.

The hosts of a failure domain share one view, which gets each finding 30 to 60 ms late.
The choice of targets, the health estimates and the latency sample are those of the
product. A target in a gray phase takes 75% of its requests and never answers them.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field

from features.steps.host_decisions_steps import entry
from oleanderroute.decisions.allowance import RepeatAllowance
from oleanderroute.decisions.floor import ServiceFloor
from oleanderroute.decisions.health import (
    INTERIM_FINDINGS,
    LONG_OVERDUE_QUANTILE,
    OVERDUE_QUANTILE,
    Finding,
    TargetHealth,
)
from oleanderroute.decisions.latency import LatencySample
from oleanderroute.decisions.selection import RequestProfile, Selector, TargetView

GRAY_START_RATE = 0.08
GRAY_END_RATE = 0.30
UNANSWERED_SHARE = 0.75
FINDING_DELAYS_S = (0.03, 0.06)
DOMAINS = ("a", "b", "c")
QUEUE_PLACES_PER_SLOT = 4
FLOOR_SHARE = 0.7
# Results are counted after the views have learned the latencies.
WARM_UP_S = 3.0
CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True)
class Kind:
    """Requests of one route: rate, work and whether they may run more than once."""

    per_s: float
    work_s: float
    is_idempotent: bool = False
    spread: float = 0.8
    objective_s: float = 1.0
    timeout_s: float = 3.0


@dataclass(frozen=True)
class Case:
    """A service and its hosts."""

    targets: int
    slots: int
    hosts: int
    kinds: tuple
    seconds: float = 25.0
    gray_start_rate: float = GRAY_START_RATE


ONCE, IDEMPOTENT = False, True
CASES = {
    "calm day": Case(200, 3, 128, (Kind(337.0, 0.29),)),
    "smaller service": Case(40, 3, 36, (Kind(40.0, 0.4), Kind(30.0, 0.1, IDEMPOTENT))),
    "earlier deployment": Case(
        25, 2, 36, (Kind(89.0, 0.1), Kind(43.0, 0.082, IDEMPOTENT))
    ),
    "two kinds": Case(40, 3, 36, (Kind(50.0, 0.11), Kind(50.0, 0.34))),
    "short runs": Case(100, 3, 100, (Kind(300.0, 0.1),)),
    "long runs": Case(100, 3, 100, (Kind(170.0, 0.4),)),
}


@dataclass
class Results:
    """What is counted after the warm-up."""

    requests: Counter = field(default_factory=Counter)
    lost: Counter = field(default_factory=Counter)
    late: int = 0
    refused: int = 0
    phases: int = 0
    checks: int = 0
    wrongly_avoided: int = 0
    sends: Counter = field(default_factory=Counter)
    latency_s: float = 0.0
    answered: int = 0
    repeats: int = 0

    def add(self, other):
        """Add the counts of another run."""
        for name in vars(self):
            if name == "sends":
                continue
            setattr(self, name, getattr(self, name) + getattr(other, name))
        offset = len(self.sends)
        for number, count in other.sends.items():
            self.sends[f"{offset}/{number}"] = count

    @property
    def lost_per_phase(self):
        return self.lost[ONCE] / max(1, self.phases)

    @property
    def lost_share(self):
        return self.lost[ONCE] / max(1, self.requests[ONCE])

    @property
    def late_share(self):
        return self.late / max(1, self.requests.total())

    @property
    def refused_share(self):
        return self.refused / max(1, self.requests.total())

    @property
    def wrongly_avoided_share(self):
        return self.wrongly_avoided / max(1, self.checks)

    @property
    def imbalance(self):
        """Coefficient of variation of the sends of the targets."""
        counts = list(self.sends.values())
        mean = sum(counts) / len(counts)
        return math.sqrt(sum((n - mean) ** 2 for n in counts) / len(counts)) / mean

    def __str__(self):
        return (
            f"lost {self.lost_share:.4f} ({self.lost_per_phase:.3f} a phase), "
            f"idempotent lost {self.lost[IDEMPOTENT]}, "
            f"avoided {self.wrongly_avoided_share:.4f}, "
            f"imbalance {self.imbalance:.2f}, late {self.late_share:.4f}, "
            f"refused {self.refused_share:.4f}, "
            f"mean {1000 * self.latency_s / max(1, self.answered):.0f} ms, "
            f"repeats {self.repeats / self.requests.total():.3f}"
        )


class Target:
    """Slots, queue and gray phases of one target."""

    def __init__(self, number, slots, rng, start_rate):
        self.number = number
        self.slots = slots
        self.rng = rng
        self.answers = random.Random(rng.random())
        self.start_rate = start_rate
        self.running = 0
        self.queue = []
        self.gray_from = rng.expovariate(start_rate)
        self.gray_until = self.gray_from + rng.expovariate(GRAY_END_RATE)
        self.phases = 0

    def is_gray(self, now):
        while now >= self.gray_until:
            self.gray_from = self.gray_until + self.rng.expovariate(self.start_rate)
            self.gray_until = self.gray_from + self.rng.expovariate(GRAY_END_RATE)
            self.phases += self.gray_from > WARM_UP_S
        return now >= self.gray_from


class Domain:
    """The view that the hosts of one failure domain share."""

    def __init__(self, name, case, view_class, selector_class, seed):
        self.views = []
        for number in range(case.targets):
            target_entry = entry(
                f"t{number}", DOMAINS[number % len(DOMAINS)], case.slots
            )
            view = view_class(target_entry, TargetHealth(0.0))
            view.remote_sends.timeout_s = max(kind.timeout_s for kind in case.kinds)
            self.views.append(view)
        self.selector = selector_class(name, random.Random(f"{seed}/{name}"))
        self.latencies = LatencySample()
        self.floor = ServiceFloor(FLOOR_SHARE, random.Random(f"{seed}/{name}/floor"))
        self.allowance = RepeatAllowance(0.2, 50.0, 10.0, -20.0)


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller."""

    kind: Kind
    host: int
    domain: Domain
    at: float
    tried: set = field(default_factory=set)
    open_sends: list = field(default_factory=list)
    is_done: bool = False


@dataclass(slots=True, eq=False)
class Send:
    """One send of a request to a target."""

    key: tuple
    request: Request
    number: int
    at: float
    is_repeat: bool
    delays: tuple
    finding: Finding | None = None
    is_open: bool = True
    is_cancelled: bool = False
    is_queued: bool = False


class Simulation:
    """Runs a case with one rule of choice."""

    def __init__(self, case, seed, view_class=TargetView, selector_class=Selector):
        self.case = case
        self.rng = random.Random(f"{seed}/load")
        # Phases do not depend on the choices, so that rules meet the same ones.
        self.targets = []
        for number in range(case.targets):
            self.targets.append(
                Target(
                    number,
                    case.slots,
                    random.Random(f"{seed}/{number}"),
                    case.gray_start_rate,
                )
            )
        self.domains = []
        for name in DOMAINS:
            self.domains.append(Domain(name, case, view_class, selector_class, seed))
        self.connected = [set() for _ in range(case.hosts)]
        self.events = []
        self.order = itertools.count()
        self.results = Results()
        for number in range(case.targets):
            self.results.sends[number] = 0
        self.now = 0.0

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self):
        for kind in self.case.kinds:
            self.at(self.rng.expovariate(kind.per_s), self.arrive, kind)
        self.at(WARM_UP_S, self.check_beliefs)
        while self.events[0][0] < self.case.seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        for target in self.targets:
            target.is_gray(self.case.seconds)
            self.results.phases += target.phases
        return self.results

    def is_counted(self, request):
        return WARM_UP_S <= request.at < self.case.seconds - request.kind.timeout_s

    # Hosts

    def arrive(self, kind):
        self.at(self.now + self.rng.expovariate(kind.per_s), self.arrive, kind)
        host = self.rng.randrange(self.case.hosts)
        domain = self.domains[host % len(DOMAINS)]
        domain.latencies.objective_s = kind.objective_s
        request = Request(kind, host, domain, self.now)
        if self.is_counted(request):
            self.results.requests[kind.is_idempotent] += 1
        target = None
        if kind.is_idempotent and self.may_repeat(request, is_hedge=True):
            target = domain.selector.explore(
                self.candidates(request), domain.latencies, self.now
            )
        self.send(request, target or self.choose_best(request))
        if kind.is_idempotent:
            delay_s = domain.latencies.quantile(OVERDUE_QUANTILE)
            delay_s = max(0.04, min(0.5 * kind.objective_s, delay_s))
            self.at(self.now + delay_s, self.hedge, request)
        self.at(self.now + kind.timeout_s, self.give_up, request)

    def candidates(self, request):
        views = request.domain.views
        found = [v for v in views if v.entry.target_id not in request.tried]
        connected = self.connected[request.host]
        return request.domain.selector.sample(found, connected.__contains__)

    def choose_best(self, request):
        candidates = self.candidates(request)
        domain = request.domain
        if not request.tried:
            target = domain.floor.choose(candidates, self.now)
            if target is not None:
                return target
        connected = self.connected[request.host]
        profile = RequestProfile(request.kind.objective_s, 0.0, connected.__contains__)
        return domain.selector.best(candidates, domain.latencies, profile, self.now)

    def may_repeat(self, request, is_hedge=False):
        hosts = self.case.hosts
        return request.domain.allowance.may_repeat(hosts, hosts, self.now, is_hedge)

    def hedge(self, request):
        if request.is_done or len(request.open_sends) != 1:
            return
        target = self.choose_best(request)
        if target is None or not self.may_repeat(request, is_hedge=True):
            return
        if target.has_free_slot(self.now, request.domain.latencies.service_s):
            self.send(request, target)

    def send(self, request, view):
        number = int(view.entry.target_id[1:])
        is_repeat = bool(request.tried)
        delays = tuple(self.rng.uniform(*FINDING_DELAYS_S) for _ in DOMAINS)
        send = Send(
            (f"h{request.host}", next(self.order)),
            request,
            number,
            self.now,
            is_repeat,
            delays,
        )
        latencies = request.domain.latencies
        send.is_queued = not view.has_free_slot(self.now, latencies.service_s)
        request.tried.add(view.entry.target_id)
        request.open_sends.append(send)
        self.connected[request.host].discard(view.entry.target_id)
        self.report(send, Finding.RESENT if is_repeat else Finding.SENT)
        if self.is_counted(request):
            self.results.sends[number] += 1
            self.results.repeats += is_repeat
        first_s = latencies.quantile(OVERDUE_QUANTILE)
        self.at(self.now + first_s, self.overdue, send, Finding.OVERDUE)
        self.reach_target(send)

    def overdue(self, send, finding):
        if not send.is_open:
            return
        send.finding = finding
        self.report(send, finding)
        if finding is Finding.OVERDUE:
            latencies = send.request.domain.latencies
            left_s = latencies.quantile(LONG_OVERDUE_QUANTILE) - (self.now - send.at)
            when = self.now + max(0.01, left_s)
            self.at(when, self.overdue, send, Finding.LONG_OVERDUE)

    def answered(self, send):
        if not send.is_open:
            return
        send.is_open = False
        latency_s = self.now - send.at
        finding = Finding.GOOD if send.finding is None else Finding.LATE
        self.report(send, finding, latency_s)
        self.connected[send.request.host].add(f"t{send.number}")
        request = send.request
        if not send.is_queued:
            request.domain.latencies.add_service_time(latency_s)
        request.is_done = True
        for other in request.open_sends:
            if other.is_open:
                other.is_open = False
                other.is_cancelled = True
                self.report(other, Finding.ENDED)
        if self.is_counted(request):
            passed_s = self.now - request.at
            self.results.answered += 1
            self.results.latency_s += passed_s
            self.results.late += passed_s > request.kind.objective_s

    def refused(self, send):
        send.is_open = False
        self.report(send, Finding.SHED)
        request = send.request
        if len(request.tried) < 4:
            target = self.choose_best(request)
            if target is not None:
                self.send(request, target)
                return
        request.is_done = True
        if self.is_counted(request):
            self.results.refused += 1

    def give_up(self, request):
        if request.is_done:
            return
        request.is_done = True
        for send in request.open_sends:
            if send.is_open:
                send.is_open = False
                self.report(send, Finding.ENDED)
        if self.is_counted(request):
            self.results.lost[request.kind.is_idempotent] += 1

    # Targets

    def reach_target(self, send):
        target = self.targets[send.number]
        if target.is_gray(self.now) and target.answers.random() < UNANSWERED_SHARE:
            return
        if target.running < target.slots:
            self.start(target, send)
        elif len(target.queue) < QUEUE_PLACES_PER_SLOT * target.slots:
            target.queue.append(send)
        else:
            self.at(self.now, self.refused, send)

    def start(self, target, send):
        target.running += 1
        kind = send.request.kind
        mu = math.log(kind.work_s) - kind.spread**2 / 2
        work_s = self.rng.lognormvariate(mu, kind.spread)
        self.at(self.now + work_s, self.complete, target, send)

    def complete(self, target, send):
        target.running -= 1
        self.answered(send)
        while target.queue:
            waiting = target.queue.pop(0)
            if waiting.is_open:
                self.start(target, waiting)
                break

    # Findings

    def report(self, send, finding, latency_s=None):
        for domain, delay_s in zip(self.domains, send.delays, strict=True):
            self.at(self.now + delay_s, self.learn, domain, send, finding, latency_s)

    def learn(self, domain, send, finding, latency_s):
        view = domain.views[send.number]
        view.health.observe(finding, send.at, self.now, False)
        if finding in (Finding.SENT, Finding.RESENT):
            domain.allowance.record(finding is Finding.RESENT, False, self.now)
            view.record_remote_send(send.key, send.at, self.now)
        elif finding not in INTERIM_FINDINGS:
            view.record_remote_end(send.key)
        if latency_s is not None:
            domain.latencies.add(latency_s)
        if finding in (Finding.GOOD, Finding.LATE):
            domain.floor.record(False, self.now)
        elif finding is Finding.LONG_OVERDUE:
            domain.floor.record(True, self.now)

    def check_beliefs(self):
        """Count the healthy targets that a view takes for unlikely to answer."""
        self.at(self.now + CHECK_INTERVAL_S, self.check_beliefs)
        for target in self.targets:
            if target.is_gray(self.now):
                continue
            for domain in self.domains:
                view = domain.views[target.number]
                chance = view.health.failure_probability(self.now)
                self.results.checks += 1
                self.results.wrongly_avoided += chance >= 0.5


def compare(case, seeds, view_class=TargetView, selector_class=Selector):
    """Return the results of a rule, summed over seeds."""
    total = Results()
    for seed in seeds:
        simulation = Simulation(case, seed, view_class, selector_class)
        total.add(simulation.run())
    return total
