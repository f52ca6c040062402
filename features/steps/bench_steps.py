"""Steps on the comparison with the naive relays."""

import subprocess
import sys

from behave import given, then, when

from bench.compare_measures import first_gap
from features.support.processes import ROOT
from oleanderroute.daemon import EXIT_SETTINGS
from standins.load_plan import ResendPolicy
from standins.load_report import AttemptRecord, RequestRecord

START_TIMEOUT_S = 60


@when("the bench looks for a gap of 2 s from 10 to {until:g} in runs at {runs}")
def step_look_for_gap(context, until, runs):
    starts = [float(text) for text in runs.split()]
    context.gap_at = first_gap(starts, 10.0, until, 2.0)


@then("the bench finds the gap at {found}")
def step_gap_found(context, found):
    expected = None if found == "none" else float(found)
    assert context.gap_at == expected, context.gap_at


@when("the bench starts a daemon without {mechanism} and without settings")
def step_start_ablated(context, mechanism):
    context.result = subprocess.run(
        [sys.executable, "-m", "bench.ablated_daemon", mechanism]
        + ["--settings", "missing.json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
        check=False,
    )


@then("the bench daemon ends for its settings alone")
def step_ends_for_settings(context):
    result = context.result
    assert result.returncode == EXIT_SETTINGS, result
    assert "oleanderrouted: " in result.stderr, result.stderr
    assert "Traceback" not in result.stderr, result.stderr


@given("a bench resend policy for statuses 502 and 503")
def step_resend_policy(context):
    context.policy = ResendPolicy(attempts=3, statuses=[502, 503])


@then(
    "the bench resends attempt {attempt:d} with outcome {outcome} and status "
    "{status:d}: {resent}"
)
def step_resends(context, attempt, outcome, status, resent):
    applies = context.policy.applies("lookup", attempt, outcome, status)
    assert applies == (resent == "yes")


@given("a bench request refused after 10 ms with a deadline of 800 ms")
def step_refused_request(context):
    context.record = RequestRecord(
        "load-1", "lookup", 0, 0.0, False, deadline_s=0.8, latency_s=0.01
    )
    context.record.attempts.append(AttemptRecord(1, "not-run", status=503))


@then("the bench counts {expected_ms:g} ms for it")
def step_counts_deadline(context, expected_ms):
    assert context.record.censored_s * 1000 == expected_ms
