"""Costs measured at several sizes, and the straight line through them."""

import gc
import statistics
import time
import tracemalloc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """What one more of something costs.

    Attributes
    ----------
    value : float
        Slope of the least-squares line, in ``unit``.
    spread : float
        Half the range of the slopes between neighbouring sizes; for a cost of one
        size, half the range of its repetitions.
    base : float
        Value of the line at size 0.
    sizes : tuple of int
    """

    name: str
    unit: str
    value: float
    spread: float
    base: float = 0.0
    sizes: tuple[int, ...] = ()

    def at(self, size):
        """Return the cost of ``size`` pieces."""
        return self.base + self.value * size


def fit(name, unit, points):
    """Return the ``Slope`` through pairs of size and cost, by rising size."""
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    line = statistics.linear_regression(sizes, costs)
    steps = []
    for (size, cost), (next_size, next_cost) in zip(points, points[1:], strict=False):
        steps.append((next_cost - cost) / (next_size - size))
    spread = (max(steps) - min(steps)) / 2
    return Slope(name, unit, line.slope, spread, line.intercept, tuple(sizes))


def fit_sizes(name, unit, sizes, cost_of):
    """Measure ``cost_of(size)`` for each size and return the ``Slope``."""
    points = [(size, cost_of(size)) for size in sizes]
    return fit(name, unit, points)


def constant(name, unit, values):
    """Return a cost that was measured several times at one size."""
    spread = (max(values) - min(values)) / 2
    return Slope(name, unit, statistics.median(values), spread)


def allocated_bytes(make):
    """Return the bytes that Python holds for the result of ``make()``."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return size


def processor_us(work, calls):
    """Return microseconds of processor time of one call, the best of five rounds.

    Other work on the machine only ever adds to a round, so the least is nearest to
    the cost of the code.
    """
    best = float("inf")
    for _ in range(5):
        started = time.process_time()
        for _ in range(calls):
            work()
        best = min(best, time.process_time() - started)
    return best / calls * 1e6


def repeated_us(name, work, calls, rounds=3):
    """Return the ``Slope`` of a call measured ``rounds`` times."""
    values = [processor_us(work, calls) for _ in range(rounds)]
    return constant(name, "us", values)
