"""One coarse timer for the deadlines of many connections."""

import asyncio

# The timer goes on for this many empty rounds. Without that, a host with few
# requests would start and stop the timer for each of them.
MAX_EMPTY_ROUNDS = 40
# A round that is later than this judges nobody. After a pause of the process, timers
# run before the sockets are read, so answers that are already there would be missed
# and their targets counted as silent.
MAX_ROUND_DELAY_S = 0.2


class DeadlineSweep:
    """Checks the ``deadline`` of its members at a fixed interval.

    A member has the attribute ``deadline`` (monotonic seconds, ``inf`` for none) and
    the method ``deadline_passed(now)``. Changing a deadline is an assignment, which
    is much cheaper than a timer for each request.

    Parameters
    ----------
    clock : Clock
    interval_s : float
        Seconds between two rounds, and so the error of each deadline.
    """

    def __init__(self, clock, interval_s):
        self.clock = clock
        self.interval_s = interval_s
        self.members = set()
        self.timer = None
        self.scheduled_at = 0.0
        self.empty_rounds = 0

    def add(self, member):
        """Watch ``member``."""
        self.members.add(member)
        if self.timer is None:
            self.arm()

    def discard(self, member):
        """Watch ``member`` no longer."""
        self.members.discard(member)

    def arm(self):
        """Start the timer for the next round."""
        loop = asyncio.get_running_loop()
        self.scheduled_at = self.clock.now() + self.interval_s
        self.timer = loop.call_later(self.interval_s, self.run_round)

    def run_round(self):
        """Tell the members whose deadline passed, and start the next round."""
        now = self.clock.now()
        if now <= self.scheduled_at + MAX_ROUND_DELAY_S:
            self.check(now)
        self.empty_rounds = 0 if self.members else self.empty_rounds + 1
        if self.empty_rounds > MAX_EMPTY_ROUNDS:
            self.timer = None
            return
        self.arm()

    def check(self, now):
        """Tell the members whose deadline passed at ``now``."""
        for member in tuple(self.members):
            if member.deadline <= now:
                member.deadline_passed(now)

    def close(self):
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.members.clear()
