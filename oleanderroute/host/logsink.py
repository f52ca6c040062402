"""Writes log lines to standard output without ever waiting for its reader."""

import asyncio
import os
from collections import deque

import orjson

# Lines that wait for a slow reader; further ones are dropped and counted.
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
        """Take one record, a dict."""
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
        """Write what the reader takes now."""
        self.timer = None
        while self.backlog:
            line = self.backlog.popleft()
            self.backlog_bytes -= len(line)
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone; there is nobody left to tell.
                self.dropped += 1
                continue
            if written < len(line):
                self.backlog.appendleft(line[written:])
                self.backlog_bytes += len(line) - written
                self.schedule_retry()
                return

    def schedule_retry(self):
        """Try again soon, if an event loop runs."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self.timer = loop.call_later(RETRY_S, self.flush)
