"""Counts the sends of other hosts whose findings never arrived."""

# Findings of one host may arrive in another order than they were sent. A number that
# is lower by more than this comes from a restarted process.
MAX_REORDERING = 64


class NumberRange:
    """Numbers of one host's sends, from the first that was seen."""

    def __init__(self, number):
        self.first = number
        self.highest = number
        self.seen = 1

    def missing(self):
        """Return how many numbers of the range were not seen."""
        return max(0, self.highest - self.first + 1 - self.seen)


class SendGaps:
    """Finds gaps in the consecutive numbers that each host gives its sends.

    Attributes
    ----------
    closed : int
        Gaps of processes that have been replaced since.
    """

    def __init__(self):
        self.ranges = {}
        self.closed = 0

    def record(self, host_id, number):
        """Record that the start of a send of another host was seen."""
        known = self.ranges.get(host_id)
        if known is None or number < known.highest - MAX_REORDERING:
            self.closed += known.missing() if known else 0
            self.ranges[host_id] = NumberRange(number)
            return
        known.seen += 1
        known.highest = max(known.highest, number)

    def total(self):
        """Return the number of sends since the start that were not seen."""
        total = self.closed
        for known in self.ranges.values():
            total += known.missing()
        return total
