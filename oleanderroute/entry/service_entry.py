"""Everything that one host keeps for one service."""

from dataclasses import dataclass

from ..decisions.budget import RetryBudget
from ..decisions.service_router import ServiceRouter
from ..declaration.model import Service
from .gate import Gate


@dataclass(slots=True)
class ServiceEntry:
    """The decisions of one service on this host, shared by its requests."""

    service: Service
    router: ServiceRouter
    gate: Gate
    budget: RetryBudget
