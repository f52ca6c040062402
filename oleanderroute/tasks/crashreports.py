"""Counts crash-causing requests across the fleet.

One host, ranked by the fingerprint, counts the deaths that all hosts report, and
tells every host once a fingerprint is to be refused. A rack failure thus costs one
message per broken request and no broadcast.
"""

from .. import events
from ..peer.gen.oleander_messages.ttypes import Ack, CrashNotice

CRASH_NOTICE = "crash_notice"


class CrashReporter:
    """Reports and receives crashes.

    Parameters
    ----------
    quarantine : Quarantine
    topology : Topology
    courier : NoticeCourier
    clock : Clock

    Attributes
    ----------
    clear_crash_failures : callable
        Told the service and targets whose deaths a refused request caused; they
        must not count towards ejection. The daemon sets it.
    """

    def __init__(self, quarantine, topology, courier, clock):
        self.clear_crash_failures = lambda service_name, target_ids: None
        self.quarantine = quarantine
        self.topology = topology
        self.courier = courier
        self.clock = clock
        self.announced = {}

    def register(self, server):
        """Take over the crash notices of a peer server."""
        server.register(CRASH_NOTICE, self.receive)

    def report(self, service_name, fingerprint, target_id):
        """Count a crash here and tell the host that counts for the fleet."""
        now = self.clock.now()
        self.quarantine.record_crash(fingerprint, target_id, now)
        notice = CrashNotice(service_name, fingerprint, [target_id])
        counter = self.topology.crash_counter_of(fingerprint)
        self.courier.deliver(counter, CRASH_NOTICE, notice)

    def is_refused(self, fingerprint):
        """Tell whether requests with a fingerprint must not run any more."""
        return self.quarantine.is_refused(fingerprint, self.clock.now())

    def receive(self, notice, header):
        """Absorb a notice; announce the fingerprint if it is now refused."""
        now = self.clock.now()
        was_refused = self.quarantine.is_refused(notice.fingerprint, now)
        for target_id in notice.target_ids:
            self.quarantine.record_peer_crash(notice.fingerprint, target_id, now)
        if self.quarantine.is_refused(notice.fingerprint, now):
            self.clear_crash_failures(notice.service_name, notice.target_ids)
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
            targets=sorted(record.crash_times),
        )
        confirmed = CrashNotice(
            notice.service_name, notice.fingerprint, sorted(record.crash_times)
        )
        self.courier.broadcast(CRASH_NOTICE, confirmed)

    def forget_announced(self, now):
        """Drop announcements whose refusal has ended."""
        for fingerprint, until in list(self.announced.items()):
            if until <= now:
                del self.announced[fingerprint]
