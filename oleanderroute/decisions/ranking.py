"""Rendezvous hashing: each host ranks all hosts for a key in the same order.

When a host joins or leaves, only the keys that it ranks first for, or ranked
first for, move.
"""

from dataclasses import dataclass
from hashlib import blake2b

from ..ids import HostId

SCORE_BYTES = 8
# With 860 hosts, each is among the first three of about 7 shards.
DEFAULT_SHARDS = 2048


def scores(key, host_ids):
    """Return the score of each host for ``key``.

    Parameters
    ----------
    key : str
    host_ids : iterable of HostId

    Returns
    -------
    scored : list of tuple of (bytes, HostId)
    """
    # The length prefix keeps ("ab", "c") and ("a", "bc") apart.
    encoded = key.encode()
    prefix = blake2b(len(encoded).to_bytes(4) + encoded, digest_size=SCORE_BYTES)
    scored = []
    for host_id in host_ids:
        state = prefix.copy()
        state.update(host_id.encode())
        scored.append((state.digest(), host_id))
    return scored


def rank(key, host_ids):
    """Return all hosts in descending order of their score for ``key``.

    The order does not depend on the order of ``host_ids``.
    """
    ordered = sorted(scores(key, host_ids), reverse=True)
    return [host_id for _, host_id in ordered]


def rank_distinct_domains(key, hosts, count):
    """Return the first-ranked hosts that lie in distinct failure domains.

    Parameters
    ----------
    key : str
    hosts : iterable
        Objects with ``host_id`` and ``failure_domain``.
    count : int
        Number of hosts wanted.

    Returns
    -------
    chosen : list
        At most ``count`` of the objects, best first; fewer if there are fewer
        failure domains.
    """
    by_id = {host.host_id: host for host in hosts}
    best = {}
    for scored in scores(key, by_id):
        domain = by_id[scored[1]].failure_domain
        if domain not in best or scored > best[domain]:
            best[domain] = scored
    ordered = sorted(best.values(), reverse=True)[:count]
    return [by_id[host_id] for _, host_id in ordered]


@dataclass(frozen=True, slots=True)
class ShardChoice:
    """The first-ranked hosts of a shard, and the score of the last of them."""

    host_ids: tuple[HostId, ...]
    lowest: tuple[bytes, HostId] | None


class RankingTable:
    """Remembers the first-ranked hosts in distinct domains for each shard of keys.

    Ranking 860 hosts takes about 1 ms, more than a request may wait for it. Keys are
    therefore hashed to shards, and a change of the hosts only drops the shards that
    it can affect. All hosts with the same host list get the same answer.

    Parameters
    ----------
    name : str
        Tables of different names rank independently.
    count : int
        Hosts for each key.
    shards : int
        All hosts of a fleet need the same number.
    """

    def __init__(self, name, count, shards=DEFAULT_SHARDS):
        self.name = name
        self.count = count
        self.shards = shards
        self.hosts = {}
        self.choices = {}

    def update(self, hosts):
        """Take the hosts to rank: objects with ``host_id`` and ``failure_domain``."""
        before = self.hosts
        self.hosts = {host.host_id: host for host in hosts}
        left = set()
        joined = []
        for host_id, host in before.items():
            now = self.hosts.get(host_id)
            if now is None or now.failure_domain != host.failure_domain:
                left.add(host_id)
        for host_id in self.hosts:
            if host_id not in before or host_id in left:
                joined.append(host_id)
        for shard, choice in list(self.choices.items()):
            if left.intersection(choice.host_ids) or self.enters(shard, choice, joined):
                del self.choices[shard]

    def enters(self, shard, choice, joined):
        """Tell whether a joined host can change the choice of a shard."""
        if not joined:
            return False
        if len(choice.host_ids) < self.count:
            return True
        return max(scores(self.shard_key(shard), joined)) > choice.lowest

    def first(self, key):
        """Return the first-ranked hosts of the shard of ``key``, best first."""
        digest = blake2b(key.encode(), digest_size=SCORE_BYTES).digest()
        shard = int.from_bytes(digest) % self.shards
        choice = self.choices.get(shard)
        if choice is None:
            choice = self.choose(shard)
            self.choices[shard] = choice
        return [self.hosts[host_id] for host_id in choice.host_ids]

    def choose(self, shard):
        """Rank all hosts for a shard."""
        key = self.shard_key(shard)
        ranked = rank_distinct_domains(key, self.hosts.values(), self.count)
        host_ids = tuple(host.host_id for host in ranked)
        lowest = min(scores(key, host_ids), default=None)
        return ShardChoice(host_ids, lowest)

    def shard_key(self, shard):
        """Return the key by which a shard is ranked."""
        return f"{self.name}/{shard}"
