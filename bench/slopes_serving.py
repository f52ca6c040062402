"""A ``Serving`` without sockets, to measure what changes cost."""

import random

from oleanderroute.entry.target_pool import TargetPool
from oleanderroute.metrics import Metrics
from oleanderroute.peer.envelope import PeerIdentity
from oleanderroute.serving import Serving

FLEET = "fleet"


class QuietPipeline:
    """Takes the place of the pipeline; no requests come."""

    def __init__(self):
        self.view = None

    def set_view(self, view):
        """Keep the view."""
        self.view = view


class QuietReporter:
    """Takes the place of the reporter."""

    def __init__(self):
        self.entries = {}

    def set_services(self, entries):
        """Keep the services."""
        self.entries = entries


def make_identity():
    """Return the identity of a host of the full-size fleet."""
    return PeerIdentity(FLEET, "host-004", 0xABCDEF012345, "r2-a", "r2")


def make_serving(clock):
    """Return a ``Serving`` with its own target pool."""
    identity = make_identity()
    return Serving(
        identity,
        QuietPipeline(),
        TargetPool(identity.host_id, identity.failure_domain, clock),
        QuietReporter(),
        clock,
        random.Random(1),
        Metrics(),
    )
