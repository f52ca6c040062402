"""Steps on API keys at real hosts that run against the simulated platform."""

import http.client

from behave import given, then, when

from features.support.platform_fleet import HOST, ROUTES, PlatformFleet, route
from features.support.platform_fleet import workspace as make_workspace

FREE = route("r-free", "safe", "/free/", keyExempt=True)


def key_of(name):
    return f"KEY-{name}-4f1c9a7be2"


def bearer(name, **others):
    return {"Authorization": f"Bearer {key_of(name)}", **others}


def configure(context, *names, extra=()):
    """Write a configuration with workspaces and wait until all hosts have it."""
    context.version += 1
    workspaces = [make_workspace(name, key_of(name)) for name in names]
    resources = [*ROUTES, FREE, *workspaces, *extra]
    context.fleet.configure(context.version, resources)
    if extra:
        return
    for host in context.fleet.hosts:
        context.fleet.wait_until(
            lambda host=host: (
                context.fleet.log(host, 630)[-1:]
                and context.fleet.log(host, 630)[-1]["version"] == context.version
            ),
            f"{host} has version {context.version}",
        )


def send(context, host, path, headers, method="GET", attempt_id=None, **others):
    context.number += 1
    attempt_id = attempt_id or f"a{context.number}"
    return context.fleet.send(host, method, path, attempt_id, headers=headers, **others)


def assert_served(context, *names):
    for host in context.fleet.hosts:
        for name in names:
            status, _, _ = send(context, host, "/look/1", bearer(name))
            assert status == 200, (host, name, status)
            head = context.fleet.heads()[-1]
            assert head["x-tenant"] == name, head
            assert "authorization" not in head, head


@given('keys: {count:d} hosts with workspace "acme", target t1')
def step_fleet(context, count):
    context.fleet = PlatformFleet(context.processes)
    context.number = 0
    context.version = 0
    configure(context, "acme")
    context.fleet.start_target("t1")
    for number in range(1, count + 1):
        context.fleet.start_host(f"h{number}", number)
    for name in context.fleet.hosts:
        context.fleet.wait_until(
            lambda name=name: context.fleet.log(name, 640), f"{name} knows t1"
        )


@when('keys: workspace "{name}" is added')
def step_add(context, name):
    configure(context, "acme", name)


@then('keys: each host serves "{name}" and its target sees it')
def step_served(context, name):
    assert_served(context, name)


@when('keys: workspace "{name}" is taken away while a connection of its key is kept')
def step_take_away(context, name):
    host = context.fleet.hosts["h1"]
    context.kept = http.client.HTTPConnection(host.address, host.caller_port, 10.0)
    context.add_cleanup(context.kept.close)
    context.headers = {"Host": HOST, **bearer(name)}
    context.kept.request("GET", "/look/1", headers=context.headers)
    answer = context.kept.getresponse()
    assert (answer.status, bool(answer.read())) == (200, True)
    context.kept_socket = context.kept.sock
    context.runs_before = len(context.fleet.runs())
    configure(context, "acme")


@then("keys: the next request on that connection gets 401 and does not run")
def step_kept(context):
    assert context.kept.sock is context.kept_socket is not None
    context.kept.request("GET", "/look/1", headers=context.headers)
    check_refused(context, context.kept)


def check_refused(context, connection):
    answer = connection.getresponse()
    assert answer.status == 401, answer.status
    assert answer.getheader("WWW-Authenticate") == "Bearer", answer.getheaders()
    assert len(context.fleet.runs()) == context.runs_before, context.fleet.runs()


@when('keys: the key of "acme" is taken away while half of a body is sent')
def step_half(context):
    context.runs_before = len(context.fleet.runs())
    context.half = begin_request(context, 10, bearer("acme"))
    context.half.send(b"12345")
    configure(context, "otra")
    context.half.send(b"67890")


def begin_request(context, length, headers):
    """Send the head of an order to h1 and return the connection."""
    host = context.fleet.hosts["h1"]
    connection = http.client.HTTPConnection(host.address, host.caller_port, 10.0)
    context.add_cleanup(connection.close)
    connection.putrequest("POST", "/order/1", skip_host=True)
    # The time limit covers the time until the configuration is in force.
    limits = {"X-Deadline-Remaining": "15000", "Content-Length": str(length)}
    for header in {"Host": HOST, **limits, **headers}.items():
        connection.putheader(*header)
    connection.endheaders()
    return connection


@then("keys: that request gets 401 and does not run")
def step_half_refused(context):
    check_refused(context, context.half)
    (line,) = context.fleet.log("h1", 660)
    assert (line["status"], line["sends"]) == (401, []), line


@then("keys: the head of a request of {length:d} bytes without a key gets 401")
def step_head(context, length):
    context.runs_before = 0
    check_refused(context, begin_request(context, length, {}))


@when('keys: the store turns h2 away and workspace "{name}" is added')
def step_turned_away(context, name):
    address = context.fleet.hosts["h2"].address
    context.fleet.store_fault(mode="busy", refused=[address])
    configure(context, "acme", name)


@when("keys: a configuration with one key at two workspaces is written")
def step_same_key(context):
    configure(context, "acme", extra=[make_workspace("b", key_of("acme"))])


@then('keys: each host refuses it and serves "acme" and "otra"')
def step_refused(context):
    for host in context.fleet.hosts:
        context.fleet.wait_until(
            lambda host=host: context.fleet.log(host, 631), f"{host} refuses it"
        )
        assert "earlier workspace" in context.fleet.log(host, 631)[0]["reason"]
    assert_served(context, "acme", "otra")


@when("keys: requests of all results carry their key in other headers and paths")
def step_spread(context):
    key = key_of("acme")
    copies = {"X-Copy": f"a{key}b", "Cookie": f"k={key}", "X-Tenant": key}
    valid = {"Authorization": f"Bearer {key}", **copies}
    found = []
    for path, headers in (
        (f"/none/{key}", valid),
        ("/look/1", valid),
        ("/look/~error", valid),
        ("/look/~unframed", valid),
        ("/look/~shed", valid),
        ("/free/1", valid),
        ("/free/1", {**valid, "Authorization": key}),
        ("/look/1", {**valid, "Authorization": key}),
        ("/look/1", {**valid, "Authorization": f"Bearer {key} {key}"}),
    ):
        status, _, body = send(context, "h1", path, headers, attempt_id=f"a-{key}")
        found.append(status)
        assert key.encode() not in body, body
    assert found == [404, 200, 500, 200, 503, 200, 200, 401, 401], found


@then("keys: no key is in the logs and metrics of the hosts or at the target")
def step_nowhere(context):
    key = key_of("acme")
    for name, process in context.fleet.hosts.items():
        address = (process.address, process.ready_port)
        status, _, metrics = context.fleet.ask(*address, "GET", "/metrics")
        assert status == 200 and b"oleander_host_workspaces 1" in metrics, metrics
        log = process.output_path.read_bytes() + process.error_path.read_bytes()
        assert log, name
        for text in (metrics, log):
            assert key.encode() not in text, text
    assert len(context.fleet.log("h1", 660)) >= 6
    assert len(context.fleet.log("h1", 680)) == 2
    heads = context.fleet.heads()
    assert len(heads) >= 5, heads
    assert key not in str(heads), heads
    assert key not in str(context.fleet.runs())


@when("keys: {count:d} workspaces are added")
def step_many(context, count):
    configure(context, *[f"w{number}" for number in range(count)])


@then("keys: each host decoded it in steps")
def step_stepped(context):
    for host in context.fleet.hosts:
        (line,) = context.fleet.log(host, 681)
        assert line["bytes"] > 500_000, line
