"""The daemon ``oleanderrouted``: one per entry host."""

import asyncio
import signal
import sys
from contextlib import AsyncExitStack

import click
import orjson
import uvloop
from eliot import add_destinations, remove_destination

from . import events
from .assembly import HostParts
from .entry.garbage_collection import tune_garbage_collector
from .errors import SettingsError
from .events import Level
from .logs import log_file
from .operator.exposition import metrics_page
from .operator.gauges import refresh
from .operator.hostreport import host_report
from .operator.server import OperatorServer, make_application
from .peer.envelope import HeaderState, make_header
from .peer.gen.oleander_messages.ttypes import StatusReply
from .settings import load_settings
from .tasks.base import supervise
from .tasks.bootstrap import INCARNATION_KIND
from .tasks.housekeeping import Housekeeping

EXIT_SETTINGS = 2


class Daemon(HostParts):
    """One entry host: its messages, changes of configuration and life cycle."""

    # Messages between hosts

    def header(self):
        """Return the header of a message sent now."""
        now = self.clock.now()
        confirmed_at = self.holder_view.confirmed_at
        state = HeaderState(
            self.configuration.revision,
            self.host_list.version,
            now - self.started_at,
            None if confirmed_at is None else now - confirmed_at,
        )
        return make_header(self.identity, state)

    def on_header(self, header):
        """Learn of newer revisions and host lists from any peer message."""
        self.configuration.on_peer_header(header)
        self.host_list.on_peer_header(header)

    def on_reply(self, header, sent_at):
        """Take a peer's confirmation of the host list as old as the question."""
        if header.host_list_age_s is None:
            return
        self.holder_view.confirm(
            header.host_list_version,
            sent_at - header.host_list_age_s,
            self.clock.now(),
        )

    def answer_status(self, request, header):
        """Answer a status request of a peer."""
        if request.kind == INCARNATION_KIND:
            document = {
                "incarnation": self.identity.incarnation,
                "uptime_s": self.clock.now() - self.started_at,
            }
        else:
            document = self.status()
        return "status_reply", StatusReply(orjson.dumps(document))

    # Changes of configuration

    def on_declaration(self, declaration, revision):
        """Bring a declaration into force."""
        self.serving.on_declaration(declaration, revision)
        self.burn.follow_services(declaration.services)

    def on_hosts(self, host_list):
        """Follow a new host list."""
        self.topology.update(host_list)
        self.claim_views.update(host_list, self.clock.now())
        self.serving.on_hosts(host_list)

    # Life cycle

    def is_ready(self):
        """Tell whether new requests are welcome."""
        return self.pipeline.view is not None and not self.is_draining

    def status(self):
        """Return the status document of the operator port."""
        now = self.clock.now()
        return {
            "host_id": self.identity.host_id,
            "failure_domain": self.identity.failure_domain,
            "region": self.identity.region,
            "ready": self.is_ready(),
            "draining": self.is_draining,
            "uptime_s": now - self.started_at,
            "revision": self.configuration.revision,
            "host_list_version": self.host_list.version,
            "is_relay": self.distribution.is_relay,
            "store_down": self.configuration.store_down,
            "votes_on_claims": self.holder_view.is_old_enough(now),
            "claims": len(self.claim_table.claims),
            "in_flight": self.pipeline.in_flight,
            "caller_connections": len(self.caller_server.connections),
            "services": sorted(self.serving.entries),
        }

    async def report(self, service=None):
        """Return this host's part of the burn report, of one service or all."""
        return await host_report(
            self.identity, self.serving, self.burn, self.incidents, self.clock, service
        )

    async def render_metrics(self):
        """Return the metrics page."""
        await refresh(
            self.metrics,
            self.serving,
            self.burn,
            self.claim_table,
            self.configuration.store_down,
        )
        return await metrics_page(self.metrics.registry)

    async def run(self):
        """Serve until a stop is requested, then drain."""
        async with AsyncExitStack() as stack:
            add_destinations(self.incidents)
            stack.callback(remove_destination, self.incidents)
            stack.push_async_callback(self.store.close)
            stack.callback(self.target_pool.close)
            await self.peer_server.start(
                self.settings.peer.address, self.settings.peer.port
            )
            stack.push_async_callback(self.peer_server.close)
            stack.push_async_callback(self.peer_client.close)
            operator = self.make_operator_server()
            await operator.start()
            stack.push_async_callback(operator.close)
            self.start_tasks(stack)
            await self.caller_server.start()
            stack.push_async_callback(self.caller_server.finish, 0.0)
            tune_garbage_collector()
            events.DAEMON_STARTED.log(
                host=self.identity.host_id, caller_port=self.caller_server.port
            )
            self.announce()
            await self.stop_requested.wait()
            await self.drain()
        events.DAEMON_STOPPED.log(host=self.identity.host_id)

    def announce(self):
        """Print one JSON line with the ports that the daemon listens on."""
        ports = {
            "ready": True,
            "port": self.caller_server.port,
            "peer_port": self.settings.peer.port,
            "operator_port": self.settings.operator.port,
        }
        click.echo(orjson.dumps(ports))

    def make_operator_server(self):
        """Build the listener of the operator port."""
        settings = self.settings.operator
        return OperatorServer(make_application(self), settings.address, settings.port)

    def start_tasks(self, stack):
        """Start the long-running tasks; the exit stack cancels them."""
        for task in (
            self.serving,
            self.configuration,
            self.host_list,
            self.bootstrap,
            self.reporter,
            self.aggregator,
            self.slot_client,
            self.recovery,
            Housekeeping(self.serving, self.peer_client, self.clock, self.metrics),
        ):
            running = asyncio.ensure_future(supervise(task))
            stack.push_async_callback(cancel, running)

    async def drain(self):
        """Stop without cutting a request: notice, no new ones, then the rest."""
        self.is_draining = True
        events.DAEMON_DRAINING.log(in_flight=self.pipeline.in_flight)
        drain = self.settings.drain
        self.caller_server.begin_draining()
        await asyncio.sleep(drain.notice_s)
        await self.caller_server.stop_accepting()
        await self.caller_server.finish(drain.limit_s)
        await self.pipeline.close()
        await self.claims.hand_over(self.claim_table.export(self.clock.now()))
        await self.claims.close()

    def request_stop(self):
        """Begin a planned stop; used as a signal handler."""
        self.stop_requested.set()


async def cancel(task):
    """Cancel a task and wait for its end."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def serve(settings):
    """Run one daemon until it is told to stop."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    await daemon.run()


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(),
    help="JSON file with the settings of this host.",
)
def main(settings_path):
    """Run the proxy daemon of one entry host until SIGTERM."""
    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        click.echo(f"oleanderrouted: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    with log_file(settings.log.path, Level[settings.log.level.upper()]):
        uvloop.run(serve(settings))


if __name__ == "__main__":
    main()
