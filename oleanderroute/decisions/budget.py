"""Retry budget and backoff of one service on one host."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

# A higher ratio would amplify the load while the targets are overloaded.
RETRY_RATIO = 0.1
# Allows retries on a host with little traffic.
MIN_RETRIES = 2
WINDOW_S = 10.0
BUCKET_S = 0.5

# Fewer attempts are too few to tell whether the service sheds load.
MIN_ATTEMPTS_FOR_SHED_SHARE = 5
MAX_SHED_SHARE = 0.5

BACKOFF_BASE_S = 0.01
BACKOFF_CAP_S = 0.5


class RetryReason(Enum):
    """Why a retry is allowed or not."""

    WITHIN_BUDGET = "within-budget"
    BUDGET_SPENT = "budget-spent"
    SERVICE_SHEDS = "service-sheds"


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a retry may be sent."""

    allowed: bool
    reason: RetryReason


@dataclass(slots=True)
class Bucket:
    """Counts of one bucket of the window."""

    started_at: float
    successes: int = 0
    retries: int = 0
    attempts: int = 0
    shed: int = 0


class RetryBudget:
    """Allows retries in proportion to recent successes.

    Parameters
    ----------
    clock : Clock
    rng : random.Random
    """

    def __init__(self, clock, rng):
        self.clock = clock
        self.rng = rng
        self.buckets = deque()
        self.successes = 0
        self.retries = 0
        self.attempts = 0
        self.shed = 0

    def record_success(self, now):
        """Count a request that was served.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._bucket(now).successes += 1
        self.successes += 1

    def record_attempt(self, was_shed, now):
        """Count an attempt of any request on a target of the service.

        Parameters
        ----------
        was_shed : bool
            Whether the target refused it before start.
        now : float
            Monotonic seconds.
        """
        bucket = self._bucket(now)
        bucket.attempts += 1
        self.attempts += 1
        if was_shed:
            bucket.shed += 1
            self.shed += 1

    def spend(self, now, was_shed=False):
        """Request one retry, and count it if it is allowed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        was_shed : bool
            Whether the target refused the attempt to be retried before start.

        Returns
        -------
        RetryDecision
        """
        bucket = self._bucket(now)
        if was_shed and self.is_service_shedding():
            return RetryDecision(False, RetryReason.SERVICE_SHEDS)
        if self.retries + 1 > MIN_RETRIES + RETRY_RATIO * self.successes:
            return RetryDecision(False, RetryReason.BUDGET_SPENT)
        bucket.retries += 1
        self.retries += 1
        return RetryDecision(True, RetryReason.WITHIN_BUDGET)

    def is_service_shedding(self):
        """Return whether most of the attempts in the window were shed."""
        if self.attempts < MIN_ATTEMPTS_FOR_SHED_SHARE:
            return False
        return self.shed > self.attempts * MAX_SHED_SHARE

    def backoff_s(self, attempt_number):
        """Return how long to wait before a retry, in seconds.

        Parameters
        ----------
        attempt_number : int
            1 for the first retry.
        """
        # The bounded exponent keeps the power from overflowing.
        doublings = min(max(attempt_number - 1, 0), 16)
        bound_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**doublings)
        return self.rng.uniform(bound_s / 2, bound_s)

    def _bucket(self, now):
        self._expire(now)
        if not self.buckets or now - self.buckets[-1].started_at >= BUCKET_S:
            self.buckets.append(Bucket(now))
        return self.buckets[-1]

    def _expire(self, now):
        while self.buckets and now - self.buckets[0].started_at >= WINDOW_S:
            old = self.buckets.popleft()
            self.successes -= old.successes
            self.retries -= old.retries
            self.attempts -= old.attempts
            self.shed -= old.shed
