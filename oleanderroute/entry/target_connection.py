"""Connection to a target that sends requests and delivers the answers."""

import asyncio
import fcntl
import select
import struct
import termios
from math import inf

import httptools

from ..decisions.connections import (
    INITIAL_STATE,
    TRANSITIONS,
    ConnectionEvent,
    ConnectionState,
)
from ..errors import (
    BetweenBytesTimeout,
    ConnectionBroken,
    FirstByteTimeout,
    MalformedAnswer,
)
from .answer_parser import AnswerParser
from .dialect import DEFAULT_DIALECT
from .messages import BodyReader
from .request_writer import copy_body, encode_head

MAX_HEADER_BYTES = 64 * 1024
# Larger bodies are written apart from the head.
MAX_JOINED_BODY_BYTES = 64 * 1024
# A request must reach the target before the target closes an idle connection. The
# margin covers network latency and the rounding of the announced timeout.
KEEP_ALIVE_MARGIN_S = 1.0
# The integer that TIOCOUTQ returns.
COUNT = struct.Struct("i")

# Module-level aliases: looking up an enum member costs more than the transition.
IDLE = ConnectionState.IDLE
WAITING = ConnectionState.WAITING
CLOSED = ConnectionState.CLOSED
STARTED = ConnectionEvent.STARTED
ANSWER_STARTED = ConnectionEvent.ANSWER_STARTED
FINISHED_CLEAN = ConnectionEvent.FINISHED_CLEAN


def unacknowledged_bytes(sock):
    """Return how many bytes in the kernel's buffer the peer has not acknowledged.

    0 where the system does not tell.
    """
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    except OSError:
        return 0
    return COUNT.unpack(found)[0]


