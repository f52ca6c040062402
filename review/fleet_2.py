"""Runs the project's programs as processes for the script cases of review 2.

A case starts the store's stand-in of the project, back ends (``backend_2.py``) and
hosts with the command of the deploy file, sends requests through the hosts and writes
what happened to ``record.txt`` in its folder. All sockets are on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REVIEW = ROOT / "review"
DEPENDENCIES = ROOT / "target" / "deps"
AUTHORITY = "shop.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The whole case, the start and the end included.
LIMIT_S = 115.0
START_LIMIT_S = 20.0
# As in the settings of the small deployments.
STABILITY_S = 3.0
BOUNDS = (
    "seedLagS=3,addrReuseS=2,stabilityWindowMs=3000,ackMs=4000,catchUpS=4,"
    "drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000,rollbackSlackMs=250,"
    "maxStretchMs=5000,budgetRatio=0.2,budgetWindowS=10,retrySlack=58,recoveryS=15,"
    "probesPerS=3,floorShare=0.7"
)


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_ports(addresses, count):
    """Return ports that are free for TCP and UDP on all ``addresses``."""
    found = []
    for _ in range(2000):
        port = random.randrange(20_000, 60_000)
        if port not in found and all(is_free(a, port) for a in addresses):
            found.append(port)
            if len(found) == count:
                return found
    raise CannotRun("no free ports")


def is_free(address, port):
    """Tell whether a port can be bound for TCP and for UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((address, port))
            except OSError:
                return False
    return True


def route(name, kind, prefix, service, **others):
    """Return one route of the configuration."""
    spec = {
        "host": AUTHORITY,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
        **others,
    }
    return {"resourceType": "routes", "metadata": {"name": name}, "spec": spec}


def configuration(version, routes, services):
    """Return a configuration as the operator writes it."""
    resources = list(routes)
    for name in services:
        spec = {
            "healthPath": "/health",
            "maxConnections": 330,
            "protocol": "h1",
            "tls": False,
        }
        resources.append(
            {"resourceType": "services", "metadata": {"name": name}, "spec": spec}
        )
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    resources.append({"resourceType": "limits", "metadata": {}, "spec": limits})
    return {"version": f"{version:08x}", "resources": resources}


class Record:
    """Writes ``record.txt``: one line with the seconds, a word and fields."""

    def __init__(self, path):
        self.path = path
        self.started_at = time.monotonic()
        self.lines = []

    def add(self, word, at=None, **fields):
        """Add a line about a moment, in monotonic seconds."""
        at = time.monotonic() if at is None else at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append((at - self.started_at, f"{word} {text}".rstrip()))

    def write(self):
        """Write all lines in the order of their moments."""
        lines = sorted(self.lines, key=lambda line: line[0])
        text = "".join(f"{at:9.3f} {line}\n" for at, line in lines)
        self.path.write_text(text)


class HostProcess:
    """A host of the fleet and when its process ran without a disruption."""

    def __init__(self, name, address, zone, ports):
        self.name = name
        self.address = address
        self.zone = zone
        self.front, self.ready, self.control, self.gossip = ports
        self.process = None
        self.started_at = None
        # Start and end (None while it runs) of each process; it ends with its signal.
        self.lives = []
        self.misses = 0
        self.in_rotation = False
        self.idle = []

    def is_in_touch(self, at):
        """Tell whether it ran undisturbed for the whole stability window before."""
        for start, end in self.lives:
            if start + STABILITY_S <= at and (end is None or at <= end):
                return True
        return False


