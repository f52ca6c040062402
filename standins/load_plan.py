"""The plan of the load command: request kinds, phases, arrivals, resends."""

import random
import uuid
from dataclasses import dataclass, field


class PlanError(Exception):
    """A plan names an unknown kind or misses a part.

    Parameters
    ----------
    path : str
        JSON path of the offending value.
    reason : str
    """

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")


@dataclass(slots=True)
class RequestKind:
    """How requests of one kind look.

    Attributes
    ----------
    path : str
        ``{id}`` in it is replaced by the load id.
    deadline_ms : float
        Time budget from the planned arrival, sent as ``Oleander-Deadline-Ms``.
    body_bytes, answer_bytes : int
        Length of the request body and of the expected answer.
    keyed : bool
        Whether an ``Idempotency-Key`` is sent.
    chunked, chunked_answer : bool
        Whether bodies are sent in chunks in place of a Content-Length.
    """

    name: str
    method: str = "GET"
    path: str = "/"
    deadline_ms: float = 1000.0
    work_ms: float = 5.0
    body_bytes: int = 0
    answer_bytes: int = 64
    keyed: bool = False
    chunked: bool = False
    chunked_answer: bool = False
    headers: dict = field(default_factory=dict)


# What a plan need not repeat for the three usual kinds.
KIND_DEFAULTS = {
    "lookup": {},
    "order": {"method": "POST", "body_bytes": 200, "keyed": True},
    "upload": {"method": "POST", "body_bytes": 1_000_000, "deadline_ms": 30_000.0},
}


@dataclass(slots=True)
class Phase:
    """A stretch of constant mean rate.

    Attributes
    ----------
    rate : float
        Mean arrivals a second.
    mix : dict
        Weight of each kind by its name.
    """

    duration_s: float
    rate: float
    mix: dict


@dataclass(slots=True)
class ResendPolicy:
    """When a caller sends a request again, within its deadline.

    Attributes
    ----------
    attempts : int
        Sends of one request at most, the first included.
    outcomes : list of str
        ``not-run``, ``unknown``, ``error``, ``timeout`` or ``none``.
    statuses : list of int
        Statuses of answers that are sent again although they bear no outcome, as
        those of a relay without ``Oleander-Outcome``.
    kinds : list of str or None
        Kinds that are resent; None means all.
    """

    attempts: int = 1
    outcomes: list = field(default_factory=lambda: ["not-run", "error"])
    statuses: list = field(default_factory=list)
    kinds: list | None = None
    backoff_ms: float = 50.0

    def applies(self, kind, attempt, outcome, status=None):
        """Tell whether an attempt is followed by another one."""
        if attempt >= self.attempts:
            return False
        if outcome not in self.outcomes and status not in self.statuses:
            return False
        return self.kinds is None or kind in self.kinds


@dataclass(slots=True)
class Arrival:
    """One planned request.

    Attributes
    ----------
    at_s : float
        Time from the start of the plan in seconds.
    entry : int
        Index of the entry URL of the first attempt.
    """

    load_id: str
    at_s: float
    phase: int
    kind: RequestKind
    entry: int


@dataclass(slots=True)
class Plan:
    """A whole load plan.

    Attributes
    ----------
    entries : list of str
        Base URLs of the entry hosts.
    ledgers : list of str
        Base URLs of the targets' control ports.
    grace_ms : float
        How long a caller waits for an answer after its deadline.
    run_id : str
        Prefix of the load ids; it sets runs apart in the ledgers.
    """

    entries: list
    kinds: dict
    phases: list
    seed: int = 1
    ledgers: list = field(default_factory=list)
    resend: ResendPolicy = field(default_factory=ResendPolicy)
    workspace: str = "load"
    grace_ms: float = 1000.0
    run_id: str = field(default_factory=lambda: uuid.uuid4().hex[:12])

    def arrivals(self):
        """Return the arrivals of all phases, as the seed gives them."""
        rng = random.Random(self.seed)
        planned = []
        phase_start_s = 0.0
        for number, phase in enumerate(self.phases):
            at_s = rng.expovariate(phase.rate)
            while at_s < phase.duration_s:
                planned.append(
                    Arrival(
                        load_id=f"{self.run_id}-{len(planned)}",
                        at_s=phase_start_s + at_s,
                        phase=number,
                        kind=self.pick_kind(rng, phase),
                        entry=rng.randrange(len(self.entries)),
                    )
                )
                at_s += rng.expovariate(phase.rate)
            phase_start_s += phase.duration_s
        return planned

    def pick_kind(self, rng, phase):
        """Draw a kind by the weights of a phase."""
        names = list(phase.mix)
        return self.kinds[rng.choices(names, list(phase.mix.values()))[0]]


def load_plan(document):
    """Return the plan that a JSON document describes.

    Parameters
    ----------
    document : dict

    Raises
    ------
    PlanError
    """
    fields = dict(document)
    if not fields.get("entries"):
        raise PlanError("$.entries", "no entry URL")
    if not fields.get("phases"):
        raise PlanError("$.phases", "no phase")
    kinds = {}
    for name in set(fields.get("kinds", {})) | set(KIND_DEFAULTS):
        values = {
            **KIND_DEFAULTS.get(name, {}),
            **fields.get("kinds", {}).get(name, {}),
        }
        kinds[name] = RequestKind(name=name, **values)
    phases = [Phase(**phase) for phase in fields["phases"]]
    for number, phase in enumerate(phases):
        unknown = set(phase.mix) - set(kinds)
        if unknown:
            raise PlanError(f"$.phases[{number}].mix", f"unknown kinds {unknown}")
        if phase.rate <= 0:
            raise PlanError(f"$.phases[{number}].rate", "must be above 0")
    fields["kinds"] = kinds
    fields["phases"] = phases
    fields["resend"] = ResendPolicy(**fields.get("resend", {}))
    return Plan(**fields)