class TargetConnection(AnswerParser, asyncio.Protocol):
    """Runs exchanges with a target, one at a time.

    Parameters
    ----------
    owner : object
        Its methods ``connection_idle``, ``connection_closed`` and
        ``connection_silent`` are called on these events.
    serial : int
        Sequence number of the connection among those opened to the target.
    clock : Clock
    sweep : DeadlineSweep
        Calls ``deadline_passed`` once ``deadline`` has passed.
    dialect : TargetDialect
    """

    def __init__(self, owner, serial, clock, sweep, dialect=DEFAULT_DIALECT):
        super().__init__(dialect)
        self.owner = owner
        self.serial = serial
        self.clock = clock
        self.sweep = sweep
        self.state = INITIAL_STATE
        self.transport = None
        self.poll = select.poll()
        self.exchanges = 0
        self.idle_since = 0.0
        self.deadline = inf
        self.first_byte_s = inf
        self.between_bytes_s = inf
        self.bytes_sent = False
        self.request_complete = False
        # Whether all bytes of the request were written, also if the caller's body has
        # yet to be read to its end.
        self.is_written = False
        self.reading_paused = False
        self.can_write = None
        self.sender = None

    def transition(self, event):
        """Apply an event to the state chart; raises ``KeyError`` if not allowed."""
        self.state = TRANSITIONS[self.state][event]

    @property
    def reused(self):
        """Whether an earlier exchange was run on this connection."""
        return self.exchanges > 1

    # Transport callbacks

    def connection_made(self, transport):
        """Store the transport and become idle."""
        self.transport = transport
        descriptor = transport.get_extra_info("socket").fileno()
        self.poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
        self.idle_since = self.clock.now()
        self.transition(ConnectionEvent.OPENED)

    def data_received(self, data):
        """Feed the parser and deliver the answer if it is complete."""
        state = self.state
        if state is IDLE:
            self.transition(ConnectionEvent.STRAY_BYTES)
            self.abort_transport()
            return
        if state is CLOSED:
            return
        if state is WAITING:
            self.transition(ANSWER_STARTED)
        body_bytes = self.body_bytes
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.answer_complete:
                self.fail(MalformedAnswer, str(error.__context__ or error))
                return
            self.extra_bytes = True
        if self.answer_complete:
            self.finish()
            return
        if not self.head_complete or self.body_bytes == body_bytes:
            self.check_head_size(len(data))
        if self.message_open and not self.reading_paused and self.request_complete:
            self.deadline = self.clock.now() + self.between_bytes_s

    def check_head_size(self, received):
        """Fail the exchange if its headers, trailers or framing are too large."""
        self.head_bytes += received
        if self.head_bytes > MAX_HEADER_BYTES:
            self.fail(MalformedAnswer, f"over {MAX_HEADER_BYTES} bytes beside the body")

    def eof_received(self):
        """Complete an answer that is delimited by the end of the connection.

        A target that closes before it has read the request resets the connection. The
        end may only arrive first, so it does not show that the answer is whole.
        """
        if self.waiter is not None and self.head_complete and self.until_close:
            if self.is_sending():
                self.fail(ConnectionBroken, "closed while the request was being sent")
                return False
            self.answer_complete = True
            self.keep_alive = False
            self.finish()
        return False

    def is_sending(self):
        """Tell whether a part of the request has not arrived at the target's host."""
        if not self.is_written or self.transport.get_write_buffer_size() > 0:
            return True
        return unacknowledged_bytes(self.transport.get_extra_info("socket")) > 0

    def connection_lost(self, error):
        """Fail the exchange in progress, if any."""
        if self.state is not CLOSED and self.waiter is not None:
            self.fail(ConnectionBroken, f"connection lost: {error or 'closed'}")
        self.transition(ConnectionEvent.LOST)
        self.wake_sender()
        self.owner.connection_closed(self)

    def pause_writing(self):
        """Pause the sender; the deadline detects a target that stops reading."""
        self.can_write = asyncio.get_running_loop().create_future()
        if self.sender is not None:
            self.deadline = self.clock.now() + self.between_bytes_s

    def resume_writing(self):
        """Resume the sender."""
        if self.sender is not None and not self.request_complete:
            self.deadline = inf
        self.wake_sender()

    def wake_sender(self):
        """Resolve the future that a paused sender waits for."""
        if self.can_write is not None and not self.can_write.done():
            self.can_write.set_result(None)
        self.can_write = None

    # Sending a request

    def is_usable(self):
        """Return whether an idle connection is open and has no unread bytes.

        Polls the socket, because the event loop may not have processed a close or
        stray bytes yet. Otherwise a request would be lost on a connection that the
        target has already closed.
        """
        if self.state is not IDLE or self.transport.is_closing():
            return False
        if self.clock.now() >= self.idle_until():
            return False
        return not self.poll.poll(0)

    def idle_until(self):
        """Return the time at which the idle connection stops being usable."""
        if self.keep_alive_s is None:
            return inf
        return self.idle_since + self.keep_alive_s - KEEP_ALIVE_MARGIN_S

    async def exchange(self, request, first_byte_s, between_bytes_s):
        """Send a request and return the ``TargetAnswer``.

        Parameters
        ----------
        request : OutgoingRequest
        first_byte_s : float
            Seconds from the end of the request to the first byte of the answer.
        between_bytes_s : float
            Seconds without progress within the answer, or in sending the body.

        Raises
        ------
        TargetError
            With ``bytes_sent`` and ``reused``.
        """
        self.transition(STARTED)
        self.exchanges += 1
        self.reset_answer(request.method, request.request_id, self.reused)
        self.first_byte_s = first_byte_s
        self.between_bytes_s = between_bytes_s
        self.bytes_sent = False
        self.request_complete = False
        self.is_written = False
        waiter = asyncio.get_running_loop().create_future()
        self.waiter = waiter
        self.deadline = inf
        self.sweep.add(self)
        self.send(request)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.exchange_cancelled(waiter)
            raise

    def send(self, request):
        """Write the head, and either write the body or start a task that streams it."""
        head = encode_head(request)
        # Set before the write: after it, bytes may have been sent.
        self.bytes_sent = True
        if isinstance(request.body, BodyReader):
            self.transport.write(head)
            self.sender = asyncio.ensure_future(self.send_body(request))
            return
        if len(request.body) > MAX_JOINED_BODY_BYTES:
            # Joining would copy the body for as long as the target doesn't read it.
            self.transport.write(head)
            self.transport.write(request.body)
        else:
            self.transport.write(head + request.body if request.body else head)
        self.request_sent()

    def request_sent(self):
        """Start the time limit for the answer."""
        self.request_complete = True
        self.is_written = True
        limit_s = self.between_bytes_s if self.message_open else self.first_byte_s
        self.deadline = self.clock.now() + limit_s

    async def send_body(self, request):
        """Stream the body of a request as fast as the target reads it."""
        try:
            await copy_body(self, request.body, request.content_length)
        except Exception as error:
            self.sender = None
            self.fail_with(error)
            return
        self.sender = None
        if self.waiter is not None:
            self.request_sent()

    # End of an exchange

    def finish(self):
        """Deliver a complete answer, then reuse or close the connection."""
        waiter = self.waiter
        stream = self.stream
        self.end_exchange()
        if stream is not None:
            stream.end()
        elif not waiter.done():
            chunks = self.chunks
            self.answer.body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
            waiter.set_result(self.answer)
        if not self.keep_alive or self.extra_bytes or not self.request_complete:
            self.transition(ConnectionEvent.FINISHED_UNCLEAN)
            self.abort_transport()
            return
        if self.method == "HEAD":
            self.parser = None
        self.idle_since = self.clock.now()
        self.transition(FINISHED_CLEAN)
        self.owner.connection_idle(self)

    def end_exchange(self):
        """Detach the reader of the answer and clear the deadline."""
        self.waiter = None
        self.stream = None
        self.deadline = inf
        self.sweep.discard(self)
        if self.sender is not None:
            self.sender.cancel()
            self.sender = None
        if self.reading_paused:
            self.reading_paused = False
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def fail(self, error_class, reason):
        """Fail the exchange with a new ``error_class``, with ``bytes_sent`` set."""
        self.fail_with(error_class(reason, self.bytes_sent))

    def fail_with(self, error):
        """Fail the exchange with ``error`` and close the connection.

        The error may also come from the body of the request, so ``bytes_sent`` is set
        on errors of any class.
        """
        waiter = self.waiter
        stream = self.stream
        if waiter is None:
            return
        error.reused = self.reused
        error.bytes_sent = self.bytes_sent
        self.end_exchange()
        self.transition(ConnectionEvent.FAILED)
        self.abort_transport()
        if stream is not None:
            stream.fail(error)
        elif not waiter.done():
            waiter.set_exception(error)

    def exchange_cancelled(self, waiter):
        """Close the connection if the cancelled exchange is still in progress."""
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            # The answer arrived in the same iteration of the event loop.
            waiter.result().abandon()
        if self.waiter is waiter:
            self.abandon()

    def abandon(self):
        """Abort an exchange whose caller is gone; this cancels it on the target."""
        if self.waiter is None:
            return
        self.end_exchange()
        self.transition(ConnectionEvent.ABANDONED)
        self.abort_transport()

    def retire(self):
        """Close the connection; an exchange in progress fails."""
        if self.waiter is not None:
            self.fail(ConnectionBroken, "connection was closed by its pool")
            return
        self.transition(ConnectionEvent.RETIRED)
        self.abort_transport()

    def abort_transport(self):
        """Close the transport without sending buffered bytes."""
        self.transport.abort()

    def deadline_passed(self, now):
        """Fail the exchange on a timeout; called by the sweep."""
        if self.waiter is None:
            return
        if self.message_open or not self.request_complete:
            error_class = BetweenBytesTimeout
        else:
            error_class = FirstByteTimeout
        self.fail(error_class, "the target was silent")
        self.owner.connection_silent(self)

    # Backpressure of the reader

    def pause_answer(self):
        """Pause reading from the target and suspend its deadline."""
        if self.reading_paused or self.transport.is_closing():
            return
        self.reading_paused = True
        self.deadline = inf
        self.transport.pause_reading()

    def resume_answer(self):
        """Resume reading from the target."""
        if not self.reading_paused or self.transport.is_closing():
            return
        self.reading_paused = False
        self.deadline = self.clock.now() + self.between_bytes_s
        self.transport.resume_reading()
