"""Drills of a virtual fleet: its store comes back from an older copy."""

import asyncio

from oleanderroute.platform import documents

# Three heartbeats of a target, after which its entry lapses.
LAPSE_S = 4.5
# What the operator and the targets write again comes within these seconds.
WRITTEN_AGAIN_S = (0.3, 1.2)
AWAY_S = (0.3, 1.5)


class Drill:
    """One drill of a fleet's store.

    Parameters
    ----------
    fleet : VirtualFleet
    rng : random.Random

    Attributes
    ----------
    returned_at : float
        When the store was back.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.shared = fleet.shared
        self.rng = rng
        self.copy = self.shared.keep_copy()
        self.returned_at = None
        self.calls_before = {}
        self.listings_before = 0

    async def play(self, away_s=None):
        """Let the store go away and come back; return the states that were lost."""
        shared = self.shared
        shared.is_away = True
        await asyncio.sleep(self.rng.uniform(*AWAY_S) if away_s is None else away_s)
        truth = dict(shared.items)
        shared.restore(self.copy)
        shared.is_away = False
        self.returned_at = self.fleet.loop.now
        self.calls_before = dict(shared.calls_by_address)
        self.listings_before = shared.listings
        return truth

    async def write_again(self, truth):
        """Write again, in any order, what the operator and the targets had written."""
        changed = []
        for key, item in truth.items():
            restored = self.shared.items.get(key)
            is_theirs = not key.startswith(documents.FLEET_PREFIX)
            if is_theirs and (restored is None or restored.value != item.value):
                changed.append((self.rng.uniform(*WRITTEN_AGAIN_S), key, item.value))
        for at, key, value in sorted(changed):
            passed_s = self.fleet.loop.now - self.returned_at
            await asyncio.sleep(max(0.0, at - passed_s))
            self.shared.put(key, value)

    async def lapse(self, truth):
        """Remove the entries of targets that had left before the drill."""
        await asyncio.sleep(LAPSE_S)
        _, copied, _, _ = self.copy
        for key in copied.keys() & self.shared.items.keys() - truth.keys():
            if key.startswith(documents.TARGET_PREFIX):
                self.shared.remove(key)

    def calls_of_hosts(self):
        """Return the calls of each host since the return."""
        found = {}
        for address, calls in self.shared.calls_by_address.items():
            found[address] = calls - self.calls_before.get(address, 0)
        return found
