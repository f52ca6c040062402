"""Restarts, store troubles and changes on a fleet of real hosts, judged by callers.

Run it as ``python -m bench.fleet_moves --root FOLDER``. The folder holds the code of
the hosts, of this version or an earlier one; the store, the targets and the callers are
of this version. It prints the moves, and what callers got that they should not.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web

ROOT = Path(__file__).resolve().parent.parent
AUTHORITY = "shop.example"
STORE_PORT, GOSSIP_PORT = 27640, 27641
CALLER_PORT, READY_PORT, CONTROL_PORT = 27642, 27643, 27644
TARGET_PORT = 27700
SERVICES = ("emprestimo", "arquivo")
FIXED_ROUTES, MOVED_ROUTES = 60, 6
# Bounds of the users' pages.
APPLY_S, STABLE_S, DRAIN_S = 2.0, 3.0, 2.0
ASK_PAUSE_S = 0.4
REQUEST_TIMEOUT_S = 3.0
WORK_S = 0.01
RESTART_S = (0.05, 0.6)
ROUND_S = 7.0
WRITTEN_AGAIN_S = (0.3, 1.2)
# Three heartbeats of a target, after which its entry lapses.
LAPSE_S = 4.5
REFUSAL_STATUSES = range(400, 405)
MOVES = ("one", "some", "domain", "all", "hubs", "late", "lost", "compact", "drill")


@dataclass
class Findings:
    """What callers got that they should not, by kind."""

    older: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    left: Counter = field(default_factory=Counter)
    answers: Counter = field(default_factory=Counter)
    examples: list = field(default_factory=list)

    def add(self, kind, place, detail):
        """Count a case and keep some examples."""
        getattr(self, kind)[place] += 1
        if len(self.examples) < 12:
            self.examples.append(f"{kind} {place}: {detail}")


class Targets:
    """Targets in this process, each on a port of its own."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.entries = {}
        self.left_at = {}
        self.next_number = 0

    async def add(self, service):
        """Start and register a target."""
        target_id = f"i-{self.next_number:04d}"
        port = TARGET_PORT + self.next_number
        self.next_number += 1

        async def answer(request):
            return await self.answer(request, target_id, service)

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.fleet.stack.push_async_callback(runner.cleanup)
        self.entries[target_id] = {
            "address": f"127.0.0.1:{port}",
            "info": {"service": service, "version": "v1", "zone": "z0", "slots": 4},
            "status": {"state": "ready", "seqNo": 1, "coldRemainingMs": 0},
            "born": int(time.time() * 1000),
        }
        await self.write(target_id)

    async def answer(self, request, target_id, service):
        """Run a request and note it if this target had left."""
        left_at = self.left_at.get(target_id)
        if left_at is not None:
            late_s = time.monotonic() - left_at - DRAIN_S
            if late_s > 0.0 and not request.path.startswith("/health"):
                host = request.headers.get("X-Attempt-Id", "").partition("~")[0]
                detail = f"{target_id} by {host}, {late_s:.1f} s late"
                self.fleet.findings.add("left", self.fleet.place_of(host), detail)
        await asyncio.sleep(WORK_S)
        headers = {
            "X-Attempt-Id": request.headers.get("X-Attempt-Id", ""),
            "X-Response-Seal": "standin",
            "X-Ran-At": service,
        }
        return web.Response(text=service, headers=headers)

    async def write(self, target_id):
        """Write the entry of a target."""
        await self.fleet.put(f"servers/{target_id}", self.entries[target_id])

    async def leave(self, target_id, is_announced):
        """Let a target drain, or remove its entry."""
        self.left_at[target_id] = float("inf")
        if is_announced:
            status = self.entries[target_id]["status"]
            status |= {"state": "draining", "seqNo": status["seqNo"] + 1}
            await self.write(target_id)
        else:
            del self.entries[target_id]
            await self.fleet.remove(f"servers/{target_id}")
        self.left_at[target_id] = time.monotonic()


