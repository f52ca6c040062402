"""Merges the parts of all hosts into the burn report of the fleet."""

from dataclasses import dataclass, field

from .histogram import LATENCY_UNIT_S, LatencyHistogram
from .hostpart import Counts, DeclaredObjective
from .windows import DAY_S, FIXED_WINDOWS, OBJECTIVE_WINDOW

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
WINDOW_NAMES = (*(window.name for window in FIXED_WINDOWS), OBJECTIVE_WINDOW)


@dataclass(frozen=True, slots=True)
class HostState:
    """Whether and since when a host's part counts.

    Attributes
    ----------
    address : str
        Of its operator port.
    since_unix_s : float or None
        None when it did not answer.
    error : str or None
        Why its part is missing.
    """

    address: str
    host_id: str
    failure_domain: str = ""
    revision: int | None = None
    since_unix_s: float | None = None
    incidents_dropped: int = 0
    error: str | None = None


@dataclass(frozen=True, slots=True)
class WindowFigures:
    """Requests and burn rate over one window.

    Attributes
    ----------
    burn_rate : float or None
        Share of bad requests over the share that the objective allows; at 1 the
        budget lasts exactly for the objective's window. None without requests.
    """

    good: int
    bad: int
    burn_rate: float | None


@dataclass(frozen=True, slots=True)
class BudgetFigures:
    """The error budget over the objective's window, as far as it is known.

    Attributes
    ----------
    allowed_bad : float
        Bad requests that the objective allows among the known ones.
    left_share : float or None
        Between 1 and, when overspent, below 0. None without requests.
    known_s : float
        Time since the earliest start of a host that answered, at most the window.
    """

    window_days: int
    requests: int
    bad: int
    allowed_bad: float
    left_share: float | None
    known_s: float


@dataclass(frozen=True, slots=True)
class LatencyFigures:
    """Latencies of one service and class.

    Attributes
    ----------
    percentiles_ms : dict of str to float
    since_unix_s : float
        The earliest time from which any host's latencies are included.
    """

    requests: int
    since_unix_s: float
    percentiles_ms: dict


@dataclass(frozen=True, slots=True)
class SpenderFigures:
    """Bad requests of one spender by window.

    Attributes
    ----------
    share : float
        Of the service's bad requests in the objective's window.
    """

    kind: str
    name: str
    failure_domain: str
    cause: str
    counts: dict
    share: float


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """One request class of a service."""

    windows: dict
    excluded: int
    latency: LatencyFigures


@dataclass(frozen=True, slots=True)
class ServiceFigures:
    """One service over all hosts that answered."""

    name: str
    objective: DeclaredObjective
    windows: dict
    budget: BudgetFigures
    classes: dict
    spenders: list
    failure_domains: dict


@dataclass(slots=True)
class FleetReport:
    """The burn report of the fleet.

    Attributes
    ----------
    services : list of ServiceFigures
        The one with the least budget left comes first.
    incidents : list of HostIncident
        Oldest first.
    """

    generated_unix_s: float
    hosts: list
    services: list = field(default_factory=list)
    incidents: list = field(default_factory=list)

    def silent_hosts(self):
        """Return the hosts whose part is missing."""
        return [host for host in self.hosts if host.error is not None]


class ServiceSum:
    """Adds up the parts of one service.

    Parameters
    ----------
    name : str
    """

    def __init__(self, name):
        self.name = name
        self.objective = None
        self.revision = -1
        self.classes = {}
        self.spenders = {}

    def add(self, host_part, part):
        """Add one host's part; the objective of the newest revision counts."""
        if host_part.revision > self.revision:
            self.revision = host_part.revision
            self.objective = part.objective
        for class_name, class_part in part.classes.items():
            class_sum = self.classes.setdefault(class_name, ClassSum())
            class_sum.add(class_part)
            for spender, counts in class_part.spenders.items():
                merged = self.spenders.setdefault(spender, {})
                for window, count in counts.items():
                    merged[window] = merged.get(window, 0) + count

    def figures(self, known_s):
        """Return the ``ServiceFigures``."""
        windows = {name: Counts() for name in WINDOW_NAMES}
        classes = {}
        for class_name in sorted(self.classes):
            class_sum = self.classes[class_name]
            classes[class_name] = class_sum.figures(self.objective)
            for name in WINDOW_NAMES:
                windows[name] = windows[name].plus(class_sum.windows[name])
        counted = windows[OBJECTIVE_WINDOW]
        spenders = self.spender_figures(counted.bad)
        return ServiceFigures(
            name=self.name,
            objective=self.objective,
            windows=window_figures(windows, self.objective),
            budget=budget_figures(counted, self.objective, known_s),
            classes=classes,
            spenders=spenders,
            failure_domains=by_failure_domain(spenders),
        )

    def spender_figures(self, bad):
        """Return the spenders, the largest first."""
        rows = []
        for spender, counts in self.spenders.items():
            spent = counts.get(OBJECTIVE_WINDOW, 0)
            share = spent / bad if bad else 0.0
            rows.append(SpenderFigures(*spender, counts=counts, share=share))
        rows.sort(key=lambda row: (-row.share, row.kind, row.name, row.cause))
        return rows


