"""The body of an answer that is sent on while it arrives."""

from ..errors import BetweenBytesTimeout, TargetError
from ..outcome import AttemptKind


class StreamedBody:
    """Passes the chunks of an answer on and accounts for its end.

    Parameters
    ----------
    answer : TargetAnswer
    record : AttemptRecord
    hold : AdmissionPermit
    kind : AttemptKind
        What the attempt counts as if the body is complete.

    Attributes
    ----------
    on_end : callable or None
        Told once how the body ended, as an ``AttemptKind``.
    """

    def __init__(self, answer, record, hold, kind):
        self.answer = answer
        self.chunks = answer.chunks()
        self.record = record
        self.hold = hold
        self.kind = kind
        self.on_end = None

    def __aiter__(self):
        return self

    async def __anext__(self):
        """Return the next chunk.

        Raises
        ------
        TargetError
            If the body broke off; the caller's connection is then reset.
        """
        try:
            return await anext(self.chunks)
        except StopAsyncIteration:
            self.end(self.kind)
            raise
        except BetweenBytesTimeout:
            self.end(AttemptKind.TIMEOUT)
            raise
        except TargetError:
            self.end(AttemptKind.BROKEN)
            raise

    def end(self, kind):
        """Account for the attempt and give its place up."""
        self.record.finish(kind)
        self.hold.release()
        if self.on_end is not None:
            on_end = self.on_end
            self.on_end = None
            on_end(kind)

    async def aclose(self):
        """Drop the rest of the body; the target's connection is closed."""
        self.answer.abandon()
        self.end(AttemptKind.CANCELLED)
