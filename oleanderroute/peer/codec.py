"""Encoding of messages between hosts: framed thrift compact protocol."""

import asyncio
import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import MessageRejected

# A chunk of the declaration has at most 512 KiB; the rest is for headers.
MAX_FRAME_BYTES = 1024 * 1024
MAX_STRING_BYTES = MAX_FRAME_BYTES
MAX_CONTAINER_ITEMS = 100_000
FRAME_LENGTH = struct.Struct("!I")

PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES,
    container_length_limit=MAX_CONTAINER_ITEMS,
)


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
