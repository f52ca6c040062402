"""Decides whether a request counts against the error budget, and who spent it."""

from enum import Enum, StrEnum
from typing import NamedTuple

from ..decisions.verdict import Restraint
from ..entry.refusals import RefusalReason
from ..outcome import AttemptKind, CallerOutcome

SERVER_ERROR_STATUS = 500
# Mistakes of the caller, which say nothing about the service.
CALLER_MISTAKES = frozenset(
    {
        RefusalReason.BODY_TOO_LARGE.value,
        RefusalReason.BODY_INCOMPLETE.value,
        RefusalReason.KEY_REUSED.value,
        RefusalReason.KEY_TOO_OLD.value,
    }
)
# Refusals that only report how the last attempt on a target ended.
ATTEMPT_REASONS = frozenset(
    {
        RefusalReason.TARGETS_REFUSED.value,
        RefusalReason.CONNECT_FAILED.value,
        RefusalReason.TARGET_BROKE.value,
        RefusalReason.TARGET_TIMEOUT.value,
        RefusalReason.NO_TARGET.value,
    }
)
DEADLINE_PASSED = RefusalReason.DEADLINE_PASSED.value
# The name of an enumeration member takes long to compute on the hot path.
CAUSE_OF = {kind: kind.name.lower() for kind in AttemptKind}
SLOW = "slow"
WAITING = "waiting"
BROKEN_KINDS = frozenset({AttemptKind.BROKEN, AttemptKind.TIMEOUT, AttemptKind.SILENT})


class Judgement(Enum):
    """What a finished request means for the objective."""

    GOOD = "good"
    BAD = "bad"
    EXCLUDED = "excluded"


class SpenderKind(StrEnum):
    """What kind of thing spent error budget. The hash of a string is the cheapest."""

    TARGET = "target"
    DEPENDENCY = "dependency"
    FLEET = "fleet"


class Spender(NamedTuple):
    """Who spent error budget, and how. A frozen dataclass takes three times as long.

    Attributes
    ----------
    name : str
        Target id, names of dependencies, or empty for the fleet itself.
    failure_domain : str
        Of the target; empty for others.
    cause : str
        Kind of the attempt, ``slow``, or the reason of the fleet's refusal.
    """

    kind: SpenderKind
    name: str
    failure_domain: str
    cause: str


# Looking a member up in its class takes up to 0.1 us, and a request needs several.
GOOD = Judgement.GOOD
BAD = Judgement.BAD
EXCLUDED = Judgement.EXCLUDED
TARGET = SpenderKind.TARGET
ANSWERED = CallerOutcome.ANSWERED
CANCELLED = AttemptKind.CANCELLED
DEPENDENCY_SICK = Restraint.DEPENDENCY_SICK
ERROR_STATUS = CAUSE_OF[AttemptKind.ERROR_STATUS]


def judge(objective, answer, elapsed_s, end_kind):
    """Judge a request whose answer has ended.

    Parameters
    ----------
    objective : Objective
    answer : CallerAnswer
    elapsed_s : float
        Seconds from the request's first byte to the end of the answer.
    end_kind : AttemptKind or None
        How a streamed answer ended; None for one that was sent at once.

    Returns
    -------
    Judgement
    """
    if end_kind is CANCELLED or answer.reason in CALLER_MISTAKES:
        return EXCLUDED
    if answer.outcome is not ANSWERED or end_kind in BROKEN_KINDS:
        return BAD
    if answer.status >= SERVER_ERROR_STATUS:
        return BAD
    if elapsed_s * 1000 > objective.latency_ms:
        return BAD
    return GOOD


def spender_of(context, answer, elapsed_s, end_kind):
    """Return who spent the budget on a bad request.

    A refusal of the fleet is its own, unless it reports how the last attempt on a
    target ended. A late answer is the target's on which most of the time passed,
    or the fleet's if the request waited for longer than any attempt took.

    Returns
    -------
    Spender
    """
    ended = context.ended_attempts
    is_refusal = answer.outcome is not ANSWERED
    if is_refusal and answer.reason in ATTEMPT_REASONS and ended:
        return target_spender(context, ended[-1], CAUSE_OF[ended[-1].kind])
    if is_refusal and answer.reason != DEADLINE_PASSED:
        return Spender(SpenderKind.FLEET, "", "", answer.reason)
    if end_kind in BROKEN_KINDS and ended:
        return target_spender(context, ended[-1], CAUSE_OF[ended[-1].kind])
    if not is_refusal and answer.status >= SERVER_ERROR_STATUS:
        if ended:
            return target_spender(context, ended[-1], ERROR_STATUS)
        # The recorded answer of an earlier run.
        return Spender(SpenderKind.FLEET, "", "", answer.reason)
    return late_spender(context, answer, elapsed_s)


def late_spender(context, answer, elapsed_s):
    """Return who made a request late."""
    longest = None
    for attempt in context.ended_attempts:
        if longest is None or attempt.latency_s > longest.latency_s:
            longest = attempt
    if longest is None or longest.latency_s < elapsed_s / 2:
        is_refusal = answer.outcome is not ANSWERED
        cause = answer.reason if is_refusal else WAITING
        return Spender(SpenderKind.FLEET, "", "", cause)
    cause = SLOW
    if longest.kind is not AttemptKind.OK:
        cause = CAUSE_OF[longest.kind]
    return target_spender(context, longest, cause)


def target_spender(context, attempt, cause):
    """Return the target of an attempt, or the dependency that it waits for."""
    view = context.entry.router.views.get(attempt.target_id)
    if view is None:
        return Spender(TARGET, attempt.target_id, "", cause)
    if view.reason.restraint is DEPENDENCY_SICK:
        names = ",".join(context.entry.service.depends_on)
        return Spender(SpenderKind.DEPENDENCY, names, "", cause)
    domain = view.target.failure_domain
    return Spender(TARGET, attempt.target_id, domain, cause)
