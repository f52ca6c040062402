"""Sends a request to targets until it is answered or refused."""

import asyncio
from dataclasses import dataclass

from ..decisions.admission import AdmissionReason, Ticket
from ..errors import (
    BetweenBytesTimeout,
    ConnectFailed,
    ConnectionBroken,
    FirstByteTimeout,
    TargetError,
)
from ..outcome import AttemptKind, CallerOutcome, RequestClass
from ..tasks.slotleases import LeaseResult
from .attempt_record import AdmissionPermit, AttemptRecord
from .context import refusal_outcome
from .messages import (
    CallerAnswer,
    OutgoingRequest,
    PrefixedBody,
    TargetAnswer,
    answer_headers,
    request_headers,
)
from .refusals import RefusalReason, refuse
from .streamed import StreamedBody
from .target_pool import ConnectionLimitReached

SERVER_ERROR_STATUS = 500
# 501 and 505 depend on the request and are no failures of the target.
REQUEST_DEPENDENT_STATUSES = frozenset({501, 505})
MAX_ATTEMPTS = 3
MAX_SHED_RETRIES = 1
# An attempt that sent nothing puts no load on a target. It neither counts as an attempt
# nor spends the retry budget, which broken requests need when targets crash.
UNSENT_ATTEMPT_KINDS = frozenset({AttemptKind.CONNECT_FAILED, AttemptKind.CANCELLED})
MAX_UNSENT_RETRIES = 4
# Pause between two requests for a long slot while the service has none free.
LEASE_RETRY_S = 0.2
OK_REASON = "ok"

ADMISSION_REFUSALS = {
    AdmissionReason.QUEUE_FULL: RefusalReason.OVERLOADED,
    AdmissionReason.LONG_SHED: RefusalReason.OVERLOADED,
    AdmissionReason.SHARE_LIMITED: RefusalReason.OVERLOADED,
    AdmissionReason.CANNOT_FINISH: RefusalReason.DEADLINE_TOO_SHORT,
}
ATTEMPT_FAILURE_REASONS = {
    AttemptKind.REFUSED_NOT_STARTED: RefusalReason.TARGETS_REFUSED,
    AttemptKind.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
    AttemptKind.BROKEN: RefusalReason.TARGET_BROKE,
    AttemptKind.TIMEOUT: RefusalReason.TARGET_TIMEOUT,
    AttemptKind.SILENT: RefusalReason.TARGET_TIMEOUT,
    AttemptKind.CANCELLED: RefusalReason.CONNECT_FAILED,
}


@dataclass(slots=True)
class AttemptResult:
    """How one attempt ended.

    Attributes
    ----------
    answer : TargetAnswer or None
        None when the exchange failed.
    """

    target_id: str
    kind: AttemptKind
    record: AttemptRecord
    answer: TargetAnswer | None = None


