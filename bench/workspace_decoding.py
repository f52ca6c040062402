"""Measures how long large configurations with workspaces block the event loop.

Run ``python -m bench.workspace_decoding [--rounds N]``. It prints one JSON document.
Each configuration has one megabyte. ``at_once_ms`` is the time of a decoding without
steps. ``longest_step_ms`` is the longest time for which the decoding in steps keeps the
event loop, and ``longest_step_cpu_ms`` its processor time, which other processes of the
machine affect less. ``longest_gap_ms`` is the longest time between two turns of another
task meanwhile, which includes putting the configuration in force. ``key_check_us`` is
the time of the check of one request. Pairs are the least and the most of all rounds.
"""

import argparse
import asyncio
import json
import time
from types import SimpleNamespace

import orjson
from eliot import add_destinations

from oleanderroute.clock import SystemClock
from oleanderroute.host.api_keys import ApiKeys
from oleanderroute.host.configuration_queue import ConfigurationQueue
from oleanderroute.host.model import StoreItem
from oleanderroute.host.routes import PrefixRoutes
from oleanderroute.platform import documents, headers

TOTAL_BYTES = 1_000_000
CHECKS = 20_000
# Steps yield None.
END = object()
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1_000_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def resource(kind, name, spec):
    """Return a resource of a configuration."""
    return {"resourceType": kind, "metadata": {"name": name}, "spec": spec}


def smallest_workspace(number):
    """Return a workspace of the fewest bytes."""
    return resource("tenants", f"{number:x}", {"apiKeys": [f"{number:x}"]})


def usual_workspace(number):
    """Return a workspace with two keys and all limits."""
    keys = [f"key-{number:05d}-{part}-4f1c9a7be2d8" for part in ("a", "b")]
    spec = {"apiKeys": keys, "ratePerS": 20, "burstSize": 40, "priority": 1}
    return resource("tenants", f"workspace-{number:05d}", spec)


def plain_route(number):
    """Return a route."""
    spec = {
        "host": "shop.example",
        "prefix": f"/path-{number}/",
        "kind": "safe",
        "timeoutMs": 1500,
        "priority": 1,
        "service": "pedidos",
    }
    return resource("routes", f"route-{number}", spec)


def many(make):
    """Return as many resources of a kind as fit."""
    found = []
    size = 0
    while size < TOTAL_BYTES - 500:
        found.append(make(len(found)))
        size += len(orjson.dumps(found[-1])) + 1
    return found


def one_workspace():
    """Return one workspace with as many keys as fit."""
    return [resource("tenants", "a", {"apiKeys": [f"{n:06d}" for n in range(110_000)]})]


def document(version, resources):
    """Return the value of a configuration."""
    bounds = {"resourceType": "limits", "metadata": {}, "spec": LIMITS}
    return orjson.dumps(
        {"version": f"{version:08x}", "resources": [*resources, bounds]}
    )


def time_at_once_ms(value):
    """Return the milliseconds of a decoding without steps."""
    started_at = time.perf_counter()
    documents.decode_configuration(value)
    return 1000 * (time.perf_counter() - started_at)


def time_steps_cpu_ms(value):
    """Return the processor time of the longest step and of all steps, in ms."""
    taken = []
    steps = documents.decode_in_steps(value)
    is_open = True
    while is_open:
        started_at = time.thread_time()
        is_open = next(steps, END) is not END
        taken.append(1000 * (time.thread_time() - started_at))
    return max(taken), sum(taken)


async def time_steps_ms(value, records):
    """Return the longest step and the longest gap of another task, in ms."""
    done = asyncio.Event()

    def on_decoded(found, item, source):
        if found.version == 1:
            return
        PrefixRoutes(found.routes)
        done.set()

    queue = ConfigurationQueue(
        documents, SystemClock(), on_decoded, lambda reason, *others: print(reason)
    )
    queue.submit(StoreItem("op/config", 1, document(1, [])), "store")
    queue.submit(StoreItem("op/config", 2, value), "store")
    longest_s = 0.0
    last_at = time.perf_counter()
    while not done.is_set():
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest_s = max(longest_s, now - last_at)
        last_at = now
    return records[-1]["longest_step_ms"], 1000 * longest_s


def key_check_us(configuration):
    """Return the microseconds of the check of one request."""
    view = SimpleNamespace(configuration=configuration)
    api_keys = ApiKeys(view, headers, SystemClock())
    route = SimpleNamespace(authority="shop.example", is_key_exempt=False)
    key = next(iter(configuration.workspace_by_key))
    sent = [(b"host", b"shop.example"), (b"authorization", b"Bearer " + key)]
    sent += [(b"x-header-%d" % number, b"value") for number in range(10)]
    started_at = time.perf_counter()
    for _ in range(CHECKS):
        api_keys.check(sent, route)
    return 1e6 * (time.perf_counter() - started_at) / CHECKS


def spread(values):
    """Return the least and the most of some values, rounded."""
    return [round(min(values), 1), round(max(values), 1)]


def main():
    """Measure all kinds of configurations."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    records = []
    add_destinations(records.append)
    kinds = {
        "one usual workspace": [usual_workspace(0)],
        "smallest workspaces": many(smallest_workspace),
        "usual workspaces": many(usual_workspace),
        "one workspace with many keys": one_workspace(),
        "routes and a workspace": [smallest_workspace(0), *many(plain_route)],
    }
    report = {}
    for name, resources in kinds.items():
        value = document(2, resources)
        found = documents.decode_configuration(value)
        row = {
            "bytes": len(value),
            "workspaces": len(found.workspaces),
            "keys": len(found.workspace_by_key),
            "routes": len(found.routes),
            "key_check_us": round(key_check_us(found), 2),
        }
        at_once = [time_at_once_ms(value) for _ in range(rounds)]
        row["at_once_ms"] = spread(at_once)
        if len(value) > TOTAL_BYTES / 2:
            steps = []
            gaps = []
            longest_cpu = []
            all_cpu = []
            for _ in range(rounds):
                step_ms, gap_ms = asyncio.run(time_steps_ms(value, records))
                steps.append(step_ms)
                gaps.append(gap_ms)
                longest_ms, sum_ms = time_steps_cpu_ms(value)
                longest_cpu.append(longest_ms)
                all_cpu.append(sum_ms)
            row["longest_step_ms"] = spread(steps)
            row["longest_step_cpu_ms"] = spread(longest_cpu)
            row["all_steps_cpu_ms"] = spread(all_cpu)
            row["longest_gap_ms"] = spread(gaps)
        report[name] = row
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
