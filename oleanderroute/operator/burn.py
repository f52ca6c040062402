"""Counts good and bad requests and their latencies for the burn report."""

from bisect import bisect_left
from dataclasses import dataclass
from functools import partial

from ..metrics import LATENCY_BUCKETS_S
from ..outcome import CallerOutcome
from .blame import EXCLUDED, GOOD, Spender, judge, spender_of
from .histogram import LATENCY_UNIT_S, MAX_LATENCY_UNITS, LatencyHistogram
from .windows import (
    FIXED_WINDOWS,
    OBJECTIVE_WINDOW,
    STEP_S,
    WindowedCount,
    objective_window,
)

# Percentiles cover the current and the previous period, so 6 to 12 hours: a night,
# and no longer than most hosts of a large fleet live.
LATENCY_PERIOD_S = 6 * 3600
# Bounds the memory of one service and class; what does not fit counts as "other".
MAX_SPENDERS = 32
OTHER = "other"
NOT_RUN = CallerOutcome.NOT_RUN
SPENDER_WINDOWS = frozenset({"1h", "3d", OBJECTIVE_WINDOW})


class LatencyRecord:
    """Latencies of the current and the previous period, and totals since the start.

    Parameters
    ----------
    now : float
        Monotonic seconds.

    Attributes
    ----------
    bucket_counts : list of int
        Per bound of ``LATENCY_BUCKETS_S``, and one for all above.
    """

    __slots__ = ("current", "previous", "since", "rotate_at", "bucket_counts", "sum_s")

    def __init__(self, now):
        self.current = LatencyHistogram()
        self.previous = None
        self.since = now
        self.rotate_at = now + LATENCY_PERIOD_S
        self.bucket_counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0

    def record(self, elapsed_s):
        """Count one latency."""
        units = min(int(elapsed_s / LATENCY_UNIT_S), MAX_LATENCY_UNITS)
        self.current.record_value(units)
        self.bucket_counts[bisect_left(LATENCY_BUCKETS_S, elapsed_s)] += 1
        self.sum_s += elapsed_s

    def follow_time(self, now):
        """Begin a new period when the current one has ended."""
        if now < self.rotate_at:
            return
        was_idle = now >= self.rotate_at + LATENCY_PERIOD_S
        oldest = self.previous or LatencyHistogram()
        oldest.reset()
        self.previous = self.current
        self.current = oldest
        if was_idle:
            self.previous.reset()
        periods = (now - self.rotate_at) // LATENCY_PERIOD_S
        start = self.rotate_at + periods * LATENCY_PERIOD_S
        self.since = start - LATENCY_PERIOD_S
        self.rotate_at = start + LATENCY_PERIOD_S

    def merged(self):
        """Return one histogram of both periods."""
        histogram = LatencyHistogram()
        histogram.add(self.current)
        if self.previous is not None:
            histogram.add(self.previous)
        return histogram


class ClassBurn:
    """What one service spent in one request class.

    Parameters
    ----------
    service : Service
    now : float
        Monotonic seconds.

    Attributes
    ----------
    good_total, bad_total, excluded_total : int
        Since this host's start.
    """

    def __init__(self, service, now):
        self.windows = (*FIXED_WINDOWS, objective_window(service.objective.window_days))
        self.window_days = service.objective.window_days
        self.good = WindowedCount(self.windows)
        self.bad = WindowedCount(self.windows)
        self.latency = LatencyRecord(now)
        self.spenders = {}
        self.pending_spenders = {}
        self.good_total = 0
        self.bad_total = 0
        self.excluded_total = 0
        self.pending_good = 0
        self.pending_bad = 0
        self.step_start = now // STEP_S * STEP_S
        self.step_end = self.step_start + STEP_S

    def follow_time(self, now):
        """Move the counts of the past step into the windows when it has ended."""
        if now < self.step_end:
            return
        self.flush()
        self.step_start = now // STEP_S * STEP_S
        self.step_end = self.step_start + STEP_S
        self.latency.follow_time(now)

    def flush(self):
        """Move the counts of the current step into the windows."""
        if self.pending_good:
            self.good.add(self.step_start, self.pending_good)
        if self.pending_bad:
            self.bad.add(self.step_start, self.pending_bad)
        for spender, count in self.pending_spenders.items():
            self.spender_count(spender).add(self.step_start, count)
        self.pending_good = 0
        self.pending_bad = 0
        self.pending_spenders.clear()

    def follow_objective(self, service):
        """Follow a changed length of the objective's window; its count restarts."""
        if service.objective.window_days == self.window_days:
            return
        self.window_days = service.objective.window_days
        window = objective_window(self.window_days)
        self.windows = (*FIXED_WINDOWS, window)
        counts = [self.good, self.bad, *self.spenders.values()]
        for count in counts:
            count.rings[-1] = WindowedCount([window]).rings[0]

    def spend(self, spender):
        """Count one bad request against ``spender``."""
        pending = self.pending_spenders
        count = pending.get(spender)
        if count is None:
            if len(pending) >= MAX_SPENDERS:
                spender = rest_of(spender)
            count = pending.get(spender, 0)
        pending[spender] = count + 1

    def spender_count(self, spender):
        """Return the count of a spender, or of the rest when there are many."""
        if spender not in self.spenders and len(self.spenders) >= MAX_SPENDERS:
            self.forget_spenders(self.step_start)
            if len(self.spenders) >= MAX_SPENDERS:
                spender = rest_of(spender)
        count = self.spenders.get(spender)
        if count is None:
            windows = [one for one in self.windows if one.name in SPENDER_WINDOWS]
            count = WindowedCount(windows)
            self.spenders[spender] = count
        return count

    def forget_spenders(self, now):
        """Drop the spenders that spent nothing within any window."""
        for spender, count in list(self.spenders.items()):
            if not any(count.totals(now).values()):
                del self.spenders[spender]


