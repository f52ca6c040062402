"""Values exchanged between claim holders and entries, and the limits of claims."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from ..ids import ClaimOwner, FailureDomain, HostId, Incarnation

# A constant and not a setting: holders with different lifetimes would expire a claim
# at different times, and a second run could start between them.
CLAIM_LIFETIME_S = 600.0
MAX_RECORDED_ANSWER_BYTES = 16 * 1024
HOLDERS_PER_KEY = 3
GRANTS_NEEDED = 2


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Time and size limits of claims. ``docs/at-most-once.md`` derives the times.

    Attributes
    ----------
    list_staleness_s : float
        A holder refuses claims when its host list was not confirmed for this long.
    vote_window_s : float
        A vote that reaches the entry later than this after the round's start is
        not counted.
    dispatch_margin_s : float
        How long before the claim's expiry a dispatch must have started.
    future_tolerance_s : float
        How far a caller's clock may be ahead in a UUIDv7 key.
    key_margin_s : float
        How much younger than the claim lifetime a UUIDv7 key must be. It exceeds
        ``future_tolerance_s`` by more than the skew of two hosts' clocks.
    max_entries, max_bytes : int
    """

    list_staleness_s: float = 60.0
    vote_window_s: float = 10.0
    dispatch_margin_s: float = 30.0
    future_tolerance_s: float = 30.0
    key_margin_s: float = 60.0
    max_entries: int = 50_000
    max_bytes: int = 32_000_000


class VoteKind(IntEnum):
    """A holder's vote. Numbers are part of the peer protocol."""

    GRANTED = 0
    HELD = 1
    COMPLETED = 2
    REFUSED = 3


class VoteReason(Enum):
    """Why a holder cast its vote."""

    FREE = "free"
    SAME_OWNER = "same-owner"
    OTHER_OWNER = "other-owner"
    RECORDED = "recorded"
    OTHER_REQUEST = "other-request"
    KEY_EXPIRED = "key-expired"
    KEY_FROM_FUTURE = "key-from-future"
    HOLDER_TOO_YOUNG = "holder-too-young"
    HOST_LIST_STALE = "host-list-stale"
    NOT_A_HOLDER = "not-a-holder"
    TABLE_FULL = "table-full"


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer of a completed request.

    Attributes
    ----------
    headers : dict of str to str
    body : bytes or None
        None when headers and body exceed 16 KiB or the table has no room.
    """

    status: int
    headers: dict = field(default_factory=dict)
    body: bytes | None = None

    def size_bytes(self):
        """Return the bytes of headers and body."""
        size = len(self.body) if self.body is not None else 0
        for name, value in self.headers.items():
            size += len(name) + len(value)
        return size

    def without_content(self):
        """Return a copy of the answer with only its status."""
        return RecordedAnswer(self.status)


@dataclass(frozen=True, slots=True)
class ClaimVote:
    """One holder's reply to a claim request.

    Attributes
    ----------
    owner : ClaimOwner or None
        Owner of the current claim at the holder.
    answer : RecordedAnswer or None
        Only with ``VoteKind.COMPLETED``.
    """

    kind: VoteKind
    reason: VoteReason
    owner: ClaimOwner | None = None
    answer: RecordedAnswer | None = None


class UpdateResult(Enum):
    """Result of a completion, a release or an imported claim at a holder."""

    APPLIED = "applied"
    NOT_OWNER = "not-owner"
    ALREADY_COMPLETED = "already-completed"
    NO_CLAIM = "no-claim"
    TABLE_FULL = "table-full"


class DecisionKind(Enum):
    """What an entry may do after a claim round."""

    PENDING = "pending"
    GRANTED = "granted"
    HELD = "claim-held"
    COMPLETED = "completed"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class DecisionReason(Enum):
    """Why a claim round ended with its decision."""

    WAITING = "waiting"
    MAJORITY = "majority"
    OTHER_OWNER = "other-owner"
    RECORDED = "recorded"
    OTHER_REQUEST = "other-request"
    KEY_AGE = "key-age"
    HOLDERS_FULL = "holders-full"
    TOO_FEW_HOLDERS = "too-few-holders"
    NO_MAJORITY = "no-majority"
    WINDOW_CLOSED = "window-closed"


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """The result of a claim round."""

    kind: DecisionKind
    reason: DecisionReason
    owner: ClaimOwner | None = None
    answer: RecordedAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimExport:
    """One claim in a handover.

    Attributes
    ----------
    age_s : float
        Seconds since the claim was granted.
    answer : RecordedAnswer or None
        None while the claim is held.
    """

    key: str
    owner: ClaimOwner
    fingerprint: str
    age_s: float
    answer: RecordedAnswer | None


@dataclass(frozen=True, slots=True)
class RankedHost:
    """A host and its failure domain, for the ranking of holders."""

    host_id: HostId
    failure_domain: FailureDomain


@dataclass(frozen=True, slots=True)
class BootstrapMember:
    """One process of the first fleet."""

    host: RankedHost
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class BootstrapRecord:
    """The processes of the first fleet that ever started.

    It is created once in the store, by a compare-and-swap that requires the key to be
    absent. Its members may vote at once, because no claim can be older than the record.
    """

    members: tuple[BootstrapMember, ...]

    def includes(self, host_id, incarnation):
        """Return whether this incarnation of the host is a member."""
        for member in self.members:
            if member.host.host_id != host_id:
                continue
            return member.incarnation == incarnation
        return False


@dataclass(frozen=True, slots=True)
class StartedHost:
    """A listed host that answered the creator of the bootstrap record.

    Attributes
    ----------
    uptime_s : float or None
        Age of its process; None when it did not answer.
    """

    member: BootstrapMember
    uptime_s: float | None


def first_fleet_record(started_hosts, lifetime_s):
    """Return the bootstrap record to create, or None when it would be unsafe.

    A process older than the claim lifetime may hold claims that are unknown to the
    other members, and so may a listed host that does not answer.

    Parameters
    ----------
    started_hosts : iterable of StartedHost
        All hosts of the list.
    lifetime_s : float
    """
    members = []
    for started in started_hosts:
        if started.uptime_s is None or started.uptime_s >= lifetime_s:
            return None
        members.append(started.member)
    if not members:
        return None
    return BootstrapRecord(tuple(members))
