"""Accounting of one attempt and of its admission permit."""

from ..outcome import Attempt, AttemptKind


class AdmissionPermit:
    """Permit of one request, acquired from the admission queue of its service.

    Parameters
    ----------
    admission_queue : AdmissionQueue
    ticket : Ticket

    Attributes
    ----------
    is_streaming : bool
        Whether a streamed answer keeps the permit.
    """

    def __init__(self, admission_queue, ticket):
        self.admission_queue = admission_queue
        self.ticket = ticket
        self.last_kind = AttemptKind.CANCELLED
        self.last_latency_s = 0.0
        self.is_streaming = False
        self.is_held = True
        self.slots = None
        self.leased_service = None

    def lease(self, slots, service, target_id):
        """Keep the slot lease of a long request alive until its end."""
        self.slots = slots
        self.leased_service = service
        slots.hold(service, self.ticket.ticket_id, target_id)

    def attempt_ended(self, kind, latency_s):
        """Store the kind and the latency of the last attempt."""
        self.last_kind = kind
        self.last_latency_s = latency_s

    def release_unless_streaming(self):
        """Release the permit unless a streamed answer still needs it."""
        if not self.is_streaming:
            self.release()

    def release(self):
        """Release the permit to the next request; only the first call has an effect."""
        if not self.is_held:
            return
        self.is_held = False
        self.admission_queue.release_ticket(
            self.ticket, self.last_kind, self.last_latency_s
        )
        if self.slots is not None:
            self.slots.release(self.leased_service, self.ticket.ticket_id)


class AttemptRecord:
    """Records one attempt with the router, the budget and the reporter.

    Parameters
    ----------
    runner : AttemptRunner
    context : RequestContext
    target_id : TargetId
    permit : AdmissionPermit
    """

    def __init__(self, runner, context, target_id, permit):
        self.runner = runner
        self.context = context
        self.target_id = target_id
        self.permit = permit
        self.started_at = runner.clock.now()
        self.is_finished = False
        context.entry.router.started(
            target_id, context.route.request_class, self.started_at
        )

    def finish(self, kind):
        """Record how the attempt ended; only the first call has an effect.

        Parameters
        ----------
        kind : AttemptKind
        """
        if self.is_finished:
            return
        self.is_finished = True
        now = self.runner.clock.now()
        route = self.context.route
        latency_s = now - self.started_at
        attempt = Attempt(self.target_id, route.request_class, kind, latency_s)
        self.context.ended_attempts.append(attempt)
        entry = self.context.entry
        entry.router.finished(attempt, now)
        entry.budget.record_attempt(kind is AttemptKind.REFUSED_NOT_STARTED, now)
        if kind is AttemptKind.OK:
            entry.budget.record_success(now)
        self.permit.attempt_ended(kind, latency_s)
        self.runner.reporter.record(route.service, attempt)
        self.runner.metrics.attempts.inc(
            {"service": route.service, "kind": kind.name.lower()}
        )
