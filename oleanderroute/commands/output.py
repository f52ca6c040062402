"""What the commands print, and their exit codes."""

import json
import sys
import time
from enum import IntEnum

import click

# A progress line is rewritten at most this often.
PROGRESS_PERIOD_S = 0.5


class ExitCode(IntEnum):
    """Exit codes of ``oleanderctl``; scripts rely on them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


EXIT_CODE_HELP = """\b
Exit codes:
  0  done
  1  refused: the declaration has problems, or another revision came first
  2  wrong usage, or a file that cannot be read
  3  the store or a host cannot be reached; nothing was changed
  4  the outcome of an apply is unknown; look at 'oleanderctl history'
"""


class CommandFailed(click.ClickException):
    """Ends a command with a message on standard error and an exit code.

    Parameters
    ----------
    message : str
    exit_code : ExitCode
    details : dict, optional
        Printed with ``--json``.
    """

    def __init__(self, message, exit_code, details=None):
        super().__init__(message)
        self.exit_code = int(exit_code)
        self.details = details or {}


class Output:
    """Prints results as text or as JSON.

    Parameters
    ----------
    as_json : bool
        Print one JSON document and no text.
    """

    def __init__(self, as_json):
        self.as_json = as_json

    def result(self, document, lines):
        """Print ``document`` with ``--json``, else the text ``lines``."""
        if self.as_json:
            click.echo(json.dumps(document, indent=2, ensure_ascii=False))
            return
        for line in lines:
            click.echo(line)

    def failure(self, message, exit_code, details, lines=()):
        """Print what is known of a failure and return the error that ends it."""
        if self.as_json:
            document = {"error": message, **details}
            click.echo(json.dumps(document, indent=2, ensure_ascii=False))
        for line in lines:
            click.echo(line, err=True)
        return CommandFailed(message, exit_code, details)

    def note(self, text):
        """Print a line about what goes on to standard error."""
        click.echo(text, err=True)


class Progress:
    """Shows how far a long step is, on standard error.

    Parameters
    ----------
    label : str
    """

    def __init__(self, label):
        self.label = label
        self.shown_at = float("-inf")
        self.rewrites = sys.stderr.isatty()

    def __call__(self, done, total):
        """Show ``done`` of ``total``; the last one is always shown."""
        now = time.monotonic()
        if done < total and now - self.shown_at < PROGRESS_PERIOD_S:
            return
        self.shown_at = now
        text = f"{self.label}: {done} of {total}"
        ends_line = done >= total or not self.rewrites
        click.echo(f"\r{text}" if self.rewrites else text, err=True, nl=ends_line)


def text_lines(value, indent=0):
    """Return a JSON value as indented lines of text."""
    pad = "  " * indent
    lines = []
    if isinstance(value, dict):
        for key, child in value.items():
            if isinstance(child, (dict, list)) and child:
                lines.append(f"{pad}{key}:")
                lines += text_lines(child, indent + 1)
                continue
            lines.append(f"{pad}{key}: {plain(child)}")
        return lines
    if isinstance(value, list):
        for child in value:
            if isinstance(child, (dict, list)) and child:
                lines.append(f"{pad}-")
                lines += text_lines(child, indent + 1)
                continue
            lines.append(f"{pad}- {plain(child)}")
        return lines
    return [f"{pad}{plain(value)}"]


def plain(value):
    """Return a scalar as text."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (dict, list)):
        return "none"
    return str(value)
