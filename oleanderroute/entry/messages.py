"""Requests and answers exchanged by the caller server, the pipeline and the pool."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from ..errors import OleanderError
from ..ids import RequestId
from ..outcome import CallerOutcome

# Chunks of a body below this size are joined as they arrive.
SMALL_CHUNK_BYTES = 16 * 1024
# Hop-by-hop headers of RFC 9110, section 7.6.1, and of older specifications; proxies
# must not forward them.
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
# Not forwarded from callers: the target connection writes the framing headers and the
# pipeline sets the others. A caller could use them to forge its identity or to extend
# its deadline.
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
# Set by the caller server; a target must not be able to forge an outcome.
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
    """A request body exceeds the size limit of its route.

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


class MemoryPressure(OleanderError):
    """The host gave a request up whose body holds memory that others need."""

    def __init__(self):
        super().__init__("refused for the memory that its body holds")
        # The connection to a target sets it, as for BodyTooLarge.
        self.bytes_sent = False


class AnswerBroken(OleanderError):
    """An answer failed after its first bytes were sent to the caller."""


class NullCharge:
    """Null object for a body that no memory budget is charged with."""

    def begin_send(self):
        """Do nothing."""

    def begin_forwarding(self):
        """Do nothing."""

    def release(self, size):
        """Do nothing."""


NULL_CHARGE = NullCharge()
# Key of the ASGI scope with the charge of a request's body.
MEMORY_CHARGE = "oleanderroute.memory_charge"


class BodyReader(ABC):
    """The body of a request, read in chunks.

    Attributes
    ----------
    length : int or None
        Declared length in bytes; None for a chunked body.
    charge : NullCharge or RequestCharge
        Is told what becomes of the bytes that were read.
    """

    length: int | None = None
    charge = NULL_CHARGE

    @abstractmethod
    async def read_chunk(self) -> bytes:
        """Return the next bytes, or empty bytes at the end of the body.

        The caller's socket is read only as fast as this is called.

        Raises
        ------
        CallerDisconnected, BodyTooLarge
        """

    def limit(self, max_bytes):
        """Set the size limit of the route, in bytes.

        Raises
        ------
        BodyTooLarge
            Immediately if the declared length exceeds the limit. A chunked body
            raises it in ``read_chunk`` when the bytes read exceed the limit.
        """
        if self.length is not None and self.length > max_bytes:
            raise BodyTooLarge(max_bytes)


class BytesBody(BodyReader):
    """A body that is held in memory."""

    def __init__(self, content=b""):
        self.length = len(content)
        self.content = content

    async def read_chunk(self):
        """Return the whole content, then empty bytes."""
        content = self.content
        self.content = b""
        return content


