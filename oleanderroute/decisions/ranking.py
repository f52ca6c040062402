"""Rendezvous hashing: each host ranks all hosts for a key in the same order.

When a host joins or leaves, only the keys that it ranks first for, or ranked
first for, move.
"""

from hashlib import blake2b

SCORE_BYTES = 8
# About 14 triples of shards a host with 860 hosts.
DEFAULT_SHARDS = 4096


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
        self.chosen = {}

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
        for shard, chosen in list(self.chosen.items()):
            if left.intersection(chosen) or self.enters(shard, chosen, joined):
                del self.chosen[shard]

    def enters(self, shard, chosen, joined):
        """Tell whether a joined host can change the choice of a shard."""
        if len(chosen) < self.count:
            return bool(joined)
        lowest = min(scores(self.shard_key(shard), chosen))
        return max(scores(self.shard_key(shard), joined), default=lowest) > lowest

    def first(self, key):
        """Return the first-ranked hosts of the shard of ``key``, best first."""
        digest = blake2b(key.encode(), digest_size=SCORE_BYTES).digest()
        shard = int.from_bytes(digest) % self.shards
        chosen = self.chosen.get(shard)
        if chosen is None:
            hosts = self.hosts.values()
            ranked = rank_distinct_domains(self.shard_key(shard), hosts, self.count)
            chosen = [host.host_id for host in ranked]
            self.chosen[shard] = chosen
        return [self.hosts[host_id] for host_id in chosen]

    def shard_key(self, shard):
        """Return the key by which a shard is ranked."""
        return f"{self.name}/{shard}"
