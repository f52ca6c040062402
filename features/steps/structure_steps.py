"""Steps on the structure of the project."""

import ast
import re
from pathlib import Path

from behave import then

from oleanderroute import events
from oleanderroute.entry.refusals import RefusalReason
from oleanderroute.metrics import Metrics
from oleanderroute.operator.catalogue import catalogue_page

ROOT = Path(__file__).resolve().parent.parent.parent


@then("each catalogue entry has a number between 100 and 999")
def step_numbers(context):
    for number, event in events.CATALOGUE.items():
        assert 100 <= number <= 999, event
        assert event.number == number


@then("docs/events.md is the page that the catalogue generates")
def step_page(context):
    found = (ROOT / "docs" / "events.md").read_text()
    assert found == catalogue_page(), (
        "run: python -m oleanderroute.operator.catalogue > docs/events.md"
    )


def logged_fields():
    """Map the name of each event to the fields of all its calls of ``log``."""
    fields = {}
    for path in sorted((ROOT / "oleanderroute").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not is_event_log(node.func):
                continue
            names = {keyword.arg for keyword in node.keywords}
            assert None not in names, f"{path}: fields of an event by ** are unknown"
            fields.setdefault(node.func.value.attr, set()).update(names)
    return fields


def is_event_log(function):
    """Return whether a called expression has the form ``events.NAME.log``."""
    return (
        isinstance(function, ast.Attribute)
        and function.attr == "log"
        and isinstance(function.value, ast.Attribute)
        and isinstance(function.value.value, ast.Name)
        and function.value.value.id == "events"
    )


@then("each logged event has the fields that its catalogue entry names")
def step_fields(context):
    logged = logged_fields()
    assert len(logged) > 10, "the calls were not found"
    for name, found in logged.items():
        event = getattr(events, name)
        assert found == set(event.fields), (name, found, event.fields)


@then("each warning and error in the catalogue tells an operator what to do")
def step_actions(context):
    for event in events.CATALOGUE.values():
        if event.level >= events.Level.WARNING:
            assert event.action != events.NO_ACTION, event


@then("docs/alarms.md names only metrics and reasons that exist")
def step_alarms(context):
    # An alarm on a renamed metric or reason would never fire.
    text = (ROOT / "docs" / "alarms.md").read_text()
    known = set(Metrics().registry.collectors)
    named = set(re.findall(r"oleander_[a-z_]+", text))
    assert len(named) > 5 and named <= known, named - known
    reasons = {reason.value for reason in RefusalReason}
    for listed in re.findall(r'reason=~?"([^"]+)"', text):
        assert set(re.split(r"\\?\|", listed)) <= reasons, listed
