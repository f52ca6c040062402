"""Tries targets until a request is answered or must be given up."""

import asyncio
from dataclasses import dataclass

from ..decisions.admission import Ticket
from ..errors import (
    BetweenBytesTimeout,
    ConnectFailed,
    FirstByteTimeout,
    TargetError,
)
from ..outcome import Attempt, AttemptKind, CallerOutcome
from .messages import (
    CallerAnswer,
    OutgoingRequest,
    PrefixedBody,
    TargetAnswer,
    request_headers,
)
from .refusals import RefusalReason, refuse

SERVER_ERROR = 500
# 501 and 505 say something about the request, not about the target.
REQUEST_DEPENDENT_STATUSES = frozenset({501, 505})
MAX_ATTEMPTS = 3
MIN_TIME_FOR_RETRY_S = 0.01
OK_REASON = "ok"


@dataclass(slots=True)
class AttemptResult:
    """How one attempt ended.

    Attributes
    ----------
    answer : TargetAnswer or None
    error : TargetError or None
    """

    target: object
    kind: AttemptKind
    answer: TargetAnswer | None = None
    error: TargetError | None = None


class AttemptRunner:
    """Sends requests to targets and decides on retries.

    Parameters
    ----------
    pool : TargetPool
    reporter : Reporter
    crash_reporter : CrashReporter
    identity : PeerIdentity
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, pool, reporter, crash_reporter, identity, clock, metrics):
        self.pool = pool
        self.reporter = reporter
        self.crash_reporter = crash_reporter
        self.clock = clock
        self.metrics = metrics
        self.identity_headers = [
            (b"x-entry-host", identity.host_id.encode()),
            (b"x-entry-domain", identity.failure_domain.encode()),
        ]

    async def run(self, context):
        """Wait for admission, then try targets.

        Returns
        -------
        CallerAnswer
        """
        ticket = Ticket(
            request_class=context.route.request_class, deadline_at=context.deadline_at
        )
        result = await context.entry.gate.enter(ticket)
        if not result.is_admitted:
            return self.refuse(context, RefusalReason.OVERLOADED)
        admission = AdmissionHold(context.entry.gate, ticket, self.clock)
        try:
            return await self.try_targets(context, admission)
        finally:
            # A streamed answer keeps its place until its last byte.
            admission.release_unless_streaming()

    async def try_targets(self, context, admission):
        """Try one target after another as long as that is allowed."""
        while True:
            refusal = self.check_time(context)
            if refusal is not None:
                return refusal
            now = self.clock.now()
            choice = context.entry.router.choose(
                context.route.request_class,
                frozenset(context.tried),
                context.is_idempotent,
                now,
            )
            if choice.target is None:
                return self.refuse(context, RefusalReason.NO_TARGET)
            result = await self.attempt(context, choice.target, admission)
            if result.answer is not None and not self.should_retry_answer(
                context, result
            ):
                return result.answer_for_caller
            refusal = await self.prepare_retry(context, result)
            if refusal is not None:
                return refusal
