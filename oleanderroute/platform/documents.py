"""Decoders of the configuration, target and host documents in the store."""

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
# Prefix of the keys under which the hosts of this fleet register.
HOST_PREFIX = "oleanderroute/hosts/"

# "upload" marks requests with large bodies, which must not run twice either.
REPEATABILITY_BY_KIND = {
    "safe": Repeatability.IDEMPOTENT,
    "unsafe": Repeatability.ONCE,
    "upload": Repeatability.ONCE,
}
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
DEFAULT_CONNECTION_LIMIT = 64


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


def decode_configuration(value):
    """Decode the operators' configuration.

    Raises
    ------
    DocumentError
    """
    document = parse_object(value, "$")
    version = required_field(document, "version", str, "$")
    try:
        number = int(version, 16)
    except ValueError as error:
        raise DocumentError("$.version", "not hexadecimal") from error
    routes = []
    services = {}
    bounds = None
    for index, resource in enumerate(required_field(document, "resources", list, "$")):
        path = f"$.resources[{index}]"
        if not isinstance(resource, dict):
            raise DocumentError(path, "not a JSON object")
        kind = resource.get("resourceType")
        spec = required_field(resource, "spec", dict, path)
        if kind == "limits":
            bounds = decode_caller_bounds(spec, path)
            continue
        if kind not in {"routes", "services"}:
            continue
        name = required_field(
            required_field(resource, "metadata", dict, path), "name", str, path
        )
        if kind == "routes":
            routes.append(decode_route(name, spec, path))
        else:
            services[ServiceName(name)] = decode_service(name, spec, path)
    if bounds is None:
        raise DocumentError("$.resources", "no resource of type limits")
    return Configuration(number, tuple(routes), services, bounds)


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


def decode_route(name, spec, path):
    """Decode a route."""
    kind = required_field(spec, "kind", str, path)
    if kind not in REPEATABILITY_BY_KIND:
        raise DocumentError(f"{path}.kind", f"unknown kind {kind!r}")
    timeout_s = positive_number(spec, "timeoutMs", path) / 1000
    objective_ms = optional_positive_number(
        spec, "targetLatencyMs", timeout_s * 1000, path
    )
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
    info = required_field(document, "info", dict, key)
    status = required_field(document, "status", dict, key)
    state = required_field(status, "state", str, key)
    if state not in IS_LEAVING_BY_STATE:
        raise DocumentError(f"{key}.status.state", f"unknown state {state!r}")
    address, port = parse_address(required_field(document, "address", str, key), key)
    slots = required_field(info, "slots", int, key)
    if slots <= 0:
        raise DocumentError(f"{key}.info.slots", "not above zero")
    cold_ms = status.get("coldRemainingMs", 0)
    if isinstance(cold_ms, bool) or not isinstance(cold_ms, (int, float)):
        raise DocumentError(f"{key}.status.coldRemainingMs", "not a number")
    born = document.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise DocumentError(f"{key}.born", "not an integer")
    service = required_field(info, "service", str, key)
    if not service:
        raise DocumentError(f"{key}.info.service", "empty")
    return TargetEntry(
        target_id=TargetId(key.removeprefix(TARGET_PREFIX)),
        service=ServiceName(service),
        address=address,
        port=port,
        failure_domain=FailureDomain(required_field(info, "zone", str, key)),
        slots=slots,
        is_leaving=IS_LEAVING_BY_STATE[state],
        cold_s=max(0.0, cold_ms / 1000),
        started_ms=born,
    )


def parse_address(text, path):
    """Split ``address:port`` into the IP address and the port number."""
    address, colon, port = text.rpartition(":")
    if not colon or not address or not port.isdecimal() or not 0 < int(port) < 65536:
        raise DocumentError(path, f"not an address with a port: {text!r}")
    return address, int(port)


def decode_host(key, value):
    """Decode the registration of a host of the fleet.

    Raises
    ------
    DocumentError
    """
    document = parse_object(value, key)
    return PeerHost(
        host_id=HostId(key.removeprefix(HOST_PREFIX)),
        address=required_field(document, "address", str, key),
        control_port=required_field(document, "control_port", int, key),
        gossip_port=required_field(document, "gossip_port", int, key),
        failure_domain=FailureDomain(
            required_field(document, "failure_domain", str, key)
        ),
        # Hosts of an older version do not write it.
        link_mbps=float(optional_positive_number(document, "link_mbps", 0.0, key)),
    )


def encode_host(settings):
    """Return the key and the value of this host's registration."""
    document = {
        "address": settings.address,
        "control_port": settings.control_port,
        "gossip_port": settings.gossip_port,
        "failure_domain": settings.failure_domain,
    }
    if settings.link_mbps > 0.0:
        document["link_mbps"] = settings.link_mbps
    return HOST_PREFIX + settings.host_id, orjson.dumps(document)
