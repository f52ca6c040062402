"""When a target was heard, to tell its crash from a slow or an earlier silence."""

from dataclasses import dataclass

from .health import Finding

ANSWER_FINDINGS = frozenset({Finding.GOOD, Finding.LATE, Finding.ERROR, Finding.SHED})
# Findings of other hosts place a send later than it was, by the time that they take.
PLACEMENT_ERROR_S = 0.3


@dataclass(slots=True)
class TargetSilence:
    """What the sends of all hosts show of when a target answered.

    Attributes
    ----------
    answered_sent_at : float
        When the latest request was sent that the target answered, in monotonic
        seconds.
    silent_sent_at : float or None
        When the first request was sent that is overdue, with no answer to a later
        one.
    accepted_at : float
        When the target last accepted a connection that was opened as a check.
    """

    answered_sent_at: float = float("-inf")
    silent_sent_at: float | None = None
    accepted_at: float = float("-inf")

    def record(self, finding, sent_at):
        """Apply a finding about a request that was sent at ``sent_at``."""
        if finding in ANSWER_FINDINGS:
            self.answered_sent_at = max(self.answered_sent_at, sent_at)
            if self.silent_sent_at is not None and sent_at >= self.silent_sent_at:
                self.silent_sent_at = None
        elif finding is Finding.OVERDUE and sent_at > self.answered_sent_at:
            if self.silent_sent_at is None or sent_at < self.silent_sent_at:
                self.silent_sent_at = sent_at

    def may_begin_at(self, sent_at, span_s):
        """Tell whether the target may have gone silent by running a request.

        Not if it has answered a later one, nor if it was silent before.

        Parameters
        ----------
        sent_at : float
            When the request was sent.
        span_s : float
            For how long a request may wait and run at a target that works.
        """
        if self.answered_sent_at >= sent_at + PLACEMENT_ERROR_S:
            return False
        silent_sent_at = self.silent_sent_at
        return silent_sent_at is None or sent_at <= silent_sent_at + span_s
