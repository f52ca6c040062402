"""Processes requests of callers, from routing to the answer."""

import asyncio
from dataclasses import dataclass

from .. import events
from ..decisions.claims import DecisionKind, RecordedAnswer
from ..decisions.fingerprint import (
    claim_fingerprint,
    claim_key,
)
from ..errors import CallerDisconnected, format_failure
from ..ids import ServiceName, Workspace
from ..outcome import CallerOutcome
from .attempts import AttemptRunner
from .context import BUFFERED_BODY_BYTES, RequestContext, refusal_outcome
from .messages import BodyTooLarge, CallerAnswer, read_body_prefix
from .refusals import RefusalReason, refuse
from .route_table import RouteTable

KEY_HEADER = b"idempotency-key"
WORKSPACE_HEADER = b"oleander-workspace"
DEADLINE_HEADER = b"oleander-deadline-ms"
REPLAY_REASON = "recorded"
CALLER_HEADERS = {
    KEY_HEADER: "key",
    WORKSPACE_HEADER: "workspace",
    DEADLINE_HEADER: "deadline_ms",
}
CLAIM_REFUSALS = {
    DecisionKind.HELD: RefusalReason.CLAIM_HELD,
    DecisionKind.KEY_REUSED: RefusalReason.KEY_REUSED,
    DecisionKind.KEY_EXPIRED: RefusalReason.KEY_TOO_OLD,
    DecisionKind.UNKNOWN: RefusalReason.CLAIM_UNAVAILABLE,
    DecisionKind.NOT_RUN: RefusalReason.CLAIM_UNAVAILABLE,
}


@dataclass(frozen=True, slots=True)
class ServingView:
    """One revision of the declaration, prepared for serving requests.

    Attributes
    ----------
    entries : dict
        Service name to ``ServiceEntry``.
    """

    routes: RouteTable
    entries: dict[ServiceName, object]
    revision: int


@dataclass(slots=True)
class CallerHeaders:
    """The request headers that control the pipeline."""

    key: str | None = None
    workspace: str | None = None
    deadline_ms: str | None = None
    has_duplicate: bool = False


def read_caller_headers(headers):
    """Extract the headers that control the pipeline."""
    found = CallerHeaders()
    for name, value in headers:
        field = CALLER_HEADERS.get(name)
        if field is None:
            continue
        if getattr(found, field) is not None:
            found.has_duplicate = True
        setattr(found, field, value.decode("latin-1"))
    return found


