"""Datagrams between hosts: findings about targets, and news of the store."""

import asyncio
import secrets
from collections import deque

from .. import events
from ..decisions.health import Finding
from ..decisions.ranking import rank
from ..errors import MessageRejected
from ..peer.codec import decode_message, encode_message
from ..peer.gen.oleander_messages.ttypes import Gossip, ItemChange, Observation
from .model import StoreItem

# Findings wait this long for others; urgent ones are sent at once.
BATCH_S = 0.02
# A host that has nothing to tell is heard at this interval.
BEACON_S = 0.4
WATCHER_BEACON_S = 0.25
# Hosts that were not heard for this long are taken for unreachable.
HEARD_S = 1.5
# A watcher whose last confirmation is older than this has lost the store.
CONFIRMATION_S = 2.6
# Hosts of another failure domain that pass a datagram on inside it.
RELAYS_PER_DOMAIN = 2
# Datagrams above this size may be split or lost; larger news is fetched by TCP.
MAX_CHANGE_BYTES = 1100
MAX_OBSERVATIONS = 60
# Datagrams of one host of which a second copy is recognized.
REMEMBERED_SEQUENCES = 256
MAX_AGE_MS = 60_000
URGENT = frozenset(
    {Finding.FAILED, Finding.OVERDUE, Finding.LONG_OVERDUE, Finding.UNREACHABLE}
)


