"""Measures admission and the retry budget on a seeded event generator.

Arrivals rise fivefold within 3 s; 50 target slots with heavy-tailed service times are
shared by hosts that do not see one another. Prints the share of requests served
within their deadline, for each variant and seed, as JSON. No sockets, no waiting.
"""

import heapq
import json
import random
import statistics
from dataclasses import asdict, dataclass
from itertools import count

from oleanderroute.clock import ManualClock
from oleanderroute.decisions.admission import (
    Admission,
    AdmissionLimits,
    AdmissionState,
    Ticket,
)
from oleanderroute.decisions.budget import RetryBudget
from oleanderroute.declaration.model import Objective, Service, Target
from oleanderroute.outcome import AttemptKind, RequestClass

HOSTS = 40
TARGETS = 25
SLOTS_PER_TARGET = 2
BASE_RATE_PER_S = 250.0
PEAK_FACTOR = 5.0
RISE_AT_S = 10.0
RISE_S = 3.0
PEAK_END_S = 25.0
END_S = 35.0
DEADLINE_S = 1.0
LONG_DEADLINE_S = 20.0
LONG_SHARE_OF_ARRIVALS = 0.002
MEDIAN_SERVICE_S = 0.03
TAIL_SIGMA = 1.0
LONG_SERVICE_S = 3.0
# A target works on a refusal as well: about the cost of a connection (1 ms) and as
# much again. What it runs is delayed by that time.
REFUSAL_COST_S = 0.002
MAX_ATTEMPTS = 3
SEEDS = (1, 2, 3, 4, 5)


@dataclass(frozen=True)
class Variant:
    """Which mechanisms are on."""

    name: str
    has_admission: bool
    has_early_refusal: bool
    has_budget: bool
    has_home_target: bool = False


VARIANTS = (
    Variant("nothing", False, False, False),
    Variant("budget only", False, False, True),
    Variant("queue only", True, False, False),
    Variant("queue and early refusal", True, True, False),
    Variant("all", True, True, True),
    Variant("home targets, nothing else", False, False, False, True),
    Variant("home targets and all", True, True, True, True),
)


@dataclass
class Request:
    """One caller's request."""

    ticket: Ticket
    host: int
    service_s: float
    arrived_at: float
    attempts: int = 0


@dataclass
class Figures:
    """What one run measured; shares are between 0 and 1."""

    variant: str
    served_in_time: float
    served_in_time_at_peak: float
    quick_wait_p99_s: float
    long_served_in_time: float
    refused: int
    late: int
    attempts_per_request: float


class PatientAdmission(Admission):
    """Admission without early refusal: only what is already late is refused."""

    def _misses_deadline(self, ticket, now):
        return now >= ticket.deadline

    def _misses_deadline_in_queue(self, ticket, now):
        return now >= ticket.deadline


class NoAdmission:
    """The baseline without admission: everything goes to a target at once."""

    def request(self, ticket, now):
        """Admit all."""
        return None

    def release(self, ticket, kind, latency_s, now):
        """Admit nothing, as nothing waits."""
        return []


def build_service():
    """Return the service of the trial."""
    targets = []
    for number in range(TARGETS):
        targets.append(Target(f"t{number}", "127.0.0.1", 1, "a"))
    objective = Objective(0.999, 1000)
    return Service(
        "trial", "r", tuple(targets), SLOTS_PER_TARGET, 330, 10, 0.5, objective
    )


