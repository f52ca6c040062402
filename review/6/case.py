"""A request that crashes back ends silently comes again and again."""

import asyncio
import itertools
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_2 import STABILITY_S, configuration, route, run_case  # noqa: E402

ZONES = ("mvd-a", "mvd-b", "mvd-c")
BACKENDS = 20
# A crashed back end is back after this time, as a new incarnation with a new id.
BACK_S = 3.0
# The store removes the entry of a crashed back end after three heartbeats.
EXPIRY_S = 4.5
POISON = "/order/poison/1"
POISON_PAUSE_S = 1.0
ORDERS_PER_S = 20
LENGTH_S = 35.0
# Connections that fill the queue of a listener whose process is stopped, so that it
# answers no further ones, like a machine without power.
QUEUE_FILL = 4
# Arrivals that the rule allows after the third crash and the stability window.
MAX_RETRIES = 3


def fill_queue(port):
    """Open connections to a stopped process; return the sockets."""
    sockets = []
    for _ in range(QUEUE_FILL):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
        sockets.append(sock)
    return sockets


class Crashes:
    """Replaces the back ends that have crashed.

    Parameters
    ----------
    fleet : Fleet
    options : tuple of str
        For all back ends.
    """

    def __init__(self, fleet, options):
        self.fleet = fleet
        self.options = options
        self.numbers = itertools.count(1)
        self.seen = set()
        self.tasks = []

    async def start_backend(self):
        """Start one more back end."""
        number = next(self.numbers)
        zone = ZONES[number % len(ZONES)]
        await self.fleet.start_backend(f"i-{number}", "pedidos", zone, *self.options)

    async def watch(self):
        """Look for crashes until cancelled."""
        while True:
            for backend_id in list(self.fleet.backends):
                if backend_id in self.seen:
                    continue
                if any(is_crash(row) for row in self.fleet.output(backend_id)):
                    self.seen.add(backend_id)
                    work = self.replace(backend_id)
                    self.tasks.append(asyncio.ensure_future(work))
            await asyncio.sleep(0.02)

    async def replace(self, backend_id):
        """End what is left of a crashed back end, and start another one."""
        crashed_at = time.monotonic()
        self.fleet.record.add("backend-crashed", id=backend_id)
        process = self.fleet.backends[backend_id]
        sockets = []
        if process.poll() is None:
            sockets = fill_queue(self.fleet.ports[backend_id])
        await asyncio.sleep(BACK_S)
        process.kill()
        for sock in sockets:
            sock.close()
        await self.start_backend()
        await asyncio.sleep(max(0.0, crashed_at + EXPIRY_S - time.monotonic()))
        await self.fleet.remove(f"servers/{backend_id}")


async def play(fleet, has_trouble):
    """Send the request each second, and orders beside it."""
    await fleet.start_store()
    routes = [route("r-orden", "unsafe", "/order/", "pedidos")]
    await fleet.put("op/config", configuration(7, routes, ["pedidos"]))
    crashes = Crashes(fleet, ("--crash", "dark" if has_trouble else "exit"))
    for _ in range(BACKENDS):
        await crashes.start_backend()
    await fleet.start_hosts(ZONES)
    hosts_of = {}

    async def send(prefix, path, pause_s):
        for number in itertools.count(1):
            host = fleet.next_host()
            if host is not None:
                attempt_id = f"{prefix}{number:05d}"
                hosts_of[attempt_id] = host
                work = fleet.request(host, "POST", path, attempt_id, b"sacks=2")
                tasks.append(asyncio.ensure_future(work))
            await asyncio.sleep(pause_s)

    tasks = [asyncio.ensure_future(crashes.watch())]
    tasks.append(asyncio.ensure_future(send("o", "/order/9", 1 / ORDERS_PER_S)))
    await asyncio.sleep(STABILITY_S)
    tasks.append(asyncio.ensure_future(send("p", POISON, POISON_PAUSE_S)))
    await asyncio.sleep(LENGTH_S)
    for task in (*tasks, *crashes.tasks):
        task.cancel()
    return judge(fleet, hosts_of)


def judge(fleet, hosts_of):
    """Return the arrivals of the request that the rule does not allow."""
    rows = [row for row in fleet.events() if row.get("path") == POISON]
    for row in rows:
        fleet.record.add(
            f"poison-{row['event']}",
            at=row["at"],
            backend=row["backend"],
            id=row["id"],
            host=hosts_of[row["id"]].name,
        )
    crashes = [row for row in rows if is_crash(row)]
    fleet.record.add("crashes", count=len(crashes))
    if len(crashes) < 3:
        return []
    since = crashes[2]["at"] + STABILITY_S
    retries = []
    for row in rows:
        host = hosts_of[row["id"]]
        if row["event"] != "arrived" or row["at"] <= since:
            continue
        if host.is_in_touch(row["at"]):
            retries.append(
                f"BUDGET {row['id']} reached {row['backend']} by {host.name}"
            )
    fleet.record.add("retries-that-count", count=len(retries))
    return retries if len(retries) > MAX_RETRIES else []


def is_crash(row):
    """Tell whether an event is the start of a run that crashes the back end."""
    return row.get("path") == POISON and row["event"] == "runs"


run_case(Path(__file__).resolve().parent, play)
