"""Steps for the memory budget, without a network."""

import asyncio
import socket
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.steps.host_sends_steps import make_exchange, make_sender
from oleanderroute.clock import SystemClock
from oleanderroute.decisions.health import Finding
from oleanderroute.decisions.memory_budget import MemoryBudget, Phase
from oleanderroute.entry.answer_stream import BufferedStream
from oleanderroute.entry.memory_guard import MemoryGuard, RequestCharge
from oleanderroute.entry.messages import (
    BodyPrefix,
    BodyTooLarge,
    BytesBody,
    ForwardedBody,
    MemoryPressure,
)
from oleanderroute.entry.server import CallerServer
from oleanderroute.entry.target_pool import ConnectionLimitReached, TargetPool
from oleanderroute.errors import AnswerTimeout
from oleanderroute.host.limited_stream import LimitedStream
from oleanderroute.host.model import HostSettings
from oleanderroute.host.resource_limits import ResourceLimits

KIB = 1024
MIB = 1024 * 1024
TICK_S = 0.1
BODY_BYTES = MIB
PIECE_BYTES = 64 * KIB
ORDINARY_BYTES = 2 * KIB
SETTINGS = HostSettings(
    "h", "127.0.0.1", "a", "r", 1, 2, 3, 4, (), "127.0.0.1:5", 1.0, 0.2, 0.0, 10.0, 6.0
)
USED_BYTES = 40 * MIB
STEPS = st.lists(
    st.tuples(st.integers(0, 6), st.integers(0, 5), st.integers(-3, 9)),
    min_size=50,
    max_size=80,
)


def compare_with_sum(steps):
    budget = MemoryBudget(100)
    accounts = [budget.open(None, 0.0) for _ in range(6)]
    held = [0] * 6
    for number, (action, index, size) in enumerate(steps):
        now = number / 10
        account = accounts[index]
        if action <= 1:
            budget.add_request_bytes(account, size)
        elif action == 2:
            budget.add_answer_bytes(account, size)
        elif action == 3:
            budget.receive(account, abs(size), now)
        elif action == 4:
            budget.review(now)
        elif action == 5:
            # Closed twice; what is charged or released later must not count.
            budget.close(account)
            budget.close(account)
            budget.add_request_bytes(account, size)
        else:
            budget.close(account)
            accounts[index] = budget.open(None, now)
            accounts[index].phase = Phase.BODY
        held = [each.held_bytes for each in accounts]
        refused = [each.held_bytes for each in accounts if each.is_refused]
        assert min(held) >= 0
        assert budget.held_bytes == sum(held)
        assert budget.leaving_bytes == sum(refused)
    for account in accounts:
        budget.close(account)
    assert budget.held_bytes == 0 and budget.leaving_bytes == 0
    assert not budget.accounts and not budget.paused and not budget.readers


