"""A request that crashes back ends comes again while the hosts restart in turn."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_2 import STABILITY_S, configuration, route, run_case  # noqa: E402

ZONES = ("mvd-a",) * 3 + ("mvd-b",) * 3 + ("mvd-c",) * 3
BACKENDS = 8
# A crashed back end is back after this time, as a new incarnation with a new id.
BACK_S = 2.0
# The store removes the entry of a crashed back end after three heartbeats.
EXPIRY_S = 4.5
POISON = "/order/poison/1"
POISON_PAUSE_S = 0.6
ORDERS_PER_S = 20
QUIET_S = 8.0
GAP_S = 2.0
TAIL_S = 8.0
# Arrivals that the rule allows after the third crash and the stability window.
MAX_RETRIES = 3


async def keep_backends(fleet):
    """Start a new incarnation for each back end that has crashed."""
    numbers = itertools.count(BACKENDS + 1)
    seen = set()
    tasks = []

    async def replace(backend_id, zone):
        crashed_at = time.monotonic()
        await asyncio.sleep(BACK_S)
        await fleet.start_backend(f"i-{next(numbers)}", "pedidos", zone)
        await asyncio.sleep(max(0.0, crashed_at + EXPIRY_S - time.monotonic()))
        await fleet.remove(f"servers/{backend_id}")

    while True:
        for number, (backend_id, process) in enumerate(list(fleet.backends.items())):
            if backend_id not in seen and process.poll() is not None:
                seen.add(backend_id)
                fleet.record.add("backend-crashed", id=backend_id)
                zone = ZONES[3 * (number % 3)]
                tasks.append(asyncio.ensure_future(replace(backend_id, zone)))
        await asyncio.sleep(0.02)


async def play(fleet, has_trouble):
    """Send the request again and again, and restart the hosts one after the other."""
    await fleet.start_store()
    routes = [route("r-orden", "unsafe", "/order/", "pedidos")]
    await fleet.put("op/config", configuration(7, routes, ["pedidos"]))
    for number in range(BACKENDS):
        zone = ZONES[3 * (number % 3)]
        await fleet.start_backend(f"i-{number + 1}", "pedidos", zone)
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

    tasks = [asyncio.ensure_future(keep_backends(fleet))]
    tasks.append(asyncio.ensure_future(send("o", "/order/9", 1 / ORDERS_PER_S)))
    await asyncio.sleep(STABILITY_S)
    tasks.append(asyncio.ensure_future(send("p", POISON, POISON_PAUSE_S)))
    await asyncio.sleep(QUIET_S)
    for host in fleet.hosts:
        if has_trouble:
            fleet.signal_host(host, signal.SIGTERM)
            await fleet.ended(host)
            fleet.start_host(host)
            await fleet.wait_until(lambda: not host.in_rotation)  # noqa: B023
            await fleet.wait_until(lambda: host.in_rotation)  # noqa: B023
        else:
            await asyncio.sleep(5.0)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(TAIL_S)
    for task in tasks:
        task.cancel()
    return judge(fleet, hosts_of)


def judge(fleet, hosts_of):
    """Return the arrivals of the request that the rule does not allow."""
    arrivals = []
    for row in fleet.events():
        if row.get("path") == POISON and row["event"] in ("arrived", "runs"):
            fleet.record.add(
                f"poison-{row['event']}",
                at=row["at"],
                backend=row["backend"],
                id=row["id"],
                host=hosts_of[row["id"]].name,
            )
    crashes = [row for row in fleet.events() if is_crash(row)]
    fleet.record.add("crashes", count=len(crashes))
    if len(crashes) < 3:
        return []
    since = crashes[2]["at"] + STABILITY_S
    for row in fleet.events():
        if row.get("path") != POISON or row["event"] != "arrived":
            continue
        host = hosts_of[row["id"]]
        if row["at"] > since and host.is_in_touch(row["at"]):
            arrivals.append(
                f"BUDGET {row['id']} reached {row['backend']} by {host.name}"
            )
    fleet.record.add("retries-that-count", count=len(arrivals))
    return arrivals if len(arrivals) > MAX_RETRIES else []


def is_crash(row):
    """Tell whether an event is the start of a run that crashes the back end."""
    return row.get("path") == POISON and row["event"] == "runs"


run_case(Path(__file__).resolve().parent, play)
