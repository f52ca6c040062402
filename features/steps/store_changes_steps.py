"""Steps on what hosts tell each other about the store, in virtual time."""

import asyncio
import json
import random

import orjson
from behave import given, then, when

from features.support.host_group import (
    OTHER_HOST,
    HostGroup,
    ScriptedStore,
    configuration_of,
    learn,
)
from features.support.revisions import revision_at
from features.support.store_troubles import (
    TROUBLES,
    StoreWriter,
    trouble_of,
    write_for,
)
from features.support.thin_links import (
    CURRENT_HOST,
    LATENCY_S,
    Link,
    VirtualFleet,
    target_entry,
)
from oleanderroute.clock import SystemClock
from oleanderroute.decisions.replica import StoreReplica, digest_of
from oleanderroute.decisions.store_history import UNNAMED_ERA
from oleanderroute.errors import HistoryLost
from oleanderroute.host.model import ItemPage, StoreItem
from oleanderroute.host.outbox import Outbox
from oleanderroute.platform import documents
from oleanderroute.platform.kv import KvClient, decode_items

# Bound on a change until it is in force, of the users' pages.
APPLY_S = 2.0
WRITING_S = 1.5
START_SPREAD_S = 0.3
# Long enough for a watch to fail.
REFUSED_S = 1.2
COUNTED_S = 10.0
# A copy takes two round trips between two hosts.
UNDER_WAY_S = 2 * LATENCY_S
LEAVING_ENTRY = target_entry(1, state="draining")
CHANGES = {
    "a configuration": ("op/config", configuration_of(2, False)),
    "a large configuration": ("op/config", configuration_of(2, True)),
    "a target that leaves": ("servers/i-00000001", LEAVING_ENTRY),
    "a removed target": ("servers/i-00000001", None),
    "a removed host": (documents.HOST_PREFIX + "edge-9", None),
    "a new host": (documents.HOST_PREFIX + "edge-8", OTHER_HOST),
    "a target": ("servers/i-00000008", target_entry(8)),
    "a host": (documents.HOST_PREFIX + "edge-8", OTHER_HOST),
}


@given("store changes: two hosts with 3 targets and a configuration")
def step_group(context):
    context.group = HostGroup()


@when(
    "store changes: one host learns of {change} from elsewhere while it prepares "
    "{message}"
)
def step_prepare(context, change, message):
    group = context.group
    sender = group.hub
    early = group.write(*CHANGES[change])
    late = group.write("servers/i-00000002", target_entry(2, cold_ms=500))

    def watched_page():
        learn(sender, [early])
        return ItemPage([early, late], late.revision)

    def history_lost():
        raise HistoryLost("scripted")

    def listed_page(prefix):
        if early.revision > sender.view.replica.revision:
            learn(sender, [early])
        items = [x for x in group.shared.items.values() if x.key.startswith(prefix)]
        return ItemPage(items, late.revision)

    async def relay():
        # A listing in pages has items that are newer than the revision it is good for.
        sender.view.news.apply([early])
        changes, patches = sender.gossip.patch_maker.split_changes([early, late], {})
        message = group.member.gossip.make_message(Outbox(), to_hub=True)
        message.host_id = "edge-9"
        message.revision = late.revision.number
        message.changes_after = group.revision.number
        message.changes = changes
        message.patches = patches
        sender.gossip.apply_changes(message)

    if message == "a relayed change":
        group.run(relay())
        return
    on_watch = watched_page if message == "a watched page" else history_lost
    sender.follower.store = ScriptedStore(on_watch, listed_page)
    group.run(sender.follower.watch_once())


