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

# For as many objects in memory as a host has, which garbage collections look at.
import oleanderroute.host.main  # noqa: F401
from oleanderroute.clock import SystemClock
from oleanderroute.decisions.store_history import UNNAMED_ERA, StoreRevision
from oleanderroute.host.api_keys import ApiKeys
from oleanderroute.host.configuration_queue import (
    MIN_STEPPED_BYTES,
    ConfigurationQueue,
)
from oleanderroute.host.model import StoreItem
from oleanderroute.host.routes import PrefixRoutes
from oleanderroute.platform import documents, headers

TOTAL_BYTES = 1_000_000
CHECKS = 20_000
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


class TimedFormats:
    """Decodes as the platform's documents do and times the steps.

    Attributes
    ----------
    taken_ms : list of float
        Processor time of each step.
    """

    decode_configuration = staticmethod(documents.decode_configuration)

    def __init__(self):
        self.taken_ms = []

    def decode_in_steps(self, value):
        """Decode a configuration; a generator that returns it."""
        steps = documents.decode_in_steps(value)
        while True:
            started_at = time.thread_time()
            try:
                next(steps)
            except StopIteration as end:
                return end.value
            finally:
                self.taken_ms.append(1000 * (time.thread_time() - started_at))
            yield


async def time_steps_ms(value, records):
    """Return the figures of one decoding in steps, in ms."""
    done = asyncio.Event()

    def on_decoded(found, item, source):
        if found.version == 1:
            return
        PrefixRoutes(found.routes)
        done.set()

    formats = TimedFormats()
    queue = ConfigurationQueue(
        formats, SystemClock(), on_decoded, lambda reason, *others: print(reason)
    )
    queue.submit(
        StoreItem("op/config", StoreRevision(UNNAMED_ERA, 1), document(1, [])), "store"
    )
    queue.submit(StoreItem("op/config", StoreRevision(UNNAMED_ERA, 2), value), "store")
    longest_s = 0.0
    last_at = time.perf_counter()
    while not done.is_set():
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest_s = max(longest_s, now - last_at)
        last_at = now
    return {
        "longest_step_ms": records[-1]["longest_step_ms"],
        "longest_step_cpu_ms": max(formats.taken_ms),
        "all_steps_cpu_ms": sum(formats.taken_ms),
        "longest_gap_ms": 1000 * longest_s,
    }


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
        "one usual workspace": lambda: [usual_workspace(0)],
        "smallest workspaces": lambda: many(smallest_workspace),
        "usual workspaces": lambda: many(usual_workspace),
        "one workspace with many keys": one_workspace,
        "routes and a workspace": lambda: [smallest_workspace(0), *many(plain_route)],
    }
    report = {}
    for name, make in kinds.items():
        value = document(2, make())
        report[name] = measure(value, rounds, records)
    print(json.dumps(report, indent=1))


def measure(value, rounds, records):
    """Return the figures of one configuration."""
    found = documents.decode_configuration(value)
    row = {
        "bytes": len(value),
        "workspaces": len(found.workspaces),
        "keys": len(found.workspace_by_key),
        "routes": len(found.routes),
        "key_check_us": round(key_check_us(found), 2),
    }
    row["at_once_ms"] = spread([time_at_once_ms(value) for _ in range(rounds)])
    if len(value) < MIN_STEPPED_BYTES:
        return row
    runs = [asyncio.run(time_steps_ms(value, records)) for _ in range(rounds)]
    for name in runs[0]:
        row[name] = spread([run[name] for run in runs])
    return row


if __name__ == "__main__":
    main()
