"""Comparison of one target with the other targets of its service.

Shares of attempts are evaluated with a Chernoff bound: a target that is like the others
shows ``failures`` or more among ``samples`` with a chance of at most
``exp(-evidence)``, where evidence is ``samples`` times the Kullback-Leibler
divergence between the share seen and the share expected.
"""

import math
from dataclasses import dataclass

from ..outcome import FAILURE_KINDS, AttemptKind, RequestClass
from .verdict import KIND_SIGNALS, NO_REASON, Signal, VerdictReason

SAMPLE_MINIMUM = 5
# Weaker findings have no effect, so they are not computed.
EVIDENCE_MINIMUM = 3.0
# With fewer peers than this a median is unreliable; absolute limits apply.
PEER_MINIMUM = 3
# Failure share that any service may show. Without it, a single failure would eject a
# target of a service that has no other failures.
FAILURE_REFERENCE_MINIMUM = 0.01
SLOW_REFERENCE_MINIMUM = 0.02
# Keeps the divergence finite when all peers fail.
REFERENCE_MAXIMUM = 0.99
ORDERED_FAILURES = sorted(FAILURE_KINDS)
# Factor that makes a median absolute deviation comparable to a standard deviation.
DEVIATION_SCALE = 1.4826
# Peers with the highest shares are left out of the first reference, because some of
# them may be unhealthy as well.
TRIMMED_PEER_SHARE = 1 / 3
# Peers with more evidence against them are left out of the final reference.
OUTLIER_EVIDENCE = 5.0
SLOW_QUANTILE = 0.9
SLOW_FACTOR = 3.0
SLOW_DEVIATIONS = 6.0
SLOW_GAP_S = 0.010
ABSOLUTE_FAILURE_REFERENCE = 0.1
# Makes an ejection without peers need six consecutive hard failures.
ABSOLUTE_RUN_REFERENCE = 0.03
ABSOLUTE_SHARE = 0.5
ABSOLUTE_SLOW_FACTOR = 4.0
# Windows, by position in WINDOW_LENGTHS_S, in which latencies are compared.
LATENCY_WINDOWS = (0, 1, 2)
LONGEST_WINDOW = 2


@dataclass(frozen=True, slots=True)
class OutlierFinding:
    """Result of the comparison for one target.

    Attributes
    ----------
    reason : VerdictReason
    gap : float
        Excess of the target's share over its reference.
    """

    reason: VerdictReason = NO_REASON
    gap: float = 0.0


NO_FINDING = OutlierFinding()


@dataclass(frozen=True, slots=True)
class Proportion:
    """Attempts that show a signal among all attempts that count."""

    hits: float
    samples: int

    @property
    def value(self):
        """The share, between 0 and 1."""
        return self.hits / self.samples


