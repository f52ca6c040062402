"""Where log records go."""

import sys
from contextlib import ExitStack, contextmanager

from eliot import FileDestination, add_destinations, remove_destination

STANDARD_OUTPUT = "-"


@contextmanager
def log_file(path):
    """Write each log record as one JSON line while the context is open.

    Parameters
    ----------
    path : str
        ``-`` for standard output.
    """
    with ExitStack() as stack:
        file = sys.stdout
        if path != STANDARD_OUTPUT:
            file = stack.enter_context(open(path, "a", buffering=1))
        destination = FileDestination(file=file)
        add_destinations(destination)
        stack.callback(remove_destination, destination)
        yield
