"""Decoders of the configuration, target and host documents in the store."""

import socket

import orjson

from ..decisions.kept_states import StateOrder
from ..decisions.spent_repeats import SpentRepeats
from ..errors import DocumentError
from ..host.model import (
    DEFAULT_PRIORITY,
    MAX_WORKSPACE_NAME_BYTES,
    CallerBounds,
    Configuration,
    Destination,
    HostRoute,
    PeerHost,
    Repeatability,
    ServicePolicy,
    TargetEntry,
    WorkspacePolicy,
)
from ..ids import FailureDomain, HostId, RouteId, ServiceName, TargetId, Workspace

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"
# All keys that the hosts of this fleet write.
FLEET_PREFIX = "oleanderroute/"
# Prefix of the keys under which they register.
HOST_PREFIX = FLEET_PREFIX + "hosts/"
# Prefix of the keys under which they record how many repeats the fleet has spent.
REPEATS_PREFIX = FLEET_PREFIX + "repeats/"
# More sends in a window than these are taken for an error of the record.
MAX_RECORDED_SENDS = 1_000_000

# "upload" marks requests with large bodies, which must not run twice either.
REPEATABILITY_BY_KIND = {
    "safe": Repeatability.IDEMPOTENT,
    "unsafe": Repeatability.ONCE,
    "upload": Repeatability.ONCE,
}
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
DEFAULT_CONNECTION_LIMIT = 64
# Entries of targets may come from any writer. Larger numbers than these don't fit the
# messages between hosts, or would bind a host for longer than a target lives.
MAX_SLOTS = 30_000
MAX_COLD_MS = 24 * 3600 * 1000
MAX_UNIX_MS = 2**63 - 1
MAX_PORT = 65_535
WORKSPACES = "tenants"
# Limits outside this range are taken for an error of the operator. A rate that is
# nearly zero would also overflow the time until the next token.
MIN_LIMIT = 0.001
MAX_LIMIT = 1_000_000_000
MAX_PRIORITY = 1_000_000
# Entries that are decoded in one step: about 0.5 ms for workspaces and 2 ms for routes
# on a whole core, while a host has down to 0.3 of one.
STEP_ENTRIES = 256


