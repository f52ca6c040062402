"""Base class of the daemon's long-running tasks and their supervision."""

import asyncio
from abc import ABC, abstractmethod

from .. import events
from ..errors import format_failure

# Pause before a failed task is started again, so that a permanent fault does not
# spin.
RESTART_DELAY_S = 1.0


class DaemonTask(ABC):
    """A unit of work that owns its state and runs as long as the daemon."""

    @abstractmethod
    async def run(self):
        """Work until cancelled."""


async def supervise(task):
    """Run ``task`` and start it again after a failure.

    Parameters
    ----------
    task : DaemonTask
    """
    await supervise_work(task.run, type(task).__name__, RESTART_DELAY_S)


async def supervise_work(work, name, restart_delay_s):
    """Run ``work`` and start it again after a failure.

    Parameters
    ----------
    work : callable
        Coroutine function without parameters.
    name : str
        For the log.
    restart_delay_s : float
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            events.TASK_FAILED.log(task=name, error=format_failure(error))
        await asyncio.sleep(restart_delay_s)
