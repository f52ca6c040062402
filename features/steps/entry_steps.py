"""Steps for the data path, with fake targets over loopback."""

import asyncio
import contextlib
import hashlib
import itertools
import os
import socket

import uvloop
from behave import given, then, when

from features.entry_fakes import (
    TEST_TIMEOUT_S,
    Entry,
    FakeTarget,
    read_to_end,
    until,
    wire,
)
from oleanderroute.clock import ManualClock
from oleanderroute.declaration.model import Target
from oleanderroute.entry.caller_protocol import CallerLimits
from oleanderroute.entry.deadlines import DeadlineSweep
from oleanderroute.entry.messages import OutgoingRequest
from oleanderroute.entry.target_pool import TargetPool
from oleanderroute.errors import OleanderError

OK = wire("HTTP/1.1 200 OK~Content-Length: 2~~ok")
SMALL_LIMITS = CallerLimits(connections=4, header_bytes=1000, headers=20)
# Tests of silent targets wait for the whole limit. All others use TEST_TIMEOUT_S, so
# that a slow machine does not turn an answer into a timeout.
SILENCE_LIMIT_S = 0.1
ENDING_LIMITS_S = {
    "is silent": (SILENCE_LIMIT_S, TEST_TIMEOUT_S),
    "stalls": (TEST_TIMEOUT_S, SILENCE_LIMIT_S),
}


def run(context, coroutine):
    """Run a coroutine on the event loop of the scenario, with a timeout."""
    if not hasattr(context, "runner"):
        context.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        context.add_cleanup(context.runner.close)

    async def bounded():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await coroutine

    return context.runner.run(bounded())


def start_target(context, script):
    context.fake = FakeTarget(script)
    context.limits = (TEST_TIMEOUT_S, TEST_TIMEOUT_S)
    run(context, context.fake.start())
    context.pool = TargetPool("host-1", "mvd-a")
    context.target = context.fake.target
    context.add_cleanup(lambda: run(context, context.fake.close()))
    context.add_cleanup(context.pool.close)


def start_entry(context, script, **options):
    context.sent = 0
    context.entry = Entry(FakeTarget(script), **options)
    run(context, context.entry.start())
    context.fake = context.entry.fake
    context.add_cleanup(lambda: run(context, context.entry.close()))


def fixed_script(answer, ending):
    async def script(request, writer):
        writer.write(wire(answer))
        return "close" if ending == "closes" else None

    return script


async def exchange(
    context,
    method="GET",
    path=b"/x",
    limit_s=TEST_TIMEOUT_S,
    between_s=TEST_TIMEOUT_S,
    fresh=False,
):
    """Return the result of an exchange as the feature file writes it."""
    request = OutgoingRequest(method, path, [(b"host", b"a")])
    try:
        answer = await context.pool.exchange(
            context.target, request, limit_s, between_s, fresh
        )
    except OleanderError as error:
        words = [type(error).__name__]
        words += ["sent"] if error.bytes_sent else []
        words += ["reused"] if error.reused else []
        return " ".join(words)
    words = [str(answer.status)]
    words += [answer.body.decode()] if answer.body else []
    for flag in ("not_started", "closes", "draining"):
        words += [flag] if getattr(answer, flag) else []
    return " ".join(words)


