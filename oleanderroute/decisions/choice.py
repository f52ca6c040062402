"""Power-of-two-choices selection: the less loaded of two random candidates."""

import math
from bisect import bisect_right
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate

from ..declaration.model import Target
from ..outcome import FAILURE_KINDS, AttemptKind, RequestClass
from .verdict import NO_REASON, TargetState

# Time constant of the decay of a latency peak.
LATENCY_TIME_CONSTANT_S = 5.0
LATENCY_FLOOR_S = 0.001
# A target that has just refused a request is full, so it is avoided for a while.
REFUSAL_PENALTY_S = 0.25
# Failures on this host divert requests at once, before the pooled verdict arrives.
FAILURE_PENALTY_S = 0.5
MAX_FAILURE_PENALTY_S = 5.0
PENALTY_FACTOR = 8.0
# Random draws before the choice falls back to a scan of all candidates.
MAX_DRAWS = 4


class ChoiceReason(Enum):
    """Why a target was chosen, or why none was."""

    LEAST_LOADED = "least loaded of two"
    ONLY_CANDIDATE = "only candidate left"
    PROBATION = "probation share"
    LAST_RESORT = "no target serves; an ejected one is tried"
    NO_TARGETS = "no target serves"
    ALL_EXCLUDED = "every target is excluded"
    LONG_SHARE_REACHED = "long requests hold their share of the service"
    NO_LONG_SLOT = "no target has a slot to spare for a long request"


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen target, or None, and the reason.

    Attributes
    ----------
    is_local : bool
        Whether outcomes of this host replace verdicts that are too old.
    """

    target: Target | None
    reason: ChoiceReason
    is_local: bool = False


class TargetView:
    """State and load of one target, as one host sees them.

    Parameters
    ----------
    target : Target
    slots : int
        Requests that the target runs concurrently.

    Attributes
    ----------
    quick, long : int
        Requests of this host in flight, by class.
    long_elsewhere : int
        Long requests in flight from other hosts, as of the last verdict.
    latency_s : float
        Peak-sensitive moving average of quick requests at ``latency_at``.
    penalty_until : float
        Monotonic time until which the target is avoided.
    """

    __slots__ = (
        "target",
        "slots",
        "state",
        "weight",
        "reason",
        "quick",
        "long",
        "long_elsewhere",
        "latency_s",
        "latency_at",
        "penalty_until",
        "failure_run",
        "leaving",
        "draining_until",
    )

    def __init__(self, target, slots, state, weight):
        self.target = target
        self.slots = slots
        self.state = state
        self.weight = weight
        self.reason = NO_REASON
        self.quick = 0
        self.long = 0
        self.long_elsewhere = 0
        self.latency_s = LATENCY_FLOOR_S
        self.latency_at = 0.0
        self.penalty_until = -math.inf
        self.failure_run = 0
        self.leaving = False
        self.draining_until = -math.inf

    def score(self, now):
        """Return the expected wait of a quick request; lower is better."""
        free = self.slots - self.long - self.long_elsewhere
        if free < 1:
            # Long requests hold all slots, which is worse than a queue of quick ones.
            free = 0.1
        latency_s = self.latency_s * math.exp(
            (self.latency_at - now) / LATENCY_TIME_CONSTANT_S
        )
        if latency_s < LATENCY_FLOOR_S:
            latency_s = LATENCY_FLOOR_S
        score = (self.quick + 1) * latency_s / free
        if now < self.penalty_until:
            return score * PENALTY_FACTOR
        return score

    def long_score(self, now):
        """Return the load including one more long request; lower is better."""
        score = (self.quick + self.long + self.long_elsewhere + 1) / self.slots
        if now < self.penalty_until:
            return score * PENALTY_FACTOR
        return score

    def has_long_slot(self):
        """Return whether one more long request would leave a slot for quick ones."""
        return self.long + self.long_elsewhere + 1 < self.slots

    def record(self, attempt, now):
        """Update penalty and latency after a finished attempt."""
        kind = attempt.kind
        if kind is AttemptKind.REFUSED_NOT_STARTED:
            self.penalty_until = max(self.penalty_until, now + REFUSAL_PENALTY_S)
            return
        if kind in FAILURE_KINDS:
            self.failure_run += 1
            length_s = FAILURE_PENALTY_S * 2 ** min(self.failure_run - 1, 8)
            length_s = min(length_s, MAX_FAILURE_PENALTY_S)
            self.penalty_until = max(self.penalty_until, now + length_s)
        elif kind is AttemptKind.OK:
            self.failure_run = 0
        if kind is AttemptKind.OK or kind is AttemptKind.TIMEOUT:
            if attempt.request_class is RequestClass.QUICK:
                self._update_latency(attempt.latency_s, now)

    def _update_latency(self, latency_s, now):
        kept = math.exp((self.latency_at - now) / LATENCY_TIME_CONSTANT_S)
        self.latency_at = now
        if latency_s >= self.latency_s * kept:
            self.latency_s = latency_s
            return
        self.latency_s = self.latency_s * kept + latency_s * (1 - kept)


class CandidateTable:
    """Candidates with their cumulative weights; rebuilt when verdicts change.

    Parameters
    ----------
    views : list of TargetView
        Candidates with a weight above 0, or ejected ones as the last resort.
    """

    __slots__ = ("views", "bounds", "total")

    def __init__(self, views):
        self.views = views
        self.bounds = list(accumulate(view.weight or 1.0 for view in views))
        self.total = self.bounds[-1] if views else 0.0

    def draw(self, rng):
        """Return a random candidate by weight. The table must not be empty."""
        # Rounding may yield the total itself, which is past the last bound.
        position = bisect_right(self.bounds, rng.random() * self.total)
        return self.views[min(position, len(self.views) - 1)]


def choose_quick(table, excluded, rng, now, is_local):
    """Choose a target for a quick request.

    Parameters
    ----------
    table : CandidateTable
    excluded : frozenset of TargetId
        Targets that this request must not use again.
    """
    if not table.views:
        return Choice(None, ChoiceReason.NO_TARGETS, is_local)
    first = None
    for _ in range(MAX_DRAWS):
        view = table.draw(rng)
        if excluded and view.target.target_id in excluded:
            continue
        if view.state is TargetState.PROBATION:
            # The choice between two would starve a target on probation of the
            # traffic that it needs to recover.
            if first is None and view.quick + view.long < view.slots:
                return Choice(view.target, ChoiceReason.PROBATION, is_local)
            continue
        if first is None:
            first = view
            continue
        if view is first or view.state is TargetState.EJECTED:
            continue
        if view.score(now) < first.score(now):
            first = view
        return Choice(first.target, ChoiceReason.LEAST_LOADED, is_local)
    return _scan_quick(table, excluded, now, is_local)


def _scan_quick(table, excluded, now, is_local):
    best = None
    best_score = math.inf
    candidates = 0
    for view in table.views:
        if view.target.target_id in excluded:
            continue
        candidates += 1
        score = view.score(now)
        if view.state is TargetState.PROBATION:
            score *= PENALTY_FACTOR
        if score < best_score:
            best = view
            best_score = score
    if best is None:
        return Choice(None, ChoiceReason.ALL_EXCLUDED, is_local)
    reason = ChoiceReason.LEAST_LOADED
    if best.state is TargetState.EJECTED:
        reason = ChoiceReason.LAST_RESORT
    elif candidates == 1:
        reason = ChoiceReason.ONLY_CANDIDATE
    return Choice(best.target, reason, is_local)


def choose_long(table, excluded, long_limit, rng, now, is_local):
    """Choose a target for a long request; see `choose_quick`.

    Parameters
    ----------
    long_limit : int
        Long requests that the service may run concurrently.
    """
    if not table.views:
        return Choice(None, ChoiceReason.NO_TARGETS, is_local)
    running = 0
    eligible = []
    is_any_left = False
    for view in table.views:
        running += view.long + view.long_elsewhere
        if view.target.target_id in excluded:
            continue
        is_any_left = True
        if view.has_long_slot():
            eligible.append(view)
    if not is_any_left:
        return Choice(None, ChoiceReason.ALL_EXCLUDED, is_local)
    if running >= long_limit:
        return Choice(None, ChoiceReason.LONG_SHARE_REACHED, is_local)
    if not eligible:
        return Choice(None, ChoiceReason.NO_LONG_SLOT, is_local)
    eligible_table = CandidateTable(eligible)
    first = eligible_table.draw(rng)
    second = eligible_table.draw(rng)
    if second.long_score(now) < first.long_score(now):
        first = second
    reason = ChoiceReason.LEAST_LOADED
    if len(eligible) == 1:
        reason = ChoiceReason.ONLY_CANDIDATE
    elif first.state is TargetState.PROBATION:
        reason = ChoiceReason.PROBATION
    return Choice(first.target, reason, is_local)
