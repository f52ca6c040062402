"""Checks of a declaration that a JSON schema cannot express.

Each check gets the document and the paths of the parts with a bad shape, which
it leaves out, so that problems of shape and of content are reported together.
"""

from ipaddress import ip_address

from ..decisions.claims import CLAIM_LIFETIME_S
from .document import DEFAULT_LONG_SHARE
from .problems import problem_at

# A long request may not hold the last slot of a target.
MIN_SLOTS_FOR_LONG = 2
MS_PER_S = 1000


class CheckedDocument:
    """A parsed document, seen without the parts whose shape is bad.

    Parameters
    ----------
    document : dict
    bad_paths : set of tuple
        Paths of keys and indexes with a problem of shape.
    """

    def __init__(self, document, bad_paths):
        self.document = document
        self.bad_prefixes = set()
        for path in bad_paths:
            for length in range(len(path) + 1):
                self.bad_prefixes.add(tuple(path[:length]))
        self.services = self.good_items("services")
        self.routes = self.good_entries("routes")
        self.groups = self.good_items("workspace_groups")
        self.service_names = self.names("services")
        self.group_names = self.names("workspace_groups")
        self.domains = self.names("failure_domains")

    def names(self, section):
        """Return all keys of a section, those of bad entries included."""
        value = self.document.get(section)
        return set(value) if isinstance(value, dict) else set()

    def good_items(self, section):
        """Return the entries of an object section whose shape is good."""
        value = self.document.get(section)
        if not isinstance(value, dict):
            return {}
        good = {}
        for name, entry in value.items():
            if (section, name) in self.bad_prefixes:
                continue
            good[name] = entry
        return good

    def good_entries(self, section):
        """Return index and entry of an array section whose shape is good."""
        value = self.document.get(section)
        if not isinstance(value, list):
            return []
        good = []
        for index, entry in enumerate(value):
            if (section, index) in self.bad_prefixes:
                continue
            good.append((index, entry))
        return good

    def regions(self):
        """Return the regions that the failure domains lie in."""
        return set(self.good_items("failure_domains").values())


def check_services(checked):
    """Find unknown names, impossible floors and contradictions of services."""
    problems = []
    regions = checked.regions()
    for name, service in checked.services.items():
        at = ("services", name)
        if service["region"] not in regions:
            reason = f"no failure domain lies in region {service['region']!r}"
            problems.append(problem_at((*at, "region"), reason))
        if ("targets" in service) == ("target_label" in service):
            problems.append(
                problem_at(at, "exactly one of targets and target_label is needed")
            )
        problems += check_floor(at, service)
        problems += check_service_names(at, service, checked.service_names)
    return problems


def check_floor(at, service):
    """Compare the floor with the slots of the listed targets."""
    if "targets" not in service:
        return []
    slots = len(service["targets"]) * service["slots_per_target"]
    if service["floor_slots"] <= slots:
        return []
    reason = f"floor of {service['floor_slots']} slots, but the targets have {slots}"
    return [problem_at((*at, "floor_slots"), reason)]


def check_service_names(at, service, known):
    """Find dependencies and fallbacks that are not declared."""
    problems = []
    for index, dependency in enumerate(service.get("depends_on", ())):
        if dependency in known:
            continue
        reason = f"unknown service {dependency!r}"
        problems.append(problem_at((*at, "depends_on", index), reason))
    fallback = service.get("fallback")
    if fallback is not None and fallback not in known:
        reason = f"unknown service {fallback!r}"
        problems.append(problem_at((*at, "fallback"), reason))
    return problems


def check_targets(checked):
    """Find bad addresses, unknown domains and duplicate targets."""
    problems = []
    seen_ids = {}
    seen_addresses = {}
    for name, service in checked.services.items():
        for index, target in enumerate(service.get("targets", ())):
            at = ("services", name, "targets", index)
            problems += check_target(at, target, service["region"], checked)
            problems += check_unique(seen_ids, target["id"], at, "id")
            address = f"{target['address']}:{target['port']}"
            problems += check_unique(seen_addresses, address, at, "address")
    return problems


def check_target(at, target, region, checked):
    """Check the address and the failure domain of one target."""
    problems = []
    try:
        ip_address(target["address"])
    except ValueError:
        reason = f"{target['address']!r} is not an IP number"
        problems.append(problem_at((*at, "address"), reason))
    domain = target["failure_domain"]
    if domain not in checked.domains:
        reason = f"unknown failure domain {domain!r}"
        problems.append(problem_at((*at, "failure_domain"), reason))
    elif checked.good_items("failure_domains").get(domain, region) != region:
        reason = f"failure domain {domain!r} is not in region {region!r}"
        problems.append(problem_at((*at, "failure_domain"), reason))
    return problems