async def replace_target(context, serve):
    """Replace the target of the entry by a server that calls ``serve``."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    context.add_cleanup(server.close)
    port = server.sockets[0].getsockname()[1]
    context.entry.pipeline.target = Target("t1", "127.0.0.1", port, "mvd-a")


def connections(context):
    return context.pool.targets["t1"]


@given('entry: a target that answers "{answer}" and then {ending}')
@given('entry: a target that answers "" and then {ending}')
def step_target(context, ending, answer=""):
    start_target(context, fixed_script(answer, ending))
    if ending in ENDING_LIMITS_S:
        context.limits = ENDING_LIMITS_S[ending]


@given("entry: a target that does not listen")
def step_no_target(context):
    start_target(context, None)
    context.fake.server.close()
    run(context, context.fake.server.wait_closed())


@given("entry: a target that answers GET and HEAD")
def step_get_and_head(context):
    async def script(request, writer):
        writer.write(OK[:-2] if request.head.startswith(b"HEAD") else OK)

    start_target(context, script)


@when("entry: the pool sends GET, the target closes at once, the pool sends GET")
def step_close_between(context):
    async def scenario():
        first = await exchange(context)
        descriptor = context.fake.writers[0].get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(descriptor)) as side:
            side.shutdown(socket.SHUT_WR)
        return [first, await exchange(context)]

    context.results = run(context, scenario())


@when("entry: the pool sends HEAD and GET on one connection")
def step_head_and_get(context):
    async def scenario():
        results = [await exchange(context, "HEAD"), await exchange(context)]
        assert context.fake.connections == 1
        return results

    context.results = run(context, scenario())


@given("entry: a target that answers the first request of a connection only")
def step_first_only(context):
    async def script(request, writer):
        if context.fake.requests[1:]:
            assert len(context.fake.requests) == 2
            return "close"
        writer.write(OK)

    start_target(context, script)


@given("entry: a target whose 3rd connection is silent on its 2nd request")
def step_silent_third(context):
    seen = {}

    async def script(request, writer):
        seen[writer] = seen.get(writer, 0) + 1
        if seen[writer] == 2 and context.fake.writers.index(writer) == 2:
            return
        writer.write(OK)

    start_target(context, script)


@given("entry: a target that answers every 2nd request only after its time limit")
def step_late(context):
    context.late = asyncio.Event()

    async def script(request, writer):
        number = request.head.split()[1].removeprefix(b"/")
        if int(number) % 2:
            await context.late.wait()
            context.late.clear()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(number))
        writer.write(number)

    start_target(context, script)


@when("entry: the pool sends {method} /x")
def step_exchange(context, method):
    context.results = [run(context, exchange(context, method, b"/x", *context.limits))]


@when("entry: the pool sends GET /x over 2 connections, 1 permitted")
def step_limited(context):
    context.pool.set_connection_limit("t1", 1)

    async def both():
        first = asyncio.ensure_future(exchange(context))
        await until(lambda: context.fake.requests)
        second = await exchange(context)
        first.cancel()
        return [second]

    context.results = run(context, both())


@when("entry: the pool sends {count:d} requests in turn")
def step_in_turn(context, count):
    context.results = []
    for number in range(count):
        late = hasattr(context, "late") and number % 2
        limit_s = SILENCE_LIMIT_S if late else TEST_TIMEOUT_S
        path = b"/%d" % number
        context.results.append(run(context, exchange(context, "GET", path, limit_s)))
        if late:
            context.late.set()


@when("entry: the pool opens 4 connections, uses the 3rd once more and a fresh one")
def step_generations(context):
    async def scenario():
        for _ in range(4):
            await exchange(context, fresh=True)
        idle = connections(context).idle
        assert [connection.serial for connection in idle] == [1, 2, 3, 4]
        # The last idle connection is used first, so the 3rd is moved to the end.
        idle.append(idle.pop(2))
        silent = await exchange(context, limit_s=SILENCE_LIMIT_S)
        assert [connection.serial for connection in connections(context).idle] == [4]
        return [silent, await exchange(context, fresh=True)]

    context.results = run(context, scenario())


@when("entry: an exchange is cancelled in progress")
def step_cancelled(context):
    async def scenario():
        task = asyncio.ensure_future(exchange(context))
        await until(lambda: context.fake.requests)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    run(context, scenario())


@then('entry: the result is "{result}"')
@then('entry: the results are "{result}"')
def step_results(context, result):
    """Compare the results in order; repeated results are written with a count."""
    runs = []
    for value, group in itertools.groupby(context.results):
        count = len(list(group))
        runs.append(value if count == 1 else f"{count} x {value}")
    assert ", ".join(runs) == result, runs


@then("entry: {count:d} connections are idle")
def step_idle(context, count):
    assert len(connections(context).idle) == count
    run(context, until(lambda: len(connections(context).open) == count))


@then("entry: the target sees its connection closed")
def step_target_closed(context):
    run(context, until(lambda: context.fake.closed))


class ExpiredMember:
    deadline = 0.0
    notified = 0

    def deadline_passed(self, now):
        self.notified += 1


@when("entry: a sweep's round comes 10 seconds after a deadline")
def step_round(context):
    clock = ManualClock()
    sweep = DeadlineSweep(clock, 0.05)
    member = ExpiredMember()

    async def rounds():
        sweep.add(member)
        for advance_s in (10, 0.05):
            clock.advance(advance_s)
            sweep.run_round()
            yield member.notified
        sweep.close()

    async def collect():
        return [notified async for notified in rounds()]

    context.notified = run(context, collect())


@then("entry: the member is told only by the next round")
def step_told(context):
    assert context.notified == [0, 1], context.notified


# Callers


@given("entry: an entry before a target that refuses uploads after their first bytes")
def step_refusing(context):
    start_entry(context, fixed_script("", "stays open"))

    async def refuse(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.read(1)
        writer.write(wire("HTTP/1.1 503 Busy~X-Not-Started: 1~Content-Length: 0~~"))
        while await reader.read(65536):
            pass
        context.fake.closed += 1
        writer.close()

    run(context, replace_target(context, refuse))


@when("entry: a caller starts an upload of 900000 bytes and sends 1000")
def step_starts_upload(context):
    head = wire("PUT / HTTP/1.1~Host: a~Content-Length: 900000~~")
    context.received, context.end = run(context, converse(context, head + b"x" * 1000))


@given('entry: an entry before a target that answers "{answer}" and then {ending}')
@given('entry: an entry before a target that answers "" and then {ending}')
def step_entry(context, ending, answer=""):
    start_entry(context, fixed_script(answer, ending))


@given("entry: an entry with small limits")
def step_small(context):
    context.clock = ManualClock()
    start_entry(
        context,
        fixed_script("HTTP/1.1 200 OK~Content-Length: 0~~", "stays open"),
        limits=SMALL_LIMITS,
        clock=context.clock,
        max_bytes=1000,
    )


@given("entry: an entry before a target that echoes digests and large answers")
def step_echo(context):
    async def script(request, writer):
        size = int(request.head.split()[1].removeprefix(b"/"))
        head = f"HTTP/1.1 200 OK~X-Digest: {request.digest.hexdigest()}~"
        writer.write(wire(f"{head}Content-Length: {size}~~"))
        writer.write(patterned(size))

    start_entry(context, script)


@given("entry: an entry before a target that sends 60000000 bytes")
def step_sender(context):
    async def script(request, writer):
        writer.write(wire("HTTP/1.1 200 OK~Content-Length: 60000000~~"))
        await send_counted(context, writer)

    start_entry(context, script)


@given("entry: an entry before a target that reads nothing")
def step_non_reader(context):
    start_entry(context, fixed_script("", "stays open"))

    async def ignore_all(reader, writer):
        reader._transport.pause_reading()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(TEST_TIMEOUT_S)

    run(context, replace_target(context, ignore_all))


@given(
    "entry: an entry before a target that breaks off a {framing} answer "
    "after {size:d} bytes"
)
def step_breaking(context, framing, size):
    async def script(request, writer):
        if framing == "sized":
            writer.write(wire("HTTP/1.1 200 OK~Content-Length: 900000~~"))
            writer.write(b"x" * size)
        else:
            writer.write(wire("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~"))
            writer.write(b"%x\r\n" % size + b"x" * size + b"\r\n")
        await writer.drain()
        return "close"

    start_entry(context, script)


@given("entry: an entry before a target that answers late")
def step_late_entry(context):
    context.go_on = asyncio.Event()

    async def script(request, writer):
        await context.go_on.wait()
        writer.write(OK)

    start_entry(context, script)


def patterned(size):
    return (bytes(range(256)) * (size // 256 + 1))[:size]


async def send_counted(context, writer):
    """Write 60 MB and count the bytes that the writer accepted."""
    for _ in range(600):
        writer.write(b"x" * 100_000)
        await writer.drain()
        context.sent += 100_000


async def converse(context, data):
    reader, writer = await context.entry.connect()
    writer.write(data)
    received = await read_to_end(reader)
    writer.close()
    return received


@when('entry: a caller sends "{request}"')
def step_caller(context, request):
    context.received, context.end = run(context, converse(context, wire(request)))


@when("entry: a caller sends {count:d} bytes of {part}")
def step_caller_much(context, count, part):
    head = "GET / HTTP/1.1~Host: a~"
    requests = {
        "one header": f"{head}A: {'a' * count}~~",
        "an endless value": f"{head}A: {'a' * count}",
        "short headers": head + "A: b~" * (count // 6) + "~",
        "request target": f"GET /{'a' * count} HTTP/1.1~Host: a~~",
        "chunked body": "POST / HTTP/1.1~Host: a~Connection: close~"
        f"Transfer-Encoding: chunked~~{count:x}~{'a' * count}~0~~",
        "declared body": f"POST / HTTP/1.1~Host: a~Content-Length: {count}~~",
    }
    step_caller(context, requests[part])
    # The pipeline enforces the size limit of a body, so it has handled the request.
    context.entry.pipeline.handled -= part == "declared body"


@when('entry: a caller sends "{sent}" and then nothing for {seconds:d} seconds')
@when('entry: a caller sends "" and then nothing for {seconds:d} seconds')
def step_slow(context, seconds, sent=""):
    async def scenario():
        server = context.entry.server
        reader, writer = await context.entry.connect()
        await until(lambda: server.connections)
        protocol = next(iter(server.connections))
        writer.write(wire(sent))
        await until(lambda: protocol.raw_bytes == len(wire(sent)))
        context.clock.advance(seconds - 2)
        server.sweep.check(context.clock.now())
        assert not protocol.transport.is_closing() and not protocol.discarding
        context.clock.advance(2)
        server.sweep.check(context.clock.now())
        return await read_to_end(reader)

    context.received, context.end = run(context, scenario())


@when("entry: {count:d} callers connect")
def step_many(context, count):
    async def scenario():
        for _ in range(count):
            reader, writer = await context.entry.connect()
            context.add_cleanup(writer.close)
        return await read_to_end(reader)

    context.received, context.end = run(context, scenario())


@when(
    "entry: a caller uploads {up:d} bytes {framing} and downloads {down:d} bytes",
)
def step_transfer(context, up, framing, down):
    body = patterned(up)
    context.expected = (hashlib.sha256(body).hexdigest(), patterned(down))
    head = f"POST /{down} HTTP/1.1~Host: a~Connection: close~"
    if framing == "sized":
        data = wire(f"{head}Content-Length: {up}~~") + body
    else:
        data = wire(f"{head}Transfer-Encoding: chunked~~")
        for start in range(0, up, 50_000):
            chunk = body[start : start + 50_000]
            data += b"%x\r\n%b\r\n" % (len(chunk), chunk)
        data += b"0\r\n\r\n"
    context.received, context.end = run(context, converse(context, data))


@when("entry: a caller reads nothing")
def step_reads_nothing(context):
    async def scenario():
        reader, writer = await context.entry.connect()
        writer.transport.pause_reading()
        context.add_cleanup(writer.close)
        writer.write(wire("GET / HTTP/1.1~Host: a~~"))
        await until(lambda: context.fake.requests)
        await wait_until_stalled(context)

    run(context, scenario())


@when("entry: a caller uploads 60000000 bytes")
def step_uploads(context):
    async def scenario():
        reader, writer = await context.entry.connect()
        context.add_cleanup(writer.close)
        writer.write(wire("PUT / HTTP/1.1~Host: a~Content-Length: 60000000~~"))
        context.task = asyncio.ensure_future(send_counted(context, writer))
        await wait_until_stalled(context)
        context.task.cancel()

    run(context, scenario())


async def wait_until_stalled(context):
    """Wait until the sender makes no progress for 0.3 seconds."""
    before = 0
    while before == 0 or context.sent != before:
        before = context.sent
        await asyncio.sleep(0.3)


@when("entry: a caller leaves while its request is in progress")
def step_leaves(context):
    async def scenario():
        reader, writer = await context.entry.connect()
        writer.write(wire("GET / HTTP/1.1~Host: a~~"))
        await until(lambda: context.fake.requests)
        writer.close()

    run(context, scenario())


@when("entry: a caller expects 100 for bodies of 10 and 2000 bytes")
def step_expects(context):
    async def interim(size):
        reader, writer = await context.entry.connect()
        head = f"POST / HTTP/1.1~Host: a~Expect: 100-continue~Content-Length: {size}~~"
        writer.write(wire(head))
        line = await reader.readline()
        writer.close()
        return "100" if b" 100 " in line else "none"

    async def scenario():
        return f"{await interim(10)} {await interim(2000)}"

    context.interim = run(context, scenario())


@when("entry: the server stops with a request in flight and one on an old connection")
def step_stops(context):
    async def scenario():
        server = context.entry.server
        callers = [await context.entry.connect() for _ in range(2)]
        await until(lambda: len(server.connections) == 2)
        for number, (_, writer) in enumerate(callers, 1):
            writer.write(wire("GET / HTTP/1.1~Host: a~~"))
            await until(lambda n=number: len(context.fake.requests) == n)
            if number == 1:
                await server.stop_accepting()
        stopping = asyncio.ensure_future(server.finish(TEST_TIMEOUT_S))
        await asyncio.sleep(0)
        context.go_on.set()
        context.received = b""
        for reader, writer in callers:
            received, context.end = await read_to_end(reader)
            assert b"connection: close" in received, received
            context.received += received
            writer.close()
        context.cut = await stopping

    run(context, scenario())


@given("entry: an entry before a target that answers each request after {wait_s:g} s")
def step_slow_entry(context, wait_s):
    async def script(request, writer):
        await asyncio.sleep(wait_s)
        writer.write(OK)

    start_entry(context, script)


@when(
    "entry: the server stops at the moment at which {count:d} callers have connected "
    "and sent"
)
def step_stops_at_accept(context, count):
    async def scenario():
        server = context.entry.server
        # All requests are at the target at the same time.
        context.entry.pipeline.pool.set_connection_limit("t1", count)
        sockets = []
        for _ in range(count):
            # Without a pass of the event loop, which would accept the connection.
            sock = socket.create_connection(("127.0.0.1", server.port))
            sock.sendall(wire("GET / HTTP/1.1~Host: a~~"))
            sock.setblocking(False)
            sockets.append(sock)
        await server.stop_accepting()
        stopping = asyncio.ensure_future(server.finish(TEST_TIMEOUT_S))
        context.answers = []
        for sock in sockets:
            reader, writer = await asyncio.open_connection(sock=sock)
            context.answers.append(await read_to_end(reader))
            writer.close()
        context.cut = await stopping

    run(context, scenario())


@then("entry: each of them got the status 200")
def step_all_served(context):
    for received, end in context.answers:
        assert received.startswith(b"HTTP/1.1 200 "), (received, end)
        assert b"connection: close" in received, received


@then('entry: the caller\'s connection ends with statuses "{statuses}"')
@then('entry: the last caller\'s connection ends with statuses "{statuses}"')
@then('entry: the caller\'s connection ends with statuses ""')
def step_statuses(context, statuses=""):
    found = []
    for part in context.received.split(b"HTTP/1.1 ")[1:]:
        found.append(part[:3].decode())
    assert " ".join(found) == statuses, context.received
    for status in found:
        refused = status != "200"
        assert (b"oleander-outcome: not-run" in context.received) == refused


@then("entry: the pipeline handled {count:d} requests")
def step_handled(context, count):
    assert context.entry.pipeline.handled == count, context.entry.pipeline.handled


@then("entry: both digests match")
def step_digests(context):
    digest, content = context.expected
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert f"x-digest: {digest}".encode() in head.lower(), head
    assert body == content and context.end == "closed"


@then("entry: at most {bound:d} of {total:d} bytes leave the sender")
def step_bounded(context, bound, total):
    assert 0 < context.sent <= bound < total, context.sent


@then("entry: the caller's connection is reset")
def step_reset(context):
    assert context.end == "reset", context.end
    assert not context.received.endswith(b"0\r\n\r\n")


@then('entry: the interim statuses are "{statuses}"')
def step_interim(context, statuses):
    assert context.interim == statuses, context.interim


@then("entry: no request was cut and new connections are refused")
def step_refused(context):
    assert context.cut == 0

    async def scenario():
        try:
            await context.entry.connect()
        except ConnectionRefusedError:
            return True
        return False

    assert run(context, scenario())


@then('entry: the target got "{present}" and not "{absent}"')
def step_forwarded(context, present, absent):
    head = context.fake.requests[0].lower.decode()
    assert present in head
    for name in absent.split():
        assert name not in head, head


@then('entry: the caller got "{present}" and not "{absent}"')
def step_received(context, present, absent):
    received = context.received.lower().decode()
    for line in present.replace("~", "\r\n").split(","):
        assert line in received, received
    for word in absent.split():
        assert word not in received, received
