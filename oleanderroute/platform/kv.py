"""Client of the platform's metadata store."""

import asyncio
import base64
import binascii
from urllib.parse import urlencode

import orjson

from .. import events
from ..decisions.store_history import UNNAMED_ERA, StoreLease, StoreRevision
from ..declaration.model import Target
from ..entry.messages import OutgoingRequest
from ..entry.target_pool import TargetPool
from ..errors import (
    HistoryLost,
    HistoryReplaced,
    LeaseUnknown,
    StoreError,
    StoreRefused,
    StoreUnavailable,
    TargetError,
)
from ..host.model import ItemPage, StoreItem
from ..ids import Era

# A healthy store answers in 4 ms; a much longer wait indicates a failure.
CALL_TIMEOUT_S = 1.0
# Added to the wait that a long poll requests from the store.
LONG_POLL_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.6
# How long an answer takes from its first byte depends on its size and on the link. It
# is given up after this time without progress, or after the second one.
BODY_STALL_TIMEOUT_S = 1.0
BODY_TIMEOUT_S = 8.0
# A page has about 1 MB, changes of several seconds more.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# 9,000 targets and hosts need 18 pages of 500; far more indicate a store fault.
MAX_PAGES = 200
UNREADABLE_VALUE = b""
# Names the history of the store in all its answers.
ERA_HEADER = b"store-era"
# The field of the messages between hosts has 64 bits with a sign.
MAX_ERA_DIGITS = 18


class KvClient:
    """Calls the store over HTTP.

    It uses the HTTP client of the request path: importing a second HTTP library
    would take half of a host's startup time.

    Parameters
    ----------
    address : str
        IP address and port.
    on_call : callable
        Called with the name of each call, for the metrics.
    clock : Clock

    Attributes
    ----------
    era : Era
        The one that the last answer named. An answer without a readable one is taken
        to be of this history.
    unreadable_eras : int
        Answers without a readable era since the start.
    """

    def __init__(self, address, on_call, clock):
        host, _, port = address.rpartition(":")
        self.target = Target("store", host, int(port), "")
        self.authority = address.encode("ascii")
        self.on_call = on_call
        self.pool = TargetPool("", "", clock, CONNECT_TIMEOUT_S)
        self.era = UNNAMED_ERA
        self.unreadable_eras = 0

    def close(self):
        """Close all connections."""
        self.pool.close()

    async def read_prefix(self, prefix):
        """Return a page with all items under ``prefix``.

        Raises
        ------
        StoreError
            Also if the store came back from a copy while the items were read.
        """
        query = {"prefix": prefix}
        found = ItemPage()
        for number in range(MAX_PAGES):
            status, document, era = await self.call("GET", "/kv-range", query)
            expect(status, 200)
            items = decode_items(document, "items", era)
            found.items += items
            revision = StoreRevision(era, int_field(document, "atRev"))
            if number == 0:
                found.revision = revision
            if not revision.is_in_same_history(found.revision):
                raise StoreUnavailable(f"range {prefix!r} is of two histories")
            # The pages are not one snapshot: a watch must start at the lowest revision.
            found.revision = min(found.revision, revision)
            if not document.get("hasMore") or not items:
                return found
            query["after"] = items[-1].key
        raise StoreUnavailable(f"range {prefix!r} does not end within the page limit")

    async def watch(self, prefix, after, wait_s):
        """Return a page with the changes under ``prefix`` after a revision.

        Raises
        ------
        HistoryReplaced
            If the store is in a later history than that of ``after``.
        HistoryLost
            If the store no longer keeps these changes, or if one of them has no
            readable key, so that what it changed is not known.
        StoreError
        """
        query = {"prefix": prefix, "after": after.number, "waitMs": int(wait_s * 1000)}
        status, document, era = await self.call(
            "GET", "/kv-watch", query, timeout_s=wait_s + LONG_POLL_MARGIN_S
        )
        if era > after.era:
            raise HistoryReplaced(era)
        if era < after.era:
            raise StoreUnavailable(f"an answer of era {era} after {after.era}")
        if status == 410:
            raise HistoryLost(f"changes after revision {after.number}")
        expect(status, 200)
        items = decode_items(document, "events", era)
        if len(items) < len(document["events"]):
            raise HistoryLost(f"an unreadable change after revision {after.number}")
        return ItemPage(items, StoreRevision(era, int_field(document, "atRev")))

    async def create_lease(self, ttl_s):
        """Create a lease and return it as a ``StoreLease``."""
        body = {"ttlMs": int(ttl_s * 1000)}
        status, document, era = await self.call("POST", "/kv-lease", body=body)
        expect(status, 200)
        return StoreLease(era, int_field(document, "lease"))

    async def renew_lease(self, lease):
        """Renew a lease.

        Raises
        ------
        LeaseUnknown
            If it has ended.
        StoreError
        """
        status, _, _ = await self.call("POST", f"/kv-keep/{lease.number}", body={})
        if status == 404:
            raise LeaseUnknown(str(lease.number))
        expect(status, 200)

    async def remove(self, key, revision):
        """Remove a key if its last change is ``revision``.

        It does not end the lease of the key: in a later history than the lease's, its
        number may name that of another host.
        """
        row = {"key": key, "revision": revision.number}
        body = {"expect": [row], "puts": [], "remove": [key]}
        status, _, _ = await self.call("POST", "/kv-txn", body=body)
        expect(status, 200, 412)

    async def write(self, key, value, lease):
        """Write a key under a lease and return the ``StoreRevision`` of the write.

        Raises
        ------
        LeaseUnknown
            Also if the store has come back from a copy since it gave out the lease.
        StoreError
        """
        encoded = base64.b64encode(value).decode("ascii")
        put = {"key": key, "value": encoded, "lease": lease.number}
        body = {"expect": [], "puts": [put], "remove": []}
        status, document, era = await self.call("POST", "/kv-txn", body=body)
        if status == 404 or era != lease.era:
            raise LeaseUnknown(str(lease.number))
        expect(status, 200)
        return StoreRevision(era, int_field(document, "revision"))

    async def call(self, method, path, query=None, body=None, timeout_s=CALL_TIMEOUT_S):
        """Make one call and return its status, its decoded body and its era.

        Parameters
        ----------
        timeout_s : float
            Seconds until the first byte of the answer.
        """
        self.on_call(path.split("/")[1])
        target = path
        if query is not None:
            target += "?" + urlencode(query)
        headers = [(b"host", self.authority)]
        content = b""
        if body is not None:
            content = orjson.dumps(body)
            headers.append((b"content-type", b"application/json"))
        request = OutgoingRequest(method, target.encode("ascii"), headers, content)
        try:
            status, content, era = await self.exchange(request, timeout_s)
        except (TimeoutError, TargetError) as error:
            reason = f"{method} {path}: {type(error).__name__} {error}"
            raise StoreUnavailable(reason) from error
        if status == 429 or status >= 500:
            raise StoreRefused(f"{method} {path}: status {status}")
        return status, parse_object(content), era

    async def exchange(self, request, timeout_s):
        """Send a request and return the status, the whole body and the era."""
        async with asyncio.timeout(timeout_s + BODY_TIMEOUT_S):
            answer = await self.pool.exchange(
                self.target, request, timeout_s, BODY_STALL_TIMEOUT_S
            )
            try:
                era = self.read_era(answer.headers)
                return answer.status, await read_body(answer), era
            finally:
                answer.abandon()

    def read_era(self, headers):
        """Return the era that the headers of an answer name, else the last one."""
        for name, value in headers:
            if name != ERA_HEADER:
                continue
            if value.isdigit() and len(value) <= MAX_ERA_DIGITS:
                era = Era(int(value))
                self.era = era
                return era
            self.record_unreadable_era("not a number of up to 18 digits")
            return self.era
        self.record_unreadable_era("missing")
        return self.era

    def record_unreadable_era(self, reason):
        """Count an answer without a readable era, and log the first one."""
        self.unreadable_eras += 1
        if self.unreadable_eras == 1:
            events.STORE_ERA_UNREADABLE.log(reason=reason, era=self.era)


