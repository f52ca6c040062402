"""The body of a large answer, between a target's connection and its reader."""

import asyncio
from collections import deque

from .messages import AnswerStream

# Answers up to this size are complete before their first byte is sent on. Above it,
# a target is read only as fast as the caller takes the bytes.
BUFFER_BYTES = 64 * 1024


class BufferedStream(AnswerStream):
    """Chunks that were received and not yet read.

    Parameters
    ----------
    connection : TargetConnection or None
        The connection that fills the stream; None once it is complete or broken.
    chunks : list of bytes
        What was received so far.
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
        """Let the reader get ``error`` after the bytes that were received."""
        self.connection = None
        self.error = error
        self.wake()

    def wake(self):
        """Let the reader go on."""
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
        """Wait until bytes, the end or a failure arrive."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def abandon(self):
        """Drop the rest; an incomplete answer closes the target's connection."""
        self.buffered.clear()
        self.buffered_bytes = 0
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abandon()
