"""Steps on hosts that run against the simulated platform of the users."""

import itertools
import socket
import threading
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when

from features.support.http import call
from features.support.platform_fleet import HOST, ROUTES, PlatformFleet, route
from features.support.processes import PORTS

MALFORMED_ENTRIES = {
    "servers/x1": b"\xff\xfe not JSON",
    "servers/x2": {"address": "127.0.0.1:1"},
    "servers/x3": {
        "address": 5,
        "info": {"service": "pedidos", "zone": "mvd-a", "slots": 2},
        "status": {"state": "ready"},
    },
    "servers/x4": {
        "address": "127.0.0.1:1",
        "info": {"service": "pedidos", "zone": "mvd-a", "slots": True},
        "status": {"state": "ready"},
    },
    "servers/x5": {
        "address": "127.0.0.1:1",
        "info": {"service": "pedidos", "zone": "mvd-a", "slots": 2},
        "status": {"state": "resting"},
    },
}


# Status, headers and body of an answer that the host broke off.
CONNECTION_RESET = (None, {}, b"")


@given("host: {count:d} host, targets t1 and t2")
@given("host: {count:d} hosts, targets t1 and t2")
def step_fleet(context, count):
    fleet = PlatformFleet(context.processes)
    context.fleet = fleet
    context.number = 0
    fleet.configure(10)
    for target_id in ("t1", "t2"):
        fleet.start_target(target_id)
    for number in range(1, count + 1):
        fleet.start_host(f"h{number}", number)
    for name in fleet.hosts:
        fleet.wait_until(
            lambda name=name: len(fleet.log(name, 640)) == 2, f"{name} knows t1 and t2"
        )
    # The allowance for repeated sends grows with the uptime of a host.
    time.sleep(1.0)


def send(context, host, path, method="GET", **others):
    context.number += 1
    return context.fleet.send(host, method, path, f"a{context.number}", **others)


@when('host: all targets are in mode "{mode}" and "{method}" is sent to "{path}"')
@when('host: all targets are in mode "" and "{method}" is sent to "{path}"')
def step_mode(context, method, path, mode=""):
    for target_id in ("t1", "t2"):
        context.fleet.set_mode(target_id, mode)
    body = b"x" * 300 if method == "POST" else b""
    context.memory_before = peak_memory_bytes(context.fleet.hosts["h1"])
    started_at = time.monotonic()
    try:
        context.answer = send(context, "h1", path, method, body=body)
    except ConnectionResetError:
        context.answer = CONNECTION_RESET
    context.elapsed_s = time.monotonic() - started_at
    context.left_at = time.time()
    context.attempt_id = f"a{context.number}"


