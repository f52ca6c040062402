"""Measures pooled detection against the naive rule on generated outcomes.

Run ``python -m bench.detection_trial [--seeds N] [--noise-s SECONDS] [NAME ...]``.
It prints one JSON document. Nothing is sent anywhere: a generator draws outcomes
for 3 failure domains of 13 hosts each, and both rules see the same kind of traffic.

The naive rule is one host on its own: three consecutive failures eject a target for
30 s. Detection time is counted until half, and nine tenths, of the hosts that meet
the fault have ejected the target.
"""

import argparse
import heapq
import json
import random
from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

from oleanderroute.clock import ManualClock
from oleanderroute.decisions.detection import DetectionPool
from oleanderroute.decisions.verdict import TargetState
from oleanderroute.declaration.model import Objective, Service, Target
from oleanderroute.ids import FailureDomain, Region, ServiceName, TargetId
from oleanderroute.outcome import FAILURE_KINDS, Attempt, AttemptKind, RequestClass

DOMAINS = 3
HOSTS_PER_DOMAIN = 13
TICK_S = 0.05
FAST_REPORT_S = 0.25
SLOW_REPORT_S = 1.0
FAULT_AT_S = 30.0
RUN_S = 120.0
MEDIAN_LATENCY_S = 0.020
TIMEOUT_S = 1.0
NAIVE_RUN = 3
NAIVE_EJECTION_S = 30.0
BURST_PERIOD_S = 60.0
BURST_S = 3.0


@dataclass(frozen=True)
class Fault:
    """A gray failure of some targets.

    Attributes
    ----------
    targets : int
        Number of sick targets, or -1 for all.
    share : float
        Share of requests that meet the fault.
    kind : AttemptKind
        How they end; OK means that they are only slow.
    slow_factor : float
        Factor on their latency.
    domains : tuple of int
        Failure domains whose hosts meet the fault.
    period_s : float
        For flapping targets, the time sick and again the time well; else 0.
    """

    name: str
    targets: int = 1
    share: float = 1.0
    kind: AttemptKind = AttemptKind.ERROR_STATUS
    slow_factor: float = 1.0
    domains: tuple = (0, 1, 2)
    period_s: float = 0.0


FAULTS = (
    Fault("errors_all"),
    Fault("errors_half", share=0.5),
    Fault("errors_fifth", share=0.2),
    Fault("connect_failed", kind=AttemptKind.CONNECT_FAILED),
    Fault("timeouts", kind=AttemptKind.TIMEOUT),
    Fault("silent_half", share=0.5, kind=AttemptKind.SILENT),
    Fault("slow_all", kind=AttemptKind.OK, slow_factor=10.0),
    Fault("slow_fifth", share=0.2, kind=AttemptKind.OK, slow_factor=20.0),
    Fault("flapping", period_s=10.0),
    Fault("one_way", targets=8, kind=AttemptKind.CONNECT_FAILED, domains=(0,)),
    Fault("three_sick", targets=3, share=0.5),
    Fault("service_slow", targets=-1, kind=AttemptKind.OK, slow_factor=10.0),
    Fault("service_errors", targets=-1, share=0.5),
)


@dataclass(frozen=True)
class Fleet:
    """Targets of one service and the rate of requests to them, in 1/s."""

    name: str
    targets: int
    slots: int
    rate: float


FLEETS = (Fleet("25x2", 25, 2, 300.0), Fleet("30x4", 30, 4, 450.0))


@dataclass(frozen=True)
class Noise:
    """What goes wrong on healthy targets.

    Attributes
    ----------
    bursts : bool
        Whether the whole service stumbles for `BURST_S` each `BURST_PERIOD_S`.
    bad_host : bool
        Whether 30% of the attempts of one host fail because of its own network.
    """

    error_share: float = 0.005
    timeout_share: float = 0.001
    sigma: float = 0.5
    bursts: bool = False
    bad_host: bool = False


QUIET = Noise()
LOUD = Noise(0.02, 0.005, 1.0, bursts=True, bad_host=True)


