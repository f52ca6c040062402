"""Claim rounds: how an entry collects the votes of holders and decides."""

from .claim_types import (
    GRANTS_NEEDED,
    ClaimDecision,
    DecisionKind,
    DecisionReason,
    VoteKind,
    VoteReason,
)

PENDING = ClaimDecision(DecisionKind.PENDING, DecisionReason.WAITING)

KEY_AGE_REASONS = frozenset({VoteReason.KEY_EXPIRED, VoteReason.KEY_FROM_FUTURE})


class ClaimRound:
    """Collects the votes of the holders of one key.

    A decision, once made, does not change.

    Parameters
    ----------
    holders : sequence of HostId
        The holders that the entry asks.
    owner : ClaimOwner
        Unique for this round.
    lifetime_s : float
        Lifetime of claims.
    limits : ClaimLimits
    clock : Clock

    Attributes
    ----------
    started_at : float
        Monotonic seconds, read before any request of the round was sent.
    started_unix_s : float
    """

    grants_needed = GRANTS_NEEDED

    def __init__(self, holders, owner, lifetime_s, limits, clock):
        self.holders = tuple(holders)
        self.owner = owner
        self.lifetime_s = lifetime_s
        self.limits = limits
        self.clock = clock
        self.started_at = clock.now()
        self.started_unix_s = clock.wall()
        self.votes = {}
        self.decided = PENDING

    def add_vote(self, holder, vote):
        """Count a vote, unless its holder was not asked, or it is repeated or late.

        Parameters
        ----------
        holder : HostId
        vote : ClaimVote
        """
        if holder not in self.holders or holder in self.votes:
            return
        if self.is_window_closed():
            return
        self.votes[holder] = vote

    def is_window_closed(self):
        """Return whether votes that arrive now no longer count."""
        elapsed_s = self.clock.now() - self.started_at
        return elapsed_s >= self.limits.vote_window_s

    def decision(self):
        """Return the ClaimDecision so far; it may be pending."""
        if self.decided.kind is not DecisionKind.PENDING:
            return self.decided
        self.decided = self._decide(is_final=False)
        return self.decided

    def close(self):
        """Return the final ClaimDecision when no more votes are awaited."""
        if self.decided.kind is not DecisionKind.PENDING:
            return self.decided
        self.decided = self._decide(is_final=True)
        return self.decided

    def _decide(self, is_final):
        blocking = self._blocking_decision()
        if blocking is not None and blocking.kind is not DecisionKind.HELD:
            return blocking
        # An entry that was paused must not act on votes whose claims may have expired.
        if self.is_window_closed():
            return blocking or self._unknown(DecisionReason.WINDOW_CLOSED)
        if blocking is None and self._count(VoteKind.GRANTED) >= self.grants_needed:
            return ClaimDecision(
                DecisionKind.GRANTED, DecisionReason.MAJORITY, self.owner
            )
        if not is_final and len(self.votes) < len(self.holders):
            return PENDING
        return blocking or self._without_majority()

    def _blocking_decision(self):
        """Return the strongest decision that prevents a run, or None.

        A recorded answer is preferred to a held claim, because it serves the caller.
        """
        strongest = None
        for vote in self.votes.values():
            if vote.kind is VoteKind.COMPLETED:
                return ClaimDecision(
                    DecisionKind.COMPLETED,
                    DecisionReason.RECORDED,
                    vote.owner,
                    vote.answer,
                )
            if vote.reason is VoteReason.OTHER_REQUEST:
                strongest = ClaimDecision(
                    DecisionKind.KEY_REUSED, DecisionReason.OTHER_REQUEST, vote.owner
                )
                continue
            if strongest is not None:
                continue
            if vote.kind is VoteKind.HELD:
                strongest = ClaimDecision(
                    DecisionKind.HELD, DecisionReason.OTHER_OWNER, vote.owner
                )
                continue
            if vote.reason in KEY_AGE_REASONS:
                strongest = ClaimDecision(
                    DecisionKind.KEY_EXPIRED, DecisionReason.KEY_AGE
                )
        return strongest

    def _without_majority(self):
        if len(self.holders) < self.grants_needed:
            return self._unknown(DecisionReason.TOO_FEW_HOLDERS)
        if self._proves_no_claim():
            return ClaimDecision(DecisionKind.NOT_RUN, DecisionReason.HOLDERS_FULL)
        return self._unknown(DecisionReason.NO_MAJORITY)

    def _proves_no_claim(self):
        """Return whether nothing was granted and no earlier claim can exist.

        A holder that votes table-full is eligible and has no claim of the key. Two of
        them intersect every earlier majority.
        """
        if self._count(VoteKind.GRANTED) > 0:
            return False
        full = 0
        for vote in self.votes.values():
            if vote.reason is VoteReason.TABLE_FULL:
                full += 1
        return full >= self.grants_needed

    def _count(self, kind):
        count = 0
        for vote in self.votes.values():
            if vote.kind is kind:
                count += 1
        return count

    def _unknown(self, reason):
        return ClaimDecision(DecisionKind.UNKNOWN, reason)

    def holders_to_release(self):
        """Return the holders that may still hold a claim of this round.

        Holders that did not answer are included, because their grant may be lost.

        Returns
        -------
        list of HostId
            Empty while the round is pending or was granted.
        """
        if self.decided.kind in (DecisionKind.PENDING, DecisionKind.GRANTED):
            return []
        release = []
        for holder in self.holders:
            vote = self.votes.get(holder)
            if vote is not None and vote.kind is not VoteKind.GRANTED:
                continue
            release.append(holder)
        return release

    def dispatch_deadline_unix_s(self, time_budget_s):
        """Return the absolute time from which a target must refuse to start.

        It is computed from the round's start, which precedes every grant, so it is
        earlier than the expiry of every grant by the dispatch margin.

        Parameters
        ----------
        time_budget_s : float
            Time that the caller and the route allow from the round's start.

        Returns
        -------
        float
            Unix seconds.
        """
        longest_s = self.lifetime_s - self.limits.dispatch_margin_s
        return self.started_unix_s + min(time_budget_s, longest_s)
