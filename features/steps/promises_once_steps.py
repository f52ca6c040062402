"""Steps on orders that must run at most once, on real processes."""

import time

from behave import given, then, when

from bench.fleet import ServicePlan
from features.support.order_case import OrderCase
from features.support.processes import load_report
from features.support.promise_fleet import WORKSPACE, note, shared_fleet

HOSTS = 12
WORK_MS = 600
# A vote is awaited for 0.4 s; an entry frozen this long after its order has sent
# its claim requests and waits for the votes.
CLAIM_WAIT_S = 0.15
SHORT_DEADLINE_MS = 1200
SETTLE_S = 0.3


def others_of(fleet, host):
    domains = set(fleet.failure_domains) - {host.failure_domain}
    return sorted(domains)


def resend(case):
    """Send the order again at both other hosts."""
    return [case.order(host).text for host in case.others]


def while_in_flight(case):
    first = case.send(case.entry, WORK_MS)
    case.wait_started()
    told = resend(case)
    case.read(first)
    return told


def after_completion(case):
    case.order(case.entry)
    time.sleep(SETTLE_S)
    return resend(case)


def after_entry_kill(case):
    first = case.send(case.entry, WORK_MS)
    case.wait_started()
    case.fleet.spoil(case.entry)
    case.read(first)
    return resend(case)


def with_killed_holder(case):
    case.fleet.spoil(case.holders[0])
    return after_completion(case)


def with_holder_killed_later(case):
    case.order(case.entry)
    time.sleep(SETTLE_S)
    case.fleet.spoil(case.holders[1])
    return resend(case)


def with_frozen_holder(case):
    holder = case.fleet.daemon(case.holders[2])
    holder.pause()
    told = after_completion(case)
    holder.resume()
    return told + resend(case)


def with_cut(host_of, **ways):
    """Return a fault that cuts a host off one way for the order and a resend."""

    def run(case):
        host = host_of(case)
        domains = others_of(case.fleet, host)
        case.fleet.cut(host, **{way: domains for way in ways})
        case.order(case.entry)
        time.sleep(SETTLE_S)
        told = resend(case)
        case.fleet.cut(host)
        time.sleep(SETTLE_S)
        return told + resend(case)

    return run


def with_lost_completion(case):
    first = case.send(case.entry, WORK_MS)
    case.wait_started()
    case.fleet.cut(case.entry, blocked_out=case.fleet.failure_domains)
    case.read(first)
    told = resend(case)
    case.fleet.cut(case.entry)
    return told


def with_entry_frozen_at_claim(case):
    """Freeze the entry while it waits for the votes that allow the order."""
    slow = [case.fleet.daemon(host) for host in case.holders[:2]]
    entry = case.fleet.daemon(case.entry)
    for holder in slow:
        holder.pause()
    first = case.send(case.entry, deadline_ms=SHORT_DEADLINE_MS)
    time.sleep(CLAIM_WAIT_S)
    entry.pause()
    for holder in slow:
        holder.resume()
    told = resend(case)
    time.sleep(SHORT_DEADLINE_MS / 1000)
    entry.resume()
    case.read(first)
    return told + resend(case)


def with_replaced_holder(case):
    fleet = case.fleet
    case.order(case.entry)
    time.sleep(SETTLE_S)
    old = case.holders[2]
    fleet.spoil(old)
    new = fleet.plan_host(f"host-{len(fleet.hosts) + 1}", old.failure_domain)
    fleet.hosts[fleet.hosts.index(old)] = new
    fleet.spoiled.add(new.host_id)
    fleet.daemons[new.host_id] = fleet.daemons.pop(old.host_id)
    fleet.publish_hosts()
    fleet.start_daemon(new)
    fleet.daemon(new).wait_ready()
    fleet.wait_status(lambda status: status["ready"], "not ready", hosts=[new])
    return resend(case) + [case.order(new).text]


def with_all_holders_restarted(case):
    fleet = case.fleet
    case.order(case.entry)
    time.sleep(SETTLE_S)
    for host in case.holders:
        fleet.spoil(host)
    for host in case.holders:
        fleet.start_daemon(host)
    for host in case.holders:
        fleet.daemon(host).wait_ready()
    fleet.wait_status(lambda status: status["ready"], "not ready", hosts=case.holders)
    return resend(case)


