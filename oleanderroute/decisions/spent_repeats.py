"""What hosts record of the repeats of their fleet, for hosts that start later.

The targets count the repeats of a window whatever happens to the hosts, but a process
that starts knows none of them. The hosts therefore record outside themselves how many
repeats they may have sent. A record is ahead of what it covers by up to one step, so
that it is written seldom, and before the repeats that it covers are sent.
"""

from dataclasses import dataclass
from math import ceil

# Steps of a record in the limit on repeats. Without a record, about one step was spent
# at most, which fits the part of the limit that hosts leave unused.
STEPS = 8
START_STEPS = 1.0
LEAD_STEPS = 0.5
# A record that covers this many steps more than what is counted is lowered.
MAX_EXCESS_STEPS = 2.0
# A record is ended well below the count at which it begins, so that it is not begun and
# ended again and again.
END_STEPS = 0.5
MIN_STEP = 4.0


@dataclass(frozen=True, slots=True)
class SpentRepeats:
    """Sends of all hosts to one service in a window.

    Attributes
    ----------
    first_sends : int
    repeats : int
        An upper bound.
    """

    first_sends: int = 0
    repeats: int = 0


NOTHING_SPENT = SpentRepeats()


def repeats_to_record(recorded, counted, limit):
    """Return how many repeats a record must cover.

    Parameters
    ----------
    recorded : int
        What it covers now; 0 without a record.
    counted : int
        Repeats of all hosts in the window.
    limit : float
        Repeats that all hosts may send in a window.
    """
    step = max(MIN_STEP, limit / STEPS)
    lead = LEAD_STEPS * step
    if counted < step * (END_STEPS if recorded else START_STEPS):
        return 0
    is_short = counted + lead > recorded
    is_excessive = recorded - counted > MAX_EXCESS_STEPS * step
    if not is_short and not is_excessive:
        return recorded
    return ceil(step * ceil((counted + lead) / step))


def merge_spent(records):
    """Return, by service, the most that any of several records names.

    Parameters
    ----------
    records : iterable of dict of ServiceName to SpentRepeats
    """
    merged = {}
    for record in records:
        for service, spent in record.items():
            other = merged.get(service, NOTHING_SPENT)
            merged[service] = SpentRepeats(
                max(spent.first_sends, other.first_sends),
                max(spent.repeats, other.repeats),
            )
    return merged
