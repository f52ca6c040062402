"""Numbered log events. ``docs/events.md`` lists them; a test compares the two."""

from dataclasses import dataclass
from enum import IntEnum

from eliot import log_message


class Level(IntEnum):
    """Importance of an event; the setting ``log.level`` gives the lowest written."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


NO_ACTION = "None."


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
    level : Level
    fields : tuple of str
        Names of the fields that records of this event may have.
    action : str
        What an operator should do.
    """

    number: int
    name: str
    meaning: str
    level: Level = Level.INFO
    fields: tuple[str, ...] = ()
    action: str = NO_ACTION

    def log(self, **fields):
        """Write one record with ``fields``."""
        log_message(
            message_type=self.name,
            event=self.number,
            level=self.level.name.lower(),
            **fields,
        )


CATALOGUE = {}


def define(number, name, meaning, level=Level.INFO, fields=(), action=NO_ACTION):
    """Add an event to the catalogue.

    Parameters
    ----------
    number : int
    name : str
    meaning : str
    level : Level
    fields : iterable of str
    action : str

    Raises
    ------
    ValueError
        If the number is taken.
    """
    if number in CATALOGUE:
        raise ValueError(f"event {number} is already {CATALOGUE[number].name}")
    event = Event(number, f"oleander:{name}", meaning, level, tuple(fields), action)
    CATALOGUE[number] = event
    return event


# 100-199: process life cycle
DAEMON_STARTED = define(
    100,
    "daemon_started",
    "The daemon listens on all ports.",
    Level.INFO,
    (
        "host",
        "caller_port",
    ),
)
DAEMON_DRAINING = define(
    101,
    "daemon_draining",
    "A stop was requested; readiness now fails.",
    Level.INFO,
    ("in_flight",),
)
DAEMON_STOPPED = define(
    102,
    "daemon_stopped",
    "The daemon ended its last request.",
    Level.INFO,
    ("host",),
)
TASK_FAILED = define(
    103,
    "task_failed",
    "A task ended with an error; it is restarted.",
    Level.ERROR,
    (
        "task",
        "error",
    ),
    "Report it as a fault of the program, with the record; the task runs "
    "again by itself.",
)

# 200-299: configuration
REVISION_IN_FORCE = define(
    200,
    "revision_in_force",
    "A new revision of the declaration is in force.",
    Level.INFO,
    (
        "revision",
        "author",
    ),
)
REVISION_REFUSED = define(
    201,
    "revision_refused",
    "A stored declaration could not be loaded; it is ignored.",
    Level.ERROR,
    (
        "revision",
        "reason",
    ),
    "Run 'oleanderctl check' on the text and apply a corrected one; the "
    "revision before it stays in force.",
)
STORE_UNAVAILABLE = define(
    202,
    "store_unavailable",
    "The key-value service did not answer.",
    Level.WARNING,
    ("reason",),
    "Tell the platform's operators if it lasts; requests are served "
    "meanwhile, but no revision can be applied.",
)
STORE_BACK = define(
    203,
    "store_back",
    "The key-value service answers again.",
    Level.INFO,
    ("version",),
)
HOST_LIST_CHANGED = define(
    204,
    "host_list_changed",
    "A new host list was received.",
    Level.INFO,
    (
        "version",
        "hosts",
        "targets",
    ),
)
HISTORY_NOT_RECORDED = define(
    205,
    "history_not_recorded",
    "A revision was accepted, but its history entry could not be written.",
    Level.WARNING,
    (
        "revision",
        "reason",
    ),
    "Note the change by hand if its record is needed; the revision is in force.",
)
OLDER_HEAD_IGNORED = define(
    206,
    "older_head_ignored",
    "The store showed an older revision than the one in force; it is ignored.",
    Level.ERROR,
    (
        "offered",
        "in_force",
    ),
    "Ask the platform's operators whether the store was restored from an "
    "old copy; then apply the declaration again.",
)
HEAD_DIVERGED = define(
    207,
    "head_diverged",
    "The store showed other content under the revision in force; it is ignored.",
    Level.ERROR,
    (
        "revision",
        "offered_nonce",
    ),
    "As for event 206: apply the declaration again, on the newest revision.",
)
PEER_FETCH_FAILED = define(
    208,
    "peer_fetch_failed",
    "A newer revision or host list was not got from a peer.",
    Level.DEBUG,
    (
        "peer",
        "revision",
        "reason",
    ),
    "None, unless 'oleanderctl status' shows hosts that stay on an old revision.",
)
HOST_LIST_REFUSED = define(
    209,
    "host_list_refused",
    "A host list was malformed; it is ignored.",
    Level.ERROR,
    ("reason",),
    "Tell the platform's operators; the last good list stays in use.",
)
DIFFERENCES_NOT_READ = define(
    210,
    "differences_not_read",
    "An apply met another change; what that one changed could not be read.",
    Level.WARNING,
    ("base", "head", "reason"),
    "Run 'oleanderctl diff' once the store answers.",
)

