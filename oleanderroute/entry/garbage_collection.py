"""Settings of Python's garbage collector for a process on the path of requests."""

import gc

# A request leaves no reference cycles behind, so collections may be rare.
YOUNG_THRESHOLD = 50_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 100


def tune_garbage_collector():
    """Keep what was made at the start out of collections; call it once, after that."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
