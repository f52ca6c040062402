"""The daemon that runs on each host of the platform."""

import asyncio
import contextlib
import os
import random
import secrets
import signal
import sys
from contextlib import AsyncExitStack

from eliot import add_destinations, remove_destination

from .. import events
from ..clock import SystemClock
from ..decisions.selection import Selector
from ..entry.server import RECEIVE_BUFFER_BYTES, CallerServer
from ..entry.target_pool import TargetPool
from ..errors import SettingsError
from ..platform import documents, headers, node_file
from ..platform.kv import KvClient
from ..tasks.base import supervise_work
from .api_keys import ApiKeys
from .application import HostApplication, StatusApplication
from .copies import CopyServer
from .crashes import CrashTracker
from .findings import FindingReporter
from .fleetview import FleetView
from .follower import StoreFollower
from .forwarder import RequestForwarder
from .gossip import GossipTask
from .hostmetrics import HostMetrics
from .logsink import LogSink
from .proxy import HostProxy
from .repeat_records import RepeatRecorder
from .requestlog import RequestLog
from .resource_limits import MemoryReports, ResourceLimits, process_bytes
from .summary import SummaryLog
from .target_sender import TargetSender

EXIT_SETTINGS = 2
STANDARD_OUTPUT = 1
METRICS_PORT = 9464
# A target that does not accept a connection within this time is treated as
# unreachable; the longest network path to a target takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.3
# The load balancer checks readiness each second and removes a host after two failed
# checks.
BALANCER_DRAIN_S = 2.6
# Part of the grace period that is reserved for the exit of the process.
STOP_MARGIN_S = 0.4
# Time for questions on the status ports that were read before the end.
STATUS_CLOSE_S = 0.05
HOUSEKEEPING_INTERVAL_S = 0.2
# The deadline of each request has a timer of its own.
SWEEP_INTERVAL_S = 0.25
RESTART_DELAY_S = 0.5


