"""Datagrams between hosts: findings about targets, and news of the store.

The hosts of a failure domain send theirs to the hub of that domain. The hub passes
them on in batches, to its own domain and to the hubs of the others.
"""

import asyncio

from .. import events
from ..decisions.health import Finding
from ..errors import MessageRejected
from ..peer.codec import decode_message, encode_message
from ..peer.gen.oleander_messages.ttypes import Gossip, ItemChange, Observation
from .model import StoreItem
from .neighbours import Neighbours

# Findings wait this long for others, at their host and at a hub; urgent ones do not.
BATCH_S = 0.01
HUB_BATCH_S = 0.02
# A host that has nothing to tell is heard by its hub at this interval.
BEACON_S = 0.4
# Well below the time after which a silent hub is passed over.
HUB_BEACON_S = 0.1
# The hubs' list of hosts that they hear is repeated at this interval.
HEARD_LIST_S = 0.25
# Datagrams above this size may be split or lost; larger news is fetched by TCP.
MAX_CHANGE_BYTES = 900
MAX_OBSERVATIONS = 30
MAX_AGE_MS = 60_000
URGENT = frozenset(
    {Finding.FAILED, Finding.OVERDUE, Finding.LONG_OVERDUE, Finding.UNREACHABLE}
)


class Outbox:
    """What waits to be sent in one direction."""

    def __init__(self):
        self.observations = []
        self.crashes = []

    def add(self, observations, crashes):
        """Queue findings."""
        self.observations += observations
        self.crashes += crashes

    def is_empty(self):
        """Tell whether nothing waits."""
        return not self.observations and not self.crashes

    def take(self):
        """Return the next observations and crashes, and keep the rest."""
        observations = self.observations[:MAX_OBSERVATIONS]
        self.observations = self.observations[MAX_OBSERVATIONS:]
        crashes = self.crashes
        self.crashes = []
        return observations, crashes


