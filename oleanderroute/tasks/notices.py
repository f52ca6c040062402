"""Delivers notices to other hosts in the background."""

import asyncio

from ..errors import PeerError

NOTICE_TIMEOUT_S = 0.5
NOTICE_TRIES = 3
# Deliveries of one broadcast at a time, so that 860 hosts are told without a burst.
PARALLEL_NOTICES = 32


class NoticeCourier:
    """Sends notices and repeats those that are not acknowledged.

    Parameters
    ----------
    topology : Topology
    messenger : Messenger
    """

    def __init__(self, topology, messenger):
        self.topology = topology
        self.messenger = messenger
        self.pending = set()

    def deliver(self, host, kind, notice):
        """Send a notice of a kind of ``RequestBody`` to one host."""
        self.start(self.send(host, kind, notice))

    def broadcast(self, kind, notice):
        """Send a notice to every other host."""
        self.start(self.send_to_all(kind, notice))

    async def send_to_all(self, kind, notice):
        """Send a notice to every other host, some at a time."""
        limiter = asyncio.Semaphore(PARALLEL_NOTICES)
        async with asyncio.TaskGroup() as group:
            for host in self.topology.peers():
                group.create_task(self.send_limited(host, kind, notice, limiter))

    async def send_limited(self, host, kind, notice, limiter):
        """Send one notice of a broadcast."""
        async with limiter:
            await self.send(host, kind, notice)

    async def send(self, host, kind, notice):
        """Send a notice until it is acknowledged; tell whether it was in time."""
        for _ in range(NOTICE_TRIES):
            try:
                await self.messenger.ask(host, kind, notice, NOTICE_TIMEOUT_S)
                return True
            except PeerError:
                continue
        return False

    def start(self, coroutine):
        """Run a delivery in the background."""
        task = asyncio.ensure_future(coroutine)
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)
