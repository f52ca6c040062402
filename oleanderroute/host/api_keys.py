"""Checks the API keys of requests, when they arrive and before each send."""

from dataclasses import dataclass, field

from ..entry.credentials import contains_any
from .model import WorkspacePolicy
from .refusal import HostReason
from .routes import authority_of


@dataclass(slots=True)
class KeyCheck:
    """What follows from the API key of a request.

    Attributes
    ----------
    reason : HostReason or None
        Why the request is refused.
    workspace : WorkspacePolicy or None
    base_headers : list of tuple of bytes
        Headers that are common to all sends; empty if the request is refused.
    credentials : list of bytes
        What must get neither to targets nor into logs.
    """

    reason: HostReason | None = None
    workspace: WorkspacePolicy | None = None
    base_headers: list = field(default_factory=list)
    credentials: list = field(default_factory=list, repr=False)

    def visible_id(self, attempt_id):
        """Return an attempt id, or None if it contains a credential."""
        if attempt_id is None or contains_any(attempt_id, self.credentials):
            return None
        return attempt_id


class ApiKeys:
    """Judges requests by the API keys of the configuration in force.

    Parameters
    ----------
    view : FleetView
    headers : object
        Has ``parse_api_key(headers)``, ``base_headers(headers)`` and
        ``workspace_headers(headers, credentials, workspace, authority)``.
    clock : Clock
    """

    def __init__(self, view, headers, clock):
        self.view = view
        self.headers = headers
        self.clock = clock

    def check(self, headers, route):
        """Return the ``KeyCheck`` of a request with these headers on a route.

        The time it takes does not depend on the number of workspaces.
        """
        configuration = self.view.configuration
        if not configuration.workspaces:
            return KeyCheck(base_headers=self.headers.base_headers(headers))
        key, credentials = self.headers.parse_api_key(headers)
        name = configuration.workspace_by_key.get(key)
        if name is None and not route.is_key_exempt:
            return KeyCheck(self.refusal_reason(key), credentials=credentials)
        base_headers = self.headers.workspace_headers(
            headers, credentials, name, route.authority
        )
        workspace = configuration.workspaces.get(name)
        return KeyCheck(None, workspace, base_headers, credentials)

    def refusal_reason(self, key):
        """Return why a request without a known key is refused."""
        if key is None:
            return HostReason.KEY_MISSING
        is_current = self.view.is_replica_current(self.clock.now())
        if is_current and not self.view.configuration_queue.is_busy:
            return HostReason.KEY_UNKNOWN
        # The key may be newer than the configuration of this host.
        return HostReason.KEY_UNCERTAIN

    def recheck(self, exchange):
        """Judge a request again if the configuration has changed since it was judged.

        Updates the workspace and the headers of the exchange.

        Returns
        -------
        HostReason or None
            Why the request must not be sent.
        """
        version = self.view.configuration.version
        if version == exchange.key_version:
            return None
        request = exchange.request
        path, _, _ = request.raw_target.partition(b"?")
        # A request whose route is gone keeps it, as it was routed when it arrived.
        route = self.view.routes.match(
            authority_of(request.headers), path.decode("latin-1")
        )
        found = self.check(request.headers, route or exchange.route)
        if found.reason is None:
            exchange.key_version = version
            exchange.workspace = found.workspace
            exchange.base_headers = found.base_headers
            exchange.attempt_id_bytes = found.visible_id(exchange.attempt_id_bytes)
            exchange.attempt_id = (exchange.attempt_id_bytes or b"").decode("latin-1")
        elif found.reason is HostReason.KEY_UNCERTAIN and exchange.workspace:
            # This host knew the key, so it was removed.
            return HostReason.KEY_UNKNOWN
        return found.reason