class GossipTask(asyncio.DatagramProtocol):
    """Sends this host's findings and takes those of others.

    Parameters
    ----------
    view : FleetView
    crashes : CrashLedger
    clock : Clock

    Attributes
    ----------
    neighbours : Neighbours
    on_newer : callable or None
        Told the id of a host that knows more of the store, and its revision.
    """

    def __init__(self, view, crashes, clock):
        self.view = view
        self.crashes = crashes
        self.clock = clock
        self.transport = None
        self.neighbours = Neighbours(view, clock)
        self.own = Outbox()
        # What a hub still has to pass on inside its domain, and to other domains.
        self.inward = Outbox()
        self.outward = Outbox()
        self.timers = {}
        self.sent_at = 0.0
        self.heard_list_at = 0.0
        # A field of 16 bits, so their number is bounded.
        self.unknown_kinds = set()
        self.on_newer = None

    @property
    def settings(self):
        """The ``HostSettings`` in force."""
        return self.view.settings

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
        for timer in self.timers.values():
            timer.cancel()
        if self.transport is not None:
            self.transport.close()

    async def run(self):
        """Choose roles, and send a beacon when nothing else was sent for a while."""
        while True:
            self.neighbours.choose_roles()
            interval_s = HUB_BEACON_S if self.neighbours.is_hub else BEACON_S
            await asyncio.sleep(min(interval_s, HUB_BEACON_S))
            now = self.clock.now()
            is_silent = now - self.sent_at >= interval_s
            if self.neighbours.is_hub and (is_silent or self.is_list_due(now)):
                self.flush_inward(is_beacon=True)
            elif is_silent:
                self.flush_own(is_beacon=True)

    def is_list_due(self, now):
        """Tell whether a hub has to repeat which hosts it hears."""
        return now - self.heard_list_at >= HEARD_LIST_S

    def set_store_lost(self, is_lost):
        """Tell the others at once when the store begins or ceases to fail calls."""
        if is_lost == self.neighbours.store_lost:
            return
        self.neighbours.store_lost = is_lost
        if self.neighbours.is_hub:
            self.neighbours.appoint()
            self.flush_inward(is_beacon=True)
        else:
            self.flush_own(is_beacon=True)

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
        self.own.observations.append(observation)
        self.own_changed(finding in URGENT)

    def report_crash(self, notice):
        """Send a ``CrashNotice`` to the other hosts."""
        self.own.crashes.append(notice)
        self.own_changed(is_urgent=True)

    def own_changed(self, is_urgent):
        """Send what this host has found, at once or in a batch."""
        if not self.neighbours.is_hub:
            self.flush_soon(self.flush_own, 0.0 if is_urgent else BATCH_S)
            return
        for outbox in (self.inward, self.outward):
            outbox.add(self.own.observations, self.own.crashes)
        self.own = Outbox()
        self.pass_on_soon(is_urgent)

    def pass_on_soon(self, is_urgent):
        """Pass on what a hub has collected, at once or in a batch."""
        delay_s = 0.0 if is_urgent else HUB_BATCH_S
        if not self.inward.is_empty():
            self.flush_soon(self.flush_inward, delay_s)
        if not self.outward.is_empty():
            self.flush_soon(self.flush_outward, delay_s)

    def flush_soon(self, flush, delay_s):
        """Call ``flush`` after a delay unless it is due anyway."""
        timer = self.timers.get(flush)
        if timer is not None:
            if delay_s > 0.0:
                return
            timer.cancel()
        loop = asyncio.get_running_loop()
        self.timers[flush] = loop.call_later(delay_s, flush)

    def flush_own(self, is_beacon=False):
        """Send this host's findings to its hub."""
        self.timers.pop(self.flush_own, None)
        hub = self.neighbours.hub_of(self.settings.failure_domain)
        if hub is None:
            self.neighbours.is_hub = True
            self.own_changed(is_urgent=False)
            return
        while is_beacon or not self.own.is_empty():
            is_beacon = False
            self.send(self.make_message(self.own, to_hub=True), [hub])

    def flush_inward(self, is_beacon=False):
        """Send what a hub has collected to the hosts of its failure domain."""
        self.timers.pop(self.flush_inward, None)
        members = list(self.neighbours.hosts_of(self.settings.failure_domain).values())
        while is_beacon or not self.inward.is_empty():
            message = self.make_message(self.inward, to_hub=False)
            if is_beacon:
                self.add_heard_list(message)
                self.send(message, self.neighbours.other_hubs())
            is_beacon = False
            self.send(message, members)

    def flush_outward(self):
        """Send what a hub has collected in its domain to the other hubs."""
        self.timers.pop(self.flush_outward, None)
        hubs = self.neighbours.other_hubs()
        while not self.outward.is_empty():
            self.send(self.make_message(self.outward, to_hub=True), hubs)

    def announce(self, items, after):
        """Send changes of the store that follow revision ``after``.

        Large ones are only announced by the revision; others fetch them.
        """
        size = 0
        changes = []
        for item in items:
            size += len(item.key) + len(item.value or b"") + 12
            changes.append(ItemChange(item.key, item.revision, item.value))
        message = self.make_message(Outbox(), to_hub=not self.neighbours.is_hub)
        if 0 < size <= MAX_CHANGE_BYTES:
            message.changes = changes
            message.changes_after = after
        if self.neighbours.is_hub:
            members = self.neighbours.hosts_of(self.settings.failure_domain).values()
            self.send(message, [*members, *self.neighbours.other_hubs()])
            return
        hub = self.neighbours.hub_of(self.settings.failure_domain)
        if hub is not None:
            self.send(message, [hub])

    def make_message(self, outbox, to_hub):
        """Return a datagram with some of what waits in ``outbox``."""
        replica = self.view.replica
        now = self.clock.now()
        message = Gossip(
            host_id=self.settings.host_id,
            failure_domain=self.settings.failure_domain,
            to_hub=to_hub,
            revision=replica.revision,
            store_lost=self.neighbours.store_lost,
        )
        if self.neighbours.is_hub:
            message.watcher = self.neighbours.watcher
        if replica.confirmed_at is not None:
            age_ms = int((now - replica.confirmed_at) * 1000)
            message.confirmed_ms = min(MAX_AGE_MS, max(0, age_ms))
        observations, crashes = outbox.take()
        message.observations = observations or None
        message.crashes = crashes or None
        return message

    def add_heard_list(self, message):
        """Tell from time to time which hosts a hub hears."""
        now = self.clock.now()
        if not self.is_list_due(now):
            return
        self.heard_list_at = now
        message.heard = self.neighbours.heard_list()

    def send(self, message, hosts):
        """Send a datagram to each of ``hosts``."""
        if self.transport is None:
            return
        self.sent_at = self.clock.now()
        datagram = encode_message(message)
        for host in hosts:
            self.transport.sendto(datagram, (host.address, host.gossip_port))

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
        now = self.clock.now()
        self.neighbours.note_heard(message, now)
        for observation in message.observations or ():
            if observation.host_id is None:
                observation.host_id = message.host_id
            self.take_observation(observation, now)
        for notice in message.crashes or ():
            self.crashes.take_notice(notice)
        if message.to_hub:
            self.collect(message)
        self.take_changes(message)
        if message.confirmed_ms is None:
            return
        if self.view.replica.revision >= message.revision:
            self.view.confirmed(now - message.confirmed_ms / 1000)

    def collect(self, message):
        """Keep findings for the hosts that this one is a hub for."""
        is_own_domain = message.failure_domain == self.settings.failure_domain
        outboxes = [self.inward, self.outward] if is_own_domain else [self.inward]
        is_urgent = bool(message.crashes)
        for observation in message.observations or ():
            is_urgent = is_urgent or observation.kind in URGENT
        for outbox in outboxes:
            outbox.add(message.observations or (), message.crashes or ())
        self.pass_on_soon(is_urgent)

    def take_observation(self, observation, now):
        """Apply a finding of another host."""
        own_id = self.settings.host_id
        try:
            finding = Finding(observation.kind)
        except ValueError:
            self.note_unknown(observation)
            return
        if observation.host_id == own_id:
            return
        latency_s = None
        if observation.latency_ms is not None:
            latency_s = observation.latency_ms / 1000
        load = None
        if observation.in_system is not None and observation.slots is not None:
            load = (observation.in_system, observation.slots)
        sent_at = now - observation.age_ms / 1000
        sender = (observation.host_id, observation.send_number)
        self.neighbours.heard_at[observation.host_id] = now
        self.view.observe(
            observation.target_id, finding, sent_at, sender, latency_s, load
        )

    def note_unknown(self, observation):
        """Log the first finding of a kind that only later versions know."""
        if observation.kind in self.unknown_kinds:
            return
        self.unknown_kinds.add(observation.kind)
        events.FINDING_UNKNOWN.log(sender=observation.host_id, kind=observation.kind)

    def take_changes(self, message):
        """Apply changes of the store, or have missing ones fetched."""
        replica = self.view.replica
        if message.revision <= replica.revision:
            return
        after = message.changes_after
        if not message.changes or after is None or after > replica.revision:
            if self.on_newer is not None:
                self.on_newer(message.host_id, message.revision)
            return
        items = []
        for change in message.changes:
            items.append(StoreItem(change.key, change.revision, change.value))
        before = replica.revision
        self.view.apply(items)
        replica.advance(message.revision)
        if self.neighbours.is_hub:
            self.announce(items, max(before, after))