class AttemptRunner:
    """Sends requests to targets and decides on retries.

    Parameters
    ----------
    pool : TargetPool
    slots : SlotClient
    reporter : Reporter
    crashes : CrashReporter
    drains : DrainReporter
    identity : PeerIdentity
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self, pool, slots, reporter, crashes, drains, identity, clock, metrics
    ):
        self.pool = pool
        self.slots = slots
        self.reporter = reporter
        self.crashes = crashes
        self.drains = drains
        self.clock = clock
        self.metrics = metrics
        self.identity_headers = [
            (b"x-entry-host", identity.host_id.encode()),
            (b"x-entry-domain", identity.failure_domain.encode()),
        ]

    async def run(self, context):
        """Wait for admission, then send the request to targets.

        Parameters
        ----------
        context : RequestContext

        Returns
        -------
        CallerAnswer
        """
        ticket = Ticket(
            context.request.request_id,
            context.route.request_class,
            context.deadline_at,
        )
        reason = await context.entry.admission_queue.admit(ticket)
        if reason is not AdmissionReason.WITHIN_LIMIT:
            return self.refuse(context, ADMISSION_REFUSALS[reason])
        permit = AdmissionPermit(context.entry.admission_queue, ticket)
        try:
            return await self.try_targets(context, permit)
        finally:
            # A streamed answer keeps the permit until its last byte.
            permit.release_unless_streaming()

    async def try_targets(self, context, permit):
        """Try targets in turn while retries are allowed."""
        router = context.entry.router
        while True:
            now = self.clock.now()
            if now >= context.deadline_at:
                return self.refuse(context, RefusalReason.DEADLINE_PASSED)
            target = None
            if context.route.request_class is RequestClass.LONG:
                target = await self.leased_target(context, permit)
            if target is None:
                choice = router.choose(
                    context.route.request_class,
                    frozenset(context.tried),
                    context.is_idempotent,
                    now,
                )
                target = choice.target
            if target is None:
                return self.refuse_without_target(context, RefusalReason.NO_TARGET)
            result = await self.attempt(context, target, permit)
            if not self.should_retry(context, result):
                return self.build_caller_answer(context, result, permit)
            if result.answer is not None:
                result.answer.abandon()
            await self.back_off(context)

    async def leased_target(self, context, permit):
        """Return a target leased by the slot coordinator, or None.

        While the service has no free slot, the lease is requested again until the
        deadline of the request. Without a coordinator, the result is None and
        the router chooses locally.
        """
        service = context.entry.service
        lease_id = context.request.request_id
        while True:
            unusable = context.entry.unusable_targets(self.clock.now())
            excluded = context.tried | unusable
            lease = await self.slots.acquire(service, lease_id, excluded)
            if lease.result is LeaseResult.GRANTED:
                permit.lease(self.slots, service, lease.target_id)
                return context.entry.target(lease.target_id)
            if lease.result is LeaseResult.NO_COORDINATOR:
                return None
            if self.clock.now() + LEASE_RETRY_S >= context.deadline_at:
                return None
            await asyncio.sleep(LEASE_RETRY_S)

    async def attempt(self, context, target, permit):
        """Send the request to one target and classify the result."""
        record = AttemptRecord(self, context, target.target_id, permit)
        context.attempts += 1
        context.tried.add(target.target_id)
        may_have_run_before = context.may_have_run
        context.may_have_run = True
        try:
            answer = await self.exchange(context, target)
        except TargetError as error:
            kind = classify_error(error)
            if not error.bytes_sent:
                context.may_have_run = may_have_run_before
            self.report_crash(context, target, error)
            record.finish(kind)
            return AttemptResult(target.target_id, kind, record)
        except BaseException:
            # Cancelled, or the caller disconnected while sending its body.
            record.finish(AttemptKind.CANCELLED)
            raise
        if answer.draining:
            self.drains.report(context.route.service, target.target_id)
        kind = classify_answer(answer)
        if kind is AttemptKind.REFUSED_NOT_STARTED:
            context.may_have_run = may_have_run_before
        if answer.body is not None or kind is not AttemptKind.OK:
            record.finish(kind)
        return AttemptResult(target.target_id, kind, record, answer)

    async def exchange(self, context, target):
        """Send the request to one target and return its answer."""
        route = context.route
        remaining_s = context.deadline_at - self.clock.now()
        first_byte_s = min(route.first_byte_ms / 1000, remaining_s)
        between_bytes_s = route.between_bytes_ms / 1000
        return await self.pool.exchange(
            target,
            self.outgoing_request(context, remaining_s),
            first_byte_s,
            between_bytes_s,
        )

    def outgoing_request(self, context, remaining_s):
        """Build the request that goes to a target."""
        request = context.request
        headers = request_headers(request.headers)
        deadline_unix_s = self.clock.wall() + remaining_s
        if context.claim is not None:
            # If this host pauses until the claim has expired, the request must not run.
            latest = context.claim.latest_dispatch_unix_s
            deadline_unix_s = min(deadline_unix_s, latest)
        headers.append((b"x-request-id", request.request_id.encode()))
        headers.append((b"deadline-unix-ms", str(int(deadline_unix_s * 1000)).encode()))
        headers.extend(self.identity_headers)
        body = context.body_prefix.content
        length = len(body)
        if not context.body_prefix.complete:
            context.body_consumed = True
            body = PrefixedBody(context.body_prefix.content, request.body)
            length = request.body.length
        return OutgoingRequest(
            request.method, request.raw_target, headers, body, length
        )

    def report_crash(self, context, target, error):
        """Report a connection that broke after the request was sent."""
        if isinstance(error, ConnectionBroken) and error.bytes_sent:
            self.crashes.report(
                context.route.service, context.crash_fingerprint(), target.target_id
            )

    def should_retry(self, context, result):
        """Return whether another attempt is allowed and within the retry budget."""
        kind = result.kind
        if kind is AttemptKind.OK or not context.can_be_sent_again:
            return False
        if kind in UNSENT_ATTEMPT_KINDS:
            context.unsent_count += 1
            return context.unsent_count <= MAX_UNSENT_RETRIES
        if context.attempts - context.unsent_count >= MAX_ATTEMPTS:
            return False
        if context.may_have_run and not context.is_idempotent:
            return False
        now = self.clock.now()
        if kind is AttemptKind.BROKEN and self.crashes.is_refused(
            context.crash_fingerprint()
        ):
            # This request may have crashed the target; it must not crash a third one.
            return False
        was_shed = kind is AttemptKind.REFUSED_NOT_STARTED
        if was_shed:
            context.shed_count += 1
            if context.shed_count > MAX_SHED_RETRIES:
                return False
        decision = context.entry.budget.spend(now, was_shed)
        if not decision.allowed:
            return False
        if kind is AttemptKind.SILENT:
            # A reused connection timed out. A new connection to the same target
            # shows whether the target or the connection failed.
            context.tried.discard(result.target_id)
        self.metrics.retries.inc(
            {"service": context.route.service, "reason": kind.name.lower()}
        )
        return True

    async def back_off(self, context):
        """Wait before a retry, but never past the deadline."""
        pause_s = context.entry.budget.backoff_s(context.attempts)
        remaining_s = context.deadline_at - self.clock.now()
        if remaining_s > pause_s:
            await asyncio.sleep(pause_s)

    def build_caller_answer(self, context, result, permit):
        """Build the caller's answer from the last attempt."""
        answer = result.answer
        if answer is None or result.kind is AttemptKind.REFUSED_NOT_STARTED:
            return self.refuse(context, ATTEMPT_FAILURE_REASONS[result.kind])
        body = answer.body
        if body is None:
            permit.is_streaming = True
            body = StreamedBody(answer, result.record, permit, result.kind)
        return CallerAnswer(
            status=answer.status,
            headers=answer_headers(answer.headers),
            body=body,
            outcome=CallerOutcome.ANSWERED,
            reason=OK_REASON,
        )

    def refuse_without_target(self, context, reason):
        """Refuse because no target is left; the reason depends on earlier attempts."""
        if context.attempts and context.shed_count == context.attempts:
            reason = RefusalReason.TARGETS_REFUSED
        return self.refuse(context, reason)

    def refuse(self, context, reason):
        """Refuse a request with the outcome that is proven."""
        return refuse(reason, refusal_outcome(context))


def classify_error(error):
    """Classify a failed exchange."""
    if isinstance(error, ConnectionLimitReached):
        return AttemptKind.REFUSED_NOT_STARTED
    if isinstance(error, ConnectFailed):
        return AttemptKind.CONNECT_FAILED
    if not error.bytes_sent:
        # A reused connection was closed before the write; this is no failure of
        # the target.
        return AttemptKind.CANCELLED
    if isinstance(error, FirstByteTimeout):
        return AttemptKind.SILENT if error.reused else AttemptKind.TIMEOUT
    if isinstance(error, BetweenBytesTimeout):
        return AttemptKind.TIMEOUT
    return AttemptKind.BROKEN


def classify_answer(answer):
    """Classify an answer."""
    if answer.not_started:
        return AttemptKind.REFUSED_NOT_STARTED
    if answer.status < SERVER_ERROR_STATUS:
        return AttemptKind.OK
    if answer.status in REQUEST_DEPENDENT_STATUSES:
        return AttemptKind.OK
    return AttemptKind.ERROR_STATUS
