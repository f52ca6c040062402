"""Formulas that work out a host's control cost from the measured slopes."""

import math
from collections import Counter
from dataclasses import dataclass, field

from oleanderroute.decisions.claims import HolderView, RankedHost
from oleanderroute.decisions.ranking import rank
from oleanderroute.decisions.shards import ShardOwners
from oleanderroute.decisions.slots import RENEWAL_PERIOD_S
from oleanderroute.tasks.aggregator import QUIET_PERIOD_S
from oleanderroute.tasks.configuration import POLL_PERIOD_S
from oleanderroute.tasks.hosts import RELAY_POLL_PERIOD_S
from oleanderroute.tasks.reporter import (
    LONGEST_PERIOD_S,
    QUIET_AFTER_S,
    REPORT_BUDGET_BYTES_PER_S,
    REPORT_OVERHEAD_BYTES,
    SHORTEST_PERIOD_S,
    SUMMARY_BYTES,
)
from oleanderroute.topology import SHARDS_PER_DOMAIN, shard_of

from .slopes_documents import DOMAINS, REGIONS

DAY_S = 86_400.0
# Both tasks shorten their pause at random by up to a fifth.
MEAN_PAUSE_SHARE = 0.9
# Request and empty answer of the host list's poll, with HTTP headers.
HTTP_POLL_BYTES = 250
# Headers of TCP and IPv4 with time stamps, per segment.
SEGMENT_BYTES = 52
CHILDREN = 8


@dataclass(frozen=True, slots=True)
class Fleet:
    """The figures that the formulas start from.

    Attributes
    ----------
    rate : float
        Requests per second and host.
    subset : int
        Targets of a service that one host uses.
    keyed_share, long_share : float
        Assumed; the design page gives none.
    answer_bytes : int
        Assumed body of the answer to a keyed request.
    long_s : float
        Assumed duration of a long request in seconds.
    changes_per_day, host_lists_per_day : float
        A restart makes three host lists (leaving, gone, live), a failure two.
    """

    hosts_by_domain: dict
    services: int
    targets: int
    rate: float
    subset: int
    keyed_share: float = 0.01
    long_share: float = 0.005
    answer_bytes: int = 500
    long_s: float = 10.0
    changes_per_day: float = 870.0
    host_lists_per_day: float = 3 * 3_400 + 2 * 52
    scrape_period_s: float = 15.0

    @property
    def hosts(self):
        """Return the number of hosts."""
        return sum(len(ids) for ids in self.hosts_by_domain.values())

    @property
    def domain_hosts(self):
        """Return the hosts of the largest failure domain."""
        return max(len(ids) for ids in self.hosts_by_domain.values())

    @property
    def targets_per_service(self):
        """Return the mean number of targets of a service."""
        return self.targets / self.services

    @property
    def service_rate(self):
        """Return the requests per second of one host to one service."""
        return self.rate / self.services


def full_fleet():
    """Return the fleet of the design page, section 1."""
    hosts = {domain: [] for domain in DOMAINS}
    for number in range(860):
        hosts[DOMAINS[number % len(DOMAINS)]].append(f"host-{number:03d}")
    return Fleet(hosts, 450, 8_000, 87.0, 4)


@dataclass(slots=True)
class Load:
    """What a role costs a host.

    Attributes
    ----------
    sent, received : float
        Bytes of payload per second.
    processor_ms : float
        Milliseconds per second.
    memory_mb : float
    segments : float
        Messages sent per second.
    notes : list of str
        The mechanism's own figures.
    """

    sent: float = 0.0
    received: float = 0.0
    processor_ms: float = 0.0
    memory_mb: float = 0.0
    segments: float = 0.0
    notes: list = field(default_factory=list)

    def add(self, other):
        """Add the cost of another role."""
        self.sent += other.sent
        self.received += other.received
        self.processor_ms += other.processor_ms
        self.memory_mb += other.memory_mb
        self.segments += other.segments


class Costs:
    """The measured slopes by their names."""

    def __init__(self, slopes):
        self.slopes = {slope.name: slope for slope in slopes}

    def of(self, name):
        """Return the cost of one more."""
        return self.slopes[name].value

    def at(self, name, size):
        """Return the cost of ``size``."""
        return self.slopes[name].at(size)

    @property
    def header_bytes(self):
        """Return the bytes of a message without content."""
        return self.of("header with frame: bytes")

    @property
    def side_us(self):
        """Return the processor time of one side of a peer exchange."""
        return self.of("peer exchange, both sides") / 2


@dataclass(frozen=True, slots=True)
class Reports:
    """What one host sends to the aggregators of its domain per period."""

    period_s: float
    messages: float
    services: float
    summaries: float
    latencies: float


def most(seats):
    """Return the largest number of seats of one host."""
    return max(Counter(seats).values())


def shard_owners(ids):
    """Return the first-ranked host of each shard of a domain."""
    owners = ShardOwners("aggregator", SHARDS_PER_DOMAIN)
    owners.update(ids)
    return owners.owners


