"""Sends of other hosts to one target that have no reported end."""


class OpenSends:
    """Open sends of other hosts to one target.

    A send counts until its end is reported, at most for the longest time-out of a
    request, so that a lost report of an end does not block the target for good.

    Attributes
    ----------
    started_at : dict
        Start times in monotonic seconds, by host id and send number.
    timeout_s : float
        Longest time for which a send may be open.
    """

    __slots__ = ("started_at", "timeout_s")

    def __init__(self, timeout_s):
        self.started_at = {}
        self.timeout_s = timeout_s

    def start(self, send, started_at, now):
        """Count a send and drop the oldest ones that have timed out."""
        sends = self.started_at
        sends[send] = started_at
        expired_at = now - self.timeout_s
        while sends:
            oldest = next(iter(sends))
            if sends[oldest] > expired_at:
                break
            del sends[oldest]

    def end(self, send):
        """Remove a send that has ended."""
        self.started_at.pop(send, None)

    def count(self, now):
        """Return how many sends are open."""
        if not self.started_at:
            return 0
        expired_at = now - self.timeout_s
        count = 0
        for started_at in self.started_at.values():
            if started_at > expired_at:
                count += 1
        return count

    def count_older(self, age_s, now):
        """Return how many sends have been open for longer than ``age_s`` seconds."""
        expired_at = now - self.timeout_s
        count = 0
        for started_at in self.started_at.values():
            if expired_at < started_at < now - age_s:
                count += 1
        return count
