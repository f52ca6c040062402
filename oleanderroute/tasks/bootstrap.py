"""Creates and reads the record of the first fleet that ever started."""

import asyncio

import orjson

from .. import events
from ..decisions.claims import (
    BootstrapMember,
    BootstrapRecord,
    RankedHost,
    StartedHost,
    first_fleet_record,
)
from ..decisions.ranking import rank
from ..errors import PeerError, StoreConflict, StoreError
from ..ids import Incarnation
from ..peer.gen.oleander_messages.ttypes import StatusRequest
from .base import DaemonTask

RECORD_KEY_PREFIX = "claims/bootstrap/"
# Hosts of a first fleet start within this time of each other and of the list.
SETTLE_S = 2.0
RETRY_S = 2.0
ASK_TIMEOUT_S = 0.5
INCARNATION_KIND = "incarnation"


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
        self.record_key = RECORD_KEY_PREFIX + identity.region

    async def run(self):
        """Wait for the record, or create it, until this host may vote by its age."""
        await asyncio.sleep(SETTLE_S)
        while not self.view.is_old_enough(self.clock.now()):
            try:
                record = await self.read()
                if record is None:
                    record = await self.create()
                if record is not None:
                    self.view.apply_bootstrap_record(record, self.clock.now())
                    return
            except StoreError as error:
                events.STORE_UNAVAILABLE.log(reason=str(error))
            await asyncio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))

    async def read(self):
        """Return the stored record, or None."""
        stored = await self.store.get(self.record_key, cause="bootstrap")
        if stored is None:
            return None
        return decode_record(stored.value)

    async def create(self):
        """Create the record if this host ranks first and all hosts are young.

        Returns
        -------
        BootstrapRecord or None
            None while a listed host does not answer, or has run for long enough to
            hold claims that the record would overlook.
        """
        hosts = self.region_hosts()
        host_ids = [host.host_id for host in hosts]
        if rank("bootstrap", host_ids)[0] != self.identity.host_id:
            return None
        started = [await self.ask_host(host) for host in hosts]
        record = first_fleet_record(started, self.view.lifetime_s)
        if record is None:
            return None
        try:
            await self.store.put(self.record_key, encode_record(record), 0)
        except StoreConflict:
            return await self.read()
        events.CLAIMS_BOOTSTRAPPED.log(hosts=len(record.members))
        return record

    def region_hosts(self):
        """Return all listed hosts of this region: its claims are held among them."""
        hosts = []
        for host in self.topology.hosts.values():
            if host.region == self.identity.region:
                hosts.append(host)
        return hosts

    async def ask_host(self, host):
        """Return the ``StartedHost`` of one host."""
        ranked = RankedHost(host.host_id, host.failure_domain)
        try:
            reply = await self.messenger.ask(
                host, "status_request", StatusRequest(INCARNATION_KIND), ASK_TIMEOUT_S
            )
        except PeerError:
            return StartedHost(BootstrapMember(ranked, Incarnation(0)), None)
        document = orjson.loads(reply.document)
        member = BootstrapMember(ranked, document["incarnation"])
        return StartedHost(member, document["uptime_s"])


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
