"""State chart of one connection to a target."""

import json
from enum import StrEnum
from pathlib import Path

CHART_PATH = Path(__file__).parent / "charts" / "connection.json"


# StrEnum has the C hash of str. The hash of a plain Enum is a Python function, which
# is too slow for a lookup on every request.
class ConnectionState(StrEnum):
    """Where a connection stands."""

    OPENING = "opening"
    IDLE = "idle"
    WAITING = "waiting"
    RECEIVING = "receiving"
    CLOSED = "closed"


class ConnectionEvent(StrEnum):
    """What happened to a connection."""

    OPENED = "opened"
    STARTED = "started"
    ANSWER_STARTED = "answer_started"
    FINISHED_CLEAN = "finished_clean"
    FINISHED_UNCLEAN = "finished_unclean"
    STRAY_BYTES = "stray_bytes"
    FAILED = "failed"
    ABANDONED = "abandoned"
    LOST = "lost"
    RETIRED = "retired"


def load_transitions(text):
    """Return the transitions of a chart as nested dictionaries of enum members.

    Parameters
    ----------
    text : str
        JSON of the form ``{"initial", "states": {state: {event: next}}}``.

    Raises
    ------
    ValueError
        If the chart names an unknown state or event.
    """
    table = {}
    for state, transitions in json.loads(text)["states"].items():
        row = {}
        for event, following in transitions.items():
            row[ConnectionEvent(event)] = ConnectionState(following)
        table[ConnectionState(state)] = row
    return table


TRANSITIONS = load_transitions(CHART_PATH.read_text())
INITIAL_STATE = ConnectionState(json.loads(CHART_PATH.read_text())["initial"])
