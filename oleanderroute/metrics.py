"""Prometheus collectors of the daemon. Units are part of the names."""

from aioprometheus import Counter, Gauge, Histogram, Registry

# Upper bounds in seconds; the service-level objectives lie between 5 ms and 60 s.
LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 5, 30, 120]


class Metrics:
    """All collectors of one daemon, in a registry of its own."""

    def __init__(self):
        self.registry = Registry()
        self.requests = self._counter(
            "oleander_requests_total",
            "Requests of callers by service, class, outcome and reason.",
        )
        self.request_seconds = self._histogram(
            "oleander_request_duration_seconds",
            "Time from a request's first byte to its answer's last, by service, class.",
        )
        self.attempts = self._counter(
            "oleander_target_attempts_total", "Attempts by service and kind."
        )
        self.retries = self._counter(
            "oleander_target_retries_total", "Retries by service and reason."
        )
        self.queued = self._gauge(
            "oleander_queued_requests", "Requests that wait for a slot, by service."
        )
        self.ejected_targets = self._gauge(
            "oleander_ejected_targets", "Targets ejected in this view, by service."
        )
        self.targets = self._gauge(
            "oleander_targets", "Targets that this host may use, by service."
        )
        self.objective = self._gauge(
            "oleander_objective_success_ratio", "Declared objective, by service."
        )
        self.objective_requests = self._counter(
            "oleander_objective_requests_total",
            "Requests that met the objective or not, by service, class and result.",
        )
        self.store_available = self._gauge(
            "oleander_store_available", "1 unless the key-value service is out, else 0."
        )
        self.revision = self._gauge(
            "oleander_revision", "Revision of the declaration in force."
        )
        self.store_calls = self._counter(
            "oleander_store_calls_total", "Calls to the key-value service by cause."
        )
        self.peer_bytes_sent = self._counter(
            "oleander_peer_sent_bytes_total", "Bytes of peer messages by kind."
        )
        self.peer_messages_dropped = self._counter(
            "oleander_peer_messages_dropped_total", "Peer messages dropped by reason."
        )
        self.loop_delay = self._gauge(
            "oleander_event_loop_delay_seconds",
            "Longest delay of a timer in the last 10 s.",
        )
        self.claims_held = self._gauge(
            "oleander_claims", "At-most-once claims held by this host."
        )

    def _counter(self, name, description):
        return Counter(name, description, registry=self.registry)

    def _gauge(self, name, description):
        return Gauge(name, description, registry=self.registry)

    def _histogram(self, name, description):
        return Histogram(
            name, description, buckets=LATENCY_BUCKETS_S, registry=self.registry
        )
