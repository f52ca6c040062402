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
from oleanderroute.peer.codec import HeaderState, PeerIdentity, make_header
from oleanderroute.peer.links import LinkFilter
from oleanderroute.peer.server import PeerServer
from oleanderroute.platform.hostlist import (
    HostEntry,
    HostList,
    HostListClient,
    MemberState,
)
from oleanderroute.platform.store import StoreClient, StoredValue
from oleanderroute.tasks.configuration import ConfigurationTask
from oleanderroute.tasks.distribution import Distribution, seed_addresses
from oleanderroute.tasks.hosts import HostListTask


class FakeStore:
    """Compare-and-swap in memory.

    ``faults`` holds one entry for each coming write of the head: "ok", "lost answer"
    (it takes effect, nothing is heard), "lost request" (it does not), or a callable
    that is run before the answer is lost.
    """

    def __init__(self):
        self.values = {}
        self.version = 0
        self.calls = Counter()
        self.faults = []
        self.down = False
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
            await fault()
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
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        if self.down:
            raise StoreUnavailable("down")


class FakePeers:
    """Peer client of one host; requests reach the tasks of others at once."""

    def __init__(self, host_id, network):
        self.host_id = host_id
        self.network = network

    async def request(self, peer, kind, value, timeout_s=0.5):
        if {self.host_id, peer.host_id} & self.network.unreachable:
            raise PeerUnreachable(peer.host_id)
        caller = self.network.members[self.host_id]
        answerer = self.network.members[peer.host_id]
        answerer.on_header(caller.header())
        _, reply = answerer.handlers[kind](value, caller.header())
        caller.on_header(answerer.header())
        return reply


class Member:
    """The two tasks of one host."""

    def __init__(self, host, network, store):
        self.host = host
        self.handlers = {}
        self.in_force = []
        self.sleeps = []
        rng = random.Random(host.host_id)
        self.distribution = Distribution(host.host_id, host.failure_domain, (), rng)
        peers = FakePeers(host.host_id, network)
        self.task = ConfigurationTask(
            self.distribution,
            store,
            peers,
            network.clock,
            rng,
            lambda declaration, revision: self.in_force.append(revision),
            Metrics(),
            sleep=self.sleep,
        )
        self.hosts = HostListTask(
            self.distribution, None, peers, network.clock, rng, lambda one: None
        )
        self.task.register(self)
        self.hosts.register(self)

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


class Network:
    """A fleet in one process."""

    def __init__(self, domains, hosts_per_domain, store):
        self.clock = ManualClock()
        self.unreachable = set()
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


class RealHost:
    """Both tasks of one host over real connections; owned by an exit stack."""

    def __init__(self, host_id, port, url, seeds):
        identity = PeerIdentity("f", host_id, 1, "d0", "r")
        clock, metrics, links = SystemClock(), Metrics(), LinkFilter()
        rng = random.Random(host_id)
        self.in_force = []
        self.port = port

        def header():
            return make_header(
                identity, HeaderState(self.task.revision, self.hosts.version, 1.0)
            )

        def on_reply(one, sent_at):
            pass

        def on_header(one):
            self.task.on_peer_header(one)
            self.hosts.on_peer_header(one)

        distribution = Distribution(host_id, "d0", seed_addresses(seeds), rng)
        self.store = StoreClient(url, clock, metrics)
        self.client = PeerClient(
            "f", header, on_header, on_reply, links, clock, metrics
        )
        self.server = PeerServer(
            "f", header, on_header, links, ["127.0.0.0/8"], metrics
        )
        self.task = ConfigurationTask(
            distribution,
            self.store,
            self.client,
            clock,
            rng,
            lambda declaration, revision: self.in_force.append(revision),
            metrics,
        )
        self.hosts = HostListTask(
            distribution,
            HostListClient(self.store),
            self.client,
            clock,
            rng,
            lambda one: None,
        )
        self.task.register(self.server)
        self.hosts.register(self.server)

    async def start(self, stack):
        await self.server.start("127.0.0.1", self.port)
        stack.push_async_callback(self.store.close)
        stack.push_async_callback(self.client.close)
        stack.push_async_callback(self.server.close)
        for run in (self.task.run, self.hosts.run):
            running = asyncio.create_task(run())
            stack.push_async_callback(stopped, running)

    def is_at(self, revision, host_list_version):
        found = (self.task.revision, self.hosts.version)
        return found == (revision, host_list_version)


async def stopped(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


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
