"""Detection of a standing queue, as opposed to a burst that drains by itself.

Under sustained overload a backlog delays all later requests, and full targets refuse
as many requests in the end. Requests are therefore refused early once the queue has
stood for an interval.
"""

# A request that waits longer than this share of its objective is likely to miss it:
# a slow request takes the rest of the objective.
MAX_WAIT_SHARE = 0.3
# The bursts in the requirements last some hundred milliseconds; a queue that stands
# longer does not drain.
CONFIRMATION_INTERVAL_S = 1.0


class StandingQueue:
    """Tracks the minimum wait among the healthy targets of a service.

    Attributes
    ----------
    is_standing : bool
        Whether the wait was too long for a whole interval; it ends when the wait was
        short for a whole interval.
    """

    def __init__(self):
        self.is_standing = False
        self.change_pending_since = None
        self.last_observed_at = float("-inf")

    def should_refuse(self, wait_s, objective_s, now):
        """Record the expected wait of a new request; return whether to refuse it.

        Parameters
        ----------
        wait_s : float
            Minimum expected wait among the healthy targets.
        objective_s : float
            Latency objective of the request.
        now : float
            Monotonic seconds.
        """
        is_long = wait_s > MAX_WAIT_SHARE * objective_s
        if now - self.last_observed_at > CONFIRMATION_INTERVAL_S:
            # The wait since the last observation is unknown.
            self.change_pending_since = None
        self.last_observed_at = now
        if is_long == self.is_standing:
            self.change_pending_since = None
        elif self.change_pending_since is None:
            self.change_pending_since = now
        elif now - self.change_pending_since >= CONFIRMATION_INTERVAL_S:
            self.is_standing = is_long
            self.change_pending_since = None
        return is_long and self.is_standing
