"""Messages between the caller's side, the pipeline and the targets' side."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from ..errors import OleanderError
from ..ids import RequestId
from ..outcome import CallerOutcome

# RFC 9110, section 7.6.1, and the older names that proxies must not forward.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# A target connection writes the framing itself, and the pipeline sets the rest. A
# caller could forge its identity or lift its deadline with them.
RESERVED_REQUEST_HEADERS = frozenset(
    {
        b"content-length",
        b"expect",
        b"x-request-id",
        b"deadline-unix-ms",
        b"x-entry-host",
        b"x-entry-domain",
    }
)
# The caller's side sets these; a target must not be able to forge an outcome.
RESERVED_ANSWER_HEADERS = frozenset(
    {
        b"oleander-outcome",
        b"oleander-reason",
        b"oleander-request-id",
        b"oleander-recorded-status",
    }
)
DROPPED_FROM_REQUEST = HOP_BY_HOP | RESERVED_REQUEST_HEADERS
DROPPED_FROM_ANSWER = HOP_BY_HOP | RESERVED_ANSWER_HEADERS


class BodyTooLarge(OleanderError):
    """A request body exceeds the bound of its route.

    Parameters
    ----------
    limit_bytes : int

    Attributes
    ----------
    bytes_sent : bool
        Whether a part of the request may have reached a target; the target's
        connection sets it.
    """

    def __init__(self, limit_bytes):
        super().__init__(f"body exceeds {limit_bytes} bytes")
        self.limit_bytes = limit_bytes
        self.bytes_sent = False


class AnswerBroken(OleanderError):
    """An answer broke off after its first bytes went to the caller."""


class BodyReader(ABC):
    """The body of a request, read piece by piece.

    Attributes
    ----------
    length : int or None
        Declared length in bytes; None for a chunked body.
    """

    length: int | None = None

    @abstractmethod
    async def read_chunk(self) -> bytes:
        """Return the next bytes, empty at the end.

        The caller's socket is read only as fast as this is called.

        Raises
        ------
        CallerDisconnected, BodyTooLarge
        """

    def limit(self, max_bytes):
        """Set the bound of the route, in bytes.

        Raises
        ------
        BodyTooLarge
            At once if the declared length exceeds the bound. A chunked body fails
            in ``read_chunk`` when it does.
        """
        if self.length is not None and self.length > max_bytes:
            raise BodyTooLarge(max_bytes)


class BytesBody(BodyReader):
    """A body that is in memory."""

    def __init__(self, content=b""):
        self.length = len(content)
        self.content = content

    async def read_chunk(self):
        """Return the whole content, then nothing."""
        content = self.content
        self.content = b""
        return content


class PrefixedBody(BodyReader):
    """A body whose first bytes were already read.

    Parameters
    ----------
    prefix : bytes
    rest : BodyReader
    """

    def __init__(self, prefix, rest):
        self.length = rest.length
        self.prefix = prefix
        self.rest = rest

    async def read_chunk(self):
        """Return the prefix, then the chunks of the rest."""
        if self.prefix:
            prefix = self.prefix
            self.prefix = b""
            return prefix
        return await self.rest.read_chunk()


@dataclass(slots=True)
class BodyPrefix:
    """The first bytes of a body.

    Attributes
    ----------
    complete : bool
        Whether ``content`` is the whole body.
    """

    content: bytes
    complete: bool


async def read_body_prefix(body, max_bytes):
    """Read a body until its end or until ``max_bytes`` or more are read.

    Returns
    -------
    BodyPrefix
    """
    pieces = []
    size = 0
    while size < max_bytes:
        chunk = await body.read_chunk()
        if not chunk:
            return BodyPrefix(b"".join(pieces), True)
        pieces.append(chunk)
        size += len(chunk)
    return BodyPrefix(b"".join(pieces), size == body.length)


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller whose headers are complete.

    Attributes
    ----------
    path : str
        Percent-decoded path without the query.
    raw_target : bytes
        Path and query as the caller sent them.
    headers : list of tuple of bytes
        Names in lower case. The list belongs to the request.
    received_at : float
        Monotonic seconds.
    """

    method: str
    path: str
    raw_target: bytes
    headers: list[tuple[bytes, bytes]]
    body: BodyReader
    received_at: float
    request_id: RequestId


