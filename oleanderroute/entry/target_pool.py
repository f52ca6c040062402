"""Pools of connections to targets."""

import asyncio
import socket
from math import inf

from ..clock import SystemClock
from ..errors import ConnectFailed, TargetError
from .deadlines import DeadlineSweep
from .dialect import DEFAULT_DIALECT
from .target_connection import TargetConnection

DEFAULT_CONNECTION_LIMIT = 8
CONNECT_TIMEOUT_S = 1.0
# Shorter than the 60 s idle timeout of common servers.
IDLE_CLOSE_S = 50.0
IDLE_CHECK_INTERVAL_S = 5.0
# Resolution of the timeouts. At 90 requests/s the sweep takes 4% of the CPU time of a
# request.
SWEEP_INTERVAL_S = 0.05
# An unreachable peer is detected after 10 + 3 x 3 s without traffic.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3


class ConnectionLimitReached(TargetError):
    """All permitted connections to a target are in use; nothing was sent.

    Parameters
    ----------
    limit : int
    """

    def __init__(self, limit):
        super().__init__(f"all {limit} connections are busy", bytes_sent=False)
        self.limit = limit
        self.reused = False


def open_socket(address, receive_buffer_bytes=None):
    """Return a non-blocking TCP socket for an IPv4 or IPv6 ``address``.

    Parameters
    ----------
    address : str
    receive_buffer_bytes : int, optional
        Size of the kernel's buffer; otherwise the kernel adjusts it.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if receive_buffer_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    set_keepalive(sock)
    return sock


def set_keepalive(sock):
    """Enable TCP keepalive probes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class TargetConnections:
    """Connection pool of one target.

    Parameters
    ----------
    target : Target
    limit : int
        Maximum number of open connections.
    clock : Clock
    sweep : DeadlineSweep
    """

    def __init__(self, target, limit, clock, sweep, dialect=DEFAULT_DIALECT):
        self.dialect = dialect
        self.target = target
        self.limit = limit
        self.clock = clock
        self.sweep = sweep
        self.idle = []
        self.open = set()
        self.opening = 0
        self.opened = 0
        self.receive_buffer_bytes = None
        # Connections with a lower serial were opened before one that timed out.
        self.suspect_below_serial = 0

    async def connect(self, timeout_s, is_check=False):
        """Open a connection.

        Parameters
        ----------
        is_check : bool
            Whether one connection beyond the limit is permitted.

        Raises
        ------
        ConnectFailed, ConnectionLimitReached
        """
        if len(self.open) + self.opening >= self.limit + is_check:
            raise ConnectionLimitReached(self.limit)
        self.opening += 1
        try:
            return await self.connect_socket(timeout_s)
        finally:
            self.opening -= 1

    async def connect_socket(self, timeout_s):
        """Connect a socket within ``timeout_s`` and return its ``TargetConnection``."""
        target = self.target
        sock = open_socket(target.address, self.receive_buffer_bytes)
        try:
            async with asyncio.timeout(timeout_s):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, (target.address, target.port))
                self.opened += 1
                connection = TargetConnection(
                    self, self.opened, self.clock, self.sweep, self.dialect
                )
                await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError) as error:
            sock.close()
            failure = ConnectFailed(f"{target.address}:{target.port}: {error!r}")
            failure.reused = False
            raise failure from error
        except asyncio.CancelledError:
            sock.close()
            raise
        self.open.add(connection)
        return connection

    def take_idle(self):
        """Return the most recently used idle connection, or None.

        Reuse in this order lets surplus connections reach the idle timeout.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            connection.retire()
        return None

    def connection_idle(self, connection):
        """Return a connection to the idle list, or close it if it is suspect."""
        if connection.serial < self.suspect_below_serial or len(self.open) > self.limit:
            connection.retire()
            return
        self.idle.append(connection)

    def connection_closed(self, connection):
        """Remove a closed connection."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def connection_silent(self, connection):
        """Treat all connections opened before one that timed out as suspect."""
        self.suspect_below_serial = max(self.suspect_below_serial, connection.serial)
        self.close_idle(lambda idle: idle.serial < self.suspect_below_serial)

    def close_idle(self, is_unwanted):
        """Close the idle connections for which ``is_unwanted`` is true."""
        kept = []
        unwanted = []
        for connection in self.idle:
            if is_unwanted(connection):
                unwanted.append(connection)
                continue
            kept.append(connection)
        self.idle = kept
        for connection in unwanted:
            connection.retire()

    def close(self):
        """Close all connections; exchanges in progress fail."""
        self.idle = []
        for connection in list(self.open):
            connection.retire()


