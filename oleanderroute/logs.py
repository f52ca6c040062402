"""Where log records go, and which of them."""

import sys
from contextlib import ExitStack, contextmanager

from eliot import FileDestination, add_destinations, remove_destination

from .events import Level

STANDARD_OUTPUT = "-"


class LevelFilter:
    """Passes the records on that are important enough.

    Parameters
    ----------
    destination : callable
        Takes one record, a dict.
    lowest : Level
        Records below it are left out. A record without a level comes from a library
        and is kept.
    """

    def __init__(self, destination, lowest):
        self.destination = destination
        self.left_out = {level.name.lower() for level in Level if level < lowest}

    def __call__(self, record):
        """Take one record."""
        if record.get("level") in self.left_out:
            return
        self.destination(record)


@contextmanager
def log_file(path, lowest=Level.INFO):
    """Write each log record as one JSON line while the context is open.

    Parameters
    ----------
    path : str
        ``-`` for standard output.
    lowest : Level
    """
    with ExitStack() as stack:
        file = sys.stdout
        if path != STANDARD_OUTPUT:
            file = stack.enter_context(open(path, "a", buffering=1))
        destination = LevelFilter(FileDestination(file=file), lowest)
        add_destinations(destination)
        stack.callback(remove_destination, destination)
        yield
