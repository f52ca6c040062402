"""Rate limits of workspaces that all hosts keep in sum without coordination.

Each host keeps a replica of a workspace's token bucket. It deducts its own admissions
at once and those of other hosts when their announcements arrive. Tokens that are left
out of sight of some hosts are divided by the hosts' shares of the recent admissions.
"""

from collections import deque
from dataclasses import dataclass

from .send_counts import RemoteSendCounts

# The limit must hold in each window up to this relative and this absolute excess.
TOLERATED_RATIO = 0.1
TOLERATED_REQUESTS = 20.0
# Part of the tolerated excess by which the capacity of the bucket exceeds the burst.
# Without it, random arrivals at 0.9 of a limit without a burst would be refused. The
# rest covers admissions that hosts make before they learn of each other's.
CAPACITY_PART = 0.5
# Below the tokens that the fleet earns in this time, each host keeps to its share.
# Announcements take 30 to 60 ms, so hosts may spend the same tokens meanwhile.
PACED_ZONE_S = 0.14
MAX_PACED_PART_OF_CAPACITY = 0.5
# Multiple of its share that a host may use at the upper end of that zone.
MAX_PACE = 2.0
# Unused earnings of a host's share expire after this time.
PACE_HOLD_S = 0.1
# A share is made of this part of the host's recent admissions, and for the rest of the
# fair share, so that a host without recent demand can start.
RECENT_PART = 0.75
# Shares are computed at this interval. Decisions use the ones before the newest, which
# were computed while hosts that were lost meanwhile still announced their admissions.
SHARE_INTERVAL_S = 0.5
SHARE_DECAY = 0.9
# Reserve for differences between the shares that separated hosts computed, and for the
# time in which they did not notice the separation.
SEPARATION_RESERVE = 0.15
MIN_SEPARATED_PART = 0.8
# Time until a lost host is noticed.
NOTICE_S = 0.35
# A group of hosts with a smaller capacity divides its tokens into one part per host.
MIN_GROUP_CAPACITY = 2.0
# A host that was lost before its registration was removed may be in another partition,
# where it uses its share. A host that stops is removed first and lost afterwards.
REMOVED_HOLD_S = 60.0
# Own announcements that are not back from the hub after this time are late.
MAX_ECHO_S = 0.35
# Single datagrams get lost, which says nothing about the others. While a timely echo
# shows that the links are not slow, so many announcements in a row must be missing.
MIN_LATE_ECHOES = 3
TIMELY_ECHO_HOLD_S = 3.0
MAX_WAITING_ECHOES = 200
# An echo that takes longer counts as lost.
ECHO_HOLD_S = 2.0
MAX_RETURN_S = 10.0
# A bucket without demand for this time is full or nearly so, and forgotten.
IDLE_S = 60.0


@dataclass(slots=True)
class FleetContact:
    """Which other hosts a host is in contact with, as far as the limits need it.

    Attributes
    ----------
    announcing : frozenset of HostId
        Other known hosts that announce their admissions.
    lost : frozenset of HostId
        Announcing hosts that this host is not in contact with.
    silent_count : int
        Known hosts that announce nothing; each keeps the fair share.
    leaving : frozenset of HostId
        Hosts whose registration was removed while they were in contact.
    """

    own_id: str
    announcing: frozenset = frozenset()
    lost: frozenset = frozenset()
    silent_count: int = 0
    leaving: frozenset = frozenset()

    @property
    def known_count(self):
        """Number of hosts that share the limits, including this one."""
        return 1 + len(self.announcing) + self.silent_count


