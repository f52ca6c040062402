"""Quarantine of requests that crash the targets that run them."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import TargetId

# Crashes of distinct targets, because one faulty target breaks the connection of any
# request.
CRASHES_TO_REFUSE = 2
REFUSAL_S = 300.0
# Crashes that are further apart than this are not counted together.
SUSPICION_WINDOW_S = 300.0
MAX_FINGERPRINTS = 4096
# Further crashes change no decision, so they are not kept.
MAX_CRASHES_KEPT = 16


class CrashReason(Enum):
    """Conclusion about the request from one crash."""

    FIRST_CRASH = "first-death"
    SAME_TARGET = "same-target"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class CrashVerdict:
    """The consequence of one recorded crash.

    Attributes
    ----------
    is_refused : bool
    exempt_ids : tuple of TargetId
        Targets whose crash must not count towards ejection. When this crash confirms
        the fingerprint, they include the targets of its earlier crashes.
    """

    is_refused: bool
    reason: CrashReason
    exempt_ids: tuple[TargetId, ...]


@dataclass(slots=True)
class CrashRecord:
    """Target crashes under one fingerprint.

    Attributes
    ----------
    crash_times : dict of TargetId to float
        Monotonic time in seconds of the latest crash.
    sequential_crashes : int
        Crashes of distinct targets to which the request was sent after the previous
        counted crash. Targets that crashed concurrently count once.
    last_sequential_at : float
        Time of the last crash that is counted in ``sequential_crashes``.
    refused_until : float or None
    """

    crash_times: dict
    sequential_crashes: int = 0
    last_sequential_at: float = float("-inf")
    refused_until: float | None = None

    def add(self, target_id, crashed_at, sent_at):
        """Count a crash; ``sent_at`` is None if it is not known."""
        is_other = target_id not in self.crash_times
        is_sequential = sent_at is None or sent_at >= self.last_sequential_at
        self.crash_times[target_id] = crashed_at
        if is_other and is_sequential:
            self.sequential_crashes += 1
            self.last_sequential_at = crashed_at


class Quarantine:
    """Counts target crashes by request fingerprint and refuses confirmed causes.

    Parameters
    ----------
    clock : Clock
    max_fingerprints : int
        Suspected and refused fingerprints kept; the oldest suspects are evicted
        first.
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
            When the request was sent to the target. A crash whose request was sent
            before the last counted crash is not counted again: one failure may end
            several targets that run the same request.

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
        """Count a crash that a peer reported, in the same way as a local one.

        A target whose crash both hosts observed counts once.
        """
        return self.record_crash(fingerprint, target_id, now)

    def clear_crashes(self, fingerprint):
        """Remove the crashes of a request that a target has served since.

        Returns
        -------
        was_known : bool
        """
        suspected = self.suspected.pop(fingerprint, None)
        refused = self.refused.pop(fingerprint, None)
        return suspected is not None or refused is not None

    def is_exempt(self, fingerprint, target_id, now):
        """Return whether a crash must not count towards ejection.

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
        # Re-insertion keeps the suspects in the order of their latest crash.
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
        """Count a crash by a run that started before the refusal."""
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
