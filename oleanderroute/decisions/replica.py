"""A host's copy of the store's items, fed by its own calls and by other hosts."""

from collections import deque

from ..host.model import StoreItem

# Removed keys that are remembered, so that a peer can be told what changed.
MAX_REMOVED = 2000


class StoreReplica:
    """Items by key; each key only ever moves to a higher revision.

    Attributes
    ----------
    revision : int
        All changes up to this revision are known; 0 before the first copy.
    confirmed_at : float or None
        When the store itself last confirmed that to some host, in this host's
        monotonic seconds.
    """

    def __init__(self):
        self.items: dict[str, StoreItem] = {}
        self.removed = {}
        self.removal_order = deque()
        # Removals at or below this revision may have been forgotten.
        self.removals_known_after = 0
        self.revision = 0
        self.confirmed_at = None

    def apply(self, item):
        """Take one change and tell whether it is news."""
        if item.revision <= self.revision_of(item.key):
            return False
        if item.value is None:
            was_known = self.items.pop(item.key, None) is not None
            self.remember_removal(item)
            return was_known
        self.removed.pop(item.key, None)
        self.items[item.key] = item
        return True

    def revision_of(self, key):
        """Return the revision of the last known change of a key."""
        item = self.items.get(key)
        if item is not None:
            return item.revision
        return self.removed.get(key, 0)

    def remember_removal(self, item):
        """Keep a removal until many newer ones followed."""
        self.removed[item.key] = item.revision
        self.removal_order.append((item.key, item.revision))
        while len(self.removal_order) > MAX_REMOVED:
            key, revision = self.removal_order.popleft()
            self.removals_known_after = max(self.removals_known_after, revision)
            if self.removed.get(key) == revision:
                del self.removed[key]

    def replace(self, prefix, items, revision):
        """Take a complete listing of a prefix; return the changes.

        A key that is missing from it was removed at some time up to ``revision``.
        """
        changes = []
        listed = set()
        for item in items:
            listed.add(item.key)
            if self.apply(item):
                changes.append(item)
        for key in list(self.items):
            if not key.startswith(prefix) or key in listed:
                continue
            if self.items[key].revision > revision:
                continue
            removal = StoreItem(key, revision, None)
            if self.apply(removal):
                changes.append(removal)
        # Keys that came and went between two listings were never seen.
        self.removals_known_after = max(self.removals_known_after, revision)
        return changes

    def advance(self, revision):
        """Note that all changes up to ``revision`` are known."""
        self.revision = max(self.revision, revision)

    def changes_after(self, revision):
        """Return the changes after a revision, or None if some may be forgotten."""
        if revision < self.removals_known_after or revision <= 0:
            return None
        found = []
        for item in self.items.values():
            if item.revision > revision:
                found.append(item)
        for key, removed_at in self.removed.items():
            if removed_at > revision:
                found.append(StoreItem(key, removed_at, None))
        return sorted(found, key=lambda item: item.revision)