class Host:
    """The components of one host and their life cycle.

    Parameters
    ----------
    settings_path : pathlib.Path
    settings : HostSettings
    sink : LogSink
    """

    def __init__(self, settings_path, settings, sink):
        self.sink = sink
        self.settings_path = settings_path
        self.settings_signature = file_signature(settings_path)
        self.clock = SystemClock()
        self.rng = random.Random(secrets.randbits(64))
        self.is_draining = False
        self.stop_requested = asyncio.Event()
        self.metrics = HostMetrics()
        self.pool = TargetPool(
            settings.host_id,
            settings.failure_domain,
            self.clock,
            CONNECT_TIMEOUT_S,
            headers.PlatformDialect(),
            SWEEP_INTERVAL_S,
        )
        self.view = FleetView(settings, documents, self.clock, self.pool)
        self.view.on_configuration.append(self.configuration_changed)
        self.crashes = CrashTracker(self.pool, self.clock)
        self.gossip = GossipTask(self.view, self.crashes, self.clock)
        self.crashes.on_crash = self.gossip.report_crash
        self.crashes.is_isolated = self.gossip.membership.is_isolated
        self.store = KvClient(
            settings.store_address, self.metrics.store_called, self.clock
        )
        self.follower = StoreFollower(
            self.view, self.store, self.gossip, documents, self.clock, self.rng
        )
        self.repeat_recorder = RepeatRecorder(
            self.view, self.store, self.gossip.membership, documents, self.clock
        )
        self.copies = CopyServer(self.view, self.clock)
        self.summary = SummaryLog(self.view, self.gossip, self.metrics, self.store)
        self.limits = ResourceLimits(settings, process_bytes())
        self.pool.total_limit = self.limits.target_connections
        if self.limits.budget_bytes:
            self.pool.receive_buffer_bytes = RECEIVE_BUFFER_BYTES
        self.memory_reports = MemoryReports(self.metrics, self.clock)
        self.build_request_path()

    @property
    def settings(self):
        """The ``HostSettings`` in force."""
        return self.view.settings

    def build_request_path(self):
        """Create the components that take requests from callers to targets."""
        settings = self.settings
        selector = Selector(settings.failure_domain, self.rng)
        api_keys = ApiKeys(self.view, headers, self.clock)
        target_sender = TargetSender(
            self.view,
            self.pool,
            FindingReporter(self.view, self.gossip),
            self.crashes,
            headers,
            self.clock,
            api_keys,
        )
        forwarder = RequestForwarder(
            self.view,
            self.pool,
            selector,
            self.gossip.membership,
            self.crashes,
            target_sender,
            self.clock,
        )
        self.proxy = HostProxy(
            self.view,
            forwarder,
            headers,
            RequestLog(self.metrics, self.clock),
            self.clock,
            self.rng,
            api_keys,
        )
        self.proxy.has_memory_budget = self.limits.budget_bytes > 0
        self.caller_server = CallerServer(
            HostApplication(self.proxy, self.clock),
            settings.address,
            settings.caller_port,
            self.limits.caller_limits(),
            self.clock,
            self.memory_reports.make_guard(self.limits.budget_bytes, self.clock),
        )
        status = StatusApplication(headers.READINESS_PATH, self.is_ready, self.metrics)
        self.status_server = CallerServer(
            status, settings.address, settings.readiness_port
        )
        self.metrics_server = CallerServer(status, settings.address, METRICS_PORT)
        # Those that listen; another process may have the port for metrics.
        self.status_servers = [self.status_server]

    def is_ready(self):
        """Tell whether the host accepts new connections."""
        return self.view.configuration is not None and not self.is_draining

    def configuration_changed(self, configuration):
        """Apply the limits on callers of a new configuration."""
        self.metrics.version.set({}, configuration.version)
        self.metrics.workspaces.set({}, len(configuration.workspaces))
        bounds = configuration.bounds
        self.caller_server.set_limits(
            self.limits.caller_limits(
                header_bytes=bounds.header_bytes,
                header_s=bounds.header_s,
                idle_s=bounds.idle_s,
            )
        )

    async def run(self):
        """Serve until a stop is requested, then finish the requests in flight."""
        async with AsyncExitStack() as stack:
            await self.start(stack)
            await self.stop_requested.wait()
            await self.drain()
        events.DAEMON_STOPPED.log(host=self.settings.host_id)

    async def start(self, stack):
        """Open all sockets and start all tasks."""
        stack.callback(self.store.close)
        stack.callback(self.pool.close)
        stack.callback(self.crashes.close)
        stack.callback(self.gossip.close)
        stack.callback(self.copies.close)
        stack.callback(self.follower.close)
        stack.callback(self.view.configuration_queue.close)
        await self.gossip.start()
        await self.copies.start()
        await self.status_server.start()
        await self.start_metrics()
        await self.caller_server.start()
        self.watch_signals()
        for work in (
            self.follower.run,
            self.follower.keep_registered,
            self.gossip.run,
            self.repeat_recorder.run,
            self.keep_house,
        ):
            task = asyncio.ensure_future(
                supervise_work(work, work.__qualname__, RESTART_DELAY_S)
            )
            stack.callback(task.cancel)
        events.DAEMON_STARTED.log(
            host=self.settings.host_id, caller_port=self.settings.caller_port
        )

    async def start_metrics(self):
        """Open the fixed port for scrapers; a failure does not stop the host."""
        try:
            await self.metrics_server.start()
        except OSError as error:
            events.METRICS_PORT_TAKEN.log(port=METRICS_PORT, reason=str(error))
            return
        self.status_servers.append(self.metrics_server)

    def watch_signals(self):
        """Stop on SIGTERM and SIGINT, reload the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)

    async def keep_house(self):
        """Run the periodic maintenance."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = self.clock.now()
            self.view.remove_unreturned_targets(now)
            self.view.remove_expired_hosts(now)
            self.gossip.contact.forget_removed()
            self.metrics.log_lines_dropped.set({}, self.sink.dropped)
            self.view.rate_limits.update(now)
            self.summary.update(now)
            self.memory_reports.update()
            self.follower.finish_load("host")
            if file_signature(self.settings_path) != self.settings_signature:
                self.reload_settings()

    def reload_settings(self):
        """Reload the settings; keep the old ones if the new ones are invalid."""
        self.settings_signature = file_signature(self.settings_path)
        try:
            settings = node_file.load_host_settings(self.settings_path)
        except SettingsError as error:
            events.SETTINGS_REFUSED.log(path=error.path, reason=error.reason)
            return
        if settings.address != self.settings.address:
            events.SETTINGS_REFUSED.log(
                path="listen", reason="an address can't change while the host runs"
            )
            return
        self.view.update_settings(settings)
        events.SETTINGS_RELOADED.log(host=settings.host_id)

    async def drain(self):
        """Stop without aborting requests.

        The load balancer is informed first; then the callers' connections are closed.
        """
        started_at = self.clock.now()
        self.is_draining = True
        events.DAEMON_DRAINING.log(in_flight=self.proxy.in_flight)
        self.caller_server.begin_draining()
        limit_s = self.settings.stop_grace_s - STOP_MARGIN_S
        self.proxy.begin_stop(started_at, limit_s)
        deregistration = asyncio.ensure_future(self.follower.deregister())
        await asyncio.sleep(BALANCER_DRAIN_S)
        await self.caller_server.stop_accepting()
        passed_s = self.clock.now() - started_at
        await self.caller_server.finish(max(0.1, limit_s - passed_s))
        deregistration.cancel()
        await self.close_status_ports()

    async def close_status_ports(self):
        """Answer what was asked on the ports for readiness and metrics, and close them.

        Otherwise the event loop would still accept connections while it is closed.
        """
        for server in self.status_servers:
            await server.stop_accepting()
        for server in self.status_servers:
            await server.finish(STATUS_CLOSE_S)


def file_signature(path):
    """Return a value that changes when a file is written; None without the file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def main():
    """Run the daemon until it is stopped."""
    sink = LogSink(STANDARD_OUTPUT)
    add_destinations(sink)
    try:
        path = node_file.settings_path()
        settings = node_file.load_host_settings(path)
    except SettingsError as error:
        events.SETTINGS_REFUSED.log(path=error.path, reason=error.reason)
        sys.exit(EXIT_SETTINGS)
    with contextlib.ExitStack() as stack:
        stack.callback(remove_destination, sink)
        asyncio.run(run_host(path, settings, sink))


async def run_host(path, settings, sink):
    """Create and run a host inside the event loop."""
    await Host(path, settings, sink).run()


if __name__ == "__main__":
    main()
