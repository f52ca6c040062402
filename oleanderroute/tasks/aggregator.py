"""Pools the outcomes that the hosts of a failure domain report."""

import asyncio

from .. import events
from ..errors import MessageRejected
from ..outcome import Attempt, RequestClass
from ..peer.gen.oleander_messages.ttypes import (
    ServiceVerdicts,
    TargetVerdict,
    VerdictDelta,
)
from .base import DaemonTask
from .reporter import attempts_of

EVALUATION_PERIOD_S = 0.25
# In-flight counts of a host that stopped reporting are dropped after this time.
IN_FLIGHT_LIFETIME_S = 10.0
# Pools without a report for this long are dropped: another host took over.
POOL_LIFETIME_S = 120.0


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
        self.long_running = {}
        self.reported_at = 0.0

    def update_verdicts(self, verdicts, now, wall_s):
        """Keep new verdicts and give the changed ones a new version.

        Versions are derived from wall time, so that they still grow when another
        host takes over the shard.
        """
        version = max(self.version + 1, int(wall_s * 1000))
        changed = []
        for verdict in verdicts:
            message = TargetVerdict(
                target_id=verdict.target_id,
                state=int(verdict.state),
                weight=verdict.weight,
                reason=str(verdict.reason),
                long_running=self.long_running_on(verdict.target_id, now),
            )
            if same_verdict(self.verdicts.get(verdict.target_id), message):
                continue
            changed.append((self.verdicts.get(verdict.target_id), message))
            self.verdicts[verdict.target_id] = message
            self.changed_at[verdict.target_id] = version
        if changed:
            self.version = version
        return changed

    def record_in_flight(self, host_id, in_flight, now):
        """Remember the long requests that one host has in flight."""
        counts = {}
        for item in in_flight or ():
            if item.long_running:
                counts[item.target_id] = item.long_running
        self.long_running[host_id] = (counts, now)

    def long_running_on(self, target_id, now):
        """Return the long requests in flight on a target, from all hosts."""
        total = 0
        for host_id, (counts, seen_at) in list(self.long_running.items()):
            if now - seen_at > IN_FLIGHT_LIFETIME_S:
                del self.long_running[host_id]
                continue
            total += counts.get(target_id, 0)
        return total

    def delta_since(self, version):
        """Return the verdicts that a host at ``version`` lacks."""
        behind = version > self.version
        targets = []
        for target_id, verdict in self.verdicts.items():
            if not behind and self.changed_at[target_id] <= version:
                continue
            targets.append(verdict)
        return targets


def same_verdict(old, new):
    """Tell whether two verdicts mean the same to an entry."""
    if old is None:
        return False
    return (
        old.state == new.state
        and old.long_running == new.long_running
        and abs(old.weight - new.weight) < 0.05
    )


class Aggregator(DaemonTask):
    """Answers outcome reports with the verdicts on the targets of their services.

    Parameters
    ----------
    make_pool : callable
        Returns a ``DetectionPool`` for a service name, or None if the service is
        not in the declaration.
    clock : Clock
    metrics : Metrics
    """

    name = "aggregator"

    def __init__(self, make_pool, clock, metrics):
        self.make_pool = make_pool
        self.clock = clock
        self.metrics = metrics
        self.pools = {}
        self.decisions = []

    def receive_report(self, report, header):
        """Handle one ``OutcomeReport``; the reply carries the changed verdicts."""
        now = self.clock.now()
        services = []
        for service_report in report.services:
            pool = self.pool_of(service_report.service_name)
            if pool is None:
                continue
            pool.reported_at = now
            pool.record_in_flight(header.host_id, service_report.in_flight, now)
            try:
                self.observe(pool, header.host_id, service_report, now)
            except ValueError as error:
                raise MessageRejected(f"bad report: {error}") from error
            targets = pool.delta_since(service_report.verdict_version)
            services.append(
                ServiceVerdicts(service_report.service_name, pool.version, targets)
            )
        return "verdict_delta", VerdictDelta(services)

    def observe(self, pool, host_id, report, now):
        """Feed the attempts of one report to the detection."""
        for summary in report.attempts:
            request_class = RequestClass(summary.request_class)
            for kind, latency_s, weight in attempts_of(summary):
                attempt = Attempt(
                    summary.target_id, request_class, kind, latency_s, weight
                )
                pool.pool.observe(host_id, attempt, now)

    def pool_of(self, service_name):
        """Return the pool of a service, made on its first report."""
        pool = self.pools.get(service_name)
        if pool is not None:
            return pool
        detection = self.make_pool(service_name)
        if detection is None:
            return None
        pool = ServicePool(detection)
        self.pools[service_name] = pool
        return pool

    async def run(self):
        """Evaluate all pools periodically."""
        while True:
            await asyncio.sleep(EVALUATION_PERIOD_S)
            self.evaluate()

    def evaluate(self):
        """Evaluate each pool and log the verdicts that changed."""
        now = self.clock.now()
        wall_s = self.clock.wall()
        for name, pool in list(self.pools.items()):
            if now - pool.reported_at > POOL_LIFETIME_S:
                del self.pools[name]
                continue
            verdicts = pool.pool.evaluate(now)
            for old, new in pool.update_verdicts(verdicts, now, wall_s):
                if old is not None and old.state == new.state:
                    continue
                events.VERDICT_CHANGED.log(
                    service=name,
                    target=new.target_id,
                    state=new.state,
                    reason=new.reason,
                )
