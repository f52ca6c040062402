"""Restrictions that targets put on their callers by headers of their answers.

A target that will stop says so, and a target that turned a request away may name a
time in which it wants no other request. Both bind the host that got the answer, for as
long as the target's process lives, whatever the store lists meanwhile.
"""

from dataclasses import dataclass
from math import isfinite

# Longest time for which a target is left alone after one answer.
MAX_PAUSE_S = 300.0
# Processes whose restrictions are kept; the oldest entry is dropped first.
MAX_PROCESSES = 20_000


def parse_pause_s(hint):
    """Return the seconds that a ``Retry-After`` header names, or None.

    Parameters
    ----------
    hint : bytes
        May hold a fraction.

    Returns
    -------
    float or None
        At most ``MAX_PAUSE_S``; None unless the header is a number above zero.
    """
    try:
        seconds = float(hint)
    except ValueError:
        return None
    if not isfinite(seconds) or seconds <= 0.0:
        return None
    return min(MAX_PAUSE_S, seconds)


@dataclass(slots=True)
class Restriction:
    """What one process of a target asked for.

    Attributes
    ----------
    is_leaving : bool
    paused_until : float
        Monotonic seconds.
    """

    is_leaving: bool = False
    paused_until: float = float("-inf")


class TargetRestrictions:
    """Restrictions by process of a target, kept also while it is not registered.

    A process is named by the id of its target and by its start in Unix milliseconds.
    """

    def __init__(self):
        self.by_process = {}

    def of(self, target_id, started_ms):
        """Return the ``Restriction`` of a process, a new one if needed."""
        process = (target_id, started_ms)
        found = self.by_process.get(process)
        if found is None:
            if len(self.by_process) >= MAX_PROCESSES:
                del self.by_process[next(iter(self.by_process))]
            found = self.by_process[process] = Restriction()
        return found

    def mark_leaving(self, target_id, started_ms):
        """Record that a process will stop; return whether that is new."""
        found = self.of(target_id, started_ms)
        is_new = not found.is_leaving
        found.is_leaving = True
        return is_new

    def pause(self, target_id, started_ms, pause_s, now):
        """Leave a process alone for some seconds."""
        found = self.of(target_id, started_ms)
        found.paused_until = max(found.paused_until, now + pause_s)

    def forbids(self, target_id, started_ms, now):
        """Tell whether a process may get no request now."""
        found = self.by_process.get((target_id, started_ms))
        return found is not None and (found.is_leaving or now < found.paused_until)

    def is_leaving(self, target_id, started_ms):
        """Tell whether a process said that it will stop."""
        found = self.by_process.get((target_id, started_ms))
        return found is not None and found.is_leaving

    def pause_s(self, target_id, started_ms, now):
        """Return the remaining seconds of a pause, 0 without one."""
        found = self.by_process.get((target_id, started_ms))
        if found is None or found.is_leaving:
            return 0.0
        return max(0.0, found.paused_until - now)
