"""Data classes of the configuration, the targets and the other hosts."""

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
        Maximum time until a caller gets an answer.
    objective_s : float
        Latency objective of the route.
    max_targets : int
        Maximum number of targets to which one request may be sent.
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
    """Settings of a service in the configuration."""

    name: ServiceName
    connection_limit: int


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Size and time limits for the requests of callers."""

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
        Number of requests that it runs at once.
    is_leaving : bool
        Whether it has announced that it will stop.
    cold_s : float
        Seconds, from the time of the entry, during which it is slow after its start.
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
        """Value that identifies this run of the target among runs with its id."""
        return (self.address, self.port, self.started_ms)


@dataclass(frozen=True, slots=True)
class PeerHost:
    """Another host of the fleet.

    Attributes
    ----------
    control_port : int
        TCP port that answers requests for a copy of the store's items.
    gossip_port : int
        UDP port for gossip.
    link_mbps : float
        Bandwidth of its link in Mbit/s; 0 if it is not known.
    """

    host_id: HostId
    address: str
    control_port: int
    gossip_port: int
    failure_domain: FailureDomain
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings that the platform gives to the process of a host.

    Attributes
    ----------
    seeds : tuple of tuple of (str, int)
        Addresses of hosts that may have a copy of the store's items.
    retry_ratio, retry_allowance, retry_window_s : float
        Limit on the repeated sends of all hosts to a service in any window of this
        length: this share of its requests plus the allowance.
    stop_grace_s : float
        Time from the stop signal until the process is killed.
    floor_share : float
        Share of a service's targets that stays in use while its requests fail.
    link_mbps : float
        Bandwidth of the link of this host in Mbit/s; 0 if it is not known.
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
    link_mbps: float = 0.0
    floor_share: float = 0.7


@dataclass(slots=True)
class StoreItem:
    """A key of the store after its last write or removal.

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
    """Items and the store's revision when they were read."""

    items: list[StoreItem] = field(default_factory=list)
    revision: int = 0
