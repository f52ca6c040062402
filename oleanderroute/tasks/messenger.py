"""Requests to any host of the fleet, this one included."""

import inspect

from .. import events
from ..errors import PeerError
from .distribution import peer_address


class Messenger:
    """Sends a request to a host, over the network or directly to this host's tasks.

    Parameters
    ----------
    topology : Topology
    client : PeerClient
    server : PeerServer
        Its handlers answer requests to this host itself.
    make_header : callable
    """

    def __init__(self, topology, client, server, make_header):
        self.topology = topology
        self.client = client
        self.server = server
        self.make_header = make_header

    async def ask(self, host, kind, value, timeout_s):
        """Return the reply body of one request.

        Parameters
        ----------
        host : HostEntry
        kind : str
            Field name of ``RequestBody``.
        value : object
        timeout_s : float
            Seconds.

        Raises
        ------
        PeerError
        """
        if host.host_id == self.topology.own.host_id:
            result = self.server.handlers[kind](value, self.make_header())
            if inspect.isawaitable(result):
                result = await result
            return result[1]
        try:
            reply = await self.client.request(
                peer_address(host), kind, value, timeout_s
            )
        except PeerError as error:
            self.topology.reply_missed(host.host_id)
            events.PEER_UNREACHABLE.log(
                host=host.host_id, kind=kind, error=type(error).__name__
            )
            raise
        self.topology.reply_received(host.host_id)
        return reply
