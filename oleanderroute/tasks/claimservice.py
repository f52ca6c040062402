"""The holder's side of at-most-once claims between hosts."""

from ..peer.gen.oleander_messages.ttypes import Ack
from .claim_messages import (
    ClaimUpdateState,
    answer_from_message,
    export_from_message,
    vote_to_reply,
)


class ClaimHolder:
    """Answers claim messages from the claim table of this host.

    Parameters
    ----------
    table : ClaimTable
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, table, clock, metrics):
        self.table = table
        self.clock = clock
        self.metrics = metrics

    def register(self, server):
        """Take over the claim messages of a peer server."""
        server.register("claim_request", self.receive_request)
        server.register("claim_update", self.receive_update)
        server.register("claim_handover", self.receive_handover)

    def receive_request(self, request, header):
        """Vote on one claim."""
        vote = self.table.request(
            request.key,
            request.owner,
            request.fingerprint,
            request.holders,
            self.clock.now(),
        )
        self.metrics.claims_held.set({}, len(self.table.claims))
        return "claim_reply", vote_to_reply(vote)

    def receive_update(self, update, header):
        """Record a completion or a release."""
        now = self.clock.now()
        if update.state == ClaimUpdateState.RELEASED:
            self.table.release(update.key, update.owner, now)
        elif update.status is not None:
            answer = answer_from_message(update)
            self.table.complete(
                update.key, update.owner, answer, now, update.fingerprint
            )
        return "ack", Ack()

    def receive_handover(self, handover, header):
        """Absorb the claims of a host that stops."""
        exports = [export_from_message(message) for message in handover.claims]
        self.table.import_claims(exports, self.clock.now())
        return "ack", Ack()
