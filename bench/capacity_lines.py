"""The lines of docs/CAPACITY.md: each role's figures against the bounds."""

from collections import Counter
from dataclasses import dataclass

from oleanderroute.decisions.subset import (
    EligibleHosts,
    HostLocation,
    choose_all_subsets,
)
from oleanderroute.declaration.document import target_from_document

from .capacity_model import (
    DAY_S,
    SEGMENT_BYTES,
    Load,
    aggregator_load,
    claim_entry_load,
    claim_holder_load,
    coordinator_load,
    entry_load,
    lease_entry_load,
    most,
    parent_load,
    poll_load,
    relay_load,
    scrape_load,
    service_owners,
)
from .slopes_documents import service_document

PROCESSOR_BOUND_MS = 13.0
MEMORY_BOUND_MB = 128.0
SENT_BOUND = 11_000.0
DOMAIN_RELAYS = 2
CONNECTION_BOUND = 330
SAMPLED_SERVICES = 10
STORE_READ_BOUND = 2_000.0
STORE_WRITE_BOUND = 300.0


@dataclass(frozen=True, slots=True)
class Line:
    """One figure at full size and its bound.

    Attributes
    ----------
    mechanism : str
        Module that spends it.
    slopes : str
        Names of the slopes in the measured part that it is worked out from.
    margin : float
        Bound divided by the figure; below 1 the line does not fit.
    """

    role: str
    what: str
    mechanism: str
    slopes: str
    figure: float
    bound: float
    unit: str
    note: str = ""

    @property
    def margin(self):
        """Return how often the figure goes into its bound."""
        return self.bound / self.figure if self.figure else float("inf")

    @property
    def fits(self):
        """Tell whether the figure is within its bound."""
        return self.figure <= self.bound


def role_lines(role, mechanism, slopes, load):
    """Return the lines of one role: bytes sent, bytes received, processor, memory."""
    note = "; ".join(load.notes)
    found = [
        Line(role, "sent", mechanism, slopes, load.sent, SENT_BOUND, "B/s", note),
        Line(role, "received", mechanism, slopes, load.received, SENT_BOUND, "B/s"),
        Line(
            role,
            "processor",
            mechanism,
            slopes,
            load.processor_ms,
            PROCESSOR_BOUND_MS,
            "ms/s",
        ),
    ]
    if load.memory_mb:
        found.append(
            Line(
                role,
                "memory",
                mechanism,
                slopes,
                load.memory_mb,
                MEMORY_BOUND_MB,
                "MB",
            )
        )
    return found


def worst_services(fleet):
    """Return the most services that one host aggregates in any failure domain."""
    domains = fleet.hosts_by_domain.values()
    return max(most(service_owners(fleet, ids)) for ids in domains)


def roles(fleet, costs, list_ms):
    """Return the name, mechanism, slopes and load of each role."""
    return [
        (
            "entry: reports",
            "tasks/reporter.py",
            "report, *; verdict delta, *; peer exchange",
            entry_load(fleet, costs),
        ),
        (
            "entry: claims",
            "tasks/claimclient.py",
            "claim *; peer exchange",
            claim_entry_load(fleet, costs),
        ),
        (
            "entry: leases",
            "tasks/slotleases.py",
            "slot *; peer exchange",
            lease_entry_load(fleet, costs),
        ),
        (
            "every host: news",
            "tasks/configuration.py, tasks/hosts.py",
            "manifest *; declaration change; host list change; shard owners",
            poll_load(fleet, costs),
        ),
        (
            "aggregator, worst host",
            "tasks/aggregator.py",
            "report, *; verdict delta, *; detection *; target in a pool",
            aggregator_load(fleet, costs, worst_services(fleet)),
        ),
        (
            "relay: platform",
            "tasks/hosts.py, platform/hostlist.py",
            "complete host list of the platform; full-size run",
            relay_load(fleet, costs, list_ms),
        ),
        (
            "relay or parent: peers",
            "tasks/distribution.py",
            "manifest *; chunk *; host list change",
            parent_load(fleet, costs),
        ),
        (
            "claim holder, worst host",
            "decisions/claim_table.py",
            "claim *; claim vote; peer exchange",
            claim_holder_load(fleet, costs),
        ),
        (
            "slot coordinator, worst host",
            "decisions/slots.py",
            "slot *; peer exchange",
            coordinator_load(fleet, costs),
        ),
        (
            "operator port: metrics",
            "operator/exposition.py",
            "metrics page *",
            scrape_load(fleet, costs),
        ),
    ]


