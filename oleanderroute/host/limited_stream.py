"""Body of an answer that must be complete by the time limit of its request."""

import asyncio

from ..entry.messages import AnswerStream
from ..errors import AnswerTimeout


class LimitedStream(AnswerStream):
    """Passes the bytes of another stream on until a time limit.

    A target may send a body without end, which no timeout between two bytes detects.

    Parameters
    ----------
    stream : AnswerStream
    deadline_at : float
        Monotonic seconds.
    clock : Clock
    on_timeout : callable
        Called with the number of bytes passed on if the limit ends the body.
    on_end : callable
        Called with whether the body is complete, once the target has ended it.
    """

    def __init__(self, stream, deadline_at, clock, on_timeout, on_end):
        self.stream = stream
        self.deadline_at = deadline_at
        self.clock = clock
        self.on_timeout = on_timeout
        self.on_end = on_end
        self.passed_bytes = 0
        self.is_expired = False
        # Without a reader, nothing else would end the body: a target must not wait for
        # a caller that has stopped reading.
        self.timer = asyncio.get_running_loop().call_later(
            max(0.0, deadline_at - clock.now()), self.expire
        )

    async def __anext__(self):
        """Return the next bytes of the body.

        Raises
        ------
        AnswerTimeout
            If the body is not complete at the time limit.
        TargetError
            If the body ended early.
        """
        remaining_s = self.deadline_at - self.clock.now()
        # Bytes that are at hand do not wait, so a timeout alone would never end them.
        if remaining_s <= 0.0 or self.is_expired:
            raise self.end()
        try:
            async with asyncio.timeout(remaining_s):
                chunk = await anext(self.stream)
        except TimeoutError as error:
            raise self.end() from error
        except Exception as error:
            # An abandoned stream ends like a complete one.
            if self.is_expired:
                raise self.end() from error
            self.timer.cancel()
            self.on_end(isinstance(error, StopAsyncIteration))
            raise
        self.passed_bytes += len(chunk)
        return chunk

    def expire(self):
        """Close the target's connection at the time limit."""
        self.is_expired = True
        self.stream.abandon()

    def end(self):
        """Close the target's connection and return the error for the reader."""
        self.abandon()
        self.on_timeout(self.passed_bytes)
        return AnswerTimeout(f"incomplete after {self.passed_bytes} bytes", True)

    def abandon(self):
        """Discard the rest; closes the target's connection if it is incomplete."""
        self.timer.cancel()
        self.stream.abandon()
