"""Bytes that a daemon holds per target, service, route, workspace and so on.

All figures are of ``tracemalloc``: what Python allocated, without the rest of the
process. The full-size run compares their sum with the resident memory.
"""

import random

import orjson

from oleanderroute.clock import ManualClock
from oleanderroute.decisions.claims import (
    ClaimLimits,
    ClaimTable,
    HolderView,
    RankedHost,
)
from oleanderroute.decisions.detection import DetectionPool
from oleanderroute.decisions.service_router import ServiceRouter
from oleanderroute.declaration.document import declaration_from_document
from oleanderroute.entry.route_table import RouteTable
from oleanderroute.outcome import Attempt, AttemptKind, RequestClass
from oleanderroute.platform.hostlist import host_list_from_document

from .slopes_documents import Size, declaration_document, host_list_document
from .slopes_fit import allocated_bytes, fit_sizes
from .slopes_serving import make_serving

OUTCOMES_PER_TARGET = 200
SPARSE_OUTCOMES = 6
CLAIM_LIFETIME_S = 600.0


def small(**fields):
    """Return a size with one of everything but what ``fields`` says."""
    values = {"hosts": 1, "targets": 1, "services": 1, "routes": 1, "workspaces": 1}
    return Size(**{**values, **fields})


def declared(size):
    """Return the declaration of a size, by way of its JSON text."""
    text = orjson.dumps(declaration_document(size))
    return declaration_from_document(orjson.loads(text))


def declaration_bytes(**fields):
    """Return the bytes of a declaration."""
    text = orjson.dumps(declaration_document(small(**fields)))
    return allocated_bytes(lambda: declaration_from_document(orjson.loads(text)))


def route_table_bytes(routes):
    """Return the bytes of a route table, without the routes themselves."""
    declaration = declared(small(routes=routes))
    return allocated_bytes(lambda: RouteTable(declaration))


def host_list_bytes(**fields):
    """Return the bytes of a host list."""
    text = orjson.dumps(host_list_document(small(**fields)))
    return allocated_bytes(lambda: host_list_from_document(orjson.loads(text)))


def service_of(targets):
    """Return a service with this many targets."""
    return declared(small(targets=targets)).services["service-0"]


def router_bytes(targets):
    """Return the bytes of a router before any request."""
    service = service_of(targets)
    clock = ManualClock()
    rng = random.Random(1)
    return allocated_bytes(
        lambda: ServiceRouter(service, "host-000", "r2-a", clock, rng)
    )


def used_pool(service):
    """Return a detection pool whose targets all have outcomes in their windows."""
    clock = ManualClock()
    rng = random.Random(1)
    pool = DetectionPool(service, clock, rng)
    for number in range(OUTCOMES_PER_TARGET):
        clock.advance(0.3)
        for target in service.targets:
            latency_s = rng.lognormvariate(-4, 0.5)
            attempt = Attempt(
                target.target_id, RequestClass.QUICK, AttemptKind.OK, latency_s
            )
            pool.observe("host-000", attempt, clock.now())
        if number % 4 == 0:
            pool.evaluate(clock.now())
    return pool


def used_pool_bytes(targets):
    """Return the bytes of a detection pool in use, as at an aggregator."""
    service = service_of(targets)
    return allocated_bytes(lambda: used_pool(service))


def entry_pool_bytes(targets):
    """Return the bytes of an entry's own pools at 0.05 requests/s a target."""
    service = service_of(targets)
    return allocated_bytes(lambda: sparse_pool(service))


def sparse_pool(service):
    """Return a pool with the outcomes of a minute of little traffic."""
    clock = ManualClock()
    rng = random.Random(1)
    pool = DetectionPool(service, clock, rng)
    for _ in range(SPARSE_OUTCOMES):
        clock.advance(20.0)
        for target in service.targets:
            attempt = Attempt(
                target.target_id, RequestClass.QUICK, AttemptKind.OK, rng.random()
            )
            pool.observe("host-000", attempt, clock.now())
    return pool


def services_bytes(services):
    """Return the bytes of all entries of a host, before any request."""
    declaration = declared(small(services=services, targets=services))
    return allocated_bytes(lambda: make_entries(declaration))


def make_entries(declaration):
    """Return the service entries of a host as ``Serving`` makes them."""
    serving = make_serving(ManualClock())
    serving.on_declaration(declaration, 1)
    while serving.pending:
        serving.apply_slice()
    return serving


def claims_bytes(claims):
    """Return the bytes of a claim table."""
    clock = ManualClock()
    return allocated_bytes(lambda: filled_claims(claims, clock))


def filled_claims(claims, clock):
    """Return a claim table that holds this many claims."""
    limits = ClaimLimits()
    view = HolderView("host-000", 1, CLAIM_LIFETIME_S, 0.0, limits)
    hosts = [RankedHost(f"host-{n:03d}", f"d{n}") for n in range(3)]
    view.update(1, hosts, clock.now())
    clock.advance(2 * CLAIM_LIFETIME_S)
    view.confirm(1, clock.now(), clock.now())
    view.listed_since = 0.0
    table = ClaimTable(CLAIM_LIFETIME_S, limits, clock, view)
    holders = ("host-000", "host-001", "host-002")
    for number in range(claims):
        table.request(
            f"workspace-00001/route-1/{number:032x}",
            f"owner-{number:016x}",
            f"{number:064x}",
            holders,
            clock.now(),
        )
    if len(table.claims) != claims:
        raise AssertionError(f"{len(table.claims)} of {claims} claims were granted")
    return table


def memory_slopes():
    """Return all memory slopes."""
    return [
        fit_sizes(
            "target in the declaration",
            "B",
            (500, 1000, 2000),
            lambda n: declaration_bytes(targets=n),
        ),
        fit_sizes(
            "route in the declaration",
            "B",
            (200, 600, 1800),
            lambda n: declaration_bytes(routes=n),
        ),
        fit_sizes("route in the route table", "B", (200, 600, 1800), route_table_bytes),
        fit_sizes(
            "workspace",
            "B",
            (5100, 20400, 51000),
            lambda n: declaration_bytes(workspaces=n),
        ),
        fit_sizes(
            "host list entry of a host",
            "B",
            (215, 430, 860),
            lambda n: host_list_bytes(hosts=n),
        ),
        fit_sizes(
            "host list entry of a target",
            "B",
            (1000, 2000, 4000),
            lambda n: host_list_bytes(targets=n),
        ),
        fit_sizes("service with one target", "B", (50, 150, 450), services_bytes),
        fit_sizes("target in a router, unused", "B", (16, 32, 64), router_bytes),
        fit_sizes("target in a pool, in use", "B", (8, 16, 32), used_pool_bytes),
        fit_sizes("target in an entry's pool", "B", (8, 16, 32), entry_pool_bytes),
        fit_sizes("claim", "B", (1000, 4000, 16000), claims_bytes),
    ]
