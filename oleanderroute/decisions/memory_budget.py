"""Budget for the memory that requests hold, and whom it makes wait or refuses."""

import itertools
from dataclasses import dataclass, field
from enum import Enum
from math import inf

# Share of the budget above which bodies that are not forwarded yet are no longer read.
PAUSE_SHARE = 0.6
# Reading resumes below this share, so that bodies aren't paused and resumed in turns.
RESUME_SHARE = 0.5
# Share of the budget above which requests are refused at once.
REFUSE_SHARE = 0.85
# Refusing goes on down to this share, so that the accounts are ranked less often.
RELIEF_SHARE = 0.8
# Bodies up to this size are read also when larger ones wait: a caller with a small
# body must get in while others hold the budget.
SMALL_BODY_BYTES = 64 * 1024
# A body gets this much while it is not forwarded; see BUFFERED_BODY_BYTES of the proxy.
UNFORWARDED_BYTES = 1024 * 1024
# Bytes that may arrive before a resumed body can be paused again.
READ_BYTES = 256 * 1024
# Bytes of a body count as progress only if they are this share of what it holds.
# Otherwise single bytes would keep a large body from being refused.
PROGRESS_SHARE = 1 / 16
# Near the limit, a caller that makes no progress for this time may be refused.
STALL_S = 1.0
# Near the limit, a body waits for this time at most. The shortest time limit of callers
# is 1.5 s.
MAX_PAUSE_S = 1.2


class Phase(Enum):
    """What a request waits for."""

    HEAD = "head"
    BODY = "body"
    FORWARDING = "forwarding"
    # The whole request was received; the target and the host are at work.
    RECEIVED = "received"
    # The caller doesn't read the answer.
    ANSWER = "answer"


# Phases in which the caller is the one that must act.
CALLER_PHASES = frozenset({Phase.HEAD, Phase.BODY, Phase.FORWARDING, Phase.ANSWER})


@dataclass(slots=True, eq=False)
class Account:
    """What one request holds.

    Attributes
    ----------
    owner : object
        The connection; not used by the budget.
    number : int
        Requests that began later have higher numbers.
    request_bytes, answer_bytes : int
        Bytes held of the request and of its answer.
    received_bytes : int
        Bytes of the body that were received.
    progress_at : float
        When the caller last made progress.
    paused_at : float or None
        Since when the budget keeps the body from being read.
    is_throttled : bool
        Whether the host doesn't read for another reason: the target is slower.
    is_refused : bool
        Whether the request was refused; it holds its bytes until it is closed.
    """

    owner: object
    number: int
    phase: Phase = Phase.HEAD
    request_bytes: int = 0
    answer_bytes: int = 0
    received_bytes: int = 0
    marked_bytes: int = 0
    progress_at: float = 0.0
    paused_at: float | None = None
    is_throttled: bool = False
    is_refused: bool = False
    is_closed: bool = False

    @property
    def held_bytes(self):
        """Bytes that the request and its answer hold."""
        return self.request_bytes + self.answer_bytes

    @property
    def is_large_body(self):
        """Whether a body is read that may have to wait."""
        return (
            self.phase is Phase.BODY
            and not self.is_refused
            and self.received_bytes > SMALL_BODY_BYTES
        )

    def stalled_s(self, now):
        """Return the seconds without progress of the caller, 0.0 if it isn't to act."""
        if self.paused_at is not None or self.is_throttled:
            return 0.0
        return max(0.0, now - self.progress_at)


@dataclass(slots=True)
class Review:
    """Accounts whose bodies wait, go on, or whose requests are refused."""

    paused: list[Account] = field(default_factory=list)
    resumed: list[Account] = field(default_factory=list)
    refused: list[Account] = field(default_factory=list)


