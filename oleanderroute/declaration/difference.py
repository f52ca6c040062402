"""Differences between two declarations, entry by entry."""

from dataclasses import dataclass
from enum import Enum

from .document import (
    route_to_document,
    service_to_document,
    target_to_document,
)
from .problems import json_path

# Workspaces that one line of text names before it only counts.
MAX_LISTED_WORKSPACES = 5


class DifferenceKind(Enum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


SIGNS = {
    DifferenceKind.ADDED: "+",
    DifferenceKind.REMOVED: "-",
    DifferenceKind.CHANGED: "~",
}


@dataclass(frozen=True, slots=True)
class Difference:
    """One entry that differs.

    Attributes
    ----------
    path : str
        Where the entry lies; targets and routes are named by their id.
    before, after : object
        JSON values; None where the entry does not exist.
    """

    kind: DifferenceKind
    path: str
    before: object
    after: object

    def __str__(self):
        sign = SIGNS[self.kind]
        if self.kind is DifferenceKind.CHANGED:
            return f"{sign} {self.path}: {self.before} -> {self.after}"
        value = self.after if self.kind is DifferenceKind.ADDED else self.before
        return f"{sign} {self.path}: {value}"


def compare(before, after):
    """Return the differences between two declarations.

    Parameters
    ----------
    before : Declaration or None
        None when nothing is in force yet.
    after : Declaration

    Returns
    -------
    differences : list of Difference
        Empty exactly if the declarations are equal.
    """
    old = {} if before is None else flatten(before)
    new = flatten(after)
    differences = []
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            differences.append(added(path, new[path]))
            continue
        if path not in new:
            differences.append(removed(path, old[path]))
            continue
        if old[path] != new[path]:
            differences += changed(path, old[path], new[path])
    return differences


def added(path, value):
    """Return the difference of a new entry."""
    return Difference(DifferenceKind.ADDED, json_path(path), None, printable(value))


def removed(path, value):
    """Return the difference of a removed entry."""
    return Difference(DifferenceKind.REMOVED, json_path(path), printable(value), None)


def changed(path, before, after):
    """Return the differences within an entry that exists on both sides."""
    if isinstance(before, frozenset):
        return changed_group(path, before, after)
    if not isinstance(before, dict):
        kind = DifferenceKind.CHANGED
        return [Difference(kind, json_path(path), before, after)]
    differences = []
    for key in sorted(before.keys() | after.keys()):
        if before.get(key) == after.get(key):
            continue
        at = json_path((*path, key))
        kind = DifferenceKind.CHANGED
        differences.append(Difference(kind, at, before.get(key), after.get(key)))
    return differences


def changed_group(path, before, after):
    """Return the workspaces that joined or left a group."""
    differences = []
    if after - before:
        differences.append(added(path, after - before))
    if before - after:
        differences.append(removed(path, before - after))
    return differences


def printable(value):
    """Return a JSON value; a large set is shortened to a count."""
    if not isinstance(value, frozenset):
        return value
    listed = sorted(value)
    if len(listed) <= MAX_LISTED_WORKSPACES:
        return listed
    rest = len(listed) - MAX_LISTED_WORKSPACES
    return [*listed[:MAX_LISTED_WORKSPACES], f"and {rest} more"]


def flatten(declaration):
    """Return all entries of a declaration by path."""
    entries = {}
    for domain, region in declaration.failure_domains.items():
        entries["failure_domains", domain] = region
    for name, service in declaration.services.items():
        entries["services", name] = service_to_document(service)
        for target in service.targets:
            path = ("services", name, "targets", target.target_id)
            entries[path] = target_to_document(target)
    for route in declaration.routes:
        entries["routes", route.route_id] = route_to_document(route)
    for group, workspaces in declaration.workspace_groups.items():
        entries["workspace_groups", group] = workspaces
    return entries
