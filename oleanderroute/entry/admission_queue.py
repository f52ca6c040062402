"""Lets requests wait for admission to a service."""

import asyncio

from ..decisions.admission import AdmissionReason, AdmissionState
from ..outcome import AttemptKind


class AdmissionQueue:
    """The waiting side of one service's ``Admission``.

    Parameters
    ----------
    admission : Admission
    clock : Clock
    nonempty_queues : set of Gate
        Shared by all gates of a host; holds those with waiting requests.
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
            ``WITHIN_LIMIT`` if it was admitted, else why it was refused.
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
        """Take a ticket out whose caller went away."""
        if not self.admission.cancel(ticket):
            # It was admitted in the same moment; its place goes to the next.
            self.release_ticket(ticket, AttemptKind.CANCELLED, 0.0)

    def release_ticket(self, ticket, kind, latency_s):
        """Give the place of an admitted ticket to the next in the queue.

        Parameters
        ----------
        ticket : Ticket
        kind : AttemptKind
            How its last attempt ended.
        latency_s : float
            Seconds on the target.
        """
        admitted = self.admission.release(ticket, kind, latency_s, self.clock.now())
        for other in admitted:
            self.resolve(other, AdmissionReason.WITHIN_LIMIT)

    def expire(self):
        """Refuse the waiting tickets that can't finish in time any more."""
        for ticket in self.admission.expire(self.clock.now()):
            self.resolve(ticket, AdmissionReason.CANNOT_FINISH)
        for ticket in self.admission.grow_if_waiting(self.clock.now()):
            self.resolve(ticket, AdmissionReason.WITHIN_LIMIT)

    def resolve(self, ticket, reason):
        """Wake the request that waits on a ticket."""
        future = self.waiting.get(ticket.ticket_id)
        if future is not None and not future.done():
            future.set_result(reason)
