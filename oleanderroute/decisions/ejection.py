"""State machine of each target of a service: ejection, probation, ramp and floor."""

from dataclasses import dataclass, replace

from ..ids import TargetId
from .chart import read_chart
from .comparison import NO_FINDING
from .condition import (
    CLEAR_EVIDENCE,
    EJECT_GAP,
    NO_ASSESSMENT,
    OUT_OF_ROTATION_STATES,
    SERVING_STATES,
    TargetCondition,
    has_recovered,
    is_ejectable,
    looks_unhealthy,
)
from .verdict import Restraint, TargetEvent, TargetState, Verdict

TARGET_CHART = read_chart("target.json", TargetState, TargetEvent)

# A target on probation was unhealthy recently, so less evidence ejects it again.
RELAPSE_EVIDENCE = 5.0
CLEAR_AFTER_S = 2.0
EJECTION_MIN_S = 5.0
EJECTION_MAX_S = 300.0
# The seventh ejection reaches `EJECTION_MAX_S`; a higher count would only take longer
# to decay.
MAX_RECENT_EJECTIONS = 7
# Keeps targets that were ejected together from returning together.
EJECTION_JITTER = 0.1
EJECTION_COUNT_DECAY_S = 300.0
# Without idempotent traffic a target on probation gets no requests to show that it has
# recovered; after this time it starts the ramp.
PROBATION_IDLE_TIMEOUT_S = 60.0
FAILED_PROBE_TTL_S = 30.0
# Ejections at most this long before most targets looked unhealthy are attributed to
# the same fault.
SUPPRESSION_LOOKBACK_S = 10.0
DRAIN_NOTICE_TTL_S = 60.0


@dataclass(frozen=True, slots=True)
class Transition:
    """One change of a target's state."""

    target_id: TargetId
    before: TargetState
    after: TargetState


