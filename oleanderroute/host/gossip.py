"""Gossip datagrams between hosts: findings about targets, and changes of the store.

The hosts of a failure domain send their datagrams to the hub of that domain. The hub
forwards the content in batches, to its own domain and to the hubs of the others.
"""

import asyncio
import secrets

from .. import events
from ..decisions.agreement import ReplicaAgreement
from ..decisions.health import Finding
from ..decisions.link_budget import LinkBudget
from ..errors import MessageRejected, PatchBaseMissing
from ..peer.codec import decode_message, encode_message
from ..peer.gen.oleander_gossip.ttypes import Gossip, Observation
from .contact import MEMBER_HEARTBEAT_S, ContactTracker
from .gossip_checks import MAX_AGE_MS, check_gossip
from .membership import GossipMembership
from .observations import ObservationReceiver
from .outbox import URGENT, Outbox, TrafficCount
from .patches import PatchMaker, restore_items
from .wire_revisions import era_field, revision_from_wire

# Delays of batches of findings, at the host that made them and, at the least, at a hub.
BATCH_DELAY_S = 0.01
HUB_BATCH_DELAY_S = 0.02
# Datagrams with findings that a hub sends to its failure domain; with more hosts it
# forwards less often, and each host wakes up less often.
MAX_HUB_DATAGRAMS_PER_S = 1000
URGENT_INTERVAL_SHARE = 0.25
# Heartbeat interval from a host that sends nothing else to its hub.
HEARTBEAT_INTERVAL_S = 0.4
# Well below ``HUB_TIMEOUT_S``, after which a silent hub is avoided.
HUB_HEARTBEAT_INTERVAL_S = 0.1
# Interval at which a host that is no hub checks whether its hub is silent.
ROLE_CHECK_INTERVAL_S = 0.2
# Interval at which a hub sends the list of its live hosts.
LIVE_LIST_INTERVAL_S = 0.25
# Rejected datagrams arrive at any rate; their log lines do not.
REJECTION_LOG_INTERVAL_S = 1.0
# A reason may quote a field that fills a datagram.
MAX_REASON_LENGTH = 200
# Larger datagrams may be fragmented or lost; larger changes are fetched by TCP.
MAX_CHANGE_BYTES = 900
# Minimum interval at which a host asks others for what they keep.
KEPT_STATES_INTERVAL_S = 0.5
# The field of the message has 16 bits with a sign.
MAX_INCARNATION = 2**15


