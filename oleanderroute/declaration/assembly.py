"""Builds the model from chunks, keeping the parts of chunks that did not change.

A fleet of the planned size has 51,000 workspaces and 8,000 targets. Parsing all of
them for each of 870 changes a day would cost more than a host may spend on control.
"""

from dataclasses import dataclass

import orjson

from ..errors import ChunkError
from .chunks import (
    ROUTES,
    SERVICES,
    SETTINGS,
    TARGETS,
    WORKSPACES,
    chunk_digest,
)
from .document import (
    dump,
    route_from_document,
    service_from_document,
    target_from_document,
)
from .model import Declaration


@dataclass(frozen=True, slots=True)
class ChunkPart:
    """The parsed content of one chunk.

    Attributes
    ----------
    groups : tuple of tuple
        Pairs of an owner's name and the built values of that owner.
    """

    section: str
    groups: tuple


class Assembler:
    """Builds declarations; parts of the last one are reused by digest."""

    def __init__(self):
        self.parts = {}

    def assemble(self, manifest, chunks):
        """Build the declaration that ``manifest`` describes.

        Parameters
        ----------
        manifest : Manifest
        chunks : dict
            Digest to bytes. Chunks that the last call parsed may be absent.

        Raises
        ------
        ChunkError
            If a chunk is missing, malformed or does not match its digest.
        """
        parts = {}
        for reference in manifest.chunks:
            part = self.parts.get(reference.digest)
            if part is None:
                part = parse_chunk(reference, chunks)
            parts[reference.digest] = part
        try:
            declaration = build_declaration(list(parts.values()))
        except (KeyError, ValueError, TypeError) as error:
            raise ChunkError(f"inconsistent chunks: {error!r}") from error
        self.parts = parts
        return declaration


def parse_chunk(reference, chunks):
    """Check the digest of a chunk and build its values."""
    body = chunks.get(reference.digest)
    if body is None:
        raise ChunkError(f"chunk {reference.digest} is missing")
    if chunk_digest(body) != reference.digest:
        raise ChunkError(f"chunk {reference.digest} does not match its digest")
    try:
        document = orjson.loads(body)
        section = document["section"]
        groups = []
        for owner, values in document["groups"]:
            groups.append((owner, build_values(section, values)))
    except (ValueError, KeyError, TypeError) as error:
        raise ChunkError(f"malformed chunk {reference.digest}: {error!r}") from error
    return ChunkPart(section, tuple(groups))


def build_values(section, values):
    """Build the values of one owner; services wait for their targets."""
    if section == TARGETS:
        return [target_from_document(value) for value in values]
    if section == ROUTES:
        return [route_from_document(value) for value in values]
    return values


def build_declaration(parts):
    """Combine the parts of all sections."""
    settings = {}
    services = {}
    targets = {}
    routes = []
    groups = {}
    for part in parts:
        for owner, values in part.groups:
            if part.section == SETTINGS:
                settings = values[0]
            elif part.section == SERVICES:
                services[owner] = values[0]
            elif part.section == TARGETS:
                targets.setdefault(owner, []).extend(values)
            elif part.section == ROUTES:
                routes.extend(values)
            elif part.section == WORKSPACES:
                groups.setdefault(owner, []).extend(values)
    return Declaration(
        services=build_services(services, targets),
        routes=tuple(routes),
        failure_domains=settings["failure_domains"],
        workspace_groups=build_groups(groups),
    )


def build_services(services, targets):
    """Join each service with its targets."""
    built = {}
    for name, value in services.items():
        built[name] = service_from_document(name, value, targets.get(name, ()))
    return built


def build_groups(groups):
    """Build the sets of workspaces; null stands for an empty group."""
    built = {}
    for name, workspaces in groups.items():
        built[name] = frozenset(value for value in workspaces if value is not None)
    return built


def join(manifest, chunks):
    """Return the canonical text that ``manifest`` and its chunks describe.

    Raises
    ------
    ChunkError
        If a chunk is missing, malformed or does not match its digest.
    """
    return dump(Assembler().assemble(manifest, chunks))
