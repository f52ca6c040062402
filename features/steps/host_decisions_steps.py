"""Steps on the decisions and documents of a host on the users' platform."""

import asyncio
import copy
import json
import os
import random
import time
from collections import Counter
from types import SimpleNamespace

from behave import then
from eliot import add_destinations, remove_destination
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.support.fleet_views import make_view
from features.support.platform_fleet import HOST, ROUTES, configuration
from features.support.processes import PORTS
from features.support.revisions import revision_at
from features.support.thin_links import VirtualFleet, target_entry
from oleanderroute import events
from oleanderroute.clock import ManualClock, SystemClock
from oleanderroute.decisions.allowance import RepeatAllowance
from oleanderroute.decisions.health import Finding, TargetHealth
from oleanderroute.decisions.hubs import HubChoice, appoint_watcher
from oleanderroute.decisions.kept_states import KeptStates
from oleanderroute.decisions.latency import LatencySample
from oleanderroute.decisions.link_budget import LinkBudget
from oleanderroute.decisions.replica import StoreReplica
from oleanderroute.decisions.selection import RequestProfile, Selector, TargetView
from oleanderroute.decisions.send_counts import RemoteSendCounts
from oleanderroute.decisions.standing_queue import StandingQueue
from oleanderroute.entry.messages import NULL_CHARGE
from oleanderroute.errors import DocumentError, MessageRejected, SettingsError
from oleanderroute.host.copies import CopyServer, fetch_copy
from oleanderroute.host.fleetview import FleetView
from oleanderroute.host.gossip import GossipTask
from oleanderroute.host.gossip_checks import check_gossip
from oleanderroute.host.logsink import LogSink
from oleanderroute.host.main import STOP_MARGIN_S
from oleanderroute.host.model import (
    HostRoute,
    PeerHost,
    Repeatability,
    StoreItem,
    TargetEntry,
)
from oleanderroute.host.outbox import Outbox
from oleanderroute.host.proxy import HostProxy
from oleanderroute.host.refusal import HostReason, refusal_answer
from oleanderroute.host.routes import PrefixRoutes
from oleanderroute.outcome import CallerOutcome
from oleanderroute.peer.codec import encode_message
from oleanderroute.peer.gen.oleander_gossip.ttypes import (
    CrashNotice,
    Gossip,
    ItemChange,
    Observation,
)
from oleanderroute.platform import documents, headers, node_file

HYPOTHESIS_SETTINGS = settings(
    max_examples=60, deadline=None, suppress_health_check=list(HealthCheck)
)
SETTINGS = (
    "nodeName=h1\nzone=a\nregion=r\nlisten.front=127.0.0.1:1\n"
    "listen.ready=127.0.0.1:2\nlisten.control=127.0.0.1:3\n"
    "internalPortRange=4,5\nplatform.address=127.0.0.1:6\n"
)


def entry(target_id, domain="a", slots=2):
    return TargetEntry(
        target_id, "s", "127.0.0.1", 1, domain, slots, False, 0.0, started_ms=1
    )


# Failure probabilities


def simulate_target(rng, seconds=60.0, per_s=6.0):
    """Return (prediction, naive prediction, failed) of a target's requests."""
    health = TargetHealth(0.0)
    recent = []
    rows = []
    is_gray = False
    now = 0.0
    while now < seconds:
        now += rng.expovariate(per_s)
        change = 0.37 if is_gray else 0.1
        if rng.random() < change / per_s:
            is_gray = not is_gray
        failed = rng.random() < (0.75 if is_gray else 0.02)
        naive = sum(recent[-10:]) / len(recent[-10:]) if recent else 0.15
        rows.append((health.failure_probability(now), naive, failed))
        finding = Finding.FAILED if failed else Finding.GOOD
        health.observe(finding, now, now, is_own=False)
        recent.append(failed)
    return rows


@then(
    "host decisions: over {count:d} simulated targets the belief predicts failures "
    "better than the naive share"
)
def step_belief(context, count):
    rng = random.Random(7)
    rows = []
    for _ in range(count):
        rows += simulate_target(rng)
    belief = sum((chance - failed) ** 2 for chance, _, failed in rows)
    naive = sum((share - failed) ** 2 for _, share, failed in rows)
    assert belief < naive, (belief / len(rows), naive / len(rows))


@then(
    "host decisions: own failures beside good answers of others raise the path's "
    "belief above 0.5"
)
def step_path(context):
    health = TargetHealth(0.0)
    now = 0.0
    for _ in range(4):
        for _ in range(5):
            now += 0.1
            health.observe(Finding.GOOD, now, now, is_own=False)
        now += 0.1
        health.observe(Finding.FAILED, now, now, is_own=True)
    assert health.path_down_probability > 0.5, health.path_down_probability
    health.observe(Finding.GOOD, now, now, is_own=True)
    assert health.path_down_probability < 0.1, health.path_down_probability


