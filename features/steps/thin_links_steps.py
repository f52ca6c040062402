import asyncio
import contextlib
import copy
import random
from types import SimpleNamespace

import orjson
from behave import given, then, when
from eliot import add_destinations, remove_destination

from features.steps.host_sends_steps import NO_CRASHES
from features.support.platform_fleet import ROUTES, configuration, route
from features.support.revisions import revision_at
from features.support.thin_links import VirtualFleet
from oleanderroute.clock import SystemClock
from oleanderroute.decisions.selection import Selector
from oleanderroute.errors import StoreUnavailable
from oleanderroute.host.exchange import Exchange
from oleanderroute.host.findings import FindingReporter
from oleanderroute.host.forwarder import RequestForwarder
from oleanderroute.host.gossip import (
    HUB_BATCH_DELAY_S,
    HUB_HEARTBEAT_INTERVAL_S,
    LIVE_LIST_INTERVAL_S,
    MAX_HUB_DATAGRAMS_PER_S,
    URGENT_INTERVAL_SHARE,
)
from oleanderroute.host.model import Destination, HostRoute, Repeatability
from oleanderroute.host.outbox import MAX_OBSERVATIONS
from oleanderroute.host.target_sender import TargetSender
from oleanderroute.platform.kv import KvClient

RATIO, ALLOWANCE, WINDOW_S = 0.2, 50.0, 10.0
# The changes then come just after the store has confirmed the revision before them.
SETTLE_S = 4.2


def random_name(rng, length=8):
    return "".join(
        rng.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(length)
    )


def many_routes(count):
    """Return the usual routes and others with random names."""
    rng = random.Random(7)
    # A copy, since the scenarios change the first route.
    routes = copy.deepcopy(list(ROUTES))
    for _ in range(count):
        name = f"r-{random_name(rng)}"
        routes.append(route(name, "safe", f"/{random_name(rng)}/"))
    return routes


def link_speeds(hosts, links):
    """Return the Mbit/s of each host of a failure domain."""
    numbers = [float(word) for word in links.split() if word[0].isdigit()]
    if len(numbers) == 1:
        return numbers * hosts
    slow, fast = numbers
    return [slow] * (hosts - 2) + [fast] * 2


@given("thin links: {domains:d} failure domains of {hosts:d} hosts on {links} links")
@given(
    "thin links: {domains:d} failure domain of {hosts:d} hosts on {links} links, with "
    "{targets:d} targets"
)
@given(
    "thin links: {domains:d} failure domains with {targets:d} targets, each of "
    "{hosts:d} hosts on {links} links"
)
def step_fleet(context, domains, hosts, links, targets=0):
    context.fleet = VirtualFleet(
        link_speeds(hosts, links), domains, configuration(1, list(ROUTES)), targets
    )


@when(
    "thin links: the configuration grows by {count:d} routes and changes {changes:d} "
    "times, each {gap_s:g} s"
)
def step_grow(context, count, changes, gap_s):
    fleet = context.fleet
    routes = many_routes(count)

    async def scenario():
        await asyncio.sleep(SETTLE_S)
        context.sent_at = {}
        for version in range(2, 3 + changes):
            routes[0]["spec"]["timeoutMs"] = 1000 + version
            document = orjson.dumps(configuration(version, routes))
            fleet.shared.put("op/config", document)
            context.sent_at[version] = fleet.loop.time()
            await asyncio.sleep(gap_s)
        await asyncio.sleep(8.0)

    fleet.run(scenario())


@then("thin links: each host has each version in force within {limit_s:g} s")
def step_in_force(context, limit_s):
    late = {}
    for version, sent_at in context.sent_at.items():
        slowest = context.fleet.lateness(version, sent_at)[-1]
        if slowest > limit_s:
            late[version] = round(slowest, 2)
    assert not late, late