@then("memory budget: random charges and releases agree with a plain sum")
def step_sum(context):
    options = settings(
        max_examples=200,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    options(for_all(STEPS)(compare_with_sum))()


class SimulatedHost:
    """Callers in virtual time that charge one budget as connections do."""

    def __init__(self, limit_bytes):
        self.budget = MemoryBudget(limit_bytes)
        self.now = 100.0
        self.most_held = 0
        self.received = []
        self.refused = []
        self.waited = []

    def open(self, name, phase=Phase.BODY):
        account = self.budget.open(name, self.now)
        account.phase = phase
        return account

    def receive(self, account, size):
        """Receive ``size`` bytes unless the caller has to wait or is refused."""
        if account.is_refused or account.is_closed or account.paused_at is not None:
            return
        self.budget.receive(account, size, self.now)
        self.after_charge(account)

    def hold_answer(self, account, size):
        self.budget.add_answer_bytes(account, size)
        self.after_charge(account)

    def after_charge(self, account):
        if self.budget.must_review(account):
            self.review()
        elif self.budget.must_wait(account):
            self.budget.pause(account, self.now)
            self.waited.append(account.owner)
        self.most_held = max(self.most_held, self.budget.held_bytes)

    def review(self):
        review = self.budget.review(self.now)
        self.waited += [account.owner for account in review.paused]
        for account in review.refused:
            self.refused.append(account.owner)
            self.budget.close(account)

    def end(self, account):
        if not account.is_closed:
            self.received.append(account.owner)
        self.budget.close(account)


def stop_short(host, account):
    missing = BODY_BYTES - 1 - account.received_bytes
    if missing > 0:
        host.receive(account, min(4 * PIECE_BYTES, missing))


def send_single_bytes(host, account):
    if account.received_bytes < 4 * PIECE_BYTES:
        host.receive(account, PIECE_BYTES)
    else:
        host.receive(account, 1)


def leave_unread(host, account):
    if account.phase is Phase.BODY:
        account.phase = Phase.ANSWER
        host.hold_answer(account, 5 * PIECE_BYTES)


def send_slowly(host, account):
    # 40 KiB/s, which ends after the 10 s of the run.
    host.receive(account, 4 * KIB)


def send_large(host, account):
    host.receive(account, PIECE_BYTES)
    if account.received_bytes >= BODY_BYTES:
        host.end(account)


BEHAVIOURS = {
    "stop short": stop_short,
    "go on with single bytes": send_single_bytes,
    "leave answers unread": leave_unread,
    "send slowly": send_slowly,
    "send large bodies": send_large,
}


@given("memory budget: {count:d} callers that {behaviour} at a budget of {size:d} MiB")
def step_callers(context, count, behaviour, size):
    context.host = SimulatedHost(size * MIB)
    context.count = count
    context.behave_as = BEHAVIOURS[behaviour]


@when("memory budget: {rate:d} ordinary requests a second arrive for {length:d} s")
def step_run(context, rate, length):
    host = context.host
    crowd = [host.open(number) for number in range(context.count)]
    ordinary = []
    for tick in range(int(length / TICK_S)):
        host.now += TICK_S
        for number in range(rate * tick // 10, rate * (tick + 1) // 10):
            ordinary.append(host.open(f"ordinary {number}"))
            host.receive(ordinary[-1], ORDINARY_BYTES)
        for account in crowd:
            if not account.is_refused and not account.is_closed:
                context.behave_as(host, account)
        if host.budget.needs_reviews:
            host.review()
    for account in ordinary:
        host.end(account)
    context.ordinary = [account.owner for account in ordinary]


@then("memory budget: no ordinary request waits or is refused")
def step_ordinary(context):
    assert len(context.ordinary) == 50, context.ordinary
    assert set(context.ordinary) <= set(context.host.received)
    assert not set(context.ordinary) & set(context.host.waited)


@then("memory budget: at most {size:d} MiB are held at any time")
def step_held(context, size):
    assert context.host.most_held <= size * MIB, context.host.most_held / MIB


@then("memory budget: at most {size:d} MiB are held at the end")
def step_held_at_end(context, size):
    held = context.host.budget.held_bytes
    assert held <= size * MIB, held / MIB


@then("memory budget: at least {count:d} bodies were received, the oldest first")
def step_received(context, count):
    received = context.host.received
    assert len(received) >= count, received
    # Those that were made to wait first are the newest.
    assert received[:count] == sorted(received)[:count], received


@then(
    "memory budget: settings with {memory:d} MB and {files:d} descriptors give "
    "{budget:d} MB and {connections:d} connections"
)
def step_settings(context, memory, files, budget, connections):
    known = replace(SETTINGS, memory_limit_bytes=memory * MIB, descriptor_limit=files)
    limits = ResourceLimits(known, USED_BYTES)
    found = limits.caller_limits()
    assert limits.budget_bytes // MIB == budget, limits.budget_bytes / MIB
    assert found.connections == connections, found
    if files:
        total = found.connections + found.excess_connections
        assert total + limits.target_connections + 200 <= max(files, 232)


@then("memory budget: a streamed body is whole at its first read and released after it")
def step_streamed(context):
    budget = MemoryBudget(10 * MIB)
    guard = MemoryGuard(budget, SystemClock(), None, None)
    account = guard.open(None)
    guard.begin_body(account)
    other_bytes = budget.held_bytes
    guard.receive_body(account, 300)
    prefix = BodyPrefix(b"a" * 200, False)
    rest = BytesBody(b"b" * 100)
    rest.charge = RequestCharge(guard, account)

    async def read_twice():
        # The first send reaches no target.
        ForwardedBody(prefix, rest, 50)
        body = ForwardedBody(prefix, rest, 50)
        assert await body.read_chunk() == b"a" * 200
        assert prefix.content == b"a" * 50
        assert budget.held_bytes == other_bytes + 300
        assert await body.read_chunk() == b"b" * 100
        assert budget.held_bytes == other_bytes + 100
        assert await body.read_chunk() == b""
        assert budget.held_bytes == other_bytes

    asyncio.run(read_twice())


@then("memory budget: a streamed answer that nobody reads is abandoned and then raises")
def step_unread(context):
    abandoned = []
    connection = SimpleNamespace(
        abandon=lambda: abandoned.append(True), pause_answer=lambda: None
    )

    async def leave_unread():
        clock = SystemClock()
        source = BufferedStream(connection, [b"x" * KIB])
        ends = []
        stream = LimitedStream(
            source, clock.now() + 0.05, clock, lambda size: None, ends.append
        )
        await asyncio.sleep(0.1)
        assert abandoned == [True]
        # The target has not ended the body itself, neither whole nor early.
        assert not ends, ends
        try:
            await anext(stream)
        except AnswerTimeout:
            return
        raise AssertionError("the answer passes for a complete one")

    asyncio.run(leave_unread())


@then('memory budget: a send whose body is "{given_up}" publishes its end')
def step_given_up(context, given_up):
    error = BodyTooLarge(10) if given_up == "too large" else MemoryPressure()
    published = []

    async def fail(*arguments):
        raise error

    async def send():
        forwarder = make_sender(SimpleNamespace(exchange=fail, has_idle=lambda id: 0))
        forwarder.target_sender.reporter.publish = lambda target, finding, record: (
            published.append(finding)
        )
        try:
            await forwarder.run(make_exchange("once"))
        except type(error):
            return
        raise AssertionError("the error is lost")

    asyncio.run(send())
    assert published == [Finding.ENDED], published


@then(
    "memory budget: at the limit the oldest idle connection is closed, else none opens"
)
def step_total_limit(context):
    async def fill():
        pool = TargetPool("h", "a")
        pool.total_limit = 2
        closed = []
        for number in (1, 2):
            target = SimpleNamespace(target_id=f"t{number}", incarnation=number)
            connections = pool.connections_to(target)
            connection = SimpleNamespace(owner=connections, idle_since=float(number))
            connection.retire = lambda name=target.target_id: closed.append(name)
            connections.open.add(id(connection))
            connections.idle.append(connection)
        pool.make_room()
        assert closed == ["t1"], closed
        pool.make_room()
        assert closed == ["t1", "t2"], closed
        try:
            # Both are still counted, as their sockets close in the next pass.
            pool.make_room()
        except ConnectionLimitReached:
            return
        finally:
            pool.targets.clear()
            pool.close()
        raise AssertionError("a connection above the limit")

    asyncio.run(fill())


class LargeAnswers:
    """Answers each request at once with a body of a fixed size, and counts them."""

    def __init__(self, size):
        self.size = size
        self.count = 0

    async def __call__(self, scope, receive, send):
        headers = [(b"content-length", b"%d" % self.size)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"x" * self.size})
        self.count += 1


@then(
    "memory budget: of {count:d} requests on one connection whose answers of {size:d} "
    "bytes stay unread at most {most:d} bytes of answers are held"
)
def step_unread_answers(context, count, size, most):
    async def send_requests():
        application = LargeAnswers(size)
        server = CallerServer(application, "127.0.0.1", 0)
        await server.start()
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
            caller.setblocking(False)
            await loop.sock_connect(caller, ("127.0.0.1", server.port))
            for number in range(1, count + 1):
                await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                for _ in range(50):
                    if application.count >= number:
                        break
                    await asyncio.sleep(0.002)
                if application.count < number:
                    break
            held = 0
            for connection in server.connections:
                held += connection.transport.get_write_buffer_size()
            assert held <= most, (held, application.count)
        await server.finish(0.1)

    asyncio.run(send_requests())
