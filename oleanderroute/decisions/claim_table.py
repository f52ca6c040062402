"""The claim table of a holder, for at-most-once requests."""

from collections import OrderedDict
from dataclasses import dataclass

from ..ids import ClaimOwner, Fingerprint
from .claim_types import (
    MAX_RECORDED_ANSWER_BYTES,
    ClaimExport,
    ClaimVote,
    RecordedAnswer,
    UpdateResult,
    VoteKind,
    VoteReason,
)
from .fingerprint import key_created_unix_s

# Estimated memory of the objects of one claim, without its strings and its answer.
ENTRY_OVERHEAD_BYTES = 400


@dataclass(slots=True)
class Claim:
    """A claim at this holder.

    Attributes
    ----------
    granted_at : float
        Monotonic seconds of this holder.
    answer : RecordedAnswer or None
        None while the claim is held.
    size_bytes : int
        Estimated memory.
    """

    owner: ClaimOwner
    fingerprint: Fingerprint
    granted_at: float
    answer: RecordedAnswer | None
    size_bytes: int


class ClaimTable:
    """Claims that this host granted or imported, bounded in number and bytes.

    A full table refuses new claims; it never drops a live one.

    Parameters
    ----------
    lifetime_s : float
        Seconds for which a claim is kept after it was granted.
    limits : ClaimLimits
    clock : Clock
        Its wall time determines the age of UUIDv7 keys.
    view : HolderView
        This host's view of the holders.
    """

    def __init__(self, lifetime_s, limits, clock, view):
        self.lifetime_s = lifetime_s
        self.limits = limits
        self.clock = clock
        self.view = view
        # Unlike a dict, it iterates fast after many removals at the front.
        self.claims = OrderedDict()
        self.used_bytes = 0

    def request(self, key, owner, fingerprint, holders, now):
        """Vote on a claim.

        Parameters
        ----------
        key : ClaimKey
        owner : ClaimOwner
            Unique for each round of each entry.
        fingerprint : Fingerprint
        holders : sequence of HostId
            The holders that the entry asks.
        now : float
            Monotonic seconds, read after the request arrived.

        Returns
        -------
        ClaimVote
        """
        self.drop_expired(now)
        claim = self._live_claim(key, now)
        if claim is not None:
            return self._vote_on_existing(claim, owner, fingerprint)
        reason = self._refusal(key, owner, fingerprint, holders, now)
        if reason is not None:
            return ClaimVote(VoteKind.REFUSED, reason)
        self._add(key, self._new_claim(key, owner, fingerprint, now))
        return ClaimVote(VoteKind.GRANTED, VoteReason.FREE, owner)

    def _vote_on_existing(self, claim, owner, fingerprint):
        if claim.fingerprint != fingerprint:
            reason = VoteReason.OTHER_REQUEST
            return ClaimVote(VoteKind.REFUSED, reason, claim.owner)
        if claim.answer is not None:
            reason = VoteReason.RECORDED
            return ClaimVote(VoteKind.COMPLETED, reason, claim.owner, claim.answer)
        if claim.owner == owner:
            return ClaimVote(VoteKind.GRANTED, VoteReason.SAME_OWNER, owner)
        return ClaimVote(VoteKind.HELD, VoteReason.OTHER_OWNER, claim.owner)

    def _refusal(self, key, owner, fingerprint, holders, now):
        reason = key_age_refusal(key, self.clock.wall(), self.lifetime_s, self.limits)
        if reason is not None:
            return reason
        if not self.view.is_list_fresh(now):
            return VoteReason.HOST_LIST_STALE
        if not self.view.is_old_enough(now):
            return VoteReason.HOLDER_TOO_YOUNG
        if not self._is_holder(key, holders, now):
            return VoteReason.NOT_A_HOLDER
        if not self._has_room(self._base_size(key, owner, fingerprint)):
            return VoteReason.TABLE_FULL
        return None

    def _is_holder(self, key, holders, now):
        own_id = self.view.host_id
        if own_id not in holders or own_id not in self.view.present_hosts:
            return False
        return own_id in self.view.holders(key, now)

    def complete(self, key, owner, answer, now, fingerprint=None):
        """Record the answer of a request that ran.

        Parameters
        ----------
        key : ClaimKey
        owner : ClaimOwner
        answer : RecordedAnswer
        now : float
            Monotonic seconds.
        fingerprint : Fingerprint or None
            Allows a holder without the claim, because its vote was lost or refused, to
            record the completion as well.

        Returns
        -------
        UpdateResult
        """
        claim = self._live_claim(key, now)
        if claim is None:
            return self._record_without_claim(key, owner, answer, now, fingerprint)
        if claim.owner != owner:
            return UpdateResult.NOT_OWNER
        if claim.answer is not None:
            return UpdateResult.ALREADY_COMPLETED
        self._set_answer(claim, answer)
        return UpdateResult.APPLIED

    def _record_without_claim(self, key, owner, answer, now, fingerprint):
        if fingerprint is None:
            return UpdateResult.NO_CLAIM
        if not self._has_room(self._base_size(key, owner, fingerprint)):
            return UpdateResult.TABLE_FULL
        claim = self._new_claim(key, owner, fingerprint, now)
        self._add(key, claim)
        self._set_answer(claim, answer)
        return UpdateResult.APPLIED

    def _set_answer(self, claim, answer):
        size = answer.size_bytes()
        has_room = self.used_bytes + size <= self.limits.max_bytes
        if size > MAX_RECORDED_ANSWER_BYTES or not has_room:
            answer = answer.without_content()
        claim.answer = answer
        claim.size_bytes += answer.size_bytes()
        self.used_bytes += answer.size_bytes()

    def release(self, key, owner, now):
        """Remove a claim whose request is proven not to have run.

        Parameters
        ----------
        key : ClaimKey
        owner : ClaimOwner
            Only the owner may release.
        now : float
            Monotonic seconds.

        Returns
        -------
        UpdateResult
        """
        claim = self._live_claim(key, now)
        if claim is None:
            return UpdateResult.NO_CLAIM
        if claim.owner != owner:
            return UpdateResult.NOT_OWNER
        if claim.answer is not None:
            return UpdateResult.ALREADY_COMPLETED
        self._remove(key)
        return UpdateResult.APPLIED

    def export(self, now):
        """Return all live claims as a list of ClaimExport, for a planned shutdown."""
        exports = []
        for key, claim in self.claims.items():
            age_s = now - claim.granted_at
            if age_s >= self.lifetime_s:
                continue
            exports.append(
                ClaimExport(key, claim.owner, claim.fingerprint, age_s, claim.answer)
            )
        return exports

    def import_claims(self, exports, now):
        """Import the claims of a holder that shuts down.

        Imported claims cause votes against a second run. They do not count towards
        the age of this host: a handover holds the grants of one holder, not those of
        the other two.

        Parameters
        ----------
        exports : iterable of ClaimExport
        now : float
            Monotonic seconds.

        Returns
        -------
        list of UpdateResult
            One for each claim, in order.
        """
        results = []
        for export in exports:
            results.append(self._import_claim(export, now))
        return results

    def _import_claim(self, export, now):
        granted_at = now - export.age_s
        if export.age_s >= self.lifetime_s:
            return UpdateResult.NO_CLAIM
        claim = self._live_claim(export.key, now)
        if claim is None:
            size = self._base_size(export.key, export.owner, export.fingerprint)
            if not self._has_room(size):
                return UpdateResult.TABLE_FULL
            claim = self._new_claim(
                export.key, export.owner, export.fingerprint, granted_at
            )
            self._add(export.key, claim)
        if claim.owner != export.owner:
            return UpdateResult.NOT_OWNER
        if export.answer is not None and claim.answer is None:
            self._set_answer(claim, export.answer)
        return UpdateResult.APPLIED

    def drop_expired(self, now):
        """Drop claims at the front of the table that have expired.

        Claims are ordered by the time at which they were added. An imported claim is
        older than its neighbours, so it may be kept beyond its lifetime.
        """
        expired = []
        for key, claim in self.claims.items():
            if now - claim.granted_at < self.lifetime_s:
                break
            expired.append(key)
        for key in expired:
            self._remove(key)

    def _live_claim(self, key, now):
        claim = self.claims.get(key)
        if claim is None:
            return None
        if now - claim.granted_at >= self.lifetime_s:
            self._remove(key)
            return None
        return claim

    def _new_claim(self, key, owner, fingerprint, granted_at):
        size = self._base_size(key, owner, fingerprint)
        return Claim(owner, fingerprint, granted_at, None, size)

    def _base_size(self, key, owner, fingerprint):
        return ENTRY_OVERHEAD_BYTES + len(key) + len(owner) + len(fingerprint)

    def _has_room(self, size):
        if len(self.claims) >= self.limits.max_entries:
            return False
        return self.used_bytes + size <= self.limits.max_bytes

    def _add(self, key, claim):
        self.claims[key] = claim
        self.used_bytes += claim.size_bytes

    def _remove(self, key):
        claim = self.claims.pop(key)
        self.used_bytes -= claim.size_bytes


def key_age_refusal(key, wall_s, lifetime_s, limits):
    """Return why a UUIDv7 key cannot be claimed because of its age, or None.

    Parameters
    ----------
    key : ClaimKey
    wall_s : float
        Unix seconds.
    lifetime_s : float
    limits : ClaimLimits
    """
    created_s = key_created_unix_s(key)
    if created_s is None:
        return None
    age_s = wall_s - created_s
    if age_s < -limits.future_tolerance_s:
        return VoteReason.KEY_FROM_FUTURE
    if age_s > lifetime_s - limits.key_margin_s:
        return VoteReason.KEY_EXPIRED
    return None