@dataclass(slots=True)
class CallerAnswer:
    """What a caller is told.

    Attributes
    ----------
    headers : list of tuple of bytes
        End-to-end headers. ``Content-Length`` may be among them if it is true.
    body : bytes or async iterator of bytes
        An iterator is closed with ``aclose()`` in any case. If it raises, the
        caller's connection is reset.
    reason : str
        The ``Oleander-Reason`` code.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | AsyncIterator[bytes]
    outcome: CallerOutcome
    reason: str


@dataclass(slots=True)
class OutgoingRequest:
    """A request to a target.

    Attributes
    ----------
    headers : list of tuple of bytes
        End-to-end headers without framing, see ``request_headers``.
    content_length : int or None
        Length in bytes of a ``BodyReader``; None means chunked. Ignored for bytes.
    request_id : bytes or None
        What the target repeats in its answer, if its dialect has such a header.
    """

    method: str
    raw_target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | BodyReader = b""
    content_length: int | None = None
    request_id: bytes | None = None


class AnswerStream(ABC):
    """The rest of an answer that is not complete yet."""

    def __aiter__(self):
        return self

    @abstractmethod
    async def __anext__(self) -> bytes:
        """Return the next bytes of the body.

        Raises
        ------
        TargetError
            If the body broke off.
        """

    @abstractmethod
    def abandon(self):
        """Drop the rest; the target's connection is closed unless it is complete."""

    async def aclose(self):
        """Abandon the rest, as async generators do when they are closed."""
        self.abandon()


@dataclass(slots=True)
class TargetAnswer:
    """The answer of a target.

    Attributes
    ----------
    headers : list of tuple of bytes
        End-to-end headers with names in lower case.
    body : bytes or None
        The whole body, or None for one that ``chunks()`` gives.
    not_started : bool
        Whether the target refused the request before it started it.
    draining : bool
        Whether the target announced that it leaves.
    closes : bool
        Whether the target closes this connection after the answer.
    misdirected : bool
        Whether another target than the expected one refused the request.
    load : tuple of int or None
        Requests that run, that wait, and slots, as the target told them.
    echoed_id : bytes or None
        Id of the request that the target says it answers.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None
    not_started: bool = False
    draining: bool = False
    closes: bool = False
    misdirected: bool = False
    load: tuple[int, int, int] | None = None
    echoed_id: bytes | None = None
    stream: AnswerStream | None = field(default=None, repr=False)

    def chunks(self):
        """Return an async iterator of the body's bytes."""
        if self.stream is None:
            return iterate_once(self.body)
        return self.stream

    def abandon(self):
        """Drop what was not read; nothing happens after a complete answer."""
        if self.stream is not None:
            self.stream.abandon()


async def iterate_once(content):
    """Yield ``content`` unless it is empty."""
    if content:
        yield content


def connection_options(headers):
    """Return the header names that the ``Connection`` headers list."""
    options = set()
    for name, value in headers:
        if name != b"connection":
            continue
        for option in value.lower().split(b","):
            options.add(option.strip())
    return options


def end_to_end_headers(headers, dropped):
    """Return the headers that are neither in ``dropped`` nor named in Connection."""
    kept = []
    has_connection = False
    for header in headers:
        name = header[0]
        if name in dropped:
            has_connection = has_connection or name == b"connection"
            continue
        kept.append(header)
    if not has_connection:
        return kept
    options = connection_options(headers)
    return [header for header in kept if header[0] not in options]


def request_headers(headers):
    """Return the headers of a caller's request that go to a target.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    """
    return end_to_end_headers(headers, DROPPED_FROM_REQUEST)


def answer_headers(headers):
    """Return the headers of a target's answer that go to a caller."""
    return end_to_end_headers(headers, DROPPED_FROM_ANSWER)
