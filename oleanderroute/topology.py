"""Which hosts exist and which of them is responsible for what.

The view is built from the platform's host list and corrected by what this host
sees itself: a peer that missed replies is passed over for a while.
"""

import hashlib

from .decisions.ranking import rank
from .decisions.shards import ShardOwners
from .platform.hostlist import EMPTY_HOST_LIST, MemberState

# A shard per host would send one message per service and period; 64 shards keep a
# host of the two-year size at 32 reports a second and spread the pooling over half
# of the 123 hosts of a failure domain.
SHARDS_PER_DOMAIN = 64
AVOID_PEER_S = 5.0
MISSED_REPLIES_TO_AVOID = 2


def shard_of(service_name):
    """Return the shard, from 0 to ``SHARDS_PER_DOMAIN - 1``, of a service."""
    digest = hashlib.blake2b(service_name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % SHARDS_PER_DOMAIN


class Topology:
    """The hosts of the fleet as one host sees them.

    Parameters
    ----------
    own : HostEntry
        This host, by its own settings.
    clock : Clock
    """

    def __init__(self, own, clock):
        self.own = own
        self.clock = clock
        self.hosts = {}
        self.missed_replies = {}
        self.avoided_until = {}
        self.ranks = {}
        self.changed_at = clock.now()
        self.aggregators = ShardOwners("aggregator", SHARDS_PER_DOMAIN)
        self.update(EMPTY_HOST_LIST)

    def update(self, host_list):
        """Take over a newer host list.

        Parameters
        ----------
        host_list : HostList
        """
        if self.hosts.keys() != {host.host_id for host in host_list.hosts}:
            self.changed_at = self.clock.now()
        self.hosts = {host.host_id: host for host in host_list.hosts}
        # The list lags: a host that has just started is not on it yet.
        self.hosts.setdefault(self.own.host_id, self.own)
        self.ranks.clear()
        self.aggregators.update(self.live_hosts(self.own.failure_domain))

    def peers(self):
        """Return every other host."""
        own_id = self.own.host_id
        return [host for host in self.hosts.values() if host.host_id != own_id]

    def aggregator_of(self, service_name):
        """Return the host that pools a service's outcomes in this domain."""
        return self.answering(self.aggregators.candidates(shard_of(service_name)))

    def slot_coordinator_of(self, service):
        """Return the host that leases the long slots of a service."""
        return self.first_answering(f"slots/{service.name}", region=service.region)

    def coordinates_slots(self, service):
        """Tell whether this host ranks first for the long slots of a service."""
        hosts = self.live_hosts(region=service.region)
        ranked = rank(f"slots/{service.name}", hosts)
        return bool(ranked) and ranked[0] == self.own.host_id

    def crash_counter_of(self, fingerprint):
        """Return the host that counts the crashes of one request fingerprint."""
        return self.first_answering(f"crash/{fingerprint}", is_kept=False)

    def drain_announcer_of(self, target_id):
        """Return the host that tells the fleet that a target drains."""
        return self.first_answering(f"drain/{target_id}", is_kept=False)

    def first_answering(self, key, region=None, is_kept=True):
        """Return the first live host in the ranking of ``key`` that answers.

        Parameters
        ----------
        key : str
        region : str, optional
            Restricts the candidates.
        is_kept : bool
            Whether the ranking is worth keeping until the host list changes.
        """
        ranked = self.ranks.get(key)
        if ranked is None:
            ranked = rank(key, self.live_hosts(region=region))
            if is_kept:
                self.ranks[key] = ranked
        return self.answering(ranked)

    def answering(self, host_ids):
        """Return the first host that is not passed over, else this one."""
        now = self.clock.now()
        for host_id in host_ids:
            if self.avoided_until.get(host_id, 0.0) > now:
                continue
            return self.hosts[host_id]
        return self.own

    def live_hosts(self, failure_domain=None, region=None):
        """Return the ids of the live hosts in a failure domain or region."""
        chosen = []
        for host in self.hosts.values():
            if host.state is not MemberState.LIVE:
                continue
            if failure_domain is not None and host.failure_domain != failure_domain:
                continue
            if region is not None and host.region != region:
                continue
            chosen.append(host.host_id)
        return chosen

    def reply_received(self, host_id):
        """Forget earlier missed replies of a host."""
        self.missed_replies.pop(host_id, None)
        self.avoided_until.pop(host_id, None)

    def reply_missed(self, host_id):
        """Count a missed reply; after two the host is passed over for a while."""
        missed = self.missed_replies.get(host_id, 0) + 1
        self.missed_replies[host_id] = missed
        if missed < MISSED_REPLIES_TO_AVOID:
            return
        del self.missed_replies[host_id]
        self.avoided_until[host_id] = self.clock.now() + AVOID_PEER_S
