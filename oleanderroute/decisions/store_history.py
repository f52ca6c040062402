"""Positions in the histories of the platform's store.

The store numbers its changes. If it comes back from an older copy, it loses the changes
since that copy and gives their numbers out again: another history has begun, with an
era of its own. Eras only rise. A number means nothing without its era, so both are
kept, sent and compared as one `StoreRevision`.

A receiver may conclude from a message at

- an earlier history: nothing about the store. Its sender has not heard of the later
  one, or the message was late.
- the same history: what the numbers say, see ``replica.py``.
- a later history: that all items have to be read anew, from its sender or the store.
  Which states of the earlier history still hold is decided in ``kept_states.py``.

A store that names no era, and a host of a version that knows none, has the era 0.
"""

from typing import NamedTuple

from ..ids import Era

UNNAMED_ERA = Era(0)


class StoreRevision(NamedTuple):
    """A change of the store; ordered by era, then by number."""

    era: Era
    number: int

    def is_in_later_history(self, other):
        """Tell whether this revision belongs to a later history than another."""
        return self.era > other.era

    def is_in_same_history(self, other):
        """Tell whether the numbers of this revision and another can be compared."""
        return self.era == other.era

    def follows(self, other):
        """Tell whether this revision is later than another of the same history."""
        return self.era == other.era and self.number > other.number

    def was_followed_at(self, earlier):
        """Tell whether a replica at an earlier revision has followed this change.

        Valid for a change that the copy of the later history holds: the histories have
        all changes up to that copy in common.
        """
        return self.number <= earlier.number

    def is_copied_from(self, other):
        """Tell whether the change of ``other`` is in the copy that this one is from.

        Valid for a key that only one host writes: it has not written it again since.
        """
        return self.era > other.era and self.number == other.number


# Of a host that has read nothing yet.
NO_REVISION = StoreRevision(UNNAMED_ERA, 0)


class StoreLease(NamedTuple):
    """A lease and the history in which the store gave out its number."""

    era: Era
    number: int
