"""``oleanderctl``, the operators' command line."""

import click

from . import __version__
from .commands.declarations import apply, check, diff, history
from .commands.hosts import explain, status
from .commands.hostsettings import settings
from .commands.output import EXIT_CODE_HELP
from .commands.report import report
from .commands.story import story


@click.group(epilog=EXIT_CODE_HELP)
@click.version_option(__version__, prog_name="oleanderctl")
def main():
    """Operate a fleet of oleanderroute hosts.

    All that the fleet does follows from one declaration: a JSON file, kept in your
    version control, that lists services, their targets and floors, and routes. A
    first change goes like this:

    \b
      oleanderctl check fleet.json
      export OLEANDER_STORE=http://10.20.0.5:7000
      oleanderctl history                 # prints the newest revision, say 7
      oleanderctl diff fleet.json         # what would change
      oleanderctl apply fleet.json --base 7 --message "two more targets"

    An accepted revision is in force on all hosts within seconds; 'oleanderctl
    status' shows it. Every command has --help, and prints JSON with --json.
    """


for command in (check, diff, apply, history, status, explain, report, story, settings):
    main.add_command(command)


if __name__ == "__main__":
    main()
