"""Counts, across the fleet, the crashes of targets by request fingerprint."""

import asyncio
from dataclasses import dataclass

from .. import events
from ..decisions.fingerprint import crash_fingerprint
from ..decisions.quarantine import Quarantine
from ..entry.target_pool import ConnectionLimitReached
from ..errors import ConnectFailed
from ..ids import Fingerprint, TargetId, Workspace
from ..peer.gen.oleander_gossip.ttypes import CrashNotice

NO_WORKSPACE = Workspace("")
# A broken connection alone does not prove a crash: an answer may have been lost. A
# target whose process has ended refuses new connections for some seconds.
CONFIRM_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class Crash:
    """A connection that broke while a target ran a request.

    Attributes
    ----------
    sent_at : float or None
        When the request was sent, in monotonic seconds; None if it is not known.
    broken_at : float
        Monotonic seconds.
    request_id : str
        Empty if another host sent the request.
    """

    fingerprint: Fingerprint
    target_id: TargetId
    sent_at: float | None
    broken_at: float
    request_id: str


class CrashTracker:
    """Maintains the quarantine from crashes that this and other hosts observe.

    Parameters
    ----------
    pool : TargetPool
    clock : Clock

    Attributes
    ----------
    on_crash : callable or None
        Called with each ``CrashNotice`` for the other hosts.
    """

    def __init__(self, pool, clock):
        self.pool = pool
        self.clock = clock
        self.quarantine = Quarantine(clock)
        self.on_crash = None
        self.confirmations = set()

    def fingerprint(self, exchange):
        """Return the fingerprint of an exchange's request."""
        request = exchange.request
        path = exchange.route.authority + request.raw_target.decode("latin-1")
        return crash_fingerprint(
            request.method, path, NO_WORKSPACE, None, exchange.body_prefix.content
        )

    def is_refused(self, exchange):
        """Tell whether a request must not be sent to another target."""
        if not self.quarantine.refused:
            return False
        return self.quarantine.is_refused(self.fingerprint(exchange), self.clock.now())

    def check_for_crash(self, exchange, entry, sent_at):
        """Count a broken connection as a crash if the target is down.

        Parameters
        ----------
        sent_at : float
            When the request was sent to the target.
        """
        crash = Crash(
            self.fingerprint(exchange),
            entry.target_id,
            sent_at,
            self.clock.now(),
            exchange.attempt_id,
        )
        task = asyncio.ensure_future(self.confirm(crash, entry))
        self.confirmations.add(task)
        task.add_done_callback(self.confirmations.discard)

    async def confirm(self, crash, entry):
        """Record a crash if the target refuses a new connection."""
        await asyncio.sleep(CONFIRM_DELAY_S)
        try:
            await self.pool.warm(entry, 1, is_check=True)
        except ConnectFailed:
            self.record_own_crash(crash)
        except ConnectionLimitReached:
            # The connections in use show that the target still runs.
            return

    def record_own_crash(self, crash):
        """Count a crash and notify the other hosts."""
        self.count_crash(crash)
        if self.on_crash is None:
            return
        now = self.clock.now()
        notice = CrashNotice(
            "",
            crash.fingerprint,
            [crash.target_id],
            int((now - crash.sent_at) * 1000),
            int((now - crash.broken_at) * 1000),
        )
        self.on_crash(notice)

    def record_success(self, exchange):
        """Clear the crashes of a request that a target has served."""
        quarantine = self.quarantine
        if not quarantine.suspected and not quarantine.refused:
            return
        fingerprint = self.fingerprint(exchange)
        if quarantine.clear_crashes(fingerprint) and self.on_crash is not None:
            self.on_crash(CrashNotice("", fingerprint, []))

    def apply_notice(self, notice):
        """Apply the ``CrashNotice`` of another host."""
        if not notice.target_ids:
            self.quarantine.clear_crashes(notice.fingerprint)
        now = self.clock.now()
        sent_at = None if notice.sent_ms is None else now - notice.sent_ms / 1000
        broken_at = now - (notice.broke_ms or 0) / 1000
        for target_id in notice.target_ids:
            self.count_crash(
                Crash(notice.fingerprint, target_id, sent_at, broken_at, "")
            )

    def count_crash(self, crash):
        """Count one crash and log it if its fingerprint becomes quarantined."""
        was_refused = self.quarantine.is_refused(crash.fingerprint, crash.broken_at)
        verdict = self.quarantine.record_crash(
            crash.fingerprint, crash.target_id, crash.broken_at, crash.sent_at
        )
        if verdict.is_refused and not was_refused:
            events.FINGERPRINT_QUARANTINED.log(
                fingerprint=crash.fingerprint,
                target=crash.target_id,
                request=crash.request_id,
            )
