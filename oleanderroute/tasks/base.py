"""Base class of the daemon's long-running tasks and their supervision."""

import asyncio
import traceback
from abc import ABC, abstractmethod

from .. import events

# Pause before a failed task is started again, so that a permanent fault does not
# spin.
RESTART_DELAY_S = 1.0


class DaemonTask(ABC):
    """A unit of work that owns its state and runs as long as the daemon."""

    @abstractmethod
    async def run(self):
        """Work until cancelled."""


def format_failure(error):
    """Return the innermost failure of a group with its place in the code."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{error!r} at {frame.filename}:{frame.lineno}"


async def supervise(task):
    """Run ``task`` and start it again after a failure.

    Parameters
    ----------
    task : DaemonTask
    """
    while True:
        try:
            await task.run()
            return
        except Exception as error:
            name = type(task).__name__
            events.TASK_FAILED.log(task=name, error=format_failure(error))
        await asyncio.sleep(RESTART_DELAY_S)
