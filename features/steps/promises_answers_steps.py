"""Steps on whole answers, crash-causing requests and leaving targets."""

import time

from behave import given, then, when

from bench.fleet import ServicePlan
from features.support.http import call
from features.support.processes import eventually, load_report
from features.support.promise_fleet import WORKSPACE, note, shared_fleet

HOSTS = 6
CRASH_SERVICES = ("crashget", "crashpost", "crashkey")
CRASH_MARK = "boom"
RESENDS = 10
CRASH_TARGETS = 8
MAX_DEATHS_BY_ONE_SEND = 2
CRASH_LOAD_S = 4.0
LEAVING_BOUND_S = 3.0
LEAVING_LOAD_S = 6.0
SLOW_WORK_MS = 2500


@given("the promises_answers fleet")
def step_fleet(context):
    plans = {"whole": ServicePlan(4, 8)}
    for service in CRASH_SERVICES:
        plans[service] = ServicePlan(CRASH_TARGETS)
    for service in ("listed", "draining", "cold"):
        plans[service] = ServicePlan(3, 8)
    context.fleet = shared_fleet(context, "answers", plans, HOSTS)


# Whole answers


def answers_plan(fleet, seed):
    """Return a load of small and large answers, framed by length and by chunks."""
    path = "/whole/stock/{id}"
    small = {"path": path, "answer_bytes": 1000, "deadline_ms": 2000}
    large = {"path": path, "answer_bytes": 300_000, "deadline_ms": 2000}
    kinds = {
        "small": small,
        "smallchunked": {**small, "chunked_answer": True},
        "large": large,
        "largechunked": {**large, "chunked_answer": True},
        # Its caller gives up before the target answers.
        "late": {**small, "work_ms": 400, "deadline_ms": 200},
        "order": {"path": "/whole/orders", "answer_bytes": 1000, "deadline_ms": 3000},
    }
    return {
        "entries": fleet.urls(),
        "ledgers": fleet.ledger_urls_of("whole"),
        "seed": seed,
        "workspace": WORKSPACE,
        "kinds": kinds,
        "grace_ms": 0,
        "phases": [{"duration_s": 5, "rate": 150, "mix": dict.fromkeys(kinds, 1)}],
    }


@when("promises_answers load with seed {seed:d} meets broken, late and silent answers")
def step_answers_load(context, seed):
    fleet = context.fleet
    targets = fleet.targets_of("whole")
    load = context.processes.load(answers_plan(fleet, seed))
    time.sleep(1)
    fleet.control_target(targets[0], break_midway=0.5)
    fleet.control_target(targets[1], break_midway=0.2)
    fleet.control_target(targets[2], freeze_answers=True)
    time.sleep(1)
    fleet.control_target(targets[3], silent=True)
    time.sleep(0.6)
    # What was held back is sent now, after its callers have gone.
    fleet.control_target(targets[2], freeze_answers=False)
    context.report = load_report(load)


@then("the promises_answers callers got only whole answers of their own")
def step_whole(context):
    figures = context.report["total"]["all"]
    integrity = dict(figures["integrity"])
    note(context, integrity=integrity, outcomes=figures["outcomes"])
    assert integrity.pop("ok", 0) > 0
    integrity.pop("unchecked", None)
    assert not integrity, integrity


@then("the promises_answers orders ran at most once")
def step_orders_once(context):
    audit = context.report["audit"]
    assert not audit["duplicate_starts"], audit["duplicate_starts"]
    assert not audit["false_not_run"], audit["false_not_run"]


# Crash-causing requests


def send_crashing(fleet, kind, number):
    """Send the crashing request once; returns what the caller was told."""
    service = f"crash{kind}"
    headers = {"X-Crash": CRASH_MARK, "Oleander-Workspace": WORKSPACE}
    headers["X-Load-Id"] = f"crash-{kind}"
    headers["X-Load-Attempt"] = str(number)
    method, path, body = "POST", f"/{service}/orders", b"1 sack"
    if kind == "get":
        method, path, body = "GET", f"/{service}/stock/poison", None
    if kind == "key":
        headers["Idempotency-Key"] = "crash-key"
    host = fleet.hosts[number % len(fleet.hosts)]
    answer = call(host.caller_port, method, path, body, headers)
    outcome = answer.headers.get("oleander-outcome", "no-outcome")
    return f"{outcome}:{answer.headers.get('oleander-reason', answer.status)}"


def others_plan(fleet, service):
    """Return a load of lookups that are sent again when told not-run."""
    path = f"/{service}/stock/{{id}}"
    return {
        "entries": fleet.urls(),
        "workspace": WORKSPACE,
        "kinds": {"lookup": {"path": path, "deadline_ms": 2000}},
        "resend": {"attempts": 5, "outcomes": ["not-run"]},
        "phases": [{"duration_s": CRASH_LOAD_S, "rate": 60, "mix": {"lookup": 1}}],
    }


