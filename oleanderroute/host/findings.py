"""Converts the progress and results of sends into findings about targets."""

import asyncio

from ..decisions.health import LONG_OVERDUE_QUANTILE, OVERDUE_QUANTILE, Finding
from ..entry.target_pool import ConnectionLimitReached
from .exchange import SendResult

FIRST_SERVER_ERROR = 500
SHED_STATUS = 503
FAILURE_FINDINGS = frozenset(
    {
        Finding.FAILED,
        Finding.OVERDUE,
        Finding.LONG_OVERDUE,
        Finding.UNREACHABLE,
    }
)
# Above this probability that the path from this host is down, a failure is attributed
# to the path and not to the target.
PATH_FAILURE_THRESHOLD = 0.5
# A target is checked when a request has no answer for this multiple of what nearly all
# answers take. Sooner, many requests that are only slow would cost a connection.
SILENCE_MULTIPLE = 2.0
MIN_SILENCE_S = 0.3


class FindingReporter:
    """Applies findings on this host and reports them to the other hosts.

    Parameters
    ----------
    view : FleetView
    gossip : GossipTask
    """

    def __init__(self, view, gossip):
        self.view = view
        self.gossip = gossip

    def report_outcome(self, target, outcome, record, overdue_finding):
        """Publish the finding that follows from the end of a send."""
        finding = classify_outcome(outcome, overdue_finding)
        load = None
        latency_s = None
        if outcome.answer is not None and outcome.answer.load is not None:
            running, waiting, slots = outcome.answer.load
            load = (running + waiting, slots)
        if finding in (Finding.GOOD, Finding.LATE):
            latency_s = record.elapsed_s
        self.publish(target, finding, record, latency_s, load)

    def report_start(self, target, record, is_repeat, is_counted, announcement=None):
        """Count a send that begins and publish its start.

        Parameters
        ----------
        is_counted : bool
            Whether the send counts for the limit on repeats.
        announcement : tuple of (Workspace, int), optional
            Of the first send of a request of a workspace with a rate limit.
        """
        service = target.entry.service
        if is_counted:
            self.view.count_own_send(service, is_repeat)
        finding = Finding.RESENT if is_repeat else Finding.SENT
        target_id = target.entry.target_id
        self.view.observe(target_id, finding, record.started_at, None)
        self.gossip.report(
            target_id,
            finding,
            record.started_at,
            record.number,
            count=self.view.allowance_of(service).own_totals[is_repeat],
            announcement=announcement,
        )

    def report_leaving(self, entry):
        """Record that a target said that it will stop, and tell the other hosts."""
        view = self.view
        if view.record_leaving(
            entry.target_id, entry.started_ms, view.settings.host_id
        ):
            self.gossip.report_leaving(entry)

    def publish(self, target, finding, record, latency_s=None, load=None):
        """Apply a finding on this host and report it to the other hosts."""
        target_id = target.entry.target_id
        sent_at = record.started_at
        self.view.observe(target_id, finding, sent_at, None, latency_s, load)
        if (
            target.health.path_down_probability > PATH_FAILURE_THRESHOLD
            and finding in FAILURE_FINDINGS
        ):
            # The path of this host is more likely at fault than the target; the
            # other hosts rely on their own sends.
            finding = Finding.ENDED
        self.gossip.report(target_id, finding, sent_at, record.number, latency_s, load)


def classify_outcome(outcome, overdue_finding):
    """Return the ``Finding`` about a target that follows from the end of a send."""
    result = outcome.result
    if result is SendResult.NOT_SENT:
        if isinstance(outcome.error, ConnectionLimitReached):
            return Finding.ENDED
        return Finding.UNREACHABLE
    if result is SendResult.NOT_RUN:
        if outcome.answer.misdirected:
            return Finding.UNREACHABLE
        return Finding.SHED
    if result in (SendResult.BROKEN, SendResult.MALFORMED):
        return Finding.FAILED
    if result in (SendResult.TIMEOUT, SendResult.KEY_REFUSED):
        # The timeout was reported by the overdue findings if they were due before.
        return Finding.ENDED
    if outcome.answer.status == SHED_STATUS and outcome.answer.retry_after is not None:
        # A target that asks its callers to wait is busy, not gray.
        return Finding.SHED
    if outcome.answer.status >= FIRST_SERVER_ERROR:
        return Finding.ERROR
    return Finding.GOOD if overdue_finding is None else Finding.LATE


class OverdueReporter:
    """Reports twice that a request has no answer yet, and then has its target checked.

    Parameters
    ----------
    reporter : FindingReporter
    latencies : LatencySample
    clock : Clock
    target : TargetView
    record : SendRecord
    check_silent : callable
        Called without arguments once the request is overdue for long.
    """

    def __init__(self, reporter, latencies, clock, target, record, check_silent):
        self.reporter = reporter
        self.latencies = latencies
        self.clock = clock
        self.target = target
        self.record = record
        self.check_silent = check_silent
        self.overdue_finding = None
        loop = asyncio.get_running_loop()
        first_s = self.latencies.quantile(OVERDUE_QUANTILE)
        self.timer = loop.call_later(first_s, self.on_overdue)

    def on_overdue(self):
        """Publish the first overdue finding and schedule the second."""
        self.report_overdue(Finding.OVERDUE)
        long_s = self.latencies.quantile(LONG_OVERDUE_QUANTILE)
        self.schedule(long_s, self.on_long_overdue)

    def on_long_overdue(self):
        """Publish the second overdue finding and schedule the check."""
        self.report_overdue(Finding.LONG_OVERDUE)
        long_s = self.latencies.quantile(LONG_OVERDUE_QUANTILE)
        silent_s = max(MIN_SILENCE_S, SILENCE_MULTIPLE * long_s)
        self.schedule(silent_s, self.check_silent)

    def schedule(self, after_s, call):
        """Call back at a time after the start of the send, and not at once."""
        passed_s = self.clock.now() - self.record.started_at
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(0.01, after_s - passed_s), call)

    def report_overdue(self, finding):
        """Publish an overdue finding."""
        self.overdue_finding = finding
        self.reporter.publish(self.target, finding, self.record)

    def stop(self):
        """Cancel the overdue findings that are not due yet."""
        self.timer.cancel()
