"""Steps on messages between hosts, over real loopback connections."""

import asyncio
import random
from contextlib import suppress

from behave import given, then, when

from oleanderroute.metrics import Metrics
from oleanderroute.peer.codec import FRAME_LENGTH, encode_frame
from oleanderroute.peer.envelope import (
    HeaderState,
    PeerIdentity,
    decode_reply,
    make_header,
)
from oleanderroute.peer.gen.oleander_messages.ttypes import (
    ManifestRequest,
    PeerRequest,
    RequestBody,
    SlotRequest,
    StatusReply,
    StatusRequest,
)
from oleanderroute.peer.links import LinkFilter
from oleanderroute.peer.server import PeerServer

SEED = 7
TIMEOUT_S = 5.0


def header(fleet="one", version=2):
    identity = PeerIdentity(fleet, "h1", 1, "a", "r")
    made = make_header(identity, HeaderState(1, 1, 1.0))
    made.protocol_version = version
    return made


def request_frame(body=None, **header_fields):
    body = body or RequestBody(status_request=StatusRequest("status"))
    return encode_frame(PeerRequest(1, header(**header_fields), body))


def reject_request(value, message_header):
    raise ValueError("unknown action")


def build_frame(message):
    if message == "random bytes":
        content = random.Random(SEED).randbytes(64)
        return FRAME_LENGTH.pack(len(content)) + content
    if message == "a truncated request":
        content = request_frame()[FRAME_LENGTH.size : -9]
        return FRAME_LENGTH.pack(len(content)) + content
    if message == "a request of fleet two":
        return request_frame(fleet="two")
    if message.startswith("a request of version"):
        return request_frame(version=int(message.split()[-1]))
    if message == "a request of an unknown kind":
        return request_frame(RequestBody())
    if message == "a request without a handler":
        return request_frame(RequestBody(manifest_request=ManifestRequest(0)))
    if message == "a request its handler refuses":
        return request_frame(RequestBody(slot_request=SlotRequest("s", "l", 0)))
    return FRAME_LENGTH.pack(2_000_000)


async def exchange(context, frames):
    """Send frames, one connection for all, and return the replies."""
    context.metrics = Metrics()
    context.drop_reasons = []
    server = PeerServer(
        "one", header, lambda seen: None, LinkFilter(), [context.allowed],
        context.metrics,
    )  # fmt: skip
    server.record_dropped_message = lambda reason, source: context.drop_reasons.append(
        reason
    )
    server.register("status_request", lambda *_: ("status_reply", StatusReply(b"{}")))
    server.register("slot_request", reject_request)
    await server.start("127.0.0.1", 0)
    port = server.server.sockets[0].getsockname()[1]
    replies = []
    async with asyncio.timeout(TIMEOUT_S):
        for connection_frames in frames:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for frame in connection_frames:
                writer.write(frame)
            writer.write_eof()
            received = b""
            with suppress(ConnectionError):
                received = await reader.read()
            writer.close()
            while received:
                (length,) = FRAME_LENGTH.unpack_from(received)
                replies.append(decode_reply(received[4 : 4 + length]))
                received = received[4 + length :]
    await server.close()
    return replies


@given('peer: a server of fleet "one" that answers status requests')
def step_server(context):
    context.allowed = "127.0.0.0/8"


@given("peer: a server that allows only 10.0.0.0/8")
def step_closed_server(context):
    context.allowed = "10.0.0.0/8"


@when("peer: a client sends {message}")
def step_send(context, message):
    context.frame = build_frame(message)


@then('peer: the message is dropped with the reason "{reason}"')
def step_dropped(context, reason):
    context.replies = asyncio.run(exchange(context, [[context.frame]]))
    assert context.replies == []
    assert len(context.drop_reasons) == 1, context.drop_reasons
    assert context.drop_reasons[0].startswith(reason), context.drop_reasons


@then("peer: the next request on {connection} connection is answered")
def step_next(context, connection):
    good = request_frame()
    frames = [[context.frame, good]]
    if connection == "a new":
        frames = [[context.frame], [good]]
    replies = asyncio.run(exchange(context, frames))
    assert [reply.request_id for reply in replies] == [1]


@then("peer: it is answered")
def step_answered(context):
    replies = asyncio.run(exchange(context, [[context.frame]]))
    assert len(replies) == 1


@then("peer: the connection is closed without an answer")
def step_closed(context):
    assert asyncio.run(exchange(context, [[context.frame]])) == []
    assert context.drop_reasons == ["address not allowed"]
