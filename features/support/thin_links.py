"""Hosts of one fleet in virtual time, behind links of limited bandwidth.

The event loop replaces sockets by in-memory transports: bytes queue at the link of the
sender and at that of the receiver, and a datagram that meets a full queue is lost.
Time advances from one timer to the next, so that seconds of a fleet take a moment.
"""

import asyncio
import random
import selectors
from contextvars import ContextVar
from types import SimpleNamespace

import orjson

from oleanderroute.decisions.store_history import (
    NO_REVISION,
    UNNAMED_ERA,
    StoreLease,
    StoreRevision,
)
from oleanderroute.entry.messages import TargetAnswer
from oleanderroute.errors import (
    HistoryLost,
    HistoryReplaced,
    LeaseUnknown,
    StoreUnavailable,
)
from oleanderroute.host.copies import CopyServer
from oleanderroute.host.fleetview import FleetView
from oleanderroute.host.follower import StoreFollower
from oleanderroute.host.gossip import GossipTask
from oleanderroute.host.model import HostSettings, ItemPage, StoreItem
from oleanderroute.host.repeat_records import RepeatRecorder
from oleanderroute.platform import documents

LATENCY_S = 0.0015
# Of UDP and IPv4.
UDP_HEADER_BYTES = 28
# Bytes of one connection that may be under way; the rest waits at the sender.
WINDOW_BYTES = 32 * 1024
SEGMENT_BYTES = 8 * 1024
WRITE_BUFFER_BYTES = 64 * 1024
# A datagram is lost if its link has more than this to send first.
MAX_QUEUE_S = 0.2
SERVICE_S = 0.1
# Delay of an answer of the store whose packets were lost.
LATE_ANSWER_S = (0.2, 0.9)
# As in the daemon of a host.
HOUSEKEEPING_INTERVAL_S = 0.2
CONTROL_PORT = 8166
GOSSIP_PORT = 7720
BYTES_PER_MBIT = 125_000


class Link:
    """The link of one host; each direction carries one segment after the other."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * BYTES_PER_MBIT
        self.free_at = {"up": 0.0, "down": 0.0}

    def queue_s(self, direction, now):
        return max(0.0, self.free_at[direction] - now)

    def carry(self, direction, size, now):
        """Return when the last of ``size`` bytes has passed."""
        start = max(now, self.free_at[direction])
        self.free_at[direction] = start + size / self.bytes_per_s
        return self.free_at[direction]


class TimerSelector(selectors.DefaultSelector):
    """Advances the time of its loop instead of waiting."""

    loop = None

    def select(self, timeout=None):
        assert timeout is not None, "no timer is set and nothing can happen"
        self.loop.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time and an in-memory network."""

    def __init__(self, seed=1):
        self.now = 0.0
        selector = TimerSelector()
        selector.loop = self
        super().__init__(selector)
        self.links = {}
        self.servers = {}
        self.endpoints = {}
        self.rng = random.Random(seed)
        self.lost_datagrams = 0
        # Share of the datagrams that are lost whatever the links carry.
        self.datagram_loss = 0.0

    def time(self):
        return self.now

    async def create_server(self, factory, host=None, port=None, **others):
        self.servers[host, port] = factory
        return SimpleNamespace(
            close=lambda: self.servers.pop((host, port), None),
            sockets=(),
            _start_serving=lambda: None,
        )

    async def create_connection(self, factory, host=None, port=None, **others):
        source = CURRENT_HOST.get()
        await asyncio.sleep(2 * LATENCY_S)
        if (host, port) not in self.servers:
            raise ConnectionRefusedError(f"{host}:{port}")
        protocols = factory(), self.servers[host, port]()
        ends = StreamEnd(self, source), StreamEnd(self, host)
        for end, other, protocol in zip(ends, ends[::-1], protocols, strict=True):
            end.other, end.protocol = other, protocol
        for end in ends:
            end.protocol.connection_made(end)
        return ends[0], protocols[0]

    async def create_datagram_endpoint(self, factory, local_addr=None, **others):
        protocol = factory()
        self.endpoints[local_addr] = protocol
        transport = DatagramEnd(self, local_addr)
        protocol.connection_made(transport)
        return transport, protocol

    def send_datagram(self, data, source, target):
        up = self.links[source[0]]
        is_lost = self.datagram_loss and self.rng.random() < self.datagram_loss
        if is_lost or up.queue_s("up", self.now) > MAX_QUEUE_S:
            self.lost_datagrams += 1
            return
        sent_at = up.carry("up", len(data) + UDP_HEADER_BYTES, self.now)
        self.call_at(sent_at + LATENCY_S, self.arrive_datagram, data, source, target)

    def arrive_datagram(self, data, source, target):
        down = self.links[target[0]]
        if down.queue_s("down", self.now) > MAX_QUEUE_S:
            self.lost_datagrams += 1
            return
        arrived_at = down.carry("down", len(data) + UDP_HEADER_BYTES, self.now)
        self.call_at(arrived_at, self.deliver_datagram, data, source, target)

    def deliver_datagram(self, data, source, target):
        protocol = self.endpoints.get(target)
        if protocol is not None:
            CURRENT_HOST.set(target[0])
            protocol.datagram_received(data, source)


