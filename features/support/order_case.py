"""One order with its resends, and what its callers were told."""

import http.client
import time
from dataclasses import dataclass

from features.support.http import send
from features.support.processes import eventually
from features.support.promise_fleet import WORKSPACE

DEADLINE_MS = 4000
ANSWER_TIMEOUT_S = 8.0


@dataclass(slots=True)
class Told:
    """What one caller was told.

    Attributes
    ----------
    answer : HttpAnswer or None
        None when the connection ended, or stayed silent, without a whole answer.
    at_unix_s : float
        When the answer was there, in Unix seconds.
    """

    attempt: int
    answer: object
    at_unix_s: float

    @property
    def text(self):
        """Outcome and reason, or ``none``."""
        if self.answer is None:
            return "none"
        headers = self.answer.headers
        outcome = headers.get("oleander-outcome", "no-outcome")
        return f"{outcome}:{headers.get('oleander-reason', '')}"


class OrderCase:
    """An order, three claim holders, an entry and two hosts for resends.

    All hosts are sound at the start and different from each other.

    Parameters
    ----------
    fleet : PromiseFleet
    service : str
    """

    def __init__(self, fleet, service):
        self.fleet = fleet
        self.service = service
        self.told = []
        self.attempts = 0
        sound = fleet.sound_hosts()
        self.holders = []
        for domain in fleet.failure_domains:
            self.holders.append(
                next(host for host in sound if host.failure_domain == domain)
            )
        rest = [host for host in sound if host not in self.holders]
        self.entry = rest[0]
        self.others = rest[1:3]
        holder_ids = {host.host_id for host in self.holders}
        self.key = fleet.new_key(service, holder_ids)
        self.claims_before = [fleet.status(host)["claims"] for host in self.holders]

    def check_holders(self):
        """Check that the chosen holders are those that hold this order's claim.

        Without it, a change of the ranking would leave the faults of holders
        without any effect on the order.
        """
        for host, before in zip(self.holders, self.claims_before, strict=True):
            claims = self.fleet.status(host)["claims"]
            assert claims == before + 1, f"{host.host_id}: {before}, then {claims}"

    def send(self, host, work_ms=20, deadline_ms=DEADLINE_MS):
        """Send the order to a host without waiting for the answer."""
        self.attempts += 1
        headers = {
            "Idempotency-Key": self.key,
            "Oleander-Workspace": WORKSPACE,
            "Oleander-Deadline-Ms": str(deadline_ms),
            "X-Load-Id": self.key,
            "X-Load-Attempt": str(self.attempts),
            "X-Work-Ms": str(work_ms),
        }
        path = f"/{self.service}/orders"
        request = send(host.caller_port, "POST", path, b"12 sacks", headers)
        request.attempt = self.attempts
        return request

    def read(self, request):
        """Wait for the answer of a request and keep what was told."""
        try:
            answer = request.answer(ANSWER_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            answer = None
        request.close()
        told = Told(request.attempt, answer, time.time())
        self.told.append(told)
        return told

    def order(self, host, **options):
        """Send the order and wait for its answer."""
        return self.read(self.send(host, **options))

    def runs(self):
        """Return the runs of the order in all ledgers."""
        return self.fleet.runs(self.key)

    def wait_started(self):
        """Wait until a target runs the order."""
        eventually(self.runs, message="no target started the order")

    def false_not_run(self):
        """Return the attempts that were told not-run after the order had run."""
        runs = self.runs()
        wrong = []
        for told in self.told:
            if not told.text.startswith("not-run"):
                continue
            for run in runs:
                is_own = run["attempt"] == str(told.attempt)
                if is_own or run["started"] <= told.at_unix_s:
                    wrong.append(told.attempt)
        return wrong
