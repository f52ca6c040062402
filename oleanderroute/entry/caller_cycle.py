"""One request of a caller and its answer on uvicorn's side."""

import asyncio

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, RequestResponseCycle

from .. import events
from ..errors import CallerDisconnected, OleanderError
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
    """An answer's headers or length are not consistent with its body."""


class NullEvent:
    """Takes the place of an event that nobody waits for yet."""

    def set(self):
        """Do nothing."""


NULL_EVENT = NullEvent()


class CallerCycle(RequestResponseCycle):
    """uvicorn's request cycle with one write for a small answer.

    The head of an answer is held until its first body bytes, so that a small answer
    leaves in one piece and a failure before that can still be told as a status.

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
        Whether the application has begun, so that a target may have seen the request.
    head : dict or None
        The ASGI start message that is held.
    remaining : int or None
        Bytes of the body that must follow; None for chunked framing.
    more_body : bool
        Whether the caller still has to send a part of its request.
    ended : bool
        Whether the application was told the end of the request.
    """

    application_started = False
    head = None
    remaining = 0
    disconnected = False
    more_body = True
    end_delivered = False
    response_started = False
    response_complete = False
    # Most requests have no body, so what only a body needs is made on demand.
    message_event = NULL_EVENT
    body = b""

    # The base's constructor is not called: it fills 16 attributes for each request,
    # most of which this class does not use.
    def __init__(self, protocol, scope, keep_alive, expect_100_continue):
        self.protocol = protocol
        self.scope = scope
        self.method = scope["method"]
        self.transport = protocol.transport
        self.flow = protocol.flow
        self.keep_alive = keep_alive
        self.waiting_for_100_continue = expect_100_continue

    async def run_asgi(self, app):
        """Run the application and end the connection if it fails."""
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
            events.CALLER_REQUEST_FAILED.log(
                path=self.scope["path"], error=type(error).__name__, reason=str(error)
            )
        if self.response_started or self.disconnected:
            self.protocol.abort()
            return
        self.keep_alive = False
        self.head = {"status": 500, "headers": FAILED_HEADERS}
        self.write(b"", False)

    def add_body(self, data):
        """Keep bytes of the body until the application asks for them."""
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
        body = bytes(self.body)
        self.body = b""
        self.end_delivered = not self.more_body
        self.resume_reading()
        return {"type": "http.request", "body": body, "more_body": self.more_body}

    async def wait_for_message(self):
        """Wait for bytes, the end of the request or of the connection."""
        if self.disconnected or self.response_complete:
            return
        self.resume_reading()
        self.message_event = asyncio.Event()
        await self.message_event.wait()

    def resume_reading(self):
        """Read from the caller again if the body was paused."""
        if self.flow.read_paused:
            self.flow.resume_reading()
            self.protocol.restart_body_timeout()

    async def send(self, message):
        """Take an ASGI message; waits while the caller is slower than the target."""
        if self.response_complete:
            raise AnswerFramingError("message after the end of the answer")
        if message["type"] == "http.response.start":
            self.head = message
            return
        if self.disconnected:
            return
        self.write(message.get("body", b""), message.get("more_body", False))
        if self.flow.write_paused and not self.response_complete:
            await self.flow.drain()

    def write(self, body, more_body):
        """Write the head if it is due, and a part of the body."""
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
            raise AnswerFramingError("the body does not have the declared length")
        pieces.append(body)

    def encode_head(self):
        """Return status line and headers in pieces, and set the body's framing."""
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
        # The rest of an unread body can't be told from the next request.
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
        """End the answer; the connection is closed unless it can be reused."""
        self.response_complete = True
        self.message_event.set()
        if not self.keep_alive:
            self.protocol.linger()
        self.protocol.on_response_complete()