def service_of(fleet):
    """Return the declaration of the service of a fleet."""
    targets = tuple(
        Target(TargetId(f"t{number}"), "127.0.0.1", 1 + number, FailureDomain("a"))
        for number in range(fleet.targets)
    )
    return Service(
        ServiceName("trial"),
        Region("r"),
        targets,
        fleet.slots,
        330,
        fleet.targets * fleet.slots // 2,
        0.5,
        Objective(0.99, 500),
    )


@dataclass
class View:
    """Which targets are out of use in one view, and since when."""

    hosts: int
    ejected_at: dict = field(default_factory=dict)
    false_ejections: int = 0


class PooledRule:
    """The detection of the package: one pool for each failure domain."""

    def __init__(self, service, seed):
        self.clock = ManualClock(start_s=0.0)
        self.pools = [
            DetectionPool(service, self.clock, random.Random(seed + domain))
            for domain in range(DOMAINS)
        ]
        self.views = [View(HOSTS_PER_DOMAIN) for _ in range(DOMAINS)]
        self.buffers = [[] for _ in range(DOMAINS * HOSTS_PER_DOMAIN)]
        self.has_failure = [False] * len(self.buffers)
        self.evaluated_at = [0.0] * DOMAINS
        target_ids = [target.target_id for target in service.targets]
        self.weights = [dict.fromkeys(target_ids, 1.0) for _ in range(DOMAINS)]

    def view_of(self, host):
        """Return the number of the view that a host follows."""
        return host // HOSTS_PER_DOMAIN

    def observe(self, host, attempt, now):
        """Buffer an outcome until the host reports."""
        self.buffers[host].append(attempt)
        if attempt.kind in FAILURE_KINDS:
            self.has_failure[host] = True

    def tick(self, tick, now):
        """Deliver the reports that are due and judge; return changed views."""
        self.clock.monotonic_s = now
        reported = [False] * DOMAINS
        for host, buffer in enumerate(self.buffers):
            period_s = FAST_REPORT_S if self.has_failure[host] else SLOW_REPORT_S
            if (tick + host) % round(period_s / TICK_S):
                continue
            for attempt in buffer:
                self.pools[self.view_of(host)].observe(host, attempt, now)
            reported[self.view_of(host)] |= self.has_failure[host]
            buffer.clear()
            self.has_failure[host] = False
        changed = []
        for domain, pool in enumerate(self.pools):
            due_s = FAST_REPORT_S if reported[domain] else SLOW_REPORT_S
            if now - self.evaluated_at[domain] < due_s - TICK_S / 2:
                continue
            self.evaluated_at[domain] = now
            verdicts = pool.evaluate(now)
            self.weights[domain] = {
                verdict.target_id: verdict.weight for verdict in verdicts
            }
            changed.append(domain)
        return changed

    def ejections(self, now):
        """Yield the view and target of each ejection made by the last `tick`."""
        for domain, pool in enumerate(self.pools):
            if self.evaluated_at[domain] != now:
                continue
            for transition in pool.transitions:
                if transition.after is TargetState.EJECTED:
                    yield domain, transition.target_id


class NaiveRule:
    """Each host on its own: three failures in a row eject a target for 30 s."""

    def __init__(self, service, seed):
        hosts = DOMAINS * HOSTS_PER_DOMAIN
        self.views = [View(1) for _ in range(hosts)]
        target_ids = [target.target_id for target in service.targets]
        self.weights = [dict.fromkeys(target_ids, 1.0) for _ in range(hosts)]
        self.runs = [dict.fromkeys(target_ids, 0) for _ in range(hosts)]
        self.returning = []
        self.fresh = []
        self.touched = set()

    def view_of(self, host):
        """Return the number of the view that a host follows."""
        return host

    def observe(self, host, attempt, now):
        """Follow the run of failures and eject at its third."""
        runs = self.runs[host]
        if attempt.kind not in FAILURE_KINDS:
            runs[attempt.target_id] = 0
            return
        runs[attempt.target_id] += 1
        if runs[attempt.target_id] < NAIVE_RUN:
            return
        if self.weights[host][attempt.target_id] == 0.0:
            return
        runs[attempt.target_id] = 0
        self.weights[host][attempt.target_id] = 0.0
        heapq.heappush(
            self.returning, (now + NAIVE_EJECTION_S, host, attempt.target_id)
        )
        self.fresh.append((host, attempt.target_id))
        self.touched.add(host)

    def tick(self, tick, now):
        """Readmit targets; return changed views."""
        while self.returning and self.returning[0][0] <= now:
            _, host, target_id = heapq.heappop(self.returning)
            self.weights[host][target_id] = 1.0
            self.touched.add(host)
        changed = list(self.touched)
        self.touched.clear()
        return changed

    def ejections(self, now):
        """Yield the view and target of each ejection since the last call."""
        fresh = self.fresh
        self.fresh = []
        yield from fresh


