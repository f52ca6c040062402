"""One request to the target stand-in: admission, work and answer.

Timers replace tasks, because the target also serves latency benchmarks.
"""

import hashlib
import json
import os
import time

from .target_state import LedgerRow

PIECE_BYTES = 65_536
DEFAULT_ANSWER_BYTES = 64
CRASH_EXIT_CODE = 70
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def answer_body(load_id, length):
    """Return the answer body for a request.

    It repeats the hexadecimal SHA-256 of the id, so that a caller can tell its
    own whole answer from a fragment and from another caller's.

    Parameters
    ----------
    load_id : str
    length : int
        In bytes.
    """
    digest = hashlib.sha256(load_id.encode()).hexdigest().encode()
    return (digest * (length // len(digest) + 1))[:length]


class Exchange:
    """One request on a connection, from its headers to the end of its answer."""

    __slots__ = (
        "connection", "state", "method", "path", "headers", "keep_alive",
        "is_probe", "is_begun", "holds_slot", "is_refused", "is_complete", "is_over",
        "number", "received", "digest", "timer", "pieces", "status",
    )  # fmt: skip

    def __init__(self, connection, method, path, headers, keep_alive):
        self.connection = connection
        self.state = connection.state
        self.method = method
        self.path = path
        self.headers = headers
        self.keep_alive = keep_alive
        self.is_probe = path == b"/healthz"
        self.is_begun = False
        self.holds_slot = False
        self.is_refused = False
        self.is_complete = False
        self.is_over = False
        self.number = None
        self.received = 0
        self.digest = None
        self.timer = None
        self.pieces = None
        self.status = 200

    def text(self, name):
        """Return a header as text; an absent one is empty."""
        return self.headers.get(name, b"").decode("latin-1")

    def number_of(self, name, default):
        """Return a header as a float."""
        value = self.headers.get(name)
        return default if value is None else float(value)

    def begin(self):
        """Decide on the request once its headers are there."""
        self.is_begun = True
        if self.path == b"/load":
            if self.is_complete:
                self.answer_load()
            return
        refusal = self.refusal()
        if refusal is not None:
            self.refuse(refusal)
            return
        if self.state.slots.take():
            self.start()
            return
        if not self.state.slots.enqueue(self):
            self.refuse("shed")

    def refusal(self):
        """Return why the request may not start, or None."""
        if self.is_probe:
            return None
        reason = self.state.refusal_reason(self.number_of(b"deadline-unix-ms", None))
        if reason is None and self.state.sheds_as_cold():
            return "cold"
        return reason

    def slot_granted(self):
        """Start a queued request, or refuse it; tell whether it took the slot."""
        reason = self.state.refusal_reason(self.number_of(b"deadline-unix-ms", None))
        if reason is not None and not self.is_probe:
            self.refuse(reason)
            return False
        self.start()
        return True

    def start(self):
        """Begin the run in the slot taken for it."""
        self.holds_slot = True
        if self.is_probe:
            self.state.counters["probes"] += 1
        else:
            self.record_start()
            self.crash_if_marked()
        if self.headers.get(b"expect", b"").lower() == b"100-continue":
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.is_complete:
            self.work()

    def record_start(self):
        """Enter the run in the ledger."""
        self.number = self.state.ledger.start(
            LedgerRow(
                request_id=self.text(b"x-request-id"),
                idempotency_key=self.text(b"idempotency-key"),
                load_id=self.text(b"x-load-id"),
                attempt=self.text(b"x-load-attempt"),
                method=self.method.decode("latin-1"),
                path=self.path.decode("latin-1"),
                entry_host=self.text(b"x-entry-host"),
                entry_domain=self.text(b"x-entry-domain"),
                started=time.time(),
                bytes=self.received,
                drain_age_s=self.state.drain_age_s(),
            )
        )

    def crash_if_marked(self):
        """End the process at once if the request carries the crash marker."""
        marker = self.state.modes.crash_on
        if marker is not None and self.text(b"x-crash") == marker:
            os._exit(CRASH_EXIT_CODE)

    def body(self, data):
        """Take a piece of the request body."""
        if self.digest is None:
            self.digest = hashlib.sha256()
        self.digest.update(data)
        self.received += len(data)
        if self.number is not None:
            self.state.ledger.rows[self.number].bytes = self.received

    def message_complete(self):
        """Go on once the whole request is there."""
        self.is_complete = True
        if not self.is_begun:
            return
        if self.path == b"/load":
            self.answer_load()
            return
        if self.is_refused:
            self.finish()
            return
        if self.holds_slot:
            self.work()

    def work(self):
        """Occupy the slot for the work time, then answer."""
        work_s = self.state.options.probe_ms / 1000
        if not self.is_probe:
            work_s = self.number_of(b"x-work-ms", 0.0) / 1000
        domain = self.text(b"x-entry-domain")
        work_s = self.state.work_s(domain, work_s, self.is_probe)
        if work_s <= 0:
            self.work_done()
            return
        loop = self.connection.loop
        self.timer = loop.call_later(work_s, self.work_done)

    def work_done(self):
        """Record the end of the work and answer, unless answers are frozen."""
        self.timer = None
        if self.state.fails(self.is_probe):
            self.status = self.state.modes.fail_status
        if self.is_probe and not self.state.is_healthy():
            self.status = 503
        if self.number is not None:
            self.state.ledger.end(self.number, "finished", self.status)
        if self.state.freezes_answers(self.is_probe):
            self.state.held_answers.append(self)
            return
        self.answer()

    def refuse(self, reason):
        """Answer that the request was not started."""
        self.is_refused = True
        self.state.counters[f"refused_{reason}"] += 1
        head = b"X-Not-Started: 1\r\nX-Refusal-Reason: " + reason.encode() + b"\r\n"
        self.connection.write(self.head(503, head, 0))
        if self.is_complete:
            self.finish()

    def answer_load(self):
        """Answer with the lagging load."""
        load = self.state.modes.load_fixed or self.state.load_published
        body = json.dumps(load).encode()
        head = b"Content-Type: application/json\r\n"
        self.connection.write(self.head(200, head, len(body)) + body)
        self.finish()

    def answer(self):
        """Send the answer, as a whole or piece by piece."""
        if self.is_over:
            return
        digest = self.digest or hashlib.sha256()
        body = b""
        if self.status == 200:
            load_id = self.text(b"x-load-id") or self.text(b"x-request-id")
            length = int(self.number_of(b"x-answer-bytes", DEFAULT_ANSWER_BYTES))
            body = answer_body(load_id, length)
        is_chunked = self.headers.get(b"x-answer-chunked") == b"1"
        is_chunked = is_chunked and self.method != b"HEAD"
        extra = b"X-Body-Sha256: " + digest.hexdigest().encode() + b"\r\n"
        head = self.head(self.status, extra, None if is_chunked else len(body))
        if self.method == b"HEAD":
            body = b""
        breaks = not self.is_probe and self.state.breaks_midway()
        if len(body) <= PIECE_BYTES and not is_chunked and not breaks:
            self.connection.write(head + body)
            self.finish()
            return
        self.connection.write(head)
        self.pieces = self.split(body, is_chunked, breaks)
        self.send_pieces()

    def split(self, body, is_chunked, breaks):
        """Yield the encoded pieces of a body; a broken one ends half way."""
        end = len(body) // 2 if breaks else len(body)
        for offset in range(0, end, PIECE_BYTES):
            piece = body[offset : min(offset + PIECE_BYTES, end)]
            if is_chunked:
                yield b"%x\r\n%b\r\n" % (len(piece), piece)
                continue
            yield piece
        if breaks:
            self.keep_alive = False
            return
        if is_chunked:
            yield b"0\r\n\r\n"

    def send_pieces(self):
        """Send pieces while the connection accepts them."""
        while not self.connection.is_paused and not self.is_over:
            piece = next(self.pieces, None)
            if piece is None:
                self.pieces = None
                self.finish()
                return
            self.connection.write(piece)

    def head(self, status, extra, length):
        """Return the status line and headers; a None length means chunked."""
        is_draining = self.state.drain_since is not None
        if is_draining:
            extra += b"X-Draining: 1\r\n"
            self.keep_alive = False
        if not self.keep_alive:
            extra += b"Connection: close\r\n"
        framing = b"Transfer-Encoding: chunked\r\n"
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        reason = REASONS.get(status, b"Status")
        target_id = self.state.options.target_id.encode()
        return b"HTTP/1.1 %d %b\r\nX-Target-Id: %b\r\n%b%b\r\n" % (
            status, reason, target_id, extra, framing,
        )  # fmt: skip

    def finish(self):
        """End the exchange after its answer."""
        if self.is_over:
            return
        self.is_over = True
        self.free_slot()
        self.connection.exchange_finished(self)

    def abandon(self):
        """End the exchange because the caller closed the connection."""
        if self.is_over:
            return
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()
        if self.number is not None:
            self.state.ledger.end(self.number, "cancelled")
        self.state.slots.leave_queue(self)
        self.free_slot()

    def free_slot(self):
        """Give the slot back, if one is held."""
        if self.holds_slot:
            self.holds_slot = False
            self.state.slots.release()
