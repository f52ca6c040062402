"""A backend after whose complete answers bytes of a second answer may come late."""

import asyncio
import time

from standin_backend import SEAL, Backend
from standin_http import encode

# One of so many answers of a faulty backend is followed by bytes of a second one.
EXTRA_INTERVAL = 34
# The second answer breaks off after the first character of this header's value.
BREAK = b"X-Backend-Load: "
# The fault comes again and again, for as long as the site file says.
FAULT_S = 5.0
CALM_S = 3.0
SLOTS = 2
QUEUE = 2


class LateBackend(Backend):
    """A backend that takes orders and says when it is full or something is sold out.

    The bytes of the second answer, which breaks off in its head, come with the next
    request on the connection.

    Attributes
    ----------
    is_faulty : bool
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_faulty = False
        self.answers = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.work_s = 0.05

    async def answer(self, writer, start, headers, body):
        """Answer one request."""
        path = start.split(" ")[1]
        attempt = headers["x-attempt-id"]
        found = {"Content-Type": "text/plain", "X-Attempt-Id": attempt}
        if headers.get("x-expected-instance") != self.backend_id:
            found["X-Instance-Id"] = self.backend_id
            writer.write(encode("HTTP/1.1 421 Misdirected Request", found))
            return
        late = getattr(writer, "late_bytes", b"")
        if late:
            self.record.add("extra", backend=self.backend_id, content=repr(late))
            writer.write(late)
            writer.late_bytes = b""
        load = f"{min(self.running, SLOTS)},{max(0, self.running - SLOTS)},{SLOTS}"
        if self.running >= SLOTS + QUEUE:
            head = {"X-Not-Executed": "1", "X-Backend-Load": load, **found}
            answer = encode("HTTP/1.1 503 Service Unavailable", head)
            self.record.add("full", backend=self.backend_id, attempt=attempt)
        else:
            answer = await self.run(path, attempt, load, found)
        writer.write(answer)
        self.answers += 1
        if self.is_faulty and self.answers % EXTRA_INTERVAL == 0:
            writer.late_bytes = answer[: answer.index(BREAK) + len(BREAK) + 1]

    async def run(self, path, attempt, load, found):
        """Run an order and return the answer."""
        self.running += 1
        try:
            async with self.slots:
                line = "HTTP/1.1 200 OK"
                if path.endswith("/sold-out"):
                    line = "HTTP/1.1 409 Conflict"
                status = int(line.split(" ")[1])
                self.runs.append((time.monotonic(), attempt, status, path))
                self.record.add(
                    "run", backend=self.backend_id, attempt=attempt, answer=line
                )
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        head = {"X-Response-Seal": SEAL, "X-Backend-Load": load, **found}
        return encode(line, head, b"order " + path.encode())


async def disturb(backends):
    """Make backends faulty in spells."""
    while True:
        for backend in backends:
            backend.is_faulty = True
        await asyncio.sleep(FAULT_S)
        for backend in backends:
            backend.is_faulty = False
        await asyncio.sleep(CALM_S)
