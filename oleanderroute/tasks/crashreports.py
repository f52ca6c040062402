"""Counts crash-causing requests across the fleet.

One host, ranked by the fingerprint, counts the deaths that all hosts report, and
tells every host once a fingerprint is to be refused. A rack failure thus costs one
message per broken request and no broadcast.
"""

import asyncio

from .. import events
from ..errors import PeerError
from ..peer.gen.oleander_messages.ttypes import Ack, CrashNotice

NOTICE_TIMEOUT_S = 0.5
NOTICE_TRIES = 3
# Broadcasts in flight at once, so that 860 hosts are told without a burst.
PARALLEL_NOTICES = 32


class CrashReporter:
    """Reports and receives crashes.

    Parameters
    ----------
    quarantine : Quarantine
    topology : Topology
    messenger : Messenger
    clock : Clock

    Attributes
    ----------
    excuse : callable
        Told the service and targets whose deaths a refused request caused; they
        must not count towards ejection. The daemon sets it.
    """

    def __init__(self, quarantine, topology, messenger, clock):
        self.excuse = lambda service_name, target_ids: None
        self.quarantine = quarantine
        self.topology = topology
        self.messenger = messenger
        self.clock = clock
        self.pending = set()
        self.announced = {}

    def register(self, server):
        """Take over the crash notices of a peer server."""
        server.register("crash_notice", self.receive)

    def report(self, service_name, fingerprint, target_id):
        """Count a crash here and tell the host that counts for the fleet."""
        now = self.clock.now()
        self.quarantine.record_crash(fingerprint, target_id, now)
        notice = CrashNotice(service_name, fingerprint, [target_id])
        self.start(self.send(self.topology.crash_counter_of(fingerprint), notice))

    def is_refused(self, fingerprint):
        """Tell whether requests with a fingerprint must not run any more."""
        return self.quarantine.is_refused(fingerprint, self.clock.now())

    def receive(self, notice, header):
        """Absorb a notice; announce the fingerprint if it is now refused."""
        now = self.clock.now()
        was_refused = self.quarantine.is_refused(notice.fingerprint, now)
        for target_id in notice.target_ids:
            self.quarantine.absorb_notice(notice.fingerprint, target_id, now)
        if self.quarantine.is_refused(notice.fingerprint, now):
            self.excuse(notice.service_name, notice.target_ids)
            self.announce(notice, was_refused)
        return "ack", Ack()

    def announce(self, notice, was_refused):
        """Tell all hosts, once, about a fingerprint that this host counts."""
        counter = self.topology.crash_counter_of(notice.fingerprint)
        if counter.host_id != self.topology.own.host_id:
            return
        now = self.clock.now()
        until = self.announced.get(notice.fingerprint, 0.0)
        if was_refused and until > now:
            return
        record = self.quarantine.refused[notice.fingerprint]
        self.forget_announced(now)
        self.announced[notice.fingerprint] = record.refused_until
        events.REQUEST_QUARANTINED.log(
            service=notice.service_name,
            fingerprint=notice.fingerprint,
            targets=sorted(record.deaths),
        )
        confirmed = CrashNotice(
            notice.service_name, notice.fingerprint, sorted(record.deaths)
        )
        self.start(self.broadcast(confirmed))

    def forget_announced(self, now):
        """Drop announcements whose refusal has ended."""
        for fingerprint, until in list(self.announced.items()):
            if until <= now:
                del self.announced[fingerprint]

    async def broadcast(self, notice):
        """Send a confirmed notice to every other host."""
        limiter = asyncio.Semaphore(PARALLEL_NOTICES)
        async with asyncio.TaskGroup() as group:
            for host in self.topology.peers():
                group.create_task(self.send_limited(host, notice, limiter))

    async def send_limited(self, host, notice, limiter):
        """Send one notice of a broadcast."""
        async with limiter:
            await self.send(host, notice)

    async def send(self, host, notice):
        """Send a notice until it is acknowledged or the tries are used up."""
        for _ in range(NOTICE_TRIES):
            try:
                await self.messenger.ask(host, "crash_notice", notice, NOTICE_TIMEOUT_S)
                return
            except PeerError:
                continue

    def start(self, coroutine):
        """Run a delivery in the background."""
        task = asyncio.ensure_future(coroutine)
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)
