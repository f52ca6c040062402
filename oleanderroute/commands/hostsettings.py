"""The command settings: checks the file that the platform writes for a host."""

import click

from ..errors import SettingsError
from ..platform.node_file import load_host_settings
from .declarations import json_option
from .output import CommandFailed, ExitCode, Output


@click.group()
def settings():
    """Check settings files."""


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
@json_option
def check(file, as_json):
    """Check FILE, the settings file that the platform writes for a host.

    \b
    Example:
      oleanderctl settings check /etc/oleanderroute/local.conf

    Prints what the host would take from it. Exits with 1 and the field's name and
    the reason if the host could not start with it.
    """
    try:
        found = load_host_settings(file)
    except SettingsError as error:
        details = {"path": error.path, "reason": error.reason}
        raise CommandFailed(str(error), ExitCode.REFUSED, details) from error
    document = {}
    for name in found.__dataclass_fields__:
        document[name] = getattr(found, name)
    lines = [f"{name} = {value}" for name, value in document.items()]
    Output(as_json).result(document, lines)
