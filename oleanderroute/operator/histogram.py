"""Latency histograms of the burn report."""

from hdrh.histogram import HdrHistogram

# 0.1 ms to 600 s with two significant digits; 32-bit counters.
LATENCY_UNIT_S = 0.0001
MAX_LATENCY_UNITS = 6_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
# Two significant digits take 256 values per power of two and above: the lower half
# of each is covered by the one before.
SUB_BUCKET_BITS = 8
HALF_BITS = SUB_BUCKET_BITS - 1


class LatencyHistogram(HdrHistogram):
    """An ``HdrHistogram`` of latencies in units of ``LATENCY_UNIT_S``."""

    def __init__(self):
        super().__init__(
            1, MAX_LATENCY_UNITS, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES
        )

    def record_value(self, value, count=1):
        """Count a value; the same as the library's method for these limits.

        The library takes 2.7 us for it, more than half of what a request may cost
        here.

        Parameters
        ----------
        value : int
            From 0 to ``MAX_LATENCY_UNITS``.
        count : int
        """
        shift = value.bit_length() - SUB_BUCKET_BITS
        if shift < 0:
            shift = 0
        self.counts[(shift << HALF_BITS) + (value >> shift)] += count
        self.total_count += count
        if value < self.min_value:
            self.min_value = value
        if value > self.max_value:
            self.max_value = value
        return True