def peak_memory_bytes(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError(status)


@then("host: the answer is no complete success, after {runs:d} runs")
def step_no_success(context, runs):
    assert context.answer[0] in (None, 502, 504), context.answer
    assert len(context.fleet.runs()) == runs, context.fleet.runs()
    # The route's time limit is 1.5 s; the answer may take 0.5 s longer.
    assert context.elapsed_s < 2.0, context.elapsed_s


@then("host: the host has used at most {most:d} MB more memory")
def step_memory(context, most):
    used = peak_memory_bytes(context.fleet.hosts["h1"]) - context.memory_before
    assert used <= most * 1_000_000, used


@then("host: the status is 200")
def step_status_200(context):
    assert context.answer[0] == 200, context.answer


@then('host: the status is one of "{status}" with seal "{seal}" after {runs:d} runs')
def step_status(context, status, seal, runs):
    found, headers, body = context.answer
    assert str(found) in status.split(), (found, headers, body)
    assert headers.get("x-response-seal", "none") == seal, headers
    assert len(context.fleet.runs()) == runs, context.fleet.runs()
    if found == 200:
        assert body.endswith(b"ran it"), body
    if found == 503:
        assert float(headers["retry-after"]) > 0, headers
    # The route's time limit is 1.5 s; the answer may take 0.5 s longer.
    assert context.elapsed_s < 2.0, context.elapsed_s


@when('host: version {version:d} adds a route "{prefix}"')
def step_add_route(context, version, prefix):
    context.fleet.configure(version, [*ROUTES, route("r-new", "safe", prefix)])


@then('host: each host serves "{path}" within {limit_s:d} s')
def step_serves_within(context, path, limit_s):
    for name, process in context.fleet.hosts.items():
        if process.is_running():
            context.fleet.wait_until(
                lambda name=name: send(context, name, path)[0] == 200,
                f"{name} serves {path}",
                limit_s,
            )


@when("host: the configuration is replaced by bytes that can't be read")
def step_garbage(context):
    fleet = context.fleet
    fleet.put("op/config", b"{not json")
    # A host that fetches a copy sees only the last of two changes in quick succession.
    for name in fleet.hosts:
        fleet.wait_until(
            lambda name=name: len(fleet.log(name, 631)) == 1,
            f"{name} refuses the configuration",
        )


@when("host: version {version:d} without that route is written")
def step_older(context, version):
    context.fleet.configure(version)


@then('host: each host still serves "{path}" after {wait_s:d} s')
def step_still(context, path, wait_s):
    time.sleep(wait_s)
    for name in context.fleet.hosts:
        assert send(context, name, path)[0] == 200, name
        assert len(context.fleet.log(name, 631)) == 2, context.fleet.log(name, 631)


@when('host: t1 leaves by "{way}"')
def step_leave(context, way):
    fleet = context.fleet
    if way == "a removed entry":
        fleet.remove("servers/t1")
        return
    if way == "an answer":
        fleet.set_mode("t1", "leaving")
        fleet.wait_until(
            lambda: send(context, "h1", "/look/1") and fleet.log("h1", 648),
            "t1 has said that it leaves",
        )
        return
    port = fleet.targets["t1"].port
    fleet.put(
        "servers/t1",
        {
            "address": f"127.0.0.1:{port}",
            "info": {"service": "pedidos", "zone": "mvd-a", "slots": 2},
            "status": {"state": "draining", "seqNo": 2, "coldRemainingMs": 0},
        },
    )


@then("host: 2 s later no host sends a request to t1")
def step_no_work(context):
    time.sleep(2.0)
    before = [run for run in context.fleet.runs() if run[1] == "t1"]
    for name in context.fleet.hosts:
        for _ in range(10):
            assert send(context, name, "/look/1")[0] == 200, name
    after = [run for run in context.fleet.runs() if run[1] == "t1"]
    assert after == before, after


@when("host: all targets ask for a pause while {count:d} lookups and orders are sent")
def step_pause(context, count):
    for target_id in ("t1", "t2"):
        context.fleet.set_mode(target_id, "pause")
    context.answers = []
    for number in range(count):
        method, path = [("GET", "/look/1"), ("POST", "/order/1")][number % 2]
        context.answers.append(send(context, "h1", path, method))
        time.sleep(0.05)


@then("host: no target got more than one request of the host in any {pause_s:g} s")
def step_pauses_kept(context, pause_s):
    turned_away = context.fleet.turned_away()
    for times in turned_away.values():
        assert len(times) >= 2, turned_away
        for earlier, later in itertools.pairwise(times):
            assert later - earlier >= pause_s, turned_away


@then("host: those refused without a send were told when to come back")
def step_told_when(context):
    reasons = Counter()
    for status, headers, _ in context.answers:
        assert status == 503, (status, headers)
        assert float(headers["retry-after"]) > 0, headers
        reasons[headers["oleander-reason"]] += 1
    assert reasons["targets-asked-to-wait"] > len(context.answers) // 2, reasons


@when('host: the store is "{fault}" for {wait_s:d} s')
def step_fault(context, fault, wait_s):
    fleet = context.fleet
    fleet.store_fault(mode=fault)
    context.during = []
    ends_at = time.monotonic() + wait_s
    fleet.start_host("h9", 9, wait=False)
    while time.monotonic() < ends_at:
        context.during.append(send(context, "h1", "/look/1")[0])
        time.sleep(0.1)
    context.late_ready = fleet.is_ready("h9")
    fleet.store_fault(mode="ok")


@then("host: requests are served during and after it")
def step_served(context):
    assert set(context.during) == {200}, context.during
    time.sleep(3.0)
    for name in ("h1", "h2"):
        assert send(context, name, "/order/1", "POST")[0] == 200, name


@then("host: a host that starts meanwhile takes its first copy from another host")
def step_first_copy(context):
    assert context.late_ready
    assert [row["source"] for row in context.fleet.log("h9", 615)] == ["host"]
    assert send(context, "h9", "/look/1")[0] == 200


@when("host: nothing happens for {wait_s:d} s")
def step_quiet(context, wait_s):
    time.sleep(3.0)
    before = context.fleet.store_calls().get("kv-watch", 0)
    time.sleep(wait_s)
    context.watches = context.fleet.store_calls().get("kv-watch", 0) - before


@then("host: the store got at most {most:d} watches in these {wait_s:d} s")
def step_watches(context, most, wait_s):
    assert 1 <= context.watches <= most, context.watches


@when("host: the watching host is killed")
def step_kill_watcher(context):
    fleet = context.fleet
    time.sleep(2.0)
    watching = []
    for name in fleet.hosts:
        roles = fleet.log(name, 616)
        if roles and roles[-1]["watching"]:
            watching.append(name)
    assert len(watching) == 1, watching
    fleet.hosts[watching[0]].kill()


@when("host: an order hangs while the host is stopped")
def step_stop(context):
    for target_id in ("t1", "t2"):
        context.fleet.set_mode(target_id, "hang")

    def order():
        context.answer = send(context, "h1", "/order/1", "POST")

    context.thread = threading.Thread(target=order)
    context.thread.start()
    context.fleet.wait_until(lambda: context.fleet.runs(), "the order runs")
    context.fleet.hosts["h1"].terminate()


@then("host: the host is not ready and the order is answered before the host ends")
def step_stopped(context):
    context.fleet.wait_until(lambda: not context.fleet.is_ready("h1"), "not ready", 1.0)
    context.thread.join()
    assert context.answer[0] == 504, context.answer
    assert context.answer[1].get("connection") == "close", context.answer
    assert context.fleet.hosts["h1"].wait_end(6.0) == 0


@when("host: the host is stopped while its readiness is asked all the time")
def step_stop_asked(context):
    process = context.fleet.hosts["h1"]
    context.unanswered = 0
    process.terminate()
    while process.is_running():
        try:
            answer = context.fleet.ask(
                process.address, process.ready_port, "GET", "/readiness"
            )
        except ConnectionError:
            continue
        context.unanswered += answer[0] is None


@then(
    "host: each question that was read was answered, and the host ended without "
    "warnings"
)
def step_ended_quietly(context):
    assert context.unanswered == 0, context.unanswered
    errors = context.fleet.hosts["h1"].error_path.read_text()
    assert errors == "", errors


@when("host: {count:d} slow orders run and {what}")
def step_slow_orders(context, count, what):
    fleet = context.fleet
    for target_id in ("t1", "t2"):
        fleet.set_mode(target_id, "slow")
    context.answers = []

    def order(number):
        name = ("h1", "h2")[number % 2]
        answer = fleet.send(name, "POST", "/order/1", f"slow{number}", body=b"x")
        context.answers.append(answer)

    threads = [threading.Thread(target=order, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    fleet.wait_until(lambda: len(fleet.runs()) >= 2, "orders run")
    if what == "the store is silent":
        fleet.store_fault(mode="silent")
    else:
        for target_id in ("t1", "t2"):
            fleet.remove(f"servers/{target_id}")
    for thread in threads:
        thread.join()


@then("host: each of them is answered 200 after one run")
def step_slow_answered(context):
    assert {answer[0] for answer in context.answers} == {200}, context.answers
    runs = Counter(run[0] for run in context.fleet.runs())
    assert set(runs.values()) == {1}, runs


@when("host: strange entries are written")
def step_strange(context):
    for key, document in MALFORMED_ENTRIES.items():
        context.fleet.put(key, document)


@then("host: requests are served and the entries are logged")
def step_strange_logged(context):
    fleet = context.fleet
    fleet.wait_until(
        lambda: len(fleet.log("h1", 643)) == len(MALFORMED_ENTRIES),
        "the malformed entries are logged",
    )
    for _ in range(10):
        assert send(context, "h1", "/look/1")[0] == 200


@when("host: the key of h2 is removed")
def step_remove_key(context):
    time.sleep(1.0)
    context.fleet.remove("oleanderroute/hosts/h2")


@then("host: the store has the key of h2 again within {limit_s:d} s")
def step_key_back(context, limit_s):
    def has_key():
        answer = call(context.fleet.store_port, "GET", "/control")
        return "oleanderroute/hosts/h2" in answer.json()["keys"]

    assert not has_key()
    context.fleet.wait_until(has_key, "the key of h2 is registered again", limit_s)


@then("host: the other hosts have never ceased to count h2")
def step_still_counted(context):
    # A host that gets no datagrams any more starts to watch the store itself.
    roles = context.fleet.log("h2", 616)
    assert len(roles) <= 2, roles


@when("host: a second host starts on the address of the first")
def step_same_address(context):
    context.fleet.start_host("h2", 1, wait=False, gossip_port=PORTS.next())
    context.fleet.wait_until(lambda: context.fleet.is_ready("h2"), "h2 is ready")


@then("host: both serve requests and the second logs the taken port")
def step_both_serve(context):
    for name in ("h1", "h2"):
        assert send(context, name, "/look/1")[0] == 200, name
    assert len(context.fleet.log("h2", 602)) == 1


@then("host: both end in order when they are stopped")
def step_both_end(context):
    for name in ("h1", "h2"):
        process = context.fleet.hosts[name]
        process.terminate()
        assert process.wait_end(6.0) == 0, name
        assert process.error_path.read_text() == "", name


@when('host: a caller of "{method}" "{path}" leaves while its request hangs')
def step_leave_early(context, method, path):
    fleet = context.fleet
    for target_id in ("t1", "t2"):
        fleet.set_mode(target_id, "hang")
    process = fleet.hosts["h1"]
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: gone\r\n"
    head += "X-Deadline-Remaining: 1400\r\nContent-Length: 0\r\n\r\n"
    with socket.create_connection((process.address, process.caller_port)) as caller:
        caller.sendall(head.encode())
        fleet.wait_until(fleet.runs, "the request runs")
    context.left_at = time.time()
    context.attempt_id = "gone"


@then("host: each target that runs it sees the connection closed within {limit_s:g} s")
def step_cancelled(context, limit_s):
    fleet = context.fleet
    ran = len(fleet.runs())
    fleet.wait_until(
        lambda: len(fleet.cancelled()) >= ran, "all runs are cancelled", 5.0
    )
    for attempt_id, closed_at in fleet.cancelled():
        assert attempt_id == context.attempt_id, attempt_id
        assert closed_at - context.left_at <= limit_s, closed_at - context.left_at
    assert len(fleet.runs()) == ran, fleet.runs()


@when("host: the store names the address of t2 for a target t8 as well")
def step_reused_address(context):
    fleet = context.fleet
    fleet.put(
        "servers/t8",
        {
            "address": f"127.0.0.1:{fleet.targets['t2'].port}",
            "info": {"service": "pedidos", "zone": "mvd-a", "slots": 2},
            "status": {"state": "ready", "seqNo": 1, "coldRemainingMs": 0},
        },
    )
    fleet.wait_until(lambda: len(fleet.log("h1", 640)) == 3, "h1 knows t8")


@then(
    "host: {lookups:d} lookups and {orders:d} orders are served, each run once or "
    "refused by proof"
)
def step_served_once(context, lookups, orders):
    for _ in range(lookups):
        assert send(context, "h1", "/look/1")[0] == 200
    for _ in range(orders):
        assert send(context, "h1", "/order/1", "POST", body=b"x")[0] == 200
    runs = Counter(run[0] for run in context.fleet.runs())
    assert len(runs) == lookups + orders and set(runs.values()) == {1}, runs
    for meant, ran_by in context.fleet.intended_targets():
        assert meant == ran_by, (meant, ran_by)


@given("host: {count:d} more targets")
def step_more_targets(context, count):
    fleet = context.fleet
    for number in range(count):
        fleet.start_target(f"t{3 + number}")
    for name in fleet.hosts:
        fleet.wait_until(
            lambda name=name: len(fleet.log(name, 640)) == 2 + count,
            f"{name} knows all targets",
        )


@when("host: an order that ends its targets is sent {count:d} times by turns")
def step_crashing(context, count):
    for number in range(count):
        host = "h1" if number % 2 == 0 else "h2"
        context.answer = send(context, host, "/order/~crash", "POST", body=b"x")
        # The next order has to wait until the crash is confirmed.
        time.sleep(0.3)


@then(
    "host: at most {most:d} targets have ended and the last order is refused as not run"
)
def step_crash_refused(context, most):
    targets = context.fleet.targets
    ended = [name for name, process in targets.items() if not process.is_running()]
    assert 1 <= len(ended) <= most, ended
    status, headers, _ = context.answer
    assert status == 503, context.answer
    assert headers["oleander-reason"] == "crash-quarantine", headers


@then("host: other orders are served")
def step_other_orders(context):
    for host in ("h1", "h2"):
        assert send(context, host, "/order/2", "POST", body=b"x")[0] == 200, host


@when('host: the store stays "{fault}" for {wait_s:g} s')
def step_store_stays(context, fault, wait_s):
    context.fleet.store_fault(mode=fault)
    time.sleep(wait_s)


@then('host: a path without a route gets 503 for the reason "{reason}"')
def step_uncertain(context, reason):
    status, headers, _ = send(context, "h1", "/none/1")
    assert status == 503 and headers["oleander-reason"] == reason, (status, headers)


@when("host: the store answers again")
def step_store_answers(context):
    context.fleet.store_fault(mode="ok")


@then("host: a path without a route gets 404 within {limit_s:g} s")
def step_denied(context, limit_s):
    context.fleet.wait_until(
        lambda: send(context, "h1", "/none/1")[0] == 404, "404 for no route", limit_s
    )


@when("host: {count:d} callers send lookups to slow targets for {duration_s:g} s")
def step_slow_load(context, count, duration_s):
    fleet = context.fleet
    for target_id in ("t1", "t2"):
        fleet.set_mode(target_id, "slow")
    context.answers = {}
    ends_at = time.monotonic() + duration_s

    def send_lookups(caller):
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            attempt_id = f"c{caller}n{number}"
            answer = fleet.send("h1", "GET", "/look/1", attempt_id)
            context.answers[attempt_id] = answer
            if answer[0] == 503:
                time.sleep(float(answer[1]["retry-after"]))

    callers = []
    for caller in range(count):
        callers.append(threading.Thread(target=send_lookups, args=(caller,)))
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


@then('host: some are refused for the reason "{reason}", and none of those has run')
def step_no_room(context, reason):
    refused = set()
    for attempt_id, (status, headers, _) in context.answers.items():
        if status == 503:
            assert headers["oleander-reason"] == reason, headers
            refused.add(attempt_id)
    assert refused, Counter(answer[0] for answer in context.answers.values())
    ran = {run[0] for run in context.fleet.runs()}
    assert not refused & ran, refused & ran


@then("host: the host has logged that a queue stands")
def step_queue_logged(context):
    turns = context.fleet.log("h1", 647)
    assert turns and turns[0]["standing"] is True, turns
    refusals = [
        line for line in context.fleet.log("h1", 660) if line["reason"] == "no-room"
    ]
    # The route's objective is 400 ms.
    assert refusals and min(line["wait_ms"] for line in refusals) >= 120, refusals


@then("host: a lookup alone is served")
def step_alone(context):
    time.sleep(1.0)
    assert send(context, "h1", "/look/1")[0] == 200
