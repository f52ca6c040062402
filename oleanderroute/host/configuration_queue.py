"""Decodes configurations in the order of their revisions without blocking requests."""

import asyncio
import gc
from collections import deque
from contextlib import contextmanager

from .. import events
from ..errors import DocumentError

# Smaller values are decoded at once, which takes under 5 ms on a whole core.
MIN_STEPPED_BYTES = 64 * 1024
# Values of up to 1 MiB that wait while an earlier one is decoded.
MAX_WAITING = 8


class ConfigurationQueue:
    """Decodes the values of the configuration's key, one after the other.

    Large values are decoded in steps, and the event loop serves requests between two
    steps. The first configuration is decoded at once, since no request can be served
    before it, and so is any without a running event loop.

    Parameters
    ----------
    formats : object
        Has ``decode_configuration(value)`` and ``decode_in_steps(value)``.
    clock : Clock
    on_decoded : callable
        Called with the ``Configuration``, its ``StoreItem`` and its source.
    on_refused : callable
        Called with the reason, the ``StoreItem`` and its source.
    """

    def __init__(self, formats, clock, on_decoded, on_refused):
        self.formats = formats
        self.clock = clock
        self.on_decoded = on_decoded
        self.on_refused = on_refused
        self.waiting = deque()
        self.task = None
        self.is_first = True

    @property
    def is_busy(self):
        """Whether a value that has arrived is not decoded yet."""
        return self.task is not None

    def submit(self, item, source):
        """Decode a value of the key, or its removal, after all earlier ones."""
        if self.task is None and not self.must_step(item):
            self.decode(item, source)
            return
        self.waiting.append((item, source))
        if len(self.waiting) > MAX_WAITING:
            # The later ones replace it, unless none of them can be used.
            skipped, _ = self.waiting.popleft()
            events.CONFIGURATION_SKIPPED.log(
                revision=skipped.revision.number, waiting=len(self.waiting)
            )
        if self.task is None:
            self.task = asyncio.ensure_future(self.run())

    def close(self):
        """Stop decoding."""
        if self.task is not None:
            self.task.cancel()

    def must_step(self, item):
        """Tell whether a value has to be decoded in steps."""
        if self.is_first or item.value is None or len(item.value) < MIN_STEPPED_BYTES:
            return False
        try:
            asyncio.get_running_loop()
        except RuntimeError:
            return False
        return True

    def decode(self, item, source):
        """Decode a value at once."""
        if item.value is None:
            self.on_refused("the key was removed", item, source)
            return
        try:
            found = self.formats.decode_configuration(item.value)
        except DocumentError as error:
            self.on_refused(str(error), item, source)
            return
        except Exception as error:
            self.on_refused(unexpected_reason(error), item, source)
            return
        self.is_first = False
        self.on_decoded(found, item, source)

    async def run(self):
        """Decode the waiting values in their order."""
        try:
            while self.waiting:
                item, source = self.waiting.popleft()
                if not self.must_step(item):
                    self.decode(item, source)
                    continue
                try:
                    with garbage_collection_paused():
                        found = await self.decode_in_steps(item.value)
                except DocumentError as error:
                    self.on_refused(str(error), item, source)
                    continue
                except Exception as error:
                    self.on_refused(unexpected_reason(error), item, source)
                    continue
                self.on_decoded(found, item, source)
        finally:
            self.task = None

    async def decode_in_steps(self, value):
        """Decode a value in steps and log how long the event loop was blocked."""
        started_at = self.clock.now()
        longest_s = 0.0
        steps = self.formats.decode_in_steps(value)
        while True:
            step_at = self.clock.now()
            try:
                next(steps)
            except StopIteration as end:
                found = end.value
                break
            longest_s = max(longest_s, self.clock.now() - step_at)
            await asyncio.sleep(0)
        ended_at = self.clock.now()
        longest_s = max(longest_s, ended_at - step_at)
        events.CONFIGURATION_DECODED.log(
            bytes=len(value),
            elapsed_ms=round(1000 * (ended_at - started_at), 1),
            longest_step_ms=round(1000 * longest_s, 1),
        )
        return found


def unexpected_reason(error):
    """Return the reason for an error that the decoder does not foresee.

    Its text may quote a key. Raised, it would end the task that decodes later versions.
    """
    return f"unexpected {type(error).__name__}"


@contextmanager
def garbage_collection_paused():
    """Run no garbage collection inside the context.

    The many new objects would cause full collections, which took 30 of the 38 ms of
    the parsing of a megabyte. Decoding makes no reference cycles.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
