"""One connection to a target: sends a request, checks and delivers its answer."""

import asyncio
import select
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
# A request must reach a target before the target closes an idle connection; this
# covers the way there and the rounding of the announced time.
KEEP_ALIVE_MARGIN_S = 1.0

# Bound once, because looking up an enum member costs more than the transition.
IDLE = ConnectionState.IDLE
WAITING = ConnectionState.WAITING
CLOSED = ConnectionState.CLOSED
STARTED = ConnectionEvent.STARTED
ANSWER_STARTED = ConnectionEvent.ANSWER_STARTED
FINISHED_CLEAN = ConnectionEvent.FINISHED_CLEAN


class TargetConnection(AnswerParser, asyncio.Protocol):
    """Runs one exchange after the other with a target.

    Parameters
    ----------
    owner : object
        Told ``connection_idle``, ``connection_closed`` and ``connection_silent``.
    serial : int
        Position in the order in which the target's connections were opened.
    clock : Clock
    sweep : DeadlineSweep
        Calls ``deadline_passed`` when ``deadline`` is over.
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
        self.reading_paused = False
        self.can_write = None
        self.sender = None

    def move(self, event):
        """Take a transition of the chart; it is an error if there is none."""
        self.state = TRANSITIONS[self.state][event]

    @property
    def reused(self):
        """Whether an earlier exchange was run on this connection."""
        return self.exchanges > 1

    # Events of the transport

    def connection_made(self, transport):
        """Keep the transport; the connection can run an exchange."""
        self.transport = transport
        descriptor = transport.get_extra_info("socket").fileno()
        self.poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
        self.idle_since = self.clock.now()
        self.move(ConnectionEvent.OPENED)

    def data_received(self, data):
        """Feed the parser and deliver what is complete."""
        state = self.state
        if state is IDLE:
            self.move(ConnectionEvent.STRAY_BYTES)
            self.abort_transport()
            return
        if state is CLOSED:
            return
        if state is WAITING:
            self.move(ANSWER_STARTED)
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
        if not self.head_complete:
            self.check_head_size(len(data))
        if self.message_open and not self.reading_paused and self.request_complete:
            self.deadline = self.clock.now() + self.between_bytes_s

    def check_head_size(self, received):
        """Bound the bytes of an answer's header section."""
        self.head_bytes += received
        if self.head_bytes > MAX_HEADER_BYTES:
            self.fail(MalformedAnswer, f"header section over {MAX_HEADER_BYTES} bytes")

    def eof_received(self):
        """Complete an answer that ends with its connection; let it close."""
        if self.waiter is not None and self.head_complete and self.until_close:
            self.answer_complete = True
            self.keep_alive = False
            self.finish()
        return False

    def connection_lost(self, error):
        """End the exchange that is in progress, if there is one."""
        if self.state is not CLOSED and self.waiter is not None:
            self.fail(ConnectionBroken, f"connection lost: {error or 'closed'}")
        self.move(ConnectionEvent.LOST)
        self.wake_sender()
        self.owner.connection_closed(self)

    def pause_writing(self):
        """Stop the sender; a target that stops reading is caught by the deadline."""
        self.can_write = asyncio.get_running_loop().create_future()
        if self.sender is not None:
            self.deadline = self.clock.now() + self.between_bytes_s

    def resume_writing(self):
        """Let the sender go on."""
        if self.sender is not None and not self.request_complete:
            self.deadline = inf
        self.wake_sender()

    def wake_sender(self):
        """Resolve the future that a paused sender waits for."""
        if self.can_write is not None and not self.can_write.done():
            self.can_write.set_result(None)
        self.can_write = None

    # The request

    def is_usable(self):
        """Tell whether an idle connection is open and has nothing to read.

        A close or stray bytes that the event loop has not seen yet are found by
        asking the kernel. Without that, a request would be lost on a connection that
        the target has already closed.
        """
        if self.state is not IDLE or self.transport.is_closing():
            return False
        if self.clock.now() >= self.idle_until():
            return False
        return not self.poll.poll(0)

    def idle_until(self):
        """Return until when the target keeps the idle connection, with a margin."""
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
        self.move(STARTED)
        self.exchanges += 1
        self.reset_answer(request.method, request.request_id)
        self.first_byte_s = first_byte_s
        self.between_bytes_s = between_bytes_s
        self.bytes_sent = False
        self.request_complete = False
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
        """Write the head, and the body or start the task that streams it."""
        head = encode_head(request)
        # Set before the write: from here on it can't be proved that nothing left.
        self.bytes_sent = True
        if isinstance(request.body, BodyReader):
            self.transport.write(head)
            self.sender = asyncio.ensure_future(self.send_body(request))
            return
        self.transport.write(head + request.body if request.body else head)
        self.request_sent()

    def request_sent(self):
        """Start to wait for the answer."""
        self.request_complete = True
        limit_s = self.between_bytes_s if self.message_open else self.first_byte_s
        self.deadline = self.clock.now() + limit_s

    async def send_body(self, request):
        """Stream the body of a request as fast as the target takes it."""
        try:
            await copy_body(self, request.body, request.content_length)
        except Exception as error:
            self.sender = None
            self.fail_with(error)
            return
        self.sender = None
        if self.waiter is not None:
            self.request_sent()

    # Ends of an exchange

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
            self.move(ConnectionEvent.FINISHED_UNCLEAN)
            self.abort_transport()
            return
        if self.method == "HEAD":
            self.parser = None
        self.idle_since = self.clock.now()
        self.move(FINISHED_CLEAN)
        self.owner.connection_idle(self)

    def end_exchange(self):
        """Forget the reader of the answer and its deadlines."""
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
        """End the exchange with an error that carries ``bytes_sent``."""
        self.fail_with(error_class(reason, self.bytes_sent))

    def fail_with(self, error):
        """End the exchange with ``error`` and close the connection.

        The error may also come from the body of the request, so that ``bytes_sent``
        is set on every kind.
        """
        waiter = self.waiter
        stream = self.stream
        if waiter is None:
            return
        error.reused = self.reused
        error.bytes_sent = self.bytes_sent
        self.end_exchange()
        self.move(ConnectionEvent.FAILED)
        self.abort_transport()
        if stream is not None:
            stream.fail(error)
        elif not waiter.done():
            waiter.set_exception(error)

    def exchange_cancelled(self, waiter):
        """Close the connection if the cancelled exchange is still in progress."""
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            # The answer arrived in the same round of the loop.
            waiter.result().abandon()
        if self.waiter is waiter:
            self.abandon()

    def abandon(self):
        """Drop an exchange that nobody waits for; the target sees it cancelled."""
        if self.waiter is None:
            return
        self.end_exchange()
        self.move(ConnectionEvent.ABANDONED)
        self.abort_transport()

    def retire(self):
        """Close the connection; an exchange in progress fails."""
        if self.waiter is not None:
            self.fail(ConnectionBroken, "connection was closed by its pool")
            return
        self.move(ConnectionEvent.RETIRED)
        self.abort_transport()

    def abort_transport(self):
        """Close without sending what is buffered."""
        self.transport.abort()

    def deadline_passed(self, now):
        """Fail a silent exchange; called by the sweep."""
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
        """Stop reading from the target; its deadline stops as well."""
        if self.reading_paused or self.transport.is_closing():
            return
        self.reading_paused = True
        self.deadline = inf
        self.transport.pause_reading()

    def resume_answer(self):
        """Read from the target again."""
        if not self.reading_paused or self.transport.is_closing():
            return
        self.reading_paused = False
        self.deadline = self.clock.now() + self.between_bytes_s
        self.transport.resume_reading()
