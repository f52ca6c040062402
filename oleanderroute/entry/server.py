"""Runs uvicorn's server for callers inside the daemon's event loop."""

import asyncio
import functools
import socket

import uvicorn

from .. import events
from ..clock import SystemClock
from .caller_protocol import CallerLimits, CallerProtocol
from .deadlines import DeadlineSweep
from .target_pool import set_keepalive

BACKLOG = 1024
SWEEP_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.02
# Time for cut requests to give up what they hold.
CANCEL_TIMEOUT_S = 1.0
# A caller may have sent a request that has not arrived yet when an idle connection
# is closed. Idle connections are therefore kept this long after the listener closed.
IDLE_CLOSE_DELAY_S = 0.5


class ListenerState:
    """Shared by all connections of a server.

    Attributes
    ----------
    limits : CallerLimits
    draining : bool
        Whether answers carry ``Connection: close``.
    """

    def __init__(self, limits):
        self.limits = limits
        self.draining = False


class CallerServer:
    """The listener for callers.

    Parameters
    ----------
    application : CallerApplication
    address : str
        IP number to listen on.
    port : int
        0 lets the system choose; ``port`` holds the number after ``start``.
    limits : CallerLimits
    clock : Clock
    """

    def __init__(self, application, address, port, limits=None, clock=None):
        self.address = address
        self.port = port
        self.clock = clock or SystemClock()
        self.sweep = DeadlineSweep(self.clock, SWEEP_INTERVAL_S)
        self.listener_state = ListenerState(limits or CallerLimits())
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
            backlog=BACKLOG,
        )
        self.server = uvicorn.Server(self.config)

    @property
    def connections(self):
        """The set of open ``CallerProtocol`` objects."""
        return self.server.server_state.connections

    @property
    def tasks(self):
        """The set of tasks that handle requests."""
        return self.server.server_state.tasks

    async def start(self):
        """Listen.

        uvicorn's own main loop is not run: it only updates default headers and
        watches for signals, which the daemon handles.

        Raises
        ------
        OSError
            If the address is in use or not ours.
        """
        sock = listening_socket(self.address, self.port)
        self.port = sock.getsockname()[1]
        self.config.load()
        self.server.lifespan = self.config.lifespan_class(self.config)
        await self.server.startup(sockets=[sock])

    def set_limits(self, limits):
        """Bring other limits into force, also for open connections.

        A connection that is idle now may have been promised the new idle time.
        """
        self.listener_state.limits = limits
        for connection in list(self.connections):
            connection.extend_idle(limits.idle_s)

    def begin_draining(self):
        """Let answers carry ``Connection: close``; new connections are accepted."""
        self.listener_state.draining = True
        for connection in list(self.connections):
            if connection.cycle is not None:
                connection.cycle.keep_alive = False

    def stop_accepting(self):
        """Close the listener; requests in flight go on."""
        self.begin_draining()
        for server in self.server.servers:
            server.close()

    async def finish(self, limit_s):
        """Wait for the requests in flight, then close all connections.

        Parameters
        ----------
        limit_s : float
            Seconds after which requests in flight are cut.

        Returns
        -------
        int
            Number of requests that were cut.
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
        """Close the connections without a request once ``not_before`` is over."""
        if self.clock.now() < not_before:
            return
        for connection in list(self.connections):
            connection.close_if_idle()


def listening_socket(address, port):
    """Return a bound TCP socket."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit this. Without it, a caller that vanishes without a
    # packet would hold its request until the target answers.
    set_keepalive(sock)
    try:
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