class MovedFleet:
    """Hosts, store, targets and callers.

    Parameters
    ----------
    root : Path
        The code of the hosts.
    sizes : list of int
        Hosts of each failure domain.
    moves : list of str
        Out of `MOVES`.
    beside : Path or None
        Code of each third host, during an upgrade.
    """

    def __init__(self, root, sizes, moves, beside, seed, stack):
        self.root = root
        self.beside = beside
        self.moves = moves
        self.stack = stack
        self.rng = random.Random(seed)
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.findings = Findings()
        self.targets = Targets(self)
        self.hosts = {}
        for domain, size in enumerate(sizes):
            for number in range(size):
                self.hosts[f"edge-{domain}-{number}"] = f"127.2.{domain}.{number + 1}"
        self.processes = {}
        self.started_at = {}
        self.disturbed_at = float("-inf")
        self.version = 0
        # When each version was acknowledged.
        self.acknowledged = {}
        self.service_by_route = {}
        self.is_over = False

    async def run(self, rounds):
        """Start all, play the rounds and stop."""
        connector = TCPConnector(limit=0, force_close=True)
        timeout = ClientTimeout(total=REQUEST_TIMEOUT_S)
        self.session = await self.stack.enter_async_context(
            ClientSession(connector=connector, timeout=timeout)
        )
        arguments = ["standins.metastore", "--port", str(STORE_PORT)]
        await self.start_process("store", ROOT, arguments, {})
        await self.until_store_answers()
        for number in range(36):
            await self.targets.add(SERVICES[number >= 30])
        await self.write_version()
        await asyncio.gather(*(self.start_host(host_id) for host_id in self.hosts))
        await self.until_ready()
        callers = [asyncio.ensure_future(self.ask(host)) for host in self.hosts]
        for number in range(rounds):
            await self.play_round(number)
        self.is_over = True
        await asyncio.gather(*callers)

    async def start_process(self, name, root, module, environment):
        """Start a Python module from a folder of code."""
        output = self.stack.enter_context((self.folder / f"{name}.out").open("ab"))
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *module,
            cwd=root,
            env={**os.environ, "PYTHONPATH": str(root), **environment},
            stdout=output,
            stderr=output,
        )

    async def start_host(self, host_id):
        """Start a host, or start it again with an empty memory."""
        path = self.folder / f"{host_id}.conf"
        path.write_text(self.settings_of(host_id))
        environment = {"OLEANDERROUTE_NODE_FILE": str(path)}
        self.started_at[host_id] = float("inf")
        root = self.beside if self.is_beside(host_id) else self.root
        module = ["oleanderroute.host.main"]
        await self.start_process(host_id, root, module, environment)
        self.started_at[host_id] = time.monotonic()

    def is_beside(self, host_id):
        """Tell whether a host runs the other version."""
        return self.beside is not None and int(host_id.split("-")[2]) % 3 == 0

    def settings_of(self, host_id):
        """Return the settings file of a host."""
        address = self.hosts[host_id]
        seeds = [f"{x}:{CONTROL_PORT}" for x in list(self.hosts.values())[:3]]
        domain = host_id.split("-")[1]
        lines = [
            f"nodeName={host_id}",
            f"zone=z{domain}",
            "region=sul-br",
            f"listen.front={address}:{CALLER_PORT}",
            f"listen.ready={address}:{READY_PORT}",
            f"listen.control={address}:{CONTROL_PORT}",
            f"internalPortRange={GOSSIP_PORT},{GOSSIP_PORT}",
            f"seeds={','.join(seeds)}",
            f"platform.address=127.0.0.1:{STORE_PORT}",
            "platform.ttlMinMs=1000",
            "platform.writesPerS=400",
            "limits.memoryMb=300",
            "limits.linkMbps=1000.0",
            "bounds=graceS=6,budgetRatio=0.2,retrySlack=62,budgetWindowS=10",
        ]
        return "\n".join(lines) + "\n"

    async def restart_host(self, host_id):
        """Kill a host and start it again after a pause, unless another move does so."""
        if self.started_at[host_id] == float("inf"):
            return
        process = self.processes[host_id]
        self.started_at[host_id] = float("inf")
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        await self.start_host(host_id)

    def kill_all(self):
        """End all processes that this run started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()

    # The store

    async def call_store(self, method, path, body=None):
        """Call the store; it may be away for a while."""
        url = f"http://127.0.0.1:{STORE_PORT}{path}"
        while True:
            try:
                async with self.session.request(method, url, json=body) as answer:
                    return await answer.json()
            except (ClientError, TimeoutError, OSError):
                await asyncio.sleep(0.05)

    async def put(self, key, document):
        """Write an item."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.call_store(
            "POST", "/kv-txn", {"puts": [{"key": key, "value": value}]}
        )

    async def remove(self, key):
        """Remove an item."""
        await self.call_store("POST", "/kv-txn", {"remove": [key]})

    async def until_store_answers(self):
        """Wait for the store."""
        await self.call_store("GET", "/kv-range?prefix=op/")

    async def until_ready(self):
        """Wait until all hosts are ready."""
        for address in self.hosts.values():
            while not await self.is_ready(address):
                await asyncio.sleep(0.1)

    async def is_ready(self, address):
        """Tell whether a host says that it is ready."""
        url = f"http://{address}:{READY_PORT}/readiness"
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    # Changes

    async def write_version(self):
        """Write the next version: it moves some routes and adds one."""
        self.version += 1
        services = {}
        for number in range(FIXED_ROUTES):
            services[f"fixed-{number}"] = SERVICES[0]
        for number in range(MOVED_ROUTES):
            services[f"moved-{number}"] = SERVICES[(number + self.version) % 2]
        for number in range(1, self.version + 1):
            services[f"added-{number}"] = SERVICES[0]
        self.service_by_route[self.version] = services
        await self.put("op/config", self.document_of(self.version))
        self.acknowledged[self.version] = time.monotonic()

    def document_of(self, version):
        """Return the operator's configuration."""
        resources = []
        for name, service in self.service_by_route[version].items():
            spec = {
                "host": AUTHORITY,
                "prefix": f"/{name}/",
                "kind": "safe",
                "timeoutMs": 2500,
                "targetLatencyMs": 800,
                "priority": 1,
                "maxAttempts": 2,
                "service": service,
            }
            resources.append(resource("routes", name, spec))
        for name in SERVICES:
            spec = {"healthPath": "/health", "maxConnections": 390}
            resources.append(resource("services", name, spec))
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        resources.append(resource("limits", "limits", limits))
        return {"version": f"{version:08x}", "resources": resources}

    async def change(self):
        """Write a version while several targets leave and come."""
        await asyncio.sleep(self.rng.uniform(0.0, 0.6))
        await self.write_version()
        ready = [x for x in self.targets.entries if x not in self.targets.left_at]
        for target_id in self.rng.sample(ready, 4):
            service = self.targets.entries[target_id]["info"]["service"]
            await self.targets.leave(target_id, self.rng.random() < 0.5)
            await self.targets.add(service)

    # Moves

    async def play_round(self, number):
        """Play one to three moves at once beside a change."""
        moves = self.rng.sample(self.moves, self.rng.choice((1, 1, 2, 3)))
        print(f"round {number}: {' and '.join(moves)}, version {self.version + 1}")
        jobs = [self.move(name) for name in moves]
        if "drill" not in moves:
            jobs.append(self.change())
        await asyncio.gather(*jobs)
        if "drill" in moves:
            await asyncio.sleep(4.0)
            await self.change()
        await asyncio.sleep(ROUND_S)

    async def move(self, name):
        """Play one move."""
        if name in ("late", "lost"):
            await self.trouble_store(name)
        elif name == "compact":
            self.disturbed_at = time.monotonic()
            await self.call_store("POST", "/control", {"compact": True})
        elif name == "drill":
            await self.drill()
        else:
            jobs = [self.restart_host(host_id) for host_id in self.chosen(name)]
            await asyncio.gather(*jobs)

    def chosen(self, name):
        """Return the hosts that a move restarts."""
        host_ids = list(self.hosts)
        if name == "one":
            return self.rng.sample(host_ids, 1)
        if name == "some":
            return self.rng.sample(host_ids, len(host_ids) // 4)
        if name == "all":
            return host_ids
        if name == "domain":
            domain = self.rng.choice(host_ids).rpartition("-")[0]
            return [x for x in host_ids if x.startswith(domain + "-")]
        return self.hubs()

    def hubs(self):
        """Return the hosts whose last line on that says that they are hubs."""
        found = []
        for host_id in self.hosts:
            is_hub = False
            for line in (self.folder / f"{host_id}.out").read_text().splitlines():
                if '"event":624' in line.replace(" ", ""):
                    is_hub = '"is_hub":true' in line.replace(" ", "")
            if is_hub:
                found.append(host_id)
        return found

    async def trouble_store(self, name):
        """Let answers of the store be late or get lost for some seconds."""
        share = self.rng.uniform(0.2, 0.5)
        self.disturbed_at = float("inf")
        await self.call_store("POST", "/control", {f"{name}_share": share})
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        await self.call_store("POST", "/control", {f"{name}_share": 0.0})
        self.disturbed_at = time.monotonic()

    async def drill(self):
        """Let the store come back from a copy some seconds old."""
        await self.call_store("POST", "/control", {"keep": True})
        await self.change()
        for target_id, entry in list(self.targets.entries.items()):
            entry["status"]["seqNo"] += 1
            entry["status"]["coldRemainingMs"] = self.rng.randrange(100)
            await self.targets.write(target_id)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.disturbed_at = float("inf")
        away_s = self.rng.uniform(0.3, 1.5)
        await self.call_store("POST", "/control", {"away_s": away_s})
        self.disturbed_at = time.monotonic()
        before = await self.count_calls()
        jobs = [self.write_again("op/config", self.document_of(self.version))]
        for target_id, entry in self.targets.entries.items():
            jobs.append(self.write_again(f"servers/{target_id}", entry))
        await asyncio.gather(*jobs)
        await asyncio.sleep(LAPSE_S)
        calls = await self.count_calls() - before
        print(f"  away {away_s:.1f} s; {calls} calls in about 6 s after its return")
        await self.let_entries_lapse()

    async def let_entries_lapse(self):
        """Remove the entries of targets that had left, which the copy brought back."""
        answer = await self.call_store("GET", "/kv-range?prefix=servers/")
        for item in answer["items"]:
            if item["key"].removeprefix("servers/") not in self.targets.entries:
                await self.remove(item["key"])

    async def write_again(self, key, document):
        """Write what was lost, at a time of its own."""
        await asyncio.sleep(self.rng.uniform(*WRITTEN_AGAIN_S))
        await self.put(key, document)

    async def count_calls(self):
        """Return the calls of the store, without the writes of this process."""
        calls = (await self.call_store("GET", "/control"))["calls"]
        return sum(count for name, count in calls.items() if name != "kv-txn")

    # Callers

    async def ask(self, host_id):
        """Ask a host all the time for routes that must be there."""
        rng = random.Random(host_id)
        number = 0
        await asyncio.sleep(rng.uniform(0.0, ASK_PAUSE_S))
        while not self.is_over:
            number += 1
            for kind in ("fixed", "moved", "added"):
                await self.ask_once(host_id, kind, number, rng)
            await asyncio.sleep(ASK_PAUSE_S)

    async def ask_once(self, host_id, kind, number, rng):
        """Send one request and judge its answer."""
        sent_at = time.monotonic()
        due = self.version_at(sent_at - APPLY_S)
        if kind == "fixed":
            route = f"fixed-{rng.randrange(FIXED_ROUTES)}"
        elif kind == "moved":
            route = f"moved-{rng.randrange(MOVED_ROUTES)}"
        else:
            route = f"added-{due}"
        headers = {
            "Host": AUTHORITY,
            "X-Attempt-Id": f"{host_id}~{kind}~{number}",
            "X-Deadline-Remaining": "2500",
        }
        url = f"http://{self.hosts[host_id]}:{CALLER_PORT}/{route}/x"
        try:
            async with self.session.get(url, headers=headers) as answer:
                status = answer.status
                service = answer.headers.get("X-Ran-At")
        except (ClientError, TimeoutError, OSError):
            self.findings.answers["none"] += 1
            return
        self.findings.answers[status] += 1
        self.judge(host_id, route, due, sent_at, status, service)

    def judge(self, host_id, route, due, sent_at, status, service):
        """Count an answer that no version in force allows."""
        place = self.place_of(host_id)
        detail = (
            f"{route} at {host_id}: {status} {service}, due {due} of {self.version}"
        )
        if status in REFUSAL_STATUSES:
            kind = "older" if route.startswith("added") else "refused"
            self.findings.add(kind, place, detail)
        if status != 200:
            return
        allowed = set()
        for version in range(due, self.version + 1):
            allowed.add(self.service_by_route[version].get(route))
        if service not in allowed:
            self.findings.add("older", place, detail)

    def version_at(self, at):
        """Return the newest version that was acknowledged before a time."""
        found = 1
        for version, acknowledged_at in self.acknowledged.items():
            if acknowledged_at <= at:
                found = max(found, version)
        return found

    def place_of(self, host_id):
        """Tell whether a host is in touch, and of which version."""
        if host_id in self.hosts and self.is_beside(host_id):
            return "the other version"
        calm_since = max(self.started_at.get(host_id, float("inf")), self.disturbed_at)
        is_calm = time.monotonic() - calm_since > STABLE_S
        return "in touch" if is_calm else "out of touch"

    def count_lines(self, number):
        """Return how many lines of an event the hosts have logged."""
        count = 0
        for host_id in self.hosts:
            text = (self.folder / f"{host_id}.out").read_text().replace(" ", "")
            count += text.count(f'"event":{number},') + text.count(
                f'"event":{number}}}'
            )
        return count


def resource(kind, name, spec):
    """Return one entry of the configuration."""
    return {"resourceType": kind, "metadata": {"name": name}, "spec": spec}


async def play(root, sizes, moves, beside, seed, rounds):
    """Play the rounds and print what callers got."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = MovedFleet(root, sizes, moves, beside, seed, stack)
        try:
            await fleet.run(rounds)
        finally:
            fleet.kill_all()
        found = fleet.findings
        print(f"answers: {dict(found.answers)}")
        print(f"older versions or 404 on added routes: {dict(found.older)}")
        print(f"400 to 404 on routes of all versions: {dict(found.refused)}")
        print(f"runs at targets that had left: {dict(found.left)}")
        for number in (631, 632, 628):
            print(f"lines {number}: {fleet.count_lines(number)}")
        for example in found.examples:
            print(f"  {example}")


@click.command()
@click.option("--root", type=click.Path(path_type=Path), default=ROOT)
@click.option("--hosts", default="16,16,12", help="Hosts of each failure domain.")
@click.option("--moves", default=",".join(MOVES), help="The moves to play.")
@click.option("--beside", type=click.Path(path_type=Path, resolve_path=True))
@click.option("--seed", default=1)
@click.option("--rounds", default=10)
def main(root, hosts, moves, beside, seed, rounds):
    """Play restarts, store troubles and changes on a fleet of real hosts."""
    sizes = [int(part) for part in hosts.split(",")]
    names = moves.split(",")
    asyncio.run(play(root.resolve(), sizes, names, beside, seed, rounds))


if __name__ == "__main__":
    main()