class Fleet:
    """A store, back ends and hosts as processes, and their ends.

    Parameters
    ----------
    record : Record
    """

    def __init__(self, record):
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.processes = []
        self.hosts = []
        self.backends = {}
        self.ports = {}
        self.store_port = None
        # Where the settings of the hosts say that the store is, if not at its port.
        self.announced_port = None
        self.poller = None
        self.turn = 0

    # Processes

    def spawn(self, name, command, environment=None):
        """Start a process with the environment that the deploy pages allow."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.directory),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(DEPENDENCIES),
            "PYTHONDONTWRITEBYTECODE": "1",
            **(environment or {}),
        }
        output = open(self.directory / f"{name}.out", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        output.close()
        self.processes.append(process)
        return process

    def close(self):
        """End all processes that were started, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    def output(self, name):
        """Return the JSON lines that a process wrote."""
        path = self.directory / f"{name}.out"
        found = []
        if not path.exists():
            return found
        for line in path.read_bytes().splitlines():
            try:
                document = json.loads(line)
            except ValueError:
                continue
            if isinstance(document, dict):
                found.append(document)
        return found

    # The store

    async def start_store(self):
        """Start the project's stand-in of the store."""
        (self.store_port,) = free_ports(["127.0.0.1"], 1)
        command = ["python3", "-m", "standins.metastore", "--port"]
        self.spawn("store", [*command, str(self.store_port)])
        ends_at = time.monotonic() + START_LIMIT_S
        while time.monotonic() < ends_at:
            try:
                await self.call_store("GET", "/control")
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun("the store did not start")

    async def open_front_door(self):
        """Open another address of the store; return what closes it."""
        (port,) = free_ports(["127.0.0.1"], 1)
        writers = []

        async def copy(reader, writer):
            try:
                while data := await reader.read(65536):
                    writer.write(data)
                    await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        async def serve(reader, writer):
            store = await asyncio.open_connection("127.0.0.1", self.store_port)
            writers.extend((writer, store[1]))
            back = asyncio.ensure_future(copy(store[0], writer))
            await copy(reader, store[1])
            back.cancel()

        server = await asyncio.start_server(serve, "127.0.0.1", port)
        self.announced_port = port

        def close():
            server.close()
            for writer in writers:
                writer.transport.abort()

        return close

    async def call_store(self, method, path, body=None):
        """Make one call of the operator or of a back end; return status and body."""
        content = b"" if body is None else json.dumps(body).encode()
        head = [f"{method} {path} HTTP/1.1", "Host: store", "Connection: close"]
        head += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
        reader, writer = await asyncio.open_connection("127.0.0.1", self.store_port)
        try:
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + content)
            answer = await asyncio.wait_for(reader.read(), 10.0)
        finally:
            writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), json.loads(content or b"{}")

    async def put(self, key, document):
        """Write a key; return the moment of the store's answer."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        body = {"puts": [{"key": key, "value": value, "lease": 0}]}
        status, _ = await self.call_store("POST", "/kv-txn", body)
        if status != 200:
            raise CannotRun(f"the store answered {status}")
        return time.monotonic()

    async def remove(self, key):
        """Remove a key; return the moment of the store's answer."""
        status, _ = await self.call_store("POST", "/kv-txn", {"remove": [key]})
        if status != 200:
            raise CannotRun(f"the store answered {status}")
        return time.monotonic()

    # Back ends

    async def start_backend(self, backend_id, service, zone, *options, port=None):
        """Start a back end, which registers itself."""
        if port is None:
            (port,) = free_ports(["127.0.0.1"], 1)
        command = ["python3", str(REVIEW / "backend_2.py")]
        command += ["--store", str(self.store_port), "--id", backend_id]
        command += ["--service", service, "--zone", zone, "--port", str(port)]
        process = self.spawn(backend_id, [*command, *options])
        self.backends[backend_id] = process
        self.ports[backend_id] = port
        ends_at = time.monotonic() + START_LIMIT_S
        while time.monotonic() < ends_at:
            if any(row.get("event") == "ready" for row in self.output(backend_id)):
                self.record.add("backend-ready", id=backend_id, port=port)
                return process
            await asyncio.sleep(0.05)
        raise CannotRun(f"back end {backend_id} did not start")

    async def call_backend(self, backend_id, path):
        """Tell a back end what it has to do."""
        port = self.ports[backend_id]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"POST {path} HTTP/1.1\r\nHost: case\r\n\r\n".encode())
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        finally:
            writer.close()

    def events(self):
        """Return what all back ends wrote, in the order of time."""
        found = []
        for backend_id in self.backends:
            for row in self.output(backend_id):
                found.append({**row, "backend": backend_id})
        return sorted(found, key=lambda row: row["at"])

    # Hosts

    async def start_hosts(self, zones):
        """Start one host in each of ``zones`` (names may repeat)."""
        addresses = [f"127.0.0.{10 + number}" for number in range(len(zones))]
        ports = free_ports(addresses, 4)
        for number, (address, zone) in enumerate(zip(addresses, zones, strict=True)):
            name = f"edge-{zone}-{number + 1}"
            self.hosts.append(HostProcess(name, address, zone, ports))
        for host in self.hosts:
            self.start_host(host, bootstrap=True)
        self.poller = asyncio.ensure_future(self.poll_readiness())
        await self.wait_until(lambda: all(host.in_rotation for host in self.hosts))

    def write_settings(self, host, bootstrap=False):
        """Put the settings file of a host in place; return its path."""
        path = self.directory / f"{host.name}.conf"
        new = path.with_suffix(".new")
        new.write_text(self.settings(host, bootstrap))
        new.replace(path)
        return path

    def start_host(self, host, bootstrap=False):
        """Start the process of a host with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry-host"]["run"])
        path = self.write_settings(host, bootstrap)
        environment = {"OLEANDERROUTE_NODE_FILE": str(path)}
        host.process = self.spawn(host.name, command, environment)
        host.lives.append([time.monotonic(), None])
        host.misses = 0
        self.record.add("host-started", name=host.name)

    def settings(self, host, bootstrap):
        """Return the settings file of a host."""
        seeds = ",".join(f"{each.address}:{each.control}" for each in self.hosts[:3])
        zones = sorted({each.zone for each in self.hosts})
        lines = [
            f"nodeName={host.name}",
            "role=entry-host",
            "machineClass=edge",
            "serves=edge,control",
            f"ip={host.address}",
            f"zone={host.zone}",
            "region=montevideo",
            *(f"zones.{zone}=montevideo" for zone in zones),
            f"listen.front={host.address}:{host.front}",
            f"listen.ready={host.address}:{host.ready}",
            f"listen.control={host.address}:{host.control}",
            f"internalPortRange={host.gossip},{host.gossip}",
            f"seeds={seeds}",
            f"bootstrap={'true' if bootstrap else 'false'}",
            "limits.cpuShare=0.86",
            "limits.cores=1",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "limits.linkMbps=1000.0",
            "discovery=platform",
            "entry=vip",
            "heartbeatMs=1500",
            "contracts=base,drain,config,cost,retry,recover,health,platform",
            f"bounds={BOUNDS}",
            f"platform.address=127.0.0.1:{self.announced_port or self.store_port}",
            "platform.form=kv",
            "platform.writesPerS=400",
            "platform.readsPerS=2000",
            "platform.historyS=20",
            "platform.valueBytes=1048576",
            "platform.ttlMinMs=1000",
        ]
        return "\n".join(lines) + "\n"

    def signal_host(self, host, number):
        """Send a signal that ends the process of a host."""
        host.lives[-1][1] = time.monotonic()
        self.record.add("signal", name=host.name, number=int(number))
        host.process.send_signal(number)

    async def ended(self, host, limit_s=8.0):
        """Wait for the end of a host's process."""
        await self.wait_until(lambda: host.process.poll() is not None, limit_s)
        self.record.add("host-ended", name=host.name, code=host.process.returncode)

    async def poll_readiness(self):
        """Ask all hosts each second, as the platform's balancer does."""
        while True:
            await asyncio.gather(*(self.ask_readiness(host) for host in self.hosts))
            await asyncio.sleep(1.0)

    async def ask_readiness(self, host):
        """Take a host into rotation, or out of it after two misses."""
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(host.address, host.ready)
                try:
                    head = b"GET /readiness HTTP/1.1\r\nHost: %b\r\n"
                    head += b"Connection: close\r\n\r\n"
                    writer.write(head % host.address.encode())
                    is_ready = b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            is_ready = False
        host.misses = 0 if is_ready else host.misses + 1
        if is_ready != host.in_rotation and (is_ready or host.misses >= 2):
            host.in_rotation = is_ready
            self.record.add("rotation", name=host.name, ready=is_ready)

    async def wait_until(self, condition, limit_s=START_LIMIT_S):
        """Wait for a condition."""
        ends_at = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRun("a condition did not come about in time")
            await asyncio.sleep(0.02)

    def next_host(self):
        """Return the next host in rotation, or None."""
        usable = [host for host in self.hosts if host.in_rotation]
        if not usable:
            return None
        self.turn += 1
        return usable[self.turn % len(usable)]

    # Requests

    async def request(self, host, method, path, attempt_id, body=b"", limit_ms=1500):
        """Send a request on a kept connection; return status, headers and body.

        The status is 0 if the connection ended without a whole answer.
        """
        self.record.add(
            "sent", id=attempt_id, host=host.name, what=f"{method}:{path[:40]}"
        )
        try:
            async with asyncio.timeout(limit_ms / 1000 + 1.0):
                status, headers, content = await self.exchange(
                    host, method, path, attempt_id, body, limit_ms
                )
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            status, headers, content = 0, {"error": type(error).__name__}, b""
        self.record.add(
            "answered",
            id=attempt_id,
            host=host.name,
            status=status,
            seal=headers.get("x-response-seal", "none"),
            why=headers.get("oleander-reason", headers.get("error", "-")),
        )
        return status, headers, content

    async def exchange(self, host, method, path, attempt_id, body, limit_ms):
        """Write one request and read its answer."""
        life = len(host.lives)
        idle = [pair for pair in host.idle if pair[2] == life and not pair[0].at_eof()]
        host.idle = idle
        if idle:
            reader, writer, _ = idle.pop()
        else:
            reader, writer = await asyncio.open_connection(host.address, host.front)
        keep = False
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {AUTHORITY}"]
            lines += [f"X-Attempt-Id: {attempt_id}"]
            lines += [f"X-Deadline-Remaining: {limit_ms}"]
            if method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            status, headers, content = await read_answer(reader)
            keep = headers.get("connection", "") != "close"
            return status, headers, content
        finally:
            if keep:
                host.idle.append((reader, writer, life))
            else:
                writer.close()


async def read_answer(reader):
    """Return status, headers and body of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        content = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            content += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        content = await reader.readexactly(int(headers["content-length"]))
    return int(status_line.split(" ")[1]), headers, content


def run_case(folder, play):
    """Run a case and exit with its result.

    Parameters
    ----------
    folder : Path
        Where ``record.txt`` is written.
    play : callable
        A coroutine function; takes the fleet and whether there is trouble, and returns
        the list of what broke the rule.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    fleet = Fleet(record)
    result = NOT_RUN
    # Ended from outside, the case still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def limited():
        async with asyncio.timeout(LIMIT_S):
            return await play(fleet, has_trouble)

    try:
        broken = asyncio.run(limited())
        for line in broken[:50]:
            record.add("BROKEN", text=line)
        record.add("result", trouble=has_trouble, broken=len(broken))
        result = BROKEN if broken else HELD
    except Exception as error:
        record.add("could-not-run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        fleet.close()
        record.write()
    print(record.lines[-1][1])
    sys.exit(result)
