"""Buffer between a target's connection and the reader of a large answer."""

import asyncio
from collections import deque

from .messages import AnswerStream

# Answers up to this size are received in full before they are forwarded. Larger ones
# are read from the target only as fast as the caller reads them.
BUFFER_BYTES = 64 * 1024


class BufferedStream(AnswerStream):
    """Received chunks that are not read yet.

    Parameters
    ----------
    connection : TargetConnection or None
        The connection that feeds the stream; None once the body is complete or failed.
    chunks : list of bytes
        Bytes received so far.
    """

    def __init__(self, connection, chunks):
        self.connection = connection
        self.buffered = deque(chunks)
        self.buffered_bytes = sum(len(chunk) for chunk in chunks)
        self.error = None
        self.waiter = None

    def feed(self, data):
        """Add received bytes; pauses the connection when the buffer is full."""
        self.buffered.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > BUFFER_BYTES:
            self.connection.pause_answer()
        self.wake()

    def end(self):
        """Mark the body as complete."""
        self.connection = None
        self.wake()

    def fail(self, error):
        """Raise ``error`` in the reader after the bytes received so far."""
        self.connection = None
        self.error = error
        self.wake()

    def wake(self):
        """Wake the waiting reader."""
        waiter = self.waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def __anext__(self):
        while not self.buffered:
            if self.error is not None:
                raise self.error
            if self.connection is None:
                raise StopAsyncIteration
            await self.wait()
        chunk = self.buffered.popleft()
        self.buffered_bytes -= len(chunk)
        if self.connection is not None and self.buffered_bytes <= BUFFER_BYTES:
            self.connection.resume_answer()
        return chunk

    async def wait(self):
        """Wait for bytes, the end of the body or a failure."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def abandon(self):
        """Discard the rest; closes the target's connection if it is incomplete."""
        self.buffered.clear()
        self.buffered_bytes = 0
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abandon()
