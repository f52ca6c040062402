"""Expected work of the requests of each route at a service.

Work is the time that a request occupies a slot. Only sends that found a free slot show
it, as the time of the others includes a wait. Memory is bounded by the number of routes
kept for a service times the number of samples kept for a route.
"""

from bisect import bisect_right
from collections import OrderedDict, deque

# Enough for a 5% quantile that is not the minimum.
MAX_SAMPLES = 60
# With fewer samples a route is taken to be like its whole service.
MIN_SAMPLES = 20
SORT_INTERVAL_SAMPLES = 5
# The route without a sample for longest is dropped beyond this number.
MAX_ROUTES = 64
# A request with less time left than this share of its route's requests took can't be
# expected to end in time.
HOPELESS_SHARE = 0.05
# Refusals for too little time rest on samples at most this old. Without this limit,
# refused requests could never show that their work has become shorter.
MAX_SAMPLE_AGE_S = 30.0


class WorkSample:
    """Work of the last requests of one kind that found a free slot."""

    def __init__(self):
        self.recent = deque(maxlen=MAX_SAMPLES)
        self.sorted_samples = []
        self.unsorted_count = 0
        self.mean_s = 0.0
        self.added_at = float("-inf")

    def add(self, work_s, now):
        """Add the work of one request in seconds."""
        self.recent.append(work_s)
        self.added_at = now
        self.unsorted_count += 1
        if self.unsorted_count >= SORT_INTERVAL_SAMPLES:
            self.sorted_samples = sorted(self.recent)
            self.mean_s = sum(self.sorted_samples) / len(self.sorted_samples)
            self.unsorted_count = 0

    @property
    def has_enough_samples(self):
        """Whether there are enough samples for an estimate."""
        return len(self.sorted_samples) >= MIN_SAMPLES

    def share_within(self, limit_s):
        """Return the share of requests whose work was at most ``limit_s``."""
        return bisect_right(self.sorted_samples, limit_s) / len(self.sorted_samples)

    def quantile(self, share):
        """Return the work that ``share`` of the requests stay below."""
        return self.sorted_samples[int(share * len(self.sorted_samples))]


class WorkEstimate:
    """Expected work of the routes of one service."""

    def __init__(self):
        self.service = WorkSample()
        self.routes = OrderedDict()

    def add(self, route_id, work_s, now):
        """Add the work of a request that found a free slot."""
        self.service.add(work_s, now)
        sample = self.routes.get(route_id)
        if sample is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.popitem(last=False)
            sample = self.routes[route_id] = WorkSample()
        self.routes.move_to_end(route_id)
        sample.add(work_s, now)

    def sample_of(self, route_id):
        """Return the sample of a route, else of its service, else None."""
        sample = self.routes.get(route_id)
        if sample is not None and sample.has_enough_samples:
            return sample
        return self.service if self.service.has_enough_samples else None

    def mean_s(self, route_id, default_s):
        """Return the mean work of a route's requests in seconds.

        Parameters
        ----------
        default_s : float
            Mean service time, for a service with few samples.
        """
        sample = self.sample_of(route_id)
        return default_s if sample is None else sample.mean_s

    def is_hopeless(self, route_id, time_left_s, now):
        """Tell whether a request is almost certain to exceed its time limit.

        Only recent samples of the same route count: other routes of the service may
        need more work.
        """
        sample = self.routes.get(route_id)
        if sample is None or not sample.has_enough_samples:
            return False
        if now - sample.added_at > MAX_SAMPLE_AGE_S:
            return False
        return time_left_s < sample.quantile(HOPELESS_SHARE)


class WorkEstimates:
    """The ``WorkEstimate`` of each service."""

    def __init__(self):
        self.by_service = {}

    def of(self, service):
        """Return the ``WorkEstimate`` of a service."""
        estimate = self.by_service.get(service)
        if estimate is None:
            estimate = self.by_service[service] = WorkEstimate()
        return estimate
