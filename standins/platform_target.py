"""Stand-in of a target on the users' platform; it registers itself in the store.

Run it as ``python -m standins.platform_target --store ADDRESS --id ID --service NAME``.
A request whose path ends in ``/~MODE`` is treated in that mode: ``hang``, ``shed``,
``reset``, ``error``, ``unframed``, ``early``, ``stray``, ``unproven``, ``slow``,
``leaving``, ``pause``, ``crash`` or ``status-000``. The modes in ``ENDLESS`` send bytes
until the connection is closed.
"""

import asyncio
import base64
import json
import os
import socket
import struct
import time

import click
from aiohttp import ClientSession

from .runtime import print_ready, wait_for_stop

SEAL = "standin"
HANG_S = 30.0
SLOW_S = 0.3
CRASHED = 70
SLOTS = 2
PAUSE_S = 1.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Of each mode without end: how the answer begins, and what is sent again and again.
PIECE = 64 * 1024
CHUNK = b"%x\r\n%b\r\n" % (PIECE, b"x" * PIECE)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Follows the head of a success, which bears seal and id; None: nothing precedes it.
ENDLESS = {
    "endless-garbage": (None, b"\x00\xff" * PIECE),
    "endless-head": (b"X-Long: ", b"x" * PIECE),
    "endless-interim": (None, b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "endless-chunks": (CHUNKED, CHUNK),
    "endless-close": (b"\r\n", b"x" * PIECE),
    "endless-trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-Long: ", b"x" * PIECE),
    "endless-extension": (CHUNKED + b"1;long=", b"x" * PIECE),
}
ENDLESS_PAUSE_S = 0.002


