"""Steps on the burn report, the incidents and what operators read."""

import copy
import json
import re
import socket
import time
import urllib.error
import urllib.request
from html.parser import HTMLParser
from types import SimpleNamespace

from aioprometheus import render
from behave import given, then, when
from eliot import add_destinations, remove_destination
from hdrh.histogram import HdrHistogram
from hypothesis import given as any_of
from hypothesis import settings, strategies

from bench.fleet import LocalFleet, ServicePlan, get_json
from bench.routes import EXAMPLE_ROUTES, LOOKUP
from features.support.processes import LOOPBACK, eventually
from oleanderroute import events
from oleanderroute.clock import ManualClock
from oleanderroute.commands.asking import HostAnswer
from oleanderroute.commands.report import merge_answers
from oleanderroute.commands.report_text import report_lines, spender_text
from oleanderroute.decisions.quarantine import Quarantine
from oleanderroute.decisions.verdict import Restraint
from oleanderroute.declaration.model import Objective, Repeatability
from oleanderroute.entry.messages import BytesBody, CallerAnswer, CallerRequest
from oleanderroute.entry.pipeline import Pipeline, ServingView
from oleanderroute.entry.streamed import StreamedBody
from oleanderroute.errors import BetweenBytesTimeout, ConnectionBroken
from oleanderroute.logs import LevelFilter
from oleanderroute.metrics import Metrics
from oleanderroute.operator.blame import Spender, SpenderKind
from oleanderroute.operator.burn import BurnLedger
from oleanderroute.operator.exposition import metrics_page
from oleanderroute.operator.histogram import MAX_LATENCY_UNITS, LatencyHistogram
from oleanderroute.operator.hostreport import host_report
from oleanderroute.operator.incidents import IncidentLog
from oleanderroute.operator.windows import BUCKETS_PER_WINDOW, OBJECTIVE_WINDOW
from oleanderroute.outcome import Attempt, AttemptKind, CallerOutcome, RequestClass

EXAMPLES = settings(max_examples=60, deadline=None, derandomize=True, database=None)
OBJECTIVE = Objective(0.99, 250, 30)
BUCKET_S = {"5m": 10, "1h": 120, "6h": 720, "3d": 8640, OBJECTIVE_WINDOW: 86_400}
# Seconds to the next request, whether it is good, and its host.
REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.one_of(
            strategies.floats(0, 15),
            strategies.floats(0, 4000),
            strategies.floats(0, 2_000_000),
        ),
        strategies.booleans(),
        strategies.integers(0, 2),
    ),
    max_size=40,
)


def fake_service():
    return SimpleNamespace(objective=OBJECTIVE, depends_on=("stock",), region="r")


def fake_context(target_ids=("t-1",), restraint=Restraint.NONE):
    """Return what the ledger reads of a request's context."""
    views = {}
    for target_id in target_ids:
        views[target_id] = SimpleNamespace(
            target=SimpleNamespace(failure_domain="a"),
            reason=SimpleNamespace(restraint=restraint),
        )
    return SimpleNamespace(
        route=SimpleNamespace(service="shop", request_class=RequestClass.QUICK),
        entry=SimpleNamespace(
            service=fake_service(), router=SimpleNamespace(views=views)
        ),
        ended_attempts=[],
        request=SimpleNamespace(received_at=0.0),
    )


def answer_of(status=200, outcome=CallerOutcome.ANSWERED, reason="ok", body=b""):
    return CallerAnswer(status, [], body, outcome, reason)


def attempt_of(kind, latency_s, target_id="t-1"):
    return Attempt(target_id, RequestClass.QUICK, kind, latency_s)


def part_of(ledger, host_id="h-1", incidents=None, revision=1):
    """Return the JSON document of a host, as it arrives over HTTP."""
    serving = SimpleNamespace(
        entries={"shop": SimpleNamespace(service=fake_service())}, revision=revision
    )
    identity = SimpleNamespace(host_id=host_id, failure_domain="a", region="r")
    incidents = incidents or IncidentLog()
    document = host_report(identity, serving, ledger, incidents, ledger.clock)
    return json.loads(json.dumps(drive(document)))


