"""A host's replica of the store's items, updated by its own calls and by peers.

All items of a replica are of one history of the store, see ``store_history.py``. What
comes from another history is no change of it: the replica of a later history begins
with a complete listing.

The hosts read the store by watches and listings, and tell each other what they know by
datagrams, which hubs relay, and by copies. From each of these, at its own history, a
receiver may conclude only this:

- Changes of the range ``(after, revision]`` (a watched page, a datagram with changes, a
  partial copy) hold the newest state of every key that changed in it. A receiver that
  knows all changes up to ``after`` or later then knows all up to ``revision``. The
  sender therefore takes them from its whole replica with ``changes_after``: what is new
  to the sender itself is only a part of them.
- A listing of a prefix (a read of the store, a complete copy) lacks the keys that were
  removed at or before its revision, including keys that its reader has never seen. It
  says which keys exist, not what has changed, so it is not passed on as changes.
- A revision alone says that its sender knows more. The receiver fetches a copy.
- A state at or below the receiver's own revision that the receiver does not have is
  obsolete: the key has been written or removed since.
- Hosts at one revision have the same digest. If not, one of them has missed changes or
  has learned of some that never were. Only the store can tell which: a listing that was
  read from it also undoes a removal at or before its revision of a key that it holds.
"""

from bisect import bisect_left, bisect_right
from collections import deque
from hashlib import blake2b

from ..host.model import StoreItem
from .store_history import NO_REVISION, StoreRevision

# Removals that are kept, so that a peer can be sent the changes after a revision.
MAX_REMOVED = 2000
# Outdated entries of the order of changes that are dropped together.
MIN_OUTDATED = 256
# Older large values that are kept, so that a peer that has one of them can be sent the
# difference.
MIN_KEPT_BYTES = 2048
MAX_KEPT_BYTES = 8 * 1024 * 1024
# The field of the message has 64 bits with a sign.
DIGEST_BITS = 63


def digest_of(key, revision):
    """Return the part of a replica's digest that stands for one item.

    It leaves out the era, as only replicas of one history are compared.
    """
    text = f"{revision.number} {key}"
    content = blake2b(text.encode("utf-8", "replace"), digest_size=8)
    return int.from_bytes(content.digest(), "big") >> (64 - DIGEST_BITS)


