"""Leases of slots for long requests, between entries and coordinators."""

import asyncio
from dataclasses import dataclass
from enum import Enum, IntEnum

from ..decisions.slots import LISTEN_S, RENEWAL_PERIOD_S, LongSlots, SlotReason
from ..declaration.model import Service
from ..errors import PeerError
from ..ids import TargetId
from ..peer.gen.oleander_messages.ttypes import SlotReply, SlotRequest
from .base import DaemonTask

# Above this the local rule decides; a long request must not wait for a dead host.
ACQUIRE_TIMEOUT_S = 0.05
UPDATE_TIMEOUT_S = 0.5


class SlotAction(IntEnum):
    """What a slot request asks for. Numbers are part of the peer protocol."""

    ACQUIRE = 0
    RENEW = 1
    RELEASE = 2


class LeaseResult(Enum):
    """What an entry learned about a slot for a long request."""

    GRANTED = "granted"
    REFUSED = "refused"
    NO_COORDINATOR = "no-coordinator"


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """A leased target, or why there is none."""

    result: LeaseResult
    target_id: TargetId | None = None


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this host renews."""

    service: Service
    target_id: TargetId


# The coordinator can't tell yet which slots are in use.
UNDECIDED_REASONS = frozenset({SlotReason.LISTENING, SlotReason.NO_TARGETS})


class SlotCoordinator:
    """Answers slot requests for the services that this host coordinates.

    Parameters
    ----------
    topology : Topology
    service_of : callable
        Returns the ``Service`` of a name, or None.
    targets_of : callable
        Returns the ids of the targets that a service has now.
    clock : Clock
    """

    def __init__(self, topology, service_of, targets_of, clock):
        self.topology = topology
        self.service_of = service_of
        self.targets_of = targets_of
        self.clock = clock
        self.tables = {}

    def register(self, server):
        """Take over the slot requests of a peer server."""
        server.register("slot_request", self.receive)

    def receive(self, request, header):
        """Handle one slot request."""
        table = self.table_of(request.service_name)
        if table is None:
            return "slot_reply", SlotReply(0, None, SlotReason.NO_TARGETS.value)
        now = self.clock.now()
        if request.action == SlotAction.RENEW:
            table.renew(request.lease_id, request.target_id, now)
            return "slot_reply", SlotReply(1, request.target_id, "")
        if request.action == SlotAction.RELEASE:
            table.release(request.lease_id)
            return "slot_reply", SlotReply(1, None, "")
        decision = table.acquire(request.lease_id, set(request.excluded or ()), now)
        granted = decision.target_id is not None
        return "slot_reply", SlotReply(
            int(granted), decision.target_id, decision.reason.value
        )

    def table_of(self, service_name):
        """Return the lease table of a service, made on its first request."""
        service = self.service_of(service_name)
        if service is None:
            return None
        table = self.tables.get(service_name)
        if table is None:
            table = self.make_table(service)
            self.tables[service_name] = table
        table.service = service
        table.set_targets(self.targets_of(service_name))
        return table

    def make_table(self, service):
        """Return a new lease table.

        A host that has ranked first since the host list last changed has missed no
        renewal, so it need not listen for them before its first grant.
        """
        table = LongSlots(service, self.clock)
        if self.topology.coordinates_slots(service):
            heard_all_at = self.topology.changed_at + LISTEN_S
            table.listens_until = min(table.listens_until, heard_all_at)
        return table


class SlotClient(DaemonTask):
    """Acquires, renews and releases the leases of this host.

    Parameters
    ----------
    topology : Topology
    messenger : Messenger
    """

    def __init__(self, topology, messenger):
        self.topology = topology
        self.messenger = messenger
        self.held = {}
        self.pending = set()

    async def acquire(self, service, lease_id, excluded):
        """Ask for a slot.

        Parameters
        ----------
        service : Service
        lease_id : RequestId
        excluded : set of TargetId

        Returns
        -------
        LeaseAnswer
        """
        request = SlotRequest(
            service.name, lease_id, int(SlotAction.ACQUIRE), None, sorted(excluded)
        )
        host = self.topology.slot_coordinator_of(service)
        try:
            reply = await self.messenger.ask(
                host, "slot_request", request, ACQUIRE_TIMEOUT_S
            )
        except PeerError:
            return LeaseAnswer(LeaseResult.NO_COORDINATOR)
        if reply.decision:
            return LeaseAnswer(LeaseResult.GRANTED, reply.target_id)
        if SlotReason(reply.reason) in UNDECIDED_REASONS:
            return LeaseAnswer(LeaseResult.NO_COORDINATOR)
        return LeaseAnswer(LeaseResult.REFUSED)

    def hold(self, service, lease_id, target_id):
        """Renew a lease until it is released; the local rule needs one too."""
        self.held[lease_id] = HeldLease(service, target_id)

    def release(self, service, lease_id):
        """Give up a lease in the background."""
        self.held.pop(lease_id, None)
        request = SlotRequest(service.name, lease_id, int(SlotAction.RELEASE))
        task = asyncio.ensure_future(self.update(service, request))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def run(self):
        """Renew all held leases periodically."""
        while True:
            await asyncio.sleep(RENEWAL_PERIOD_S)
            async with asyncio.TaskGroup() as group:
                for lease_id, lease in list(self.held.items()):
                    request = SlotRequest(
                        lease.service.name,
                        lease_id,
                        int(SlotAction.RENEW),
                        lease.target_id,
                    )
                    group.create_task(self.update(lease.service, request))

    async def update(self, service, request):
        """Send a renewal or a release; a lost one is repaired by expiry."""
        host = self.topology.slot_coordinator_of(service)
        try:
            await self.messenger.ask(host, "slot_request", request, UPDATE_TIMEOUT_S)
        except PeerError:
            return
