"""The state of one host without its connections and tasks."""

from types import SimpleNamespace

from oleanderroute.host.fleetview import FleetView
from oleanderroute.host.model import HostSettings
from oleanderroute.platform import documents


def make_view(clock):
    settings = HostSettings(
        host_id="h1",
        address="127.0.0.1",
        failure_domain="mvd-a",
        region="montevideo",
        caller_port=1,
        readiness_port=2,
        control_port=3,
        gossip_port=4,
        seeds=(),
        store_address="127.0.0.1:5",
        min_lease_s=1.0,
        retry_ratio=0.2,
        retry_allowance=100.0,
        retry_window_s=10.0,
        stop_grace_s=6.0,
    )
    pool = SimpleNamespace(
        set_connection_limit=lambda target_id, limit: None,
        close_target=lambda target_id: None,
    )
    return FleetView(settings, documents, clock, pool)
