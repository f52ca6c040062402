"""Steps on the sends of one request, whose results are chosen at random."""

import asyncio
import random
from types import SimpleNamespace

from behave import then
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.steps.host_decisions_steps import entry
from oleanderroute.clock import SystemClock
from oleanderroute.decisions.allowance import RepeatAllowance
from oleanderroute.decisions.floor import ServiceFloor
from oleanderroute.decisions.health import TargetHealth
from oleanderroute.decisions.latency import LatencySample
from oleanderroute.decisions.selection import Selector, TargetView
from oleanderroute.decisions.standing_queue import StandingQueue
from oleanderroute.entry.messages import TargetAnswer
from oleanderroute.entry.target_pool import ConnectionLimitReached
from oleanderroute.errors import (
    BetweenBytesTimeout,
    ConnectFailed,
    ConnectionBroken,
    FirstByteTimeout,
    MalformedAnswer,
)
from oleanderroute.host.crashes import CrashTracker
from oleanderroute.host.exchange import Exchange
from oleanderroute.host.forwarder import RequestForwarder
from oleanderroute.host.model import Destination, HostRoute, Repeatability
from oleanderroute.host.target_checks import CONFIRM_DELAY_S
from oleanderroute.host.target_sender import TargetSender

TARGETS = 5
DEADLINE_S = 0.1
MAX_TARGETS = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NOT_SENT = {
    "refused": ConnectFailed("refused"),
    "full": ConnectionLimitReached(1),
}
# Results after which the target may have run the request.
RAN = {
    "no first byte": FirstByteTimeout("silent", True),
    "stopped midway": BetweenBytesTimeout("silent", True),
    "not HTTP": MalformedAnswer("not HTTP", True),
    "broken": ConnectionBroken("reset", True),
    "200": TargetAnswer(200, [], b"x"),
    "500": TargetAnswer(500, [], b"x"),
    "503 without proof": TargetAnswer(503, [], b"x"),
    "429 without proof": TargetAnswer(429, [], b"x"),
    "408 without proof": TargetAnswer(408, [], b"x"),
}
NOT_RUN = {
    "503 not run": TargetAnswer(503, [], b"", not_started=True),
    "421 not run": TargetAnswer(421, [], b"", not_started=True, misdirected=True),
}
SILENT = "silent"
ENDS = [*NOT_SENT, *RAN, *NOT_RUN, SILENT]
NO_CRASHES = SimpleNamespace(
    is_refused=lambda exchange: False,
    check_broken=lambda exchange, target, sent_at: None,
    check_closed=lambda exchange, target, sent_at: None,
    check_silent=lambda exchange, target, sent_at, noticed_at, span_s: None,
    record_success=lambda exchange: None,
)
MANY_EXAMPLES = settings(
    max_examples=150, deadline=None, suppress_health_check=list(HealthCheck)
)


class ScriptedPool:
    """Pool whose sends end with the scripted results, and then never answer."""

    def __init__(self, ends):
        self.ends = list(ends)
        self.runs = 0
        self.reached = []
        self.dead = set()
        self.working = 0

    async def exchange(self, target, request, first_byte_s, between_bytes_s):
        end = self.ends.pop(0) if self.ends else SILENT
        await asyncio.sleep(0)
        if end in NOT_SENT:
            raise NOT_SENT[end]
        self.reached.append(target.target_id)
        if end in NOT_RUN:
            return NOT_RUN[end]
        self.runs += 1
        if end == SILENT:
            self.working += 1
            try:
                await asyncio.Event().wait()
            finally:
                self.working -= 1
        if end == "broken":
            self.dead.add(target.target_id)
        if isinstance(RAN[end], Exception):
            raise RAN[end]
        return RAN[end]

    def has_idle(self, target_id):
        return False

    async def probe(self, target):
        """Open a connection; refused by targets that have crashed."""
        if target.target_id in self.dead:
            raise ConnectFailed("refused") from ConnectionRefusedError()


def make_sender(pool, crashes=NO_CRASHES):
    """Return a ``RequestForwarder`` whose targets are all healthy."""
    clock = SystemClock()
    now = clock.now()
    views = []
    for number in range(TARGETS):
        views.append(TargetView(entry(f"t{number}"), TargetHealth(now)))
    latencies = LatencySample()
    queue = StandingQueue()
    floor = ServiceFloor(0.7, random.Random(1))
    # Its uptime is long enough for the whole fixed allowance.
    allowance = RepeatAllowance(0.2, 100.0, 10.0, now - 100.0)
    view = SimpleNamespace(
        configuration=None,
        usable_targets=lambda service: views,
        latencies_of=lambda service: latencies,
        queue_of=lambda service: queue,
        floor_of=lambda service: floor,
        allowance_of=lambda service: allowance,
        host_count=1,
        rate_limits=SimpleNamespace(count_first_send=lambda exchange: None),
    )
    reporter = SimpleNamespace(
        publish=lambda *findings: None,
        report_start=lambda *findings: None,
        report_outcome=lambda *findings: None,
    )
    headers = SimpleNamespace(attempt_headers=lambda *parts: [])
    target_sender = TargetSender(view, pool, reporter, crashes, headers, clock)
    return RequestForwarder(
        view,
        pool,
        Selector("a", random.Random(1)),
        SimpleNamespace(live_host_count=lambda: 1),
        crashes,
        target_sender,
        clock,
    )


