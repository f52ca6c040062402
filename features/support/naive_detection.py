"""Naive versions of the sliding windows and of the floor.

They keep the whole history and recompute each result from it.
"""

import math

from oleanderroute.decisions.condition import RAMP_INITIAL_SHARE, WEIGHT_STEP
from oleanderroute.decisions.verdict import TargetState
from oleanderroute.decisions.windows import (
    HARD_KINDS,
    MAX_RUN_GAP_S,
    SLICE_S,
    bucket_bound_s,
    latency_bucket,
)
from oleanderroute.outcome import AttemptKind


class NaiveWindows:
    """All outcomes, as tuples (time, kind, latency, weight)."""

    def __init__(self):
        self.history = []

    def inside(self, length_s, now):
        newest = math.floor(now / SLICE_S)
        oldest = newest - round(length_s / SLICE_S) + 1
        return [row for row in self.history if math.floor(row[0] / SLICE_S) >= oldest]

    def count(self, length_s, kind, now):
        return sum(row[3] for row in self.inside(length_s, now) if row[1] is kind)

    def successes(self, length_s, now):
        return [row for row in self.inside(length_s, now) if row[1] is AttemptKind.OK]

    def quantile_s(self, length_s, share, now):
        latencies = []
        for _, _, latency_s, weight in self.successes(length_s, now):
            latencies.extend([latency_bucket(latency_s)] * weight)
        if not latencies:
            return None
        latencies.sort()
        rank = max(0, math.ceil(share * len(latencies)) - 1)
        return bucket_bound_s(latencies[rank])

    def share_above(self, length_s, limit_s, now):
        rows = self.successes(length_s, now)
        total = sum(row[3] for row in rows)
        if total == 0:
            return 0.0
        limit = latency_bucket(limit_s)
        return sum(row[3] for row in rows if latency_bucket(row[2]) > limit) / total

    def run(self, kinds, now):
        """Return the weight of the failures of ``kinds`` since the last other outcome.

        Outcomes at the same time have no order; one that ends the run ends it for
        all of them. A gap longer than `MAX_RUN_GAP_S` ends the run as well.
        """
        run = 0
        last = -math.inf
        successes_at = {row[0] for row in self.history if row[1] is AttemptKind.OK}
        ends_at = {row[0] for row in self.history if row[1] not in kinds}
        for time, kind, _, weight in self.history:
            if time in ends_at or time - last > MAX_RUN_GAP_S:
                run = 0
            if time not in successes_at:
                last = time
            if kind in kinds and time not in ends_at:
                run += weight
        return run if now - last <= MAX_RUN_GAP_S else 0

    def hard_run(self, now):
        return self.run(HARD_KINDS, now)


class NaiveFloor:
    """Counts serving slots by replaying all state transitions since the start."""

    def __init__(self, target_ids, slots, ramp_s):
        self.slots = slots
        self.ramp_s = ramp_s
        self.history = [(0.0, key, TargetState.HEALTHY) for key in target_ids]
        self.kept_at_low_weight = set()

    def append(self, now, transition):
        self.history.append((now, transition.target_id, transition.after))

    def serving_slots(self, now):
        states = {}
        for time, target_id, state in self.history:
            states[target_id] = (time, state)
        total = 0
        for target_id, (since, state) in states.items():
            if target_id in self.kept_at_low_weight:
                continue
            if state in (TargetState.HEALTHY, TargetState.SUSPECT):
                total += self.slots
            if state is TargetState.RAMPING:
                progress = min(1.0, (now - since) / self.ramp_s)
                share = RAMP_INITIAL_SHARE + (1 - RAMP_INITIAL_SHARE) * progress
                share = round(share / WEIGHT_STEP) * WEIGHT_STEP
                total += math.floor(self.slots * share)
        return total
