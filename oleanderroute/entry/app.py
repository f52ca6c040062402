"""ASGI application between uvicorn and the pipeline."""

import itertools
import secrets

from ..clock import SystemClock
from ..errors import CallerDisconnected
from ..ids import RequestId
from ..outcome import CallerOutcome
from .messages import (
    MEMORY_CHARGE,
    NULL_CHARGE,
    AnswerBroken,
    BodyReader,
    BodyTooLarge,
    BytesBody,
    CallerAnswer,
    CallerRequest,
    MemoryPressure,
)

BODY_TOO_LARGE = "body-too-large"
BODYLESS_STATUS = frozenset({204, 304})
OUTCOME_HEADERS = {
    outcome: (b"oleander-outcome", outcome.value.encode("ascii"))
    for outcome in CallerOutcome
}


class CallerBody(BodyReader):
    """The body of a caller's request, read through ASGI.

    Parameters
    ----------
    receive : callable
        ASGI ``receive``. While it is not called, the caller's socket is paused once
        64 KiB are buffered.
    length : int or None
    """

    def __init__(self, receive, length):
        self.receive = receive
        self.length = length
        self.bytes_read = 0
        self.max_bytes = None
        self.complete = False

    def limit(self, max_bytes):
        """Set the size limit of the route, in bytes."""
        super().limit(max_bytes)
        self.max_bytes = max_bytes

    async def read_chunk(self):
        """Return the next bytes, or empty bytes at the end of the body."""
        while not self.complete:
            message = await self.receive()
            if message["type"] != "http.request":
                if message.get("refused", False):
                    raise MemoryPressure()
                raise CallerDisconnected(
                    "caller disconnected before the end of its request body"
                )
            self.complete = not message.get("more_body", False)
            chunk = message.get("body", b"")
            if chunk:
                return self.count(chunk)
        return b""

    def count(self, chunk):
        """Add ``chunk`` to the bytes read and return it; raises ``BodyTooLarge``."""
        size = self.bytes_read + len(chunk)
        if self.max_bytes is not None and size > self.max_bytes:
            raise BodyTooLarge(self.max_bytes)
        self.bytes_read = size
        return chunk


class CallerApplication:
    """Converts ASGI requests to ``CallerRequest`` and answers to ASGI messages.

    Parameters
    ----------
    pipeline : object
        Has ``async handle(CallerRequest) -> CallerAnswer``.
    clock : Clock
    """

    def __init__(self, pipeline, clock=None):
        self.pipeline = pipeline
        self.clock = clock or SystemClock()
        # Request ids are unique across hosts and restarts: a random prefix per process
        # and a counter.
        self.id_prefix = secrets.token_hex(8)
        self.numbers = itertools.count(1)

    async def __call__(self, scope, receive, send):
        """Handle one request."""
        if scope["type"] != "http":
            return
        request = self.make_request(scope, receive)
        answer = await self.handle(request)
        headers = self.answer_headers(answer, request)
        status = answer.status
        body = answer.body
        start = {"type": "http.response.start", "status": status, "headers": headers}
        if not isinstance(body, bytes):
            await stream_answer(start, body, send)
            return
        if scope["method"] != "HEAD" and status not in BODYLESS_STATUS:
            set_length(headers, len(body))
        await send(start)
        await send({"type": "http.response.body", "body": body})

    def answer_headers(self, answer, request):
        """Return the headers of an answer."""
        return answer_head(answer, request.request_id)

    def make_request(self, scope, receive):
        """Return the ``CallerRequest`` of an ASGI scope."""
        raw_target = scope["raw_path"]
        if scope["query_string"]:
            raw_target = raw_target + b"?" + scope["query_string"]
        body = make_body(scope["headers"], receive)
        body.charge = scope.get(MEMORY_CHARGE, NULL_CHARGE)
        return CallerRequest(
            scope["method"],
            scope["path"],
            raw_target,
            scope["headers"],
            body,
            self.clock.now(),
            RequestId(f"{self.id_prefix}-{next(self.numbers):x}"),
        )

    async def handle(self, request):
        """Return the pipeline's answer, or 413 for a body over its size limit."""
        try:
            return await self.pipeline.handle(request)
        except BodyTooLarge as error:
            outcome = CallerOutcome.NOT_RUN
            if error.bytes_sent:
                outcome = CallerOutcome.UNKNOWN
            return CallerAnswer(413, [], b"", outcome, BODY_TOO_LARGE)


def make_body(headers, receive):
    """Return a reader for the body that the framing headers declare."""
    for name, value in headers:
        if name == b"content-length":
            length = int(value)
            return CallerBody(receive, length) if length else BytesBody()
        if name == b"transfer-encoding":
            return CallerBody(receive, None)
    return BytesBody()


def answer_head(answer, request_id):
    """Return the headers of an answer and the ``Oleander-*`` headers for callers."""
    return [
        *answer.headers,
        OUTCOME_HEADERS[answer.outcome],
        (b"oleander-reason", answer.reason.encode("ascii")),
        (b"oleander-request-id", request_id.encode("ascii")),
    ]


def set_length(headers, length):
    """Add ``Content-Length`` to ``headers`` unless it is present."""
    for name, _ in headers:
        if name == b"content-length":
            return
    headers.append((b"content-length", b"%d" % length))


async def stream_answer(start, body, send):
    """Send an answer as it arrives; raises ``AnswerBroken`` if it fails midway."""
    try:
        await send(start)
        async for chunk in body:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
    except Exception as error:
        raise AnswerBroken(str(error)) from error
    finally:
        await body.aclose()
