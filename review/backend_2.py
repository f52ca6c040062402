"""Stand-in of a back end of the users' platform, for the cases of review 2.

It has slots and a queue, echoes the attempt id, refuses what is meant for another
instance, and registers itself in the store. It writes one JSON line for each request
that arrives, is refused, begins to run and ends, with monotonic seconds.
"""

import argparse
import asyncio
import base64
import itertools
import json
import os
import random
import signal
import sys
import time
import urllib.request

CRASHED = 70
HEARTBEAT_S = 1.5
# Connections that wait to be accepted.
BACKLOG = 100
DARK_BACKLOG = 1
WRONG_PAGE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 32\r\n\r\n"
    b"<html>Welcome to server</html>\r\n"
)


class Backend:
    """One incarnation of a back end.

    Parameters
    ----------
    options : argparse.Namespace
    """

    def __init__(self, options):
        self.options = options
        self.id = options.id
        self.rng = random.Random(options.id)
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.waiting = 0
        self.numbers = itertools.count(1)
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.beats = itertools.count(1)

    def write_event(self, event, **fields):
        """Write one JSON line."""
        row = {"at": time.monotonic(), "event": event, **fields}
        sys.stdout.write(json.dumps(row) + "\n")
        sys.stdout.flush()

    def is_faulty(self):
        """Tell whether a spell of wrong bytes is on; there are pauses between them."""
        options = self.options
        period_s = options.spell_s + options.pause_s
        return (time.monotonic() - self.started_at) % period_s < options.spell_s

    def load(self):
        """Return the value of the load header."""
        return f"{self.running},{self.waiting},{self.options.slots}"

    async def keep_entry(self):
        """Write the entry at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            try:
                await asyncio.to_thread(self.register)
            except OSError as error:
                self.write_event("store-failed", reason=repr(error))

    def register(self):
        """Write the entry into the store."""
        options = self.options
        entry = {
            "address": f"127.0.0.1:{options.port}",
            "info": {
                "service": options.service,
                "version": "v1",
                "zone": options.zone,
                "slots": options.slots,
            },
            "status": {
                "state": "ready",
                "seqNo": next(self.beats),
                "coldRemainingMs": 0,
            },
            "born": self.born,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        put = {"key": f"servers/{self.id}", "value": value, "lease": 0}
        request = urllib.request.Request(
            f"http://127.0.0.1:{options.store}/kv-txn",
            json.dumps({"puts": [put]}).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5.0) as response:
            response.read()

    async def serve(self, reader, writer):
        """Answer the requests of one connection, one after the other."""
        connection = Connection(self, reader, writer)
        try:
            while await connection.answer_one():
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Connection:
    """One connection of a caller.

    Parameters
    ----------
    backend : Backend
    """

    def __init__(self, backend, reader, writer):
        self.backend = backend
        self.reader = reader
        self.writer = writer

    async def answer_one(self):
        """Answer one request; tell whether the connection stays open."""
        backend = self.backend
        options = backend.options
        method, path, headers = await read_head(self.reader)
        length = int(headers.get("content-length", 0))
        if headers.get("transfer-encoding") == "chunked":
            await read_chunks(self.reader)
        elif length:
            await self.reader.readexactly(length)
        attempt_id = headers.get("x-attempt-id", "")
        if path.startswith("/control/full/"):
            # Of the case, not of the hosts.
            options.full_share = float(path.rpartition("/")[2])
            self.answer(200, [], b"")
            return True
        if path == "/health":
            self.answer(200, [f"X-Instance-Id: {backend.id}"], b"")
            return True
        backend.write_event("arrived", id=attempt_id, path=path)
        expected = headers.get("x-expected-instance", backend.id)
        if expected != backend.id:
            self.answer(421, [f"X-Instance-Id: {backend.id}"], b"")
            backend.write_event("refused", id=attempt_id, status=421)
            return True
        if self.is_full():
            self.refuse(attempt_id)
            return True
        backend.waiting += 1
        async with backend.slots:
            backend.waiting -= 1
            backend.running += 1
            try:
                return await self.run(attempt_id, path)
            finally:
                backend.running -= 1

    def is_full(self):
        """Tell whether the slots and the queue have no room."""
        backend = self.backend
        options = backend.options
        if backend.running + backend.waiting >= options.slots + options.queue:
            return True
        # Work of other callers, which does not pass the hosts of the case.
        return backend.rng.random() < options.full_share

    def refuse(self, attempt_id):
        """Answer that the back end is full and has not run the request."""
        lines = [f"X-Attempt-Id: {attempt_id}", "X-Not-Executed: 1"]
        lines.append(f"X-Backend-Load: {self.backend.load()}")
        self.answer(503, lines, b"", "Service Unavailable")
        self.backend.write_event("refused", id=attempt_id, status=503)

    async def run(self, attempt_id, path):
        """Run a request and answer it."""
        backend = self.backend
        options = backend.options
        backend.write_event("runs", id=attempt_id, path=path)
        if "/poison/" in path and options.crash == "exit":
            os._exit(CRASHED)
        if "/poison/" in path and options.crash == "dark":
            # Its connections stay open, and it answers nothing any more.
            os.kill(os.getpid(), signal.SIGSTOP)
        await asyncio.sleep(options.work_s * backend.rng.uniform(0.5, 1.5))
        content = f"{backend.id} ran {attempt_id}".encode()
        number = next(backend.numbers)
        lines = [f"X-Attempt-Id: {attempt_id}"]
        lines.append(f"X-Response-Seal: {backend.id}.{number}.{len(content)}")
        lines.append(f"X-Backend-Load: {backend.load()}")
        backend.write_event("ended", id=attempt_id, status=200)
        if backend.is_faulty() and backend.rng.random() < options.wrong_share:
            # Bytes that are not a response of this platform.
            backend.write_event("wrong-bytes", id=attempt_id)
            self.writer.write(WRONG_PAGE)
            return False
        is_last = backend.rng.random() < options.close_share
        if is_last:
            lines.append("Connection: close")
        self.answer(200, lines, content, "OK")
        return not is_last

    def answer(self, status, lines, content, reason="Status"):
        """Write one answer."""
        head = [f"HTTP/1.1 {status} {reason}", *lines]
        head.append(f"Content-Length: {len(content)}")
        whole = "\r\n".join(head).encode() + b"\r\n\r\n" + content
        self.writer.write(whole)


async def read_head(reader):
    """Return method, path and headers, names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = text.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    method, path, _ = request_line.split(" ")
    return method, path, headers


