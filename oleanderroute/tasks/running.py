"""The declaration in force on one host. Its revision only grows."""

from .. import events
from ..declaration.assembly import Assembler
from ..errors import ChunkError
from ..ids import Revision
from ..peer.gen.oleander_messages.ttypes import Chunk, ChunkReply, ManifestReply

# A reply holds one chunk at least; a peer message is limited to 1 MiB.
MAX_REPLY_CHUNK_BYTES = 400 * 1024
MAX_REQUESTED_CHUNKS = 5000


class RunningDeclaration:
    """Holds the newest declaration that this host has seen, and its chunks.

    Parameters
    ----------
    on_declaration : callable
        Told each declaration that comes into force, with its revision.
    metrics : Metrics

    Attributes
    ----------
    current : Declaration or None
        None until a first declaration is in force.
    revision : int
        0 until then.
    manifest : Manifest or None
    chunks : dict
        Digest to the bytes of each chunk in force.
    """

    def __init__(self, on_declaration, metrics):
        self.on_declaration = on_declaration
        self.metrics = metrics
        self.current = None
        self.revision = Revision(0)
        self.manifest = None
        self.chunks = {}
        self.assembler = Assembler()
        self.refused_nonces = set()
        self.refused_revisions = set()

    def is_news(self, revision):
        """Tell whether a revision number is worth a fetch."""
        return revision > self.revision and revision not in self.refused_revisions

    def is_wanted(self, manifest):
        """Tell whether ``manifest`` is newer than what is in force."""
        if manifest.change.nonce in self.refused_nonces:
            return False
        if manifest.revision > self.revision:
            return True
        if manifest.revision < self.revision:
            events.OLDER_HEAD_IGNORED.log(
                offered=manifest.revision, in_force=self.revision
            )
            return False
        if manifest.change.nonce != self.manifest.change.nonce:
            events.HEAD_DIVERGED.log(
                revision=self.revision, offered_nonce=manifest.change.nonce
            )
        return False

    def kept_chunks(self, manifest):
        """Return the chunks of ``manifest`` that this host has already."""
        kept = {}
        for digest in manifest.digests():
            if digest in self.chunks:
                kept[digest] = self.chunks[digest]
        return kept

    def install(self, manifest, chunks):
        """Bring ``manifest`` into force if it is still newer.

        This function does not wait, so that no other fetch can come in between.

        Raises
        ------
        ChunkError
            If the chunks do not make a declaration; the revision is not tried
            again.
        """
        if not self.is_wanted(manifest):
            return
        try:
            declaration = self.assembler.assemble(manifest, chunks)
        except ChunkError as error:
            self.refused_nonces.add(manifest.change.nonce)
            self.refused_revisions.add(manifest.revision)
            events.REVISION_REFUSED.log(revision=manifest.revision, reason=str(error))
            raise
        self.chunks = {digest: chunks[digest] for digest in manifest.digests()}
        self.manifest = manifest
        self.current = declaration
        self.revision = manifest.revision
        self.metrics.revision.set({}, self.revision)
        events.REVISION_IN_FORCE.log(
            revision=self.revision, author=manifest.change.author
        )
        self.on_declaration(declaration, self.revision)

    def answer_manifest(self, request, header):
        """Send the manifest in force if it is newer than the requester's."""
        head = None
        if self.manifest is not None and self.revision > request.known_revision:
            head = self.manifest.encode().encode()
        return "manifest_reply", ManifestReply(revision=self.revision, head=head)

    def answer_chunks(self, request, header):
        """Send as many of the chunks asked for as fit into one reply."""
        found = []
        size = 0
        for digest in request.digests[:MAX_REQUESTED_CHUNKS]:
            body = self.chunks.get(digest)
            if body is None:
                continue
            if found and size + len(body) > MAX_REPLY_CHUNK_BYTES:
                break
            found.append(Chunk(digest=digest, body=body))
            size += len(body)
        return "chunk_reply", ChunkReply(chunks=found)


def missing_digests(manifest, chunks):
    """Return the digests of ``manifest`` that ``chunks`` lacks, in order."""
    missing = []
    for digest in manifest.digests():
        if digest not in chunks:
            missing.append(digest)
    return missing
