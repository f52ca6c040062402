"""State that one host keeps for one service."""

from dataclasses import dataclass

from ..decisions.budget import RetryBudget
from ..decisions.service_router import ServiceRouter
from ..decisions.verdict import TargetState
from ..declaration.model import Service
from .admission_queue import AdmissionQueue


@dataclass(slots=True)
class ServiceEntry:
    """Router, admission queue and retry budget of one service on this host."""

    service: Service
    router: ServiceRouter
    admission_queue: AdmissionQueue
    budget: RetryBudget

    def target(self, target_id):
        """Return a target of the service, or None if this host does not use it."""
        view = self.router.views.get(target_id)
        return None if view is None else view.target

    def unusable_targets(self, now):
        """Return the targets that must not get long requests, in this host's view.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        unusable = set()
        for target_id, view in self.router.views.items():
            is_out = view.weight <= 0.0 or view.state is TargetState.PROBATION
            if is_out or view.leaving or view.draining_until > now:
                unusable.add(target_id)
        return unusable