# 300-399: peers
PEER_MESSAGE_DROPPED = define(
    300,
    "peer_message_dropped",
    "A peer message was malformed or not acceptable.",
    Level.WARNING,
    (
        "reason",
        "source",
    ),
    "Check which process sends from that source: another fleet, an old "
    "version, or a stranger.",
)
PEER_UNREACHABLE = define(
    301,
    "peer_unreachable",
    "A peer did not answer.",
    Level.DEBUG,
    (
        "host",
        "kind",
        "error",
    ),
    "None, unless many hosts report the same host or failure domain: look "
    "for a partition.",
)

# 400-499: callers and targets
CALLER_REQUEST_FAILED = define(
    400,
    "caller_request_failed",
    "A request ended with an unexpected error.",
    Level.ERROR,
    (
        "path",
        "error",
        "reason",
    ),
    "Report it as a fault of the program, with the record.",
)
CALLERS_CUT = define(
    401,
    "callers_cut",
    "Requests in flight were cut at the time limit of a stop.",
    Level.ERROR,
    (
        "requests",
        "limit_s",
    ),
    "Raise drain.limit_s in the settings above the longest request.",
)

# 500-549: detection
VERDICT_CHANGED = define(
    500,
    "verdict_changed",
    "The aggregator changed the state of a target.",
    Level.INFO,
    (
        "service",
        "target",
        "was",
        "state",
        "reason",
    ),
    "None at night. By day, look after targets that are ejected again and again.",
)

# 550-599: limits and claims
REQUEST_QUARANTINED = define(
    550,
    "request_quarantined",
    "A request that crashed two targets is refused.",
    Level.WARNING,
    (
        "service",
        "fingerprint",
        "targets",
    ),
    "Find the request in the targets' logs and correct the service that it crashes.",
)
CLAIMS_BOOTSTRAPPED = define(
    551,
    "claims_bootstrapped",
    "The first fleet was recorded; its hosts may vote.",
    Level.INFO,
    ("hosts",),
)
TRAFFIC_DIVERTED = define(
    501,
    "traffic_diverted",
    "Traffic of a service moves to or from its fallback.",
    Level.WARNING,
    (
        "service",
        "fallback",
        "share",
        "reason",
    ),
    "Look at the targets of the service with oleanderctl explain.",
)