class HostShares:
    """Shares of the hosts in the recent admissions of one workspace.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, now):
        self.counted = {}
        self.recent = {}
        self.total = 0.0
        # As of the last interval and of the one before.
        self.newest = ({}, 0.0)
        self.settled = ({}, 0.0)
        self.due_at = now + SHARE_INTERVAL_S

    def record(self, host_id, amount):
        """Count admissions of a host."""
        self.counted[host_id] = self.counted.get(host_id, 0.0) + amount

    def update(self, now):
        """Compute the shares again if the interval has passed."""
        if now < self.due_at:
            return
        intervals = 1 + int((now - self.due_at) / SHARE_INTERVAL_S)
        self.due_at += intervals * SHARE_INTERVAL_S
        decay = SHARE_DECAY**intervals
        recent = {}
        for host_id, count in self.recent.items():
            if count * decay > 0.01:
                recent[host_id] = count * decay
        for host_id, count in self.counted.items():
            recent[host_id] = recent.get(host_id, 0.0) + count
        self.counted = {}
        self.recent = recent
        self.settled = self.newest
        self.newest = (recent, sum(recent.values()))

    def share(self, host_id, known_count):
        """Return the share of a host; the shares of all known hosts add up to 1."""
        recent, total = self.settled
        fair = 1.0 / known_count
        if total < 1.0:
            return fair
        return (
            RECENT_PART * recent.get(host_id, 0.0) / total + (1.0 - RECENT_PART) * fair
        )


class WorkspaceBucket:
    """This host's replica of the token bucket of one workspace.

    It starts empty, so that the restart of all hosts grants no burst twice.

    Parameters
    ----------
    rate_per_s, burst : float
    window_s : float
        Length of the windows in which the limit must hold.
    contact : FleetContact
    rng : random.Random
    now : float
        Monotonic seconds.
    """

    def __init__(self, rate_per_s, burst, window_s, contact, rng, now):
        self.rng = rng
        self.shares = HostShares(now)
        self.tokens = 0.0
        # Earnings of this host's own share that it may use in the paced zone.
        self.pace = 0.0
        self.updated_at = now
        # Earnings of the other hosts' shares that are not added yet, and since when.
        self.withheld = 0.0
        self.withheld_since = now
        self.used_at = now
        self.return_at = now
        # Shares of lost hosts, as of when the contact was lost, and that time.
        self.lost_shares = {}
        # What hosts could admit from their own share while they were lost; their first
        # announcement afterwards includes it.
        self.not_deducted = {}
        # Requests that this process has sent.
        self.sent = 0
        self.contact = contact
        self.part = 1.0
        self.own_share = 1.0
        self.configure(rate_per_s, burst, window_s)
        self.change_contact(contact, now)

    def configure(self, rate_per_s, burst, window_s):
        """Apply a limit; tokens above the new capacity are dropped."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.window_s = window_s
        excess = TOLERATED_RATIO * (rate_per_s * window_s + burst) + TOLERATED_REQUESTS
        self.capacity = burst + CAPACITY_PART * excess
        self.paced_zone = min(
            PACED_ZONE_S * rate_per_s,
            MAX_PACED_PART_OF_CAPACITY * CAPACITY_PART * excess,
        )
        self.tokens = min(self.tokens, self.capacity * self.part)

    # Contact with other hosts

    def change_contact(self, contact, now):
        """Apply which hosts are in contact; divide the tokens with those lost."""
        self.refill(now)
        known_count = contact.known_count
        for host_id in contact.lost:
            if host_id not in self.lost_shares:
                share = self.shares.share(host_id, known_count)
                self.lost_shares[host_id] = (share, now)
        for host_id, (_, lost_at) in list(self.lost_shares.items()):
            if host_id in contact.lost:
                continue
            is_removed = host_id not in contact.announcing
            is_held = host_id not in contact.leaving and now - lost_at < REMOVED_HOLD_S
            if is_removed and is_held:
                continue
            share, _ = self.lost_shares.pop(host_id)
            if not is_removed:
                lost_s = now - lost_at + NOTICE_S
                self.not_deducted[host_id] = share * self.rate_per_s * lost_s
        self.contact = contact
        before = self.part
        self.part = self.contact_part()
        if self.part < before:
            self.tokens = min(self.tokens, self.tokens * self.part / before)
            self.withheld *= self.part / before
        self.update_own_share()

    def release_held_shares(self, now):
        """Use the shares of hosts again that were removed long ago."""
        announcing = self.contact.announcing
        for host_id, (_, lost_at) in list(self.lost_shares.items()):
            if host_id not in announcing and now - lost_at >= REMOVED_HOLD_S:
                del self.lost_shares[host_id]
                self.part = self.contact_part()

    def contact_part(self):
        """Return the part of the limit that the hosts in contact may use."""
        contact = self.contact
        part = 1.0 - contact.silent_count / contact.known_count
        lost = part * min(1.0, sum(share for share, _ in self.lost_shares.values()))
        if not self.lost_shares:
            return part
        fair = 1.0 / (contact.known_count + len(self.lost_shares))
        left = max(part - lost, (1.0 - RECENT_PART) * fair)
        return max(MIN_SEPARATED_PART * left, left - SEPARATION_RESERVE * lost)

    def update_own_share(self):
        """Compute this host's part of what the hosts in contact may use."""
        contact = self.contact
        own = self.shares.share(contact.own_id, contact.known_count)
        lost = 0.0
        for host_id, (share, _) in self.lost_shares.items():
            if host_id in contact.announcing:
                lost += share
        reachable = max(own, 1.0 - lost - contact.silent_count / contact.known_count)
        self.own_share = own / reachable

    @property
    def is_divided(self):
        """Whether the tokens of the hosts in contact are too few to be shared."""
        return bool(self.lost_shares) and self.capacity * self.part < MIN_GROUP_CAPACITY

    # Admissions

    def earn(self, passed_s):
        """Add what was earned in a time without admissions at any host."""
        earned = passed_s * self.rate_per_s * self.part
        self.tokens = min(self.capacity * self.part, self.tokens + earned)

    def refill(self, now, heard_at=None):
        """Add what was earned since the last call.

        The earnings that other hosts may have used are added up to the last datagram
        that could announce it. Otherwise the loss of a hub would let each host of its
        domain use the whole rate until the loss is noticed.

        Parameters
        ----------
        heard_at : float, optional
            Monotonic seconds of the last datagram with announcements.
        """
        passed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        shares = self.shares
        if now >= shares.due_at:
            shares.update(now)
            self.update_own_share()
            self.release_held_shares(now)
        per_s = self.rate_per_s * self.part
        earned = passed_s * per_s * self.own_share
        self.withheld += passed_s * per_s - earned
        if heard_at is not None and heard_at > self.withheld_since:
            # The earnings of the time after the datagram stay withheld.
            until = min(heard_at, now)
            added = self.withheld
            if until < now:
                added *= (until - self.withheld_since) / (now - self.withheld_since)
            earned += added
            self.withheld -= added
            self.withheld_since = until
        self.tokens = min(self.capacity * self.part, self.tokens + earned)
        pace = 1.0
        if self.paced_zone > 0.0 and not self.is_divided:
            zone = self.paced_zone * self.part
            pace = MAX_PACE * min(1.0, max(0.0, self.tokens / zone))
        own_per_s = per_s * self.own_share
        hold = PACE_HOLD_S * MAX_PACE * own_per_s
        if self.is_divided:
            hold = self.capacity * self.part * self.own_share
        self.pace = min(hold, self.pace + passed_s * own_per_s * pace)

    def admit(self, now, heard_at):
        """Tell whether a request may go on, and deduct it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        heard_at : float
            Of the last datagram with announcements.
        """
        self.refill(now, heard_at)
        self.used_at = now
        if self.is_divided:
            is_admitted = self.use_pace()
        elif self.tokens < 1.0:
            return False
        elif self.tokens >= self.paced_zone * self.part:
            is_admitted = True
        else:
            is_admitted = self.use_pace()
        if is_admitted:
            self.tokens -= 1.0
            self.shares.record(self.contact.own_id, 1.0)
        return is_admitted

    def use_pace(self):
        """Use a token of this host's own share; of a fraction, at random.

        The fraction is the probability and is used up either way. Hosts whose shares
        are far below one token then admit what they earn in sum, and never all at once.
        """
        if self.pace >= 1.0:
            self.pace -= 1.0
            return True
        chance = self.pace
        self.pace = 0.0
        return self.rng.random() < chance

    def give_back(self, now):
        """Return the token of a request that was not sent."""
        self.refill(now)
        self.tokens = min(self.capacity * self.part, self.tokens + 1.0)
        self.shares.record(self.contact.own_id, -1.0)

    def record_sent(self):
        """Count a request that is sent; return the count to announce."""
        self.sent += 1
        return self.sent

    def record_remote(self, host_id, amount, now):
        """Deduct admissions that another host announced."""
        self.refill(now, now)
        self.used_at = now
        self.shares.record(host_id, amount)
        if host_id in self.lost_shares:
            return
        amount = max(0.0, amount - self.not_deducted.pop(host_id, 0.0))
        # More debt than a window earns can't be due to one window's admissions.
        least = -self.rate_per_s * self.window_s
        self.tokens = max(least, self.tokens - amount)

    def record_pause(self, now):
        """Drop the tokens that were seen before this process was paused."""
        self.updated_at = now
        self.withheld = 0.0
        self.withheld_since = now
        self.tokens = min(0.0, self.tokens)
        self.pace = 0.0

    def return_s(self, now):
        """Return after how many seconds a refused caller may come back.

        Each caller is given the time of the next token of this host that no other
        caller was told to come back for.
        """
        per_s = self.rate_per_s * self.part
        missing = max(0.0, 1.0 - self.tokens)
        soonest = now + missing / per_s
        self.return_at = max(self.return_at, soonest) + 1.0 / (per_s * self.own_share)
        if self.return_at - now > MAX_RETURN_S:
            self.return_at = now + MAX_RETURN_S
            return self.rng.uniform(0.5 * MAX_RETURN_S, MAX_RETURN_S)
        return self.return_at - now

    def is_idle(self, now):
        """Tell whether there was no demand for a long time."""
        return now - self.used_at > IDLE_S


