"""Steps on the stand-ins of the platform and of targets."""

import hashlib
import http.client
import json
import time

from behave import given, then, when

from features.support.http import call, send
from features.support.processes import LOOPBACK, eventually, load_report
from standins.load_plan import load_plan
from standins.load_report import AttemptRecord, RequestRecord, audit_ledgers
from standins.target_exchange import answer_body
from standins.target_state import Slots

CAUSE = {"X-Call-Cause": "test"}
DOMAIN = {"X-Entry-Domain": "mvd-a"}


def control(process, modes):
    assert call(process.control_port, "POST", "/control", modes).status == 200


def ledger(process):
    return call(process.control_port, "GET", "/ledger").json()


def stats(process):
    return call(process.control_port, "GET", "/stats").json()


def receive(context, request):
    """Read an answer, or note that the connection ended without one."""
    try:
        context.answer = request.answer()
    except (ConnectionError, http.client.HTTPException):
        context.answer = None
    return context.answer


def work(context, headers=None, **keywords):
    """Send a request to the stand-in; it is closed with the scenario."""
    sent = {**CAUSE, **DOMAIN, **(headers or {})}
    keywords = {"method": "GET", "path": "/work", **keywords}
    request = send(context.process.port, headers=sent, **keywords)
    context.stack.callback(request.close)
    return request


@given("the stand-in {program:w} runs")
def step_runs(context, program):
    step_runs_with(context, program, "")


@given("the stand-in {program:w} runs with {options}")
def step_runs_with(context, program, options):
    arguments = options.split()
    if "LEDGER" in arguments:
        path = context.processes.directory / "ledger"
        arguments[arguments.index("LEDGER")] = path
    if program == "naive":
        arguments = [[{"address": LOOPBACK, "port": 1}]]
    context.process = getattr(context.processes, program)(*arguments)
    context.requests = []


@when("the stand-in is sent SIGTERM")
def step_terminate(context):
    context.process.terminate()


@then("the stand-in exit code is {code:d}")
def step_exit_code(context, code):
    assert context.process.wait_end() == code


@when("the stand-in is started again")
def step_restart(context):
    context.process.restart()


@when("the stand-in is paused and sent a request")
def step_pause(context):
    context.process.pause()
    context.requests = [work(context)]


@when("the stand-in is resumed")
def step_resume(context):
    context.process.resume()


@then("the stand-in gives no answer within {seconds:g} s")
def step_no_answer(context, seconds):
    try:
        context.requests[-1].connection.sock.settimeout(seconds)
        first = context.requests[-1].connection.sock.recv(1)
    except TimeoutError:
        return
    raise AssertionError(f"received {first}")