# 600-699: hosts on the platform
SETTINGS_REFUSED = define(
    600,
    "settings_refused",
    "A settings file can't be used; what was in force stays.",
    Level.ERROR,
    ("path", "reason"),
    "Correct the field at the path; the platform writes this file.",
)
SETTINGS_RELOADED = define(
    601,
    "settings_reloaded",
    "Changed settings are in force.",
    Level.INFO,
    ("host",),
)
METRICS_PORT_TAKEN = define(
    602,
    "metrics_port_taken",
    "The fixed port for metrics can't be opened; the readiness port serves them too.",
    Level.WARNING,
    (
        "port",
        "reason",
    ),
    "Find out which process listens on the port, or scrape the readiness port.",
)
STORE_LOST = define(
    610,
    "store_lost",
    "Calls of this host to the store began to fail.",
    Level.WARNING,
    ("reason",),
    "Tell the platform's operators if it lasts; what is in force stays so.",
)
STORE_REGAINED = define(
    611,
    "store_regained",
    "The store answers this host again.",
    Level.INFO,
    ("revision",),
)
STORE_NEWS_RESUMED = define(
    612,
    "store_news_resumed",
    "News of the store arrives again, by any host, after a gap.",
    Level.INFO,
    ("gap_s",),
)
STORE_ITEM_UNREADABLE = define(
    613,
    "store_item_unreadable",
    "An item in an answer of the store can't be read; the others are used.",
    Level.WARNING,
    ("key", "reason"),
    "Tell the platform's operators which writer made the key.",
)
HISTORY_LOST = define(
    614,
    "history_lost",
    "The store discarded changes that this host lacks; it reads all items.",
    Level.INFO,
    ("revision", "reason"),
)
FIRST_COPY_LOADED = define(
    615,
    "first_copy_loaded",
    "A first configuration is in force; requests are served.",
    Level.INFO,
    ("source", "revision", "targets"),
)
WATCH_ROLE_CHANGED = define(
    616,
    "watch_role_changed",
    "This host began or ceased to watch the store for its failure domain.",
    Level.INFO,
    ("watching", "revision"),
)
LEASE_LOST = define(
    617,
    "lease_lost",
    "The store ended the lease of this host's announcement; a new one follows.",
    Level.INFO,
    ("lease",),
)
REGISTRATION_DELAYED = define(
    618,
    "registration_delayed",
    "This host could not announce or withdraw itself; it tries again.",
    Level.INFO,
    ("reason",),
)
COPY_FAILED = define(
    619,
    "copy_failed",
    "A copy of the store's items did not get from one host to another.",
    Level.INFO,
    ("peer", "reason", "after", "bytes", "elapsed_ms"),
)
GOSSIP_REJECTED = define(
    620,
    "gossip_rejected",
    "A datagram could not be decoded; it was dropped.",
    Level.WARNING,
    ("source", "reason", "rejected"),
    "Find out which process sends to the gossip port.",
)
FINDING_UNKNOWN = define(
    621,
    "finding_unknown",
    "A host sent a kind of finding that this version does not know; it is left out.",
    Level.WARNING,
    ("sender", "kind"),
    "End the upgrade of the fleet, so that all hosts run one version.",
)
COPY_SERVED = define(
    622,
    "copy_served",
    "This host sent another one a large copy of the store's items.",
    Level.INFO,
    ("peer", "after", "revision", "bytes", "elapsed_ms"),
)
COPY_FETCHED = define(
    623,
    "copy_fetched",
    "This host got a large copy of the store's items from another one.",
    Level.INFO,
    ("peer", "after", "revision", "bytes", "elapsed_ms"),
)
HUB_ROLE_CHANGED = define(
    624,
    "hub_role_changed",
    "This host began or ceased to forward the findings of its failure domain.",
    Level.INFO,
    ("is_hub",),
)
GOSSIP_SUMMARY = define(
    625,
    "gossip_summary",
    "Datagrams and bytes that this host sent and received in the last interval.",
    Level.INFO,
    ("sent", "sent_bytes", "received", "received_bytes", "is_hub"),
)
REPEATS_COUNTED = define(
    626,
    "repeats_counted",
    "Sends to a service in the window: by all hosts as counted here, and by this one.",
    Level.INFO,
    (
        "service",
        "first",
        "repeats",
        "own_first",
        "own_repeats",
        "earlier_repeats",
        "missed",
        "limit",
        "live",
        "known",
    ),
)
PATCH_NOT_APPLICABLE = define(
    627,
    "patch_not_applicable",
    "A patch refers to a value that this host lacks; it fetches the whole change.",
    Level.INFO,
    ("source", "reason"),
)
REPLICA_DIFFERS = define(
    628,
    "replica_differs",
    "Another host at the same revision of the store has other items; all are read.",
    Level.WARNING,
    ("peer", "revision", "items"),
    "Report it with the lines 629 and 630 to 642 of both hosts: one of them missed "
    "changes.",
)
REPLICA_CORRECTED = define(
    629,
    "replica_corrected",
    "All items were read after a difference; the keys are some that had changed.",
    Level.INFO,
    ("revision", "changes", "keys"),
)
HISTORY_ENTERED = define(
    632,
    "history_entered",
    "The store came back from an older copy; this host read all items. Of some keys it "
    "keeps the newer state that it knew.",
    Level.WARNING,
    ("era", "revision", "era_before", "revision_before", "kept", "keys", "source"),
    "Write the newest configuration again if the line of a kept key names it. Targets "
    "and hosts register again by themselves.",
)
KEPT_STATES_CHANGED = define(
    633,
    "kept_states_changed",
    "Another host keeps newer states against the store's copy; this one does, too.",
    Level.INFO,
    ("source", "keys", "kept"),
)
STORE_ERA_UNREADABLE = define(
    634,
    "store_era_unreadable",
    "An answer of the store does not name its history; it is taken for that of the "
    "last answer. Only the first one is logged, all are counted.",
    Level.INFO,
    ("reason", "era"),
    "Without eras, hosts do not notice that the store came back from an older copy.",
)
CONFIGURATION_IN_FORCE = define(
    630,
    "configuration_in_force",
    "A new version of the configuration is in force.",
    Level.INFO,
    ("version", "routes", "workspaces", "revision", "source"),
)
CONFIGURATION_REFUSED = define(
    631,
    "configuration_refused",
    "A configuration is unreadable or not newer; the one in force stays.",
    Level.WARNING,
    ("reason", "version", "in_force", "revision", "source"),
    "Correct the field that the reason names and write the configuration again.",
)
TARGET_ADDED = define(
    640,
    "target_added",
    "A target registered itself.",
    Level.INFO,
    ("target", "service"),
)
TARGET_LEAVING = define(
    641,
    "target_leaving",
    "A target announced its stop; it gets no new requests.",
    Level.INFO,
    ("target", "revision", "source"),
)
TARGET_GONE = define(
    642,
    "target_gone",
    "The entry of a target is gone; it gets no new requests.",
    Level.INFO,
    ("target", "service", "source"),
)
TARGET_ENTRY_REFUSED = define(
    643,
    "target_entry_refused",
    "An entry names no usable target; it is left out.",
    Level.WARNING,
    ("target", "reason"),
    "Find out which writer made the entry.",
)
HOST_ENTRY_REFUSED = define(
    644,
    "host_entry_refused",
    "An entry names no usable host; it is left out.",
    Level.WARNING,
    ("host", "reason"),
    "Find out which writer made the entry.",
)
TARGET_BELIEF_CHANGED = define(
    645,
    "target_belief_changed",
    "A request of this host changed whether its target is thought to be gray.",
    Level.INFO,
    ("target", "gray", "cut", "finding"),
)
BELIEFS_COUNTED = define(
    651,
    "beliefs_counted",
    "Targets that are thought to be gray, and changes of that in the last interval.",
    Level.INFO,
    ("targets", "gray", "changes"),
)
FINGERPRINT_QUARANTINED = define(
    646,
    "fingerprint_quarantined",
    "A request ended the targets that ran it; it is refused from now on.",
    Level.WARNING,
    ("fingerprint", "target"),
    "Ask the caller's owner to stop the request; 656 names the ids of those that came.",
)
CRASH_COUNTED = define(
    656,
    "crash_counted",
    "A target went down while it ran a request, which may have been the cause.",
    Level.INFO,
    ("request", "target", "fingerprint", "state", "is_answered", "is_overdue"),
)
QUEUE_TURNED = define(
    647,
    "queue_turned",
    "Requests began, or ceased, to queue for long at all sound targets of a service.",
    Level.WARNING,
    ("service", "standing", "wait_s"),
    "Add targets to the service if it lasts, or find out what sends the load.",
)
TARGET_SAID_LEAVING = define(
    648,
    "target_said_leaving",
    "A target said in an answer that it will stop; it gets no new requests.",
    Level.INFO,
    ("target", "source"),
)
TARGET_PAUSED = define(
    649,
    "target_paused",
    "A target turned a request away and named a time; it gets no requests until then.",
    Level.INFO,
    ("target", "request", "hint", "pause_s"),
)
PAUSE_REFUSED = define(
    650,
    "pause_refused",
    "A target named no usable time to stay away; it goes on getting requests.",
    Level.WARNING,
    ("target", "request", "hint"),
    "Correct the Retry-After header of the target.",
)
TARGET_CHANGES_LEFT_OUT = define(
    652,
    "target_changes_left_out",
    "An update of the store changed more targets than have lines of their own.",
    Level.INFO,
    ("left_out",),
)
REPEATS_RECORDED = define(
    653,
    "repeats_recorded",
    "The store has a record of the repeats of the fleet, for hosts that start later.",
    Level.INFO,
    ("services", "repeats"),
)
REPEAT_RECORD_DELAYED = define(
    654,
    "repeat_record_delayed",
    "The store did not take a record of repeats; a host that starts now knows of none.",
    Level.WARNING,
    ("reason",),
    "See the lines about the store. Avoid restarts of all hosts until it is back.",
)
REPEAT_RECORD_REFUSED = define(
    655,
    "repeat_record_refused",
    "A record of repeats can't be read; it is left out.",
    Level.WARNING,
    ("host", "reason"),
    "Find out which writer made the record.",
)
REQUEST_FINISHED = define(
    660,
    "request_finished",
    "A request ended; the sends say to which targets it went and what was believed.",
    Level.INFO,
    (
        "request",
        "route",
        "service",
        "version",
        "status",
        "reason",
        "elapsed_ms",
        "wait_ms",
        "limit_ms",
        "sends",
        "left_out",
    ),
)
ANSWER_REJECTED = define(
    663,
    "answer_rejected",
    "What a target sent in place of an answer to a request was not passed on.",
    Level.WARNING,
    ("request", "target", "reason", "left_out"),
    "Find out what sends these bytes; the request may have run.",
)
ANSWER_CUT = define(
    662,
    "answer_cut",
    "A body was still arriving at the time limit of its request; it was cut off.",
    Level.WARNING,
    ("request", "target", "bytes"),
    "Find out why the target sends so much or so slowly.",
)
REQUEST_WITHOUT_ROUTE = define(
    661,
    "request_without_route",
    "A request was refused before a route was found.",
    Level.INFO,
    ("request", "path", "reason", "version", "news_age_s", "left_out"),
)
MEMORY_PRESSURE_TURNED = define(
    670,
    "memory_pressure_turned",
    "Requests hold so much of the memory budget that large bodies wait, or no longer.",
    Level.WARNING,
    ("pressed", "held_bytes", "limit_bytes", "left_out"),
    "Find callers that send large bodies slowly, or raise limits.memoryMb.",
)
MEMORY_REFUSED = define(
    671,
    "memory_refused",
    "A request was refused, or its connection reset, for the memory that it held.",
    Level.WARNING,
    ("phase", "held_bytes", "all_held_bytes", "left_out"),
    "Find the callers that keep requests incomplete or leave answers unread.",
)
REQUEST_KEY_REFUSED = define(
    680,
    "request_key_refused",
    "A request had no API key, or one that the configuration in force does not have.",
    Level.INFO,
    ("request", "reason", "version", "news_age_s", "left_out"),
)
CONFIGURATION_DECODED = define(
    681,
    "configuration_decoded",
    "A large configuration was decoded in steps, between which requests were served.",
    Level.INFO,
    ("bytes", "elapsed_ms", "longest_step_ms"),
)
CONFIGURATION_SKIPPED = define(
    682,
    "configuration_skipped",
    "Large configurations arrive faster than they can be decoded; one was left out.",
    Level.WARNING,
    ("revision", "waiting"),
    "Find out which writer changes the configuration so often.",
)
RATE_LIMITS_COUNTED = define(
    690,
    "rate_limits_counted",
    "Requests of workspaces with a rate limit since the last line.",
    Level.INFO,
    ("admitted", "refused", "returned", "workspaces", "most_refused", "lost", "known"),
)
RATE_LIMIT_CONTACT_CHANGED = define(
    691,
    "rate_limit_contact_changed",
    "Announcements of other hosts stopped or resumed; a lost host's share is not used.",
    Level.INFO,
    ("lost", "known"),
)
RATE_LIMIT_PAUSED = define(
    692,
    "rate_limit_paused",
    "The process did not run for a time; its tokens of rate limits were dropped.",
    Level.WARNING,
    ("gap_s",),
    "Find out what stopped the process, or give the host more processor time.",
)
SHEDDING_TURNED = define(
    700,
    "shedding_turned",
    "A service with several kinds of requests began, or ceased, to refuse by their "
    "order; kinds lists route, priority, work in ms and admitted share.",
    Level.WARNING,
    ("service", "shedding", "kinds"),
    "Add targets to the service if it lasts, or lower the demand of the first kinds.",
)
