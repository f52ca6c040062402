"""Checks by a new connection whether a target that broke off or is silent still runs.

What a send shows by itself, a reset, an early end or silence, is also what a lost
answer, a slow target or a cut path shows. A process that has ended refuses new
connections for some seconds; a host without power, or a process that no longer accepts
any, leaves them unanswered; a process that only hangs or is slow accepts them.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from ..entry.target_pool import ConnectionLimitReached
from ..errors import ConnectFailed
from ..ids import Fingerprint

# The end of a process closes its connections before its port.
CONFIRM_DELAY_S = 0.05
# A full queue of new connections looks like silence; it drains meanwhile.
RECHECK_DELAY_S = 0.3
# A target that accepts connections is not checked again for its silence before.
ACCEPTED_HOLD_S = 1.0
# Requests that may run at a target at once; a check holds no more.
MAX_SUSPICIONS = 32


class TargetState(Enum):
    """What a new connection shows of a target."""

    RUNNING = "running"
    # Its port refuses connections.
    ENDED = "ended"
    # It leaves connections unanswered.
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A request that may have crashed the target that ran it.

    Attributes
    ----------
    sent_at : float
        When the request was sent, in monotonic seconds.
    noticed_at : float
        When its connection broke, or when its answer was overdue.
    span_s : float or None
        For how long a request may be at a target that works, if nothing but silence
        speaks for a crash; None if the connection ended.
    is_served : bool
        Whether an answer arrived that is whole only if the target still runs.
    """

    fingerprint: Fingerprint
    request_id: str
    sent_at: float
    noticed_at: float
    span_s: float | None = None
    is_served: bool = False


class TargetChecks:
    """Runs at most one check of each target at a time.

    Parameters
    ----------
    pool : TargetPool
    clock : Clock
    conclude : callable
        Called with the ``TargetView``, each ``Suspicion`` and the ``TargetState``
        once a check ends.
    """

    def __init__(self, pool, clock, conclude):
        self.pool = pool
        self.clock = clock
        self.conclude = conclude
        # Suspicions by target, while its check runs.
        self.running = {}
        self.tasks = set()

    def close(self):
        """Give all checks up."""
        for task in self.tasks:
            task.cancel()

    def add(self, target, suspicion):
        """Check a target for a suspicion, or let a check that runs answer it."""
        now = self.clock.now()
        is_held = now - target.silence.accepted_at < ACCEPTED_HOLD_S
        if suspicion.span_s is not None and is_held:
            return
        target_id = target.entry.target_id
        suspicions = self.running.get(target_id)
        if suspicions is not None:
            if len(suspicions) < MAX_SUSPICIONS:
                suspicions.append(suspicion)
            return
        self.running[target_id] = [suspicion]
        task = asyncio.ensure_future(self.run(target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, target):
        """Check a target and conclude."""
        target_id = target.entry.target_id
        try:
            await asyncio.sleep(CONFIRM_DELAY_S)
            state = await self.probe(target)
            if state is TargetState.SILENT:
                await asyncio.sleep(RECHECK_DELAY_S)
                state = await self.probe(target)
        finally:
            suspicions = self.running.pop(target_id)
        for suspicion in suspicions:
            self.conclude(target, suspicion, state)

    async def probe(self, target):
        """Return what a new connection shows of a target."""
        try:
            await self.pool.probe(target.entry)
        except ConnectionLimitReached:
            # Nothing is known, so nothing is counted.
            return TargetState.RUNNING
        except ConnectFailed as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return TargetState.ENDED
            return TargetState.SILENT
        target.silence.accepted_at = self.clock.now()
        return TargetState.RUNNING
