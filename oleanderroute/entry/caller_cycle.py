"""One request of a caller and its answer on uvicorn's side."""

import asyncio

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, RequestResponseCycle

from .. import events
from ..errors import OleanderError
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


def ignore():
    """Take the place of a callback that must not be called again."""


class CallerCycle(RequestResponseCycle):
    """uvicorn's request cycle with one write for a small answer.

    The head of an answer is held until its first body bytes, so that a small answer
    leaves in one piece and a failure before that can still be told as a status.

    Attributes
    ----------
    protocol : CallerProtocol
    entered : bool
        Whether the application has begun, so that a target may have seen the request.
    head : dict or None
        The ASGI start message that is held.
    remaining : int or None
        Bytes of the body that must follow; None for chunked framing.
    """

    protocol = None
    entered = False
    head = None
    remaining = 0

    async def run_asgi(self, app):
        """Run the application and end the connection if it fails."""
        self.entered = True
        try:
            await app(self.scope, self.receive, self.send)
        except asyncio.CancelledError:
            self.protocol.abort()
        except Exception as error:
            self.application_failed(error)
        else:
            if not self.response_complete and not self.disconnected:
                self.protocol.abort()
        finally:
            self.on_response = ignore

    def application_failed(self, error):
        """Answer 500 if nothing was sent, else reset the connection."""
        if not isinstance(error, AnswerBroken):
            events.CALLER_REQUEST_FAILED.log(
                path=self.scope["path"], error=type(error).__name__, reason=str(error)
            )
        if self.response_started or self.disconnected:
            self.protocol.abort()
            return
        self.keep_alive = False
        self.head = {"status": 500, "headers": FAILED_HEADERS}
        self.write(b"", False)

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
        pieces = []
        if not self.response_started:
            pieces.append(self.encode_head())
            self.response_started = True
            self.waiting_for_100_continue = False
        if self.scope["method"] != "HEAD":
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
        """Return status line and headers, and set the framing of the body."""
        status = self.head["status"]
        headers = self.head["headers"]
        lines = [STATUS_LINE[status]]
        has_length = False
        for name, value in headers:
            if name == b"content-length":
                has_length = True
                self.remaining = int(value)
            lines.append(name + b": " + value + b"\r\n")
        bodyless = status in BODYLESS_STATUS
        if bodyless:
            self.remaining = 0
        elif not has_length and self.scope["method"] != "HEAD":
            self.remaining = None
            lines.append(CHUNKED_LINE)
        # The rest of an unread body can't be told from the next request.
        if self.more_body:
            self.keep_alive = False
        if not self.keep_alive:
            lines.append(CLOSE_LINE)
        expected_lines = len(lines)
        lines.append(b"\r\n")
        head = b"".join(lines)
        if head.count(b"\n") != expected_lines + 1 or head.count(b"\r") != (
            expected_lines + 1
        ):
            raise AnswerFramingError("line break in a header of the answer")
        return head

    def complete(self):
        """End the answer; the connection is closed unless it can be reused."""
        self.response_complete = True
        self.message_event.set()
        if not self.keep_alive:
            self.protocol.linger()
        self.on_response()
