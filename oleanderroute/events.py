"""Numbered log events. ``docs/events.md`` lists them; a test compares the two."""

from dataclasses import dataclass

from eliot import log_message


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log record.

    Attributes
    ----------
    number : int
        Stable number; it is never given to another event.
    name : str
        Message type in the log.
    meaning : str
        One sentence for the catalogue.
    """

    number: int
    name: str
    meaning: str

    def log(self, **fields):
        """Write one record with ``fields``."""
        log_message(message_type=self.name, event=self.number, **fields)


CATALOGUE = {}


def define(number, name, meaning):
    """Add an event to the catalogue.

    Raises
    ------
    ValueError
        If the number is taken.
    """
    if number in CATALOGUE:
        raise ValueError(f"event {number} is already {CATALOGUE[number].name}")
    event = Event(number, f"oleander:{name}", meaning)
    CATALOGUE[number] = event
    return event


# 100-199: process life cycle
DAEMON_STARTED = define(100, "daemon_started", "The daemon listens on all ports.")
DAEMON_DRAINING = define(
    101, "daemon_draining", "A stop was requested; readiness now fails."
)
DAEMON_STOPPED = define(102, "daemon_stopped", "The daemon ended its last request.")
TASK_FAILED = define(103, "task_failed", "A task ended with an error; it is restarted.")

# 200-299: configuration
REVISION_IN_FORCE = define(
    200, "revision_in_force", "A new revision of the declaration is in force."
)
REVISION_REFUSED = define(
    201, "revision_refused", "A stored declaration could not be loaded; it is ignored."
)
STORE_UNAVAILABLE = define(
    202, "store_unavailable", "The key-value service did not answer."
)
STORE_BACK = define(203, "store_back", "The key-value service answers again.")
HOST_LIST_CHANGED = define(204, "host_list_changed", "A new host list was received.")
HISTORY_NOT_RECORDED = define(
    205,
    "history_not_recorded",
    "A revision was accepted, but its history entry could not be written.",
)
OLDER_HEAD_IGNORED = define(
    206,
    "older_head_ignored",
    "The store showed an older revision than the one in force; it is ignored.",
)
HEAD_DIVERGED = define(
    207,
    "head_diverged",
    "The store showed other content under the revision in force; it is ignored.",
)
PEER_FETCH_FAILED = define(
    208, "peer_fetch_failed", "A newer revision or host list was not got from a peer."
)
HOST_LIST_REFUSED = define(
    209, "host_list_refused", "A host list was malformed; it is ignored."
)

# 300-399: peers
PEER_MESSAGE_DROPPED = define(
    300, "peer_message_dropped", "A peer message was malformed or not acceptable."
)
PEER_UNREACHABLE = define(301, "peer_unreachable", "A peer did not answer.")

# 400-499: callers and targets
CALLER_REQUEST_FAILED = define(
    400, "caller_request_failed", "A request ended with an unexpected error."
)
CALLERS_CUT = define(
    401, "callers_cut", "Requests in flight were cut at the time limit of a stop."
)

# 450-499: requests
REQUEST_FAILED = define(
    450, "request_failed", "A request met an unexpected failure of the daemon."
)

# 500-549: detection
VERDICT_CHANGED = define(
    500, "verdict_changed", "The aggregator changed the state of a target."
)

# 550-599: limits and claims
REQUEST_QUARANTINED = define(
    550, "request_quarantined", "A request that crashed two targets is refused."
)
CLAIMS_BOOTSTRAPPED = define(
    551, "claims_bootstrapped", "The first fleet was recorded; its hosts may vote."
)
TRAFFIC_DIVERTED = define(
    501, "traffic_diverted", "Traffic of a service moves to or from its fallback."
)
