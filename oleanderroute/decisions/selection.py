"""Choice of a request's target by least expected loss of its credit."""

from dataclasses import dataclass, field
from math import exp

from .health import TargetHealth
from .latency import LatencySample
from .target_silence import TargetSilence

# Expected losses that differ by less than this count as equal. The random choice
# among such targets keeps hosts with the same view from picking the same one.
LOSS_JITTER = 0.04
# Expected loss by a target in another failure domain: the link may be partitioned,
# and traffic between failure domains has a cost.
CROSS_DOMAIN_LOSS = 0.01
CROSS_DOMAIN_LOSS_PER_MB = 4.0
# A new connection uses resources of both ends and takes a round trip.
CONNECT_LOSS = 0.02
# An answer later than the latency objective keeps some of its value.
LATE_LOSS = 0.85
COLD_LOSS = 0.15
# Idempotent requests may explore targets up to this failure probability.
MAX_EXPLORE_FAILURE_PROBABILITY = 0.70
# Below this failure probability a target counts as available capacity.
HEALTHY_FAILURE_PROBABILITY = 0.5
# A remote send without a reported end is dropped from the count after this time.
REMOTE_SEND_TIMEOUT_S = 1.0
# Targets among which a request's target is chosen: some at random, and some to which
# the host has an idle connection.
MAX_CANDIDATES = 32
MAX_CONNECTED_CANDIDATES = 8
# Callers return within this share of the time they are told to wait, and at least this
# time, after its end.
RETURN_SPREAD_SHARE = 0.5
MIN_RETURN_SPREAD_S = 0.2
# Upper bound of the staleness that weights targets for exploration.
MAX_STALENESS_S = 3.0


@dataclass(slots=True)
class TargetView:
    """Load and health of one target, as one host sees them.

    Attributes
    ----------
    reported_in_system : float
        Requests that ran or waited at the target at its last report.
    own_in_flight : int
        Requests of this host that are in flight.
    last_own_send_at : float
        When this host last sent the target a request.
    cold_until : float
        Monotonic seconds.
    remote_in_flight : dict
        Start times of other hosts' sends, by host id and send number.
    silence : TargetSilence
    """

    entry: object
    health: TargetHealth
    reported_in_system: float = 0.0
    reported_at: float = 0.0
    own_in_flight: int = 0
    last_own_send_at: float = float("-inf")
    cold_until: float = 0.0
    remote_in_flight: dict = field(default_factory=dict)
    silence: TargetSilence = field(default_factory=TargetSilence)

    def record_remote_send(self, send, now):
        """Count a send of another host and drop those that timed out."""
        in_flight = self.remote_in_flight
        in_flight[send] = now
        oldest = next(iter(in_flight))
        while now - in_flight[oldest] >= REMOTE_SEND_TIMEOUT_S:
            del in_flight[oldest]
            oldest = next(iter(in_flight))

    def record_remote_end(self, send):
        """Remove a send of another host that has ended."""
        self.remote_in_flight.pop(send, None)

    def in_system(self, now, drain_s):
        """Return an estimate of the requests at the target.

        Parameters
        ----------
        drain_s : float
            Mean seconds that a request stays at the target.
        """
        age_s = max(0.0, now - self.reported_at)
        reported = self.reported_in_system * exp(-age_s / max(0.01, drain_s))
        sends = self.own_in_flight
        for sent_at in self.remote_in_flight.values():
            if now - sent_at < REMOTE_SEND_TIMEOUT_S:
                sends += 1
        return max(reported, float(sends))

    def has_free_slot(self, now, drain_s):
        """Return whether one more request would start without waiting."""
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
        """Return the seconds since the last finding about or send to the target."""
        last_observed_at = self.health.last_observed_at
        latest = max(
            self.last_own_send_at,
            last_observed_at if last_observed_at is not None else -1e9,
        )
        return min(MAX_STALENESS_S, now - latest)


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """The properties of a request that the choice of a target depends on.

    Attributes
    ----------
    objective_s : float
    megabytes : float
        Size of the body.
    is_connected : callable
        Takes a target id; returns whether an idle connection to it is open.
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

    def sample(self, views, is_connected):
        """Return some of the targets at random, and some with idle connections.

        The number of estimates for a request then does not grow with the targets of its
        service; only the look-ups that find the usable ones do.

        Parameters
        ----------
        views : list of TargetView
        is_connected : callable
            Takes a target id; returns whether an idle connection to it is open.
        """
        if len(views) <= MAX_CANDIDATES:
            return views
        sampled = self.rng.sample(views, MAX_CANDIDATES)
        sampled_ids = {view.entry.target_id for view in sampled}
        connected = []
        for view in views:
            target_id = view.entry.target_id
            if target_id not in sampled_ids and is_connected(target_id):
                connected.append(view)
        if len(connected) > MAX_CONNECTED_CANDIDATES:
            connected = self.rng.sample(connected, MAX_CONNECTED_CANDIDATES)
        return sampled + connected

    def expected_loss(self, view, latencies: LatencySample, request_profile, now):
        """Return the expected share of a request's credit lost at a target."""
        objective_s = request_profile.objective_s
        fails = view.health.failure_probability(now)
        wait_s = view.wait_s(now, latencies.service_s)
        late = latencies.share_above(objective_s - wait_s) if wait_s else 0.0
        loss = fails + (1.0 - fails) * LATE_LOSS * late
        # A queue also delays requests that still meet the objective.
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

    def healthy_waits_s(self, views, latencies, now):
        """Return the expected waits at the healthy targets, in ascending order."""
        waits_s = []
        for view in views:
            if view.health.failure_probability(now) < HEALTHY_FAILURE_PROBABILITY:
                waits_s.append(view.wait_s(now, latencies.service_s))
        waits_s.sort()
        return waits_s

    def best(self, views, latencies, request_profile, now):
        """Return the view with the least expected loss, jitter included, or None."""
        best = None
        min_loss = None
        for view in views:
            loss = self.expected_loss(view, latencies, request_profile, now)
            loss += self.rng.uniform(0.0, LOSS_JITTER)
            if min_loss is None or loss < min_loss:
                best, min_loss = view, loss
        return best

    def spread_return_s(self, pause_s):
        """Return after how many seconds a refused caller is asked to come back.

        Callers that were refused for the same reason then return one by one.
        """
        spread_s = max(MIN_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * pause_s)
        return pause_s + self.rng.uniform(0.0, spread_s)

    def explore(self, views, latencies, now):
        """Return a random target, weighted by squared staleness, or None.

        Only idempotent requests may be used for exploration.
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
