"""The commands check, diff, apply and history."""

import asyncio
import getpass
import random
import time
from contextlib import AsyncExitStack
from pathlib import Path

import click

from ..clock import SystemClock
from ..declaration.difference import compare
from ..declaration.loader import dump, load_declaration
from ..errors import ChunkError, StoreConflict, StoreError, ValueTooLarge
from ..metrics import Metrics
from ..platform.publish import (
    DEFAULT_TIME_LIMIT_S,
    ApplyConflict,
    ApplyOutcomeUnknown,
    Publisher,
    RevisionNotFound,
)
from ..platform.store import StoreClient
from .output import CommandFailed, ExitCode, Output, Progress

# One mistake often repeats over thousands of targets.
MAX_PRINTED_PROBLEMS = 50
DEFAULT_HISTORY_LENGTH = 20
# Checking this much text takes long enough to say so.
LARGE_TEXT_BYTES = 500_000

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
store_option = click.option(
    "--store",
    "store_url",
    envvar="OLEANDER_STORE",
    required=True,
    metavar="URL",
    help="Base URL of the platform's store; also OLEANDER_STORE.",
)
file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


@click.command()
@file_argument
@json_option
def check(file, as_json):
    """Check the declaration in FILE without changing anything.

    Prints each problem with its JSON path, for example

    \b
      $.services.pedidos.floor_slots: floor of 60 slots, but the targets have 50

    Exits with 0 if there is none and with 1 otherwise.
    """
    output = Output(as_json)
    declaration = load_file(file, output)
    targets = sum(len(one.targets) for one in declaration.services.values())
    workspaces = sum(len(one) for one in declaration.workspace_groups.values())
    sizes = {
        "services": len(declaration.services),
        "targets": targets,
        "routes": len(declaration.routes),
        "workspaces": workspaces,
    }
    listed = ", ".join(f"{count} {name}" for name, count in sizes.items())
    output.result({"ok": True, **sizes}, [f"{file}: good ({listed})"])


@click.command()
@file_argument
@click.option("--against", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--store", "store_url", envvar="OLEANDER_STORE", metavar="URL")
@click.option("--revision", type=click.IntRange(min=1), help="Instead of the newest.")
@json_option
def diff(file, against, store_url, revision, as_json):
    """Show what FILE would change.

    Compares FILE with another file (--against) or with the store (--store), where
    --revision picks an earlier revision. Lines begin with + for added, - for removed
    and ~ for changed entries. Exits with 0 whether or not there are differences.
    """
    output = Output(as_json)
    if against is None and store_url is None:
        raise click.UsageError("give --against FILE or --store URL")
    after = load_file(file, output)
    if against is not None:
        before = load_file(against, output)
    else:
        before = run(output, store_url, lambda one: read_stored(one, revision))
    print_differences(output, compare(before, after))


@click.command()
@file_argument
@store_option
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Revision that FILE was edited from; 0 for a first apply.",
)
@click.option("--message", default="", help="Why; kept in the history.")
@click.option("--author", default=None, help="Who; the login name by default.")
@click.option(
    "--time-limit-s",
    type=click.FloatRange(min=0),
    default=DEFAULT_TIME_LIMIT_S,
    show_default=True,
    help="Begin no more writes after this time.",
)
@json_option
def apply(file, store_url, base, message, author, time_limit_s, as_json):
    """Bring the declaration in FILE into force.

    --base is the revision that you edited: 'oleanderctl history' prints the newest,
    and each apply prints the one for the next time. If somebody else applied a
    change since then, nothing happens; the differences are printed and the exit
    code is 1. Merge them into FILE and apply again with the new base.

    Exit code 4 means that the store stopped answering in the middle: the change may
    or may not be in force. 'oleanderctl history' tells once the store is back.
    """
    output = Output(as_json)
    declaration = load_file(file, output)
    author = author or login_name()

    async def change(publisher):
        publisher.time_limit_s = time_limit_s
        publisher.on_progress = Progress("chunks uploaded")
        return await publisher.apply(declaration, base, author, message)

    try:
        applied = run(output, store_url, change)
    except KeyboardInterrupt:
        raise output.failure(
            "interrupted; 'oleanderctl history' tells whether it took effect",
            ExitCode.UNKNOWN,
            {"base": base},
        ) from None
    output.result(
        {"revision": applied.revision, "uploaded_chunks": applied.uploaded_chunks},
        [f"revision {applied.revision} accepted; next time: --base {applied.revision}"],
    )


