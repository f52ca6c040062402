"""The project's stand-in of the store, which can come back from an older copy.

``POST /control`` takes two more fields: ``keep`` keeps a copy; ``away_s`` resets all
calls for so many seconds, and then goes on from the copy with a higher ``Store-Era``.
"""

import asyncio
import copy

import click
from aiohttp import web

from standins.metastore import MetastoreServer
from standins.runtime import print_ready, wait_for_stop


class DrillServer(MetastoreServer):
    """The handlers of the stand-in, and the drill."""

    def __init__(self):
        super().__init__()
        self.kept = None
        self.era = 1
        self.is_away = False

    def application(self):
        """Return the aiohttp application."""
        app = super().application()
        app.on_response_prepare.append(self.add_era)
        return app

    async def add_era(self, request, response):
        """Add the header with the era."""
        response.headers["Store-Era"] = str(self.era)

    @web.middleware
    async def meet_fault(self, request, handler):
        """Reset the calls while the store is away."""
        if self.is_away and request.path != "/control":
            request.transport.abort()
            return web.Response()
        return await handler(request)

    async def get_watch(self, request):
        """Refuse a watch from a revision that this history does not have."""
        if int(request.query["after"]) > self.store.revision:
            return web.json_response({}, status=410)
        era = self.era
        response = await super().get_watch(request)
        if era != self.era or self.is_away:
            # It waited in the history that is gone.
            request.transport.abort()
        return response

    async def post_control(self, request):
        """Keep a copy, or go away and come back from it."""
        body = await request.json()
        if body.get("keep"):
            self.kept = copy.deepcopy(self.store)
        if "away_s" in body:
            self.is_away = True
            await asyncio.sleep(body["away_s"])
            self.store = copy.deepcopy(self.kept)
            self.era += 1
            self.is_away = False
        return web.json_response({"revision": self.store.revision})


async def serve(port):
    """Run the stand-in until it is stopped."""
    runner = web.AppRunner(DrillServer().application(), shutdown_timeout=0.5)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    print_ready("drill_store", "127.0.0.1", port)
    await wait_for_stop()
    await runner.cleanup()


@click.command()
@click.option("--port", type=int, required=True, help="Port to listen on.")
def main(port):
    """Run the stand-in."""
    asyncio.run(serve(port))


if __name__ == "__main__":
    main()
