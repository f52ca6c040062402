"""Time that the entry adds to a request, measured against a direct exchange.

Three processes are used: a small target, the relay under test, and this client. The
client sends each request alternately straight to the target and through the relay,
over warm connections, so that noise of the machine falls on both.

    python -m bench.added_latency [--seconds S] [--relay entry|naive] [--profile FILE]
"""

import argparse
import asyncio
import gc
import multiprocessing
import os
import socket
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson
import uvloop

OPEN_RATE_PER_S = 90
ADDED_P99_BOUND_MS = 10.0
CLOSED_CONNECTIONS = (1, 8)
MEMORY_CONNECTIONS = 1000
RATE_STEP_S = 3.0
RATES_PER_S = (500, 1000, 1500, 2000, 2500, 3000, 3500, 4000, 5000, 6000, 8000)
# At high rates the client must not become the bottleneck of the measurement.
RATE_CONNECTIONS = 16
REQUEST = (
    b"GET /pedidos/stock/4711?size=a3 HTTP/1.1\r\nHost: pedidos.example\r\n"
    b"User-Agent: bench\r\nAccept: application/json\r\n"
    b"Oleander-Workspace: taller-7\r\n\r\n"
)
ANSWER_BODY = b'{"article": 4711, "stock": 12, "price": "1999.00"}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
) % (len(ANSWER_BODY), ANSWER_BODY)


@dataclass(frozen=True, slots=True)
class Spread:
    """Latencies in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """Direct and relayed latencies of one run, and their difference."""

    direct: Spread
    relayed: Spread
    added_p50_ms: float
    added_p90_ms: float
    added_p99_ms: float


def spread(samples_s):
    """Return the ``Spread`` of latencies in seconds."""
    ordered = sorted(samples_s)
    last = len(ordered) - 1

    def at(share):
        return round(ordered[min(last, int(share * len(ordered)))] * 1000, 3)

    return Spread(len(ordered), at(0.5), at(0.9), at(0.99), at(1.0))


def compare(direct_s, relayed_s):
    """Return the ``Comparison`` of two lists of latencies in seconds."""
    direct = spread(direct_s)
    relayed = spread(relayed_s)
    return Comparison(
        direct,
        relayed,
        round(relayed.p50_ms - direct.p50_ms, 3),
        round(relayed.p90_ms - direct.p90_ms, 3),
        round(relayed.p99_ms - direct.p99_ms, 3),
    )


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


class Client(asyncio.Protocol):
    """Sends one request at a time and resolves a future with the answer's time."""

    def __init__(self):
        self.transport = None
        self.buffer = b""
        self.expected = None
        self.future = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data):
        """Note the time when the answer is complete."""
        self.buffer += data
        if self.expected is None:
            head, end, _ = self.buffer.partition(b"\r\n\r\n")
            if not end:
                return
            if not head.startswith(b"HTTP/1.1 200"):
                raise RuntimeError(f"unexpected answer: {head!r}")
            self.expected = len(head) + 4 + len(ANSWER_BODY)
        if len(self.buffer) >= self.expected:
            self.buffer = b""
            self.expected = None
            self.future.set_result(time.perf_counter())

    async def request(self):
        """Return the seconds of one exchange."""
        self.future = asyncio.get_running_loop().create_future()
        start = time.perf_counter()
        self.transport.write(REQUEST)
        return await self.future - start


async def connect(port):
    """Return a connected ``Client``."""
    loop = asyncio.get_running_loop()
    _, client = await loop.create_connection(Client, "127.0.0.1", port)
    return client


async def alternate(ports, seconds, interval_s):
    """Send alternately to both ports; ``interval_s`` 0 is a closed loop.

    Returns
    -------
    tuple of list of float
        Seconds of the exchanges with each port.
    """
    clients = [await connect(port) for port in ports]
    for client in clients * 20:
        await client.request()
    samples = ([], [])
    due = time.perf_counter()
    end = due + seconds
    which = 0
    while time.perf_counter() < end:
        if interval_s:
            due += interval_s
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
        samples[which].append(await clients[which].request())
        which = 1 - which
    for client in clients:
        client.transport.close()
    return samples