class Pipeline:
    """Serves requests under the declaration in force.

    Parameters
    ----------
    claims : ClaimClient
    quarantine : Quarantine
    attempt_runner : AttemptRunner
    clock : Clock
    metrics : Metrics
    burn : BurnLedger
    """

    def __init__(self, claims, quarantine, attempt_runner, clock, metrics, burn):
        self.claims = claims
        self.quarantine = quarantine
        self.attempt_runner: AttemptRunner = attempt_runner
        self.clock = clock
        self.metrics = metrics
        self.burn = burn
        self.view = None
        # Replaced by the recovery task, which may choose a fallback service.
        self.service_for = str
        self.in_flight = 0
        self.background = set()

    def set_view(self, view):
        """Serve new requests under another revision; running requests keep theirs."""
        self.view = view

    async def handle(self, request):
        """Answer one request.

        Parameters
        ----------
        request : CallerRequest

        Returns
        -------
        CallerAnswer
        """
        self.in_flight += 1
        try:
            return await self.serve(request)
        except BodyTooLarge:
            return self.refuse_early(request, RefusalReason.BODY_TOO_LARGE)
        except CallerDisconnected:
            return self.refuse_early(request, RefusalReason.BODY_INCOMPLETE)
        finally:
            self.in_flight -= 1

    async def serve(self, request):
        """Find the route, read the start of the body and run the request."""
        view = self.view
        if view is None:
            return self.refuse_early(request, RefusalReason.NOT_CONFIGURED)
        headers = read_caller_headers(request.headers)
        if headers.has_duplicate:
            # With two keys, the one that identifies the request is ambiguous.
            return self.refuse_early(request, RefusalReason.DUPLICATE_HEADER)
        match = view.routes.match(request.method, request.path, headers.workspace)
        route = match.route
        if route is None:
            return self.refuse_early(request, RefusalReason(match.miss.value))
        deadline_s = self.deadline_s(route, headers.deadline_ms)
        if deadline_s is None:
            return self.refuse_early(request, RefusalReason.BAD_DEADLINE)
        context = RequestContext(
            request=request,
            route=route,
            entry=view.entries[self.service_for(route.service)],
            workspace=Workspace(headers.workspace or ""),
            claim_region=view.entries[route.service].service.region,
            deadline_at=request.received_at + deadline_s,
            idempotency_key=headers.key,
        )
        request.body.limit(route.max_body_bytes)
        if request.body.length != 0:
            context.body_prefix = await read_body_prefix(
                request.body, BUFFERED_BODY_BYTES
            )
        try:
            answer = await self.run_shielded(context)
        except Exception as error:
            events.CALLER_REQUEST_FAILED.log(
                path=request.path,
                error=type(error).__name__,
                reason=format_failure(error),
            )
            # It is unknown here whether the request reached a target.
            answer = refuse(RefusalReason.INTERNAL, CallerOutcome.UNKNOWN)
        self.record_metrics(context, answer)
        return answer

    def deadline_s(self, route, text):
        """Return the time limit of a request in seconds, or None for a bad header."""
        if text is None:
            return route.deadline_ms / 1000
        if not text.isascii() or not text.isdecimal() or int(text) == 0:
            return None
        return min(route.deadline_ms, int(text)) / 1000

    async def run_shielded(self, context):
        """Run a request; one with a claim continues after its caller disconnects.

        Its answer is then recorded for a resend by the caller.
        """
        if not context.needs_claim:
            return await self.run(context)
        task = asyncio.ensure_future(self.run(context))
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return await asyncio.shield(task)

    async def run(self, context):
        """Check quarantine and claim, then send the request to targets."""
        if self.is_quarantined(context):
            # The requests that caused the quarantine did reach targets.
            context.may_have_run = not context.is_idempotent
            return self.refuse(context, RefusalReason.CRASH_QUARANTINE)
        if context.needs_claim:
            settled = await self.acquire_claim(context)
            if settled is not None:
                return settled
        answer = await self.run_claimed(context)
        if context.claim is not None:
            self.settle_claim(context, answer)
        return answer

    def is_quarantined(self, context):
        """Return whether a request is quarantined for crashing targets."""
        if not self.quarantine.refused:
            return False
        fingerprint = context.crash_fingerprint()
        return self.quarantine.is_refused(fingerprint, self.clock.now())

    async def run_claimed(self, context):
        """Send the request to targets; an incomplete or oversized body is refused."""
        try:
            return await self.attempt_runner.run(context)
        except CallerDisconnected:
            return self.refuse(context, RefusalReason.BODY_INCOMPLETE)
        except BodyTooLarge:
            # The size of a chunked body is known only while it is forwarded.
            return self.refuse(context, RefusalReason.BODY_TOO_LARGE)

    async def acquire_claim(self, context):
        """Claim the key of a request.

        Returns
        -------
        CallerAnswer or None
            The answer when the request must not run, None when it may.
        """
        request = context.request
        # The key does not include the route id, because an operator may rename a route
        # between a request and its resend.
        key = claim_key(
            context.workspace,
            f"{request.method} {request.path}",
            context.idempotency_key,
        )
        fingerprint = claim_fingerprint(
            request.method,
            request.path,
            context.workspace,
            request.body.length,
            context.body_prefix.content,
        )
        time_budget_s = context.deadline_at - self.clock.now()
        handle = await self.claims.claim(
            context.claim_region, key, fingerprint, time_budget_s
        )
        kind = handle.decision.kind
        if kind is DecisionKind.GRANTED:
            context.claim = handle
            return None
        if kind is DecisionKind.COMPLETED:
            return self.replay(handle.decision.answer)
        reason = CLAIM_REFUSALS[kind]
        outcome = CallerOutcome.UNKNOWN
        if kind is DecisionKind.NOT_RUN:
            outcome = CallerOutcome.NOT_RUN
        return refuse(reason, outcome)

    def replay(self, recorded):
        """Answer a resend with the recorded answer of the first run."""
        status = str(recorded.status).encode()
        marker = (b"oleander-recorded-status", status)
        if recorded.body is None:
            answer = refuse(RefusalReason.ALREADY_RUN, CallerOutcome.ANSWERED)
            answer.headers.append(marker)
            return answer
        headers = []
        for name, value in recorded.headers.items():
            headers.append((name.encode("latin-1"), value.encode("latin-1")))
        headers.append(marker)
        return CallerAnswer(
            status=recorded.status,
            headers=headers,
            body=recorded.body,
            outcome=CallerOutcome.ANSWERED,
            reason=REPLAY_REASON,
        )

    def settle_claim(self, context, answer):
        """Complete or release the claim, depending on the outcome.

        After an unknown outcome the claim is kept, so that a resend can't run.
        """
        if answer.outcome is CallerOutcome.NOT_RUN:
            self.claims.release(context.claim)
            return
        if answer.outcome is CallerOutcome.UNKNOWN:
            return
        body = answer.body if isinstance(answer.body, bytes) else None
        headers = {}
        for name, value in answer.headers:
            headers[name.decode("latin-1")] = value.decode("latin-1")
        self.claims.complete(
            context.claim, RecordedAnswer(answer.status, headers, body)
        )

    def refuse(self, context, reason):
        """Refuse a request; the outcome is ``NOT_RUN`` only if that is proven."""
        return refuse(reason, refusal_outcome(context))

    def refuse_early(self, request, reason):
        """Refuse a request that has no context yet.

        An earlier request with the same key may have run, so without a claim a request
        with a key never gets the outcome ``NOT_RUN``.
        """
        outcome = CallerOutcome.NOT_RUN
        for name, _ in request.headers:
            if name == KEY_HEADER:
                outcome = CallerOutcome.UNKNOWN
        self.metrics.requests.inc(
            {
                "service": "",
                "class": "",
                "outcome": outcome.value,
                "reason": reason.value,
            }
        )
        return refuse(reason, outcome)

    def record_metrics(self, context, answer):
        """Record a finished request in the metrics and the burn ledger."""
        labels = {
            "service": context.route.service,
            "class": context.route.request_class.name.lower(),
            "outcome": answer.outcome.value,
            "reason": answer.reason,
        }
        self.metrics.requests.inc(labels)
        elapsed_s = self.clock.now() - context.request.received_at
        self.burn.record(context, answer, elapsed_s)

    async def close(self):
        """Wait for claimed requests that still run after their callers disconnected."""
        if self.background:
            await asyncio.wait(self.background)