def make_exchange(kind):
    """Return the ``Exchange`` of a request that may wait for ``DEADLINE_S``."""
    repeatability = Repeatability(kind)
    route = HostRoute(
        "r", "h", "/", repeatability, 1.0, 0.08, (Destination("s", 1.0),), MAX_TARGETS
    )
    return Exchange(
        request=SimpleNamespace(method="GET", raw_target=b"/", body=None),
        route=route,
        service="s",
        attempt_id="a1",
        attempt_id_bytes=b"a1",
        deadline_at=SystemClock().now() + DEADLINE_S,
        version=1,
        base_headers=[],
    )


async def run_scenario(kind, ends, caller_leaves_after_s=None):
    """Run one request; return its answer, None if the caller left, and the pool."""
    pool = ScriptedPool(ends)
    work = asyncio.ensure_future(make_sender(pool).run(make_exchange(kind)))
    answer = None
    try:
        async with asyncio.timeout(caller_leaves_after_s):
            answer = await work
    except TimeoutError:
        pass
    reached = len(pool.reached)
    # Running sends have to end now, and no further send may start.
    for _ in range(10):
        await asyncio.sleep(0)
    assert len(pool.reached) == reached, (reached, pool.reached)
    assert pool.working == 0, (ends, pool.working)
    return answer, pool


@then("host sends: any ends of the sends of {kind} requests keep the promises")
def step_any_ends(context, kind):
    @MANY_EXAMPLES
    @for_all(st.lists(st.sampled_from(ENDS), max_size=8))
    def check(ends):
        answer, pool = asyncio.run(run_scenario(kind, ends))
        details = (ends, answer.status, pool.runs, pool.reached)
        if kind == "once":
            assert pool.runs <= 1, details
        if answer.status in NOT_RUN_STATUSES:
            assert pool.runs == 0, details
        if answer.status == 200:
            assert "200" in ends, details
        assert len(set(pool.reached)) == len(pool.reached) <= MAX_TARGETS, details

    check()


@then("host sends: no send of {kind} requests goes on after the caller has left")
def step_caller_leaves(context, kind):
    @MANY_EXAMPLES
    @for_all(
        st.lists(st.sampled_from(ENDS), max_size=4),
        st.floats(min_value=0.0, max_value=DEADLINE_S),
    )
    def check(ends, caller_leaves_after_s):
        asyncio.run(run_scenario(kind, ends, caller_leaves_after_s))

    check()


class CrashScenario:
    """Requests with one fingerprint, and the crashes that they cause."""

    def __init__(self):
        self.pool = ScriptedPool([])
        self.crashes = CrashTracker(self.pool, SystemClock())
        self.forwarder = make_sender(self.pool, self.crashes)

    async def send(self, *ends):
        """Send one request for each result, all at once, and confirm the crashes."""
        self.pool.ends = list(ends)
        runs = [self.forwarder.run(make_exchange("once")) for _ in ends]
        await asyncio.gather(*runs)
        await asyncio.sleep(2 * CONFIRM_DELAY_S)

    def is_refused(self):
        return self.crashes.is_refused(make_exchange("once"))


@then("host sends: a common lookup is not refused after {deaths}")
def step_common_lookup(context, deaths):
    async def crash_targets():
        scenario = CrashScenario()
        if "same moment" in deaths:
            await scenario.send("broken", "broken")
        else:
            await scenario.send("broken")
            await scenario.send("200")
            await scenario.send("broken")
        return scenario

    scenario = asyncio.run(crash_targets())
    assert len(scenario.pool.dead) == 2, scenario.pool.dead
    assert not scenario.is_refused()


@then("host sends: a request whose repeat ended a second target is refused")
def step_repeat_crashes(context):
    async def crash_targets():
        scenario = CrashScenario()
        await scenario.send("broken")
        await scenario.send("broken")
        return scenario

    scenario = asyncio.run(crash_targets())
    assert len(scenario.pool.dead) == 2, scenario.pool.dead
    assert scenario.is_refused()


@then(
    "host sends: a request that {targets:d} targets refuse to connect counts as "
    "{counted:d} first send"
)
def step_counted_once(context, targets, counted):
    pool = ScriptedPool(["refused"] * targets + ["200"])
    forwarder = make_sender(pool)
    started = []
    forwarder.target_sender.reporter.report_start = lambda *start: started.append(start)
    answer = asyncio.run(forwarder.run(make_exchange("once")))
    assert answer.status == 200 and len(started) == targets + 1, started
    are_counted = [is_counted for _, _, _, is_counted, _ in started]
    assert are_counted.count(True) == counted, are_counted
