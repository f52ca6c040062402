"""Measures what the burn ledger costs: ``python -m bench.burn``.

Prints one JSON line: CPU time of one ``BurnLedger.record``, and the bytes of one
service and request class, new and at its bound (both latency periods and the most
spenders).
"""

import json
import os
import time
import timeit
import tracemalloc
from types import SimpleNamespace

from oleanderroute.clock import SystemClock
from oleanderroute.decisions.verdict import Restraint
from oleanderroute.declaration.model import Objective
from oleanderroute.entry.messages import CallerAnswer
from oleanderroute.operator.blame import Spender, SpenderKind
from oleanderroute.operator.burn import LATENCY_PERIOD_S, BurnLedger, ClassBurn
from oleanderroute.outcome import Attempt, AttemptKind, CallerOutcome, RequestClass

CALLS = 100_000
REPEATS = 7
CLASSES = 50
SERVICE = SimpleNamespace(objective=Objective(0.999, 250), depends_on=())


def fake_context():
    """Return what the ledger reads of a request."""
    view = SimpleNamespace(
        reason=SimpleNamespace(restraint=Restraint.NONE),
        target=SimpleNamespace(failure_domain="a"),
    )
    router = SimpleNamespace(views={"t-1": view})
    attempt = Attempt("t-1", RequestClass.QUICK, AttemptKind.ERROR_STATUS, 0.01)
    return SimpleNamespace(
        route=SimpleNamespace(service="shop", request_class=RequestClass.QUICK),
        entry=SimpleNamespace(service=SERVICE, router=router),
        ended_attempts=[attempt],
    )


def record_us(status):
    """Return the CPU time of one record in microseconds, the best of the repeats."""
    ledger = BurnLedger(SystemClock())
    context = fake_context()
    answer = CallerAnswer(status, [], b"", CallerOutcome.ANSWERED, "ok")
    times = timeit.repeat(
        lambda: ledger.record(context, answer, 0.0123),
        number=CALLS,
        repeat=REPEATS,
        timer=time.process_time,
    )
    return round(min(times) / CALLS * 1e6, 2)


def class_bytes(is_full):
    """Return the bytes that one service and request class takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    classes = [ClassBurn(SERVICE, 0.0) for _ in range(CLASSES)]
    if is_full:
        for one in classes:
            fill(one)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) // CLASSES


def fill(burn):
    """Bring a class to its bound."""
    for step in range(2):
        for number in range(1000):
            cause = f"cause-{step}-{number}"
            burn.spend(Spender(SpenderKind.TARGET, "t-1", "a", cause))
        burn.follow_time(LATENCY_PERIOD_S * (step + 1) + 1.0)


def main():
    """Print the figures."""
    figures = {
        "good_us": record_us(200),
        "bad_us": record_us(500),
        "new_class_bytes": class_bytes(False),
        "full_class_bytes": class_bytes(True),
        "load_average": os.getloadavg()[0],
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
