"""State and weight of one target, and the thresholds on the evidence against it."""

import math
from dataclasses import dataclass

from .comparison import NO_FINDING, OutlierFinding
from .verdict import Restraint, Signal, TargetState

# Hysteresis: evidence in nats to suspect, to eject, and to clear a target.
# With 15 nats to eject, the loud noise of bench/detection_trial.py gave a false
# ejection in 78 host-hours and no faster detection of full failures; with 18, none.
SUSPECT_EVIDENCE = 9.0
EJECT_EVIDENCE = 18.0
CLEAR_EVIDENCE = 3.0
SUSPECT_GAP = 0.05
EJECT_GAP = 0.10
PROBATION_SUCCESSES = 8
SUSPECT_WEIGHT = 0.5
# A new suspect keeps its traffic, because less traffic would delay the decision.
SUSPECT_SETTLE_S = 10.0
FLOOR_WEIGHT = 0.2
PROBATION_WEIGHT = 0.2
COLD_WEIGHT = 0.05
RAMP_INITIAL_SHARE = 0.1
# Weights move in steps, so that a ramp does not change every verdict message.
WEIGHT_STEP = 0.05
SERVING_STATES = frozenset(
    {TargetState.HEALTHY, TargetState.SUSPECT, TargetState.RAMPING}
)
OUT_OF_ROTATION_STATES = frozenset({TargetState.EJECTED, TargetState.PROBATION})


@dataclass(frozen=True, slots=True)
class Assessment:
    """Evidence on one target at one moment.

    Attributes
    ----------
    successes : int
        Successful attempts in the windows; probes do not count.
    outcomes : int
        All attempts in the windows.
    """

    finding: OutlierFinding = NO_FINDING
    successes: int = 0
    outcomes: int = 0


NO_ASSESSMENT = Assessment()


class TargetCondition:
    """State of one target and the data that its next transition depends on.

    Attributes
    ----------
    strikes : int
        Ejections that have not decayed yet; each doubles the next ejection time.
    restrained : bool
        Whether the target looks unhealthy but stays in rotation at low weight.
    """

    def __init__(self, target_id, state, now):
        self.target_id = target_id
        self.state = state
        self.since = now
        self.recent_ejections = 0
        self.ejection_count_decayed_at = now
        self.ejected_at = -math.inf
        self.ejected_until = -math.inf
        self.clear_since = None
        self.kept_at_low_weight = False
        self.restraint = Restraint.NONE
        self.cause = NO_FINDING
        self.assessment = NO_ASSESSMENT
        self.failed_probe_at = -math.inf
        self.draining_until = -math.inf

    @property
    def severity(self):
        """Severity of the failure; a slow answer counts half as much as none."""
        gap = self.assessment.finding.gap or self.cause.gap
        if self.cause.reason.signal is Signal.SLOW:
            return gap / 2
        return gap

    def ramp_share(self, ramp_s, now):
        """Return the share of full traffic that a ramping target gets now."""
        progress = 1.0 if ramp_s <= 0 else min(1.0, (now - self.since) / ramp_s)
        share = RAMP_INITIAL_SHARE + (1 - RAMP_INITIAL_SHARE) * progress
        return round(share / WEIGHT_STEP) * WEIGHT_STEP

    def weight(self, ramp_s, now):
        """Return the share of traffic relative to a healthy target."""
        if self.state is TargetState.HEALTHY:
            return 1.0
        if self.state is TargetState.SUSPECT:
            if self.kept_at_low_weight:
                return FLOOR_WEIGHT
            return 1.0 if now - self.since < SUSPECT_SETTLE_S else SUSPECT_WEIGHT
        if self.state is TargetState.PROBATION:
            return PROBATION_WEIGHT
        if self.state is TargetState.RAMPING:
            return self.ramp_share(ramp_s, now)
        if self.state is TargetState.COLD:
            return COLD_WEIGHT
        return 0.0


def looks_unhealthy(condition):
    """Return whether the evidence is enough to suspect a target."""
    finding = condition.assessment.finding
    return finding.reason.evidence >= SUSPECT_EVIDENCE and finding.gap >= SUSPECT_GAP


def is_ejectable(condition):
    """Return whether the evidence is enough to eject a target."""
    finding = condition.assessment.finding
    return finding.reason.evidence >= EJECT_EVIDENCE and finding.gap >= EJECT_GAP


def has_recovered(condition):
    """Return whether real traffic shows that a target has recovered."""
    if condition.assessment.successes < PROBATION_SUCCESSES:
        return False
    return condition.assessment.finding.reason.evidence < CLEAR_EVIDENCE
