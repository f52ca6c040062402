"""Steps on configuration: races, lost answers, outages, paused relays, cuts."""

import copy
import json
import subprocess
import sys
import threading
import time
import urllib.request

from behave import given, then, when

from bench.fleet import ServicePlan, get_json
from features.support.http import call
from features.support.processes import ROOT
from features.support.promise_fleet import note, shared_fleet

HOSTS = 9
SERVICE = "stock"
IN_FORCE_BOUND_S = 12.0
POLL_S = 0.1
POLL_TIMEOUT_S = 0.5
WATCH_AFTER_S = 1.5
RACE_DELAY_S = 0.4
HEAD_KEY = "head"
UNREACHABLE_URL = "http://127.0.0.1:9"


class RevisionWatch(threading.Thread):
    """Records the revisions that hosts report, to see whether one moves back.

    Parameters
    ----------
    fleet : PromiseFleet
    hosts : list of HostPlan
    """

    def __init__(self, fleet, hosts):
        super().__init__(daemon=True)
        self.urls = {}
        for host in hosts:
            self.urls[host.host_id] = f"{fleet.operator_url(host)}/status"
        self.seen = {host_id: [] for host_id in self.urls}
        self.is_stopped = threading.Event()

    def run(self):
        while not self.is_stopped.wait(POLL_S):
            for host_id, url in self.urls.items():
                revision = read_revision(url)
                if revision is not None:
                    self.seen[host_id].append(revision)

    def stop(self):
        """End the record and return the hosts whose revision moved back."""
        self.is_stopped.set()
        self.join()
        reverted = []
        for host_id, revisions in self.seen.items():
            if revisions != sorted(revisions):
                reverted.append(host_id)
        return reverted


def read_revision(url):
    """Return the revision that a host has in force, or None without an answer."""
    try:
        with urllib.request.urlopen(url, timeout=POLL_TIMEOUT_S) as response:
            return json.loads(response.read())["revision"]
    except (OSError, ValueError):
        return None


@given("the promises_configuration fleet")
def step_fleet(context):
    plans = {SERVICE: ServicePlan(3)}
    context.fleet = shared_fleet(context, "configuration", plans, HOSTS)
    context.hosts = list(context.fleet.live_hosts())
    context.watch = RevisionWatch(context.fleet, context.hosts)
    context.watch.start()
    context.stack.callback(context.watch.stop)


def changed_declaration(fleet, name):
    """Return the declaration with one more service, by which hosts show it."""
    declaration = copy.deepcopy(fleet.declaration())
    added = copy.deepcopy(declaration["services"][SERVICE])
    for target in added["targets"]:
        target["id"] = f"{name}-{target['id']}"
        # Nothing is sent there.
        target["address"] = "127.0.0.2"
    declaration["services"][name] = added
    return declaration


def start_apply(context, name):
    """Start oleanderctl on a change and return its process."""
    fleet = context.fleet
    path = fleet.group.write_json(name, changed_declaration(fleet, name))
    command = [sys.executable, "-m", "oleanderroute.cli", "apply", str(path)]
    command += ["--store", fleet.platform_url, "--base", str(fleet.revision)]
    command += ["--message", name, "--json", "--time-limit-s", "5"]
    return subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )


def finish_apply(context, process):
    """Wait for an apply; a success moves the fleet's base revision."""
    try:
        output, errors = process.communicate(timeout=30)
    except subprocess.TimeoutExpired:
        process.kill()
        output, errors = process.communicate()
        raise AssertionError(f"apply goes on after 30 s: {output}{errors}") from None
    if process.returncode == 0:
        context.fleet.revision += 1
        context.applied_at = time.monotonic()
    return output + errors


def apply_change(context, name):
    process = start_apply(context, name)
    output = finish_apply(context, process)
    assert process.returncode == 0, output
    context.applied = name


@when("two promises_configuration operators race")
def step_race(context):
    names = ("racer-a", "racer-b")
    # Both have read the head before either of them writes it.
    context.fleet.set_platform_faults(mode="slow", delay_s=RACE_DELAY_S, scope="store")
    processes = [start_apply(context, name) for name in names]
    outputs = [finish_apply(context, process) for process in processes]
    context.race = dict(zip(names, zip(processes, outputs, strict=True), strict=True))
    context.fleet.set_platform_faults(mode="ok")
    for name, (process, _) in context.race.items():
        if process.returncode == 0:
            context.applied = name


@then("one promises_configuration operator wins and the other sees the difference")
def step_one_wins(context):
    codes = [process.returncode for process, _ in context.race.values()]
    note(context, exit_codes=sorted(codes))
    outputs = [output for _, output in context.race.values()]
    assert sorted(codes) == [0, 1], outputs
    for process, output in context.race.values():
        if process.returncode == 1:
            assert f"$.services.{context.applied}" in output, output


@then("the promises_configuration change is in force on all hosts within 12 s")
def step_in_force(context):
    fleet = context.fleet
    wanted = fleet.revision
    deadline = context.applied_at + IN_FORCE_BOUND_S
    missing = list(context.hosts)
    while missing and time.monotonic() < deadline:
        status = get_json(f"{fleet.operator_url(missing[0])}/status")
        if status and status["revision"] >= wanted:
            assert context.applied in status["services"], status
            missing.pop(0)
            continue
        time.sleep(POLL_S / 5)
    elapsed_s = time.monotonic() - context.applied_at
    note(context, in_force_after_s=round(elapsed_s, 2), missing=len(missing))
    assert not missing, [host.host_id for host in missing]