async def read_body(answer):
    """Return the whole body of an answer.

    Raises
    ------
    StoreUnavailable
        If it is longer than ``MAX_ANSWER_BYTES``.
    TargetError
    """
    body = bytearray()
    async for chunk in answer.chunks():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise StoreUnavailable(f"an answer of over {MAX_ANSWER_BYTES} bytes")
    return bytes(body)


def parse_object(content):
    """Return the JSON object of a response."""
    if not content:
        return {}
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise StoreUnavailable(f"the answer is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise StoreUnavailable("the answer is not a JSON object")
    return document


def expect(status, *expected):
    """Raise ``StoreUnavailable`` for a status that is not expected."""
    if status not in expected:
        raise StoreUnavailable(f"unexpected status {status}")


def int_field(document, name):
    """Return an integer field of an answer."""
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise StoreUnavailable(f"field {name!r} is not an integer")
    return value


def decode_items(document, name, era):
    """Return the items of a list in an answer; log and skip those without a key."""
    found = []
    listed = document.get(name)
    if not isinstance(listed, list):
        raise StoreUnavailable(f"field {name!r} is not a list")
    for entry in listed:
        try:
            found.append(decode_item(entry, era))
        except StoreError as error:
            # Not the whole entry: a configuration holds API keys.
            key = entry.get("key") if isinstance(entry, dict) else None
            events.STORE_ITEM_UNREADABLE.log(key=str(key)[:200], reason=str(error))
    return found


def decode_item(entry, era):
    """Decode an item or a tombstone.

    An item whose value can't be read has an `UNREADABLE_VALUE`: its key has changed,
    and names no target, host or configuration.
    """
    if not isinstance(entry, dict) or not isinstance(entry.get("key"), str):
        raise StoreUnavailable("an item has no key")
    revision = StoreRevision(era, int_field(entry, "revision"))
    if entry.get("tombstone"):
        return StoreItem(entry["key"], revision, None)
    try:
        value = base64.b64decode(entry.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        events.STORE_ITEM_UNREADABLE.log(key=entry["key"][:200], reason=str(error))
        value = UNREADABLE_VALUE
    return StoreItem(entry["key"], revision, value)
