"""Sources of time, so that decisions can be tested without waiting."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic and wall-clock time."""

    @abstractmethod
    def now(self):
        """Return monotonic time in seconds. It goes on while a process is stopped."""

    @abstractmethod
    def wall(self):
        """Return Unix time in seconds."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self):
        """Return ``time.monotonic()`` in seconds."""
        return time.monotonic()

    def wall(self):
        """Return ``time.time()`` in seconds."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to, for deterministic tests.

    Parameters
    ----------
    start_s : float
        Initial monotonic time in seconds.
    wall_s : float
        Initial Unix time in seconds.
    """

    def __init__(self, start_s=1000.0, wall_s=1_800_000_000.0):
        self.monotonic_s = start_s
        self.wall_s = wall_s

    def now(self):
        """Return the current manual time in seconds."""
        return self.monotonic_s

    def wall(self):
        """Return the current manual Unix time in seconds."""
        return self.wall_s

    def advance(self, seconds):
        """Move both clocks forward by ``seconds``."""
        self.monotonic_s += seconds
        self.wall_s += seconds
