"""State charts that are stored as JSON files and interpreted.

A chart file lists its states, events and transitions. The states and events are
bound to the members of two ``Enum`` classes by name, in lower case.
"""

import json
from dataclasses import dataclass
from importlib import resources

import jsonschema
from result import Err, Ok

from ..errors import OleanderError

NAMES_SCHEMA = {
    "type": "array",
    "items": {"type": "string", "pattern": "^[a-z][a-z_]*$"},
    "minItems": 1,
    "uniqueItems": True,
}
CHART_SCHEMA = {
    "type": "object",
    "required": ["name", "initial", "states", "events", "transitions"],
    "additionalProperties": False,
    "properties": {
        "name": {"type": "string", "minLength": 1},
        "initial": NAMES_SCHEMA,
        "states": NAMES_SCHEMA,
        "events": NAMES_SCHEMA,
        "transitions": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "required": ["from", "event", "to"],
                "additionalProperties": False,
                "properties": {
                    "from": {"type": "string"},
                    "event": {"type": "string"},
                    "to": {"type": "string"},
                },
            },
        },
    },
}
ANY_STATE = "*"


class ChartError(OleanderError):
    """A state chart is malformed or inconsistent.

    Parameters
    ----------
    path : str
        JSON path of the offending value.
    reason : str
    """

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class UnexpectedEvent(OleanderError):
    """An event has no transition from the current state.

    Parameters
    ----------
    state, event : enum.Enum
    """

    def __init__(self, state, event):
        super().__init__(f"no transition from {state.name} on {event.name}")
        self.state = state
        self.event = event


@dataclass(frozen=True, slots=True)
class Chart:
    """A validated state chart.

    Attributes
    ----------
    name : str
    initial : frozenset
        States in which an instance may start.
    transitions : dict
        Pair of state and event to the next state.
    """

    name: str
    initial: frozenset
    transitions: dict

    def accepts(self, state, event):
        """Tell whether ``event`` has a transition from ``state``."""
        return (state, event) in self.transitions

    def next(self, state, event):
        """Return the state that follows ``state`` on ``event``.

        Raises
        ------
        UnexpectedEvent
            If the chart has no such transition.
        """
        following = self.transitions.get((state, event))
        if following is None:
            raise UnexpectedEvent(state, event)
        return following


def load_chart(text, state_class, event_class):
    """Validate a chart and bind it to the members of two enums.

    Parameters
    ----------
    text : str
        JSON document.
    state_class, event_class : type of enum.Enum
        Their member names, in lower case, must be exactly the chart's names.

    Returns
    -------
    result.Result of Chart or ChartError
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        return Err(ChartError("$", f"not JSON: {error}"))
    for problem in jsonschema.Draft202012Validator(CHART_SCHEMA).iter_errors(document):
        return Err(ChartError(problem.json_path, problem.message))
    error = _names_error(document, state_class, event_class)
    if error is not None:
        return Err(error)
    return _bind(document, state_class, event_class)


def read_chart(file_name, state_class, event_class):
    """Load a chart file of this package; see `load_chart`.

    Raises
    ------
    ChartError
        If the file does not hold a consistent chart.
    """
    folder = resources.files("oleanderroute.decisions") / "charts"
    text = (folder / file_name).read_text(encoding="utf-8")
    loaded = load_chart(text, state_class, event_class)
    if loaded.is_err():
        raise loaded.unwrap_err()
    return loaded.unwrap()


def _names_error(document, state_class, event_class):
    for key, enum_class in (("states", state_class), ("events", event_class)):
        declared = set(document[key])
        members = {member.name.lower() for member in enum_class}
        if declared != members:
            mismatched = ", ".join(sorted(declared ^ members))
            return ChartError(
                f"$.{key}", f"differs from {enum_class.__name__}: {mismatched}"
            )
    states = set(document["states"])
    for name in document["initial"]:
        if name not in states:
            return ChartError("$.initial", f"unknown state {name}")
    for position, transition in enumerate(document["transitions"]):
        path = f"$.transitions[{position}]"
        if transition["from"] not in states | {ANY_STATE}:
            return ChartError(path, f"unknown state {transition['from']}")
        if transition["to"] not in states:
            return ChartError(path, f"unknown state {transition['to']}")
        if transition["event"] not in document["events"]:
            return ChartError(path, f"unknown event {transition['event']}")
    return None


def _bind(document, state_class, event_class):
    transitions = {}
    for position, transition in enumerate(document["transitions"]):
        event = event_class[transition["event"].upper()]
        to = state_class[transition["to"].upper()]
        for source in _sources(transition["from"], state_class):
            if (source, event) in transitions:
                path = f"$.transitions[{position}]"
                return Err(ChartError(path, f"second transition from {source.name}"))
            transitions[source, event] = to
    initial = frozenset(state_class[name.upper()] for name in document["initial"])
    unreachable = set(state_class) - _reachable(initial, transitions)
    if unreachable:
        names = ", ".join(sorted(state.name.lower() for state in unreachable))
        return Err(ChartError("$.states", f"unreachable: {names}"))
    return Ok(Chart(document["name"], initial, transitions))


def _sources(name, state_class):
    if name == ANY_STATE:
        return list(state_class)
    return [state_class[name.upper()]]


def _reachable(initial, transitions):
    reached = set(initial)
    pending = list(initial)
    while pending:
        state = pending.pop()
        for (source, _event), to in transitions.items():
            if source is not state or to in reached:
                continue
            reached.add(to)
            pending.append(to)
    return reached
