"""What a host knows of its configuration, its targets and the other hosts."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import FailureDomain, HostId, Region, RouteId, ServiceName, TargetId


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service of a route and its share of the route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class HostRoute:
    """One route of the configuration.

    Attributes
    ----------
    authority : str
        Host name in lower case, without a port.
    prefix : str
        Begins and ends with a slash.
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Time within which an answer is worth most.
    max_targets : int
        Targets to which one request may be sent.
    """

    route_id: RouteId
    authority: str
    prefix: str
    repeatability: Repeatability
    timeout_s: float
    objective_s: float
    destinations: tuple[Destination, ...]
    max_targets: int

    @property
    def is_idempotent(self):
        """Whether a request may be sent again after any failure."""
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What the configuration says of a service."""

    name: ServiceName
    connection_limit: int


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[HostRoute, ...]
    services: dict[ServiceName, ServicePolicy]
    bounds: CallerBounds


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it registered itself.

    Attributes
    ----------
    slots : int
        Requests that it works on at once.
    is_leaving : bool
        Whether it announced that it will stop.
    cold_s : float
        Seconds, from the moment of the entry, in which it is still slow.
    started_ms : int
        Unix milliseconds of its start; another value is another incarnation.
    """

    target_id: TargetId
    service: ServiceName
    address: str
    port: int
    failure_domain: FailureDomain
    slots: int
    is_leaving: bool
    cold_s: float
    started_ms: int

    @property
    def incarnation(self):
        """What tells this run of the target from others under the same id."""
        return (self.address, self.port, self.started_ms)


@dataclass(frozen=True, slots=True)
class PeerHost:
    """Another host of the fleet.

    Attributes
    ----------
    control_port : int
        TCP port that answers requests for a copy of the store's items.
    gossip_port : int
        UDP port for observations.
    """

    host_id: HostId
    address: str
    control_port: int
    gossip_port: int
    failure_domain: FailureDomain


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What the platform tells a process about its place.

    Attributes
    ----------
    seeds : tuple of tuple of (str, int)
        Addresses of hosts that may have a copy of the store's items.
    retry_ratio, retry_allowance, retry_window_s : float
        Repeated sends of all hosts together may be this share of a service's
        requests plus the allowance in any such window.
    stop_grace_s : float
        Time from the stop signal to the end of the process by force.
    """

    host_id: HostId
    address: str
    failure_domain: FailureDomain
    region: Region
    caller_port: int
    readiness_port: int
    control_port: int
    gossip_port: int
    seeds: tuple[tuple[str, int], ...]
    store_address: str
    min_lease_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    stop_grace_s: float


@dataclass(slots=True)
class StoreItem:
    """A key of the store as it was last written or removed.

    Attributes
    ----------
    value : bytes or None
        None for a key that was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True)
class ItemPage:
    """Some items, and the store's revision when they were read."""

    items: list[StoreItem] = field(default_factory=list)
    revision: int = 0