class MemoryBudget:
    """Charges what requests hold, and reviews them near the limit.

    Parameters
    ----------
    limit_bytes : int
    """

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.pause_bytes = PAUSE_SHARE * limit_bytes
        self.resume_bytes = RESUME_SHARE * limit_bytes
        self.refuse_bytes = REFUSE_SHARE * limit_bytes
        self.relief_bytes = RELIEF_SHARE * limit_bytes
        self.held_bytes = 0
        # Part of held_bytes of requests that were refused and have not ended yet.
        self.leaving_bytes = 0
        self.accounts = set()
        self.numbers = itertools.count()
        self.is_pressed = False
        self.paused = set()
        self.readers = set()

    def add_connection_bytes(self, size):
        """Charge an open connection, or release it if ``size`` is negative."""
        self.held_bytes += size

    def open(self, owner, now):
        """Return the account of a new request."""
        account = Account(owner, next(self.numbers), progress_at=now)
        self.accounts.add(account)
        return account

    def close(self, account):
        """Release all that an account holds; another call does nothing."""
        if account.is_closed:
            return
        self.add_request_bytes(account, -account.request_bytes)
        self.add_answer_bytes(account, -account.answer_bytes)
        account.is_closed = True
        self.accounts.discard(account)
        self.paused.discard(account)
        self.readers.discard(account)

    def add_request_bytes(self, account, size):
        """Charge ``size`` bytes of a request, or release them if it is negative.

        A closed account holds nothing, and no account holds less than nothing.
        """
        if account.is_closed:
            return
        size = max(size, -account.request_bytes)
        account.request_bytes += size
        self.add(account, size)

    def add_answer_bytes(self, account, size):
        """Charge or release bytes of an answer."""
        if account.is_closed:
            return
        size = max(size, -account.answer_bytes)
        account.answer_bytes += size
        self.add(account, size)

    def add(self, account, size):
        """Add ``size`` bytes to the sums."""
        self.held_bytes += size
        if account.is_refused:
            self.leaving_bytes += size

    def receive(self, account, size, now):
        """Charge ``size`` bytes of a body that were received."""
        self.add_request_bytes(account, size)
        account.received_bytes += size
        new_bytes = account.received_bytes - account.marked_bytes
        if new_bytes >= PROGRESS_SHARE * account.request_bytes:
            account.marked_bytes = account.received_bytes
            account.progress_at = now

    def must_review(self, account):
        """Tell whether a charge to ``account`` calls for a review at once."""
        if self.is_full:
            return True
        if self.held_bytes <= self.pause_bytes:
            return False
        return not self.is_pressed

    def must_wait(self, account):
        """Tell whether a body that just grew has to wait for others."""
        return (
            self.is_pressed
            and account.is_large_body
            and account.paused_at is None
            and account not in self.readers
        )

    def pause(self, account, now):
        """Make a body wait."""
        account.paused_at = now
        self.paused.add(account)

    def unpause(self, account, now):
        """Let a body that waited go on; does nothing for others."""
        account.paused_at = None
        account.progress_at = now
        self.paused.discard(account)

    @property
    def is_full(self):
        """Whether requests must be refused at once."""
        return self.held_bytes - self.leaving_bytes > self.refuse_bytes

    @property
    def needs_reviews(self):
        """Whether reviews must go on without new charges."""
        return self.is_pressed or bool(self.paused)

    def review(self, now):
        """Decide whose bodies wait and go on, and whose requests are refused.

        Returns
        -------
        Review
        """
        review = Review()
        limit_bytes = self.pause_bytes
        if self.is_pressed:
            limit_bytes = self.resume_bytes
        self.is_pressed = self.held_bytes > limit_bytes
        self.refuse_overdue(review, now)
        if self.is_pressed:
            self.refuse_stalled(review, now)
        if self.is_full:
            self.refuse_largest(review, now)
        self.choose_readers(review, now)
        return review

    def refuse(self, review, account):
        """Refuse the request of an account."""
        self.mark_refused(account)
        review.refused.append(account)

    def mark_refused(self, account):
        """Count what an account holds as leaving."""
        account.is_refused = True
        self.leaving_bytes += account.held_bytes
        self.paused.discard(account)
        self.readers.discard(account)

    def refuse_overdue(self, review, now):
        """Refuse the requests whose bodies have waited too long."""
        for account in list(self.paused):
            if now - account.paused_at >= MAX_PAUSE_S:
                self.refuse(review, account)

    def refuse_stalled(self, review, now):
        """Refuse requests that hold much without progress, until there is room."""
        stalled = []
        for account in self.accounts:
            if account.is_refused or account.phase not in CALLER_PHASES:
                continue
            is_stalled = account.stalled_s(now) >= STALL_S
            if is_stalled and account.held_bytes > SMALL_BODY_BYTES:
                stalled.append(account)
        self.refuse_ranked(review, stalled, self.resume_bytes, now)

    def refuse_largest(self, review, now):
        """Refuse requests until the rest fits, those that hold most for longest first.

        Requests that were received as a whole are left alone: they end by themselves.
        So are bodies that wait for their target.
        """
        candidates = []
        for account in self.accounts:
            if account.is_refused or account.phase not in CALLER_PHASES:
                continue
            if account.phase is Phase.FORWARDING and account.stalled_s(now) < STALL_S:
                continue
            candidates.append(account)
        self.refuse_ranked(review, candidates, self.relief_bytes, now)

    def refuse_ranked(self, review, accounts, until_bytes, now):
        """Refuse ``accounts`` in order until at most ``until_bytes`` stay held."""

        def rank(account):
            waiting_since = account.paused_at or account.progress_at
            # A moment is added, so that size decides between bodies without a stall.
            return account.held_bytes * (now - waiting_since + 0.05)

        for account in sorted(accounts, key=rank, reverse=True):
            if self.held_bytes - self.leaving_bytes <= until_bytes:
                return
            self.refuse(review, account)

    def choose_readers(self, review, now):
        """Let the oldest bodies go on that fit, and make the others wait."""
        room_bytes = inf
        step_bytes = READ_BYTES
        if self.is_pressed:
            # Bodies that go on near the limit must be able to get all they need.
            room_bytes = self.refuse_bytes - self.held_bytes
            step_bytes = UNFORWARDED_BYTES
        elif self.paused:
            room_bytes = self.pause_bytes - self.held_bytes
        else:
            self.readers.clear()
            return
        large = [account for account in self.accounts if account.is_large_body]
        large.sort(key=lambda account: account.number)
        self.readers.clear()
        for account in large:
            needed_bytes = max(READ_BYTES, step_bytes - account.request_bytes)
            if needed_bytes <= room_bytes:
                room_bytes -= needed_bytes
                self.readers.add(account)
                if account.paused_at is not None:
                    self.unpause(account, now)
                    review.resumed.append(account)
            elif account.paused_at is None and self.is_pressed:
                self.pause(account, now)
                review.paused.append(account)
