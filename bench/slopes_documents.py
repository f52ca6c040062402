"""Declarations and host lists of any size, in the proportions of the full size."""

from dataclasses import dataclass

HOSTS = 860
TARGETS = 8_000
SERVICES = 450
ROUTES = 1_800
WORKSPACES = 51_000
WORKSPACES_PER_GROUP = 510
DOMAINS = ("r1-a", "r1-b", "r1-c", "r1-d", "r2-a", "r2-b", "r2-c")
REGIONS = {domain: domain[:2] for domain in DOMAINS}
R1 = [domain for domain in DOMAINS if REGIONS[domain] == "r1"]
R2 = [domain for domain in DOMAINS if REGIONS[domain] == "r2"]
PORT_RANGE = 60_000


@dataclass(frozen=True, slots=True)
class Size:
    """How much a declaration and a host list hold."""

    hosts: int = HOSTS
    targets: int = TARGETS
    services: int = SERVICES
    routes: int = ROUTES
    workspaces: int = WORKSPACES

    def share(self, part):
        """Return this size scaled by ``part``, at least one of each."""
        return Size(
            max(1, int(self.hosts * part)),
            max(1, int(self.targets * part)),
            max(1, int(self.services * part)),
            max(1, int(self.routes * part)),
            max(1, int(self.workspaces * part)),
        )


FULL = Size()


def declaration_document(size):
    """Return a declaration document."""
    services = {}
    first = 0
    for number in range(size.services):
        count = size.targets // size.services
        count += 1 if number < size.targets % size.services else 0
        services[f"service-{number}"] = service_document(number, first, count)
        first += count
    groups = max(1, size.workspaces // WORKSPACES_PER_GROUP)
    return {
        "failure_domains": REGIONS,
        "services": services,
        "routes": [
            route_document(number, size.services, groups)
            for number in range(size.routes)
        ],
        "workspace_groups": group_documents(size.workspaces, groups),
    }


def service_document(number, first, count):
    """Return one service with ``count`` targets."""
    domains = R1 if number % 2 else R2
    targets = []
    for index in range(count):
        targets.append(
            {
                "id": f"service-{number}-{index:02d}",
                "address": "127.0.0.1",
                "port": 1 + (first + index) % PORT_RANGE,
                "failure_domain": domains[(number + index) % len(domains)],
            }
        )
    return {
        "region": "r1" if number % 2 else "r2",
        "slots_per_target": 2,
        "connections_per_target": 330,
        "floor_slots": max(1, count),
        "long_share": 0.5,
        "objective": {"success_share": 0.999, "latency_ms": 250},
        "targets": targets,
    }


def route_document(number, services, groups):
    """Return one prefix route that a workspace group may use."""
    return {
        "id": f"route-{number}",
        "method": "GET",
        "path": f"/path-{number}/*",
        "service": f"service-{number % services}",
        "class": "quick",
        "repeatability": "idempotent",
        "deadline_ms": 5000,
        "first_byte_ms": 1000,
        "between_bytes_ms": 1000,
        "max_body_bytes": 1000,
        "workspaces": f"group-{number % groups}",
    }


def group_documents(workspaces, groups):
    """Return workspace groups that hold ``workspaces`` names together."""
    documents = {f"group-{number}": [] for number in range(groups)}
    for number in range(workspaces):
        documents[f"group-{number % groups}"].append(f"workspace-{number:05d}")
    return documents


def host_documents(count):
    """Return the host entries of a host list document."""
    hosts = []
    for number in range(count):
        domain = DOMAINS[number % len(DOMAINS)]
        hosts.append(
            {
                "id": f"host-{number:03d}",
                "address": "127.0.0.1",
                "caller_port": 1,
                "peer_port": 1,
                "operator_port": 1,
                "failure_domain": domain,
                "region": REGIONS[domain],
                "state": "live",
            }
        )
    return hosts


def target_documents(declaration):
    """Return the target entries of a host list for a declaration document."""
    targets = []
    for name, service in declaration["services"].items():
        for target in service["targets"]:
            targets.append({**target, "service": name, "state": "live"})
    return targets


def host_list_document(size, version=1):
    """Return a complete host list document."""
    return {
        "version": version,
        "hosts": host_documents(size.hosts),
        "targets": target_documents(declaration_document(size)),
    }
