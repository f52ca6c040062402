"""Applies the findings of other hosts that a datagram holds."""

from .. import events
from ..decisions.health import Finding
from ..errors import MessageRejected
from .gossip_checks import check_observation

FINDINGS = {int(finding): finding for finding in Finding}


class ObservationReceiver:
    """Applies the observations of received datagrams.

    Parameters
    ----------
    view : FleetView
    membership : GossipMembership
    incarnation : int
        Of this process, in its announcements.
    reject : callable
        Called with the source and the error of an observation out of range.
    """

    def __init__(self, view, membership, incarnation, reject):
        self.view = view
        self.membership = membership
        self.incarnation = incarnation
        self.reject = reject
        # The size is bounded, as the field has 16 bits.
        self.unknown_kinds = set()

    def apply_all(self, message, now):
        """Apply the findings of a message and leave out those out of range."""
        accepted = []
        for observation in message.observations or ():
            if observation.host_id is None:
                observation.host_id = message.host_id
            try:
                check_observation(observation)
            except MessageRejected as error:
                self.reject(observation.host_id, error)
                continue
            accepted.append(observation)
            self.apply(observation, now)
        message.observations = accepted

    def apply(self, observation, now):
        """Apply a finding of another host."""
        own_id = self.view.settings.host_id
        finding = FINDINGS.get(observation.kind)
        if finding is None:
            self.log_unknown_kind(observation)
            return
        if observation.workspace is not None:
            self.apply_announcement(observation, own_id)
        if observation.host_id == own_id:
            return
        if finding is Finding.LEAVING:
            if observation.target_started_ms is not None:
                self.view.record_leaving(
                    observation.target_id,
                    observation.target_started_ms,
                    observation.host_id,
                )
            return
        latency_s = None
        if observation.latency_ms is not None:
            latency_s = observation.latency_ms / 1000
        load = None
        if observation.in_system is not None and observation.slots is not None:
            load = (observation.in_system, observation.slots)
        sent_at = now - observation.age_ms / 1000
        sender = (observation.host_id, observation.send_number)
        count = None
        if observation.incarnation is not None and observation.count is not None:
            count = (observation.incarnation, observation.count)
        self.membership.last_seen_at[observation.host_id] = now
        self.view.observe(
            observation.target_id, finding, sent_at, sender, latency_s, load, count
        )

    def log_unknown_kind(self, observation):
        """Log the first finding of a kind that this version does not know."""
        if observation.kind in self.unknown_kinds:
            return
        self.unknown_kinds.add(observation.kind)
        events.FINDING_UNKNOWN.log(sender=observation.host_id, kind=observation.kind)

    def apply_announcement(self, observation, own_id):
        """Apply a request of a workspace, or that the hub has forwarded an own one."""
        limits = self.view.rate_limits
        workspace = observation.workspace
        count = observation.workspace_count
        if observation.host_id != own_id:
            limits.apply(observation.host_id, workspace, observation.incarnation, count)
        elif observation.incarnation == self.incarnation:
            limits.record_echo(workspace, count)
