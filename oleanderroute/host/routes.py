"""Finds the route of a request by host name and longest path prefix."""


class PrefixRoutes:
    """Route table of one configuration.

    Parameters
    ----------
    routes : iterable of HostRoute
    """

    def __init__(self, routes):
        self.by_authority = {}
        for route in routes:
            prefixes = self.by_authority.setdefault(route.authority, {})
            prefixes[route.prefix] = route

    def match(self, authority, path):
        """Return the ``HostRoute`` of a request, or None.

        Parameters
        ----------
        authority : str
            Host name in lower case, without a port.
        path : str
            Path of the request without the query.
        """
        prefixes = self.by_authority.get(authority)
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def authority_of(headers):
    """Return the host name of a request's ``Host`` header, in lower case."""
    for name, value in headers:
        if name != b"host":
            continue
        text = value.decode("latin-1").strip().lower()
        host, colon, port = text.rpartition(":")
        return host if colon and port.isdecimal() else text
    return ""
