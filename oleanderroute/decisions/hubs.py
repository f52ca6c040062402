"""Choice of the hub that relays the findings of a failure domain's hosts."""

from .ranking import rank

# A hub sends at least ten messages per second. A hub that is silent for longer than
# this is not chosen again for `HUB_AVOIDANCE_S`.
HUB_TIMEOUT_S = 0.4
HUB_AVOIDANCE_S = 2.0
# Hosts with at least this share of the fastest link in their failure domain go first. A
# hub sends every finding to every host of its domain, which fills a slow link.
FAST_LINK_SHARE = 0.5


def rank_by_link(key, links):
    """Return the hosts by rendezvous hashing, those with fast links first.

    Parameters
    ----------
    key : str
    links : dict of HostId to float
        Bandwidth of each host's link.
    """
    fastest = max(links.values(), default=0.0)
    fast = []
    slow = []
    for host_id in rank(key, links):
        is_fast = links[host_id] >= FAST_LINK_SHARE * fastest
        (fast if is_fast else slow).append(host_id)
    return fast + slow


class HubChoice:
    """Chooses the hub of one failure domain, among the hosts with the fastest links.

    Hosts may briefly disagree about the hub. Any host that receives a message for
    a hub handles it as the hub, so a disagreement costs only extra messages.

    Parameters
    ----------
    failure_domain : FailureDomain
    own_id : HostId or None
        This host, if it belongs to the failure domain.
    """

    def __init__(self, failure_domain, own_id=None):
        self.key = f"hub/{failure_domain}"
        self.own_id = own_id
        self.avoided_until = {}
        # Most findings cause a message to the hub, so the ranking is cached.
        self.ranked_links = {}
        self.ranked = []
        self.hub = None
        self.hub_last_seen_at = 0.0

    def heard(self, host_id, now):
        """Record a message from a host, at monotonic seconds ``now``."""
        self.avoided_until.pop(host_id, None)
        if host_id == self.hub:
            self.hub_last_seen_at = now

    def choose(self, links, now):
        """Return the hub among the hosts of ``links``, or None if there is no host.

        Parameters
        ----------
        links : dict of HostId to float
            Bandwidth of the link of each host of the failure domain.
        now : float
            Monotonic seconds.
        """
        is_other = self.hub is not None and self.hub != self.own_id
        if is_other and now - self.hub_last_seen_at > HUB_TIMEOUT_S:
            self.avoided_until[self.hub] = now + HUB_AVOIDANCE_S
        if links is not self.ranked_links and links != self.ranked_links:
            self.ranked_links = links
            self.ranked = rank_by_link(self.key, links)
        hub = self.first_usable(self.ranked, now)
        if hub != self.hub:
            self.hub = hub
            self.hub_last_seen_at = now
        return hub

    def first_usable(self, ranked, now):
        """Return the first host that is not avoided, else this host, else the first."""
        for host_id in ranked:
            if self.avoided_until.get(host_id, 0.0) <= now:
                return host_id
        if self.own_id is not None:
            return self.own_id
        return ranked[0] if ranked else None


def appoint_watcher(failure_domain, own_id, store_lost_by, links):
    """Return the host that watches the store for a failure domain.

    The hub itself watches the store unless its own store calls fail.

    Parameters
    ----------
    failure_domain : FailureDomain
    own_id : HostId
        The hub.
    lost : dict of HostId to bool
        Whether store calls of a host fail, for the hub and the hosts from which it
        receives messages.
    links : dict of HostId to float
        Bandwidth of the link of each of these hosts.
    """
    if not store_lost_by[own_id]:
        return own_id
    reachable = [host_id for host_id, is_lost in store_lost_by.items() if not is_lost]
    if not reachable:
        return own_id
    candidates = {host_id: links.get(host_id, 0.0) for host_id in reachable}
    return rank_by_link(f"watch/{failure_domain}", candidates)[0]
