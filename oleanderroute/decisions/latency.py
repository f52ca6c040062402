"""Distribution of the recent latencies of a service's good answers."""

from bisect import bisect_right
from collections import deque

# Enough for a stable 98th percentile, few enough to follow a change in seconds.
SAMPLES = 300
# Below this many samples the objective of the route stands in for them.
MIN_SAMPLES = 30
# Samples between two sorts; a lookup then needs no sort of its own.
SORT_EVERY = 10
# Without samples, a typical answer takes this share of the objective.
TYPICAL_SHARE_OF_OBJECTIVE = 0.3
DEFAULT_OBJECTIVE_S = 0.5
# Share of a new sample in the mean time of service; it follows within some seconds.
SERVICE_SAMPLE_SHARE = 0.05


class LatencySample:
    """The latencies of the last good answers, as seen by the fleet."""

    def __init__(self):
        self.recent = deque(maxlen=SAMPLES)
        self.ordered = []
        self.unsorted = 0
        self.objective_s = DEFAULT_OBJECTIVE_S
        self.mean_service_s = None

    def add(self, latency_s):
        """Take one latency in seconds."""
        self.recent.append(latency_s)
        self.unsorted += 1
        if self.unsorted >= SORT_EVERY:
            self.ordered = sorted(self.recent)
            self.unsorted = 0

    def add_service(self, latency_s):
        """Take the latency of a request that did not wait at its target."""
        if self.mean_service_s is None:
            self.mean_service_s = self.service_s
        change = latency_s - self.mean_service_s
        self.mean_service_s += SERVICE_SAMPLE_SHARE * change

    @property
    def service_s(self):
        """Mean seconds that a request takes at a target with a free slot.

        Latencies also hold the time in queues, which would be counted twice by an
        estimate of the queue.
        """
        if self.mean_service_s is not None:
            return self.mean_service_s
        return self.objective_s * TYPICAL_SHARE_OF_OBJECTIVE

    @property
    def is_known(self):
        """Whether there are enough samples to speak of a distribution."""
        return len(self.ordered) >= MIN_SAMPLES

    def quantile(self, share):
        """Return the latency in seconds that ``share`` of the answers stay below."""
        if not self.is_known:
            scale = self.objective_s * TYPICAL_SHARE_OF_OBJECTIVE
            return scale * (1.0 + 4.0 * max(0.0, share - 0.5))
        index = min(len(self.ordered) - 1, int(share * len(self.ordered)))
        return self.ordered[index]

    def share_above(self, latency_s):
        """Return the share of answers that took longer than ``latency_s``."""
        if not self.is_known:
            typical_s = self.objective_s * TYPICAL_SHARE_OF_OBJECTIVE
            return min(1.0, max(0.01, 1.0 - latency_s / (3.0 * typical_s)))
        above = len(self.ordered) - bisect_right(self.ordered, latency_s)
        return above / len(self.ordered)
