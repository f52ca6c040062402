"""Writes the metrics page in small steps.

With 450 services the page has some 8,000 lines. Written at once it keeps the event
loop from serving requests for tens of milliseconds, at every scrape.
"""

import asyncio
import copy

from aioprometheus.formats.text import TextFormatter
from aioprometheus.metricdict import MetricDict

# A histogram has 15 lines per series, so a step writes at most 75 lines.
SERIES_PER_STEP = 5
# The formatter begins each collector with a HELP and a TYPE line.
HEADER_LINES = 2


async def metrics_page(registry):
    """Return the page in Prometheus' text format.

    Parameters
    ----------
    registry : aioprometheus.Registry

    Returns
    -------
    bytes
    """
    formatter = TextFormatter()
    lines = []
    for collector in registry.get_all():
        series = list(collector.values.store.items())
        lines += formatter.marshall_lines(with_series(collector, []))
        for start in range(0, len(series), SERIES_PER_STEP):
            part = with_series(collector, series[start : start + SERIES_PER_STEP])
            lines += formatter.marshall_lines(part)[HEADER_LINES:]
            await asyncio.sleep(0)
    lines.append("")
    return "\n".join(lines).encode()


def page_headers():
    """Return the HTTP headers of the page."""
    return TextFormatter().get_headers()


def with_series(collector, series):
    """Return a copy of a collector that has only some of its series."""
    part = copy.copy(collector)
    part.values = MetricDict()
    part.values.store.update(series)
    return part
