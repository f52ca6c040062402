"""Rate limits of workspaces at one host: admissions, announcements and contact."""

import random
from collections import Counter

from .. import events
from ..decisions.rate_limit import FleetContact, RateLimiter
from .contact import CONTACT_S
from .refusal import HostReason, refusal_answer

CONTACT_CHECK_INTERVAL_S = 0.05
# ``update`` is called every 0.2 s; after a longer gap the process was paused.
MAX_UPDATE_GAP_S = 0.5
# While announcements are late, and for this time after, the others count as lost.
LATE_HOLD_S = 0.5
# An admitted request whose body takes longer is admitted again before it is sent;
# otherwise callers could collect admissions and use them at once.
MAX_UNSENT_S = 0.5
# Changes of the contact arrive at any rate; their log lines do not.
CONTACT_LOG_INTERVAL_S = 1.0
# Workspaces that the summary names.
MAX_NAMED = 5
# Refusals are counted for so many workspaces in an interval.
MAX_COUNTED = 1000


class RateLimits:
    """Admits the requests of workspaces that have a limit.

    Parameters
    ----------
    view : FleetView

    Attributes
    ----------
    contact_tracker : ContactTracker or None
        Set by the gossip task; without it, all other hosts are lost.
    """

    def __init__(self, view):
        self.view = view
        self.clock = view.clock
        host_id = getattr(view.settings, "host_id", "")
        self.limiter = RateLimiter(host_id, random.Random(f"{host_id}/rate-limits"))
        self.contact_tracker = None
        # Until when all other hosts count as lost.
        self.lost_until = float("-inf")
        self.updated_at = None
        self.checked_at = float("-inf")
        self.logged_at = float("-inf")
        # The configuration in which limits were looked for, and whether it has any.
        self.examined = None
        self.has_limits = False
        self.admitted = 0
        self.refused = 0
        self.returned = 0
        self.refused_by_workspace = Counter()

    @property
    def is_needed(self):
        """Whether a workspace of the configuration has a limit."""
        configuration = self.view.configuration
        if configuration is not self.examined:
            self.examined = configuration
            self.has_limits = False
            if configuration is not None:
                for policy in configuration.workspaces.values():
                    if policy.rate_per_s > 0.0:
                        self.has_limits = True
                        break
        return self.has_limits

    # Requests

    def admit(self, exchange):
        """Return the refusal of a request over the limit, None if it may go on."""
        policy = exchange.workspace
        if policy is None or policy.rate_per_s <= 0.0:
            return None
        now = self.clock.now()
        self.update_contact(now)
        bucket = self.bucket_of(policy, now)
        if bucket.admit(now, self.heard_at(now)):
            self.admitted += 1
            exchange.admitted_policy = policy
            exchange.admitted_at = now
            return None
        self.refused += 1
        counted = self.refused_by_workspace
        if policy.name in counted or len(counted) < MAX_COUNTED:
            counted[policy.name] += 1
        return refusal_answer(
            HostReason.RATE_LIMITED, retry_after_s=bucket.return_s(now)
        )

    def admit_again(self, exchange):
        """Check the limit again if the body of an admitted request took long."""
        admitted_at = exchange.admitted_at
        if admitted_at is None or self.clock.now() - admitted_at <= MAX_UNSENT_S:
            return None
        self.give_back(exchange)
        return self.admit(exchange)

    def give_back(self, exchange):
        """Return the token of a request that ended without a send.

        A send counts from its start, as its announcement can't be taken back: a request
        whose targets were all unreachable keeps its token.
        """
        if exchange.admitted_at is None or exchange.sends:
            return
        name = exchange.admitted_policy.name
        exchange.admitted_policy = None
        exchange.admitted_at = None
        self.returned += 1
        bucket = self.limiter.buckets.get(name)
        if bucket is not None:
            bucket.give_back(self.clock.now())

    def count_first_send(self, exchange):
        """Count a request at its first send; return what to announce, or None.

        Returns
        -------
        tuple of (Workspace, int) or None
            The workspace, and how many of its requests this process has sent.
        """
        if exchange.admitted_at is None:
            return None
        now = self.clock.now()
        policy = exchange.admitted_policy
        count = self.bucket_of(policy, now).record_sent()
        tracker = self.contact_tracker
        if tracker is not None and not tracker.membership.is_hub:
            self.limiter.echo.record_sent(policy.name, count, now)
        return policy.name, count

    def bucket_of(self, policy, now):
        """Return the bucket of a workspace with a limit."""
        window_s = self.view.settings.rate_limit_window_s
        return self.limiter.bucket(
            policy.name, policy.rate_per_s, policy.burst, window_s, now
        )

    # Announcements

    def apply(self, host_id, workspace, incarnation, count):
        """Apply the announcement of another host."""
        configuration = self.view.configuration
        if configuration is None:
            return
        policy = configuration.workspaces.get(workspace)
        if policy is None or policy.rate_per_s <= 0.0:
            return
        now = self.clock.now()
        bucket = self.bucket_of(policy, now)
        self.limiter.record_remote(bucket, workspace, host_id, incarnation, count, now)

    def record_echo(self, workspace, count):
        """Record that the hub forwarded an announcement of this host."""
        self.limiter.echo.record_echo(workspace, count, self.clock.now())

    # Contact

    def heard_at(self, now):
        """Return when this host last received what may hold announcements."""
        if self.contact_tracker is None:
            return now
        return self.contact_tracker.heard_at(now)

    def update(self, now):
        """Detect a pause of the process, and forget idle buckets; called regularly."""
        if not self.is_needed:
            self.updated_at = now
            self.limiter.remove_idle(now)
            return
        self.update_contact(now)
        self.updated_at = now
        self.limiter.remove_idle(now)

    def update_contact(self, now):
        """Determine which hosts are in contact, unless it was done just before."""
        if now - self.checked_at < CONTACT_CHECK_INTERVAL_S:
            return
        if self.updated_at is not None and now - self.updated_at > MAX_UPDATE_GAP_S:
            # What was received during the pause is old, although it is read only now.
            events.RATE_LIMIT_PAUSED.log(gap_s=round(now - self.updated_at, 2))
            self.updated_at = now
            self.lost_until = now + CONTACT_S
            self.limiter.record_pause(now)
        self.checked_at = now
        if self.limiter.echo.is_late(now):
            self.lost_until = max(self.lost_until, now + LATE_HOLD_S)
        contact = self.find_contact(now)
        lost_before = len(self.limiter.contact.lost)
        self.limiter.change_contact(contact, now)
        if len(contact.lost) == lost_before:
            return
        if now - self.logged_at >= CONTACT_LOG_INTERVAL_S:
            self.logged_at = now
            events.RATE_LIMIT_CONTACT_CHANGED.log(
                lost=len(contact.lost), known=contact.known_count
            )

    def find_contact(self, now):
        """Return the ``FleetContact`` at monotonic seconds ``now``."""
        view = self.view
        own_id = view.settings.host_id
        announcing = set()
        silent_count = 0
        for host_id, host in view.hosts.items():
            if host_id == own_id:
                continue
            if host.announces_workspaces:
                announcing.add(host_id)
            else:
                silent_count += 1
        lost = announcing
        if now >= self.lost_until and self.contact_tracker is not None:
            lost = self.contact_tracker.lost_hosts(now)
        before = self.limiter.contact
        leaving = set()
        for host_id in view.lapsed_hosts:
            if host_id in before.leaving or host_id not in lost:
                leaving.add(host_id)
        for host_id in before.leaving & before.announcing:
            # Named once more, so that its share is not held for it.
            if host_id not in view.hosts:
                leaving.add(host_id)
        return FleetContact(
            own_id,
            frozenset(announcing),
            frozenset(lost),
            silent_count,
            frozenset(leaving),
        )

    # Summary

    def pop_refused(self):
        """Return the workspaces with the most refusals since the last call."""
        named = self.refused_by_workspace.most_common(MAX_NAMED)
        self.refused_by_workspace.clear()
        return dict(named)
