"""Runs the operator port."""

import asyncio
import contextlib
from ipaddress import ip_address, ip_network

import falcon.asgi
import uvicorn

from . import resources


class AllowedNetworks:
    """Middleware that refuses clients outside the configured networks.

    Parameters
    ----------
    networks : iterable of str
        In CIDR form.
    """

    def __init__(self, networks):
        self.networks = [ip_network(network) for network in networks]

    async def process_request(self, request, response):
        """Answer 403 to foreign addresses."""
        address = ip_address(request.remote_addr)
        for network in self.networks:
            if address in network:
                return
        raise falcon.HTTPForbidden(title="address not allowed")


def make_application(daemon):
    """Build the falcon application of one daemon."""
    settings = daemon.settings
    middleware = [AllowedNetworks(settings.operator.allowed_networks)]
    application = falcon.asgi.App(middleware=middleware)
    application.add_route("/live", resources.Liveness())
    application.add_route("/ready", resources.Readiness(daemon))
    application.add_route("/status", resources.Status(daemon))
    application.add_route("/explain", resources.Explain(daemon))
    application.add_route("/report", resources.Report(daemon))
    application.add_route("/metrics", resources.Metrics(daemon))
    if settings.test_switches:
        application.add_route("/switches", resources.Switches(daemon.link_filter))
    return application


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no handlers."""
        yield


class OperatorServer:
    """The listener of the operator port.

    Parameters
    ----------
    application : falcon.asgi.App
    address : str
    port : int
    """

    def __init__(self, application, address, port):
        config = uvicorn.Config(
            application,
            host=address,
            port=port,
            lifespan="off",
            log_config=None,
            access_log=False,
            ws="none",
            timeout_graceful_shutdown=1,
        )
        self.server = EmbeddedServer(config)
        self.task = None

    async def start(self):
        """Listen and serve in a task.

        Raises
        ------
        OSError
            If the port can't be opened.
        """
        self.task = asyncio.ensure_future(self.server.serve())
        while not self.server.started:
            if self.task.done():
                raise OSError("the operator port could not be opened")
            await asyncio.sleep(0.01)

    async def close(self):
        """Stop serving."""
        self.server.should_exit = True
        await asyncio.wait([self.task], timeout=2.0)
        self.task.cancel()