def parse_object(value, path):
    """Return the JSON object in ``value``."""
    try:
        document = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise DocumentError(path, f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError(path, "not a JSON object")
    return document


def required_field(document, name, kinds, path):
    """Return a field after a type check; a boolean does not count as a number."""
    value = document.get(name)
    is_unexpected_bool = isinstance(value, bool) and kinds is not bool
    if is_unexpected_bool or not isinstance(value, kinds):
        raise DocumentError(f"{path}.{name}", "missing or of the wrong type")
    return value


def positive_number(document, name, path):
    """Return a field that must be a number above zero."""
    value = required_field(document, name, (int, float), path)
    if value <= 0:
        raise DocumentError(f"{path}.{name}", "not above zero")
    return value


def optional_positive_number(document, name, default, path):
    """Return a number above zero, or ``default`` for a missing or null field."""
    if document.get(name) is None:
        return default
    return positive_number(document, name, path)


def optional_positive_integer(document, name, default, path):
    """Return an integer above zero, or ``default`` for a missing or null field."""
    value = optional_positive_number(document, name, default, path)
    if value != int(value):
        raise DocumentError(f"{path}.{name}", "not an integer")
    return int(value)


def bounded_number(value, kinds, least, most, path):
    """Return ``value`` after a check of its type and range."""
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise DocumentError(path, "missing or of the wrong type")
    if not least <= value <= most:
        raise DocumentError(path, f"not between {least} and {most}")
    return value


def decode_configuration(value):
    """Decode the operators' configuration.

    Raises
    ------
    DocumentError
    """
    steps = decode_in_steps(value)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def decode_in_steps(value):
    """Decode the operators' configuration in a generator that returns it.

    It yields at short intervals, so that requests can be served while a large
    configuration is decoded.

    Raises
    ------
    DocumentError
    """
    document = parse_object(value, "$")
    yield
    number = decode_version(document)
    resources = required_field(document, "resources", list, "$")
    has_workspaces = any(is_workspace(resource) for resource in resources)
    routes = []
    services = {}
    workspaces = WorkspaceTable()
    bounds = None
    for index, resource in enumerate(resources):
        if index % STEP_ENTRIES == 0:
            yield
        path = f"$.resources[{index}]"
        if not isinstance(resource, dict):
            raise DocumentError(path, "not a JSON object")
        kind = resource.get("resourceType")
        if not isinstance(kind, (str, type(None))):
            raise DocumentError(f"{path}.resourceType", "not a text")
        spec = required_field(resource, "spec", dict, path)
        if kind == "limits":
            bounds = decode_caller_bounds(spec, path)
            continue
        if kind not in {"routes", "services", WORKSPACES}:
            continue
        name = required_field(
            required_field(resource, "metadata", dict, path), "name", str, path
        )
        if kind == WORKSPACES:
            yield from workspaces.add(name, spec, path)
        elif kind == "routes":
            routes.append(decode_route(name, spec, path, has_workspaces))
        else:
            services[ServiceName(name)] = decode_service(name, spec, path)
    if bounds is None:
        raise DocumentError("$.resources", "no resource of type limits")
    return Configuration(
        number,
        tuple(routes),
        services,
        bounds,
        workspaces.policies,
        workspaces.names_by_key,
    )


def decode_version(document):
    """Return the version of a configuration's document."""
    version = required_field(document, "version", str, "$")
    try:
        return int(version, 16)
    except ValueError as error:
        raise DocumentError("$.version", "not hexadecimal") from error


def is_workspace(resource):
    """Tell whether a resource of the configuration is a workspace."""
    return isinstance(resource, dict) and resource.get("resourceType") == WORKSPACES


class WorkspaceTable:
    """The workspaces of a configuration and their API keys.

    Errors name the place of an entry and never its value, which may be a key.

    Attributes
    ----------
    policies : dict of Workspace to WorkspacePolicy
    names_by_key : dict of bytes to Workspace
    """

    def __init__(self):
        self.policies = {}
        self.names_by_key = {}

    def add(self, name, spec, path):
        """Add a workspace; a generator that yields after every `STEP_ENTRIES` keys.

        Raises
        ------
        DocumentError
            Also if another workspace has the same name or key.
        """
        check_workspace_name(name, path)
        if name in self.policies:
            raise DocumentError(f"{path}.name", "name of an earlier workspace")
        self.policies[name] = WorkspacePolicy(
            Workspace(name),
            optional_limit(spec, "ratePerS", path),
            optional_limit(spec, "burstSize", path),
            optional_priority(spec, None, path),
        )
        names_by_key = self.names_by_key
        for index, key in enumerate(required_field(spec, "apiKeys", list, path), 1):
            if index % STEP_ENTRIES == 0:
                yield
            if not is_key(key):
                raise DocumentError(
                    f"{path}.apiKeys[{index - 1}]", "not a text that a header can hold"
                )
            if names_by_key.setdefault(key.encode(), name) != name:
                raise DocumentError(
                    f"{path}.apiKeys[{index - 1}]", "key of an earlier workspace"
                )


def is_key(value):
    """Tell whether a value is a text that a caller can send as its API key."""
    return (
        isinstance(value, str)
        and value != ""
        and " " not in value
        and value.isprintable()
    )


def check_workspace_name(name, path):
    """Refuse a name that can't be sent to targets in a header."""
    if not name or name != name.strip() or not name.isprintable():
        raise DocumentError(f"{path}.name", "not a text that a header can hold")
    if len(name.encode()) > MAX_WORKSPACE_NAME_BYTES:
        raise DocumentError(f"{path}.name", "too long")


def optional_limit(spec, name, path):
    """Return a number that is not negative; 0.0 for a missing or null field."""
    if spec.get(name) is None:
        return 0.0
    value = required_field(spec, name, (int, float), path)
    if value != 0 and not MIN_LIMIT <= value <= MAX_LIMIT:
        raise DocumentError(
            f"{path}.{name}", f"neither 0 nor between {MIN_LIMIT} and {MAX_LIMIT}"
        )
    return float(value)


def optional_priority(spec, default, path):
    """Return a priority, or ``default`` for a missing or null field."""
    if spec.get("priority") is None:
        return default
    value = required_field(spec, "priority", (int, float), path)
    if not 0 <= value <= MAX_PRIORITY or value != int(value):
        raise DocumentError(
            f"{path}.priority", f"not an integer from 0 to {MAX_PRIORITY}"
        )
    return int(value)


def optional_flag(spec, name, path):
    """Return a boolean; false for a missing or null field."""
    if spec.get(name) is None:
        return False
    return required_field(spec, name, bool, path)


def decode_caller_bounds(spec, path):
    """Decode the limits on callers."""
    return CallerBounds(
        header_bytes=int(positive_number(spec, "maxHeaderBytes", path)),
        body_bytes=int(positive_number(spec, "maxBodyBytes", path)),
        header_s=positive_number(spec, "headerTimeoutMs", path) / 1000,
        idle_s=positive_number(spec, "idleTimeoutMs", path) / 1000,
    )


def decode_service(name, spec, path):
    """Decode a service."""
    limit = optional_positive_number(
        spec, "maxConnections", DEFAULT_CONNECTION_LIMIT, path
    )
    return ServicePolicy(ServiceName(name), int(limit))


def decode_route(name, spec, path, has_workspaces=False):
    """Decode a route.

    Parameters
    ----------
    has_workspaces : bool
        Whether the configuration has workspaces. Without any, a priority or a key
        exemption that can't be read counts as omitted: earlier versions ignored both
        fields, and a configuration that they accept must stay usable.
    """
    kind = required_field(spec, "kind", str, path)
    if kind not in REPEATABILITY_BY_KIND:
        raise DocumentError(f"{path}.kind", f"unknown kind {kind!r}")
    timeout_s = positive_number(spec, "timeoutMs", path) / 1000
    objective_ms = optional_positive_number(
        spec, "targetLatencyMs", timeout_s * 1000, path
    )
    priority = DEFAULT_PRIORITY
    is_key_exempt = False
    try:
        priority = optional_priority(spec, DEFAULT_PRIORITY, path)
        is_key_exempt = optional_flag(spec, "keyExempt", path)
    except DocumentError:
        if has_workspaces:
            raise
    return HostRoute(
        route_id=RouteId(name),
        authority=required_field(spec, "host", str, path).lower(),
        prefix=required_field(spec, "prefix", str, path),
        repeatability=REPEATABILITY_BY_KIND[kind],
        timeout_s=timeout_s,
        objective_s=objective_ms / 1000,
        destinations=decode_destinations(spec, path),
        # ``maxAttempts`` counts the targets that one request may be sent to.
        max_targets=optional_positive_integer(spec, "maxAttempts", 1, path),
        priority=priority,
        is_key_exempt=is_key_exempt,
    )


def decode_destinations(spec, path):
    """Decode the service of a route, or its weighted services."""
    weighted = spec.get("weightedServices")
    if not weighted:
        return (
            Destination(ServiceName(required_field(spec, "service", str, path)), 1.0),
        )
    destinations = []
    if not isinstance(weighted, list):
        raise DocumentError(f"{path}.weightedServices", "not a list")
    for part in weighted:
        if not isinstance(part, dict):
            raise DocumentError(f"{path}.weightedServices", "not a list of objects")
        service = ServiceName(required_field(part, "service", str, path))
        weight = required_field(part, "weight", (int, float), path)
        if weight > 0:
            destinations.append(Destination(service, float(weight)))
    if not destinations:
        raise DocumentError(f"{path}.weightedServices", "no weight above zero")
    return tuple(destinations)


def decode_target(key, value):
    """Decode the entry of a target.

    Raises
    ------
    DocumentError
        If another program wrote the entry, or a field is missing or invalid.
    """
    document = parse_object(value, key)
    target_id = parse_target_id(key)
    info = required_field(document, "info", dict, key)
    status = required_field(document, "status", dict, key)
    state = required_field(status, "state", str, key)
    if state not in IS_LEAVING_BY_STATE:
        raise DocumentError(f"{key}.status.state", f"unknown state {state!r}")
    address, port = parse_address(required_field(document, "address", str, key), key)
    slots = bounded_number(info.get("slots"), int, 1, MAX_SLOTS, f"{key}.info.slots")
    # A negative time is over, as zero is.
    cold_ms = bounded_number(
        status.get("coldRemainingMs", 0),
        (int, float),
        float("-inf"),
        MAX_COLD_MS,
        f"{key}.status.coldRemainingMs",
    )
    born = bounded_number(document.get("born", 0), int, 0, MAX_UNIX_MS, f"{key}.born")
    report_number = status.get("seqNo")
    if isinstance(report_number, bool) or not isinstance(report_number, int):
        report_number = 0
    service = required_field(info, "service", str, key)
    if not service:
        raise DocumentError(f"{key}.info.service", "empty")
    return TargetEntry(
        target_id=target_id,
        service=ServiceName(service),
        address=address,
        port=port,
        failure_domain=FailureDomain(required_field(info, "zone", str, key)),
        slots=slots,
        is_leaving=IS_LEAVING_BY_STATE[state],
        cold_s=max(0.0, cold_ms / 1000),
        started_ms=born,
        report_number=report_number,
    )


def parse_target_id(key):
    """Return the id in the key of a target; it is sent to the target in a header."""
    target_id = key.removeprefix(TARGET_PREFIX)
    if not target_id or not target_id.isascii() or not target_id.isprintable():
        raise DocumentError(key, "not an id of printable ASCII characters")
    return TargetId(target_id)


def parse_address(text, path):
    """Split ``address:port`` into the IPv4 address and the port number."""
    address, colon, port = text.rpartition(":")
    if not colon or len(port) > len(str(MAX_PORT)) or not port.isascii():
        raise DocumentError(path, "not an address with a port")
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise DocumentError(path, "not an address with a port")
    check_address(address, path)
    return address, int(port)


def check_address(address, path):
    """Refuse what is not an IPv4 address; names are not looked up."""
    try:
        socket.inet_pton(socket.AF_INET, address)
    except (OSError, ValueError) as error:
        raise DocumentError(path, "not an IPv4 address") from error


def state_order(key, value):
    """Return the ``StateOrder`` of a configuration or a target's entry.

    Returns
    -------
    StateOrder or None
        None for other keys and for a value that can't be decoded.
    """
    try:
        if key == CONFIGURATION_KEY:
            version = decode_version(parse_object(value, "$"))
            return StateOrder((version,), is_final=True)
        if key.startswith(TARGET_PREFIX):
            entry = decode_target(key, value)
            rank = (entry.started_ms, entry.report_number)
            return StateOrder(rank, entry.is_leaving)
    except DocumentError:
        # Whoever uses the value logs the reason.
        return None
    return None


def decode_host(key, value):
    """Decode the registration of a host of the fleet.

    Raises
    ------
    DocumentError
    """
    document = parse_object(value, key)
    address = required_field(document, "address", str, key)
    check_address(address, f"{key}.address")
    ports = {}
    for name in ("control_port", "gossip_port"):
        ports[name] = bounded_number(
            document.get(name), int, 1, MAX_PORT, f"{key}.{name}"
        )
    return PeerHost(
        host_id=HostId(key.removeprefix(HOST_PREFIX)),
        address=address,
        failure_domain=FailureDomain(
            required_field(document, "failure_domain", str, key)
        ),
        # Hosts of an older version do not write it.
        link_mbps=float(optional_positive_number(document, "link_mbps", 0.0, key)),
        announces_workspaces=document.get("announces_workspaces") is True,
        **ports,
    )


def encode_host(settings):
    """Return the key and the value of this host's registration."""
    document = {
        "address": settings.address,
        "control_port": settings.control_port,
        "gossip_port": settings.gossip_port,
        "failure_domain": settings.failure_domain,
        "announces_workspaces": True,
    }
    if settings.link_mbps > 0.0:
        document["link_mbps"] = settings.link_mbps
    return HOST_PREFIX + settings.host_id, orjson.dumps(document)


def decode_repeats(key, value):
    """Decode the record of a host of how many repeats the fleet has spent.

    Returns
    -------
    dict of ServiceName to SpentRepeats

    Raises
    ------
    DocumentError
    """
    record = {}
    for service, sends in parse_object(value, key).items():
        path = f"{key}.{service}"
        if not isinstance(sends, dict):
            raise DocumentError(path, "not a JSON object")
        counts = []
        for name in ("first_sends", "repeats"):
            count = sends.get(name)
            counts.append(
                bounded_number(count, int, 0, MAX_RECORDED_SENDS, f"{path}.{name}")
            )
        record[ServiceName(service)] = SpentRepeats(*counts)
    return record


def encode_repeats(host_id, record):
    """Return the key and the value of a host's record of the fleet's repeats."""
    document = {}
    for service, spent in record.items():
        document[service] = {
            "first_sends": spent.first_sends,
            "repeats": spent.repeats,
        }
    return REPEATS_PREFIX + host_id, orjson.dumps(document)
