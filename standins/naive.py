"""The baseline relay: round robin over targets, on falcon, uvicorn and aiohttp.

Run it as ``python -m standins.naive --targets FILE --port PORT``. Every process
works on its own. A target is left out for some seconds after consecutive errors,
and a failed request is sent once more, whatever its method.
"""

import json
import signal
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import click
import falcon
import falcon.asgi
import uvicorn

from .runtime import print_ready

ERRORS_BEFORE_EXCLUSION = 3
EXCLUSION_S = 10.0
# Larger request bodies are streamed and cannot be sent again.
MAX_BUFFERED_BYTES = 1_048_576
PIECE_BYTES = 65_536
GRACEFUL_STOP_S = 30
HOP_BY_HOP = frozenset(
    {
        "connection", "keep-alive", "proxy-connection", "te", "trailer",
        "transfer-encoding", "upgrade", "host", "content-length", "expect",
    }
)  # fmt: skip


@dataclass(slots=True)
class NaiveTarget:
    """A target and the errors seen from it."""

    address: str
    port: int
    service: str = ""
    errors: int = 0
    excluded_until: float = 0.0

    def record(self, is_error):
        """Count an error, or forget earlier ones after a success."""
        if not is_error:
            self.errors = 0
            return
        self.errors += 1
        if self.errors >= ERRORS_BEFORE_EXCLUSION:
            self.errors = 0
            self.excluded_until = time.monotonic() + EXCLUSION_S
            self.announce_exclusion()

    def announce_exclusion(self):
        """Print a JSON line, from which benchmarks count exclusions."""
        fields = {
            "excluded": f"{self.address}:{self.port}",
            "service": self.service,
            "at": time.time(),
        }
        print(json.dumps(fields), flush=True)


class RoundRobin:
    """Takes the targets of one service in turn.

    Parameters
    ----------
    targets : list of NaiveTarget
    """

    def __init__(self, targets):
        self.targets = targets
        self.position = 0

    def next(self):
        """Return the next target that is not excluded, or any if all are."""
        now = time.monotonic()
        for _ in self.targets:
            target = self.advance()
            if target.excluded_until <= now:
                return target
        return self.advance()

    def advance(self):
        """Return the next target in the list."""
        self.position = (self.position + 1) % len(self.targets)
        return self.targets[self.position]


@dataclass(slots=True)
class Answer:
    """A target's answer; ``body`` is None if it is still to be streamed."""

    response: aiohttp.ClientResponse
    body: bytes | None


class RelayFailed(Exception):
    """No target answered.

    Parameters
    ----------
    is_timeout : bool
    """

    def __init__(self, is_timeout):
        super().__init__("timeout" if is_timeout else "connection error")
        self.is_timeout = is_timeout