@then("the stand-in answers with status {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then("the stand-in pending request is answered with status {status:d}")
def step_pending_status(context, status):
    assert context.requests[-1].answer().status == status


@then("the stand-in connection ends without an answer")
def step_no_whole_answer(context):
    assert context.answer is None, context.answer


def put(context, key, expected, value="v", lease=None):
    body = {"value": value, "expect_version": expected, "lease": lease}
    return work(context, method="PUT", path=f"/kv/{key}", body=body)


@given('the stand-in store key "{key}" was written {count:d} times')
def step_written(context, key, count):
    for version in range(count):
        assert put(context, key, version).answer().json()["version"] == version + 1


@when('the stand-in store key "{key}" is put expecting version {expected}')
def step_put(context, key, expected):
    receive(context, put(context, key, json.loads(expected)))


@then('the stand-in store key "{key}" has version {version:d}')
def step_version(context, key, version):
    assert work(context, path=f"/kv/{key}").answer().json()["version"] == version


@when('{count:d} stand-in writers race to put "{key}" expecting version {expected:d}')
def step_race(context, count, key, expected):
    requests = [put(context, key, expected, value=f"v{n}") for n in range(count)]
    context.statuses = [request.answer().status for request in requests]


@then("the stand-in statuses are 200 once and 409 otherwise")
def step_one_winner(context):
    losers = [409] * (len(context.statuses) - 1)
    assert sorted(context.statuses) == [200, *losers], context.statuses


@given("the stand-in platform faults are {faults}")
@when("the stand-in platform faults are {faults}")
def step_faults(context, faults):
    answer = work(context, method="POST", path="/control/faults", body=faults.encode())
    assert answer.answer().status == 200


@given('a stand-in watch waits for "{key}" after version {version:d}')
def step_watch(context, key, version):
    path = f"/kv/{key}?watch_after={version}&timeout_s=60"
    context.watch = work(context, path=path)
    eventually(lambda: calls(context)["totals"]["watch"] == 1)


def calls(context):
    return work(context, path="/control/calls").answer().json()


@then("the stand-in watch ends with {result}")
def step_watch_ends(context, result):
    answer = receive(context, context.watch)
    assert (str(answer.status) if answer else "no answer") == result, answer


@then("the stand-in watch tells version {version:d}")
def step_watch_version(context, version):
    assert context.answer.json()["version"] == version


@when('a stand-in GET asks for "{path}"')
def step_get(context, path):
    receive(context, work(context, path=path))


@given('the stand-in store key "{key}" is bound to a lease of {ttl_s:g} s')
def step_lease(context, key, ttl_s):
    request = work(context, method="POST", path="/leases", body={"ttl_s": ttl_s})
    context.lease = request.answer().json()["id"]
    assert put(context, key, 0, lease=context.lease).answer().status == 200


@then("the stand-in lease cannot be renewed")
def step_no_renewal(context):
    request = work(context, method="POST", path=f"/leases/{context.lease}/renew")
    assert request.answer().status == 404


@when("a stand-in value of {count:d} bytes is put")
def step_put_large(context, count):
    receive(context, put(context, "large", 0, value="x" * count))


@then("the stand-in call counts are")
def step_counts(context):
    expected = [{**row.as_dict(), "calls": int(row["calls"])} for row in context.table]
    assert calls(context)["rows"] == expected, calls(context)


@when('the stand-in host list is set to "{host}" with a lag of {lag_s:d} s')
def step_hosts(context, host, lag_s):
    body = {"hosts": [{"id": host}], "lag_s": lag_s}
    request = work(context, method="POST", path="/control/hosts", body=body)
    assert request.answer().status == 200


@given("the stand-in target modes are {modes}")
def step_modes(context, modes):
    control(context.process, json.loads(modes))


@when("{count:d} stand-in requests of {work_ms:d} ms are sent")
def step_send(context, count, work_ms):
    for number in range(count):
        headers = {"X-Work-Ms": str(work_ms)}
        context.requests.append(work(context, headers))
        # One at a time, so that the order of the ledger is known.
        eventually(lambda expected=number + 1: handled(context) == expected)


def handled(context):
    """Return how many requests run, ran, wait or were refused."""
    now = stats(context.process)
    refused = [n for name, n in now["counters"].items() if name.startswith("refused")]
    return now["runs"] + now["load"]["queued"] + sum(refused)


@then(
    "the stand-in target has {busy:d} busy, {queued:d} queued and {refused:d} "
    'refused as "{reason}"'
)
def step_load(context, busy, queued, refused, reason):
    def matches():
        now = stats(context.process)
        seen = [now["load"]["busy"], now["load"]["queued"]]
        return seen == [busy, queued] and (
            now["counters"].get(f"refused_{reason}", 0) == refused
        )

    eventually(matches)


class ShortRequest:
    """Gives its slot back as soon as it gets one."""

    def __init__(self, slots):
        self.slots = slots

    def slot_granted(self):
        self.slots.release()
        return True


@then("{count:d} queued stand-in requests that end at once are all served")
def step_deep_queue(_context, count):
    slots = Slots(1, count)
    assert slots.take()
    for _ in range(count):
        assert slots.enqueue(ShortRequest(slots))
    slots.release()
    assert (slots.busy, len(slots.waiting)) == (0, 0)


@then("the stand-in ledger has {count:d} rows")
def step_ledger(context, count):
    assert len(ledger(context.process)) == count


@then("the stand-in ledger has {count:d} rows besides the first")
def step_ledger_besides(context, count):
    assert len(ledger(context.process)) == count + 1


@then('the stand-in ledger outcomes are "{outcomes}"')
def step_outcomes(context, outcomes):
    wanted = outcomes.split()
    eventually(lambda: [row["outcome"] for row in ledger(context.process)] == wanted)


@when("the stand-in caller closes the first connection")
def step_close_first(context):
    context.requests[0].close()


def deadline_header(offset_ms):
    return {"Deadline-Unix-Ms": str(int(time.time() * 1000 + offset_ms))}


@when("a stand-in request has its deadline {offset_ms:d} ms from now")
def step_deadline(context, offset_ms):
    receive(context, work(context, deadline_header(offset_ms)))


@when("a stand-in request is queued with its deadline {offset_ms:d} ms from now")
def step_queue_deadline(context, offset_ms):
    context.deadline = time.time() + offset_ms / 1000
    context.requests.append(work(context, deadline_header(offset_ms)))
    eventually(lambda: stats(context.process)["load"]["queued"] == 1)


@when("the stand-in caller closes the first connection after that deadline")
def step_close_late(context):
    eventually(lambda: time.time() > context.deadline + 0.01)
    context.requests[0].close()


@then('the stand-in refuses the queued request as "{reason}"')
def step_queued_refused(context, reason):
    answer = receive(context, context.requests[-1])
    assert answer.headers["x-not-started"] == "1"
    assert answer.headers["x-refusal-reason"] == reason


@then('the stand-in answer has the headers "{headers}"')
def step_headers(context, headers):
    for header in headers.split():
        name, value = header.split("=")
        assert context.answer.headers.get(name.lower()) == value, context.answer


@given("a stand-in connection is open")
def step_open(context):
    request = work(context)
    assert request.answer().status == 200
    context.open = request.connection


@when('the stand-in open connection carries a request from "{domain}"')
def step_carry(context, domain):
    headers = {"X-Entry-Domain": domain}
    context.requests = [work(context, headers, connection=context.open)]


@then('the stand-in target answers "{domain}" on a new connection {answered}')
def step_new_connection(context, domain, answered):
    request = work(context, {"X-Entry-Domain": domain})
    if answered == "yes":
        assert request.answer().status == 200
        return
    context.requests = [request]
    step_no_answer(context, 0.2)


@then("the stand-in load reports {busy:d} busy slots")
def step_reported_load(context, busy):
    assert work(context, path="/load").answer().json()["busy"] == busy


@when(
    "a stand-in body of {sent:d} bytes is sent {framing} for an answer of "
    "{wanted:d} bytes, chunked {chunked}"
)
def step_body(context, sent, framing, wanted, chunked):
    context.sent = answer_body("request", sent)
    context.wanted = answer_body("answer", wanted)
    body = context.sent
    if framing == "in chunks":
        body = iter([body[:1], body[1:]])
    headers = {
        "X-Load-Id": "answer",
        "X-Answer-Bytes": str(wanted),
        "X-Answer-Chunked": chunked,
    }
    receive(context, work(context, headers, method="POST", body=body))


@then("the stand-in answer and its echo are right")
def step_whole(context):
    echo = hashlib.sha256(context.sent).hexdigest()
    assert context.answer.headers["x-body-sha256"] == echo
    assert context.answer.body == context.wanted
    assert ledger(context.process)[0]["bytes"] == len(context.sent)


@when('a stand-in request carries the crash marker "{marker}"')
def step_crash(context, marker):
    receive(context, work(context, {"X-Crash": marker}))


@given("a stand-in naive relay over {count:d} targets, the first with {modes}")
def step_naive(context, count, modes):
    processes = context.processes
    context.targets = [processes.target("--queue", 100) for _ in range(count)]
    control(context.targets[0], json.loads(modes))
    rows = [{"address": LOOPBACK, "port": t.port} for t in context.targets]
    context.process = processes.naive(rows)


@when("{count:d} stand-in requests are sent one after another")
def step_sequence(context, count):
    context.statuses = [work(context).answer().status for _ in range(count)]


@then("all stand-in statuses are {status:d}")
def step_all_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("the stand-in first target has run {count:d} requests")
def step_first_target(context, count):
    assert len(ledger(context.targets[0])) == count


def order_plan(context, rate, duration_s):
    """Return a load of orders whose report reads the ledgers of all targets."""
    return {
        "entries": [f"http://{LOOPBACK}:{context.process.port}"],
        "ledgers": [f"http://{LOOPBACK}:{t.control_port}" for t in context.targets],
        "phases": [{"duration_s": duration_s, "rate": rate, "mix": {"order": 1}}],
        "kinds": {"order": {"deadline_ms": 20000}},
    }


@when("a stand-in load of {rate:d} orders a second is sent for {duration_s:g} s")
def step_send_load(context, rate, duration_s):
    plan = order_plan(context, rate, duration_s)
    context.report = load_report(context.processes.load(plan))


@when(
    "the stand-in first target is killed and restarted {late_s:g} s "
    "after a load of {duration_s:g} s"
)
def step_late_restart(context, late_s, duration_s):
    load = context.processes.load(order_plan(context, 10, duration_s))
    context.targets[0].kill()
    time.sleep(duration_s + late_s)
    context.targets[0].restart()
    context.report = load_report(load)


@then("the stand-in audit reached every ledger")
def step_audit_reached(context):
    assert context.report["audit"]["unreachable"] == [], context.report["audit"]


@then("the stand-in report counts every run and finds doubled orders")
def step_report(context):
    audit = context.report["audit"]
    figures = context.report["total"]["kinds"]["order"]
    doubled = len(audit["duplicate_starts"])
    assert doubled > 0, audit
    assert audit["runs"] == figures["requests"] + doubled, audit
    # A second attempt may meet the broken target again; the caller then gets 502.
    assert figures["integrity"]["ok"] == figures["answered_in_time"], figures
    assert figures["statuses"].get("200") == figures["answered_in_time"], figures


@then("stand-in plans with seeds {a:d} and {b:d} are equal, {c:d} and {d:d} differ")
def step_plans(context, a, b, c, d):
    assert arrivals(a) == arrivals(b)
    assert arrivals(c) != arrivals(d)


def arrivals(seed):
    phase = {"duration_s": 5, "rate": 50, "mix": {"lookup": 3, "upload": 1}}
    plan = {"entries": ["a", "b"], "phases": [phase, phase], "run_id": "r"}
    return load_plan({**plan, "seed": seed}).arrivals()


@when('a stand-in audit sees a keyed request told "{told}" and runs "{runs}"')
def step_audit(context, told, runs):
    record = RequestRecord("r-0", "order", 0, 0.0, is_keyed=True, deadline_s=1.0)
    for number, outcome in enumerate(told.split(), start=1):
        is_success = outcome == "answered"
        record.attempts.append(AttemptRecord(number, outcome, is_success=is_success))
    rows = []
    for run in runs.split():
        attempt, outcome = run.split(":")
        rows.append({"load_id": "r-0", "attempt": attempt, "outcome": outcome})
    context.audit = audit_ledgers([record], rows)


@when('a stand-in audit sees a keyed request told "{told}" and runs ""')
def step_audit_without_runs(context, told):
    step_audit(context, told, "")


@then('the stand-in audit finds "{finding}"')
def step_finding(context, finding):
    found = []
    for name in (
        "duplicate_starts",
        "duplicate_finishes",
        "false_not_run",
        "not_run_but_key_ran",
        "success_without_run",
    ):
        if getattr(context.audit, name):
            found.append(name)
    assert found == finding.replace("nothing", "").split(), found
