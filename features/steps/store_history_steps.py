"""Steps on a store that comes back from an older copy."""

import asyncio
import random

import orjson
from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as given_values

from features.support.drill_fleet import DrillFleet
from features.support.drill_waves import DrillWaves
from features.support.drills import Drill
from features.support.fleet_views import make_view
from features.support.host_group import HostGroup, ScriptedStore, configuration_of
from features.support.platform_fleet import PlatformFleet
from features.support.revisions import revision_at
from features.support.thin_links import CURRENT_HOST, target_entry
from oleanderroute.clock import ManualClock
from oleanderroute.decisions.store_history import StoreLease
from oleanderroute.errors import (
    HistoryLost,
    HistoryReplaced,
    LeaseUnknown,
    StoreUnavailable,
)
from oleanderroute.host.model import ItemPage, StoreItem
from oleanderroute.host.outbox import Outbox
from oleanderroute.host.store_news import StoreCopy
from oleanderroute.peer.codec import encode_message
from oleanderroute.platform import documents
from oleanderroute.platform.kv import KvClient

TARGET_KEY = documents.TARGET_PREFIX + "i-1"
NEW_KEY = documents.TARGET_PREFIX + "i-new"
ODD_VALUE = b"\xff{"
BORN = 1_700_000_000_000
FIRST_ERA, SECOND_ERA = 1, 2
KNOWN_NUMBER, COPIED_NUMBER = 118, 110
CALLS_S = 10.0
REGISTERED_S = 3.0
# A host that starts lists, registers, and watches the store until it hears others.
START_CALLS = 3 + 2 + 2
# One that is appointed for a moment may list, and watches in that time.
APPOINTED_CALLS = 3 + 2


def parse_revision(text):
    era, number = text.split(", ")
    return revision_at(int(number), int(era))


# What a message of a history says


@given("store history: a host that knows the store up to era and number {known}")
def step_known(context, known):
    context.known = parse_revision(known)
    group = context.group = HostGroup()
    context.host = group.hub
    items = [
        StoreItem(key, context.known, item.value)
        for key, item in group.shared.items.items()
    ]
    context.items = items
    for host in (group.hub, group.member):
        host.view.replica.__init__(host.view.replica.prefixes)
        host.view.news.enter_history(items, context.known)
        host.view.replica.advance(context.known)
        host.view.replica.confirmed_at = None
    context.asked = []
    context.listed = []
    group.hub.gossip.on_newer_revision = lambda host_id, at: context.asked.append(at)


def new_item(sent):
    return StoreItem(NEW_KEY, sent, target_entry(7))


def listing_of(context, sent, read_prefixes=None):
    """Return a store whose listings are at ``sent`` and hold a new target."""

    def read(prefix):
        context.listed.append(prefix)
        found = [new_item(sent)]
        for item in context.items:
            found.append(StoreItem(item.key, sent, item.value))
        return ItemPage([x for x in found if x.key.startswith(prefix)], sent)

    return read


def watch_of(known, sent, is_refused):
    """Return how a watch after ``known`` ends in a store at ``sent``."""

    def watch():
        if sent.era > known.era:
            raise HistoryReplaced(sent.era)
        if is_refused:
            raise HistoryLost("scripted")
        return ItemPage([new_item(sent)], sent)

    return watch


def make_message(context, sent, **fields):
    message = context.group.member.gossip.make_message(Outbox(), to_hub=False)
    message.revision = sent.number
    message.era = sent.era or None
    for name, value in fields.items():
        setattr(message, name, value)
    return message


def receive_answer(context, sent, message):
    follower = context.host.follower
    is_refused = message == "a refused watch"
    on_watch = watch_of(context.known, sent, is_refused)
    follower.store = ScriptedStore(on_watch, listing_of(context, sent))
    is_listing = message == "a listing"
    context.group.run(follower.list_once() if is_listing else follower.watch_once())


def receive_datagram(context, sent, message):
    fields = {"confirmed_ms": None}
    if message == "changes":
        changes, _ = context.group.member.gossip.patch_maker.split_changes(
            [new_item(sent)], {}
        )
        fields |= {"changes": changes, "changes_after": min(118, sent.number - 1)}
    if message == "a confirmation":
        fields = {"confirmed_ms": 0}

    async def receive():
        gossip = context.host.gossip
        datagram = make_message(context, sent, **fields)
        gossip.datagram_received(encode_message(datagram), ("10.0.0.2", 1))
        context.confirmed_at = context.host.view.replica.confirmed_at

    context.group.fleet.loop.run_until_complete(receive())
    context.group.fleet.loop.close()


