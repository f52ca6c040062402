"""Callers that send what no trusted caller sends, and stay connected."""

import asyncio
import time
from pathlib import Path

from features.support.platform_fleet import HOST

KIB = 1024
MIB = 1024 * 1024
CONNECT_TIMEOUT_S = 10.0
# A caller that can't send for this time has been stopped by the host.
SEND_TIMEOUT_S = 5.0
SAMPLE_S = 0.02


def head(path, framing):
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Attempt-Id: untrusted",
        "X-Deadline-Remaining: 1500",
        framing,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(size):
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


def large_chunks():
    yield head("/order/1", "Transfer-Encoding: chunked")
    for _ in range(15):
        yield chunk(64 * KIB)
    # Stops short of the end of the last chunk, just under 1 MiB.
    yield chunk(64 * KIB)[: 60 * KIB]


def tiny_chunks():
    yield head("/order/1", "Transfer-Encoding: chunked")
    for _ in range(16):
        yield chunk(1) * 2000


def announced():
    yield head("/order/1", f"Content-Length: {2_000_000_000}")
    for _ in range(16):
        yield b"x" * 64 * KIB


def far_over():
    yield head("/order/1", "Transfer-Encoding: chunked")
    for _ in range(320):
        yield chunk(64 * KIB)


def legal_whole():
    yield head("/order/1", f"Content-Length: {4 * MIB}")
    for _ in range(16):
        yield b"x" * 256 * KIB


def legal_pieces():
    yield head("/order/1", f"Content-Length: {MIB}")
    for _ in range(255):
        yield b"x" * 4 * KIB
    yield b"x" * (4 * KIB - 1)


def single_bytes():
    yield head("/order/1", f"Content-Length: {MIB}")
    for _ in range(2000):
        yield b"x"


def unread_answers():
    yield head("/order/~endless-chunks", "Content-Length: 0")


def incomplete_heads():
    yield head("/order/1", "X-Long: " + "x" * 8000)[:-4]


LOADS = {
    "large chunks that stop short": large_chunks,
    "tiny chunks that stop short": tiny_chunks,
    "an announced length over the limit": announced,
    "chunks far over the limit": far_over,
    "legal sizes as a whole": legal_whole,
    "legal sizes in pieces that stop short": legal_pieces,
    "single bytes that stop short": single_bytes,
    "answers left unread": unread_answers,
    "incomplete heads": incomplete_heads,
}


class DescriptorCount:
    """Largest number of open descriptors of a process that was seen."""

    def __init__(self, process):
        self.process = process
        self.most = 0

    def sample(self):
        if self.process.is_running():
            found = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
            self.most = max(self.most, found)


class UntrustedCrowd:
    """Connections that send one kind of load and stay open until ``close``.

    Parameters
    ----------
    address : str
    port : int
    descriptors : DescriptorCount
    """

    def __init__(self, address, port, descriptors):
        self.address = address
        self.port = port
        self.descriptors = descriptors
        self.loop = asyncio.new_event_loop()
        self.writers = []

    def send(self, load, count):
        self.loop.run_until_complete(self.send_all(load, count))

    async def send_all(self, load, count):
        sampler = asyncio.ensure_future(self.sample())
        try:
            await asyncio.gather(*(self.send_one(load) for _ in range(count)))
        finally:
            sampler.cancel()

    async def sample(self):
        while True:
            self.descriptors.sample()
            await asyncio.sleep(SAMPLE_S)

    async def send_one(self, load):
        """Send until the load ends, or the host stops reading or closes."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # Nothing is read from a connection beyond this limit of its buffer.
                reader, writer = await asyncio.open_connection(
                    self.address, self.port, limit=KIB
                )
        except (TimeoutError, OSError):
            return
        self.writers.append((reader, writer))
        try:
            for data in LOADS[load]():
                writer.write(data)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await writer.drain()
                await asyncio.sleep(0)
        except (TimeoutError, OSError):
            return

    def close(self):
        self.loop.run_until_complete(self.close_all())
        self.loop.close()

    async def close_all(self):
        for _, writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)


def wait_for_answer(fleet, name, limit_s):
    """Send ordinary requests until one is answered by a target."""
    ends_at = time.monotonic() + limit_s
    seen = []
    while time.monotonic() < ends_at:
        try:
            status = fleet.send(
                name, "POST", "/order/ordinary", f"ordinary-{len(seen)}", b"x" * 300
            )[0]
        except (OSError, ValueError, IndexError, AssertionError) as error:
            status = type(error).__name__
        if status == 200:
            return
        seen.append(status)
        time.sleep(0.2)
    raise AssertionError(f"no ordinary request was answered: {seen}")
