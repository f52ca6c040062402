"""Steps on bytes that a target sends on connections that are used again."""

import asyncio
import socket
import struct

from behave import given, then

from features.entry_fakes import FakeTarget
from oleanderroute.declaration.model import Target
from oleanderroute.entry.messages import BodyReader, OutgoingRequest
from oleanderroute.entry.target_pool import TargetPool
from oleanderroute.errors import MalformedAnswer, TargetError
from oleanderroute.platform.headers import PlatformDialect

LIMIT_S = 5.0
# Long enough for bytes to cross the loopback before the next ones.
GAP_S = 0.05
PIECE = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BODY = b"first half, second half"
BODIES = {
    "sized": (b"Content-Length: %d\r\n" % len(BODY), BODY),
    "chunked": (
        b"Transfer-Encoding: chunked\r\n",
        b"b\r\nfirst half,\r\nc\r\n second half\r\n0\r\n\r\n",
    ),
    "unframed": (b"", BODY),
}


def answer(status, attempt_id, body, extra=b""):
    """Return the bytes of an answer; without an id if that is None."""
    head = b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n" % (status, len(body))
    if 200 <= status < 300:
        head += b"X-Response-Seal: s\r\n"
    if attempt_id is not None:
        head += b"X-Attempt-Id: %b\r\n" % attempt_id
    return head + extra + b"\r\n" + body


async def exchange(pool, target, attempt_id):
    request = OutgoingRequest(
        "POST",
        b"/order/1",
        [(b"host", b"a"), (b"x-attempt-id", attempt_id)],
        request_id=attempt_id,
    )
    async with asyncio.timeout(LIMIT_S):
        return await pool.exchange(target, request, LIMIT_S, LIMIT_S)


async def with_target(script, work):
    """Run ``work(pool, target)`` beside a target that answers by ``script``."""
    fake = FakeTarget(script)
    await fake.start()
    pool = TargetPool("h1", "mvd-a", dialect=PlatformDialect())
    try:
        return await work(pool, fake)
    finally:
        pool.close()
        await fake.close()


@given(
    "kept connections: a target that writes its {kind} {id_words} once more {when} the "
    "next request"
)
def step_repeating_target(context, kind, id_words, when):
    def first_answer(attempt_id):
        if kind == "refusal":
            return answer(503, attempt_id, b"", b"X-Not-Executed: 1\r\n")
        return answer(200, attempt_id, b"for a1")

    repeated = first_answer(b"a1" if id_words == "with its id" else None)
    served = []

    async def script(request, writer):
        served.append(request)
        if len(served) == 1:
            writer.write(first_answer(b"a1"))
            if when == "before":
                await asyncio.sleep(GAP_S)
                writer.write(repeated)
            return
        if when == "after":
            writer.write(repeated)
            await asyncio.sleep(GAP_S)
        writer.write(answer(200, b"a2", b"for a2"))

    context.script = script
    context.connections = 2 if when == "before" else 1


@then("kept connections: the next request gets {result}")
def step_next_request(context, result):
    async def work(pool, fake):
        first = await exchange(pool, fake.target, b"a1")
        assert first.echoed_id == b"a1", first
        await asyncio.sleep(2 * GAP_S)
        try:
            found = await exchange(pool, fake.target, b"a2")
        except MalformedAnswer as error:
            assert result == "an unknown end" and error.bytes_sent, error
        else:
            assert result == "its own answer", found
            assert (found.status, found.body) == (200, b"for a2"), found
            assert not found.not_started, found
        assert fake.connections == context.connections, fake.connections
        assert len(fake.requests) == 2, fake.requests

    asyncio.run(with_target(context.script, work))


@then(
    "kept connections: a {form} answer that is {ending} after each byte of its {part} "
    "fails"
)
def step_cut_answers(context, form, ending, part):
    framing, body = BODIES[form]
    head = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: a1\r\n" + framing
    head += b"\r\n"
    whole = head + body
    cuts = range(len(head)) if part == "head" else range(len(head), len(whole))

    async def check(cut):
        async def script(request, writer):
            writer.write(whole[:cut])
            await writer.drain()
            if ending == "reset":
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                await asyncio.sleep(0.005)
                writer.transport.abort()
            return "close"

        async def work(pool, fake):
            try:
                found = await exchange(pool, fake.target, b"a1")
            except TargetError as error:
                assert error.bytes_sent, error
                return
            raise AssertionError(f"cut after {cut} bytes: {found}")

        await with_target(script, work)

    async def check_all():
        for cut in cuts:
            await check(cut)

    asyncio.run(check_all())


