"""Turns declarations and host lists into what requests are served by."""

import asyncio
from dataclasses import dataclass

from .decisions.admission import Admission, AdmissionLimits
from .decisions.budget import RetryBudget
from .decisions.detection import DetectionPool
from .decisions.service_router import ServiceRouter
from .decisions.subset import EligibleHosts, HostLocation, choose_subset
from .declaration.model import Target
from .entry.admission_queue import AdmissionQueue
from .entry.pipeline import ServingView
from .entry.route_table import RouteTable
from .entry.service_entry import ServiceEntry
from .platform.hostlist import EMPTY_HOST_LIST, MemberState
from .tasks.base import DaemonTask

# A request may wait for a slice, so it is short against the 1.7 ms allowed at p99.
SLICE_S = 0.0005


@dataclass(frozen=True, slots=True)
class TargetSet:
    """The targets of a service at one moment.

    Attributes
    ----------
    leaving : frozenset of TargetId
    signature : object
        What this host's subset depends on besides the targets.
    """

    targets: tuple[Target, ...]
    leaving: frozenset
    signature: object


class Serving(DaemonTask):
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
        self.leaving = frozenset()
        self.labelled = {}
        self.routes = None
        self.workspace_groups = None
        self.route_table = None
        self.census = EligibleHosts(self.host_places())
        self.applied = {}
        self.pending = {}
        self.changed = asyncio.Event()
        self.nonempty_queues = set()
        self.aggregator = None

    def on_declaration(self, declaration, revision):
        """Bring a revision of the declaration into force."""
        self.declaration = declaration
        self.revision = revision
        entries = {}
        for name, service in declaration.services.items():
            entries[name] = self.entry_of(service)
        self.entries = entries
        self.find_changes()
        self.reporter.set_services(entries)
        self.follow_routes(declaration)
        self.pipeline.set_view(ServingView(self.route_table, entries, revision))
        self.metrics.revision.set({}, revision)

    def follow_routes(self, declaration):
        """Make a new route table unless the routes and groups are the same objects."""
        routes, groups = declaration.routes, declaration.workspace_groups
        if routes is self.routes and groups is self.workspace_groups:
            return
        self.routes = routes
        self.workspace_groups = groups
        self.route_table = RouteTable(declaration)

    def entry_of(self, service):
        """Return the entry of a service; a changed service keeps what it learned."""
        entry = self.entries.get(service.name)
        if entry is None:
            return self.make_entry(service)
        if entry.service is not service and entry.service != service:
            entry.service = service
            entry.router.set_service(service)
            entry.admission_queue.admission.service = service
            self.applied.pop(service.name, None)
        return entry

    def make_entry(self, service):
        """Return the entry of a service that was just declared."""
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
            admission_queue=AdmissionQueue(admission, self.clock, self.nonempty_queues),
            budget=RetryBudget(self.clock, self.rng),
        )

    def on_hosts(self, host_list):
        """Follow the targets of a new host list."""
        self.host_list = host_list
        self.census = EligibleHosts(self.host_places())
        self.read_targets()
        self.find_changes()

    def read_targets(self):
        """Note the leaving targets and those of each label of the host list."""
        leaving = set()
        labelled = {}
        for target in self.host_list.targets:
            if target.state is MemberState.LEAVING:
                leaving.add(target.target_id)
            labelled.setdefault(target.service, []).append(target)
        self.leaving = frozenset(leaving)
        self.labelled = labelled

    def find_changes(self):
        """Note which services have other targets, or another subset, than before."""
        self.targets = {}
        for name, entry in self.entries.items():
            wanted = self.wanted_targets(entry.service)
            self.targets[name] = wanted.targets
            if self.applied.get(name) != wanted:
                self.pending[name] = wanted
        self.changed.set()

    def wanted_targets(self, service):
        """Return the ``TargetSet`` that a service has by now."""
        targets = service.targets
        if service.target_label is not None:
            targets = tuple(
                Target(one.target_id, one.address, one.port, one.failure_domain)
                for one in self.labelled.get(service.target_label, ())
            )
        leaving = frozenset()
        if self.leaving:
            ids = (target.target_id for target in targets)
            leaving = self.leaving.intersection(ids)
        signature = self.census.signature(targets, service.connections_per_target)
        return TargetSet(targets, leaving, signature)

    async def run(self):
        """Apply changes in short slices, so that requests are not held up."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while self.pending:
                self.apply_slice()
                # Half of the time stays with requests while changes are applied.
                await asyncio.sleep(SLICE_S)

    def apply_slice(self):
        """Apply pending changes for up to ``SLICE_S`` seconds."""
        end = self.clock.now() + SLICE_S
        while self.pending and self.clock.now() < end:
            name = self.next_pending()
            wanted = self.pending.pop(name)
            entry = self.entries.get(name)
            if entry is None:
                continue
            self.set_targets(entry, wanted)
            self.applied[name] = wanted
            if self.aggregator is not None:
                self.aggregator.follow_service(name)

    def next_pending(self):
        """Return a service to apply next: those with leaving targets go first."""
        for name, wanted in self.pending.items():
            applied = self.applied.get(name)
            if applied is not None and wanted.leaving != applied.leaving:
                return name
        return next(iter(self.pending))

    def set_targets(self, entry, wanted):
        """Give the router, the gate and the pool this host's subset of targets."""
        service = entry.service
        targets = wanted.targets
        subset = choose_subset(
            self.own_place(), self.census, targets, service.connections_per_target
        )
        chosen_ids = set(subset.target_ids)
        chosen = [target for target in targets if target.target_id in chosen_ids]
        entry.router.set_targets(chosen, wanted.leaving, len(targets))
        entry.admission_queue.admission.set_ceiling(
            len(chosen) * service.slots_per_target
        )
        for target in chosen:
            self.pool.set_connection_limit(target.target_id, subset.connections)

    def own_place(self):
        """Return this host as the subsetting sees it."""
        return HostLocation(self.identity.host_id, self.identity.failure_domain)

    def host_places(self):
        """Return the hosts among which the targets' connections are shared."""
        places = [self.own_place()]
        for host in self.host_list.hosts:
            if host.host_id != self.identity.host_id:
                places.append(HostLocation(host.host_id, host.failure_domain))
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

    def mark_draining(self, name, target_id):
        """Give a target that answered that it drains no new work."""
        entry = self.entries.get(name)
        if entry is None:
            return
        entry.router.mark_draining(target_id, self.clock.now())
        self.aggregator.mark_draining(name, target_id)

    def expire_queues(self):
        """Refuse the waiting requests that can't finish in time any more."""
        for admission_queue in list(self.nonempty_queues):
            admission_queue.expire()