def check_unique(seen, value, at, key):
    """Record ``value`` at ``at``; report it if it was seen before."""
    first = seen.setdefault(value, at)
    if first == at:
        return []
    reason = f"duplicate of {problem_at(first, '').path}: {value}"
    return [problem_at((*at, key), reason)]


def check_routes(checked):
    """Find unknown names, duplicates and contradictions of routes."""
    problems = []
    seen_ids = {}
    seen_rules = {}
    for index, route in checked.routes:
        at = ("routes", index)
        problems += check_unique(seen_ids, route["id"], at, "id")
        rule = f"{route['method']} {route['path']} {route.get('workspaces', '*')}"
        problems += check_unique(seen_rules, rule, at, "path")
        problems += check_route_names(at, route, checked)
        problems += check_route_limits(at, route, checked)
    return problems


def check_route_names(at, route, checked):
    """Find a service or workspace group that is not declared."""
    problems = []
    if route["service"] not in checked.service_names:
        reason = f"unknown service {route['service']!r}"
        problems.append(problem_at((*at, "service"), reason))
    group = route.get("workspaces", "*")
    if group != "*" and group not in checked.group_names:
        reason = f"unknown workspace group {group!r}"
        problems.append(problem_at((*at, "workspaces"), reason))
    return problems


def check_route_limits(at, route, checked):
    """Compare the time limits and the class of a route with what it uses."""
    problems = []
    for key in ("first_byte_ms", "between_bytes_ms"):
        if route[key] <= route["deadline_ms"]:
            continue
        reason = f"{route[key]} ms exceeds the deadline of {route['deadline_ms']} ms"
        problems.append(problem_at((*at, key), reason))
    lifetime_ms = CLAIM_LIFETIME_S * MS_PER_S
    at_most_once = route["repeatability"] == "at_most_once"
    if at_most_once and route["deadline_ms"] >= lifetime_ms:
        # A resend after the claim has lapsed could run beside the first request.
        reason = f"not below the claim lifetime of {lifetime_ms:.0f} ms"
        problems.append(problem_at((*at, "deadline_ms"), reason))
    service = checked.services.get(route["service"])
    if route["class"] == "long" and service is not None:
        problems += check_long_capacity(at, service)
        fallback = checked.services.get(service.get("fallback"))
        if fallback is not None:
            problems += check_long_capacity(at, fallback)
    return problems


def check_long_capacity(at, service):
    """Check that a service or its fallback has any slot for long requests."""
    if service["slots_per_target"] < MIN_SLOTS_FOR_LONG:
        reason = "a long request needs a service with 2 slots a target or more"
        return [problem_at((*at, "class"), reason)]
    if service.get("long_share", DEFAULT_LONG_SHARE) <= 0:
        return [
            problem_at(
                (*at, "class"), "the service or its fallback has a long_share of 0"
            )
        ]
    return []


def check_group_overlaps(checked):
    """Find routes of equal method and path whose groups share a workspace."""
    problems = []
    routes_by_rule = {}
    for index, route in checked.routes:
        group = route.get("workspaces", "*")
        if group not in checked.groups:
            continue
        rule = (route["method"], route["path"])
        routes_by_rule.setdefault(rule, []).append((index, group))
    for entries in routes_by_rule.values():
        owners = {}
        for index, group in entries:
            shared = find_shared(owners, checked.groups[group], group)
            if shared is None:
                continue
            reason = f"workspace {shared!r} also matches group {owners[shared]!r}"
            problems.append(problem_at(("routes", index, "workspaces"), reason))
    return problems


def find_shared(owners, workspaces, group):
    """Record the group of each workspace; return one that has another group."""
    shared = None
    for workspace in workspaces:
        if owners.setdefault(workspace, group) != group:
            shared = workspace
    return shared


def check_group_duplicates(checked):
    """Find workspaces that a group lists twice."""
    problems = []
    for name, workspaces in checked.groups.items():
        seen = set()
        for index, workspace in enumerate(workspaces):
            if workspace in seen:
                at = ("workspace_groups", name, index)
                problems.append(problem_at(at, f"duplicate workspace {workspace!r}"))
            seen.add(workspace)
    return problems