@then("host decisions: failures that all hosts see leave the path's belief below 0.5")
def step_no_path(context):
    health = TargetHealth(0.0)
    now = 0.0
    for _ in range(4):
        for is_own in (False, False, True):
            now += 0.1
            health.observe(Finding.FAILED, now, now, is_own)
    assert health.path_down_probability < 0.5, health.path_down_probability
    assert health.gray_probability > 0.9, health.gray_probability


@then("host decisions: quantiles and shares agree with the naive ones")
def step_latency(context):
    @HYPOTHESIS_SETTINGS
    @for_all(st.lists(st.floats(0.001, 5.0), min_size=40, max_size=290))
    def check(latencies):
        sample = LatencySample()
        full = latencies[: len(latencies) // 10 * 10]
        for latency in full:
            sample.add(latency)
        ordered = sorted(full)
        for share in (0.1, 0.5, 0.92, 0.98):
            assert sample.quantile(share) == ordered[int(share * len(ordered))]
        above = sum(1 for latency in full if latency > 0.5) / len(full)
        assert abs(sample.share_above(0.5) - above) < 1e-9

    check()


@then(
    "host decisions: {hosts:d} hosts in {groups:d} groups that do not hear each "
    "other keep the bound"
)
def step_allowance(context, hosts, groups):
    ratio, allowance, window_s = 0.2, 58.0, 10.0
    rng = random.Random(hosts * 100 + groups)
    fleet = [RepeatAllowance(ratio, allowance, window_s, 0.0) for _ in range(hosts)]
    members = [[] for _ in range(groups)]
    for number in range(hosts):
        members[number % groups].append(number)
    firsts, repeats = [], []
    now = 20.0
    for _ in range(4000):
        now += rng.expovariate(100.0)
        number = rng.randrange(hosts)
        group = members[number % groups]
        firsts.append(now)
        for member in group:
            fleet[member].record(False, member == number, now)
        # Every request fails and is retried as often as permitted.
        while fleet[number].may_repeat(len(group), hosts, now):
            repeats.append(now)
            for member in group:
                fleet[member].record(True, member == number, now)
        recent_first = sum(1 for at in firsts if at > now - window_s)
        recent_repeat = sum(1 for at in repeats if at > now - window_s)
        assert recent_repeat <= ratio * recent_first + allowance, now
    assert repeats


@then(
    "host decisions: {hosts:d} hosts that count {late:d} sends of each other at once "
    "keep the bound, with repeats from {start:d} s on"
)
def step_late_counts(context, hosts, late, start):
    ratio, allowance, window_s = 0.2, 58.0, 10.0
    rng = random.Random(hosts)
    fleet = [RepeatAllowance(ratio, allowance, window_s, 0.0) for _ in range(hosts)]
    announced = [Counter() for _ in range(hosts)]
    sends = {False: [], True: []}

    def send(number, is_repeat, now):
        sends[is_repeat].append(now)
        fleet[number].record(is_repeat, True, now)
        announced[number][is_repeat] += 1
        if announced[number][is_repeat] % late:
            return
        for other in range(hosts):
            if other != number:
                fleet[other].record(is_repeat, False, now, late)

    now = 20.0
    for _ in range(6000):
        now += rng.expovariate(200.0)
        number = rng.randrange(hosts)
        send(number, False, now)
        # Every request then fails and is retried as often as permitted.
        while now >= 20.0 + start and fleet[number].may_repeat(hosts, hosts, now):
            send(number, True, now)
        recent = {}
        for is_repeat, times in sends.items():
            recent[is_repeat] = sum(1 for at in times if at > now - window_s)
        assert recent[True] <= ratio * recent[False] + allowance, (now, recent)
    assert sends[True]


ANNOUNCED_SENDS = {
    "all arrive": [(7, number) for number in range(1, 51)],
    "arrive in another order": [
        (7, 1),
        *((7, 2 + (n ^ 1)) for n in range(48)),
        (7, 50),
    ],
    "are lost but for each tenth": [(7, 1), *((7, n) for n in range(10, 51, 10))],
    "are announced by a restarted host": [(7, 1), (7, 20), (8, 5), (8, 30)],
    "arrive after the host has restarted": [(7, 1), (7, 30), (8, 10), (7, 40)],
    "are first seen in the middle": [(7, 25), (7, 50)],
}


@then("host decisions: {sent:d} sends whose findings {fate} are counted as {counted:d}")
def step_announced(context, sent, fate, counted):
    counts = RemoteSendCounts()
    total = 0
    for incarnation, number in ANNOUNCED_SENDS[fate]:
        total += counts.advance("h1", incarnation, "service", number)
    assert total == counted, total


@then(
    "host decisions: after a reload with another ratio the counted sends are the same"
)
def step_reload(context):
    clock = SimpleNamespace(now=lambda: 100.0)
    limits = {"retry_ratio": 0.2, "retry_allowance": 50.0, "retry_window_s": 10.0}
    view = FleetView(SimpleNamespace(**limits), documents, clock, None)
    for is_repeat in (False, False, True):
        view.count_own_send("s", is_repeat)
    view.update_settings(SimpleNamespace(**limits | {"retry_ratio": 0.1}))
    allowance = view.allowance_of("s")
    assert allowance.own_totals == {False: 2, True: 1}
    assert len(allowance.all_sends.first_sends) == 2
    assert len(allowance.all_sends.repeats) == 1
    assert allowance.ratio == 0.1


# Store replica


def store_history(rng, length):
    """Return the events of a store and its state after each of them."""
    history, state, states = [], {}, {0: {}}
    for revision in range(1, length + 1):
        key = f"k{rng.randrange(6)}"
        if key in state and rng.random() < 0.4:
            history.append(StoreItem(key, revision_at(revision), None))
            del state[key]
        else:
            item = StoreItem(key, revision_at(revision), b"%d" % revision)
            history.append(item)
            state[key] = item
        states[revision] = dict(state)
    return history, states


def update_replica(rng, replica, others, events, states, revision_limit):
    """Update a replica by events, a listing or another replica, chosen at random."""
    way = rng.randrange(3)
    if way == 0 and replica.revision.number:
        for event in events[replica.revision.number : revision_limit]:
            replica.apply(event)
        replica.advance(revision_at(revision_limit))
    elif way == 1:
        replica.replace(
            "", list(states[revision_limit].values()), revision_at(revision_limit)
        )
        replica.advance(revision_at(revision_limit))
    else:
        other = rng.choice(others)
        if other.revision <= replica.revision:
            return
        changes = other.changes_after(replica.revision)
        if changes is None:
            replica.replace("", list(other.items.values()), other.revision)
        else:
            for change in changes:
                replica.apply(change)
        replica.advance(other.revision)


@then(
    "host decisions: replicas fed by events, listings and copies in any order equal "
    "the store"
)
def step_replica(context):
    for seed in range(300):
        rng = random.Random(seed)
        events, states = store_history(rng, 30)
        replicas = [StoreReplica() for _ in range(4)]
        for _ in range(40):
            replica = rng.choice(replicas)
            before = replica.revision
            revision_limit = rng.randint(max(1, before.number), 30)
            update_replica(rng, replica, replicas, events, states, revision_limit)
            assert replica.revision >= before
            found = {key: item.value for key, item in replica.items.items()}
            expected = states[replica.revision.number]
            wanted = {key: item.value for key, item in expected.items()}
            assert found == wanted, (seed, replica.revision, found, wanted)


# Target selection


def make_views(count, now):
    views = []
    for number in range(count):
        view = TargetView(entry(f"t{number}"), TargetHealth(now))
        view.health.observe(Finding.GOOD, now, now, is_own=False)
        views.append(view)
    return views


def request_profile():
    return RequestProfile(0.4, 0.0, lambda target_id: True)


@then(
    "host decisions: {hosts:d} hosts that choose among {count:d} equal targets use "
    "at least {least:d} of them"
)
def step_spread(context, hosts, count, least):
    used = set()
    for number in range(hosts):
        selector = Selector("a", random.Random(number))
        views = make_views(count, 1.0)
        chosen = selector.best(views, LatencySample(), request_profile(), 1.0)
        used.add(chosen.entry.target_id)
    assert len(used) >= least, used


@then(
    "host decisions: a target that is believed gray gets no order while others are "
    "sound"
)
def step_gray(context):
    views = make_views(5, 1.0)
    for _ in range(3):
        views[0].health.observe(Finding.FAILED, 1.0, 1.0, is_own=False)
    selector = Selector("a", random.Random(1))
    for _ in range(200):
        chosen = selector.best(views, LatencySample(), request_profile(), 1.0)
        assert chosen is not views[0]


@then(
    "host decisions: idempotent requests go first to the target that was silent for "
    "longest"
)
def step_explore(context):
    views = make_views(10, 1.0)
    for view in views[1:]:
        view.health.observe(Finding.GOOD, 3.0, 3.0, is_own=False)
    selector = Selector("a", random.Random(1))
    chosen = [selector.explore(views, LatencySample(), 3.05) for _ in range(50)]
    assert chosen.count(views[0]) > 45


@then("host decisions: routes agree with a scan over all prefixes")
def step_routes(context):
    segment = st.sampled_from(["a", "b", "ab"])
    prefix = st.lists(segment, max_size=3).map(lambda parts: "/".join(["", *parts, ""]))

    @HYPOTHESIS_SETTINGS
    @for_all(st.lists(prefix, max_size=6), prefix, segment)
    def check(prefixes, start, tail):
        listed = []
        for text in dict.fromkeys(prefixes):
            listed.append(
                HostRoute(
                    text, "h", text, Repeatability.ONCE, 1.0, 1.0, (), max_targets=1
                )
            )
        path = start + tail
        longest = None
        for route in listed:
            if not path.startswith(route.prefix):
                continue
            if longest is None or len(route.prefix) > len(longest.prefix):
                longest = route
        assert PrefixRoutes(listed).match("h", path) is longest
        assert PrefixRoutes(listed).match("other", path) is None

    check()


@then(
    "host decisions: of {count:d} targets a choice considers at most {most:d}, "
    "connected ones among them, and each in turn"
)
def step_sample(context, count, most):
    views = [TargetView(entry(f"t{n}"), TargetHealth(0.0)) for n in range(count)]
    connected = {"t3", "t500", "t999"}
    selector = Selector("a", random.Random(count))
    seen = Counter()
    for _ in range(count):
        sampled = [
            view.entry.target_id
            for view in selector.sample(views, lambda target_id: target_id in connected)
        ]
        assert len(sampled) == len(set(sampled)) <= most, sampled
        assert connected <= set(sampled), sampled
        seen.update(sampled)
    assert len(seen) == count, count - len(seen)
    few = views[:20]
    assert selector.sample(few, lambda target_id: False) == few


# Documents

READERS = {
    "configuration": lambda text: documents.decode_configuration(text),
    "target": lambda text: documents.decode_target("servers/t", text),
    "host": lambda text: documents.decode_host("oleanderroute/hosts/h", text),
}


@then('host decisions: the {document} "{text}" is refused at "{path}"')
def step_document(context, document, text, path):
    try:
        READERS[document](text.encode())
    except DocumentError as error:
        assert error.path == path, error
        return
    raise AssertionError("it was accepted")


@then('host decisions: settings with "{line}" are refused at "{path}"')
def step_settings(context, line, path):
    assert (
        node_file.build_host_settings(node_file.parse_lines(SETTINGS)).host_id == "h1"
    )
    try:
        node_file.build_host_settings(node_file.parse_lines(SETTINGS + line + "\n"))
    except SettingsError as error:
        assert error.path == path, error
        return
    raise AssertionError("it was accepted")


@then(
    "host decisions: {count:d} records to a full pipe take less than {limit_s:d} s "
    "and are counted"
)
def step_log(context, count, limit_s):
    reader, writer = os.pipe()
    try:
        sink = LogSink(writer)
        started_at = time.monotonic()
        for number in range(count):
            sink({"message": "x" * 100, "number": number})
        assert time.monotonic() - started_at < limit_s
        assert sink.dropped > 0
        assert sink.backlog_bytes <= 512 * 1024
    finally:
        os.close(reader)
        os.close(writer)


# Hubs

HOST_IDS = [f"h{number}" for number in range(12)]


EQUAL_LINKS = dict.fromkeys(HOST_IDS, 1000.0)


def choose_hubs(choices, now, silent=(), links=EQUAL_LINKS):
    """Return the hubs that the hosts choose; each hears all but ``silent``."""
    found = {}
    for own_id, choice in choices.items():
        if own_id in silent:
            continue
        if choice.hub is not None and choice.hub not in silent:
            choice.heard(choice.hub, now)
        found[own_id] = choice.choose(links, now)
    return found


@then("host decisions: {count:d} hosts that hear the hub agree on it")
def step_agree(context, count):
    context.choices = {own_id: HubChoice("a", own_id) for own_id in HOST_IDS}
    for step in range(50):
        context.hubs = choose_hubs(context.choices, step * 0.1)
        assert len(set(context.hubs.values())) == 1, context.hubs
    assert len(context.hubs) == count


@then(
    "host decisions: they agree on another within {limit_s:g} s of its silence and "
    "come back to it"
)
def step_pass_over(context, limit_s):
    first = context.hubs["h0"]
    now = 5.0
    while now < 5.0 + limit_s:
        now += 0.1
        hubs = choose_hubs(context.choices, now, silent={first})
    assert len(set(hubs.values())) == 1, hubs
    assert first not in hubs.values()
    for choice in context.choices.values():
        choice.heard(first, now)
    assert set(choose_hubs(context.choices, now + 0.1).values()) == {first}


@then("host decisions: among hosts of {slow:g} and {fast:g} Mbit/s the fast are hubs")
def step_fast_hubs(context, slow, fast):
    links = dict.fromkeys(HOST_IDS, slow) | {"h3": fast, "h8": fast}
    choices = {own_id: HubChoice("a", own_id) for own_id in HOST_IDS}
    chosen = set(choose_hubs(choices, 0.0, links=links).values())
    assert len(chosen) == 1 and chosen < {"h3", "h8"}, chosen
    now = 0.0
    while now < 1.0:
        now += 0.1
        others = choose_hubs(choices, now, silent=chosen, links=links)
    assert set(others.values()) == {"h3", "h8"} - chosen, others
    now = 1.0
    while now < 2.0:
        now += 0.1
        rest = choose_hubs(choices, now, silent={"h3", "h8"}, links=links)
    assert len(set(rest.values())) == 1, rest
    lost = dict.fromkeys(HOST_IDS, False) | dict.fromkeys(chosen, True)
    (hub,) = chosen
    assert {appoint_watcher("a", hub, lost, links)} == set(others.values())


@then("host decisions: a host that hears nobody is its own hub in the end")
def step_alone(context):
    choice = HubChoice("a", "h5")
    now = 0.0
    links = dict.fromkeys(HOST_IDS[:6], 1000.0)
    while choice.choose(links, now) != "h5":
        now += 0.1
        assert now < 10.0


class InMemoryFleet:
    """Gossip tasks that are connected by function calls instead of sockets."""

    def __init__(self, hosts, domains):
        self.tasks = {}
        listed = {}
        for number in range(hosts):
            host_id, domain = f"h{number}", f"d{number % domains}"
            listed[host_id] = PeerHost(host_id, host_id, 1, 2, domain, 1000.0)
        for host_id, host in listed.items():
            self.tasks[host_id] = self.make_task(host, listed)
        self.known = {host_id: set() for host_id in listed}

    def make_task(self, host, listed):
        view = SimpleNamespace(
            settings=SimpleNamespace(
                host_id=host.host_id,
                failure_domain=host.failure_domain,
                link_mbps=1000.0,
            ),
            hosts=listed,
            hosts_changes=0,
            last_seen_at={},
            replica=StoreReplica(),
            news=SimpleNamespace(kept=KeptStates(documents.state_order)),
            configuration=None,
            rate_limits=SimpleNamespace(is_needed=False),
            record_confirmation=lambda at: None,
            observe=lambda target, finding, sent_at, sender, *rest: self.known[
                host.host_id
            ].add((sender, target)),
        )
        task = GossipTask(view, None, SystemClock())
        task.transport = SimpleNamespace(sendto=self.deliver, close=lambda: None)
        return task

    def deliver(self, datagram, address):
        self.tasks[address[0]].datagram_received(datagram, ("127.0.0.1", 1))


@then(
    "host decisions: a finding of each of {hosts:d} hosts in {domains:d} failure "
    "domains is known to all"
)
def step_findings(context, hosts, domains):
    async def run_fleet():
        fleet = InMemoryFleet(hosts, domains)
        running = [asyncio.ensure_future(task.run()) for task in fleet.tasks.values()]
        await asyncio.sleep(0.05)
        for task in fleet.tasks.values():
            task.report("t", Finding.GOOD, time.monotonic(), 1)
        await asyncio.sleep(0.3)
        for work in running:
            work.cancel()
        for task in fleet.tasks.values():
            task.close()
        return fleet.known

    known = asyncio.run(run_fleet())
    for host_id, found in known.items():
        others = {((other, 1), "t") for other in known if other != host_id}
        assert found == others, (host_id, others - found, found - others)


@then(
    'host decisions: with the store lost by "{names}" of h0 to h3 the hub h1 appoints '
    "{watcher}"
)
@then(
    'host decisions: with the store lost by "" of h0 to h3 the hub h1 appoints '
    "{watcher}"
)
def step_appoint(context, watcher, names=""):
    lost = {f"h{number}": f"h{number}" in names.split(",") for number in range(4)}
    found = appoint_watcher("a", "h1", lost, dict.fromkeys(lost, 1000.0))
    if watcher == "another":
        assert found != "h1" and not lost[found], found
        return
    assert found == watcher, found


@then(
    "host decisions: when the store is lost by a hub, one other host of its domain is "
    "appointed within {limit_s:g} s"
)
def step_appointed(context, limit_s):
    async def run_fleet():
        fleet = InMemoryFleet(4, 1)
        running = [asyncio.ensure_future(task.run()) for task in fleet.tasks.values()]
        await asyncio.sleep(0.6)
        before = {task.membership.watcher for task in fleet.tasks.values()}
        hub = next(task for task in fleet.tasks.values() if task.membership.is_hub)
        hub.set_store_lost(True)
        await asyncio.sleep(limit_s)
        after = {task.membership.watcher for task in fleet.tasks.values()}
        for work in running:
            work.cancel()
        for task in fleet.tasks.values():
            task.close()
        return hub.settings.host_id, before, after

    hub_id, before, after = asyncio.run(run_fleet())
    assert before == {hub_id}, (hub_id, before)
    assert len(after) == 1 and hub_id not in after, (hub_id, after)


@then(
    "host decisions: {count:d} findings of the unknown kind {kind:d} leave one log line"
)
def step_unknown_finding(context, count, kind):
    fleet = InMemoryFleet(2, 1)
    records = []
    keep = records.append
    add_destinations(keep)
    try:
        for number in range(count):
            finding = Observation("t", kind, 0, send_number=number)
            message = Gossip("h1", "d0", False, 0, observations=[finding])
            fleet.deliver(encode_message(message), ("h0", 1))
    finally:
        remove_destination(keep)
    lines = [one for one in records if one["event"] == events.FINDING_UNKNOWN.number]
    assert len(lines) == 1 and lines[0]["kind"] == kind, lines
    assert not fleet.known["h0"]


# Standing queues

SLOTS = 50
SERVICE_S = 0.1
OBJECTIVE_S = 0.4
QUEUE_LIMIT = 200


def simulate_queue(load, duration_s, queue):
    """Return the number of requests and the shares in time, answered and refused.

    All slots share one first-in, first-out queue, which rejects requests when full.
    """
    rng = random.Random(5)
    free_at = [0.0] * SLOTS
    waiting_starts = []
    counts = {"all": 0, "in time": 0, "answered": 0, "refused": 0}
    now = 0.0
    while now < duration_s:
        now += rng.expovariate(load * SLOTS / SERVICE_S)
        counts["all"] += 1
        waiting_starts = [start for start in waiting_starts if start > now]
        wait_s = len(waiting_starts) * SERVICE_S / SLOTS
        if queue is not None and queue.should_refuse(wait_s, OBJECTIVE_S, now):
            counts["refused"] += 1
            continue
        if len(waiting_starts) >= QUEUE_LIMIT:
            continue
        slot = free_at.index(min(free_at))
        start = max(now, free_at[slot])
        free_at[slot] = start + rng.uniform(0.5, 1.5) * SERVICE_S
        if start > now:
            waiting_starts.append(start)
        counts["answered"] += 1
        if free_at[slot] - now <= OBJECTIVE_S:
            counts["in time"] += 1
    total = counts.pop("all")
    return total, {name: count / total for name, count in counts.items()}


@then(
    "host decisions: at {load:g} times the capacity for {duration_s:g} s at least "
    "{more:g} more of the requests are answered in time than by the naive queue"
)
def step_standing(context, load, duration_s, more):
    context.requests, context.naive = simulate_queue(load, duration_s, None)
    _, context.shares = simulate_queue(load, duration_s, StandingQueue())
    gain = context.shares["in time"] - context.naive["in time"]
    assert gain >= more, (context.naive, context.shares)


@then(
    "host decisions: the naive queue answers no more than its length and {more:g} of "
    "all requests on top"
)
def step_answered(context, more):
    # Requests in the queue at the end of the overload are still served after it.
    queued = QUEUE_LIMIT / context.requests
    lost = context.naive["answered"] - context.shares["answered"]
    assert lost <= queued + more, (queued, context.naive, context.shares)


@then(
    "host decisions: at {load:g} times the capacity for {duration_s:g} s no request "
    "is refused"
)
def step_burst(context, load, duration_s):
    _, shares = simulate_queue(load, duration_s, StandingQueue())
    assert shares["refused"] == 0.0, shares


@then("host decisions: waits of 1 s at the seconds 0, 5 and 10 refuse nothing")
def step_far_apart(context):
    queue = StandingQueue()
    for now in (0.0, 5.0, 10.0):
        assert not queue.should_refuse(1.0, OBJECTIVE_S, now)


@then(
    "host decisions: {count:d} latencies of {queued_s:g} s behind a queue leave the "
    "time of service at {service_s:g} s"
)
def step_service(context, count, queued_s, service_s):
    sample = LatencySample()
    for _ in range(200):
        sample.add_service_time(service_s)
        sample.add(service_s)
    for _ in range(count):
        sample.add(queued_s)
    assert abs(sample.service_s - service_s) < 0.01, sample.service_s
    assert sample.quantile(0.5) == queued_s


@then(
    "host decisions: a copy of a value of {size:d} bytes and {count:d} others arrives "
    "whole"
)
def step_large_copy(context, size, count):
    view = make_view(ManualClock(100.0))
    replica = view.replica
    replica.apply(StoreItem("op/config", revision_at(5), b"x" * size))
    for number in range(count):
        replica.apply(
            StoreItem(f"servers/i-{number}", revision_at(6 + number), b"y" * 300)
        )
    replica.advance(revision_at(6 + count))

    async def fetch():
        place = SimpleNamespace(address="127.0.0.1", control_port=PORTS.next())
        clock = SystemClock()
        view.settings = place
        server = CopyServer(view, clock)
        await server.start()
        try:
            return await fetch_copy(
                place.address, place.control_port, "h2", make_view(clock), clock
            )
        finally:
            server.close()

    copied = asyncio.run(fetch())
    assert copied.revision == revision_at(6 + count) and copied.is_complete
    assert {item.key: item for item in copied.items} == replica.items


@then(
    "host decisions: {changes:d} changes of {keys:d} values of {size:d} bytes keep at "
    "most {most:d} bytes"
)
def step_kept_values(context, changes, keys, size, most):
    replica = StoreReplica()
    for number in range(changes):
        replica.apply(
            StoreItem(f"k{number % keys}", revision_at(number + 1), b"x" * size)
        )
    kept = sum(len(item.value) for item in replica.previous)
    assert 0 < kept <= most, kept
    assert replica.value_at("k19", revision_at(20)).revision == revision_at(20)


@then("host decisions: a full datagram of starts takes at most {most:d} bytes")
def step_full_datagram(context, most):
    # None, a usual and the longest name of a workspace in announcements.
    for name in (None, "w" * 20, "w" * 63, "w" * 253):
        size = full_datagram_size(name)
        assert size <= most, (name, size)


def full_datagram_size(workspace):
    task = InMemoryFleet(4, 2).tasks["h0"]
    # As after a return of the store, with a state that is kept.
    task.view.replica.advance(revision_at(10**9, 1000))
    kept = task.view.news.kept
    value = json.dumps({"version": "00000009"}).encode()
    state = kept.make_state("op/config", revision_at(10**9, 999), value, False)
    kept.by_key[state.key] = state
    outbox = Outbox()
    for number in range(100):
        outbox.observations.append(
            Observation(
                target_id="i-88e0e87b82",
                kind=int(Finding.RESENT),
                age_ms=60_000,
                send_number=100_000 + number,
                host_id="edge-floripa-a-15",
                incarnation=32_767,
                count=100_000 + number,
                workspace=workspace,
                workspace_count=workspace and 100_000 + number,
            )
        )
    message = task.make_message(outbox, to_hub=False)
    assert message.observations
    return len(encode_message(message))


@then("host decisions: a hub whose link is overdrawn holds findings and sends a notice")
def step_notice_passes(context):
    task = InMemoryFleet(4, 2).tasks["h0"]
    task.budget = LinkBudget(1.0, task.clock.now())
    task.budget.spend(1_000_000, task.clock.now())
    assert task.link_wait_s() > 1.0
    task.hub_outbox.crashes.append(CrashNotice("", "f", ["t"]))
    assert task.link_wait_s() == 0.0


# Malformed datagrams

EXTREMES = (-(2**31), -1, 0, 1, 60_001, 2**31 - 1)
INT16_MAX = 2**15 - 1


def extreme_message(rng):
    """Return a datagram whose fields have extreme values of their types."""
    small = [-INT16_MAX, -1, 0, 1, INT16_MAX]
    observations = []
    for _ in range(rng.randrange(4)):
        observations.append(
            Observation(
                target_id=rng.choice(["i-00000001", "i-00000002", "", "nobody"]),
                kind=rng.choice([*range(13), -1, INT16_MAX]),
                age_ms=rng.choice(EXTREMES),
                latency_ms=rng.choice([None, *EXTREMES]),
                in_system=rng.choice([None, *small]),
                slots=rng.choice([None, *small]),
                send_number=rng.choice(EXTREMES),
                host_id=rng.choice([None, "", "edge-0-1"]),
                incarnation=rng.choice([None, *small]),
                count=rng.choice([None, *EXTREMES]),
                target_started_ms=rng.choice([None, -1, 0, 2**62]),
            )
        )
    return Gossip(
        host_id=rng.choice(["edge-0-1", "edge-0-2", "", "nobody"]),
        failure_domain=rng.choice(["zone-0", ""]),
        to_hub=rng.random() < 0.5,
        revision=rng.choice([-1, 0, 3]),
        confirmed_ms=rng.choice([None, *EXTREMES]),
        observations=observations or None,
        crashes=[CrashNotice("", "f", ["i-00000001"], rng.choice(EXTREMES), None)],
        changes_after=rng.choice([None, -1, 0, 3]),
        changes=rng.choice([None, [ItemChange("servers/i-00000001", 9, b"\xff")]]),
        heard=rng.choice([None, [""], ["nobody"]]),
        store_lost=rng.choice([None, True, False]),
        watcher=rng.choice([None, "", "nobody"]),
    )


def damaged_datagram(rng, damage):
    data = bytearray(encode_message(extreme_message(rng)))
    if "flipped" not in damage:
        return bytes(data)
    for _ in range(rng.randrange(1, 4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    if rng.random() < 0.3:
        del data[rng.randrange(len(data)) :]
    return bytes(data)


@then(
    "host decisions: {count:d} {damage} datagrams leave estimates, counts and the "
    "store's state in range, seed {seed:d}"
)
def step_malformed(context, count, damage, seed):
    rng = random.Random(seed)
    fleet = VirtualFleet([100.0] * 3, 1, configuration(1, list(ROUTES)), targets=3)
    host = fleet.hosts["edge-0-0"]
    host.gossip.crashes = SimpleNamespace(apply_notice=lambda notice: None)

    async def scenario():
        await asyncio.sleep(3.0)
        before = host.view.replica.revision
        for _ in range(count):
            host.gossip.datagram_received(damaged_datagram(rng, damage), ("x", 1))
        return before

    before = fleet.run(scenario())
    view = host.view
    assert host.gossip.rejected > count // 10, host.gossip.rejected
    assert set(view.targets) == {f"i-{n:08x}" for n in range(3)}, view.targets
    for target in view.targets.values():
        assert 0.0 < target.health.failure_probability(fleet.loop.now) < 1.0
        assert 0.0 <= target.in_system(fleet.loop.now, 0.1) < 100_000
    assert 0.0 <= view.latencies_of("pedidos").quantile(0.92) <= 60.0
    assert view.replica.revision == before
    assert view.replica.confirmed_at <= fleet.loop.now
    allowance = view.allowance_of("pedidos")
    assert allowance.remote_count() <= 5_000 * count


@then(
    "host decisions: {many:d} targets that are listed and removed at once take at most "
    "{most:d} log lines, and {few:d} take {lines:d}"
)
def step_listing_lines(context, many, most, few, lines):
    def count_lines(count):
        written = []
        view = make_view(ManualClock(100.0))
        items = []
        for number in range(count):
            key = f"{documents.TARGET_PREFIX}t{number}"
            items.append(StoreItem(key, revision_at(number + 1), target_entry(number)))
        add_destinations(written.append)
        try:
            view.news.apply_listing(documents.TARGET_PREFIX, items, revision_at(count))
            assert len(view.targets) == count
            view.news.apply_listing(documents.TARGET_PREFIX, [], revision_at(count + 1))
            assert not view.targets
        finally:
            remove_destination(written.append)
        return len(written)

    assert count_lines(few) == lines
    assert few < count_lines(many) <= most, count_lines(many)


DATAGRAMS = {
    "a change that is newer than its revision": {
        "changes": [ItemChange("servers/t", 12, b"x")],
        "changes_after": 9,
    },
    "an age of the confirmation of a minute": {"confirmed_ms": 60_000},
    "a change of a negative revision": {"changes": [ItemChange("servers/t", -1, b"x")]},
    "changes that follow a later revision": {"changes_after": 11},
    "a negative age of the confirmation": {"confirmed_ms": -1},
    "a change without a key": {"changes": [ItemChange(None, 9, b"x")]},
    "no host": {"host_id": ""},
}


@then("host decisions: a datagram with {content} is {verdict:w}")
def step_datagram(context, content, verdict):
    fields = {"host_id": "h1", "failure_domain": "d", "to_hub": False, "revision": 10}
    try:
        check_gossip(Gossip(**fields | DATAGRAMS[content]))
    except MessageRejected:
        assert verdict == "rejected"
        return
    assert verdict == "accepted"


@then(
    "host decisions: a request that comes {late_s:g} s into a stop of {grace_s:d} s "
    "with {left_s:g} s left is {result:w}"
)
def step_late_in_stop(context, late_s, grace_s, left_s, result):
    clock = ManualClock(100.0)
    view = make_view(clock)
    routes = copy.deepcopy(list(ROUTES))
    routes[1]["spec"]["timeoutMs"] = 1000 * grace_s
    document = json.dumps(configuration(1, routes)).encode()
    view.news.apply([StoreItem(documents.CONFIGURATION_KEY, revision_at(1), document)])
    forwarded = []

    async def forward(exchange):
        forwarded.append(exchange)
        return refusal_answer(HostReason.NO_TARGET)

    forwarder = SimpleNamespace(
        run=forward, crashes=SimpleNamespace(is_refused=lambda exchange: False)
    )
    log = SimpleNamespace(finished=lambda exchange, answer: None)
    proxy = HostProxy(view, forwarder, headers, log, clock, random.Random(1))
    proxy.begin_stop(clock.now(), grace_s - STOP_MARGIN_S)
    clock.advance(late_s)
    request = SimpleNamespace(
        method="POST",
        raw_target=b"/order/1",
        headers=[
            (b"host", HOST.encode()),
            (b"x-deadline-remaining", b"%d" % (left_s * 1000)),
        ],
        body=SimpleNamespace(length=0, limit=lambda most: None, charge=NULL_CHARGE),
        received_at=clock.now(),
    )
    answer = asyncio.run(proxy.handle(request))
    if result == "forwarded":
        assert len(forwarded) == 1
        return
    assert not forwarded
    assert (answer.status, answer.reason) == (503, "stopping"), answer
    assert answer.outcome is CallerOutcome.NOT_RUN
