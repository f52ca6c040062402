"""Open-loop load: sends at planned arrival times, whatever the answers do.

Run it as ``python -m standins.load PLAN.json``. The first line of its output
tells that it is ready, the last one is the report.
"""

import asyncio
import hashlib
import json
import signal
import time
from dataclasses import asdict
from pathlib import Path

import aiohttp
import click
import uvloop

from .load_plan import load_plan
from .load_report import (
    AttemptRecord,
    RequestRecord,
    Summary,
    audit_ledgers,
    per_second,
)
from .runtime import print_ready
from .target_exchange import answer_body

LEDGER_TIMEOUT_S = 30.0
# Pause between two tries at a ledger whose target does not listen yet.
LEDGER_RETRY_S = 0.2
CHUNK_BYTES = 65_536


class LoadRun:
    """One run of a plan.

    Parameters
    ----------
    plan : Plan
    """

    def __init__(self, plan):
        self.plan = plan
        self.records = []
        self.stop = asyncio.Event()
        self.session = None
        self.started_at = 0.0

    async def run(self):
        """Send all requests, wait for their ends and return the report."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            # aiohttp would silently resend a GET on a broken connection and so
            # hide what a caller sees.
            session._retry_connection = False
            self.session = session
            async with asyncio.TaskGroup() as group:
                await self.send_all(group)
            return await self.report()

    async def send_all(self, group):
        """Start each request at its time."""
        self.started_at = time.monotonic()
        for arrival in self.plan.arrivals():
            wait_s = self.started_at + arrival.at_s - time.monotonic()
            if wait_s > 0:
                await self.sleep_or_stop(wait_s)
            if self.stop.is_set():
                return
            group.create_task(self.send_request(arrival))

    async def sleep_or_stop(self, seconds):
        """Sleep, unless the run is stopped before."""
        try:
            async with asyncio.timeout(seconds):
                await self.stop.wait()
        except TimeoutError:
            pass

    async def send_request(self, arrival):
        """Send one planned request, and again where the resend policy says so."""
        kind = arrival.kind
        planned = self.started_at + arrival.at_s
        deadline = planned + kind.deadline_ms / 1000
        record = RequestRecord(
            load_id=arrival.load_id,
            kind=kind.name,
            phase=arrival.phase,
            at_s=arrival.at_s,
            is_keyed=kind.keyed,
            deadline_s=kind.deadline_ms / 1000,
            send_lag_s=time.monotonic() - planned,
        )
        self.records.append(record)
        body = answer_body(arrival.load_id, kind.body_bytes)
        number = 0
        while True:
            number += 1
            entry = self.plan.entries[
                (arrival.entry + number - 1) % len(self.plan.entries)
            ]
            attempt = await self.attempt(arrival, number, entry, body, deadline)
            record.attempts.append(attempt)
            record.latency_s = time.monotonic() - planned
            resend = self.plan.resend
            if not resend.applies(kind.name, number, attempt.outcome, attempt.status):
                return
            await asyncio.sleep(resend.backoff_ms / 1000)
            if time.monotonic() >= deadline:
                return

    async def attempt(self, arrival, number, entry, body, deadline):
        """Send a request once and return what the caller saw."""
        left_s = max(deadline - time.monotonic(), 0.001)
        timeout = aiohttp.ClientTimeout(total=left_s + self.plan.grace_ms / 1000)
        kind = arrival.kind
        data = body or None
        if kind.chunked and body:
            data = chunks_of(body)
        try:
            async with self.session.request(
                kind.method,
                entry.rstrip("/") + kind.path.replace("{id}", arrival.load_id),
                data=data,
                headers=self.headers(arrival, number, left_s),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                received = await response.read()
        except TimeoutError:
            return AttemptRecord(number, "timeout", reason="timeout")
        except (aiohttp.ClientError, OSError) as error:
            return AttemptRecord(number, "error", reason=type(error).__name__)
        return self.judge(arrival, number, response, received, body)

    def headers(self, arrival, number, left_s):
        """Return the request headers of one attempt."""
        kind = arrival.kind
        headers = {
            "Oleander-Workspace": self.plan.workspace,
            "Oleander-Deadline-Ms": str(int(left_s * 1000)),
            "X-Work-Ms": str(kind.work_ms),
            "X-Answer-Bytes": str(kind.answer_bytes),
            "X-Load-Id": arrival.load_id,
            "X-Load-Attempt": str(number),
            "Content-Type": "application/octet-stream",
            **kind.headers,
        }
        if kind.chunked_answer:
            headers["X-Answer-Chunked"] = "1"
        if kind.keyed:
            headers["Idempotency-Key"] = arrival.load_id
        return headers

    def judge(self, arrival, number, response, received, body):
        """Classify a whole answer and check it against the request."""
        headers = response.headers
        attempt = AttemptRecord(
            number=number,
            outcome=headers.get("Oleander-Outcome", "none"),
            status=response.status,
            reason=headers.get("Oleander-Reason", ""),
        )
        if attempt.reason == "already-run":
            recorded = headers.get("Oleander-Recorded-Status", "")
            attempt.is_success = recorded.startswith("2")
            return attempt
        if not 200 <= response.status < 300:
            return attempt
        attempt.integrity = check_integrity(arrival, headers, received, body)
        attempt.is_success = attempt.integrity == "ok"
        return attempt

    async def report(self):
        """Read the ledgers and return the report as a JSON value."""
        rows, unreachable = [], []
        for url in self.plan.ledgers:
            try:
                rows.extend(await self.fetch_ledger(url))
            except (aiohttp.ClientError, TimeoutError, OSError):
                unreachable.append(url)
        phases = []
        for number in range(len(self.plan.phases)):
            records = [record for record in self.records if record.phase == number]
            phases.append(Summary(records).to_json())
        return {
            "run_id": self.plan.run_id,
            "seed": self.plan.seed,
            "interrupted": self.stop.is_set(),
            "total": Summary(self.records).to_json(),
            "phases": phases,
            "per_second": per_second(self.records),
            "audit": asdict(audit_ledgers(self.records, rows, unreachable)),
        }

    async def fetch_ledger(self, url):
        """Return the rows of one target's ledger.

        A target that was killed may still be starting when the load ends; it is
        asked again for ``LEDGER_TIMEOUT_S`` in all.
        """
        async with asyncio.timeout(LEDGER_TIMEOUT_S):
            while True:
                try:
                    return await self.read_ledger(url)
                except aiohttp.ClientConnectionError:
                    await asyncio.sleep(LEDGER_RETRY_S)

    async def read_ledger(self, url):
        """Ask for the rows of one target's ledger once."""
        async with self.session.get(
            url.rstrip("/") + "/ledger", raise_for_status=True
        ) as response:
            return await response.json()


