"""Handles a caller's request, from the choice of its route to its answer."""

from math import inf

from .. import events
from ..entry.credentials import hide_credentials
from ..entry.messages import (
    BodyTooLarge,
    CallerAnswer,
    MemoryPressure,
    TargetAnswer,
    read_body_prefix,
)
from ..errors import CallerDisconnected, format_failure
from ..outcome import CallerOutcome
from .api_keys import ApiKeys
from .exchange import Exchange
from .refusal import KEY_REASONS, HostReason, refusal_answer
from .routes import authority_of

# Bodies up to this size are read before a target is chosen, so that a slow caller
# occupies no slot and a refused request can be sent to another target.
BUFFERED_BODY_BYTES = 1024 * 1024
# Stalled requests are refused within this time, which makes room.
MEMORY_RETRY_AFTER_S = 1.0
ANSWERED = "answered"
# Requests that were sent within 3 s of a stop signal belong to the work that may be cut
# at the end of the grace period. A request arrives a little later than it was sent.
LATE_IN_STOP_S = 2.9


class HostProxy:
    """Serves requests under the configuration in force.

    Parameters
    ----------
    view : FleetView
    forwarder : RequestForwarder
    headers : object
        Has ``parse_caller_headers(headers)`` and what ``ApiKeys`` needs.
    request_log : RequestLog
    clock : Clock
    rng : random.Random
    api_keys : ApiKeys, optional
    """

    def __init__(
        self, view, forwarder, headers, request_log, clock, rng, api_keys=None
    ):
        self.view = view
        self.forwarder = forwarder
        self.headers = headers
        self.request_log = request_log
        self.clock = clock
        self.rng = rng
        self.api_keys = api_keys or ApiKeys(view, headers, clock)
        self.in_flight = 0
        self.has_memory_budget = False
        # Once the host stops: from when on a request is late, and when it is cut.
        self.late_from = inf
        self.cut_at = inf

    def begin_stop(self, started_at, limit_s):
        """Forward late requests only if they end before the host does.

        Parameters
        ----------
        started_at : float
            Monotonic seconds of the stop signal.
        limit_s : float
            Seconds from then until requests in flight are cut.
        """
        self.late_from = started_at + LATE_IN_STOP_S
        self.cut_at = started_at + limit_s

    def may_be_cut(self, exchange):
        """Tell whether a late request can last longer than the host."""
        is_late = exchange.request.received_at > self.late_from
        return is_late and exchange.deadline_at > self.cut_at

    async def handle(self, request):
        """Return the ``CallerAnswer`` of a ``CallerRequest``."""
        self.in_flight += 1
        try:
            return await self.serve(request)
        finally:
            self.in_flight -= 1

    async def serve(self, request):
        """Find the route, check the API key, read the body and forward the request."""
        attempt_id, remaining_s = self.headers.parse_caller_headers(request.headers)
        exchange = self.make_exchange(request, attempt_id, remaining_s)
        if not isinstance(exchange, Exchange):
            return self.refuse_on_arrival(request, attempt_id, exchange)
        if self.may_be_cut(exchange):
            # Another host can take it at once.
            answer = refusal_answer(HostReason.STOPPING, retry_after_s=0.0)
            self.request_log.finished(exchange, answer)
            return answer
        try:
            answer = self.view.rate_limits.admit(exchange)
            if answer is not None:
                self.request_log.finished(exchange, answer)
                return answer
            request.body.limit(self.view.configuration.bounds.body_bytes)
            if request.body.length != 0:
                exchange.body_prefix = await read_body_prefix(
                    request.body, BUFFERED_BODY_BYTES
                )
            if self.has_memory_budget:
                request.body.charge.begin_send()
            answer = self.view.rate_limits.admit_again(exchange)
            if answer is None:
                answer = await self.run(exchange)
        except BodyTooLarge:
            answer = refusal_answer(HostReason.BODY_TOO_LARGE, exchange.may_have_run)
        except MemoryPressure:
            answer = refusal_answer(
                HostReason.MEMORY_PRESSURE, exchange.may_have_run, MEMORY_RETRY_AFTER_S
            )
        except CallerDisconnected:
            answer = refusal_answer(HostReason.BODY_INCOMPLETE, exchange.may_have_run)
        except Exception as error:
            events.CALLER_REQUEST_FAILED.log(
                path=hide_credentials(request.path, request.headers),
                error=type(error).__name__,
                reason=hide_credentials(format_failure(error), request.headers),
            )
            answer = refusal_answer(HostReason.INTERNAL, True)
        finally:
            self.view.rate_limits.give_back(exchange)
        self.request_log.finished(exchange, answer)
        return answer

    async def run(self, exchange):
        """Forward a request unless its fingerprint is quarantined."""
        if self.forwarder.crashes.is_refused(exchange):
            return refusal_answer(HostReason.CRASH_QUARANTINE)
        answer = await self.forwarder.run(exchange)
        if isinstance(answer, TargetAnswer):
            return caller_answer(answer)
        if answer.outcome is CallerOutcome.NOT_RUN:
            reason = self.api_keys.recheck(exchange)
            if reason is not None:
                return refusal_answer(reason, exchange.may_have_run)
        return answer

    def make_exchange(self, request, attempt_id, remaining_s):
        """Return the ``Exchange`` of a request, or the reason of its refusal."""
        view = self.view
        configuration = view.configuration
        if configuration is None:
            return HostReason.NOT_CONFIGURED
        path, _, _ = request.raw_target.partition(b"?")
        route = view.routes.match(authority_of(request.headers), path.decode("latin-1"))
        if route is None:
            if view.is_replica_current(self.clock.now()):
                return HostReason.NO_ROUTE
            return HostReason.ROUTE_UNCERTAIN
        found = self.api_keys.check(request.headers, route)
        if found.reason is not None:
            return found.reason
        attempt_id = found.visible_id(attempt_id)
        limit_s = route.timeout_s
        if remaining_s is not None:
            limit_s = min(limit_s, remaining_s)
        return Exchange(
            request=request,
            route=route,
            service=self.choose_service(route),
            attempt_id=(attempt_id or b"").decode("latin-1"),
            attempt_id_bytes=attempt_id,
            deadline_at=request.received_at + limit_s,
            version=configuration.version,
            base_headers=found.base_headers,
            workspace=found.workspace,
            key_version=configuration.version,
        )

    def choose_service(self, route):
        """Choose a service of the route at random by weight."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        weights = [destination.weight for destination in destinations]
        return self.rng.choices(destinations, weights)[0].service

    def refuse_on_arrival(self, request, attempt_id, reason):
        """Refuse a request that has no route or no API key."""
        if reason in KEY_REASONS:
            self.request_log.key_refused(request, attempt_id, reason, self.view)
        else:
            self.request_log.refused(request, attempt_id, reason, self.view)
        return refusal_answer(reason)


def caller_answer(answer):
    """Convert a ``TargetAnswer`` into a ``CallerAnswer``."""
    body = answer.body if answer.stream is None else answer.chunks()
    return CallerAnswer(
        answer.status, answer.headers, body, CallerOutcome.ANSWERED, ANSWERED
    )
