"""Sends a request to one target and classifies what happens."""

import asyncio
import itertools

from .. import events
from ..decisions.fingerprint import BODY_HEAD_BYTES
from ..decisions.health import LONG_OVERDUE_QUANTILE, Finding
from ..decisions.restrictions import parse_pause_s
from ..decisions.work_estimate import WorkEstimates
from ..entry.messages import (
    BodyTooLarge,
    ForwardedBody,
    MemoryPressure,
    OutgoingRequest,
)
from ..entry.target_pool import ConnectionLimitReached
from ..errors import (
    BetweenBytesTimeout,
    ConnectFailed,
    FirstByteTimeout,
    MalformedAnswer,
    TargetError,
)
from .exchange import SendRecord, SendResult
from .findings import FIRST_SERVER_ERROR, SHED_STATUS, OverdueReporter
from .limited_stream import LimitedStream
from .requestlog import LogRateLimiter

# These statuses tell a caller that the request did not run, which only a proof by the
# target permits.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

MAX_LOGGED_HINT_BYTES = 40
MAX_LOGGED_REASON = 100
# Targets may send bytes that are no answers at any rate.
REJECTED_LINES_PER_S = 10.0


class KeyRefused(TargetError):
    """The API key of a request ceased to be valid while a connection was opened.

    Parameters
    ----------
    reason : HostReason
    """

    def __init__(self, reason):
        super().__init__(reason, bytes_sent=False)


class SendOutcome:
    """Result of one send, with the answer or the error.

    For `SendResult.KEY_REFUSED` the error is a ``HostReason``.
    """

    def __init__(self, result, answer=None, error=None):
        self.result = result
        self.answer = answer
        self.error = error

    @property
    def is_final(self):
        """Whether the answer can be returned without another send."""
        return (
            self.result is SendResult.ANSWERED
            and self.answer.status < FIRST_SERVER_ERROR
            and self.answer.status not in NOT_RUN_STATUSES
        )


