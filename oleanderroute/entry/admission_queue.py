"""Queue of requests that wait for admission to a service."""

import asyncio

from ..decisions.admission import AdmissionReason, AdmissionState
from ..outcome import AttemptKind


class AdmissionQueue:
    """Suspends requests until the ``Admission`` of their service decides.

    Parameters
    ----------
    admission : Admission
    clock : Clock
    nonempty_queues : set of Gate
        The queues with waiting requests, shared by all services of a host.
    """

    def __init__(self, admission, clock, nonempty_queues):
        self.admission = admission
        self.clock = clock
        self.nonempty_queues = nonempty_queues
        self.waiting = {}

    async def admit(self, ticket):
        """Wait until a ticket is admitted or refused.

        Parameters
        ----------
        ticket : Ticket

        Returns
        -------
        AdmissionReason
            ``WITHIN_LIMIT`` if admitted, otherwise the reason for the refusal.
        """
        result = self.admission.request(ticket, self.clock.now())
        for displaced in result.displaced:
            self.resolve(displaced, AdmissionReason.LONG_SHED)
        if result.state is not AdmissionState.QUEUED:
            return result.reason
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket.ticket_id] = future
        self.nonempty_queues.add(self)
        try:
            return await future
        except asyncio.CancelledError:
            self.withdraw(ticket)
            raise
        finally:
            self.waiting.pop(ticket.ticket_id, None)
            if not self.waiting:
                self.nonempty_queues.discard(self)

    def withdraw(self, ticket):
        """Remove the ticket of a cancelled request."""
        if not self.admission.cancel(ticket):
            # It has just been admitted, so its permit goes to the next request.
            self.release_ticket(ticket, AttemptKind.CANCELLED, 0.0)

    def release_ticket(self, ticket, kind, latency_s):
        """Release an admitted ticket and admit the next ones in the queue.

        Parameters
        ----------
        ticket : Ticket
        kind : AttemptKind
            How its last attempt ended.
        latency_s : float
            Seconds that the last attempt took.
        """
        admitted = self.admission.release(ticket, kind, latency_s, self.clock.now())
        for other in admitted:
            self.resolve(other, AdmissionReason.WITHIN_LIMIT)

    def expire(self):
        """Refuse tickets that can't finish in time; admits more if the limit grew."""
        for ticket in self.admission.expire(self.clock.now()):
            self.resolve(ticket, AdmissionReason.CANNOT_FINISH)
        for ticket in self.admission.grow_if_waiting(self.clock.now()):
            self.resolve(ticket, AdmissionReason.WITHIN_LIMIT)

    def resolve(self, ticket, reason):
        """Wake the request that waits for a ticket."""
        future = self.waiting.get(ticket.ticket_id)
        if future is not None and not future.done():
            future.set_result(reason)
