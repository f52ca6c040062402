"""Effects of a degraded or recovering service on its dependants and its fallback."""

from dataclasses import dataclass
from enum import Enum, auto

from ..ids import ServiceName
from .chart import read_chart
from .verdict import TargetState

# Hysteresis between the health states, as shares of full capacity.
SICK_SHARE = 0.5
IMPROVED_SHARE = 0.7
RECOVERED_SHARE = 0.9
IMPROVED_AFTER_S = 2.0
RECOVERED_AFTER_S = 5.0
# Some requests of a dependant do not use the dependency.
ADMISSION_MIN = 0.2
# A single late verdict must not divert the traffic of a whole service.
DIVERT_AFTER_S = 1.0
# Traffic returns only at a capacity above the floor; at the floor, the first returning
# request would push the service below it again.
RETURN_MARGIN = 1.2
RETURN_AFTER_S = 10.0


class DependencyHealth(Enum):
    """State of a service as its dependants see it."""

    WELL = auto()
    SICK = auto()
    RECOVERING = auto()


class DependencyEvent(Enum):
    """Events of the state chart ``dependency.json``."""

    SICKEN = auto()
    IMPROVE = auto()
    RECOVER = auto()


class FallbackState(Enum):
    """Routing state of a service that has a fallback."""

    HOME = auto()
    DIVERTED = auto()
    RETURNING = auto()


class FallbackEvent(Enum):
    """Events of the state chart ``fallback.json``."""

    DIVERT = auto()
    RETURN = auto()
    ARRIVE = auto()


DEPENDENCY_CHART = read_chart("dependency.json", DependencyHealth, DependencyEvent)
FALLBACK_CHART = read_chart("fallback.json", FallbackState, FallbackEvent)


@dataclass(frozen=True, slots=True)
class ServiceState:
    """Capacity of one service at one moment.

    Attributes
    ----------
    serving_slots : float
        Slots of serving targets; a ramping target counts by its weight.
    total_slots : int
        Slots of all targets that are not leaving.
    floor_slots : int
    """

    serving_slots: float
    total_slots: int
    floor_slots: int

    @property
    def healthy_share(self):
        """Serving share of the slots, between 0 and 1."""
        if self.total_slots == 0:
            return 0.0
        return self.serving_slots / self.total_slots

    @property
    def is_below_floor(self):
        """Whether fewer slots serve than the floor set by operators."""
        return self.serving_slots < self.floor_slots


def service_state(service, verdicts):
    """Return the `ServiceState` that a list of verdicts describes."""
    serving = 0.0
    total = 0
    for verdict in verdicts:
        if verdict.state is TargetState.LEAVING:
            continue
        total += service.slots_per_target
        if verdict.state in (TargetState.EJECTED, TargetState.PROBATION):
            continue
        serving += verdict.weight * service.slots_per_target
    return ServiceState(serving, total, service.floor_slots)


class AdmissionCause(Enum):
    """Why the admission of a service is limited."""

    NONE = "not limited"
    DEPENDENCY_RECOVERS = "a dependency recovers"


@dataclass(frozen=True, slots=True)
class AdmissionShare:
    """Share of its requests that a service admits, and the limiting dependency."""

    share: float = 1.0
    cause: AdmissionCause = AdmissionCause.NONE
    dependency: ServiceName | None = None


class RoutingCause(Enum):
    """Why traffic goes to a fallback, or why it does not."""

    HOME = "the service serves itself"
    BELOW_FLOOR = "the service is below its floor"
    RETURNING = "the service takes its traffic back"
    FALLBACK_SICK = "the fallback is below its floor as well"


@dataclass(frozen=True, slots=True)
class FallbackDecision:
    """Share of a service's traffic that goes to its fallback."""

    share: float
    fallback: ServiceName | None
    cause: RoutingCause


@dataclass
class ServiceCondition:
    """State of one service that is kept between updates."""

    state: ServiceState
    health: DependencyHealth = DependencyHealth.WELL
    improved_since: float | None = None
    route: FallbackState = FallbackState.HOME
    route_since: float = 0.0
    below_since: float | None = None
    above_since: float | None = None


