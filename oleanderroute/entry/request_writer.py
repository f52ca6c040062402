"""Encodes requests to targets."""

from ..errors import TargetError
from .messages import BodyReader

# Methods whose requests have a Content-Length even for an empty body.
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
LAST_CHUNK = b"0\r\n\r\n"


class BodyLengthMismatch(TargetError):
    """The body of a request differs from its declared length."""


def encode_head(request):
    """Return the encoded request line and headers of an ``OutgoingRequest``."""
    method = request.method.encode("ascii")
    lines = [b"%b %b HTTP/1.1\r\n" % (method, request.raw_target)]
    for header in request.headers:
        lines.append(b"%b: %b\r\n" % header)
    body = request.body
    if isinstance(body, BodyReader):
        if request.content_length is None:
            lines.append(b"transfer-encoding: chunked\r\n")
        else:
            lines.append(b"content-length: %d\r\n" % request.content_length)
    elif body or request.method in BODY_METHODS:
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    return b"".join(lines)


async def copy_body(connection, body, content_length):
    """Write the chunks of ``body`` with the declared framing.

    Parameters
    ----------
    connection : TargetConnection
    body : BodyReader
    content_length : int or None
        Declared length of ``body`` in bytes; None for chunked framing.
    """
    remaining = content_length
    while chunk := await body.read_chunk():
        if remaining is None:
            connection.transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        else:
            remaining -= len(chunk)
            if remaining < 0:
                raise BodyLengthMismatch("body longer than declared", True)
            connection.transport.write(chunk)
            connection.is_written = remaining == 0
        if connection.can_write is not None:
            await connection.can_write
    if remaining is None:
        connection.transport.write(LAST_CHUNK)
    elif remaining:
        raise BodyLengthMismatch("body shorter than declared", True)