class Trial:
    """One run of one rule."""

    def __init__(self, rule_class, fleet, fault, noise, seed):
        self.rng = random.Random(seed)
        self.service = service_of(fleet)
        self.fleet = fleet
        self.fault = fault
        self.noise = noise
        self.rule = rule_class(self.service, seed)
        self.target_ids = [target.target_id for target in self.service.targets]
        self.tables = {}
        self.pending = []
        self.number = 0
        self.failed_after_fault = 0

    def run(self, length_s):
        """Draw outcomes for ``length_s`` simulated seconds."""
        hosts = DOMAINS * HOSTS_PER_DOMAIN
        due = 0.0
        for tick in range(1, round(length_s / TICK_S) + 1):
            now = tick * TICK_S
            due += self.fleet.rate * TICK_S
            while due >= 1.0:
                due -= 1.0
                self._send(self.rng.randrange(hosts), now)
            while self.pending and self.pending[0][0] <= now:
                _, _, host, attempt = heapq.heappop(self.pending)
                self.rule.observe(host, attempt, now)
            for view in self.rule.tick(tick, now):
                self.tables.pop(view, None)
            for view, target_id in self.rule.ejections(now):
                self._count_ejection(self.rule.views[view], view, target_id, now)

    def _send(self, host, now):
        target_id = self._pick(self.rule.view_of(host))
        kind, latency_s = self._outcome(host, target_id, now)
        if kind in FAILURE_KINDS and self._is_faulty(host, target_id, now):
            self.failed_after_fault += 1
        attempt = Attempt(target_id, RequestClass.QUICK, kind, latency_s)
        self.number += 1
        entry = (now + latency_s, self.number, host, attempt)
        heapq.heappush(self.pending, entry)

    def _pick(self, view):
        if view not in self.tables:
            weights = self.rule.weights[view]
            bounds = list(accumulate(weights[key] or 1e-9 for key in self.target_ids))
            self.tables[view] = bounds
        bounds = self.tables[view]
        position = bisect_right(bounds, self.rng.random() * bounds[-1])
        return self.target_ids[min(position, len(bounds) - 1)]

    def _outcome(self, host, target_id, now):
        rng = self.rng
        noise = self.noise
        latency_s = MEDIAN_LATENCY_S * rng.lognormvariate(0.0, noise.sigma)
        if self._is_faulty(host, target_id, now) and rng.random() < self.fault.share:
            if self.fault.kind in (AttemptKind.TIMEOUT, AttemptKind.SILENT):
                return self.fault.kind, TIMEOUT_S
            return self.fault.kind, latency_s * self.fault.slow_factor
        if noise.bursts and now % BURST_PERIOD_S < BURST_S:
            latency_s *= 4
            if rng.random() < 0.2:
                return AttemptKind.ERROR_STATUS, latency_s
        if noise.bad_host and host == 0 and rng.random() < 0.3:
            return AttemptKind.CONNECT_FAILED, 0.001
        draw = rng.random()
        if draw < noise.error_share:
            return AttemptKind.ERROR_STATUS, latency_s
        if draw < noise.error_share + noise.timeout_share:
            return AttemptKind.TIMEOUT, TIMEOUT_S
        return AttemptKind.OK, latency_s

    def _is_sick(self, target_id):
        if self.fault is None or self.fault.targets < 0:
            return False
        return target_id in self.target_ids[: self.fault.targets]

    def _is_faulty(self, host, target_id, now):
        fault = self.fault
        if fault is None or now < FAULT_AT_S:
            return False
        if host // HOSTS_PER_DOMAIN not in fault.domains:
            return False
        if fault.targets >= 0 and not self._is_sick(target_id):
            return False
        if fault.period_s:
            return (now - FAULT_AT_S) % (2 * fault.period_s) < fault.period_s
        return True

    def _count_ejection(self, view, number, target_id, now):
        domain = number if view.hosts > 1 else number // HOSTS_PER_DOMAIN
        meets_fault = self.fault is not None and domain in self.fault.domains
        if now < FAULT_AT_S or not meets_fault or not self._is_sick(target_id):
            view.false_ejections += 1
            return
        view.ejected_at.setdefault(target_id, now)

    def detection_times(self, share):
        """Return, per sick target, seconds until a share of hosts has ejected it."""
        times = []
        if self.fault is None or self.fault.targets < 0:
            return times
        hosts = len(self.fault.domains) * HOSTS_PER_DOMAIN
        for target_id in self.target_ids[: self.fault.targets]:
            at = []
            for view in self.rule.views:
                if target_id in view.ejected_at:
                    at.extend([view.ejected_at[target_id] - FAULT_AT_S] * view.hosts)
            at.sort()
            wanted = int(hosts * share + 0.999)
            times.append(at[wanted - 1] if len(at) >= wanted else None)
        return times

    def false_host_ejections(self):
        """Return ejections of healthy targets, counted once for each host."""
        return sum(view.false_ejections * view.hosts for view in self.rule.views)

    def false_view_ejections(self):
        """Return ejections of healthy targets, counted once for each view."""
        return sum(view.false_ejections for view in self.rule.views)


