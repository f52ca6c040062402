"""One host's view of which hosts are the holders of a key."""

from .claim_types import HOLDERS_PER_KEY, ClaimLimits
from .holder_ranking import HolderRanking


class HolderView:
    """The hosts that this process ranks, and how long it has been listed.

    It ranks hosts that are live, leaving, or departed within the claim lifetime
    plus the list staleness. Only hosts of the service's region are ranked.

    Parameters
    ----------
    host_id : HostId
        The host of this process.
    incarnation : Incarnation
    lifetime_s : float
        Lifetime of claims.
    started_at : float
        Monotonic seconds at which this process started.
    limits : ClaimLimits

    Attributes
    ----------
    listed_since : float or None
        Monotonic time in seconds since which this process has seen itself listed
        without an interruption.
    confirmed_at : float or None
        Monotonic time in seconds at which the platform last confirmed the list.
    """

    def __init__(self, host_id, incarnation, lifetime_s, started_at, limits=None):
        self.host_id = host_id
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self.started_at = started_at
        self.limits = limits or ClaimLimits()
        self.version = -1
        self.ranking = HolderRanking()
        self.present_hosts = {}
        self.departed = {}
        self.departed_at = {}
        self.listed_since = None
        self.confirmed_at = None
        self.is_bootstrap_member = False
        self.may_bootstrap = True

    @property
    def retention_s(self):
        """Seconds for which a departed host stays ranked."""
        # A host that left the list may vote until its own copy of the list is stale.
        return self.lifetime_s + self.limits.list_staleness_s

    def update(self, version, hosts, now):
        """Apply a newer host list; an older or equal one is ignored.

        Parameters
        ----------
        version : int
        hosts : iterable of RankedHost
            The live and leaving hosts of the region.
        now : float
            Monotonic seconds, read after the list arrived.
        """
        if version <= self.version:
            return
        self.version = version
        listed = {host.host_id: host for host in hosts}
        for host_id, host in self.present_hosts.items():
            if host_id in listed:
                continue
            self.departed[host_id] = host
            self.departed_at[host_id] = now
        for host_id, host in listed.items():
            self.departed.pop(host_id, None)
            self.departed_at.pop(host_id, None)
            if host_id not in self.present_hosts:
                self.ranking.add(host)
        self.present_hosts = listed
        self.drop_departed(now)
        self._update_own_listing(now)

    def _update_own_listing(self, now):
        if self.host_id not in self.present_hosts:
            self._restart_age(None)
            return
        if self.listed_since is None:
            self.listed_since = now

    def confirm(self, version, confirmed_at, now):
        """Record that the list was current on the platform at ``confirmed_at``.

        A confirmation of another version than the one in use is ignored.

        Parameters
        ----------
        version : int
        confirmed_at : float
            Monotonic seconds of this process. For the platform, when the call was
            sent. For a peer with the same list version, when the call was sent minus
            the age of the peer's own confirmation, so that two hosts cannot keep
            confirming an old list to each other.
        now : float
            Monotonic seconds, read after the confirmation arrived.
        """
        if version != self.version:
            return
        if self.confirmed_at is None:
            self.confirmed_at = confirmed_at
            return
        if confirmed_at <= self.confirmed_at:
            return
        # A host that was listed only within the gap is unknown and would not be ranked.
        if confirmed_at - self.confirmed_at >= self.lifetime_s:
            self._restart_age(now)
        self.confirmed_at = confirmed_at

    def _restart_age(self, now):
        if self.listed_since is None:
            return
        self.listed_since = now
        self.is_bootstrap_member = False
        self.may_bootstrap = False

    def apply_bootstrap_record(self, record, now):
        """Apply the bootstrap record.

        Members that are not listed are ranked as if they had just departed, so that
        members with different first lists agree on which hosts may have voted.

        Parameters
        ----------
        record : BootstrapRecord
        now : float
            Monotonic seconds.
        """
        if not record.includes(self.host_id, self.incarnation):
            return
        if not self.may_bootstrap or self.listed_since is None:
            return
        # Later, a host outside the record may have voted and departed unnoticed.
        if now - self.started_at >= self.lifetime_s:
            return
        for member in record.members:
            host = member.host
            if host.host_id in self.present_hosts or host.host_id in self.departed:
                continue
            self.departed[host.host_id] = host
            self.departed_at[host.host_id] = now
            self.ranking.add(host)
        self.is_bootstrap_member = True

    def drop_departed(self, now):
        """Drop departed hosts that cannot hold a live claim any more."""
        expired = []
        for host_id, departed_at in self.departed_at.items():
            if now - departed_at < self.retention_s:
                continue
            expired.append(host_id)
        for host_id in expired:
            self.ranking.remove(self.departed.pop(host_id))
            del self.departed_at[host_id]

    def holders(self, key, now):
        """Return the holders of a key, best first.

        Parameters
        ----------
        key : ClaimKey
        now : float
            Monotonic seconds.

        Returns
        -------
        list of HostId
        """
        self.drop_departed(now)
        return self.ranking.first(key, HOLDERS_PER_KEY)

    def is_list_fresh(self, now):
        """Return whether the list was confirmed recently enough to vote."""
        if self.confirmed_at is None:
            return False
        return now - self.confirmed_at < self.limits.list_staleness_s

    def is_old_enough(self, now):
        """Return whether this process knows every claim that may still be live."""
        if self.is_bootstrap_member:
            return True
        if self.listed_since is None:
            return False
        # The staleness is added because a voter with an older list may have granted
        # claims without this host for that long after this host was listed.
        required_s = self.lifetime_s + self.limits.list_staleness_s
        return now - self.listed_since >= required_s
