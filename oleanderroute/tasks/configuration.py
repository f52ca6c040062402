"""Keeps the declaration in force on one host, and hands it to peers.

The revision in force only grows. Relays watch the head in the store; the other hosts
see newer revisions in the headers of peer messages and fetch them from peers.
"""

import asyncio
from dataclasses import dataclass

from .. import events
from ..declaration.chunks import chunk_digest, decode_manifest
from ..errors import ChunkError, PeerError, StoreError
from ..ids import Revision
from ..peer.client import PeerAddress
from ..peer.gen.oleander_messages.ttypes import ChunkRequest, ManifestRequest
from ..platform.publish import HEAD_KEY, chunk_key
from .running import MAX_REQUESTED_CHUNKS, RunningDeclaration, missing_digests

# Two hops of at most this long, and the fetches, stay well below the 12 s in which
# a change must be in force. The replies also carry the host list's version, and a
# leaving target must be known within 3 s.
POLL_PERIOD_S = 1.0
WATCH_TIMEOUT_S = 30.0
# Reconnections after an outage of the store spread over this time.
RECONNECT_JITTER_S = 5.0
# A host that no peer could help for this long asks the store. All hosts of a fleet
# that starts at once would overrun the store's read rate otherwise.
PEERLESS_LIMIT_S = 5.0
CHUNK_TIMEOUT_S = 2.0
# Chunks that are read from the store side by side.
PARALLEL_READS = 8
# Offers of newer revisions that are tried before the host waits again.
MAX_OFFERS = 3
# Bounds the call rate if the store answers each watch at once, as it may while it
# holds no head.
MIN_WATCH_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class Offer:
    """A peer that has a newer revision.

    Attributes
    ----------
    head : str or None
        The peer's manifest, if it has sent it already.
    """

    peer: PeerAddress
    revision: Revision
    head: str | None = None


