"""Probability that a target is in a gray phase, as estimated by one host.

A target is modelled as a hidden two-state Markov chain: it enters a gray phase at
one rate and leaves it at another. In a gray phase most requests fail or get no
answer, but some succeed; otherwise few fail. Each finding updates the probability
by Bayes' rule; between findings it decays towards the stationary probability. A
second chain models the network path from this host to the target, which may be down
for this host alone; only findings of this host update it.
"""

from enum import IntEnum
from math import exp

# Transition rates per second into and out of a gray phase. The requirements describe
# phases of a few seconds, several times a minute.
GRAY_START_RATE = 0.08
GRAY_END_RATE = 0.30
STATIONARY_GRAY_PROBABILITY = GRAY_START_RATE / (GRAY_START_RATE + GRAY_END_RATE)
# Probability that a request fails in a gray phase and outside of one.
FAILURE_RATE_GRAY = 0.75
FAILURE_RATE_HEALTHY = 0.02
# Makes a host retry a path that was down after some seconds.
PATH_DOWN_PRIOR = 0.005
PATH_RECOVERY_RATE = 0.15
# Bounds that let a few findings reverse a probability.
MIN_PROBABILITY = 0.002
MAX_PROBABILITY = 0.98
# Prior of a target that no host has used yet.
NEW_TARGET_GRAY_PRIOR = 0.15
# Weight, in log-odds, of a finding that a request sent later has contradicted.
SUPERSEDED_EXPONENT = 0.5


class Finding(IntEnum):
    """What a request shows about its target. The numbers are part of the protocol."""

    GOOD = 0
    FAILED = 1
    # No answer for longer than `OVERDUE_QUANTILE`, or `LONG_OVERDUE_QUANTILE`, of the
    # good answers take.
    OVERDUE = 2
    LONG_OVERDUE = 3
    # The target refused before it started the request. It answers, so it is not gray.
    SHED = 4
    UNREACHABLE = 5
    # An answer that came after the request had been overdue.
    LATE = 6
    # A complete answer with a server error; healthy targets give some too.
    ERROR = 7
    # The start of a first send and of a resend.
    SENT = 8
    RESENT = 9
    # The sender abandoned a send that gave no finding.
    ENDED = 10
    # The target said in an answer that it will stop. It is no end of a send.
    LEAVING = 11


START_FINDINGS = frozenset({Finding.SENT, Finding.RESENT})
# Findings that show whether a request was served.
SERVED_FINDINGS = frozenset({Finding.GOOD, Finding.LATE})
UNSERVED_FINDINGS = frozenset({Finding.FAILED, Finding.ERROR, Finding.LONG_OVERDUE})
# Findings that do not end a send.
INTERIM_FINDINGS = START_FINDINGS | {
    Finding.OVERDUE,
    Finding.LONG_OVERDUE,
    Finding.LEAVING,
}


# Latency quantiles of good answers after which a request counts as OVERDUE and
# LONG_OVERDUE. The likelihood ratios below compare a gray phase with a healthy one.
# A ratio leaves out the evidence of earlier findings on the same request.
OVERDUE_QUANTILE = 0.92
LONG_OVERDUE_QUANTILE = 0.98


def overdue_likelihood_ratio(share):
    """Return the likelihood ratio of a request unanswered at quantile ``share``."""
    above = 1.0 - share
    if_gray = FAILURE_RATE_GRAY + (1.0 - FAILURE_RATE_GRAY) * above
    if_healthy = FAILURE_RATE_HEALTHY + (1.0 - FAILURE_RATE_HEALTHY) * above
    return if_gray / if_healthy


GOOD_LIKELIHOOD_RATIO = (1.0 - FAILURE_RATE_GRAY) / (1.0 - FAILURE_RATE_HEALTHY)
FAILED_LIKELIHOOD_RATIO = FAILURE_RATE_GRAY / FAILURE_RATE_HEALTHY
OVERDUE_LIKELIHOOD_RATIO = overdue_likelihood_ratio(OVERDUE_QUANTILE)
LONG_OVERDUE_LIKELIHOOD_RATIO = (
    overdue_likelihood_ratio(LONG_OVERDUE_QUANTILE) / OVERDUE_LIKELIHOOD_RATIO
)
# In gray phases with server errors about half of the requests fail; otherwise a few
# in a hundred do.
ERROR_LIKELIHOOD_RATIO = 8.0
LIKELIHOOD_RATIOS = {
    Finding.GOOD: GOOD_LIKELIHOOD_RATIO,
    Finding.FAILED: FAILED_LIKELIHOOD_RATIO,
    Finding.OVERDUE: OVERDUE_LIKELIHOOD_RATIO,
    Finding.LONG_OVERDUE: LONG_OVERDUE_LIKELIHOOD_RATIO,
    Finding.UNREACHABLE: FAILED_LIKELIHOOD_RATIO,
    Finding.ERROR: ERROR_LIKELIHOOD_RATIO,
    # The target answered: cancels the evidence of OVERDUE.
    Finding.LATE: 1.0 / OVERDUE_LIKELIHOOD_RATIO,
}


def bayes_update(probability, ratio):
    """Return the posterior probability after evidence with a likelihood ratio."""
    odds = probability / (1.0 - probability) * ratio
    return min(MAX_PROBABILITY, max(MIN_PROBABILITY, odds / (1.0 + odds)))


class TargetHealth:
    """Health estimate of one target on one host.

    Parameters
    ----------
    now : float
        Monotonic seconds.

    Attributes
    ----------
    gray_probability : float
        Probability of a gray phase at ``updated_at``.
    path_down_probability : float
        Probability that this host's path to the target is down.
    last_good_sent_at : float or None
        Send time of the newest request that got a good answer.
    last_observed_at : float or None
        Time of the last finding, the start of a send included.
    """

    def __init__(self, now):
        self.gray_probability = NEW_TARGET_GRAY_PRIOR
        self.path_down_probability = PATH_DOWN_PRIOR
        self.updated_at = now
        self.last_good_sent_at = None
        self.last_failed_sent_at = None
        self.last_observed_at = None

    def advance(self, now):
        """Decay both probabilities towards their stationary values."""
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
        """Apply a finding about a request that was sent at ``sent_at``."""
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
        """Attribute a finding of this host to the path or to the target."""
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
        """Return whether a request sent later has shown the opposite."""
        if finding in (Finding.GOOD, Finding.LATE):
            return (
                self.last_failed_sent_at is not None
                and sent_at < self.last_failed_sent_at
            )
        return self.last_good_sent_at is not None and sent_at < self.last_good_sent_at

    def record_send_time(self, finding, sent_at):
        """Record the send times of the newest good and bad findings."""
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
