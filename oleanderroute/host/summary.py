"""Periodic log lines about the traffic between hosts and the repeat limit."""

from .. import events

SUMMARY_INTERVAL_S = 5.0
RATE_LIMIT_RESULTS = ("admitted", "refused", "returned")


class SummaryLog:
    """Logs, at a fixed interval, what other decisions of a host rest on.

    Parameters
    ----------
    view : FleetView
    gossip : GossipTask
    metrics : HostMetrics
    store : KvClient
    """

    def __init__(self, view, gossip, metrics, store):
        self.view = view
        self.store = store
        self.gossip = gossip
        self.metrics = metrics
        self.due_at = view.started_at + SUMMARY_INTERVAL_S
        self.sent = (0, 0)
        self.received = (0, 0)
        self.belief_changes = 0
        self.rate_limits = (0, 0, 0)

    def update(self, now):
        """Write the lines and set the metrics if the interval has passed."""
        if now < self.due_at:
            return
        self.due_at = now + SUMMARY_INTERVAL_S
        self.summarize_gossip()
        self.count_histories()
        self.summarize_beliefs()
        self.summarize_rate_limits()
        for service, allowance in self.view.allowances.items():
            self.summarize_repeats(service, allowance, now)

    def summarize_gossip(self):
        """Log the datagrams since the last line."""
        sent, received = self.gossip.sent, self.gossip.received
        events.GOSSIP_SUMMARY.log(
            sent=sent.datagrams - self.sent[0],
            sent_bytes=sent.size - self.sent[1],
            received=received.datagrams - self.received[0],
            received_bytes=received.size - self.received[1],
            is_hub=self.gossip.membership.is_hub,
        )
        self.sent = (sent.datagrams, sent.size)
        self.received = (received.datagrams, received.size)
        self.metrics.gossip_bytes.set({"direction": "sent"}, sent.size)
        self.metrics.gossip_bytes.set({"direction": "received"}, received.size)
        self.metrics.replica_differences.set({}, self.gossip.agreement.found)

    def count_histories(self):
        """Set the metrics about the histories of the store."""
        news = self.view.news
        self.metrics.store_era.set({}, self.view.replica.revision.era)
        self.metrics.store_histories.set({}, news.histories_entered)
        self.metrics.kept_states.set({}, len(news.kept.by_key))
        self.metrics.unreadable_eras.set({}, self.store.unreadable_eras)

    def summarize_beliefs(self):
        """Log how many targets are thought to be gray, and the changes of that."""
        changes = self.view.belief_changes
        events.BELIEFS_COUNTED.log(
            targets=len(self.view.targets),
            gray=self.view.count_gray_targets(),
            changes=changes - self.belief_changes,
        )
        self.belief_changes = changes

    def summarize_rate_limits(self):
        """Log the admissions under the rate limits of workspaces, if there were any."""
        limits = self.view.rate_limits
        totals = (limits.admitted, limits.refused, limits.returned)
        contact = limits.limiter.contact
        for result, total in zip(RATE_LIMIT_RESULTS, totals, strict=True):
            self.metrics.rate_limited.set({"result": result}, total)
        self.metrics.rate_limit_lost_hosts.set({}, len(contact.lost))
        if totals == self.rate_limits:
            return
        admitted, refused, returned = self.rate_limits
        self.rate_limits = totals
        events.RATE_LIMITS_COUNTED.log(
            admitted=limits.admitted - admitted,
            refused=limits.refused - refused,
            returned=limits.returned - returned,
            workspaces=len(limits.limiter.buckets),
            most_refused=limits.pop_refused(),
            lost=len(contact.lost),
            known=contact.known_count,
        )

    def summarize_repeats(self, service, allowance, now):
        """Log how many sends to a service are counted in the window."""
        live = self.gossip.membership.live_host_count()
        known = self.view.host_count
        allowance.expire(now)
        counted = allowance.all_sends
        own = allowance.own_sends
        missed = self.view.remote_counts.missed
        events.REPEATS_COUNTED.log(
            service=service,
            first=len(counted.first_sends),
            repeats=len(counted.repeats),
            own_first=len(own.first_sends),
            own_repeats=len(own.repeats),
            earlier_repeats=len(allowance.earlier_sends.repeats),
            missed=missed,
            limit=int(allowance.limit(live, known, now)),
            live=live,
            known=known,
        )
        self.metrics.sends_missed.set({}, missed)
        for sender, window in (("all", counted), ("own", own)):
            for kind, sends in (
                ("first", window.first_sends),
                ("repeat", window.repeats),
            ):
                labels = {"service": service, "kind": kind, "sender": sender}
                self.metrics.counted_sends.set(labels, len(sends))
