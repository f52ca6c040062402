"""The platform's list of hosts and targets, and the client that reads it."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from ..errors import StoreError
from ..ids import FailureDomain, HostId, Region, ServiceName, TargetId
from .store import UnexpectedResponse, check_status

# Entries built between two yields to the event loop, which takes about 1 ms.
ENTRIES_PER_YIELD = 200


class MemberState(Enum):
    """State of a host or target in the platform's list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


class MalformedHostList(StoreError):
    """A host list lacks a field or has one of a wrong type."""


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host of the fleet."""

    host_id: HostId
    address: str
    caller_port: int
    peer_port: int
    operator_port: int
    failure_domain: FailureDomain
    region: Region
    state: MemberState


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target. ``service`` is the label that declarations refer to."""

    target_id: TargetId
    service: ServiceName
    address: str
    port: int
    failure_domain: FailureDomain
    state: MemberState


@dataclass(frozen=True, slots=True)
class HostList:
    """One version of the list."""

    version: int
    hosts: tuple[HostEntry, ...]
    targets: tuple[TargetEntry, ...]


EMPTY_HOST_LIST = HostList(0, (), ())


class HostListClient:
    """Reads the list over HTTP.

    Parameters
    ----------
    store : StoreClient
        Its connections and counters are shared.
    """

    def __init__(self, store):
        self.store = store
        self.host_cache = EntryCache(host_from_document)
        self.target_cache = EntryCache(target_from_document)

    async def fetch(self, after_version, cause="hosts"):
        """Return a ``HostList`` newer than ``after_version``, or None.

        Raises
        ------
        StoreUnavailable, MalformedHostList
        """
        url = f"{self.store.url}/hosts"
        query = {"after": str(after_version)}
        status, document = await self.store.call("GET", url, cause, query=query)
        if status in {204, 304}:
            return None
        check_status(status, {200})
        if not isinstance(document, dict):
            raise UnexpectedResponse("the host list is not a JSON object")
        try:
            host_list = HostList(
                version=int(document["version"]),
                hosts=await self.host_cache.build(document["hosts"]),
                targets=await self.target_cache.build(document["targets"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedHostList(f"malformed host list: {error!r}") from error
        return host_list if host_list.version > after_version else None


class EntryCache:
    """Builds entries and reuses those whose document did not change.

    A list of 8,860 entries takes 70 ms to build, which would block all requests of
    a host; most entries do not change from one version to the next.

    Parameters
    ----------
    from_document : callable
        Builds one entry.
    """

    def __init__(self, from_document):
        self.from_document = from_document
        self.known = {}

    async def build(self, documents):
        """Return the tuple of entries; yield to the event loop while building it."""
        built = {}
        for index, document in enumerate(documents):
            if index % ENTRIES_PER_YIELD == 0:
                await asyncio.sleep(0)
            known = self.known.get(document["id"])
            if known is None or known[0] != document:
                known = (document, self.from_document(document))
            built[document["id"]] = known
        self.known = built
        return tuple(entry for _, entry in built.values())


def host_list_from_document(document):
    """Build a host list from its JSON document.

    Raises
    ------
    MalformedHostList
    """
    try:
        return HostList(
            version=int(document["version"]),
            hosts=tuple(host_from_document(value) for value in document["hosts"]),
            targets=tuple(target_from_document(value) for value in document["targets"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedHostList(f"malformed host list: {error!r}") from error


def host_from_document(value):
    """Build a host's entry."""
    return HostEntry(
        host_id=str(value["id"]),
        address=str(value["address"]),
        caller_port=int(value["caller_port"]),
        peer_port=int(value["peer_port"]),
        operator_port=int(value["operator_port"]),
        failure_domain=str(value["failure_domain"]),
        region=str(value["region"]),
        state=MemberState(value["state"]),
    )


def target_from_document(value):
    """Build a target's entry."""
    return TargetEntry(
        target_id=str(value["id"]),
        service=str(value["service"]),
        address=str(value["address"]),
        port=int(value["port"]),
        failure_domain=str(value["failure_domain"]),
        state=MemberState(value["state"]),
    )


def host_to_document(host):
    """Return the document of a host's entry."""
    return {
        "id": host.host_id,
        "address": host.address,
        "caller_port": host.caller_port,
        "peer_port": host.peer_port,
        "operator_port": host.operator_port,
        "failure_domain": host.failure_domain,
        "region": host.region,
        "state": host.state.value,
    }


def target_to_document(target):
    """Return the document of a target's entry."""
    return {
        "id": target.target_id,
        "service": target.service,
        "address": target.address,
        "port": target.port,
        "failure_domain": target.failure_domain,
        "state": target.state.value,
    }
