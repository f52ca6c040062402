"""Steps on two faults at the same time, on real processes."""

import time

from behave import given, then, when

from bench.fleet import ServicePlan
from features.support.processes import load_report
from features.support.promise_fleet import WORKSPACE, is_out, note, shared_fleet

HOSTS = 9
SERVICE = "pairs"
TARGETS = 6
SLOTS = 4
FLOOR = 12
LOAD_S = 3.5
FAULT_AT_S = 0.7
FAULT_S = 1.5
IN_FORCE_BOUND_S = 12.0
# Killed daemons are of one failure domain, so that two holders of each key remain.
KILLED_DOMAIN = "c"


@given("the promises_pairs fleet")
def step_fleet(context):
    plans = {SERVICE: ServicePlan(TARGETS, SLOTS, FLOOR)}
    fleet = context.fleet = shared_fleet(context, "pairs", plans, HOSTS)
    context.targets = iter(fleet.targets_of(SERVICE))
    context.victims = iter(fleet.live_hosts())
    context.frozen = []


def kill_daemon(context):
    fleet = context.fleet
    hosts = [one for one in fleet.live_hosts() if one.failure_domain == KILLED_DOMAIN]
    fleet.spoil(hosts[-1])


def freeze_daemon(context):
    host = next(context.victims)
    context.fleet.daemon(host).pause()
    context.frozen.append(host)


def cut_one_way(context):
    fleet = context.fleet
    for host in fleet.live_hosts():
        if host.failure_domain == "a" and host not in context.frozen:
            fleet.cut(host, blocked_out=["b", "c"])


def store_down(context):
    context.fleet.set_platform_faults(mode="down")


def lose_store_answers(context):
    fleet = context.fleet
    fleet.set_platform_faults(mode="lose_answers", count=4, scope="store")
    declaration = fleet.declaration()
    limit = 1_000_000 + fleet.revision
    declaration["routes"][0]["max_body_bytes"] = limit
    fleet.apply(declaration, "changed during a fault")


def kill_target(context):
    context.fleet.targets[next(context.targets)].kill()


def freeze_target(context):
    context.fleet.targets[next(context.targets)].pause()


def gray_target(**modes):
    def start(context):
        context.fleet.control_target(next(context.targets), **modes)

    return start


def leaving_target(context):
    target_id = next(context.targets)
    context.fleet.control_target(target_id, drain=True)


FAULTS = {
    "daemon killed": kill_daemon,
    "daemon frozen": freeze_daemon,
    "one-way cut": cut_one_way,
    "store down": store_down,
    "store answers lost": lose_store_answers,
    "target killed": kill_target,
    "target frozen": freeze_target,
    "target fails real work": gray_target(fail_share=0.6, fail_only_real=True),
    "target breaks midway": gray_target(break_midway=0.6),
    "target flaps": gray_target(flap={"period_s": 0.5}),
    "connections silent": gray_target(silent=True),
    "target leaves": leaving_target,
}


def pairs_plan(fleet, seed):
    return {
        "entries": fleet.live_urls(),
        "ledgers": fleet.ledger_urls_of(SERVICE),
        "seed": seed,
        "workspace": WORKSPACE,
        "kinds": {
            "lookup": {"path": f"/{SERVICE}/stock/{{id}}", "deadline_ms": 2000},
            "large": {
                "path": f"/{SERVICE}/stock/{{id}}",
                "answer_bytes": 200_000,
                "deadline_ms": 2000,
            },
            "order": {
                "path": f"/{SERVICE}/orders",
                "work_ms": 20,
                "deadline_ms": 3000,
            },
        },
        "resend": {
            "attempts": 5,
            "outcomes": ["not-run", "unknown", "error", "timeout"],
            "backoff_ms": 100,
        },
        "phases": [
            {
                "duration_s": LOAD_S,
                "rate": 90,
                "mix": {"lookup": 4, "large": 1, "order": 4},
            }
        ],
    }


def fewest_slots(context):
    """Return the fewest slots that the view of a running host keeps."""
    fleet = context.fleet
    fewest = TARGETS * SLOTS
    for host in fleet.live_hosts():
        if host in context.frozen:
            continue
        document = fleet.explain(host, SERVICE)
        if document is None:
            continue
        kept = [one for one in document["targets"] if not is_out(one)]
        fewest = min(fewest, len(kept) * SLOTS)
    return fewest


@when("promises_pairs load with seed {seed:d} meets {first} and {second}")
def step_pair(context, seed, first, second):
    fleet = context.fleet
    load = context.processes.load(pairs_plan(fleet, seed))
    time.sleep(FAULT_AT_S)
    FAULTS[first](context)
    FAULTS[second](context)
    time.sleep(FAULT_S)
    context.slots = fewest_slots(context)
    fleet.mend()
    context.report = load_report(load)


@then("promises_pairs orders ran at most once and answers were whole")
def step_audited(context):
    found = context.report["audit"]
    wrong = {}
    for name in ("duplicate_starts", "false_not_run", "not_run_but_key_ran"):
        wrong[name] = len(found[name])
    figures = context.report["total"]["all"]
    integrity = dict(figures["integrity"])
    note(
        context,
        runs=found["runs"],
        **wrong,
        served=figures["answered_in_time"],
        of=figures["requests"],
        integrity=integrity,
    )
    assert found["runs"] and not found["unreachable"], found["unreachable"]
    assert not any(wrong.values()), found
    integrity.pop("unchecked", None)
    assert set(integrity) == {"ok"}, integrity


@then("the promises_pairs floor holds and all hosts agree on the revision")
def step_floor(context):
    fleet = context.fleet
    note(context, fewest_slots=context.slots, floor=FLOOR)
    assert context.slots >= FLOOR
    fleet.wait_status(
        lambda status: status["revision"] == fleet.revision,
        "another revision",
        IN_FORCE_BOUND_S,
        fleet.live_hosts(),
    )
