"""Stand-in of the users' metadata store; it speaks their published protocol.

Run it as ``python -m standins.metastore --port PORT``. Faults are switched under
``/control``, which no fault affects. It also plays a drill: ``keep`` keeps a copy;
``away_s`` resets all calls for so many seconds, and then goes on from the copy.
"""

import asyncio
import random
import time

import click
from aiohttp import web

from .metastore_state import Metastore
from .runtime import print_ready, wait_for_stop

PAGE_ITEMS = 500
MODES = ("ok", "busy", "silent", "reset", "many")
BUSY_STATUS = {"busy": 503, "many": 429}
SILENCE_S = 60.0
LATE_S = (0.2, 0.9)
# A value of 1 MiB takes a third more in base64.
MAX_REQUEST_BYTES = 2 * 1024 * 1024


class MetastoreServer:
    """The HTTP handlers."""

    def __init__(self):
        self.store = Metastore()
        self.changed = asyncio.Event()
        self.mode = "ok"
        # Addresses that meet the fault; empty means all.
        self.refused = []
        self.calls = {}
        # Shares of the answers that are late, or lost on their way.
        self.late_share = 0.0
        self.lost_share = 0.0
        self.rng = random.Random(1)
        self.era = 1
        self.kept = None
        self.is_away = False

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            middlewares=[self.meet_fault], client_max_size=MAX_REQUEST_BYTES
        )
        app.router.add_get("/kv-key", self.get_key)
        app.router.add_get("/kv-range", self.get_range)
        app.router.add_get("/kv-watch", self.get_watch)
        app.router.add_post("/kv-txn", self.post_txn)
        app.router.add_post("/kv-lease", self.post_lease)
        app.router.add_post("/kv-keep/{lease}", self.post_keep)
        app.router.add_delete("/kv-lease-end/{lease}", self.delete_lease)
        app.router.add_post("/control", self.post_control)
        app.router.add_get("/control", self.get_control)
        app.on_response_prepare.append(self.add_era)
        return app

    async def add_era(self, request, response):
        """Name the history of the store in an answer."""
        response.headers["Store-Era"] = str(self.era)

    @web.middleware
    async def meet_fault(self, request, handler):
        """Count a call and let it meet the fault in force."""
        if request.path == "/control":
            return await handler(request)
        name = request.path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.is_away:
            request.transport.abort()
            return web.Response()
        if self.mode == "ok" or (self.refused and request.remote not in self.refused):
            response = await handler(request)
            await self.delay(request)
            return response
        if self.mode in BUSY_STATUS:
            return web.json_response({}, status=BUSY_STATUS[self.mode])
        if self.mode == "silent":
            await asyncio.sleep(SILENCE_S)
        request.transport.abort()
        return web.Response()

    async def delay(self, request):
        """Let an answer be late or get lost on its way, as chance has it."""
        if self.rng.random() < self.late_share:
            await asyncio.sleep(self.rng.uniform(*LATE_S))
        if self.rng.random() < self.lost_share:
            request.transport.abort()

    async def get_key(self, request):
        """Answer one item."""
        key = request.query["key"]
        self.expire()
        if key not in self.store.items:
            return web.json_response({"atRev": self.store.revision}, status=404)
        return web.json_response(
            {**self.store.describe(key), "atRev": self.store.revision}
        )

    async def get_range(self, request):
        """Answer a page of items."""
        self.expire()
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = []
        for key in sorted(self.store.items):
            if key.startswith(prefix) and key > after:
                keys.append(key)
        items = [self.store.describe(key) for key in keys[:PAGE_ITEMS]]
        return web.json_response(
            {
                "items": items,
                "hasMore": len(keys) > PAGE_ITEMS,
                "atRev": self.store.revision,
            }
        )

    async def get_watch(self, request):
        """Answer the changes as soon as there is one."""
        prefix = request.query.get("prefix", "")
        after = int(request.query["after"])
        ends_at = time.monotonic() + int(request.query["waitMs"]) / 1000
        era = self.era
        while True:
            self.expire()
            if self.is_away or self.era != era:
                request.transport.abort()
                return web.Response()
            events = self.store.events(prefix, after)
            if events is None:
                return web.json_response({}, status=410)
            wait_s = ends_at - time.monotonic()
            if events or wait_s <= 0:
                return web.json_response(
                    {"events": events, "atRev": self.store.revision}
                )
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(wait_s, 0.1))
            except TimeoutError:
                continue

    async def post_txn(self, request):
        """Apply a change under a condition."""
        self.expire()
        body = await request.json()
        for row in body.get("expect", []):
            known = self.store.items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        for put in body.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.store.leases:
                return web.json_response({}, status=404)
        for put in body.get("puts", []):
            self.store.put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.store.remove(key)
        self.wake()
        return web.json_response({"revision": self.store.revision})

    async def post_lease(self, request):
        """Create a lease."""
        ttl_ms = (await request.json())["ttlMs"]
        lease = self.store.create_lease(ttl_ms, time.monotonic())
        return web.json_response({"lease": lease, "ttlMs": ttl_ms})

    async def post_keep(self, request):
        """Renew a lease."""
        lease = int(request.match_info["lease"])
        ttl_ms = self.store.keep(lease, time.monotonic())
        if ttl_ms is None:
            return web.json_response({}, status=404)
        return web.json_response({"ttlMs": ttl_ms})

    async def delete_lease(self, request):
        """End a lease."""
        ended = self.store.end_lease(int(request.match_info["lease"]))
        self.wake()
        return web.json_response({}, status=200 if ended else 404)

    async def post_control(self, request):
        """Switch faults, forget the history or end leases."""
        body = await request.json()
        self.mode = body.get("mode", self.mode)
        self.late_share = body.get("late_share", self.late_share)
        self.lost_share = body.get("lost_share", self.lost_share)
        self.refused = body.get("refused", self.refused)
        if body.get("compact"):
            self.store.compact()
        if body.get("keep"):
            self.kept = self.store.copy(time.monotonic())
        if "away_s" in body:
            await self.drill(body["away_s"])
        return web.json_response({"revision": self.store.revision})

    async def drill(self, away_s):
        """Go away and come back from the kept copy."""
        self.is_away = True
        await asyncio.sleep(away_s)
        self.store = self.kept.restored(time.monotonic())
        self.era += 1
        self.is_away = False
        self.wake()

    async def get_control(self, request):
        """Answer the calls so far and the keys."""
        return web.json_response({"calls": self.calls, "keys": list(self.store.items)})

    def expire(self):
        """End the leases whose time is over."""
        before = self.store.revision
        self.store.expire(time.monotonic())
        if self.store.revision != before:
            self.wake()

    def wake(self):
        """Let waiting watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()


async def serve(address, port):
    """Run the stand-in until it is stopped."""
    runner = web.AppRunner(MetastoreServer().application(), shutdown_timeout=0.5)
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    print_ready("metastore", address, port)
    await wait_for_stop()
    await runner.cleanup()


@click.command()
@click.option("--address", default="127.0.0.1", help="IP number to listen on.")
@click.option("--port", type=int, required=True, help="Port to listen on.")
def main(address, port):
    """Run the stand-in of the metadata store."""
    asyncio.run(serve(address, port))


if __name__ == "__main__":
    main()
