"""ASGI request and response cycle of one caller request in uvicorn."""

import asyncio

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, RequestResponseCycle

from .. import events
from ..errors import CallerDisconnected, OleanderError
from .credentials import hide_credentials
from .messages import AnswerBroken

FAILED_HEADERS = [
    (b"content-length", b"0"),
    (b"oleander-outcome", b"unknown"),
    (b"oleander-reason", b"internal-error"),
]
CLOSE_LINE = b"connection: close\r\n"
CHUNKED_LINE = b"transfer-encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODYLESS_STATUS = frozenset({204, 304})


class AnswerFramingError(OleanderError):
    """An answer's headers or declared length do not match its body."""


class NullEvent:
    """Null object for an event without a waiting task."""

    def set(self):
        """Do nothing."""


NULL_EVENT = NullEvent()


class CallerCycle(RequestResponseCycle):
    """uvicorn's request cycle, which sends a small answer in one write.

    The head of an answer is held back until its first body bytes. A small answer is
    then sent in one write, and an earlier failure can still be reported as a status.

    Parameters
    ----------
    protocol : CallerProtocol
    scope : dict
        ASGI scope.
    keep_alive : bool
    expect_100_continue : bool

    Attributes
    ----------
    entered : bool
        Whether the application has started, so that the request may have reached a
        target.
    head : dict or None
        The ASGI start message that is held back.
    remaining : int or None
        Bytes of the body still to be sent; None for chunked framing.
    more_body : bool
        Whether a part of the request is still to be received.
    ended : bool
        Whether the end of the request was delivered to the application.
    """

    application_started = False
    head = None
    remaining = 0
    disconnected = False
    # Whether the request was refused for its memory before it was received.
    refused_for_memory = False
    more_body = True
    end_delivered = False
    response_started = False
    response_complete = False
    # Created on demand, because most requests have no body.
    message_event = NULL_EVENT
    body = b""

    # The base constructor is not called: it sets 16 attributes per request, most of
    # which this class does not use.
    def __init__(self, protocol, scope, keep_alive, expect_100_continue):
        self.protocol = protocol
        self.scope = scope
        self.method = scope["method"]
        self.transport = protocol.transport
        self.flow = protocol.flow
        self.keep_alive = keep_alive
        self.waiting_for_100_continue = expect_100_continue

    async def run_asgi(self, app):
        """Run the application; closes the connection if it fails."""
        self.application_started = True
        try:
            await app(self.scope, self.receive, self.send)
        except asyncio.CancelledError:
            self.protocol.abort()
        except Exception as error:
            self.handle_application_error(error)
        else:
            if not self.response_complete and not self.disconnected:
                self.protocol.abort()

    def handle_application_error(self, error):
        """Answer 500 if nothing was sent, else reset the connection."""
        if not isinstance(error, (AnswerBroken, CallerDisconnected)):
            headers = self.scope["headers"]
            events.CALLER_REQUEST_FAILED.log(
                path=hide_credentials(self.scope["path"], headers),
                error=type(error).__name__,
                reason=hide_credentials(str(error), headers),
            )
        if self.response_started or self.disconnected:
            self.protocol.abort()
            return
        self.keep_alive = False
        self.head = {"status": 500, "headers": FAILED_HEADERS}
        self.write(b"", False)

    def refuse_for_memory(self):
        """Discard the body; the application is told at its next read."""
        self.refused_for_memory = True
        self.keep_alive = False
        self.body = b""
        self.message_event.set()

    def add_body(self, data):
        """Buffer bytes of the body until the application receives them."""
        if not self.body:
            self.body = data
        elif isinstance(self.body, bytes):
            self.body = bytearray(self.body) + data
        else:
            self.body += data
        self.message_event.set()

    async def receive(self):
        """Return the next ASGI message of the request."""
        if self.waiting_for_100_continue and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.waiting_for_100_continue = False
            self.protocol.restart_body_timeout()
        if not self.body and (self.more_body or self.end_delivered):
            await self.wait_for_message()
        if self.disconnected or self.response_complete:
            return {"type": "http.disconnect"}
        if self.refused_for_memory:
            return {"type": "http.disconnect", "refused": True}
        body = bytes(self.body)
        self.body = b""
        self.end_delivered = not self.more_body
        self.resume_reading()
        return {"type": "http.request", "body": body, "more_body": self.more_body}

    async def wait_for_message(self):
        """Wait for body bytes, the end of the request or a disconnect."""
        if self.disconnected or self.response_complete or self.refused_for_memory:
            return
        self.resume_reading()
        self.message_event = asyncio.Event()
        await self.message_event.wait()

    def resume_reading(self):
        """Resume reading from the caller if the application paused it."""
        if self.flow.read_paused:
            self.protocol.resume_body()

    async def send(self, message):
        """Send an ASGI message; waits while the caller reads slower than the target."""
        if self.response_complete:
            raise AnswerFramingError("ASGI message after the end of the answer")
        if message["type"] == "http.response.start":
            self.head = message
            return
        if self.disconnected:
            return
        self.write(message.get("body", b""), message.get("more_body", False))
        if self.flow.write_paused and not self.response_complete:
            await self.flow.drain()

    def write(self, body, more_body):
        """Write a part of the body, preceded by the head if it is not sent yet."""
        pieces = [] if self.response_started else self.encode_head()
        if self.method != "HEAD":
            self.frame(body, more_body, pieces)
        self.transport.write(b"".join(pieces))
        if not more_body:
            self.complete()

    def frame(self, body, more_body, pieces):
        """Add the framed ``body`` to ``pieces``."""
        if self.remaining is None:
            if body:
                pieces.append(b"%x\r\n%b\r\n" % (len(body), body))
            if not more_body:
                pieces.append(LAST_CHUNK)
            return
        self.remaining -= len(body)
        if self.remaining < 0 or (self.remaining and not more_body):
            raise AnswerFramingError(
                "body length differs from the declared Content-Length"
            )
        pieces.append(body)

    def encode_head(self):
        """Return the encoded status line and headers; sets the framing of the body."""
        status = self.head["status"]
        has_length = False
        pieces = [STATUS_LINE[status]]
        for header in self.head["headers"]:
            if header[0] == b"content-length":
                has_length = True
                self.remaining = int(header[1])
            pieces.append(b"%b: %b\r\n" % header)
        if status in BODYLESS_STATUS:
            self.remaining = 0
        elif not has_length and self.method != "HEAD":
            self.remaining = None
            pieces.append(CHUNKED_LINE)
        # The unread rest of a request body can't be distinguished from a new request.
        if self.more_body:
            self.keep_alive = False
        if not self.keep_alive:
            pieces.append(CLOSE_LINE)
        head = b"".join(pieces)
        if head.count(b"\n") != len(pieces) or head.count(b"\r") != len(pieces):
            raise AnswerFramingError("line break in a header of the answer")
        self.response_started = True
        self.waiting_for_100_continue = False
        return [head, b"\r\n"]

    def complete(self):
        """Finish the answer; closes the connection unless it can be reused."""
        self.response_complete = True
        self.message_event.set()
        if not self.keep_alive:
            self.protocol.linger()
        self.protocol.on_response_complete()
