"""Rate-limited log lines and counters of requests."""

from .. import events
from ..entry.credentials import hide_credentials
from ..outcome import CallerOutcome

# Limits for lines about requests that were answered, and about those that were not.
# A host normally serves some ten requests a second.
ANSWERED_LINES_PER_S = 20.0
FAILED_LINES_PER_S = 40.0
BURST_S = 5.0


class LogRateLimiter:
    """A token bucket for log lines.

    Parameters
    ----------
    per_s : float
    clock : Clock
    """

    def __init__(self, per_s, clock):
        self.per_s = per_s
        self.clock = clock
        self.tokens = per_s * BURST_S
        self.updated_at = clock.now()
        self.suppressed = 0

    def try_acquire(self):
        """Tell whether a line may be written; count it as suppressed otherwise."""
        now = self.clock.now()
        refilled = (now - self.updated_at) * self.per_s
        self.tokens = min(self.per_s * BURST_S, self.tokens + refilled)
        self.updated_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True

    def pop_suppressed(self):
        """Return and reset the number of lines suppressed since the last one."""
        suppressed = self.suppressed
        self.suppressed = 0
        return suppressed


class RequestLog:
    """Logs and counts how each request ended.

    Parameters
    ----------
    metrics : HostMetrics
    clock : Clock
    """

    def __init__(self, metrics, clock):
        self.metrics = metrics
        self.clock = clock
        self.answered = LogRateLimiter(ANSWERED_LINES_PER_S, clock)
        self.failed = LogRateLimiter(FAILED_LINES_PER_S, clock)

    def finished(self, exchange, answer):
        """Log and count a request that had a route."""
        elapsed_s = self.clock.now() - exchange.request.received_at
        self.metrics.request_finished(exchange, answer, elapsed_s)
        is_answered = answer.outcome is CallerOutcome.ANSWERED and answer.status < 500
        budget = self.answered if is_answered else self.failed
        if not budget.try_acquire():
            return
        sends = []
        for record in exchange.sends:
            sends.append(record.log_fields())
        events.REQUEST_FINISHED.log(
            request=exchange.attempt_id,
            route=exchange.route.route_id,
            service=exchange.service,
            version=exchange.version,
            status=answer.status,
            reason=answer.reason,
            elapsed_ms=int(elapsed_s * 1000),
            wait_ms=int(1000 * exchange.wait_s),
            limit_ms=int(1000 * (exchange.deadline_at - exchange.request.received_at)),
            sends=sends,
            left_out=budget.pop_suppressed(),
        )

    def refused(self, request, attempt_id, reason, view):
        """Log and count a request that has no route."""
        self.metrics.request_refused(reason)
        if not self.failed.try_acquire():
            return
        events.REQUEST_WITHOUT_ROUTE.log(
            request=visible_id(attempt_id, request),
            path=hide_credentials(request.path, request.headers)[:200],
            reason=reason.value,
            version=version_of(view),
            news_age_s=self.news_age_s(view),
            left_out=self.failed.pop_suppressed(),
        )

    def key_refused(self, request, attempt_id, reason, view):
        """Log and count a request that has no valid API key."""
        self.metrics.request_refused(reason)
        if not self.failed.try_acquire():
            return
        events.REQUEST_KEY_REFUSED.log(
            request=visible_id(attempt_id, request),
            reason=reason.value,
            version=version_of(view),
            news_age_s=self.news_age_s(view),
            left_out=self.failed.pop_suppressed(),
        )

    def news_age_s(self, view):
        """Return the seconds since the store confirmed the replica, or None."""
        confirmed_at = view.replica.confirmed_at
        return (
            None if confirmed_at is None else round(self.clock.now() - confirmed_at, 3)
        )


def visible_id(attempt_id, request):
    """Return the attempt id of a request without credentials."""
    text = (attempt_id or b"").decode("latin-1")
    return hide_credentials(text, request.headers)


def version_of(view):
    """Return the version of the configuration in force; 0 without any."""
    return view.configuration.version if view.configuration else 0
