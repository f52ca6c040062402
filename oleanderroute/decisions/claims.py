"""At-most-once claims: the claim table, the voting round and the holder view."""

from .claim_round import ClaimRound
from .claim_table import ClaimTable, key_age_refusal
from .claim_types import (
    CLAIM_LIFETIME_S,
    BootstrapMember,
    BootstrapRecord,
    ClaimDecision,
    ClaimExport,
    ClaimLimits,
    ClaimVote,
    DecisionKind,
    DecisionReason,
    RankedHost,
    RecordedAnswer,
    StartedHost,
    UpdateResult,
    VoteKind,
    VoteReason,
    first_fleet_record,
)
from .holder_view import HolderView

__all__ = [
    "CLAIM_LIFETIME_S",
    "BootstrapMember",
    "BootstrapRecord",
    "ClaimDecision",
    "ClaimExport",
    "ClaimLimits",
    "ClaimRound",
    "ClaimTable",
    "ClaimVote",
    "DecisionKind",
    "DecisionReason",
    "HolderView",
    "RankedHost",
    "RecordedAnswer",
    "StartedHost",
    "UpdateResult",
    "VoteKind",
    "VoteReason",
    "first_fleet_record",
    "key_age_refusal",
]
