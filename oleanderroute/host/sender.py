"""Sends requests to targets, learns from the outcome and repeats what may repeat."""

import asyncio
import itertools

from ..decisions.health import (
    LONG_OVERDUE_SHARE,
    OVERDUE_SHARE,
    Finding,
)
from ..decisions.selection import Demand
from ..entry.messages import OutgoingRequest, PrefixedBody
from ..entry.target_pool import ConnectionLimitReached
from ..errors import (
    BetweenBytesTimeout,
    ConnectFailed,
    FirstByteTimeout,
    MalformedAnswer,
    TargetError,
)
from .exchange import SendRecord, SendResult
from .refusal import HostReason, refuse

# A second send of an idempotent request waits for most good answers, within bounds.
MIN_HEDGE_S = 0.04
MAX_HEDGE_SHARE_OF_OBJECTIVE = 0.5
# Attempts of which no byte left this host are cheap for the fleet, but take time.
MAX_UNSENT = 4
# These statuses promise "not run", which only the target's own proof allows.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
FIRST_SERVER_ERROR = 500
BAD_FINDINGS = frozenset(
    {
        Finding.FAILED,
        Finding.OVERDUE,
        Finding.LONG_OVERDUE,
        Finding.UNREACHABLE,
    }
)
BYTES_PER_MB = 1_000_000


class SendOutcome:
    """What one send brought."""

    def __init__(self, result, answer=None, view=None):
        self.result = result
        self.answer = answer
        self.view = view

    @property
    def is_good(self):
        """Whether the answer ends the request for good."""
        return (
            self.result is SendResult.ANSWERED
            and self.answer.status < FIRST_SERVER_ERROR
            and self.answer.status not in PROMISING_STATUSES
        )


