"""Counts over the latest windows of time, in bounded memory."""

from array import array
from dataclasses import dataclass

# A window is a ring of this many buckets. Its oldest bucket leaves as a whole, so a
# window covers between 29/30 and all of its nominal length.
BUCKETS_PER_WINDOW = 30
# Every bucket length is a multiple of this one, so that counts gathered over one
# step belong to one bucket of each window.
STEP_S = 10
OBJECTIVE_WINDOW = "objective"
DAY_S = 86_400


@dataclass(frozen=True, slots=True)
class Window:
    """A length of time over which counts are kept.

    Attributes
    ----------
    name : str
        Key in reports.
    length_s : int
        Multiple of ``STEP_S * BUCKETS_PER_WINDOW``.
    """

    name: str
    length_s: int

    @property
    def bucket_s(self):
        """Length of one bucket in seconds."""
        return self.length_s // BUCKETS_PER_WINDOW


FIXED_WINDOWS = (
    Window("5m", 300),
    Window("1h", 3600),
    Window("6h", 6 * 3600),
    Window("3d", 3 * DAY_S),
)


def objective_window(window_days):
    """Return the window over which an objective counts its error budget."""
    return Window(OBJECTIVE_WINDOW, window_days * DAY_S)


class Ring:
    """A count over one window.

    Parameters
    ----------
    window : Window
    """

    __slots__ = ("window", "bucket_s", "counts", "newest")

    def __init__(self, window):
        self.window = window
        self.bucket_s = window.bucket_s
        self.counts = array("I", [0] * BUCKETS_PER_WINDOW)
        self.newest = 0

    def add(self, at, count):
        """Add ``count`` at monotonic time ``at``, which must not go back."""
        number = int(at // self.bucket_s)
        self.advance(number)
        self.counts[number % BUCKETS_PER_WINDOW] += count

    def total(self, now):
        """Return the count over the window that ends at ``now``."""
        self.advance(int(now // self.bucket_s))
        return sum(self.counts)

    def advance(self, number):
        """Make bucket ``number`` the newest; buckets that are too old are emptied."""
        if number <= self.newest:
            return
        steps = min(number - self.newest, BUCKETS_PER_WINDOW)
        for offset in range(steps):
            self.counts[(number - offset) % BUCKETS_PER_WINDOW] = 0
        self.newest = number


class WindowedCount:
    """The same count over several windows.

    Parameters
    ----------
    windows : iterable of Window
    """

    __slots__ = ("rings",)

    def __init__(self, windows):
        self.rings = [Ring(window) for window in windows]

    def add(self, at, count):
        """Add ``count`` at monotonic time ``at`` to each window."""
        for ring in self.rings:
            ring.add(at, count)

    def totals(self, now):
        """Return window name to the count in the window that ends at ``now``."""
        return {ring.window.name: ring.total(now) for ring in self.rings}
