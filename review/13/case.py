"""After the store has come back from an older copy, hosts ignore what it says."""

import time
from pathlib import Path

import fleet as kit

APPLY_S = 2.0
IN_TOUCH_S = 3.0
AWAY_S = 1.0
HEARTBEAT_S = 1.0
# Heartbeats of the targets between the copy and the drill.
HEARTBEATS = 3
TARGETS = 10
HOSTS = ("edge-1", "edge-2", "edge-3")
ORDERS = 30


def check(fleet, has_trouble):
    """Run a drill, write again what was written, then move a route."""
    services = ["pedidos", "disenos"]

    def configure(version, service):
        routes = [kit.route("r-order", "unsafe", "/order/", service)]
        fleet.put("op/config", kit.configuration(version, routes, services))
        fleet.note("acknowledged", version=version, orders_go_to=service)

    targets = []
    for number in range(TARGETS):
        targets.append(fleet.add_target(f"i-{number}", services[number % 2]))

    def beat(cold_ms):
        for target in targets:
            entry = target.entry()
            entry["status"]["coldRemainingMs"] = cold_ms
            fleet.put(f"servers/{target.target_id}", entry)

    configure(1, "pedidos")
    for number, name in enumerate(HOSTS, 11):
        fleet.start_host(name, number, wait=False)
    for name in HOSTS:
        fleet.wait_until(lambda name=name: fleet.is_ready(name), f"{name} is ready")
    time.sleep(2.0)
    if has_trouble:
        kit.call(fleet.store_port, "POST", "/control", {"keep": True})
        fleet.note("copy")
    for number in range(HEARTBEATS):
        beat(1000 * (HEARTBEATS - number))
        time.sleep(HEARTBEAT_S)
    if has_trouble:
        kit.call(fleet.store_port, "POST", "/control", {"away_s": AWAY_S})
        fleet.note("drill", away_s=AWAY_S)
        time.sleep(0.5)
        configure(1, "pedidos")
    beat(0)
    time.sleep(IN_TOUCH_S + 1.0)
    configure(2, "disenos")
    acknowledged_at = time.monotonic()
    time.sleep(APPLY_S + 0.5)
    stale = []
    for number in range(ORDERS):
        for name in HOSTS:
            attempt_id = f"{name}-{number:03d}"
            status, content = fleet.send(name, "POST", f"/order/{number}", attempt_id)
            service = "pedidos" if b"of pedidos ran" in content else "disenos"
            fleet.note("answer", id=attempt_id, status=status, run_by=service)
            if status == 200 and service == "pedidos":
                stale.append(attempt_id)
        time.sleep(0.05)
    after_s = time.monotonic() - acknowledged_at
    fleet.note("stale", count=len(stale), until_s=round(after_s, 1))
    if not stale:
        return []
    total = ORDERS * len(HOSTS)
    return [
        f"{len(stale)} of {total} orders ran at the service of version 1, {APPLY_S} to "
        f"{after_s:.1f} s after version 2 was acknowledged"
    ]


if __name__ == "__main__":
    kit.finish(Path(__file__).parent, check)
