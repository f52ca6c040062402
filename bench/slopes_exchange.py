"""Costs of connections, peer exchanges, and the metrics page, in this process."""

import gc
import gzip
import random
import socket
import time

import uvloop

from oleanderroute.clock import SystemClock
from oleanderroute.declaration.model import Target
from oleanderroute.entry.target_pool import TargetPool
from oleanderroute.metrics import Metrics
from oleanderroute.operator.burn import ClassBurn
from oleanderroute.operator.exposition import metrics_page
from oleanderroute.operator.gauges import refresh
from oleanderroute.outcome import RequestClass
from oleanderroute.peer.client import PeerAddress, PeerClient
from oleanderroute.peer.gen.oleander_messages.ttypes import (
    ManifestReply,
    ManifestRequest,
)
from oleanderroute.peer.links import LinkFilter
from oleanderroute.peer.server import PeerServer

from .slopes_documents import Size
from .slopes_fit import allocated_bytes, constant, fit
from .slopes_memory import declared, service_of
from .slopes_messages import header
from .slopes_serving import FLEET, make_serving

LOOPBACK = "127.0.0.1"
BACKLOG = 4096
PAGE_BYTES = 4096
ROUND_TRIPS = 1500
REQUESTS_PER_SERVICE = 50


class NoClaims:
    """Takes the place of the claim table on the metrics page."""

    claims = ()


def resident_bytes():
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as source:
        return int(source.read().split()[1]) * PAGE_BYTES


async def connection_points(sizes):
    """Open connections to a socket that never accepts; return size and bytes."""
    points = []
    with socket.socket() as listener:
        listener.bind((LOOPBACK, 0))
        listener.listen(BACKLOG)
        pool = TargetPool("host-004", "r2-a", SystemClock())
        # The first connections load code and fill the allocator's free lists.
        await open_connections(pool, listener, 0, 200)
        gc.collect()
        before = resident_bytes()
        opened = 0
        for size in sizes:
            await open_connections(pool, listener, opened, size)
            opened = size
            gc.collect()
            points.append((size, resident_bytes() - before))
        pool.close()
    return points


async def open_connections(pool, listener, first, last):
    """Open connections, each to a target of its own."""
    port = listener.getsockname()[1]
    for number in range(first, last):
        target = Target(f"target-{last}-{number}", LOOPBACK, port, "r2-a")
        await pool.connections_to(target).connect(1.0)


async def round_trip_us(requests):
    """Return microseconds of processor time of one peer exchange, both sides."""
    metrics = Metrics()
    links = LinkFilter()
    server = PeerServer(FLEET, header, ignore, links, ["127.0.0.0/8"], metrics)
    server.register("manifest_request", answer_manifest)
    await server.start(LOOPBACK, 0)
    port = server.server.sockets[0].getsockname()[1]
    client = PeerClient(FLEET, header, ignore, ignore, links, SystemClock(), metrics)
    peer = PeerAddress("host-000", LOOPBACK, port, "r2-a")
    await client.request(peer, "manifest_request", ManifestRequest(1))
    started = time.process_time()
    for _ in range(requests):
        await client.request(peer, "manifest_request", ManifestRequest(1))
    elapsed_s = time.process_time() - started
    await client.close()
    await server.close()
    return elapsed_s / requests * 1e6


def ignore(*_):
    """Take a header without doing anything."""


def answer_manifest(request, header):
    """Answer that nothing is newer."""
    return "manifest_reply", ManifestReply(1, None)


class UsedHost:
    """Metrics and burn histograms of a host that served all its services."""

    def __init__(self, services):
        size = Size(1, services, services, services, 1)
        self.serving = make_serving(SystemClock())
        self.serving.on_declaration(declared(size), 1)
        self.metrics = self.serving.metrics
        self.classes = {}
        rng = random.Random(1)
        for name, entry in self.serving.entries.items():
            burn = ClassBurn(entry.service, 0.0)
            for _ in range(REQUESTS_PER_SERVICE):
                burn.latency.record(rng.lognormvariate(-4, 1))
                burn.good_total += 1
            self.classes[(name, RequestClass.QUICK)] = burn
            self.count_requests(name)

    def count_requests(self, name):
        """Set the counters that requests of one service would set."""
        for outcome, reason in (("answered", "served"), ("not-run", "overloaded")):
            labels = {"service": name, "class": "quick"}
            self.metrics.requests.inc({**labels, "outcome": outcome, "reason": reason})
        for kind in ("ok", "timeout"):
            self.metrics.attempts.inc({"service": name, "kind": kind})

    async def page(self):
        """Return the metrics page."""
        await refresh(self.metrics, self.serving, self, NoClaims, False)
        return await metrics_page(self.metrics.registry)


def page_slopes():
    """Return the costs of the metrics page by services with traffic."""
    sizes = []
    packed = []
    costs = []
    for services in (50, 150, 450):
        host = UsedHost(services)
        uvloop.run(host.page())
        started = time.process_time()
        page = uvloop.run(host.page())
        costs.append((services, (time.process_time() - started) * 1e3))
        sizes.append((services, len(page)))
        packed.append((services, len(gzip.compress(page, 1))))
    return [
        fit("metrics page, service: bytes", "B", sizes),
        fit("metrics page, service: bytes with gzip", "B", packed),
        fit("metrics page, service: write", "ms", costs),
    ]


def burn_slope():
    """Return the bytes of the burn histograms of one service and class."""
    service = service_of(1)
    points = []
    for count in (50, 150, 450):
        made = allocated_bytes(lambda n=count: [used_burn(service) for _ in range(n)])
        points.append((count, made))
    return fit("service and class in the burn report", "B", points)


def used_burn(service):
    """Return the counts of a class in its second period."""
    burn = ClassBurn(service, 0.0)
    burn.latency.record(0.02)
    burn.latency.follow_time(30_000.0)
    return burn


def exchange_slopes():
    """Return the costs of connections, peer exchanges and the metrics page."""
    points = uvloop.run(connection_points((500, 1000, 2000)))
    trips = [uvloop.run(round_trip_us(ROUND_TRIPS)) for _ in range(3)]
    return [
        fit("connection to a target (resident)", "B", points),
        constant("peer exchange, both sides", "us", trips),
        burn_slope(),
        *page_slopes(),
    ]