class ClassSum:
    """Adds up the parts of one request class."""

    def __init__(self):
        self.windows = {name: Counts() for name in WINDOW_NAMES}
        self.excluded = 0
        self.histogram = LatencyHistogram()
        self.latency_since_unix_s = None

    def add(self, part):
        """Add one host's part."""
        for name, counts in part.windows.items():
            if name in self.windows:
                self.windows[name] = self.windows[name].plus(counts)
        self.excluded += part.excluded
        self.histogram.add(part.histogram)
        since = self.latency_since_unix_s
        if since is None or part.latency_since_unix_s < since:
            self.latency_since_unix_s = part.latency_since_unix_s

    def figures(self, objective):
        """Return the ``ClassFigures``."""
        percentiles = {}
        if self.histogram.total_count:
            for percentile in PERCENTILES:
                value = self.histogram.get_value_at_percentile(percentile)
                percentiles[f"p{percentile:g}"] = value * LATENCY_UNIT_S * 1000
        latency = LatencyFigures(
            self.histogram.total_count, self.latency_since_unix_s, percentiles
        )
        windows = window_figures(self.windows, objective)
        return ClassFigures(windows, self.excluded, latency)


class FleetSum:
    """Adds up the parts of all hosts; a part can be dropped once it is added.

    Parameters
    ----------
    now_unix_s : float
    """

    def __init__(self, now_unix_s):
        self.report = FleetReport(now_unix_s, [])
        self.services = {}
        self.earliest = now_unix_s

    def add(self, state, part=None):
        """Add one host.

        Parameters
        ----------
        state : HostState
        part : HostPart or None
            None when the host did not answer.
        """
        self.report.hosts.append(state)
        if part is None:
            return
        for name, service_part in part.services.items():
            self.services.setdefault(name, ServiceSum(name)).add(part, service_part)
        self.report.incidents += part.incidents
        self.earliest = min(self.earliest, part.since_unix_s)

    def finish(self):
        """Return the ``FleetReport``."""
        report = self.report
        report.incidents.sort(key=lambda one: (one.at_unix_s, one.host_id))
        known_s = report.generated_unix_s - self.earliest
        for name in sorted(self.services):
            report.services.append(self.services[name].figures(known_s))
        report.services.sort(key=budget_order)
        return report


def budget_order(service):
    """Sort key: the least budget left first, services without requests last."""
    left = service.budget.left_share
    return (left is None, left or 0.0)


def burn_rate(counts, objective):
    """Return bad share / (1 - objective), or None without requests."""
    if counts.total == 0:
        return None
    return counts.bad / counts.total / (1 - objective.success_share)


def window_figures(windows, objective):
    """Return window name to ``WindowFigures``."""
    figures = {}
    for name, counts in windows.items():
        rate = burn_rate(counts, objective)
        figures[name] = WindowFigures(counts.good, counts.bad, rate)
    return figures


def budget_figures(counts, objective, known_s):
    """Return the ``BudgetFigures`` of the requests that are known."""
    allowed = counts.total * (1 - objective.success_share)
    left = None
    if counts.total:
        left = 1 - counts.bad / allowed
    window_s = objective.window_days * DAY_S
    return BudgetFigures(
        window_days=objective.window_days,
        requests=counts.total,
        bad=counts.bad,
        allowed_bad=allowed,
        left_share=left,
        known_s=min(known_s, window_s),
    )


def by_failure_domain(spenders):
    """Return failure domain to the bad requests that its targets spent."""
    domains = {}
    for row in spenders:
        if not row.failure_domain:
            continue
        spent = row.counts.get(OBJECTIVE_WINDOW, 0)
        domains[row.failure_domain] = domains.get(row.failure_domain, 0) + spent
    return domains
