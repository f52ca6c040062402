"""Requests that crash the targets that run them."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import TargetId

# Distinct targets, because one sick target breaks the connections of any request.
CRASHES_TO_REFUSE = 2
REFUSAL_S = 300.0
# How long the first death waits for the second.
SUSPICION_WINDOW_S = 300.0
MAX_FINGERPRINTS = 4096
# Deaths beyond these change no decision, so they need not be kept.
MAX_CRASHES_KEPT = 16


class CrashReason(Enum):
    """What a crash says about its request."""

    FIRST_CRASH = "first-death"
    SAME_TARGET = "same-target"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class CrashVerdict:
    """The consequence of one recorded crash.

    Attributes
    ----------
    is_refused : bool
    excused : tuple of TargetId
        Targets whose death must not count towards ejection; the earlier deaths of
        the fingerprint are among them when this one confirms them.
    """

    is_refused: bool
    reason: CrashReason
    exempt_ids: tuple[TargetId, ...]


@dataclass(slots=True)
class CrashRecord:
    """Deaths under one fingerprint.

    Attributes
    ----------
    deaths : dict of TargetId to float
        Monotonic time in seconds of the latest death.
    repeats : int
        Deaths of one target after the other: the request was sent again after the
        death before it. Targets that died side by side count once.
    last_sequential_at : float
        Time of the last death that counts as a repeat.
    refused_until : float or None
    """

    crash_times: dict
    sequential_crashes: int = 0
    last_sequential_at: float = float("-inf")
    refused_until: float | None = None

    def add(self, target_id, crashed_at, sent_at):
        """Count a death; ``sent_at`` is None if it is not known."""
        is_other = target_id not in self.crash_times
        is_sequential = sent_at is None or sent_at >= self.last_sequential_at
        self.crash_times[target_id] = crashed_at
        if is_other and is_sequential:
            self.sequential_crashes += 1
            self.last_sequential_at = crashed_at


class Quarantine:
    """Counts target deaths by request fingerprint and refuses confirmed causes.

    Parameters
    ----------
    clock : Clock
    max_fingerprints : int
        Suspected and refused fingerprints kept; the oldest suspects go first.
    """

    def __init__(self, clock, max_fingerprints=MAX_FINGERPRINTS):
        self.clock = clock
        self.max_fingerprints = max_fingerprints
        self.suspected = OrderedDict()
        self.refused = OrderedDict()

    def is_refused(self, fingerprint, now):
        """Return whether a request must not run now.

        Parameters
        ----------
        fingerprint : Fingerprint
        now : float
            Monotonic seconds.
        """
        record = self.refused.get(fingerprint)
        if record is None:
            return False
        if now < record.refused_until:
            return True
        del self.refused[fingerprint]
        return False

    def record_crash(self, fingerprint, target_id, now, sent_at=None):
        """Count a connection that broke while the request ran on a target.

        Parameters
        ----------
        fingerprint : Fingerprint
        target_id : TargetId
        now : float
            Monotonic seconds at which the connection broke.
        sent_at : float, optional
            When the request was sent to the target. A death of a request that was
            sent before the death that counted last is no repeat: one failure may
            end several targets that run the same request.

        Returns
        -------
        CrashVerdict
        """
        if self.is_refused(fingerprint, now):
            return self._record_late_crash(fingerprint, target_id, now)
        record = self._suspected_record(fingerprint, now)
        is_known = target_id in record.crash_times
        record.add(target_id, now, sent_at)
        if record.sequential_crashes >= CRASHES_TO_REFUSE:
            return self._refuse(fingerprint, record, now)
        reason = CrashReason.SAME_TARGET if is_known else CrashReason.FIRST_CRASH
        return CrashVerdict(False, reason, ())

    def record_peer_crash(self, fingerprint, target_id, now):
        """Count a crash that a peer saw; the same as one seen here.

        A target that died for both counts once.
        """
        return self.record_crash(fingerprint, target_id, now)

    def clear_crashes(self, fingerprint):
        """Forget the deaths of a request that a target has served after all.

        Returns
        -------
        was_known : bool
        """
        suspected = self.suspected.pop(fingerprint, None)
        refused = self.refused.pop(fingerprint, None)
        return suspected is not None or refused is not None

    def is_exempt(self, fingerprint, target_id, now):
        """Return whether a death must not count towards ejection.

        Parameters
        ----------
        fingerprint : Fingerprint
        target_id : TargetId
        now : float
            Monotonic seconds.
        """
        if not self.is_refused(fingerprint, now):
            return False
        return target_id in self.refused[fingerprint].crash_times

    def _suspected_record(self, fingerprint, now):
        # Re-insertion keeps the suspects in the order of their latest death.
        record = self.suspected.pop(fingerprint, None) or CrashRecord({})
        for target_id, crashed_at in list(record.crash_times.items()):
            if now - crashed_at >= SUSPICION_WINDOW_S:
                del record.crash_times[target_id]
                record.sequential_crashes = min(
                    record.sequential_crashes, len(record.crash_times)
                )
        self.suspected[fingerprint] = record
        self._evict_oldest(now)
        return record

    def _refuse(self, fingerprint, record, now):
        del self.suspected[fingerprint]
        record.refused_until = now + REFUSAL_S
        self.refused[fingerprint] = record
        self._evict_oldest(now)
        return CrashVerdict(True, CrashReason.QUARANTINED, tuple(record.crash_times))

    def _record_late_crash(self, fingerprint, target_id, now):
        """Count a death by a run that had started before the refusal."""
        record = self.refused[fingerprint]
        is_known = target_id in record.crash_times
        if not is_known and len(record.crash_times) < MAX_CRASHES_KEPT:
            record.crash_times[target_id] = now
        return CrashVerdict(True, CrashReason.QUARANTINED, (target_id,))

    def _evict_oldest(self, now):
        self._drop_ended(now)
        while len(self.suspected) + len(self.refused) > self.max_fingerprints:
            oldest_of = self.suspected if len(self.suspected) > 1 else self.refused
            del oldest_of[next(iter(oldest_of))]

    def _drop_ended(self, now):
        """Drop refusals and suspicions that have ended, oldest first."""
        while self.refused:
            fingerprint = next(iter(self.refused))
            if now < self.refused[fingerprint].refused_until:
                break
            del self.refused[fingerprint]
        while self.suspected:
            fingerprint = next(iter(self.suspected))
            crash_times = self.suspected[fingerprint].crash_times
            if not crash_times or now - max(crash_times.values()) < SUSPICION_WINDOW_S:
                break
            del self.suspected[fingerprint]
