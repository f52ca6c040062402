"""Wires the parts of one host together."""

import asyncio
import random
import secrets
from abc import ABC, abstractmethod

from .clock import SystemClock
from .decisions.claims import CLAIM_LIFETIME_S, ClaimLimits, ClaimTable, HolderView
from .decisions.quarantine import Quarantine
from .entry.app import CallerApplication
from .entry.attempts import AttemptRunner
from .entry.caller_protocol import CallerLimits
from .entry.pipeline import Pipeline
from .entry.server import CallerServer
from .entry.target_pool import TargetPool
from .metrics import Metrics
from .operator.burn import BurnLedger
from .operator.incidents import IncidentLog
from .peer.client import PeerClient
from .peer.envelope import PeerIdentity
from .peer.links import LinkFilter
from .peer.server import PeerServer
from .platform.hostlist import HostEntry, MemberState
from .platform.store import StoreClient
from .serving import Serving
from .tasks.aggregator import Aggregator
from .tasks.bootstrap import BootstrapTask
from .tasks.claimclient import ClaimClient
from .tasks.claimservice import ClaimHolder
from .tasks.claimviews import ClaimViews
from .tasks.configuration import ConfigurationTask
from .tasks.crashreports import CrashReporter
from .tasks.distribution import Distribution, seed_addresses
from .tasks.drainreports import DrainReporter
from .tasks.hosts import HostListTask
from .tasks.listconfirmation import ConfirmingHostListClient
from .tasks.messenger import Messenger
from .tasks.notices import NoticeCourier
from .tasks.recovery import RecoveryTask
from .tasks.reporter import Reporter
from .tasks.slotleases import SlotClient, SlotCoordinator
from .topology import Topology

INCARNATION_BITS = 48