class Sender:
    """Takes requests to targets.

    Parameters
    ----------
    view : FleetView
    pool : TargetPool
    selector : Selector
    gossip : GossipTask
    crashes : CrashLedger
    headers : object
        Has ``attempt_headers(base, target_id, remaining_s)``.
    clock : Clock
    """

    def __init__(self, view, pool, selector, gossip, crashes, headers, clock):
        self.view = view
        self.pool = pool
        self.selector = selector
        self.gossip = gossip
        self.crashes = crashes
        self.headers = headers
        self.clock = clock
        self.numbers = itertools.count(1)

    async def run(self, exchange):
        """Return the ``CallerAnswer`` or ``TargetAnswer`` of a request."""
        self.view.latencies_of(
            exchange.service
        ).objective_s = exchange.route.objective_s
        if exchange.route.is_idempotent:
            return await self.run_idempotent(exchange)
        return await self.run_once(exchange)

    # Requests that may run once

    async def run_once(self, exchange):
        """Send until a target may have started the request."""
        unsent = 0
        while True:
            target = self.choose_best(exchange)
            if target is None:
                return self.give_up(exchange, unsent)
            outcome = await self.send(exchange, target)
            if outcome.result is SendResult.NOT_SENT:
                unsent += 1
                if unsent < MAX_UNSENT and not self.is_late(exchange):
                    continue
                return refuse(HostReason.TARGETS_UNREACHABLE, exchange.may_have_run)
            if outcome.result is SendResult.NOT_RUN:
                if self.may_repeat(exchange):
                    continue
                return refuse(HostReason.TARGETS_REFUSED, exchange.may_have_run)
            return self.final(outcome, exchange)

    # Requests that may run again

    async def run_idempotent(self, exchange):
        """Send to one target and, if it is slow or fails, to another."""
        pending = set()
        last = None
        unsent = 0
        may_hedge = True
        try:
            while True:
                if not pending:
                    target = self.choose_first(exchange)
                    if target is None:
                        break
                    pending.add(self.start(exchange, target))
                done = await self.wait(exchange, pending, may_hedge)
                if not done:
                    may_hedge = False
                    self.hedge(exchange, pending)
                    continue
                for task in done:
                    pending.discard(task)
                    outcome = task.result()
                    if outcome.is_good:
                        return outcome.answer
                    if outcome.result is SendResult.NOT_SENT:
                        unsent += 1
                    last = self.better(last, outcome)
                if pending:
                    continue
                if unsent >= MAX_UNSENT or self.is_late(exchange):
                    break
                if last.result is not SendResult.NOT_SENT or exchange.arrivals:
                    if not self.may_repeat(exchange):
                        break
        finally:
            for task in pending:
                task.cancel()
        if last is None:
            return self.give_up(exchange, unsent)
        if last.result is SendResult.NOT_SENT:
            return refuse(HostReason.TARGETS_UNREACHABLE, exchange.may_have_run)
        if last.result is SendResult.NOT_RUN:
            return refuse(HostReason.TARGETS_REFUSED, exchange.may_have_run)
        return self.final(last, exchange)

    def start(self, exchange, target):
        """Start a send as a task of its own."""
        return asyncio.ensure_future(self.send(exchange, target))

    async def wait(self, exchange, pending, may_hedge):
        """Wait for a send to end, or until a second one is due."""
        timeout_s = None
        if may_hedge and len(pending) == 1 and exchange.may_send_again():
            timeout_s = self.hedge_delay_s(exchange)
        done, _ = await asyncio.wait(
            pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def hedge_delay_s(self, exchange):
        """Return the seconds until a second send is due."""
        latencies = self.view.latencies_of(exchange.service)
        bound_s = MAX_HEDGE_SHARE_OF_OBJECTIVE * exchange.route.objective_s
        return max(MIN_HEDGE_S, min(bound_s, latencies.quantile(OVERDUE_SHARE)))

    def hedge(self, exchange, pending):
        """Start a second send if there is a target and the allowance permits."""
        target = self.choose_best(exchange)
        if target is None or not self.may_repeat(exchange, is_hedge=True):
            return
        pending.add(self.start(exchange, target))

    def better(self, last, outcome):
        """Return the outcome that tells the caller more."""
        if last is None or outcome.result is SendResult.ANSWERED:
            return outcome
        if last.result in (SendResult.NOT_SENT, SendResult.NOT_RUN):
            return outcome
        return last

    # Choice

    def candidates(self, exchange):
        """Return the targets that a request may be sent to next."""
        found = []
        for view in self.view.usable(exchange.service):
            if view.entry.target_id not in exchange.tried:
                found.append(view)
        return found

    def choose_first(self, exchange):
        """Choose for an idempotent request: explore while repeats are allowed."""
        now = self.clock.now()
        if not exchange.sends and exchange.route.max_targets > 1:
            if self.is_repeat_allowed(exchange, is_hedge=True):
                latencies = self.view.latencies_of(exchange.service)
                target = self.selector.explore(
                    self.candidates(exchange), latencies, now
                )
                if target is not None:
                    return target
        return self.choose_best(exchange)

    def choose_best(self, exchange):
        """Choose the target that is expected to lose the least."""
        return self.selector.best(
            self.candidates(exchange),
            self.view.latencies_of(exchange.service),
            Demand(
                exchange.route.objective_s,
                len(exchange.head.content) / BYTES_PER_MB,
                self.pool.has_idle,
            ),
            self.clock.now(),
        )

    def may_repeat(self, exchange, is_hedge=False):
        """Tell whether another send of a request is allowed."""
        if not exchange.may_send_again() or self.is_late(exchange):
            return False
        if self.crashes.is_refused(exchange):
            return False
        return self.is_repeat_allowed(exchange, is_hedge)

    def is_repeat_allowed(self, exchange, is_hedge):
        """Tell whether the service may get one more repeated send."""
        return self.view.allowance_of(exchange.service).may_repeat(
            self.gossip.heard_count(), self.view.host_count, self.clock.now(), is_hedge
        )

    def is_late(self, exchange):
        """Tell whether the caller or the route has given up."""
        return self.clock.now() >= exchange.deadline_at

    # One send

    async def send(self, exchange, target):
        """Send a request to one target and learn from what happens.

        Returns
        -------
        SendOutcome
        """
        entry = target.entry
        now = self.clock.now()
        exchange.tried.add(entry.target_id)
        health = target.health
        record = SendRecord(
            next(self.numbers), entry.target_id, now, health.gray, health.cut
        )
        is_repeat = exchange.arrivals > 0
        exchange.sends.append(record)
        target.own_in_flight += 1
        target.own_sent_at = now
        start = Finding.RESENT if is_repeat else Finding.SENT
        self.publish(target, start, record)
        overdue = OverdueReports(self, exchange, target, record)
        try:
            outcome = await self.exchange(exchange, target)
        except asyncio.CancelledError:
            record.result = SendResult.CANCELLED
            self.publish(target, Finding.ENDED, record)
            raise
        finally:
            overdue.stop()
            target.own_in_flight -= 1
            record.elapsed_s = self.clock.now() - now
        record.result = outcome.result
        if outcome.answer is not None:
            record.status = outcome.answer.status
        self.learn(target, outcome, record, overdue.stage)
        return outcome

    async def exchange(self, exchange, target):
        """Run the exchange with a target and classify its end."""
        entry = target.entry
        remaining_s = exchange.deadline_at - self.clock.now()
        outgoing = self.make_request(exchange, entry, remaining_s)
        exchange.arrivals += 1
        may_have_run = exchange.may_have_run
        exchange.may_have_run = True
        try:
            async with asyncio.timeout(max(0.001, remaining_s)):
                answer = await self.pool.exchange(
                    entry, outgoing, remaining_s + 1.0, remaining_s + 1.0
                )
        except (ConnectFailed, ConnectionLimitReached) as error:
            exchange.arrivals -= 1
            exchange.may_have_run = may_have_run
            return SendOutcome(SendResult.NOT_SENT, view=error)
        except (TimeoutError, FirstByteTimeout, BetweenBytesTimeout):
            return SendOutcome(SendResult.TIMEOUT)
        except MalformedAnswer:
            return SendOutcome(SendResult.MALFORMED)
        except TargetError:
            self.crashes.suspect(exchange, entry)
            return SendOutcome(SendResult.BROKEN)
        if answer.not_started:
            exchange.may_have_run = may_have_run
            return SendOutcome(SendResult.NOT_RUN, answer)
        return SendOutcome(SendResult.ANSWERED, answer)

    def make_request(self, exchange, entry, remaining_s):
        """Return the request for one target."""
        request = exchange.request
        body = exchange.head.content
        length = None
        if not exchange.head.complete:
            body = PrefixedBody(exchange.head.content, request.body)
            length = request.body.length
            exchange.body_consumed = True
        return OutgoingRequest(
            request.method,
            request.raw_target,
            self.headers.attempt_headers(
                exchange.base_headers, entry.target_id, remaining_s
            ),
            body,
            length,
            exchange.attempt_id_bytes,
        )

    # Learning

    def learn(self, target, outcome, record, stage):
        """Turn the end of a send into a finding for this and the other hosts."""
        finding = self.finding_of(target, outcome, record, stage)
        load = None
        latency_s = None
        if outcome.answer is not None and outcome.answer.load is not None:
            running, waiting, slots = outcome.answer.load
            load = (running + waiting, slots)
        if finding in (Finding.GOOD, Finding.LATE):
            latency_s = record.elapsed_s
        self.publish(target, finding, record, latency_s, load)

    def finding_of(self, target, outcome, record, stage):
        """Return what the end of a send says about its target."""
        result = outcome.result
        if result is SendResult.NOT_SENT:
            if isinstance(outcome.view, ConnectionLimitReached):
                return Finding.ENDED
            return Finding.UNREACHABLE
        if result is SendResult.NOT_RUN:
            if outcome.answer.misdirected:
                return Finding.UNREACHABLE
            return Finding.SHED
        if result in (SendResult.BROKEN, SendResult.MALFORMED):
            return Finding.FAILED
        if result is SendResult.TIMEOUT:
            # The overdue findings have told it already, if there was time for them.
            return Finding.ENDED
        if outcome.answer.status >= FIRST_SERVER_ERROR:
            return Finding.ERROR
        return Finding.GOOD if stage is None else Finding.LATE

    def publish(self, target, finding, record, latency_s=None, load=None):
        """Apply a finding here and tell the other hosts."""
        target_id = target.entry.target_id
        sent_at = record.started_at
        self.view.observe(target_id, finding, sent_at, None, latency_s, load)
        if target.health.cut > 0.5 and finding in BAD_FINDINGS:
            # More likely this host's path than the target; others see for themselves.
            finding = Finding.ENDED
        self.gossip.report(target_id, finding, sent_at, record.number, latency_s, load)

    # Ends

    def give_up(self, exchange, unsent):
        """Refuse a request for which no target is left."""
        reason = HostReason.TARGETS_UNREACHABLE if unsent else HostReason.NO_TARGET
        return refuse(reason, exchange.may_have_run)

    def final(self, outcome, exchange):
        """Return the answer of a target, or what a failed send allows to say."""
        if outcome.result is SendResult.ANSWERED:
            if outcome.answer.status in PROMISING_STATUSES:
                return refuse(HostReason.TARGET_UNPROVEN, True)
            return outcome.answer
        if outcome.result is SendResult.TIMEOUT:
            return refuse(HostReason.TARGET_TIMEOUT, True)
        return refuse(HostReason.TARGET_BROKE, True)


class OverdueReports:
    """Tells that a request has no answer yet, at two ages.

    Parameters
    ----------
    sender : Sender
    exchange : Exchange
    target : TargetView
    record : SendRecord
    """

    def __init__(self, sender, exchange, target, record):
        self.sender = sender
        self.target = target
        self.record = record
        self.stage = None
        self.latencies = sender.view.latencies_of(exchange.service)
        loop = asyncio.get_running_loop()
        first_s = self.latencies.quantile(OVERDUE_SHARE)
        self.timer = loop.call_later(first_s, self.overdue)

    def overdue(self):
        """Tell the first age and wait for the second."""
        self.tell(Finding.OVERDUE)
        passed_s = self.sender.clock.now() - self.record.started_at
        wait_s = max(0.01, self.latencies.quantile(LONG_OVERDUE_SHARE) - passed_s)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(wait_s, self.tell, Finding.LONG_OVERDUE)

    def tell(self, finding):
        """Publish one finding."""
        self.stage = finding
        self.sender.publish(self.target, finding, self.record)

    def stop(self):
        """Tell nothing more."""
        self.timer.cancel()
