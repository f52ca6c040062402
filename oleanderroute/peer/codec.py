"""Encoding of messages between hosts: framed thrift compact protocol."""

import asyncio
import struct
from dataclasses import dataclass

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import MessageRejected
from ..ids import FailureDomain, HostId, Incarnation, Region
from .gen.oleander_messages.ttypes import Header, PeerReply, PeerRequest

PROTOCOL_VERSION = 3
# Hosts of adjacent versions run side by side during a rolling upgrade.
ACCEPTED_VERSIONS = frozenset(
    {PROTOCOL_VERSION - 1, PROTOCOL_VERSION, PROTOCOL_VERSION + 1}
)
# A chunk of the declaration has at most 512 KiB; the rest is for headers.
MAX_FRAME_BYTES = 1024 * 1024
MAX_STRING_BYTES = MAX_FRAME_BYTES
MAX_CONTAINER_ITEMS = 100_000
FRAME_LENGTH = struct.Struct("!I")

PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES,
    container_length_limit=MAX_CONTAINER_ITEMS,
)


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Header fields that identify the sending host.

    Attributes
    ----------
    incarnation : int
        Random number drawn at process start; distinguishes a restarted host from
        its previous process.
    """

    fleet: str
    host_id: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain
    region: Region


@dataclass(frozen=True, slots=True)
class HeaderState:
    """Header fields that change while a host runs.

    Attributes
    ----------
    uptime_s : float
        Seconds since the process started.
    host_list_age_s : float or None
        Seconds since the platform confirmed the host list.
    """

    revision: int
    host_list_version: int
    uptime_s: float
    host_list_age_s: float | None = None


def encode_frame(message, limit=MAX_FRAME_BYTES):
    """Return ``message`` as one length-prefixed frame.

    Parameters
    ----------
    limit : int
        Maximum length of a frame body in bytes.

    Raises
    ------
    MessageRejected
        If the frame body is longer than ``limit``.
    """
    body = encode_message(message)
    if len(body) > limit:
        raise MessageRejected(f"oversized frame: {len(body)} bytes")
    return FRAME_LENGTH.pack(len(body)) + body


async def read_frame(reader, limit=MAX_FRAME_BYTES):
    """Return the body of the next frame of an ``asyncio.StreamReader``.

    Parameters
    ----------
    limit : int
        Maximum length of a frame body in bytes.

    Raises
    ------
    MessageRejected
        If the announced length is above ``limit``.
    asyncio.IncompleteReadError
    """
    (length,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
    if length > limit:
        raise MessageRejected(f"oversized frame: {length} bytes")
    return await reader.readexactly(length)


async def read_large_frame(reader, limit, stall_timeout_s):
    """Return the body of the next frame, which may take long on a slow link.

    Parameters
    ----------
    limit : int
        Maximum length of a frame body in bytes.
    stall_timeout_s : float
        Seconds without any byte after which the frame is given up.

    Raises
    ------
    MessageRejected
        If the announced length is above ``limit``.
    TimeoutError, asyncio.IncompleteReadError
    """
    async with asyncio.timeout(stall_timeout_s):
        (length,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
    if length > limit:
        raise MessageRejected(f"oversized frame: {length} bytes")
    body = bytearray()
    while len(body) < length:
        async with asyncio.timeout(stall_timeout_s):
            received = await reader.read(length - len(body))
        if not received:
            raise asyncio.IncompleteReadError(bytes(body), length)
        body += received
    return bytes(body)


def encode_message(message):
    """Return ``message`` without a length prefix, as sent in a datagram."""
    transport = TMemoryBuffer()
    message.write(PROTOCOL_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode_message(message, body):
    """Decode ``body`` into the empty ``message``, validate it and return it.

    Raises
    ------
    MessageRejected
        If the bytes are not a complete message.
    """
    try:
        message.read(PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(body)))
        message.validate()
    except Exception as error:
        # The accelerated codec raises plain Python errors on malformed bytes.
        raise MessageRejected(f"malformed message: {error!r}") from error
    return message


def decode_request(body):
    """Decode a frame body into a checked ``PeerRequest``.

    Raises
    ------
    MessageRejected
        If the bytes are not a complete request.
    """
    return _decode(PeerRequest(), body)


def decode_reply(body):
    """Decode a frame body into a checked ``PeerReply``.

    Raises
    ------
    MessageRejected
        If the bytes are not a complete reply.
    """
    return _decode(PeerReply(), body)


def _decode(message, body):
    decode_message(message, body)
    try:
        message.header.validate()
    except TProtocolException as error:
        raise MessageRejected(f"malformed message: {error!r}") from error
    return message


def check_header(header, fleet):
    """Reject messages of other fleets and of unsupported protocol versions.

    Raises
    ------
    MessageRejected
    """
    if header.protocol_version not in ACCEPTED_VERSIONS:
        raise MessageRejected(f"protocol version: {header.protocol_version}")
    if header.fleet != fleet:
        raise MessageRejected("message of another fleet")


def union_field(body):
    """Return the name and value of the field that is set in a thrift union.

    Raises
    ------
    MessageRejected
        If no field is set, as with a message kind of a newer version.
    """
    for name in body.__slots__:
        value = getattr(body, name)
        if value is not None:
            return name, value
    raise MessageRejected("message of unknown kind")


def make_header(identity, state):
    """Build the header of a message.

    Parameters
    ----------
    identity : PeerIdentity
    state : HeaderState
    """
    return Header(
        protocol_version=PROTOCOL_VERSION,
        host_id=identity.host_id,
        incarnation=identity.incarnation,
        failure_domain=identity.failure_domain,
        region=identity.region,
        revision=state.revision,
        host_list_version=state.host_list_version,
        uptime_s=state.uptime_s,
        fleet=identity.fleet,
        host_list_age_s=state.host_list_age_s,
    )