class PrefixedBody(BodyReader):
    """A body whose first bytes have already been read.

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


class ForwardedBody(BodyReader):
    """A body that is streamed to a target, and released as it is sent.

    Parameters
    ----------
    prefix : BodyPrefix
        The bytes that were read before. Once they are read from here, the body can't
        be sent again, and ``prefix`` keeps only ``kept_bytes`` of them.
    rest : BodyReader
    kept_bytes : int
    """

    def __init__(self, prefix, rest, kept_bytes):
        self.length = rest.length
        self.prefix = prefix
        self.rest = rest
        self.kept_bytes = kept_bytes
        self.is_started = False
        self.sent_bytes = 0

    async def read_chunk(self):
        """Return the prefix, then the chunks of the rest.

        The caller of this method has sent the chunk before when it asks for the next.
        """
        self.rest.charge.release(self.sent_bytes)
        if not self.is_started:
            self.is_started = True
            self.rest.charge.begin_forwarding()
            chunk = self.prefix.content
            self.prefix.content = chunk[: self.kept_bytes]
        else:
            chunk = await self.rest.read_chunk()
        self.sent_bytes = len(chunk)
        return chunk


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
    """Read a body to its end, or until at least ``max_bytes`` are read.

    Returns
    -------
    BodyPrefix
    """
    pieces = []
    # Small chunks are collected, because each object costs some 40 bytes more.
    small = bytearray()
    size = 0
    is_complete = False
    while size < max_bytes:
        chunk = await body.read_chunk()
        if not chunk:
            is_complete = True
            break
        size += len(chunk)
        if not small and len(chunk) >= SMALL_CHUNK_BYTES:
            pieces.append(chunk)
            continue
        small += chunk
        if len(small) >= SMALL_CHUNK_BYTES:
            pieces.append(bytes(small))
            small = bytearray()
    pieces.append(bytes(small))
    # Without a list of pieces, a small body is copied only once.
    content = pieces[0] if len(pieces) == 1 else b"".join(pieces)
    return BodyPrefix(content, is_complete or size == body.length)


@dataclass(slots=True)
class CallerRequest:
    """A caller's request with complete headers.

    Attributes
    ----------
    path : str
        Percent-decoded path without the query.
    raw_target : bytes
        Path and query as the caller sent them.
    headers : list of tuple of bytes
        Names in lower case. The request owns the list.
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
    """The answer to a caller.

    Attributes
    ----------
    headers : list of tuple of bytes
        End-to-end headers. May include ``Content-Length`` if it is correct.
    body : bytes or async iterator of bytes
        An iterator is always closed with ``aclose()``. If it raises, the caller's
        connection is reset.
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
        Id that the target echoes in its answer, if its dialect has such a header.
    on_connected : callable or None
        Called after a connection was opened for the request and before it is written.
        It may change the request. If it raises, nothing is written.
    """

    method: str
    raw_target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | BodyReader = b""
    content_length: int | None = None
    request_id: bytes | None = None
    on_connected: Callable | None = None


class AnswerStream(ABC):
    """The unread body of an answer that is still being received."""

    def __aiter__(self):
        return self

    @abstractmethod
    async def __anext__(self) -> bytes:
        """Return the next bytes of the body.

        Raises
        ------
        TargetError
            If the body ended early.
        """

    @abstractmethod
    def abandon(self):
        """Discard the rest; closes the target's connection if it is incomplete."""

    async def aclose(self):
        """Abandon the rest, as closing an async generator does."""
        self.abandon()


@dataclass(slots=True)
class TargetAnswer:
    """The answer of a target.

    Attributes
    ----------
    headers : list of tuple of bytes
        End-to-end headers with names in lower case.
    body : bytes or None
        The whole body, or None if it must be read with ``chunks()``.
    not_started : bool
        Whether the target refused the request before starting to process it.
    draining : bool
        Whether the target announced that it is shutting down.
    closes : bool
        Whether the target closes this connection after the answer.
    misdirected : bool
        Whether the request reached another target than intended, which refused it.
    load : tuple of int or None
        Running requests, waiting requests and slots, as reported by the target.
    ends_with_connection : bool
        Whether the end of the connection ends the body.
    echoed_id : bytes or None
        Request id that the target echoed in the answer.
    has_two_ids : bool
        Whether the answer echoed two different request ids.
    is_sealed : bool
        Whether the answer bears the mark of its target, if its dialect reads it.
    is_encoded : bool
        Whether the body has a content encoding, if its dialect reads it.
    retry_after : bytes or None
        The ``Retry-After`` header as the target sent it, if its dialect reads it.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None
    not_started: bool = False
    draining: bool = False
    closes: bool = False
    misdirected: bool = False
    load: tuple[int, int, int] | None = None
    ends_with_connection: bool = False
    echoed_id: bytes | None = None
    has_two_ids: bool = False
    is_sealed: bool = False
    is_encoded: bool = False
    retry_after: bytes | None = None
    stream: AnswerStream | None = field(default=None, repr=False)

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def chunks(self):
        """Return an async iterator of the body's bytes."""
        if self.stream is None:
            return iterate_once(self.body)
        return self.stream

    def abandon(self):
        """Discard the unread body; does nothing if the answer is complete."""
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
    """Return the headers that neither ``dropped`` nor ``Connection`` lists."""
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
    """Return the headers of a caller's request that are forwarded to a target.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    """
    return end_to_end_headers(headers, DROPPED_FROM_REQUEST)


def answer_headers(headers):
    """Return the headers of a target's answer that are forwarded to a caller."""
    return end_to_end_headers(headers, DROPPED_FROM_ANSWER)
