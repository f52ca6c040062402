"""Tells a queue that stands from one that a burst leaves and that drains by itself.

While more requests arrive than targets can serve, waiting requests only make all later
ones late: as many have to be refused in the end, by full targets. A queue that has
stood for a while is therefore not let grow.
"""

# A request that would wait longer than this share of its objective is likely late:
# the rest of the objective is what a slow request takes.
MAX_WAIT_SHARE = 0.3
# Bursts of the brief last some hundred milliseconds; what stands longer does not drain.
CONFIRMATION_INTERVAL_S = 1.0


class StandingQueue:
    """Follows the least wait among the sound targets of a service.

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
        """Take the wait that a new request would have; tell whether to refuse it.

        Parameters
        ----------
        wait_s : float
            Least expected wait among the sound targets.
        objective_s : float
            Of the request.
        now : float
            Monotonic seconds.
        """
        is_long = wait_s > MAX_WAIT_SHARE * objective_s
        if now - self.last_observed_at > CONFIRMATION_INTERVAL_S:
            # What happened in between is not known.
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