class PlatformTarget:
    """Answers requests and keeps a list of what it ran.

    Parameters
    ----------
    target_id : str
    """

    def __init__(self, target_id):
        self.target_id = target_id
        self.runs = []
        # Headers of each run, names in lower case.
        self.heads = []
        # Attempt id and Unix time of the runs whose connection was closed meanwhile.
        self.cancelled = []
        # Unix time of each request that was turned away.
        self.turned_away = []
        self.connections = 0
        # Only slow requests queue for a slot.
        self.slots = asyncio.Semaphore(SLOTS)
        self.mode = ""

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.connections += 1
        try:
            while await self.answer_one(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer_one(self, reader, writer):
        """Answer one request; tell whether the connection stays open."""
        method, path, headers = await read_head(reader)
        if path == "/control/mode":
            self.mode = (await read_body(reader, headers)).decode()
            self.write(writer, 200, headers, b"")
            return True
        if path == "/control/runs":
            self.write(writer, 200, headers, json.dumps(self.runs).encode())
            return True
        if path == "/control/heads":
            self.write(writer, 200, headers, json.dumps(self.heads).encode())
            return True
        if path == "/control/turned-away":
            self.write(writer, 200, headers, json.dumps(self.turned_away).encode())
            return True
        if path == "/control/cancelled":
            self.write(writer, 200, headers, json.dumps(self.cancelled).encode())
            return True
        mode = path.rpartition("~")[2] if "~" in path else self.mode
        if mode == "early":
            self.write(writer, 500, headers, b"early")
            return True
        body = await read_body(reader, headers)
        expected = headers.get("x-expected-instance")
        if expected not in (None, self.target_id):
            self.write(writer, 421, headers, b"", instance=True)
            return True
        if mode in ("shed", "pause"):
            self.turned_away.append(time.time())
            extra = [f"Retry-After: {PAUSE_S}"] if mode == "pause" else []
            self.write(writer, 503, headers, b"", not_executed=True, extra=extra)
            return True
        attempt_id = headers.get("x-attempt-id", "")
        self.runs.append([attempt_id, method, path, len(body), expected])
        self.heads.append(headers)
        if mode == "crash":
            os._exit(CRASHED)
        if mode == "slow":
            async with self.slots:
                await asyncio.sleep(SLOW_S)
        if mode == "hang" and await is_closed_within(reader, HANG_S):
            self.cancelled.append([headers.get("x-attempt-id", ""), time.time()])
            return False
        if mode in ENDLESS:
            await self.send_endless(writer, attempt_id, *ENDLESS[mode])
            return False
        return await self.finish(writer, headers, mode)

    async def send_endless(self, writer, attempt_id, start, piece):
        """Send bytes until the other side closes the connection."""
        if start is not None:
            writer.write(sealed_head(attempt_id) + start)
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(ENDLESS_PAUSE_S)
        except ConnectionError:
            self.cancelled.append([attempt_id, time.time()])

    async def finish(self, writer, headers, mode):
        """Answer a request that has run."""
        content = f"{self.target_id} ran it".encode()
        if mode == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            return False
        elif mode == "unframed":
            attempt_id = headers.get("x-attempt-id", "")
            writer.write(sealed_head(attempt_id) + b"\r\n" + content)
            return False
        elif mode == "status-000":
            attempt_id = headers.get("x-attempt-id", "")
            lines = sealed_head(attempt_id).replace(b" 200 OK", b" 000 None")
            writer.write(lines + b"Content-Length: 0\r\n\r\n")
            return True
        elif mode == "stray":
            stray = {**headers, "x-attempt-id": "another"}
            self.write(writer, 200, stray, b"not yours")
            await writer.drain()
            await asyncio.sleep(0.02)
        status = {"error": 500, "unproven": 503}.get(mode, 200)
        extra = ["Server-Leaving: 1"] if mode == "leaving" else []
        self.write(writer, status, headers, content, extra=extra)
        return True

    def write(
        self,
        writer,
        status,
        headers,
        body,
        not_executed=False,
        instance=False,
        extra=(),
    ):
        """Write one answer."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        if "x-attempt-id" in headers:
            lines.append(f"X-Attempt-Id: {headers['x-attempt-id']}")
        if not_executed:
            lines.append("X-Not-Executed: 1")
        elif instance:
            lines.append(f"X-Instance-Id: {self.target_id}")
        else:
            lines.append(f"X-Response-Seal: {SEAL}")
        lines.append(f"X-Backend-Load: 0,0,{SLOTS}")
        lines += extra
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def sealed_head(attempt_id):
    """Return the start of a success, up to its framing."""
    lines = ["HTTP/1.1 200 OK", f"X-Response-Seal: {SEAL}"]
    lines.append(f"X-Attempt-Id: {attempt_id}")
    return "\r\n".join(lines).encode() + b"\r\n"


async def read_head(reader):
    """Return method, path and headers in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = text.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    method, path, _ = request_line.split(" ")
    return method, path, headers


async def is_closed_within(reader, limit_s):
    """Tell whether the other side closes its connection before ``limit_s`` pass."""
    try:
        async with asyncio.timeout(limit_s):
            return await reader.read(1) == b""
    except TimeoutError:
        return False


async def read_body(reader, headers):
    """Return the body of a request."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def register(store, target_id, service, port, zone):
    """Write the target's entry into the store."""
    entry = {
        "address": f"127.0.0.1:{port}",
        "info": {"service": service, "version": "v1", "zone": zone, "slots": SLOTS},
        "status": {"state": "ready", "seqNo": 1, "coldRemainingMs": 0},
        "born": int(time.time() * 1000),
    }
    value = base64.b64encode(json.dumps(entry).encode()).decode()
    put = {"key": f"servers/{target_id}", "value": value, "lease": 0}
    async with (
        ClientSession() as session,
        session.post(f"http://{store}/kv-txn", json={"puts": [put]}) as response,
    ):
        response.raise_for_status()


async def serve(store, target_id, service, zone):
    """Run the target until it is stopped."""
    target = PlatformTarget(target_id)
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    await register(store, target_id, service, port, zone)
    print_ready("platform_target", "127.0.0.1", port, id=target_id)
    await wait_for_stop()


@click.command()
@click.option("--store", required=True, help="Address and port of the store.")
@click.option("--id", "target_id", required=True, help="Id of the target.")
@click.option("--service", required=True, help="Service that it belongs to.")
@click.option("--zone", default="mvd-a", help="Its failure domain.")
def main(store, target_id, service, zone):
    """Run the stand-in of a target."""
    asyncio.run(serve(store, target_id, service, zone))


if __name__ == "__main__":
    main()