def receive_copy(context, sent, message):
    items = [new_item(sent)]
    if message == "a whole copy":
        items += [StoreItem(x.key, sent, x.value) for x in context.items]
    copy = StoreCopy(sent, message == "a whole copy", items)
    context.host.view.news.apply_copy(copy, "edge-9")
    context.group.fleet.loop.close()


RECEIVERS = {
    "a watched page": receive_answer,
    "a refused watch": receive_answer,
    "a listing": receive_answer,
    "changes": receive_datagram,
    "a revision": receive_datagram,
    "a confirmation": receive_datagram,
    "a whole copy": receive_copy,
    "a partial copy": receive_copy,
}


@when("store history: it gets {message} at {sent}")
def step_get(context, message, sent):
    context.sent = parse_revision(sent)
    RECEIVERS[message](context, context.sent, message)


@then("store history: the outcome is that it {outcome}")
def step_outcome(context, outcome):
    replica = context.host.view.replica
    has_taken = NEW_KEY in replica.items and replica.revision == context.sent
    if outcome in ("takes it", "reads all items"):
        assert has_taken, (replica.revision, context.sent)
        # One listing has a call for each of three prefixes.
        assert len(context.listed) in (0, 3), context.listed
        if outcome == "reads all items":
            assert context.listed
        return
    assert not has_taken and replica.revision == context.known, replica.revision
    if outcome == "does not believe it":
        assert context.confirmed_at is None
        return
    if outcome == "asks their sender":
        assert context.asked and context.asked[0] == context.sent, context.asked
        return
    assert not context.asked, context.asked
    if outcome == "believes it":
        assert context.confirmed_at is not None


# What stays in use


def value_of(text):
    """Return the key and the value that a cell of the table stands for.

    "ready 4" is the fourth report of a target, "ready 1 of b2" the first one of its
    next process.
    """
    words = text.split()
    if text == "an odd value":
        return ODD_VALUE
    if words[0] == "version":
        return configuration_of(int(words[1]), False)
    document = orjson.loads(target_entry(1))
    document["status"]["state"] = "ready" if words[0] == "ready" else "draining"
    document["status"]["seqNo"] = int(words[1])
    document["born"] = BORN + (1000 if words[-1] == "b2" else 0)
    return orjson.dumps(document)


def key_of(context, text):
    words = text.split()
    if words[0] == "version":
        context.key = documents.CONFIGURATION_KEY
    elif words[0] in ("ready", "leaving", "left"):
        context.key = TARGET_KEY
    return context.key


@given("store history: a host that knows {known}")
def step_host_knows(context, known):
    context.clock = ManualClock(100.0)
    context.view = make_view(context.clock)
    context.key = None
    news = context.view.news
    items = [StoreItem("servers/i-9", revision_at(90, FIRST_ERA), target_entry(9))]
    news.enter_history(items, revision_at(100, FIRST_ERA))
    context.view.replica.advance(revision_at(100, FIRST_ERA))
    number = KNOWN_NUMBER
    if known.startswith("left after "):
        earlier = "ready " + known.removeprefix("left after ")
        key = key_of(context, earlier)
        write(context, key, value_of(earlier), revision_at(number - 1, FIRST_ERA))
        write(context, key, None, revision_at(number, FIRST_ERA))
    elif known != "nothing":
        key = key_of(context, known)
        write(context, key, value_of(known), revision_at(number, FIRST_ERA))
    context.clock.advance(10.0)


def write(context, key, value, revision):
    context.view.news.apply([StoreItem(key, revision, value)])
    context.view.replica.advance(revision)


@when("store history: the store comes back with {copied}")
def step_comes_back(context, copied):
    listed_at = revision_at(COPIED_NUMBER, SECOND_ERA)
    items = [StoreItem("servers/i-9", revision_at(90, SECOND_ERA), target_entry(9))]
    if copied != "nothing":
        key = key_of(context, copied)
        items.append(StoreItem(key, listed_at, value_of(copied)))
    context.view.news.enter_history(items, listed_at)
    context.view.replica.advance(listed_at)


@when("store history: then {written} is written")
def step_written(context, written):
    if written == "nothing":
        return
    value = None if written == "a removal" else value_of(written)
    key = context.key or key_of(context, written)
    write(context, key, value, revision_at(COPIED_NUMBER + 1, SECOND_ERA))


@when("store history: {after:g} s pass")
def step_pass(context, after):
    context.clock.advance(after)
    context.view.remove_unreturned_targets(context.clock.now())


