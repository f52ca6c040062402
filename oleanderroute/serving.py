"""Turns declarations and host lists into what requests are served by."""

from .decisions.admission import Admission, AdmissionLimits
from .decisions.budget import RetryBudget
from .decisions.detection import DetectionPool
from .decisions.service_router import ServiceRouter
from .decisions.subset import HostPlace, choose_subset
from .declaration.model import Target
from .entry.gate import Gate
from .entry.pipeline import ServingView
from .entry.route_table import RouteTable
from .entry.service_entry import ServiceEntry
from .platform.hostlist import EMPTY_HOST_LIST, MemberState


class Serving:
    """Owner of the service entries of this host.

    Parameters
    ----------
    identity : PeerIdentity
    pipeline : Pipeline
    pool : TargetPool
    reporter : Reporter
    clock : Clock
    rng : random.Random
    metrics : Metrics
    """

    def __init__(self, identity, pipeline, pool, reporter, clock, rng, metrics):
        self.identity = identity
        self.pipeline = pipeline
        self.pool = pool
        self.reporter = reporter
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.declaration = None
        self.revision = 0
        self.host_list = EMPTY_HOST_LIST
        self.entries = {}
        self.targets = {}
        self.leaving = set()
        self.busy_gates = set()
        self.aggregator = None

    def on_declaration(self, declaration, revision):
        """Bring a revision of the declaration into force."""
        self.declaration = declaration
        self.revision = revision
        entries = {}
        for name, service in declaration.services.items():
            entries[name] = self.entry_of(service)
        self.entries = entries
        self.apply_targets()
        self.reporter.set_services(entries)
        self.pipeline.set_view(ServingView(RouteTable(declaration), entries, revision))
        self.metrics.revision.set({}, revision)

    def entry_of(self, service):
        """Return the entry of a service; a changed service keeps what it learned."""
        entry = self.entries.get(service.name)
        if entry is not None and entry.service == service:
            return entry
        admission = Admission(service, AdmissionLimits(), self.clock)
        return ServiceEntry(
            service=service,
            router=ServiceRouter(
                service,
                self.identity.host_id,
                self.identity.failure_domain,
                self.clock,
                self.rng,
            ),
            gate=Gate(admission, self.clock, self.busy_gates),
            budget=RetryBudget(self.clock, self.rng),
        )

    def on_hosts(self, host_list):
        """Follow the targets of a new host list."""
        self.host_list = host_list
        self.apply_targets()

    def apply_targets(self):
        """Give each service the targets that it has now."""
        leaving = set()
        labelled = {}
        for entry in self.host_list.targets:
            if entry.state is MemberState.LEAVING:
                leaving.add(entry.target_id)
            target = Target(
                entry.target_id, entry.address, entry.port, entry.failure_domain
            )
            labelled.setdefault(entry.service, []).append(target)
        targets_of = {}
        for name, entry in self.entries.items():
            targets = list(entry.service.targets)
            if entry.service.target_label is not None:
                targets = labelled.get(entry.service.target_label, [])
            targets_of[name] = targets
            self.set_targets(entry, targets, leaving)
        self.targets = targets_of
        self.leaving = leaving
        if self.aggregator is not None:
            self.aggregator.follow_targets()

    def set_targets(self, entry, targets, leaving):
        """Give the router, the gate and the pool this host's subset of targets."""
        service = entry.service
        subset = choose_subset(
            self.own_place(),
            self.host_places(),
            targets,
            service.connections_per_target,
        )
        chosen_ids = set(subset.target_ids)
        chosen = [target for target in targets if target.target_id in chosen_ids]
        entry.router.set_targets(chosen, leaving, len(targets))
        entry.gate.admission.set_ceiling(len(chosen) * service.slots_per_target)
        for target in chosen:
            self.pool.set_connection_limit(target.target_id, subset.connections)

    def own_place(self):
        """Return this host as the subsetting sees it."""
        return HostPlace(self.identity.host_id, self.identity.failure_domain)

    def host_places(self):
        """Return the hosts among which the targets' connections are shared."""
        places = [self.own_place()]
        for host in self.host_list.hosts:
            if host.host_id != self.identity.host_id:
                places.append(HostPlace(host.host_id, host.failure_domain))
        return places

    def service_of(self, name):
        """Return the service of a name, or None."""
        entry = self.entries.get(name)
        return None if entry is None else entry.service

    def usable_targets(self, name):
        """Return the ids of the targets of a service that are not leaving."""
        usable = []
        for target in self.targets.get(name, ()):
            if target.target_id not in self.leaving:
                usable.append(target.target_id)
        return usable

    def make_detection_pool(self, name):
        """Return a new detection pool for a service, or None if it is unknown."""
        service = self.service_of(name)
        if service is None:
            return None
        pool = DetectionPool(service, self.clock, self.rng)
        self.update_detection_pool(name, pool)
        return pool

    def update_detection_pool(self, name, pool):
        """Give a detection pool the targets that its service has now."""
        target_ids = [target.target_id for target in self.targets.get(name, ())]
        pool.set_targets(target_ids, self.leaving & set(target_ids))

    def expire_queues(self):
        """Refuse the waiting requests that can't finish in time any more."""
        for gate in list(self.busy_gates):
            gate.expire()
