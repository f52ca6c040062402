"""Starts the daemon of one host: first the callers' port, then all the rest.

Loading the program takes several tenths of a second of a small host's processor. All
hosts may restart at once, so callers wait on the open port instead of being refused.
"""

import sys

from ..entry.sockets import listening_socket
from ..errors import SettingsError
from ..platform import node_file

EXIT_SETTINGS = 2


def main():
    """Run the daemon until it is stopped."""
    try:
        path = node_file.settings_path()
        settings = node_file.load_host_settings(path)
    except SettingsError as error:
        report_unusable(error)
        sys.exit(EXIT_SETTINGS)
    listener = listening_socket(settings.address, settings.caller_port)
    # Imported after the port is open; see above.
    from . import daemon

    daemon.run(path, settings, listener)


def report_unusable(error):
    """Log why the settings can't be used."""
    from eliot import to_file

    from .. import events

    to_file(sys.stdout)
    events.SETTINGS_REFUSED.log(path=error.path, reason=error.reason)


if __name__ == "__main__":
    main()