class ConfigurationTask:
    """Owner of the declaration in force.

    Parameters
    ----------
    distribution : Distribution
        Which peers to ask; the host list task keeps it up to date.
    store : StoreClient
    peers : PeerClient
    clock : Clock
    rng : random.Random
    on_declaration : callable
        Told each declaration that comes into force, with its revision.
    metrics : Metrics
    sleep : callable
        Awaitable sleep; tests replace it.

    Attributes
    ----------
    running : RunningDeclaration
        What is in force on this host.
    """

    def __init__(
        self,
        distribution,
        store,
        peers,
        clock,
        rng,
        on_declaration,
        metrics,
        sleep=asyncio.sleep,
    ):
        self.distribution = distribution
        self.store = store
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.running = RunningDeclaration(on_declaration, metrics)
        self.sleep = sleep
        self.offers = {}
        self.offered = asyncio.Event()
        self.store_version = 0
        self.store_down = False
        self.store_was_read = False
        self.helped_at = clock.now()

    @property
    def current(self):
        """Return the declaration in force, or None before the first one."""
        return self.running.current

    @property
    def revision(self):
        """Return the revision in force, 0 before the first one."""
        return self.running.revision

    def register(self, server):
        """Answer the requests of peers that arrive at ``server``."""
        server.register("manifest_request", self.running.answer_manifest)
        server.register("chunk_request", self.running.answer_chunks)

    async def run(self):
        """Follow the declaration until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch_store())
            group.create_task(self.follow_offers())
            group.create_task(self.poll_peers())
            group.create_task(self.watch_for_help())

    # Newer revisions of peers

    def on_peer_header(self, header):
        """Note a newer revision; called with the header of each peer message."""
        if not self.running.is_news(header.revision):
            return
        peer = self.distribution.find_peer(header.host_id)
        if peer is None:
            return
        self.offer(Offer(peer, header.revision))

    def offer(self, offer):
        """Keep an offer, unless a better one of the same peer is known."""
        known = self.offers.get(offer.peer.host_id)
        if known is not None and known.revision > offer.revision:
            return
        if known is not None and known.revision == offer.revision and known.head:
            return
        self.offers[offer.peer.host_id] = offer
        self.offered.set()

    async def follow_offers(self):
        """Fetch what peers offer; ask the store only when none could help."""
        while True:
            await self.offered.wait()
            if await self.take_offers():
                continue
            await self.wait_for_offer(self.rng.uniform(0, RECONNECT_JITTER_S))
            if not self.offered.is_set():
                await self.read_store()

    async def wait_for_offer(self, timeout_s):
        """Wait until a peer offers a newer revision, or for ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.offered.wait()
        except TimeoutError:
            pass

    async def take_offers(self):
        """Try the offers, the newest first.

        Returns
        -------
        in_force : bool
            Whether the newest offered revision is in force now.
        """
        self.offered.clear()
        offers = list(self.offers.values())
        self.offers.clear()
        self.rng.shuffle(offers)
        offers.sort(key=lambda offer: offer.revision, reverse=True)
        for offer in offers[:MAX_OFFERS]:
            if not self.running.is_news(offer.revision):
                return True
            try:
                await self.fetch_from_peer(offer)
                self.helped_at = self.clock.now()
            except (PeerError, ChunkError) as error:
                events.PEER_FETCH_FAILED.log(
                    peer=offer.peer.host_id, revision=offer.revision, reason=str(error)
                )
        return not offers or not self.running.is_news(offers[0].revision)

    async def fetch_from_peer(self, offer):
        """Get a manifest and its missing chunks from one peer.

        Raises
        ------
        PeerError, ChunkError
        """
        head = offer.head
        if head is None:
            request = ManifestRequest(known_revision=self.revision)
            reply = await self.peers.request(offer.peer, "manifest_request", request)
            head = None if reply.head is None else reply.head.decode()
        if head is None:
            raise ChunkError(f"{offer.peer.host_id} sent no manifest")
        manifest = decode_manifest(head)
        if not self.running.is_wanted(manifest):
            return
        chunks = self.running.kept_chunks(manifest)
        while missing := missing_digests(manifest, chunks):
            received = await self.request_chunks(offer.peer, missing)
            if not received:
                raise ChunkError(f"{offer.peer.host_id} lacks chunk {missing[0]}")
            chunks.update(received)
        self.running.install(manifest, chunks)

    async def request_chunks(self, peer, digests):
        """Return some of the chunks asked for, checked by their digests."""
        request = ChunkRequest(digests=digests[:MAX_REQUESTED_CHUNKS])
        reply = await self.peers.request(
            peer, "chunk_request", request, timeout_s=CHUNK_TIMEOUT_S
        )
        wanted = set(digests)
        received = {}
        for chunk in reply.chunks:
            if chunk.digest not in wanted:
                continue
            if chunk_digest(chunk.body) != chunk.digest:
                raise ChunkError(f"{peer.host_id} sent other bytes as {chunk.digest}")
            received[chunk.digest] = chunk.body
        return received

    async def poll_peers(self):
        """Ask a peer each period, so that a quiet host learns of changes too."""
        await self.poll_once()
        while True:
            await self.sleep(POLL_PERIOD_S * self.rng.uniform(0.8, 1.0))
            await self.poll_once()

    async def watch_for_help(self):
        """Read the store when no peer helps, beside the polls of peers."""
        while True:
            await self.sleep(POLL_PERIOD_S)
            await self.ask_store_if_peerless()

    async def poll_once(self):
        """Ask the candidates in order until one answers.

        Returns
        -------
        answered : bool
        """
        request = ManifestRequest(known_revision=self.revision)
        for peer in self.distribution.poll_candidates():
            try:
                reply = await self.peers.request(peer, "manifest_request", request)
            except PeerError:
                self.distribution.note_answer(peer.host_id, answered=False)
                continue
            self.distribution.note_answer(peer.host_id, answered=True)
            if reply.revision > 0:
                self.helped_at = self.clock.now()
            if reply.head is not None and self.running.is_news(reply.revision):
                head = reply.head.decode(errors="replace")
                self.offer(Offer(peer, reply.revision, head))
            return True
        return False

    async def ask_store_if_peerless(self):
        """Read the store once if no peer could help for some time."""
        alone = not self.distribution.poll_candidates()
        idle_s = self.clock.now() - self.helped_at
        if self.distribution.is_relay or (idle_s < PEERLESS_LIMIT_S and not alone):
            return
        jitter_s = POLL_PERIOD_S if alone else RECONNECT_JITTER_S
        await self.wait_for_offer(self.rng.uniform(0, jitter_s))
        if not self.offered.is_set() and await self.read_store():
            self.helped_at = self.clock.now()

    # The store

    async def watch_store(self):
        """Follow the head in the store while this host is a relay."""
        while True:
            started_at = self.clock.now()
            if self.distribution.is_relay:
                await self.watch_once()
            if self.clock.now() - started_at < MIN_WATCH_PERIOD_S:
                await self.sleep(MIN_WATCH_PERIOD_S)

    async def watch_once(self):
        """Wait for one change of the head, or for one failure of the store."""
        if self.store_down:
            await self.sleep(self.rng.uniform(0, RECONNECT_JITTER_S))
        if self.store_down or not self.store_was_read:
            # After an outage the store may show an older head than before, so that
            # a watch behind the old version would miss changes.
            if not await self.read_store():
                return
        try:
            stored = await self.store.watch(
                HEAD_KEY, self.store_version, WATCH_TIMEOUT_S, cause="watch"
            )
            if stored is not None:
                await self.take_stored_head(stored)
        except StoreError as error:
            self.store_failed(error)
        except ChunkError as error:
            events.REVISION_REFUSED.log(reason=str(error))

    async def read_store(self):
        """Read the head once and take it if it is newer.

        Returns
        -------
        answered : bool
            Whether the store answered.
        """
        try:
            stored = await self.store.get(HEAD_KEY, cause="head")
            self.store_version = 0
            if stored is not None:
                await self.take_stored_head(stored)
        except StoreError as error:
            self.store_failed(error)
            return False
        except ChunkError as error:
            events.REVISION_REFUSED.log(reason=str(error))
        self.store_answered()
        return True

    async def take_stored_head(self, stored):
        """Bring a head of the store into force if it is newer.

        Raises
        ------
        StoreUnavailable, ChunkError
        """
        manifest = decode_manifest(stored.value)
        if self.running.is_wanted(manifest):
            chunks = self.running.kept_chunks(manifest)
            missing = missing_digests(manifest, chunks)
            for start in range(0, len(missing), PARALLEL_READS):
                batch = missing[start : start + PARALLEL_READS]
                bodies = await asyncio.gather(*map(self.read_chunk, batch))
                chunks.update(zip(batch, bodies, strict=True))
            self.running.install(manifest, chunks)
        # Set last: a head whose chunks could not be read is seen again.
        self.store_version = stored.version

    async def read_chunk(self, digest):
        """Return one chunk from the store, checked by its digest."""
        stored = await self.store.get(chunk_key(digest), cause="chunk")
        if stored is None:
            raise ChunkError(f"chunk {digest} is not in the store")
        body = stored.value.encode()
        if chunk_digest(body) != digest:
            raise ChunkError(f"the store holds other bytes as {digest}")
        return body

    def store_failed(self, error):
        """Log the start of an outage."""
        if not self.store_down:
            events.STORE_UNAVAILABLE.log(reason=str(error))
        self.store_down = True

    def store_answered(self):
        """Log the end of an outage."""
        self.store_was_read = True
        if self.store_down:
            events.STORE_BACK.log(version=self.store_version)
        self.store_down = False
