"""Admission of requests to one service on one host."""

from dataclasses import dataclass
from enum import Enum

from ..outcome import AttemptKind, RequestClass
from .deadline_queue import DeadlineQueue

# Kinds of attempts whose latency is a sample of the service time.
SERVED_KINDS = frozenset({AttemptKind.OK, AttemptKind.ERROR_STATUS})


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Tunable limits of admission.

    Attributes
    ----------
    ceiling : int or None
        Highest concurrency; None takes the service's slots.
    initial : float
        Concurrency limit at the start.
    increase_per_round : float
        Growth of the limit per round of as many successes as the limit.
    decrease_factor : float
        Factor on the limit after a target's refusal.
    min_decrease_interval_s : float
        Minimum time between two decreases, since one overload causes many refusals.
    fast_growth_after_s : float
        Time without a refusal after which each success adds 1 to the limit. The
        slow growth after a refusal keeps hosts from colliding where a host's share
        of the slots is about one; a larger service would adapt too slowly to a
        change in demand.
    waiting_growth_s : float
        While requests wait and no target has refused for ``refusal_free_s``, the limit
        grows by 1 in this time, so that a few slow requests on a host without
        history do not delay the others.
    refusal_free_s : float
    queue_limit : int
        Maximum number of waiting requests of both classes together.
    long_queue_share : float
        Share of the queue beyond which long requests are shed.
    service_time_gain : float
        Weight of the newest sample in the expected service time.
    wait_weight : float
        Share of the worst-case queueing time that early refusal assumes.
    """

    ceiling: int | None = None
    initial: float = 2.0
    increase_per_round: float = 0.1
    decrease_factor: float = 0.85
    min_decrease_interval_s: float = 0.02
    fast_growth_after_s: float = 30.0
    waiting_growth_s: float = 0.02
    refusal_free_s: float = 1.0
    queue_limit: int = 256
    long_queue_share: float = 0.5
    service_time_gain: float = 0.1
    wait_weight: float = 0.5


class AdmissionState(Enum):
    """Decision on a request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class AdmissionReason(Enum):
    """Why a request is admitted, queued or refused."""

    WITHIN_LIMIT = "within-limit"
    LIMIT_REACHED = "limit-reached"
    QUEUE_FULL = "queue-full"
    CANNOT_FINISH = "cannot-finish"
    LONG_SHED = "long-shed"
    SHARE_LIMITED = "share-limited"


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request as admission sees it.

    Attributes
    ----------
    ticket_id : RequestId
    deadline : float
        Monotonic seconds by which the caller needs the answer.
    """

    ticket_id: str
    request_class: RequestClass
    deadline: float


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """The decision on one request.

    Attributes
    ----------
    displaced : tuple of Ticket
        Waiting requests that were shed in favour of this one.
    """

    state: AdmissionState
    reason: AdmissionReason
    displaced: tuple[Ticket, ...] = ()


class Admission:
    """Adaptive concurrency limit with a deadline queue for one service.

    Each class may always run one request, so that neither starves the other.
    Beyond that, the classes share the limit: quick requests have priority, and long
    ones hold at most their share of it.

    Parameters
    ----------
    service : Service
    limits : AdmissionLimits
    clock : Clock

    Attributes
    ----------
    limit : float
        Current concurrency limit.
    share : float
        Share of requests to admit, 0 to 1; set while a dependency recovers.
    expected_s : dict of RequestClass to float
        Exponentially weighted service time; 0 until the first sample.
    """

    def __init__(self, service, limits, clock):
        self.service = service
        self.limits = limits
        self.clock = clock
        self.ceiling = limits.ceiling or service_slots(service)
        self.limit = min(max(limits.initial, 1.0), float(self.ceiling))
        self.share = 1.0
        self.share_credit = dict.fromkeys(RequestClass, 0.0)
        self.in_flight = dict.fromkeys(RequestClass, 0)
        self.running = {}
        self.missed_deadline = []
        self.queues = {kind: DeadlineQueue() for kind in RequestClass}
        self.expected_s = dict.fromkeys(RequestClass, 0.0)
        self.decreased_at = None
        self.last_growth_at = clock.now()

    def set_ceiling(self, slots):
        """Set the ceiling of the limit to the slots that the service has now."""
        self.ceiling = max(1, slots)
        self.limit = min(self.limit, float(self.ceiling))

    def set_share(self, share):
        """Limit the share of requests that is admitted, between 0 and 1."""
        self.share = min(1.0, max(0.0, share))

    def request(self, ticket, now):
        """Decide on a new request.

        Parameters
        ----------
        ticket : Ticket
        now : float
            Monotonic seconds.

        Returns
        -------
        AdmissionResult
        """
        if self._cannot_finish(ticket, now):
            return self._refused(AdmissionReason.CANNOT_FINISH)
        if not self._is_within_share(ticket.request_class):
            return self._refused(AdmissionReason.SHARE_LIMITED)
        if self._has_room(ticket.request_class) and not self._must_queue_behind(ticket):
            self._start(ticket)
            return AdmissionResult(
                AdmissionState.ADMITTED, AdmissionReason.WITHIN_LIMIT
            )
        if self._misses_deadline_in_queue(ticket, now):
            return self._refused(AdmissionReason.CANNOT_FINISH)
        return self._enqueue(ticket)

    def release(self, ticket, kind, latency_s, now):
        """Finish an admitted request and admit waiting ones in its place.

        Parameters
        ----------
        ticket : Ticket
        kind : AttemptKind
        latency_s : float
            Time on the target in seconds.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Ticket
            Requests admitted by this call.
        """
        if self.running.pop(ticket.ticket_id, None) is None:
            return []
        was_limit_used = self._total_in_flight() >= self.limit / 2
        self.in_flight[ticket.request_class] -= 1
        self._record_outcome(ticket.request_class, kind, latency_s, was_limit_used, now)
        return self.admit_waiting(now)

    def admit_waiting(self, now):
        """Admit as many waiting requests as the limit allows.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Ticket
        """
        admitted = []
        for request_class in RequestClass:
            queue = self.queues[request_class]
            while self._has_room(request_class):
                ticket = self._pop_in_time(queue, now)
                if ticket is None:
                    break
                self._start(ticket)
                admitted.append(ticket)
        return admitted

    def _pop_in_time(self, queue, now):
        """Pop the earliest ticket that can finish; keep late ones for `expire`."""
        while (ticket := queue.first()) is not None:
            queue.remove(ticket)
            if not self._misses_deadline(ticket, now):
                return ticket
            self.missed_deadline.append(ticket)
        return None

    def expire(self, now):
        """Remove the waiting requests that cannot finish in time from the queue.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Ticket
        """
        expired = self.missed_deadline
        self.missed_deadline = []
        for queue in self.queues.values():
            while (ticket := queue.first()) is not None:
                if not self._misses_deadline(ticket, now):
                    break
                queue.remove(ticket)
                expired.append(ticket)
        return expired

    def grow_if_waiting(self, now):
        """Raise the limit while requests wait and no target refuses.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Ticket
            Requests admitted by this call.
        """
        if now - self.last_growth_at < self.limits.waiting_growth_s:
            return []
        if self.waiting_count() == 0 or not self._has_no_recent_refusal(now):
            return []
        self.last_growth_at = now
        self.limit = min(self.limit + 1.0, float(self.ceiling))
        return self.admit_waiting(now)

    def _has_no_recent_refusal(self, now):
        """Return whether requests wait for the limit rather than for the targets."""
        if self.decreased_at is None:
            return True
        return now - self.decreased_at >= self.limits.refusal_free_s

    def cancel(self, ticket):
        """Remove a waiting request whose caller has disconnected.

        Returns
        -------
        bool
            Whether the request was waiting.
        """
        return self.queues[ticket.request_class].remove(ticket)

    def waiting_count(self):
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    def long_limit(self):
        """Return how many long requests may run concurrently on this host."""
        return max(1, int(self.limit * self.service.long_share))

    def _refused(self, reason):
        return AdmissionResult(AdmissionState.REFUSED, reason)

    def _is_within_share(self, request_class):
        if self.share >= 1.0:
            return True
        # Accumulated credit spreads the admitted requests evenly over time.
        self.share_credit[request_class] += self.share
        if self.share_credit[request_class] < 1.0:
            return False
        self.share_credit[request_class] -= 1.0
        return True

    def _has_room(self, request_class):
        if self.in_flight[request_class] == 0:
            return True
        if request_class is RequestClass.LONG:
            if self.in_flight[request_class] >= self.long_limit():
                return False
        return self._total_in_flight() < int(self.limit)

    def _must_queue_behind(self, ticket):
        """Return whether waiting requests have priority over a new one."""
        if len(self.queues[ticket.request_class]) > 0:
            return True
        if ticket.request_class is RequestClass.QUICK:
            return False
        has_first_slot = self.in_flight[RequestClass.LONG] == 0
        return not has_first_slot and len(self.queues[RequestClass.QUICK]) > 0

    def _cannot_finish(self, ticket, now):
        # With nothing of its class in flight, no sample would correct an expected
        # time that is too long, and every request would be refused forever.
        if self.in_flight[ticket.request_class] == 0:
            return now >= ticket.deadline
        return self._misses_deadline(ticket, now)

    def _misses_deadline(self, ticket, now):
        expected_s = self.expected_s[ticket.request_class]
        return now + expected_s > ticket.deadline

    def _misses_deadline_in_queue(self, ticket, now):
        request_class = ticket.request_class
        expected_s = self.expected_s[request_class]
        ahead = len(self.queues[request_class])
        width = int(self.limit)
        if self._has_no_recent_refusal(now):
            # The limit grows before the queue has drained.
            width = self.ceiling
        if request_class is RequestClass.LONG:
            width = self.long_limit()
        wait_s = self.limits.wait_weight * (ahead + 1) * expected_s / width
        return now + wait_s + expected_s > ticket.deadline

    def _enqueue(self, ticket):
        waiting = self.waiting_count()
        if ticket.request_class is RequestClass.LONG:
            if waiting >= self.limits.queue_limit * self.limits.long_queue_share:
                return self._refused(AdmissionReason.LONG_SHED)
        displaced = ()
        if waiting >= self.limits.queue_limit:
            displaced = self._displace_long()
            if not displaced:
                return self._refused(AdmissionReason.QUEUE_FULL)
        self.queues[ticket.request_class].push(ticket)
        return AdmissionResult(
            AdmissionState.QUEUED, AdmissionReason.LIMIT_REACHED, displaced
        )

    def _displace_long(self):
        queue = self.queues[RequestClass.LONG]
        latest = queue.last()
        if latest is None:
            return ()
        queue.remove(latest)
        return (latest,)

    def _start(self, ticket):
        self.running[ticket.ticket_id] = ticket
        self.in_flight[ticket.request_class] += 1

    def _total_in_flight(self):
        return sum(self.in_flight.values())

    def _record_outcome(self, request_class, kind, latency_s, was_limit_used, now):
        if kind is AttemptKind.REFUSED_NOT_STARTED:
            self._decrease(now)
            return
        if kind not in SERVED_KINDS:
            return
        gain = self.limits.service_time_gain
        old_s = self.expected_s[request_class]
        if old_s == 0.0:
            self.expected_s[request_class] = latency_s
        else:
            self.expected_s[request_class] = old_s + gain * (latency_s - old_s)
        if kind is AttemptKind.OK and was_limit_used:
            self._increase(now)

    def _increase(self, now):
        step = self.limits.increase_per_round / self.limit
        if (
            self.decreased_at is None
            or now - self.decreased_at >= self.limits.fast_growth_after_s
        ):
            step = 1.0
        self.limit = min(self.limit + step, float(self.ceiling))

    def _decrease(self, now):
        if self.decreased_at is not None:
            if now - self.decreased_at < self.limits.min_decrease_interval_s:
                return
        self.decreased_at = now
        self.limit = max(1.0, self.limit * self.limits.decrease_factor)


def service_slots(service):
    """Return the slots of a service's declared targets, at least 1."""
    return max(1, len(service.targets) * service.slots_per_target)
