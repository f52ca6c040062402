"""Time that the entry adds to a request, measured against a direct exchange.

A small target, each relay and this client are a process each. The client sends
requests in turn straight to the target and through each relay, over warm connections
and in one run, so that noise of the machine falls on all alike.

    python -m bench.added_latency [--seconds S] [--relay NAME]... [--rates]
"""

import argparse
import asyncio
import multiprocessing
import os
import statistics
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson
import uvloop

from oleanderroute.entry.garbage_collection import tune_garbage_collector

from .relays import ANSWER_BODY, RELAYS, run_target

OPEN_RATE_PER_S = 90
ADDED_P99_BOUND_MS = 10.0
CLOSED_CONNECTIONS = (1, 8)
MEMORY_CONNECTIONS = 1000
RATE_STEP_S = 2.0
RATES_PER_S = (500, 1000, 2000, 3000, 4000, 5000, 6000, 7000, 8000)
# One pause of the machine decides the p99 of a step, so the median of these counts.
RATE_TRIES = 3
# At high rates the client must not become the bottleneck of the measurement.
RATE_CONNECTIONS = 16
REQUEST = (
    b"GET /pedidos/stock/4711?size=a3 HTTP/1.1\r\nHost: pedidos.example\r\n"
    b"User-Agent: bench\r\nAccept: application/json\r\n"
    b"Oleander-Workspace: taller-7\r\n\r\n"
)


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
    """Send to one port after the other; ``interval_s`` 0 is a closed loop.

    Returns
    -------
    list of list of float
        Seconds of the exchanges with each port.
    """
    clients = [await connect(port) for port in ports]
    for client in clients * 20:
        await client.request()
    samples = [[] for _ in ports]
    due = time.perf_counter()
    end = due + seconds
    while time.perf_counter() < end:
        for client, latencies in zip(clients, samples, strict=True):
            if interval_s:
                due += interval_s
                await asyncio.sleep(max(0.0, due - time.perf_counter()))
            latencies.append(await client.request())
    for client in clients:
        client.transport.close()
    return samples


async def closed_loop(ports, seconds, connections):
    """Run ``alternate`` on several connections at once."""
    runs = [alternate(ports, seconds, 0) for _ in range(connections)]
    samples = [[] for _ in ports]
    for one_run in await asyncio.gather(*runs):
        for all_latencies, latencies in zip(samples, one_run, strict=True):
            all_latencies += latencies
    return samples


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
        added = []
        for _ in range(RATE_TRIES):
            direct = await open_loop(ports[0], rate, RATE_STEP_S)
            relayed = await open_loop(ports[1], rate, RATE_STEP_S)
            added.append(round(relayed.p99_ms - direct.p99_ms, 3))
        steps[str(rate)] = {"added_p99_ms": added}
        if statistics.median(added) >= ADDED_P99_BOUND_MS:
            break
        highest = rate
    return {"rate_per_s": highest, "steps": steps}


def resident_kib(pid):
    """Return the resident memory of a process in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


@dataclass(frozen=True, slots=True)
class ProcessorUse:
    """What a process has used of the processors since its start, in microseconds.

    Attributes
    ----------
    running_us : float
    waiting_us : float
        Time in which the process was ready and had to wait for a processor. It says
        how much of the latency is the load of the machine.
    """

    running_us: float
    waiting_us: float


def processor_use(pid):
    """Return the ``ProcessorUse`` of a process."""
    running_ns, waiting_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return ProcessorUse(int(running_ns) / 1000, int(waiting_ns) / 1000)


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


def start(function, *arguments):
    """Start a process and return it with the port it listens on."""
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=function, args=(sender, *arguments), daemon=True)
    process.start()
    return process, receiver.recv()


async def comparisons(names, pids, run):
    """Return each relay's comparison with the direct exchanges of ``run``."""
    before = [processor_use(pid) for pid in pids]
    samples = await run
    report = {}
    for index, name in enumerate(names):
        latencies = samples[index + 1]
        use = processor_use(pids[index])
        running_us = (use.running_us - before[index].running_us) / len(latencies)
        waiting_us = (use.waiting_us - before[index].waiting_us) / len(latencies)
        report[name] = asdict(compare(samples[0], latencies))
        report[name]["running_us_per_request"] = round(running_us, 1)
        report[name]["waiting_us_per_request"] = round(waiting_us, 1)
    return report


async def measure(names, ports, pids, options):
    """Return all figures as a JSON object."""
    report = {"memory": {}}
    for name, port, pid in zip(names, ports[1:], pids, strict=True):
        report["memory"][name] = await memory(port, pid)
    # Each port gets the rate of a host at the peak.
    interval_s = 1 / (OPEN_RATE_PER_S * len(ports))
    run = alternate(ports, options.seconds, interval_s)
    report["open_loop_90_per_s"] = await comparisons(names, pids, run)
    for connections in CLOSED_CONNECTIONS:
        run = closed_loop(ports, options.seconds, connections)
        report[f"closed_loop_{connections}"] = await comparisons(names, pids, run)
    if options.rates:
        report["highest_rate"] = {}
        for name, port in zip(names, ports[1:], strict=True):
            report["highest_rate"][name] = await highest_rate((ports[0], port))
    return report


def print_json(report):
    """Print a report."""
    print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())


def main():
    """Measure the relays and print JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--relay", choices=RELAYS, action="append")
    parser.add_argument("--profile", default="")
    parser.add_argument("--rates", action="store_true")
    options = parser.parse_args()
    names = options.relay or list(RELAYS)
    target, target_port = start(run_target)
    relays = [start(RELAYS[name], target_port, options.profile) for name in names]
    ports = [target_port, *(port for _, port in relays)]
    pids = [relay.pid for relay, _ in relays]
    load = os.getloadavg()
    tune_garbage_collector()
    report = uvloop.run(measure(names, ports, pids, options))
    report["machine"] = {"cpus": os.cpu_count(), "load": load}
    for process, _ in [*relays, (target, target_port)]:
        process.terminate()
        process.join()
    print_json(report)


if __name__ == "__main__":
    main()
