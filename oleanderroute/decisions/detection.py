"""Pooled outlier detection: outcomes of all hosts of a failure domain, one verdict
for each target.
"""

from dataclasses import dataclass

from ..outcome import AttemptKind, RequestClass
from .comparison import (
    LATENCY_WINDOWS,
    NO_FINDING,
    SAMPLE_MINIMUM,
    SLOW_QUANTILE,
    ClassComparison,
    stronger_finding,
)
from .condition import OUT_OF_ROTATION_STATES, SERVING_STATES, Assessment
from .ejection import TargetGroup
from .verdict import TargetState, Verdict, VerdictReason
from .windows import WINDOW_LENGTHS_S, OutcomeWindows

__all__ = ["DetectionPool", "TargetState", "Verdict", "VerdictReason"]

# Load shedding and cancellation by the caller are no evidence against a target.
IGNORED_KINDS = frozenset({AttemptKind.REFUSED_NOT_STARTED, AttemptKind.CANCELLED})
# Computing quantiles dominates the cost of an evaluation, and latencies change more
# slowly than runs of failures.
QUANTILE_PERIOD_S = 1.0
# A host that has stopped reporting counts as having no requests in flight.
LONG_REPORT_TTL_S = 15.0
PROBATION_SAMPLES = 2
# Time for a target to restart after a request that crashed it.
CRASH_RESTART_GRACE_S = 2.0
CRASH_KINDS = frozenset({AttemptKind.BROKEN, AttemptKind.CONNECT_FAILED})
UNASSESSED_STATES = frozenset({TargetState.EJECTED, TargetState.LEAVING})


@dataclass(frozen=True, slots=True)
class LongRequestReport:
    """Report of the long requests that one host has in flight on one target."""

    count: int
    at: float


