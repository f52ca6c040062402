"""Changes of the store in the form in which they are sent to other hosts.

A configuration of a large deployment has some hundred KB, and most changes touch a few
bytes of it. A large value is therefore sent as a patch of one that the receiver has.
"""

from ..decisions.store_history import StoreRevision
from ..errors import PatchBaseMissing
from ..peer.compression import compress, decompress
from ..peer.gen.oleander_gossip.ttypes import ItemChange, ItemPatch
from .model import StoreItem

# Smaller values are sent as they are.
MIN_PATCHED_BYTES = 2048
# A value of the store has at most 1 MiB.
MAX_VALUE_BYTES = 2 * 1024 * 1024
# Patches that are kept, since many hosts ask for the same ones.
MAX_CACHED_PATCHES = 8


class PatchMaker:
    """Makes patches of the large values of a replica.

    Parameters
    ----------
    replica : StoreReplica
    """

    def __init__(self, replica):
        self.replica = replica
        self.cache = {}

    def split_changes(self, items, bases):
        """Return the ``ItemChange`` and ``ItemPatch`` lists for some items.

        Parameters
        ----------
        items : iterable of StoreItem
        bases : dict of str to StoreItem
            Large values that the receiver has.
        """
        changes = []
        patches = []
        for item in items:
            if item.value is None or len(item.value) < MIN_PATCHED_BYTES:
                changes.append(plain_change(item))
                continue
            patches.append(self.make_patch(item, bases.get(item.key)))
        return changes, patches

    def make_patch(self, item, base):
        """Return the patch of ``item``, to ``base`` or, if it is None, to nothing."""
        base_revision = 0 if base is None else base.revision.number
        cached = (item.key, item.revision, base_revision)
        content = self.cache.get(cached)
        if content is None:
            content = compress(item.value, b"" if base is None else base.value)
            while len(self.cache) >= MAX_CACHED_PATCHES:
                del self.cache[next(iter(self.cache))]
            self.cache[cached] = content
        return ItemPatch(item.key, item.revision.number, base_revision, content)

    def bases_before(self, items, revision):
        """Return the large values that a replica at ``revision`` has of some keys."""
        bases = {}
        for item in items:
            base = self.replica.value_before(item.key, revision)
            if base is not None:
                bases[item.key] = base
        return bases

    def bases_at(self, revisions):
        """Return the kept values of this history with the given numbers, by key."""
        bases = {}
        for key, number in revisions.items():
            revision = StoreRevision(self.replica.revision.era, number)
            base = self.replica.value_at(key, revision)
            if base is not None:
                bases[key] = base
        return bases


def plain_change(item):
    """Return the ``ItemChange`` of an item."""
    return ItemChange(item.key, item.revision.number, item.value)


def plain_changes(items):
    """Return the ``ItemChange`` list of some items."""
    return [plain_change(item) for item in items]


def large_revisions(replica):
    """Return the number of the revision of each large value of a replica, by key."""
    revisions = {}
    for item in replica.items.values():
        if len(item.value) >= MIN_PATCHED_BYTES:
            revisions[item.key] = item.revision.number
    return revisions


def restore_items(replica, era, changes, patches):
    """Return the ``StoreItem`` list of received changes and patches of one history.

    Of a large value that the replica knows in this state or a newer one, the replica's
    own item is returned, so that a listing still holds its key.

    Raises
    ------
    PatchBaseMissing
        If this host does not have the value that a patch refers to.
    MessageRejected
        If a patch is damaged.
    """
    items = []
    for change in changes or ():
        revision = StoreRevision(era, change.revision)
        items.append(StoreItem(change.key, revision, change.value))
    for patch in patches or ():
        revision = StoreRevision(era, patch.revision)
        if revision <= replica.revision_of(patch.key):
            known = replica.items.get(patch.key)
            if known is not None:
                items.append(known)
            continue
        base = b""
        if patch.base_revision:
            known = replica.value_at(patch.key, StoreRevision(era, patch.base_revision))
            if known is None:
                raise PatchBaseMissing(f"{patch.key} at {patch.base_revision}")
            base = known.value
        value = decompress(patch.patch, base, MAX_VALUE_BYTES)
        items.append(StoreItem(patch.key, revision, value))
    return items
