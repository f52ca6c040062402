"""Leases of a service's slots to long requests, at the slot coordinator."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import TargetId

RENEWAL_PERIOD_S = 2.0
LEASE_S = 6.0
# One renewal period, plus the time that a renewal may take to arrive.
LISTEN_S = 2.5


class SlotReason(Enum):
    """Why a slot was granted to a long request or refused."""

    GRANTED = "granted"
    ALREADY_LEASED = "already-leased"
    LISTENING = "listening"
    SERVICE_LONG_SHARE = "service-long-share"
    TARGETS_LONG_FULL = "targets-long-full"
    NO_TARGETS = "no-targets"


@dataclass(frozen=True, slots=True)
class SlotDecision:
    """The answer to a request for a slot.

    Attributes
    ----------
    target_id : TargetId or None
        None when refused.
    """

    target_id: TargetId | None
    reason: SlotReason


@dataclass(slots=True)
class SlotLease:
    """One long request that runs, or is about to run, on a target."""

    target_id: TargetId
    renewed_at: float


class LongSlots:
    """Leases slots of one service, so that hosts do not overload a target together.

    A coordinator that took over learns the running requests from their renewals.
    It first refuses all requests for one renewal period, because it could otherwise
    put a second long request on a busy target. Entries use their local rule meanwhile.

    Parameters
    ----------
    service : Service
    clock : Clock
        The coordinator waits for renewals for `LISTEN_S` from its current time.
    """

    def __init__(self, service, clock):
        self.service = service
        self.clock = clock
        self.listens_until = clock.now() + LISTEN_S
        self.last_request_at = clock.now()
        self.leases = OrderedDict()
        self.long_on_target = {}
        self.set_targets([target.target_id for target in service.targets])

    def set_targets(self, target_ids):
        """Set the targets that may get new long requests.

        Leases on other targets stay until they are released or expire.
        """
        self.target_ids = tuple(target_ids)

    def _detect_gap(self, now):
        # Running leases are renewed every 2 s, so a longer gap means that this process
        # was paused or that no entry could reach it. Requests that entries started
        # meanwhile are not known here.
        if self.leases and now - self.last_request_at >= LEASE_S:
            self.listens_until = now + LISTEN_S
        self.last_request_at = now

    def acquire(self, lease_id, excluded, now):
        """Lease a slot on the target with the fewest long requests.

        Parameters
        ----------
        lease_id : str
        excluded : set of TargetId
            Targets that the entry excludes.
        now : float
            Monotonic seconds.

        Returns
        -------
        SlotDecision
        """
        self._detect_gap(now)
        self.expire(now)
        lease = self.leases.get(lease_id)
        if lease is not None and lease.target_id not in excluded:
            self._renew_lease(lease_id, lease, now)
            return SlotDecision(lease.target_id, SlotReason.ALREADY_LEASED)
        if lease is not None:
            self.release(lease_id)
        if now < self.listens_until:
            return SlotDecision(None, SlotReason.LISTENING)
        if not self.target_ids:
            return SlotDecision(None, SlotReason.NO_TARGETS)
        if len(self.leases) >= self.service_limit():
            return SlotDecision(None, SlotReason.SERVICE_LONG_SHARE)
        target_id = self._least_loaded(excluded)
        if target_id is None:
            return SlotDecision(None, SlotReason.TARGETS_LONG_FULL)
        self._add(lease_id, target_id, now)
        return SlotDecision(target_id, SlotReason.GRANTED)

    def renew(self, lease_id, target_id, now):
        """Renew a lease; an unknown one is added, because its request is running.

        Parameters
        ----------
        lease_id : str
        target_id : TargetId
            Where the long request runs.
        now : float
            Monotonic seconds.
        """
        self._detect_gap(now)
        self.expire(now)
        lease = self.leases.get(lease_id)
        if lease is not None and lease.target_id == target_id:
            self._renew_lease(lease_id, lease, now)
            return
        if lease is not None:
            self.release(lease_id)
        self._add(lease_id, target_id, now)

    def release(self, lease_id):
        """End a lease; return whether it was known."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        remaining = self.long_on_target[lease.target_id] - 1
        if remaining > 0:
            self.long_on_target[lease.target_id] = remaining
        else:
            del self.long_on_target[lease.target_id]
        return True

    def expire(self, now):
        """Drop the leases that were not renewed in time.

        Returns
        -------
        list of str
            Their lease ids.
        """
        expired = []
        for lease_id, lease in self.leases.items():
            if now - lease.renewed_at < LEASE_S:
                break
            expired.append(lease_id)
        for lease_id in expired:
            self.release(lease_id)
        return expired

    def target_limit(self):
        """Return how many long requests one target may run."""
        return max(1, self.service.slots_per_target - 1)

    def service_limit(self):
        """Return how many long requests the service may run."""
        slots = len(self.target_ids) * self.service.slots_per_target
        return max(1, int(slots * self.service.long_share))

    def long_running(self, target_id):
        """Return the number of leases on a target."""
        return self.long_on_target.get(target_id, 0)

    def _least_loaded(self, excluded):
        best = None
        for target_id in self.target_ids:
            if target_id in excluded:
                continue
            load = self.long_running(target_id)
            if load >= self.target_limit():
                continue
            if best is None or load < self.long_running(best):
                best = target_id
        return best

    def _add(self, lease_id, target_id, now):
        self.leases[lease_id] = SlotLease(target_id, now)
        self.long_on_target[target_id] = self.long_running(target_id) + 1

    def _renew_lease(self, lease_id, lease, now):
        # `expire` relies on the order of the latest renewal.
        lease.renewed_at = now
        self.leases.move_to_end(lease_id)
