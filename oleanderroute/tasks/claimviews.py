"""The claim holders of every region, as one host ranks them."""

from ..decisions.claims import HolderView, RankedHost


class ClaimViews:
    """One ``HolderView`` per region.

    The claims of a service lie in the service's region, wherever its requests
    enter, so that a resend in another region meets the same holders.

    Parameters
    ----------
    own : HolderView
        The view by which this host votes itself.
    region : Region
        Region of this host.
    """

    def __init__(self, own, region):
        self.own = own
        self.region = region
        self.views = {region: own}

    def of(self, region):
        """Return the view of a region's holders."""
        view = self.views.get(region)
        if view is None:
            view = HolderView(
                self.own.host_id,
                self.own.incarnation,
                self.own.lifetime_s,
                self.own.started_at,
                self.own.limits,
            )
            self.views[region] = view
        return view

    def update(self, host_list, now):
        """Take over a newer host list.

        Parameters
        ----------
        host_list : HostList
        now : float
            Monotonic seconds.
        """
        ranked = {region: [] for region in self.views}
        for host in host_list.hosts:
            ranked_host = RankedHost(host.host_id, host.failure_domain)
            ranked.setdefault(host.region, []).append(ranked_host)
        for region, hosts in ranked.items():
            self.of(region).update(host_list.version, hosts, now)
