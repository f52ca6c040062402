"""Drills of a virtual fleet beside changes, and what its callers get."""

import asyncio
import random
from collections import Counter

import orjson

from features.support.caller_view import (
    APPLY_S,
    SAMPLE_INTERVAL_S,
    CallerView,
    ChangeWriter,
)
from features.support.drills import Drill
from features.support.host_group import configuration_of
from features.support.thin_links import VirtualFleet

START_SPREAD_S = 0.3
STARTED_S = 4.0
# Between the last change and a drill: a change that no host knows is lost.
KNOWN_S = 0.5
COPY_AGE_S = 3.0
NEXT_CHANGE_S = 4.0
JUDGED_S = 8.0
SETTLE_S = 2.0
VERSION_CHECK_S = 0.01
SOME, ALL = 3, 100
# Drills, hosts that restart beside each, share of the datagrams that are lost, and
# whether the store refuses some hosts for a while after its return.
TROUBLES = {
    "comes back once": {},
    "comes back from its first state": {"is_first_state": True},
    "comes back three times": {"drills": 3},
    "comes back while some hosts restart": {"restarts": SOME},
    "comes back while all hosts restart": {"restarts": ALL},
    "comes back while it refuses some hosts": {"is_refusing": True},
    "comes back while datagrams are lost": {"loss": 0.1},
    "comes back without a change since": {"is_unchanged": True},
}


class DrillWaves:
    """Plays drills; keeps what callers got and the calls after the last one."""

    def __init__(self, domains, hosts, targets):
        document = orjson.loads(configuration_of(1, True))
        self.fleet = VirtualFleet([100.0] * hosts, domains, document, targets)
        self.fleet.shared.name_history()
        self.targets = targets
        self.first_state = self.fleet.shared.keep_copy()
        self.restarted = set()
        # Hosts that served an older version at any time, also right after their start.
        self.reverted = []
        # How often each host was seen to be appointed to watch after the last drill.
        self.appointed = Counter()
        self.calls = {}
        self.listings = 0

    def play(self, name, seed):
        """Play the drills of a row and the time after them."""
        fleet = self.fleet
        fleet.loop.rng.seed(seed)
        fleet.start_spread_s = START_SPREAD_S
        self.rng = random.Random(seed)
        self.writer = ChangeWriter(fleet.shared, fleet.loop, self.rng, self.targets)
        self.view = CallerView(fleet, self.writer)
        fleet.run(self.scenario(**TROUBLES[name]))

    async def scenario(self, drills=1, **trouble):
        sampling = asyncio.ensure_future(self.view.sample())
        noting = asyncio.ensure_future(self.note_appointed())
        checking = asyncio.ensure_future(self.check_versions())
        await asyncio.sleep(STARTED_S)
        await self.writer.write_burst()
        await asyncio.sleep(KNOWN_S)
        for _ in range(drills):
            await self.drill(**trouble)
        await asyncio.sleep(SETTLE_S)
        sampling.cancel()
        noting.cancel()
        checking.cancel()

    async def drill(
        self,
        restarts=0,
        loss=0.0,
        is_first_state=False,
        is_refusing=False,
        is_unchanged=False,
    ):
        """Play one drill with changes before and after it."""
        fleet = self.fleet
        drill = Drill(fleet, self.rng)
        if is_first_state:
            drill.copy = self.first_state
        await asyncio.sleep(COPY_AGE_S / 2)
        if not is_unchanged:
            await self.writer.write_burst()
        await asyncio.sleep(COPY_AGE_S / 2)
        fleet.loop.datagram_loss = loss
        truth = await drill.play()
        self.appointed.clear()
        jobs = [drill.write_again(truth), drill.lapse(truth)]
        host_ids = list(fleet.hosts)
        self.restarted = set(self.rng.sample(host_ids, min(restarts, len(host_ids))))
        for host_id in sorted(self.restarted):
            jobs.append(self.restart(host_id))
        if is_refusing:
            for host in self.rng.sample(list(fleet.hosts.values()), len(host_ids) // 3):
                until = fleet.loop.now + self.rng.uniform(0.5, 2.0)
                fleet.shared.refused_until[host.settings.address] = until
        jobs.append(self.write_next())
        jobs.append(asyncio.sleep(JUDGED_S))
        await asyncio.gather(*jobs)
        fleet.loop.datagram_loss = 0.0
        self.calls = drill.calls_of_hosts()
        self.listings = fleet.shared.listings - drill.listings_before

    async def note_appointed(self):
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for host in self.fleet.hosts.values():
                membership = host.gossip.membership
                if membership.is_hub:
                    self.appointed[membership.watcher] += 1

    async def check_versions(self):
        while True:
            await asyncio.sleep(VERSION_CHECK_S)
            now = self.fleet.loop.now
            due = self.writer.newest_version(now - APPLY_S)
            for host_id, host in self.fleet.hosts.items():
                found = host.view.configuration
                if found is not None and found.version < due:
                    self.reverted.append((round(now, 2), host_id, found.version, due))

    def is_appointed_long(self, host_id):
        """Tell whether a host watched for the others for a second or more."""
        return self.appointed[host_id] * SAMPLE_INTERVAL_S >= 1.0

    async def restart(self, host_id):
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await self.view.restart(host_id, self.rng.uniform(0.05, 0.4))

    async def write_next(self):
        await asyncio.sleep(NEXT_CHANGE_S)
        await self.writer.write_burst()
