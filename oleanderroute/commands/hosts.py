"""The commands status, explain and report, which ask hosts on their operator port."""

import asyncio
from dataclasses import dataclass

import aiohttp
import click

from .declarations import json_option
from .output import CommandFailed, ExitCode, Output, text_lines

DEFAULT_TIMEOUT_S = 5.0

hosts_option = click.option(
    "--host",
    "hosts",
    multiple=True,
    required=True,
    envvar="OLEANDER_HOSTS",
    metavar="ADDRESS:PORT",
    help="Operator port of a host; repeatable. Also OLEANDER_HOSTS, by spaces.",
)
timeout_option = click.option(
    "--timeout-s",
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Seconds to wait for each host.",
)


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """What one host answered, or why it did not.

    Attributes
    ----------
    document : object or None
        Its JSON document.
    error : str or None
    """

    host: str
    document: object = None
    error: str | None = None


@click.command()
@hosts_option
@timeout_option
@json_option
def status(hosts, timeout_s, as_json):
    """Show the state of hosts: readiness, revision in force, host list version.

    Reads GET /status, a JSON object; "revision" in it is compared over all hosts.
    Exits with 3 if a host does not answer.
    """
    output = Output(as_json)
    answers = asyncio.run(ask_hosts(hosts, "/status", {}, timeout_s))
    print_answers(output, answers, revision_lines(answers))


@click.command()
@hosts_option
@click.option("--service", required=True, help="Name in the declaration.")
@click.option("--target", default=None, help="Target id; all of the service if absent.")
@timeout_option
@json_option
def explain(hosts, service, target, timeout_s, as_json):
    """Explain why targets of a service are in use or not, as each host sees it.

    Reads GET /explain?service=&target=, a JSON document of states and reasons.
    Exits with 3 if a host does not answer, also when it does not know the name.
    """
    output = Output(as_json)
    query = {"service": service}
    if target is not None:
        query["target"] = target
    answers = asyncio.run(ask_hosts(hosts, "/explain", query, timeout_s))
    print_answers(output, answers, [])


@click.command()
@hosts_option
@timeout_option
@json_option
def report(hosts, timeout_s, as_json):
    """Show how much of each service's error budget is spent.

    Reads GET /report, a JSON document. A host knows the time since its own start.
    Exits with 3 if a host does not answer.
    """
    output = Output(as_json)
    answers = asyncio.run(ask_hosts(hosts, "/report", {}, timeout_s))
    print_answers(output, answers, [])


async def ask_hosts(hosts, path, query, timeout_s):
    """Ask all hosts at once.

    Returns
    -------
    answers : list of HostAnswer
        In the order of ``hosts``.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = [ask_host(session, host, path, query) for host in hosts]
        return await asyncio.gather(*calls)


async def ask_host(session, host, path, query):
    """Ask one host and return its ``HostAnswer``."""
    try:
        async with session.get(f"http://{host}{path}", params=query) as response:
            if response.status != 200:
                return HostAnswer(host, error=f"status {response.status}")
            return HostAnswer(host, document=await response.json(content_type=None))
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        return HostAnswer(host, error=f"{type(error).__name__} {error}")


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
    silent = [answer.host for answer in answers if answer.error is not None]
    if silent:
        message = "no answer from " + ", ".join(silent)
        raise CommandFailed(message, ExitCode.UNREACHABLE)


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
