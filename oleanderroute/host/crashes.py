"""Counts over the fleet which requests end the targets that run them."""

import asyncio

from .. import events
from ..decisions.fingerprint import crash_fingerprint
from ..decisions.quarantine import Quarantine
from ..entry.target_pool import ConnectionLimitReached
from ..errors import ConnectFailed
from ..ids import Workspace
from ..peer.gen.oleander_messages.ttypes import CrashNotice

NO_WORKSPACE = Workspace("")
# A connection may also break because an answer was lost. A target whose process has
# ended refuses new connections; it is back after some seconds.
CONFIRM_AFTER_S = 0.05


class CrashLedger:
    """The quarantine of this host, fed by its own requests and by other hosts.

    Parameters
    ----------
    pool : TargetPool
    clock : Clock

    Attributes
    ----------
    on_crash : callable or None
        Told a ``CrashNotice`` for the other hosts.
    """

    def __init__(self, pool, clock):
        self.pool = pool
        self.clock = clock
        self.quarantine = Quarantine(clock)
        self.on_crash = None
        self.confirming = set()

    def fingerprint(self, exchange):
        """Return the fingerprint of an exchange's request."""
        request = exchange.request
        path = exchange.route.authority + request.raw_target.decode("latin-1")
        return crash_fingerprint(
            request.method, path, NO_WORKSPACE, None, exchange.head.content
        )

    def is_refused(self, exchange):
        """Tell whether a request must not be sent to another target."""
        if not self.quarantine.refused:
            return False
        return self.quarantine.is_refused(self.fingerprint(exchange), self.clock.now())

    def suspect(self, exchange, entry):
        """Count a broken connection as a crash if the target is down."""
        task = asyncio.ensure_future(self.confirm(exchange, entry))
        self.confirming.add(task)
        task.add_done_callback(self.confirming.discard)

    async def confirm(self, exchange, entry):
        """Ask the target for a connection, and record a crash if it has none."""
        await asyncio.sleep(CONFIRM_AFTER_S)
        try:
            await self.pool.warm(entry, 1)
        except ConnectFailed:
            self.record(exchange, entry.target_id)
        except ConnectionLimitReached:
            # Busy connections show that the target goes on.
            return

    def record(self, exchange, target_id):
        """Count a crash, and tell the other hosts."""
        fingerprint = self.fingerprint(exchange)
        self.count(fingerprint, target_id, exchange.attempt_id)
        if self.on_crash is not None:
            self.on_crash(CrashNotice("", fingerprint, [target_id]))

    def take_notice(self, notice):
        """Count what another host saw."""
        for target_id in notice.target_ids:
            self.count(notice.fingerprint, target_id, "")

    def count(self, fingerprint, target_id, request_id):
        """Count one crash and log a new refusal."""
        now = self.clock.now()
        was_refused = self.quarantine.is_refused(fingerprint, now)
        verdict = self.quarantine.record_crash(fingerprint, target_id, now)
        if verdict.is_refused and not was_refused:
            events.FINGERPRINT_QUARANTINED.log(
                fingerprint=fingerprint, target=target_id, request=request_id
            )
