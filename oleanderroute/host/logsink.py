"""Writes log lines to a descriptor without blocking on a slow reader."""

import asyncio
import os
from collections import deque

import orjson

# Lines beyond this backlog are dropped and counted.
MAX_BACKLOG_BYTES = 512 * 1024
RETRY_S = 0.05


class LogSink:
    """A destination for log records.

    Parameters
    ----------
    descriptor : int
        Open for writing; it is set to non-blocking mode.

    Attributes
    ----------
    dropped : int
        Records that were dropped since the start.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.backlog = deque()
        self.backlog_bytes = 0
        self.dropped = 0
        self.timer = None

    def __call__(self, record):
        """Queue one record, a dict, and write the backlog."""
        line = orjson.dumps(record, default=str, option=orjson.OPT_NON_STR_KEYS)
        line += b"\n"
        if self.backlog_bytes + len(line) > MAX_BACKLOG_BYTES:
            self.dropped += 1
            return
        self.backlog.append(line)
        self.backlog_bytes += len(line)
        if self.timer is None:
            self.flush()

    def flush(self):
        """Write as much of the backlog as the descriptor accepts."""
        self.timer = None
        while self.backlog:
            line = self.backlog.popleft()
            self.backlog_bytes -= len(line)
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed its end, so the error can't be logged either.
                self.dropped += 1
                continue
            if written < len(line):
                self.backlog.appendleft(line[written:])
                self.backlog_bytes += len(line) - written
                self.schedule_retry()
                return

    def schedule_retry(self):
        """Schedule another write if an event loop is running."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self.timer = loop.call_later(RETRY_S, self.flush)
