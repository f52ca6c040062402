"""A host loses a configuration that a watcher leaves out of its announcement."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from case_fleet import CannotRun, configuration, route, run_case  # noqa: E402
from standin_backend import Backend  # noqa: E402

SERVICES = ("alpha", "beta")
# A lost packet of a TCP connection is sent again after this time at the least.
RETRANSMISSION_S = 0.2
CHANGE_AFTER_S = 0.12
BEAT_AFTER_S = 0.165
# stabilityWindowMs and configApplyMs of the settings.
STABILITY_S = 3.0
APPLY_S = 2.0
CHECK_FOR_S = 8.0
ROUNDS = 3


def routes(version):
    """Return the routes of a version: each one moves a route and renames another."""
    return [
        route("r-look", "safe", "/look/", "alpha"),
        route("r-order", "unsafe", "/order/", "alpha"),
        route("r-art", "upload", "/art/", "beta", timeoutMs=2000),
        route("r-stock", "safe", "/stock/", SERVICES[version % 2]),
        route(f"r-new-{version}", "safe", f"/new-{version}/", "beta"),
    ]


class Link:
    """The links between one zone and the store; one packet is lost on them.

    Attributes
    ----------
    is_armed : bool
        Whether the next watch of the zone loses a packet.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self.is_armed = False
        self.lost = asyncio.Event()

    def delay_call(self, path, address):
        """Return the delay of a call."""
        if path != "/kv-watch" or address not in self.addresses or not self.is_armed:
            return 0.0
        self.is_armed = False
        self.lost.set()
        return RETRANSMISSION_S


async def play(fleet, has_trouble):
    """Play the case; return the reasons why the rule was broken."""
    store = fleet.store
    store.put("op/config", configuration(1, routes(1), SERVICES))
    for number in range(6):
        service = SERVICES[number % 2]
        zone = "mvd-a" if number < 3 else "mvd-b"
        backend = Backend(
            store, f"i-{number}", service, fleet.address(100), zone, fleet.record
        )
        await backend.start()
    for name, zone in (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")):
        fleet.add_host(f"edge-{name}", f"mvd-{zone}")
    await fleet.start_hosts()
    await asyncio.sleep(8.0)
    zone_b = [host for host in fleet.hosts if host.zone == "mvd-b"]
    link = Link({host.store_address for host in zone_b})
    store.delay_call = link.delay_call
    broken = []
    for version in range(2, 2 + ROUNDS):
        if has_trouble:
            await lose_packet(fleet, link)
        await asyncio.sleep(CHANGE_AFTER_S)
        document = configuration(version, routes(version), SERVICES)
        revision = store.put("op/config", document)
        acknowledged_at = time.monotonic()
        fleet.record.add("acknowledged", version=version, revision=revision)
        await asyncio.sleep(BEAT_AFTER_S - CHANGE_AFTER_S)
        revision = backend.register(cold_ms=1500 * (version % 2))
        fleet.record.add("beat", backend=backend.backend_id, revision=revision)
        await asyncio.sleep(max(STABILITY_S, APPLY_S) + 1.0)
        broken += await check(fleet, version, acknowledged_at)
    return broken


async def lose_packet(fleet, link):
    """Wait until a watch call of the zone has lost a packet."""
    link.lost.clear()
    link.is_armed = True
    try:
        await asyncio.wait_for(link.lost.wait(), 10.0)
    except TimeoutError as error:
        raise CannotRun("no host of the zone watches the store") from error
    fleet.record.add("packet-lost", between="mvd-b and the store")


async def check(fleet, version, acknowledged_at):
    """Ask all hosts for what only the newest version allows."""
    broken = []
    ends_at = time.monotonic() + CHECK_FOR_S
    while time.monotonic() < ends_at:
        for host in fleet.hosts:
            passed_s = time.monotonic() - acknowledged_at
            told = f"version {version}, {passed_s:.1f} s: {host.name}"
            status, _, _ = await host.send("GET", f"/new-{version}/1")
            if status == 404:
                broken.append(f"{told} has no route /new-{version}/")
            status, _, content = await host.send("GET", "/stock/1")
            service = content.split(b" ")[0].decode()
            if status == 200 and service != SERVICES[version % 2]:
                broken.append(f"{told} sent /stock/ to {service}")
        await asyncio.sleep(1.0)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
