"""A connection to the target stand-in: parsing, order of requests, silence."""

import asyncio
from collections import deque

import httptools

from .target_exchange import Exchange

BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class TargetConnection(asyncio.Protocol):
    """Parses requests with httptools and answers them in their order.

    Parameters
    ----------
    state : TargetState
    """

    def __init__(self, state):
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.transport = None
        self.exchanges = deque()
        self.is_paused = False
        # A silent connection neither reads nor writes; a mute one only reads.
        self.is_silent = False
        self.is_mute = False
        self.url = b""
        self.headers = {}

    def connection_made(self, transport):
        """Accept the connection, which takes the target some time."""
        self.transport = transport
        state = self.state
        state.counters["connections_accepted"] += 1
        if len(state.connections) >= state.options.max_connections:
            state.counters["connections_refused"] += 1
            transport.abort()
            return
        state.connections.add(self)
        cost_s = state.options.connection_cost_ms / 1000
        if cost_s <= 0:
            return
        now = self.loop.time()
        state.accept_free_at = max(state.accept_free_at, now) + cost_s
        transport.pause_reading()
        self.loop.call_at(state.accept_free_at, self.start_reading)

    def start_reading(self):
        """Read from the connection once it has been accepted."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data):
        """Feed the parser. A silent connection swallows everything."""
        if self.is_silent:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.state.counters["bad_requests"] += 1
            self.write(BAD_REQUEST)
            self.transport.close()

    def on_message_begin(self):
        """Start collecting a request."""
        self.url = b""
        self.headers = {}

    def on_url(self, url):
        """Collect the request target, which may arrive in parts."""
        self.url += url

    def on_header(self, name, value):
        """Collect a header."""
        self.headers[name.lower()] = value

    def on_headers_complete(self):
        """Begin the request, unless an earlier one is being answered."""
        exchange = Exchange(
            self,
            self.parser.get_method(),
            self.url,
            self.headers,
            self.parser.should_keep_alive(),
        )
        self.exchanges.append(exchange)
        domain = exchange.text(b"x-entry-domain")
        if self.state.is_cut(domain, "to_target"):
            self.is_silent = True
            return
        if self.state.is_cut(domain, "to_entry"):
            self.is_mute = True
        if len(self.exchanges) == 1:
            exchange.begin()

    def on_body(self, data):
        """Pass a piece of the body to the newest request."""
        self.exchanges[-1].body(data)

    def on_message_complete(self):
        """Tell the newest request that it is complete."""
        self.exchanges[-1].message_complete()

    def exchange_finished(self, exchange):
        """Close the connection or begin the next pipelined request."""
        self.exchanges.popleft()
        if not exchange.keep_alive:
            self.exchanges.clear()
            self.transport.close()
            return
        if self.exchanges:
            self.exchanges[0].begin()

    def write(self, data):
        """Send bytes, unless the connection is silent or closed."""
        if self.is_silent or self.is_mute or self.transport.is_closing():
            return
        self.transport.write(data)

    def pause_writing(self):
        """Note that the caller reads slowly."""
        self.is_paused = not self.is_silent

    def resume_writing(self):
        """Go on with an answer that waits for the caller."""
        self.is_paused = False
        if self.exchanges and self.exchanges[0].pieces is not None:
            self.exchanges[0].send_pieces()

    def fall_silent(self):
        """Swallow everything and never answer again, without closing."""
        self.is_silent = True
        self.resume_writing()

    def connection_lost(self, _error):
        """Cancel what is running for the caller.

        A silent connection carries no close either, so its complete requests
        run on.
        """
        self.state.connections.discard(self)
        for exchange in list(self.exchanges):
            if self.is_silent and exchange.is_complete:
                continue
            exchange.abandon()
