"""Steps on the API keys of workspaces, on one host without a network."""

import asyncio
import json
import random
from types import SimpleNamespace

from behave import then
from eliot import add_destinations, remove_destination

from features.steps.host_sends_steps import NO_CRASHES
from features.steps.restrictions_steps import Registry
from features.support.fleet_views import make_view
from features.support.platform_fleet import HOST, configuration, route, workspace
from features.support.revisions import revision_at
from oleanderroute.clock import SystemClock
from oleanderroute.decisions.selection import Selector
from oleanderroute.entry.messages import (
    NULL_CHARGE,
    BytesBody,
    CallerRequest,
    TargetAnswer,
)
from oleanderroute.errors import ConnectFailed, ConnectionBroken, DocumentError
from oleanderroute.host.api_keys import ApiKeys
from oleanderroute.host.findings import FindingReporter
from oleanderroute.host.forwarder import RequestForwarder
from oleanderroute.host.hostmetrics import HostMetrics
from oleanderroute.host.model import StoreItem
from oleanderroute.host.proxy import HostProxy
from oleanderroute.host.requestlog import RequestLog
from oleanderroute.host.target_sender import TargetSender
from oleanderroute.platform import documents, headers

ACME = workspace("acme", "KEY-ACME")
OTRA = workspace("otra", "KEY-OTRA")
OPTIONS = {"service": "s", "maxAttempts": 3}
ROUTES = (
    route("r-get", "safe", "/look/", **OPTIONS),
    route("r-post", "unsafe", "/order/", **OPTIONS),
    route("r-free", "safe", "/free/", keyExempt=True, **OPTIONS),
)
CHANGED_WORKSPACES = {
    "is removed": [OTRA],
    "moves to another workspace": [workspace("otra", "KEY-OTRA", "KEY-ACME")],
    "is no longer needed": [],
}


def encode(version, resources):
    return json.dumps(configuration(version, resources)).encode()


@then(
    'api keys: the entry \'{entry}\' beside workspace "acme" is refused at "{path}" '
    "without a key in the text"
)
def step_refused(context, entry, path):
    value = encode(1, [ACME, json.loads(entry)])
    try:
        documents.decode_configuration(value)
    except DocumentError as error:
        assert error.path == path, error
        assert "SECRET" not in repr(error) and "KEY-ACME" not in repr(error), error
        return
    raise AssertionError("it was accepted")


@then("api keys: omitted, null and zero limits of a workspace are read as none")
def step_optional(context):
    specs = ({}, {"ratePerS": None, "burstSize": None, "priority": None})
    for others in (*specs, {"ratePerS": 0, "burstSize": 0.0}):
        value = encode(1, [workspace("acme", "KEY-ACME", **others), *ROUTES])
        found = documents.decode_configuration(value)
        policy = found.workspaces["acme"]
        assert (policy.rate_per_s, policy.burst, policy.priority) == (0.0, 0.0, None)
        assert found.workspace_by_key == {b"KEY-ACME": "acme"}
        assert "KEY-ACME" not in repr(found)
        assert [each.is_key_exempt for each in found.routes] == [False, False, True]


@then('api keys: without workspaces a route with priority "x" and keyExempt 1 is read')
def step_lenient(context):
    odd = route("r", "safe", "/", priority="x", keyExempt=1)
    (found,) = documents.decode_configuration(encode(1, [odd])).routes
    assert (found.priority, found.is_key_exempt) == (1, False)


