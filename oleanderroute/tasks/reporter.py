"""Sends the outcomes of this host to aggregators and takes their verdicts."""

import asyncio

from ..decisions.verdict import TargetState, Verdict, VerdictReason
from ..errors import PeerError
from ..outcome import FAILURE_KINDS, AttemptKind, RequestClass
from ..peer.gen.oleander_messages.ttypes import (
    AttemptSummary,
    InFlight,
    OutcomeReport,
    ServiceReport,
)
from .base import DaemonTask

# A failure is reported soon, so that a gray target is noticed fast; without one
# the period grows to stay within the budget for reports.
URGENT_PERIOD_S = 0.25
SHORTEST_PERIOD_S = 0.5
LONGEST_PERIOD_S = 4.0
REPLY_TIMEOUT_S = 0.25
REPORT_BUDGET_BYTES_PER_S = 4096
# Latencies listed in one summary; above that each one stands for several.
MAX_LATENCIES = 16
# A service without requests for this long is no longer reported.
QUIET_AFTER_S = 10.0
# Measured size of one summary and of a report's frame and header, for pacing.
SUMMARY_BYTES = 24
# Verdict version of a service that the aggregator does not know.
NOT_JUDGED = -1
REPORT_OVERHEAD_BYTES = 60


class ServiceOutbox:
    """Outcomes of one service that were not reported yet."""

    def __init__(self, entry):
        self.entry = entry
        self.summaries = {}
        self.urgent = False
        self.active_at = 0.0

    def add(self, attempt, now):
        """Count one attempt."""
        self.active_at = now
        key = (attempt.target_id, attempt.request_class, attempt.kind)
        summary = self.summaries.get(key)
        if summary is None:
            summary = AttemptSummary(
                target_id=attempt.target_id,
                request_class=int(attempt.request_class),
                kind=int(attempt.kind),
                count=0,
                latencies_us=[],
            )
            self.summaries[key] = summary
        summary.count += 1
        if len(summary.latencies_us) < MAX_LATENCIES:
            summary.latencies_us.append(int(attempt.latency_s * 1e6))
        if attempt.kind in FAILURE_KINDS or self.is_slow(attempt):
            self.urgent = True

    def is_slow(self, attempt):
        """Tell whether an answer is late enough to be reported like a failure."""
        if attempt.request_class is not RequestClass.QUICK:
            return False
        objective_s = self.entry.service.objective.latency_ms / 1000
        return attempt.latency_s > objective_s

    def take(self):
        """Return the report of this service and start an empty one."""
        in_flight = []
        for view in self.entry.router.views.values():
            if view.long:
                target_id = view.target.target_id
                in_flight.append(InFlight(target_id, view.quick, view.long))
        report = ServiceReport(
            service_name=self.entry.service.name,
            attempts=list(self.summaries.values()),
            in_flight=in_flight,
            verdict_version=self.entry.router.verdict_version,
        )
        self.summaries = {}
        self.urgent = False
        return report


