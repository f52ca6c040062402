"""Steps on what shows that a request has crashed the target that ran it."""

import asyncio
import contextlib
import itertools
import random
import socket

from behave import then

from features.steps.host_sends_steps import (
    DEADLINE_S,
    SILENT,
    ScriptedPool,
    make_exchange,
    make_sender,
)
from oleanderroute.clock import ManualClock, SystemClock
from oleanderroute.decisions.health import Finding, TargetHealth
from oleanderroute.decisions.quarantine import Quarantine
from oleanderroute.decisions.selection import TargetView
from oleanderroute.decisions.target_silence import TargetSilence
from oleanderroute.declaration.model import Target
from oleanderroute.entry.messages import AnswerStream, TargetAnswer
from oleanderroute.entry.target_pool import TargetPool
from oleanderroute.errors import ConnectFailed, ConnectionBroken
from oleanderroute.host.crashes import CrashTracker
from oleanderroute.host.target_checks import (
    CONFIRM_DELAY_S,
    RECHECK_DELAY_S,
    TargetChecks,
    TargetState,
)
from oleanderroute.peer.gen.oleander_gossip.ttypes import CrashNotice

CHECK_S = 2 * CONFIRM_DELAY_S + RECHECK_DELAY_S
CONNECT_TIMEOUT_S = 0.2
PROBE_ERRORS = {
    "ended": ConnectionRefusedError(),
    "silent": TimeoutError(),
}


class BrokenStream(AnswerStream):
    """A body that breaks off, or stalls, after its first bytes."""

    def __init__(self, stalls):
        self.stalls = stalls
        self.chunks = [b"first"]

    async def __anext__(self):
        if self.chunks:
            return self.chunks.pop()
        if self.stalls:
            await asyncio.Event().wait()
        raise ConnectionBroken("reset", True)

    def abandon(self):
        pass


class CrashingPool(ScriptedPool):
    """Targets that go down, in one way or another, once they have a request."""

    def __init__(self, end, state):
        super().__init__(())
        self.end = end
        self.state = state
        # Targets that were reached and are in ``state`` since.
        self.down = set()

    async def exchange(self, target, request, first_byte_s, between_bytes_s):
        self.reached.append(target.target_id)
        self.down.add(target.target_id)
        if self.end == "served":
            return TargetAnswer(200, [], b"x")
        if self.end == "broken":
            raise ConnectionBroken("reset", True)
        if self.end == "closed, no length":
            return TargetAnswer(200, [], b"x", ends_with_connection=True)
        if self.end == SILENT:
            await asyncio.Event().wait()
        stream = BrokenStream(self.end == "stalled midway")
        return TargetAnswer(200, [], None, stream=stream)

    async def probe(self, target):
        if target.target_id in self.down and self.state in PROBE_ERRORS:
            raise ConnectFailed("no connection") from PROBE_ERRORS[self.state]


class CrashCase:
    """One request that comes again and again at one host."""

    def __init__(self, end, state):
        self.pool = CrashingPool(end, state)
        self.crashes = CrashTracker(self.pool, SystemClock())
        self.forwarder = make_sender(self.pool, self.crashes)
        self.views = self.forwarder.view.usable_targets("s")

    async def send(self):
        """Send it to a target that it has not crashed; wait for the check."""
        for view in list(self.views):
            if view.entry.target_id in self.pool.down:
                self.views.remove(view)
        await self.send_once()
        await asyncio.sleep(CHECK_S)

    async def send_once(self):
        answer = await self.forwarder.run(make_exchange("once"))
        if getattr(answer, "stream", None) is not None:
            with contextlib.suppress(Exception):
                async with asyncio.timeout(2 * DEADLINE_S):
                    async for _ in answer.stream:
                        pass

    def is_refused(self):
        return self.crashes.is_refused(make_exchange("once"))


@then(
    "crash evidence: after {needed:d} sends with the end {end}, targets {state}, it is "
    "refused, and not before"
)
def step_refused_after(context, needed, end, state):
    async def run():
        case = CrashCase(end, state)
        for number in range(needed):
            assert not case.is_refused(), number
            await case.send()
        assert case.is_refused(), case.crashes.quarantine.suspected

    asyncio.run(run())


@then(
    "crash evidence: after five sends with the end {end}, targets running, it is not "
    "refused"
)
def step_running(context, end):
    async def run():
        case = CrashCase(end, "running")
        for _ in range(5):
            await case.send()
        assert len(case.pool.reached) == 5, case.pool.reached
        assert not case.is_refused()
        assert not case.crashes.quarantine.suspected

    asyncio.run(run())


