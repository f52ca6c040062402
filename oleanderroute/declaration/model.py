"""The declaration as immutable values, as every other module sees it."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import FailureDomain, Region, RouteId, ServiceName, TargetId, Workspace
from ..outcome import RequestClass


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclass(frozen=True, slots=True)
class Target:
    """A back-end process that serves one service.

    Attributes
    ----------
    address : str
        IP number.
    """

    target_id: TargetId
    address: str
    port: int
    failure_domain: FailureDomain

    @property
    def incarnation(self):
        """What tells this run of the target from others under the same id."""
        return (self.address, self.port)


@dataclass(frozen=True, slots=True)
class Objective:
    """Service-level objective of a service.

    Attributes
    ----------
    success_share : float
        Share of requests answered whole within ``latency_ms``, between 0 and 1.
    window_days : int
        Length of the window over which the error budget is counted.
    """

    success_share: float
    latency_ms: int
    window_days: int = 30


@dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that can serve the same requests.

    Attributes
    ----------
    slots_per_target : int
        Requests that one target runs at once.
    connections_per_target : int
        Connections that one target accepts from the whole fleet.
    floor_slots : int
        Healthy slots that ejection must leave in place.
    long_share : float
        Share of the service's slots that long requests may hold together.
    ramp_s : float
        Seconds over which a cold or returning target gets its full share.
    target_label : str or None
        Label of the platform's host list that names the targets, if they are not
        listed here.
    depends_on : tuple of ServiceName
    fallback : ServiceName or None
        Service that takes the traffic while this one is below its floor.
    """

    name: ServiceName
    region: Region
    targets: tuple[Target, ...]
    slots_per_target: int
    connections_per_target: int
    floor_slots: int
    long_share: float
    objective: Objective
    target_label: str | None = None
    depends_on: tuple[ServiceName, ...] = ()
    fallback: ServiceName | None = None
    ramp_s: float = 10.0


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that sends matching requests to a service.

    The order of routes has no meaning. Of the routes that match a request, an exact
    path comes before a prefix, a longer prefix before a shorter one, and a workspace
    group before ``"*"``; the checks leave no two routes of equal rank.

    Attributes
    ----------
    path : str
        Exact path, or a prefix when it ends with ``*``.
    workspaces : str
        ``"*"`` for any, or a workspace group of the declaration.
    deadline_ms : int
        Upper bound of the whole request.
    first_byte_ms, between_bytes_ms : int
        Time limits of a target's answer.
    max_body_bytes : int
    """

    route_id: RouteId
    method: str
    path: str
    service: ServiceName
    request_class: RequestClass
    repeatability: Repeatability
    deadline_ms: int
    first_byte_ms: int
    between_bytes_ms: int
    max_body_bytes: int
    workspaces: str = "*"


@dataclass(frozen=True, slots=True)
class Declaration:
    """Everything that the operators declared, in one revision.

    Attributes
    ----------
    workspace_groups : dict
        Group name to the set of workspaces in it.
    failure_domains : dict
        Failure domain to its region.
    """

    services: dict[ServiceName, Service]
    routes: tuple[Route, ...]
    failure_domains: dict[FailureDomain, Region]
    workspace_groups: dict[str, frozenset[Workspace]] = field(default_factory=dict)
