"""The incidents of one host in order, each with the decision and its reason.

The log takes its entries from the log events, so that a decision can't be logged
without appearing in the burn report.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .. import events

MAX_INCIDENTS = 1000
# An error text may quote what a peer sent.
MAX_TEXT = 300


class IncidentKind(Enum):
    """What an incident is about."""

    TARGET_STATE = "target-state"
    STORE_OUTAGE = "store-outage"
    STORE_BACK = "store-back"
    QUARANTINE = "quarantine"
    HOST_DRAIN = "host-drain"
    CALLERS_CUT = "callers-cut"
    REVISION = "revision"
    REVISION_REFUSED = "revision-refused"
    TASK_FAILED = "task-failed"


@dataclass(slots=True)
class Incident:
    """One incident; equal ones that follow each other are counted in one.

    Attributes
    ----------
    at_unix_s : float
    subject : str
        The target, request fingerprint or task that it is about.
    decision : str
        What was decided, or what happened.
    last_unix_s : float
        Time of the last of ``count`` equal incidents.
    """

    at_unix_s: float
    kind: IncidentKind
    service: str
    subject: str
    decision: str
    reason: str
    count: int = 1
    last_unix_s: float = 0.0

    def is_same(self, other):
        """Tell whether two incidents differ only in time and reason."""
        return (
            self.kind is other.kind
            and self.service == other.service
            and self.subject == other.subject
            and self.decision == other.decision
        )


@dataclass(frozen=True, slots=True)
class Rule:
    """How records of one event become incidents.

    Attributes
    ----------
    subject, reason : str
        Fields of the record; empty for none.
    decision : str
        Format of the decision over the record's fields.
    """

    kind: IncidentKind
    subject: str
    decision: str
    reason: str


RULES = {
    events.VERDICT_CHANGED: Rule(
        IncidentKind.TARGET_STATE, "target", "{was} to {state}", "reason"
    ),
    events.STORE_UNAVAILABLE: Rule(
        IncidentKind.STORE_OUTAGE, "", "store unavailable", "reason"
    ),
    events.STORE_BACK: Rule(IncidentKind.STORE_BACK, "", "store answers again", ""),
    events.REQUEST_QUARANTINED: Rule(
        IncidentKind.QUARANTINE, "fingerprint", "request refused fleet-wide", "targets"
    ),
    events.DAEMON_DRAINING: Rule(
        IncidentKind.HOST_DRAIN, "", "host drains, {in_flight} requests in flight", ""
    ),
    events.CALLERS_CUT: Rule(
        IncidentKind.CALLERS_CUT, "", "requests in flight were cut", ""
    ),
    events.REVISION_IN_FORCE: Rule(
        IncidentKind.REVISION, "", "revision {revision} in force, by {author}", ""
    ),
    events.REVISION_REFUSED: Rule(
        IncidentKind.REVISION_REFUSED, "", "revision ignored", "reason"
    ),
    events.TASK_FAILED: Rule(
        IncidentKind.TASK_FAILED, "task", "task restarted", "error"
    ),
}
RULE_OF_NUMBER = {event.number: rule for event, rule in RULES.items()}


class RecordFields(dict):
    """Fields of a record for a format; one that it lacks shows as ``?``."""

    def __missing__(self, key):
        return "?"


class IncidentLog:
    """Bounded log of incidents; a destination of log records.

    Parameters
    ----------
    max_incidents : int
        The oldest ones are dropped beyond it.

    Attributes
    ----------
    dropped : int
        How many were dropped.
    """

    def __init__(self, max_incidents=MAX_INCIDENTS):
        self.incidents = deque(maxlen=max_incidents)
        self.dropped = 0

    def __call__(self, record):
        """Take one log record; only some events are incidents."""
        rule = RULE_OF_NUMBER.get(record.get("event"))
        if rule is not None:
            self.add(incident_of(rule, record))

    def add(self, incident):
        """Append an incident, or count it in the last one if they are equal."""
        last = self.incidents[-1] if self.incidents else None
        if last is not None and last.is_same(incident):
            last.count += 1
            last.last_unix_s = incident.at_unix_s
            return
        if len(self.incidents) == self.incidents.maxlen:
            self.dropped += 1
        self.incidents.append(incident)

    def document(self):
        """Return the incidents, oldest first, as a JSON value."""
        rows = []
        for incident in self.incidents:
            rows.append(
                {
                    "at_unix_s": incident.at_unix_s,
                    "last_unix_s": incident.last_unix_s,
                    "count": incident.count,
                    "kind": incident.kind.value,
                    "service": incident.service,
                    "subject": incident.subject,
                    "decision": incident.decision,
                    "reason": incident.reason,
                }
            )
        return rows


def incident_of(rule, record):
    """Return the incident that a log record tells of."""
    at_unix_s = record["timestamp"]
    return Incident(
        at_unix_s=at_unix_s,
        kind=rule.kind,
        service=str(record.get("service", "")),
        subject=text_of(record.get(rule.subject)),
        decision=rule.decision.format_map(RecordFields(record))[:MAX_TEXT],
        reason=text_of(record.get(rule.reason)),
        last_unix_s=at_unix_s,
    )


def text_of(value):
    """Return a field of a record as bounded text."""
    if value is None:
        return ""
    if isinstance(value, (list, tuple)):
        value = ", ".join(str(item) for item in value)
    return str(value)[:MAX_TEXT]