@then("store history: the host uses {in_use}")
def step_in_use(context, in_use):
    assert describe_use(context.view, context.key) == in_use
    assert "i-9" in context.view.targets


def describe_use(view, key):
    """Return what a view uses of a key, as a cell of the table."""
    if key == documents.CONFIGURATION_KEY:
        found = view.configuration
        return "nothing" if found is None else f"version {found.version}"
    target = view.targets.get("i-1")
    if target is None:
        return "nothing"
    entry = target.entry
    state = "leaving" if entry.is_leaving else "ready"
    process = "" if entry.started_ms == BORN else " of b2"
    return f"{state} {entry.report_number}{process}"


# Calls of a host whose store answers oddly


class OddStore:
    """A store whose answers bring a host nothing; it counts the calls.

    Parameters
    ----------
    loop : VirtualLoop
    answers : str
        As the row of the table says.
    """

    def __init__(self, loop, answers):
        self.loop = loop
        self.answers = answers
        self.calls = 0
        self.era = SECOND_ERA

    def next_revision(self, number=KNOWN_NUMBER):
        if self.answers == "names another era in each answer":
            self.era += 1
        return revision_at(number, self.era)

    async def read_prefix(self, prefix):
        self.calls += 1
        await asyncio.sleep(0.004)
        is_below = self.answers == "lists at a revision below that of the watch"
        revision = self.next_revision(KNOWN_NUMBER - 50 * is_below)
        if self.answers == "answers each watch with 410 and a later era":
            revision = revision_at(KNOWN_NUMBER, SECOND_ERA)
        value = configuration_of(1, False)
        item = StoreItem(documents.CONFIGURATION_KEY, revision, value)
        return ItemPage([item] if prefix == item.key else [], revision)

    async def watch(self, prefix, after, wait_s):
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.answers == "answers each watch with 410 and a later era":
            raise HistoryReplaced(after.era + 1)
        if self.answers == "names another era in each answer":
            raise HistoryReplaced(self.next_revision().era)
        if self.answers == "goes back an era":
            raise StoreUnavailable("an answer of an earlier era")
        if "410" in self.answers or "lists" in self.answers:
            raise HistoryLost("scripted")
        if "older page" in self.answers:
            old = revision_at(KNOWN_NUMBER - 9, after.era)
            return ItemPage([StoreItem("servers/i-1", old, None)], old)
        if "empty page" in self.answers:
            return ItemPage([], after)
        await asyncio.sleep(wait_s)
        return ItemPage([], after)

    async def create_lease(self, ttl_s):
        self.calls += 1
        await asyncio.sleep(0.004)
        return StoreLease(self.era, self.calls)

    async def renew_lease(self, lease):
        self.calls += 1
        await asyncio.sleep(0.004)
        if "renewed" in self.answers:
            raise LeaseUnknown("scripted")

    async def write(self, key, value, lease):
        self.calls += 1
        await asyncio.sleep(0.004)
        if "written" in self.answers:
            raise LeaseUnknown("scripted")
        return revision_at(KNOWN_NUMBER, self.era)

    async def remove(self, key, revision):
        self.calls += 1


@when("store history: a host follows a store that {answers} for 10 s")
def step_follow_odd(context, answers):
    group = HostGroup()
    store = OddStore(group.fleet.loop, answers)
    follower, recorder = group.hub.follower, group.hub.recorder
    follower.store = recorder.store = store

    async def follow():
        CURRENT_HOST.set(group.hub.settings.address)
        works = [asyncio.ensure_future(follower.run())]
        if "record" in answers:
            works.append(asyncio.ensure_future(recorder.run()))
        else:
            works.append(asyncio.ensure_future(follower.keep_registered()))
        for _ in range(int(CALLS_S)):
            # Enough repeats that a record is due, as far as the hub may write one.
            for _ in range(10):
                group.hub.view.count_own_send("pedidos", is_repeat=True)
            await asyncio.sleep(1.0)
        for work in works:
            work.cancel()

    group.run(follow())
    context.calls = store.calls


@then("store history: it has made at most {most:d} calls")
def step_calls(context, most):
    # A host that has given up would make none.
    assert CALLS_S / 2 <= context.calls <= most, context.calls


