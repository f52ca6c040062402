"""Sends requests to other hosts over connections opened on demand."""

import asyncio
import itertools
from dataclasses import dataclass

from .. import events
from ..errors import MessageRejected, PeerTimeout, PeerUnreachable
from ..ids import FailureDomain, HostId
from .codec import FRAME_LENGTH, MAX_FRAME_BYTES, encode_frame
from .envelope import check_header, decode_reply, union_field
from .gen.oleander_messages.ttypes import PeerRequest, RequestBody

DEFAULT_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5
# Connections unused for this long are closed; a host talks to a few peers often
# and to most of them seldom.
IDLE_TIMEOUT_S = 60.0


@dataclass(slots=True)
class PendingRequest:
    """A request whose reply is awaited.

    Attributes
    ----------
    sent_at : float
        Monotonic seconds.
    """

    future: asyncio.Future
    sent_at: float


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address and port on which a peer listens."""

    host_id: HostId
    address: str
    port: int
    failure_domain: FailureDomain


class PeerConnection(asyncio.Protocol):
    """One connection to a peer; matches replies to requests by id."""

    def __init__(self, client, peer):
        self.client = client
        self.peer = peer
        self.transport = None
        self.buffer = bytearray()
        self.pending_requests = {}
        self.last_used_at = 0.0

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def data_received(self, data):
        """Split the stream into frames."""
        self.buffer += data
        while len(self.buffer) >= FRAME_LENGTH.size:
            (length,) = FRAME_LENGTH.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                self.client.record_dropped_message("oversized frame", self.peer)
                self.transport.abort()
                return
            end = FRAME_LENGTH.size + length
            if len(self.buffer) < end:
                return
            frame = bytes(self.buffer[FRAME_LENGTH.size : end])
            del self.buffer[:end]
            self.reply_received(frame)

    def reply_received(self, frame):
        """Resolve the request that a reply belongs to."""
        try:
            reply = decode_reply(frame)
            check_header(reply.header, self.client.fleet)
            _, value = union_field(reply.body)
        except MessageRejected as error:
            self.client.record_dropped_message(str(error), self.peer)
            return
        if self.client.link_filter.drops_incoming(reply.header.failure_domain):
            return
        self.client.on_header(reply.header)
        pending = self.pending_requests.pop(reply.request_id, None)
        if pending is None or pending.future.done():
            return
        self.client.on_reply(reply.header, pending.sent_at)
        pending.future.set_result(value)

    def connection_lost(self, error):
        """Fail all pending requests."""
        self.client.remove_connection(self)
        for pending in self.pending_requests.values():
            if pending.future.done():
                continue
            failure = PeerUnreachable(f"{self.peer.host_id}: {error}")
            pending.future.set_exception(failure)
        self.pending_requests.clear()


class PeerClient:
    """Sends requests to peers, over at most one connection to each.

    Parameters
    ----------
    fleet : str
    make_header : callable
        Returns the ``Header`` of a request.
    on_header : callable
        Called with the header of each accepted reply.
    on_reply : callable
        Called with the header of a reply and the monotonic time in seconds when its
        request was sent, so that a delayed reply does not count as a fresh one.
    link_filter : LinkFilter
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self, fleet, make_header, on_header, on_reply, link_filter, clock, metrics
    ):
        self.fleet = fleet
        self.make_header = make_header
        self.on_header = on_header
        self.on_reply = on_reply
        self.link_filter = link_filter
        self.clock = clock
        self.metrics = metrics
        self.connections = {}
        self.opening = {}
        self.request_ids = itertools.count(1)

    async def request(self, peer, kind, value, timeout_s=DEFAULT_TIMEOUT_S):
        """Send one request and return the body of its reply.

        Parameters
        ----------
        peer : PeerAddress
        kind : str
            Field name of ``RequestBody``.
        value : object
            The thrift structure of that kind.
        timeout_s : float
            Seconds to wait for the reply, connecting included.

        Raises
        ------
        PeerTimeout, PeerUnreachable
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.get_connection(peer)
                return await self.send(connection, kind, value)
        except TimeoutError as error:
            raise PeerTimeout(f"{peer.host_id}: no reply in {timeout_s} s") from error
        except OSError as error:
            raise PeerUnreachable(f"{peer.host_id}: {error}") from error

    async def send(self, connection, kind, value):
        """Write one request and wait for its reply."""
        request_id = next(self.request_ids)
        request = PeerRequest(
            request_id=request_id,
            header=self.make_header(),
            body=RequestBody(**{kind: value}),
        )
        future = asyncio.get_running_loop().create_future()
        now = self.clock.now()
        connection.pending_requests[request_id] = PendingRequest(future, now)
        connection.last_used_at = now
        if not self.link_filter.drops_outgoing(connection.peer.failure_domain):
            frame = encode_frame(request)
            self.metrics.peer_bytes_sent.add({"kind": kind}, len(frame))
            connection.transport.write(frame)
        try:
            return await future
        finally:
            connection.pending_requests.pop(request_id, None)

    async def get_connection(self, peer):
        """Return the open connection to ``peer``, opening it if there is none."""
        connection = self.connections.get(peer)
        if connection is not None:
            return connection
        task = self.opening.get(peer)
        if task is None:
            task = asyncio.ensure_future(self.open_connection(peer))
            self.opening[peer] = task
            task.add_done_callback(lambda done: self.opening.pop(peer, None))
        return await asyncio.shield(task)

    async def open_connection(self, peer):
        """Open a connection within ``CONNECT_TIMEOUT_S``."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: PeerConnection(self, peer), peer.address, peer.port
                )
        except (OSError, TimeoutError) as error:
            raise PeerUnreachable(f"{peer.host_id}: {error}") from error
        self.connections[peer] = connection
        return connection

    def remove_connection(self, connection):
        """Remove a closed connection."""
        if self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]

    def close_idle(self):
        """Close the connections that were not used for ``IDLE_TIMEOUT_S`` seconds."""
        idle_limit_at = self.clock.now() - IDLE_TIMEOUT_S
        for connection in list(self.connections.values()):
            if connection.pending_requests or connection.last_used_at > idle_limit_at:
                continue
            connection.transport.close()

    def record_dropped_message(self, reason, peer):
        """Count and log a reply that is ignored."""
        self.metrics.peer_messages_dropped.inc({"reason": reason.split(":")[0]})
        events.PEER_MESSAGE_DROPPED.log(reason=reason, source=peer.host_id)

    async def close(self):
        """Close every connection."""
        for connection in list(self.connections.values()):
            connection.transport.abort()