def median(values):
    """Return the median of a non-empty list."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def median_deviation(values, center):
    """Return the median absolute deviation from ``center``, scaled to sigma."""
    return DEVIATION_SCALE * median([abs(value - center) for value in values])


def evidence(share, reference, samples):
    """Return the strength in nats of a share above its reference, else 0."""
    if share <= reference:
        return 0.0
    if share >= 1.0:
        return -samples * math.log(reference)
    divergence = share * math.log(share / reference)
    divergence += (1 - share) * math.log((1 - share) / (1 - reference))
    return samples * divergence


def pooled_share(shares):
    """Return the share over all attempts of a non-empty list of peers."""
    return sum(share.hits for share in shares) / sum(share.samples for share in shares)


def trim_highest(shares):
    """Return the peers but for the `TRIMMED_PEER_SHARE` with the highest shares."""
    ordered = sorted(shares, key=lambda share: share.value)
    return ordered[: len(ordered) - int(len(ordered) * TRIMMED_PEER_SHARE)]


def reference_share(shares, minimum):
    """Return the share expected from the peers, at least ``minimum``.

    The median and the trimmed share are robust against many unhealthy peers, but too
    low when failures are few and come in bursts. They serve to exclude the unhealthy
    peers; the others are then pooled.

    Parameters
    ----------
    shares : list of Share
        One for each peer, not empty.
    """
    values = [share.value for share in shares]
    center = median(values)
    spread = median_deviation(values, center)
    robust = max(center + spread, pooled_share(trim_highest(shares)), minimum)
    robust = min(robust, REFERENCE_MAXIMUM)
    kept = []
    for share in shares:
        if evidence(share.value, robust, share.samples) < OUTLIER_EVIDENCE:
            kept.append(share)
    if not kept:
        return robust
    return min(max(robust, pooled_share(kept)), REFERENCE_MAXIMUM)


class ClassComparison:
    """All targets of one service and request class at one moment.

    Parameters
    ----------
    request_class : RequestClass
    windows : dict of TargetId to OutcomeWindows
        Advanced to the moment of the comparison.
    peers : set of TargetId
        Serving targets that may be compared with.
    quantiles : list of dict
        For each window, the `SLOW_QUANTILE` in seconds by target.
    objective_s : float
        Latency objective of the service in seconds.
    """

    def __init__(self, request_class, windows, peers, quantiles, objective_s):
        self.request_class = request_class
        self.windows = windows
        self.peers = peers
        self.quantiles = quantiles
        self.objective_s = objective_s
        self.share_tables = {}
        self.min_references = {}
        self.peer_quantiles = []
        self.min_slow_limits_s = []
        for position in range(len(quantiles)):
            found = self._peer_quantiles(position)
            self.peer_quantiles.append(found)
            self.min_slow_limits_s.append(min_slow_limit_s(found))

    def strongest_finding(self, target_id, minimum=SAMPLE_MINIMUM):
        """Return the strongest finding on a target.

        Parameters
        ----------
        minimum : int
            Attempts below which shares are not compared.
        """
        own = self.windows.get(target_id)
        if own is None:
            return NO_FINDING
        best = NO_FINDING
        for position, window in enumerate(own.windows):
            for finding in self._failure_findings(target_id, position, window, minimum):
                best = stronger_finding(best, finding)
        if own.failure_run:
            best = stronger_finding(best, self._run_finding(target_id, own))
        for position in LATENCY_WINDOWS:
            best = stronger_finding(
                best, self._slow_finding(target_id, position, minimum)
            )
        return best

    def _failure_findings(self, target_id, position, window, minimum):
        by_kind = window.total.by_kind
        seen = [kind for kind in ORDERED_FAILURES if by_kind[kind]]
        if not seen:
            return
        samples = counted_attempts(by_kind)
        if samples < minimum:
            return
        groups = [(kind,) for kind in seen]
        if len(seen) > 1:
            groups.append(tuple(seen))
        for kinds in groups:
            signal = KIND_SIGNALS[kinds[0]] if len(kinds) == 1 else Signal.MIXED
            share = Proportion(sum(by_kind[kind] for kind in kinds), samples)
            if is_too_weak(share, self._min_reference(position, kinds)):
                continue
            reference = self._failure_reference(target_id, position, kinds)
            if reference is None:
                reference = self._absolute_reference(
                    target_id, position, kinds, ABSOLUTE_FAILURE_REFERENCE
                )
                if share.value < ABSOLUTE_SHARE:
                    continue
            yield _finding(signal, share, reference, window.length_s)

    def _failure_reference(self, target_id, position, kinds):
        """Return the share expected from the peers, or None with too few peers.

        The short window shows whether the peers fail now. It holds too few attempts
        to show a small constant share of failures; the longest window does.
        """
        reference = None
        for each in {position, LONGEST_WINDOW}:
            peers = self._peer_shares(target_id, each, kinds)
            if len(peers) < PEER_MINIMUM:
                continue
            found = reference_share(peers, FAILURE_REFERENCE_MINIMUM)
            reference = max(reference or 0.0, found)
        return reference

    def _absolute_reference(self, target_id, position, kinds, minimum):
        peers = self._peer_shares(target_id, position, kinds)
        highest = max((peer.value for peer in peers), default=0.0)
        return min(max(highest, minimum), REFERENCE_MAXIMUM)

    def _peer_shares(self, target_id, position, kinds):
        table = self._share_table(position, kinds)
        return [share for peer_id, share in table.items() if peer_id != target_id]

    def _share_table(self, position, kinds):
        """Return the shares of all peers that have enough samples."""
        table = self.share_tables.get((position, kinds))
        if table is not None:
            return table
        table = self.share_tables[position, kinds] = {}
        for peer_id in self.peers:
            own = self.windows.get(peer_id)
            if own is None:
                continue
            by_kind = own.windows[position].total.by_kind
            samples = counted_attempts(by_kind)
            if samples < SAMPLE_MINIMUM:
                continue
            hits = sum(by_kind[kind] for kind in kinds)
            table[peer_id] = Proportion(hits, samples)
        return table

    def _min_reference(self, position, kinds):
        """Return a lower bound of the reference of every target."""
        least = self.min_references.get((position, kinds))
        if least is not None:
            return least
        least = FAILURE_REFERENCE_MINIMUM
        for each in {position, LONGEST_WINDOW}:
            table = self._share_table(each, kinds)
            if len(table) <= PEER_MINIMUM:
                continue
            values = sorted(share.value for share in table.values())
            least = max(least, values[min_median_rank(len(values))])
        least = self.min_references[position, kinds] = min(least, REFERENCE_MAXIMUM)
        return least

    def _run_finding(self, target_id, own):
        kinds = tuple(sorted(own.run_kinds))
        # A run of hard failures counts even below the sample minimum.
        run = own.hard_run
        if own.failure_run >= SAMPLE_MINIMUM:
            run = own.failure_run
        share = Proportion(run, run)
        if run == 0 or is_too_weak(share, self._min_reference(0, kinds)):
            return NO_FINDING
        reference = self._failure_reference(target_id, 0, kinds)
        if reference is None:
            reference = self._absolute_reference(
                target_id, LONGEST_WINDOW, kinds, ABSOLUTE_RUN_REFERENCE
            )
        signal = KIND_SIGNALS[kinds[0]] if len(kinds) == 1 else Signal.MIXED
        return _finding(signal, share, reference, 0.0)

    def _slow_finding(self, target_id, position, minimum):
        quantiles = self.quantiles[position]
        own_s = quantiles.get(target_id)
        total = self.windows[target_id].windows[position].total
        if own_s is None or total.ok_samples < minimum:
            return NO_FINDING
        if own_s <= self.min_slow_limits_s[position]:
            return NO_FINDING
        peers = dict(self.peer_quantiles[position])
        peers.pop(target_id, None)
        limit_s = self._slow_limit_s(list(peers.values()))
        if limit_s is None or own_s <= limit_s:
            return NO_FINDING
        slow = Proportion(
            total.share_above(limit_s) * total.ok_samples, total.ok_samples
        )
        reference = self._slow_reference(slow, peers, position, limit_s)
        if reference is None:
            return NO_FINDING
        length_s = self.windows[target_id].windows[position].length_s
        return _finding(Signal.SLOW, slow, reference, length_s, limit_s)

    def _peer_quantiles(self, position):
        """Return the quantiles of the peers that have enough successes."""
        found = {}
        for target_id, quantile_s in self.quantiles[position].items():
            if target_id not in self.peers:
                continue
            # The quantiles are older than the windows, which may have expired since.
            total = self.windows[target_id].windows[position].total
            if total.ok_samples < SAMPLE_MINIMUM:
                continue
            found[target_id] = quantile_s
        return found

    def _slow_limit_s(self, peers_s):
        if len(peers_s) >= PEER_MINIMUM:
            center = median(peers_s)
            spread = SLOW_DEVIATIONS * median_deviation(peers_s, center)
            return center + max(spread, (SLOW_FACTOR - 1) * center, SLOW_GAP_S)
        # The objective applies to quick requests; long ones have no such bound.
        if self.request_class is RequestClass.LONG:
            return None
        slowest = max(peers_s, default=0.0)
        return max(ABSOLUTE_SLOW_FACTOR * self.objective_s, SLOW_FACTOR * slowest)

    def _slow_reference(self, slow, peers, position, limit_s):
        if len(peers) < PEER_MINIMUM:
            if slow.value < ABSOLUTE_SHARE:
                return None
            return ABSOLUTE_FAILURE_REFERENCE
        reference = SLOW_REFERENCE_MINIMUM
        for each in {position, LONGEST_WINDOW}:
            shares = self._slow_shares(peers, each, limit_s)
            found = reference_share(shares, SLOW_REFERENCE_MINIMUM)
            reference = max(reference, found)
        return reference

    def _slow_shares(self, peers, position, limit_s):
        shares = []
        for peer_id in peers:
            total = self.windows[peer_id].windows[position].total
            hits = total.share_above(limit_s) * total.ok_samples
            shares.append(Proportion(hits, total.ok_samples))
        return shares


def min_median_rank(count):
    """Return the rank of a lower bound of the median without any one value."""
    return (count - 2) // 2


def min_slow_limit_s(quantiles):
    """Return a lower bound in seconds of the slow limit of every target."""
    if len(quantiles) <= PEER_MINIMUM:
        return 0.0
    return SLOW_FACTOR * sorted(quantiles.values())[min_median_rank(len(quantiles))]


def stronger_finding(first, second):
    """Return the finding with more evidence."""
    if second.reason.evidence > first.reason.evidence:
        return second
    return first


def is_too_weak(share, reference_minimum):
    """Return whether a share cannot give a finding with any reference."""
    strongest = evidence(share.value, reference_minimum, share.samples)
    return strongest < EVIDENCE_MINIMUM


def counted_attempts(by_kind):
    """Return the number of attempts that are evidence on the target."""
    refused = by_kind[AttemptKind.REFUSED_NOT_STARTED]
    return sum(by_kind) - refused - by_kind[AttemptKind.CANCELLED]


def _finding(signal, share, reference, window_s, limit_s=0.0):
    value = share.value
    strength = evidence(value, reference, share.samples)
    if strength < EVIDENCE_MINIMUM:
        return NO_FINDING
    reason = VerdictReason(
        signal, value, reference, share.samples, strength, window_s, limit_s
    )
    return OutlierFinding(reason, value - reference)