class DetectionPool:
    """Pools outcomes by target and request class and evaluates the targets.

    The same code runs at an aggregator over the reports of its failure domain, and
    at an entry host over its own outcomes while it has no aggregator.

    Parameters
    ----------
    service : Service
    clock : Clock
    rng : random.Random

    Attributes
    ----------
    transitions : list of Transition
        State changes made by the last `evaluate`.
    """

    def __init__(self, service, clock, rng):
        self.service = service
        self.clock = clock
        self.target_group = TargetGroup(service, rng)
        self.windows = {request_class: {} for request_class in RequestClass}
        self.quantiles = {request_class: [] for request_class in RequestClass}
        self.quantiles_at = None
        self.long_reports = {}
        self.restart_grace_until = {}
        self.transitions = []
        self.set_targets([target.target_id for target in service.targets], frozenset())

    def set_targets(self, target_ids, leaving, service_targets=None):
        """Apply a new list of targets.

        Parameters
        ----------
        target_ids : iterable of TargetId
        leaving : set of TargetId
            Members of ``target_ids`` that get no new work.
        service_targets : int, optional
            Number of targets of the whole service, when ``target_ids`` is only the
            subset of one host; the floor is scaled to the subset.
        """
        wanted = set(target_ids)
        self.target_group.set_targets(wanted, leaving, self.clock.now())
        for known in (
            *self.windows.values(),
            self.long_reports,
            self.restart_grace_until,
        ):
            for target_id in list(known):
                if target_id not in wanted:
                    del known[target_id]
        floor = self.service.floor_slots
        if service_targets:
            floor = -(-floor * len(wanted) // service_targets)
        self.target_group.floor_slots = floor

    def set_service(self, service):
        """Apply a changed declaration; `set_targets` applies its targets."""
        self.service = service
        self.target_group.service = service
        self.target_group.floor_slots = service.floor_slots

    def set_dependency_sick(self, is_sick):
        """Suppress ejections while a declared dependency is unhealthy."""
        self.target_group.dependency_sick = is_sick

    def mark_draining(self, target_id, now):
        """Take a target out of rotation that reported that it drains."""
        self.target_group.mark_draining(target_id, now)

    def observe(self, host_id, attempt, now):
        """Count an attempt of a host with its weight, the number of equal attempts."""
        if attempt.kind in IGNORED_KINDS:
            return
        if attempt.target_id not in self.target_group.conditions:
            return
        if attempt.kind in CRASH_KINDS:
            if now < self.restart_grace_until.get(attempt.target_id, now):
                return
        windows = self.windows[attempt.request_class]
        own = windows.get(attempt.target_id)
        if own is None:
            own = windows[attempt.target_id] = OutcomeWindows()
        own.observe(attempt.kind, attempt.latency_s, attempt.weight, now)

    def clear_crash_failures(self, target_id, now):
        """Discard the failures of a target that a crash-causing request stopped."""
        self.restart_grace_until[target_id] = now + CRASH_RESTART_GRACE_S
        self._clear_outcomes(target_id)
        self.target_group.clear_crash_failures(target_id, now)

    def observe_probe(self, target_id, succeeded, now):
        """Record a probe. A failed one delays probation; a success clears nothing."""
        condition = self.target_group.conditions.get(target_id)
        if condition is None:
            return
        condition.failed_probe_at = -1e18 if succeeded else now

    def observe_long_running(self, host_id, target_id, count, now):
        """Record how many long requests a host has in flight on a target."""
        if count == 0:
            reports = self.long_reports.get(target_id)
            if reports is not None:
                reports.pop(host_id, None)
            return
        reports = self.long_reports.setdefault(target_id, {})
        reports[host_id] = LongRequestReport(count, now)

    def evaluate(self, now):
        """Evaluate all targets and return a list with one `Verdict` for each."""
        for windows in self.windows.values():
            for own in windows.values():
                own.advance(now)
        self._refresh_quantiles(now)
        self.transitions = self.target_group.update(self._assess_all(), now)
        for transition in self.transitions:
            self._reset_windows(transition)
        return self.target_group.verdicts(self._long_running(now), now)

    def _assess_all(self):
        peers = set()
        for condition in self.target_group.conditions.values():
            if condition.state in SERVING_STATES and not condition.kept_at_low_weight:
                peers.add(condition.target_id)
        objective_s = self.service.objective.latency_ms / 1000
        comparisons = [
            ClassComparison(
                request_class,
                self.windows[request_class],
                peers,
                self.quantiles[request_class],
                objective_s,
            )
            for request_class in RequestClass
        ]
        assessments = {}
        for condition in self.target_group.conditions.values():
            if condition.state in UNASSESSED_STATES:
                continue
            assessments[condition.target_id] = self._assess(condition, comparisons)
        return assessments

    def _assess(self, condition, comparisons):
        on_trial = (
            condition.state in OUT_OF_ROTATION_STATES or condition.kept_at_low_weight
        )
        minimum = PROBATION_SAMPLES if on_trial else SAMPLE_MINIMUM
        finding = NO_FINDING
        successes = outcomes = 0
        for comparison in comparisons:
            own = comparison.windows.get(condition.target_id)
            if own is None:
                continue
            total = own.windows[-1].total
            successes += total.ok_samples
            outcomes += sum(total.by_kind)
            finding = stronger_finding(
                finding, comparison.strongest_finding(condition.target_id, minimum)
            )
        return Assessment(finding, successes, outcomes)

    def _refresh_quantiles(self, now):
        if self.quantiles_at is not None:
            if now - self.quantiles_at < QUANTILE_PERIOD_S:
                return
        self.quantiles_at = now
        for request_class, windows in self.windows.items():
            self.quantiles[request_class] = [
                self._window_quantiles(windows, position)
                for position in range(len(WINDOW_LENGTHS_S))
            ]

    def _window_quantiles(self, windows, position):
        found = {}
        if position not in LATENCY_WINDOWS:
            return found
        for target_id, own in windows.items():
            total = own.windows[position].total
            if total.ok_samples < PROBATION_SAMPLES:
                continue
            found[target_id] = total.quantile_s(SLOW_QUANTILE)
        return found

    def _reset_windows(self, transition):
        # A target on probation, or readmitted at low weight, is evaluated only on
        # outcomes from now on.
        condition = self.target_group.conditions.get(transition.target_id)
        if condition is None:
            return
        is_readmitted = (
            transition.before in OUT_OF_ROTATION_STATES and condition.kept_at_low_weight
        )
        if transition.after is not TargetState.PROBATION and not is_readmitted:
            return
        self._clear_outcomes(transition.target_id)

    def _clear_outcomes(self, target_id):
        for request_class, windows in self.windows.items():
            windows.pop(target_id, None)
            for quantiles in self.quantiles[request_class]:
                quantiles.pop(target_id, None)

    def _long_running(self, now):
        running = {}
        for target_id, reports in self.long_reports.items():
            for host_id in list(reports):
                if now - reports[host_id].at > LONG_REPORT_TTL_S:
                    del reports[host_id]
                    continue
                running[target_id] = running.get(target_id, 0) + reports[host_id].count
        return running