RULES = {"pooled": PooledRule, "naive": NaiveRule}


def measure_fault(rule_name, fleet, fault, seeds):
    """Return the figures of one rule under one fault."""
    half = []
    most = []
    false_ejections = failed = 0
    for seed in range(seeds):
        trial = Trial(RULES[rule_name], fleet, fault, QUIET, seed)
        trial.run(RUN_S)
        half.extend(trial.detection_times(0.5))
        most.extend(trial.detection_times(0.9))
        false_ejections += trial.false_host_ejections()
        failed += trial.failed_after_fault
    return {
        "half_of_hosts_s": summary(half),
        "nine_tenths_of_hosts_s": summary(most),
        "false_host_ejections": false_ejections,
        "failed_requests_a_run": round(failed / seeds, 1),
    }


def summary(times):
    """Return median and worst detection time, and how many were never detected."""
    found = sorted(time for time in times if time is not None)
    if not found:
        return {"detected": 0, "of": len(times)}
    return {
        "median": round(found[len(found) // 2], 2),
        "worst": round(found[-1], 2),
        "detected": len(found),
        "of": len(times),
    }


def measure_noise(rule_name, fleet, noise, seeds, length_s):
    """Return false ejections of one rule without any sick target."""
    false_hosts = false_views = 0
    for seed in range(seeds):
        trial = Trial(RULES[rule_name], fleet, None, noise, 1000 + seed)
        trial.run(length_s)
        false_hosts += trial.false_host_ejections()
        false_views += trial.false_view_ejections()
    hours = seeds * length_s / 3600 * DOMAINS * HOSTS_PER_DOMAIN
    return {
        "host_hours": round(hours, 1),
        "false_view_ejections": false_views,
        "false_host_ejections": false_hosts,
        "false_host_ejections_per_host_hour": round(false_hosts / hours, 4),
    }


def main():
    """Run the trials named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--noise-s", type=float, default=600.0)
    options = parser.parse_args()
    document = {}
    for fleet in FLEETS:
        figures = document[fleet.name] = {}
        for fault in FAULTS:
            if options.names and fault.name not in options.names:
                continue
            figures[fault.name] = {
                name: measure_fault(name, fleet, fault, options.seeds) for name in RULES
            }
        for name, noise in (("noise_quiet", QUIET), ("noise_loud", LOUD)):
            if options.names and name not in options.names:
                continue
            figures[name] = {
                rule: measure_noise(rule, fleet, noise, options.seeds, options.noise_s)
                for rule in RULES
            }
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