@then(
    'store history: an answer with an era of "{header}" after era {known:d} is of era '
    "{era:d}"
)
@then(
    'store history: an answer with an era of "" after era {known:d} is of era {era:d}'
)
def step_era(context, known, era, header=None):
    client = KvClient("127.0.0.1:1", lambda name: None, ManualClock(0.0))
    client.era = known
    headers = [(b"content-type", b"application/json")]
    if header is not None:
        headers.append((b"store-era", header.encode()))
    assert client.read_era(headers) == era
    is_readable = header is not None and header.isdigit() and len(header) < 19
    assert client.unreadable_eras == (0 if is_readable else 1)


# Hosts that exchange copies

REPORTS = strategies.integers(min_value=1, max_value=6)
STATES = strategies.sampled_from(["ready", "leaving", "left"])
HOST_PAIRS = strategies.lists(
    strategies.tuples(strategies.integers(0, 2), strategies.integers(0, 2)), max_size=8
)
ALL_PAIRS = [(a, b) for a in range(3) for b in range(3) if a != b]


def copy_of(view):
    """Return the copy that a host sends to another one."""
    kept = view.news.kept
    items = list(view.replica.items.values())
    states = list(kept.by_key.values())
    return StoreCopy(view.replica.revision, True, items, states, kept.listed_at)


@then("store history: hosts that exchange copies in any order keep the newest states")
def step_any_order(context):
    @settings(max_examples=200, deadline=None, suppress_health_check=list(HealthCheck))
    @given_values(
        strategies.lists(strategies.integers(1, 5), min_size=3, max_size=3),
        strategies.integers(0, 5),
        strategies.tuples(STATES, REPORTS),
        strategies.lists(strategies.booleans(), min_size=3, max_size=3),
        HOST_PAIRS,
        strategies.integers(0, 2),
    )
    def check(versions, copied_version, state, knows_state, pairs, restarted):
        views = make_hosts(versions, state, knows_state)
        listed_at = revision_at(COPIED_NUMBER, SECOND_ERA)
        items = [StoreItem(TARGET_KEY, listed_at, value_of(f"ready {state[1]}"))]
        if copied_version:
            value = configuration_of(copied_version, False)
            items.append(StoreItem(documents.CONFIGURATION_KEY, listed_at, value))
        # One host reads the store; the others may hear of it from each other.
        views[0].news.enter_history(items, listed_at)
        views[0].replica.advance(listed_at)
        newest = max(*versions, copied_version)
        for receiver, sender in pairs + ALL_PAIRS + ALL_PAIRS:
            before = views[receiver].configuration.version
            views[receiver].news.apply_copy(copy_of(views[sender]), f"h{sender}")
            assert views[receiver].configuration.version >= before
        views[restarted] = make_view(ManualClock(100.0))
        for sender in range(3):
            if sender != restarted:
                views[restarted].news.apply_copy(copy_of(views[sender]), f"h{sender}")
        for view in views:
            assert view.replica.revision == listed_at
            assert view.configuration.version == newest
            if any(knows_state):
                is_used = any(x.entry.target_id == "i-1" for x in usable(view))
                assert is_used == (state[0] == "ready"), (state, view.targets)
        digests = {view.news.kept.digest(view.replica.items) for view in views}
        assert len(digests) == 1, digests

    check()


def usable(view):
    return view.usable_targets("pedidos")


def make_hosts(versions, state, knows_state):
    """Return hosts of the first history that know more or less of it."""
    views = []
    for version, knows in zip(versions, knows_state, strict=True):
        view = make_view(ManualClock(100.0))
        ready = value_of(f"ready {state[1]}")
        config = configuration_of(version, False)
        changes = [(documents.CONFIGURATION_KEY, 101 + version, config)]
        changes.append((TARGET_KEY, 110, ready))
        if knows and state[0] == "leaving":
            changes.append((TARGET_KEY, 111, value_of(f"leaving {state[1]}")))
        if knows and state[0] == "left":
            changes.append((TARGET_KEY, 111, None))
        base = revision_at(100, FIRST_ERA)
        view.news.enter_history([], base)
        view.replica.advance(base)
        for key, number, value in changes:
            item = StoreItem(key, revision_at(number, FIRST_ERA), value)
            view.news.apply([item])
            view.replica.advance(item.revision)
        views.append(view)
    return views


# Fleets in virtual time


@given(
    "store history: {domains:d} failure domain of {hosts:d} hosts, {targets:d} targets"
)
@given(
    "store history: {domains:d} failure domains of {hosts:d} hosts, {targets:d} targets"
)
def step_fleet(context, domains, hosts, targets):
    context.waves = DrillWaves(domains, hosts, targets)


@when("store history: the store {drills}, seed {seed:d}")
def step_drills(context, drills, seed):
    context.waves.play(drills, seed)


