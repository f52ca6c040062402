"""The target stand-in: a host with work slots and gray failures.

Run it as ``python -m standins.target --port PORT --control-port PORT``. Callers
and probes use the first port; gray modes and the ledger are on the second one,
so that faults of the first never block them.
"""

import asyncio
import gc

import click
import uvloop
from aiohttp import web

from .runtime import print_ready, wait_for_stop
from .target_connection import TargetConnection
from .target_control import TargetControl
from .target_state import Ledger, TargetOptions, TargetState

BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 1.0


async def serve(options, address, port, control_port, ledger_file):
    """Serve until a stop signal arrives."""
    loop = asyncio.get_running_loop()
    ledger = Ledger(ledger_file)
    state = TargetState(options, ledger)
    runner = web.AppRunner(
        TargetControl(state).application(),
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, address, control_port).start()
    server = await loop.create_server(
        lambda: TargetConnection(state), address, port, backlog=BACKLOG
    )
    publisher = asyncio.create_task(publish_load(state))
    print_ready(
        "standins.target",
        address,
        server.sockets[0].getsockname()[1],
        control_port=runner.addresses[0][1],
        target_id=options.target_id,
    )
    try:
        await wait_for_stop()
    finally:
        publisher.cancel()
        server.close()
        for connection in list(state.connections):
            connection.transport.abort()
        await runner.cleanup()
        ledger.close()


async def publish_load(state):
    """Publish the load with its lag."""
    while True:
        await asyncio.sleep(state.options.load_lag_s)
        state.publish_load()


@click.command()
@click.option("--address", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", default=0, help="Data port; 0 takes a free one.")
@click.option("--control-port", default=0, help="Control port; 0 takes a free one.")
@click.option("--ledger-file", default=None, help="File that outlives the process.")
@click.option("--target-id", default="target", help="Sent as X-Target-Id.")
@click.option("--slots", default=2, help="Requests that run at a time.")
@click.option("--queue", default=0, help="Requests that may wait for a slot.")
@click.option("--max-connections", default=330)
@click.option("--connection-cost-ms", default=1.0)
@click.option("--probe-ms", default=25.0, help="Slot time of one probe.")
@click.option("--load-lag-s", default=2.0, help="Age of what /load reports.")
@click.option("--health-lag-s", default=0.0, help="Lag of a drain in /healthz.")
@click.option("--cold-s", default=0.0, help="Duration of the cold start.")
@click.option("--cold-factor", default=3.0, help="Slowdown while cold.")
@click.option("--cold-share", default=0.5, help="Busy share that sheds while cold.")
@click.option("--clock-skew-s", default=0.0, help="Error of the wall clock.")
@click.option("--seed", default=1, help="Seed of the failing shares.")
def main(address, port, control_port, ledger_file, **options):
    """Run one target until SIGTERM."""
    # The ledger keeps every run; collecting it again and again would show as
    # pauses in latency benchmarks.
    gc.freeze()
    gc.set_threshold(100_000, 50, 50)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(
            serve(TargetOptions(**options), address, port, control_port, ledger_file)
        )


if __name__ == "__main__":
    main()