@when(
    "store changes: one host learns of {change} while {copy} of the other one is under "
    "way"
)
def step_copy_under_way(context, change, copy):
    group = context.group
    sender, receiver = group.hub, group.member
    early = group.write(*CHANGES[change])
    late = group.write("servers/i-00000002", target_entry(2, cold_ms=500))
    learn(sender, [early, late])
    if copy == "a whole copy":
        sender.view.replica.removals_known_after = late.revision

    async def fetch():
        CURRENT_HOST.set(receiver.settings.address)
        address, port = sender.settings.address, sender.settings.control_port
        fetching = asyncio.ensure_future(receiver.follower.fetch_from(address, port))
        await asyncio.sleep(UNDER_WAY_S)
        assert not fetching.done()
        learn(receiver, [early])
        await fetching

    group.run(fetch())


def list_store(group):
    """Let the hub list the store after another change."""
    late = group.write("servers/i-00000002", target_entry(2, cold_ms=500))

    def listed_page(prefix):
        items = [x for x in group.shared.items.values() if x.key.startswith(prefix)]
        return ItemPage(items, late.revision)

    group.hub.follower.store = ScriptedStore(None, listed_page)
    group.run(group.hub.follower.list_once())


@when(
    "store changes: one host lists the store after another has seen {key} come, and it "
    "went"
)
def step_list_gone(context, key):
    group = context.group
    learn(group.member, [group.write(*CHANGES[key])])
    group.write(CHANGES[key][0], None)
    list_store(group)


@when("store changes: one host lists the store while both know {key}")
def step_list_known(context, key):
    group = context.group
    known = group.write(*CHANGES[key])
    for host in (group.hub, group.member):
        learn(host, [known])
    list_store(group)


@when("store changes: a {answer} tells of {key} after a whole copy without it has come")
def step_late_answer(context, answer, key):
    group = context.group
    group.write(*CHANGES[key])
    earlier = list(group.shared.items.values())
    earlier_revision = group.shared.revision
    news = group.shared.history[-1:]
    group.write(CHANGES[key][0], None)
    late = group.write("servers/i-00000002", target_entry(2, cold_ms=500))

    def receive_copy():
        items = list(group.shared.items.values())
        for host in (group.hub, group.member):
            host.view.news.apply_listing("", items, late.revision)
            host.view.replica.advance(late.revision)

    def watched_page():
        receive_copy()
        return ItemPage(news, earlier_revision)

    def listed_page(prefix):
        receive_copy()
        items = [x for x in earlier if x.key.startswith(prefix)]
        return ItemPage(items, earlier_revision)

    follower = group.hub.follower
    follower.store = ScriptedStore(watched_page, listed_page)
    is_watch = answer == "watched page"
    group.run(follower.watch_once() if is_watch else follower.list_once())


ODD_VALUES = {
    "a value nested 100000 deep": b"[" * 100_000,
    "a value that is no text": b"\xff\xfe",
    "half of a character": b'{"address": "\\ud800"}',
}
ODD_FIELDS = {
    "a port of 5000 digits": ("address", "10.9.0.2:" + "1" * 5000),
    "a port of 65536": ("address", "10.9.0.2:65536"),
    "a port of digits not in ASCII": ("address", "10.9.0.2:\u0661\u0662"),
    "a name of no host": ("address", "a..b:80"),
    "an address with a line break": ("address", "10.9.0.2\r\n:80"),
    "slots beyond 64 bits": ("slots", 10**30),
    "more slots than requests": ("slots", 2**63),
    "a start beyond a message": ("born", 2**63),
    "a negative start": ("born", -(2**63)),
    "a slowness without end": ("coldRemainingMs", 1e308),
}
ODD_IDS = {
    "a line break in its id": "i-1\r\nX-Attempt-Id: 1",
    "an id beyond latin letters": "i-\u65e5",
    "no id": "",
}


def odd_entry(oddity):
    """Return the key and the value of an entry."""
    key = f"servers/{ODD_IDS.get(oddity, 'i-odd')}"
    if oddity in ODD_VALUES:
        return key, ODD_VALUES[oddity]
    document = orjson.loads(target_entry(7))
    name, value = ODD_FIELDS.get(oddity, ("born", 1))
    place = document
    if name == "slots":
        place = document["info"]
    elif name == "coldRemainingMs":
        place = document["status"]
    place[name] = value
    return key, json.dumps(document).encode()


