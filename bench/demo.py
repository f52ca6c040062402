"""Starts a small fleet, serves one request of each kind, and stops everything."""

import asyncio
import hashlib
import os
import sys
import time
import uuid
from contextlib import ExitStack

import aiohttp

from .fleet import LocalFleet, ServicePlan
from .routes import EXAMPLE_ROUTES

UPLOAD_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 256 * 1024


def say(text):
    """Print one step."""
    print(text, flush=True)


async def upload_chunks(content):
    """Yield the upload in chunks."""
    for start in range(0, len(content), CHUNK_BYTES):
        yield content[start : start + CHUNK_BYTES]


async def serve_requests(fleet):
    """Send a lookup, an order and an upload through different hosts."""
    upload = os.urandom(UPLOAD_BYTES)
    digest = hashlib.sha256(upload).hexdigest()
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{fleet.url(0)}/stock/confetti-red") as answer:
            await report_answer("lookup through host-1", answer)
        headers = {"Idempotency-Key": str(uuid.uuid4())}
        for index, name in ((1, "order through host-2"), (2, "its resend to host-3")):
            async with session.post(
                f"{fleet.url(index)}/orders", data=b"12 sacks", headers=headers
            ) as answer:
                await report_answer(name, answer)
        started_at = time.monotonic()
        async with session.put(
            f"{fleet.url(2)}/artwork/heart",
            data=upload_chunks(upload),
            headers={"Content-Length": str(UPLOAD_BYTES)},
        ) as answer:
            await report_answer("64 MiB upload through host-3", answer)
            if answer.headers.get("X-Body-Sha256") != digest:
                raise AssertionError("the upload did not arrive whole")
        elapsed_s = time.monotonic() - started_at
        say(f"  SHA-256 matches; {elapsed_s:.1f} s")


async def report_answer(name, answer):
    """Print an answer; anything but a served request fails the demo."""
    await answer.read()
    outcome = answer.headers.get("Oleander-Outcome")
    reason = answer.headers.get("Oleander-Reason")
    say(f"  {name}: {answer.status}, outcome {outcome}, reason {reason}")
    if answer.status != 200 or outcome != "answered":
        raise AssertionError(f"{name} was not served")


def check_ledgers(fleet):
    """Check that each request ran exactly once."""
    runs = []
    for target_id in fleet.targets:
        for run in fleet.ledger(target_id):
            runs.append((target_id, run))
    for target_id, run in runs:
        say(f"  {target_id} ran {run['request_id']}")
    if len(runs) != 3:
        raise AssertionError(f"{len(runs)} runs for 3 requests")


def main():
    """Run the demo; returns the exit code."""
    with ExitStack() as stack:
        services = {"pedidos": ServicePlan(4), "disenos": ServicePlan(3)}
        fleet = LocalFleet(stack, services, EXAMPLE_ROUTES)
        say("starting the platform, 7 targets and 3 daemons, one per failure domain")
        fleet.start()
        for host in fleet.hosts:
            status = fleet.status(host)
            say(f"  {host.host_id}: ready, revision {status['revision']} in force")
        say("sending requests")
        asyncio.run(serve_requests(fleet))
        say("reading the targets' ledgers: each request ran once")
        check_ledgers(fleet)
        say("stopping the daemons")
        for host in fleet.hosts:
            code = fleet.daemons[host.host_id].stop()
            say(f"  {host.host_id}: exit code {code}")
            if code != 0:
                raise AssertionError(f"{host.host_id} ended with {code}")
    say("done")
    return 0


if __name__ == "__main__":
    sys.exit(main())
