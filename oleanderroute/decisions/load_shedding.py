"""Which requests of an overloaded service are refused.

A kind is the requests of one route with one priority. The kinds of a service are
served in the order of their priority and, within a priority, of their value per second
of work. The value is 1 for an answer within the objective, less for a late one, and 0
after the time limit. The shorter the expected wait at the targets, the larger the share
of the demanded work that is admitted. That share goes to the kinds in their order,
after a floor for each of them. All hosts see nearly the same wait, so they need no
further messages to refuse the same kinds.

With one kind, or with kinds that do not differ, the rule of `StandingQueue` decides.
"""

from dataclasses import dataclass
from math import exp

from .selection import LATE_LOSS
from .standing_queue import MAX_WAIT_SHARE

# Demand by kind is averaged over this time. A host gets some requests a second for all
# services, so a shorter time would leave few requests of a kind.
DEMAND_TIME_S = 30.0
# A kind without a request for this time is forgotten.
KIND_TIMEOUT_S = 120.0
MAX_KINDS = 32
# Kinds of a priority whose value per second of work differs by less count as equal: the
# means of 20 to 60 samples differ by one or two tenths for equal kinds.
EQUAL_DENSITY_RATIO = 1.3
# Each kind keeps this part of the share of requests that all kinds together are
# served. Half is required; the rest covers the errors of the estimates.
FLOOR_SHARE = 0.55
# The admitted share of the work falls from 1 to 0 between these multiples of the
# reference wait. With 1.5 instead of 2.5, single waits change the share too much: in a
# trial at 1.3 times the capacity, 0.69 instead of 0.81 of the urgent tries were served.
FULL_ADMISSION_WAIT = 0.5
NO_ADMISSION_WAIT = 2.5
# Bound of the reference wait in multiples of the service time: half the wait at a
# target whose queue of 4 places per slot is full. Full targets refuse in the order of
# arrival.
MAX_REFERENCE_WORK = 2.0
# A kind with less than this share of the work of the largest kind does not set
# the reference wait.
MIN_REFERENCE_SHARE = 0.05
# Steps of the fixed point of the served share; it changes by under 0.01 after them.
SHARE_STEPS = 8
# Shortest share by which a wait is divided for Retry-After.
MIN_RETRY_SHARE = 0.1
# Part of the limit on repeats that the last kind leaves to those before it.
REPEAT_RESERVE_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class RequestNeed:
    """The properties of a request that the order depends on.

    Attributes
    ----------
    route_id : RouteId
    priority : int
        0 is the most urgent.
    objective_s : float
        Latency objective.
    time_left_s : float
        Until the time limit of the caller or the route.
    """

    route_id: str
    priority: int
    objective_s: float
    time_left_s: float

    @property
    def kind(self):
        """Key of the request's kind."""
        return (self.route_id, self.priority)


@dataclass(slots=True)
class KindDemand:
    """Recent demand for one kind of request.

    Attributes
    ----------
    count : float
        Requests, each with a weight that decays over `DEMAND_TIME_S`.
    requested_at : float
        Monotonic seconds of the last request.
    work_s, value : float
        Expected work and value of a request with its whole time limit.
    admitted_share : float
        Share of the requests that is admitted.
    """

    priority: int
    objective_s: float = 0.0
    time_limit_s: float = 0.0
    count: float = 0.0
    requested_at: float = 0.0
    work_s: float = 0.0
    value: float = 1.0
    admitted_share: float = 1.0

    @property
    def demanded_s(self):
        """Seconds of work that the recent requests demand."""
        return self.count * self.work_s

    @property
    def density(self):
        """Value per second of work."""
        return self.value / self.work_s


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """Decision on one request.

    Attributes
    ----------
    is_admitted : bool
    retry_after_s : float
        When capacity for a refused request is expected.
    is_ordered : bool
        Whether the order of the kinds decided; returning callers are then spread over
        time.
    """

    is_admitted: bool
    retry_after_s: float = 0.0
    is_ordered: bool = False


ADMITTED = AdmissionResult(True)


