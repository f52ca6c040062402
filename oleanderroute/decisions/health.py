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
STATIONARY_GRAY_PROBABILITY = GRAY_START_RATE / (GRAY_START_RATE + GRAY_END_RATE)
# Share of requests that fail in a gray phase and outside of one.
FAILURE_RATE_GRAY = 0.75
FAILURE_RATE_HEALTHY = 0.02
# A path that was cut is tried again after some seconds.
PATH_DOWN_PRIOR = 0.005
PATH_RECOVERY_RATE = 0.15
# Nothing is ever certain, so that a belief can turn within a few findings.
MIN_PROBABILITY = 0.002
MAX_PROBABILITY = 0.98
# A target that nobody has used yet.
NEW_TARGET_GRAY_PRIOR = 0.15
# Findings about requests that were sent before the newest known good one say less.
SUPERSEDED_EXPONENT = 0.5


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


START_FINDINGS = frozenset({Finding.SENT, Finding.RESENT})
# Findings after which a send goes on.
INTERIM_FINDINGS = START_FINDINGS | {Finding.OVERDUE, Finding.LONG_OVERDUE}


# Likelihood of a finding in a gray phase over that outside of one. OVERDUE is sent
# at the 92nd percentile, LONG_OVERDUE at the 98th; each holds what the earlier
# findings of the same request have not said yet.
OVERDUE_QUANTILE = 0.92
LONG_OVERDUE_QUANTILE = 0.98


def overdue_likelihood_ratio(share):
    """Return the likelihood ratio of a request without answer at a percentile."""
    above = 1.0 - share
    gray_probability = FAILURE_RATE_GRAY + (1.0 - FAILURE_RATE_GRAY) * above
    sound = FAILURE_RATE_HEALTHY + (1.0 - FAILURE_RATE_HEALTHY) * above
    return gray_probability / sound


GOOD_LIKELIHOOD_RATIO = (1.0 - FAILURE_RATE_GRAY) / (1.0 - FAILURE_RATE_HEALTHY)
FAILED_LIKELIHOOD_RATIO = FAILURE_RATE_GRAY / FAILURE_RATE_HEALTHY
OVERDUE_LIKELIHOOD_RATIO = overdue_likelihood_ratio(OVERDUE_QUANTILE)
LONG_OVERDUE_LIKELIHOOD_RATIO = (
    overdue_likelihood_ratio(LONG_OVERDUE_QUANTILE) / OVERDUE_LIKELIHOOD_RATIO
)
# Gray phases that show in errors fail about half of the requests, while a few in
# a hundred requests fail by themselves.
ERROR_LIKELIHOOD_RATIO = 8.0
LIKELIHOOD_RATIOS = {
    Finding.GOOD: GOOD_LIKELIHOOD_RATIO,
    Finding.FAILED: FAILED_LIKELIHOOD_RATIO,
    Finding.OVERDUE: OVERDUE_LIKELIHOOD_RATIO,
    Finding.LONG_OVERDUE: LONG_OVERDUE_LIKELIHOOD_RATIO,
    Finding.UNREACHABLE: FAILED_LIKELIHOOD_RATIO,
    Finding.ERROR: ERROR_LIKELIHOOD_RATIO,
    # The target answered after all: takes back what OVERDUE has said.
    Finding.LATE: 1.0 / OVERDUE_LIKELIHOOD_RATIO,
}


def bayes_update(belief, ratio):
    """Return the probability after evidence with a likelihood ratio."""
    odds = belief / (1.0 - belief) * ratio
    return min(MAX_PROBABILITY, max(MIN_PROBABILITY, odds / (1.0 + odds)))


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
    last_good_sent_at : float or None
        When the newest request was sent that got a good answer.
    last_observed_at : float
        When anything was last learned, or a request was last sent from here.
    """

    def __init__(self, now):
        self.gray_probability = NEW_TARGET_GRAY_PRIOR
        self.path_down_probability = PATH_DOWN_PRIOR
        self.updated_at = now
        self.last_good_sent_at = None
        self.last_failed_sent_at = None
        self.last_observed_at = None

    def advance(self, now):
        """Let time pass: both beliefs move towards their long-run values."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        self.updated_at = now
        keep = exp(-(GRAY_START_RATE + GRAY_END_RATE) * elapsed_s)
        self.gray_probability = (
            STATIONARY_GRAY_PROBABILITY
            + (self.gray_probability - STATIONARY_GRAY_PROBABILITY) * keep
        )
        keep = exp(-PATH_RECOVERY_RATE * elapsed_s)
        self.path_down_probability = (
            PATH_DOWN_PRIOR + (self.path_down_probability - PATH_DOWN_PRIOR) * keep
        )

    def observe(self, finding, sent_at, now, is_own):
        """Take a finding about a request that was sent at ``sent_at``."""
        self.advance(now)
        self.last_observed_at = now
        if finding in START_FINDINGS or finding is Finding.ENDED:
            return
        if finding is Finding.SHED:
            if is_own:
                self.path_down_probability = PATH_DOWN_PRIOR
            return
        ratio = LIKELIHOOD_RATIOS[finding]
        if self.is_superseded(finding, sent_at):
            ratio **= SUPERSEDED_EXPONENT
        if is_own:
            self.update_path_probability(finding)
        self.gray_probability = bayes_update(self.gray_probability, ratio)
        self.record_send_time(finding, sent_at)

    def update_path_probability(self, finding):
        """Divide the blame of an own finding between the path and the target."""
        if finding in (Finding.GOOD, Finding.LATE, Finding.ERROR):
            self.path_down_probability = PATH_DOWN_PRIOR
            return
        fails = FAILURE_RATE_GRAY * self.gray_probability + FAILURE_RATE_HEALTHY * (
            1.0 - self.gray_probability
        )
        ratio = 1.0 / fails
        if finding in (Finding.OVERDUE, Finding.LONG_OVERDUE):
            ratio = min(ratio, LIKELIHOOD_RATIOS[finding])
        self.path_down_probability = bayes_update(self.path_down_probability, ratio)

    def is_superseded(self, finding, sent_at):
        """Tell whether a newer request has already told the opposite."""
        if finding in (Finding.GOOD, Finding.LATE):
            return (
                self.last_failed_sent_at is not None
                and sent_at < self.last_failed_sent_at
            )
        return self.last_good_sent_at is not None and sent_at < self.last_good_sent_at

    def record_send_time(self, finding, sent_at):
        """Keep the send times of the newest good and bad findings."""
        if finding is Finding.GOOD:
            if self.last_good_sent_at is None or sent_at > self.last_good_sent_at:
                self.last_good_sent_at = sent_at
            return
        if finding is not Finding.LATE:
            if self.last_failed_sent_at is None or sent_at > self.last_failed_sent_at:
                self.last_failed_sent_at = sent_at

    def failure_probability(self, now):
        """Return the probability that a request sent now gets no good answer."""
        self.advance(now)
        fails = FAILURE_RATE_GRAY * self.gray_probability + FAILURE_RATE_HEALTHY * (
            1.0 - self.gray_probability
        )
        return self.path_down_probability + (1.0 - self.path_down_probability) * fails