@dataclass(slots=True)
class SentAnnouncement:
    """An announcement of this host whose echo is awaited.

    Attributes
    ----------
    is_passed : bool
        Whether a later announcement came back first. This one is then lost or late.
    """

    sent_at: float
    workspace: str
    count: int
    is_passed: bool = False


class EchoCheck:
    """Tells from the hub's echo whether this host's announcements arrive in time.

    The echo takes the way to the hub and back, so it also shows whether the
    announcements of the others are late here.
    """

    def __init__(self):
        self.waiting = deque(maxlen=MAX_WAITING_ECHOES)
        self.late_until = float("-inf")
        # When an echo last came back in time.
        self.timely_at = float("-inf")

    def record_sent(self, workspace, count, now):
        """Record an announcement."""
        self.waiting.append(SentAnnouncement(now, workspace, count))

    def record_echo(self, workspace, count, now):
        """Record that the hub forwarded an announcement of this host.

        Later announcements of a workspace make up for the lost ones before them.
        """
        found = None
        for sent in self.waiting:
            if sent.workspace == workspace and sent.count == count:
                found = sent
                break
        if found is None:
            return
        if now - found.sent_at > MAX_ECHO_S:
            self.late_until = now + ECHO_HOLD_S
            self.timely_at = float("-inf")
        else:
            self.timely_at = now
        for sent in self.waiting:
            if sent is found:
                break
            sent.is_passed = True
        self.waiting.remove(found)

    def is_late(self, now):
        """Tell whether announcements come back late, or the newest ones not at all."""
        waiting = self.waiting
        while waiting and now - waiting[0].sent_at > ECHO_HOLD_S:
            waiting.popleft()
        late = 0
        for sent in waiting:
            if now - sent.sent_at <= MAX_ECHO_S:
                break
            late += not sent.is_passed
        is_timely = now - self.timely_at <= TIMELY_ECHO_HOLD_S
        return now < self.late_until or late >= (MIN_LATE_ECHOES if is_timely else 1)


