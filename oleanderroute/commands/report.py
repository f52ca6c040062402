"""The command report, which merges the burn reports of all hosts."""

import asyncio
import time
from dataclasses import asdict
from pathlib import Path

import click

from ..operator.fleetreport import FleetSum, HostState
from ..operator.hostpart import read_part
from .asking import (
    fail_for_silent,
    find_and_ask,
    host_list_option,
    hosts_option,
    timeout_option,
)
from .declarations import json_option
from .output import CommandFailed, ExitCode, Output
from .report_text import host_name, report_lines


@click.command()
@hosts_option
@host_list_option
@timeout_option
@json_option
@click.option("--service", default=None, help="Only this service's figures.")
@click.option(
    "--html",
    "html_path",
    type=click.Path(dir_okay=False, path_type=Path),
    metavar="FILE",
    help="Also write the report as one self-contained page with plots.",
)
def report(hosts, store_url, timeout_s, as_json, service, html_path):
    """Show how much of each service's error budget is spent, and by whom.

    Asks the hosts given with --host, or all on the platform's list (--store), for
    GET /report and merges their parts. A host's part counts since its own start.
    Exits with 3 if a host does not answer; the others' parts are shown all the same.
    """
    output = Output(as_json)
    query = {} if service is None else {"service": service}
    asked = find_and_ask(hosts, store_url, "/report", query, timeout_s)
    answers = asyncio.run(asked)
    merged = merge_answers(answers, time.time())
    output.result(asdict(merged), report_lines(merged))
    if html_path is not None:
        write_page(merged, html_path)
        output.note(f"wrote {html_path}")
    fail_for_silent([host_name(host) for host in merged.silent_hosts()])


def merge_answers(answers, now_unix_s):
    """Return the ``FleetReport`` of the hosts' answers.

    Parameters
    ----------
    answers : list of HostAnswer
    now_unix_s : float
    """
    fleet = FleetSum(now_unix_s)
    for answer in answers:
        if answer.error is not None:
            error = f"no answer: {answer.error}"
            fleet.add(HostState(answer.host, answer.host_id, error=error))
            continue
        result = read_part(answer.document)
        if result.is_err():
            error = str(result.unwrap_err())
            fleet.add(HostState(answer.host, answer.host_id, error=error))
            continue
        part = result.unwrap()
        fleet.add(state_of(answer.host, part), part)
    return fleet.finish()


def state_of(address, part):
    """Return the ``HostState`` of a host that answered."""
    return HostState(
        address=address,
        host_id=part.host_id,
        failure_domain=part.failure_domain,
        revision=part.revision,
        since_unix_s=part.since_unix_s,
        incidents_dropped=part.incidents_dropped,
    )


def write_page(merged, path):
    """Write the HTML page.

    Raises
    ------
    CommandFailed
        If the file can't be written.
    """
    # The plot library takes half a second to load, and only the page needs it.
    from .report_page import report_page

    try:
        path.write_text(report_page(merged), encoding="utf-8")
    except OSError as error:
        message = f"cannot write {path}: {error}"
        raise CommandFailed(message, ExitCode.USAGE) from error
