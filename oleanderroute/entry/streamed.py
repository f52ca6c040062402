"""Body of an answer that is forwarded while it is received."""

from ..errors import BetweenBytesTimeout, TargetError
from ..outcome import AttemptKind


class StreamedBody:
    """Forwards the chunks of an answer and records how it ended.

    Parameters
    ----------
    answer : TargetAnswer
    record : AttemptRecord
    permit : AdmissionPermit
    kind : AttemptKind
        Kind that is recorded if the body is complete.

    Attributes
    ----------
    on_end : callable or None
        Called once with the ``AttemptKind`` with which the body ended.
    """

    def __init__(self, answer, record, permit, kind):
        self.answer = answer
        self.chunks = answer.chunks()
        self.record = record
        self.permit = permit
        self.kind = kind
        self.on_end = None

    def __aiter__(self):
        return self

    async def __anext__(self):
        """Return the next chunk.

        Raises
        ------
        TargetError
            If the body ended early; the caller's connection is then reset.
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
        """Record the attempt and release its admission permit."""
        self.record.finish(kind)
        self.permit.release()
        if self.on_end is not None:
            on_end = self.on_end
            self.on_end = None
            on_end(kind)

    async def aclose(self):
        """Discard the rest of the body and close the target's connection."""
        self.answer.abandon()
        self.end(AttemptKind.CANCELLED)