@then("store history: no host uses what was replaced 2 s before")
def step_no_case(context):
    cases = list(context.waves.view.cases.values())
    assert not cases, cases


@then("store history: no host served an older version, also not right after its start")
def step_not_reverted(context):
    reverted = context.waves.reverted
    assert not reverted, (len(reverted), reverted[:3])


@then("store history: all hosts know the store and keep nothing")
def step_all_know(context):
    fleet = context.waves.fleet
    for host_id, host in fleet.hosts.items():
        view = host.view
        assert view.replica.revision == fleet.shared.revision, (host_id, view.replica)
        assert not view.news.kept.by_key, (host_id, view.news.kept.by_key)
        assert view.configuration.version == context.waves.writer.version
    assert fleet.differences_found() == 0


@then(
    "store history: each appointed host listed once, and another called the store at "
    "most {most:d} times"
)
def step_few_calls(context, most):
    waves = context.waves
    # A listing has a call for each of three prefixes; a host that starts lists, too.
    listing_hosts = len(waves.appointed) + len(waves.restarted)
    assert waves.listings <= 3 * listing_hosts, (waves.listings, listing_hosts)
    for host_id, host in waves.fleet.hosts.items():
        if waves.is_appointed_long(host_id):
            continue
        bound = most
        if host_id in waves.restarted:
            bound += START_CALLS
        if host_id in waves.appointed:
            bound += APPOINTED_CALLS
        calls = waves.calls[host.settings.address]
        assert calls <= bound, (host_id, calls, bound)


@when("store history: the store comes back from before its hosts had registered")
def step_lost_registrations(context):
    waves = context.waves
    fleet = waves.fleet
    shared = fleet.shared

    async def scenario():
        await asyncio.sleep(3.0)
        drill = Drill(fleet, random.Random(1))
        drill.copy = waves.first_state
        writes_before = dict(shared.writes_by_key)
        await drill.play(0.5)
        await asyncio.sleep(REGISTERED_S)
        context.registered = registered_hosts(fleet)
        context.leases = [host.follower.lease for host in fleet.hosts.values()]
        context.writes = {}
        for key, count in shared.writes_by_key.items():
            context.writes[key] = count - writes_before.get(key, 0)
        host_id = next(iter(fleet.hosts))
        await fleet.hosts[host_id].follower.deregister()
        context.left_out = set(fleet.hosts) - registered_hosts(fleet) - {host_id}

    fleet.run(scenario())


def registered_hosts(fleet):
    found = set()
    for key in fleet.shared.items:
        if key.startswith(documents.HOST_PREFIX):
            found.add(key.removeprefix(documents.HOST_PREFIX))
    return found


@then(
    "store history: all hosts are registered again within 3 s, each under its own lease"
)
def step_registered_again(context):
    fleet = context.waves.fleet
    assert context.registered == set(fleet.hosts), context.registered
    assert len(set(context.leases)) == len(fleet.hosts), context.leases
    assert {lease.era for lease in context.leases} == {fleet.shared.era}
    for key, count in context.writes.items():
        is_host = key.startswith(documents.HOST_PREFIX)
        assert count == (1 if is_host else 0), (key, count)


@then("store history: a host that then stops removes its own entry only")
def step_own_entry(context):
    assert not context.left_out, context.left_out


# Real processes


@given(
    "store history: five hosts in two failure domains, eight targets and a "
    "configuration"
)
def step_real_fleet(context):
    context.fleet = DrillFleet(PlatformFleet(context.processes))


@when("store history: the store comes back from a copy of {copy}")
def step_real_drill(context, copy):
    context.fleet.play(copy)


@then("store history: the next configuration is in force at all hosts within 2 s")
def step_next_in_force(context):
    assert not context.fleet.late, context.fleet.late


@then(
    "store history: no request got what all versions allow refused, or an older version"
)
def step_no_older(context):
    assert not context.fleet.wrong, context.fleet.wrong[:5]
    assert context.fleet.answered > 500, context.fleet.answered


@then("store history: no target that had left got a request")
def step_none_at_left(context):
    assert not context.fleet.runs_at_left, context.fleet.runs_at_left[:5]


@then(
    "store history: a host that does not watch called the store at most {few:d} times "
    "in 8 s, another {many:d} times"
)
def step_real_calls(context, few, many):
    calls = sorted(context.fleet.calls.values())
    assert max(calls) <= many, calls
    # Each of the two failure domains has a host that watches.
    assert max(calls[:3]) <= few, calls
