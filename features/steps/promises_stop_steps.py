"""Steps on planned stops of daemons, targets and the platform."""

import hashlib
import os
import threading
import time
import uuid

from behave import given, then, when

from bench.fleet import ServicePlan
from features.support.http import send
from features.support.processes import eventually, load_report
from features.support.promise_fleet import WORKSPACE, note, shared_fleet

HOSTS = 6
# Of one failure domain, so that two of the three holders of each key remain.
STOPPED = ("host-6", "host-3")
SERVICE = "stopwork"
UPLOAD_PIECES = 50
PIECE_BYTES = 400_000
PIECE_PAUSE_S = 0.05
SLOW_ORDER_MS = 2000
# Errors of callers that found the port closed; nothing of theirs was in flight.
NOT_IN_FLIGHT = {"ClientConnectorError"}


@given("the promises_stop fleet")
def step_fleet(context):
    plans = {SERVICE: ServicePlan(4, 4)}
    context.fleet = shared_fleet(context, "stop", plans, HOSTS)


class Caller(threading.Thread):
    """Sends one request and keeps its answer, or the error in its place."""

    def __init__(self, port, method, path, body, headers):
        super().__init__(daemon=True)
        self.request = (port, method, path, body, headers)
        self.answer = None
        self.error = None

    def run(self):
        try:
            self.answer = send(*self.request).answer()
        except Exception as error:  # noqa: BLE001
            self.error = error


def slow_pieces(content):
    """Yield an upload so slowly that it lasts some seconds."""
    for start in range(0, len(content), PIECE_BYTES):
        time.sleep(PIECE_PAUSE_S)
        yield content[start : start + PIECE_BYTES]


@when("a promises_stop daemon is stopped during an upload and an order")
def step_stop_daemon(context):
    fleet = context.fleet
    host = fleet.host(STOPPED[0])
    content = os.urandom(UPLOAD_PIECES * PIECE_BYTES)
    context.digest = hashlib.sha256(content).hexdigest()
    context.order_headers = {
        "Idempotency-Key": str(uuid.uuid4()),
        "Oleander-Workspace": WORKSPACE,
        "X-Work-Ms": str(SLOW_ORDER_MS),
    }
    upload = {"Content-Length": str(len(content)), "X-Load-Id": "stop-upload"}
    port = host.caller_port
    path = f"/{SERVICE}"
    context.callers = [
        Caller(port, "PUT", f"{path}/art/heart", slow_pieces(content), upload),
        Caller(port, "POST", f"{path}/orders", b"2 sacks", context.order_headers),
    ]
    for caller in context.callers:
        caller.start()
    eventually(lambda: fleet.runs("stop-upload"))
    time.sleep(0.5)
    context.exit_code = fleet.daemon(host).stop()
    fleet.spoiled.add(host.host_id)
    for caller in context.callers:
        caller.join(10)


@then("both promises_stop requests completed and the daemon ended with 0")
def step_completed(context):
    told = []
    for caller in context.callers:
        told.append(caller.answer.status if caller.answer else repr(caller.error))
    upload = context.callers[0].answer
    arrived = bool(upload) and upload.headers.get("x-body-sha256") == context.digest
    note(context, told=told, upload_whole=arrived, exit_code=context.exit_code)
    assert told == [200, 200], told
    assert arrived
    assert context.exit_code == 0


@then("a promises_stop resend of the order gets the recorded answer")
def step_recorded(context):
    host = context.fleet.live_hosts()[0]
    path = f"/{SERVICE}/orders"
    answer = send(
        host.caller_port, "POST", path, b"2 sacks", context.order_headers
    ).answer()
    assert answer.headers.get("oleander-reason") == "recorded", answer


def stop_plan(fleet, seed):
    """Return a load of lookups, orders and uploads."""
    return {
        "entries": fleet.live_urls(),
        "ledgers": fleet.ledger_urls_of(SERVICE),
        "seed": seed,
        "workspace": WORKSPACE,
        "kinds": {
            "lookup": {"path": f"/{SERVICE}/stock/{{id}}", "deadline_ms": 2000},
            "order": {
                "path": f"/{SERVICE}/orders",
                "work_ms": 100,
                "deadline_ms": 3000,
            },
            "upload": {
                "method": "PUT",
                "path": f"/{SERVICE}/art/{{id}}",
                "work_ms": 300,
                "body_bytes": 2_000_000,
                "deadline_ms": 10_000,
            },
        },
        "resend": {"attempts": 4, "outcomes": ["not-run", "error"], "backoff_ms": 50},
        "phases": [
            {
                "duration_s": 8,
                "rate": 50,
                "mix": {"lookup": 6, "order": 3, "upload": 1},
            }
        ],
    }


@when("promises_stop load with seed {seed:d} meets stops of all kinds of processes")
def step_stop_all_kinds(context, seed):
    fleet = context.fleet
    load = context.processes.load(stop_plan(fleet, seed))
    time.sleep(1)
    daemon = fleet.daemon(fleet.host(STOPPED[1]))
    daemon.terminate()
    leaver = fleet.targets_of(SERVICE)[0]
    fleet.leaving_targets.add(leaver)
    fleet.publish_hosts()
    fleet.control_target(leaver, drain=True)
    # A target may end once a few seconds have passed since it began to leave.
    time.sleep(3.5)
    context.exit_codes = [fleet.targets[leaver].stop(), daemon.wait_end()]
    time.sleep(0.5)
    context.exit_codes.append(fleet.platform.stop())
    context.report = load_report(load)


@then("no promises_stop request was cut and all were served")
def step_none_cut(context):
    figures = context.report["total"]["all"]
    errors = {}
    for reason, count in figures["reasons"].items():
        if reason.endswith("Error") or reason == "timeout":
            errors[reason] = count
    served = figures["answered_in_time"]
    note(
        context,
        served=served,
        of=figures["requests"],
        errors=errors,
        reasons=figures["reasons"],
        exit_codes=context.exit_codes,
    )
    assert set(errors) <= NOT_IN_FLIGHT, errors
    assert served == figures["requests"], figures
    assert set(context.exit_codes) == {0}
    audit = context.report["audit"]
    assert not audit["duplicate_starts"] and not audit["false_not_run"], audit
