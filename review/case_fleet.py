"""Starts hosts of the deploy file as processes on loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from standin_backend import new_id
from standin_http import ask

ROOT = Path(__file__).resolve().parents[1]
DEPENDENCIES = ROOT / "target" / "deps"
ROLE = "entry-host"
CLIENT_HOST = "shop.example"
READY_TIMEOUT_S = 20.0
RESTART_DELAY_S = 1.0
MAX_HOSTS = 8
# The bounds of the site papelitos-gw.
BOUNDS = (
    "seedLagS=3,addrReuseS=2,stabilityWindowMs=3000,ackMs=4000,catchUpS=4,"
    "drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000,rollbackSlackMs=250,"
    "maxStretchMs=5000,budgetRatio=0.2,budgetWindowS=10,retrySlack=58,recoveryS=15,"
    "probesPerS=3,floorShare=0.7"
)
# Not 1, with which Python ends after an error; run.sh turns it into 1.
BROKEN = 10
HELD = 0
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path):
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def add(self, what, **fields):
        """Write one line."""
        passed_s = time.monotonic() - self.started_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{passed_s:8.3f} {what} {text}\n")

    def close(self):
        """Close the file."""
        self.file.close()


def route(name, kind, prefix, service, **others):
    """Return a route of the configuration."""
    spec = {
        "host": CLIENT_HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **others,
    }
    return {"resourceType": "routes", "metadata": {"name": name}, "spec": spec}


def configuration(version, routes, services):
    """Return a document for ``op/config``."""
    resources = list(routes)
    for name in services:
        spec = {"healthPath": "/health", "maxConnections": 330}
        spec.update(protocol="h1", tls=False)
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


class Host:
    """A process of the deploy file's role on an address of its own."""

    def __init__(self, fleet, name, zone, address):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.address = address
        # Each host reaches the store at an address of its own, as through a proxy.
        self.store_address = fleet.address(200 + len(fleet.hosts))
        self.process = None
        self.log = None
        self.settings = fleet.directory / f"{name}.conf"

    def write_settings(self):
        """Write the settings file as DEPLOY.md shows it."""
        fleet = self.fleet
        front, ready, control = fleet.ports[:3]
        seeds = ",".join(f"{host.address}:{control}" for host in fleet.hosts[:3])
        lines = [
            f"nodeName={self.name}",
            f"role={ROLE}",
            "machineClass=edge",
            "serves=edge,control",
            f"ip={self.address}",
            f"zone={self.zone}",
            "region=montevideo",
            f"listen.front={self.address}:{front}",
            f"listen.ready={self.address}:{ready}",
            f"listen.control={self.address}:{control}",
            f"internalPortRange={fleet.ports[3]},{fleet.ports[3] + 1}",
            f"seeds={seeds}",
            "limits.linkMbps=1000.0",
            "heartbeatMs=1500",
            f"bounds={BOUNDS}",
            f"platform.address={self.store_address}:{fleet.store.port}",
            "platform.form=kv",
            "platform.ttlMinMs=1000",
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    async def start(self):
        """Start the process with the command of the deploy file."""
        if self.log is None:
            self.log = (self.fleet.directory / f"{self.name}.log").open("ab")
        environment = {"PYTHONPATH": str(DEPENDENCIES)}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                environment[name] = os.environ[name]
        environment["OLEANDERROUTE_NODE_FILE"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            *self.fleet.command,
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        self.fleet.record.add("start", host=self.name, pid=self.process.pid)

    async def is_ready(self):
        """Tell whether the process answers 200 to the platform's question."""
        answer = await ask(
            self.address,
            self.fleet.ports[1],
            "GET",
            "/readiness",
            {"Host": "ready"},
            1.0,
        )
        return answer[0] == 200

    async def wait_ready(self):
        """Wait until the process is ready."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)

    def kill(self, number):
        """Send a signal if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.fleet.record.add("signal", host=self.name, number=int(number))
            self.process.send_signal(number)

    async def stop(self, number=signal.SIGKILL):
        """Send a signal and wait for the end of the process."""
        self.kill(number)
        if self.process is not None:
            await self.process.wait()

    async def send(self, method, path, body=b"", limit_ms=1500):
        """Send a request under a new attempt id and record it with its answer."""
        attempt = new_id()
        headers = {
            "Host": CLIENT_HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Remaining": limit_ms,
        }
        record = self.fleet.record
        record.add("send", host=self.name, attempt=attempt, request=f"{method} {path}")
        found = await ask(
            self.address, self.fleet.ports[0], method, path, headers, body=body
        )
        reason = found[1].get("oleander-reason", "")
        record.add("answer", attempt=attempt, status=found[0], reason=reason)
        return found


class Fleet:
    """A store, backends and hosts of one case.

    Parameters
    ----------
    folder : pathlib.Path
        Gets ``record.txt``.
    store : Store
    """

    def __init__(self, folder, store):
        self.store = store
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts = []
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.command = tomllib.load(file)["roles"][ROLE]["run"].split()
        self.network = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
        self.ports = free_ports(5)

    def address(self, number):
        """Return a loopback address of this case."""
        return f"{self.network}.{number}"

    def add_host(self, name, zone):
        """Add a host that is not started yet."""
        host = Host(self, name, zone, self.address(10 + len(self.hosts)))
        self.hosts.append(host)
        return host

    async def start_hosts(self):
        """Start all hosts and wait until they are ready."""
        for host in self.hosts:
            host.write_settings()
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    def log_lines(self, host, event):
        """Return the log records of a host that have an event number."""
        found = []
        for line in (self.directory / f"{host.name}.log").read_text().splitlines():
            try:
                document = json.loads(line)
            except ValueError:
                continue
            if document.get("event") == event:
                found.append(document)
        return found

    async def close(self):
        """End all processes that were started, and remove the folder."""
        for host in self.hosts:
            await host.stop()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)


def free_ports(count):
    """Return free ports below the range of outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randint(15000, 30000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def run_case(folder, play, limit_s=110.0):
    """Play a case and return its exit code.

    Parameters
    ----------
    play : coroutine function
        Takes the ``Fleet`` and whether there is trouble; returns the reasons why the
        rule was broken.
    """
    return asyncio.run(play_case(folder, play, limit_s))


async def play_case(folder, play, limit_s):
    """Play a case inside an event loop."""
    from standin_store import Store

    if not DEPENDENCIES.is_dir():
        print("cannot run: the build of the deploy file is missing")
        return CANNOT_RUN
    store = Store()
    fleet = Fleet(folder, store)
    # The processes that were started end also if the case itself is stopped.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        await store.start([fleet.address(200 + n) for n in range(MAX_HOSTS)])
        async with asyncio.timeout(limit_s):
            broken = await play(fleet, os.environ.get("TROUBLE", "1") != "0")
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"cannot run: {error!r}")
        fleet.record.add("cannot-run", error=repr(error))
        return CANNOT_RUN
    finally:
        await fleet.close()
    for reason in broken:
        print(reason)
    print("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