class RateLimiter:
    """The buckets of one host, for the workspaces with recent demand.

    Parameters
    ----------
    own_id : HostId
    rng : random.Random
    """

    def __init__(self, own_id, rng):
        self.rng = rng
        self.contact = FleetContact(own_id)
        self.buckets = {}
        # Counts of the removed buckets' announcements; other hosts remember them.
        self.sent_before = {}
        # A process numbers the requests of each workspace from 1, at any age.
        self.remote_counts = RemoteSendCounts(starts_with_one=False)
        self.echo = EchoCheck()
        # Since when this host has been in contact with all that announce.
        self.complete_since = None

    def bucket(self, workspace, rate_per_s, burst, window_s, now):
        """Return the bucket of a workspace with a limit."""
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = self.buckets[workspace] = WorkspaceBucket(
                rate_per_s, burst, window_s, self.contact, self.rng, now
            )
            bucket.sent = self.sent_before.pop(workspace, 0)
            if self.complete_since is not None:
                # No host has announced a request of this workspace since then.
                bucket.earn(now - self.complete_since)
            return bucket
        limit = (bucket.rate_per_s, bucket.burst, bucket.window_s)
        if limit != (rate_per_s, burst, window_s):
            bucket.refill(now)
            bucket.configure(rate_per_s, burst, window_s)
        return bucket

    def change_contact(self, contact, now):
        """Apply which hosts are in contact."""
        if contact.lost or self.complete_since is None:
            self.complete_since = now
        if contact == self.contact:
            return
        self.contact = contact
        for bucket in self.buckets.values():
            bucket.change_contact(contact, now)

    def record_pause(self, now):
        """Drop the tokens that were seen before this process was paused."""
        self.complete_since = now
        for bucket in self.buckets.values():
            bucket.record_pause(now)

    def record_remote(self, bucket, workspace, host_id, incarnation, count, now):
        """Apply a count that another host announced."""
        kind = ("workspace", workspace)
        amount = self.remote_counts.advance(host_id, incarnation, kind, count)
        if amount:
            bucket.record_remote(host_id, amount, now)

    def remove_idle(self, now):
        """Forget the buckets without recent demand."""
        for workspace, bucket in list(self.buckets.items()):
            if not bucket.is_idle(now):
                continue
            del self.buckets[workspace]
            if bucket.sent:
                self.sent_before[workspace] = bucket.sent
            self.remote_counts.forget(("workspace", workspace))
