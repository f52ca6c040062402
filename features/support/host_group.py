"""Two hosts in virtual time whose calls of the store a scenario answers."""

import asyncio

import orjson

from features.support.platform_fleet import ROUTES, configuration, route
from features.support.thin_links import CURRENT_HOST, Link, VirtualFleet
from oleanderroute.platform import documents

# Longer than it takes a host to find that it is behind and to fetch what it lacks.
SETTLE_S = 1.0
OTHER_HOST = orjson.dumps(
    {
        "address": "10.0.0.77",
        "control_port": 8166,
        "gossip_port": 7720,
        "failure_domain": "d0",
    }
)


def configuration_of(version, is_large):
    """Return a configuration; a large one is sent as a patch."""
    routes = list(ROUTES)
    for number in range(60 if is_large else 0):
        routes.append(route(f"r-{number}", "safe", f"/part-{number}/"))
    return orjson.dumps(configuration(version, routes))


class ScriptedStore:
    """A store whose calls are answered by functions of a scenario."""

    def __init__(self, on_watch=None, on_read=None):
        self.on_watch = on_watch
        self.on_read = on_read

    async def watch(self, prefix, after, wait_s):
        return self.on_watch()

    async def read_prefix(self, prefix):
        return self.on_read(prefix)


class HostGroup:
    """Hosts that exchange messages, and whose store calls a scenario makes.

    Attributes
    ----------
    hub, member : SimpleNamespace
        The hub of the only failure domain, and another host of it.
    """

    def __init__(self):
        first = configuration_of(1, False)
        self.fleet = VirtualFleet([100.0] * 2, 1, orjson.loads(first), targets=3)
        self.fleet.loop.links["10.0.0.77"] = Link(100.0)
        self.shared = self.fleet.shared
        for host in self.fleet.hosts.values():
            self.shared.put(*documents.encode_host(host.settings))
        self.shared.put(documents.HOST_PREFIX + "edge-9", OTHER_HOST)
        self.revision = self.shared.revision
        for host in self.fleet.hosts.values():
            host.view.news.apply(list(self.shared.items.values()))
            host.view.replica.advance(self.revision)
        first, second = self.fleet.hosts.values()
        first.gossip.membership.choose_roles()
        is_first = first.gossip.membership.is_hub
        self.hub, self.member = (first, second) if is_first else (second, first)

    def write(self, key, value):
        """Write or remove a key in the store and return the item."""
        if value is not None:
            self.shared.put(key, value)
            return self.shared.items[key]
        return self.shared.remove(key)

    def run(self, scenario):
        """Run a coroutine and wait until the hosts have exchanged their messages."""

        async def play():
            works = []
            for host in self.fleet.hosts.values():
                CURRENT_HOST.set(host.settings.address)
                await host.gossip.start()
                await host.copies.start()
            for host in self.fleet.hosts.values():
                CURRENT_HOST.set(host.settings.address)
                works.append(asyncio.ensure_future(host.gossip.run()))
            CURRENT_HOST.set(self.hub.settings.address)
            await scenario
            await asyncio.sleep(SETTLE_S)
            for work in works:
                work.cancel()

        self.fleet.loop.run_until_complete(play())
        self.fleet.loop.close()


def learn(host, items):
    """Let a host learn of changes as by a datagram whose copies to others are lost."""
    host.view.news.apply(items)
    host.view.replica.advance(max(item.revision for item in items))
