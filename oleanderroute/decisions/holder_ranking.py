"""Rendezvous hashing of claim keys over hosts, with distinct failure domains."""

import hashlib

# Hashing all of 860 hosts for each key takes 0.8 ms, more than the CPU budget of a
# node's control work. Keys of one bucket share their holders, and each bucket is ranked
# once. With 860 hosts, each host is one of the three holders of about 14 buckets.
BUCKET_COUNT = 4096


def bucket_of(key):
    """Return the bucket of a claim key."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % BUCKET_COUNT


def rank_score(bucket, host_id):
    """Return the rendezvous weight of a host for a bucket; the highest ranks first."""
    return hashlib.blake2b(f"{bucket} {host_id}".encode(), digest_size=8).digest()


def rank_distinct_domains(key, hosts, count):
    """Return the first-ranked hosts of distinct failure domains.

    Parameters
    ----------
    key : ClaimKey
    hosts : iterable of RankedHost
    count : int

    Returns
    -------
    list of HostId
        At most ``count``, best first.
    """
    ranking = HolderRanking()
    for host in hosts:
        ranking.add(host)
    return ranking.first(key, count)


class HolderRanking:
    """Ranks a changing set of hosts without hashing all of them for each key.

    Attributes
    ----------
    hosts : dict of FailureDomain to dict of HostId to RankedHost
    best : dict of int to dict of FailureDomain to tuple
        For each bucket used so far, the score and the id of the first host of each
        failure domain. A domain is absent until its first host has been computed.
    """

    def __init__(self):
        self.hosts = {}
        self.best = {}

    def add(self, host):
        """Rank a host; adding it again changes nothing."""
        self.hosts.setdefault(host.failure_domain, {})[host.host_id] = host
        for bucket, best in self.best.items():
            current = best.get(host.failure_domain)
            if current is None:
                continue
            candidate = (rank_score(bucket, host.host_id), host.host_id)
            best[host.failure_domain] = max(current, candidate)

    def remove(self, host):
        """Stop ranking a host."""
        domain = host.failure_domain
        self.hosts.get(domain, {}).pop(host.host_id, None)
        for best in self.best.values():
            if domain in best and best[domain][1] == host.host_id:
                del best[domain]

    def first(self, key, count):
        """Return at most ``count`` HostIds in distinct failure domains, best first."""
        bucket = bucket_of(key)
        best = self.best.setdefault(bucket, {})
        for domain, members in self.hosts.items():
            if domain in best or not members:
                continue
            candidates = ((rank_score(bucket, name), name) for name in members)
            best[domain] = max(candidates)
        ranked = sorted(best.values(), reverse=True)
        return [host_id for _, host_id in ranked[:count]]
