"""Refuses requests of overloaded services and orders the use of repeats.

The order of kinds of requests takes effect in a configuration with workspaces. Without
them, a standing queue before the healthy targets refuses all kinds alike.
"""

from .. import events
from ..decisions.load_shedding import LoadShedder, RequestNeed
from .refusal import RETRY_AFTER_S, HostReason, refusal_answer


def request_need(exchange, now):
    """Return the ``RequestNeed`` of a request."""
    route = exchange.route
    return RequestNeed(
        route.route_id, exchange.priority, route.objective_s, exchange.deadline_at - now
    )


class RequestShedding:
    """The load shedding of all services on one host.

    Parameters
    ----------
    view : FleetView
    selector : Selector
    work_estimates : WorkEstimates
    clock : Clock
    """

    def __init__(self, view, selector, work_estimates, clock):
        self.view = view
        self.selector = selector
        self.work_estimates = work_estimates
        self.clock = clock
        self.shedders = {}

    def shedder_of(self, service):
        """Return the ``LoadShedder`` of a service."""
        shedder = self.shedders.get(service)
        if shedder is None:
            shedder = self.shedders[service] = LoadShedder(
                self.view.queue_of(service),
                self.work_estimates.of(service),
                self.selector.rng,
            )
        return shedder

    @property
    def is_enabled(self):
        """Whether the configuration in force asks for the order."""
        configuration = self.view.configuration
        return configuration is not None and bool(configuration.workspaces)

    def refusal(self, exchange, candidates):
        """Return the refusal of a new request, or None if it may be sent.

        Parameters
        ----------
        exchange : Exchange
        candidates : list of TargetView
        """
        now = self.clock.now()
        latencies = self.view.latencies_of(exchange.service)
        waits_s = self.selector.healthy_waits_s(candidates, latencies, now)
        exchange.wait_s = waits_s[0] if waits_s else 0.0
        if not self.is_enabled:
            return self.queue_refusal(exchange, now)
        shedder = self.shedder_of(exchange.service)
        need = request_need(exchange, now)
        if shedder.is_hopeless(need, now):
            # A request with more time can be served after the present wait.
            return refusal_answer(
                HostReason.SHED, retry_after_s=max(RETRY_AFTER_S, exchange.wait_s)
            )
        was_standing = shedder.queue.is_standing
        result = shedder.admit(need, waits_s, latencies.service_s, now)
        if shedder.queue.is_standing != was_standing:
            self.log_turn(exchange, shedder)
        if result.is_admitted:
            return None
        retry_after_s = result.retry_after_s
        if result.is_ordered:
            retry_after_s = self.selector.spread_return_s(retry_after_s)
        return refusal_answer(HostReason.NO_ROOM, retry_after_s=retry_after_s)

    def queue_refusal(self, exchange, now):
        """Return the refusal of a request that would only add to a standing queue."""
        queue = self.view.queue_of(exchange.service)
        was_standing = queue.is_standing
        must_refuse = queue.should_refuse(
            exchange.wait_s, exchange.route.objective_s, now
        )
        if queue.is_standing != was_standing:
            self.log_queue(exchange, queue)
        if not must_refuse:
            return None
        return refusal_answer(HostReason.NO_ROOM, retry_after_s=exchange.wait_s)

    def log_queue(self, exchange, queue):
        """Log that a queue began or ceased to stand."""
        events.QUEUE_TURNED.log(
            service=exchange.service,
            standing=queue.is_standing,
            wait_s=round(exchange.wait_s, 3),
        )

    def log_turn(self, exchange, shedder):
        """Log that a queue began or ceased to stand, and the order of the kinds."""
        is_standing = shedder.queue.is_standing
        self.log_queue(exchange, shedder.queue)
        if shedder.is_ordered:
            events.SHEDDING_TURNED.log(
                service=exchange.service,
                shedding=is_standing,
                kinds=shedder.describe_kinds(),
            )

    def is_hopeless(self, exchange):
        """Tell whether a request has less time left than it needs."""
        if not self.is_enabled:
            return False
        now = self.clock.now()
        shedder = self.shedder_of(exchange.service)
        return shedder.is_hopeless(request_need(exchange, now), now)

    def repeat_share(self, exchange):
        """Return the part of the limit on repeats that a request may use."""
        if not self.is_enabled:
            return 1.0
        need = request_need(exchange, self.clock.now())
        return self.shedder_of(exchange.service).repeat_share(need)