class KeyHost:
    """A host's request path, with targets that answer as a list says.

    Parameters
    ----------
    workspaces : list of dict
    ends : list of str
        How the sends end, by turns; 200 after the last.
    """

    def __init__(self, workspaces, ends=(), change=None):
        self.clock = SystemClock()
        self.view = make_view(self.clock)
        # Its uptime is long enough for the whole fixed allowance.
        self.view.started_at -= 100.0
        self.view.record_confirmation(self.clock.now())
        self.ends = list(ends)
        self.change = change
        self.version = 0
        self.configure(workspaces)
        self.view.pool.has_idle = lambda target_id: True
        self.view.pool.exchange = self.exchange
        registry = Registry(self.view)
        registry.revision = 1000
        for number in (1, 2, 3):
            registry.register(f"t{number}", port=number)
        self.sent = []
        api_keys = ApiKeys(self.view, headers, self.clock)
        gossip = SimpleNamespace(report=lambda *finding, **others: None)
        sender = TargetSender(
            self.view,
            self.view.pool,
            FindingReporter(self.view, gossip),
            NO_CRASHES,
            headers,
            self.clock,
            api_keys,
        )
        forwarder = RequestForwarder(
            self.view,
            self.view.pool,
            Selector("mvd-a", random.Random(5)),
            SimpleNamespace(live_host_count=lambda: 1),
            NO_CRASHES,
            sender,
            self.clock,
        )
        log = RequestLog(HostMetrics(), self.clock)
        self.proxy = HostProxy(
            self.view, forwarder, headers, log, self.clock, random.Random(1), api_keys
        )

    def configure(self, workspaces):
        self.version += 1
        value = encode(self.version, [*workspaces, *ROUTES])
        item = StoreItem(documents.CONFIGURATION_KEY, revision_at(self.version), value)
        self.view.news.apply([item])

    def change_keys(self):
        if self.change is not None:
            self.configure(CHANGED_WORKSPACES[self.change])

    async def exchange(self, target, request, first_byte_s, between_bytes_s):
        """Play a target and its pool; the configuration changes during the first."""
        end = self.ends.pop(0) if self.ends else "answered"
        if end == "connected":
            self.change_keys()
            request.on_connected()
        self.sent.append(request.headers)
        await asyncio.sleep(0)
        if end != "answered" and len(self.sent) == 1:
            self.change_keys()
        if end == "unsent":
            raise ConnectFailed("refused")
        if end == "refused":
            return TargetAnswer(503, [], b"", not_started=True)
        if end == "broken":
            raise ConnectionBroken("reset", True)
        if end == "slow":
            await asyncio.sleep(0.5)
        return TargetAnswer(200, [], b"")

    def send(self, path, sent, method="GET"):
        """Send a request with headers and return its answer and the log records."""
        lines = [(b"host", HOST.encode())]
        for line in filter(None, (part.strip() for part in sent.split(" / "))):
            name, _, value = line.partition(":")
            lines.append((name.lower().encode(), value.strip().encode()))
        body = SimpleNamespace(length=0, limit=lambda most: None, charge=NULL_CHARGE)
        if method == "POST":
            body = self.body()
        request = CallerRequest(
            method, path, path.encode(), lines, body, self.clock.now(), "1"
        )
        records = []
        add_destinations(records.append)
        try:
            answer = asyncio.run(self.proxy.handle(request))
        finally:
            remove_destination(records.append)
        return answer, records

    def body(self):
        """Return a body during whose reading the configuration changes, if asked."""
        body = BytesBody(b"x")
        if self.ends[:1] == ["nothing"]:
            body.limit = lambda most: self.change_keys()
        return body


def credentials_in(sent):
    return [word for word in ("KEY-ACME", "KEY-OTRA", "KEY-NONE") if word in sent]


@then('api keys: "{path}" with "{sent}" gets "{result}" and forwards no credential')
@then('api keys: "{path}" with "" gets "{result}" and forwards no credential')
def step_headers(context, path, result, sent=""):
    host = KeyHost([ACME, OTRA])
    answer, records = host.send(path, sent)
    expected = result.split()
    if expected[0].isdigit():
        assert (str(answer.status), answer.reason) == tuple(expected), answer
        assert not host.sent
        if answer.status == 401:
            assert (b"www-authenticate", b"Bearer") in answer.headers, answer
    else:
        (forwarded,) = host.sent
        tenants = [value for name, value in forwarded if name == b"x-tenant"]
        assert tenants == ([] if expected[0] == "no" else [expected[1].encode()])
        names = {name for name, _ in forwarded}
        assert not names & {b"authorization", b"x_tenant"}, names
        assert b"host" in names, names
    for word in credentials_in(sent):
        assert word not in json.dumps(records), records
        assert word.encode() not in repr((host.sent, answer)).encode(), host.sent


@then('api keys: without workspaces "{sent}" pass unchanged')
def step_without(context, sent):
    host = KeyHost([])
    answer, _ = host.send("/look/1", sent)
    assert answer.status == 200, answer
    assert (b"authorization", b"Basic abc") in host.sent[0], host.sent
    assert (b"x-tenant", b"acme") in host.sent[0], host.sent


@then(
    "api keys: {age_s:g} s after the last confirmation an unknown key gets "
    '"{unknown}", no key "{missing}" and a known one is served'
)
def step_uncertain(context, age_s, unknown, missing):
    host = KeyHost([ACME])
    host.view.replica.confirmed_at -= age_s
    found = []
    for sent in (
        "Authorization: Bearer KEY-NONE",
        "",
        "Authorization: Bearer KEY-ACME",
    ):
        answer, _ = host.send("/look/1", sent)
        found.append(f"{answer.status} {answer.reason}")
    assert found == [unknown, missing, "200 answered"], found


@then(
    'api keys: while a newer configuration is decoded an unknown key gets "{uncertain}"'
)
def step_pending(context, uncertain):
    host = KeyHost([ACME])
    many = [workspace(f"w{number}", f"KEY-{number}") for number in range(1200)]

    def reason():
        headers = [(b"authorization", b"Bearer KEY-7")]
        found = host.proxy.api_keys.check(headers, host.view.configuration.routes[0])
        return found.reason and found.reason.value

    async def scenario():
        found = [reason()]
        host.configure(many)
        found.append(reason())
        await host.view.configuration_queue.task
        return [*found, reason()]

    assert asyncio.run(scenario()) == ["key-unknown", uncertain, None]


