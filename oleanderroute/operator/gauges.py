"""Sets the metrics that are read from state, at each scrape.

Reading them only then costs a request nothing.
"""

import asyncio

from aioprometheus.histogram import Histogram
from aioprometheus.metricdict import MetricDict

from ..decisions.verdict import TargetState
from ..metrics import LATENCY_BUCKETS_S


async def refresh(metrics, serving, burn, claim_table, store_down):
    """Bring the state-derived metrics up to date, one service in each step.

    Parameters
    ----------
    metrics : Metrics
    serving : Serving
    burn : BurnLedger
    claim_table : ClaimTable
    store_down : bool
        Whether this host waits for the key-value service; only relays call it.
    """
    # A service that is not declared any more must not keep its last value. Clearing
    # a MetricDict takes 10 us an entry, so it gets a new one.
    for gauge in (
        metrics.queued,
        metrics.ejected_targets,
        metrics.targets,
        metrics.objective,
    ):
        gauge.values = MetricDict()
    for name, entry in list(serving.entries.items()):
        refresh_service(metrics, name, entry)
        await asyncio.sleep(0)
    metrics.claims_held.set({}, len(claim_table.claims))
    metrics.store_available.set({}, 0 if store_down else 1)
    for collector in (metrics.request_seconds, metrics.objective_requests):
        collector.values = MetricDict()
    for (name, request_class), counts in list(burn.classes.items()):
        labels = {"service": name, "class": request_class.name.lower()}
        refresh_class(metrics, labels, counts)
        await asyncio.sleep(0)


def refresh_service(metrics, name, entry):
    """Set the gauges of one service."""
    labels = {"service": name}
    ejected = 0
    for view in entry.router.views.values():
        if view.state is TargetState.EJECTED:
            ejected += 1
    metrics.queued.set(labels, entry.admission_queue.admission.waiting_count())
    metrics.ejected_targets.set(labels, ejected)
    metrics.targets.set(labels, len(entry.router.views))
    metrics.objective.set(labels, entry.service.objective.success_share)


def refresh_class(metrics, labels, counts):
    """Set the counters of one service and request class."""
    metrics.request_seconds.set_value(labels, histogram_of(counts.latency))
    good = {**labels, "result": "good"}
    bad = {**labels, "result": "bad"}
    metrics.objective_requests.set(good, counts.good_total)
    metrics.objective_requests.set(bad, counts.bad_total)


def histogram_of(latency):
    """Return the Prometheus histogram of a ``LatencyRecord``."""
    histogram = Histogram(*LATENCY_BUCKETS_S)
    total = 0
    bounds = list(histogram.buckets)
    for bound, count in zip(bounds, latency.bucket_counts, strict=True):
        total += count
        histogram.buckets[bound] = total
    histogram.observations = total
    histogram.sum = latency.sum_s
    return histogram