@when("store changes: a watched page and a listing hold an entry with {oddity}")
def step_odd_entry(context, oddity):
    group = context.group
    odd = group.write(*odd_entry(oddity))
    group.write(*CHANGES["a target that leaves"])
    late = group.write(*CHANGES["a configuration"])
    news = group.shared.history[-3:]

    def listed_page(prefix):
        items = [x for x in group.shared.items.values() if x.key.startswith(prefix)]
        return ItemPage(items, late.revision)

    watcher, lister = group.hub.follower, group.member.follower
    watcher.store = ScriptedStore(lambda: ItemPage(news, late.revision))
    lister.store = ScriptedStore(None, listed_page)

    async def read():
        await watcher.watch_once()
        await lister.list_once()

    group.run(read())
    context.odd_id = odd.key.removeprefix("servers/")


@then(
    "store changes: no host has a target of it, and the others are as they were listed"
)
def step_no_odd_target(context):
    for host in (context.group.hub, context.group.member):
        assert context.odd_id not in host.view.targets, host.view.targets
        listed = {f"i-{number:08x}" for number in range(3)}
        assert set(host.view.targets) == listed
        assert host.view.targets["i-00000001"].entry.is_leaving
        assert host.view.configuration.version == 2


@when("store changes: a watched page holds an item whose value is no base64")
def step_undecodable(context):
    group = context.group
    revision = group.shared.put("servers/i-00000001", b"")
    entry = {"key": "servers/i-00000001", "revision": revision.number, "value": "%"}
    items = decode_items({"events": [entry]}, "events", revision.era)
    page = ItemPage(items, revision)
    group.hub.follower.store = ScriptedStore(lambda: page)
    group.run(group.hub.follower.watch_once())


UNREADABLE_ITEMS = {
    "an item that is no object": "servers/i-1",
    "an item without a key": {"revision": 7, "value": ""},
    "an item without a revision": {"key": "servers/i-1", "value": ""},
    "an item with a broken revision": {"key": "servers/i-1", "revision": "7"},
}


@when("store changes: a watched page holds {oddity}")
def step_unreadable(context, oddity):
    events = [UNREADABLE_ITEMS[oddity], {"key": "k", "revision": 8, "value": ""}]

    async def answer(*arguments, **options):
        return 200, {"events": events, "atRev": 8}, UNNAMED_ERA

    async def watch():
        client = KvClient("127.0.0.1:1", lambda name: None, SystemClock())
        client.call = answer
        try:
            return await client.watch("", revision_at(6), 1.0)
        except HistoryLost as error:
            return error

    context.outcome = asyncio.run(watch())


@then("store changes: the watch says that changes are lost")
def step_watch_lost(context):
    assert isinstance(context.outcome, HistoryLost), context.outcome


@then("store changes: no host uses the target of that item")
def step_undecodable_unused(context):
    for host in (context.group.hub, context.group.member):
        assert "i-00000001" not in host.view.targets


@then("store changes: the other host has all that the first one has")
def step_same(context):
    group = context.group
    for host in (group.hub, group.member):
        replica = host.view.replica
        assert replica.revision == group.shared.revision, replica.revision
        assert replica.items == group.shared.items, difference(group.shared, replica)
    assert group.hub.view.configuration == group.member.view.configuration


def difference(shared, replica):
    """Return the keys whose revision in a replica is not that of the store."""
    found = {}
    for key in replica.items.keys() | shared.items.keys():
        known, stored = replica.items.get(key), shared.items.get(key)
        if known != stored:
            found[key] = (known and known.revision, stored and stored.revision)
    return found


