"""Live hosts, and the hub and watcher of each failure domain."""

from .. import events
from ..decisions.hubs import HubChoice, appoint_watcher

# A host that was not seen for this time is not counted as live.
HOST_TIMEOUT_S = 2.0
# Hubs send at least each 0.25 s; a host that is silent itself hears its hub.
ISOLATION_TIMEOUT_S = 0.9
# Every repeat asks for the number of live hosts.
LIVE_COUNT_INTERVAL_S = 0.1


class GossipMembership:
    """Tracks the liveness and roles of the other hosts by their datagrams.

    Parameters
    ----------
    view : FleetView
    clock : Clock

    Attributes
    ----------
    is_hub : bool
        Whether this host forwards the datagrams of its failure domain.
    any_last_seen_at : float or None
        When the last datagram of any other host arrived, in monotonic seconds.
    store_lost : bool
        Whether the calls of this host to the store fail.
    watcher : HostId or None
        The host that watches the store for this failure domain.
    """

    def __init__(self, view, clock):
        self.view = view
        self.clock = clock
        self.is_hub = False
        self.last_seen_at = view.last_seen_at
        self.any_last_seen_at = None
        self.hubs = {}
        self.store_lost = False
        # Whether each other host last reported that its calls to the store fail.
        self.store_lost_by_host = {}
        self.watcher = None
        # Other hosts and their links by failure domain, as of a state of the view.
        self.domains = {}
        self.links = {}
        self.domains_state = None
        self.live_count = 1
        self.live_counted_at = float("-inf")

    @property
    def settings(self):
        """The ``HostSettings`` in force."""
        return self.view.settings

    def choose_roles(self):
        """Determine whether this host is the hub; as the hub, appoint the watcher."""
        is_hub = self.hub_of(self.settings.failure_domain) is None
        if is_hub != self.is_hub:
            events.HUB_ROLE_CHANGED.log(is_hub=is_hub)
        self.is_hub = is_hub
        if is_hub:
            self.update_watcher()

    def update_watcher(self):
        """Appoint, as the hub, the host that watches the store."""
        own = self.settings
        now = self.clock.now()
        store_lost_by_host = {own.host_id: self.store_lost}
        links = {own.host_id: own.link_mbps}
        for host_id, host in self.hosts_of(own.failure_domain).items():
            if self.is_alive(host_id, now):
                links[host_id] = host.link_mbps
                store_lost_by_host[host_id] = self.store_lost_by_host.get(
                    host_id, False
                )
        self.watcher = appoint_watcher(
            own.failure_domain, own.host_id, store_lost_by_host, links
        )

    def hub_of(self, failure_domain):
        """Return the ``PeerHost`` that is the hub of a domain; None for this host."""
        hosts = self.hosts_of(failure_domain)
        choice = self.hubs.get(failure_domain)
        if choice is None:
            own = self.settings
            own_id = own.host_id if failure_domain == own.failure_domain else None
            choice = self.hubs[failure_domain] = HubChoice(failure_domain, own_id)
        links = self.links.get(failure_domain, {})
        return hosts.get(choice.choose(links, self.clock.now()))

    def hosts_of(self, failure_domain):
        """Return the other hosts of a failure domain by id."""
        self.update_domains()
        return self.domains.get(failure_domain, {})

    def update_domains(self):
        """Divide the hosts by failure domain again if any has changed."""
        own = self.settings
        state = (self.view.hosts_changes, own)
        if state == self.domains_state:
            return
        self.domains_state = state
        self.domains = {}
        self.links = {own.failure_domain: {own.host_id: own.link_mbps}}
        for host in self.view.hosts.values():
            if host.host_id == own.host_id:
                continue
            domain = host.failure_domain
            self.domains.setdefault(domain, {})[host.host_id] = host
            self.links.setdefault(domain, {})[host.host_id] = host.link_mbps

    def other_hubs(self):
        """Return the hubs of the other failure domains."""
        self.update_domains()
        found = []
        for domain in list(self.domains):
            if domain == self.settings.failure_domain:
                continue
            hub = self.hub_of(domain)
            if hub is not None:
                found.append(hub)
        return found

    def is_watcher(self):
        """Tell whether this host watches the store for its failure domain."""
        return self.watcher == self.settings.host_id

    def watcher_rank(self, now):
        """Return the place of this domain's watcher among those of all domains.

        It is the number of failure domains with a live host whose names come before.
        """
        self.update_domains()
        rank = 0
        for domain, hosts in self.domains.items():
            if domain >= self.settings.failure_domain:
                continue
            if any(self.is_alive(host_id, now) for host_id in hosts):
                rank += 1
        return rank

    def live_host_count(self):
        """Return the number of live hosts, including this host.

        It is counted again after ``LIVE_COUNT_INTERVAL_S``.
        """
        now = self.clock.now()
        if now - self.live_counted_at >= LIVE_COUNT_INTERVAL_S:
            self.live_counted_at = now
            self.live_count = self.count_live_hosts(now)
        return self.live_count

    def count_live_hosts(self, now):
        """Count the live hosts, including this host."""
        count = 1
        for host_id in self.view.hosts:
            if host_id != self.settings.host_id and self.is_alive(host_id, now):
                count += 1
        return count

    def is_isolated(self):
        """Tell whether this host hears none of the other hosts that it knows."""
        if self.view.host_count == 1:
            return False
        last_seen_at = self.any_last_seen_at
        if last_seen_at is None:
            return True
        return self.clock.now() - last_seen_at >= ISOLATION_TIMEOUT_S

    def is_alive(self, host_id, now):
        """Tell whether another host was last seen within ``HOST_TIMEOUT_S``."""
        last_seen_at = self.last_seen_at.get(host_id)
        return last_seen_at is not None and now - last_seen_at < HOST_TIMEOUT_S

    def live_host_ids(self):
        """Return the ids of the other live hosts of this failure domain."""
        now = self.clock.now()
        host_ids = []
        for host_id in self.hosts_of(self.settings.failure_domain):
            if self.is_alive(host_id, now):
                host_ids.append(host_id)
        return host_ids

    def record_datagram(self, message, now):
        """Update liveness and roles by a datagram."""
        self.any_last_seen_at = now
        self.last_seen_at[message.host_id] = now
        self.store_lost_by_host[message.host_id] = bool(message.store_lost)
        is_own_domain = message.failure_domain == self.settings.failure_domain
        if message.watcher is not None and is_own_domain and not self.is_hub:
            self.watcher = message.watcher
        for host_id in message.heard or ():
            self.last_seen_at[host_id] = now
        choice = self.hubs.get(message.failure_domain)
        if choice is not None:
            choice.heard(message.host_id, now)
