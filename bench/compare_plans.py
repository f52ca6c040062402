"""Load plans of the comparison. Rates are per second, times in the names' unit."""

from dataclasses import dataclass, field

RESENDS = {
    "attempts": 3,
    "outcomes": ["not-run", "error"],
    "statuses": [502, 503, 504],
    "backoff_ms": 100.0,
}
NO_RESENDS = {"attempts": 1}


@dataclass(frozen=True, slots=True)
class DetectionPlan:
    """Steady lookups on both services while one target of each turns gray.

    ``window_s`` is also what counts for a fault that is never detected.
    """

    rate: float = 200.0
    work_ms: float = 40.0
    warm_s: float = 3.0
    window_s: float = 13.0
    gap_s: float = 2.0
    slow_factor: float = 20.0
    rounds: int = 3


@dataclass(frozen=True, slots=True)
class NoisePlan:
    """Healthy but noisy targets; each hiccup hits the whole service at once."""

    duration_s: float = 22.0
    rate: float = 200.0
    error_share: float = 0.005
    hiccups: tuple = ((5.0, "fail"), (11.0, "slow"), (17.0, "fail"))
    hiccup_s: float = 1.5
    hiccup_fail_share: float = 0.8
    hiccup_slow_factor: float = 10.0


@dataclass(frozen=True, slots=True)
class UploadPlan:
    """Quick lookups beside uploads that hold a slot many times longer."""

    repetitions: int = 3
    duration_s: float = 7.0
    quick_rate: float = 150.0
    quick_work_ms: float = 50.0
    upload_rate: float = 8.0
    upload_work_ms: tuple = (1000.0, 2000.0, 3000.0)


@dataclass(frozen=True, slots=True)
class CrestPlan:
    """Demand that rises fivefold within 3 s; 50 slots of 150 ms serve 333 a second."""

    repetitions: int = 3
    base_rate: float = 100.0
    work_ms: float = 150.0
    steps: tuple = ((1.5, 1.0), (1.0, 2.0), (1.0, 3.0), (1.0, 4.0), (3.5, 5.0))
    tail: tuple = (1.5, 1.0)


@dataclass(frozen=True, slots=True)
class OrderPlan:
    """Orders with a key while targets break or hold answers back and an entry dies."""

    duration_s: float = 6.0
    rate: float = 80.0
    work_ms: float = 50.0
    deadline_ms: float = 7000.0
    broken_targets: int = 3
    frozen_targets: int = 2
    break_share: float = 0.5
    kill_after_s: float = 3.0


@dataclass(frozen=True, slots=True)
class AddedPlan:
    """Small GETs in turn straight to the target and through each version."""

    repetitions: int = 3
    duration_s: float = 5.0
    rate: float = 90.0


@dataclass(frozen=True, slots=True)
class Plans:
    """All parts of one comparison."""

    detection: DetectionPlan = field(default_factory=DetectionPlan)
    noise: NoisePlan = field(default_factory=NoisePlan)
    uploads: UploadPlan = field(default_factory=UploadPlan)
    crest: CrestPlan = field(default_factory=CrestPlan)
    orders: OrderPlan = field(default_factory=OrderPlan)
    added: AddedPlan = field(default_factory=AddedPlan)


def detection_document(plan, version, path, seed):
    """Return the load of the detection measure on one service."""
    kinds = {
        "lookup": {"path": path, "work_ms": plan.work_ms, "deadline_ms": 3000.0},
    }
    duration_s = plan.warm_s + plan.rounds * plan.window_s
    phases = [{"duration_s": duration_s, "rate": plan.rate, "mix": {"lookup": 1}}]
    return document(version, kinds, phases, seed, NO_RESENDS)


def noise_document(plan, version, path, seed):
    """Return a load with a heavy latency tail."""
    kinds = {}
    for work_ms in (40.0, 120.0, 500.0, 1500.0):
        kinds[f"work_{work_ms:g}"] = {
            "path": path,
            "work_ms": work_ms,
            "deadline_ms": 5000.0,
        }
    mix = dict(zip(kinds, (0.80, 0.15, 0.04, 0.01), strict=True))
    phases = [{"duration_s": plan.duration_s, "rate": plan.rate, "mix": mix}]
    return document(version, kinds, phases, seed, NO_RESENDS)


def upload_document(plan, version, seed):
    """Return lookups and uploads on the same service."""
    kinds = {
        "lookup": {
            "path": "/stock/{id}",
            "work_ms": plan.quick_work_ms,
            "deadline_ms": 5000.0,
        }
    }
    mix = {"lookup": plan.quick_rate}
    for work_ms in plan.upload_work_ms:
        name = f"upload_{work_ms:g}"
        kinds[name] = {
            "method": "PUT",
            "path": "/artwork/{id}",
            "work_ms": work_ms,
            "body_bytes": 100_000,
            "deadline_ms": 15_000.0,
        }
        mix[name] = plan.upload_rate / len(plan.upload_work_ms)
    rate = plan.quick_rate + plan.upload_rate
    phases = [{"duration_s": plan.duration_s, "rate": rate, "mix": mix}]
    return document(version, kinds, phases, seed, RESENDS)


def crest_document(plan, version, seed):
    """Return a swing of demand with short and longer deadlines."""
    kinds = {
        "lookup": {
            "path": "/stock/{id}",
            "work_ms": plan.work_ms,
            "deadline_ms": 1000.0,
        },
        "history": {
            "path": "/stock/{id}",
            "work_ms": plan.work_ms,
            "deadline_ms": 3000.0,
        },
    }
    mix = {"lookup": 0.7, "history": 0.3}
    phases = []
    for duration_s, factor in (*plan.steps, plan.tail):
        rate = plan.base_rate * factor
        phases.append({"duration_s": duration_s, "rate": rate, "mix": mix})
    return document(version, kinds, phases, seed, RESENDS)


def order_document(plan, version, seed):
    """Return orders that callers send again after an unclear end."""
    kinds = {
        "order": {
            "path": "/checkouts",
            "work_ms": plan.work_ms,
            "deadline_ms": plan.deadline_ms,
        }
    }
    phases = [{"duration_s": plan.duration_s, "rate": plan.rate, "mix": {"order": 1}}]
    resends = {**RESENDS, "outcomes": ["not-run", "unknown", "error", "timeout"]}
    return document(version, kinds, phases, seed, resends)


def document(version, kinds, phases, seed, resend):
    """Return a plan document of the load command."""
    return {
        "entries": version.urls(),
        "kinds": kinds,
        "phases": phases,
        "seed": seed,
        "resend": resend,
    }