class DependencyTracker:
    """Tracks the health and the fallback routing of all services.

    Parameters
    ----------
    services : dict of ServiceName to Service
        Their dependencies have no cycles; the declaration's loader checks that.
    """

    def __init__(self, services):
        self.services = services
        self.conditions = {}

    def update(self, name, state, now):
        """Apply the `ServiceState` of a service.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        condition = self.conditions.get(name)
        if condition is None:
            condition = self.conditions[name] = ServiceCondition(state)
        condition.state = state
        self._update_health(condition, now)
        self._update_route(self.services[name], condition, now)

    def admission_share(self, name):
        """Return the `AdmissionShare` of a service.

        While a dependency is sick its dependants are not limited, because their
        requests may not need it. While it recovers, the share grows with its capacity.
        """
        strictest = AdmissionShare()
        for dependency in self._all_dependencies(name):
            condition = self.conditions.get(dependency)
            if condition is None or condition.health is not DependencyHealth.RECOVERING:
                continue
            share = min(1.0, condition.state.healthy_share / RECOVERED_SHARE)
            share = max(ADMISSION_MIN, share)
            if share < strictest.share:
                cause = AdmissionCause.DEPENDENCY_RECOVERS
                strictest = AdmissionShare(share, cause, dependency)
        return strictest

    def is_ejection_suppressed(self, name):
        """Tell whether failing dependencies may make targets look faulty."""
        for dependency in self._all_dependencies(name):
            condition = self.conditions.get(dependency)
            if condition is None:
                continue
            if condition.health is not DependencyHealth.WELL:
                return True
        return False

    def fallback(self, name, now):
        """Return the `FallbackDecision` of a service."""
        service = self.services[name]
        condition = self.conditions.get(name)
        if service.fallback is None or condition is None:
            return FallbackDecision(0.0, service.fallback, RoutingCause.HOME)
        if condition.route is FallbackState.HOME:
            return FallbackDecision(0.0, service.fallback, RoutingCause.HOME)
        other = self.conditions.get(service.fallback)
        if other is not None and other.state.is_below_floor:
            cause = RoutingCause.FALLBACK_SICK
            return FallbackDecision(0.0, service.fallback, cause)
        if condition.route is FallbackState.DIVERTED:
            cause = RoutingCause.BELOW_FLOOR
            return FallbackDecision(1.0, service.fallback, cause)
        left = 1.0 - self._return_progress(service, condition, now)
        return FallbackDecision(left, service.fallback, RoutingCause.RETURNING)

    def _all_dependencies(self, name):
        found = []
        pending = list(self.services[name].depends_on)
        while pending:
            dependency = pending.pop()
            if dependency in found or dependency not in self.services:
                continue
            found.append(dependency)
            pending.extend(self.services[dependency].depends_on)
        return found

    def _update_health(self, condition, now):
        share = condition.state.healthy_share
        if condition.health is not DependencyHealth.SICK and share < SICK_SHARE:
            self._transition_health(condition, DependencyEvent.SICKEN)
        elif condition.health is DependencyHealth.SICK:
            if _improvement_lasted(
                condition, share >= IMPROVED_SHARE, IMPROVED_AFTER_S, now
            ):
                self._transition_health(condition, DependencyEvent.IMPROVE)
        elif condition.health is DependencyHealth.RECOVERING:
            if _improvement_lasted(
                condition, share >= RECOVERED_SHARE, RECOVERED_AFTER_S, now
            ):
                self._transition_health(condition, DependencyEvent.RECOVER)

    def _transition_health(self, condition, event):
        condition.health = DEPENDENCY_CHART.next(condition.health, event)
        condition.improved_since = None

    def _update_route(self, service, condition, now):
        if service.fallback is None:
            return
        state = condition.state
        condition.below_since = _updated_since(
            condition.below_since, state.is_below_floor, now
        )
        wanted = min(state.floor_slots * RETURN_MARGIN, state.total_slots)
        is_above = not state.is_below_floor and state.serving_slots >= wanted
        condition.above_since = _updated_since(condition.above_since, is_above, now)
        if condition.route is not FallbackState.DIVERTED:
            if _has_lasted(condition.below_since, DIVERT_AFTER_S, now):
                self._transition_route(condition, FallbackEvent.DIVERT, now)
            elif condition.route is FallbackState.RETURNING:
                if self._return_progress(service, condition, now) >= 1.0:
                    self._transition_route(condition, FallbackEvent.ARRIVE, now)
        elif _has_lasted(condition.above_since, RETURN_AFTER_S, now):
            self._transition_route(condition, FallbackEvent.RETURN, now)

    def _transition_route(self, condition, event, now):
        condition.route = FALLBACK_CHART.next(condition.route, event)
        condition.route_since = now

    def _return_progress(self, service, condition, now):
        if service.ramp_s <= 0:
            return 1.0
        return min(1.0, (now - condition.route_since) / service.ramp_s)


def _improvement_lasted(condition, is_better, minimum_s, now):
    condition.improved_since = _updated_since(condition.improved_since, is_better, now)
    return _has_lasted(condition.improved_since, minimum_s, now)


def _updated_since(since, holds, now):
    """Return since when a condition holds without interruption, or None."""
    if not holds:
        return None
    return now if since is None else since


def _has_lasted(since, minimum_s, now):
    return since is not None and now - since >= minimum_s
