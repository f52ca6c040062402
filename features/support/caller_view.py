"""What callers of a virtual fleet get while its hosts restart beside changes."""

import asyncio
from dataclasses import dataclass

from features.support.host_group import configuration_of
from features.support.thin_links import target_entry

# Bounds of the users' pages: until a change is in force, and without disruption of a
# host or its way to the store before it is held to them.
APPLY_S = 2.0
STABLE_S = 3.0
SAMPLE_INTERVAL_S = 0.05
SETTLE_S = 5.0
SERVICE = "pedidos"


@dataclass(frozen=True)
class Case:
    """A request that a host would not have handled as the store asks for."""

    fault: str
    at: float
    host_id: str
    detail: str


class CallerView:
    """Samples what each host that is in touch would do with a request.

    Parameters
    ----------
    fleet : VirtualFleet
    writer : ChangeWriter
    """

    def __init__(self, fleet, writer):
        self.fleet = fleet
        self.writer = writer
        self.started_at = dict.fromkeys(fleet.hosts, 0.0)
        # The first case of each kind on each host.
        self.cases = {}

    async def sample(self):
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now = self.fleet.loop.now
            for host_id, host in self.fleet.hosts.items():
                if self.is_in_touch(host_id, host, now):
                    self.check_configuration(host_id, host.view, now)
                    self.check_targets(host_id, host.view, now)

    def is_in_touch(self, host_id, host, now):
        refused_until = self.fleet.shared.refused_until
        until = refused_until.get(host.settings.address, 0.0)
        return now - max(until, self.started_at[host_id]) > STABLE_S

    def check_configuration(self, host_id, view, now):
        due = self.writer.newest_version(now - APPLY_S)
        version = 0 if view.configuration is None else view.configuration.version
        if version < due:
            self.add("older version", now, host_id, f"{version} for {due}")
            # The oldest configuration in force has no route of a newer one: the host
            # would answer 404 if it believes its state to be current.
            if version and view.is_replica_current(now):
                self.add("404", now, host_id, f"{version} for {due}")

    def check_targets(self, host_id, view, now):
        usable = {target.entry.target_id for target in view.usable_targets(SERVICE)}
        for target_id, left_at in self.writer.left_at.items():
            if now - left_at > APPLY_S and target_id in usable:
                self.add("target that left", now, host_id, target_id)

    def add(self, fault, now, host_id, detail):
        case = Case(fault, round(now, 2), host_id, detail)
        self.cases.setdefault((fault, host_id), case)

    async def restart(self, host_id, pause_s):
        """Kill a host and start it again with empty memory."""
        self.started_at[host_id] = float("inf")
        await self.fleet.restart_host(host_id, pause_s)
        self.started_at[host_id] = self.fleet.loop.now


class ChangeWriter:
    """Writes configurations, and lets targets leave and come, several at once."""

    def __init__(self, shared, loop, rng, targets):
        self.shared = shared
        self.loop = loop
        self.rng = rng
        self.version = 1
        self.written = []
        self.ready = list(range(targets))
        self.next_target = targets
        # When each target that left, or was removed, had done so.
        self.left_at = {}

    def newest_version(self, before):
        """Return the newest version that was written before a time, else 0."""
        return max((version for at, version in self.written if at < before), default=0)

    async def write_burst(self):
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        self.version += self.rng.randrange(1, 4)
        self.shared.put("op/config", configuration_of(self.version, True))
        self.written.append((self.loop.now, self.version))
        for _ in range(self.rng.randrange(4, 10)):
            self.rng.choice((self.leave, self.leave, self.remove, self.add))()
            if self.rng.random() < 0.1:
                await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    def leave(self):
        key, number = self.take()
        self.shared.put(key, target_entry(number, state="draining"))

    def remove(self):
        key, _ = self.take()
        self.shared.remove(key)

    def take(self):
        """Choose a target that goes; return its key and number."""
        number = self.ready.pop(self.rng.randrange(len(self.ready)))
        self.left_at[f"i-{number:08x}"] = self.loop.now
        return f"servers/i-{number:08x}", number

    def add(self):
        self.ready.append(self.next_target)
        key = f"servers/i-{self.next_target:08x}"
        self.shared.put(key, target_entry(self.next_target))
        self.next_target += 1


# Parts of the troubles that a row names.
SOME, DOMAIN, ALL, HUBS, REFUSED, LATE, LOSSY, HISTORY = range(8)
WAVES = {
    "restarts some hosts": (SOME,),
    "restarts a failure domain": (DOMAIN,),
    "restarts all its hosts": (ALL,),
    "restarts its hubs": (HUBS,),
    "is refused by the store": (REFUSED,),
    "restarts some hosts and is refused by the store": (SOME, REFUSED),
    "restarts all its hosts and is refused by the store": (ALL, REFUSED),
    "restarts some hosts and gets late answers": (SOME, LATE),
    "restarts some hosts and loses datagrams": (SOME, LOSSY),
    "restarts some hosts and loses the store's history": (SOME, HISTORY),
    "restarts a failure domain and loses datagrams": (DOMAIN, LOSSY),
}


async def play_waves(fleet, parts, writer, view, waves):
    """Bring one trouble after the other, each beside new configurations."""
    rng = writer.rng
    shared = fleet.shared
    await asyncio.sleep(SETTLE_S)
    for _ in range(waves):
        host_ids = list(fleet.hosts)
        jobs = []
        for host_id in chosen_hosts(parts, fleet, rng):
            jobs.append(view.restart(host_id, rng.uniform(0.05, 0.6)))
        if HUBS in parts:
            # Others notice the loss of a hub by the time of the changes.
            jobs.append(asyncio.sleep(rng.uniform(0.5, 3.0)))
            await asyncio.gather(*jobs)
            jobs = []
        if REFUSED in parts:
            for host_id in rng.sample(host_ids, len(host_ids) // 3):
                address = fleet.hosts[host_id].settings.address
                until = fleet.loop.now + rng.uniform(0.5, 3.0)
                shared.refused_until[address] = until
        shared.late_share = 0.3 if LATE in parts else 0.0
        fleet.loop.datagram_loss = 0.1 if LOSSY in parts else 0.0
        if HISTORY in parts:
            shared.forgotten_up_to = shared.revision
        for _ in range(rng.choice((1, 2))):
            jobs.append(writer.write_burst())
        await asyncio.gather(*jobs)
        if HISTORY in parts:
            shared.forgotten_up_to = shared.revision
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        shared.late_share = fleet.loop.datagram_loss = 0.0
        await asyncio.sleep(SETTLE_S)


def chosen_hosts(parts, fleet, rng):
    """Return the hosts that a wave restarts."""
    host_ids = list(fleet.hosts)
    if HUBS in parts:
        hosts = fleet.hosts
        return [x for x in host_ids if hosts[x].gossip.membership.is_hub]
    if ALL in parts:
        return host_ids
    if DOMAIN in parts:
        domain = rng.choice(host_ids).rpartition("-")[0]
        return [x for x in host_ids if x.startswith(domain + "-")]
    if SOME in parts:
        return rng.sample(host_ids, rng.choice((1, 2, len(host_ids) // 3)))
    return []
