"""Finds the route of a request."""

from dataclasses import dataclass
from enum import Enum

from ..declaration.model import Route


class RouteMiss(Enum):
    """Why no route matched."""

    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    WORKSPACE_NOT_ALLOWED = "workspace-not-allowed"


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """Result of a look-up: a route, or the reason why there is none."""

    route: Route | None
    miss: RouteMiss | None = None


class RouteTable:
    """Exact paths by dictionary, prefixes by their longest segment match.

    Parameters
    ----------
    declaration : Declaration
    """

    def __init__(self, declaration):
        self.workspace_groups = declaration.workspace_groups
        self.exact = {}
        self.prefixes = {}
        # A route of a workspace group goes before one for any workspace.
        for route in sorted(declaration.routes, key=is_for_any_workspace):
            if route.path.endswith("*"):
                self.prefixes.setdefault(route.path[:-1], []).append(route)
                continue
            self.exact.setdefault(route.path, []).append(route)

    def match(self, method, path, workspace):
        """Return the route of a request.

        Parameters
        ----------
        method, path : str
        workspace : str or None

        Returns
        -------
        RouteMatch
        """
        miss = RouteMiss.NO_ROUTE
        for candidates in self.candidates(path):
            match = self.pick(candidates, method, workspace)
            if match.route is not None:
                return match
            miss = match.miss
        return RouteMatch(None, miss)

    def candidates(self, path):
        """Yield lists of routes whose path matches, the most specific first."""
        routes = self.exact.get(path)
        if routes is not None:
            yield routes
        prefix = path
        while prefix:
            routes = self.prefixes.get(prefix)
            if routes is not None:
                yield routes
            head, slash, _ = prefix[:-1].rpartition("/")
            prefix = head + slash

    def pick(self, routes, method, workspace):
        """Choose by method and workspace among routes of one path."""
        miss = RouteMiss.METHOD_NOT_ALLOWED
        for route in routes:
            if route.method != method:
                continue
            if route.workspaces == "*":
                return RouteMatch(route)
            if workspace in self.workspace_groups.get(route.workspaces, ()):
                return RouteMatch(route)
            miss = RouteMiss.WORKSPACE_NOT_ALLOWED
        return RouteMatch(None, miss)


def is_for_any_workspace(route):
    """Tell whether a route is not limited to a group of workspaces."""
    return route.workspaces == "*"
