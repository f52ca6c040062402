"""Subsetting: which targets of a service a host uses, within connection limits.

Each host computes its own subset from the same lists, without communication. A
host ranks targets by rendezvous hashing, so a host or target that is added or removed
changes few pairs of host and target.

With many targets each host ranks on its own. The hosts of a target then follow a
binomial distribution, and a margin of `LOAD_MARGIN_SIGMAS` standard deviations keeps
it below the limit. With few targets that margin would leave too few connections, so
all hosts are assigned in one order, and a full target is replaced by the next in rank.
"""

import hashlib
import math
from dataclasses import dataclass
from functools import lru_cache
from operator import itemgetter

from ..ids import FailureDomain, HostId, TargetId

# Probability of about 1e-9 that a target gets more hosts than its limit.
LOAD_MARGIN_SIGMAS = 6.0
# More targets than this only spread a host's requests over idle connections.
MAX_SUBSET_TARGETS = 32
# With at most this many targets the exact assignment costs a few milliseconds.
EXACT_MAX_TARGETS = 12
# Exact assignment uses less than the limit, so that the last hosts in the order still
# get a full subset.
EXACT_FILL_SHARE = 0.95
# Host counts are rounded up in steps of this factor before subset sizes are computed,
# so that adding or removing a single host does not resize all subsets.
HOST_COUNT_STEP = 1.08
MASK_64 = (1 << 64) - 1
# Odd constant of a multiplicative hash (2**64 divided by the golden ratio).
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
first_item = itemgetter(0)


@dataclass(frozen=True, slots=True)
class HostLocation:
    """A host and its failure domain."""

    host_id: HostId
    failure_domain: FailureDomain


class EligibleHosts:
    """All hosts that may call a service, and their counts by failure domain.

    One instance is built per host list, because hundreds of services share it.

    Parameters
    ----------
    places : list of HostLocation

    Attributes
    ----------
    by_domain : dict
        Failure domain to the number of its hosts, rounded up in steps.
    counts : tuple
        The rounded number of all hosts, and those by domain.
    """

    def __init__(self, locations):
        self.locations = locations
        self.by_domain = _count_values(
            location.failure_domain for location in locations
        )
        for domain, count in self.by_domain.items():
            self.by_domain[domain] = _round_up(count)
        self.counts = (
            _round_up(len(locations)) if locations else 0,
            tuple(sorted(self.by_domain.items())),
        )

    def __len__(self):
        return len(self.locations)

    def __iter__(self):
        return iter(self.locations)

    def signature(self, targets, connections_per_target):
        """Return a value that covers all inputs of a subset besides its targets.

        While the signature stays the same, so does the subset.
        """
        if len(self) <= connections_per_target and len(targets) <= MAX_SUBSET_TARGETS:
            return len(self)
        if len(targets) <= EXACT_MAX_TARGETS:
            return tuple(location.host_id for location in self.locations)
        return self.counts


@dataclass(frozen=True, slots=True)
class Subset:
    """Targets that one host may use.

    Attributes
    ----------
    target_ids : tuple of TargetId
    connections : int
        Connections that the host may have open to each of them.
    is_over_limit : bool
        Whether there are too few targets to give each host one within the limit.
    """

    target_ids: tuple[TargetId, ...]
    connections: int
    is_over_limit: bool = False


@dataclass(frozen=True, slots=True)
class Quota:
    """Number of targets that a host uses in its own failure domain and in others."""

    own: int
    others: int


