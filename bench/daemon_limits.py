"""The highest rate and the memory of one real daemon.

    python -m bench.daemon_limits

Unlike ``bench.added_latency``, whose entry always uses one target without decisions,
this drives a daemon with its whole pipeline, in front of a target that answers at once.
It prints JSON.
"""

from contextlib import ExitStack

import orjson
import uvloop

from oleanderroute.entry.garbage_collection import tune_garbage_collector

from .added_latency import highest_rate, memory, start
from .fleet import REGION, LocalFleet
from .relays import run_target
from .routes import route

# More than the rates need, so that admission limits nothing.
SLOTS = 1000


class OneTargetFleet(LocalFleet):
    """Three daemons in front of one fast target.

    Parameters
    ----------
    stack : contextlib.ExitStack
    target_port : int
    """

    def __init__(self, stack, target_port):
        lookup = route("lookup", "GET", "/pedidos/stock/*", "pedidos")
        super().__init__(stack, {}, [lookup])
        self.target_port = target_port

    def declaration(self):
        """Return a declaration with the one target."""
        document = super().declaration()
        document["services"]["pedidos"] = {
            "region": REGION,
            "slots_per_target": SLOTS,
            "connections_per_target": SLOTS,
            "floor_slots": 1,
            "objective": {"success_share": 0.999, "latency_ms": 250},
            "targets": [
                {
                    "id": "pedidos-01",
                    "address": "127.0.0.1",
                    "port": self.target_port,
                    "failure_domain": self.failure_domains[0],
                }
            ],
        }
        return document


async def measure(ports, pid):
    """Return memory and highest rate of the daemon behind ``ports[1]``."""
    return {
        "memory": await memory(ports[1], pid),
        "highest_rate": await highest_rate(ports),
    }


def main():
    """Measure one daemon and print JSON."""
    target, target_port = start(run_target)
    with ExitStack() as stack:
        stack.callback(target.join)
        stack.callback(target.terminate)
        fleet = OneTargetFleet(stack, target_port)
        fleet.start()
        tune_garbage_collector()
        host = fleet.hosts[0]
        pid = fleet.daemons[host.host_id].pid
        report = uvloop.run(measure((target_port, host.caller_port), pid))
    print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
