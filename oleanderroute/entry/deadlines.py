"""Coarse shared timer for the deadlines of many connections."""

import asyncio

# The timer stops after this many rounds without members. Stopping it at once would
# restart it for each request on a host with few requests.
MAX_EMPTY_ROUNDS = 40
# A round that runs later than this checks no deadlines. After a pause of the process,
# timers run before the sockets are read, so targets whose answers have already arrived
# would be counted as silent.
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
        Seconds between two rounds, which is the resolution of the deadlines.
    """

    def __init__(self, clock, interval_s):
        self.clock = clock
        self.interval_s = interval_s
        self.members = set()
        self.timer = None
        self.scheduled_at = 0.0
        self.empty_rounds = 0

    def add(self, member):
        """Add ``member`` to the sweep; starts the timer if needed."""
        self.members.add(member)
        if self.timer is None:
            self.arm()

    def discard(self, member):
        """Remove ``member`` from the sweep."""
        self.members.discard(member)

    def arm(self):
        """Start the timer for the next round."""
        loop = asyncio.get_running_loop()
        self.scheduled_at = self.clock.now() + self.interval_s
        self.timer = loop.call_later(self.interval_s, self.run_round)

    def run_round(self):
        """Check all deadlines unless the round is late; schedules the next round."""
        now = self.clock.now()
        if now <= self.scheduled_at + MAX_ROUND_DELAY_S:
            self.check(now)
        self.empty_rounds = 0 if self.members else self.empty_rounds + 1
        if self.empty_rounds > MAX_EMPTY_ROUNDS:
            self.timer = None
            return
        self.arm()

    def check(self, now):
        """Notify the members whose deadline has passed at ``now``."""
        for member in tuple(self.members):
            if member.deadline <= now:
                member.deadline_passed(now)

    def close(self):
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.members.clear()