class HostParts(ABC):
    """All parts of one host, wired together.

    The daemon adds what connects them to messages and to the life cycle.

    Parameters
    ----------
    settings : Settings
    clock : Clock
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = random.Random(secrets.randbits(64))
        self.started_at = self.clock.now()
        self.is_draining = False
        self.stop_requested = asyncio.Event()
        self.metrics = Metrics()
        self.link_filter = LinkFilter()
        self.identity = PeerIdentity(
            settings.fleet,
            settings.host_id,
            secrets.randbits(INCARNATION_BITS),
            settings.failure_domain,
            settings.region,
        )
        self.build_peers()
        self.build_claims()
        self.build_serving()
        self.build_configuration()
        self.register_messages()

    def build_peers(self):
        """Make the peer port, the peer client and the view of the fleet."""
        settings = self.settings
        self.topology = Topology(self.own_entry(), self.clock)
        self.peer_server = PeerServer(
            settings.fleet,
            self.header,
            self.on_header,
            self.link_filter,
            settings.peer.allowed_networks,
            self.metrics,
        )
        self.peer_client = PeerClient(
            settings.fleet,
            self.header,
            self.on_header,
            self.on_reply,
            self.link_filter,
            self.clock,
            self.metrics,
        )
        self.messenger = Messenger(
            self.topology, self.peer_client, self.peer_server, self.header
        )

    def own_entry(self):
        """Return this host as the host list would show it."""
        settings = self.settings
        return HostEntry(
            settings.host_id,
            settings.peer.address,
            settings.caller.port,
            settings.peer.port,
            settings.operator.port,
            settings.failure_domain,
            settings.region,
            MemberState.LIVE,
        )

    def build_claims(self):
        """Make both sides of at-most-once claims."""
        limits = ClaimLimits()
        self.holder_view = HolderView(
            self.identity.host_id,
            self.identity.incarnation,
            CLAIM_LIFETIME_S,
            self.started_at,
            limits,
        )
        self.claim_table = ClaimTable(
            CLAIM_LIFETIME_S, limits, self.clock, self.holder_view
        )
        self.claim_holder = ClaimHolder(self.claim_table, self.clock, self.metrics)
        self.claim_views = ClaimViews(self.holder_view, self.identity.region)
        self.claims = ClaimClient(
            self.claim_views,
            self.topology,
            self.messenger,
            CLAIM_LIFETIME_S,
            limits,
            self.clock,
        )

    def build_serving(self):
        """Make the path of requests and the decisions on it."""
        identity = self.identity
        self.burn = BurnLedger(self.clock)
        self.incidents = IncidentLog()
        self.target_pool = TargetPool(
            identity.host_id, identity.failure_domain, self.clock
        )
        self.reporter = Reporter(self.topology, self.messenger, self.clock)
        self.quarantine = Quarantine(self.clock)
        courier = NoticeCourier(self.topology, self.messenger)
        self.crashes = CrashReporter(
            self.quarantine, self.topology, courier, self.clock
        )
        self.drains = DrainReporter(self.topology, courier, self.clock)
        self.slot_client = SlotClient(self.topology, self.messenger)
        runner = AttemptRunner(
            self.target_pool,
            self.slot_client,
            self.reporter,
            self.crashes,
            self.drains,
            identity,
            self.clock,
            self.metrics,
        )
        self.pipeline = Pipeline(
            self.claims, self.quarantine, runner, self.clock, self.metrics, self.burn
        )
        self.serving = Serving(
            identity,
            self.pipeline,
            self.target_pool,
            self.reporter,
            self.clock,
            self.rng,
            self.metrics,
        )
        self.aggregator = Aggregator(self.serving, self.clock, self.metrics)
        self.serving.aggregator = self.aggregator
        self.crashes.clear_crash_failures = self.aggregator.clear_crash_failures
        self.drains.mark_draining = self.serving.mark_draining
        self.recovery = RecoveryTask(
            self.serving, self.aggregator, self.clock, self.rng
        )
        self.pipeline.service_for = self.recovery.service_for
        self.slot_coordinator = SlotCoordinator(
            self.topology,
            self.serving.service_of,
            self.serving.usable_targets,
            self.clock,
        )
        self.caller_server = CallerServer(
            CallerApplication(self.pipeline, self.clock),
            self.settings.caller.address,
            self.settings.caller.port,
            caller_limits(self.settings.caller),
            self.clock,
        )

    def build_configuration(self):
        """Make the tasks that follow the declaration and the host list."""
        settings = self.settings
        self.store = StoreClient(settings.platform.url, self.clock, self.metrics)
        self.distribution = Distribution(
            settings.host_id,
            settings.failure_domain,
            seed_addresses(settings.peers_seed),
            self.rng,
            self.clock,
        )
        self.configuration = ConfigurationTask(
            self.distribution,
            self.store,
            self.peer_client,
            self.clock,
            self.rng,
            self.on_declaration,
            self.metrics,
        )
        self.host_list = HostListTask(
            self.distribution,
            ConfirmingHostListClient(self.store, self.clock, self.holder_view),
            self.peer_client,
            self.clock,
            self.rng,
            self.on_hosts,
        )
        self.bootstrap = BootstrapTask(
            self.identity,
            self.topology,
            self.messenger,
            self.store,
            self.holder_view,
            self.clock,
            self.rng,
        )

    def register_messages(self):
        """Route each kind of peer message to the task that owns its state."""
        server = self.peer_server
        self.configuration.register(server)
        self.host_list.register(server)
        self.claim_holder.register(server)
        self.crashes.register(server)
        self.drains.register(server)
        self.slot_coordinator.register(server)
        server.register("outcome_report", self.aggregator.receive_report)
        server.register("status_request", self.answer_status)

    @abstractmethod
    def header(self):
        """Return the header of a message sent now."""

    @abstractmethod
    def on_header(self, header):
        """Learn of newer revisions and host lists from any peer message."""

    @abstractmethod
    def on_reply(self, header, sent_at):
        """Take note of a reply to a request sent at ``sent_at``."""

    @abstractmethod
    def answer_status(self, request, header):
        """Answer a status request of a peer."""

    @abstractmethod
    def on_declaration(self, declaration, revision):
        """Bring a declaration into force."""

    @abstractmethod
    def on_hosts(self, host_list):
        """Follow a new host list."""


def caller_limits(settings):
    """Return the limits of the caller port from its settings."""
    limits = settings.limits
    return CallerLimits(
        connections=limits.max_connections,
        header_bytes=limits.max_header_bytes,
        header_s=limits.header_timeout_s,
        body_read_timeout_s=limits.body_idle_timeout_s,
    )
