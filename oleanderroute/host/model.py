"""Data classes of the configuration, the targets and the other hosts."""

from dataclasses import dataclass, field
from enum import Enum

from ..decisions.store_history import NO_REVISION, StoreRevision
from ..ids import (
    FailureDomain,
    HostId,
    Region,
    RouteId,
    ServiceName,
    TargetId,
    Workspace,
)

# Priority of a route that declares none; 0 is the most urgent.
DEFAULT_PRIORITY = 1
# Names are sent to targets in a header, and to hosts in datagrams of up to 24 of them.
MAX_WORKSPACE_NAME_BYTES = 253


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
    priority : int
        0 is the most urgent.
    is_key_exempt : bool
        Whether requests need no API key although the configuration has workspaces.
    """

    route_id: RouteId
    authority: str
    prefix: str
    repeatability: Repeatability
    timeout_s: float
    objective_s: float
    destinations: tuple[Destination, ...]
    max_targets: int
    priority: int = DEFAULT_PRIORITY
    is_key_exempt: bool = False

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
class WorkspacePolicy:
    """Settings of a workspace in the configuration.

    Attributes
    ----------
    rate_per_s : float
        Requests per second of all hosts together; 0 means no limit.
    burst : float
        Requests that may exceed the rate at once.
    priority : int or None
        Overrides the priority of the route; 0 is the most urgent.
    """

    name: Workspace
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Size and time limits for the requests of callers."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    workspaces : dict
        Without any, requests need no API key.
    workspace_by_key : dict
        Names of workspaces by API key.
    """

    version: int
    routes: tuple[HostRoute, ...]
    services: dict[ServiceName, ServicePolicy]
    bounds: CallerBounds
    workspaces: dict[Workspace, WorkspacePolicy] = field(default_factory=dict)
    # Left out of texts, as keys must not get into logs.
    workspace_by_key: dict[bytes, Workspace] = field(default_factory=dict, repr=False)


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
    report_number : int
        Counts the reports of this incarnation; 0 if it does not count them.
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
    report_number: int = 0

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
    announces_workspaces : bool
        Whether it announces the requests of workspaces that it sends. Hosts of an
        earlier version do not.
    """

    host_id: HostId
    address: str
    control_port: int
    gossip_port: int
    failure_domain: FailureDomain
    link_mbps: float = 0.0
    announces_workspaces: bool = False


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
    memory_limit_bytes : int
        Memory that the process may use; 0 if it is not known.
    descriptor_limit : int
        File descriptors that the process may open; 0 if it is not known.
    rate_limit_window_s : float
        Length of the windows in which the rate limits of workspaces must hold.
    store_writes_per_s : float
        Writes per second that the store takes from all hosts together.
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
    memory_limit_bytes: int = 0
    descriptor_limit: int = 0
    rate_limit_window_s: float = 5.0
    store_writes_per_s: float = 400.0


@dataclass(slots=True)
class StoreItem:
    """A key of the store after its last write or removal.

    Attributes
    ----------
    value : bytes or None
        None for a key that was removed.
    """

    key: str
    revision: StoreRevision
    value: bytes | None


@dataclass(slots=True)
class ItemPage:
    """Items and the store's revision when they were read.

    Attributes
    ----------
    prefix : str
        Of the keys that were read.
    """

    items: list[StoreItem] = field(default_factory=list)
    revision: StoreRevision = NO_REVISION
    prefix: str = ""
