"""Who asks whom for news within a fleet.

The hosts of a failure domain are ranked. The first two are relays, which watch the
platform; each further level holds eight times as many hosts as the one before it and
asks that level. With 123 hosts in a domain, news takes two hops.
"""

from dataclasses import dataclass

from ..decisions.ranking import rank
from ..ids import HostId
from ..peer.client import PeerAddress
from ..platform.hostlist import MemberState

RELAYS_PER_DOMAIN = 2
CHILDREN_PER_HOST = 8
# Peers asked in one poll; with 0.5 s for each that is silent, a poll ends in 1.5 s.
MAX_CANDIDATES = 3
# A peer that did not answer is asked again after this time. Shorter than the 12 s in
# which a change must be in force, so that nobody is left out for a whole change.
SILENCE_S = 10.0


@dataclass(frozen=True, slots=True)
class TreePosition:
    """A host's place in its failure domain.

    Attributes
    ----------
    level : int
        0 for relays.
    parents : tuple of HostId
        The hosts of the level before.
    """

    level: int
    parents: tuple[HostId, ...]


def find_position(host_id, ranked):
    """Return the ``TreePosition`` of a host.

    Parameters
    ----------
    host_id : HostId
        A host that is not ranked yet belongs to the last level.
    ranked : list of HostId
        All live hosts of the failure domain in rank order.
    """
    start, size, level = 0, RELAYS_PER_DOMAIN, 0
    parents = ()
    while start + size < len(ranked):
        members = ranked[start : start + size]
        if host_id in members:
            return TreePosition(level, parents)
        parents = tuple(members)
        start, size, level = start + size, size * CHILDREN_PER_HOST, level + 1
    if host_id in ranked[start:] or level > 0:
        return TreePosition(level, parents)
    return TreePosition(1, tuple(ranked))


class Distribution:
    """The peers that one host asks for news.

    Parameters
    ----------
    host_id : HostId
    failure_domain : FailureDomain
    seeds : list of PeerAddress
        Asked while no host list is known.
    rng : random.Random
    clock : Clock
    """

    def __init__(self, host_id, failure_domain, seeds, rng, clock):
        self.host_id = host_id
        self.failure_domain = failure_domain
        self.seeds = list(seeds)
        self.rng = rng
        self.clock = clock
        self.silent_until = {}
        self.peers = {}
        self.domain_peers = []
        self.remote_relays = []
        self.position = TreePosition(1, ())

    def update_hosts(self, host_list):
        """Take a new host list."""
        self.peers = {}
        ids_by_domain = {}
        for host in host_list.hosts:
            if host.host_id != self.host_id:
                self.peers[host.host_id] = peer_address(host)
            if host.state is MemberState.LIVE:
                ids = ids_by_domain.setdefault(host.failure_domain, [])
                ids.append(host.host_id)
        ranked = rank_domain(self.failure_domain, ids_by_domain)
        for host_id in list(self.silent_until):
            if host_id not in self.peers:
                del self.silent_until[host_id]
        self.position = find_position(self.host_id, ranked)
        self.domain_peers = [one for one in ranked if one != self.host_id]
        self.remote_relays = []
        for domain in sorted(ids_by_domain):
            if domain != self.failure_domain:
                relays = rank_domain(domain, ids_by_domain)[:RELAYS_PER_DOMAIN]
                self.remote_relays += relays

    @property
    def is_relay(self):
        """Tell whether this host watches the platform for its failure domain."""
        return self.position.level == 0

    def find_peer(self, host_id):
        """Return the address of a host, or None if it is not in the list."""
        return self.peers.get(host_id)

    def poll_candidates(self):
        """Return the peers to ask for news, in order, until one answers.

        A relay asks any other relay of the fleet, so that relays which cannot reach
        the platform get news from those which can. Another host asks its parents.
        When these do not answer, both ask further away; whoever was silent lately
        comes last, so that a host which hears a part of the fleet finds that part.

        Returns
        -------
        candidates : list of PeerAddress
            Three at most.
        """
        parents = [one for one in self.position.parents if one != self.host_id]
        if self.is_relay:
            relays = self.domain_peers[: RELAYS_PER_DOMAIN - 1] + self.remote_relays
            groups = ((relays, 2), (self.domain_peers, 1))
        else:
            groups = ((parents, 2), (self.remote_relays, 1), (self.domain_peers, 1))
        ordered = []
        for group, count in groups:
            heard = [one for one in group if not self.is_silent(one)]
            ordered += self.sample([one for one in heard if one not in ordered], count)
        everybody = parents + self.remote_relays + self.domain_peers
        everybody = [one for one in dict.fromkeys(everybody) if one not in ordered]
        heard = [one for one in everybody if not self.is_silent(one)]
        silent = [one for one in everybody if self.is_silent(one)]
        for group in (heard, silent):
            missing = MAX_CANDIDATES - len(ordered)
            ordered += self.sample(group, max(missing, 0))
        candidates = [self.peers[one] for one in ordered if one in self.peers]
        return candidates[:MAX_CANDIDATES] or self.sample(self.seeds, MAX_CANDIDATES)

    def note_answer(self, host_id, answered):
        """Note whether a peer answered."""
        if answered:
            self.silent_until.pop(host_id, None)
        else:
            self.silent_until[host_id] = self.clock.now() + SILENCE_S

    def is_silent(self, host_id):
        """Tell whether a peer gave no answer lately."""
        until = self.silent_until.get(host_id)
        if until is None:
            return False
        if self.clock.now() < until:
            return True
        del self.silent_until[host_id]
        return False

    def sample(self, values, count):
        """Return up to ``count`` random values."""
        return self.rng.sample(values, min(count, len(values)))


def rank_domain(domain, ids_by_domain):
    """Return the live hosts of a failure domain in rank order."""
    return rank(f"configuration/{domain}", ids_by_domain.get(domain, []))


def peer_address(host):
    """Return where a host of the list accepts peer messages."""
    return PeerAddress(host.host_id, host.address, host.peer_port, host.failure_domain)


def seed_addresses(seeds):
    """Return the peers that the settings name; their ids are not known yet.

    Parameters
    ----------
    seeds : iterable of SeedAddress
    """
    peers = []
    for seed in seeds:
        host_id = HostId(f"seed {seed.address}:{seed.port}")
        peers.append(PeerAddress(host_id, seed.address, seed.port, ""))
    return peers
