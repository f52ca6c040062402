"""The choice of targets before open sends counted in it, for comparison."""

from math import exp

from oleanderroute.decisions.selection import (
    COLD_LOSS,
    CONNECT_LOSS,
    CROSS_DOMAIN_LOSS,
    CROSS_DOMAIN_LOSS_PER_MB,
    LATE_LOSS,
    Selector,
    TargetView,
)

SEND_TIMEOUT_S = 1.0


class EarlierTargetView(TargetView):
    """Drops each send of another host after one second."""

    def record_remote_send(self, send, started_at, now=None):
        self.remote_sends.timeout_s = SEND_TIMEOUT_S
        super().record_remote_send(send, started_at, now)

    def in_system(self, now, drain_s):
        age_s = max(0.0, now - self.reported_at)
        reported = self.reported_in_system * exp(-age_s / max(0.01, drain_s))
        sends = self.own_in_flight
        for sent_at in self.remote_sends.started_at.values():
            if now - sent_at < SEND_TIMEOUT_S:
                sends += 1
        return max(reported, float(sends))

    def wait_s(self, now, service_s):
        excess = self.in_system(now, service_s) + 1.0 - self.entry.slots
        return max(0.0, excess) * service_s / self.entry.slots


class EarlierSelector(Selector):
    """Takes open sends for load only."""

    def expected_loss(self, view, latencies, request_profile, now):
        objective_s = request_profile.objective_s
        fails = view.health.failure_probability(now)
        wait_s = view.wait_s(now, latencies.service_s)
        late = latencies.share_above(objective_s - wait_s) if wait_s else 0.0
        loss = fails + (1.0 - fails) * LATE_LOSS * late
        loss += 0.1 * wait_s / objective_s
        if view.cold_until > now:
            loss += COLD_LOSS
        if view.entry.failure_domain != self.failure_domain:
            loss += (
                CROSS_DOMAIN_LOSS + CROSS_DOMAIN_LOSS_PER_MB * request_profile.megabytes
            )
        if not request_profile.is_connected(view.entry.target_id):
            loss += CONNECT_LOSS
        return loss
