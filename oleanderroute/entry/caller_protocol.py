"""Accepts callers' connections: limits, strict framing and disconnects."""

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

# After an early refusal, incoming bytes are discarded for this long. Closing with
# unread bytes makes the kernel send a reset, which can destroy the answer.
LINGER_S = 2.0
# Callers over the connection limit that are told so; any more are reset at once.
MAX_EXCESS_CONNECTIONS = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CHECKED_HEADERS = frozenset(
    {b"host", b"content-length", b"transfer-encoding", b"expect"}
)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What one caller, and all callers together, may use.

    Attributes
    ----------
    header_bytes : int
        Request line and headers, without the separators.
    header_s : float
        Seconds from a request's first byte to the end of its headers.
    body_read_timeout_s : float
        Seconds without a byte of the body while the target could take more.
    write_timeout_s : float
        Seconds in which a caller takes nothing of a pending answer.
    idle_s : float
        Seconds that a connection may stay open between two requests. Above the
        usual 60 s of balancers, so that the balancer closes first.
    """

    connections: int = 4096
    header_bytes: int = 32 * 1024
    headers: int = 100
    header_s: float = 10.0
    body_read_timeout_s: float = 30.0
    write_timeout_s: float = 60.0
    idle_s: float = 75.0


class CallerProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol with bounds on what a caller can do.

    Parameters
    ----------
    clock : Clock
    sweep : DeadlineSweep
        Calls ``deadline_passed`` when ``deadline`` is over.
    gate : ListenerState
        Holds the limits in force and tells whether the server drains.
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

    @property
    def limits(self):
        """The ``CallerLimits`` in force."""
        return self.listener_state.limits

    def extend_idle(self, idle_s):
        """Keep a connection that is idle now for ``idle_s`` seconds more at least."""
        cycle = self.cycle
        if self.in_headers or self.lingering:
            return
        if cycle is None or cycle.response_complete:
            self.deadline = max(self.deadline, self.clock.now() + idle_s)

    # Events of the transport

    def connection_made(self, transport):
        """Admit the connection, or refuse it above the limit."""
        super().connection_made(transport)
        self.deadline = self.clock.now() + self.limits.idle_s
        self.sweep.add(self)
        excess = len(self.connections) - self.limits.connections
        if excess > MAX_EXCESS_CONNECTIONS:
            self.abort()
        elif excess > 0:
            self.refuse(503, RefusalReason.CONNECTIONS)

    def connection_lost(self, error):
        """Cancel the request in progress, which drops the target's connection."""
        self.sweep.discard(self)
        super().connection_lost(error)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data):
        """Feed the parser within the limits."""
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
            # A request that arrives in one piece needs no time limit.
            if not self.message_complete:
                self.check_progress(len(data))

    def check_progress(self, received):
        """Bound the time of a request that is not complete, and its overhead.

        Overhead is what neither completes the headers nor belongs to the body.
        """
        limits = self.limits
        if self.in_headers:
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
        """Give the caller the full time again to send a part of its body."""
        if self.message_complete or self.flow.write_paused:
            return
        self.deadline = self.clock.now() + self.limits.body_read_timeout_s

    def ignore_upgrade(self, has_more):
        """Go on after a bodyless request that offers an upgrade, as HTTP allows."""
        if has_more:
            self.cycle.keep_alive = False
            self.discarding = True

    def handle_parser_error(self, cause):
        """Answer input that the parser or a callback refused."""
        if isinstance(cause, PipelinedRequest):
            return
        if not isinstance(cause, RequestRefused):
            cause = RequestRefused(400, RefusalReason.MALFORMED)
        self.refuse_parsed(cause)

    def refuse_parsed(self, refusal):
        """Refuse a request; one that the application already has is broken off."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            self.refuse(refusal.status, refusal.reason)
            return
        if cycle.application_started:
            # A target may have part of this request, so no refusal is proved.
            self.abort()
            return
        self.task.cancel()
        self.task = None
        cycle.disconnected = True
        self.refuse(refusal.status, refusal.reason)

    # Callbacks of the parser

    def on_message_begin(self):
        """Start a request; one that arrives before the last answer is not read.

        The caller gets the answer in progress with ``Connection: close``, so it knows
        that the later requests were not run, and no target is held by a queue.
        """
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            cycle.keep_alive = False
            self.discarding = True
            raise PipelinedRequest("request before the answer to the last")
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

    def on_header(self, name, value):
        """Keep a header; trailers after the body are dropped."""
        if not self.in_headers:
            return
        name = name.lower()
        value = value.rstrip(b" \t")
        if name in CHECKED_HEADERS:
            self.record_checked_header(name, value)
        self.headers.append((name, value))

    def record_checked_header(self, name, value):
        """Note the headers that decide about framing."""
        if name == b"host":
            self.host_count += 1
        elif name == b"content-length":
            self.content_length = value
        elif name == b"transfer-encoding":
            self.transfer_encoding = value.lower()
        elif name == b"expect":
            self.expect_100_continue = value.lower() == b"100-continue"

    def on_headers_complete(self):
        """Check the request and start the application."""
        self.in_headers = False
        method = self.parser.get_method()
        self.check_head(method)
        raw_path, _, query = self.url.partition(b"?")
        # Only what the application reads; see the ASGI specification for the rest.
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
        # The exact size is only needed when the packets so far could exceed it.
        if len(self.headers) > limits.headers or (
            self.raw_bytes > limits.header_bytes
            and self.header_size() > limits.header_bytes
        ):
            raise RequestRefused(431, RefusalReason.HEADER_SIZE)
        if self.parser.get_http_version() != "1.1":
            raise RequestRefused(505, RefusalReason.VERSION)
        has_body = self.content_length is not None or self.transfer_encoding is not None
        # The parser skips the body of such a request, so only one without is safe.
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
        """Keep bytes for the application; pauses the caller when it is slower."""
        cycle = self.cycle
        self.body_progress = True
        if cycle.response_complete:
            return
        cycle.add_body(body)
        if len(cycle.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()

    def on_message_complete(self):
        """Note the end of the request."""
        cycle = self.cycle
        cycle.more_body = False
        self.raw_bytes = 0
        self.message_complete = True
        if not self.flow.write_paused:
            self.deadline = inf
        cycle.message_event.set()

    # Ends

    def on_response_complete(self):
        """Wait for the next request, or close."""
        self.server_state.total_requests += 1
        self.task = None
        if self.lingering or self.transport.is_closing():
            return
        self.flow.resume_reading()
        self.deadline = self.clock.now() + self.limits.idle_s

    def deadline_passed(self, now):
        """End a connection whose caller takes too long; called by the sweep."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            self.handle_stalled_request(now)
        elif self.in_headers and not self.lingering:
            self.refuse(408, RefusalReason.HEADER_TIMEOUT)
        elif not self.transport.get_write_buffer_size():
            self.transport.close()
        elif not self.write_overdue:
            # The end of an answer is still on its way to a slow caller.
            self.write_overdue = True
            self.deadline = now + self.limits.write_timeout_s
        else:
            self.abort()

    def handle_stalled_request(self, now):
        """Reset the caller unless it is this side that does not read."""
        waits_for_us = self.flow.read_paused or self.cycle.waiting_for_100_continue
        if waits_for_us and not self.flow.write_paused:
            self.deadline = now + self.limits.body_read_timeout_s
            return
        self.abort()

    def pause_writing(self):
        """Bound the time in which a caller takes nothing of its answer."""
        super().pause_writing()
        self.write_overdue = False
        self.deadline = self.clock.now() + self.limits.write_timeout_s

    def resume_writing(self):
        """Lift the bound of a slow caller."""
        super().resume_writing()
        self.write_overdue = False
        if self.lingering:
            self.deadline = self.clock.now() + LINGER_S
        elif self.cycle is None or self.cycle.response_complete:
            self.deadline = self.clock.now() + self.limits.idle_s
        else:
            self.deadline = inf
            self.restart_body_timeout()

    def refuse(self, status, reason):
        """Answer a request that never reached the pipeline, then close."""
        self.transport.write(encode_refusal(status, reason))
        self.linger()

    def linger(self):
        """Close for writing, and for reading when the caller has taken the answer."""
        self.discarding = True
        self.lingering = True
        self.flow.resume_reading()
        limit_s = self.limits.write_timeout_s if self.flow.write_paused else LINGER_S
        self.deadline = self.clock.now() + limit_s
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def abort(self):
        """Reset the connection, so that a caller can't take a fragment for whole."""
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