def view_difference(shared, view):
    """Return the targets that a host would not use as the store lists them.

    A target that may return after an outage of the store is in use for a while.
    """
    used = {}
    for target_id, target in view.targets.items():
        if target_id not in view.awaiting_return:
            used[target_id] = target.entry.is_leaving
    listed = {}
    for key, item in shared.items.items():
        if key.startswith(documents.TARGET_PREFIX):
            entry = documents.decode_target(key, item.value)
            listed[entry.target_id] = entry.is_leaving
    found = {}
    for target_id in used.keys() | listed.keys():
        known, stored = used.get(target_id), listed.get(target_id)
        if known != stored:
            found[target_id] = (known, stored)
    return found


@given(
    "store changes: {domains:d} failure domain of {hosts:d} hosts, {targets:d} "
    "targets and a large configuration"
)
@given(
    "store changes: {domains:d} failure domains of {hosts:d} hosts, {targets:d} "
    "targets and a large configuration"
)
def step_fleet(context, domains, hosts, targets):
    document = orjson.loads(configuration_of(1, True))
    context.fleet = VirtualFleet([100.0] * hosts, domains, document, targets)


@when("store changes: a host deregisters and drains for {drain_s:g} s")
def step_deregister(context, drain_s):
    fleet = context.fleet
    host = fleet.hosts["edge-0-1"]
    key, _ = documents.encode_host(host.settings)

    async def scenario():
        await asyncio.sleep(3.0)
        assert key in fleet.shared.items
        await host.follower.deregister()
        await asyncio.sleep(drain_s)

    written_before = len(fleet.shared.history)
    fleet.run(scenario())
    news = [x for x in fleet.shared.history[written_before:] if x.key == key]
    context.states = [item.value is not None for item in news]


@then("store changes: its entry stays removed")
def step_stays_removed(context):
    assert context.states == [True, False], context.states


@when(
    "store changes: the store refuses the hubs once, and {pass_s:d} s pass, seed "
    "{seed:d}"
)
def step_refuse_hubs(context, pass_s, seed):
    fleet = context.fleet
    fleet.loop.rng.seed(seed)
    fleet.start_spread_s = START_SPREAD_S

    async def scenario():
        await asyncio.sleep(3.0)
        for host in fleet.hosts.values():
            if host.gossip.membership.is_hub:
                until = fleet.loop.now + REFUSED_S
                fleet.shared.refused_until[host.settings.address] = until
        await asyncio.sleep(pass_s - COUNTED_S)
        before = dict(fleet.shared.watches_by_address)
        await asyncio.sleep(COUNTED_S)
        context.watching = set()
        for address, watches in fleet.shared.watches_by_address.items():
            if watches > before.get(address, 0):
                context.watching.add(address)

    fleet.run(scenario())


@then("store changes: at most two hosts have watched the store in the last 10 s")
def step_few_watch(context):
    # One for each failure domain.
    assert len(context.watching) <= 2, context.watching


def choose_hosts(fleet, name):
    """Return the hosts that a row names, all of the first failure domain."""
    of_domain = [host for key, host in fleet.hosts.items() if key.startswith("edge-0-")]
    if name == "all hosts of a domain":
        return of_domain
    is_hub = name == "a hub"
    chosen = [x for x in of_domain if x.gossip.membership.is_hub == is_hub]
    return chosen[:1]


def miss_change(fleet, hosts, change):
    """Write a change and let hosts believe that they know the newest revision."""
    shared = fleet.shared
    if change == "that the configuration still lives":
        revision = shared.put("servers/i-00000002", target_entry(2, cold_ms=500))
        missed = [shared.items["servers/i-00000002"]]
        missed.append(StoreItem("op/config", revision, None))
        for host in hosts:
            host.view.news.apply(missed)
    elif change == "a removed target":
        shared.remove("servers/i-00000001")
    elif change == "a configuration":
        shared.put("op/config", configuration_of(2, True))
    else:
        shared.put(*CHANGES[change])
    for host in hosts:
        host.view.replica.advance(shared.revision)


