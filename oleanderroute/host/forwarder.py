"""Forwards requests to targets, with retries and hedged sends where they are safe."""

import asyncio

from ..decisions.health import OVERDUE_QUANTILE
from ..decisions.selection import RequestProfile
from .exchange import SendResult
from .refusal import HostReason, refusal_answer
from .shedding import RequestShedding
from .target_sender import NOT_RUN_STATUSES

# The hedge delay of an idempotent request is a high quantile of the latency of good
# answers, within these bounds.
MIN_HEDGE_DELAY_S = 0.04
MAX_HEDGE_SHARE_OF_OBJECTIVE = 0.5
# Sends of which no byte was written cost the fleet little, but they delay the answer.
MAX_UNSENT_ATTEMPTS = 4
BYTES_PER_MB = 1_000_000


class RequestForwarder:
    """Forwards requests to targets.

    Parameters
    ----------
    view : FleetView
    pool : TargetPool
    selector : Selector
    membership : GossipMembership
    crashes : CrashTracker
    target_sender : TargetSender
    clock : Clock
    """

    def __init__(self, view, pool, selector, membership, crashes, target_sender, clock):
        self.view = view
        self.pool = pool
        self.selector = selector
        self.membership = membership
        self.crashes = crashes
        self.target_sender = target_sender
        self.clock = clock
        self.shedding = RequestShedding(
            view, selector, target_sender.work_estimates, clock
        )

    async def run(self, exchange):
        """Return the ``CallerAnswer`` or ``TargetAnswer`` of a request."""
        latencies = self.view.latencies_of(exchange.service)
        latencies.objective_s = exchange.route.objective_s
        refusal = self.shedding.refusal(exchange, self.candidates(exchange))
        if refusal is not None:
            return refusal
        if exchange.route.is_idempotent:
            return await self.run_idempotent(exchange)
        return await self.run_once(exchange)

    # Requests that may run only once

    async def run_once(self, exchange):
        """Send until a target may have started the request."""
        unsent = 0
        while True:
            target = self.choose_best(exchange)
            if target is None:
                return self.refuse_without_target(exchange, unsent)
            outcome = await self.target_sender.send(exchange, target)
            if outcome.result is SendResult.NOT_SENT:
                unsent += 1
                if unsent < MAX_UNSENT_ATTEMPTS and not self.is_past_deadline(exchange):
                    continue
            elif outcome.result is SendResult.NOT_RUN and self.may_repeat(exchange):
                continue
            return self.final_answer(outcome, exchange)

    # Requests that may run more than once

    async def run_idempotent(self, exchange):
        """Send to one target and, if it is slow or fails, to another target."""
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
                    if outcome.is_final:
                        return outcome.answer
                    if outcome.result is SendResult.NOT_SENT:
                        unsent += 1
                    last = self.preferred_outcome(last, outcome)
                if pending:
                    continue
                if unsent >= MAX_UNSENT_ATTEMPTS or self.is_past_deadline(exchange):
                    break
                if last.result is not SendResult.NOT_SENT or exchange.delivered_sends:
                    if not self.may_repeat(exchange):
                        break
        finally:
            for task in pending:
                task.cancel()
        if last is None:
            return self.refuse_without_target(exchange, unsent)
        return self.final_answer(last, exchange)

    def start(self, exchange, target):
        """Start a send in a new task."""
        return asyncio.ensure_future(self.target_sender.send(exchange, target))

    async def wait(self, exchange, pending, may_hedge):
        """Wait until a send ends or the hedge delay has passed."""
        timeout_s = None
        if may_hedge and len(pending) == 1 and exchange.may_send_again():
            timeout_s = self.hedge_delay_s(exchange)
        done, _ = await asyncio.wait(
            pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def hedge_delay_s(self, exchange):
        """Return the hedge delay in seconds."""
        latencies = self.view.latencies_of(exchange.service)
        bound_s = MAX_HEDGE_SHARE_OF_OBJECTIVE * exchange.route.objective_s
        return max(
            MIN_HEDGE_DELAY_S, min(bound_s, latencies.quantile(OVERDUE_QUANTILE))
        )

    def hedge(self, exchange, pending):
        """Start a hedged send if a target has a free slot and the allowance permits.

        A hedged send that waits in a queue would delay first sends of other requests.
        """
        target = self.choose_best(exchange)
        if target is None or not self.may_repeat(exchange, is_hedge=True):
            return
        drain_s = self.view.latencies_of(exchange.service).service_s
        if not target.has_free_slot(self.clock.now(), drain_s):
            return
        pending.add(self.start(exchange, target))

    def preferred_outcome(self, last, outcome):
        """Return the outcome that is more informative for the caller."""
        if last is None or outcome.result is SendResult.ANSWERED:
            return outcome
        if last.result in (SendResult.NOT_SENT, SendResult.NOT_RUN):
            return outcome
        return last

    # Choice of targets

    def candidates(self, exchange):
        """Return targets that a request may be sent to next."""
        found = []
        for view in self.view.usable_targets(exchange.service):
            if view.entry.target_id not in exchange.tried_targets:
                found.append(view)
        return self.selector.sample(found, self.pool.has_idle)

    def choose_first(self, exchange):
        """Choose a target for an idempotent request.

        The first send may explore while the allowance permits a second one.
        """
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
        """Choose the target with the least expected loss, or one for the floor."""
        candidates = self.candidates(exchange)
        now = self.clock.now()
        if not exchange.sends:
            target = self.view.floor_of(exchange.service).choose(candidates, now)
            if target is not None:
                return target
        return self.selector.best(
            candidates,
            self.view.latencies_of(exchange.service),
            RequestProfile(
                exchange.route.objective_s,
                len(exchange.body_prefix.content) / BYTES_PER_MB,
                self.pool.has_idle,
            ),
            now,
        )

    def may_repeat(self, exchange, is_hedge=False):
        """Tell whether another send of a request is allowed."""
        if not exchange.may_send_again() or self.is_past_deadline(exchange):
            return False
        if self.crashes.is_refused(exchange) or self.shedding.is_hopeless(exchange):
            return False
        if self.target_sender.key_refusal(exchange) is not None:
            return False
        return self.is_repeat_allowed(exchange, is_hedge)

    def is_repeat_allowed(self, exchange, is_hedge):
        """Tell whether the service may get one more repeated send."""
        return self.view.allowance_of(exchange.service).may_repeat(
            self.membership.live_host_count(),
            self.view.host_count,
            self.clock.now(),
            is_hedge,
            self.shedding.repeat_share(exchange),
        )

    def is_past_deadline(self, exchange):
        """Tell whether the time limit of the caller or the route has passed."""
        return self.clock.now() >= exchange.deadline_at

    # Answers

    def refuse_without_target(self, exchange, unsent):
        """Refuse a request for which no target is left."""
        if unsent:
            return refusal_answer(HostReason.TARGETS_UNREACHABLE, exchange.may_have_run)
        pause_s = self.view.min_pause_s(exchange.service)
        if pause_s is None:
            return refusal_answer(HostReason.NO_TARGET, exchange.may_have_run)
        return refusal_answer(
            HostReason.TARGETS_PAUSED,
            exchange.may_have_run,
            self.selector.spread_return_s(pause_s),
        )

    def final_answer(self, outcome, exchange):
        """Return the target's answer, or the refusal that a failed send permits."""
        if outcome.result is SendResult.ANSWERED:
            if outcome.answer.status in NOT_RUN_STATUSES:
                return refusal_answer(HostReason.TARGET_UNPROVEN, True)
            return outcome.answer
        if outcome.result is SendResult.KEY_REFUSED:
            return refusal_answer(outcome.error, exchange.may_have_run)
        if outcome.result is SendResult.NOT_SENT:
            return refusal_answer(HostReason.TARGETS_UNREACHABLE, exchange.may_have_run)
        if outcome.result is SendResult.NOT_RUN:
            return refusal_answer(HostReason.TARGETS_REFUSED, exchange.may_have_run)
        if outcome.result is SendResult.TIMEOUT:
            return refusal_answer(HostReason.TARGET_TIMEOUT, True)
        return refusal_answer(HostReason.TARGET_BROKE, True)
