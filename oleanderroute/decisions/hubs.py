"""Choice of the hub that relays the findings of a failure domain's hosts."""

from .ranking import rank

# A hub sends at least ten messages per second. A hub that is silent for longer than
# this is not chosen again for `HUB_AVOIDANCE_S`.
HUB_TIMEOUT_S = 0.4
HUB_AVOIDANCE_S = 2.0


class HubChoice:
    """Chooses the hub of one failure domain, by rendezvous hashing.

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
        self.ranked_ids = frozenset()
        self.ranked = []
        self.hub = None
        self.hub_last_seen_at = 0.0

    def heard(self, host_id, now):
        """Record a message from a host, at monotonic seconds ``now``."""
        self.avoided_until.pop(host_id, None)
        if host_id == self.hub:
            self.hub_last_seen_at = now

    def choose(self, host_ids, now):
        """Return the hub among ``host_ids``, or None if there is no host.

        Parameters
        ----------
        host_ids : iterable of HostId
        now : float
            Monotonic seconds.
        """
        is_other = self.hub is not None and self.hub != self.own_id
        if is_other and now - self.hub_last_seen_at > HUB_TIMEOUT_S:
            self.avoided_until[self.hub] = now + HUB_AVOIDANCE_S
        candidates = frozenset(host_ids)
        if candidates != self.ranked_ids:
            self.ranked_ids = candidates
            self.ranked = rank(self.key, candidates)
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


def appoint_watcher(failure_domain, own_id, store_lost_by):
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
    """
    if not store_lost_by[own_id]:
        return own_id
    reachable = [host_id for host_id, is_lost in store_lost_by.items() if not is_lost]
    if not reachable:
        return own_id
    return rank(f"watch/{failure_domain}", reachable)[0]
