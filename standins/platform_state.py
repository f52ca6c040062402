"""State of the platform stand-in: keys, leases, the host list, faults, counts."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True)
class Entry:
    """One key. The version goes on growing when the key is deleted and comes back."""

    value: str | None = None
    version: int = 0
    lease: str | None = None


@dataclass(slots=True)
class Lease:
    """A lease and the keys that disappear with it."""

    ttl_s: float
    timer: asyncio.TimerHandle
    keys: set = field(default_factory=set)


class VersionConflict(Exception):
    """A compare-and-swap found another version.

    Parameters
    ----------
    version : int
        The version that the store holds; 0 for an absent key.
    """

    def __init__(self, version):
        super().__init__(f"the key is at version {version}")
        self.version = version


class UnknownLease(Exception):
    """A lease does not exist or has lapsed."""


class Change:
    """Wakes all tasks that wait for the next change."""

    def __init__(self):
        self.future = None

    def wait(self):
        """Return a future that is done at the next change."""
        if self.future is None:
            self.future = asyncio.get_running_loop().create_future()
        return asyncio.shield(self.future)

    def notify(self):
        """Wake every waiting task."""
        future, self.future = self.future, None
        if future is not None and not future.done():
            future.set_result(None)


class KeyValues:
    """Versioned keys with compare-and-swap and leases."""

    def __init__(self):
        self.entries = {}
        self.leases = {}
        self.changes = defaultdict(Change)
        self.lease_number = 0

    def entry(self, key):
        """Return the entry of ``key``; absent keys have no value."""
        return self.entries.get(key) or Entry()

    def put(self, key, value, expect_version, lease):
        """Write a key and return its new version.

        Parameters
        ----------
        key, value : str
        expect_version : int or None
            0 demands that the key is absent; None writes unconditionally.
        lease : str or None
        """
        if lease is not None and lease not in self.leases:
            raise UnknownLease
        entry = self.entries.get(key)
        current = entry.version if entry and entry.value is not None else 0
        if expect_version is not None and expect_version != current:
            raise VersionConflict(current)
        if entry is None:
            entry = self.entries[key] = Entry()
        self.detach(key, entry)
        entry.value = value
        entry.version += 1
        entry.lease = lease
        if lease is not None:
            self.leases[lease].keys.add(key)
        self.changes[key].notify()
        return entry.version

    def detach(self, key, entry):
        """Unbind a key from its lease."""
        if entry.lease in self.leases:
            self.leases[entry.lease].keys.discard(key)
        entry.lease = None

    def delete(self, key):
        """Remove a key. The deletion takes a version of its own."""
        entry = self.entries[key]
        entry.value = None
        entry.lease = None
        entry.version += 1
        self.changes[key].notify()

    def create_lease(self, ttl_s):
        """Create a lease of ``ttl_s`` seconds and return its id."""
        self.lease_number += 1
        lease_id = f"lease-{self.lease_number}"
        self.leases[lease_id] = Lease(ttl_s, self.schedule_lapse(lease_id, ttl_s))
        return lease_id

    def schedule_lapse(self, lease_id, ttl_s):
        """Arm the timer of a lease."""
        return asyncio.get_running_loop().call_later(ttl_s, self.lapse, lease_id)

    def renew_lease(self, lease_id):
        """Restart the time to live of a lease and return it in seconds."""
        lease = self.leases.get(lease_id)
        if lease is None:
            raise UnknownLease
        lease.timer.cancel()
        lease.timer = self.schedule_lapse(lease_id, lease.ttl_s)
        return lease.ttl_s

    def lapse(self, lease_id):
        """End a lease and remove its keys."""
        lease = self.leases.pop(lease_id)
        lease.timer.cancel()
        for key in sorted(lease.keys):
            self.delete(key)


class HostList:
    """The list of hosts and targets, published ``lag_s`` seconds after a change."""

    def __init__(self, lag_s):
        self.lag_s = lag_s
        self.version = 1
        self.hosts = []
        self.targets = []
        self.change = Change()

    def set(self, hosts, targets):
        """Publish a new list after the lag; lists left as None stay unchanged."""
        if self.lag_s <= 0:
            self.publish(hosts, targets)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self.publish, hosts, targets)

    def publish(self, hosts, targets):
        """Make a list visible under the next version."""
        self.hosts = self.hosts if hosts is None else hosts
        self.targets = self.targets if targets is None else targets
        self.version += 1
        self.change.notify()


@dataclass(slots=True)
class Faults:
    """The fault mode in force.

    Attributes
    ----------
    mode : str
        ``ok``, ``down``, ``slow`` or ``lose_answers``.
    delay_s : float
        Delay of each call in mode ``slow``, in seconds.
    count : int
        Answers of writes still to lose in mode ``lose_answers``.
    answer : str
        ``close`` or ``503``: what a call meets in mode ``down``.
    scope : str
        ``all``, ``store`` (keys and leases) or ``hosts``.
    key : str
        In mode ``lose_answers``, the only key whose writes lose their answers; empty
        for all writes.
    """

    mode: str = "ok"
    delay_s: float = 0.0
    count: int = 1
    answer: str = "close"
    scope: str = "all"
    key: str = ""

    def applies_to(self, part):
        """Tell whether ``part`` (``store`` or ``hosts``) is affected."""
        return self.mode != "ok" and self.scope in ("all", part)

    def takes_answer(self, part, path):
        """Tell whether the answer of a write to ``path`` is lost, and count it."""
        if self.mode != "lose_answers" or not self.applies_to(part):
            return False
        if self.key and path != f"/kv/{self.key}":
            return False
        self.count -= 1
        if self.count <= 0:
            self.mode = "ok"
        return True


class CallCounts:
    """Counts calls by cause, key prefix and kind (read, write, watch)."""

    def __init__(self):
        self.reset()
        self.waiting = defaultdict(int)

    def reset(self):
        """Forget all counts except the watches that wait now."""
        self.counts = defaultdict(int)
        self.per_second = defaultdict(int)

    def add(self, cause, prefix, kind):
        """Count one call. A waiting watch counts as one call."""
        self.counts[cause, prefix, kind] += 1
        self.per_second[kind, int(time.monotonic())] += 1

    def report(self):
        """Return the counts as a JSON value."""
        rows = []
        totals = defaultdict(int)
        for (cause, prefix, kind), calls in sorted(self.counts.items()):
            rows.append(
                {"cause": cause, "prefix": prefix, "kind": kind, "calls": calls}
            )
            totals[kind] += calls
        peaks = defaultdict(int)
        for (kind, _), calls in self.per_second.items():
            peaks[kind] = max(peaks[kind], calls)
        return {
            "totals": {kind: totals[kind] for kind in ("read", "write", "watch")},
            "peak_per_s": {kind: peaks[kind] for kind in ("read", "write", "watch")},
            "waiting_watches": sum(self.waiting.values()),
            "waiting_by_prefix": dict(self.waiting),
            "rows": rows,
        }
