"""Pools the outcomes that the hosts of a failure domain report."""

import asyncio
from dataclasses import dataclass

from .. import events
from ..decisions.verdict import TargetState, Verdict
from ..outcome import FAILURE_KINDS, Attempt, RequestClass
from ..peer.gen.oleander_messages.ttypes import (
    ServiceVerdicts,
    TargetVerdict,
    VerdictDelta,
)
from .base import DaemonTask
from .reporter import NOT_JUDGED, attempts_of

# From this protocol version on, a service that a reply leaves out has no change.
# Entries of the version before expect an answer for each service.
TERSE_PROTOCOL_VERSION = 3
EVALUATION_PERIOD_S = 0.25
# Without a reported failure a pool is evaluated this seldom: 7 services of 18 targets
# take about 4 ms, which four times a second would be more than a node's 1.3%.
QUIET_PERIOD_S = 1.0
# Pools without a report for this long are dropped: another host took over.
POOL_LIFETIME_S = 120.0
# Weights that differ by less are not sent again.
WEIGHT_STEP = 0.05


class ServicePool:
    """What an aggregator knows of one service.

    Attributes
    ----------
    pool : DetectionPool
    changed_at : dict
        Target to the version in which its verdict last changed.
    """

    def __init__(self, pool):
        self.pool = pool
        self.version = 0
        self.verdicts = {}
        self.changed_at = {}
        self.reported_at = 0.0
        self.evaluated_at = 0.0
        self.has_failures = False

    def is_due(self, now):
        """Tell whether the pool is worth an evaluation."""
        return self.has_failures or now - self.evaluated_at >= QUIET_PERIOD_S

    def update_verdicts(self, verdicts, wall_s):
        """Keep new verdicts and give the changed ones a new version.

        Versions are derived from wall time, so that they still grow when another
        host takes over the shard.

        Returns
        -------
        list of VerdictChange
        """
        version = max(self.version + 1, int(wall_s * 1000))
        changes = []
        for verdict in verdicts:
            old = self.verdicts.get(verdict.target_id)
            if is_same_verdict(old, verdict):
                continue
            changes.append(VerdictChange(old, verdict))
            self.verdicts[verdict.target_id] = verdict
            self.changed_at[verdict.target_id] = version
        if changes:
            self.version = version
        return changes

    def delta_since(self, version):
        """Return the verdicts that a host at ``version`` lacks."""
        behind = version > self.version
        targets = []
        for target_id, verdict in self.verdicts.items():
            if not behind and self.changed_at[target_id] <= version:
                continue
            targets.append(verdict_to_message(verdict))
        return targets


@dataclass(frozen=True, slots=True)
class VerdictChange:
    """A verdict and the one before it, None for the first."""

    old: Verdict | None
    new: Verdict


def is_same_verdict(old, new):
    """Tell whether two verdicts mean the same to an entry."""
    if old is None:
        return False
    return (
        old.state == new.state
        and old.long_running == new.long_running
        and old.reason.signal is new.reason.signal
        and old.reason.restraint is new.reason.restraint
        and abs(old.weight - new.weight) < WEIGHT_STEP
    )


def verdict_to_message(verdict):
    """Return the thrift form of a ``Verdict``."""
    return TargetVerdict(
        target_id=verdict.target_id,
        state=int(verdict.state),
        weight=verdict.weight,
        reason=verdict.reason.encode(),
        long_running=verdict.long_running,
    )