class DatagramEnd(asyncio.DatagramTransport):
    """The socket of one host for datagrams."""

    def __init__(self, loop, address):
        super().__init__()
        self.loop = loop
        self.address = address

    def sendto(self, data, addr=None):
        self.loop.send_datagram(data, self.address, addr)

    def close(self):
        self.loop.endpoints.pop(self.address, None)


class StreamEnd(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop, address):
        super().__init__()
        self.loop = loop
        self.address = address
        self.other = None
        self.protocol = None
        self.buffer = bytearray()
        self.under_way = 0
        self.is_closing_now = False
        self.is_ended = False
        self.is_paused = False

    def write(self, data):
        self.buffer += data
        if len(self.buffer) > WRITE_BUFFER_BYTES and not self.is_paused:
            self.is_paused = True
            self.protocol.pause_writing()
        self.send_segments()

    def send_segments(self):
        loop = self.loop
        while self.buffer and self.under_way < WINDOW_BYTES:
            segment = bytes(self.buffer[:SEGMENT_BYTES])
            del self.buffer[:SEGMENT_BYTES]
            self.under_way += len(segment)
            sent_at = loop.links[self.address].carry("up", len(segment), loop.now)
            loop.call_at(sent_at + LATENCY_S, self.arrive, segment)
        if self.is_paused and len(self.buffer) <= WRITE_BUFFER_BYTES // 4:
            self.is_paused = False
            self.protocol.resume_writing()
        if self.is_closing_now and not self.buffer and not self.under_way:
            self.other.end()

    def arrive(self, segment):
        loop = self.loop
        link = loop.links[self.other.address]
        arrived_at = link.carry("down", len(segment), loop.now)
        loop.call_at(arrived_at, self.deliver, segment)

    def deliver(self, segment):
        self.under_way -= len(segment)
        if not self.other.is_ended:
            self.other.protocol.data_received(segment)
        self.send_segments()

    def close(self):
        if self.is_closing_now:
            return
        self.is_closing_now = True
        self.loop.call_soon(self.send_segments)
        self.loop.call_soon(self.end, None)

    def abort(self):
        self.buffer.clear()
        self.close()

    def end(self, error=None):
        """Tell the protocol that the connection is closed."""
        if self.is_ended:
            return
        self.is_ended = True
        if not self.is_closing_now:
            self.protocol.eof_received()
        self.protocol.connection_lost(error)

    def is_closing(self):
        return self.is_closing_now

    def get_extra_info(self, name, default=None):
        return default

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


# Address of the host whose task is running.
CURRENT_HOST = ContextVar("host address")