class StoreReplica:
    """Items by key; the revision of a key only increases.

    Parameters
    ----------
    prefixes : tuple of str
        Keys that each host reads; others do not count for the digest.

    Attributes
    ----------
    revision : StoreRevision
        All changes up to this revision are known; `NO_REVISION` before the first full
        copy.
    item_digest : int
        Of the keys under ``prefixes`` and their revisions, whatever their order.
    confirmed_at : float or None
        When the store last confirmed ``revision`` to any host, in monotonic seconds
        of this host.
    """

    def __init__(self, prefixes=("",)):
        self.prefixes = prefixes
        self.item_digest = 0
        self.items: dict[str, StoreItem] = {}
        self.removed = {}
        # The last values of removed keys, as far as they were known.
        self.last_values = {}
        self.removal_order = deque()
        # Revision and key of each change in the order of revisions. An entry is
        # outdated once its key has a newer change.
        self.change_order: list[tuple[StoreRevision, str]] = []
        self.previous: deque[StoreItem] = deque()
        self.previous_bytes = 0
        # Removals at or below this revision may no longer be kept.
        self.removals_known_after = NO_REVISION
        self.revision = NO_REVISION
        self.confirmed_at = None

    def apply(self, item):
        """Apply one change and return whether it changed the replica.

        A change at or below ``revision`` is obsolete, also if its key is not known.
        """
        return item.revision.follows(self.revision) and self.enter(item)

    def enter(self, item):
        """Enter the state of a key unless it is known in this state or a newer one."""
        if item.revision <= self.revision_of(item.key):
            return False
        self.keep_previous(item.key)
        self.remember_order(item)
        known = self.items.pop(item.key, None)
        if known is not None:
            self.update_digest(known)
        if item.value is None:
            self.remember_removal(item, None if known is None else known.value)
            return known is not None
        self.removed.pop(item.key, None)
        self.last_values.pop(item.key, None)
        self.items[item.key] = item
        self.update_digest(item)
        return True

    def update_digest(self, item):
        """Add an item to the digest, or take it out again."""
        if item.key.startswith(self.prefixes):
            self.item_digest ^= digest_of(item.key, item.revision)

    def digest(self):
        """Return the digest of the items at ``revision``.

        Returns
        -------
        int or None
            None while some items are newer, after a listing that was read in parts.
        """
        if self.change_order and self.change_order[-1][0] > self.revision:
            return None
        return self.item_digest

    def keep_previous(self, key):
        """Keep the value of a key that is about to change, if it is large."""
        item = self.items.get(key)
        if item is None or len(item.value) < MIN_KEPT_BYTES:
            return
        self.previous.append(item)
        self.previous_bytes += len(item.value)
        while self.previous_bytes > MAX_KEPT_BYTES:
            self.previous_bytes -= len(self.previous.popleft().value)

    def value_at(self, key, revision):
        """Return the ``StoreItem`` of a key that has ``revision``, if it is kept."""
        item = self.items.get(key)
        if item is not None and item.revision == revision:
            return item
        for item in self.previous:
            if item.key == key and item.revision == revision:
                return item
        return None

    def value_before(self, key, revision):
        """Return the newest kept large value of a key at or before ``revision``."""
        for item in reversed(self.previous):
            if item.key == key and item.revision <= revision:
                return item
        return None

    def revision_of(self, key):
        """Return the revision of the last known change of a key."""
        item = self.items.get(key)
        if item is not None:
            return item.revision
        return self.removed.get(key, NO_REVISION)

    def remember_order(self, item):
        """Enter a change into the order of changes."""
        entry = (item.revision, item.key)
        place = bisect_left(self.change_order, entry)
        if self.change_order[place : place + 1] == [entry]:
            return
        self.change_order.insert(place, entry)
        current = len(self.items) + len(self.removed)
        if len(self.change_order) <= 2 * current + MIN_OUTDATED:
            return
        self.change_order = [
            (revision, key)
            for revision, key in self.change_order
            if revision == self.revision_of(key)
        ]

    def remember_removal(self, item, last_value):
        """Keep a removal until `MAX_REMOVED` newer ones have followed."""
        self.removed[item.key] = item.revision
        if last_value is not None:
            self.last_values[item.key] = last_value
        self.removal_order.append((item.key, item.revision))
        while len(self.removal_order) > MAX_REMOVED:
            key, revision = self.removal_order.popleft()
            self.removals_known_after = max(self.removals_known_after, revision)
            if self.removed.get(key) == revision:
                del self.removed[key]
                self.last_values.pop(key, None)

    def enter_history(self, items, revision):
        """Begin anew with a complete listing of the store in a later history.

        The caller advances the replica to ``revision`` afterwards.
        """
        last_values = dict(self.last_values)
        for item in self.items.values():
            last_values[item.key] = item.value
        self.items = {}
        self.removed = {}
        self.last_values = {}
        self.removal_order.clear()
        self.change_order = []
        self.previous.clear()
        self.previous_bytes = 0
        self.item_digest = 0
        self.removals_known_after = revision
        for item in items:
            self.enter(item)
        for key, value in last_values.items():
            if key not in self.items:
                self.remember_removal(StoreItem(key, revision, None), value)

    def replace(self, prefix, items, revision, is_from_store=False):
        """Apply a complete listing of a prefix and return the changes.

        A key that is missing from the listing was removed at or before ``revision``.
        Of a listing that is older than the replica, only later changes apply.

        Parameters
        ----------
        is_from_store : bool
            Whether this host read the listing from the store, rather than from
            another host, which may have missed a removal.
        """
        changes = []
        listed = set()
        enter = self.enter if revision >= self.revision else self.apply
        for item in items:
            listed.add(item.key)
            if is_from_store and self.is_disproved(item, revision):
                del self.removed[item.key]
                self.last_values.pop(item.key, None)
                is_new = self.enter(item)
            else:
                is_new = enter(item)
            if is_new:
                changes.append(item)
        for key in list(self.items):
            if not key.startswith(prefix) or key in listed:
                continue
            if self.items[key].revision > revision:
                continue
            removal = StoreItem(key, revision, None)
            if self.enter(removal):
                changes.append(removal)
        # Keys that were added and removed between two listings were never seen.
        self.removals_known_after = max(self.removals_known_after, revision)
        return changes

    def is_disproved(self, item, revision):
        """Tell whether a listing with an item disproves a removal of its key."""
        return item.revision < self.removed.get(item.key, NO_REVISION) <= revision

    def advance(self, revision):
        """Record that all changes up to ``revision`` are known."""
        self.revision = max(self.revision, revision)

    def changes_after(self, revision):
        """Return the newest state of each key that changed after a revision.

        Returns
        -------
        list of StoreItem or None
            In the order of revisions; None if some changes may be missing.
        """
        if revision < self.removals_known_after or revision <= NO_REVISION:
            return None
        found = []
        first = bisect_right(self.change_order, revision, key=lambda entry: entry[0])
        for changed_at, key in self.change_order[first:]:
            item = self.items.get(key)
            if item is not None and item.revision == changed_at:
                found.append(item)
            elif self.removed.get(key) == changed_at:
                found.append(StoreItem(key, changed_at, None))
        return found
