"""In-process fakes of the store and of the network between hosts."""

import asyncio
import random
import threading
from collections import Counter

from aiohttp import web

from oleanderroute.clock import ManualClock, SystemClock
from oleanderroute.errors import PeerUnreachable, StoreConflict, StoreUnavailable
from oleanderroute.metrics import Metrics
from oleanderroute.peer.client import PeerClient
from oleanderroute.peer.envelope import HeaderState, PeerIdentity, make_header
from oleanderroute.peer.links import LinkFilter
from oleanderroute.peer.server import PeerServer
from oleanderroute.platform.hostlist import (
    HostEntry,
    HostList,
    HostListClient,
    MemberState,
    host_to_document,
)
from oleanderroute.platform.store import StoreClient, StoredValue
from oleanderroute.tasks.configuration import ConfigurationTask
from oleanderroute.tasks.distribution import Distribution, seed_addresses
from oleanderroute.tasks.hosts import HostListTask


class FakeStore:
    """Compare-and-swap in memory.

    ``faults`` holds one entry for each coming write of the head: "ok", "lost answer"
    (it takes effect, nothing is heard), "lost request" (it does not), or a callable
    that is run with the value before the answer is lost.
    """

    def __init__(self):
        self.values = {}
        self.version = 0
        self.calls = Counter()
        self.faults = []
        self.down = False
        # Each call takes this many seconds of the clock.
        self.clock = ManualClock()
        self.call_s = 0.0
        self.rng = random.Random(1)
        self.host_list = {"version": 0, "hosts": [], "targets": []}

    async def get(self, key, cause="get"):
        await self.turn(cause)
        return self.values.get(key)

    async def put(self, key, value, expect_version=None, lease=None, cause="put"):
        await self.turn(cause)
        fault = self.faults.pop(0) if key == "head" and self.faults else "ok"
        if fault == "lost request":
            raise StoreUnavailable("request lost")
        if callable(fault):
            await fault(value)
            raise StoreUnavailable("request lost")
        version = self.write(key, value, expect_version)
        if fault == "lost answer":
            raise StoreUnavailable("answer lost")
        if fault == "answer lost, then down":
            self.down = True
            raise StoreUnavailable("answer lost")
        return version

    def write(self, key, value, expect_version=None):
        held = self.values[key].version if key in self.values else 0
        if expect_version is not None and expect_version != held:
            raise StoreConflict(key, held)
        self.version += 1
        self.values[key] = StoredValue(value, self.version)
        return self.version

    async def watch(self, key, after_version, timeout_s, cause="watch"):
        await self.turn(cause)
        stored = self.values.get(key)
        return stored if stored and stored.version > after_version else None

    async def turn(self, cause):
        """Count a call and let others come in between."""
        self.calls[cause] += 1
        ends_at = self.clock.now() + self.call_s
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        self.clock.advance(max(ends_at - self.clock.now(), 0.0))
        if self.down:
            raise StoreUnavailable("down")


class FakePeers:
    """Peer client of one host; requests reach the tasks of others at once."""

    def __init__(self, host_id, network):
        self.host_id = host_id
        self.network = network

    async def request(self, peer, kind, value, timeout_s=0.5):
        self.network.asked.append((self.host_id, peer.host_id))
        if {self.host_id, peer.host_id} & self.network.unreachable:
            raise PeerUnreachable(peer.host_id)
        if (self.host_id, peer.host_id) in self.network.cut:
            raise PeerUnreachable(peer.host_id)
        caller = self.network.members[self.host_id]
        answerer = self.network.members[peer.host_id]
        answerer.on_header(caller.header())
        _, reply = answerer.handlers[kind](value, caller.header())
        caller.on_header(answerer.header())
        return reply


class Member:
    """The two tasks of one host, in the fake network unless a subclass differs."""

    def __init__(self, host, network, store, clock=None, seeds=()):
        self.host = host
        self.network = network
        self.handlers = {}
        self.in_force = []
        self.sleeps = []
        clock = clock or network.clock
        rng = random.Random(host.host_id)
        self.distribution = Distribution(
            host.host_id, host.failure_domain, seed_addresses(seeds), rng, clock
        )
        self.task = ConfigurationTask(
            self.distribution,
            store,
            self.make_peers(),
            clock,
            rng,
            lambda declaration, revision: self.in_force.append(revision),
            Metrics(),
            sleep=self.sleep,
        )
        self.hosts = HostListTask(
            self.distribution,
            HostListClient(store),
            self.task.peers,
            clock,
            rng,
            lambda host_list: None,
            sleep=self.sleep,
        )
        self.task.register(self)
        self.hosts.register(self)

    def make_peers(self):
        return FakePeers(self.host.host_id, self.network)

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def sleep(self, seconds):
        self.sleeps.append(seconds)

    def header(self):
        identity = PeerIdentity("f", self.host.host_id, 1, self.host.failure_domain, "")
        return make_header(
            identity, HeaderState(self.task.revision, self.hosts.version, 1.0)
        )

    def on_header(self, header):
        self.task.on_peer_header(header)
        self.hosts.on_peer_header(header)

    def is_at(self, revision, host_list_version):
        return self.task.revision == revision and (
            self.hosts.version == host_list_version
        )