@when("store changes: {hosts} miss {change}, although their revision is the newest")
def step_miss(context, hosts, change):
    fleet = context.fleet
    fleet.loop.links["10.0.0.77"] = Link(100.0)
    context.differences = []

    async def scenario():
        await asyncio.sleep(3.0)
        miss_change(fleet, choose_hosts(fleet, hosts), change)
        await asyncio.sleep(APPLY_S)
        version = 2 if change == "a configuration" else 1
        context.differences += fleet_differences(fleet, version)

    fleet.run(scenario())


@when(
    "store changes: a member misses a configuration while the store refuses it for "
    "{refused_s:d} s"
)
def step_miss_refused(context, refused_s):
    fleet = context.fleet
    context.differences = []

    async def scenario():
        await asyncio.sleep(3.0)
        members = choose_hosts(fleet, "a member")
        until = fleet.loop.now + refused_s
        fleet.shared.refused_until[members[0].settings.address] = until
        miss_change(fleet, members, "a configuration")
        await asyncio.sleep(refused_s + APPLY_S)
        context.differences += fleet_differences(fleet, 2)

    fleet.run(scenario())


@when(
    "store changes: a key of revision 3 was removed at {removal:d}, then listed by "
    "{reader} at {listing:d}, known up to {known:d}"
)
def step_listed_after_removal(context, removal, reader, listing, known):
    item = StoreItem("servers/i-1", revision_at(3), b"x")
    replica = StoreReplica()
    for change in (item, StoreItem(item.key, revision_at(removal), None)):
        replica.apply(change)
    replica.advance(revision_at(known))
    is_from_store = reader == "the host"
    replica.replace(
        "servers/", [item], revision_at(listing), is_from_store=is_from_store
    )
    context.replica = replica


@then("store changes: the key is {outcome}")
def step_outcome(context, outcome):
    replica = context.replica
    is_there = "servers/i-1" in replica.items
    assert is_there == (outcome == "there"), replica.items
    assert replica.item_digest == (
        digest_of("servers/i-1", revision_at(3)) if is_there else 0
    )
    assert len(set(replica.change_order)) == len(replica.change_order)


@when("store changes: one host has read a listing that is newer in parts")
def step_listing_in_parts(context):
    group = context.group
    group.hub.view.news.apply([group.write(*CHANGES["a new host"])])
    group.run(asyncio.sleep(APPLY_S))


@then("store changes: no host has found a difference")
def step_no_difference(context):
    fleet = context.fleet if "fleet" in context else context.group.fleet
    assert fleet.differences_found() == 0


def fleet_differences(fleet, version):
    """Return the hosts that differ from the store, and in what."""
    differences = []
    for host_id, host in fleet.hosts.items():
        found = difference(fleet.shared, host.view.replica)
        found.update(view_difference(fleet.shared, host.view))
        known = host.view.configuration
        in_force = known and known.version
        if found or in_force != version:
            differences.append((host_id, in_force, version, found))
    return differences


@when(
    "store changes: the fleet {trouble} while the store is written to, {rounds:d} "
    "times, seed {seed:d}"
)
def step_write(context, trouble, rounds, seed):
    fleet = context.fleet
    fleet.loop.rng.seed(seed)
    fleet.start_spread_s = 0.3
    writer = StoreWriter(fleet.shared, random.Random(seed), len(fleet.shared.items) - 1)
    context.differences = []

    async def scenario():
        for number in range(rounds):
            async with trouble_of(fleet, TROUBLES[trouble], writer):
                await write_for(fleet, writer, WRITING_S)
            await asyncio.sleep(APPLY_S)
            for late in fleet_differences(fleet, writer.version):
                context.differences.append((number, *late))

    fleet.run(scenario())


@then("store changes: 2 s after each time all hosts have what the store holds")
def step_all_same(context):
    assert not context.differences, context.differences
