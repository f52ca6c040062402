"""Tells claim holders when the platform confirmed the host list."""

from ..platform.hostlist import HostListClient


class ConfirmingHostListClient(HostListClient):
    """A host list client whose answers confirm the view of claim holders.

    Parameters
    ----------
    store : StoreClient
    clock : Clock
    view : HolderView
    """

    def __init__(self, store, clock, view):
        super().__init__(store)
        self.clock = clock
        self.view = view

    async def fetch(self, after_version, cause="hosts"):
        """Return a newer list, or None after confirming the known one.

        The time of the question counts, as the answer may have been delayed.
        """
        asked_at = self.clock.now()
        host_list = await super().fetch(after_version, cause)
        if host_list is None:
            self.view.confirm(after_version, asked_at, self.clock.now())
        return host_list