@then("crash evidence: five silent targets refuse nothing when {case_name}")
def step_sound_request(context, case_name):
    async def run():
        case = CrashCase(SILENT, "silent")
        now = SystemClock().now()
        for view in case.views:
            if case_name == "they were silent before it was sent":
                view.silence.record(Finding.OVERDUE, now - 5.0)
            if case_name == "they have answered later requests":
                view.silence.record(Finding.GOOD, now + 60.0)
        if case_name == "the host hears no other host":
            case.crashes.is_isolated = lambda: True
        if case_name == "it was sent to all of them at the same moment":
            await asyncio.gather(*(case.send_once() for _ in range(5)))
            await asyncio.sleep(CHECK_S)
        else:
            for number in range(5):
                if case_name == "it is served in between" and number % 2:
                    case.pool.end = "served"
                await case.send()
                case.pool.end = SILENT
        assert len(case.pool.reached) == 5, case.pool.reached
        assert not case.is_refused()

    asyncio.run(run())


def read_crashes(text):
    """Return the arguments of ``record_crash`` for each crash of a table cell."""
    found = []
    for words in (part.split() for part in text.split(",")):
        target_id, sent_at, crashed_at = words[:3]
        found.append((target_id, float(crashed_at), float(sent_at), len(words) == 4))
    return found


def is_refused_after(crashes):
    quarantine = Quarantine(ManualClock())
    for crash in crashes:
        quarantine.record_crash("f", *crash)
    return quarantine.is_refused("f", 10.0)


@then("crash evidence: the crashes {crashes} are {verdict}")
def step_crashes(context, crashes, verdict):
    assert is_refused_after(read_crashes(crashes)) == (verdict == "refused")


@then("crash evidence: any order of the same crashes gives the same verdict")
def step_any_order(context):
    rng = random.Random(6)
    verdicts = set()
    for _ in range(300):
        crashes = []
        for target_id in "abcd"[: rng.randint(2, 4)]:
            sent_at = rng.uniform(0.0, 4.0)
            crashed_at = sent_at + rng.uniform(0.1, 1.5)
            crashes.append((target_id, crashed_at, sent_at, rng.random() < 0.5))
        found = {is_refused_after(order) for order in itertools.permutations(crashes)}
        assert len(found) == 1, crashes
        verdicts |= found
    assert verdicts == {True, False}


@then(
    "crash evidence: a target that {history}: it {verdict} silent by a request sent at "
    "10 s"
)
def step_silence(context, history, verdict):
    silence = TargetSilence()
    words = history.replace(",", "").split()
    finding = None
    for word in words:
        if word in ("answered", "left"):
            finding = Finding.GOOD if word == "answered" else Finding.OVERDUE
        elif word[0].isdigit():
            silence.record(finding, float(word))
    assert silence.may_begin_at(10.0, 0.5) == (verdict == "may have become")


@contextlib.contextmanager
def listening(does):
    """Yield the port of a listener that never accepts, or of none."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        if does != "refuses connections":
            listener.listen(0 if does == "leaves connections unanswered" else 100)
        if does == "leaves connections unanswered":
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


@then("crash evidence: a check of a target that {does} finds it {state}")
def step_check(context, does, state):
    async def run(port):
        pool = TargetPool("h1", "a", connect_timeout_s=CONNECT_TIMEOUT_S)
        view = TargetView(Target("t1", "127.0.0.1", port, "a"), TargetHealth(0.0))
        checks = TargetChecks(pool, SystemClock(), None)
        try:
            found = await checks.probe(view)
        finally:
            pool.close()
        assert found is TargetState(state), found

    with listening(does) as port:
        asyncio.run(run(port))


@then("crash evidence: notices of {crashes}: they {verdict} the request")
def step_notices(context, crashes, verdict):
    tracker = CrashTracker(None, ManualClock(100.0))
    count = {"two": 2, "three": 3}[crashes.split()[0]]
    is_silent = True if "silent" in crashes else None
    for number in range(count):
        age_ms = 10_000 - 2_000 * number
        tracker.apply_notice(
            CrashNotice("", "f", [f"t{number}"], age_ms, age_ms - 500, is_silent)
        )
    is_refused = tracker.quarantine.is_refused("f", 100.0)
    assert is_refused == (verdict == "refuse"), is_refused
