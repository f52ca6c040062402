"""Small periodic work: queue expiry and idle connections."""

import asyncio

from .base import DaemonTask

# Well below the shortest deadline that a route may declare.
EXPIRY_PERIOD_S = 0.01
# With empty queues nothing expires, and an idle host should cost little.
IDLE_PERIOD_S = 0.1
IDLE_CHECK_PERIOD_S = 10.0


class Housekeeping(DaemonTask):
    """Expires queued requests and closes idle peer connections.

    Parameters
    ----------
    serving : Serving
    peer_client : PeerClient
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, serving, peer_client, clock, metrics):
        self.serving = serving
        self.peer_client = peer_client
        self.clock = clock
        self.metrics = metrics

    async def run(self):
        """Work until cancelled."""
        longest_s = 0.0
        checked_at = self.clock.now()
        while True:
            period_s = (
                EXPIRY_PERIOD_S if self.serving.nonempty_queues else IDLE_PERIOD_S
            )
            before = self.clock.now()
            await asyncio.sleep(period_s)
            now = self.clock.now()
            longest_s = max(longest_s, now - before - period_s)
            self.serving.expire_queues()
            if now - checked_at < IDLE_CHECK_PERIOD_S:
                continue
            # A long delay means that some task held the event loop and with it
            # every request.
            self.metrics.loop_delay.set({}, longest_s)
            longest_s = 0.0
            checked_at = now
            self.peer_client.close_idle()
