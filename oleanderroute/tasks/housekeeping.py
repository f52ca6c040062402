"""Small periodic work: queue expiry and idle connections."""

import asyncio

from .base import DaemonTask

# Well below the shortest deadline that a route may declare.
EXPIRY_PERIOD_S = 0.01
IDLE_CHECK_PERIOD_S = 10.0


class Housekeeping(DaemonTask):
    """Expires queued requests and closes idle peer connections.

    Parameters
    ----------
    serving : Serving
    peer_client : PeerClient
    """

    def __init__(self, serving, peer_client):
        self.serving = serving
        self.peer_client = peer_client

    async def run(self):
        """Work until cancelled."""
        rounds = 0
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.serving.expire_queues()
            rounds += 1
            if rounds * EXPIRY_PERIOD_S >= IDLE_CHECK_PERIOD_S:
                rounds = 0
                self.peer_client.close_idle()
