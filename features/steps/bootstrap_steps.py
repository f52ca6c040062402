"""Steps on the record of the first fleet, with a fake store and fake peers."""

import asyncio
import random
from types import SimpleNamespace

import orjson
from behave import given, then, when

from oleanderroute.clock import ManualClock
from oleanderroute.decisions.claims import CLAIM_LIFETIME_S, HolderView
from oleanderroute.decisions.ranking import rank
from oleanderroute.errors import PeerTimeout, StoreConflict
from oleanderroute.peer.envelope import PeerIdentity
from oleanderroute.platform.hostlist import HostEntry, MemberState
from oleanderroute.tasks.bootstrap import BootstrapTask

IDS = ("h1", "h2", "h3")
OTHER_RECORD = (
    '{"members": [{"host_id": "h9", "failure_domain": "z", "incarnation": 9}]}'
)


class FakeStore:
    """Holds one value; ``hidden`` appears only when a write meets it."""

    def __init__(self, hidden=None):
        self.hidden = hidden
        self.value = None

    async def get(self, key, cause):
        return None if self.value is None else SimpleNamespace(value=self.value)

    async def put(self, key, value, expect_version):
        if self.hidden is not None:
            self.value = self.hidden
            raise StoreConflict(key, 1)
        self.value = value


class FakeMessenger:
    """Answers for all hosts."""

    def __init__(self, uptimes):
        self.uptimes = uptimes

    async def ask(self, host, kind, value, timeout_s):
        uptime_s = self.uptimes[host.host_id]
        if uptime_s is None:
            raise PeerTimeout(host.host_id)
        document = {"incarnation": 7, "uptime_s": uptime_s}
        return SimpleNamespace(document=orjson.dumps(document))


def entry(host_id, region):
    return HostEntry(
        host_id, "127.0.0.1", 1, 2, 3, f"d-{host_id}", region, MemberState.LIVE
    )


@given("bootstrap: a region of three hosts, and a fourth in another region")
def step_hosts(context):
    context.hosts = {one: entry(one, "r1") for one in IDS}
    context.hosts["h4"] = entry("h4", "r2")


@when("bootstrap: the first-ranked host meets {hosts}")
def step_meets(context, hosts):
    first = rank("bootstrap", IDS)[0]
    uptimes = dict.fromkeys(IDS, 5.0)
    # The other region's host must not be asked.
    last = next(one for one in IDS if one != first)
    if hosts == "a host that does not answer":
        uptimes[last] = None
    if hosts == "a host older than a claim":
        uptimes[last] = CLAIM_LIFETIME_S + 1
    hidden = OTHER_RECORD if hosts == "a record of another creator" else None
    clock = ManualClock()
    identity = PeerIdentity("f", first, 7, f"d-{first}", "r1")
    task = BootstrapTask(
        identity,
        SimpleNamespace(hosts=context.hosts),
        FakeMessenger(uptimes),
        FakeStore(hidden),
        HolderView(first, 7, CLAIM_LIFETIME_S, clock.now()),
        clock,
        random.Random(1),
    )
    context.record = asyncio.run(task.create())


@then("bootstrap: the record is {result}")
def step_result(context, result):
    if result == "not created":
        assert context.record is None
        return
    members = {member.host.host_id for member in context.record.members}
    expected = {"h9"} if result == "the other creator's" else set(IDS)
    assert members == expected, members
