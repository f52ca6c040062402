"""A queue of waiting requests ordered by deadline."""

import heapq
from itertools import count

# Removed tickets stay in the heaps until they reach the top. The heaps are rebuilt
# when one holds this many entries more than twice the waiting tickets, which bounds
# their size.
MAX_STALE_ENTRIES = 256


class DeadlineQueue:
    """Tickets of one class, earliest deadline first.

    All operations take amortised O(log n) time.
    """

    def __init__(self):
        self.by_earliest = []
        self.by_latest = []
        self.waiting = {}
        self.sequence = count()

    def __len__(self):
        return len(self.waiting)

    def push(self, ticket):
        """Add a ticket; equal deadlines are first in, first out."""
        number = next(self.sequence)
        self.waiting[ticket.ticket_id] = (number, ticket)
        heapq.heappush(self.by_earliest, (ticket.deadline, number, ticket))
        heapq.heappush(self.by_latest, (-ticket.deadline, -number, ticket))

    def first(self):
        """Return the ticket with the earliest deadline, or None."""
        self._drop_stale(self.by_earliest, 1)
        return self.by_earliest[0][2] if self.by_earliest else None

    def last(self):
        """Return the ticket with the latest deadline, or None."""
        self._drop_stale(self.by_latest, -1)
        return self.by_latest[0][2] if self.by_latest else None

    def remove(self, ticket):
        """Remove a ticket; return whether it was waiting."""
        if self.waiting.pop(ticket.ticket_id, None) is None:
            return False
        bound = 2 * len(self.waiting) + MAX_STALE_ENTRIES
        if max(len(self.by_earliest), len(self.by_latest)) > bound:
            self._rebuild()
        return True

    def _drop_stale(self, heap, sign):
        while heap:
            _, number, ticket = heap[0]
            current = self.waiting.get(ticket.ticket_id)
            if current is not None and current[0] == sign * number:
                return
            heapq.heappop(heap)

    def _rebuild(self):
        self.by_earliest = []
        self.by_latest = []
        for number, ticket in self.waiting.values():
            self.by_earliest.append((ticket.deadline, number, ticket))
            self.by_latest.append((-ticket.deadline, -number, ticket))
        heapq.heapify(self.by_earliest)
        heapq.heapify(self.by_latest)
