"""Reads one host's part of the burn report from its JSON document."""

import struct
import zlib
from dataclasses import dataclass, field

from hdrh.codec import (
    HdrCookieException,
    HdrHistogramSettingsException,
    HdrLengthException,
)
from hdrh.histogram import HdrHistogram
from result import Err, Ok

from ..errors import OleanderError
from .blame import Spender, SpenderKind
from .histogram import LATENCY_UNIT_S, MAX_LATENCY_UNITS
from .hostreport import FORMAT_VERSION

HISTOGRAM_FAULTS = (
    HdrCookieException,
    HdrHistogramSettingsException,
    HdrLengthException,
    IndexError,
    struct.error,
    zlib.error,
)


class MalformedPart(OleanderError):
    """A host's document is no part of a burn report that this version can read."""


@dataclass(frozen=True, slots=True)
class Counts:
    """Requests of one window."""

    good: int = 0
    bad: int = 0

    @property
    def total(self):
        """Good and bad requests together."""
        return self.good + self.bad

    def plus(self, other):
        """Return the sum of two counts."""
        return Counts(self.good + other.good, self.bad + other.bad)


@dataclass(frozen=True, slots=True)
class DeclaredObjective:
    """A service's objective as the host had it in force."""

    success_share: float
    latency_ms: int
    window_days: int


@dataclass(slots=True)
class ClassPart:
    """One service and request class on one host.

    Attributes
    ----------
    windows : dict of str to Counts
    histogram : HdrHistogram
    latency_since_unix_s : float
    spenders : dict of Spender to dict of str to int
        Bad requests by window.
    """

    windows: dict
    excluded: int
    histogram: HdrHistogram
    latency_since_unix_s: float
    spenders: dict


@dataclass(slots=True)
class ServicePart:
    """One service on one host; ``classes`` maps class name to ``ClassPart``."""

    objective: DeclaredObjective
    classes: dict


@dataclass(frozen=True, slots=True)
class HostIncident:
    """An incident and the host that logged it."""

    at_unix_s: float
    last_unix_s: float
    count: int
    host_id: str
    failure_domain: str
    kind: str
    service: str
    subject: str
    decision: str
    reason: str


@dataclass(slots=True)
class HostPart:
    """What one host contributes to the report.

    Attributes
    ----------
    since_unix_s : float
        The host's own start; its counts begin there.
    services : dict of str to ServicePart
    incidents_dropped : int
        Incidents that were too old for the host's bounded log.
    """

    host_id: str
    failure_domain: str
    region: str
    revision: int
    since_unix_s: float
    services: dict
    incidents: list = field(default_factory=list)
    incidents_dropped: int = 0


def read_part(document):
    """Read the document of ``GET /report``.

    Parameters
    ----------
    document : object
        What a host answered, parsed from JSON.

    Returns
    -------
    Result of HostPart or MalformedPart
    """
    try:
        if document["format"] != FORMAT_VERSION:
            return Err(MalformedPart(f"report format {document['format']}"))
        return Ok(host_part(document))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(MalformedPart(f"malformed report: {error!r}"))
    except HISTOGRAM_FAULTS as error:
        return Err(MalformedPart(f"malformed histogram: {error!r}"))


def host_part(document):
    """Build a ``HostPart``; raises the errors that `read_part` catches."""
    part = HostPart(
        host_id=str(document["host_id"]),
        failure_domain=str(document["failure_domain"]),
        region=str(document["region"]),
        revision=int(document["revision"]),
        since_unix_s=float(document["since_unix_s"]),
        services={},
        incidents_dropped=int(document["incidents_dropped"]),
    )
    for name, value in document["services"].items():
        classes = {}
        for class_name, counts in value["classes"].items():
            classes[class_name] = class_part(counts)
        part.services[name] = ServicePart(
            DeclaredObjective(**value["objective"]), classes
        )
    for value in document["incidents"]:
        part.incidents.append(host_incident(part, value))
    return part


def host_incident(part, value):
    """Build the ``HostIncident`` of a JSON value."""
    return HostIncident(
        at_unix_s=float(value["at_unix_s"]),
        last_unix_s=float(value["last_unix_s"]),
        count=int(value["count"]),
        host_id=part.host_id,
        failure_domain=part.failure_domain,
        kind=str(value["kind"]),
        service=str(value["service"]),
        subject=str(value["subject"]),
        decision=str(value["decision"]),
        reason=str(value["reason"]),
    )


def class_part(value):
    """Build the ``ClassPart`` of a JSON value."""
    windows = {}
    for name, counts in value["windows"].items():
        windows[name] = Counts(int(counts["good"]), int(counts["bad"]))
    latency = value["latency"]
    if latency["unit_s"] != LATENCY_UNIT_S:
        raise ValueError(f"latency unit {latency['unit_s']}")
    spenders = {}
    for item in value["spenders"]:
        spender = Spender(
            SpenderKind(item["kind"]),
            item["name"],
            item["failure_domain"],
            item["cause"],
        )
        counts = item["counts"].items()
        spenders[spender] = {name: int(count) for name, count in counts}
    return ClassPart(
        windows=windows,
        excluded=int(value["excluded"]),
        histogram=read_histogram(latency["histogram"]),
        latency_since_unix_s=float(latency["since_unix_s"]),
        spenders=spenders,
    )


def read_histogram(text):
    """Decode a histogram and check that it has this version's limits."""
    histogram = HdrHistogram.decode(text)
    if histogram.highest_trackable_value != MAX_LATENCY_UNITS:
        raise ValueError(f"histogram up to {histogram.highest_trackable_value}")
    return histogram
