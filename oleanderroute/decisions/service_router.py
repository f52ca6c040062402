"""Routing of one service on one host from verdicts and own observations."""

import math
from dataclasses import dataclass

from ..ids import TargetId
from ..outcome import Attempt, RequestClass
from .choice import CandidateTable, TargetView, choose_long, choose_quick
from .condition import COLD_WEIGHT
from .detection import DetectionPool
from .ejection import DRAIN_NOTICE_TTL_S
from .verdict import TargetState, VerdictReason

VERDICT_LIFETIME_S = 30.0
LOCAL_PERIOD_S = 1.0
# Own outcomes are recorded once verdicts are older than this. Recording them all the
# time takes 13 MB at the two-year fleet size. A service without requests for some
# seconds is not reported; at 0.19 req/s per host, 6% of the requests follow a pause
# longer than this.
LOCAL_OUTCOMES_AFTER_S = 15.0
# Requests all verdicts from the aggregator instead of the changed ones.
ALL_VERDICTS_VERSION = 0


@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """Reasons for a target's share of the traffic, as shown to operators.

    Attributes
    ----------
    weight : float
        Share of traffic relative to a healthy target, between 0 and 1.
    is_leaving : bool
        Whether the target is excluded by the host list or by a drain notice.
    latency_s : float
        Latency estimate of quick requests.
    avoided_for_s : float
        Remaining time in which own failures or refusals reduce its traffic.
    verdict_age_s : float
        Time since the aggregator's last reply.
    is_local : bool
        Whether own outcomes replace verdicts that are too old.
    """

    target_id: TargetId
    state: TargetState
    weight: float
    reason: VerdictReason
    is_leaving: bool
    quick_in_flight: int
    long_in_flight: int
    long_elsewhere: int
    latency_s: float
    avoided_for_s: float
    verdict_age_s: float
    is_local: bool


