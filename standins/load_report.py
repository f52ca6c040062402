"""The report of the load command: percentiles, outcomes and the ledger audit."""

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# Latencies are recorded in microseconds, up to one hour.
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50, 90, 99, 99.9)


@dataclass(slots=True)
class AttemptRecord:
    """What a caller saw of one attempt.

    Attributes
    ----------
    outcome : str
        The ``Oleander-Outcome`` header; ``none`` for an answer without one;
        ``error`` or ``timeout`` without a whole answer.
    status : int or None
    reason : str
        ``Oleander-Reason``, or the type of the error.
    integrity : str
        ``ok``, ``unchecked`` (no work was answered), ``wrong_body``,
        ``wrong_length`` or ``wrong_echo``.
    """

    number: int
    outcome: str
    status: int | None = None
    reason: str = ""
    integrity: str = "unchecked"
    is_success: bool = False


@dataclass(slots=True)
class RequestRecord:
    """One planned request with all its attempts.

    Attributes
    ----------
    latency_s : float
        From the planned arrival to the end of the last attempt.
    send_lag_s : float
        How late the load command itself sent the first attempt.
    """

    load_id: str
    kind: str
    phase: int
    at_s: float
    is_keyed: bool
    deadline_s: float
    send_lag_s: float = 0.0
    latency_s: float = 0.0
    attempts: list = field(default_factory=list)

    @property
    def from_send_s(self):
        """Latency in seconds without the lateness of the load command itself."""
        return self.latency_s - self.send_lag_s

    @property
    def censored_s(self):
        """Latency in seconds; a request without a good answer took its deadline."""
        if self.last().is_success:
            return self.latency_s
        return max(self.latency_s, self.deadline_s)

    def last(self):
        """Return the last attempt."""
        return self.attempts[-1]

    def is_in_time(self):
        """Tell whether a whole and right answer arrived within the deadline."""
        return self.last().is_success and self.latency_s <= self.deadline_s


class Summary:
    """Figures over some of the records.

    Parameters
    ----------
    records : list of RequestRecord
    """

    def __init__(self, records):
        self.records = records

    def to_json(self):
        """Return the figures as a JSON value."""
        by_kind = defaultdict(list)
        for record in self.records:
            by_kind[record.kind].append(record)
        kinds = {}
        for kind, records in sorted(by_kind.items()):
            kinds[kind] = Summary(records).figures()
        return {"all": self.figures(), "kinds": kinds}

    def figures(self):
        """Return the figures of all records together."""
        outcomes = Counter()
        statuses = Counter()
        reasons = Counter()
        integrity = Counter()
        attempts = 0
        for record in self.records:
            for attempt in record.attempts:
                attempts += 1
                integrity[attempt.integrity] += 1
                reasons[attempt.reason or "none"] += 1
            outcomes[record.last().outcome] += 1
            statuses[str(record.last().status)] += 1
        in_time = sum(record.is_in_time() for record in self.records)
        return {
            "requests": len(self.records),
            "attempts": attempts,
            "answered_in_time": in_time,
            "share_in_time": in_time / len(self.records) if self.records else None,
            "outcomes": dict(outcomes),
            "statuses": dict(statuses),
            "reasons": dict(reasons),
            "integrity": dict(integrity),
            "latency_ms": self.percentiles("latency_s", only_success=True),
            "latency_from_send_ms": self.percentiles("from_send_s", only_success=True),
            "latency_all_ms": self.percentiles("latency_s"),
            "latency_censored_ms": self.percentiles("censored_s"),
            "send_lag_ms": self.percentiles("send_lag_s"),
        }

    def percentiles(self, attribute, only_success=False):
        """Return percentiles of a time in milliseconds."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
        for record in self.records:
            if only_success and not record.last().is_success:
                continue
            value_us = int(getattr(record, attribute) * 1e6)
            histogram.record_value(min(max(value_us, 1), MAX_LATENCY_US))
        if histogram.get_total_count() == 0:
            return {}
        named = {}
        for percentile in PERCENTILES:
            named[f"p{percentile:g}"] = (
                histogram.get_value_at_percentile(percentile) / 1000
            )
        named["max"] = histogram.get_max_value() / 1000
        return named


@dataclass(slots=True)
class Audit:
    """What the targets' ledgers say against what callers were told.

    Attributes
    ----------
    duplicate_starts, duplicate_finishes : list of str
        Keys whose requests were started, or finished, more than once.
    false_not_run : list of str
        Attempts that were told not-run although that very attempt ran.
    not_run_but_key_ran : list of str
        Keyed requests whose last word was not-run although one attempt ran.
    success_without_run : list of str
        Requests with a good answer that stand in no ledger.
    unreachable : list of str
        Ledgers that could not be read; with any, the audit is incomplete.
    """

    runs: int = 0
    duplicate_starts: list = field(default_factory=list)
    duplicate_finishes: list = field(default_factory=list)
    false_not_run: list = field(default_factory=list)
    not_run_but_key_ran: list = field(default_factory=list)
    success_without_run: list = field(default_factory=list)
    unreachable: list = field(default_factory=list)


def audit_ledgers(records, rows, unreachable=()):
    """Compare the records of a run with the rows of all ledgers.

    Parameters
    ----------
    records : list of RequestRecord
    rows : list of dict
        Rows of ``GET /ledger`` of every target.
    unreachable : iterable of str

    Returns
    -------
    Audit
    """
    audit = Audit(unreachable=list(unreachable))
    known = {record.load_id for record in records}
    runs = defaultdict(list)
    for row in rows:
        if row["load_id"] not in known:
            continue
        runs[row["load_id"]].append(row)
        audit.runs += 1
    for record in records:
        audit_request(audit, record, runs[record.load_id])
    return audit


def audit_request(audit, record, runs):
    """Add the findings on one request."""
    ran_attempts = {row["attempt"] for row in runs}
    for attempt in record.attempts:
        if attempt.outcome == "not-run" and str(attempt.number) in ran_attempts:
            audit.false_not_run.append(f"{record.load_id}/{attempt.number}")
    if record.last().is_success and not runs:
        audit.success_without_run.append(record.load_id)
    if not record.is_keyed:
        return
    finished = sum(row["outcome"] == "finished" for row in runs)
    if len(runs) > 1:
        audit.duplicate_starts.append(record.load_id)
    if finished > 1:
        audit.duplicate_finishes.append(record.load_id)
    if runs and record.last().outcome == "not-run":
        audit.not_run_but_key_ran.append(record.load_id)


def per_second(records):
    """Return counts by second of the planned arrival, for plots over time."""
    seconds = defaultdict(Counter)
    for record in records:
        second = seconds[math.floor(record.at_s)]
        second["requests"] += 1
        second["in_time"] += record.is_in_time()
        second[record.last().outcome] += 1
    return [{"second": at, **seconds[at]} for at in sorted(seconds)]