def merged(documents, now_unix_s, silent=()):
    answers = [HostAnswer(f"{one['host_id']}:1", one) for one in documents]
    answers += [HostAnswer(address, error="refused") for address in silent]
    return merge_answers(answers, now_unix_s)


def replay(requests, clock, ledgers):
    """Count requests on ledgers; return their times and whether they were good."""
    seen = []
    context = fake_context()
    for pause_s, is_good, host in requests:
        clock.advance(pause_s)
        status = 200 if is_good else 500
        context.ended_attempts = [attempt_of(AttemptKind.ERROR_STATUS, 0.01)]
        ledgers[host % len(ledgers)].record(context, answer_of(status), 0.02)
        seen.append((clock.now(), is_good))
    return seen


def recount(seen, now, bucket_s, is_good):
    """Count the naive way what lies in the newest buckets."""
    oldest = now // bucket_s - BUCKETS_PER_WINDOW
    count = 0
    for at, good in seen:
        if at // bucket_s > oldest and good is is_good:
            count += 1
    return count


@then("report: any sequence of requests is counted in each window like a recount")
def step_windows(context):
    # Guards against buckets that are kept too long, emptied twice or skipped.
    @EXAMPLES
    @any_of(REQUESTS, strategies.floats(0, 400_000))
    def check(requests, pause_s):
        clock = ManualClock()
        ledger = BurnLedger(clock)
        seen = replay(requests, clock, [ledger])
        clock.advance(pause_s)
        documents = list(ledger.documents())
        if not seen:
            assert documents == []
            return
        counts = documents[0].counts["windows"]
        for name, bucket_s in BUCKET_S.items():
            expected = {
                "good": recount(seen, clock.now(), bucket_s, True),
                "bad": recount(seen, clock.now(), bucket_s, False),
            }
            assert counts[name] == expected, (name, counts[name], expected)

    check()


@then("report: any latencies give the same histogram as the library's method")
def step_histogram(context):
    # Guards against an index that differs from the library's at a power of two.
    @EXAMPLES
    @any_of(strategies.lists(strategies.integers(0, MAX_LATENCY_UNITS), min_size=1))
    def check(values):
        values += [127, 128, 255, 256, 257, 511, 512, MAX_LATENCY_UNITS]
        fast = LatencyHistogram()
        slow = HdrHistogram(1, MAX_LATENCY_UNITS, 2, word_size=4)
        for value in values:
            fast.record_value(value)
            assert slow.record_value(value)
        assert fast.encode() == slow.encode()
        assert fast.get_total_count() == slow.get_total_count()
        for percentile in (1, 50, 99, 100):
            expected = slow.get_value_at_percentile(percentile)
            assert fast.get_value_at_percentile(percentile) == expected

    check()


@then("report: any requests spread over hosts merge to the recount of all")
def step_merge(context):
    # Guards against parts that are dropped or counted twice in the merge.
    @EXAMPLES
    @any_of(REQUESTS)
    def check(requests):
        clock = ManualClock()
        ledgers = [BurnLedger(clock) for _ in range(3)]
        seen = replay(requests, clock, ledgers)
        parts = [part_of(one, f"h-{i}") for i, one in enumerate(ledgers)]
        service = merged(parts, clock.wall()).services[0]
        for name, bucket_s in BUCKET_S.items():
            good = recount(seen, clock.now(), bucket_s, True)
            bad = recount(seen, clock.now(), bucket_s, False)
            figures = service.windows[name]
            assert (figures.good, figures.bad) == (good, bad)
            if good + bad == 0:
                assert figures.burn_rate is None
                continue
            expected = bad / (good + bad) / (1 - OBJECTIVE.success_share)
            assert abs(figures.burn_rate - expected) < 1e-9
        spent = sum(row.counts[OBJECTIVE_WINDOW] for row in service.spenders)
        assert spent == service.budget.bad
        assert sum(service.failure_domains.values()) == spent

    check()


@given("report: a ledger with an objective of 250 ms")
def step_ledger(context):
    context.clock = ManualClock()
    context.ledger = BurnLedger(context.clock)
    context.request = fake_context()


@given("report: the targets wait for a sick dependency")
def step_dependency(context):
    context.request = fake_context(restraint=Restraint.DEPENDENCY_SICK)


