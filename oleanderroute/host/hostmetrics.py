"""Counters and latency histograms of one host. Units are part of the names."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from .refusal import HostReason

# Upper bounds; the latency objectives of routes lie between 0.4 and 2 s.
BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]
SHEDDING_REASONS = frozenset({HostReason.SHED.value, HostReason.NO_ROOM.value})


class HostMetrics:
    """Collectors of one host, in a separate registry."""

    def __init__(self):
        self.registry = Registry()
        registry = self.registry
        self.requests = Counter(
            "oleander_host_requests_total",
            "Requests of callers by service, status and reason.",
            registry=registry,
        )
        self.request_seconds = Histogram(
            "oleander_host_request_duration_seconds",
            "Time from a request's headers to its answer, by service.",
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.sends = Counter(
            "oleander_host_sends_total",
            "Sends to targets by service and result.",
            registry=registry,
        )
        self.shed = Counter(
            "oleander_host_requests_shed_total",
            "Requests refused under overload by service, priority and reason.",
            registry=registry,
        )
        self.store_calls = Counter(
            "oleander_host_store_calls_total",
            "Calls to the platform's store by name.",
            registry=registry,
        )
        self.version = Gauge(
            "oleander_host_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.workspaces = Gauge(
            "oleander_host_workspaces",
            "Workspaces of the configuration in force.",
            registry=registry,
        )
        self.log_lines_dropped = Gauge(
            "oleander_host_log_lines_dropped",
            "Log lines dropped because their reader was too slow.",
            registry=registry,
        )

        self.gossip_bytes = Gauge(
            "oleander_host_gossip_bytes",
            "Bytes of datagrams to other hosts since the start, by direction.",
            registry=registry,
        )
        self.sends_missed = Gauge(
            "oleander_host_remote_sends_missed",
            "Sends of other hosts since the start whose own finding did not arrive.",
            registry=registry,
        )
        self.replica_differences = Gauge(
            "oleander_host_replica_differences",
            "Times since the start that another host at the same revision of the "
            "store had other items.",
            registry=registry,
        )
        self.store_era = Gauge(
            "oleander_host_store_era",
            "Era of the store's history that this host knows; 0 if it names none.",
            registry=registry,
        )
        self.store_histories = Gauge(
            "oleander_host_store_histories_entered",
            "Times since the start that the store came back from an older copy.",
            registry=registry,
        )
        self.kept_states = Gauge(
            "oleander_host_kept_states",
            "Keys whose newer state stays in use against the store's copy.",
            registry=registry,
        )
        self.unreadable_eras = Gauge(
            "oleander_host_unreadable_eras",
            "Answers of the store since the start without a readable era.",
            registry=registry,
        )
        self.memory_held = Gauge(
            "oleander_host_memory_held_bytes",
            "Bytes that requests and connections hold of the memory budget.",
            registry=registry,
        )
        self.memory_limit = Gauge(
            "oleander_host_memory_limit_bytes",
            "The memory budget: what requests and connections may hold.",
            registry=registry,
        )
        self.memory_refusals = Counter(
            "oleander_host_memory_refusals_total",
            "Requests refused or cut off for the memory they hold, by what they "
            "waited for.",
            registry=registry,
        )
        self.counted_sends = Gauge(
            "oleander_host_counted_sends",
            "Sends in the window of the repeat limit, by service, kind and sender.",
            registry=registry,
        )
        self.rate_limited = Gauge(
            "oleander_host_rate_limited_requests",
            "Requests of workspaces with a rate limit since the start, by result.",
            registry=registry,
        )
        self.rate_limit_lost_hosts = Gauge(
            "oleander_host_rate_limit_lost_hosts",
            "Hosts whose announcements for the rate limits do not arrive here.",
            registry=registry,
        )

    def request_finished(self, exchange, answer, elapsed_s):
        """Count a request and its sends."""
        service = exchange.service
        self.requests.inc(
            {
                "service": service,
                "status": str(answer.status),
                "reason": answer.reason,
            }
        )
        if answer.reason in SHEDDING_REASONS:
            self.shed.inc(
                {
                    "service": service,
                    "priority": str(exchange.priority),
                    "reason": answer.reason,
                }
            )
        self.request_seconds.observe({"service": service}, elapsed_s)
        for record in exchange.sends:
            self.sends.inc({"service": service, "result": record.result_name})

    def request_refused(self, reason):
        """Count a request that has no route."""
        self.requests.inc({"service": "", "status": "", "reason": reason.value})

    def store_called(self, name):
        """Count a call to the store."""
        self.store_calls.inc({"call": name})