class GossipTask(asyncio.DatagramProtocol):
    """Sends this host's findings and receives those of other hosts.

    Parameters
    ----------
    view : FleetView
    crashes : CrashTracker
    clock : Clock

    Attributes
    ----------
    membership : GossipMembership
    on_newer_revision : callable or None
        Called with the id of a host that has a newer revision of the store, and that
        revision.
    on_difference : callable or None
        Called when another host at the same revision has other items.
    on_other_kept_states : callable or None
        Called with the id of a host that keeps other states against the store's copy.
    """

    def __init__(self, view, crashes, clock):
        self.view = view
        self.crashes = crashes
        self.clock = clock
        self.transport = None
        self.membership = GossipMembership(view, clock)
        self.own_outbox = Outbox()
        # What a hub has to forward inside its domain, and to the hubs of other domains.
        self.domain_outbox = Outbox(self.service_of)
        self.hub_outbox = Outbox(self.service_of)
        self.budget = LinkBudget(view.settings.link_mbps, clock.now())
        self.patch_maker = PatchMaker(view.replica)
        self.agreement = ReplicaAgreement()
        self.incarnation = secrets.randbelow(MAX_INCARNATION)
        self.timers = {}
        self.turn = 0
        self.sent_at = 0.0
        # When this host, as a hub, last forwarded findings to its domain.
        self.forwarded_at = float("-inf")
        self.live_list_sent_at = 0.0
        # Datagrams and findings that were rejected since the start.
        self.rejected = 0
        self.rejection_logged_at = float("-inf")
        self.sent = TrafficCount()
        self.received = TrafficCount()
        self.receiver = ObservationReceiver(
            view, self.membership, self.incarnation, self.reject
        )
        self.contact = ContactTracker(view, self.membership)
        view.rate_limits.contact_tracker = self.contact
        self.on_newer_revision = None
        self.on_difference = None
        self.on_other_kept_states = None
        # When this host last asked another one for what it keeps.
        self.asked_for_kept_at = float("-inf")

    @property
    def settings(self):
        """The ``HostSettings`` in force."""
        return self.view.settings

    async def start(self):
        """Open the UDP socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.settings.address, self.settings.gossip_port),
        )

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def error_received(self, error):
        """Ignore that a datagram had no receiver; the store lists the live hosts."""

    def close(self):
        """Cancel the timers and close the socket."""
        for timer in self.timers.values():
            timer.cancel()
        if self.transport is not None:
            self.transport.close()

    async def run(self):
        """Choose roles, and send a heartbeat if nothing was sent for an interval."""
        while True:
            self.membership.choose_roles()
            interval_s = HEARTBEAT_INTERVAL_S
            if self.membership.is_hub:
                interval_s = HUB_HEARTBEAT_INTERVAL_S
            elif self.view.rate_limits.is_needed:
                interval_s = MEMBER_HEARTBEAT_S
            await asyncio.sleep(
                interval_s if self.membership.is_hub else ROLE_CHECK_INTERVAL_S
            )
            now = self.clock.now()
            is_silent = now - self.sent_at >= interval_s
            if self.membership.is_hub:
                if (
                    is_silent
                    or self.is_live_list_due(now)
                    or self.contact.is_report_due(now)
                ):
                    self.flush_to_domain(is_heartbeat=True)
            elif is_silent:
                self.flush_to_own_hub(is_heartbeat=True)

    def is_live_list_due(self, now):
        """Tell whether a hub has to send the list of its live hosts again."""
        return now - self.live_list_sent_at >= LIVE_LIST_INTERVAL_S

    def set_store_lost(self, is_lost):
        """Notify the other hosts when calls to the store start or stop failing."""
        if is_lost == self.membership.store_lost:
            return
        self.membership.store_lost = is_lost
        if self.membership.is_hub:
            self.membership.update_watcher()
            self.flush_to_domain(is_heartbeat=True)
        else:
            self.flush_to_own_hub(is_heartbeat=True)

    # Sending

    def report(
        self,
        target_id,
        finding,
        sent_at,
        send_number,
        latency_s=None,
        load=None,
        count=None,
        announcement=None,
    ):
        """Queue a finding for the other hosts.

        Parameters
        ----------
        count : int, optional
            At the start of a send, how many first sends, or resends, to the service
            this process has begun.
        announcement : tuple of (Workspace, int), optional
            At the first send of a request of a workspace with a rate limit, how many
            such requests this process has sent.
        """
        age_ms = int((self.clock.now() - sent_at) * 1000)
        observation = Observation(
            target_id=target_id,
            kind=int(finding),
            age_ms=min(MAX_AGE_MS, max(0, age_ms)),
            send_number=send_number,
        )
        if latency_s is not None:
            observation.latency_ms = int(latency_s * 1000)
        if count is not None:
            observation.incarnation = self.incarnation
            observation.count = count
        if announcement is not None:
            observation.workspace, observation.workspace_count = announcement
        if load is not None:
            observation.in_system = min(load[0], 30_000)
            observation.slots = min(load[1], 30_000)
        self.own_outbox.observations.append(observation)
        self.schedule_own(finding in URGENT)

    def report_leaving(self, entry):
        """Tell the other hosts that a target said in an answer that it will stop."""
        self.own_outbox.observations.append(
            Observation(
                target_id=entry.target_id,
                kind=int(Finding.LEAVING),
                age_ms=0,
                send_number=0,
                target_started_ms=entry.started_ms,
            )
        )
        self.schedule_own(is_urgent=True)

    def report_crash(self, notice):
        """Send a ``CrashNotice`` to the other hosts."""
        self.own_outbox.crashes.append(notice)
        self.schedule_own(is_urgent=True)

    def schedule_own(self, is_urgent):
        """Schedule the sending of this host's findings, at once or in a batch."""
        if not self.membership.is_hub:
            self.schedule_flush(
                self.flush_to_own_hub, 0.0 if is_urgent else BATCH_DELAY_S
            )
            return
        for outbox in (self.domain_outbox, self.hub_outbox):
            outbox.add(self.own_outbox.observations, self.own_outbox.crashes)
        self.own_outbox = Outbox()
        self.schedule_forward(is_urgent)

    def schedule_forward(self, is_urgent):
        """Schedule the forwarding of what a hub has queued, at once or in a batch."""
        delay_s = max(self.forward_wait_s(is_urgent), self.link_wait_s())
        if not self.domain_outbox.is_empty():
            self.schedule_flush(self.flush_to_domain, delay_s)
        if not self.hub_outbox.is_empty():
            self.schedule_flush(self.flush_to_hubs, delay_s)

    def forward_wait_s(self, is_urgent):
        """Return the seconds until a hub may forward findings again.

        The interval grows with the hosts of the domain, so that the datagrams of a hub
        do not. Urgent findings wait for a share of it after the last datagrams.
        """
        members = len(self.membership.hosts_of(self.settings.failure_domain))
        interval_s = max(HUB_BATCH_DELAY_S, members / MAX_HUB_DATAGRAMS_PER_S)
        if not is_urgent:
            return interval_s
        ready_at = self.forwarded_at + URGENT_INTERVAL_SHARE * interval_s
        return max(0.0, ready_at - self.clock.now())

    def schedule_flush(self, flush, delay_s):
        """Call ``flush`` after a delay unless an earlier call is scheduled."""
        loop = asyncio.get_running_loop()
        timer = self.timers.get(flush)
        if timer is not None:
            if timer.when() <= loop.time() + delay_s:
                return
            timer.cancel()
        self.timers[flush] = loop.call_later(delay_s, flush)

    def flush_to_own_hub(self, is_heartbeat=False):
        """Send this host's findings to the hub of its failure domain."""
        self.timers.pop(self.flush_to_own_hub, None)
        hub = self.membership.hub_of(self.settings.failure_domain)
        if hub is None:
            self.membership.is_hub = True
            self.schedule_own(is_urgent=False)
            return
        while is_heartbeat or not self.own_outbox.is_empty():
            is_heartbeat = False
            self.send(self.make_message(self.own_outbox, to_hub=True), [hub])

    def flush_to_domain(self, is_heartbeat=False):
        """Send what a hub has queued to the hosts of its failure domain."""
        self.timers.pop(self.flush_to_domain, None)
        members = list(self.membership.hosts_of(self.settings.failure_domain).values())
        if is_heartbeat:
            # Without findings while the link is busy, so that the hub stays in touch.
            outbox = Outbox() if self.link_wait_s() > 0.0 else self.domain_outbox
            message = self.make_message(outbox, to_hub=False)
            self.add_live_list(message)
            self.add_contact_report(message)
            self.send(message, [*self.membership.other_hubs(), *members])
        while not self.domain_outbox.is_empty():
            if self.link_wait_s() > 0.0:
                self.schedule_forward(is_urgent=False)
                return
            message = self.make_message(self.domain_outbox, to_hub=False)
            self.send(message, self.take_turns(members))
            self.forwarded_at = self.clock.now()

    def link_wait_s(self):
        """Return the seconds until this hub may forward; crashes never wait."""
        if self.domain_outbox.crashes or self.hub_outbox.crashes:
            return 0.0
        return self.budget.wait_s(self.clock.now())

    def take_turns(self, hosts):
        """Return the hosts in another order each time.

        The last ones lose their datagram if the queue of the link is full.
        """
        self.turn += 1
        start = self.turn % max(1, len(hosts))
        return hosts[start:] + hosts[:start]

    def service_of(self, target_id):
        """Return the service of a target, None if the target is not known."""
        view = self.view.targets.get(target_id)
        return None if view is None else view.entry.service

    def flush_to_hubs(self):
        """Send what a hub has queued from its domain to the hubs of other domains."""
        self.timers.pop(self.flush_to_hubs, None)
        hubs = self.membership.other_hubs()
        while not self.hub_outbox.is_empty():
            self.send(self.make_message(self.hub_outbox, to_hub=True), hubs)

    def announce_changes(self, after):
        """Send all changes of the store that this host knows after a revision.

        Of changes that are too large for a datagram, or that may be incomplete, only
        the revision is sent; the other hosts fetch them.

        Parameters
        ----------
        after : StoreRevision
            What this host knew before the changes arrived.
        """
        items = self.view.replica.changes_after(after) or ()
        changes, patches = self.patch_maker.split_changes(
            items, self.patch_maker.bases_before(items, after)
        )
        size = 0
        for change in changes:
            size += len(change.key) + len(change.value or b"") + 12
        for patch in patches:
            size += len(patch.key) + len(patch.patch) + 16
        message = self.make_message(Outbox(), to_hub=not self.membership.is_hub)
        if 0 < size <= MAX_CHANGE_BYTES:
            message.changes = changes or None
            message.patches = patches or None
            message.changes_after = after.number
        if self.membership.is_hub:
            members = self.membership.hosts_of(self.settings.failure_domain).values()
            self.send(message, [*members, *self.membership.other_hubs()])
            return
        hub = self.membership.hub_of(self.settings.failure_domain)
        if hub is not None:
            self.send(message, [hub])

    def announce_confirmation(self):
        """Tell the hub at once that the store has confirmed the replica.

        With the next heartbeat it might reach the others too late for them to rely on.
        """
        if not self.membership.is_hub:
            self.flush_to_own_hub(is_heartbeat=True)

    def make_message(self, outbox, to_hub):
        """Return a message with the next batch of ``outbox``."""
        replica = self.view.replica
        now = self.clock.now()
        message = Gossip(
            host_id=self.settings.host_id,
            failure_domain=self.settings.failure_domain,
            to_hub=to_hub,
            revision=replica.revision.number,
            store_lost=self.membership.store_lost,
            era=era_field(replica.revision),
            kept=self.view.news.kept.digest(replica.items) or None,
        )
        if self.membership.is_hub:
            message.watcher = self.membership.watcher
        if self.agreement.differs_since is not None:
            # The other host may be the one that lacks changes.
            message.digest = replica.digest()
        if replica.confirmed_at is not None:
            age_ms = int((now - replica.confirmed_at) * 1000)
            message.confirmed_ms = min(MAX_AGE_MS, max(0, age_ms))
        observations, crashes = outbox.pop_batch()
        message.observations = observations or None
        message.crashes = crashes or None
        return message

    def add_live_list(self, message):
        """Add the list of live hosts and the digest to a hub's message if due."""
        now = self.clock.now()
        if not self.is_live_list_due(now):
            return
        self.live_list_sent_at = now
        message.heard = self.membership.live_host_ids()
        message.digest = self.view.replica.digest()

    def add_contact_report(self, message):
        """Add to a hub's message which hosts' announcements reach it, if needed."""
        if self.view.rate_limits.is_needed:
            now = self.clock.now()
            message.reached, message.silent = self.contact.make_report(now)

    def send(self, message, hosts):
        """Send a datagram to each of ``hosts``."""
        if self.transport is None:
            return
        self.sent_at = self.clock.now()
        datagram = encode_message(message)
        self.sent.add(len(hosts), len(datagram))
        if message.observations:
            # Heartbeats and changes of the store are small, and must not wait.
            self.budget.spend(len(hosts) * len(datagram), self.sent_at)
        for host in hosts:
            self.transport.sendto(datagram, (host.address, host.gossip_port))

    # Receiving

    def datagram_received(self, data, address):
        """Apply a datagram; drop it if it is malformed."""
        self.received.add(1, len(data))
        try:
            message = decode_message(Gossip(), data)
            check_gossip(message)
        except MessageRejected as error:
            self.reject(address[0], error)
            return
        if message.host_id == self.settings.host_id:
            return
        now = self.clock.now()
        self.membership.record_datagram(message, now)
        self.receiver.apply_all(message, now)
        if message.reached is not None:
            self.contact.record(message.host_id, message.reached, message.silent, now)
        for notice in message.crashes or ():
            self.crashes.apply_notice(notice)
        if message.to_hub:
            self.queue_for_forwarding(message)
        self.apply_changes(message)
        self.compare_replicas(message, now)
        self.compare_kept_states(message, now)
        if message.confirmed_ms is None:
            return
        confirmed = revision_from_wire(message.era, message.revision)
        known = self.view.replica.revision
        if known.is_in_same_history(confirmed) and known >= confirmed:
            self.view.record_confirmation(now - message.confirmed_ms / 1000)

    def queue_for_forwarding(self, message):
        """Queue the findings of a message for the hosts that this hub serves."""
        is_own_domain = message.failure_domain == self.settings.failure_domain
        outboxes = (
            [self.domain_outbox, self.hub_outbox]
            if is_own_domain
            else [self.domain_outbox]
        )
        is_urgent = bool(message.crashes)
        for observation in message.observations or ():
            is_urgent = is_urgent or observation.kind in URGENT
        for outbox in outboxes:
            outbox.add(message.observations or (), message.crashes or ())
        self.schedule_forward(is_urgent)

    def reject(self, source, error):
        """Count what was rejected, and log at most one line in an interval."""
        self.rejected += 1
        now = self.clock.now()
        if now - self.rejection_logged_at < REJECTION_LOG_INTERVAL_S:
            return
        self.rejection_logged_at = now
        events.GOSSIP_REJECTED.log(
            source=source, reason=str(error)[:MAX_REASON_LENGTH], rejected=self.rejected
        )

    def apply_changes(self, message):
        """Apply changes of the store, or request those that are missing."""
        replica = self.view.replica
        revision = revision_from_wire(message.era, message.revision)
        if revision <= replica.revision:
            return
        items = self.decode_changes(message)
        if items is None:
            if self.on_newer_revision is not None:
                self.on_newer_revision(message.host_id, revision)
            return
        before = replica.revision
        self.view.news.apply(items, message.host_id)
        replica.advance(revision)
        if self.membership.is_hub:
            self.announce_changes(before)

    def compare_replicas(self, message, now):
        """Compare the store's items with those of a host at the same revision."""
        replica = self.view.replica
        revision = revision_from_wire(message.era, message.revision)
        if message.digest is None or revision != replica.revision:
            return
        digest = replica.digest()
        if digest is None:
            return
        is_same = message.digest == digest
        if not self.agreement.compare(is_same, self.membership.is_hub, now):
            return
        events.REPLICA_DIFFERS.log(
            peer=message.host_id,
            revision=replica.revision.number,
            items=len(replica.items),
        )
        if self.on_difference is not None:
            self.on_difference()

    def compare_kept_states(self, message, now):
        """Ask another host for what it keeps if that differs."""
        replica = self.view.replica
        revision = revision_from_wire(message.era, message.revision)
        if message.era is None or not revision.is_in_same_history(replica.revision):
            return
        if (message.kept or 0) == self.view.news.kept.digest(replica.items):
            return
        if now - self.asked_for_kept_at < KEPT_STATES_INTERVAL_S:
            return
        self.asked_for_kept_at = now
        if self.on_other_kept_states is not None:
            self.on_other_kept_states(message.host_id)

    def decode_changes(self, message):
        """Return the items of a message, or None if they do not suffice."""
        if message.changes_after is None:
            return None
        replica = self.view.replica
        after = revision_from_wire(message.era, message.changes_after)
        if not after.is_in_same_history(replica.revision) or after > replica.revision:
            return None
        if not message.changes and not message.patches:
            return None
        try:
            return restore_items(replica, after.era, message.changes, message.patches)
        except PatchBaseMissing as error:
            events.PATCH_NOT_APPLICABLE.log(source=message.host_id, reason=str(error))
        except MessageRejected as error:
            self.reject(message.host_id, error)
        return None
