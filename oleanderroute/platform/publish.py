"""Publishes a declaration: writes its chunks, then compares and swaps the head."""

import asyncio
import math
import secrets
from dataclasses import dataclass
from enum import Enum

from .. import events
from ..declaration.assembly import Assembler
from ..declaration.chunks import Change, Manifest, decode_manifest, split_declaration
from ..declaration.difference import compare
from ..errors import (
    ChunkError,
    OleanderError,
    StoreConflict,
    StoreUnavailable,
)
from ..ids import Revision

HEAD_KEY = "head"
CHUNK_PREFIX = "chunk/"
HISTORY_PREFIX = "history/"
NONCE_BYTES = 16
# An apply of 200 chunks takes 1 s on a store that answers in 4 ms.
DEFAULT_TIME_LIMIT_S = 20.0
# For reading another operator's changes; later, only the revisions are reported.
DIFFERENCES_LIMIT_S = 10.0
# Chunks that are read concurrently.
PARALLEL_READS = 8
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class ApplyConflict(OleanderError):
    """Another operator changed the declaration since the base revision.

    Attributes
    ----------
    base_revision, head_revision : int
    differences : tuple of Difference
        Changes from the base to the stored declaration.
    """

    def __init__(self, base_revision, head_revision, differences):
        super().__init__(
            f"based on revision {base_revision}, "
            f"but the store holds revision {head_revision}"
        )
        self.base_revision = base_revision
        self.head_revision = head_revision
        self.differences = differences


class ApplyOutcomeUnknown(OleanderError):
    """The answer to the swap was lost and its outcome could not be read in time.

    Attributes
    ----------
    revision : int
        The revision that may be in force.
    nonce : str
        Identifies this apply; a stored manifest with it shows that it took effect.
    """

    def __init__(self, revision, nonce):
        super().__init__(f"revision {revision} may or may not be in force")
        self.revision = revision
        self.nonce = nonce


class RevisionNotFound(OleanderError):
    """The store holds no manifest of the revision asked for."""

    def __init__(self, revision):
        super().__init__(f"revision {revision} is not in the store")
        self.revision = revision


@dataclass(frozen=True, slots=True)
class Head:
    """The current manifest. ``version`` is the store's version of the head key."""

    version: int
    manifest: Manifest | None

    @property
    def revision(self):
        """Return the revision of the manifest, 0 when there is none."""
        return 0 if self.manifest is None else self.manifest.revision


class SwapOutcome(Enum):
    """State of a swap as read from the store. ``PENDING`` may still take effect."""

    EFFECTIVE = "effective"
    SUPERSEDED = "superseded"
    PENDING = "pending"


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """A revision that the store accepted.

    Attributes
    ----------
    uploaded_chunks : int
        Chunks that the store did not hold before.
    """

    revision: Revision
    uploaded_chunks: int


