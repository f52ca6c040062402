"""Stand-in of a backend, as PROTOCOL.md describes it."""

import asyncio
import secrets
import time

from standin_http import encode, read_message

SLOTS = 4
SEAL = "seal-of-the-stand-in"


class Backend:
    """A backend that registers itself and records what it runs.

    Parameters
    ----------
    store : Store
    backend_id : str
    service : str
    address : str
    zone : str
    record : Record
    """

    def __init__(self, store, backend_id, service, address, zone, record):
        self.store = store
        self.backend_id = backend_id
        self.service = service
        self.address = address
        self.zone = zone
        self.record = record
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.runs = []
        self.running = 0
        self.work_s = 0.005
        self.server = None
        self.writers = set()
        self.on_crash = None

    async def start(self):
        """Listen, on the earlier port after a crash, and register."""
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.register()

    def register(self, state="ready", cold_ms=0):
        """Write the entry into the store."""
        self.sequence += 1
        entry = {
            "address": f"{self.address}:{self.port}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": SLOTS,
            },
            "status": {
                "state": state,
                "seqNo": self.sequence,
                "coldRemainingMs": cold_ms,
            },
            "born": self.born,
        }
        return self.store.put(f"servers/{self.backend_id}", entry)

    def crash(self):
        """Close the listener and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        if self.on_crash is not None:
            self.on_crash()

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                await self.answer(writer, start, headers, body)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, start, headers, body):
        """Run one request and answer it."""
        method, path, _ = start.split(" ")
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.backend_id) != self.backend_id:
            found = {"X-Instance-Id": self.backend_id, "X-Attempt-Id": attempt}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", found))
            return
        self.runs.append((time.monotonic(), attempt, method, path))
        self.record.add("run", backend=self.backend_id, attempt=attempt, path=path)
        if "crash-me" in path:
            self.record.add("crash", backend=self.backend_id, attempt=attempt)
            self.crash()
            return
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        found = {
            "X-Attempt-Id": attempt,
            "X-Response-Seal": SEAL,
            "X-Backend-Load": f"{self.running},0,{SLOTS}",
        }
        content = f"{self.service} {self.backend_id}".encode()
        writer.write(encode("HTTP/1.1 200 OK", found, content))


def new_id():
    """Return an id for a backend or an attempt."""
    return secrets.token_hex(8)
