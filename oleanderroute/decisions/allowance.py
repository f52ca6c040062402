"""How often one host may send requests again, so that all hosts keep one bound."""

from collections import deque

# Left unused, because hosts may be counted late and windows slide.
SAFETY_SHARE = 0.85


class RepeatAllowance:
    """Bounds the repeated sends to one service in a sliding window.

    Every host may repeat a share of its own requests and has a part of the fixed
    allowance. The sum over all hosts then stays below the bound of the fleet,
    without any message between them, also while hosts are cut off.

    Parameters
    ----------
    ratio : float
        Repeated sends per request, of all hosts together.
    allowance : float
        Repeated sends that are free in each window, of all hosts together.
    window_s : float
    """

    def __init__(self, ratio, allowance, window_s):
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.requests = deque()
        self.repeats = deque()

    def record_request(self, now):
        """Count a request of a caller for the service."""
        self.requests.append(now)

    def remaining(self, hosts, now):
        """Return how many repeats this host may still send.

        Parameters
        ----------
        hosts : int
            Hosts that share the allowance.
        now : float
            Monotonic seconds.
        """
        self.forget(now)
        own = self.ratio * len(self.requests) + self.allowance / max(1, hosts)
        return SAFETY_SHARE * own - len(self.repeats)

    def spend(self, hosts, now):
        """Count one repeat if it is allowed, and tell whether it is."""
        if self.remaining(hosts, now) < 1.0:
            return False
        self.repeats.append(now)
        return True

    def forget(self, now):
        """Drop what has left the window."""
        oldest = now - self.window_s
        while self.requests and self.requests[0] <= oldest:
            self.requests.popleft()
        while self.repeats and self.repeats[0] <= oldest:
            self.repeats.popleft()