class Reporter(DaemonTask):
    """Batches outcomes per aggregator and applies the verdicts in the replies.

    Parameters
    ----------
    topology : Topology
    messenger : Messenger
    clock : Clock
    """

    def __init__(self, topology, messenger, clock):
        self.topology = topology
        self.messenger = messenger
        self.clock = clock
        self.outboxes = {}
        self.wake = asyncio.Event()

    def set_services(self, entries):
        """Follow the services of a new declaration.

        Parameters
        ----------
        entries : dict
            Service name to ``ServiceEntry``.
        """
        outboxes = {}
        for name, entry in entries.items():
            outbox = self.outboxes.get(name)
            if outbox is None:
                outbox = ServiceOutbox(entry)
            outbox.entry = entry
            outboxes[name] = outbox
        self.outboxes = outboxes

    def record(self, service_name, attempt):
        """Add one attempt to the next report."""
        outbox = self.outboxes.get(service_name)
        if outbox is None:
            return
        outbox.add(attempt, self.clock.now())
        if outbox.urgent:
            self.wake.set()

    async def run(self):
        """Send reports until cancelled."""
        due_at = self.clock.now() + SHORTEST_PERIOD_S
        while True:
            await self.pause(due_at - self.clock.now())
            is_due = self.clock.now() >= due_at
            batches = self.collect() if is_due else self.collect_urgent()
            if is_due:
                due_at = self.clock.now() + next_period_s(batches)
            async with asyncio.TaskGroup() as group:
                for host, reports in batches:
                    group.create_task(self.send(host, reports))

    async def pause(self, period_s):
        """Wait for the period to end, or less when a failure was recorded."""
        try:
            async with asyncio.timeout(period_s):
                await self.wake.wait()
                # Failures often come together; waiting gathers them in one report.
                await asyncio.sleep(URGENT_PERIOD_S)
        except TimeoutError:
            pass
        self.wake.clear()

    def collect_urgent(self):
        """Return pairs of aggregator and the reports of services with failures.

        At the two-year size a report of all services has 20 KB, so one failure a
        second among them would cost more than the budget of a host.
        """
        batches = {}
        for name, outbox in self.outboxes.items():
            if outbox.urgent:
                host = self.topology.aggregator_of(name)
                batches.setdefault(host, []).append(outbox.take())
        return list(batches.items())

    def collect(self):
        """Return pairs of aggregator and its service reports."""
        oldest = self.clock.now() - QUIET_AFTER_S
        batches = {}
        for name, outbox in self.outboxes.items():
            if outbox.active_at < oldest and not outbox.summaries:
                continue
            host = self.topology.aggregator_of(name)
            batches.setdefault(host, []).append(outbox.take())
        return list(batches.items())

    async def send(self, host, reports):
        """Send one report and apply the verdicts that come back."""
        try:
            reply = await self.messenger.ask(
                host, "outcome_report", OutcomeReport(reports), REPLY_TIMEOUT_S
            )
        except PeerError:
            # The outcomes are lost: the next report goes to the next in rank.
            return
        self.apply_reply(reports, reply)

    def apply_reply(self, reports, reply):
        """Apply the verdicts of a reply; services that it leaves out are unchanged."""
        now = self.clock.now()
        answered = set()
        for verdicts in reply.services:
            answered.add(verdicts.service_name)
            outbox = self.outboxes.get(verdicts.service_name)
            if outbox is None or verdicts.verdict_version == NOT_JUDGED:
                continue
            outbox.entry.router.apply_verdicts(
                verdicts.verdict_version,
                [verdict_from_message(message) for message in verdicts.targets],
                now,
            )
        for report in reports:
            if report.service_name not in answered:
                self.confirm(report, now)

    def confirm(self, report, now):
        """Keep the verdicts that were in use when ``report`` was sent."""
        outbox = self.outboxes.get(report.service_name)
        if outbox is None:
            return
        router = outbox.entry.router
        # Local judgement may have taken their place in the meantime.
        if router.verdict_version == report.verdict_version:
            router.apply_verdicts(report.verdict_version, (), now)


def verdict_from_message(message):
    """Return the ``Verdict`` of its thrift form."""
    return Verdict(
        message.target_id,
        TargetState(message.state),
        message.weight,
        VerdictReason.decode(message.reason),
        message.long_running or 0,
    )


def next_period_s(batches):
    """Return the seconds to wait so that reports stay within their budget."""
    total = 0
    for _, reports in batches:
        total += REPORT_OVERHEAD_BYTES
        for report in reports:
            total += SUMMARY_BYTES * (1 + len(report.attempts))
    period_s = total / REPORT_BUDGET_BYTES_PER_S
    return min(max(period_s, SHORTEST_PERIOD_S), LONGEST_PERIOD_S)


def attempts_of(summary):
    """Yield ``(kind, latency_s, weight)`` of each attempt that a summary stands for.

    Parameters
    ----------
    summary : AttemptSummary
    """
    kind = AttemptKind(summary.kind)
    latencies = summary.latencies_us or [0]
    weight, rest = divmod(summary.count, len(latencies))
    for index, latency_us in enumerate(latencies):
        share = weight + (1 if index < rest else 0)
        if share == 0:
            continue
        yield kind, latency_us / 1e6, share