@when("report: an attempt on t-1 ends as {kind} after {latency_ms:d} ms")
def step_attempt(context, kind, latency_ms):
    if kind == "none":
        return
    attempt = attempt_of(AttemptKind[kind.upper()], latency_ms / 1000)
    context.request.ended_attempts.append(attempt)


@when("report: the caller gets {status:d} {outcome} {reason} after {ms:d} ms")
def step_answer(context, status, outcome, reason, ms):
    answer = answer_of(status, CallerOutcome(outcome), reason)
    context.ledger.record(context.request, answer, ms / 1000)


@when("report: a streamed answer with status 200 ends as {end} after {ms:d} ms")
def step_streamed(context, end, ms):
    request = context.request
    request.request.received_at = context.clock.now()
    errors = {
        "broken": ConnectionBroken("cut", True),
        "silent": BetweenBytesTimeout("late", True),
    }

    async def chunks():
        yield b"begin"
        if end in errors:
            raise errors[end]

    def finish(kind):
        request.ended_attempts.append(attempt_of(kind, ms / 1000))

    body = StreamedBody(
        SimpleNamespace(chunks=chunks, abandon=lambda: None),
        SimpleNamespace(finish=finish),
        SimpleNamespace(release=lambda: None),
        AttemptKind.OK,
    )
    context.ledger.record(request, answer_of(body=body), 0.001)
    assert list(context.ledger.documents()) == [], "counted before its end"
    context.clock.advance(ms / 1000)
    drive(read_stream(body, leaves=end == "left"))


async def read_stream(body, leaves):
    try:
        async for _ in body:
            if leaves:
                break
    except (ConnectionBroken, BetweenBytesTimeout):
        pass
    finally:
        await body.aclose()


