"""Routes of the local fleet: lookups, orders and uploads, as both operators have."""


def route(route_id, method, path, service, **changes):
    """Return a route document with defaults for quick idempotent requests."""
    document = {
        "id": route_id,
        "method": method,
        "path": path,
        "service": service,
        "class": "quick",
        "repeatability": "idempotent",
        "deadline_ms": 5000,
        "first_byte_ms": 1000,
        "between_bytes_ms": 1000,
        "max_body_bytes": 1_000_000,
    }
    document.update(changes)
    return document


LOOKUP = route("lookup", "GET", "/stock/*", "pedidos")
ORDER = route(
    "order",
    "POST",
    "/orders",
    "pedidos",
    repeatability="at_most_once",
    first_byte_ms=3000,
)
UPLOAD = route(
    "upload",
    "PUT",
    "/artwork/*",
    "disenos",
    **{"class": "long"},
    deadline_ms=120_000,
    first_byte_ms=60_000,
    between_bytes_ms=30_000,
    max_body_bytes=268_435_456,
)
SHARED_UPLOAD = {**UPLOAD, "id": "shared-upload", "service": "pedidos"}
EXAMPLE_ROUTES = [LOOKUP, ORDER, UPLOAD]
