"""Floor of a service: most of its targets stay in use while its requests fail.

Requests that may run only once go to the targets that did well last. Without a request
nothing shows that another target has recovered, so that a service whose requests all
run only once would lose one target after the other.
"""

from math import exp

# Time constant of the share of failed requests.
MEMORY_S = 0.5
# The floor costs requests, so it is kept only while more than this share of them fail.
MIN_FAILURE_SHARE = 0.09
# A target counts as used within this time after a request of any host.
USE_INTERVAL_S = 1.2
# Kept beyond the floor, as hosts see a part of the targets and of their requests. Those
# that are left out may be among the few sound targets of a small service.
MARGIN_SHARE = 0.25


class ServiceFloor:
    """Tells when and where a request has to go to keep the floor of one service.

    Parameters
    ----------
    floor_share : float
        Share of the targets that has to be in use.
    rng : random.Random
    """

    def __init__(self, floor_share, rng):
        self.floor_share = floor_share
        self.rng = rng
        self.ended = 0.0
        self.failed = 0.0
        self.updated_at = 0.0

    def record(self, is_failure, now):
        """Count a request of any host that has ended."""
        keep = exp((self.updated_at - now) / MEMORY_S)
        self.updated_at = now
        self.ended = self.ended * keep + 1.0
        self.failed = self.failed * keep + is_failure

    @property
    def failure_share(self):
        """Share of the last requests that failed."""
        return self.failed / max(1.0, self.ended)

    def choose(self, views, now):
        """Return a target that has to get a request, or None.

        Parameters
        ----------
        views : list of TargetView
            The targets of the service, or a random sample of them.
        """
        if self.failure_share < MIN_FAILURE_SHARE:
            return None
        unused = []
        weights = []
        for view in views:
            if view.staleness_s(now) < USE_INTERVAL_S:
                continue
            unused.append(view)
            # Prefers targets that are likely to have recovered.
            weights.append((1.0 - view.health.failure_probability(now)) ** 4)
        used_share = 1.0 - len(unused) / max(1, len(views))
        if not unused or used_share >= self.floor_share + MARGIN_SHARE:
            return None
        return self.rng.choices(unused, weights)[0]
