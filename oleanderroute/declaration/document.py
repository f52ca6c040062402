"""Conversion between the model and the JSON document of a declaration.

The canonical document has its names sorted, its routes sorted by id, and each
default written out, so that equal declarations have equal text.
"""

import orjson

from ..outcome import RequestClass
from .model import Declaration, Objective, Repeatability, Route, Service, Target

CLASS_NAMES = {RequestClass.QUICK: "quick", RequestClass.LONG: "long"}
CLASSES_BY_NAME = {name: value for value, name in CLASS_NAMES.items()}
DEFAULT_LONG_SHARE = 0.5
DEFAULT_RAMP_S = 10.0
DEFAULT_WINDOW_DAYS = 30


def declaration_from_document(document):
    """Build the model from a document whose shape is valid."""
    services = {}
    for name, value in sorted(document["services"].items()):
        targets = [target_from_document(target) for target in value.get("targets", ())]
        services[name] = service_from_document(name, value, targets)
    routes = [route_from_document(value) for value in document["routes"]]
    groups = {}
    for name, workspaces in sorted(document.get("workspace_groups", {}).items()):
        groups[name] = frozenset(workspaces)
    return Declaration(
        services=services,
        routes=tuple(sorted(routes, key=lambda route: route.route_id)),
        failure_domains=dict(sorted(document["failure_domains"].items())),
        workspace_groups=groups,
    )


def service_from_document(name, value, targets):
    """Build a service with the targets given."""
    objective = value["objective"]
    return Service(
        name=name,
        region=value["region"],
        targets=tuple(sorted(targets, key=lambda target: target.target_id)),
        slots_per_target=value["slots_per_target"],
        connections_per_target=value["connections_per_target"],
        floor_slots=value["floor_slots"],
        long_share=float(value.get("long_share", DEFAULT_LONG_SHARE)),
        objective=Objective(
            success_share=float(objective["success_share"]),
            latency_ms=objective["latency_ms"],
            window_days=objective.get("window_days", DEFAULT_WINDOW_DAYS),
        ),
        target_label=value.get("target_label"),
        depends_on=tuple(sorted(value.get("depends_on", ()))),
        fallback=value.get("fallback"),
        ramp_s=float(value.get("ramp_s", DEFAULT_RAMP_S)),
    )


def target_from_document(value):
    """Build a target."""
    return Target(
        target_id=value["id"],
        address=value["address"],
        port=value["port"],
        failure_domain=value["failure_domain"],
    )


def route_from_document(value):
    """Build a route."""
    return Route(
        route_id=value["id"],
        method=value["method"],
        path=value["path"],
        service=value["service"],
        request_class=CLASSES_BY_NAME[value["class"]],
        repeatability=Repeatability(value["repeatability"]),
        deadline_ms=value["deadline_ms"],
        first_byte_ms=value["first_byte_ms"],
        between_bytes_ms=value["between_bytes_ms"],
        max_body_bytes=value["max_body_bytes"],
        workspaces=value.get("workspaces", "*"),
    )


def declaration_to_document(declaration):
    """Return the canonical document of ``declaration``."""
    services = {}
    for name, service in sorted(declaration.services.items()):
        services[name] = service_to_document(service)
        if service.targets:
            services[name]["targets"] = targets_to_document(service)
    groups = {}
    for name, workspaces in sorted(declaration.workspace_groups.items()):
        groups[name] = sorted(workspaces)
    return {
        "failure_domains": dict(sorted(declaration.failure_domains.items())),
        "services": services,
        "routes": [route_to_document(route) for route in sorted_routes(declaration)],
        "workspace_groups": groups,
    }


def sorted_routes(declaration):
    """Return the routes in order of their ids."""
    return sorted(declaration.routes, key=lambda route: route.route_id)


def service_to_document(service):
    """Return the document of a service without its targets."""
    document = {
        "region": service.region,
        "slots_per_target": service.slots_per_target,
        "connections_per_target": service.connections_per_target,
        "floor_slots": service.floor_slots,
        "long_share": service.long_share,
        "objective": {
            "success_share": service.objective.success_share,
            "latency_ms": service.objective.latency_ms,
            "window_days": service.objective.window_days,
        },
        "depends_on": sorted(service.depends_on),
        "ramp_s": service.ramp_s,
    }
    if service.target_label is not None:
        document["target_label"] = service.target_label
    if service.fallback is not None:
        document["fallback"] = service.fallback
    return document


def targets_to_document(service):
    """Return the documents of a service's targets, sorted by id."""
    targets = sorted(service.targets, key=lambda target: target.target_id)
    return [target_to_document(target) for target in targets]


def target_to_document(target):
    """Return the document of a target."""
    return {
        "id": target.target_id,
        "address": target.address,
        "port": target.port,
        "failure_domain": target.failure_domain,
    }


def route_to_document(route):
    """Return the document of a route."""
    return {
        "id": route.route_id,
        "method": route.method,
        "path": route.path,
        "workspaces": route.workspaces,
        "service": route.service,
        "class": CLASS_NAMES[route.request_class],
        "repeatability": route.repeatability.value,
        "deadline_ms": route.deadline_ms,
        "first_byte_ms": route.first_byte_ms,
        "between_bytes_ms": route.between_bytes_ms,
        "max_body_bytes": route.max_body_bytes,
    }


def encode_canonical(document):
    """Return ``document`` as compact JSON bytes with sorted keys."""
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def dump(declaration):
    """Return the canonical JSON text of a declaration, indented by two."""
    document = declaration_to_document(declaration)
    option = orjson.OPT_SORT_KEYS | orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    return orjson.dumps(document, option=option).decode()