class TargetSender:
    """Sends single requests to single targets.

    Parameters
    ----------
    view : FleetView
    pool : TargetPool
    reporter : FindingReporter
    crashes : CrashTracker
    headers : object
        Has ``attempt_headers(base, target_id, remaining_s)``.
    clock : Clock
    api_keys : ApiKeys, optional
        Without it, requests need no API key.
    """

    def __init__(self, view, pool, reporter, crashes, headers, clock, api_keys=None):
        self.view = view
        self.pool = pool
        self.reporter = reporter
        self.crashes = crashes
        self.headers = headers
        self.clock = clock
        self.api_keys = api_keys
        self.numbers = itertools.count(1)
        self.work_estimates = WorkEstimates()
        self.rejected_lines = LogRateLimiter(REJECTED_LINES_PER_S, clock)

    def key_refusal(self, exchange):
        """Return why the configuration in force forbids a send, or None."""
        return None if self.api_keys is None else self.api_keys.recheck(exchange)

    async def send(self, exchange, target):
        """Send a request to one target and report the result as a finding.

        Returns
        -------
        SendOutcome
        """
        reason = self.key_refusal(exchange)
        if reason is not None:
            return SendOutcome(SendResult.KEY_REFUSED, error=reason)
        entry = target.entry
        now = self.clock.now()
        exchange.tried_targets.add(entry.target_id)
        health = target.health
        latencies = self.view.latencies_of(exchange.service)
        record = SendRecord(
            next(self.numbers),
            entry.target_id,
            now,
            health.gray_probability,
            health.path_down_probability,
            not target.has_free_slot(now, latencies.service_s),
        )
        is_repeat = exchange.delivered_sends > 0
        # A request is counted once, however many targets could not be reached.
        is_counted = is_repeat or not exchange.sends
        announcement = None
        if not exchange.sends:
            announcement = self.view.rate_limits.count_first_send(exchange)
        exchange.sends.append(record)
        target.own_in_flight += 1
        target.last_own_send_at = now
        self.reporter.report_start(target, record, is_repeat, is_counted, announcement)
        overdue = OverdueReporter(
            self.reporter,
            latencies,
            self.clock,
            target,
            record,
            lambda: self.check_silent(exchange, target, record),
        )
        try:
            outcome = await self.run_exchange(exchange, target, record)
        except (asyncio.CancelledError, BodyTooLarge, MemoryPressure):
            # Also if the body was given up midway: the target has a free slot again.
            record.result = SendResult.CANCELLED
            self.reporter.publish(target, Finding.ENDED, record)
            raise
        finally:
            overdue.stop()
            target.own_in_flight -= 1
            record.elapsed_s = self.clock.now() - now
        record.result = outcome.result
        if outcome.answer is not None:
            record.status = outcome.answer.status
            self.apply_restrictions(exchange, entry, outcome.answer)
        if outcome.is_final:
            self.record_success(exchange, target, record, outcome.answer)
            if not record.is_queued:
                latencies.add_service_time(record.elapsed_s)
                self.work_estimates.of(exchange.service).add(
                    exchange.route.route_id, record.elapsed_s, self.clock.now()
                )
        self.reporter.report_outcome(target, outcome, record, overdue.overdue_finding)
        if outcome.answer is not None and outcome.answer.stream is not None:
            self.limit_stream(exchange, target, record, outcome.answer)
        return outcome

    def apply_restrictions(self, exchange, entry, answer):
        """Apply what a target says in an answer about its next requests."""
        if answer.misdirected:
            # Another target answered, at the address of this one.
            return
        if answer.draining:
            self.reporter.report_leaving(entry)
        if answer.status != SHED_STATUS or answer.retry_after is None:
            return
        hint = answer.retry_after[:MAX_LOGGED_HINT_BYTES].decode("latin-1")
        pause_s = parse_pause_s(answer.retry_after)
        if pause_s is None:
            events.PAUSE_REFUSED.log(
                target=entry.target_id, request=exchange.attempt_id, hint=hint
            )
            return
        self.view.restrictions.pause(
            entry.target_id, entry.started_ms, pause_s, self.clock.now()
        )
        events.TARGET_PAUSED.log(
            target=entry.target_id,
            request=exchange.attempt_id,
            hint=hint,
            pause_s=pause_s,
        )

    def limit_stream(self, exchange, target, record, answer):
        """End a body that is not complete at the time limit of the request."""

        def on_timeout(passed_bytes):
            self.check_silent(exchange, target, record)
            events.ANSWER_CUT.log(
                request=exchange.attempt_id,
                target=record.target_id,
                bytes=passed_bytes,
            )
            self.reporter.publish(target, Finding.FAILED, record)

        def on_end(is_complete):
            if not is_complete:
                self.crashes.check_broken(exchange, target, record.started_at)
            elif answer.status < FIRST_SERVER_ERROR:
                self.record_whole_success(exchange, target, record, answer)

        answer.stream = LimitedStream(
            answer.stream, exchange.deadline_at, self.clock, on_timeout, on_end
        )

    def record_success(self, exchange, target, record, answer):
        """Record that a target served a request, unless its answer is incomplete."""
        if answer.stream is None:
            self.record_whole_success(exchange, target, record, answer)

    def record_whole_success(self, exchange, target, record, answer):
        """Record that a target served a request."""
        if answer.ends_with_connection:
            self.crashes.check_closed(exchange, target, record.started_at)
        else:
            self.crashes.record_success(exchange)

    def check_silent(self, exchange, target, record):
        """Check a target that has not answered a request for long."""
        span_s = self.view.latencies_of(exchange.service).quantile(
            LONG_OVERDUE_QUANTILE
        )
        noticed_at = min(self.clock.now(), record.started_at + span_s)
        self.crashes.check_silent(
            exchange, target, record.started_at, noticed_at, span_s
        )

    async def run_exchange(self, exchange, target, record):
        """Exchange request and answer with a target and classify the result."""
        entry = target.entry
        remaining_s = exchange.deadline_at - self.clock.now()
        outgoing = self.make_request(exchange, entry, remaining_s)
        exchange.delivered_sends += 1
        may_have_run = exchange.may_have_run
        exchange.may_have_run = True
        try:
            async with asyncio.timeout(max(0.001, remaining_s)):
                answer = await self.pool.exchange(
                    entry, outgoing, remaining_s + 1.0, remaining_s + 1.0
                )
        except (ConnectFailed, ConnectionLimitReached, KeyRefused) as error:
            exchange.delivered_sends -= 1
            exchange.may_have_run = may_have_run
            if isinstance(error, KeyRefused):
                return SendOutcome(SendResult.KEY_REFUSED, error=error.reason)
            return SendOutcome(SendResult.NOT_SENT, error=error)
        except (TimeoutError, FirstByteTimeout, BetweenBytesTimeout):
            self.check_silent(exchange, target, record)
            return SendOutcome(SendResult.TIMEOUT)
        except MalformedAnswer as error:
            self.log_rejected(exchange, entry, error)
            return SendOutcome(SendResult.MALFORMED)
        except TargetError:
            self.crashes.check_broken(exchange, target, record.started_at)
            return SendOutcome(SendResult.BROKEN)
        if answer.not_started:
            exchange.may_have_run = may_have_run
            return SendOutcome(SendResult.NOT_RUN, answer)
        return SendOutcome(SendResult.ANSWERED, answer)

    def log_rejected(self, exchange, entry, error):
        """Log bytes of a target that are no answer to a request."""
        if not self.rejected_lines.try_acquire():
            return
        events.ANSWER_REJECTED.log(
            request=exchange.attempt_id,
            target=entry.target_id,
            reason=str(error)[:MAX_LOGGED_REASON],
            left_out=self.rejected_lines.pop_suppressed(),
        )

    def make_request(self, exchange, entry, remaining_s):
        """Return the request in the form for one target."""
        request = exchange.request
        body = exchange.body_prefix.content
        length = None
        if not exchange.body_prefix.complete:
            # The start of the body stays, for the fingerprint of the request.
            body = ForwardedBody(exchange.body_prefix, request.body, BODY_HEAD_BYTES)
            length = request.body.length
            exchange.body_consumed = True
        outgoing = OutgoingRequest(
            request.method,
            request.raw_target,
            self.headers.attempt_headers(
                exchange.base_headers, entry.target_id, remaining_s
            ),
            body,
            length,
            exchange.attempt_id_bytes,
        )

        def check_again():
            # Opening a connection takes up to 0.3 s.
            reason = self.key_refusal(exchange)
            if reason is not None:
                raise KeyRefused(reason)
            outgoing.headers = self.headers.attempt_headers(
                exchange.base_headers, entry.target_id, remaining_s
            )
            outgoing.request_id = exchange.attempt_id_bytes

        outgoing.on_connected = check_again
        return outgoing
