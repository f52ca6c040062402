"""Distribution of the latencies of a service's recent good answers."""

from bisect import bisect_right
from collections import deque

# Enough for a stable 98th percentile, few enough to track a change within seconds.
MAX_SAMPLES = 300
# With fewer samples, estimates are derived from the latency objective of the route.
MIN_SAMPLES = 30
# Samples between two sorts, so that a lookup needs no sort.
SORT_INTERVAL_SAMPLES = 10
# Typical latency as a share of the objective, used until samples exist.
TYPICAL_SHARE_OF_OBJECTIVE = 0.3
DEFAULT_OBJECTIVE_S = 0.5
# Weight of a new sample in the moving average of the service time, which adapts
# within some seconds.
SERVICE_TIME_GAIN = 0.05


class LatencySample:
    """Latencies of the last good answers that any host of the fleet got."""

    def __init__(self):
        self.recent = deque(maxlen=MAX_SAMPLES)
        self.sorted_samples = []
        self.unsorted_count = 0
        self.objective_s = DEFAULT_OBJECTIVE_S
        self.mean_service_time_s = None

    def add(self, latency_s):
        """Add one latency in seconds."""
        self.recent.append(latency_s)
        self.unsorted_count += 1
        if self.unsorted_count >= SORT_INTERVAL_SAMPLES:
            self.sorted_samples = sorted(self.recent)
            self.unsorted_count = 0

    def add_service_time(self, latency_s):
        """Add the latency of a request that did not wait at its target."""
        if self.mean_service_time_s is None:
            self.mean_service_time_s = self.service_s
        change = latency_s - self.mean_service_time_s
        self.mean_service_time_s += SERVICE_TIME_GAIN * change

    @property
    def service_s(self):
        """Mean seconds that a request takes at a target with a free slot.

        Latencies include queueing time, which an estimate of the wait would count
        twice.
        """
        if self.mean_service_time_s is not None:
            return self.mean_service_time_s
        return self.objective_s * TYPICAL_SHARE_OF_OBJECTIVE

    @property
    def has_enough_samples(self):
        """Whether there are enough samples to estimate the distribution."""
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
