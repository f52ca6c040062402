"""Creates and reads the record of the first fleet that ever started."""

import asyncio
from dataclasses import dataclass

import orjson

from .. import events
from ..decisions.claims import BootstrapMember, BootstrapRecord, RankedHost
from ..decisions.ranking import rank
from ..errors import PeerError, StoreConflict, StoreError
from ..peer.gen.oleander_messages.ttypes import StatusRequest
from .base import DaemonTask

RECORD_KEY = "claims/bootstrap"
# Hosts of a first fleet start within this time of each other and of the list.
SETTLE_S = 2.0
RETRY_S = 2.0
ASK_TIMEOUT_S = 0.5
INCARNATION_KIND = "incarnation"


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """What a host says of its process.

    Attributes
    ----------
    may_vote : bool
        Whether it votes on claims already.
    """

    member: BootstrapMember
    may_vote: bool


class BootstrapTask(DaemonTask):
    """Lets the hosts of the first fleet vote on claims before they are old enough.

    Parameters
    ----------
    identity : PeerIdentity
    topology : Topology
    messenger : Messenger
    store : StoreClient
    view : HolderView
    clock : Clock
    rng : random.Random
    """

    def __init__(self, identity, topology, messenger, store, view, clock, rng):
        self.identity = identity
        self.topology = topology
        self.messenger = messenger
        self.store = store
        self.view = view
        self.clock = clock
        self.rng = rng
        self.started_at = clock.now()
        self.is_settled = False

    async def run(self):
        """Wait for the record, or create it, until this host may vote by its age."""
        await asyncio.sleep(SETTLE_S)
        while not self.view.is_old_enough(self.clock.now()):
            try:
                record = await self.read()
                if record is None:
                    record = await self.create()
                if record is not None:
                    self.view.absorb_bootstrap(record, self.clock.now())
                    self.is_settled = True
                    return
            except StoreError as error:
                events.STORE_UNAVAILABLE.log(reason=str(error))
            await asyncio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))

    async def read(self):
        """Return the stored record, or None."""
        stored = await self.store.get(RECORD_KEY, cause="bootstrap")
        if stored is None:
            return None
        return decode_record(stored.value)

    async def create(self):
        """Create the record if this host ranks first and no host is old.

        An older host may have granted claims that the record must not overlook.
        """
        hosts = self.topology.live_hosts()
        if rank("bootstrap", hosts)[0] != self.identity.host_id:
            return None
        members = []
        for host_id in hosts:
            answer = await self.ask_host(self.topology.hosts[host_id])
            if answer is None:
                continue
            if answer.may_vote:
                return None
            members.append(answer.member)
        record = BootstrapRecord(tuple(members))
        try:
            await self.store.put(RECORD_KEY, encode_record(record), 0)
        except StoreConflict:
            return await self.read()
        events.CLAIMS_BOOTSTRAPPED.log(hosts=len(members))
        return record

    async def ask_host(self, host):
        """Return what a host says of its process, or None without an answer."""
        try:
            reply = await self.messenger.ask(
                host, "status_request", StatusRequest(INCARNATION_KIND), ASK_TIMEOUT_S
            )
        except PeerError:
            return None
        document = orjson.loads(reply.document)
        ranked = RankedHost(host.host_id, host.failure_domain)
        member = BootstrapMember(ranked, document["incarnation"])
        return HostAnswer(member, document["may_vote"])


def encode_record(record):
    """Return the JSON text of a record."""
    members = []
    for member in record.members:
        members.append(
            {
                "host_id": member.host.host_id,
                "failure_domain": member.host.failure_domain,
                "incarnation": member.incarnation,
            }
        )
    return orjson.dumps({"members": members}).decode()


def decode_record(text):
    """Return the record of a JSON text."""
    members = []
    for member in orjson.loads(text)["members"]:
        host = RankedHost(member["host_id"], member["failure_domain"])
        members.append(BootstrapMember(host, member["incarnation"]))
    return BootstrapRecord(tuple(members))
