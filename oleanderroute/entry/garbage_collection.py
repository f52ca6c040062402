"""Settings of Python's garbage collector for processes that serve requests."""

import gc

# Requests create no reference cycles, so collections may be rare.
YOUNG_THRESHOLD = 50_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 100


def tune_garbage_collector():
    """Exclude start-up objects from collections; call once after start-up."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
