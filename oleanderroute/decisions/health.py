"""Belief of the fleet, and of one host, that a target is in a gray phase.

A target is modelled as a hidden two-state Markov chain: it enters a gray phase at
one rate and leaves it at another. In a gray phase most requests fail or get no
answer, but some succeed; otherwise few fail. Each finding changes the probability
by Bayes' rule, and time moves it back towards the long-run share. A second chain
stands for the path between this host and the target, which may be cut for this host
alone; only this host's own findings change it.
"""

from enum import IntEnum
from math import exp

# Rates per second of the beginning and the end of gray phases. Phases of a few
# seconds that come some times a minute are what the brief describes.
GRAY_START_RATE = 0.08
GRAY_END_RATE = 0.30
LONG_RUN_GRAY = GRAY_START_RATE / (GRAY_START_RATE + GRAY_END_RATE)
# Share of requests that fail in a gray phase and outside of one.
FAIL_IF_GRAY = 0.75
FAIL_IF_SOUND = 0.02
# A path that was cut is tried again after some seconds.
PATH_CUT_PRIOR = 0.005
PATH_RECOVERY_RATE = 0.15
# Nothing is ever certain, so that a belief can turn within a few findings.
MIN_BELIEF = 0.002
MAX_BELIEF = 0.98
# A target that nobody has used yet.
UNKNOWN_GRAY = 0.15
# Findings about requests that were sent before the newest known good one say less.
STALE_EXPONENT = 0.5


class Finding(IntEnum):
    """What a request told about its target. Numbers are part of the protocol."""

    GOOD = 0
    FAILED = 1
    # No answer for longer than most, and than nearly all, good answers take.
    OVERDUE = 2
    LONG_OVERDUE = 3
    # The target refused before start; it answers, so it is not gray.
    SHED = 4
    UNREACHABLE = 5
    # An answer that came after the request had been overdue.
    LATE = 6
    # A complete answer with a server error; sound targets give some too.
    ERROR = 7
    # A first send, and a repeated one, has begun.
    SENT = 8
    RESENT = 9
    # A send was given up without a finding.
    ENDED = 10


STARTS = frozenset({Finding.SENT, Finding.RESENT})
# Findings after which a send goes on.
INTERIM = STARTS | {Finding.OVERDUE, Finding.LONG_OVERDUE}


# Likelihood of a finding in a gray phase over that outside of one. OVERDUE is sent
# at the 92nd percentile, LONG_OVERDUE at the 98th; each holds what the earlier
# findings of the same request have not said yet.
OVERDUE_SHARE = 0.92
LONG_OVERDUE_SHARE = 0.98


def overdue_ratio(share):
    """Return the likelihood ratio of a request without answer at a percentile."""
    above = 1.0 - share
    gray = FAIL_IF_GRAY + (1.0 - FAIL_IF_GRAY) * above
    sound = FAIL_IF_SOUND + (1.0 - FAIL_IF_SOUND) * above
    return gray / sound


GOOD_RATIO = (1.0 - FAIL_IF_GRAY) / (1.0 - FAIL_IF_SOUND)
FAILED_RATIO = FAIL_IF_GRAY / FAIL_IF_SOUND
OVERDUE_RATIO = overdue_ratio(OVERDUE_SHARE)
LONG_OVERDUE_RATIO = overdue_ratio(LONG_OVERDUE_SHARE) / OVERDUE_RATIO
# Gray phases that show in errors fail about half of the requests, while a few in
# a hundred requests fail by themselves.
ERROR_RATIO = 8.0
RATIOS = {
    Finding.GOOD: GOOD_RATIO,
    Finding.FAILED: FAILED_RATIO,
    Finding.OVERDUE: OVERDUE_RATIO,
    Finding.LONG_OVERDUE: LONG_OVERDUE_RATIO,
    Finding.UNREACHABLE: FAILED_RATIO,
    Finding.ERROR: ERROR_RATIO,
    # The target answered after all: takes back what OVERDUE has said.
    Finding.LATE: 1.0 / OVERDUE_RATIO,
}


def bayes(belief, ratio):
    """Return the probability after evidence with a likelihood ratio."""
    odds = belief / (1.0 - belief) * ratio
    return min(MAX_BELIEF, max(MIN_BELIEF, odds / (1.0 + odds)))


class TargetHealth:
    """What one host believes of one target.

    Parameters
    ----------
    now : float
        Monotonic seconds.

    Attributes
    ----------
    gray : float
        Probability of a gray phase at ``updated_at``.
    cut : float
        Probability that this host's path to the target is cut.
    good_sent_at : float or None
        When the newest request was sent that got a good answer.
    heard_at : float
        When anything was last learned, or a request was last sent from here.
    """

    def __init__(self, now):
        self.gray = UNKNOWN_GRAY
        self.cut = PATH_CUT_PRIOR
        self.updated_at = now
        self.good_sent_at = None
        self.failed_sent_at = None
        self.heard_at = None

    def advance(self, now):
        """Let time pass: both beliefs move towards their long-run values."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        self.updated_at = now
        keep = exp(-(GRAY_START_RATE + GRAY_END_RATE) * elapsed_s)
        self.gray = LONG_RUN_GRAY + (self.gray - LONG_RUN_GRAY) * keep
        keep = exp(-PATH_RECOVERY_RATE * elapsed_s)
        self.cut = PATH_CUT_PRIOR + (self.cut - PATH_CUT_PRIOR) * keep

    def observe(self, finding, sent_at, now, is_own):
        """Take a finding about a request that was sent at ``sent_at``."""
        self.advance(now)
        self.heard_at = now
        if finding in STARTS or finding is Finding.ENDED:
            return
        if finding is Finding.SHED:
            if is_own:
                self.cut = PATH_CUT_PRIOR
            return
        ratio = RATIOS[finding]
        if self.is_superseded(finding, sent_at):
            ratio **= STALE_EXPONENT
        if is_own:
            self.observe_path(finding)
        self.gray = bayes(self.gray, ratio)
        self.remember(finding, sent_at)

    def observe_path(self, finding):
        """Divide the blame of an own finding between the path and the target."""
        if finding in (Finding.GOOD, Finding.LATE, Finding.ERROR):
            self.cut = PATH_CUT_PRIOR
            return
        fails = FAIL_IF_GRAY * self.gray + FAIL_IF_SOUND * (1.0 - self.gray)
        ratio = 1.0 / fails
        if finding in (Finding.OVERDUE, Finding.LONG_OVERDUE):
            ratio = min(ratio, RATIOS[finding])
        self.cut = bayes(self.cut, ratio)

    def is_superseded(self, finding, sent_at):
        """Tell whether a newer request has already told the opposite."""
        if finding in (Finding.GOOD, Finding.LATE):
            return self.failed_sent_at is not None and sent_at < self.failed_sent_at
        return self.good_sent_at is not None and sent_at < self.good_sent_at

    def remember(self, finding, sent_at):
        """Keep the send times of the newest good and bad findings."""
        if finding is Finding.GOOD:
            if self.good_sent_at is None or sent_at > self.good_sent_at:
                self.good_sent_at = sent_at
            return
        if finding is not Finding.LATE:
            if self.failed_sent_at is None or sent_at > self.failed_sent_at:
                self.failed_sent_at = sent_at

    def failure_chance(self, now):
        """Return the probability that a request sent now gets no good answer."""
        self.advance(now)
        fails = FAIL_IF_GRAY * self.gray + FAIL_IF_SOUND * (1.0 - self.gray)
        return self.cut + (1.0 - self.cut) * fails
