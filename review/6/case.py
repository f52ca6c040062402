"""Orders beside back ends that write the beginning of an earlier refusal again."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_2 import configuration, route, run_case  # noqa: E402

ZONES = ("mvd-a", "mvd-b", "mvd-c")
BACKENDS = 5
FAULTY = 3
# Back ends are full now and then.
FULL_SHARE = "0.05"
SPOILED_SHARE = "0.03"
ORDERS_PER_S = 90
LENGTH_S = 95.0


async def play(fleet, has_trouble):
    """Send orders and compare what clients were told with what ran."""
    await fleet.start_store()
    routes = [route("r-orden", "unsafe", "/order/", "pedidos")]
    await fleet.put("op/config", configuration(7, routes, ["pedidos"]))
    for number in range(BACKENDS):
        options = ["--full-share", FULL_SHARE]
        if has_trouble and number < FAULTY:
            options += ["--begin-again-share", SPOILED_SHARE]
        zone = ZONES[number % len(ZONES)]
        await fleet.start_backend(f"i-{number + 1}", "pedidos", zone, *options)
    await fleet.start_hosts(ZONES)
    answers = {}

    async def order(number):
        attempt_id = f"o{number:05d}"
        host = fleet.next_host()
        status, _, _ = await fleet.request(
            host, "POST", f"/order/{number}", attempt_id, b"sacks=2"
        )
        answers[attempt_id] = status

    tasks = []
    started_at = time.monotonic()
    for number in range(int(ORDERS_PER_S * LENGTH_S)):
        await asyncio.sleep(
            max(0.0, started_at + number / ORDERS_PER_S - time.monotonic())
        )
        tasks.append(asyncio.ensure_future(order(number)))
    await asyncio.gather(*tasks)
    return judge(fleet, answers)


def judge(fleet, answers):
    """Return the orders that ran twice, or ran though a refusal says they did not."""
    runs = Counter()
    places = {}
    for row in fleet.events():
        fleet.record.add(
            f"backend-{row['event']}",
            at=row["at"],
            backend=row["backend"],
            id=row.get("id", row.get("before", "-")),
        )
        if row["event"] == "runs":
            runs[row["id"]] += 1
            places.setdefault(row["id"], []).append(row["backend"])
    broken = []
    for attempt_id, count in runs.items():
        if count > 1:
            broken.append(f"TWICE {attempt_id} ran at {','.join(places[attempt_id])}")
    for attempt_id, status in answers.items():
        if status in (408, 421, 429, 503) and runs[attempt_id]:
            broken.append(f"REFUSED {attempt_id} answered {status}, ran")
    served = sum(status == 200 for status in answers.values())
    fleet.record.add("orders", sent=len(answers), served=served)
    return broken


run_case(Path(__file__).resolve().parent, play)
