"""Applies what the store and other hosts tell of the store's items."""

from dataclasses import dataclass, field

from .. import events
from ..decisions.kept_states import KeptState, KeptStates
from ..decisions.store_history import NO_REVISION, StoreRevision
from .model import StoreItem

# Source of changes in log lines, if they come from no other host.
STORE = "store"
ALL_KEYS = ""
# Keys in a log line.
MAX_LOGGED_KEYS = 5


@dataclass(slots=True)
class StoreCopy:
    """What another host knows of the store.

    Attributes
    ----------
    revision : StoreRevision
    is_complete : bool
        Whether ``items`` are all items, rather than the changes that were asked for.
    kept : list of KeptState
    listed_at : StoreRevision
        See ``KeptStates``.
    """

    revision: StoreRevision
    is_complete: bool
    items: list[StoreItem]
    kept: list[KeptState] = field(default_factory=list)
    listed_at: StoreRevision = NO_REVISION


class StoreNews:
    """Updates the replica of a view, and the view by what has changed.

    Parameters
    ----------
    view : FleetView

    Attributes
    ----------
    kept : KeptStates
    histories_entered : int
        How often the store came back from an older copy since the start.
    """

    def __init__(self, view):
        self.view = view
        self.replica = view.replica
        self.kept = KeptStates(view.formats.state_order)
        self.histories_entered = 0

    def apply(self, items, source=STORE):
        """Apply changes of the store and return those that were new.

        Parameters
        ----------
        source : str
            Where the changes come from: `STORE`, or the host that sent them.
        """
        news = []
        for item in items:
            if not self.replica.apply(item):
                continue
            news.append(item)
            if not self.kept.hides(item):
                self.view.item_changed(item, source)
        self.view.change_log.finish()
        return news

    def apply_listing(self, prefix, items, revision, source=STORE):
        """Apply a complete listing of a prefix and return the changes.

        A listing of an earlier history changes nothing.
        """
        if not revision.is_in_same_history(self.replica.revision):
            return []
        is_from_store = source == STORE
        changes = self.replica.replace(prefix, items, revision, is_from_store)
        for item in changes:
            if not self.kept.hides(item):
                self.view.item_changed(item, source)
        self.view.change_log.finish()
        return changes

    def apply_copy(self, copy, source):
        """Apply a ``StoreCopy`` of another host and advance the replica."""
        replica = self.replica
        if replica.revision.is_in_later_history(copy.revision):
            self.merge_kept(copy, source)
            return
        if copy.revision.is_in_later_history(replica.revision):
            if not copy.is_complete:
                return
            self.enter_history(copy.items, copy.revision, source, copy)
        elif copy.is_complete:
            if copy.revision > replica.revision:
                self.apply_listing(ALL_KEYS, copy.items, copy.revision, source)
        else:
            self.apply(copy.items, source)
        replica.advance(copy.revision)
        self.merge_kept(copy, source)

    def enter_history(self, items, revision, source=STORE, copy=None):
        """Apply a complete listing of a later history; return what changed in use.

        The newest states that this host, or the sender of ``copy``, knows from earlier
        histories stay in use against older ones of the listing. The caller advances the
        replica.
        """
        before = self.values_in_use()
        earlier = self.replica.revision
        listing = {item.key: item for item in items}
        self.kept.enter_history(self.replica, listing, revision)
        self.replica.enter_history(items, revision)
        if copy is not None:
            self.merge_copy(copy, revision)
        if earlier > NO_REVISION:
            self.histories_entered += 1
            self.view.store_recovered_at = self.view.clock.now()
            events.HISTORY_ENTERED.log(
                era=revision.era,
                revision=revision.number,
                era_before=earlier.era,
                revision_before=earlier.number,
                kept=len(self.kept.by_key),
                keys=sorted(self.kept.by_key)[:MAX_LOGGED_KEYS],
                source=source,
            )
        return self.use_changed(before, source)

    def merge_kept(self, copy, source):
        """Keep what another host keeps, if it is newer."""
        is_earlier = self.replica.revision.is_in_later_history(copy.revision)
        has_states = bool(copy.kept or self.kept.by_key or is_earlier)
        before = self.values_in_use() if has_states else {}
        changed = self.merge_copy(copy, self.replica.revision)
        if not changed:
            return
        events.KEPT_STATES_CHANGED.log(
            source=source,
            keys=sorted(changed)[:MAX_LOGGED_KEYS],
            kept=len(self.kept.by_key),
        )
        self.use_changed(before, source)

    def merge_copy(self, copy, revision):
        """Merge what another host keeps or, in an earlier history, knows.

        Returns
        -------
        set of str
            The keys whose kept state has changed.
        """
        states = copy.kept
        if copy.is_complete and revision.is_in_later_history(copy.revision):
            states = states + self.states_of_earlier(copy)
        return self.kept.merge(states, copy.listed_at, self.replica.items)

    def states_of_earlier(self, copy):
        """Return the states that a complete copy of an earlier history tells of.

        It lacks a key that the store's copy holds only if the key was removed later,
        as its sender has followed all changes up to the copy's revision.
        """
        states = []
        kept_keys = {state.key for state in copy.kept}
        for item in copy.items:
            if item.key in kept_keys:
                continue
            state = self.kept.make_state(item.key, item.revision, item.value, False)
            if state is not None:
                states.append(state)
        known_keys = kept_keys | {item.key for item in copy.items}
        for item in self.replica.items.values():
            if item.key in known_keys:
                continue
            if not item.revision.was_followed_at(copy.revision):
                continue
            state = self.kept.make_state(item.key, copy.revision, item.value, True)
            if state is not None:
                states.append(state)
        return states

    def values_in_use(self):
        """Return the item in use of each key: that of the replica, or the kept one."""
        found = dict(self.replica.items)
        for state in self.kept.by_key.values():
            if state.is_gone:
                found.pop(state.key, None)
            else:
                found[state.key] = StoreItem(state.key, state.revision, state.value)
        return found

    def use_changed(self, before, source):
        """Update the view where the items in use are not those of before."""
        after = self.values_in_use()
        changes = []
        for key, item in before.items():
            if key not in after:
                changes.append(StoreItem(key, item.revision, None))
        for key, item in after.items():
            known = before.get(key)
            if known is None or known.value != item.value:
                changes.append(item)
        for item in changes:
            self.view.item_changed(item, source)
        for state in self.kept.missing(self.replica.items):
            self.view.await_return(state.key)
        self.view.change_log.finish()
        return changes
