"""Chooses the target of a request by the credit that it is expected to lose."""

from dataclasses import dataclass, field
from math import exp

from .health import TargetHealth
from .latency import LatencySample

# Targets whose expected losses differ by less than this are as good as equal;
# choosing among them at random keeps hosts with the same view apart.
LOSS_JITTER = 0.04
# Expected loss by another failure domain: its links may be cut, and bytes between
# failure domains cost.
CROSS_DOMAIN_LOSS = 0.01
CROSS_DOMAIN_LOSS_PER_MB = 4.0
# A new connection costs both ends and takes a round trip.
CONNECT_LOSS = 0.02
# An answer after the objective still has some worth.
LATE_LOSS = 0.85
COLD_LOSS = 0.15
# An idempotent request may explore a target that is gray with this probability.
MAX_EXPLORE_FAILURE_PROBABILITY = 0.70
# A target that fails less than this share of its requests counts as room.
HEALTHY_FAILURE_PROBABILITY = 0.5
# A send whose end was not heard by then has ended or is lost.
REMOTE_SEND_TIMEOUT_S = 1.0
# Longest time in seconds for which the want of news about a target counts.
MAX_STALENESS_S = 3.0


@dataclass(slots=True)
class TargetView:
    """What the choice needs to know of one target.

    Attributes
    ----------
    reported_in_system : float
        Requests that ran or waited at the target when it last told.
    own_in_flight : int
        Requests from this host that have not ended.
    last_own_send_at : float
        When this host last sent it a request.
    cold_until : float
        Monotonic seconds.
    remote_in_flight : dict
        Host id and send number to the time, for the sends of other hosts.
    """

    entry: object
    health: TargetHealth
    reported_in_system: float = 0.0
    reported_at: float = 0.0
    own_in_flight: int = 0
    last_own_send_at: float = float("-inf")
    cold_until: float = 0.0
    remote_in_flight: dict = field(default_factory=dict)

    def record_remote_send(self, send, now):
        """Count a send of another host; forget those whose end was not heard."""
        in_flight = self.remote_in_flight
        in_flight[send] = now
        for other, sent_at in list(in_flight.items()):
            if now - sent_at < REMOTE_SEND_TIMEOUT_S:
                break
            del in_flight[other]

    def record_remote_end(self, send):
        """Forget a send of another host."""
        self.remote_in_flight.pop(send, None)

    def in_system(self, now, drain_s):
        """Return an estimate of the requests at the target.

        Parameters
        ----------
        drain_s : float
            Mean time that a request stays there.
        """
        age_s = max(0.0, now - self.reported_at)
        reported = self.reported_in_system * exp(-age_s / max(0.01, drain_s))
        sends = self.own_in_flight
        for sent_at in self.remote_in_flight.values():
            if now - sent_at < REMOTE_SEND_TIMEOUT_S:
                sends += 1
        return max(reported, float(sends))

    def has_free_slot(self, now, drain_s):
        """Tell whether one more request would not wait at the target."""
        return self.in_system(now, drain_s) < self.entry.slots

    def wait_s(self, now, service_s):
        """Return the seconds that one more request is expected to wait.

        Parameters
        ----------
        service_s : float
            Mean seconds that a request takes once it has a slot.
        """
        excess = self.in_system(now, service_s) + 1.0 - self.entry.slots
        return max(0.0, excess) * service_s / self.entry.slots

    def staleness_s(self, now):
        """Return for how long nothing was heard from or sent to the target."""
        last_observed_at = self.health.last_observed_at
        latest = max(
            self.last_own_send_at,
            last_observed_at if last_observed_at is not None else -1e9,
        )
        return min(MAX_STALENESS_S, now - latest)


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """What the choice needs to know of one request.

    Attributes
    ----------
    objective_s : float
    megabytes : float
        Size of the body.
    is_connected : callable
        Tells by a target's id whether an idle connection is open.
    """

    objective_s: float
    megabytes: float
    is_connected: object


class Selector:
    """Chooses among the targets of a service.

    Parameters
    ----------
    failure_domain : FailureDomain
        Of this host.
    rng : random.Random
    """

    def __init__(self, failure_domain, rng):
        self.failure_domain = failure_domain
        self.rng = rng

    def expected_loss(self, view, latencies: LatencySample, request_profile, now):
        """Return the share of a request's worth that a target is expected to lose."""
        objective_s = request_profile.objective_s
        fails = view.health.failure_probability(now)
        wait_s = view.wait_s(now, latencies.service_s)
        late = latencies.share_above(objective_s - wait_s) if wait_s else 0.0
        loss = fails + (1.0 - fails) * LATE_LOSS * late
        # A queue also delays when the objective is far away.
        loss += 0.1 * wait_s / objective_s
        if view.cold_until > now:
            loss += COLD_LOSS
        if view.entry.failure_domain != self.failure_domain:
            loss += (
                CROSS_DOMAIN_LOSS + CROSS_DOMAIN_LOSS_PER_MB * request_profile.megabytes
            )
        if not request_profile.is_connected(view.entry.target_id):
            loss += CONNECT_LOSS
        return loss

    def min_wait_s(self, views, latencies, now):
        """Return the least expected wait among the sound targets; 0 without any."""
        least_s = None
        for view in views:
            if view.health.failure_probability(now) >= HEALTHY_FAILURE_PROBABILITY:
                continue
            wait_s = view.wait_s(now, latencies.service_s)
            if least_s is None or wait_s < least_s:
                least_s = wait_s
        return least_s or 0.0

    def best(self, views, latencies, request_profile, now):
        """Return the view with about the least expected loss, or None."""
        best = None
        least = None
        for view in views:
            loss = self.expected_loss(view, latencies, request_profile, now)
            loss += self.rng.uniform(0.0, LOSS_JITTER)
            if least is None or loss < least:
                best, least = view, loss
        return best

    def explore(self, views, latencies, now):
        """Return a target about which news is wanted most, or None.

        Only idempotent requests may be spent on this.
        """
        drain_s = latencies.service_s
        weights = []
        candidates = []
        for view in views:
            if view.health.failure_probability(now) > MAX_EXPLORE_FAILURE_PROBABILITY:
                continue
            if not view.has_free_slot(now, drain_s):
                continue
            staleness_s = view.staleness_s(now)
            candidates.append(view)
            weights.append(staleness_s * staleness_s + 1e-6)
        if not candidates:
            return None
        return self.rng.choices(candidates, weights)[0]
