"""Share of a link that the traffic between hosts may use."""

LINK_SHARE = 0.5
# Traffic of this time at the permitted rate may be sent at once.
BURST_S = 0.2
BYTES_PER_MBIT = 125_000


class LinkBudget:
    """A token bucket of bytes; sending may overdraw it, and then has to wait.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link in Mbit/s; 0 if it is not known, which limits nothing.
    now : float
        Monotonic seconds.
    """

    def __init__(self, link_mbps, now):
        self.bytes_per_s = LINK_SHARE * link_mbps * BYTES_PER_MBIT
        self.tokens = BURST_S * self.bytes_per_s
        self.updated_at = now

    def spend(self, size, now):
        """Take ``size`` bytes from the bucket."""
        earned = (now - self.updated_at) * self.bytes_per_s
        self.tokens = min(BURST_S * self.bytes_per_s, self.tokens + earned) - size
        self.updated_at = now

    def wait_s(self, now):
        """Return the seconds until the bucket is no longer overdrawn."""
        if self.bytes_per_s <= 0.0:
            return 0.0
        refilled_at = self.updated_at - self.tokens / self.bytes_per_s
        return max(0.0, refilled_at - now)