def drive(coroutine):
    """Run a coroutine that waits for nothing and return its result."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as end:
            return end.value


@then("report: the request is {judgement}, spent by {spender}")
def step_judgement(context, judgement, spender):
    (document,) = context.ledger.documents()
    counts = document.counts
    five = counts["windows"]["5m"]
    found = {"good": five["good"], "bad": five["bad"], "excluded": counts["excluded"]}
    assert found == {"good": 0, "bad": 0, "excluded": 0, judgement: 1}, found
    report = merged([part_of(context.ledger)], context.clock.wall())
    spenders = [spender_text(row) for row in report.services[0].spenders]
    assert spenders == ([] if spender == "nobody" else [spender]), spenders


@when("report: 500 targets fail one request each, and 10 s later 500 others")
def step_many_spenders(context):
    for name in ("old", "new"):
        for number in range(500):
            target_id = f"{name}-{number}"
            request = fake_context((target_id,))
            kind = AttemptKind.ERROR_STATUS
            request.ended_attempts.append(attempt_of(kind, 0.01, target_id))
            context.ledger.record(request, answer_of(500), 0.01)
        context.clock.advance(10)


@then("report: at most {limit:d} spenders are kept and they spent {count:d} requests")
def step_bounded_spenders(context, limit, count):
    (document,) = context.ledger.documents()
    spenders = document.counts["spenders"]
    assert len(spenders) <= limit, len(spenders)
    spent = sum(row["counts"][OBJECTIVE_WINDOW] for row in spenders)
    assert spent == count, spent


@when("report: requests are answered after 0, 7, 13 and 40 hours")
def step_hours(context):
    context.covered = []
    for pause_h in (0, 7, 6, 27):
        context.clock.advance(pause_h * 3600)
        context.ledger.record(context.request, answer_of(), 0.01)
        report = merged([part_of(context.ledger)], context.clock.wall())
        latency = report.services[0].classes["quick"].latency
        context.covered.append(latency.requests)
        age_s = context.clock.wall() - latency.since_unix_s
        assert age_s < 12 * 3600 + 1, age_s


@then("report: the percentiles cover {counts} requests")
def step_covered(context, counts):
    assert context.covered == [int(one) for one in re.findall(r"\d+", counts)]


@given("report: 2 hosts that run for 3 and 30 hours, and one that is silent")
def step_two_hosts(context):
    clock = ManualClock()
    old = BurnLedger(clock)
    clock.advance(27 * 3600)
    new = BurnLedger(clock)
    clock.advance(3 * 3600)
    # 1 bad of 200 requests, where the objective allows 2.
    for number in range(200):
        status = 500 if number == 0 else 200
        request = fake_context()
        request.ended_attempts.append(attempt_of(AttemptKind.ERROR_STATUS, 0.01))
        (old, new)[number % 2].record(request, answer_of(status), 0.01)
    parts = [part_of(old, "h-1"), part_of(new, "h-2")]
    context.report = merged(parts, clock.wall(), silent=["h-3:1"])


@then("report: half of the budget is left, known for 30 hours of 30 days")
def step_budget(context):
    budget = context.report.services[0].budget
    assert abs(budget.left_share - 0.5) < 1e-9, budget
    assert abs(budget.known_s - 30 * 3600) < 1, budget


@then("report: the text names the silent host and that replaced hosts took their part")
def step_text(context):
    text = "\n".join(report_lines(context.report))
    assert "2 of 3 hosts answered" in text
    assert "h-3:1: no part, no answer: refused" in text
    assert "When a host is replaced, its part is lost with it" in text
    assert "(3.0 h)" in text and "(1.2 days)" in text, text


@then("report: a part with {fault} is reported as {error}")
def step_malformed(context, fault, error):
    clock = ManualClock()
    ledger = BurnLedger(clock)
    ledger.record(fake_context(), answer_of(), 0.01)
    good = part_of(ledger, "h-1")
    bad = copy.deepcopy(good)
    if fault == "another format":
        bad["format"] = 99
    elif fault == "no services":
        del bad["services"]
    elif fault == "a cut histogram":
        latency = bad["services"]["shop"]["classes"]["quick"]["latency"]
        latency["histogram"] = latency["histogram"][:12]
    else:
        bad = ["h-2"]
    answers = [HostAnswer("one:1", good), HostAnswer("two:1", bad)]
    report = merge_answers(answers, clock.wall())
    silent = report.silent_hosts()
    assert [host.address for host in silent] == ["two:1"]
    assert error in silent[0].error, silent
    assert report.services[0].windows["5m"].good == 1


def record_of(event, at_unix_s, **fields):
    return {"event": event.number, "timestamp": at_unix_s, **fields}


@then("report: {count:d} equal outages become one incident with its count and reason")
def step_repeats(context, count):
    log = IncidentLog()
    for number in range(count):
        log(record_of(events.STORE_UNAVAILABLE, 50.0 + number, reason="no route"))
    log(record_of(events.HOST_LIST_CHANGED, 60.0))
    (incident,) = log.document()
    assert (incident["count"], incident["last_unix_s"]) == (count, 52.0)
    assert incident["reason"] == "no route"


@then("report: of {added:d} different incidents the newest {kept:d} are kept")
def step_bounded_incidents(context, added, kept):
    log = IncidentLog()
    for number in range(added):
        fields = {"was": "healthy", "state": "ejected", "reason": "x" * 5000}
        record = record_of(events.VERDICT_CHANGED, number, target=f"t-{number}")
        log({**record, **fields})
    rows = log.document()
    assert (len(rows), log.dropped) == (kept, added - kept)
    assert rows[-1]["subject"] == f"t-{added - 1}"
    assert len(rows[-1]["reason"]) < 1000


@then("report: incidents of two hosts are merged in the order of time")
def step_incident_order(context):
    ledger = BurnLedger(ManualClock())
    logs = [IncidentLog(), IncidentLog()]
    for number in range(6):
        record = record_of(events.STORE_BACK, number, version=number)
        logs[number % 2](record)
        outage = record_of(events.STORE_UNAVAILABLE, number + 0.5, reason="down")
        logs[number % 2](outage)
    parts = [part_of(ledger, f"h-{i}", log) for i, log in enumerate(logs)]
    report = merged(parts, ledger.clock.wall())
    times = [incident.at_unix_s for incident in report.incidents]
    assert times == sorted(times) and len(times) == 12
    assert report.incidents[0].decision == "store answers again"


class PageCheck(HTMLParser):
    """Checks that elements are closed in order, and notes what a page loads."""

    VOID = {"meta", "img"}

    def __init__(self):
        super().__init__()
        self.open = []
        self.tags = []
        self.loaded = []
        self.undescribed = []

    def handle_starttag(self, tag, attributes):
        attributes = dict(attributes)
        self.tags.append(tag)
        for name in ("src", "href", "data", "action"):
            if name in attributes:
                self.loaded.append(attributes[name])
        if tag == "img" and not attributes.get("alt"):
            self.undescribed.append(attributes)
        if tag not in self.VOID:
            self.open.append(tag)

    def handle_endtag(self, tag):
        assert self.open.pop() == tag, tag


@then("report: a page about hostile names loads nothing and runs nothing")
def step_page(context):
    # matplotlib is loaded here only: its objects lengthen the garbage collections of
    # the whole test process, and "entry: Backpressure reaches the sender" then sees
    # 10 to 14 MB in the kernel's socket buffers where it allows 12 MB.
    from oleanderroute.commands.report_page import report_page

    # Target names and error texts come from peers and from the platform.
    hostile = '<script src="http://x/">"&</script>'
    clock = ManualClock()
    ledger = BurnLedger(clock)
    request = fake_context((hostile,))
    request.ended_attempts.append(attempt_of(AttemptKind.TIMEOUT, 1.0, hostile))
    ledger.record(request, answer_of(504, CallerOutcome.UNKNOWN, "target-timeout"), 1)
    log = IncidentLog()
    log(record_of(events.STORE_UNAVAILABLE, clock.wall(), reason=hostile))
    part = part_of(ledger, "h-1", log)
    page = report_page(merged([part], clock.wall(), silent=[hostile]))
    check = PageCheck()
    check.feed(page)
    check.close()
    assert check.open == [] and check.undescribed == []
    assert "script" not in check.tags and "link" not in check.tags
    images = [one for one in check.loaded if one.startswith("data:image/svg+xml")]
    assert len(images) == len(check.loaded) == 4, check.loaded
    assert "url(" not in page and "@import" not in page


@then("report: with log level {level} the log holds {written}")
def step_levels(context, level, written):
    records = []
    destination = LevelFilter(records.append, events.Level[level.upper()])
    add_destinations(destination)
    context.stack.callback(remove_destination, destination)
    marker = time.monotonic_ns()
    for one in events.Level:
        events.Event(999, "test", "", one).log(marker=marker)
    levels = [one["level"] for one in records if one.get("marker") == marker]
    assert ", ".join(levels) == written, levels


@then("report: the metrics page in steps has the lines that the library writes")
def step_page_in_steps(context):
    metrics = Metrics()
    for number in range(12):
        labels = {"service": f"s-{number}"}
        metrics.requests.inc(labels)
        metrics.queued.set(labels, number)
        metrics.request_seconds.observe(labels, number / 10)
    found = drive(metrics_page(metrics.registry)).decode()
    expected = render(metrics.registry, [])[0].decode()
    assert sorted(found.splitlines()) == sorted(expected.splitlines())
    assert found.endswith("\n")


class FailingRunner:
    """Fails like a fault of the program in the middle of a request."""

    async def run(self, context):
        raise ZeroDivisionError


@then("report: a pipeline whose attempts fail counts a bad request of the fleet")
def step_fault(context):
    clock = ManualClock()
    ledger = BurnLedger(clock)
    route = SimpleNamespace(
        service="shop",
        request_class=RequestClass.QUICK,
        repeatability=Repeatability.IDEMPOTENT,
        deadline_ms=1000,
        max_body_bytes=1,
    )
    match = SimpleNamespace(route=route)
    routes = SimpleNamespace(match=lambda *_: match)
    quarantine = Quarantine(clock)
    pipeline = Pipeline(None, quarantine, FailingRunner(), clock, Metrics(), ledger)
    pipeline.set_view(ServingView(routes, {"shop": fake_context().entry}, 1))
    request = CallerRequest("GET", "/", b"/", [], BytesBody(), clock.now(), "r-1")
    answer = drive(pipeline.handle(request))
    assert answer.status == 500, answer
    assert answer.outcome is CallerOutcome.UNKNOWN, answer
    report = merged([part_of(ledger)], clock.wall())
    spenders = [spender_text(row) for row in report.services[0].spenders]
    assert spenders == ["fleet, internal-error"], spenders


# Real processes


def send_order(url):
    """Send an order without a key, which is never retried; return its status."""
    request = urllib.request.Request(f"{url}/orders", data=b"1", method="POST")
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code


def fleet_report(fleet, *options):
    options += ("--json", "--store", fleet.platform_url)
    result = fleet.oleanderctl("report", *options)
    return result, json.loads(result.stdout)


@given("report: a local fleet whose target pedidos-02 fails its work")
def step_fleet(context):
    context.fleet = LocalFleet(
        context.stack, {"pedidos": ServicePlan(4)}, EXAMPLE_ROUTES[:2], hosts=2
    )
    context.fleet.start()
    share = {"share": 1, "status": 500}
    context.fleet.control_target("pedidos-02", fail_share=share)


@when("report: orders are sent until some failed and the target is ejected")
def step_orders(context):
    fleet = context.fleet
    context.sent = {200: 0, 500: 0}

    def is_ejected():
        for _ in range(10):
            context.sent[send_order(fleet.url(0))] += 1
        states = get_json(
            f"{fleet.operator_url(fleet.hosts[0])}/explain"
            "?service=pedidos&target=pedidos-02"
        )
        return states["targets"][0]["state"] == "ejected"

    eventually(is_ejected, message="the gray target was not ejected")
    # A first ejection lasts 5 s, which the commands of the next steps may outlast.
    context.metrics_lines = scrape(fleet, fleet.hosts[0])


@then("report: oleanderctl report names pedidos-02 as the only spender")
def step_spender(context):
    result, document = fleet_report(context.fleet)
    assert result.returncode == 0, result.stderr
    (service,) = document["services"]
    assert service["windows"]["5m"]["good"] == context.sent[200]
    assert service["windows"]["5m"]["bad"] == context.sent[500] > 0
    (spender,) = service["spenders"]
    expected = Spender(
        SpenderKind.TARGET,
        "pedidos-02",
        context.fleet.target_domains["pedidos-02"],
        "error_status",
    )
    found = [spender[field] for field in Spender._fields]
    assert found == list(expected), spender
    result, narrowed = fleet_report(context.fleet, "--service", "pedidos")
    assert result.returncode == 0, result.stderr
    # Times are figured from two clocks and differ by microseconds; counts do not.
    (same,) = narrowed["services"]
    for field in ("name", "objective", "windows", "spenders"):
        assert same[field] == service[field], (field, same[field])
    result, _ = fleet_report(context.fleet, "--service", "absent")
    assert result.returncode == 3 and "status 404" in result.stdout


@then("report: the incidents hold its ejection with the reason that explain prints")
def step_ejection(context):
    fleet = context.fleet
    address = f"127.0.0.1:{fleet.hosts[0].operator_port}"
    arguments = ["--service", "pedidos", "--target", "pedidos-02"]
    result = fleet.oleanderctl("explain", "--host", address, *arguments)
    assert result.returncode == 0, result.stderr
    reason = re.search(r"^ *reason: (.+)$", result.stdout, re.MULTILINE).group(1)
    assert reason.startswith("wrong_status share="), reason
    incidents = fleet_report(fleet)[1]["incidents"]
    reasons = []
    for one in incidents:
        if one["subject"] == "pedidos-02" and one["decision"].endswith("ejected"):
            reasons.append(one["reason"])
    # The reason of an ejected target is kept; only its samples may have grown.
    signal = reason.split(" samples=")[0]
    assert any(text.startswith(signal) for text in reasons), (reason, reasons)


SAMPLE = re.compile(
    r'^([a-z_]+)(\{(?:[a-z_]+="(?:[^"\\\n]|\\.)*",?)*\})? (-?[0-9.e+-]+|\+Inf|NaN)$'
)
UNITS = ("_total", "_seconds", "_bytes", "_ratio")
# Counts of things have no unit.
UNITLESS = {"claims", "ejected_targets", "queued_requests", "revision", "targets"}
UNITLESS |= {"store_available"}


def scrape(fleet, host):
    """Return the lines of a host's metrics page."""
    url = f"{fleet.operator_url(host)}/metrics"
    accept = "application/openmetrics-text;version=1.0.0,text/plain;q=0.5,*/*;q=0.1"
    request = urllib.request.Request(url, headers={"Accept": accept})
    with urllib.request.urlopen(request, timeout=10) as response:
        assert response.headers["Content-Type"].startswith("text/plain; version=0.0.4")
        return response.read().decode().splitlines()


