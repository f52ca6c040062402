"""Counts the sends of other hosts although some of their findings are lost.

Each process numbers its first sends and its resends to a service, and the finding that
announces a send carries its number. A receiver that misses some of them counts them
with the next one that arrives.
"""

# Sends that one number may add: more than a process begins in the window of the limit.
MAX_CATCH_UP = 5_000


class Process:
    """Sends of one process of another host, as far as they were announced.

    Parameters
    ----------
    incarnation : int
    is_complete : bool
        Whether its sends were followed from its start, so that a number that is seen
        for the first time also counts the numbers below it.
    """

    def __init__(self, incarnation, is_complete):
        self.incarnation = incarnation
        self.is_complete = is_complete
        self.numbers = {}

    def advance(self, kind, number):
        """Return how many sends of a kind are new with this number."""
        known = self.numbers.get(kind)
        if known is None:
            known = 0 if self.is_complete else number - 1
        self.numbers[kind] = max(known, number)
        return min(MAX_CATCH_UP, max(0, number - known))


class RemoteSendCounts:
    """Derives the sends of other hosts from the numbers that they announce.

    Parameters
    ----------
    starts_with_one : bool
        Whether the number 1 of any kind shows that a process has just started.

    Attributes
    ----------
    missed : int
        Sends since the start that were counted only by a later number.
    """

    def __init__(self, starts_with_one=True):
        self.starts_with_one = starts_with_one
        self.processes = {}
        # Findings of a process that was replaced may still be on their way.
        self.replaced = {}
        self.missed = 0

    def advance(self, host_id, incarnation, kind, number):
        """Return how many sends are new with an announced number.

        Parameters
        ----------
        host_id : HostId
        incarnation : int
            Identifies the process; it differs from the host's previous one.
        kind : hashable
            Sends of different kinds are numbered separately.
        number : int
        """
        if self.replaced.get(host_id) == incarnation:
            return 0
        process = self.processes.get(host_id)
        if process is None or process.incarnation != incarnation:
            is_complete = process is not None or (number == 1 and self.starts_with_one)
            if process is not None:
                self.replaced[host_id] = process.incarnation
            process = self.processes[host_id] = Process(incarnation, is_complete)
        amount = process.advance(kind, number)
        self.missed += max(0, amount - 1)
        return amount

    def forget(self, kind):
        """Forget the numbers of a kind.

        Numbers that are seen for the first time then count one send each.
        """
        for process in self.processes.values():
            if process.numbers.pop(kind, None) is not None:
                process.is_complete = False
