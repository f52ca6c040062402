"""The commands status and explain, which ask hosts on their operator port."""

import asyncio

import click

from .asking import (
    fail_for_silent,
    find_and_ask,
    host_list_option,
    hosts_option,
    timeout_option,
)
from .declarations import json_option
from .output import Output, text_lines


@click.command()
@hosts_option
@host_list_option
@timeout_option
@json_option
def status(hosts, store_url, timeout_s, as_json):
    """Show the state of hosts: readiness, revision in force, host list version.

    Reads GET /status, a JSON object; "revision" in it is compared over all hosts.
    Exits with 3 if a host does not answer.
    """
    output = Output(as_json)
    answers = asyncio.run(find_and_ask(hosts, store_url, "/status", {}, timeout_s))
    print_answers(output, answers, revision_lines(answers))


@click.command()
@hosts_option
@host_list_option
@click.option("--service", required=True, help="Name in the declaration.")
@click.option("--target", default=None, help="Target id; all of the service if absent.")
@timeout_option
@json_option
def explain(hosts, store_url, service, target, timeout_s, as_json):
    """Explain why targets of a service are in use or not, as each host sees it.

    Reads GET /explain?service=&target=, a JSON document of states and reasons. The
    reason is the one by which the host decided, in the form of its log records.
    Exits with 3 if a host does not answer, also when it does not know the name.
    """
    output = Output(as_json)
    query = {"service": service}
    if target is not None:
        query["target"] = target
    asked = find_and_ask(hosts, store_url, "/explain", query, timeout_s)
    print_answers(output, asyncio.run(asked), [])


def print_answers(output, answers, summary):
    """Print all answers; end the command with 3 if one is missing."""
    documents = {}
    lines = []
    for answer in answers:
        documents[answer.host] = {"answer": answer.document, "error": answer.error}
        lines.append(f"{answer.host}:")
        if answer.error is not None:
            lines.append(f"  no answer: {answer.error}")
            continue
        lines += text_lines(answer.document, indent=1)
    output.result({"hosts": documents}, [*lines, *summary])
    fail_for_silent([answer.host for answer in answers if answer.error is not None])


def revision_lines(answers):
    """Return a line on the revisions that the hosts have in force."""
    revisions = set()
    for answer in answers:
        if isinstance(answer.document, dict) and "revision" in answer.document:
            revisions.add(answer.document["revision"])
    if not revisions:
        return []
    listed = ", ".join(str(revision) for revision in sorted(revisions))
    return [f"revisions in force: {listed}"]
