"""Naive versions of the limits for differential tests, without any index."""

from oleanderroute.decisions.holder_ranking import bucket_of, rank_score


def naive_holders(key, hosts):
    """Sort all hosts by hash, then keep the first of each failure domain."""
    bucket = bucket_of(key)
    ranked = sorted(hosts, key=lambda h: rank_score(bucket, h.host_id), reverse=True)
    taken = {}
    for host in ranked:
        taken.setdefault(host.failure_domain, host.host_id)
    return list(taken.values())[:3]


class NaiveQueue:
    """Deadline queue that keeps a sorted list instead of two heaps."""

    def __init__(self):
        self.tickets = []

    def __len__(self):
        return len(self.tickets)

    def push(self, ticket):
        self.tickets.append(ticket)
        # The sort is stable, so equal deadlines keep their order.
        self.tickets.sort(key=lambda each: each.deadline)

    def first(self):
        return self.tickets[0] if self.tickets else None

    def last(self):
        return self.tickets[-1] if self.tickets else None

    def remove(self, ticket):
        if ticket not in self.tickets:
            return False
        self.tickets.remove(ticket)
        return True


class NaiveBudget:
    """Retry budget that keeps each event with the start of its half-second bucket."""

    def __init__(self):
        self.events = []
        self.bucket_at = None

    def add(self, kind, now):
        is_old = self.bucket_at is None or now - self.bucket_at >= 0.5
        self.bucket_at = now if is_old else self.bucket_at
        self.events.append((self.bucket_at, kind))

    def count(self, kind, now):
        recent = [k for at, k in self.events if now - at < 10.0]
        return recent.count(kind)

    def spend(self, now, was_shed):
        shed = self.count("shed", now)
        attempts = shed + self.count("taken", now)
        if was_shed and attempts >= 5 and shed * 2 > attempts:
            return "service-sheds"
        if self.count("retry", now) + 1 > 2 + 0.1 * self.count("success", now):
            return "budget-spent"
        self.add("retry", now)
        return "within-budget"


class NaiveQuarantine:
    """Quarantine that scans all crashes; refuses a confirmed fingerprint for 300 s."""

    def __init__(self):
        self.crashes = []
        self.refused_at = {}

    def is_refused(self, fingerprint, now):
        return now - self.refused_at.get(fingerprint, -1e9) < 300.0

    def record(self, fingerprint, target_id, now):
        if self.is_refused(fingerprint, now):
            return {target_id}
        self.crashes.append((fingerprint, target_id, now))
        begun = self.refused_at.get(fingerprint, -1e9)
        targets = set()
        for name, target, crashed_at in self.crashes:
            if name == fingerprint and now - crashed_at < 300.0 and crashed_at > begun:
                targets.add(target)
        if len(targets) < 2:
            return set()
        self.refused_at[fingerprint] = now
        return targets


class NaiveSlots:
    """Long slots as a list of leases, filtered on each call."""

    def __init__(self, targets, target_limit, service_limit):
        self.targets = targets
        self.target_limit = target_limit
        self.service_limit = service_limit
        self.leases = []

    def expire(self, now):
        self.leases = [each for each in self.leases if now - each[2] < 6.0]

    def acquire(self, lease_id, excluded, now):
        self.expire(now)
        mine = [each for each in self.leases if each[0] == lease_id]
        if mine and mine[0][1] not in excluded:
            self.renew(lease_id, mine[0][1], now)
            return mine[0][1]
        self.release(lease_id)
        if len(self.leases) >= self.service_limit:
            return None
        loads = [(self.load(t), n) for n, t in enumerate(self.targets)]
        free = [
            each
            for each in loads
            if each[0] < self.target_limit and self.targets[each[1]] not in excluded
        ]
        if not free:
            return None
        chosen = self.targets[min(free)[1]]
        self.leases.append((lease_id, chosen, now))
        return chosen

    def renew(self, lease_id, target_id, now):
        self.expire(now)
        self.release(lease_id)
        self.leases.append((lease_id, target_id, now))

    def release(self, lease_id):
        self.leases = [each for each in self.leases if each[0] != lease_id]

    def load(self, target_id):
        return [each[1] for each in self.leases].count(target_id)