class TargetPool:
    """Runs exchanges with targets over pooled connections.

    Parameters
    ----------
    host_id : HostId
    failure_domain : FailureDomain
        Identity of this host, for diagnostics.
    clock : Clock
    connect_timeout_s : float
    dialect : TargetDialect
    sweep_interval_s : float
        Resolution of the time limits of exchanges.
    """

    def __init__(
        self,
        host_id,
        failure_domain,
        clock=None,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        dialect=DEFAULT_DIALECT,
        sweep_interval_s=SWEEP_INTERVAL_S,
    ):
        self.host_id = host_id
        self.failure_domain = failure_domain
        self.clock = clock or SystemClock()
        self.connect_timeout_s = connect_timeout_s
        self.dialect = dialect
        self.sweep = DeadlineSweep(self.clock, sweep_interval_s)
        self.targets = {}
        self.limits = {}
        self.idle_timer = None
        # Open connections to all targets together.
        self.total_limit = inf
        # Bounds what one read from a target delivers; None: the kernel's choice.
        self.receive_buffer_bytes = None

    async def exchange(
        self, target, request, first_byte_s, between_bytes_s, fresh=False
    ):
        """Send a request to ``target`` and return its answer.

        The answer contains a body of up to 64 KiB; a larger one is read with
        ``TargetAnswer.chunks()``. A request is never sent twice. Cancelling closes the
        connection, which cancels the request on the target.

        Parameters
        ----------
        target : Target
        request : OutgoingRequest
        first_byte_s, between_bytes_s : float
            Time limits in seconds.
        fresh : bool
            Open a new connection even if an idle one is available.

        Raises
        ------
        TargetError
            With ``bytes_sent`` (whether any byte may have reached the target) and
            ``reused`` (whether the connection had served another exchange).
        CallerDisconnected, BodyTooLarge
            From the body of the request.
        """
        connections = self.connections_to(target)
        connection = None if fresh else connections.take_idle()
        if connection is None:
            self.make_room()
            connection = await connections.connect(self.connect_timeout_s)
            if request.on_connected is not None:
                try:
                    request.on_connected()
                except BaseException:
                    connections.connection_idle(connection)
                    raise
        return await connection.exchange(request, first_byte_s, between_bytes_s)

    def make_room(self):
        """Close the connection that is idle for longest, at the limit on all of them.

        Raises
        ------
        ConnectionLimitReached
            If none is idle.
        """
        if self.total_limit == inf:
            return
        count = 0
        idle = []
        for connections in self.targets.values():
            count += len(connections.open) + connections.opening
            idle += connections.idle
        if count < self.total_limit:
            return
        if not idle:
            raise ConnectionLimitReached(self.total_limit)
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.owner.close_idle(lambda each: each is oldest)

    def connections_to(self, target):
        """Return the pool of ``target``, a new one if its incarnation changed."""
        connections = self.targets.get(target.target_id)
        if connections is not None:
            known = connections.target
            if known is target or known.incarnation == target.incarnation:
                return connections
            self.close_target(target.target_id)
        limit = self.limits.get(target.target_id, DEFAULT_CONNECTION_LIMIT)
        connections = TargetConnections(
            target, limit, self.clock, self.sweep, self.dialect
        )
        connections.receive_buffer_bytes = self.receive_buffer_bytes
        self.targets[target.target_id] = connections
        if self.idle_timer is None:
            self.check_idle()
        return connections

    def has_idle(self, target_id):
        """Return whether an idle connection to a target is likely to be usable."""
        connections = self.targets.get(target_id)
        if connections is None:
            return False
        now = self.clock.now()
        return any(now < connection.idle_until() for connection in connections.idle)

    def set_connection_limit(self, target_id, limit):
        """Limit the open connections to a target; surplus ones are closed once idle."""
        self.limits[target_id] = limit
        connections = self.targets.get(target_id)
        if connections is None:
            return
        connections.limit = limit
        while connections.idle and len(connections.open) > limit:
            connection = connections.idle.pop(0)
            connections.open.discard(connection)
            connection.retire()

    async def probe(self, target):
        """Open one connection, which shows whether the target accepts any.

        It is used for requests afterwards if the target may have another one. The
        limit on the connections to all targets does not apply.

        Parameters
        ----------
        target : TargetEntry

        Raises
        ------
        ConnectFailed, ConnectionLimitReached
        """
        connections = self.connections_to(target)
        connection = await connections.connect(self.connect_timeout_s, is_check=True)
        connections.connection_idle(connection)

    def check_idle(self):
        """Close connections past their idle timeout and schedule the next check."""
        self.close_idle()
        loop = asyncio.get_running_loop()
        self.idle_timer = loop.call_later(IDLE_CHECK_INTERVAL_S, self.check_idle)

    def close_idle(self):
        """Close the connections that were not used for ``IDLE_CLOSE_S`` seconds."""
        oldest = self.clock.now() - IDLE_CLOSE_S
        for connections in self.targets.values():
            connections.close_idle(lambda idle: idle.idle_since < oldest)

    def close_target(self, target_id):
        """Close the idle connections of a removed target; busy ones close after use."""
        connections = self.targets.pop(target_id, None)
        if connections is None:
            return
        connections.limit = 0
        connections.close_idle(lambda idle: True)

    def close(self):
        """Close all connections immediately."""
        self.sweep.close()
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
        for connections in self.targets.values():
            connections.close()
        self.targets.clear()