class NaiveRelay:
    """A falcon sink that relays each request to a target.

    Parameters
    ----------
    routes : dict
        Service name by path prefix.
    groups : dict
        ``RoundRobin`` by service name.
    entry_host, entry_domain : str
        Sent to targets as ``X-Entry-Host`` and ``X-Entry-Domain``.
    timeout_s : float
        Limit of one attempt.
    """

    def __init__(self, routes, groups, entry_host, entry_domain, timeout_s):
        self.routes = routes
        self.groups = groups
        self.identity = {"X-Entry-Host": entry_host, "X-Entry-Domain": entry_domain}
        self.timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.session = None

    async def process_startup(self, _scope, _event):
        """Open the client session."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=self.timeout,
            auto_decompress=False,
        )

    async def process_shutdown(self, _scope, _event):
        """Close the client session."""
        await self.session.close()

    def group_of(self, path):
        """Return the targets of the longest matching path prefix."""
        for prefix in sorted(self.routes, key=len, reverse=True):
            if path.startswith(prefix):
                return self.groups[self.routes[prefix]]
        raise falcon.HTTPNotFound

    async def __call__(self, req, resp):
        """Relay one request."""
        group = self.group_of(req.path)
        body, is_repeatable = await self.read_body(req)
        headers = self.forwarded_headers(req)
        try:
            answer = await self.send(req, group, headers, body, is_repeatable)
        except RelayFailed as failure:
            resp.status = 504 if failure.is_timeout else 502
            return
        resp.status = answer.response.status
        for name, value in answer.response.headers.items():
            if name.lower() not in HOP_BY_HOP:
                resp.append_header(name, value)
        if answer.body is not None:
            resp.data = answer.body
            return
        resp.stream = answer.response.content.iter_chunked(PIECE_BYTES)
        if answer.response.content_length is not None:
            resp.content_length = answer.response.content_length

    async def read_body(self, req):
        """Return the body, or its stream, and whether it can be sent again."""
        if req.content_length is None and "transfer-encoding" not in req.headers:
            return None, True
        if req.content_length is not None:
            if req.content_length <= MAX_BUFFERED_BYTES:
                return await req.stream.read(), True
        return req.stream, False

    def forwarded_headers(self, req):
        """Return the end-to-end headers and those that the relay adds."""
        headers = {}
        for name, value in req.headers.items():
            if name not in HOP_BY_HOP:
                headers[name] = value
        headers.update(self.identity)
        headers.setdefault("x-request-id", uuid.uuid4().hex)
        return headers

    async def send(self, req, group, headers, body, is_repeatable):
        """Send a request, and once more after an error."""
        attempts = 2 if is_repeatable else 1
        if not is_repeatable and req.content_length is not None:
            headers["Content-Length"] = str(req.content_length)
        for attempt in range(1, attempts + 1):
            is_last = attempt == attempts
            target = group.next()
            url = f"http://{target.address}:{target.port}{req.relative_uri}"
            try:
                response = await self.session.request(
                    req.method, url, headers=headers, data=body, allow_redirects=False
                )
                answer = Answer(response, await self.read_answer(response))
            except (aiohttp.ClientError, OSError) as error:
                target.record(is_error=True)
                if is_last:
                    raise RelayFailed(isinstance(error, TimeoutError)) from error
                continue
            is_error = response.status >= 500
            target.record(is_error)
            if not is_error or is_last:
                return answer
            response.release()
        raise RelayFailed(is_timeout=False)

    async def read_answer(self, response):
        """Return the body of a small answer, or None for one to stream."""
        length = response.content_length
        if length is None or length > PIECE_BYTES:
            return None
        return await response.read()


class ReadyServer(uvicorn.Server):
    """A uvicorn server that tells when it listens."""

    async def startup(self, sockets=None):
        """Open the socket and print the ready line."""
        await super().startup(sockets)
        if self.started:
            address, port = self.servers[0].sockets[0].getsockname()[:2]
            print_ready("standins.naive", address, port)


def build_groups(rows):
    """Return a ``RoundRobin`` for each service of a JSON list of targets."""
    by_service = {}
    for row in rows:
        target = NaiveTarget(row["address"], row["port"], row.get("service", ""))
        by_service.setdefault(target.service, []).append(target)
    return {service: RoundRobin(targets) for service, targets in by_service.items()}


@click.command()
@click.option("--address", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", default=0, help="TCP port; 0 takes a free one.")
@click.option("--targets", required=True, type=click.Path(exists=True))
@click.option("--route", "routes", multiple=True, help="PREFIX=SERVICE; repeatable.")
@click.option("--entry-host", default="naive")
@click.option("--entry-domain", default="")
@click.option("--timeout-s", default=10.0, help="Limit of one attempt.")
def main(address, port, targets, routes, entry_host, entry_domain, timeout_s):
    """Relay requests to the targets listed in a JSON file until SIGTERM."""
    groups = build_groups(json.loads(Path(targets).read_text()))
    table = dict(route.split("=", 1) for route in routes)
    if not table:
        table = {"/": next(iter(groups))}
    relay = NaiveRelay(table, groups, entry_host, entry_domain, timeout_s)
    app = falcon.asgi.App(middleware=[relay])
    app.add_sink(relay, "/")
    config = uvicorn.Config(
        app,
        host=address,
        port=port,
        http="httptools",
        loop="uvloop",
        # A traceback for each broken answer would dominate the cost of faults.
        log_level="critical",
        access_log=False,
        timeout_graceful_shutdown=GRACEFUL_STOP_S,
    )
    # uvicorn raises a caught signal again after its shutdown, for the handler
    # that was there before; ignoring it there gives exit code 0.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    ReadyServer(config).run()


if __name__ == "__main__":
    main()
