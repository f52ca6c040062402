"""Which hosts exist and which of them is responsible for what.

The view is built from the platform's host list and corrected by what this host
sees itself: a peer that did not answer is passed over for a while.
"""

import hashlib
from dataclasses import dataclass

from .decisions.ranking import rank
from .ids import FailureDomain, HostId, Region, ServiceName
from .peer.client import PeerAddress

# A shard per host would send one message per service and period; 64 shards keep a
# host of the two-year size at 32 reports a second and spread the pooling over half
# of the 123 hosts of a failure domain.
SHARDS_PER_DOMAIN = 64
# A peer that missed replies is not asked again for this long.
AVOID_PEER_S = 5.0
MISSED_REPLIES_TO_AVOID = 2


@dataclass(frozen=True, slots=True)
class FleetHost:
    """One entry host of the fleet.

    Attributes
    ----------
    live : bool
        False once the platform lists the host as leaving.
    """

    host_id: HostId
    address: str
    peer_port: int
    operator_port: int
    failure_domain: FailureDomain
    region: Region
    live: bool = True

    def peer_address(self):
        """Return where the host listens for its peers."""
        return PeerAddress(
            self.host_id, self.address, self.peer_port, self.failure_domain
        )


def shard_of(service_name):
    """Return the shard, from 0 to ``SHARDS_PER_DOMAIN - 1``, of a service."""
    digest = hashlib.blake2b(service_name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % SHARDS_PER_DOMAIN


class Topology:
    """The hosts of the fleet as one host sees them.

    Parameters
    ----------
    own : FleetHost
    clock : Clock
    """

    def __init__(self, own, clock):
        self.own = own
        self.clock = clock
        self.version = 0
        self.hosts = {own.host_id: own}
        self.missed_replies = {}
        self.avoided_until = {}
        self.shard_ranks = {}

    def update(self, version, hosts):
        """Take over a newer host list.

        Parameters
        ----------
        version : int
        hosts : list of FleetHost
        """
        self.version = version
        self.hosts = {host.host_id: host for host in hosts}
        self.hosts.setdefault(self.own.host_id, self.own)
        self.shard_ranks.clear()

    def domain_hosts(self, failure_domain):
        """Return the ids of the live hosts in ``failure_domain``, sorted."""
        chosen = []
        for host in self.hosts.values():
            if host.failure_domain != failure_domain or not host.live:
                continue
            chosen.append(host.host_id)
        return sorted(chosen)

    def peers(self):
        """Return every other host."""
        return [
            host for host in self.hosts.values() if host.host_id != self.own.host_id
        ]

    def aggregator_of(self, service_name: ServiceName):
        """Return the host that pools the outcomes of a service in this domain."""
        shard = shard_of(service_name)
        ranked = self.shard_ranks.get(shard)
        if ranked is None:
            candidates = self.domain_hosts(self.own.failure_domain)
            ranked = rank(f"aggregator/{shard}", candidates)
            self.shard_ranks[shard] = ranked
        return self.first_answering(ranked)

    def slot_coordinator_of(self, service_name: ServiceName):
        """Return the host that leases long slots of a service in this region."""
        candidates = []
        for host in self.hosts.values():
            if host.region != self.own.region or not host.live:
                continue
            candidates.append(host.host_id)
        return self.first_answering(rank(f"slots/{service_name}", sorted(candidates)))

    def fingerprint_owner(self, fingerprint):
        """Return the host that counts the crashes of one request fingerprint."""
        candidates = sorted(host.host_id for host in self.hosts.values() if host.live)
        return self.first_answering(rank(f"crash/{fingerprint}", candidates))

    def first_answering(self, ranked):
        """Return the first ranked host that is not being avoided."""
        now = self.clock.now()
        for host_id in ranked:
            if self.avoided_until.get(host_id, 0.0) > now:
                continue
            return self.hosts[host_id]
        return self.own

    def reply_received(self, host_id):
        """Forget earlier missed replies of a host."""
        self.missed_replies.pop(host_id, None)

    def reply_missed(self, host_id):
        """Count a missed reply; after two the host is passed over for a while."""
        missed = self.missed_replies.get(host_id, 0) + 1
        self.missed_replies[host_id] = missed
        if missed < MISSED_REPLIES_TO_AVOID:
            return
        self.missed_replies.pop(host_id)
        self.avoided_until[host_id] = self.clock.now() + AVOID_PEER_S
