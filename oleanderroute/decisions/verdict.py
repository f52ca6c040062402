"""States of a target, and the verdict of detection on it."""

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from ..ids import TargetId
from ..outcome import AttemptKind


class TargetState(IntEnum):
    """State of a target. The numbers are part of the peer protocol."""

    HEALTHY = 0
    SUSPECT = 1
    EJECTED = 2
    PROBATION = 3
    RAMPING = 4
    COLD = 5
    LEAVING = 6


class TargetEvent(Enum):
    """Events of the state chart ``target.json``."""

    DOUBT = auto()
    CLEAR = auto()
    EJECT = auto()
    READMIT = auto()
    RETRY = auto()
    RELAPSE = auto()
    PROVE = auto()
    WARM = auto()
    RAMP_END = auto()
    LEAVE = auto()
    RETURN = auto()


class Signal(Enum):
    """Symptom that detection found on a target; NONE without a finding."""

    NONE = "none"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    WRONG_STATUS = "wrong_status"
    SILENCE = "silence"
    SLOW = "slow"
    MIXED = "mixed_failures"


class Restraint(Enum):
    """Why a target that looks unhealthy stays in rotation."""

    NONE = "none"
    MOST_LOOK_SICK = "most_targets_look_sick"
    DEPENDENCY_SICK = "dependency_sick"
    FLOOR = "floor"


KIND_SIGNALS = {
    AttemptKind.CONNECT_FAILED: Signal.CONNECT_FAILED,
    AttemptKind.TIMEOUT: Signal.TIMEOUT,
    AttemptKind.BROKEN: Signal.BROKEN,
    AttemptKind.ERROR_STATUS: Signal.WRONG_STATUS,
    AttemptKind.SILENT: Signal.SILENCE,
}


@dataclass(frozen=True, slots=True)
class VerdictReason:
    """The signal behind a verdict and its figures.

    Attributes
    ----------
    signal : Signal
    share : float
        Share of the target's attempts that show the signal, between 0 and 1.
    reference : float
        Share expected from the other targets, between 0 and 1.
    samples : int
        Number of attempts that count.
    evidence : float
        Strength in nats: a target that is like the others shows such a share with a
        probability of at most ``exp(-evidence)``.
    window_s : float
        Length of the evaluated window; 0 for a run of consecutive failures.
    limit_s : float
        For slowness, the latency above which an attempt counts as slow.
    restraint : Restraint
    """

    signal: Signal = Signal.NONE
    share: float = 0.0
    reference: float = 0.0
    samples: int = 0
    evidence: float = 0.0
    window_s: float = 0.0
    limit_s: float = 0.0
    restraint: Restraint = Restraint.NONE

    def encode(self):
        """Return the reason as text for peer messages and logs."""
        if self.signal is Signal.NONE and self.restraint is Restraint.NONE:
            return Signal.NONE.value
        return (
            f"{self.signal.value} share={self.share:.3f} peers={self.reference:.3f}"
            f" samples={self.samples} evidence={self.evidence:.1f}"
            f" window_s={self.window_s:g} limit_s={self.limit_s:.3f}"
            f" restraint={self.restraint.value}"
        )

    @classmethod
    def decode(cls, text):
        """Return the reason that `encode` wrote, or an empty one for unknown text."""
        head, _, rest = text.partition(" ")
        try:
            signal = Signal(head)
            fields = dict(part.split("=", 1) for part in rest.split())
            if not fields:
                return cls(signal)
            return cls(
                signal,
                float(fields["share"]),
                float(fields["peers"]),
                int(fields["samples"]),
                float(fields["evidence"]),
                float(fields["window_s"]),
                float(fields["limit_s"]),
                Restraint(fields["restraint"]),
            )
        except (KeyError, ValueError):
            return cls()


NO_REASON = VerdictReason()


@dataclass(frozen=True, slots=True)
class Verdict:
    """Verdict of one failure domain on a target.

    Attributes
    ----------
    weight : float
        Share of traffic relative to a healthy target, between 0 and 1.
    long_running : int
        Long requests in flight on the target from all hosts that report to the
        failure domain's pool, the receiver of the verdict included.
    """

    target_id: TargetId
    state: TargetState
    weight: float
    reason: VerdictReason = NO_REASON
    long_running: int = 0
