"""Decodes the configuration and the targets' entries that lie in the store."""

import orjson

from ..errors import DocumentError
from ..host.model import (
    CallerBounds,
    Configuration,
    Destination,
    HostRoute,
    PeerHost,
    Repeatability,
    ServicePolicy,
    TargetEntry,
)
from ..ids import FailureDomain, HostId, RouteId, ServiceName, TargetId

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"
# The prefix under which the hosts of this fleet announce themselves.
HOST_PREFIX = "oleanderroute/hosts/"

# "upload" marks large bodies; such a request must not run twice either.
REPEATABILITY = {
    "safe": Repeatability.IDEMPOTENT,
    "unsafe": Repeatability.ONCE,
    "upload": Repeatability.ONCE,
}
LEAVING_OF_STATE = {"ready": False, "draining": True}
DEFAULT_CONNECTION_LIMIT = 64


def load_object(value, path):
    """Return the JSON object in ``value``."""
    try:
        document = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise DocumentError(path, f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError(path, "not an object")
    return document


def take(document, name, kinds, path):
    """Return a field, checked for its type; booleans are no numbers."""
    value = document.get(name)
    is_stray_bool = isinstance(value, bool) and kinds is not bool
    if is_stray_bool or not isinstance(value, kinds):
        raise DocumentError(f"{path}.{name}", "missing or of a wrong type")
    return value


def positive(document, name, path):
    """Return a number above zero."""
    value = take(document, name, (int, float), path)
    if value <= 0:
        raise DocumentError(f"{path}.{name}", "not above zero")
    return value


def optional_positive(document, name, default, path):
    """Return a number above zero, or ``default`` for a field that is not there."""
    if document.get(name) is None:
        return default
    return positive(document, name, path)


def optional_count(document, name, default, path):
    """Return a whole number above zero, or ``default``."""
    value = optional_positive(document, name, default, path)
    if value != int(value):
        raise DocumentError(f"{path}.{name}", "not a whole number")
    return int(value)


def read_configuration(value):
    """Decode the operators' configuration.

    Raises
    ------
    DocumentError
    """
    document = load_object(value, "$")
    version = take(document, "version", str, "$")
    try:
        number = int(version, 16)
    except ValueError as error:
        raise DocumentError("$.version", "not hexadecimal") from error
    routes = []
    services = {}
    bounds = None
    for index, resource in enumerate(take(document, "resources", list, "$")):
        path = f"$.resources[{index}]"
        if not isinstance(resource, dict):
            raise DocumentError(path, "not an object")
        kind = resource.get("resourceType")
        spec = take(resource, "spec", dict, path)
        if kind == "limits":
            bounds = read_bounds(spec, path)
            continue
        if kind not in {"routes", "services"}:
            continue
        name = take(take(resource, "metadata", dict, path), "name", str, path)
        if kind == "routes":
            routes.append(read_route(name, spec, path))
        else:
            services[ServiceName(name)] = read_service(name, spec, path)
    if bounds is None:
        raise DocumentError("$.resources", "no limits")
    return Configuration(number, tuple(routes), services, bounds)


def read_bounds(spec, path):
    """Decode the limits on callers."""
    return CallerBounds(
        header_bytes=int(positive(spec, "maxHeaderBytes", path)),
        body_bytes=int(positive(spec, "maxBodyBytes", path)),
        header_s=positive(spec, "headerTimeoutMs", path) / 1000,
        idle_s=positive(spec, "idleTimeoutMs", path) / 1000,
    )


def read_service(name, spec, path):
    """Decode a service."""
    limit = optional_positive(spec, "maxConnections", DEFAULT_CONNECTION_LIMIT, path)
    return ServicePolicy(ServiceName(name), int(limit))


def read_route(name, spec, path):
    """Decode a route."""
    kind = take(spec, "kind", str, path)
    if kind not in REPEATABILITY:
        raise DocumentError(f"{path}.kind", f"unknown kind {kind!r}")
    timeout_s = positive(spec, "timeoutMs", path) / 1000
    objective_ms = optional_positive(spec, "targetLatencyMs", timeout_s * 1000, path)
    return HostRoute(
        route_id=RouteId(name),
        authority=take(spec, "host", str, path).lower(),
        prefix=take(spec, "prefix", str, path),
        repeatability=REPEATABILITY[kind],
        timeout_s=timeout_s,
        objective_s=objective_ms / 1000,
        destinations=read_destinations(spec, path),
        # The wire's "attempts" are the targets that one request may be sent to.
        max_targets=optional_count(spec, "maxAttempts", 1, path),
    )


def read_destinations(spec, path):
    """Decode the service of a route, or its weighted services."""
    weighted = spec.get("weightedServices")
    if not weighted:
        return (Destination(ServiceName(take(spec, "service", str, path)), 1.0),)
    found = []
    if not isinstance(weighted, list):
        raise DocumentError(f"{path}.weightedServices", "not a list")
    for part in weighted:
        if not isinstance(part, dict):
            raise DocumentError(f"{path}.weightedServices", "not objects")
        service = ServiceName(take(part, "service", str, path))
        weight = take(part, "weight", (int, float), path)
        if weight > 0:
            found.append(Destination(service, float(weight)))
    if not found:
        raise DocumentError(f"{path}.weightedServices", "no weight above zero")
    return tuple(found)


def read_target(key, value):
    """Decode the entry of a target.

    Raises
    ------
    DocumentError
        If another writer made the entry or a field is unusable.
    """
    document = load_object(value, key)
    info = take(document, "info", dict, key)
    status = take(document, "status", dict, key)
    state = take(status, "state", str, key)
    if state not in LEAVING_OF_STATE:
        raise DocumentError(f"{key}.status.state", f"unknown state {state!r}")
    address, port = read_address(take(document, "address", str, key), key)
    slots = take(info, "slots", int, key)
    if slots <= 0:
        raise DocumentError(f"{key}.info.slots", "not above zero")
    cold_ms = status.get("coldRemainingMs", 0)
    if isinstance(cold_ms, bool) or not isinstance(cold_ms, (int, float)):
        raise DocumentError(f"{key}.status.coldRemainingMs", "not a number")
    born = document.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise DocumentError(f"{key}.born", "not a whole number")
    service = take(info, "service", str, key)
    if not service:
        raise DocumentError(f"{key}.info.service", "empty")
    return TargetEntry(
        target_id=TargetId(key.removeprefix(TARGET_PREFIX)),
        service=ServiceName(service),
        address=address,
        port=port,
        failure_domain=FailureDomain(take(info, "zone", str, key)),
        slots=slots,
        is_leaving=LEAVING_OF_STATE[state],
        cold_s=max(0.0, cold_ms / 1000),
        started_ms=born,
    )


def read_address(text, path):
    """Return the IP number and the port in ``text``."""
    address, colon, port = text.rpartition(":")
    if not colon or not address or not port.isdecimal() or not 0 < int(port) < 65536:
        raise DocumentError(path, f"not an address with a port: {text!r}")
    return address, int(port)


def read_host(key, value):
    """Decode what another host of the fleet announced.

    Raises
    ------
    DocumentError
    """
    document = load_object(value, key)
    return PeerHost(
        host_id=HostId(key.removeprefix(HOST_PREFIX)),
        address=take(document, "address", str, key),
        control_port=take(document, "control_port", int, key),
        gossip_port=take(document, "gossip_port", int, key),
        failure_domain=FailureDomain(take(document, "failure_domain", str, key)),
    )


def write_host(settings):
    """Return the key and the value by which this host announces itself."""
    document = {
        "address": settings.address,
        "control_port": settings.control_port,
        "gossip_port": settings.gossip_port,
        "failure_domain": settings.failure_domain,
    }
    return HOST_PREFIX + settings.host_id, orjson.dumps(document)
