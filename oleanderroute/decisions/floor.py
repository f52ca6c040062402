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
# Kept beyond the floor, as hosts see a part of the targets and of their requests.
MARGIN_SHARE = 0.1
# While more than MIN_LASTING_FAILURE_SHARE of the requests of about two seconds fail,
# more is kept: the targets that are left out may be the few sound ones. At all times
# it would cost calm days 1 in 100 requests.
LASTING_MARGIN_SHARE = 0.25
MIN_LASTING_FAILURE_SHARE = 0.1
LASTING_MEMORY_S = 2.0


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
        self.lasting_ended = 0.0
        self.lasting_failed = 0.0
        self.updated_at = 0.0

    def record(self, is_failure, now):
        """Count a request of any host that has ended."""
        keep = exp((self.updated_at - now) / MEMORY_S)
        keep_lasting = exp((self.updated_at - now) / LASTING_MEMORY_S)
        self.updated_at = now
        self.lasting_ended = self.lasting_ended * keep_lasting + 1.0
        self.lasting_failed = self.lasting_failed * keep_lasting + is_failure
        self.ended = self.ended * keep + 1.0
        self.failed = self.failed * keep + is_failure

    @property
    def failure_share(self):
        """Share of the last requests that failed."""
        return self.failed / max(1.0, self.ended)

    @property
    def margin_share(self):
        """Share of the targets that is kept beyond the floor."""
        lasting_share = self.lasting_failed / max(1.0, self.lasting_ended)
        if lasting_share > MIN_LASTING_FAILURE_SHARE:
            return LASTING_MARGIN_SHARE
        return MARGIN_SHARE

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
        if not unused or used_share >= self.floor_share + self.margin_share:
            return None
        return self.rng.choices(unused, weights)[0]
