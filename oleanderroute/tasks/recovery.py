"""Follows dependencies between services, and moves traffic to fallbacks."""

import asyncio

from .. import events
from ..decisions.dependencies import DependencyTracker, ServiceState, service_state
from .base import DaemonTask

UPDATE_PERIOD_S = 0.5


class RecoveryTask(DaemonTask):
    """Applies what the state of one service means for the others.

    Parameters
    ----------
    serving : Serving
    aggregator : Aggregator
    clock : Clock
    rng : random.Random

    Attributes
    ----------
    diversions : dict
        Service name to the ``FallbackDecision`` that moves some of its traffic.
    """

    def __init__(self, serving, aggregator, clock, rng):
        self.serving = serving
        self.aggregator = aggregator
        self.clock = clock
        self.rng = rng
        self.dependencies = None
        self.services = {}
        self.watched = frozenset()
        self.diversions = {}

    async def run(self):
        """Update periodically until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_PERIOD_S)
            self.update()

    def update(self):
        """Take over the states of the services that others lean on."""
        self.follow_declaration()
        now = self.clock.now()
        for name in self.watched:
            entry = self.serving.entries[name]
            self.dependencies.update(name, self.state_of(entry), now)
        for name in self.watched:
            self.apply(name, now)

    def follow_declaration(self):
        """Start anew when the declared services have changed."""
        services = {}
        for name, entry in self.serving.entries.items():
            services[name] = entry.service
        if services == self.services:
            return
        self.services = services
        self.dependencies = DependencyTracker(services)
        self.diversions = {}
        watched = set()
        for name, service in services.items():
            if not service.depends_on and service.fallback is None:
                continue
            watched.add(name)
            watched.update(service.depends_on)
            if service.fallback is not None:
                watched.add(service.fallback)
        self.watched = frozenset(watched)

    def state_of(self, entry):
        """Return the capacity of a service as this host sees it.

        The floor is scaled to the subset of targets that this host uses.
        """
        service = entry.service
        state = service_state(service, entry.router.views.values())
        all_targets = len(self.serving.targets.get(service.name, ()))
        own_targets = len(entry.router.views)
        if not all_targets or own_targets == all_targets:
            return state
        floor = service.floor_slots * own_targets / all_targets
        return ServiceState(state.serving_slots, state.total_slots, floor)

    def apply(self, name, now):
        """Set admission, ejection and diversion of one service."""
        share = self.dependencies.admission_share(name)
        self.serving.entries[name].admission_queue.admission.set_share(share.share)
        pool = self.aggregator.pools.get(name)
        if pool is not None:
            is_sick = self.dependencies.is_ejection_suppressed(name)
            pool.pool.set_dependency_sick(is_sick)
        decision = self.dependencies.fallback(name, now)
        known = self.diversions.get(name)
        if known is None or known.cause is not decision.cause:
            self.note(name, known, decision)
        self.diversions[name] = decision

    def note(self, name, known, decision):
        """Log a change of where a service's traffic goes."""
        if known is None and decision.share == 0.0:
            return
        events.TRAFFIC_DIVERTED.log(
            service=name,
            fallback=decision.fallback,
            share=decision.share,
            reason=decision.cause.value,
        )

    def service_for(self, name):
        """Return the service that takes a request for ``name`` now."""
        decision = self.diversions.get(name)
        if decision is None or decision.share == 0.0:
            return name
        if self.rng.random() >= decision.share:
            return name
        return decision.fallback
