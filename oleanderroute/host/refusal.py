"""Answers that a host generates itself, in the form of the platform."""

from enum import Enum

from ..entry.messages import CallerAnswer
from ..outcome import CallerOutcome

# Default for the retry-after header; the health of targets is reassessed within this
# time.
RETRY_AFTER_S = 0.3


class HostReason(Enum):
    """Why a host answers itself; the value is written to the log and a header."""

    NOT_CONFIGURED = "not-configured"
    NO_ROUTE = "no-route"
    ROUTE_UNCERTAIN = "route-uncertain"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_UNCERTAIN = "key-uncertain"
    RATE_LIMITED = "rate-limited"
    BODY_TOO_LARGE = "body-too-large"
    BODY_INCOMPLETE = "body-incomplete"
    NO_TARGET = "no-target"
    NO_ROOM = "no-room"
    SHED = "shed"
    MEMORY_PRESSURE = "memory-pressure"
    TARGETS_PAUSED = "targets-asked-to-wait"
    TARGETS_REFUSED = "targets-refused"
    TARGETS_UNREACHABLE = "targets-unreachable"
    CRASH_QUARANTINE = "crash-quarantine"
    STOPPING = "stopping"
    TARGET_BROKE = "target-broke"
    TARGET_TIMEOUT = "target-timeout"
    TARGET_UNPROVEN = "target-refused-without-proof"
    INTERNAL = "internal-error"


# 429 and 503 guarantee that the request did not run and will not run; 502 and 504
# guarantee nothing.
REFUSAL_STATUSES = {
    HostReason.NOT_CONFIGURED: 503,
    HostReason.NO_ROUTE: 404,
    HostReason.ROUTE_UNCERTAIN: 503,
    HostReason.KEY_MISSING: 401,
    HostReason.KEY_UNKNOWN: 401,
    HostReason.KEY_UNCERTAIN: 503,
    HostReason.RATE_LIMITED: 429,
    HostReason.BODY_TOO_LARGE: 413,
    HostReason.BODY_INCOMPLETE: 400,
    HostReason.NO_TARGET: 503,
    HostReason.NO_ROOM: 503,
    HostReason.SHED: 503,
    HostReason.MEMORY_PRESSURE: 503,
    HostReason.TARGETS_PAUSED: 503,
    HostReason.TARGETS_REFUSED: 503,
    HostReason.TARGETS_UNREACHABLE: 503,
    HostReason.CRASH_QUARANTINE: 503,
    HostReason.STOPPING: 503,
    HostReason.TARGET_BROKE: 502,
    HostReason.TARGET_TIMEOUT: 504,
    HostReason.TARGET_UNPROVEN: 502,
    HostReason.INTERNAL: 500,
}
KEY_REASONS = frozenset(
    {HostReason.KEY_MISSING, HostReason.KEY_UNKNOWN, HostReason.KEY_UNCERTAIN}
)
REASON_HEADER = b"oleander-reason"
NOT_RUN_STATUSES = frozenset({429, 503})
CHALLENGE = (b"www-authenticate", b"Bearer")


def refusal_answer(reason, may_have_run=False, retry_after_s=RETRY_AFTER_S):
    """Return the answer for a request that no target answered.

    Parameters
    ----------
    reason : HostReason
    may_have_run : bool
        Changes 401, 429 and 503, after which the request is taken as not run, into 502.
    retry_after_s : float
        Seconds after which the caller may retry a request that did not run.
    """
    status = REFUSAL_STATUSES[reason]
    if may_have_run and (status in NOT_RUN_STATUSES or status == 401):
        status = 502
    headers = [(REASON_HEADER, reason.value.encode("ascii"))]
    outcome = CallerOutcome.UNKNOWN
    if status == 401:
        headers.append(CHALLENGE)
        outcome = CallerOutcome.NOT_RUN
    elif status in NOT_RUN_STATUSES:
        headers.append((b"retry-after", b"%.1f" % max(0.1, retry_after_s)))
        outcome = CallerOutcome.NOT_RUN
    return CallerAnswer(status, headers, b"", outcome, reason.value)
