"""Requests and replies between hosts, with a header that identifies the sender."""

from dataclasses import dataclass

from thrift.protocol.TProtocol import TProtocolException

from ..errors import MessageRejected
from ..ids import FailureDomain, HostId, Incarnation, Region
from .codec import decode_message
from .gen.oleander_messages.ttypes import Header, PeerReply, PeerRequest

PROTOCOL_VERSION = 3
# Hosts of adjacent versions run side by side during a rolling upgrade.
ACCEPTED_VERSIONS = frozenset(
    {PROTOCOL_VERSION - 1, PROTOCOL_VERSION, PROTOCOL_VERSION + 1}
)


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Header fields that identify the sending host.

    Attributes
    ----------
    incarnation : int
        Random number drawn at process start; distinguishes a restarted host from
        its previous process.
    """

    fleet: str
    host_id: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain
    region: Region


@dataclass(frozen=True, slots=True)
class HeaderState:
    """Header fields that change while a host runs.

    Attributes
    ----------
    uptime_s : float
        Seconds since the process started.
    host_list_age_s : float or None
        Seconds since the platform confirmed the host list.
    """

    revision: int
    host_list_version: int
    uptime_s: float
    host_list_age_s: float | None = None


def decode_request(body):
    """Decode a frame body into a checked ``PeerRequest``.

    Raises
    ------
    MessageRejected
        If the bytes are not a complete request.
    """
    return _decode(PeerRequest(), body)


def decode_reply(body):
    """Decode a frame body into a checked ``PeerReply``.

    Raises
    ------
    MessageRejected
        If the bytes are not a complete reply.
    """
    return _decode(PeerReply(), body)


def _decode(message, body):
    decode_message(message, body)
    try:
        message.header.validate()
    except TProtocolException as error:
        raise MessageRejected(f"malformed message: {error!r}") from error
    return message


def check_header(header, fleet):
    """Reject messages of other fleets and of unsupported protocol versions.

    Raises
    ------
    MessageRejected
    """
    if header.protocol_version not in ACCEPTED_VERSIONS:
        raise MessageRejected(f"protocol version: {header.protocol_version}")
    if header.fleet != fleet:
        raise MessageRejected("message of another fleet")


def union_field(body):
    """Return the name and value of the field that is set in a thrift union.

    Raises
    ------
    MessageRejected
        If no field is set, as with a message kind of a newer version.
    """
    for name in body.__slots__:
        value = getattr(body, name)
        if value is not None:
            return name, value
    raise MessageRejected("message of unknown kind")


def make_header(identity, state):
    """Build the header of a message.

    Parameters
    ----------
    identity : PeerIdentity
    state : HeaderState
    """
    return Header(
        protocol_version=PROTOCOL_VERSION,
        host_id=identity.host_id,
        incarnation=identity.incarnation,
        failure_domain=identity.failure_domain,
        region=identity.region,
        revision=state.revision,
        host_list_version=state.host_list_version,
        uptime_s=state.uptime_s,
        fleet=identity.fleet,
        host_list_age_s=state.host_list_age_s,
    )
