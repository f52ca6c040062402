"""Tells which hosts' announcements arrive at this host, from the reports of the hubs.

A hub hears the hosts of its failure domain and the other hubs, and reports to its own
domain which failure domains it reaches and which hosts are silent.
"""

from dataclasses import dataclass

# A hub is in contact if heard within this time; it sends every 0.1 to 0.2 s.
CONTACT_S = 0.35
# Interval at which a hub reports.
REPORT_INTERVAL_S = 0.1
# With rate limits configured, a host that sends nothing else sends a heartbeat
# to its hub every 0.2 s; two may be lost.
MEMBER_HEARTBEAT_S = 0.15
SILENT_S = 0.65
# With more silent hosts a failure domain counts as not reached, as the ids of its hosts
# would not fit in a datagram.
MAX_SILENT_OF_DOMAIN = 16
# Of all failure domains together, for the same reason.
MAX_SILENT = 32


@dataclass(frozen=True, slots=True)
class ContactReport:
    """What a hub reported at monotonic seconds ``received_at``."""

    received_at: float
    reached: frozenset
    silent: frozenset


class ContactTracker:
    """Keeps the hubs' reports and makes this host's own when it is a hub.

    Parameters
    ----------
    view : FleetView
    membership : GossipMembership
    """

    def __init__(self, view, membership):
        self.view = view
        self.membership = membership
        self.reports = {}
        self.reported_at = float("-inf")

    def record(self, host_id, reached, silent, now):
        """Record the report of a known host."""
        if host_id in self.view.hosts:
            self.reports[host_id] = ContactReport(
                now, frozenset(reached), frozenset(silent or ())
            )

    def forget_removed(self):
        """Forget the reports of hosts that were removed."""
        for host_id in self.reports.keys() - self.view.hosts.keys():
            del self.reports[host_id]

    def is_report_due(self, now):
        """Tell whether this host, as a hub, has to report again."""
        return (
            self.view.rate_limits.is_needed
            and now - self.reported_at >= REPORT_INTERVAL_S
        )

    def make_report(self, now):
        """Return the failure domains that this hub reaches, and the silent hosts.

        Returns
        -------
        tuple of (list of FailureDomain, list of HostId)
        """
        self.reported_at = now
        silent_by_domain = {self.view.settings.failure_domain: []}
        usable_hubs = {}
        for host in self.view.hosts.values():
            if host.host_id == self.view.settings.host_id:
                continue
            silent = silent_by_domain.setdefault(host.failure_domain, [])
            if host.announces_workspaces:
                if not self.is_heard_by_hub(host, usable_hubs, now):
                    silent.append(host.host_id)
        reached = []
        silent_hosts = []
        for domain, silent in silent_by_domain.items():
            if not usable_hubs.get(domain, True):
                continue
            if len(silent) > MAX_SILENT_OF_DOMAIN:
                continue
            if len(silent_hosts) + len(silent) > MAX_SILENT:
                continue
            reached.append(domain)
            silent_hosts += silent
        return reached, silent_hosts

    def lost_hosts(self, now):
        """Return the ids of the announcing hosts that are not in contact."""
        lost = set()
        usable_hubs = {}
        membership = self.membership
        own_domain = self.view.settings.failure_domain
        report = None
        if not membership.is_hub:
            hub = membership.hub_of(own_domain)
            if hub is not None and self.is_usable_hub(hub, now):
                report = self.reports[hub.host_id]
        for host_id, host in self.view.hosts.items():
            if not host.announces_workspaces:
                continue
            if host_id == self.view.settings.host_id:
                continue
            if membership.is_hub:
                is_heard = self.is_heard_by_hub(host, usable_hubs, now)
            else:
                is_heard = (
                    report is not None
                    and host.failure_domain in report.reached
                    and host_id not in report.silent
                )
            if not is_heard:
                lost.add(host_id)
        return lost

    def heard_at(self, now):
        """Return when the last datagram of the own hub arrived; now for a hub."""
        membership = self.membership
        if membership.is_hub:
            return now
        hub = membership.hub_of(self.view.settings.failure_domain)
        if hub is None:
            return now
        return membership.last_seen_at.get(hub.host_id, float("-inf"))

    def is_heard_by_hub(self, host, usable_hubs, now):
        """Tell whether this host, as a hub, hears another host or its hub's report.

        Parameters
        ----------
        usable_hubs : dict
            Whether the hub of each other failure domain is in contact; filled here.
        """
        domain = host.failure_domain
        if domain == self.view.settings.failure_domain:
            last_seen_at = self.membership.last_seen_at.get(host.host_id)
            return last_seen_at is not None and now - last_seen_at <= SILENT_S
        hub = self.membership.hub_of(domain)
        if hub is None:
            return False
        if domain not in usable_hubs:
            usable_hubs[domain] = self.is_usable_hub(hub, now)
        if not usable_hubs[domain]:
            return False
        report = self.reports[hub.host_id]
        return domain in report.reached and host.host_id not in report.silent

    def is_usable_hub(self, hub, now):
        """Tell whether a hub's datagrams and reports arrive.

        A hub of an earlier version reports nothing, and drops the fields of the
        announcements that it forwards.
        """
        report = self.reports.get(hub.host_id)
        return report is not None and now - report.received_at <= CONTACT_S