def typical_wait_s(waits_s):
    """Return the wait that a request can expect, in seconds.

    Hosts choose among several short queues, so a request waits longer than at the
    minimum. The mean of the shorter half leaves out targets that answer nobody.

    Parameters
    ----------
    waits_s : list of float
        Expected waits at the healthy targets, in ascending order.
    """
    shorter = waits_s[: (len(waits_s) + 1) // 2]
    return sum(shorter) / len(shorter) if shorter else 0.0


def expected_value(sample, wait_s, objective_s, time_left_s):
    """Return the expected value, from 0 to 1, of sending a request.

    Parameters
    ----------
    sample : WorkSample or None
        None if the work is not known; the answer then counts as in time.
    wait_s : float
        Expected wait at the target.
    """
    if sample is None:
        return 1.0
    in_time = sample.share_within(min(objective_s, time_left_s) - wait_s)
    answered = sample.share_within(time_left_s - wait_s)
    return in_time + (1.0 - LATE_LOSS) * (answered - in_time)


def group_equal_kinds(kinds):
    """Return the kinds in their order, as lists of kinds that count as equal."""
    groups = []
    for kind in sorted(kinds, key=lambda kind: (kind.priority, -kind.density)):
        first = groups[-1][0] if groups else None
        if (
            first is not None
            and first.priority == kind.priority
            and first.density < EQUAL_DENSITY_RATIO * kind.density
        ):
            groups[-1].append(kind)
        else:
            groups.append([kind])
    return groups


def fill_in_order(demands, capacity, floor):
    """Return the admitted share of each group for a floor that all of them get.

    Parameters
    ----------
    demands : list of float
        Work of each group.
    capacity : float
        Work that can be admitted.
    floor : float
    """
    left = capacity - floor * sum(demands)
    shares = []
    for demand in demands:
        extra = min(1.0 - floor, max(0.0, left) / demand)
        left -= extra * demand
        shares.append(floor + extra)
    return shares


def assign_shares(groups, work_share):
    """Set the admitted share of all kinds.

    Parameters
    ----------
    groups : list of list of KindDemand
        In the order in which they are served.
    work_share : float
        Part of the demanded work that is admitted.
    """
    counts = []
    demands = []
    for group in groups:
        counts.append(sum(kind.count for kind in group))
        demands.append(sum(kind.count * kind.work_s for kind in group))
    capacity = work_share * sum(demands)
    served_share = work_share
    shares = []
    for _ in range(SHARE_STEPS):
        floor = min(work_share, FLOOR_SHARE * served_share)
        shares = fill_in_order(demands, capacity, floor)
        served = sum(count * share for count, share in zip(counts, shares, strict=True))
        served_share = (served_share + served / sum(counts)) / 2.0
    for group, share in zip(groups, shares, strict=True):
        for kind in group:
            kind.admitted_share = share


class LoadShedder:
    """Decides which requests to one service are refused.

    Parameters
    ----------
    queue : StandingQueue
    estimate : WorkEstimate
    rng : random.Random
    """

    def __init__(self, queue, estimate, rng):
        self.queue = queue
        self.estimate = estimate
        self.rng = rng
        self.kinds = {}
        self.updated_at = None
        # Whether the last request was judged by the order of the kinds.
        self.is_ordered = False

    def is_hopeless(self, need, now):
        """Tell whether a request has less time left than it needs."""
        return self.estimate.is_hopeless(need.route_id, need.time_left_s, now)

    def admit(self, need, waits_s, service_s, now):
        """Record a new request and decide whether to send it.

        Parameters
        ----------
        need : RequestNeed
        waits_s : list of float
            Expected waits at the healthy targets, in ascending order.
        service_s : float
            Mean service time of the service.
        now : float
            Monotonic seconds.

        Returns
        -------
        AdmissionResult
        """
        wait_s = typical_wait_s(waits_s)
        self.record_demand(need, wait_s, service_s, now)
        groups = group_equal_kinds(self.kinds.values())
        self.is_ordered = self.is_order_needed(groups)
        if not self.is_ordered:
            self.reset_shares()
            min_wait_s = waits_s[0] if waits_s else 0.0
            if self.queue.should_refuse(min_wait_s, need.objective_s, now):
                return AdmissionResult(False, min_wait_s)
            return ADMITTED
        reference_s = min(
            MAX_WAIT_SHARE * self.shortest_objective_s(),
            MAX_REFERENCE_WORK * service_s,
        )
        shortest_s = FULL_ADMISSION_WAIT * reference_s
        is_long = self.queue.should_refuse(wait_s, shortest_s / MAX_WAIT_SHARE, now)
        work_share = 1.0
        if is_long:
            span_s = (NO_ADMISSION_WAIT - FULL_ADMISSION_WAIT) * reference_s
            work_share = max(0.0, 1.0 - (wait_s - shortest_s) / span_s)
        if work_share >= 1.0:
            self.reset_shares()
            return ADMITTED
        assign_shares(groups, work_share)
        share = self.admitted_share(need, wait_s)
        if self.rng.random() < share:
            return ADMITTED
        return AdmissionResult(False, wait_s / max(MIN_RETRY_SHARE, share), True)

    def is_order_needed(self, groups):
        """Tell whether the kinds differ in priority, work or objective."""
        if len(groups) > 1:
            return True
        return len({kind.objective_s for kind in self.kinds.values()}) > 1

    def shortest_objective_s(self):
        """Return the shortest objective of the kinds that make up the demand.

        Otherwise a rare kind with a short objective would have the others refused.
        """
        most = max(kind.demanded_s for kind in self.kinds.values())
        found = []
        for kind in self.kinds.values():
            if kind.demanded_s >= MIN_REFERENCE_SHARE * most:
                found.append(kind.objective_s)
        return min(found)

    def reset_shares(self):
        """Admit all kinds alike."""
        for kind in self.kinds.values():
            kind.admitted_share = 1.0

    def admitted_share(self, need, wait_s):
        """Return the probability with which a request is admitted.

        A request with less time left than others of its kind is worth less.
        """
        kind = self.kinds[need.kind]
        sample = self.estimate.sample_of(need.route_id)
        value = expected_value(sample, wait_s, need.objective_s, need.time_left_s)
        if kind.admitted_share >= 1.0 or value >= kind.value:
            return kind.admitted_share
        return kind.admitted_share * value / kind.value

    def record_demand(self, need, wait_s, service_s, now):
        """Count a request and update what is known about its kind."""
        self.decay(now)
        kind = self.kinds.get(need.kind)
        if kind is None:
            if len(self.kinds) >= MAX_KINDS:
                del self.kinds[min(self.kinds, key=lambda key: self.kinds[key].count)]
            kind = self.kinds[need.kind] = KindDemand(need.priority)
        kind.count += 1.0
        kind.requested_at = now
        kind.objective_s = need.objective_s
        # Callers that come back have less time than the others.
        kind.time_limit_s = max(kind.time_limit_s, need.time_left_s)
        kind.work_s = max(0.001, self.estimate.mean_s(need.route_id, service_s))
        sample = self.estimate.sample_of(need.route_id)
        value = expected_value(sample, wait_s, need.objective_s, kind.time_limit_s)
        kind.value = max(0.01, value)

    def decay(self, now):
        """Reduce the weight of earlier requests and forget kinds without demand."""
        elapsed_s = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if elapsed_s <= 0.0:
            return
        keep = exp(-elapsed_s / DEMAND_TIME_S)
        for key, kind in list(self.kinds.items()):
            kind.count *= keep
            if now - kind.requested_at > KIND_TIMEOUT_S:
                del self.kinds[key]

    def describe_kinds(self):
        """Return route, priority, work in ms and admitted share of each kind."""
        described = []
        for (route_id, priority), kind in self.kinds.items():
            work_ms = round(1000 * kind.work_s)
            share = round(kind.admitted_share, 2)
            described.append([route_id, priority, work_ms, share])
        return described

    def repeat_share(self, need):
        """Return the part of the limit on repeats that a request may use.

        A kind leaves a reserve in proportion to the demand for the kinds before it, so
        that these get the last repeats.
        """
        total = sum(kind.count for kind in self.kinds.values())
        ahead = 0.0
        for group in group_equal_kinds(self.kinds.values()):
            if self.kinds.get(need.kind) in group:
                break
            ahead += sum(kind.count for kind in group)
        return 1.0 - REPEAT_RESERVE_SHARE * ahead / max(total, 1.0)