@then("report: a scrape parses, with units in names and the ejected target counted")
def step_scrape(context):
    kinds = {}
    samples = {}
    for line in context.metrics_lines:
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split(" ")
            kinds[name] = kind
            short = name.removeprefix("oleander_")
            assert name.endswith(UNITS) or short in UNITLESS, name
            assert (kind == "counter") == name.endswith("_total"), line
            continue
        if line.startswith("#"):
            continue
        match = SAMPLE.match(line)
        assert match, line
        samples[match.group(1) + (match.group(2) or "")] = float(match.group(3))
        base = re.sub(r"_(bucket|sum|count)$", "", match.group(1))
        assert match.group(1) in kinds or base in kinds, line
    assert samples['oleander_ejected_targets{service="pedidos"}'] == 1, samples
    assert 'oleander_queued_requests{service="pedidos"}' in samples
    assert "oleander_claims" in samples
    labels = '{class="quick",result="bad",service="pedidos"}'
    assert samples["oleander_objective_requests_total" + labels] == context.sent[500]
    labels = '{class="quick",service="pedidos"}'
    count = samples["oleander_request_duration_seconds_count" + labels]
    assert count == sum(context.sent.values())


@then("report: after a host is killed the report says which part is missing")
def step_killed(context):
    fleet = context.fleet
    host = fleet.hosts[1]
    fleet.daemons[host.host_id].kill()
    result, document = fleet_report(fleet)
    assert result.returncode == 3, result.returncode
    assert host.host_id in result.stderr
    missing = [one["host_id"] for one in document["hosts"] if one["error"]]
    assert missing == [host.host_id]
    (service,) = document["services"]
    assert service["windows"]["5m"]["bad"] == context.sent[500]