class RealMember(Member):
    """The two tasks of one host over real connections."""

    def __init__(self, host_id, url, seeds=()):
        store = StoreClient(url, SystemClock(), Metrics())
        super().__init__(fake_host(host_id, "d0"), None, store, SystemClock(), seeds)
        self.server = PeerServer(
            "f",
            self.header,
            self.on_header,
            LinkFilter(),
            ["127.0.0.0/8"],
            Metrics(),
        )
        self.server.handlers = self.handlers

    def make_peers(self):
        return PeerClient(
            "f",
            self.header,
            self.on_header,
            lambda header, sent_at: None,
            LinkFilter(),
            SystemClock(),
            Metrics(),
        )

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)

    async def listen(self, stack):
        """Open the peer port and return the document of the host list entry."""
        await self.server.start("127.0.0.1", 0)
        stack.push_async_callback(self.task.store.close)
        stack.push_async_callback(self.task.peers.close)
        stack.push_async_callback(self.server.close)
        port = self.server.server.sockets[0].getsockname()[1]
        return {**host_to_document(self.host), "peer_port": port}

    def run(self, stack):
        for run in (self.task.run, self.hosts.run):
            stack.push_async_callback(stopped, asyncio.create_task(run()))


async def stopped(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class Network:
    """A fleet in one process."""

    def __init__(self, domains, hosts_per_domain, store):
        self.clock = ManualClock()
        self.unreachable = set()
        # Pairs of host ids between which nothing passes.
        self.cut = set()
        # Each request, as the ids of the host that asks and of the one asked.
        self.asked = []
        self.members = {}
        hosts = []
        for domain in range(domains):
            for number in range(hosts_per_domain):
                name = f"h{domain}-{number}"
                hosts.append(fake_host(name, f"d{domain}"))
        self.host_list = HostList(1, tuple(hosts), ())
        for host in hosts:
            self.members[host.host_id] = Member(host, self, store)
            self.members[host.host_id].distribution.update_hosts(self.host_list)

    async def run_round(self):
        """Let each host do what it does in one poll period, in random order."""
        members = [
            member
            for name, member in self.members.items()
            if name not in self.unreachable
        ]
        random.Random(self.clock.now()).shuffle(members)
        for member in members:
            if member.distribution.is_relay:
                await member.task.watch_once()
            await member.task.poll_once()
            await member.task.take_offers()
        self.clock.advance(1.0)


def fake_host(host_id, domain, state=MemberState.LIVE):
    return HostEntry(host_id, "127.0.0.1", 1, 2, 3, domain, "r", state)


class StoreServer:
    """A ``FakeStore`` behind the platform's HTTP interface, in a thread."""

    def __init__(self, store):
        self.store = store
        self.causes = []
        self.loop = asyncio.new_event_loop()
        self.url = None
        self.started = threading.Event()
        self.thread = threading.Thread(target=self.serve, daemon=True)

    def __enter__(self):
        self.thread.start()
        assert self.started.wait(10)
        return self

    def __exit__(self, *error):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    def serve(self):
        asyncio.set_event_loop(self.loop)
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.answer)
        runner = web.AppRunner(app, access_log=None)
        self.loop.run_until_complete(runner.setup())
        site = web.TCPSite(runner, "127.0.0.1", 0)
        self.loop.run_until_complete(site.start())
        self.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        self.started.set()
        self.loop.run_forever()
        self.loop.run_until_complete(runner.cleanup())
        self.loop.close()

    async def answer(self, request):
        self.causes.append(request.headers.get("X-Call-Cause"))
        if request.path == "/hosts" and self.store.down:
            return web.Response(status=503)
        if request.path == "/hosts":
            listed = self.store.host_list
            if int(request.query["after"]) >= listed["version"]:
                return web.Response(status=204)
            return web.json_response(listed)
        if not request.path.startswith("/kv/"):
            return web.json_response({"revision": 7, "ready": True})
        key = request.path.removeprefix("/kv/")
        try:
            if request.method == "PUT":
                body = await request.json()
                if len(body["value"]) > 1_000_000:
                    return web.Response(status=413)
                version = await self.store.put(
                    key, body["value"], body["expect_version"]
                )
                return web.json_response({"version": version})
            if "watch_after" in request.query:
                after = int(request.query["watch_after"])
                stored = await self.store.watch(key, after, 0)
                if stored is None:
                    return web.Response(status=204)
            else:
                stored = await self.store.get(key)
        except StoreConflict as error:
            return web.json_response({"version": error.version}, status=409)
        except StoreUnavailable:
            return web.Response(status=503)
        if stored is None:
            return web.Response(status=404)
        return web.json_response({"value": stored.value, "version": stored.version})
