"""The command story: what the logs of all hosts say about one request."""

import json
import re
from operator import itemgetter

import click

from .. import events
from .declarations import json_option
from .output import CommandFailed, ExitCode, Output

REQUEST_EVENTS = frozenset(
    {events.REQUEST_FINISHED.number, events.REQUEST_WITHOUT_ROUTE.number}
)
TARGET_EVENTS = frozenset(
    {
        events.TARGET_ADDED.number,
        events.TARGET_LEAVING.number,
        events.TARGET_GONE.number,
        events.TARGET_BELIEF_CHANGED.number,
    }
)
HIDDEN_FIELDS = frozenset({"event", "level", "task_uuid", "task_level", "source"})
# Beliefs about the targets of a request that may explain its choice.
BEFORE_S = 3.0
AFTER_S = 2.0
# A collector may put its own words, such as a host's name, before the record.
RECORD = re.compile(r"\{.*\}\s*$")


def read_records(files):
    """Return the log records in ``files``, with what stood before each.

    Lines that hold no record are left out.
    """
    found = []
    for file in files:
        for line in file:
            match = RECORD.search(line)
            if match is None:
                continue
            try:
                record = json.loads(match.group())
            except ValueError:
                continue
            if isinstance(record, dict) and "event" in record:
                record["source"] = line[: match.start()].strip() or file.name
                found.append(record)
    found.sort(key=lambda record: record.get("timestamp", 0.0))
    return found


def tell_story(records, request_id):
    """Return the records about a request and about the targets that it met."""
    own = []
    for record in records:
        if record["event"] in REQUEST_EVENTS and record.get("request") == request_id:
            own.append(record)
    related = list(own)
    for request in own:
        related += target_records(records, request)
    related.sort(key=itemgetter("timestamp"))
    return related


def target_records(records, request):
    """Return what the same host believed and heard of a request's targets."""
    targets = {send["target"] for send in request.get("sends", ())}
    ended_at = request["timestamp"]
    started_at = ended_at - request.get("elapsed_ms", 0) / 1000
    found = []
    for record in records:
        if record["event"] not in TARGET_EVENTS or record.get("target") not in targets:
            continue
        if record["source"].split()[-1:] != request["source"].split()[-1:]:
            continue
        if started_at - BEFORE_S <= record["timestamp"] <= ended_at + AFTER_S:
            found.append(record)
    return found


def story_lines(records):
    """Return one line of text for each record."""
    lines = []
    for record in records:
        fields = []
        for name, value in record.items():
            if name not in HIDDEN_FIELDS:
                fields.append(f"{name}={json.dumps(value)}")
        lines.append(f"{record['source']} {record['event']} {' '.join(fields)}")
    return lines


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
@json_option
def story(request_id, files, as_json):
    """Tell what happened to the request REQUEST_ID, from the logs in FILES.

    REQUEST_ID is the X-Attempt-Id of the caller. Without FILES, standard input is
    read. Printed are the records of the request and, from 3 s before it to 2 s
    after it, what its host came to believe of the targets it was sent to.

    \b
    Example:
      oleanderctl story 40401a1c8be82a87 edge-*.log

    Exits with 1 if no record names the request; its line may have been left out
    (see left_out in docs/OPERATIONS.md).
    """
    if not files:
        files = [click.get_text_stream("stdin")]
    records = tell_story(read_records(files), request_id)
    if not records:
        raise CommandFailed(
            f"no record names the request {request_id}", ExitCode.REFUSED
        )
    Output(as_json).result({"records": records}, story_lines(records))