class Aggregator(DaemonTask):
    """Answers outcome reports with the verdicts on the targets of their services.

    Parameters
    ----------
    serving : Serving
        Makes the detection pools and knows the targets of each service.
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, serving, clock, metrics):
        self.serving = serving
        self.clock = clock
        self.metrics = metrics
        self.pools = {}

    def receive_report(self, report, header):
        """Handle one ``OutcomeReport``; the reply carries the changed verdicts."""
        now = self.clock.now()
        is_terse = header.protocol_version >= TERSE_PROTOCOL_VERSION
        services = []
        for service_report in report.services:
            name = service_report.service_name
            known = service_report.verdict_version
            pool = self.pool_of(name)
            if pool is None:
                if is_terse:
                    services.append(ServiceVerdicts(name, NOT_JUDGED, []))
                continue
            pool.reported_at = now
            self.observe(pool, header.host_id, service_report, now)
            targets = pool.delta_since(known)
            if is_terse and not targets and pool.version == known:
                continue
            services.append(ServiceVerdicts(name, pool.version, targets))
        return "verdict_delta", VerdictDelta(services)

    def observe(self, pool, host_id, report, now):
        """Feed the attempts of one report to the detection."""
        self.observe_in_flight(pool, host_id, report.in_flight or (), now)
        for summary in report.attempts:
            request_class = RequestClass(summary.request_class)
            if summary.kind in FAILURE_KINDS:
                pool.has_failures = True
            for kind, latency_s, weight in attempts_of(summary):
                attempt = Attempt(
                    summary.target_id, request_class, kind, latency_s, weight
                )
                pool.pool.observe(host_id, attempt, now)

    def observe_in_flight(self, pool, host_id, in_flight, now):
        """Note the long requests that a host has in flight, and those it ended."""
        counts = {item.target_id: item.long_running for item in in_flight}
        # Most services run no long requests; visiting all their targets for each
        # report would cost more than the report itself.
        for target_id in pool.pool.long_reports.keys() | counts.keys():
            count = counts.get(target_id, 0)
            pool.pool.observe_long_running(host_id, target_id, count, now)

    def pool_of(self, service_name):
        """Return the pool of a service, made on its first report."""
        pool = self.pools.get(service_name)
        if pool is not None:
            return pool
        detection = self.serving.make_detection_pool(service_name)
        if detection is None:
            return None
        pool = ServicePool(detection)
        self.pools[service_name] = pool
        return pool

    def clear_crash_failures(self, service_name, target_ids):
        """Forget the deaths of targets that a crash-causing request ended."""
        pool = self.pools.get(service_name)
        if pool is None:
            return
        now = self.clock.now()
        for target_id in target_ids:
            pool.pool.clear_crash_failures(target_id, now)

    def mark_draining(self, service_name, target_id):
        """Count the slots of a target that drains no longer as serving."""
        pool = self.pools.get(service_name)
        if pool is not None:
            pool.pool.mark_draining(target_id, self.clock.now())

    def follow_service(self, name):
        """Follow a change of a service or of its targets."""
        pool = self.pools.get(name)
        if pool is None:
            return
        service = self.serving.service_of(name)
        if service is None:
            del self.pools[name]
            return
        pool.pool.set_service(service)
        self.serving.update_detection_pool(name, pool.pool)

    async def run(self):
        """Evaluate all pools periodically."""
        while True:
            await asyncio.sleep(EVALUATION_PERIOD_S)
            await self.evaluate()

    async def evaluate(self):
        """Evaluate each pool and log the verdicts that changed.

        A pool of 18 targets takes 0.2 ms, so requests are served in between.
        """
        now = self.clock.now()
        wall_s = self.clock.wall()
        for name, pool in list(self.pools.items()):
            if now - pool.reported_at > POOL_LIFETIME_S:
                del self.pools[name]
                continue
            if not pool.is_due(now):
                continue
            pool.evaluated_at = now
            pool.has_failures = False
            verdicts = pool.pool.evaluate(now)
            for change in pool.update_verdicts(verdicts, wall_s):
                self.note_change(name, change)
            await asyncio.sleep(0)

    def note_change(self, service_name, change):
        """Log a change of a target's state; the incident log keeps it."""
        new = change.new
        if change.old is None and new.state is TargetState.HEALTHY:
            return
        if change.old is not None and change.old.state == new.state:
            return
        events.VERDICT_CHANGED.log(
            service=service_name,
            target=new.target_id,
            was="unknown" if change.old is None else change.old.state.name.lower(),
            state=new.state.name.lower(),
            reason=new.reason.encode(),
        )
