"""State of the target stand-in: slots, ledger, gray modes and counters."""

import json
import os
import random
import time
from collections import defaultdict, deque
from dataclasses import asdict, dataclass, field
from pathlib import Path


@dataclass(slots=True)
class TargetOptions:
    """Settings of a target, as given on its command line.

    Attributes
    ----------
    queue : int
        Requests that may wait for a slot; further ones are shed.
    max_connections : int
        Connections above this number are closed when accepted.
    connection_cost_ms : float
        Time that accepting one connection takes; accepts are serial.
    probe_ms : float
        Time for which a probe occupies a slot.
    load_lag_s, health_lag_s : float
        Age of what ``/load`` reports, and of the drain state in ``/healthz``.
    cold_s, cold_factor, cold_share : float
        For ``cold_s`` after the start, work takes ``cold_factor`` times as long
        and is shed once this share of the slots is busy.
    clock_skew_s : float
        Added to the wall clock of the deadline check.
    """

    target_id: str = "target"
    slots: int = 2
    queue: int = 0
    max_connections: int = 330
    connection_cost_ms: float = 1.0
    probe_ms: float = 25.0
    load_lag_s: float = 2.0
    health_lag_s: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 3.0
    cold_share: float = 0.5
    clock_skew_s: float = 0.0
    seed: int = 1


@dataclass(slots=True)
class SlowRule:
    """Slows requests of entries in some failure domains; None means all."""

    domains: list | None = None
    factor: float = 1.0
    add_ms: float = 0.0

    def applied_to(self, domain, work_s):
        """Return the work time in seconds under this rule."""
        if self.domains is not None and domain not in self.domains:
            return work_s
        return work_s * self.factor + self.add_ms / 1000


@dataclass(slots=True)
class PartitionRule:
    """A one-way partition between failure domains and this target.

    Connections still open, unlike in a real partition. One that carried a request
    from a cut domain stays silent for good.

    Attributes
    ----------
    way : str
        ``to_target`` loses requests, which never run; ``to_entry`` loses answers.
    """

    domains: list
    way: str = "to_target"

    def __post_init__(self):
        if self.way not in ("to_target", "to_entry"):
            raise ValueError(self.way)


@dataclass(slots=True)
class FlapRule:
    """Alternates good and bad halves; each lasts ``period_s`` seconds."""

    period_s: float
    since: float = field(default_factory=time.monotonic)

    def is_bad(self):
        """Tell whether the present half is a bad one; the first is."""
        return int((time.monotonic() - self.since) / self.period_s) % 2 == 0


@dataclass(slots=True)
class GrayModes:
    """The gray modes in force. Shares are between 0 and 1.

    Attributes
    ----------
    fail_only_real : bool
        Whether probes are spared all modes, so that they pass.
    crash_on : str or None
        A request with this value of ``X-Crash`` ends the process.
    break_midway : float
        Share of the answers that are cut off after half of their body.
    load_fixed : dict or None
        What ``/load`` reports in place of the real load.
    """

    slow_for: SlowRule | None = None
    fail_share: float = 0.0
    fail_status: int = 500
    fail_only_real: bool = False
    crash_on: str | None = None
    break_midway: float = 0.0
    flap: FlapRule | None = None
    partition: PartitionRule | None = None
    freeze_answers: bool = False
    load_fixed: dict | None = None


@dataclass(slots=True)
class LedgerRow:
    """One run. Times are Unix seconds; ``finished`` stays None for others."""

    request_id: str
    idempotency_key: str
    load_id: str
    attempt: str
    method: str
    path: str
    entry_host: str
    entry_domain: str
    started: float
    finished: float | None = None
    outcome: str = "running"
    status: int | None = None
    bytes: int = 0
    drain_age_s: float | None = None


class Ledger:
    """Every run in the order of its start.

    Parameters
    ----------
    path : Path or None
        File that records starts and ends as JSON lines, so that the ledger
        outlives a killed process. A file left by an earlier process is read.
    """

    def __init__(self, path=None):
        self.rows = []
        self.file = None
        if path is None:
            return
        self.load(Path(path))
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def load(self, path):
        """Read the runs of an earlier process; unfinished ones were lost."""
        if not path.exists():
            return
        for line in path.read_text().splitlines():
            record = json.loads(line)
            number = record.pop("number")
            row = LedgerRow(**record)
            if number < len(self.rows):
                self.rows[number] = row
                continue
            self.rows.append(row)
        for row in self.rows:
            if row.outcome == "running":
                row.outcome = "lost"

    def start(self, row):
        """Record the start of a run and return its number."""
        self.rows.append(row)
        self.write(len(self.rows) - 1)
        return len(self.rows) - 1

    def end(self, number, outcome, status=None):
        """Record how a run ended; only the first end counts."""
        row = self.rows[number]
        if row.outcome != "running":
            return
        row.outcome = outcome
        row.status = status
        if outcome == "finished":
            row.finished = time.time()
        self.write(number)

    def write(self, number):
        """Append a row to the file, if there is one."""
        if self.file is None:
            return
        record = {"number": number, **asdict(self.rows[number])}
        os.write(self.file, json.dumps(record).encode() + b"\n")

    def close(self):
        """Close the file."""
        if self.file is not None:
            os.close(self.file)
            self.file = None


