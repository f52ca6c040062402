"""Processes of the latency measurement: the target and the relays compared."""

import asyncio
import socket

import uvloop

from oleanderroute.entry.garbage_collection import tune_garbage_collector

ANSWER_BODY = b'{"article": 4711, "stock": 12, "price": "1999.00"}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
) % (len(ANSWER_BODY), ANSWER_BODY)


class BenchTarget(asyncio.Protocol):
    """Answers each request at once; requests have no body."""

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        self.buffer = b""

    def data_received(self, data):
        """Count the ends of requests and write as many answers."""
        self.buffer += data
        count = self.buffer.count(b"\r\n\r\n")
        if count:
            self.buffer = self.buffer.rpartition(b"\r\n\r\n")[2]
            self.transport.write(ANSWER * count)


def run_target(port_pipe):
    """Serve as the target."""

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(BenchTarget, "127.0.0.1", 0)
        tune_garbage_collector()
        port_pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    uvloop.run(main())


def run_entry(port_pipe, target_port, profile_path):
    """Serve as the entry with a pipeline that always takes the same target."""
    from oleanderroute.declaration.model import Target
    from oleanderroute.entry.app import CallerApplication
    from oleanderroute.entry.messages import (
        CallerAnswer,
        OutgoingRequest,
        request_headers,
    )
    from oleanderroute.entry.server import CallerServer
    from oleanderroute.entry.target_pool import TargetPool
    from oleanderroute.outcome import CallerOutcome

    target = Target("t1", "127.0.0.1", target_port, "mvd-a")

    class FixedPipeline:
        def __init__(self):
            self.pool = TargetPool("host-1", "mvd-a")
            self.pool.set_connection_limit("t1", 64)

        async def handle(self, request):
            headers = request_headers(request.headers)
            headers.append((b"x-request-id", request.request_id.encode()))
            headers.append((b"deadline-unix-ms", b"1800000000000"))
            headers.append((b"x-entry-host", b"host-1"))
            headers.append((b"x-entry-domain", b"mvd-a"))
            outgoing = OutgoingRequest(request.method, request.raw_target, headers)
            answer = await self.pool.exchange(target, outgoing, 5.0, 5.0)
            return CallerAnswer(
                answer.status,
                answer.headers,
                answer.body,
                CallerOutcome.ANSWERED,
                "answered",
            )

    async def main():
        server = CallerServer(CallerApplication(FixedPipeline()), "127.0.0.1", 0)
        await server.start()
        tune_garbage_collector()
        port_pipe.send(server.port)
        await asyncio.Event().wait()

    run_profiled(main, profile_path)


def run_naive(port_pipe, target_port, profile_path):
    """Serve as the straightforward relay of falcon, uvicorn and aiohttp."""
    import aiohttp
    import falcon.asgi
    import uvicorn

    class Relay:
        def __init__(self):
            self.session = None

        async def __call__(self, req, resp):
            if self.session is None:
                self.session = aiohttp.ClientSession()
            url = f"http://127.0.0.1:{target_port}{req.relative_uri}"
            headers = dict(req.headers)
            async with self.session.request(req.method, url, headers=headers) as answer:
                resp.data = await answer.read()
                resp.status = answer.status
                resp.content_type = answer.headers["Content-Type"]

    async def main():
        app = falcon.asgi.App()
        app.add_sink(Relay())
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(1024)
        config = uvicorn.Config(app, log_config=None, access_log=False)
        port_pipe.send(sock.getsockname()[1])
        await uvicorn.Server(config).serve(sockets=[sock])

    run_profiled(main, profile_path)


def run_profiled(main, profile_path):
    """Run ``main`` on uvloop; with a path, write a profile when it is terminated."""
    if not profile_path:
        uvloop.run(main())
        return
    import cProfile
    import signal

    profiler = cProfile.Profile()

    async def profiled():
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(main())
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        await asyncio.wait([task])

    profiler.enable()
    uvloop.run(profiled())
    profiler.disable()
    profiler.dump_stats(profile_path)


class RelaySide(asyncio.Protocol):
    """One side of a bare TCP relay; bytes go to the other side unread."""

    def __init__(self, other=None):
        self.other = other
        self.transport = None
        self.early = b""

    def connection_made(self, transport):
        """Keep the transport and pass on what came before it."""
        self.transport = transport
        if self.other is not None and self.other.early:
            transport.write(self.other.early)

    def data_received(self, data):
        """Pass bytes on."""
        if self.other is None or self.other.transport is None:
            self.early += data
            return
        self.other.transport.write(data)

    def connection_lost(self, error):
        """Close the other side as well."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class CallerSide(RelaySide):
    """The side of a bare TCP relay that callers connect to."""

    target_port = 0

    def connection_made(self, transport):
        """Connect to the target."""
        super().connection_made(transport)
        self.other = RelaySide(self)
        loop = asyncio.get_running_loop()
        loop.create_task(
            loop.create_connection(lambda: self.other, "127.0.0.1", self.target_port)
        )


def run_tcp(port_pipe, target_port, profile_path):
    """Serve as a relay that only copies bytes: the floor of what a relay can add."""
    CallerSide.target_port = target_port

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(CallerSide, "127.0.0.1", 0)
        tune_garbage_collector()
        port_pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    run_profiled(main, profile_path)


RELAYS = {"entry": run_entry, "naive": run_naive, "tcp": run_tcp}