@then("no promises_configuration host moved back")
def step_no_revert(context):
    time.sleep(WATCH_AFTER_S)
    reverted = context.watch.stop()
    samples = sum(len(seen) for seen in context.watch.seen.values())
    note(context, reverted=reverted, samples=samples)
    assert samples > 0
    assert not reverted, reverted


@when('{count:d} promises_configuration answers to writes of "{key}" are lost')
def step_lost_answers(context, count, key):
    key = "" if key == "any key" else key
    context.fleet.set_platform_faults(
        mode="lose_answers", count=count, scope="store", key=key
    )
    apply_change(context, f"lost-{count}-{key}")


def head(fleet):
    """Return the stored head as the store shows it."""
    return get_json(f"{fleet.platform_url}/kv/{HEAD_KEY}")


def put_head(fleet, value):
    body = {"value": value, "expect_version": None, "lease": None}
    answer = call(fleet.platform.port, "PUT", f"/kv/{HEAD_KEY}", body)
    assert answer.status == 200, answer


@when("the promises_configuration store shows an older head again")
def step_older_head(context):
    fleet = context.fleet
    older = head(fleet)["value"]
    apply_change(context, "before-older-head")
    step_in_force(context)
    newest = head(fleet)["value"]
    put_head(fleet, older)
    context.stack.callback(put_head, fleet, newest)
    time.sleep(WATCH_AFTER_S)
    # It learns the newest revision from its peers.
    start_fresh_host(context, "b")


@then("the promises_configuration history shows the change once")
def step_history(context):
    result = context.fleet.oleanderctl(
        "history", "--json", "--store", context.fleet.platform_url
    )
    revisions = json.loads(result.stdout)["revisions"]
    matching = [one for one in revisions if one["message"] == context.applied]
    note(context, applied=len(matching), head=revisions[0]["revision"])
    assert len(matching) == 1, revisions
    assert revisions[0]["revision"] == context.fleet.revision


def start_fresh_host(context, failure_domain, **overrides):
    """Start a daemon that is on no host list and keeps nothing."""
    fleet = context.fleet
    host = fleet.plan_host(f"fresh-{len(fleet.daemons)}", failure_domain)
    fleet.start_daemon(host, **overrides)
    fleet.daemon(host).wait_ready()
    context.hosts.append(host)
    context.stack.callback(fleet.daemon(host).clean_up)
    return host


@when("the promises_configuration platform is down and a fresh daemon starts")
def step_platform_down(context):
    fleet = context.fleet
    fleet.set_platform_faults(mode="down")
    time.sleep(1)
    refused = start_apply(context, "refused")
    finish_apply(context, refused)
    context.refused_code = refused.returncode
    started = time.monotonic()
    context.fresh = start_fresh_host(context, "a")
    fleet.wait_status(
        lambda status: status["revision"] >= fleet.revision,
        "no declaration from peers",
        IN_FORCE_BOUND_S,
        [context.fresh],
    )
    context.fresh_after_s = time.monotonic() - started


@then("the promises_configuration fleet serves on and the fresh daemon as well")
def step_serves_on(context):
    statuses = []
    for host in context.hosts:
        for number in range(5):
            path = f"/{SERVICE}/stock/{number}"
            statuses.append(call(host.caller_port, "GET", path).status)
    note(
        context,
        served=statuses.count(200),
        of=len(statuses),
        fresh_daemon_after_s=round(context.fresh_after_s, 2),
        apply_exit_code=context.refused_code,
    )
    assert set(statuses) == {200}, statuses
    assert context.refused_code == 3


@when("the promises_configuration platform is back and a change is applied")
def step_platform_back(context):
    context.fleet.set_platform_faults(mode="ok")
    apply_change(context, "afterwards")


@when("promises_configuration relays are paused during two changes and go on")
def step_paused_relays(context):
    fleet = context.fleet
    relays = [host for host in context.hosts if fleet.status(host)["is_relay"]]
    # One relay of each failure domain, so that the others have to carry on.
    paused = {host.failure_domain: host for host in relays}.values()
    for host in paused:
        fleet.daemon(host).pause()
    apply_change(context, "while-paused-1")
    apply_change(context, "while-paused-2")
    time.sleep(0.5)
    for host in paused:
        fleet.daemon(host).resume()
    context.applied_at = time.monotonic()
    note(context, paused_relays=len(paused))


def cut_domain(context, domain, way):
    fleet = context.fleet
    others = [one for one in fleet.failure_domains if one != domain]
    for host in context.hosts:
        if host.failure_domain == domain:
            fleet.cut(host, **{way: others})


@when("a promises_configuration change is applied while {cut}")
def step_cut(context, cut):
    if cut == "a reaches no other domain":
        cut_domain(context, "a", "blocked_out")
    elif cut == "a hears no other domain":
        cut_domain(context, "a", "blocked_in")
    else:
        fresh = start_fresh_host(context, "a", platform={"url": UNREACHABLE_URL})
        context.fleet.cut(fresh, blocked_in=["a", "b"])
    apply_change(context, "-".join(cut.split()[:3]))
