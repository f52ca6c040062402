"""Sliding windows over the outcomes of one target and request class.

Time is divided into slices of ``SLICE_S``. A window of n slices holds the current
slice and the n - 1 before it. Its totals are updated when slices are added and
expire, so reading them needs no computation.
"""

import math
from collections import deque

from ..outcome import AttemptKind

SLICE_S = 0.5
# The short window detects sudden faults; the long one detects partial faults and
# those of services with little traffic.
WINDOW_LENGTHS_S = (2.0, 10.0, 60.0)
# Adjacent histogram buckets differ by 10%, which bounds the error of a quantile.
LOG_BUCKET_WIDTH = math.log(1.1)
LATENCY_FLOOR_S = 0.0001
HARD_KINDS = frozenset(
    {AttemptKind.CONNECT_FAILED, AttemptKind.TIMEOUT, AttemptKind.BROKEN}
)
# A run of failures ends after a longer gap, because it is too old to count.
MAX_RUN_GAP_S = 60.0


def latency_bucket(latency_s):
    """Return the logarithmic histogram bucket of a latency in seconds."""
    if latency_s <= LATENCY_FLOOR_S:
        return 0
    return 1 + int(math.log(latency_s / LATENCY_FLOOR_S) / LOG_BUCKET_WIDTH)


def bucket_bound_s(bucket):
    """Return the upper bound of a histogram bucket in seconds."""
    return LATENCY_FLOOR_S * math.exp(bucket * LOG_BUCKET_WIDTH)


class OutcomeCounts:
    """Counts of outcomes by kind, and a latency histogram of the successes.

    Attributes
    ----------
    by_kind : list of int
        Attempts by `AttemptKind`; a sampled success counts with its weight.
    ok_samples : int
        Observed successes, each counted once whatever its weight.
    latency_histogram : dict of int to int
        Weight of the successes by histogram bucket.
    """

    __slots__ = ("by_kind", "ok_samples", "latency_histogram")

    def __init__(self):
        self.by_kind = [0] * len(AttemptKind)
        self.ok_samples = 0
        self.latency_histogram = {}

    def add(self, kind, bucket, weight):
        """Count an outcome; ``bucket`` is the histogram bucket of a success."""
        self.by_kind[kind] += weight
        if kind is not AttemptKind.OK:
            return
        self.ok_samples += 1
        self.latency_histogram[bucket] = self.latency_histogram.get(bucket, 0) + weight

    def subtract(self, other):
        """Subtract the counts of ``other``, which were added before."""
        for kind, count in enumerate(other.by_kind):
            self.by_kind[kind] -= count
        self.ok_samples -= other.ok_samples
        for bucket, weight in other.latency_histogram.items():
            left = self.latency_histogram[bucket] - weight
            if left:
                self.latency_histogram[bucket] = left
            else:
                del self.latency_histogram[bucket]

    def quantile_s(self, share):
        """Return the latency in seconds below which ``share`` of successes lie.

        Returns None without a success.
        """
        total = self.by_kind[AttemptKind.OK]
        if total == 0:
            return None
        wanted = share * total
        seen = 0
        for bucket in sorted(self.latency_histogram):
            seen += self.latency_histogram[bucket]
            if seen >= wanted:
                return bucket_bound_s(bucket)
        return bucket_bound_s(max(self.latency_histogram))

    def share_above(self, limit_s):
        """Return the share of successes in buckets above that of ``limit_s``."""
        total = self.by_kind[AttemptKind.OK]
        if total == 0:
            return 0.0
        limit = latency_bucket(limit_s)
        above = 0
        for bucket, weight in self.latency_histogram.items():
            if bucket > limit:
                above += weight
        return above / total


class TimeSlice:
    """Outcome counts of one slice of time."""

    __slots__ = ("index", "counts")

    def __init__(self, index):
        self.index = index
        self.counts = OutcomeCounts()


class SlidingWindow:
    """Totals over the latest slices.

    Parameters
    ----------
    length_s : float
        Length in seconds, a multiple of ``SLICE_S``.
    """

    __slots__ = ("length_s", "slice_count", "slices", "total")

    def __init__(self, length_s):
        self.length_s = length_s
        self.slice_count = round(length_s / SLICE_S)
        self.slices = deque()
        self.total = OutcomeCounts()

    def expire(self, index):
        """Drop the slices that lie outside the window ending in slice ``index``."""
        oldest = index - self.slice_count + 1
        while self.slices and self.slices[0].index < oldest:
            self.total.subtract(self.slices.popleft().counts)


class OutcomeWindows:
    """All windows of one target and request class, and its run of hard failures.

    Attributes
    ----------
    windows : tuple of SlidingWindow
        By increasing length; the windows share their slices.
    hard_run : int
        Hard failures since the last other outcome.
    failure_run : int
        Failures of any kind since the last success.
    run_kinds : set of AttemptKind
        Kinds of the failures of the run.
    """

    def __init__(self):
        self.windows = tuple(SlidingWindow(length) for length in WINDOW_LENGTHS_S)
        self.current_slice = None
        self.hard_run = 0
        self.failure_run = 0
        self.run_kinds = set()
        self.last_run_failure_at = -math.inf
        self.hard_run_ended_at = -math.inf
        self.last_success_at = -math.inf

    def observe(self, kind, latency_s, weight, now):
        """Count an outcome at monotonic time ``now`` in seconds."""
        self.advance(now)
        index = int(now / SLICE_S)
        if self.current_slice is None or index > self.current_slice.index:
            self.current_slice = TimeSlice(index)
            for window in self.windows:
                window.slices.append(self.current_slice)
        bucket = latency_bucket(latency_s) if kind is AttemptKind.OK else 0
        self.current_slice.counts.add(kind, bucket, weight)
        for window in self.windows:
            window.total.add(kind, bucket, weight)
        self._follow_run(kind, weight, now)

    def advance(self, now):
        """Expire slices and the run of failures that are too old at ``now``."""
        index = int(now / SLICE_S)
        for window in self.windows:
            window.expire(index)
        if self.current_slice is not None and not self.windows[-1].slices:
            self.current_slice = None
        if now - self.last_run_failure_at > MAX_RUN_GAP_S:
            self._end_run()

    def _end_run(self):
        self.hard_run = 0
        self.failure_run = 0
        self.run_kinds.clear()

    def _follow_run(self, kind, weight, now):
        # A report gives counts without their order. Outcomes that arrive together
        # extend a run only if none of them ends it.
        if kind is AttemptKind.OK:
            self._end_run()
            self.last_success_at = now
            return
        if now <= self.last_success_at:
            return
        self.failure_run += weight
        self.run_kinds.add(kind)
        self.last_run_failure_at = now
        if kind not in HARD_KINDS:
            self.hard_run = 0
            self.hard_run_ended_at = now
        elif now > self.hard_run_ended_at:
            self.hard_run += weight