class ServiceRouter:
    """Chooses targets of one service on one host.

    Parameters
    ----------
    service : Service
    host_id : HostId
    failure_domain : FailureDomain
    clock : Clock
    rng : random.Random

    Attributes
    ----------
    verdict_version : int
        Version to send with reports; 0 asks for all verdicts.
    local_pool : DetectionPool or None
        Own outcomes, used without an aggregator; None while verdicts arrive.
    """

    def __init__(self, service, host_id, failure_domain, clock, rng):
        self.service = service
        self.host_id = host_id
        self.failure_domain = failure_domain
        self.clock = clock
        self.rng = rng
        self.local_pool = None
        self.leaving = frozenset()
        self.service_targets = None
        self.views = {}
        self.verdict_version = ALL_VERDICTS_VERSION
        self.verdicts_received_at = clock.now()
        self.is_local = False
        self.local_evaluated_at = -math.inf
        self.long_limit = 0
        self.next_drain_end_at = math.inf
        self.non_idempotent = CandidateTable([])
        self.idempotent = CandidateTable([])
        self.set_targets(service.targets, frozenset())

    def set_targets(self, targets, leaving, service_targets=None):
        """Replace the list of targets.

        Parameters
        ----------
        targets : iterable of Target
            Targets that this host may use.
        leaving : set of TargetId
            Targets that get no new requests from now on.
        service_targets : int, optional
            Number of targets of the whole service, when ``targets`` is a subset.
        """
        targets = list(targets)
        first = not self.views
        views = {}
        for target in targets:
            view = self.views.get(target.target_id)
            if view is None:
                view = self._new_view(target, first)
            view.target = target
            view.leaving = target.target_id in leaving
            views[target.target_id] = view
        self.views = views
        self.leaving = leaving
        self.service_targets = service_targets
        if self.local_pool is not None:
            self.local_pool.set_targets(list(views), leaving, service_targets)
        self._rebuild_candidates(self.clock.now())

    def set_service(self, service):
        """Apply a changed declaration; `set_targets` replaces the targets."""
        self.service = service
        if self.local_pool is not None:
            self.local_pool.set_service(service)
        for view in self.views.values():
            view.slots = service.slots_per_target

    def choose(self, request_class, excluded, idempotent, now):
        """Choose a target.

        Parameters
        ----------
        request_class : RequestClass
        excluded : frozenset of TargetId
            Targets to which this request must not be sent again.
        idempotent : bool
            Whether the request may be sent to a target on probation.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Choice
        """
        if now - self.verdicts_received_at > VERDICT_LIFETIME_S:
            self._evaluate_locally(now)
        if now >= self.next_drain_end_at:
            self._rebuild_candidates(now)
        table = self.idempotent if idempotent else self.non_idempotent
        if request_class is RequestClass.LONG:
            return choose_long(
                table, excluded, self.long_limit, self.rng, now, self.is_local
            )
        return choose_quick(table, excluded, self.rng, now, self.is_local)

    def started(self, target_id, request_class, now):
        """Count a request that is sent to a target."""
        view = self.views.get(target_id)
        if view is None:
            return
        if request_class is RequestClass.LONG:
            view.long += 1
        else:
            view.quick += 1

    def finished(self, attempt: Attempt, now):
        """Count the end of a request that was counted by `started`."""
        view = self.views.get(attempt.target_id)
        if view is None:
            return
        if attempt.request_class is RequestClass.LONG:
            view.long = max(0, view.long - 1)
        else:
            view.quick = max(0, view.quick - 1)
        view.record(attempt, now)
        if now - self.verdicts_received_at > LOCAL_OUTCOMES_AFTER_S:
            self._ensure_local_pool(now).observe(self.host_id, attempt, now)

    def apply_verdicts(self, version, verdicts, now):
        """Apply verdicts of the aggregator.

        Parameters
        ----------
        version : int
            Version of the aggregator's view, sent back with the next report.
        verdicts : iterable of Verdict
            Verdicts that changed; all of them when the last version sent was 0. An
            empty iterable confirms the current verdicts.
        now : float
            Monotonic time in seconds.
        """
        self.verdict_version = version
        self.verdicts_received_at = now
        self.is_local = False
        self.local_pool = None
        verdicts = list(verdicts)
        for verdict in verdicts:
            view = self.views.get(verdict.target_id)
            if view is None:
                continue
            self._apply(view, verdict)
            # The aggregator's count includes the long requests of this host.
            view.long_elsewhere = max(0, verdict.long_running - view.long)
        if verdicts:
            self._rebuild_candidates(now)

    def mark_draining(self, target_id, now):
        """Exclude a target that reported that it is draining."""
        view = self.views.get(target_id)
        if view is None:
            return
        view.draining_until = now + DRAIN_NOTICE_TTL_S
        if self.local_pool is not None:
            self.local_pool.mark_draining(target_id, now)
        self._rebuild_candidates(now)

    def explain(self, target_id, now):
        """Return a `TargetExplanation`, or None for an unknown target."""
        view = self.views.get(target_id)
        if view is None:
            return None
        return TargetExplanation(
            target_id,
            view.state,
            view.weight,
            view.reason,
            self._is_leaving(view, now),
            view.quick,
            view.long,
            view.long_elsewhere,
            view.latency_s,
            max(0.0, view.penalty_until - now),
            now - self.verdicts_received_at,
            self.is_local,
        )

    def _new_view(self, target, first):
        slots = self.service.slots_per_target
        if first:
            return TargetView(target, slots, TargetState.HEALTHY, 1.0)
        return TargetView(target, slots, TargetState.COLD, COLD_WEIGHT)

    def _apply(self, view, verdict):
        view.state = verdict.state
        view.weight = verdict.weight
        view.reason = verdict.reason

    def _evaluate_locally(self, now):
        if now - self.local_evaluated_at < LOCAL_PERIOD_S:
            return
        self.local_evaluated_at = now
        if not self.is_local:
            self.is_local = True
            self.verdict_version = ALL_VERDICTS_VERSION
        for verdict in self._ensure_local_pool(now).evaluate(now):
            view = self.views[verdict.target_id]
            self._apply(view, verdict)
            view.long_elsewhere = 0
        self._rebuild_candidates(now)

    def _ensure_local_pool(self, now):
        if self.local_pool is not None:
            return self.local_pool
        pool = DetectionPool(self.service, self.clock, self.rng)
        pool.set_targets(list(self.views), self.leaving, self.service_targets)
        for target_id, view in self.views.items():
            if view.draining_until > now:
                pool.mark_draining(target_id, view.draining_until - DRAIN_NOTICE_TTL_S)
        self.local_pool = pool
        return pool

    def _is_leaving(self, view, now):
        return view.leaving or view.draining_until > now

    def _rebuild_candidates(self, now):
        self.next_drain_end_at = math.inf
        non_idempotent = []
        idempotent = []
        ejected = []
        for view in self.views.values():
            if view.draining_until > now:
                self.next_drain_end_at = min(
                    self.next_drain_end_at, view.draining_until
                )
            if self._is_leaving(view, now) or view.state is TargetState.LEAVING:
                continue
            if view.weight <= 0.0:
                ejected.append(view)
                continue
            idempotent.append(view)
            if view.state is not TargetState.PROBATION:
                non_idempotent.append(view)
        # Without any other candidate, an ejected target is better than none.
        non_idempotent = non_idempotent or idempotent or ejected
        self.non_idempotent = CandidateTable(non_idempotent)
        self.idempotent = CandidateTable(idempotent or ejected)
        slots = len(non_idempotent) * self.service.slots_per_target
        self.long_limit = int(self.service.long_share * slots)