FAULTS = {
    "while it runs": while_in_flight,
    "after its end": after_completion,
    "after its entry was killed": after_entry_kill,
    "with a holder killed before": with_killed_holder,
    "with a holder killed in between": with_holder_killed_later,
    "with a holder frozen": with_frozen_holder,
    "with the entry's messages lost": with_cut(lambda case: case.entry, blocked_out=1),
    "with the answers to the entry lost": with_cut(
        lambda case: case.entry, blocked_in=1
    ),
    "with a holder's answers lost": with_cut(
        lambda case: case.holders[0], blocked_out=1
    ),
    "with its completion lost": with_lost_completion,
    "with its entry frozen before dispatch": with_entry_frozen_at_claim,
    "with a holder replaced": with_replaced_holder,
    "with all holders restarted": with_all_holders_restarted,
}


@given("the promises_once fleet")
def step_fleet(context):
    plans = {"once": ServicePlan(6), "audit": ServicePlan(9, 4)}
    context.fleet = shared_fleet(context, "once", plans, HOSTS)


@when("a promises_once order is resent {fault}")
def step_resend(context, fault):
    context.case = OrderCase(context.fleet, "once")
    context.resends = FAULTS[fault](context.case)


@then("the promises_once order ran at most once and nobody was wrongly told not-run")
def step_at_most_once(context):
    runs = context.case.runs()
    wrong = context.case.false_not_run()
    told = [one.text for one in context.case.told]
    note(context, runs=len(runs), told=told, false_not_run=wrong)
    assert len(runs) <= 1, f"{len(runs)} runs"
    assert not wrong, wrong


@then("the promises_once claim was with the chosen holders")
def step_holders(context):
    context.case.check_holders()


@then("the promises_once resends were told {expected}")
def step_told(context, expected):
    assert context.resends == expected.split(), context.resends


def audit_plan(fleet, seed):
    """Return a load of orders and lookups that callers send again."""
    return {
        "entries": fleet.live_urls(),
        "ledgers": fleet.ledger_urls_of("audit"),
        "seed": seed,
        "workspace": WORKSPACE,
        "kinds": {
            "lookup": {"path": "/audit/stock/{id}", "deadline_ms": 2000},
            "order": {"path": "/audit/orders", "work_ms": 20, "deadline_ms": 4000},
        },
        "resend": {
            "attempts": 6,
            "outcomes": ["not-run", "unknown", "error", "timeout"],
            "backoff_ms": 100,
        },
        "phases": [{"duration_s": 7, "rate": 120, "mix": {"order": 2, "lookup": 1}}],
    }


@when("promises_once load with seed {seed:d} meets broken targets and killed daemons")
def step_audit(context, seed):
    fleet = context.fleet
    targets = fleet.targets_of("audit")
    load = context.processes.load(audit_plan(fleet, seed))
    time.sleep(1)
    fleet.control_target(targets[0], break_midway=0.5)
    fleet.control_target(targets[1], fail_share=0.5, fail_only_real=True)
    time.sleep(1)
    fleet.targets[targets[2]].kill()
    frozen, killed = fleet.sound_hosts()[-2:]
    fleet.daemon(frozen).pause()
    time.sleep(1)
    fleet.spoil(killed)
    fleet.daemon(frozen).resume()
    fleet.targets[targets[2]].restart()
    time.sleep(1)
    fleet.targets[targets[3]].pause()
    fleet.control_target(targets[4], silent=True)
    time.sleep(1)
    fleet.targets[targets[3]].resume()
    context.report = load_report(load)


@then("the promises_once audit finds 0 duplicates and 0 false not-run")
def step_audited(context):
    audit = context.report["audit"]
    all_kinds = context.report["total"]["all"]
    wrong = {}
    for name in ("duplicate_starts", "false_not_run", "not_run_but_key_ran"):
        wrong[name] = len(audit[name])
    note(
        context,
        requests=all_kinds["requests"],
        attempts=all_kinds["attempts"],
        runs=audit["runs"],
        outcomes=all_kinds["outcomes"],
        **wrong,
    )
    assert not audit["unreachable"], audit["unreachable"]
    assert not any(wrong.values()), {name: audit[name] for name in wrong}


@then("the promises_once answers were whole and the callers' own")
def step_whole(context):
    integrity = context.report["total"]["all"]["integrity"]
    assert set(integrity) <= {"ok", "unchecked"}, integrity
    assert integrity["ok"] > 0
