"""Answers to requests that the fleet refuses."""

from enum import Enum

import orjson

from ..outcome import CallerOutcome
from .messages import CallerAnswer

RETRY_AFTER_S = 1


class RefusalReason(Enum):
    """Why a request is refused. The value is the ``Oleander-Reason`` header."""

    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    WORKSPACE_NOT_ALLOWED = "workspace-not-allowed"
    BODY_TOO_LARGE = "body-too-large"
    BODY_INCOMPLETE = "body-incomplete"
    BAD_DEADLINE = "bad-deadline"
    DUPLICATE_HEADER = "duplicate-header"
    NOT_CONFIGURED = "not-configured"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    NO_TARGET = "no-target"
    TARGETS_REFUSED = "targets-refused"
    CONNECT_FAILED = "connect-failed"
    CRASH_QUARANTINE = "crash-quarantine"
    CLAIM_HELD = "claim-held"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    CLAIM_EXPIRED = "claim-expired"
    KEY_REUSED = "key-reused"
    KEY_TOO_OLD = "key-too-old"
    ALREADY_RUN = "already-run"
    TARGET_BROKE = "target-broke"
    TARGET_TIMEOUT = "target-timeout"
    DEADLINE_PASSED = "deadline-passed"
    INTERNAL = "internal-error"


REFUSAL_STATUSES = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.METHOD_NOT_ALLOWED: 405,
    RefusalReason.WORKSPACE_NOT_ALLOWED: 403,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.BODY_INCOMPLETE: 400,
    RefusalReason.BAD_DEADLINE: 400,
    RefusalReason.DUPLICATE_HEADER: 400,
    RefusalReason.CLAIM_HELD: 409,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.KEY_TOO_OLD: 409,
    RefusalReason.ALREADY_RUN: 409,
    RefusalReason.TARGET_BROKE: 502,
    RefusalReason.TARGET_TIMEOUT: 504,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.INTERNAL: 500,
}
DEFAULT_STATUS = 503


def refuse(reason, outcome):
    """Build the answer to a request that was not answered by a target.

    Parameters
    ----------
    reason : RefusalReason
    outcome : CallerOutcome
        ``NOT_RUN`` only if it is proven.

    Returns
    -------
    CallerAnswer
    """
    status = REFUSAL_STATUSES.get(reason, DEFAULT_STATUS)
    body = orjson.dumps({"outcome": outcome.value, "reason": reason.value})
    headers = [(b"content-type", b"application/json")]
    if status == 503 and outcome is CallerOutcome.NOT_RUN:
        headers.append((b"retry-after", str(RETRY_AFTER_S).encode()))
    return CallerAnswer(
        status=status, headers=headers, body=body, outcome=outcome, reason=reason.value
    )