@given("report: a fleet of one host and one target")
def step_small_fleet(context):
    services = {"pedidos": ServicePlan(1, floor_slots=1)}
    context.fleet = LocalFleet(context.stack, services, [LOOKUP], hosts=1)
    context.fleet.start()


def ask_for(fleet, size):
    """Ask for a streamed answer of some size; return the caller's socket."""
    port = fleet.hosts[0].caller_port
    caller = socket.create_connection((LOOPBACK, port), timeout=10)
    head = f"GET /stock/x HTTP/1.1\r\nHost: a\r\nX-Answer-Bytes: {size}\r\n\r\n"
    caller.sendall(head.encode())
    assert caller.recv(1024).startswith(b"HTTP/1.1 200")
    return caller


def quick_counts(fleet):
    """Return good, bad and excluded requests of the fleet's only host."""
    document = get_json(f"{fleet.operator_url(fleet.hosts[0])}/report")
    counts = document["services"]["pedidos"]["classes"].get("quick")
    if counts is None:
        return [0, 0, 0]
    five = counts["windows"]["5m"]
    return [five["good"], five["bad"], counts["excluded"]]


def wait_counts(context, expected):
    eventually(
        lambda: quick_counts(context.fleet) == expected,
        message=f"the counts never became {expected}",
    )


@when("report: a caller gets 300000 bytes, and another one leaves in the middle")
def step_whole_and_left(context):
    headers = {"X-Answer-Bytes": "300000"}
    url = f"{context.fleet.url(0)}/stock/x"
    request = urllib.request.Request(url, headers=headers)
    with urllib.request.urlopen(request, timeout=10) as response:
        assert len(response.read()) == 300_000
    wait_counts(context, [1, 0, 0])
    ask_for(context.fleet, 50_000_000).close()
    wait_counts(context, [1, 0, 1])


@when("report: the target is killed in the middle of a long answer")
def step_cut(context):
    # More than the sockets on the way can hold, so that a part is still to come.
    caller = ask_for(context.fleet, 50_000_000)
    context.stack.callback(caller.close)
    context.fleet.targets["pedidos-01"].kill()
    try:
        while caller.recv(1 << 20):
            pass
    except ConnectionResetError:
        pass


@then("report: 1 request is good, 1 is bad, 1 is not counted")
def step_counted(context):
    wait_counts(context, [1, 1, 1])