class TargetGroup:
    """State of all targets of a service and the rules that apply to them together.

    Parameters
    ----------
    service : Service
    rng : random.Random
        Source of the jitter of ejection times.

    Attributes
    ----------
    dependency_sick : bool
        Set by the owner while a declared dependency is unhealthy; no target is ejected.
    floor_slots : int
        Floor in slots; lower than declared when the group holds a subset of the
        targets.
    """

    def __init__(self, service, rng):
        self.service = service
        self.rng = rng
        self.conditions = {}
        self.dependency_sick = False
        self.floor_slots = service.floor_slots
        self.transitions = []

    def set_targets(self, target_ids, leaving, now):
        """Apply a new list of targets; added targets start cold.

        Targets of the first list start healthy, because a host that has just started
        has no evidence against them.
        """
        first = not self.conditions
        for target_id in list(self.conditions):
            if target_id not in target_ids:
                del self.conditions[target_id]
        for target_id in target_ids:
            if target_id not in self.conditions:
                state = TargetState.HEALTHY if first else TargetState.COLD
                self.conditions[target_id] = TargetCondition(target_id, state, now)
            self._follow_leaving(self.conditions[target_id], leaving, now)

    def mark_draining(self, target_id, now):
        """Take a target out of rotation that reported that it drains."""
        condition = self.conditions.get(target_id)
        if condition is None:
            return
        condition.draining_until = now + DRAIN_NOTICE_TTL_S
        if condition.state is not TargetState.LEAVING:
            self._move(condition, TargetEvent.LEAVE, now)

    def clear_crash_failures(self, target_id, now):
        """End the ejection of a target that a request crashed."""
        condition = self.conditions.get(target_id)
        if condition is None or condition.state is not TargetState.EJECTED:
            return
        condition.recent_ejections = max(0, condition.recent_ejections - 1)
        condition.ejected_until = now

    def update(self, assessments, now):
        """Apply one round of assessments and return the transitions made.

        Parameters
        ----------
        assessments : dict of TargetId to Assessment
        """
        self.transitions = []
        for condition in self.conditions.values():
            condition.assessment = assessments.get(condition.target_id, NO_ASSESSMENT)
            if not condition.kept_at_low_weight:
                condition.restraint = Restraint.NONE
        restraint = self._common_restraint()
        for condition in self.conditions.values():
            before = condition.state
            self._follow_time(condition, now)
            # The assessment was made in the previous state.
            if condition.state is before:
                self._follow_assessment(condition, restraint, now)
        if restraint is not Restraint.NONE:
            self._readmit_recent(restraint, now)
        self._eject_most_severe(restraint, now)
        self._readmit_to_floor(now)
        return self.transitions

    def verdicts(self, long_running, now):
        """Return one verdict for each target.

        Parameters
        ----------
        long_running : dict of TargetId to int
        """
        found = []
        for condition in self.conditions.values():
            weight = condition.weight(self.service.ramp_s, now)
            count = long_running.get(condition.target_id, 0)
            reason = self._reason(condition)
            found.append(
                Verdict(condition.target_id, condition.state, weight, reason, count)
            )
        return found

    def serving_slots(self, now):
        """Return the slots of serving targets, those kept at low weight excluded."""
        slots = 0
        for condition in self.conditions.values():
            slots += self._slots(condition, now)
        return slots

    def _slots(self, condition, now):
        each = self.service.slots_per_target
        if condition.kept_at_low_weight:
            return 0
        if condition.state is TargetState.RAMPING:
            return int(each * condition.ramp_share(self.service.ramp_s, now))
        if condition.state in SERVING_STATES:
            return each
        return 0

    def _reason(self, condition):
        reason = condition.assessment.finding.reason
        if condition.state in OUT_OF_ROTATION_STATES or condition.kept_at_low_weight:
            reason = condition.cause.reason
        elif condition.state is not TargetState.SUSPECT:
            return NO_FINDING.reason
        if condition.restraint is Restraint.NONE:
            return reason
        return replace(reason, restraint=condition.restraint)

    def _move(self, condition, event, now):
        before = condition.state
        condition.state = TARGET_CHART.next(before, event)
        condition.since = now
        condition.clear_since = None
        condition.kept_at_low_weight = False
        condition.restraint = Restraint.NONE
        condition.ejection_count_decayed_at = now
        self.transitions.append(
            Transition(condition.target_id, before, condition.state)
        )

    def _follow_leaving(self, condition, leaving, now):
        is_leaving = condition.target_id in leaving or now < condition.draining_until
        if is_leaving and condition.state is not TargetState.LEAVING:
            self._move(condition, TargetEvent.LEAVE, now)
        if not is_leaving and condition.state is TargetState.LEAVING:
            self._move(condition, TargetEvent.RETURN, now)

    def _follow_time(self, condition, now):
        state = condition.state
        age_s = now - condition.since
        if state is TargetState.EJECTED and now >= condition.ejected_until:
            # A failed probe keeps real requests away; a success only allows probation.
            if now - condition.failed_probe_at >= FAILED_PROBE_TTL_S:
                self._move(condition, TargetEvent.RETRY, now)
        elif state is TargetState.RAMPING and age_s >= self.service.ramp_s:
            self._move(condition, TargetEvent.RAMP_END, now)
        elif state is TargetState.COLD:
            if condition.assessment.successes or age_s >= self.service.ramp_s:
                self._move(condition, TargetEvent.WARM, now)
        elif state is TargetState.HEALTHY:
            self._decay_ejection_count(condition, now)

    def _decay_ejection_count(self, condition, now):
        while (
            condition.recent_ejections
            and now - condition.ejection_count_decayed_at >= EJECTION_COUNT_DECAY_S
        ):
            condition.recent_ejections -= 1
            condition.ejection_count_decayed_at += EJECTION_COUNT_DECAY_S

    def _follow_assessment(self, condition, restraint, now):
        state = condition.state
        if state is TargetState.PROBATION:
            self._follow_probation(condition, restraint, now)
        elif state is TargetState.SUSPECT:
            self._follow_suspect(condition, now)
        elif state in SERVING_STATES and looks_unhealthy(condition):
            condition.cause = condition.assessment.finding
            self._move(condition, TargetEvent.DOUBT, now)

    def _follow_probation(self, condition, restraint, now):
        finding = condition.assessment.finding
        if finding.reason.evidence >= RELAPSE_EVIDENCE and finding.gap >= EJECT_GAP:
            if restraint is not Restraint.NONE:
                condition.restraint = restraint
                return
            condition.cause = finding
            self._move(condition, TargetEvent.RELAPSE, now)
            self._start_ejection(condition, now)
        elif has_recovered(condition) or (
            condition.assessment.outcomes == 0
            and now - condition.since >= PROBATION_IDLE_TIMEOUT_S
            and now - condition.failed_probe_at >= FAILED_PROBE_TTL_S
        ):
            self._move(condition, TargetEvent.PROVE, now)

    def _follow_suspect(self, condition, now):
        if condition.kept_at_low_weight:
            if has_recovered(condition):
                self._move(condition, TargetEvent.CLEAR, now)
            return
        if condition.assessment.finding.reason.evidence >= CLEAR_EVIDENCE:
            condition.clear_since = None
            return
        if condition.clear_since is None:
            condition.clear_since = now
        if now - condition.clear_since >= CLEAR_AFTER_S:
            self._move(condition, TargetEvent.CLEAR, now)

    def _common_restraint(self):
        """Return the restraint on all ejections now, else `Restraint.NONE`."""
        if self.dependency_sick:
            return Restraint.DEPENDENCY_SICK
        members = unhealthy = 0
        for condition in self.conditions.values():
            if condition.state in (TargetState.COLD, TargetState.LEAVING):
                continue
            members += 1
            if (
                condition.state in OUT_OF_ROTATION_STATES
                or condition.kept_at_low_weight
            ):
                unhealthy += 1
                continue
            if looks_unhealthy(condition):
                unhealthy += 1
        if unhealthy * 2 > members:
            return Restraint.MOST_LOOK_SICK
        return Restraint.NONE

    def _readmit_recent(self, restraint, now):
        for condition in self.conditions.values():
            if condition.state is not TargetState.EJECTED:
                continue
            if now - condition.ejected_at > SUPPRESSION_LOOKBACK_S:
                continue
            condition.recent_ejections = max(0, condition.recent_ejections - 1)
            self._readmit(condition, restraint, now)

    def _readmit(self, condition, restraint, now):
        self._move(condition, TargetEvent.READMIT, now)
        condition.kept_at_low_weight = True
        condition.restraint = restraint

    def _eject_most_severe(self, restraint, now):
        candidates = []
        for condition in self.conditions.values():
            if condition.state is TargetState.SUSPECT and is_ejectable(condition):
                candidates.append(condition)
        candidates.sort(key=lambda condition: condition.severity, reverse=True)
        for condition in candidates:
            condition.cause = condition.assessment.finding
            if restraint is not Restraint.NONE:
                condition.restraint = restraint
                continue
            if not self._floor_allows(condition, now):
                condition.kept_at_low_weight = True
                condition.restraint = Restraint.FLOOR
                continue
            self._move(condition, TargetEvent.EJECT, now)
            self._start_ejection(condition, now)

    def _floor_allows(self, condition, now):
        # Slots are counted again for each ejection, because the previous one changed
        # them.
        left = self.serving_slots(now) - self._slots(condition, now)
        return left >= self.floor_slots

    def _start_ejection(self, condition, now):
        condition.recent_ejections = min(
            condition.recent_ejections + 1, MAX_RECENT_EJECTIONS
        )
        length_s = min(
            EJECTION_MIN_S * 2 ** (condition.recent_ejections - 1), EJECTION_MAX_S
        )
        length_s *= 1 + self.rng.uniform(0, EJECTION_JITTER)
        condition.ejected_at = now
        condition.ejected_until = now + length_s

    def _readmit_to_floor(self, now):
        slots = self.serving_slots(now)
        out = []
        for condition in self.conditions.values():
            if condition.kept_at_low_weight:
                slots += self.service.slots_per_target
            if condition.state in OUT_OF_ROTATION_STATES:
                out.append(condition)
        out.sort(key=lambda condition: condition.cause.gap)
        for condition in out:
            if slots >= self.floor_slots:
                return
            self._readmit(condition, Restraint.FLOOR, now)
            slots += self.service.slots_per_target