class VirtualStore:
    """The platform's store as a host calls it; its own link is wide."""

    def __init__(self, loop, shared, address):
        self.loop = loop
        self.shared = shared
        self.address = address

    async def answer(self, items):
        """Return a page once its items, in base64, have passed the host's link."""
        revision = self.shared.revision
        if self.shared.late_share and self.loop.rng.random() < self.shared.late_share:
            await asyncio.sleep(self.loop.rng.uniform(*LATE_ANSWER_S))
        size = 200 + sum(len(item.value or b"") * 4 // 3 + 150 for item in items)
        link = self.loop.links[self.address]
        await asyncio.sleep(0.004)
        while size > 0:
            passed_at = link.carry("down", min(size, SEGMENT_BYTES), self.loop.now)
            size -= SEGMENT_BYTES
            await asyncio.sleep(passed_at - self.loop.now)
        return ItemPage(list(items), revision)

    def count_call(self):
        self.shared.calls += 1
        calls = self.shared.calls_by_address
        calls[self.address] = calls.get(self.address, 0) + 1

    def check_refusal(self):
        """Fail the call of a host that the store turns away."""
        if self.shared.is_away:
            raise StoreUnavailable("the store is away")
        if self.shared.refused_until.get(self.address, 0.0) > self.loop.now:
            raise StoreUnavailable("the store refuses this host")

    async def read_prefix(self, prefix):
        self.count_call()
        self.shared.listings += 1
        await asyncio.sleep(LATENCY_S)
        self.check_refusal()
        items = self.shared.items.values()
        return await self.answer([x for x in items if x.key.startswith(prefix)])

    async def watch(self, prefix, after, wait_s):
        self.count_call()
        watches = self.shared.watches_by_address
        watches[self.address] = watches.get(self.address, 0) + 1
        ends_at = self.loop.now + wait_s
        era = self.shared.era
        while True:
            self.check_refusal()
            if self.shared.era > era:
                raise StoreUnavailable("the watch was cut")
            if era > after.era:
                raise HistoryReplaced(era)
            if after > self.shared.revision or after < self.shared.forgotten_up_to:
                raise HistoryLost(f"changes after {after}")
            news = [x for x in self.shared.history if x.revision > after]
            if news or self.loop.now >= ends_at:
                return await self.answer(news)
            await asyncio.sleep(0.01)

    async def create_lease(self, ttl_s):
        self.count_call()
        self.check_refusal()
        self.shared.lease_count += 1
        lease = StoreLease(self.shared.era, self.shared.lease_count)
        self.shared.leases.add(lease.number)
        return lease

    async def renew_lease(self, lease):
        self.count_call()
        self.check_refusal()
        if lease.number not in self.shared.leases:
            raise LeaseUnknown(str(lease))

    async def remove(self, key, revision):
        await asyncio.sleep(0.004)
        self.count_call()
        self.check_refusal()
        item = self.shared.items.get(key)
        if item is not None and item.revision.number == revision.number:
            self.shared.remove(key)

    async def write(self, key, value, lease):
        self.count_call()
        self.check_refusal()
        if lease.number not in self.shared.leases or lease.era != self.shared.era:
            raise LeaseUnknown(str(lease))
        return self.shared.put(key, value)


class SharedStore:
    """What the store holds, for all hosts.

    Attributes
    ----------
    late_share : float
        Share of the answers that are late on their way to the host.
    forgotten_up_to : StoreRevision
        The history at or below this revision is no longer available.
    is_away : bool
        Whether all calls fail.
    refused_until : dict of str to float
        Until when the store refuses the calls of a host, by the host's address.
    """

    def __init__(self):
        self.era = UNNAMED_ERA
        self.number = 5
        self.items = {}
        self.history = []
        # No lease expires here.
        self.leases = set()
        self.lease_count = 0
        self.is_away = False
        self.calls = 0
        self.calls_by_address = {}
        self.watches_by_address = {}
        self.listings = 0
        self.writes_by_key = {}
        self.late_share = 0.0
        self.forgotten_up_to = NO_REVISION
        self.refused_until = {}

    @property
    def revision(self):
        return StoreRevision(self.era, self.number)

    def put(self, key, value):
        self.number += 1
        self.writes_by_key[key] = self.writes_by_key.get(key, 0) + 1
        self.items[key] = StoreItem(key, self.revision, value)
        self.history.append(self.items[key])
        return self.revision

    def remove(self, key):
        """Remove a key and return its removal."""
        self.number += 1
        del self.items[key]
        removal = StoreItem(key, self.revision, None)
        self.history.append(removal)
        return removal

    def name_history(self):
        """Name the first history in all answers, as the store of the platform does."""
        self.restore(self.keep_copy())

    def keep_copy(self):
        """Return what a drill can bring back."""
        return self.number, dict(self.items), set(self.leases), self.lease_count

    def restore(self, copy):
        """Come back from an older copy, in the next era."""
        self.number, items, leases, self.lease_count = copy
        self.era += 1
        self.items = {}
        for key, item in items.items():
            revision = StoreRevision(self.era, item.revision.number)
            self.items[key] = StoreItem(key, revision, item.value)
        self.leases = set(leases)
        self.history = list(self.items.values())
        self.forgotten_up_to = self.revision


class VirtualPool:
    """Targets that answer after a while, or refuse to run a share of the requests."""

    def __init__(self, loop, fleet):
        self.loop = loop
        self.fleet = fleet

    async def exchange(self, target, request, first_byte_s, between_bytes_s):
        await asyncio.sleep(LATENCY_S)
        self.fleet.arrivals.append((request.request_id, self.loop.now))
        if self.loop.rng.random() < self.fleet.refused_share:
            return TargetAnswer(503, [], b"", not_started=True)
        await asyncio.sleep(SERVICE_S)
        return TargetAnswer(200, [], b"x")

    def has_idle(self, target_id):
        return True

    def set_connection_limit(self, target_id, limit):
        pass

    def close_target(self, target_id):
        pass


class VirtualFleet:
    """Hosts with everything but the path of requests.

    Parameters
    ----------
    link_mbps : list of float
        The link of each host of a failure domain.
    domains : int
    """

    def __init__(self, link_mbps, domains, configuration, targets=0, seed=1):
        self.loop = VirtualLoop(seed)
        self.shared = SharedStore()
        self.shared.put("op/config", orjson.dumps(configuration))
        for number in range(targets):
            self.shared.put(f"servers/i-{number:08x}", target_entry(number))
        self.hosts = {}
        # Of all processes of all hosts.
        self.agreements = []
        # Request and time of each arrival at a target.
        self.arrivals = []
        self.refused_share = 0.0
        # When each host had each version in force.
        self.in_force = {}
        # The running task of each host.
        self.works = {}
        # The hosts start at random times within this time.
        self.start_spread_s = 0.0
        for domain in range(domains):
            for number, mbps in enumerate(link_mbps):
                self.add_host(domain, number, mbps)

    def add_host(self, domain, number, mbps):
        address = f"10.{domain}.0.{number + 1}"
        self.loop.links[address] = Link(mbps)
        settings = host_settings(f"edge-{domain}-{number}", address, domain, mbps)
        loop = self.loop
        clock = SimpleNamespace(now=loop.time)
        pool = VirtualPool(loop, self)
        view = FleetView(settings, documents, clock, pool)
        gossip = GossipTask(view, None, clock)
        store = VirtualStore(loop, self.shared, address)
        follower = StoreFollower(
            view, store, gossip, documents, clock, random.Random(number)
        )
        host = SimpleNamespace(
            view=view,
            gossip=gossip,
            follower=follower,
            copies=CopyServer(view, clock),
            recorder=RepeatRecorder(view, store, gossip.membership, documents, clock),
            settings=settings,
            clock=clock,
            pool=pool,
        )
        times = self.in_force[settings.host_id] = {}
        view.on_configuration.append(
            lambda found: times.setdefault(found.version, loop.now)
        )
        self.hosts[settings.host_id] = host
        self.agreements.append(gossip.agreement)

    def run(self, scenario):
        """Run the hosts and a coroutine until it ends; return its result."""
        asyncio.set_event_loop(None)
        try:
            return self.loop.run_until_complete(self.run_hosts(scenario))
        finally:
            self.loop.close()

    async def run_hosts(self, scenario):
        for host_id in self.hosts:
            self.start_host(host_id, self.loop.rng.uniform(0.0, self.start_spread_s))
        try:
            return await scenario
        finally:
            for host_id in list(self.hosts):
                await self.stop_host(host_id)

    def start_host(self, host_id, delay_s=0.0):
        work = self.run_host(self.hosts[host_id], delay_s)
        self.works[host_id] = asyncio.ensure_future(work)

    async def stop_host(self, host_id):
        work = self.works.pop(host_id)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        self.hosts[host_id].gossip.close()
        self.hosts[host_id].copies.close()
        self.hosts[host_id].follower.close()

    async def restart_host(self, host_id, pause_s):
        """Stop a host without a notice and start it with empty memory."""
        settings = self.hosts[host_id].settings
        await self.stop_host(host_id)
        await asyncio.sleep(pause_s)
        _, domain, number = host_id.split("-")
        self.add_host(int(domain), int(number), settings.link_mbps)
        self.start_host(host_id)

    async def run_host(self, host, delay_s):
        await asyncio.sleep(delay_s)
        CURRENT_HOST.set(host.settings.address)
        await host.gossip.start()
        await host.copies.start()
        await asyncio.gather(
            host.gossip.run(),
            host.follower.run(),
            host.follower.keep_registered(),
            host.recorder.run(),
            self.keep_house(host),
        )

    async def keep_house(self, host):
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            host.view.remove_unreturned_targets(self.loop.now)
            host.view.remove_expired_hosts(self.loop.now)

    def differences_found(self):
        """Return how often hosts found that one at the same revision differs."""
        return sum(agreement.found for agreement in self.agreements)

    def lateness(self, version, sent_at):
        """Return the seconds until each host had a version in force, sorted."""
        found = []
        for times in self.in_force.values():
            reached = [at for known, at in times.items() if known >= version]
            found.append(min(reached, default=float("inf")) - sent_at)
        return sorted(found)


def host_settings(host_id, address, domain, mbps):
    fields = {
        "host_id": host_id,
        "address": address,
        "failure_domain": f"d{domain}",
        "region": "r",
        "caller_port": 1,
        "readiness_port": 2,
        "control_port": CONTROL_PORT,
        "gossip_port": GOSSIP_PORT,
        "seeds": (),
        "store_address": "10.200.0.1:1",
        "min_lease_s": 1.0,
        "retry_ratio": 0.2,
        "retry_allowance": 50.0,
        "retry_window_s": 10.0,
        "stop_grace_s": 6.0,
        "link_mbps": mbps,
    }
    known = HostSettings.__dataclass_fields__
    return HostSettings(**{name: x for name, x in fields.items() if name in known})


def target_entry(number, state="ready", cold_ms=0):
    return orjson.dumps(
        {
            "address": f"10.9.{number // 200}.{number % 200 + 1}:8080",
            "info": {"service": "pedidos", "version": "v1", "zone": "d0", "slots": 2},
            "status": {"state": state, "seqNo": 4, "coldRemainingMs": cold_ms},
        }
    )
