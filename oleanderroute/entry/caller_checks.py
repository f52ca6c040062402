"""Checks that refuse a caller's request before it reaches the pipeline."""

from enum import Enum
from urllib.parse import unquote

from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from ..errors import OleanderError

# Stalled requests are refused within this time, which makes room.
RETRY_AFTER_LINE = b"retry-after: 1.0\r\n"


class RefusalReason(Enum):
    """Why a request was refused before it reached the pipeline.

    The value is the ``Oleander-Reason`` code.
    """

    MALFORMED = "malformed-request"
    FRAMING = "ambiguous-framing"
    HOST = "missing-host"
    REQUEST_TARGET = "request-target"
    UPGRADE = "upgrade-not-supported"
    VERSION = "http-version"
    HEADER_SIZE = "header-size"
    HEADER_TIMEOUT = "header-timeout"
    CONNECTIONS = "too-many-connections"
    MEMORY = "memory-pressure"


class RequestRefused(OleanderError):
    """Stops the parser; the caller gets ``status`` and the connection closes.

    Parameters
    ----------
    status : int
    reason : RefusalReason
    """

    def __init__(self, status, reason):
        super().__init__(reason.value)
        self.status = status
        self.reason = reason


class PipelinedRequest(OleanderError):
    """A caller sent a request before the previous one was answered."""


def decode_path(raw_path):
    """Return the decoded path of an origin-form request target.

    Dot segments are refused, because a target would resolve them to a path other
    than the one matched against the routes.

    Raises
    ------
    RequestRefused
    """
    if not raw_path.startswith(b"/"):
        raise RequestRefused(400, RefusalReason.REQUEST_TARGET)
    path = raw_path.decode("latin-1")
    if "%" in path:
        path = unquote(path)
    if "/." in path:
        segments = path.split("/")
        if "." in segments or ".." in segments:
            raise RequestRefused(400, RefusalReason.REQUEST_TARGET)
    return path


def encode_refusal(status, reason, may_return=False):
    """Return the encoded answer to a refused request.

    Parameters
    ----------
    status : int
    reason : RefusalReason
    may_return : bool
        Whether the caller is told when there will be room.
    """
    return b"%bcontent-length: 0\r\nconnection: close\r\n%b%b%b\r\n\r\n" % (
        STATUS_LINE[status],
        RETRY_AFTER_LINE if may_return else b"",
        b"oleander-outcome: not-run\r\noleander-reason: ",
        reason.value.encode("ascii"),
    )