# Heads of successes that are not the target's answer to the request "a1", or not its
# body as it was made; the framing follows.
SEAL = b"X-Response-Seal: s\r\n"
OWN_ID = b"X-Attempt-Id: a1\r\n"
UNPROVEN_HEADS = {
    "nothing": b"",
    "an id, no seal": OWN_ID,
    "an id, an empty seal": OWN_ID + b"X-Response-Seal:\r\n",
    "a seal, no id": SEAL,
    "a seal, an empty id": SEAL + b"X-Attempt-Id:\r\n",
    "two ids": SEAL + b"X-Attempt-Id: other\r\n" + OWN_ID,
    "two ids, its own first": SEAL + OWN_ID + b"X-Attempt-Id: other\r\n",
    "a rejection's mark": SEAL + OWN_ID + b"X-Not-Executed: 1\r\n",
    "an encoding": SEAL + OWN_ID + b"Content-Encoding: gzip\r\n",
}
LONG_BODY = b"x" * 200_000
KINDS = {
    "short sized": (b"POST", b"Content-Length: 5\r\n\r\nhello"),
    "long sized": (b"POST", b"Content-Length: 200000\r\n\r\n" + LONG_BODY),
    "chunked": (b"POST", b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    "unframed": (b"POST", b"\r\n" + LONG_BODY),
    "headless": (b"HEAD", b"Content-Length: 5\r\n\r\n"),
    "empty": (b"POST", b"\r\n"),
}


async def exchange_kind(pool, target, kind, attempt_id):
    """Return the answer to a request, with its whole body read."""
    method, _ = KINDS[kind]
    request = OutgoingRequest(
        method.decode(),
        b"/order/1",
        [(b"host", b"a"), (b"x-attempt-id", attempt_id)],
        request_id=attempt_id,
    )
    async with asyncio.timeout(LIMIT_S):
        found = await pool.exchange(target, request, LIMIT_S, LIMIT_S)
        body = b"".join([chunk async for chunk in found.chunks()])
    return found, body


def success(kind, marks):
    """Return the bytes of a success with ``marks`` among its headers."""
    status = b"204 No Content" if kind == "empty" else b"200 OK"
    return b"HTTP/1.1 " + status + b"\r\n" + marks + KINDS[kind][1]


@then("kept connections: a {kind} success with {marks} on a {age} connection is {end}")
def step_success(context, kind, marks, age, end):
    heads = {**UNPROVEN_HEADS, "seal and id": SEAL + OWN_ID}

    async def script(request, writer):
        if b"x-attempt-id: a0" in request.lower:
            writer.write(answer(200, b"a0", b""))
            return
        writer.write(success(kind, heads[marks]))
        await writer.drain()
        return "close"

    async def work(pool, fake):
        if age == "used":
            await exchange(pool, fake.target, b"a0")
        try:
            _, body = await exchange_kind(pool, fake.target, kind, b"a1")
        except MalformedAnswer as error:
            assert end == "refused" and error.bytes_sent, error
        else:
            assert end == "passed on", (kind, marks, body[:20])
            if KINDS[kind][0] == b"POST" and kind != "empty":
                assert body in (b"hello", LONG_BODY), body[:20]
        assert fake.connections == 1, fake.connections

    asyncio.run(with_target(script, work))


@then("kept connections: no success with {marks} is passed on, of any kind")
def step_no_unproven_success(context, marks):
    for kind in KINDS:
        for age in ("new", "used"):
            step_success(context, kind, marks, age, "refused")


@then("kept connections: each kind of success with seal and id is passed on")
def step_proven_success(context):
    for kind in KINDS:
        for age in ("new", "used"):
            step_success(context, kind, "seal and id", age, "passed on")


@then(
    "kept connections: {count:d} answers with status {status} before the answer {end} "
    "within {limit_s:g} s"
)
def step_statuses(context, count, status, end, limit_s):
    interim = b"HTTP/1.1 %b Status\r\n%b\r\n" % (status.encode(), SEAL + OWN_ID)

    async def script(request, writer):
        for _ in range(count):
            writer.write(interim)
            await writer.drain()
            await asyncio.sleep(0.005)
        if end == "are passed over":
            writer.write(answer(200, b"a1", b"final"))

    async def work(pool, fake):
        try:
            async with asyncio.timeout(limit_s):
                found = await exchange(pool, fake.target, b"a1")
        except MalformedAnswer as error:
            assert end == "fail the request" and error.bytes_sent, error
        else:
            assert end == "are passed over" and found.body == b"final", found

    asyncio.run(with_target(script, work))


class SlowUpload(BodyReader):
    """A body of 0.6 s that is read in pieces."""

    def __init__(self):
        self.pieces = 30
        self.length = self.pieces * PIECE

    async def read_chunk(self):
        await asyncio.sleep(0.02)
        self.pieces -= 1
        return b"u" * PIECE if self.pieces >= 0 else b""


async def upload(pool, target, body):
    """Return the whole body of the answer to an upload."""
    request = OutgoingRequest(
        "POST",
        b"/artwork/1",
        [(b"host", b"a"), (b"x-attempt-id", b"a1")],
        body,
        len(body) if isinstance(body, bytes) else body.length,
        request_id=b"a1",
    )
    async with asyncio.timeout(LIMIT_S):
        found = await pool.exchange(target, request, LIMIT_S, LIMIT_S)
        return b"".join([chunk async for chunk in found.chunks()])


@then(
    "kept connections: an early {framing} answer to uploads, {ending} after "
    "{delay_s:g} s, fails"
)
def step_early_answer(context, framing, ending, delay_s):
    heads = {
        "unframed": b"\r\n",
        "sized": b"Content-Length: 500000\r\n\r\n",
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n7a120\r\n",
    }

    async def check(part, upload_body):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + SEAL + OWN_ID + heads[framing] + part)
            await writer.drain()
            await asyncio.sleep(delay_s)
            if ending == "reset":
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = TargetPool("h1", "mvd-a", dialect=PlatformDialect())
        try:
            target = Target("t1", "127.0.0.1", port, "mvd-a")
            body = await upload(pool, target, upload_body)
        except TargetError as error:
            assert error.bytes_sent, error
        else:
            raise AssertionError(f"{len(body)} bytes passed on as a whole answer")
        finally:
            pool.close()
            server.close()

    async def check_all():
        for size in (100, 100_000):
            for body in (SlowUpload(), b"u" * 2_000_000):
                await check(b"p" * size, body)

    asyncio.run(check_all())