def service_owners(fleet, ids):
    """Return the aggregator of each service in one domain."""
    owners = shard_owners(ids)
    return [owners[shard_of(f"service-{n}")] for n in range(fleet.services)]


def reports_of(fleet):
    """Return the ``Reports`` of one host; the period follows its own content."""
    ids = next(iter(fleet.hosts_by_domain.values()))
    messages = len(set(service_owners(fleet, ids)))
    active = fleet.services * (1 - math.exp(-fleet.service_rate * QUIET_AFTER_S))
    period_s = LONGEST_PERIOD_S
    for _ in range(50):
        each = fleet.service_rate * period_s
        per_service = fleet.subset * (1 - math.exp(-each / fleet.subset))
        summaries = fleet.services * per_service
        total = messages * REPORT_OVERHEAD_BYTES
        total += SUMMARY_BYTES * (active + summaries)
        wanted = total / REPORT_BUDGET_BYTES_PER_S
        period_s = min(max(wanted, SHORTEST_PERIOD_S), LONGEST_PERIOD_S)
    return Reports(period_s, messages, active, summaries, fleet.rate * period_s)


def entry_load(fleet, costs):
    """Return the cost of reporting outcomes and of taking verdicts."""
    reports = reports_of(fleet)
    elsewhere = 1 - 1 / fleet.domain_hosts
    quiet = costs.of("report, quiet service: bytes")
    sent = reports.messages * costs.header_bytes + reports.services * quiet
    sent += reports.summaries * (
        costs.of("report, summary: bytes")
        - costs.of("report, latency of a summary: bytes")
    )
    sent += reports.latencies * costs.of("report, latency of a summary: bytes")
    # Replies leave out services without a change.
    received = reports.messages * costs.header_bytes
    spent_us = reports.messages * costs.side_us
    spent_us += reports.services * costs.of("report, quiet service: encode")
    spent_us += reports.summaries * costs.of("report, summary: encode")
    load = Load(
        sent / reports.period_s * elsewhere,
        received / reports.period_s * elsewhere,
        spent_us / reports.period_s / 1e3,
        segments=reports.messages / reports.period_s,
    )
    load.processor_ms += fleet.rate * costs.of("reporter, attempt") / 1e3
    load.notes.append(
        f"period {reports.period_s:.2f} s, {reports.messages:.0f} messages, "
        f"{reports.services:.0f} services, {reports.summaries:.0f} summaries"
    )
    return load


def aggregator_load(fleet, costs, services):
    """Return the cost of a host that is aggregator of some services."""
    reports = reports_of(fleet)
    part = services / fleet.services
    reporters = (fleet.domain_hosts - 1) / reports.period_s
    active = reports.services * part
    reply = costs.header_bytes
    asked = costs.header_bytes + active * costs.of("report, quiet service: bytes")
    asked += reports.summaries * part * costs.of("report, summary: bytes")
    each_us = costs.side_us + active * (
        costs.of("report, quiet service: decode")
        + costs.of("aggregator, quiet service of a report")
    )
    each_us += reports.summaries * part * costs.of("report, summary: decode")
    attempts = fleet.domain_hosts * fleet.rate * part
    spent_us = reporters * each_us + attempts * costs.of("detection observe")
    judged_us = services * costs.at(
        "detection evaluate, target", fleet.targets_per_service
    )
    spent_us += judged_us / QUIET_PERIOD_S
    memory = services * fleet.targets_per_service
    memory *= costs.of("target in a pool, in use") / 1e6
    load = Load(reporters * reply, reporters * asked, spent_us / 1e3, memory, reporters)
    load.notes.append(
        f"{services} services, {reporters:.0f} reports/s, "
        f"evaluation {judged_us / QUIET_PERIOD_S / 1e3:.1f} ms/s"
    )
    return load


def poll_load(fleet, costs):
    """Return the cost of asking a parent for news each period."""
    polls = 1 / (POLL_PERIOD_S * MEAN_PAUSE_SHARE)
    changes = fleet.changes_per_day / DAY_S
    lists = fleet.host_lists_per_day / DAY_S
    chunks = costs.of("chunks of the declaration")
    received = polls * costs.of("manifest unchanged: bytes")
    received += changes * (
        costs.at("manifest, chunk: bytes", chunks) + costs.of("bytes of a chunk")
    )
    received += lists * costs.at("host list change, host: bytes", 1)
    sent = polls * costs.of("manifest request: bytes")
    spent_ms = polls * costs.side_us / 1e3
    spent_ms += changes * costs.at("declaration change, 1% of size", 100)
    spent_ms += lists * costs.at("host list change, 1% of size", 100)
    # Owners of shards follow the lists that change the own failure domain.
    own_lists = lists / len(fleet.hosts_by_domain)
    spent_ms += own_lists * costs.at("shard owners, host", fleet.domain_hosts) / 1e3
    return Load(sent, received, spent_ms, segments=polls)


