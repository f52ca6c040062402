"""Random writes to the store of a virtual fleet, and troubles meanwhile."""

import asyncio
import contextlib

from features.support.host_group import configuration_of
from features.support.thin_links import target_entry

WRITE_INTERVAL_S = 0.25


class StoreWriter:
    """Writes to the store as operators and targets do.

    Parameters
    ----------
    shared : SharedStore
    rng : random.Random
    """

    def __init__(self, shared, rng, targets):
        self.shared = shared
        self.rng = rng
        self.version = 1
        self.next_target = targets
        self.ready = list(range(targets))
        self.leaving = []

    def write(self):
        """Make one change at random."""
        way = self.rng.randrange(4)
        if way == 0:
            self.version += self.rng.randrange(1, 4)
            self.shared.put("op/config", configuration_of(self.version, True))
        elif way == 1 and len(self.ready) > 3:
            number = self.ready.pop(self.rng.randrange(len(self.ready)))
            self.leaving.append(number)
            self.put_target(number, state="draining")
        elif way == 2 and self.leaving:
            number = self.leaving.pop(self.rng.randrange(len(self.leaving)))
            self.shared.remove(f"servers/i-{number:08x}")
        else:
            self.ready.append(self.next_target)
            self.put_target(self.next_target)
            self.next_target += 1

    def put_target(self, number, **others):
        self.shared.put(f"servers/i-{number:08x}", target_entry(number, **others))


async def write_for(fleet, writer, seconds):
    """Write at random times, at times several changes at once."""
    rng = writer.rng
    ends_at = fleet.loop.now + seconds
    while fleet.loop.now < ends_at:
        await asyncio.sleep(rng.expovariate(1.0 / WRITE_INTERVAL_S))
        for _ in range(rng.choice((1, 1, 2, 6))):
            writer.write()


async def lose_history_by_times(fleet, writer):
    """Let the store lose its newest history now and then."""
    while True:
        await asyncio.sleep(fleet.loop.rng.uniform(0.2, 1.0))
        writer.write()
        fleet.shared.forgotten_up_to = fleet.shared.revision


async def restart_by_turns(fleet):
    """Restart one host after the other."""
    while True:
        host_id = fleet.loop.rng.choice(list(fleet.hosts))
        await fleet.restart_host(host_id, 0.3)
        await asyncio.sleep(0.7)


TROUBLES = {
    "meets no trouble": (),
    "gets late answers": ("late",),
    "loses datagrams": ("lossy",),
    "loses the store's history": ("history",),
    "restarts its hosts by turns": ("restarts",),
    "meets all troubles": ("late", "lossy", "history", "restarts"),
}


@contextlib.asynccontextmanager
async def trouble_of(fleet, kinds, writer):
    """Bring troubles of some kinds until the context ends."""
    fleet.shared.late_share = 0.3 if "late" in kinds else 0.0
    fleet.loop.datagram_loss = 0.1 if "lossy" in kinds else 0.0
    works = []
    if "history" in kinds:
        works.append(asyncio.ensure_future(lose_history_by_times(fleet, writer)))
    if "restarts" in kinds:
        works.append(asyncio.ensure_future(restart_by_turns(fleet)))
    try:
        yield
    finally:
        fleet.shared.late_share = fleet.loop.datagram_loss = 0.0
        for work in works:
            work.cancel()
        await asyncio.gather(*works, return_exceptions=True)
        for host_id in fleet.hosts.keys() - fleet.works.keys():
            fleet.start_host(host_id)
