"""Orders beside back ends that answer with bytes that are no response."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_2 import configuration, route, run_case  # noqa: E402

ZONES = ("mvd-a", "mvd-b", "mvd-c")
BACKENDS = 4
FAULTY = 2
WRONG_SHARE = "0.02"
# Now and then a sound answer ends its connection.
CLOSE_SHARE = "0.15"
ORDERS_PER_S = 90
LENGTH_S = 95.0


async def play(fleet, has_trouble):
    """Send orders and look at the successes."""
    await fleet.start_store()
    routes = [route("r-orden", "unsafe", "/order/", "pedidos")]
    await fleet.put("op/config", configuration(7, routes, ["pedidos"]))
    for number in range(BACKENDS):
        options = ["--close-share", CLOSE_SHARE]
        if has_trouble and number < FAULTY:
            options += ["--wrong-share", WRONG_SHARE]
        zone = ZONES[number % len(ZONES)]
        await fleet.start_backend(f"i-{number + 1}", "pedidos", zone, *options)
    await fleet.start_hosts(ZONES)
    broken = []

    async def order(number):
        attempt_id = f"o{number:05d}"
        host = fleet.next_host()
        status, headers, content = await fleet.request(
            host, "POST", f"/order/{number}", attempt_id, b"sacks=2"
        )
        if 200 <= status < 300 and "x-response-seal" not in headers:
            broken.append(
                f"MIXED {attempt_id} answered {status} without seal: {content}"
            )

    tasks = []
    started_at = time.monotonic()
    for number in range(int(ORDERS_PER_S * LENGTH_S)):
        at = started_at + number / ORDERS_PER_S
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        tasks.append(asyncio.ensure_future(order(number)))
    await asyncio.gather(*tasks)
    for row in fleet.events():
        if row["event"] in ("runs", "wrong-bytes"):
            fleet.record.add(
                f"backend-{row['event']}",
                at=row["at"],
                backend=row["backend"],
                id=row["id"],
            )
    return broken


run_case(Path(__file__).resolve().parent, play)