def check_integrity(arrival, headers, received, body):
    """Compare an answer with the one that this very request must get."""
    expected = answer_body(arrival.load_id, arrival.kind.answer_bytes)
    if len(received) != len(expected):
        return "wrong_length"
    if received != expected:
        return "wrong_body"
    if headers.get("X-Body-Sha256") != hashlib.sha256(body).hexdigest():
        return "wrong_echo"
    return "ok"


async def chunks_of(body):
    """Yield a body in pieces, which aiohttp sends as chunks."""
    for offset in range(0, len(body), CHUNK_BYTES):
        yield body[offset : offset + CHUNK_BYTES]


async def run_plan(document):
    """Run a plan given as a JSON value and return the report."""
    return await LoadRun(load_plan(document)).run()


async def run_command(document, output):
    """Run a plan until its end or a stop signal, and print the report."""
    run = LoadRun(load_plan(document))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, run.stop.set)
    loop.add_signal_handler(signal.SIGINT, run.stop.set)
    print_ready("standins.load", "", 0, run_id=run.plan.run_id)
    report = json.dumps(await run.run())
    if output is not None:
        Path(output).write_text(report + "\n")
    print(report, flush=True)


@click.command()
@click.argument("plan", type=click.Path(exists=True, dir_okay=False))
@click.option("--output", default=None, help="File that also gets the report.")
def main(plan, output):
    """Send the load that the JSON file PLAN describes."""
    document = json.loads(Path(plan).read_text())
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_command(document, output))


if __name__ == "__main__":
    main()