def rest_of(spender):
    """Return the spender that stands for all that have no count of their own."""
    return Spender(spender.kind, OTHER, "", OTHER)


@dataclass(frozen=True, slots=True)
class ClassDocument:
    """The counts of one service and request class as a JSON value."""

    service_name: str
    class_name: str
    counts: dict


class BurnLedger:
    """Requests of this host by service, class and cause.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock
        self.started_at = clock.now()
        self.classes = {}

    def record(self, context, answer, elapsed_s):
        """Count one finished request; a streamed one is counted at its end.

        Parameters
        ----------
        context : RequestContext
        answer : CallerAnswer
        elapsed_s : float
            Seconds since the request's first byte.
        """
        if type(answer.body) is not bytes:
            answer.body.on_end = partial(self.record_streamed, context, answer)
            return
        self.count(context, answer, elapsed_s, None)

    def record_streamed(self, context, answer, end_kind):
        """Count a request whose streamed answer has ended.

        Parameters
        ----------
        context : RequestContext
        answer : CallerAnswer
        end_kind : AttemptKind
            How the answer ended.
        """
        elapsed_s = self.clock.now() - context.request.received_at
        self.count(context, answer, elapsed_s, end_kind)

    def count(self, context, answer, elapsed_s, end_kind):
        """Count one request whose answer has ended."""
        route = context.route
        service = context.entry.service
        now = self.clock.now()
        burn = self.classes.get((route.service, route.request_class))
        if burn is None:
            burn = ClassBurn(service, now)
            self.classes[(route.service, route.request_class)] = burn
        if now >= burn.step_end:
            burn.follow_time(now)
            burn.follow_objective(service)
        judgement = judge(service.objective, answer, elapsed_s, end_kind)
        if judgement is EXCLUDED:
            burn.excluded_total += 1
            return
        # Refusals are quick and would hide slow answers in the percentiles.
        if answer.outcome is not NOT_RUN:
            burn.latency.record(elapsed_s)
        if judgement is GOOD:
            burn.good_total += 1
            burn.pending_good += 1
            return
        burn.bad_total += 1
        burn.pending_bad += 1
        burn.spend(spender_of(context, answer, elapsed_s, end_kind))

    def follow_services(self, services):
        """Drop the counts of services that are not declared any more.

        Parameters
        ----------
        services : container of ServiceName
        """
        for key in list(self.classes):
            if key[0] not in services:
                del self.classes[key]

    def documents(self, service_name=None):
        """Yield a ``ClassDocument`` for each class of one service, or of all.

        Each takes 0.2 ms or more, so the caller lets requests run in between.
        """
        for (name, request_class), burn in list(self.classes.items()):
            if service_name is not None and name != service_name:
                continue
            now = self.clock.now()
            burn.follow_time(now)
            burn.flush()
            counts = class_document(burn, now, self.clock.wall() - now)
            yield ClassDocument(name, request_class.name.lower(), counts)


def class_document(burn, now, wall_offset):
    """Return the JSON value of one service and class."""
    good = burn.good.totals(now)
    bad = burn.bad.totals(now)
    windows = {name: {"good": good[name], "bad": bad[name]} for name in good}
    spenders = []
    for spender, count in burn.spenders.items():
        spenders.append(
            {
                "kind": spender.kind.value,
                "name": spender.name,
                "failure_domain": spender.failure_domain,
                "cause": spender.cause,
                "counts": count.totals(now),
            }
        )
    return {
        "windows": windows,
        "excluded": burn.excluded_total,
        "latency": {
            "since_unix_s": burn.latency.since + wall_offset,
            "unit_s": LATENCY_UNIT_S,
            "histogram": burn.latency.merged().encode().decode(),
        },
        "spenders": spenders,
    }