@then(
    'api keys: a {kind:w} request meets "{end}" while its key {change}: {result} after '
    "{sends:d} sends"
)
def step_change(context, kind, end, change, result, sends):
    host = KeyHost([ACME, OTRA], end.split(" and "), change)
    path = "/order/1" if kind == "once" else "/look/1"
    if end == "nothing":
        # The change comes between the reading of the head and the first send.
        choose = host.proxy.forwarder.run

        async def run_after_change(exchange):
            host.ends = []
            host.change_keys()
            return await choose(exchange)

        host.proxy.forwarder.run = run_after_change
    sender = host.proxy.forwarder.target_sender
    tries = []
    send = sender.send

    async def count(exchange, target):
        tries.append(target.entry.target_id)
        return await send(exchange, target)

    sender.send = count
    answer, records = host.send(path, "Authorization: Bearer KEY-ACME")
    assert len(host.sent) == sends, (answer, host.sent)
    # A refused send must not be tried again until the time limit.
    assert len(tries) <= sends + 1, tries
    status, _, rest = result.partition(" ")
    assert answer.status == int(status), answer
    if status != "200":
        assert answer.reason == rest, answer
        return
    last = dict(host.sent[-1])
    if rest.startswith("as "):
        assert last[b"x-tenant"].decode() == rest.removeprefix("as "), last
        assert b"authorization" not in last, last
    else:
        assert last[b"authorization"] == b"Bearer KEY-ACME", last


@then(
    "api keys: large and small versions that arrive together are put in force in "
    "order, and other tasks run meanwhile"
)
def step_queue(context):
    many = [workspace(f"w{number}", f"KEY-{number}") for number in range(3000)]
    view, in_force, turns = put_in_force(
        [
            encode(1, [ACME]),
            encode(2, many),
            encode(3, [OTRA]),
            b"{" + b" " * 100_000,
            encode(4, many),
        ]
    )
    assert in_force == [1, 2, 3, 4], in_force
    assert turns > 20, turns
    assert len(view.configuration.workspaces) == len(many)


def put_in_force(values):
    """Apply values that arrive together.

    Returns
    -------
    view : FleetView
    in_force : list of int
        Versions in the order in which they came into force.
    turns : int
        How often another task ran until the end.
    """
    view = make_view(SystemClock())
    in_force = []
    view.on_configuration.append(lambda found: in_force.append(found.version))

    async def scenario():
        for revision, value in enumerate(values, 1):
            item = StoreItem(documents.CONFIGURATION_KEY, revision_at(revision), value)
            view.news.apply([item])
        assert in_force == [1], in_force
        turns = 0
        while view.configuration_queue.task is not None:
            turns += 1
            await asyncio.sleep(0)
        return turns

    return view, in_force, asyncio.run(scenario())


@then(
    "api keys: of {count:d} large versions that arrive together the last is in force "
    "at the end, and those left out are logged"
)
def step_skipped(context, count):
    many = [workspace(f"w{number}", f"KEY-{number}") for number in range(1200)]
    records = []
    add_destinations(records.append)
    try:
        values = [encode(version, many) for version in range(1, count + 1)]
        _, in_force, _ = put_in_force(values)
    finally:
        remove_destination(records.append)
    skipped = [record for record in records if record.get("event") == 682]
    assert in_force == sorted(in_force) and in_force[-1] == count, in_force
    assert len(in_force) + len(skipped) == count, (in_force, skipped)
    assert skipped


@then(
    "api keys: a large version whose decoding raises an unexpected error is refused, "
    "and the next one is put in force"
)
def step_unexpected(context):
    many = [workspace(f"w{number}", f"KEY-{number}") for number in range(1200)]
    view = make_view(SystemClock())
    records = []
    add_destinations(records.append)
    decode = documents.decode_in_steps

    def fail_once(value):
        view.configuration_queue.formats.decode_in_steps = decode
        raise TypeError("KEY-1")

    async def scenario():
        first = StoreItem(documents.CONFIGURATION_KEY, revision_at(1), encode(1, many))
        view.news.apply([first])
        view.configuration_queue.formats = SimpleNamespace(
            decode_configuration=documents.decode_configuration,
            decode_in_steps=fail_once,
        )
        for version in (2, 3):
            value = encode(version, many)
            item = StoreItem(documents.CONFIGURATION_KEY, revision_at(version), value)
            view.news.apply([item])
        while view.configuration_queue.task is not None:
            await asyncio.sleep(0)

    try:
        asyncio.run(scenario())
    finally:
        remove_destination(records.append)
    reasons = [record["reason"] for record in records if record.get("event") == 631]
    assert reasons == ["unexpected TypeError"], reasons
    assert view.configuration.version == 3