async def closed_loop(ports, seconds, connections):
    """Run ``alternate`` on several connections at once."""
    runs = [alternate(ports, seconds, 0) for _ in range(connections)]
    direct = []
    relayed = []
    for one_direct, one_relayed in await asyncio.gather(*runs):
        direct += one_direct
        relayed += one_relayed
    return compare(direct, relayed)


async def open_loop(port, rate_per_s, seconds):
    """Send at a fixed rate; latency counts from the time a request was due."""
    free = [await connect(port) for _ in range(RATE_CONNECTIONS)]
    clients = list(free)
    waiting = []
    samples = []

    async def send(client, due):
        while True:
            await client.request()
            samples.append(time.perf_counter() - due)
            if not waiting:
                break
            due = waiting.pop(0)
        free.append(client)

    start = time.perf_counter()
    tasks = set()
    for number in range(int(rate_per_s * seconds)):
        due = start + number / rate_per_s
        pause_s = due - time.perf_counter()
        if pause_s > 0.0005:
            await asyncio.sleep(pause_s)
        if not free:
            waiting.append(due)
            continue
        task = asyncio.ensure_future(send(free.pop(), due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(set(tasks))
    for client in clients:
        client.transport.close()
    return spread(samples)


async def highest_rate(ports):
    """Return the highest rate whose added p99 is under the bound, and all steps."""
    steps = {}
    highest = 0
    for rate in RATES_PER_S:
        direct = await open_loop(ports[0], rate, RATE_STEP_S)
        relayed = await open_loop(ports[1], rate, RATE_STEP_S)
        added = round(relayed.p99_ms - direct.p99_ms, 3)
        steps[str(rate)] = {"direct_p99_ms": direct.p99_ms, "added_p99_ms": added}
        if added >= ADDED_P99_BOUND_MS:
            break
        highest = rate
    return {"rate_per_s": highest, "steps": steps}


def resident_kib(pid):
    """Return the resident memory of a process in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def memory(port, pid):
    """Return the relay's resident memory, idle and with many open connections."""
    idle = resident_kib(pid)
    clients = [await connect(port) for _ in range(MEMORY_CONNECTIONS)]
    for client in clients:
        await client.request()
    with_connections = resident_kib(pid)
    for client in clients:
        client.transport.close()
    return {"idle_kib": idle, "with_1000_connections_kib": with_connections}


# Processes


def tune_collector():
    """Keep long-lived objects out of collections; they make the longest pauses."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)


def run_target(port_pipe):
    """Serve as the target."""

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(BenchTarget, "127.0.0.1", 0)
        tune_collector()
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
        tune_collector()
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


def start(function, *arguments):
    """Start a process and return it with the port it listens on."""
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=function, args=(sender, *arguments), daemon=True)
    process.start()
    return process, receiver.recv()


RELAYS = {"entry": run_entry, "naive": run_naive}


async def measure(ports, pid, seconds, with_rates):
    """Return all figures of one relay as a JSON object."""
    figures = {"memory": await memory(ports[1], pid)}
    samples = await alternate(ports, seconds, 1 / OPEN_RATE_PER_S)
    figures["open_loop_90_per_s"] = asdict(compare(*samples))
    for connections in CLOSED_CONNECTIONS:
        comparison = await closed_loop(ports, seconds, connections)
        figures[f"closed_loop_{connections}"] = asdict(comparison)
    if with_rates:
        figures["highest_rate"] = await highest_rate(ports)
    return figures


def main():
    """Measure the relays and print JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--relay", choices=RELAYS, action="append")
    parser.add_argument("--profile", default="")
    parser.add_argument("--no-rates", action="store_true")
    options = parser.parse_args()
    target, target_port = start(run_target)
    report = {"cpus": os.cpu_count(), "load": os.getloadavg()}
    for name in options.relay or RELAYS:
        relay, port = start(RELAYS[name], target_port, options.profile)
        tune_collector()
        ports = (target_port, port)
        report[name] = uvloop.run(
            measure(ports, relay.pid, options.seconds, not options.no_rates)
        )
        relay.terminate()
        relay.join()
    target.terminate()
    print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