class Publisher:
    """Reads and changes the stored declaration.

    Parameters
    ----------
    store : StoreClient
    clock : Clock
    rng : random.Random
        Source of the backoff jitter.
    on_progress : callable, optional
        Called with the number of chunks checked or read, and their total.
    time_limit_s : float
        Seconds after which an apply makes no further call, except to read the
        outcome of a swap or another operator's changes.
    sleep : callable
        Awaitable sleep; tests replace it.
    """

    def __init__(
        self,
        store,
        clock,
        rng,
        on_progress=None,
        time_limit_s=DEFAULT_TIME_LIMIT_S,
        sleep=asyncio.sleep,
    ):
        self.store = store
        self.clock = clock
        self.rng = rng
        self.on_progress = on_progress or ignore_progress
        self.time_limit_s = time_limit_s
        self.sleep = sleep

    async def read_head(self):
        """Return the ``Head`` of the store.

        Raises
        ------
        StoreUnavailable, ChunkError
        """
        stored = await self.store.get(HEAD_KEY, cause="head")
        if stored is None:
            return Head(0, None)
        return Head(stored.version, decode_manifest(stored.value))

    async def read_manifest(self, revision):
        """Return the manifest of a revision.

        Raises
        ------
        RevisionNotFound, StoreUnavailable, ChunkError
        """
        stored = await self.store.get(history_key(revision), cause="history")
        if stored is not None:
            return decode_manifest(stored.value)
        head = await self.read_head()
        if head.manifest is not None and head.revision == revision:
            return head.manifest
        raise RevisionNotFound(revision)

    async def read_declaration(self, manifest):
        """Read the chunks of ``manifest`` and build the declaration.

        Raises
        ------
        StoreUnavailable, ChunkError
        """
        chunks = await self.read_chunks(manifest.digests())
        return Assembler().assemble(manifest, chunks)

    async def read_chunks(self, digests, deadline=math.inf):
        """Return the bytes of chunks by digest.

        Parameters
        ----------
        digests : iterable of Digest
        deadline : float
            Monotonic seconds after which no further read is started.

        Raises
        ------
        StoreUnavailable, ChunkError
        """
        chunks = {}
        wanted = list(dict.fromkeys(digests))
        for start in range(0, len(wanted), PARALLEL_READS):
            if self.clock.now() >= deadline:
                raise StoreUnavailable("the time limit was exceeded")
            batch = wanted[start : start + PARALLEL_READS]
            bodies = await asyncio.gather(*map(self.read_chunk, batch))
            chunks.update(zip(batch, bodies, strict=True))
            self.on_progress(len(chunks), len(wanted))
        return chunks

    async def read_chunk(self, digest):
        """Return the bytes of one chunk."""
        stored = await self.store.get(chunk_key(digest), cause="chunk")
        if stored is None:
            raise ChunkError(f"chunk {digest} is not in the store")
        return stored.value.encode()

    async def apply(self, declaration, base_revision, author, message):
        """Make ``declaration`` the next revision.

        Parameters
        ----------
        declaration : Declaration
            It was checked.
        base_revision : int
            Revision that the operator started from; 0 for none.
        author, message : str
            For the history.

        Returns
        -------
        applied : Applied

        Raises
        ------
        ApplyConflict
            If the store holds another revision than ``base_revision``.
        ApplyOutcomeUnknown
            If the outcome could not be learned within the time limit.
        StoreUnavailable
            If nothing was changed because the store did not answer in time.
        """
        deadline = self.clock.now() + self.time_limit_s
        head = await self.read_head()
        if head.revision != base_revision:
            raise await self.build_conflict(base_revision, head)
        change = Change(
            # Each swap adds one: only a higher revision can replace a head.
            revision=base_revision + 1,
            nonce=secrets.token_hex(NONCE_BYTES),
            author=author,
            message=message,
            created_at=self.clock.wall(),
            parent_revision=base_revision,
        )
        manifest, chunks = split_declaration(declaration, change)
        uploaded = await self.upload(manifest, chunks, head, deadline)
        if head.manifest is not None:
            # Recorded before the head is replaced, so that its author finds it in the
            # history after a lost answer.
            await self.record_history(head.manifest)
        await self.swap_head(manifest, head, deadline)
        await self.try_record_history(manifest)
        return ApplyResult(manifest.revision, uploaded)

    async def upload(self, manifest, chunks, head, deadline):
        """Write the chunks that the base revision does not have.

        Returns
        -------
        uploaded : int
        """
        known = set() if head.manifest is None else set(head.manifest.digests())
        missing = [digest for digest in manifest.digests() if digest not in known]
        uploaded = 0
        for index, digest in enumerate(missing):
            if self.clock.now() >= deadline:
                raise StoreUnavailable(
                    f"{index} of {len(missing)} chunks were written "
                    f"within the time limit of {self.time_limit_s:g} s"
                )
            uploaded += await self.upload_chunk(digest, chunks[digest], deadline)
            self.on_progress(index + 1, len(missing))
        return uploaded

    async def upload_chunk(self, digest, body, deadline):
        """Write one chunk; return 0 if the store held it already."""
        key = chunk_key(digest)
        text = body.decode()
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await self.store.put(key, text, expect_version=0, cause="chunk")
                return 1
            except StoreConflict:
                # The key contains the digest: a stored chunk has the same content.
                return 0
            except StoreUnavailable:
                if self.clock.now() >= deadline:
                    raise
            backoff_s = await self.back_off(backoff_s)

    async def swap_head(self, manifest, base, deadline):
        """Replace ``base`` by ``manifest``, or raise the reason of the failure.

        A repeated swap is safe: it expects the version of ``base``, so that it takes
        effect at most once.
        """
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await self.store.put(
                    HEAD_KEY, manifest.encode(), base.version, cause="head"
                )
                return
            except (StoreConflict, StoreUnavailable):
                pass
            outcome = await self.read_swap_outcome(manifest, base)
            if outcome is SwapOutcome.EFFECTIVE:
                return
            if outcome is SwapOutcome.SUPERSEDED:
                head = await self.read_head()
                raise await self.build_conflict(base.revision, head)
            if self.clock.now() >= deadline:
                raise ApplyOutcomeUnknown(manifest.revision, manifest.change.nonce)
            backoff_s = await self.back_off(backoff_s)

    async def back_off(self, backoff_s):
        """Sleep for a jittered backoff and return the next backoff in seconds."""
        await self.sleep(backoff_s * self.rng.uniform(0.5, 1.0))
        return min(backoff_s * 2, MAX_BACKOFF_S)

    async def read_swap_outcome(self, manifest, base):
        """Compare the nonce of ``manifest`` with what the store holds."""
        try:
            head = await self.read_head()
            if head.version == base.version:
                return SwapOutcome.PENDING
            found = head.manifest
            if head.revision > manifest.revision:
                # A later apply replaced the head; the history shows
                # which apply wrote this revision.
                found = await self.read_manifest(manifest.revision)
        except (StoreUnavailable, RevisionNotFound, ChunkError):
            return SwapOutcome.PENDING
        if has_same_nonce(found, manifest):
            return SwapOutcome.EFFECTIVE
        return SwapOutcome.SUPERSEDED

    async def build_conflict(self, base_revision, head):
        """Build the error that shows what changed since ``base_revision``."""
        try:
            differences = await self.read_differences(base_revision, head)
        except (RevisionNotFound, ChunkError, StoreUnavailable) as error:
            events.DIFFERENCES_NOT_READ.log(
                base=base_revision, head=head.revision, reason=str(error)
            )
            differences = ()
        return ApplyConflict(base_revision, head.revision, differences)

    async def read_differences(self, base_revision, head):
        """Return what changed between a base and the head.

        Raises
        ------
        RevisionNotFound, ChunkError, StoreUnavailable
        """
        if head.manifest is None:
            return ()
        deadline = self.clock.now() + DIFFERENCES_LIMIT_S
        base = None
        digests = head.manifest.digests()
        if base_revision != 0:
            base = await self.read_manifest(base_revision)
            digests += base.digests()
        chunks = await self.read_chunks(digests, deadline)
        before = None if base is None else Assembler().assemble(base, chunks)
        after = Assembler().assemble(head.manifest, chunks)
        return tuple(compare(before, after))

    async def record_history(self, manifest):
        """Store ``manifest`` under its revision unless one is stored already."""
        key = history_key(manifest.revision)
        try:
            await self.store.put(key, manifest.encode(), 0, cause="history")
        except StoreConflict:
            pass

    async def try_record_history(self, manifest):
        """Record the history; if the store fails now, the next apply records it."""
        try:
            await self.record_history(manifest)
        except StoreUnavailable as error:
            events.HISTORY_NOT_RECORDED.log(
                revision=manifest.revision, reason=str(error)
            )

    async def read_history(self, limit):
        """Return the manifests of the newest revisions, newest first.

        Parameters
        ----------
        limit : int
            Maximum number of revisions.
        """
        head = await self.read_head()
        manifests = []
        manifest = head.manifest
        while manifest is not None and len(manifests) < limit:
            manifests.append(manifest)
            parent = manifest.change.parent_revision
            if parent == 0:
                break
            try:
                manifest = await self.read_manifest(parent)
            except RevisionNotFound:
                break
        return manifests


def ignore_progress(done, total):
    """Ignore progress."""


def chunk_key(digest):
    """Return the key of a chunk."""
    return f"{CHUNK_PREFIX}{digest}"


def history_key(revision):
    """Return the key of an earlier manifest."""
    return f"{HISTORY_PREFIX}{revision}"


def has_same_nonce(found, manifest):
    """Return whether ``found`` was written by the same apply as ``manifest``."""
    return found is not None and found.change.nonce == manifest.change.nonce
