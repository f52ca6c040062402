"""The entry's side of at-most-once claims between hosts."""

import asyncio
import secrets
from dataclasses import dataclass

from ..decisions.claims import ClaimDecision, ClaimRound, DecisionKind
from ..errors import PeerError
from ..ids import ClaimKey, ClaimOwner, Fingerprint, HostId
from ..peer.gen.oleander_messages.ttypes import ClaimHandover, ClaimRequest
from .claim_messages import (
    completion,
    export_to_message,
    release,
    vote_from_reply,
)

# Two tries within the time a caller notices; a holder answers in milliseconds.
VOTE_TIMEOUT_S = 0.4
VOTE_TRIES = 2
# A lost release leaves the key refused until the claim expires, and a lost
# completion leaves a resend without its answer, so both are repeated.
UPDATE_TRIES = 5
UPDATE_TIMEOUT_S = 0.5
UPDATE_PAUSE_S = 0.5
OWNER_BYTES = 12
# A handover message stays below the frame limit of 1 MiB: 32 answers of 16 KiB.
HANDOVER_BATCH = 32
HANDOVER_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ClaimHandle:
    """A finished claim round of one request.

    Attributes
    ----------
    latest_dispatch_unix_s : float
        Unix seconds after which a target must refuse to start the request.
    """

    key: ClaimKey
    owner: ClaimOwner
    fingerprint: Fingerprint
    holders: tuple[HostId, ...]
    decision: ClaimDecision
    latest_dispatch_unix_s: float


class ClaimClient:
    """Asks the holders of a key for a claim and tells them how its request ended.

    Parameters
    ----------
    views : ClaimViews
    topology : Topology
    messenger : Messenger
    lifetime_s : float
    limits : ClaimLimits
    clock : Clock
    """

    def __init__(self, views, topology, messenger, lifetime_s, limits, clock):
        self.views = views
        self.topology = topology
        self.messenger = messenger
        self.lifetime_s = lifetime_s
        self.limits = limits
        self.clock = clock
        self.updates = set()

    async def claim(self, region, key, fingerprint, time_budget_s):
        """Run one claim round.

        Parameters
        ----------
        region : Region
            Region of the service.
        key : ClaimKey
        fingerprint : Fingerprint
        time_budget_s : float
            Seconds that the request has left.

        Returns
        -------
        ClaimHandle
        """
        owner = ClaimOwner(secrets.token_urlsafe(OWNER_BYTES))
        holders = self.views.of(region).holders(key, self.clock.now())
        claim_round = ClaimRound(
            holders, owner, self.lifetime_s, self.limits, self.clock
        )
        request = ClaimRequest(key, owner, fingerprint, holders)
        await self.collect_votes(claim_round, request, time_budget_s)
        decision = claim_round.close()
        handle = ClaimHandle(
            key,
            owner,
            fingerprint,
            tuple(holders),
            decision,
            claim_round.dispatch_deadline_unix_s(time_budget_s),
        )
        self.release_at(handle, claim_round.holders_to_release())
        return handle

    async def collect_votes(self, claim_round, request, time_budget_s):
        """Ask all holders at once, until the votes decide or time is up."""
        votes = set()
        for holder in claim_round.holders:
            votes.add(asyncio.ensure_future(self.vote_of(holder, request)))
        deadline = self.clock.now() + min(time_budget_s, VOTE_TIMEOUT_S * VOTE_TRIES)
        try:
            while votes and claim_round.decision().kind is DecisionKind.PENDING:
                remaining = deadline - self.clock.now()
                done, votes = await asyncio.wait(
                    votes, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    return
                for task in done:
                    holder, vote = task.result()
                    if vote is not None:
                        claim_round.add_vote(holder, vote)
        finally:
            for task in votes:
                # The claim must reach every holder even when two votes decide.
                self.keep(task)

    async def vote_of(self, holder, request):
        """Return the holder and its vote, or None when it does not answer."""
        host = self.topology.hosts.get(holder)
        if host is None:
            return holder, None
        for _ in range(VOTE_TRIES):
            try:
                reply = await self.messenger.ask(
                    host, "claim_request", request, VOTE_TIMEOUT_S
                )
                return holder, vote_from_reply(reply)
            except PeerError:
                continue
        return holder, None

    def complete(self, handle, answer):
        """Tell all holders that the request ran, in the background."""
        message = completion(handle.key, handle.owner, handle.fingerprint, answer)
        self.send_update(handle.holders, message)

    def release(self, handle):
        """Tell all holders that the request was proven not to have run."""
        self.release_at(handle, handle.holders)

    def release_at(self, handle, holders):
        """Give up the claim at some holders."""
        if holders:
            self.send_update(holders, release(handle.key, handle.owner))

    def send_update(self, holders, message):
        """Start one background delivery per holder."""
        for holder in holders:
            self.keep(asyncio.ensure_future(self.deliver(holder, message)))

    def keep(self, task):
        """Hold a reference to a background task until it ends."""
        self.updates.add(task)
        task.add_done_callback(self.updates.discard)

    async def deliver(self, holder, message):
        """Send an update until the holder acknowledges it."""
        for _ in range(UPDATE_TRIES):
            host = self.topology.hosts.get(holder)
            if host is None:
                return
            try:
                await self.messenger.ask(
                    host, "claim_update", message, UPDATE_TIMEOUT_S
                )
                return
            except PeerError:
                await asyncio.sleep(UPDATE_PAUSE_S)

    async def hand_over(self, exports):
        """Send the claims of this host to the hosts that rank after it.

        A claim whose holder stops stays known to two holders; the handover keeps
        a third copy, so that a crash during a rolling restart loses none.
        """
        batches = {}
        for export in exports:
            for holder in self.heirs_of(export.key):
                batches.setdefault(holder, []).append(export_to_message(export))
        for holder, messages in batches.items():
            for start in range(0, len(messages), HANDOVER_BATCH):
                batch = messages[start : start + HANDOVER_BATCH]
                await self.hand_over_batch(holder, batch)

    def heirs_of(self, key):
        """Return the other holders of a key."""
        own_id = self.topology.own.host_id
        holders = self.views.own.holders(key, self.clock.now())
        return [holder for holder in holders if holder != own_id]

    async def hand_over_batch(self, holder, messages):
        """Send one batch; a holder that does not answer goes without."""
        host = self.topology.hosts.get(holder)
        if host is None:
            return
        try:
            await self.messenger.ask(
                host, "claim_handover", ClaimHandover(messages), HANDOVER_TIMEOUT_S
            )
        except PeerError:
            return

    async def close(self):
        """Wait for pending updates, then cancel what is left."""
        if self.updates:
            await asyncio.wait(self.updates, timeout=UPDATE_TIMEOUT_S)
        for task in list(self.updates):
            task.cancel()