@when(
    "thin links: no host serves copies, and the configuration grows by {count:d} routes"
)
def step_no_copies(context, count):
    fleet = context.fleet
    routes = many_routes(count)

    async def scenario():
        await asyncio.sleep(SETTLE_S)
        fleet.loop.servers.clear()
        calls_before = fleet.shared.calls
        fleet.shared.put("op/config", orjson.dumps(configuration(2, routes)))
        context.sent_at = {2: fleet.loop.time()}
        await asyncio.sleep(3.0)
        context.calls = fleet.shared.calls - calls_before

    fleet.run(scenario())


@then("thin links: the hosts have made at most {most:d} calls of the store each for it")
def step_calls(context, most):
    assert context.calls <= most * len(context.fleet.hosts), context.calls


STORE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
PART = b" " * 70_000


async def answer_slowly(arrives, reader, writer):
    """Answer one call of the store as ``arrives`` says."""
    await reader.readuntil(b"\r\n\r\n")
    document = b'{"events": [], "atRev": 7}'
    length = 6 * len(PART) + len(document)
    if arrives == "never ends":
        writer.write(STORE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        while True:
            writer.write(b"%x\r\n%b\r\n" % (len(PART), PART))
            await writer.drain()
    writer.write(STORE_HEAD + b"Content-Length: %d\r\n\r\n" % length)
    for _ in range(6):
        writer.write(PART)
        await writer.drain()
        await asyncio.sleep(60.0 if arrives == "stops in the middle" else 0.3)
    writer.write(document)


@then("thin links: an answer of the store that {arrives} is {result}")
def step_store_answer(context, arrives, result):
    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await answer_slowly(arrives, reader, writer)
        writer.close()

    async def call_store():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = KvClient(f"127.0.0.1:{port}", lambda name: None, SystemClock())
        try:
            async with asyncio.timeout(6.0):
                return (await client.watch("", revision_at(1), 0.5)).revision.number
        except StoreUnavailable:
            return "refused"
        finally:
            client.close()
            server.close()

    found = asyncio.run(call_store())
    assert found == (7 if result == "read" else "refused"), found


async def send_requests(fleet, host, per_s, until):
    """Send lookups and orders by turns, at random times, until a time."""
    forwarder = make_forwarder(host)
    rng = fleet.loop.rng
    requests = []
    number = 0
    while fleet.loop.now < until:
        await asyncio.sleep(rng.expovariate(per_s))
        number += 1
        exchange = make_exchange(
            "idempotent" if number % 2 else "once",
            f"{host.settings.host_id}/{number}".encode(),
            fleet.loop.now,
        )
        fleet.requests.append(fleet.loop.now)
        requests.append(asyncio.ensure_future(forwarder.run(exchange)))
    await asyncio.gather(*requests)


def make_forwarder(host):
    reporter = FindingReporter(host.view, host.gossip)
    headers = SimpleNamespace(attempt_headers=lambda *parts: [])
    target_sender = TargetSender(
        host.view, host.pool, reporter, NO_CRASHES, headers, host.clock
    )
    return RequestForwarder(
        host.view,
        host.pool,
        Selector(host.settings.failure_domain, random.Random(host.settings.host_id)),
        host.gossip.membership,
        NO_CRASHES,
        target_sender,
        host.clock,
    )


def make_exchange(kind, attempt_id, now):
    destination = (Destination("pedidos", 1.0),)
    repeatability = Repeatability(kind)
    return Exchange(
        request=SimpleNamespace(method="GET", raw_target=b"/", body=None),
        route=HostRoute("r", "h", "/", repeatability, 1.5, 0.6, destination, 3),
        service="pedidos",
        attempt_id=attempt_id.decode(),
        attempt_id_bytes=attempt_id,
        deadline_at=now + 1.5,
        version=1,
        base_headers=[],
    )


@when(
    "thin links: each host gets {per_s:d} requests a second, and after {calm_s:d} s "
    "targets refuse half for {refusing_s:d} s"
)
def step_refusing(context, per_s, calm_s, refusing_s):
    fleet = context.fleet
    fleet.requests = []
    context.traffic_s = calm_s + refusing_s
    context.received_before = {}
    context.log_lines = []

    async def scenario():
        await asyncio.sleep(SETTLE_S)
        for host_id, host in fleet.hosts.items():
            context.received_before[host_id] = host.gossip.received.datagrams
        add_destinations(context.log_lines.append)
        context.add_cleanup(remove_destination, context.log_lines.append)
        until = fleet.loop.now + calm_s + refusing_s
        callers = []
        for host in fleet.hosts.values():
            callers.append(send_requests(fleet, host, per_s, until))
        fleet.loop.call_later(calm_s, setattr, fleet, "refused_share", 0.5)
        await asyncio.gather(*callers)

    fleet.run(scenario())


@then(
    "thin links: no host gets more datagrams of its hub than the intervals of the hub "
    "permit"
)
def step_few_datagrams(context):
    fleet = context.fleet
    members = len(fleet.hosts) - 1
    interval_s = max(HUB_BATCH_DELAY_S, members / MAX_HUB_DATAGRAMS_PER_S)
    # Each send has up to four findings: its start, its end and two overdue ones.
    # What does not fit in one datagram follows in others.
    full_per_s = 4 * len(fleet.arrivals) / context.traffic_s / MAX_OBSERVATIONS
    heartbeats_per_s = 1.0 / HUB_HEARTBEAT_INTERVAL_S + 1.0 / LIVE_LIST_INTERVAL_S
    bound = 1.0 / (URGENT_INTERVAL_SHARE * interval_s) + full_per_s + heartbeats_per_s
    for host_id, host in fleet.hosts.items():
        if host.gossip.membership.is_hub:
            continue
        received = host.gossip.received.datagrams - context.received_before[host_id]
        assert received / context.traffic_s <= bound, (host_id, received, bound)


@then(
    "thin links: no host writes more than {per_request:d} log lines a request and "
    "{per_s:d} a second"
)
def step_few_lines(context, per_request, per_s):
    hosts = len(context.fleet.hosts)
    bound = per_request * len(context.fleet.requests) / hosts
    bound += per_s * context.traffic_s
    assert len(context.log_lines) / hosts <= bound, (len(context.log_lines), bound)


@then("thin links: the repeats of all hosts stay within the limit")
def step_within_limit(context):
    fleet = context.fleet
    seen = set()
    repeats = []
    for attempt_id, at in sorted(fleet.arrivals, key=lambda arrival: arrival[1]):
        if attempt_id in seen:
            repeats.append(at)
        seen.add(attempt_id)
    assert len(repeats) > ALLOWANCE, "the refused requests were hardly repeated"
    worst = 0.0
    for end in repeats:
        recent = sum(1 for at in repeats if end - WINDOW_S < at <= end)
        requests = 0
        for shift_s in (0.0, WINDOW_S / 2, WINDOW_S):
            until = end - shift_s
            inside = [at for at in fleet.requests if until - WINDOW_S < at <= until]
            requests = max(requests, len(inside))
        worst = max(worst, recent / (RATIO * requests + ALLOWANCE))
    assert worst <= 1.0, f"{worst:.2f} times the limit"


@then(
    "thin links: at most {share:g} of the datagrams are lost, and one host is the hub"
)
def step_one_hub(context, share):
    fleet = context.fleet
    sent = sum(host.gossip.sent.datagrams for host in fleet.hosts.values())
    assert fleet.loop.lost_datagrams <= share * sent, (fleet.loop.lost_datagrams, sent)
    hubs = []
    for host_id, host in fleet.hosts.items():
        if host.gossip.membership.is_hub:
            hubs.append(host_id)
    assert len(hubs) == 1, hubs


@then("thin links: each host has counted at least {share:g} of the sends in the window")
def step_counted(context, share):
    fleet = context.fleet
    sent = 0
    counted = []
    for host in fleet.hosts.values():
        allowance = host.view.allowance_of("pedidos")
        allowance.expire(fleet.loop.now)
        own, seen = allowance.own_sends, allowance.all_sends
        sent += len(own.first_sends) + len(own.repeats)
        counted.append(len(seen.first_sends) + len(seen.repeats))
    assert min(counted) >= share * sent, (min(counted), sent)
