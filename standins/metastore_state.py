"""State of the metadata store's stand-in: items, history and leases."""

import copy
from dataclasses import dataclass

FIRST_REVISION = 100


@dataclass(slots=True)
class Item:
    """One key."""

    value: str
    revision: int
    created: int
    lease: int


class Metastore:
    """Linearizable items with one revision counter."""

    def __init__(self):
        self.revision = FIRST_REVISION
        self.oldest = FIRST_REVISION
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.copied_at = 0.0

    def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.history.append((self.revision, self.describe(key)))

    def remove(self, key):
        """Remove a key if it is there."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        tombstone = {"key": key, "revision": self.revision, "tombstone": True}
        self.history.append((self.revision, tombstone))

    def describe(self, key):
        """Return an item as the protocol shows it."""
        item = self.items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def events(self, prefix, after):
        """Return the changes after a revision, or None if they are forgotten."""
        if after < self.oldest or after > self.revision:
            return None
        found = []
        for revision, event in self.history:
            if revision > after and event["key"].startswith(prefix):
                found.append(event)
        return found

    def compact(self):
        """Forget the history."""
        self.history = []
        self.oldest = self.revision

    def copy(self, now):
        """Return a copy of the state."""
        copied = copy.deepcopy(self)
        copied.copied_at = now
        return copied

    def restored(self, now):
        """Return the state with which the store goes on from this copy.

        The time of its leases has stood still.
        """
        state = copy.deepcopy(self)
        for lease in state.leases.values():
            lease[1] += now - self.copied_at
        return state

    def create_lease(self, ttl_ms, now):
        """Return the id of a new lease."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = [ttl_ms / 1000, now + ttl_ms / 1000]
        return lease

    def keep(self, lease, now):
        """Renew a lease; return its milliseconds, or None if it has ended."""
        self.expire(now)
        known = self.leases.get(lease)
        if known is None:
            return None
        known[1] = now + known[0]
        return int(known[0] * 1000)

    def end_lease(self, lease):
        """Remove a lease with its keys; tell whether it was there."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.remove(key)
        return True

    def expire(self, now):
        """End the leases whose time is over."""
        for lease, (_, ends_at) in list(self.leases.items()):
            if ends_at <= now:
                self.end_lease(lease)
