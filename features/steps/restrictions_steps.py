"""Steps on restrictions that targets put on a host by headers of their answers."""

import asyncio
import random
from types import SimpleNamespace

import orjson
from behave import then

from features.steps.host_sends_steps import NO_CRASHES, make_exchange
from features.support.fleet_views import make_view
from features.support.revisions import revision_at
from oleanderroute.clock import ManualClock, SystemClock
from oleanderroute.decisions.restrictions import parse_pause_s
from oleanderroute.decisions.selection import Selector
from oleanderroute.entry.messages import TargetAnswer
from oleanderroute.host.findings import FindingReporter
from oleanderroute.host.forwarder import RequestForwarder
from oleanderroute.host.model import StoreItem
from oleanderroute.host.target_sender import TargetSender
from oleanderroute.platform import documents

TARGETS = 4
BORN = 1_000


@then('restrictions: "{hint}" is read as a pause of {pause}')
def step_parse(context, hint, pause):
    expected = None if pause == "nothing" else float(pause.split()[0])
    assert parse_pause_s(hint.encode()) == expected, parse_pause_s(hint.encode())


class Registry:
    """Writes registrations of targets into the view of a host."""

    def __init__(self, view):
        self.view = view
        self.revision = 0

    def put(self, target_id, value):
        self.revision += 1
        key = documents.TARGET_PREFIX + target_id
        item = StoreItem(key, revision_at(self.revision), value)
        self.view.news.apply([item])

    def register(self, target_id, born=BORN, port=1):
        document = {
            "address": f"127.0.0.1:{port}",
            "info": {"service": "s", "version": "v1", "zone": "mvd-a", "slots": 2},
            "status": {"state": "ready", "seqNo": 1, "coldRemainingMs": 0},
            "born": born,
        }
        self.put(target_id, orjson.dumps(document))


def register_unreadable(registry):
    registry.put("t1", b"\xff")
    registry.register("t1")


def register_again(registry):
    registry.put("t1", None)
    registry.register("t1")


def restart_before_late_news(registry):
    registry.register("t1", BORN + 500)
    registry.view.record_leaving("t1", BORN, "h2")


CHANGES = {
    "is still registered as ready": lambda registry: registry.register("t1"),
    "loses its registration and has it again": register_again,
    "is registered by bytes that can't be read": register_unreadable,
    "is registered first after the news": register_again,
    "starts again under its id": lambda registry: registry.register("t1", BORN + 500),
    "starts again, and late news of it arrives": restart_before_late_news,
    "is replaced by another id at its address": lambda registry: registry.register(
        "t2"
    ),
}


@then("restrictions: a leaving target that {change} is {use}")
def step_leaving(context, change, use):
    view = make_view(ManualClock(100.0))
    registry = Registry(view)
    if "first after" not in change:
        registry.register("t1")
    assert view.record_leaving("t1", BORN, "h2")
    assert not view.record_leaving("t1", BORN, "h3")
    assert view.usable_targets("s") == []
    CHANGES[change](registry)
    assert len(view.usable_targets("s")) == (1 if use == "used" else 0)


class PausingPool:
    """Targets that turn every request away and ask for a pause."""

    def __init__(self, clock, hints):
        self.clock = clock
        self.hints = hints
        self.arrivals = []

    async def exchange(self, target, request, first_byte_s, between_bytes_s):
        await asyncio.sleep(0)
        self.arrivals.append((target.target_id, self.clock.now()))
        hint = self.hints[target.target_id]
        return TargetAnswer(503, [], b"", not_started=True, retry_after=hint)

    def has_idle(self, target_id):
        return True

    def set_connection_limit(self, target_id, limit):
        pass

    def close_target(self, target_id):
        pass


def make_forwarder(hints):
    """Return a ``RequestForwarder`` whose targets answer with these hints."""
    clock = SystemClock()
    view = make_view(clock)
    # Its uptime is long enough for the whole fixed allowance.
    view.started_at -= 100.0
    pool = view.pool = PausingPool(clock, hints)
    registry = Registry(view)
    for number, target_id in enumerate(hints, 1):
        registry.register(target_id, port=number)
    gossip = SimpleNamespace(report=lambda *finding, **others: None)
    headers = SimpleNamespace(attempt_headers=lambda *parts: [])
    reporter = FindingReporter(view, gossip)
    sender = TargetSender(view, pool, reporter, NO_CRASHES, headers, clock)
    return RequestForwarder(
        view,
        pool,
        Selector("mvd-a", random.Random(5)),
        SimpleNamespace(live_host_count=lambda: 1),
        NO_CRASHES,
        sender,
        clock,
    )


@then(
    "restrictions: of targets that ask for {pause_s:g} s, none gets {kind} requests "
    "within it"
)
def step_paused(context, pause_s, kind):
    hints = {f"t{number}": b"%g" % pause_s for number in range(TARGETS)}

    async def send_for(seconds):
        forwarder = make_forwarder(hints)
        ends_at = forwarder.clock.now() + seconds
        while forwarder.clock.now() < ends_at:
            answer = await forwarder.run(make_exchange(kind))
            assert answer.status == 503, answer
            await asyncio.sleep(0.01)
        return forwarder.pool.arrivals

    arrivals = asyncio.run(send_for(3 * pause_s))
    last = {}
    for target_id, at in arrivals:
        assert at - last.get(target_id, 0.0) >= pause_s, (target_id, arrivals)
        last[target_id] = at
    # After its pause each target is used again.
    assert len(arrivals) >= 2 * TARGETS, arrivals


@then(
    "restrictions: {count:d} callers are refused at once and told to return after the "
    "shortest pause, at different times"
)
def step_returns(context, count):
    hints = {"t0": b"1.5", "t1": b"4", "t2": b"30"}

    async def refuse_all():
        forwarder = make_forwarder(hints)
        while len(forwarder.pool.arrivals) < len(hints):
            await forwarder.run(make_exchange("once"))
        answers = []
        started_at = forwarder.clock.now()
        for _ in range(count):
            answers.append(await forwarder.run(make_exchange("once")))
        return answers, forwarder.clock.now() - started_at

    answers, elapsed_s = asyncio.run(refuse_all())
    assert elapsed_s < 1.0, elapsed_s
    waits_s = []
    for answer in answers:
        assert (answer.status, answer.reason) == (503, "targets-asked-to-wait"), answer
        waits_s.append(float(dict(answer.headers)[b"retry-after"]))
    assert min(waits_s) >= 0.4, waits_s
    assert max(waits_s) <= 1.5 * 1.5 + 0.1, waits_s
    assert len(set(waits_s)) >= 5, waits_s
