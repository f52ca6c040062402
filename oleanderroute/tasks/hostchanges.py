"""Changes between host lists, in the form in which peers send them.

A complete list of 860 hosts and 8,000 targets has more than 1 MB of JSON. Hosts fail
and restart thousands of times a day, so that only changes may be sent each time.
"""

import zlib
from collections import deque
from dataclasses import dataclass

import orjson

from ..peer.gen.oleander_messages.ttypes import HostListReply
from ..platform.hostlist import (
    HostList,
    MalformedHostList,
    host_from_document,
    host_list_from_document,
    host_to_document,
    target_from_document,
    target_to_document,
)

# Versions back to which changes are kept.
MAX_STEPS = 64
# Bounds the memory that a compressed message of a peer can take up.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HostListStep:
    """The entries that differ between two versions, by id; None if removed."""

    base_version: int
    version: int
    hosts: dict
    targets: dict


class HostListHistory:
    """The latest steps of the host list."""

    def __init__(self):
        self.steps = deque(maxlen=MAX_STEPS)

    def record(self, before, after):
        """Keep the step between two lists."""
        hosts = changed_entries(hosts_by_id(before), hosts_by_id(after))
        targets = changed_entries(targets_by_id(before), targets_by_id(after))
        self.steps.append(HostListStep(before.version, after.version, hosts, targets))

    def encode(self, current, known_version):
        """Return a ``HostListReply`` for a peer that has ``known_version``."""
        step = self.find_step(known_version)
        if step is None:
            document = {
                "version": current.version,
                "hosts": [host_to_document(host) for host in current.hosts],
                "targets": [target_to_document(one) for one in current.targets],
            }
        else:
            document = {
                "hosts": entry_documents(step.hosts, host_to_document),
                "targets": entry_documents(step.targets, target_to_document),
            }
        return HostListReply(
            version=current.version,
            base_version=0 if step is None else known_version,
            document=zlib.compress(orjson.dumps(document)),
        )

    def find_step(self, known_version):
        """Return one step from ``known_version`` to the newest, None if unknown."""
        hosts, targets = {}, {}
        found = False
        for step in self.steps:
            if step.base_version == known_version and known_version > 0:
                found = True
            if not found:
                continue
            hosts.update(step.hosts)
            targets.update(step.targets)
        if not found:
            return None
        return HostListStep(known_version, self.steps[-1].version, hosts, targets)

    def decode(self, reply, current):
        """Return the list that a reply describes.

        Raises
        ------
        MalformedHostList
        """
        try:
            document = orjson.loads(decompress(reply.document))
            if not reply.base_version:
                return host_list_from_document(document)
            if reply.base_version != current.version:
                raise MalformedHostList(f"changes since {reply.base_version}")
            hosts = merge(hosts_by_id(current), document["hosts"], host_from_document)
            targets = merge(
                targets_by_id(current), document["targets"], target_from_document
            )
        except (ValueError, KeyError, TypeError, AttributeError, zlib.error) as error:
            raise MalformedHostList(f"malformed host list: {error!r}") from error
        return HostList(reply.version, tuple(hosts.values()), tuple(targets.values()))


def decompress(data):
    """Return the decompressed bytes, ``MAX_DOCUMENT_BYTES`` at most."""
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise MalformedHostList(f"not complete within {MAX_DOCUMENT_BYTES} bytes")
    return document


def hosts_by_id(host_list):
    """Return the hosts of a list by their ids."""
    return {host.host_id: host for host in host_list.hosts}


def targets_by_id(host_list):
    """Return the targets of a list by their ids."""
    return {target.target_id: target for target in host_list.targets}


def changed_entries(before, after):
    """Return the entries of ``after`` that differ, None for removed ones."""
    changes = {}
    for entry_id, entry in after.items():
        known = before.get(entry_id)
        # Most entries are the same objects; comparing their fields costs 10 ms.
        if known is not entry and known != entry:
            changes[entry_id] = entry
    for entry_id in before.keys() - after.keys():
        changes[entry_id] = None
    return changes


def entry_documents(changes, to_document):
    """Return changed entries as documents by id."""
    documents = {}
    for entry_id, entry in changes.items():
        documents[entry_id] = None if entry is None else to_document(entry)
    return documents


def merge(entries, changes, from_document):
    """Return ``entries`` with the changed documents applied."""
    for entry_id, document in changes.items():
        if document is None:
            entries.pop(entry_id, None)
            continue
        entries[entry_id] = from_document(document)
    return entries