class SeenDatagrams:
    """Recognizes second copies of the datagrams of one incarnation of a host."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.order = deque()
        self.known = set()

    def is_new(self, sequence):
        """Tell whether a sequence number has not been seen, and remember it."""
        if sequence in self.known:
            return False
        self.known.add(sequence)
        self.order.append(sequence)
        if len(self.order) > REMEMBERED_SEQUENCES:
            self.known.discard(self.order.popleft())
        return True


class GossipTask(asyncio.DatagramProtocol):
    """Sends this host's findings and takes those of others.

    Parameters
    ----------
    view : FleetView
    crashes : CrashLedger
    clock : Clock
    """

    def __init__(self, view, crashes, clock):
        self.view = view
        self.crashes = crashes
        self.clock = clock
        self.settings = view.settings
        self.incarnation = secrets.randbits(48)
        self.sequence = 0
        self.transport = None
        self.pending = []
        self.pending_crashes = []
        self.flush_timer = None
        self.sent_at = 0.0
        self.seen = {}
        self.heard_at = view.heard_at
        self.watcher_heard_at = None
        # Set by the follower: whether this host watches, and how news is fetched.
        self.is_watching = False
        self.on_newer = None
        self.sent_bytes = 0

    async def start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.settings.address, self.settings.gossip_port),
        )

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def error_received(self, error):
        """Ignore that a datagram found no receiver; the host list tells more."""

    def close(self):
        """Close the socket."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        if self.transport is not None:
            self.transport.close()

    async def run(self):
        """Send a beacon whenever nothing else was sent for a while."""
        while True:
            interval_s = WATCHER_BEACON_S if self.is_watching else BEACON_S
            await asyncio.sleep(interval_s / 2)
            if self.clock.now() - self.sent_at >= interval_s:
                self.flush()

    # Sending

    def report(
        self, target_id, finding, sent_at, send_number, latency_s=None, load=None
    ):
        """Queue a finding for the other hosts."""
        age_ms = int((self.clock.now() - sent_at) * 1000)
        observation = Observation(
            target_id=target_id,
            kind=int(finding),
            age_ms=min(MAX_AGE_MS, max(0, age_ms)),
            send_number=send_number,
        )
        if latency_s is not None:
            observation.latency_ms = int(latency_s * 1000)
        if load is not None:
            observation.in_system = min(load[0], 30_000)
            observation.slots = min(load[1], 30_000)
        self.pending.append(observation)
        if finding in URGENT or len(self.pending) >= MAX_OBSERVATIONS:
            self.flush()
        else:
            self.flush_later()

    def report_crash(self, notice):
        """Send a ``CrashNotice`` to the other hosts."""
        self.pending_crashes.append(notice)
        self.flush()

    def flush_later(self):
        """Send what is queued after the batching time."""
        if self.flush_timer is None:
            loop = asyncio.get_running_loop()
            self.flush_timer = loop.call_later(BATCH_S, self.flush)

    def announce(self, items, after):
        """Send changes of the store that follow revision ``after``.

        Large ones are only announced by the revision; others fetch them.
        """
        size = 0
        changes = []
        for item in items:
            size += len(item.key) + len(item.value or b"") + 12
            changes.append(ItemChange(item.key, item.revision, item.value))
        if size > MAX_CHANGE_BYTES:
            self.flush()
            return
        self.flush(changes, after)

    def flush(self, changes=None, after=None):
        """Send everything that is queued, or a beacon."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
            self.flush_timer = None
        if self.transport is None:
            return
        self.sequence += 1
        self.sent_at = self.clock.now()
        message = self.make_message()
        if changes:
            message.changes = changes
            message.changes_after = after
        has_content = bool(message.observations or message.crashes or changes)
        direct = encode_message(message)
        message.forward = True
        relayed = encode_message(message)
        for host in self.neighbours():
            self.send(direct, host)
        # Others learn nothing from a beacon unless it confirms the store's news.
        if has_content or self.is_watching:
            for host in self.relays():
                self.send(relayed, host)

    def make_message(self):
        """Return a datagram with the queued findings."""
        replica = self.view.replica
        message = Gossip(
            host_id=self.settings.host_id,
            incarnation=self.incarnation,
            sequence=self.sequence,
            failure_domain=self.settings.failure_domain,
            forward=False,
            revision=replica.revision,
        )
        if self.is_watching and replica.confirmed_at is not None:
            age_ms = int((self.sent_at - replica.confirmed_at) * 1000)
            message.confirmed_ms = min(MAX_AGE_MS, max(0, age_ms))
        if self.pending:
            message.observations = self.pending
            self.pending = []
        if self.pending_crashes:
            message.crashes = self.pending_crashes
            self.pending_crashes = []
        return message

    def send(self, datagram, host):
        """Send one datagram."""
        self.sent_bytes += len(datagram)
        self.transport.sendto(datagram, (host.address, host.gossip_port))

    def neighbours(self):
        """Return the other hosts of this failure domain."""
        own = self.settings
        found = []
        for host in self.view.hosts.values():
            if host.host_id == own.host_id:
                continue
            if host.failure_domain == own.failure_domain:
                found.append(host)
        return found

    def relays(self):
        """Return the hosts that pass datagrams on in the other failure domains."""
        domains = {}
        for host in self.view.hosts.values():
            if host.failure_domain != self.settings.failure_domain:
                domains.setdefault(host.failure_domain, []).append(host)
        found = []
        for domain, hosts in domains.items():
            heard = [host for host in hosts if self.is_heard(host.host_id)]
            chosen = heard if len(heard) >= RELAYS_PER_DOMAIN else hosts
            by_id = {host.host_id: host for host in chosen}
            for host_id in rank(f"relay/{domain}", by_id)[:RELAYS_PER_DOMAIN]:
                found.append(by_id[host_id])
        return found

    def heard_count(self):
        """Return how many hosts are heard, this one included."""
        count = 1
        for host_id in self.view.hosts:
            if host_id != self.settings.host_id and self.is_heard(host_id):
                count += 1
        return count

    def is_heard(self, host_id):
        """Tell whether a host was heard recently."""
        heard_at = self.heard_at.get(host_id)
        return heard_at is not None and self.clock.now() - heard_at < HEARD_S

    # Receiving

    def datagram_received(self, data, address):
        """Take a datagram; malformed ones are dropped."""
        try:
            message = decode_message(Gossip(), data)
        except MessageRejected as error:
            events.GOSSIP_REJECTED.log(source=address[0], reason=str(error))
            return
        if message.host_id == self.settings.host_id:
            return
        seen = self.seen.get(message.host_id)
        if seen is None or seen.incarnation != message.incarnation:
            seen = self.seen[message.host_id] = SeenDatagrams(message.incarnation)
        if not seen.is_new(message.sequence):
            return
        if message.forward:
            self.pass_on(message)
        self.receive(message)

    def pass_on(self, message):
        """Send a datagram of another failure domain to the hosts of this one."""
        message.forward = False
        datagram = encode_message(message)
        for host in self.neighbours():
            self.send(datagram, host)

    def receive(self, message):
        """Take the contents of a datagram."""
        now = self.clock.now()
        self.heard_at[message.host_id] = now
        for observation in message.observations or ():
            self.take_observation(observation, message.host_id, now)
        for notice in message.crashes or ():
            self.crashes.take_notice(notice)
        self.take_changes(message)
        if message.confirmed_ms is None:
            return
        confirmed_at = now - message.confirmed_ms / 1000
        if now - confirmed_at < CONFIRMATION_S:
            self.watcher_heard_at = now
        if self.view.replica.revision >= message.revision:
            self.view.confirmed(confirmed_at)

    def take_observation(self, observation, host_id, now):
        """Apply a finding of another host."""
        try:
            finding = Finding(observation.kind)
        except ValueError:
            return
        latency_s = None
        if observation.latency_ms is not None:
            latency_s = observation.latency_ms / 1000
        load = None
        if observation.in_system is not None and observation.slots is not None:
            load = (observation.in_system, observation.slots)
        sent_at = now - observation.age_ms / 1000
        sender = (host_id, observation.send_number)
        self.view.observe(
            observation.target_id, finding, sent_at, sender, latency_s, load
        )

    def take_changes(self, message):
        """Apply changes of the store, or have missing ones fetched."""
        replica = self.view.replica
        if message.revision <= replica.revision:
            return
        after = message.changes_after
        if message.changes and after is not None and after <= replica.revision:
            items = []
            for change in message.changes:
                items.append(StoreItem(change.key, change.revision, change.value))
            self.view.apply(items)
            replica.advance(message.revision)
            return
        if self.on_newer is not None:
            self.on_newer(message.host_id, message.revision)