@click.command()
@store_option
@click.option(
    "--limit",
    type=click.IntRange(min=1),
    default=DEFAULT_HISTORY_LENGTH,
    show_default=True,
    help="Number of revisions, the newest first.",
)
@click.option("--show", type=click.IntRange(min=1), help="Print this revision's text.")
@json_option
def history(store_url, limit, show, as_json):
    """List the revisions in the store, or print one with --show.

    To go back to an earlier text, save it with --show and apply it as a new
    revision; hosts never move to a lower one.
    """
    output = Output(as_json)
    if show is not None:
        declaration = run(output, store_url, lambda one: read_stored(one, show))
        click.echo(dump(declaration), nl=False)
        return
    manifests = run(output, store_url, lambda one: one.read_history(limit))
    documents = []
    lines = []
    for manifest in manifests:
        made = manifest.change
        documents.append(
            {
                "revision": made.revision,
                "created_at": made.created_at,
                "author": made.author,
                "message": made.message,
                "nonce": made.nonce,
            }
        )
        when = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(made.created_at))
        lines.append(f"{made.revision:>6}  {when}  {made.author}  {made.message}")
    output.result({"revisions": documents}, lines or ["no revision yet: --base 0"])


def load_file(path, output):
    """Read and check a declaration, or end the command with its problems."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandFailed(f"cannot read {path}: {error}", ExitCode.USAGE) from error
    if len(text) > LARGE_TEXT_BYTES:
        output.note(f"checking {len(text) / 1e6:.1f} MB ...")
    result = load_declaration(text)
    if result.is_ok():
        return result.ok_value
    problems = result.err_value.problems
    documents = [{"path": one.path, "reason": one.reason} for one in problems]
    raise output.failure(
        f"{path}: {len(problems)} problem(s)",
        ExitCode.REFUSED,
        {"problems": documents},
        () if output.as_json else problem_lines(problems),
    )


def problem_lines(problems):
    """Return one line for each of the first problems; --json has them all."""
    lines = [str(problem) for problem in problems[:MAX_PRINTED_PROBLEMS]]
    rest = len(problems) - len(lines)
    if rest:
        lines.append(f"and {rest} more; --json prints all")
    return lines


def print_differences(output, differences):
    """Print a list of differences."""
    lines = [str(one) for one in differences]
    output.result(
        {"differences": difference_documents(differences)}, lines or ["no difference"]
    )


def difference_documents(differences):
    """Return differences as JSON values."""
    documents = []
    for one in differences:
        documents.append(
            {
                "kind": one.kind.value,
                "path": one.path,
                "before": one.before,
                "after": one.after,
            }
        )
    return documents


async def read_stored(publisher, revision):
    """Return the declaration of a revision, of the newest one by default."""
    publisher.on_progress = Progress("chunks read")
    if revision is None:
        head = await publisher.read_head()
        if head.manifest is None:
            return None
        return await publisher.read_declaration(head.manifest)
    return await publisher.read_declaration(await publisher.read_manifest(revision))


def run(output, store_url, action):
    """Run ``action`` with a ``Publisher`` and turn its errors into exit codes."""
    try:
        return asyncio.run(with_publisher(store_url, action))
    except ApplyConflict as error:
        details = {
            "base_revision": error.base_revision,
            "head_revision": error.head_revision,
            "differences": difference_documents(error.differences),
        }
        lines = () if output.as_json else [str(one) for one in error.differences]
        raise output.failure(str(error), ExitCode.REFUSED, details, lines) from error
    except ApplyOutcomeUnknown as error:
        details = {"revision": error.revision, "nonce": error.nonce}
        raise output.failure(str(error), ExitCode.UNKNOWN, details) from error
    except (RevisionNotFound, ChunkError, ValueTooLarge, StoreConflict) as error:
        raise output.failure(str(error), ExitCode.REFUSED, {}) from error
    except StoreError as error:
        message = f"the store does not answer; nothing was changed: {error}"
        raise output.failure(message, ExitCode.UNREACHABLE, {}) from error


async def with_publisher(store_url, action):
    """Open the store, run ``action`` and close the store."""
    clock = SystemClock()
    async with AsyncExitStack() as stack:
        store = StoreClient(store_url, clock, Metrics())
        stack.push_async_callback(store.close)
        return await action(Publisher(store, clock, random.Random()))


def login_name():
    """Return the name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
