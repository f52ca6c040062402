"""Finds a replica that lacks changes although its revision says that it has them.

Such a host serves the older state until the next change of the same key: for it,
nothing is missing. It shows only when hosts at one revision compare their digests.
"""

# Time without an agreement until a hub reads the items. Hubs hear of several others, of
# which one may be wrong.
HUB_DIFFERENCE_TIMEOUT_S = 0.3
# The same for other hosts; longer, so that a wrong hub is right again before its
# members read the items as well.
DIFFERENCE_TIMEOUT_S = 0.6
# Pause after a listing, in case that it is the other host that has to read the items.
LISTING_PAUSE_S = 5.0


class ReplicaAgreement:
    """Outcome of the comparisons with other hosts at the same revision.

    Attributes
    ----------
    differs_since : float or None
        Since when, in monotonic seconds, each comparison has found a difference.
    found : int
        Differences since the start that lasted for the timeout.
    """

    def __init__(self):
        self.differs_since = None
        self.found = 0
        self.paused_until = float("-inf")

    def compare(self, is_same, is_hub, now):
        """Record a comparison and tell whether to read the items from the store.

        Parameters
        ----------
        is_same : bool
            Whether the digests of both hosts are the same.
        is_hub : bool
            Whether this host is a hub.
        now : float
            Monotonic seconds.
        """
        if is_same:
            self.differs_since = None
            return False
        if self.differs_since is None:
            self.differs_since = now
        timeout_s = HUB_DIFFERENCE_TIMEOUT_S if is_hub else DIFFERENCE_TIMEOUT_S
        if now < self.paused_until or now - self.differs_since < timeout_s:
            return False
        self.paused_until = now + LISTING_PAUSE_S
        self.differs_since = None
        self.found += 1
        return True
