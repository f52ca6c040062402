"""The daemon without one mechanism, to measure what the mechanism is worth.

    python -m bench.ablated_daemon NAME --settings FILE

It replaces classes before the daemon is assembled; the product has no such option.
"""

import math
import sys
from collections.abc import Callable
from dataclasses import dataclass

from oleanderroute import assembly, daemon, serving
from oleanderroute.decisions import admission, budget, choice, service_router
from oleanderroute.outcome import RequestClass
from oleanderroute.tasks.slotleases import LeaseAnswer, LeaseResult

# The aggregator's period, so that only the pooling differs.
OWN_JUDGEMENT_PERIOD_S = 0.25


class MissingPart(Exception):
    """The daemon has no part of a name; replacing it would change nothing.

    Parameters
    ----------
    owner : module or class
    name : str
    """

    def __init__(self, owner, name):
        super().__init__(f"{owner.__name__} has no {name}")


def replace(owner, name, part):
    """Put a part in the place of one that exists."""
    if not hasattr(owner, name):
        raise MissingPart(owner, name)
    setattr(owner, name, part)


def without_pooled_detection():
    """Let each host judge targets by its own outcomes alone."""

    class OwnRouter(service_router.ServiceRouter):
        """Never takes over the verdicts of an aggregator."""

        def apply_verdicts(self, version, verdicts, now):
            """Drop the verdicts."""

    replace(service_router, "VERDICT_LIFETIME_S", -math.inf)
    replace(service_router, "LOCAL_PERIOD_S", OWN_JUDGEMENT_PERIOD_S)
    replace(serving, "ServiceRouter", OwnRouter)


def without_quick_reservation():
    """Choose targets of long requests without leases and without their bounds."""

    class NoLeases(assembly.SlotClient):
        """Leaves every long request to the entry's own choice."""

        async def acquire(self, service, lease_id, excluded):
            """Answer as if there were no coordinator."""
            return LeaseAnswer(LeaseResult.NO_COORDINATOR)

    def has_long_slot(view):
        return True

    def choose_long(table, excluded, long_limit, rng, now, is_local):
        return choice.choose_long(table, excluded, math.inf, rng, now, is_local)

    replace(choice.TargetView, "has_long_slot", has_long_slot)
    replace(service_router, "choose_long", choose_long)
    replace(assembly, "SlotClient", NoLeases)


def without_deadline_queue():
    """Queue in the order of arrival, and refuse only at the deadline itself."""

    class ArrivalQueue:
        """Tickets of one class, first come first."""

        def __init__(self):
            self.waiting = {}

        def __len__(self):
            return len(self.waiting)

        def push(self, ticket):
            """Add a ticket."""
            self.waiting[ticket.ticket_id] = ticket

        def first(self):
            """Return the oldest ticket, or None."""
            return next(iter(self.waiting.values()), None)

        def last(self):
            """Return the newest ticket, or None."""
            return next(reversed(self.waiting.values()), None)

        def remove(self, ticket):
            """Take a ticket out; return whether it was waiting."""
            return self.waiting.pop(ticket.ticket_id, None) is not None

    class PatientAdmission(admission.Admission):
        """Does not work out whether a request can finish in time."""

        def _misses_deadline(self, ticket, now):
            return now > ticket.deadline

        def _misses_deadline_in_queue(self, ticket, now):
            return now > ticket.deadline

        def expire(self, now):
            """Take all waiting requests out whose deadline has passed."""
            expired = self.missed_deadline
            self.missed_deadline = []
            for request_class in RequestClass:
                queue = self.queues[request_class]
                for ticket in list(queue.waiting.values()):
                    if now > ticket.deadline:
                        queue.remove(ticket)
                        expired.append(ticket)
            return expired

    replace(admission, "DeadlineQueue", ArrivalQueue)
    replace(serving, "Admission", PatientAdmission)


def without_retry_budget():
    """Allow every retry up to the number of attempts of one request."""

    class NoBudget(budget.RetryBudget):
        """Allows all retries."""

        def spend(self, now, was_shed=False):
            """Allow the retry."""
            return budget.RetryDecision(True, budget.RetryReason.WITHIN_BUDGET)

    replace(serving, "RetryBudget", NoBudget)


@dataclass(frozen=True, slots=True)
class Ablation:
    """A mechanism that can be left out, and the measures that it serves."""

    apply: Callable
    measures: tuple


ABLATIONS = {
    "pooled-detection": Ablation(without_pooled_detection, ("detection",)),
    "quick-reservation": Ablation(without_quick_reservation, ("uploads",)),
    "deadline-queue": Ablation(without_deadline_queue, ("crest",)),
    "retry-budget": Ablation(without_retry_budget, ("crest",)),
}


def main():
    """Apply the ablation named first and run the daemon."""
    name = sys.argv.pop(1)
    ABLATIONS[name].apply()
    daemon.main()


if __name__ == "__main__":
    main()
