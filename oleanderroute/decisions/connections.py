"""State chart of one connection to a target."""

import json
from enum import StrEnum
from pathlib import Path

CHART_PATH = Path(__file__).parent / "charts" / "connection.json"


# StrEnum uses the C hash of str. The hash of a plain Enum is a Python function, which
# is too slow for a lookup on every request.
class ConnectionState(StrEnum):
    """State of a connection."""

    OPENING = "opening"
    IDLE = "idle"
    WAITING = "waiting"
    RECEIVING = "receiving"
    CLOSED = "closed"


class ConnectionEvent(StrEnum):
    """Event that changes the state of a connection."""

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
        for event, next_state in transitions.items():
            row[ConnectionEvent(event)] = ConnectionState(next_state)
        table[ConnectionState(state)] = row
    return table


TRANSITIONS = load_transitions(CHART_PATH.read_text())
INITIAL_STATE = ConnectionState(json.loads(CHART_PATH.read_text())["initial"])
