"""Quarantine of requests that crash the targets that run them."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import TargetId

# Crashes of distinct targets, one after another, because one faulty target breaks the
# connection of any request.
CRASHES_TO_REFUSE = 2
# With crashes among them that were only noticed as silence, which has other causes too.
SILENT_CRASHES_TO_REFUSE = 3
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


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """A crash of a target while it ran a request; times in monotonic seconds.

    Attributes
    ----------
    sent_at : float
        When the request was sent; ``crashed_at`` if that is not known.
    is_silent : bool
        Whether the target only fell silent, without the end of a connection.
    """

    sent_at: float
    crashed_at: float
    is_silent: bool = False


@dataclass(slots=True)
class CrashRecord:
    """Target crashes under one fingerprint.

    Attributes
    ----------
    crashes : dict of TargetId to TargetCrash
        The latest crash of each target.
    refused_until : float or None
    """

    crashes: dict
    refused_until: float | None = None

    @property
    def crash_times(self):
        """Monotonic time in seconds of the latest crash, by target."""
        return {key: crash.crashed_at for key, crash in self.crashes.items()}

    def count_sequential(self, has_silent):
        """Return how many targets crashed one after another.

        The request was sent to each after the crash before: targets that crash
        together have another cause in common. The order in which hosts report crashes
        does not matter.
        """
        count = 0
        crashed_at = float("-inf")
        for crash in sorted(self.crashes.values(), key=lambda each: each.crashed_at):
            if crash.is_silent and not has_silent:
                continue
            if crash.sent_at < crashed_at:
                continue
            count += 1
            crashed_at = crash.crashed_at
        return count

    def proves_cause(self):
        """Tell whether the crashes suffice to refuse the request."""
        if self.count_sequential(has_silent=False) >= CRASHES_TO_REFUSE:
            return True
        return self.count_sequential(has_silent=True) >= SILENT_CRASHES_TO_REFUSE


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

    def record_crash(self, fingerprint, target_id, now, sent_at=None, is_silent=False):
        """Count a target that crashed while it ran the request.

        Parameters
        ----------
        fingerprint : Fingerprint
        target_id : TargetId
        now : float
            Monotonic seconds of the crash.
        sent_at : float, optional
            When the request was sent to the target. Crashes whose requests were sent
            before the crash before them are not counted again: one failure may end
            several targets that run the same request.
        is_silent : bool
            Whether the target only fell silent.

        Returns
        -------
        CrashVerdict
        """
        crash = TargetCrash(now if sent_at is None else sent_at, now, is_silent)
        if self.is_refused(fingerprint, now):
            return self._record_late_crash(fingerprint, target_id, crash)
        record = self._suspected_record(fingerprint, now)
        is_known = target_id in record.crashes
        record.crashes[target_id] = crash
        if record.proves_cause():
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
        return target_id in self.refused[fingerprint].crashes

    def _suspected_record(self, fingerprint, now):
        # Re-insertion keeps the suspects in the order of their latest crash.
        record = self.suspected.pop(fingerprint, None) or CrashRecord({})
        for target_id, crash in list(record.crashes.items()):
            if now - crash.crashed_at >= SUSPICION_WINDOW_S:
                del record.crashes[target_id]
        self.suspected[fingerprint] = record
        self._evict_oldest(now)
        return record

    def _refuse(self, fingerprint, record, now):
        del self.suspected[fingerprint]
        record.refused_until = now + REFUSAL_S
        self.refused[fingerprint] = record
        self._evict_oldest(now)
        return CrashVerdict(True, CrashReason.QUARANTINED, tuple(record.crashes))

    def _record_late_crash(self, fingerprint, target_id, crash):
        """Count a crash by a run that started before the refusal."""
        record = self.refused[fingerprint]
        is_known = target_id in record.crashes
        if not is_known and len(record.crashes) < MAX_CRASHES_KEPT:
            record.crashes[target_id] = crash
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