async def read_chunks(reader):
    """Read a chunked body."""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await reader.readexactly(size + 2)
    await reader.readexactly(2)


async def serve(options):
    """Serve until the process is killed."""
    backend = Backend(options)
    backlog = DARK_BACKLOG if options.crash == "dark" else BACKLOG
    server = await asyncio.start_server(
        backend.serve, "127.0.0.1", options.port, backlog=backlog
    )
    await asyncio.to_thread(backend.register)
    backend.write_event("ready")
    async with asyncio.TaskGroup() as group:
        group.create_task(backend.keep_entry())
        group.create_task(server.serve_forever())


def main():
    """Parse the options and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--store", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--queue", type=int, default=8)
    parser.add_argument("--work-s", type=float, default=0.05)
    # Share of the requests that it refuses as full.
    parser.add_argument("--full-share", type=float, default=0.0)
    # How a request with "/poison/" in its path crashes it: exit, or dark (silent).
    parser.add_argument("--crash", default="exit")
    # Length of a spell of wrong bytes, and of the pause after it.
    parser.add_argument("--spell-s", type=float, default=5.0)
    parser.add_argument("--pause-s", type=float, default=2.0)
    # Share of the answers that are replaced by bytes that are no response.
    parser.add_argument("--wrong-share", type=float, default=0.0)
    # Share of the answers after which the connection is closed, as announced.
    parser.add_argument("--close-share", type=float, default=0.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
