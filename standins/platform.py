"""The platform stand-in: a key-value service and a list of hosts and targets.

Run it as ``python -m standins.platform --port PORT``. Faults are switched under
``/control``, which no fault affects.
"""

import asyncio
import time

import click
from aiohttp import web

from .platform_state import (
    MAX_VALUE_BYTES,
    CallCounts,
    Faults,
    HostList,
    KeyValues,
    UnknownLease,
    VersionConflict,
)
from .runtime import print_ready, wait_for_stop

# A value of the permitted size may grow by JSON escapes.
MAX_REQUEST_BYTES = 8 * MAX_VALUE_BYTES
DEFAULT_WATCH_S = 30.0
# Longest wait for handlers at a stop; watches are woken first.
SHUTDOWN_TIMEOUT_S = 1.0
MODES = ("ok", "down", "slow", "lose_answers")
SCOPES = ("all", "store", "hosts")
DOWN_ANSWERS = ("close", "503")


class Platform:
    """The HTTP handlers of the platform stand-in.

    Parameters
    ----------
    lag_s : float
        Delay between a change of the host list and its publication, in seconds.
    """

    def __init__(self, lag_s):
        self.keys = KeyValues()
        self.hosts = HostList(lag_s)
        self.faults = Faults()
        self.counts = CallCounts()
        # Number of fault changes and whether the process stops; both end watches.
        self.interruptions = 0
        self.stopping = False

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            middlewares=[self.apply_faults], client_max_size=MAX_REQUEST_BYTES
        )
        app.router.add_get("/kv/{key:.+}", self.get_key)
        app.router.add_put("/kv/{key:.+}", self.put_key)
        app.router.add_post("/leases", self.create_lease)
        app.router.add_post("/leases/{id}/renew", self.renew_lease)
        app.router.add_get("/hosts", self.get_hosts)
        app.router.add_post("/control/faults", self.set_faults)
        app.router.add_post("/control/hosts", self.set_hosts)
        app.router.add_get("/control/calls", self.get_calls)
        app.router.add_delete("/control/calls", self.reset_calls)
        return app

    @web.middleware
    async def apply_faults(self, request, handler):
        """Count a call and let it meet the fault in force."""
        if request.path.startswith("/control"):
            return await handler(request)
        part = "hosts" if request.path == "/hosts" else "store"
        self.count(request, part)
        if self.faults.applies_to(part) and self.faults.mode == "slow":
            await asyncio.sleep(self.faults.delay_s)
        if self.is_down(part):
            return self.refuse(request)
        response = await handler(request)
        if self.is_down(part):
            return self.refuse(request)
        if request.method != "GET" and self.faults.takes_answer(part, request.path):
            return self.drop_connection(request)
        return response

    def is_down(self, part):
        """Tell whether calls to ``part`` fail now."""
        return self.faults.applies_to(part) and self.faults.mode == "down"

    def refuse(self, request):
        """Answer a call as a service that is down."""
        if self.faults.answer == "503":
            return web.json_response({"error": "unavailable"}, status=503)
        return self.drop_connection(request)

    def drop_connection(self, request):
        """Close the connection without an answer."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    def count(self, request, part):
        """Add one call to the counts."""
        kind = "write"
        if request.method == "GET":
            kind = "watch" if "watch_after" in request.query else "read"
        cause = request.headers.get("X-Call-Cause", "none")
        self.counts.add(cause, prefix_of(request), kind)

    async def get_key(self, request):
        """Read a key, or wait until its version passes ``watch_after``."""
        key = request.match_info["key"]
        if "watch_after" not in request.query:
            return self.key_response(key)
        after = int(request.query["watch_after"])
        timeout_s = float(request.query.get("timeout_s", DEFAULT_WATCH_S))
        changed = await self.wait_until(
            lambda: self.keys.entry(key).version > after,
            self.keys.changes[key],
            timeout_s,
            prefix_of(request),
        )
        return self.key_response(key) if changed else web.Response(status=204)

    def key_response(self, key):
        """Answer with a key's value, or 404 with its last version."""
        entry = self.keys.entry(key)
        if entry.value is None:
            return web.json_response({"version": entry.version}, status=404)
        return web.json_response({"value": entry.value, "version": entry.version})

    async def wait_until(self, condition, change, timeout_s, prefix):
        """Wait for a condition and tell whether it holds.

        A change of the faults or a stop ends the wait early.
        """
        interruptions = self.interruptions
        deadline = time.monotonic() + timeout_s
        self.counts.waiting[prefix] += 1
        try:
            while not condition():
                left_s = deadline - time.monotonic()
                if left_s <= 0 or self.stopping:
                    return False
                if interruptions != self.interruptions and self.faults.mode == "down":
                    return False
                try:
                    await asyncio.wait_for(change.wait(), left_s)
                except TimeoutError:
                    continue
            return True
        finally:
            self.counts.waiting[prefix] -= 1

    async def put_key(self, request):
        """Write a key, subject to its expected version."""
        body = await request.json()
        if len(body["value"].encode()) > MAX_VALUE_BYTES:
            return web.json_response({"error": "value too large"}, status=413)
        key = request.match_info["key"]
        try:
            version = self.keys.put(
                key, body["value"], body.get("expect_version"), body.get("lease")
            )
        except VersionConflict as conflict:
            return web.json_response({"version": conflict.version}, status=409)
        except UnknownLease:
            return web.json_response({"error": "unknown lease"}, status=404)
        return web.json_response({"version": version})

    async def create_lease(self, request):
        """Create a lease."""
        body = await request.json()
        return web.json_response({"id": self.keys.create_lease(float(body["ttl_s"]))})

    async def renew_lease(self, request):
        """Renew a lease; a lapsed one is answered with 404."""
        try:
            ttl_s = self.keys.renew_lease(request.match_info["id"])
        except UnknownLease:
            return web.json_response({"error": "unknown lease"}, status=404)
        return web.json_response({"ttl_s": ttl_s})

    async def get_hosts(self, request):
        """Return the published list; with ``after``, only a newer one.

        ``timeout_s`` makes the call wait for a newer list; its default is 0.
        """
        after = int(request.query.get("after", -1))
        timeout_s = float(request.query.get("timeout_s", 0))
        newer = await self.wait_until(
            lambda: self.hosts.version > after, self.hosts.change, timeout_s, "hosts"
        )
        if not newer:
            return web.Response(status=204)
        return web.json_response(
            {
                "version": self.hosts.version,
                "hosts": self.hosts.hosts,
                "targets": self.hosts.targets,
            }
        )

    async def set_faults(self, request):
        """Set the fault mode; fields left out return to their defaults."""
        faults = Faults(**await request.json())
        if faults.mode not in MODES or faults.scope not in SCOPES:
            raise web.HTTPBadRequest(text="unknown mode or scope")
        if faults.answer not in DOWN_ANSWERS:
            raise web.HTTPBadRequest(text="unknown answer")
        self.faults = faults
        self.interrupt()
        return web.json_response({"mode": faults.mode})

    def interrupt(self):
        """Wake all watches, so that they meet a fault or a stop."""
        self.interruptions += 1
        self.hosts.change.notify()
        for change in self.keys.changes.values():
            change.notify()

    async def set_hosts(self, request):
        """Set hosts, targets and the lag; lists left out stay unchanged."""
        body = await request.json()
        if "lag_s" in body:
            self.hosts.lag_s = float(body["lag_s"])
        if "hosts" in body or "targets" in body:
            self.hosts.set(body.get("hosts"), body.get("targets"))
        return web.json_response({"published_version": self.hosts.version})

    async def get_calls(self, _request):
        """Return the call counts."""
        return web.json_response(self.counts.report())

    async def reset_calls(self, _request):
        """Set the call counts to zero."""
        self.counts.reset()
        return web.json_response({})

    async def prepare_stop(self, _app):
        """End waiting watches."""
        self.stopping = True
        self.interrupt()


def prefix_of(request):
    """Return the first part of a key, or ``hosts`` or ``leases``."""
    parts = request.path.strip("/").split("/")
    if parts[0] == "kv" and len(parts) > 1:
        return parts[1]
    return parts[0]


async def serve(address, port, lag_s):
    """Serve until a stop signal arrives."""
    platform = Platform(lag_s)
    app = platform.application()
    app.on_shutdown.append(platform.prepare_stop)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    site = web.TCPSite(runner, address, port)
    await site.start()
    print_ready("standins.platform", address, runner.addresses[0][1])
    try:
        await wait_for_stop()
    finally:
        await runner.cleanup()


@click.command()
@click.option("--address", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", default=0, help="TCP port; 0 takes a free one.")
@click.option("--lag-s", default=0.0, help="Lag of the host list in seconds.")
def main(address, port, lag_s):
    """Run the platform stand-in until SIGTERM."""
    asyncio.run(serve(address, port, lag_s))


if __name__ == "__main__":
    main()
