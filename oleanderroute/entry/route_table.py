"""Matches requests to routes."""

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
    """Result of a lookup: a route, or why none matched."""

    route: Route | None
    miss: RouteMiss | None = None


class RouteTable:
    """Matches exact paths first, then the longest prefix of whole segments.

    Parameters
    ----------
    declaration : Declaration
    """

    def __init__(self, declaration):
        self.workspace_groups = declaration.workspace_groups
        self.exact = {}
        self.prefixes = {}
        # Routes for a workspace group take precedence over those for any workspace.
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
            match = self.select_route(candidates, method, workspace)
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

    def select_route(self, routes, method, workspace):
        """Select by method and workspace among the routes of one path."""
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
    """Return whether a route applies to all workspaces."""
    return route.workspaces == "*"
