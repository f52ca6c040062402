"""All hosts are killed at the same moment while the back ends are full."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_2 import configuration, route, run_case  # noqa: E402

ZONES = ("mvd-a", "mvd-a", "mvd-b", "mvd-b", "mvd-c", "mvd-c")
BACKENDS = 12
REQUESTS_PER_S = 120
# The bounds of the settings.
RATIO = 0.2
WINDOW_S = 10.0
ALLOWANCE = 58
# The back ends turn away this share of the requests.
FULL_SHARE = 0.55
FULL_S = 8.5
WARM_S = 22.0
KILL_S = 2.8
DARK_S = 0.3
TAIL_S = 12.0


async def play(fleet, has_trouble):
    """Send requests before, while and after the back ends are full."""
    await fleet.start_store()
    routes = [
        route("r-orden", "unsafe", "/order/", "pedidos", maxAttempts=3),
        route("r-consulta", "safe", "/look/", "pedidos", maxAttempts=3),
    ]
    await fleet.put("op/config", configuration(7, routes, ["pedidos"]))
    for number in range(BACKENDS):
        zone = ZONES[2 * (number % 3)]
        await fleet.start_backend(f"i-{number + 1}", "pedidos", zone)
    await fleet.start_hosts(ZONES)
    sent = {}

    async def send_requests():
        for number in itertools.count(1):
            host = fleet.next_host()
            if host is not None:
                attempt_id = f"r{number:05d}"
                sent[attempt_id] = time.monotonic()
                method, path, body = "POST", f"/order/{number}", b"sacks=2"
                if number % 3 == 0:
                    method, path, body = "GET", f"/look/{number}", b""
                work = fleet.request(host, method, path, attempt_id, body)
                tasks.append(asyncio.ensure_future(work))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def set_full(share):
        for backend_id in fleet.backends:
            await fleet.call_backend(backend_id, f"/control/full/{share}")
        fleet.record.add("back-ends-full", share=share)

    tasks = [asyncio.ensure_future(send_requests())]
    await asyncio.sleep(WARM_S)
    full_at = time.monotonic()
    await set_full(FULL_SHARE)
    await asyncio.sleep(KILL_S)
    if has_trouble:
        for host in fleet.hosts:
            fleet.signal_host(host, signal.SIGKILL)
        await asyncio.sleep(DARK_S)
        for host in fleet.hosts:
            fleet.start_host(host)
    await asyncio.sleep(max(0.0, full_at + FULL_S - time.monotonic()))
    await set_full(0.0)
    await asyncio.sleep(TAIL_S)
    for task in tasks:
        task.cancel()
    return judge(fleet, sent)


def judge(fleet, sent):
    """Return the windows with more repeated arrivals than the rule allows."""
    seen = set()
    repeats = []
    for row in fleet.events():
        if row["event"] != "arrived":
            continue
        if row["id"] in seen:
            repeats.append(row["at"])
        seen.add(row["id"])
    asked = sorted(sent.values())

    def count(moments, start, end):
        return sum(start < moment <= end for moment in moments)

    broken = []
    most = (0.0, 0, 0)
    for end in repeats:
        start = end - WINDOW_S
        requests = max(
            count(asked, start - shift, end - shift)
            for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        limit = RATIO * requests + ALLOWANCE
        found = count(repeats, start, end)
        most = max(most, (found / limit, found, limit))
        if found > limit:
            broken.append(f"BUDGET {found} repeats in 10 s, {limit:.0f} allowed")
    fleet.record.add("worst-window", repeats=most[1], allowed=round(most[2], 1))
    return broken


run_case(Path(__file__).resolve().parent, play)