@lru_cache(maxsize=16384)
def seed_of(name):
    """Return the 64-bit hash of an id."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def pair_score(host_seed, target_seed):
    """Return the rendezvous score of a pair of seeds; the highest wins."""
    mixed = ((host_seed ^ target_seed) * HASH_MULTIPLIER) & MASK_64
    mixed ^= mixed >> 29
    mixed = (mixed * HASH_MULTIPLIER) & MASK_64
    return mixed ^ (mixed >> 32)


def choose_subset(host, hosts, targets, connections_per_target):
    """Return the `Subset` of one host.

    Parameters
    ----------
    host : HostLocation
    hosts : EligibleHosts
        All hosts that may call the service, ``host`` included.
    targets : list of Target
    connections_per_target : int
        Connections that one target accepts from the whole fleet.
    """
    if not targets:
        return Subset((), 0)
    if len(hosts) <= connections_per_target and len(targets) <= MAX_SUBSET_TARGETS:
        connections = connections_per_target // len(hosts)
        return Subset(tuple(target.target_id for target in targets), connections)
    if len(targets) <= EXACT_MAX_TARGETS:
        return assign_all_hosts(hosts, targets, connections_per_target)[host.host_id]
    return _ranked_subset(host, hosts, targets, connections_per_target)


def choose_all_subsets(hosts, targets, connections_per_target):
    """Return the `Subset` of each host by its id; see `choose_subset`."""
    is_small = (
        len(hosts) <= connections_per_target and len(targets) <= MAX_SUBSET_TARGETS
    )
    if targets and not is_small and len(targets) <= EXACT_MAX_TARGETS:
        return assign_all_hosts(hosts, targets, connections_per_target)
    subsets = {}
    for host in hosts:
        subset = choose_subset(host, hosts, targets, connections_per_target)
        subsets[host.host_id] = subset
    return subsets


def _ranked(seed, targets):
    def score(target):
        return pair_score(seed, seed_of(target.target_id))

    return sorted(targets, key=score, reverse=True)


def _ranked_subset(host, hosts, targets, limit):
    size = _subset_size(_round_up(len(hosts)), len(targets), limit)
    is_over_limit = size == 0
    size = max(1, size)
    hosts_by_domain = hosts.by_domain
    targets_by_domain = _count_values(target.failure_domain for target in targets)
    ranked = _ranked(seed_of(host.host_id), targets)
    # At most half of the subset is in the host's own failure domain, and less where
    # that would overload its targets.
    for own in range(size // 2, -1, -1):
        quotas = {
            domain: _quota(size, own, targets_by_domain.get(domain, 0), targets)
            for domain in hosts_by_domain
        }
        load = _highest_load(quotas, hosts_by_domain, targets_by_domain)
        if _with_margin(load) > limit:
            continue
        chosen = _fill_quota(ranked, host.failure_domain, quotas[host.failure_domain])
        return Subset(tuple(chosen), _connections(load, limit))
    chosen = [target.target_id for target in ranked[:size]]
    load = _round_up(len(hosts)) * size / len(targets)
    return Subset(tuple(chosen), _connections(load, limit), is_over_limit)


def _round_up(count):
    steps = math.ceil(math.log(count) / math.log(HOST_COUNT_STEP) - 1e-9)
    return max(count, math.ceil(HOST_COUNT_STEP**steps))


def _connections(load, limit):
    return max(1, int(limit / _with_margin(load)))


def _with_margin(load):
    return load + LOAD_MARGIN_SIGMAS * math.sqrt(load)


def _subset_size(host_count, target_count, limit):
    """Return the largest subset whose load stays within the limit, or 0."""
    size = min(target_count, MAX_SUBSET_TARGETS)
    while size and _with_margin(host_count * size / target_count) > limit:
        size -= 1
    return size


def _quota(size, own, own_targets, targets):
    neutral = round(size * own_targets / len(targets))
    own = min(own_targets, max(own, neutral))
    others = min(size - own, len(targets) - own_targets)
    return Quota(min(own_targets, size - others), others)


def _highest_load(quotas, hosts_by_domain, targets_by_domain):
    """Return the mean number of hosts of the target that has the most."""
    total = sum(targets_by_domain.values())
    highest = 0.0
    for domain, own_targets in targets_by_domain.items():
        load = 0.0
        for origin, host_count in hosts_by_domain.items():
            quota = quotas[origin]
            if origin == domain:
                load += host_count * quota.own / own_targets
                continue
            elsewhere = total - targets_by_domain.get(origin, 0)
            load += host_count * quota.others / elsewhere
        highest = max(highest, load)
    return highest


def _fill_quota(ranked, domain, quota):
    own = quota.own
    others = quota.others
    chosen = []
    for target in ranked:
        if target.failure_domain == domain:
            if own == 0:
                continue
            own -= 1
        else:
            if others == 0:
                continue
            others -= 1
        chosen.append(target.target_id)
    return chosen


def assign_all_hosts(hosts, targets, limit):
    """Assign all hosts in the order of their hashes; return each one's `Subset`."""
    size = int(len(targets) * limit * EXACT_FILL_SHARE / len(hosts))
    size = max(1, min(size, len(targets)))
    is_over_limit = len(targets) * limit < len(hosts)
    remaining = {target.target_id: limit for target in targets}
    if is_over_limit:
        remaining = dict.fromkeys(remaining, len(hosts))
    seeds = {target.target_id: seed_of(target.target_id) for target in targets}
    order = [(seed_of(location.host_id), location) for location in hosts]
    order.sort(key=first_item)
    subsets = {}
    for seed, location in order:
        chosen = _assign_host(
            seed, location.failure_domain, size, targets, seeds, remaining
        )
        subsets[location.host_id] = Subset(tuple(chosen), 1, is_over_limit)
        for target_id in chosen:
            remaining[target_id] -= 1
    return subsets


def _assign_host(seed, domain, size, targets, seeds, remaining):
    scored = []
    for target in targets:
        target_id = target.target_id
        if remaining[target_id] > 0:
            scored.append((pair_score(seed, seeds[target_id]), target))
    scored.sort(key=first_item, reverse=True)
    # Half of the subset is in other domains, for outages of the host's own domain.
    own_remaining = size // 2
    chosen = []
    for _, target in scored:
        if own_remaining and target.failure_domain == domain:
            own_remaining -= 1
            chosen.append(target.target_id)
    for _, target in scored:
        if len(chosen) >= size:
            break
        if target.target_id not in chosen:
            chosen.append(target.target_id)
    return chosen


def _count_values(values):
    counts = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts
