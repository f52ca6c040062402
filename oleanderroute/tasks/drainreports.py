"""Tells the fleet that a target answered that it drains.

A host that gets no answer from the target would go on sending it work. One host,
ranked by the target, is told by those that see the drain and tells all others once.
"""

from ..decisions.ejection import DRAIN_NOTICE_TTL_S
from ..peer.gen.oleander_messages.ttypes import Ack, DrainNotice

DRAIN_NOTICE = "drain_notice"


class DrainReporter:
    """Reports and receives that targets drain.

    Parameters
    ----------
    topology : Topology
    courier : NoticeCourier
    clock : Clock

    Attributes
    ----------
    mark_draining : callable
        Told the service and the target. The daemon sets it.
    """

    def __init__(self, topology, courier, clock):
        self.mark_draining = lambda service_name, target_id: None
        self.topology = topology
        self.courier = courier
        self.clock = clock
        # Until when a target needs no new report, and no new announcement.
        self.reported = {}
        self.announced = {}

    def register(self, server):
        """Take over the drain notices of a peer server."""
        server.register(DRAIN_NOTICE, self.receive)

    def report(self, service_name, target_id):
        """Take a target out here and tell the host that announces its drain."""
        self.mark_draining(service_name, target_id)
        if not self.is_first(self.reported, target_id):
            return
        self.courier.start(self.tell_announcer(service_name, target_id))

    async def tell_announcer(self, service_name, target_id):
        """Tell the announcer, or all hosts if it does not answer."""
        announcer = self.topology.drain_announcer_of(target_id)
        notice = DrainNotice(service_name, target_id, False)
        if not await self.courier.send(announcer, DRAIN_NOTICE, notice):
            self.announce(service_name, target_id)

    def receive(self, notice, header):
        """Take a target out that another host saw draining."""
        self.mark_draining(notice.service_name, notice.target_id)
        if not notice.is_announcement:
            self.announce(notice.service_name, notice.target_id)
        return "ack", Ack()

    def announce(self, service_name, target_id):
        """Tell all hosts, once."""
        if self.is_first(self.announced, target_id):
            notice = DrainNotice(service_name, target_id, True)
            self.courier.broadcast(DRAIN_NOTICE, notice)

    def is_first(self, known, target_id):
        """Tell whether a target is not known yet, and remember it for a while."""
        now = self.clock.now()
        for other, until in list(known.items()):
            if until <= now:
                del known[other]
        if target_id in known:
            return False
        known[target_id] = now + DRAIN_NOTICE_TTL_S
        return True