@when('a promises_answers request of kind "{kind}" crashes its targets again and again')
def step_crash(context, kind):
    fleet = context.fleet
    context.crash_kind = kind
    context.crash_service = f"crash{kind}"
    for target_id in fleet.targets_of(context.crash_service):
        fleet.control_target(target_id, crash_on=CRASH_MARK)
    load = context.processes.load(others_plan(fleet, context.crash_service))
    time.sleep(1)
    context.crash_told = []
    for number in range(RESENDS):
        context.crash_told.append(send_crashing(fleet, kind, number))
    context.report = load_report(load)


@then("at most {deaths:d} promises_answers targets die and it is refused {refusal}")
def step_crash_refused(context, deaths, refusal):
    fleet = context.fleet
    targets = fleet.targets_of(context.crash_service)
    dead = [one for one in targets if not fleet.targets[one].is_running()]
    runs = fleet.runs(f"crash-{context.crash_kind}")
    by_first = [row for row in runs if row["attempt"] == "0"]
    note(
        context,
        deaths=len(dead),
        by_first_send=len(by_first),
        of=len(targets),
        told=context.crash_told,
    )
    # The fleet's own retry of one request counts as a resend.
    assert len(by_first) <= MAX_DEATHS_BY_ONE_SEND, by_first
    assert 1 <= len(dead) <= deaths, dead
    assert context.crash_told[-1] == refusal, context.crash_told


@then("other promises_answers requests of the service are served")
def step_others_served(context):
    figures = context.report["total"]["all"]
    served = figures["answered_in_time"]
    note(context, served=served, of=figures["requests"], attempts=figures["attempts"])
    assert served == figures["requests"], figures


# Leaving targets


def slow_plan(fleet, service, slow_kind, tail_s):
    """Return a load of lookups, with slow requests for half a second."""
    return {
        "entries": fleet.urls(),
        "workspace": WORKSPACE,
        "kinds": {
            "order": {
                "path": f"/{service}/orders",
                "work_ms": SLOW_WORK_MS,
                "deadline_ms": 4900,
            },
            "upload": {
                "method": "PUT",
                "path": f"/{service}/art/{{id}}",
                "body_bytes": 100_000,
                "work_ms": SLOW_WORK_MS,
                "deadline_ms": 10_000,
            },
            "lookup": {"path": f"/{service}/stock/{{id}}", "deadline_ms": 1500},
        },
        "phases": [
            {"duration_s": 0.5, "rate": 40, "mix": {slow_kind: 1, "lookup": 1}},
            {"duration_s": tail_s, "rate": 60, "mix": {"lookup": 1}},
        ],
    }


def uploads_on(fleet, target_id):
    return [row for row in fleet.ledger(target_id) if row["method"] == "PUT"]


@when('a promises_answers target of "{service}" leaves by {way}')
def step_leave(context, service, way):
    fleet = context.fleet
    context.leaver = fleet.targets_of(service)[0]
    plan = slow_plan(fleet, service, "upload", LEAVING_LOAD_S)
    load = context.processes.load(plan)
    eventually(lambda: uploads_on(fleet, context.leaver))
    time.sleep(0.5)
    context.left_at = time.time()
    if way == "list":
        fleet.leaving_targets.add(context.leaver)
        fleet.publish_hosts()
    else:
        # It goes on accepting work, so that the ledger shows what still arrives.
        fleet.control_target(context.leaver, drain={"grace_s": 60})
    context.report = load_report(load)


@then("the promises_answers leaver got no new work after 3 s")
def step_no_new_work(context):
    ages = [0.0]
    for row in context.fleet.ledger(context.leaver):
        ages.append(row["started"] - context.left_at)
        if row["drain_age_s"] is not None:
            ages.append(row["drain_age_s"])
    late = [age for age in ages if age > LEAVING_BOUND_S]
    note(context, last_work_after_s=round(max(ages), 3), late_runs=len(late))
    assert not late, late


@then("the promises_answers work in flight ended well and all callers were served")
def step_in_flight_ended(context):
    uploads = uploads_on(context.fleet, context.leaver)
    outcomes = [row["outcome"] for row in uploads]
    figures = context.report["total"]["all"]
    served = figures["answered_in_time"]
    note(context, uploads_on_leaver=outcomes, served=served, of=figures["requests"])
    assert "finished" in outcomes, outcomes
    assert set(outcomes) == {"finished"}, outcomes
    assert served == figures["requests"], figures


@when("promises_answers hosts without history get slow orders and lookups")
def step_cold_hosts(context):
    plan = slow_plan(context.fleet, "cold", "order", 2.5)
    context.report = load_report(context.processes.load(plan))


@then("all promises_answers callers were served")
def step_all_served(context):
    figures = context.report["total"]["all"]
    served = figures["answered_in_time"]
    note(context, served=served, of=figures["requests"], reasons=figures["reasons"])
    assert served == figures["requests"], figures