def capacity_lines(fleet, costs, full_size):
    """Return all lines.

    Parameters
    ----------
    fleet : Fleet
    costs : Costs
    full_size : FullSize
    """
    found = []
    total = Load()
    for role, mechanism, slopes, load in roles(fleet, costs, list_ms(full_size)):
        found += role_lines(role, mechanism, slopes, load)
        total.add(load)
    total.processor_ms += full_size.idle_percent * 10
    total.memory_mb += full_size.resident_mb + serving_mb(fleet, costs)
    found += role_lines(
        "one host with every role", "the sum", "all of the above", total
    )
    found.append(
        Line(
            "one host with every role",
            "sent with TCP/IP headers",
            "the sum",
            "messages/s times 52 B",
            total.sent + total.segments * SEGMENT_BYTES,
            SENT_BOUND,
            "B/s",
        )
    )
    found.append(ordinary_memory(fleet, costs, full_size))
    found.append(connection_line(fleet))
    return found + store_lines(fleet) + change_lines(fleet, costs, full_size)


def ordinary_memory(fleet, costs, full_size):
    """Return the memory of a host that aggregates its mean share of services."""
    services = round(fleet.services / fleet.domain_hosts)
    pooled = aggregator_load(fleet, costs, services).memory_mb
    return Line(
        "host with a mean share of the roles",
        "memory",
        "the process",
        "full-size run; connection; burn report; target in a pool",
        full_size.resident_mb + serving_mb(fleet, costs) + pooled,
        MEMORY_BOUND_MB,
        "MB",
        "the full-size run is of a relay, which holds the platform's documents too",
    )


def connection_line(fleet):
    """Return the most connections that hosts may open to one target."""
    places = []
    for domain, ids in fleet.hosts_by_domain.items():
        places += [HostLocation(one, domain) for one in ids]
    census = EligibleHosts(places)
    highest = 0
    for number in range(SAMPLED_SERVICES):
        count = round(fleet.targets_per_service)
        document = service_document(number, 0, count)
        targets = [target_from_document(one) for one in document["targets"]]
        used = Counter()
        for subset in choose_all_subsets(census, targets, CONNECTION_BOUND).values():
            for target_id in subset.target_ids:
                used[target_id] += subset.connections
        highest = max(highest, *used.values())
    return Line(
        "target",
        "connections from all hosts",
        "decisions/subset.py",
        f"the subsets of 860 hosts for {SAMPLED_SERVICES} services",
        highest,
        CONNECTION_BOUND,
        "1",
    )


def list_ms(full_size):
    """Return the processor time of one host list at a relay."""
    values = [one["processor_ms"] for one in full_size.host_list]
    return sum(values) / len(values)


def serving_mb(fleet, costs):
    """Return what requests add to the memory of an idle host of the full size."""
    used = fleet.services * fleet.subset
    # Nearly every target of the subset has one connection open between requests.
    total = used * costs.of("connection to a target (resident)")
    total += fleet.services * costs.of("service and class in the burn report")
    return total / 1e6


def store_lines(fleet):
    """Return the calls per second of the key-value service."""
    relays = DOMAIN_RELAYS * len(fleet.hosts_by_domain)
    changes = fleet.changes_per_day / DAY_S
    reads = relays * (1 / 0.45 + 1 / 30 + 2 * changes)
    return [
        Line(
            "key-value service",
            "reads, watches and host list polls",
            "tasks/configuration.py, tasks/hosts.py",
            "relays x (poll + watch + chunk per change); store calls by cause",
            reads,
            STORE_READ_BOUND,
            "1/s",
        ),
        Line(
            "key-value service",
            "writes",
            "platform/publish.py",
            "4 writes (chunk, head, 2 of history) per change; store calls by cause",
            4 * changes,
            STORE_WRITE_BOUND,
            "1/s",
        ),
        Line(
            "key-value service",
            "reads when the store returns, first 5 s",
            "tasks/configuration.py",
            "relays x (head, watch, host list) over 5 s of jitter",
            relays * 3 / 5,
            STORE_READ_BOUND,
            "1/s",
        ),
    ]


def change_lines(fleet, costs, full_size):
    """Return the stall of changes and the seconds until one is in force."""
    found = []
    for name, costs_of_changes in (
        ("host list change", full_size.host_list),
        ("declaration change", full_size.declaration),
    ):
        stall_ms = max(one["stall_ms"] for one in costs_of_changes)
        found.append(
            Line(
                "every host",
                f"longest stall, {name}",
                "serving.py",
                "full-size run",
                stall_ms,
                1.7,
                "ms",
            )
        )
    # The relays' watch answers at once; two levels poll; each fetch may time out once.
    found.append(
        Line(
            "every host",
            "change in force",
            "tasks/distribution.py",
            "2 polls of 1 s and 2 fetches of at most 2 s",
            2 * 1.0 + 2 * 2.0,
            12.0,
            "s",
        )
    )
    return found
