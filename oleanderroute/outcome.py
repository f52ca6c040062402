"""Outcomes of a request as callers and as detection see them."""

from dataclasses import dataclass
from enum import Enum, IntEnum

from .ids import TargetId


class CallerOutcome(Enum):
    """What a caller is told. The value is the ``Oleander-Outcome`` header."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestClass(IntEnum):
    """Expected duration of a request; long ones may not crowd out quick ones."""

    QUICK = 0
    LONG = 1


class AttemptKind(IntEnum):
    """How one attempt on a target ended. Numbers are part of the peer protocol."""

    OK = 0
    ERROR_STATUS = 1
    REFUSED_NOT_STARTED = 2
    CONNECT_FAILED = 3
    BROKEN = 4
    TIMEOUT = 5
    SILENT = 6
    CANCELLED = 7


# Kinds that say something against a target. A refusal before start is load
# shedding, and a cancellation is the caller's doing.
FAILURE_KINDS = frozenset(
    {
        AttemptKind.ERROR_STATUS,
        AttemptKind.CONNECT_FAILED,
        AttemptKind.BROKEN,
        AttemptKind.TIMEOUT,
        AttemptKind.SILENT,
    }
)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One finished attempt on a target.

    Attributes
    ----------
    latency_s : float
        Time from dispatch to the end of the answer, or to the failure.
    weight : int
        How many attempts this one stands for when successes are sampled.
    """

    target_id: TargetId
    request_class: RequestClass
    kind: AttemptKind
    latency_s: float
    weight: int = 1
