"""Lets requests wait for admission to a service."""

import asyncio

from ..outcome import AttemptKind

# The granularity of queue expiry; well below the shortest declared deadline.
EXPIRY_PERIOD_S = 0.01


class Gate:
    """The waiting side of one service's ``Admission``.

    Parameters
    ----------
    admission : Admission
    clock : Clock
    """

    def __init__(self, admission, clock):
        self.admission = admission
        self.clock = clock
        self.waiting = {}

    async def enter(self, ticket):
        """Wait until ``ticket`` is admitted or refused.

        Returns
        -------
        AdmissionResult
        """
        result = self.admission.request(ticket, self.clock.now())
        if not result.is_queued:
            return result
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = future
        try:
            return await future
        except asyncio.CancelledError:
            self.withdraw(ticket, future)
            raise
        finally:
            self.waiting.pop(ticket, None)

    def withdraw(self, ticket, future):
        """Take a ticket out whose caller went away."""
        if future.done() and not future.cancelled() and future.result().is_admitted:
            self.leave(ticket, AttemptKind.CANCELLED, 0.0)
            return
        self.admission.withdraw(ticket)

    def leave(self, ticket, kind, latency_s):
        """Give the place of an admitted ticket to the next in the queue."""
        admitted = self.admission.release(ticket, kind, latency_s, self.clock.now())
        for result in admitted:
            self.resolve(result)

    def expire(self):
        """Refuse the queued tickets that can't finish in time any more."""
        for result in self.admission.expire(self.clock.now()):
            self.resolve(result)

    def resolve(self, result):
        """Wake the request that waits for a result."""
        future = self.waiting.get(result.ticket)
        if future is not None and not future.done():
            future.set_result(result)
