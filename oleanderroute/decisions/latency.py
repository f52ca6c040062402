"""Distribution of the recent latencies of a service's good answers."""

from bisect import bisect_right
from collections import deque

# Enough for a stable 98th percentile, few enough to follow a change in seconds.
MAX_SAMPLES = 300
# Below this many samples the objective of the route stands in for them.
MIN_SAMPLES = 30
# Samples between two sorts; a lookup then needs no sort of its own.
SORT_INTERVAL_SAMPLES = 10
# Without samples, a typical answer takes this share of the objective.
TYPICAL_SHARE_OF_OBJECTIVE = 0.3
DEFAULT_OBJECTIVE_S = 0.5
# Share of a new sample in the mean time of service; it follows within some seconds.
SERVICE_TIME_GAIN = 0.05


class LatencySample:
    """The latencies of the last good answers, as seen by the fleet."""

    def __init__(self):
        self.recent = deque(maxlen=MAX_SAMPLES)
        self.sorted_samples = []
        self.unsorted_count = 0
        self.objective_s = DEFAULT_OBJECTIVE_S
        self.mean_service_time_s = None

    def add(self, latency_s):
        """Take one latency in seconds."""
        self.recent.append(latency_s)
        self.unsorted_count += 1
        if self.unsorted_count >= SORT_INTERVAL_SAMPLES:
            self.sorted_samples = sorted(self.recent)
            self.unsorted_count = 0

    def add_service_time(self, latency_s):
        """Take the latency of a request that did not wait at its target."""
        if self.mean_service_time_s is None:
            self.mean_service_time_s = self.service_s
        change = latency_s - self.mean_service_time_s
        self.mean_service_time_s += SERVICE_TIME_GAIN * change

    @property
    def service_s(self):
        """Mean seconds that a request takes at a target with a free slot.

        Latencies also hold the time in queues, which would be counted twice by an
        estimate of the queue.
        """
        if self.mean_service_time_s is not None:
            return self.mean_service_time_s
        return self.objective_s * TYPICAL_SHARE_OF_OBJECTIVE

    @property
    def has_enough_samples(self):
        """Whether there are enough samples to speak of a distribution."""
        return len(self.sorted_samples) >= MIN_SAMPLES

    def quantile(self, share):
        """Return the latency in seconds that ``share`` of the answers stay below."""
        if not self.has_enough_samples:
            scale = self.objective_s * TYPICAL_SHARE_OF_OBJECTIVE
            return scale * (1.0 + 4.0 * max(0.0, share - 0.5))
        index = min(len(self.sorted_samples) - 1, int(share * len(self.sorted_samples)))
        return self.sorted_samples[index]

    def share_above(self, latency_s):
        """Return the share of answers that took longer than ``latency_s``."""
        if not self.has_enough_samples:
            typical_s = self.objective_s * TYPICAL_SHARE_OF_OBJECTIVE
            return min(1.0, max(0.01, 1.0 - latency_s / (3.0 * typical_s)))
        above = len(self.sorted_samples) - bisect_right(self.sorted_samples, latency_s)
        return above / len(self.sorted_samples)
