"""Runs uvicorn's server for callers in the event loop of the daemon."""

import asyncio
import functools
import select
import socket

import uvicorn

from .. import events
from ..clock import SystemClock
from .caller_protocol import CallerLimits, CallerProtocol
from .deadlines import DeadlineSweep
from .target_pool import set_keepalive

BACKLOG = 1024
# Doubled by the kernel. 64 KiB in each round trip of 1 ms are 64 MB/s.
RECEIVE_BUFFER_BYTES = 64 * 1024
SWEEP_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.02
# Callers that go on connecting must not hold up a stop.
MAX_ACCEPT_S = 0.2
# Time for cancelled requests to release their resources.
CANCEL_TIMEOUT_S = 1.0
# Idle connections stay open for this time after the listener is closed, because a
# request that a caller has already sent may still arrive on them.
IDLE_CLOSE_DELAY_S = 0.5


class ListenerState:
    """State shared by all connections of a server.

    Attributes
    ----------
    limits : CallerLimits
    guard : MemoryGuard or None
        Charged with what callers hold, if there is a budget.
    draining : bool
        Whether answers carry ``Connection: close``.
    """

    def __init__(self, limits, guard=None):
        self.limits = limits
        self.guard = guard
        self.draining = False


class CallerServer:
    """The listener for callers.

    Parameters
    ----------
    application : CallerApplication
    address : str
        IP address to listen on.
    port : int
        0 lets the system choose; ``port`` is the actual port after ``start``.
    limits : CallerLimits
    clock : Clock
    guard : MemoryGuard, optional
    """

    def __init__(self, application, address, port, limits=None, clock=None, guard=None):
        self.address = address
        self.port = port
        self.clock = clock or SystemClock()
        self.sweep = DeadlineSweep(self.clock, SWEEP_INTERVAL_S)
        self.listener_state = ListenerState(limits or CallerLimits(), guard)
        self.config = uvicorn.Config(
            application,
            http=functools.partial(
                CallerProtocol,
                clock=self.clock,
                sweep=self.sweep,
                listener_state=self.listener_state,
            ),
            ws="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=self.backlog(),
        )
        self.server = uvicorn.Server(self.config)

    def backlog(self):
        """Return how many connections may wait to be accepted, all at once."""
        limits = self.listener_state.limits
        if limits.must_make_room:
            return min(BACKLOG, limits.connections)
        return BACKLOG

    @property
    def connections(self):
        """The set of open ``CallerProtocol`` objects."""
        return self.server.server_state.connections

    @property
    def tasks(self):
        """The set of tasks that handle requests."""
        return self.server.server_state.tasks

    async def start(self):
        """Start listening.

        uvicorn's main loop is not run: it only updates default headers and handles
        signals, which the daemon does itself.

        Raises
        ------
        OSError
            If the address is in use or not assigned to this machine.
        """
        sock = listening_socket(self.address, self.port)
        if self.listener_state.guard is not None:
            # Accepted sockets inherit it. It bounds what one read can deliver before
            # the budget is asked, and the kernel's buffers.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            # A large buffer is freed in large steps, and a caller that reads slowly
            # would look as if it read nothing.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, RECEIVE_BUFFER_BYTES)
        self.port = sock.getsockname()[1]
        self.config.load()
        self.server.lifespan = self.config.lifespan_class(self.config)
        await self.server.startup(sockets=[sock])

    def set_limits(self, limits):
        """Apply new limits, also to open connections.

        Idle connections are extended to the new idle timeout, which callers may
        already rely on.
        """
        self.listener_state.limits = limits
        for connection in list(self.connections):
            connection.extend_idle(limits.idle_s)

    def begin_draining(self):
        """Add ``Connection: close`` to answers; new connections are still accepted."""
        self.listener_state.draining = True
        for connection in list(self.connections):
            if connection.cycle is not None:
                connection.cycle.keep_alive = False

    async def stop_accepting(self):
        """Close the listener; requests in flight continue.

        The kernel resets the connections that still wait in the listener's queue when
        it closes, so they are accepted first.
        """
        self.begin_draining()
        await self.accept_queued()
        for server in self.server.servers:
            server.close()
        # The transports of the last connections are set up in passes of the event loop.
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def accept_queued(self):
        """Wait until the event loop has accepted all queued connections."""
        queue = select.poll()
        for server in self.server.servers:
            for sock in server.sockets:
                queue.register(sock.fileno(), select.POLLIN)
        ends_at = self.clock.now() + MAX_ACCEPT_S
        while queue.poll(0) and self.clock.now() < ends_at:
            await asyncio.sleep(0)

    async def finish(self, limit_s):
        """Wait for the requests in flight, then close all connections.

        Parameters
        ----------
        limit_s : float
            Seconds after which requests in flight are cancelled.

        Returns
        -------
        int
            Number of requests that were cancelled.
        """
        start = self.clock.now()
        while self.clock.now() < start + limit_s:
            self.close_idle(start + min(IDLE_CLOSE_DELAY_S, limit_s))
            if not self.connections and not self.tasks:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        cut = len(self.tasks)
        if cut:
            events.CALLERS_CUT.log(requests=cut, limit_s=limit_s)
        for connection in list(self.connections):
            connection.abort()
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=CANCEL_TIMEOUT_S)
        self.sweep.close()
        return cut

    def close_idle(self, not_before):
        """Close idle connections, unless ``not_before`` has not passed yet."""
        if self.clock.now() < not_before:
            return
        for connection in list(self.connections):
            connection.close_if_idle()


def listening_socket(address, port):
    """Return a bound TCP socket."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit keepalive. Without it, the request of a caller that
    # disappears without closing the connection would run until the target answers.
    set_keepalive(sock)
    try:
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
