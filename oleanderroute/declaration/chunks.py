"""Storage form of a declaration: immutable chunks and the manifest over them.

A chunk holds a sorted range of one section. Ranges end where the hash of an entry's
name says so, which makes the ranges independent of each other: an edit changes the
one chunk that holds the entry, wherever it lies.
"""

from dataclasses import dataclass
from hashlib import blake2b, sha256
from itertools import groupby

import orjson

from ..errors import ChunkError
from ..ids import Digest, Revision
from .document import (
    declaration_from_document,
    encode_canonical,
    route_to_document,
    service_to_document,
    sorted_routes,
    targets_to_document,
)

FORMAT_VERSION = 1
# A peer message carries at most 1 MiB.
MAX_CHUNK_BYTES = 512 * 1024
# Room for the names around the entries of a chunk.
CHUNK_OVERHEAD_BYTES = 1024
SETTINGS = "settings"
SERVICES = "services"
TARGETS = "targets"
ROUTES = "routes"
WORKSPACES = "workspaces"
# Mean entries of a chunk. About 25 KiB each: a change of one entry moves few bytes
# to each host, and the manifest stays small.
MEAN_ENTRIES = {
    SETTINGS: 1,
    SERVICES: 64,
    TARGETS: 256,
    ROUTES: 64,
    WORKSPACES: 1024,
}


@dataclass(frozen=True, slots=True)
class Change:
    """Who made a revision, when and on top of which one.

    Attributes
    ----------
    nonce : str
        Random text that identifies one apply, so that its author can tell after
        a lost answer whether it took effect.
    created_at : float
        Unix time in seconds.
    parent_revision : int
        Revision that the author started from; 0 for none.
    """

    revision: Revision = 1
    nonce: str = ""
    author: str = ""
    message: str = ""
    created_at: float = 0.0
    parent_revision: Revision = 0


@dataclass(frozen=True, slots=True)
class ChunkReference:
    """Names one chunk by the SHA-256 of its bytes, in hexadecimal."""

    section: str
    digest: Digest


@dataclass(frozen=True, slots=True)
class Manifest:
    """The head of the stored declaration: a revision and the chunks it consists of."""

    change: Change
    chunks: tuple[ChunkReference, ...]

    @property
    def revision(self):
        """Return the revision that this manifest describes."""
        return self.change.revision

    def digests(self):
        """Return the digests of all chunks, in order."""
        return [reference.digest for reference in self.chunks]

    def encode(self):
        """Return the JSON text that the store keeps."""
        change = self.change
        document = {
            "format": FORMAT_VERSION,
            "revision": change.revision,
            "nonce": change.nonce,
            "author": change.author,
            "message": change.message,
            "created_at": change.created_at,
            "parent_revision": change.parent_revision,
            "chunks": [[chunk.section, chunk.digest] for chunk in self.chunks],
        }
        return encode_canonical(document).decode()


def decode_manifest(text):
    """Read a manifest.

    Raises
    ------
    ChunkError
        If the text is no manifest, or of a format that this version cannot read.
    """
    try:
        document = orjson.loads(text)
        if document["format"] != FORMAT_VERSION:
            raise ChunkError(f"manifest of unknown format {document['format']}")
        change = Change(
            revision=int(document["revision"]),
            nonce=str(document["nonce"]),
            author=str(document["author"]),
            message=str(document["message"]),
            created_at=float(document["created_at"]),
            parent_revision=int(document["parent_revision"]),
        )
        chunks = []
        for section, digest in document["chunks"]:
            chunks.append(ChunkReference(str(section), str(digest)))
    except (ValueError, KeyError, TypeError) as error:
        raise ChunkError(f"malformed manifest: {error!r}") from error
    return Manifest(change, tuple(chunks))


def chunk_digest(body):
    """Return the name of a chunk."""
    return Digest(sha256(body).hexdigest())


def split(text, change=None):
    """Split the checked text of a declaration.

    Parameters
    ----------
    text : str
        Text that ``load_declaration`` accepts.
    change : Change, optional

    Returns
    -------
    manifest : Manifest
    chunks : dict
        Digest to the bytes of the chunk.
    """
    declaration = declaration_from_document(orjson.loads(text))
    return split_declaration(declaration, change or Change())


def split_declaration(declaration, change):
    """Split a declaration; see ``split``."""
    references = []
    bodies = {}
    for section, entries in section_entries(declaration):
        for batch in ranges(section, entries):
            body = encode_chunk(section, batch)
            digest = chunk_digest(body)
            references.append(ChunkReference(section, digest))
            bodies[digest] = body
    return Manifest(change, tuple(references)), bodies


def section_entries(declaration):
    """Yield each section with its sorted entries as (name, owner, value)."""
    settings = {"failure_domains": dict(declaration.failure_domains)}
    yield SETTINGS, [("settings", "settings", settings)]
    services = sorted(declaration.services.items())
    entries = []
    for name, service in services:
        entries.append((name, name, service_to_document(service)))
    yield SERVICES, entries
    yield TARGETS, target_entries(services)
    entries = []
    for route in sorted_routes(declaration):
        entries.append((route.route_id, "routes", route_to_document(route)))
    yield ROUTES, entries
    yield WORKSPACES, workspace_entries(declaration)


def target_entries(services):
    """Return the targets of all services, each with its service as owner."""
    entries = []
    for name, service in services:
        for target in targets_to_document(service):
            entries.append((target["id"], name, target))
    return entries


def workspace_entries(declaration):
    """Return the workspaces of all groups; an empty group has one null entry."""
    entries = []
    for group, workspaces in sorted(declaration.workspace_groups.items()):
        for workspace in sorted(workspaces):
            entries.append((workspace, group, workspace))
        if not workspaces:
            entries.append(("", group, None))
    return entries


def ranges(section, entries):
    """Cut sorted entries into ranges.

    A range ends after an entry whose name hashes to a multiple of the mean, or
    before an entry that would take the chunk over ``MAX_CHUNK_BYTES``.
    """
    batch = []
    size = CHUNK_OVERHEAD_BYTES
    for entry in entries:
        name, owner, value = entry
        # Counting the owner for each entry overstates the size, never understates.
        entry_bytes = len(encode_canonical([owner, value])) + len(",")
        if batch and size + entry_bytes > MAX_CHUNK_BYTES:
            yield batch
            batch, size = [], CHUNK_OVERHEAD_BYTES
        batch.append(entry)
        size += entry_bytes
        if ends_range(owner, name, MEAN_ENTRIES[section]):
            yield batch
            batch, size = [], CHUNK_OVERHEAD_BYTES
    if batch:
        yield batch


def ends_range(owner, name, mean):
    """Tell by hash whether a range ends after this entry."""
    digest = blake2b(f"{owner}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest) % mean == 0


def encode_chunk(section, entries):
    """Return the bytes of a chunk; entries of one owner stand in one group."""
    groups = []
    for owner, members in groupby(entries, key=lambda entry: entry[1]):
        groups.append([owner, [value for _, _, value in members]])
    return encode_canonical({"section": section, "groups": groups})
