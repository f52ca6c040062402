"""Translation between claim values and their thrift structures."""

from enum import IntEnum

from ..decisions.claims import (
    ClaimExport,
    ClaimVote,
    RecordedAnswer,
    VoteKind,
    VoteReason,
)
from ..errors import MessageRejected
from ..peer.gen.oleander_messages.ttypes import ClaimReply, ClaimUpdate


class ClaimUpdateState(IntEnum):
    """What a claim update says. Numbers are part of the peer protocol."""

    HELD = 0
    COMPLETED = 1
    RELEASED = 2


def vote_to_reply(vote):
    """Return the thrift form of a ``ClaimVote``."""
    reply = ClaimReply(
        decision=int(vote.kind), reason=vote.reason.value, owner=vote.owner
    )
    if vote.answer is not None:
        reply.status = vote.answer.status
        reply.headers = vote.answer.headers
        reply.body = vote.answer.body
    return reply


def vote_from_reply(reply):
    """Return the ``ClaimVote`` of a reply.

    Raises
    ------
    MessageRejected
        If the reply names a vote that this version does not know.
    """
    try:
        kind = VoteKind(reply.decision)
        reason = VoteReason(reply.reason)
    except ValueError as error:
        raise MessageRejected(f"unknown vote: {error}") from error
    answer = None
    if reply.status is not None:
        answer = RecordedAnswer(reply.status, reply.headers or {}, reply.body)
    return ClaimVote(kind, reason, reply.owner, answer)


def completion(key, owner, fingerprint, answer):
    """Return the update that records an answer."""
    return ClaimUpdate(
        key=key,
        owner=owner,
        state=int(ClaimUpdateState.COMPLETED),
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        fingerprint=fingerprint,
    )


def release(key, owner):
    """Return the update that gives up a claim."""
    return ClaimUpdate(key=key, owner=owner, state=int(ClaimUpdateState.RELEASED))


def export_to_message(export):
    """Return the thrift form of a ``ClaimExport``."""
    message = ClaimUpdate(
        key=export.key,
        owner=export.owner,
        state=int(ClaimUpdateState.HELD),
        age_s=export.age_s,
        fingerprint=export.fingerprint,
    )
    if export.answer is not None:
        message.state = int(ClaimUpdateState.COMPLETED)
        message.status = export.answer.status
        message.headers = export.answer.headers
        message.body = export.answer.body
    return message


def export_from_message(message):
    """Return the ``ClaimExport`` of one claim in a handover."""
    answer = None
    if message.status is not None:
        answer = answer_from_message(message)
    return ClaimExport(
        message.key,
        message.owner,
        message.fingerprint or "",
        message.age_s or 0.0,
        answer,
    )


def answer_from_message(message):
    """Return the recorded answer that an update carries."""
    return RecordedAnswer(message.status, message.headers or {}, message.body)
