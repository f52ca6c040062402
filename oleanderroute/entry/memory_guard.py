"""Applies the memory budget to the connections of callers."""

import asyncio

from ..decisions.memory_budget import Phase
from .answer_stream import BUFFER_BYTES
from .messages import MemoryPressure

# Between two reviews near the limit.
REVIEW_INTERVAL_S = 0.1
# For the objects of one connection and its parser.
CONNECTION_BYTES = 16 * 1024
# For what a request holds beside its body: its task and its headers.
REQUEST_BYTES = 32 * 1024
# For a send to a target: one read from the target's connection. The answers to many
# requests can arrive in one pass of the event loop, before the budget is asked.
SEND_BYTES = 128 * 1024
# What a stream buffers of an answer before the target's connection is paused.
UNWRITTEN_ANSWER_BYTES = BUFFER_BYTES


class MemoryGuard:
    """Charges connections, and makes them wait or refuses them near the limit.

    The owner of an account has ``pause_for_memory()``, ``resume_after_memory()`` and
    ``refuse_for_memory()``.

    Parameters
    ----------
    budget : MemoryBudget
    clock : Clock
    on_refused : callable
        Called with each ``Account`` that is refused.
    on_pressure : callable
        Called with whether bodies have to wait when this changes.
    """

    def __init__(self, budget, clock, on_refused, on_pressure):
        self.budget = budget
        self.clock = clock
        self.on_refused = on_refused
        self.on_pressure = on_pressure
        self.timer = None

    def open_connection(self):
        """Charge a connection."""
        self.budget.add_connection_bytes(CONNECTION_BYTES)

    def close_connection(self):
        """Release a connection."""
        self.budget.add_connection_bytes(-CONNECTION_BYTES)

    def open(self, owner):
        """Return the account of a request whose first byte was received."""
        return self.budget.open(owner, self.clock.now())

    def close(self, account):
        """Release all that a request holds."""
        self.budget.close(account)

    def receive_head(self, account, size):
        """Charge bytes of an incomplete head."""
        self.budget.add_request_bytes(account, size)
        self.check(account)

    def begin_body(self, account):
        """Charge a request whose head is complete."""
        account.phase = Phase.BODY
        account.progress_at = self.clock.now()
        self.budget.add_request_bytes(account, REQUEST_BYTES)

    def receive_body(self, account, size):
        """Charge bytes of a body."""
        self.budget.receive(account, size, self.clock.now())
        self.check(account)

    def end_request(self, account):
        """Record that a request was received as a whole."""
        if account.phase is not Phase.ANSWER:
            account.phase = Phase.RECEIVED
        account.is_throttled = False
        self.resume(account)

    def resume(self, account):
        """Let a body go on if it waits."""
        if account.paused_at is None:
            return
        self.budget.unpause(account, self.clock.now())
        account.owner.resume_after_memory()

    def throttle(self, account, is_throttled):
        """Record whether the host keeps the caller from sending."""
        if account.is_throttled and not is_throttled:
            account.progress_at = self.clock.now()
        account.is_throttled = is_throttled

    def hold_answer(self, account, buffered_bytes, is_complete):
        """Charge an answer that the caller doesn't read."""
        size = buffered_bytes
        if not is_complete:
            size += UNWRITTEN_ANSWER_BYTES
        account.phase = Phase.ANSWER
        account.progress_at = self.clock.now()
        self.budget.add_answer_bytes(account, size - account.answer_bytes)
        self.check(account)

    def end_answer(self, account, is_received):
        """Release an answer that the caller reads again."""
        account.phase = Phase.RECEIVED if is_received else Phase.FORWARDING
        self.budget.add_answer_bytes(account, -account.answer_bytes)

    def check(self, account):
        """Review the requests if a charge to ``account`` calls for it."""
        if self.budget.must_review(account):
            self.review()
        elif self.budget.must_wait(account):
            self.budget.pause(account, self.clock.now())
            account.owner.pause_for_memory()

    def review(self):
        """Review the requests, and go on until there is room again."""
        was_pressed = self.budget.is_pressed
        review = self.budget.review(self.clock.now())
        for account in review.paused:
            account.owner.pause_for_memory()
        for account in review.refused:
            self.on_refused(account)
            account.owner.refuse_for_memory()
        for account in review.resumed:
            if not account.is_refused:
                account.owner.resume_after_memory()
        if self.budget.is_pressed != was_pressed:
            self.on_pressure(self.budget.is_pressed)
        if self.timer is None and self.budget.needs_reviews:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(REVIEW_INTERVAL_S, self.review_again)

    def review_again(self):
        """Run a review that was due."""
        self.timer = None
        self.review()


class RequestCharge:
    """What the reader of a body tells the budget.

    Parameters
    ----------
    guard : MemoryGuard
    account : Account
    """

    def __init__(self, guard, account):
        self.guard = guard
        self.account = account

    def begin_send(self):
        """Charge a request that is about to be sent to a target.

        Raises
        ------
        MemoryPressure
            If the budget has no room, also after others were refused.
        """
        guard = self.guard
        account = self.account
        guard.budget.add_request_bytes(account, SEND_BYTES)
        guard.check(account)
        if account.is_refused:
            raise MemoryPressure()
        if guard.budget.is_full:
            guard.budget.mark_refused(account)
            guard.on_refused(account)
            raise MemoryPressure()

    def begin_forwarding(self):
        """Record that the body is being sent to a target."""
        account = self.account
        if account.phase is not Phase.BODY or account.is_refused:
            return
        account.phase = Phase.FORWARDING
        account.progress_at = self.guard.clock.now()
        self.guard.resume(account)

    def release(self, size):
        """Release bytes that were sent and are no longer needed."""
        self.guard.budget.add_request_bytes(self.account, -size)