class Slots:
    """Work slots and the queue of holders that wait for one.

    Parameters
    ----------
    count : int
    queue_limit : int
    """

    def __init__(self, count, queue_limit):
        self.count = count
        self.queue_limit = queue_limit
        self.busy = 0
        self.waiting = deque()
        self.is_granting = False

    def take(self):
        """Take a free slot and tell whether there was one."""
        if self.busy >= self.count:
            return False
        self.busy += 1
        return True

    def enqueue(self, waiter):
        """Queue a waiter and tell whether there was room."""
        if len(self.waiting) >= self.queue_limit:
            return False
        self.waiting.append(waiter)
        return True

    def leave_queue(self, waiter):
        """Remove a waiter that no longer wants a slot."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def release(self):
        """Free a slot and offer free slots to the waiting, oldest first.

        A waiter may finish, and so free its slot, while it is granted one. The
        outermost call goes on with the queue; recursion would be as deep as it.
        """
        self.busy -= 1
        if self.is_granting:
            return
        self.is_granting = True
        try:
            while self.waiting and self.busy < self.count:
                self.busy += 1
                if not self.waiting.popleft().slot_granted():
                    self.busy -= 1
        finally:
            self.is_granting = False


class TargetState:
    """What the data port and the control port of one target share.

    Parameters
    ----------
    options : TargetOptions
    ledger : Ledger
    """

    def __init__(self, options, ledger):
        self.options = options
        self.ledger = ledger
        self.slots = Slots(options.slots, options.queue)
        self.modes = GrayModes()
        self.random = random.Random(options.seed)
        self.connections = set()
        self.held_answers = []
        self.counters = defaultdict(int)
        # Time from which the next accepted connection may be read.
        self.accept_free_at = 0.0
        self.cold_until = time.monotonic() + options.cold_s
        self.drain_since = None
        self.drain_grace_s = 0.0
        self.load_now = self.load_published = self.measure_load()

    def is_cold(self):
        """Tell whether the cold start goes on."""
        return time.monotonic() < self.cold_until

    def start_cold(self, cold_s, factor, share):
        """Begin a cold phase now."""
        self.options.cold_factor = factor
        self.options.cold_share = share
        # Time from which the next accepted connection may be read.
        self.accept_free_at = 0.0
        self.cold_until = time.monotonic() + cold_s

    def drain_age_s(self):
        """Return the time since the drain began in seconds, or None."""
        if self.drain_since is None:
            return None
        return time.monotonic() - self.drain_since

    def start_drain(self, grace_s):
        """Begin to drain; new work is refused after ``grace_s`` seconds."""
        self.drain_since = time.monotonic()
        self.drain_grace_s = grace_s

    def stop_drain(self):
        """Accept work again."""
        self.drain_since = None

    def refusal_reason(self, deadline_ms):
        """Return why a request may not start now, or None.

        Parameters
        ----------
        deadline_ms : float or None
            Unix time in milliseconds.
        """
        if deadline_ms is not None and self.wall_s() * 1000 > deadline_ms:
            return "deadline"
        drain_age_s = self.drain_age_s()
        if drain_age_s is not None and drain_age_s >= self.drain_grace_s:
            return "draining"
        return None

    def wall_s(self):
        """Return the target's own Unix time in seconds."""
        return time.time() + self.options.clock_skew_s

    def sheds_as_cold(self):
        """Tell whether a cold target is as busy as it may be."""
        if not self.is_cold():
            return False
        return self.slots.busy >= self.slots.count * self.options.cold_share

    def spares(self, is_probe):
        """Tell whether gray modes leave a request alone."""
        return is_probe and self.modes.fail_only_real

    def work_s(self, domain, requested_s, is_probe):
        """Return the work time in seconds for a caller's failure domain."""
        work_s = requested_s
        if self.is_cold():
            work_s *= self.options.cold_factor
        if self.modes.slow_for is not None and not self.spares(is_probe):
            work_s = self.modes.slow_for.applied_to(domain, work_s)
        return work_s

    def fails(self, is_probe):
        """Decide whether a request is answered with the failure status."""
        if self.spares(is_probe):
            return False
        if self.modes.flap is not None and self.modes.flap.is_bad():
            return True
        share = self.modes.fail_share
        return share > 0 and self.random.random() < share

    def is_cut(self, domain, way):
        """Tell whether a partition cuts a failure domain off in one way."""
        rule = self.modes.partition
        return rule is not None and rule.way == way and domain in rule.domains

    def freezes_answers(self, is_probe):
        """Tell whether an answer is held back."""
        return self.modes.freeze_answers and not self.spares(is_probe)

    def breaks_midway(self):
        """Decide whether an answer is cut off in its middle."""
        share = self.modes.break_midway
        return share > 0 and self.random.random() < share

    def is_healthy(self):
        """Return the drain state as ``/healthz`` reports it, with its lag."""
        drain_age_s = self.drain_age_s()
        return drain_age_s is None or drain_age_s < self.options.health_lag_s

    def measure_load(self):
        """Return the load of this moment as a JSON value."""
        return {
            "slots": self.slots.count,
            "busy": self.slots.busy,
            "queued": len(self.slots.waiting),
            "connections": len(self.connections),
            "measured_at": time.time(),
        }

    def publish_load(self):
        """Publish the previous measurement, which is one period old by then."""
        self.load_published = self.load_now
        self.load_now = self.measure_load()
