"""Accepts connections of other hosts and answers their requests."""

import asyncio
import inspect
from ipaddress import ip_address, ip_network

from .. import events
from ..errors import MessageRejected
from .codec import encode_frame, read_frame
from .envelope import check_header, decode_request, union_field
from .gen.oleander_messages.ttypes import PeerReply, ReplyBody

# A peer that sends no request for this long is disconnected; it reconnects on
# demand.
IDLE_TIMEOUT_S = 120.0


class PeerServer:
    """Listens for other hosts and passes each request to the handler of its kind.

    Parameters
    ----------
    fleet : str
    make_header : callable
        Returns the ``Header`` of a reply.
    on_header : callable
        Called with the header of each accepted request.
    link_filter : LinkFilter
    allowed_networks : list of str
        Networks, in CIDR form, that may connect.
    metrics : Metrics
    """

    def __init__(
        self, fleet, make_header, on_header, link_filter, allowed_networks, metrics
    ):
        self.fleet = fleet
        self.make_header = make_header
        self.on_header = on_header
        self.link_filter = link_filter
        self.allowed = [ip_network(network) for network in allowed_networks]
        self.metrics = metrics
        self.handlers = {}
        self.connections = set()
        self.server = None

    def register(self, kind, handler):
        """Route requests of ``kind`` to ``handler``.

        Parameters
        ----------
        kind : str
            Field name of ``RequestBody``.
        handler : callable
            Takes the request body and its header and returns, directly or as an
            awaitable, the field name and value of the ``ReplyBody``.
        """
        self.handlers[kind] = handler

    async def start(self, address, port):
        """Open the listening socket."""
        self.server = await asyncio.start_server(self.handle_connection, address, port)

    async def close(self):
        """Close the listener and every connection."""
        self.server.close()
        for task in list(self.connections):
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    async def handle_connection(self, reader, writer):
        """Answer the requests of one connection until it ends."""
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            if self.is_allowed(writer):
                await self.handle_requests(reader, writer)
        except asyncio.CancelledError:
            # Not raised again: asyncio's stream callback would log the shutdown.
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    def is_allowed(self, writer):
        """Return whether the remote address is in an allowed network."""
        address = ip_address(writer.get_extra_info("peername")[0])
        for network in self.allowed:
            if address in network:
                return True
        self.record_dropped_message("address not allowed", str(address))
        return False

    def record_dropped_message(self, reason, source):
        """Count and log a message that is not answered."""
        self.metrics.peer_messages_dropped.inc({"reason": reason.split(":")[0]})
        events.PEER_MESSAGE_DROPPED.log(reason=reason, source=source)

    async def handle_requests(self, reader, writer):
        """Handle frames in order; a handler's awaitable result gets its own task."""
        source = str(writer.get_extra_info("peername"))
        async with asyncio.TaskGroup() as group:
            while True:
                frame = await self.read_next_frame(reader, source)
                if frame is None:
                    return
                self.handle_frame(frame, source, writer, group)

    async def read_next_frame(self, reader, source):
        """Return the next frame, or None at the end of the connection."""
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                return await read_frame(reader)
        except MessageRejected as error:
            self.record_dropped_message(str(error), source)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        return None

    def handle_frame(self, frame, source, writer, group):
        """Answer one frame, directly or in a task of ``group``."""
        try:
            request = decode_request(frame)
            check_header(request.header, self.fleet)
            kind, value = union_field(request.body)
        except MessageRejected as error:
            self.record_dropped_message(str(error), source)
            return
        handler = self.handlers.get(kind)
        if handler is None:
            self.record_dropped_message("no handler for the kind of message", source)
            return
        if self.link_filter.drops_incoming(request.header.failure_domain):
            return
        self.on_header(request.header)
        try:
            result = handler(value, request.header)
        except Exception as error:
            # An invalid field value must not close the sender's connection.
            self.record_dropped_message(f"refused by its handler: {error!r}", source)
            return
        if inspect.isawaitable(result):
            group.create_task(self.send_reply_when_ready(writer, request, result))
            return
        self.send_reply(writer, request, result)

    async def send_reply_when_ready(self, writer, request, awaitable):
        """Send a reply once the handler's awaitable has finished."""
        self.send_reply(writer, request, await awaitable)

    def send_reply(self, writer, request, result):
        """Send one reply unless there is none or the link filter drops it."""
        if result is None:
            return
        if self.link_filter.drops_outgoing(request.header.failure_domain):
            return
        name, value = result
        reply = PeerReply(
            request_id=request.request_id,
            header=self.make_header(),
            body=ReplyBody(**{name: value}),
        )
        frame = encode_frame(reply)
        self.metrics.peer_bytes_sent.add({"kind": name}, len(frame))
        writer.write(frame)
