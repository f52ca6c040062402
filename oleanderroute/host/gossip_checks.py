"""Checks of received datagrams that thrift does not make.

Its decoder does not look for the required fields of nested structures, nor for ranges.
"""

from thrift.protocol.TProtocol import TProtocolException

from ..errors import MessageRejected
from .model import MAX_WORKSPACE_NAME_BYTES

# Ages and latencies beyond this are not sent.
MAX_AGE_MS = 60_000
# Failure domains, or hosts, in the report of a hub.
MAX_LISTED = 1000


def check_gossip(message):
    """Check the fields of a datagram other than its observations.

    Raises
    ------
    MessageRejected
    """
    if not message.host_id:
        raise MessageRejected("no host id")
    check_range("revision", message.revision)
    check_range("confirmed_ms", message.confirmed_ms, MAX_AGE_MS)
    check_range("changes_after", message.changes_after, message.revision)
    check_range("digest", message.digest)
    check_range("era", message.era)
    check_range("kept", message.kept)
    check_range("number of reached domains", len(message.reached or ()), MAX_LISTED)
    check_range("number of silent hosts", len(message.silent or ()), MAX_LISTED)
    for change in (*(message.changes or ()), *(message.patches or ())):
        check_required(change)
        # It may be above the message's: a listing is read in pages.
        check_range("revision of a change", change.revision)
    for notice in message.crashes or ():
        check_required(notice)
        check_range("sent_ms", notice.sent_ms)
        check_range("broke_ms", notice.broke_ms)


def check_observation(observation):
    """Check the fields of one observation.

    Raises
    ------
    MessageRejected
    """
    check_required(observation)
    # One comparison chain, as most work on a datagram is done for its observations.
    if (
        0 <= observation.age_ms <= MAX_AGE_MS
        and 0 <= (observation.latency_ms or 0) <= MAX_AGE_MS
        and (observation.in_system or 0) >= 0
        and (observation.slots or 0) >= 0
        and observation.send_number >= 0
        and (observation.incarnation or 0) >= 0
        and (observation.count or 0) >= 0
        and (observation.workspace is None or is_announcement(observation))
    ):
        return
    raise MessageRejected(f"out of range: {observation!r}")


def is_announcement(observation):
    """Tell whether the fields about a workspace are complete and in range."""
    return (
        0 < len(observation.workspace.encode()) <= MAX_WORKSPACE_NAME_BYTES
        and (observation.workspace_count or 0) > 0
        and observation.incarnation is not None
    )


def check_required(structure):
    """Reject a nested structure without one of its required fields."""
    try:
        structure.validate()
    except TProtocolException as error:
        raise MessageRejected(str(error)) from error


def check_range(name, value, most=None):
    """Reject a field that is set and below zero, or above ``most``."""
    if value is None:
        return
    if value < 0 or (most is not None and value > most):
        raise MessageRejected(f"{name}: {value}")