@then("kept connections: an unframed answer to an upload that was read is passed on")
def step_read_upload(context):
    async def script(request, writer):
        writer.write(success("unframed", SEAL + OWN_ID))
        await writer.drain()
        return "close"

    async def work(pool, fake):
        assert await upload(pool, fake.target, SlowUpload()) == LONG_BODY

    asyncio.run(with_target(script, work))


@then(
    "kept connections: an earlier {earlier} cut after each byte of its head, then "
    "{own}, {pieces}, is never mixed"
)
def step_broken_head(context, earlier, own, pieces):
    # Its id and its length come last, so that the next answer's may take their place.
    first = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    if earlier == "success":
        first = b"HTTP/1.1 200 OK\r\n" + SEAL
    first += b"X-Server: one\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
    expected = (200, b"for a2") if own == "a success" else (409, b"no a2")
    second = answer(expected[0], b"a2", expected[1])
    mixed = []

    async def check(cut):
        served = []

        async def script(request, writer):
            served.append(request)
            if len(served) == 1:
                writer.write(answer(200, b"a1", b"for a1"))
                return
            data = first[:cut] + second
            step = 7 if pieces == "in pieces" else len(data)
            for start in range(0, len(data), step):
                writer.write(data[start : start + step])
                await asyncio.sleep(0)
            return "close"

        async def work(pool, fake):
            await exchange(pool, fake.target, b"a1")
            try:
                found = await exchange(pool, fake.target, b"a2")
            except TargetError as error:
                assert error.bytes_sent, error
                return
            if (found.status, found.body, found.not_started) != (*expected, False):
                mixed.append((cut, found))

        await with_target(script, work)

    async def check_all():
        for cut in range(len(first) + 1):
            await check(cut)

    asyncio.run(check_all())
    assert not mixed, mixed[:3]
