"""Steps on the commands story and settings."""

import json

from behave import given, then, when
from click.testing import CliRunner

from features.steps.host_decisions_steps import SETTINGS
from oleanderroute.cli import main


def line(host, event, timestamp, **fields):
    record = {"event": event, "timestamp": timestamp, **fields}
    return f"0.1 {host} {json.dumps(record)}\n"


@given("story: the logs of two hosts")
def step_logs(context):
    sends = [{"target": "i-1", "gray": 0.02, "result": "timeout"}]
    belief = {
        "target": "i-1",
        "gray": 0.8,
        "finding": "long_overdue",
        "message_type": "oleander:target_belief_changed",
    }
    lines = [
        line("h1", 645, 10.3, **belief),
        line("h2", 645, 10.3, **{**belief, "finding": "failed"}),
        line(
            "h1",
            660,
            11.5,
            request="r1",
            reason="target-timeout",
            elapsed_ms=1500,
            sends=sends,
        ),
        line("h2", 661, 12.0, request="r2", reason="no-route", news_age_s=0.4),
        "no record at all {\n",
    ]
    context.log = "".join(lines)


@when('story: the story of "{request}" is asked for')
def step_story(context, request):
    context.result = CliRunner().invoke(main, ["story", request], input=context.log)


@when('story: a settings file with "{changed}" is checked')
def step_settings(context, changed):
    path = context.processes.directory / "local.conf"
    path.write_text(SETTINGS + changed + "\n")
    context.result = CliRunner().invoke(main, ["settings", "check", str(path)])


@then('story: the exit code is {code:d} and the output holds "{words}"')
def step_output(context, code, words):
    result = context.result
    assert result.exit_code == code, (result.exit_code, result.output)
    for word in words.split(","):
        assert word in result.output, (word, result.output)