class Trial:
    """One run of one variant."""

    def __init__(self, variant, seed, limits):
        self.variant = variant
        self.rng = random.Random(seed)
        self.clock = ManualClock(0.0)
        self.events = []
        self.sequence = count()
        self.queued = {}
        service = build_service()
        self.admissions = []
        self.budgets = []
        for _ in range(HOSTS):
            self.admissions.append(self.build_admission(service, limits))
            self.budgets.append(RetryBudget(self.clock, self.rng))
        self.busy = [0] * TARGETS
        self.uses_home = [0] * HOSTS
        self.refusal_work_s = [0.0] * TARGETS
        self.done = []
        self.waits = []
        self.attempts = 0

    def build_admission(self, service, limits):
        """Return the admission of one host, as the variant has it."""
        if not self.variant.has_admission:
            return NoAdmission()
        if self.variant.has_early_refusal:
            return Admission(service, limits, self.clock)
        return PatientAdmission(service, limits, self.clock)

    def at(self, when, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.sequence), action, arguments))

    def run(self):
        """Run all events and return the Figures."""
        self.at(0.0, self.arrive)
        for host in range(HOSTS):
            self.at(0.05, self.tick, host)
        while self.events:
            when, _, action, arguments = heapq.heappop(self.events)
            self.clock.monotonic_s = when
            action(*arguments)
        return self.figures()

    def rate(self, now):
        """Return arrivals per second at a time."""
        if now < RISE_AT_S or now >= PEAK_END_S:
            return BASE_RATE_PER_S
        risen = min(1.0, (now - RISE_AT_S) / RISE_S)
        return BASE_RATE_PER_S * (1 + (PEAK_FACTOR - 1) * risen)

    def arrive(self):
        """Create one request and schedule the next arrival."""
        now = self.clock.now()
        if now >= END_S:
            return
        self.at(now + self.rng.expovariate(self.rate(now)), self.arrive)
        is_long = self.rng.random() < LONG_SHARE_OF_ARRIVALS
        kind = RequestClass.LONG if is_long else RequestClass.QUICK
        deadline_s = LONG_DEADLINE_S if is_long else DEADLINE_S
        median_s = LONG_SERVICE_S if is_long else MEDIAN_SERVICE_S
        service_s = median_s * self.rng.lognormvariate(0.0, TAIL_SIGMA)
        ticket = Ticket(next(self.sequence), kind, now + deadline_s)
        self.admit(Request(ticket, self.rng.randrange(HOSTS), service_s, now))

    def admit(self, request):
        """Pass a request through its host's admission."""
        now = self.clock.now()
        result = self.admissions[request.host].request(request.ticket, now)
        if result is None or result.state is AdmissionState.ADMITTED:
            self.dispatch(request)
            return
        for ticket in result.displaced:
            self.finish(self.waiting_request(ticket), "refused")
        if result.state is AdmissionState.REFUSED:
            self.finish(request, "refused")
            return
        self.queued[request.ticket.ticket_id] = request

    def waiting_request(self, ticket):
        """Return and forget a queued request."""
        return self.queued.pop(ticket.ticket_id)

    def tick(self, host):
        """Expire queued requests of a host, every 50 ms."""
        now = self.clock.now()
        if now > END_S + LONG_DEADLINE_S:
            return
        self.at(now + 0.05, self.tick, host)
        if not self.variant.has_admission:
            return
        for ticket in self.admissions[host].expire(now):
            self.finish(self.waiting_request(ticket), "refused")

    def choose(self, host):
        """Return a target: the host's idle home target, else the better of two."""
        if self.variant.has_home_target and not self.uses_home[host]:
            return host * TARGETS // HOSTS
        first, second = self.rng.randrange(TARGETS), self.rng.randrange(TARGETS)
        return min(first, second, key=lambda number: self.busy[number])

    def dispatch(self, request):
        """Send a request to a target, which may refuse it."""
        now = self.clock.now()
        request.attempts += 1
        self.attempts += 1
        target = self.choose(request.host)
        if self.busy[target] >= SLOTS_PER_TARGET:
            self.refusal_work_s[target] += REFUSAL_COST_S
            self.at(now + REFUSAL_COST_S, self.refused, request)
            return
        self.busy[target] += 1
        if target == request.host * TARGETS // HOSTS:
            self.uses_home[request.host] += 1
        self.waits.append((request.ticket.request_class, now - request.arrived_at))
        work_s = self.refusal_work_s[target]
        self.at(now + request.service_s, self.served, request, target, now, work_s)

    def served(self, request, target, started_at, earlier_work_s):
        """End a run on a target, or prolong it by the refusals since its start."""
        now = self.clock.now()
        work_s = self.refusal_work_s[target]
        if work_s > earlier_work_s:
            later = now + work_s - earlier_work_s
            self.at(later, self.served, request, target, started_at, work_s)
            return
        self.busy[target] -= 1
        if target == request.host * TARGETS // HOSTS:
            self.uses_home[request.host] -= 1
        self.budgets[request.host].record_attempt(False, now)
        self.budgets[request.host].record_success(now)
        self.free(request, AttemptKind.OK, now - started_at)
        in_time = now <= request.ticket.deadline
        self.finish(request, "served" if in_time else "late")

    def refused(self, request):
        """Handle a target's refusal: retry within the budget, or give up."""
        now = self.clock.now()
        budget = self.budgets[request.host]
        budget.record_attempt(True, now)
        self.free(request, AttemptKind.REFUSED_NOT_STARTED, REFUSAL_COST_S)
        may_retry = request.attempts < MAX_ATTEMPTS
        if self.variant.has_budget:
            may_retry = may_retry and budget.spend(now, was_shed=True).allowed
        if not may_retry:
            self.finish(request, "refused")
            return
        self.at(now + budget.backoff_s(request.attempts), self.admit, request)

    def free(self, request, kind, latency_s):
        """Release the admission and dispatch what it admits."""
        now = self.clock.now()
        admission = self.admissions[request.host]
        for ticket in admission.release(request.ticket, kind, latency_s, now):
            self.dispatch(self.waiting_request(ticket))

    def finish(self, request, outcome):
        """Record how a request ended."""
        self.done.append((request, outcome))

    def figures(self):
        """Return the Figures of the run."""
        peak = []
        long_ones = []
        for request, outcome in self.done:
            if RISE_AT_S <= request.arrived_at < PEAK_END_S:
                peak.append(outcome)
            if request.ticket.request_class is RequestClass.LONG:
                long_ones.append(outcome)
        outcomes = [outcome for _, outcome in self.done]
        quick = sorted(wait for kind, wait in self.waits if kind is RequestClass.QUICK)
        return Figures(
            self.variant.name,
            share_served(outcomes),
            share_served(peak),
            round(quick[int(len(quick) * 0.99)], 4),
            share_served(long_ones),
            outcomes.count("refused"),
            outcomes.count("late"),
            round(self.attempts / max(1, len(self.done)), 3),
        )


def share_served(outcomes):
    """Return the share of outcomes that were served in time."""
    return round(outcomes.count("served") / max(1, len(outcomes)), 4)


def main():
    """Run all variants over all seeds and print their means."""
    limits = AdmissionLimits()
    report = {"limits": asdict(limits), "seeds": list(SEEDS), "variants": []}
    for variant in VARIANTS:
        runs = []
        for seed in SEEDS:
            runs.append(asdict(Trial(variant, seed, limits).run()))
        report["variants"].append(mean_of(runs))
    print(json.dumps(report, indent=1))


def mean_of(runs):
    """Return the means of the figures over all seeds, and the worst peak share."""
    means = {"variant": runs[0].pop("variant")}
    for run in runs[1:]:
        run.pop("variant")
    for name in runs[0]:
        means[name] = round(statistics.mean(run[name] for run in runs), 4)
    worst = min(run["served_in_time_at_peak"] for run in runs)
    means["worst_served_in_time_at_peak"] = worst
    return means


if __name__ == "__main__":
    main()
