"""States that stay in force after the store has come back from an older copy.

The copy lacks the last changes: it may hold an older configuration, or the entry of a
target that has left since. A host therefore keeps the newest states that it knows from
the earlier history, until their writers have written them again. A state of the later
history is

- a new write if its number is above that of a listing of this history: its writer has
  written it again. It holds, unless its kind is ordered for good, as versions are.
- perhaps from the copy if not. It holds unless the kept state is newer by the order of
  its kind. If that does not tell, a target that had left or was leaving stays so.

Hosts send each other what they keep, with the lowest number of a listing that they
know. Of two states from one earlier history the later one counts; of two histories the
newer one by the order of its kind, as the later history may have it from a copy.
"""

from dataclasses import dataclass

from .replica import digest_of
from .store_history import NO_REVISION, StoreRevision


@dataclass(frozen=True, slots=True)
class StateOrder:
    """What orders the states of one key, whatever history they are from.

    Attributes
    ----------
    rank : tuple of int
        Higher for newer states; equal if the key does not tell.
    is_leaving : bool
        Whether it is a target that will stop.
    is_final : bool
        Whether no writer ever goes back to a lower rank.
    """

    rank: tuple[int, ...]
    is_leaving: bool = False
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class KeptState:
    """The newest state of a key in the earlier histories that a host has seen.

    Attributes
    ----------
    revision : StoreRevision
        Of the last write or, if the key is gone, of its removal.
    value : bytes
        The last value.
    is_gone : bool
        Whether the key was removed.
    digest : int
        Of the key and the revision.
    """

    key: str
    revision: StoreRevision
    value: bytes
    is_gone: bool
    order: StateOrder
    digest: int

    def outdates(self, found):
        """Tell whether this state is newer than one that may be from the copy.

        Parameters
        ----------
        found : StateOrder or None
            None for a value that can't be read.
        """
        if found is None:
            return self.order.is_final
        if found.rank != self.order.rank:
            return found.rank < self.order.rank
        return (self.is_gone or self.order.is_leaving) and not found.is_leaving

    def is_later_than(self, other):
        """Tell whether this state is newer than another one from earlier histories."""
        is_comparable = self.revision.is_in_same_history(other.revision)
        if self.order.is_final or not is_comparable:
            if self.order.rank != other.order.rank:
                return self.order.rank > other.order.rank
        if not is_comparable:
            ends = self.is_gone or self.order.is_leaving
            other_ends = other.is_gone or other.order.is_leaving
            if ends != other_ends:
                return ends
        return self.revision > other.revision

    def outdates_write(self, found):
        """Tell whether this state is newer than a new write of the later history."""
        if not self.order.is_final:
            return False
        return found is None or found.rank < self.order.rank


class KeptStates:
    """The states that one host keeps against the copy.

    Parameters
    ----------
    order_of : callable
        Returns the ``StateOrder`` of a key and a value, None for those that are not
        kept or can't be read.

    Attributes
    ----------
    by_key : dict of str to KeptState
    listed_at : StoreRevision
        The lowest listing of this history that is known; what is above it is not from
        the copy.
    """

    def __init__(self, order_of):
        self.order_of = order_of
        self.by_key = {}
        self.listed_at = NO_REVISION
        # The newest state of each key in the earlier histories, kept or not.
        self.earlier = {}

    def make_state(self, key, revision, value, is_gone):
        """Return a ``KeptState``, or None if the key is not one to keep."""
        order = self.order_of(key, value)
        if order is None:
            return None
        digest = digest_of(f"{revision.era} {key}", revision)
        return KeptState(key, revision, value, is_gone, order, digest)

    def enter_history(self, replica, items, listed_at):
        """Choose what to keep against a listing of a later history.

        Parameters
        ----------
        replica : StoreReplica
            Still of the earlier history.
        items : dict of str to StoreItem
            The listing.
        listed_at : StoreRevision
        """
        earlier = {}
        for item in replica.items.values():
            state = self.make_state(item.key, item.revision, item.value, False)
            if state is not None:
                earlier[item.key] = state
        for key, value in replica.last_values.items():
            state = self.make_state(key, replica.removed[key], value, True)
            if state is not None:
                earlier[key] = state
        earlier.update(self.by_key)
        self.listed_at = listed_at
        self.earlier = earlier
        self.by_key = {}
        for key, state in earlier.items():
            if self.is_newer(state, items.get(key)):
                self.by_key[key] = state

    def is_newer(self, state, item):
        """Tell whether a kept state is newer than the item of its key, None if missing.

        A target that the copy lacks may register again; one that had announced its
        leaving is gone.
        """
        if item is None:
            return not state.is_gone and not state.order.is_leaving
        found = self.order_of(item.key, item.value)
        if item.revision > self.listed_at:
            return state.outdates_write(found)
        return state.outdates(found)

    def merge(self, states, listed_at, items):
        """Add what another host keeps in the same history; return the changed keys.

        Parameters
        ----------
        states : iterable of KeptState
        listed_at : StoreRevision
        items : dict of str to StoreItem
            Of the replica.
        """
        changed = set()
        if listed_at.is_in_same_history(self.listed_at):
            self.listed_at = min(self.listed_at, listed_at)
        for state in states:
            known = self.earlier.get(state.key)
            if known is not None and not state.is_later_than(known):
                continue
            self.earlier[state.key] = state
            self.by_key[state.key] = state
            changed.add(state.key)
        for key, state in list(self.by_key.items()):
            if not self.is_newer(state, items.get(key)):
                del self.by_key[key]
                changed.add(key)
        return changed

    def hides(self, item):
        """Tell whether a change has to be passed over; else its key is not kept."""
        state = self.by_key.get(item.key)
        if state is None:
            return False
        if item.value is None:
            is_hidden = state.order.is_final
        else:
            is_hidden = self.is_newer(state, item)
        if not is_hidden:
            del self.by_key[item.key]
        return is_hidden

    def drop(self, key):
        """Keep the state of a key no longer."""
        self.by_key.pop(key, None)

    def is_gone(self, key):
        """Tell whether a key is kept as removed."""
        state = self.by_key.get(key)
        return state is not None and state.is_gone

    def missing(self, items):
        """Return the kept states of keys that the copy lacks."""
        found = []
        for state in self.by_key.values():
            if state.key not in items:
                found.append(state)
        return found

    def digest(self, items):
        """Return a digest of what all hosts have to keep; 0 for nothing.

        Targets that the copy lacks are left out: they are kept for a short time.
        """
        digest = 0
        for state in self.by_key.values():
            if state.key not in items and not state.order.is_final:
                continue
            digest ^= state.digest
        return digest
