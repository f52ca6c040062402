"""Limit on resends that all hosts keep without coordination."""

from collections import deque

# Usable part of the limit. The rest absorbs concurrent decisions, because hosts see
# each other's sends with a delay.
SAFETY_FACTOR = 0.8
# Part of the limit that hedges leave to resends of requests that targets refused.
HEDGE_RESERVE_SHARE = 0.2
# Multiples of its fair share of the ratio and of the fixed allowance that one host may
# use while it sees the sends of the others in time.
MAX_RATIO_MULTIPLE = 2.0
MAX_FAIR_SHARE_MULTIPLE = 4.0
# With this share of the sends of others counted late, a host keeps to its fair share.
# The hosts then keep the limit in sum, whatever they see of each other.
MAX_LATE_SHARE = 0.3


class SendWindow:
    """Times of first and repeated sends in a sliding window.

    Parameters
    ----------
    window_s : float
    """

    def __init__(self, window_s):
        self.window_s = window_s
        self.first_sends = deque()
        self.repeats = deque()

    def add(self, is_repeat, now, amount=1):
        """Count some sends."""
        sends = self.repeats if is_repeat else self.first_sends
        for _ in range(amount):
            sends.append(now)

    def expire(self, now):
        """Drop the sends that have left the window."""
        oldest = now - self.window_s
        for sends in (self.first_sends, self.repeats):
            while sends and sends[0] <= oldest:
                sends.popleft()


class RepeatAllowance:
    """Bounds the repeated sends to one service in a sliding window.

    Each host sees the sends of all hosts that it can reach. Together they may repeat
    a share of the requests that they see, plus a part of the fixed allowance in
    proportion to the number of reachable hosts. During a network partition the sum
    over all groups of hosts therefore stays within the limit.

    Parameters
    ----------
    ratio : float
        Repeated sends per request.
    allowance : float
        Repeated sends in each window beyond the ratio, for all hosts together.
    window_s : float
    started_at : float
        Monotonic seconds. A host that has just started has not seen the others'
        sends in the window, so its part of the allowance grows with its age, unless
        it knows what was sent before.
    """

    def __init__(self, ratio, allowance, window_s, started_at):
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.started_at = started_at
        self.all_sends = SendWindow(window_s)
        self.own_sends = SendWindow(window_s)
        # What the hosts may have sent in the window before this host started.
        self.earlier_sends = SendWindow(window_s)
        self.is_history_known = False
        # When sends were counted that had not been announced in time.
        self.late_sends = deque()
        # First sends and repeats of this host since its start.
        self.own_totals = {False: 0, True: 0}

    def configure(self, ratio, allowance, window_s):
        """Change the limit; what was counted stays counted."""
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.all_sends.window_s = window_s
        self.own_sends.window_s = window_s
        self.earlier_sends.window_s = window_s

    def assume_earlier(self, spent):
        """Take sends for sent in the window before this host started.

        The repeats may all have been sent just before; the first sends are spread
        over the window.

        Parameters
        ----------
        spent : SpentRepeats
            Replaces what was assumed before.
        """
        self.is_history_known = True
        self.earlier_sends = SendWindow(self.window_s)
        self.earlier_sends.add(True, self.started_at, spent.repeats)
        for number in range(spent.first_sends):
            age_s = self.window_s * (1.0 - number / spent.first_sends)
            self.earlier_sends.add(False, self.started_at - age_s)

    def first_send_count(self):
        """Return the first sends of all hosts that are counted in the window."""
        return len(self.all_sends.first_sends) + len(self.earlier_sends.first_sends)

    def repeat_count(self):
        """Return the repeats of all hosts that are counted in the window."""
        return len(self.all_sends.repeats) + len(self.earlier_sends.repeats)

    def record(self, is_repeat, is_own, now, amount=1):
        """Count some sends of this or another host.

        Parameters
        ----------
        amount : int
            More than one if the announcements of earlier ones did not arrive.
        """
        for _ in range(amount - 1):
            self.late_sends.append(now)
        self.all_sends.add(is_repeat, now, amount)
        if is_own:
            self.own_sends.add(is_repeat, now, amount)
            self.own_totals[is_repeat] += amount

    def expire(self, now):
        """Drop the sends that have left the window."""
        self.all_sends.expire(now)
        self.own_sends.expire(now)
        self.earlier_sends.expire(now)
        while self.late_sends and self.late_sends[0] <= now - self.window_s:
            self.late_sends.popleft()

    def remote_count(self):
        """Return how many sends of other hosts are counted in the window."""
        counted = len(self.all_sends.first_sends) + len(self.all_sends.repeats)
        own = len(self.own_sends.first_sends) + len(self.own_sends.repeats)
        return counted - own

    def trust(self, known_hosts):
        """Return, from 0 to 1, how far the counted sends of other hosts are complete.

        Before a host has counted a send for each other host on average, it can't tell
        whether their sends are few or only announced late.
        """
        remote = self.remote_count()
        if remote < max(1, known_hosts - 1):
            return 0.0
        late_share = len(self.late_sends) / remote
        return max(0.0, 1.0 - late_share / MAX_LATE_SHARE)

    def limit(self, reachable_hosts, known_hosts, now):
        """Return the repeats that all reachable hosts may send in a window."""
        age_share = 1.0
        if not self.is_history_known:
            age_share = min(1.0, (now - self.started_at) / self.window_s)
        fixed = (
            self.allowance * min(1.0, reachable_hosts / max(1, known_hosts)) * age_share
        )
        return SAFETY_FACTOR * (self.ratio * self.first_send_count() + fixed)

    def own_limit(self, known_hosts, now):
        """Return the repeats that this host may send in a window."""
        trust = self.trust(known_hosts)
        ratio = self.ratio * (1.0 + trust * (MAX_RATIO_MULTIPLE - 1.0))
        multiple = 1.0 + trust * (MAX_FAIR_SHARE_MULTIPLE - 1.0)
        part = multiple * self.allowance / max(1, known_hosts)
        return SAFETY_FACTOR * (ratio * len(self.own_sends.first_sends) + part)

    def may_repeat(
        self, reachable_hosts, known_hosts, now, is_hedge=False, usable_share=1.0
    ):
        """Return whether one more repeat is allowed.

        Parameters
        ----------
        reachable_hosts : int
            Number of reachable hosts, this one included.
        known_hosts : int
            Number of hosts that share the limit.
        now : float
            Monotonic seconds.
        is_hedge : bool
            Whether the first send may still succeed.
        usable_share : float
            Part of the limit of all hosts that a request may use; it leaves the rest
            to more urgent ones.
        """
        self.expire(now)
        limit = usable_share * self.limit(reachable_hosts, known_hosts, now)
        if is_hedge:
            limit *= 1.0 - HEDGE_RESERVE_SHARE
        if self.repeat_count() + 1 > limit:
            return False
        return len(self.own_sends.repeats) + 1 <= self.own_limit(known_hosts, now)
