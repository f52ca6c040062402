"""Connections of callers: limits, strict framing checks and disconnects."""

import socket
import struct
from dataclasses import dataclass
from math import inf

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .caller_checks import (
    PipelinedRequest,
    RefusalReason,
    RequestRefused,
    decode_path,
    encode_refusal,
)
from .caller_cycle import CallerCycle
from .memory_guard import RequestCharge
from .messages import MEMORY_CHARGE

# After an early refusal, incoming bytes are discarded for this time. Closing a socket
# with unread bytes makes the kernel send a reset, which can discard the answer.
LINGER_S = 2.0
# Where descriptors are limited, a new connection takes the place of one whose caller
# has sent or read nothing for this time.
MIN_INACTIVE_S = 1.0
MAX_UNCHARGED_ANSWER_BYTES = 16 * 1024
# The parser keeps an incomplete header once more.
HEAD_COPIES = 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CHECKED_HEADERS = frozenset(
    {b"host", b"content-length", b"transfer-encoding", b"expect"}
)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for one caller, and for the number of connections of all callers.

    Attributes
    ----------
    excess_connections : int
        Connections above the limit that get a 503 answer; further ones are reset.
    must_make_room : bool
        Whether a new connection above the limit ends one that is inactive.
    header_bytes : int
        Size of the request line and the headers, without separators.
    header_s : float
        Seconds from the first byte of a request to the end of its headers.
    body_read_timeout_s : float
        Seconds without a byte of the body while the target is ready for more.
    write_timeout_s : float
        Seconds in which a caller reads nothing of a pending answer.
    open_answer_s : float
        The same while the target still sends the answer, if it is less.
    idle_s : float
        Seconds that a connection may be idle between two requests. Longer than the
        usual 60 s of load balancers, so that the balancer closes first.
    """

    connections: int = 4096
    excess_connections: int = 256
    must_make_room: bool = False
    header_bytes: int = 32 * 1024
    headers: int = 100
    header_s: float = 10.0
    body_read_timeout_s: float = 30.0
    write_timeout_s: float = 60.0
    open_answer_s: float = inf
    idle_s: float = 75.0


class CallerProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol with limits on the resources of a caller.

    Parameters
    ----------
    clock : Clock
    sweep : DeadlineSweep
        Calls ``deadline_passed`` once ``deadline`` has passed.
    listener_state : ListenerState
        The limits in force and whether the server is draining.
    """

    def __init__(
        self,
        config,
        server_state,
        app_state,
        _loop=None,
        *,
        clock,
        sweep,
        listener_state,
    ):
        super().__init__(config, server_state, app_state, _loop)
        self.clock = clock
        self.sweep = sweep
        self.listener_state = listener_state
        self.deadline = inf
        self.task = None
        self.url = b""
        self.in_headers = False
        self.discarding = False
        self.lingering = False
        self.write_overdue = False
        self.raw_bytes = 0
        self.message_complete = True
        self.header_timed = False
        self.overhead_bytes = 0
        self.body_progress = False
        self.host_count = 0
        self.content_length = None
        self.transfer_encoding = None
        # Used if the host has a memory budget: the account of the request whose first
        # byte was received.
        self.guard = listener_state.guard
        self.account = None
        self.memory_paused = False
        self.active_at = clock.now()

    @property
    def limits(self):
        """The ``CallerLimits`` in force."""
        return self.listener_state.limits

    def extend_idle(self, idle_s):
        """Keep an idle connection open for at least ``idle_s`` more seconds."""
        cycle = self.cycle
        if self.in_headers or self.lingering:
            return
        if cycle is None or cycle.response_complete:
            self.deadline = max(self.deadline, self.clock.now() + idle_s)

    # Transport callbacks

    def connection_made(self, transport):
        """Accept the connection, or refuse it above the connection limit."""
        super().connection_made(transport)
        self.deadline = self.clock.now() + self.limits.idle_s
        self.sweep.add(self)
        if self.guard is not None:
            self.guard.open_connection()
            # What a caller leaves unread beyond this is charged to its request.
            transport.set_write_buffer_limits(high=MAX_UNCHARGED_ANSWER_BYTES)
        limits = self.limits
        excess = len(self.connections) - limits.connections
        if excess > 0 and limits.must_make_room and self.make_room():
            return
        if excess > limits.excess_connections:
            self.abort()
        elif excess > 0:
            self.refuse(503, RefusalReason.CONNECTIONS, limits.must_make_room)

    def make_room(self):
        """End the connection that is inactive for longest; tell whether there is one.

        Connections on which the host or a target is at work stay.
        """
        inactive = None
        inactive_since = self.clock.now() - MIN_INACTIVE_S
        for connection in self.connections:
            waits_since = connection.waits_since()
            if waits_since is not None and waits_since <= inactive_since:
                inactive = connection
                inactive_since = waits_since
        if inactive is None:
            return False
        # It no longer counts, and its end needs another pass of the event loop.
        self.connections.discard(inactive)
        inactive.abort()
        return True

    def waits_since(self):
        """Return since when only the caller can go on, or None if others can."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete or self.flow.write_paused:
            return self.active_at
        if not cycle.more_body or self.flow.read_paused:
            return None
        # The account does not count single bytes of a large body.
        return self.active_at if self.account is None else self.account.progress_at

    def connection_lost(self, error):
        """Cancel the request in progress, which closes the target's connection."""
        self.sweep.discard(self)
        super().connection_lost(error)
        if self.guard is not None:
            self.guard.close_connection()
            self.close_account()
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data):
        """Feed the parser and enforce the limits."""
        if self.discarding:
            return
        self.raw_bytes += len(data)
        self.body_progress = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self.ignore_upgrade(upgrade.args[0] < len(data))
        except httptools.HttpParserError as error:
            self.handle_parser_error(error.__context__)
        else:
            # A request that arrives complete needs no time limit.
            if not self.message_complete:
                self.check_progress(len(data))

    def check_progress(self, received):
        """Limit the time and the overhead of an incomplete request.

        Overhead is input that neither completes the headers nor belongs to the body.
        """
        limits = self.limits
        if self.in_headers:
            if self.account is not None:
                self.guard.receive_head(self.account, HEAD_COPIES * received)
            if self.lingering:
                return
            if self.raw_bytes > limits.header_bytes:
                self.refuse(431, RefusalReason.HEADER_SIZE)
            elif not self.header_timed:
                self.header_timed = True
                self.deadline = self.clock.now() + limits.header_s
            return
        self.restart_body_timeout()
        if self.body_progress:
            self.overhead_bytes = 0
            return
        self.overhead_bytes += received
        if self.overhead_bytes > limits.header_bytes:
            self.abort()

    def restart_body_timeout(self):
        """Restart the time limit for the next bytes of the body."""
        if self.message_complete or self.flow.write_paused:
            return
        self.deadline = self.clock.now() + self.limits.body_read_timeout_s

    def ignore_upgrade(self, has_more):
        """Ignore the upgrade offered by a request without a body, as HTTP permits."""
        if has_more:
            self.cycle.keep_alive = False
            self.discarding = True

    def handle_parser_error(self, cause):
        """Handle input that the parser or a callback rejected."""
        if isinstance(cause, PipelinedRequest):
            return
        if not isinstance(cause, RequestRefused):
            cause = RequestRefused(400, RefusalReason.MALFORMED)
        self.refuse_parsed(cause)

    def refuse_parsed(self, refusal):
        """Refuse a request; resets the connection if the application has started."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            self.refuse(refusal.status, refusal.reason)
            return
        if cycle.application_started:
            # A target may have received part of this request, so it can't be reported
            # as not run.
            self.abort()
            return
        self.task.cancel()
        self.task = None
        cycle.disconnected = True
        self.refuse(refusal.status, refusal.reason)

    # Parser callbacks

    def on_message_begin(self):
        """Start a request; a pipelined request is discarded.

        The answer in progress gets ``Connection: close``, so the caller knows that the
        later requests were not run, and no target is kept busy by a queue of requests.
        """
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            cycle.keep_alive = False
            self.discarding = True
            raise PipelinedRequest(
                "request received before the previous one was answered"
            )
        self.url = b""
        self.headers = []
        self.expect_100_continue = False
        self.message_complete = False
        self.in_headers = True
        self.header_timed = False
        self.host_count = 0
        self.content_length = None
        self.transfer_encoding = None
        self.deadline = inf
        # Later bytes of the head don't count, as heads usually arrive at once.
        self.active_at = self.clock.now()
        if self.guard is not None:
            self.close_account()
            self.account = self.guard.open(self)

    def on_header(self, name, value):
        """Store a header; trailers after the body are dropped."""
        if not self.in_headers:
            return
        name = name.lower()
        value = value.rstrip(b" \t")
        if name in CHECKED_HEADERS:
            self.record_checked_header(name, value)
        self.headers.append((name, value))

    def record_checked_header(self, name, value):
        """Store a header that the framing checks need."""
        if name == b"host":
            self.host_count += 1
        elif name == b"content-length":
            self.content_length = value
        elif name == b"transfer-encoding":
            self.transfer_encoding = value.lower()
        elif name == b"expect":
            self.expect_100_continue = value.lower() == b"100-continue"

    def on_headers_complete(self):
        """Check the head of the request and start the application."""
        self.in_headers = False
        method = self.parser.get_method()
        self.check_head(method)
        raw_path, _, query = self.url.partition(b"?")
        # Only the ASGI keys that the application reads.
        scope = {
            "type": "http",
            "http_version": "1.1",
            "method": method.decode("ascii"),
            "scheme": "http",
            "path": decode_path(raw_path),
            "raw_path": raw_path,
            "query_string": query,
            "headers": self.headers,
            "client": self.client,
            "server": self.server,
        }
        if self.account is not None:
            self.guard.begin_body(self.account)
            scope[MEMORY_CHARGE] = RequestCharge(self.guard, self.account)
        keep_alive = (
            self.parser.should_keep_alive() and not self.listener_state.draining
        )
        self.cycle = CallerCycle(self, scope, keep_alive, self.expect_100_continue)
        self.task = task = self.loop.create_task(self.cycle.run_asgi(self.app))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def check_head(self, method):
        """Raise ``RequestRefused`` unless the request's framing is unambiguous."""
        limits = self.limits
        # The exact size is computed only if the received bytes exceed the limit.
        if len(self.headers) > limits.headers or (
            self.raw_bytes > limits.header_bytes
            and self.header_size() > limits.header_bytes
        ):
            raise RequestRefused(431, RefusalReason.HEADER_SIZE)
        if self.parser.get_http_version() != "1.1":
            raise RequestRefused(505, RefusalReason.VERSION)
        has_body = self.content_length is not None or self.transfer_encoding is not None
        # The parser skips the body of an upgrade request, so only requests without a
        # body are safe.
        if self.parser.should_upgrade() and (has_body or method == b"CONNECT"):
            raise RequestRefused(400, RefusalReason.UPGRADE)
        if self.host_count != 1:
            raise RequestRefused(400, RefusalReason.HOST)
        if b"#" in self.url:
            raise RequestRefused(400, RefusalReason.REQUEST_TARGET)
        if self.transfer_encoding is None:
            return
        if self.transfer_encoding != b"chunked" or self.content_length is not None:
            raise RequestRefused(400, RefusalReason.FRAMING)

    def header_size(self):
        """Return the bytes of the request target and the headers."""
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value)
        return size

    def on_body(self, body):
        """Buffer bytes for the application; pauses reading at the high-water mark."""
        cycle = self.cycle
        self.body_progress = True
        if cycle.response_complete or cycle.refused_for_memory:
            return
        cycle.add_body(body)
        self.active_at = self.clock.now()
        if len(cycle.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()
            if self.account is not None:
                self.guard.throttle(self.account, True)
        if self.account is not None:
            self.guard.receive_body(self.account, len(body))

    def resume_body(self):
        """Resume reading, for an application that reads the body again."""
        if self.account is not None:
            self.guard.throttle(self.account, False)
        if self.memory_paused:
            return
        self.flow.resume_reading()
        self.restart_body_timeout()

    def on_message_complete(self):
        """Mark the request as complete."""
        cycle = self.cycle
        cycle.more_body = False
        self.raw_bytes = 0
        self.message_complete = True
        if not self.flow.write_paused:
            self.deadline = inf
        if self.account is not None:
            self.guard.end_request(self.account)
        cycle.message_event.set()

    # End of a request or connection

    def on_response_complete(self):
        """Start the idle timeout for the next request unless the connection closes."""
        self.server_state.total_requests += 1
        self.task = None
        self.memory_paused = False
        self.active_at = self.clock.now()
        if self.account is not None and not self.flow.write_paused:
            self.close_account()
        if self.lingering or self.transport.is_closing():
            return
        self.flow.resume_reading()
        if self.flow.write_paused:
            # The next request waits until this answer is read. Otherwise the answers of
            # a caller that reads none would pile up.
            self.flow.pause_reading()
        self.deadline = self.clock.now() + self.limits.idle_s

    def deadline_passed(self, now):
        """Handle a caller that exceeded a time limit; called by the sweep."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            self.handle_stalled_request(now)
        elif self.in_headers and not self.lingering:
            self.refuse(408, RefusalReason.HEADER_TIMEOUT)
        elif not self.transport.get_write_buffer_size():
            self.transport.close()
        elif not self.write_overdue:
            # A slow caller has not read the end of the answer yet.
            self.write_overdue = True
            self.deadline = now + self.limits.write_timeout_s
        else:
            self.abort()

    def handle_stalled_request(self, now):
        """Reset the connection unless the stall is caused by paused reading here."""
        waits_for_application = (
            self.flow.read_paused or self.cycle.waiting_for_100_continue
        )
        if waits_for_application and not self.flow.write_paused:
            self.deadline = now + self.limits.body_read_timeout_s
            return
        self.abort()

    def pause_writing(self):
        """Start the time limit for a caller that does not read its answer."""
        super().pause_writing()
        self.write_overdue = False
        self.active_at = self.clock.now()
        limits = self.limits
        limit_s = limits.write_timeout_s
        is_complete = self.cycle is None or self.cycle.response_complete
        if not is_complete:
            limit_s = min(limit_s, limits.open_answer_s)
        self.deadline = self.active_at + limit_s
        if self.account is not None:
            self.guard.hold_answer(
                self.account, self.transport.get_write_buffer_size(), is_complete
            )

    def resume_writing(self):
        """Replace the write timeout by the one of the current phase."""
        super().resume_writing()
        self.write_overdue = False
        self.active_at = self.clock.now()
        self.release_answer()
        if self.lingering:
            self.deadline = self.clock.now() + LINGER_S
        elif self.cycle is None or self.cycle.response_complete:
            self.flow.resume_reading()
            self.deadline = self.clock.now() + self.limits.idle_s
        else:
            self.deadline = inf
            self.restart_body_timeout()

    # Memory budget of the host

    def close_account(self):
        """Release what the latest request was charged with."""
        if self.account is not None:
            self.guard.close(self.account)
            self.account = None

    def release_answer(self):
        """Release an answer that the caller reads again."""
        if self.account is None:
            return
        if self.cycle is None or self.cycle.response_complete:
            self.close_account()
        else:
            self.guard.end_answer(self.account, not self.cycle.more_body)

    def pause_for_memory(self):
        """Stop reading the body of the request."""
        self.memory_paused = True
        self.flow.pause_reading()

    def resume_after_memory(self):
        """Read the body again unless the application is slower."""
        self.memory_paused = False
        if self.cycle is None or len(self.cycle.body) > HIGH_WATER_LIMIT:
            return
        self.flow.resume_reading()
        self.restart_body_timeout()

    def refuse_for_memory(self):
        """Refuse the request in progress, or reset a connection with an open answer."""
        self.memory_paused = False
        cycle = self.cycle
        if self.in_headers:
            if not self.lingering:
                self.refuse(503, RefusalReason.MEMORY, may_return=True)
        elif cycle is None or cycle.response_complete or cycle.response_started:
            self.abort()
        else:
            cycle.refuse_for_memory()

    def refuse(self, status, reason, may_return=False):
        """Answer a request that did not reach the pipeline, then close.

        Parameters
        ----------
        may_return : bool
            Whether the caller is told when there will be room.
        """
        self.transport.write(encode_refusal(status, reason, may_return))
        self.linger()

    def linger(self):
        """Half-close the connection and discard input until the caller closes it."""
        self.discarding = True
        self.lingering = True
        if not self.flow.write_paused:
            self.close_account()
        self.flow.resume_reading()
        limit_s = self.limits.write_timeout_s if self.flow.write_paused else LINGER_S
        self.deadline = self.clock.now() + limit_s
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def abort(self):
        """Reset the connection, so that a partial answer can't pass for a whole one."""
        self.discarding = True
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def close_if_idle(self):
        """Close the connection unless a request is in progress."""
        if self.in_headers or self.lingering:
            return
        if self.cycle is None or self.cycle.response_complete:
            self.transport.close()