def parent_load(fleet, costs):
    """Return the cost of answering the children in the distribution tree."""
    own = poll_load(fleet, costs)
    polls = CHILDREN / (POLL_PERIOD_S * MEAN_PAUSE_SHARE)
    return Load(
        CHILDREN * own.received,
        CHILDREN * own.sent,
        polls * costs.side_us / 1e3,
        segments=polls,
    )


def relay_load(fleet, costs, list_ms):
    """Return the cost of following the platform's host list and head.

    Parameters
    ----------
    list_ms : float
        Processor time of one list at a relay, measured on a real daemon.
    """
    polls = 1 / (RELAY_POLL_PERIOD_S * MEAN_PAUSE_SHARE)
    lists = fleet.host_lists_per_day / DAY_S
    whole = costs.of("complete host list of the platform")
    load = Load(
        polls * HTTP_POLL_BYTES,
        polls * HTTP_POLL_BYTES + lists * whole,
        polls * costs.of("peer exchange, both sides") / 1e3 + lists * list_ms,
        segments=polls,
    )
    load.notes.append(f"{lists:.3f} lists/s of {whole / 1e6:.2f} MB")
    return load


def holder_seats(fleet):
    """Return the most seats, of all buckets, that one host holds in a region."""
    view = HolderView("host-000", 1, 600.0, 0.0)
    hosts = []
    for domain, ids in fleet.hosts_by_domain.items():
        if REGIONS.get(domain) == "r2":
            hosts += [RankedHost(one, domain) for one in ids]
    view.update(1, hosts, 0.0)
    seats = Counter()
    keys = 4000
    for number in range(keys):
        seats.update(view.holders(f"workspace/route/{number}", 0.0))
    return max(seats.values()) / keys


def claim_holder_load(fleet, costs):
    """Return the cost of the host with most seats in its region."""
    keyed = fleet.hosts * fleet.rate * fleet.keyed_share / 2
    rate = keyed * holder_seats(fleet)
    reply = costs.of("claim reply: bytes") + costs.header_bytes
    done = costs.at("claim completion, body byte: bytes", fleet.answer_bytes)
    asked = costs.of("claim request: bytes") + done
    spent_us = 2 * costs.side_us + costs.at("claim vote, claim held", 1000)
    held = rate * 600
    memory = held * (costs.of("claim") + fleet.answer_bytes) / 1e6
    load = Load(rate * reply, rate * asked, rate * spent_us / 1e3, memory, 2 * rate)
    load.notes.append(f"{rate:.2f} claims/s, {held:.0f} held")
    return load


def claim_entry_load(fleet, costs):
    """Return the cost of claims to the host that takes the requests."""
    rate = fleet.rate * fleet.keyed_share
    done = costs.at("claim completion, body byte: bytes", fleet.answer_bytes)
    sent = 3 * rate * (costs.of("claim request: bytes") + done)
    received = 3 * rate * (costs.of("claim reply: bytes") + costs.header_bytes)
    spent_us = 6 * costs.side_us + costs.of("claim round at the entry")
    return Load(sent, received, rate * spent_us / 1e3, segments=6 * rate)


def coordinator_load(fleet, costs):
    """Return the cost of the host that coordinates most services of a region."""
    ids = []
    for domain, members in fleet.hosts_by_domain.items():
        if REGIONS.get(domain) == "r2":
            ids += members
    owners = [rank(f"slots/service-{n}", ids)[0] for n in range(fleet.services // 2)]
    services = most(owners)
    # Half of two slots per target.
    leases = min(
        fleet.hosts * fleet.service_rate * fleet.long_share * fleet.long_s,
        fleet.targets_per_service,
    )
    messages = services * leases * (1 / RENEWAL_PERIOD_S + 2 / fleet.long_s)
    spent_us = costs.side_us + costs.at("slot renewal, lease", leases)
    load = Load(
        messages * costs.of("slot reply: bytes"),
        messages * costs.of("slot request: bytes"),
        messages * spent_us / 1e3,
        segments=messages,
    )
    load.notes.append(f"{services} services, {leases:.1f} leases each")
    return load


def lease_entry_load(fleet, costs):
    """Return the cost of leases to the host that takes the requests."""
    leases = fleet.rate * fleet.long_share * fleet.long_s
    messages = leases * (1 / RENEWAL_PERIOD_S + 2 / fleet.long_s)
    return Load(
        messages * costs.of("slot request: bytes"),
        messages * costs.of("slot reply: bytes"),
        messages * costs.side_us / 1e3,
        segments=messages,
    )


def scrape_load(fleet, costs):
    """Return the cost of one scraper of the metrics page."""
    page = costs.at("metrics page, service: bytes with gzip", fleet.services)
    spent_ms = costs.at("metrics page, service: write", fleet.services)
    period_s = fleet.scrape_period_s
    return Load(page / period_s, 200 / period_s, spent_ms / period_s, segments=1)
