"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from standin_http import encode, read_message

PAGE_ITEMS = 500
# Time of an answer of a healthy store.
ANSWER_S = 0.004


class Store:
    """Items, leases and a revision counter behind HTTP.

    Attributes
    ----------
    slowness : float
        Factor on the time of each answer.
    delay_call : callable or None
        Takes the path of a call and the address on which it arrives; returns for how
        many seconds its packet is on the way because it had to be sent again.
    """

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.slowness = 1.0
        self.delay_call = None
        self.changed = asyncio.Event()
        self.servers = []
        self.port = 0

    async def start(self, addresses):
        """Listen on the same free port of some addresses."""
        for address in addresses:
            server = await asyncio.start_server(self.serve, address, self.port)
            self.port = server.sockets[0].getsockname()[1]
            self.servers.append(server)

    # Items

    def put(self, key, content, lease=0):
        """Write a key and return the new revision."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        value = base64.b64encode(content).decode()
        self.write(key, value, lease)
        self.wake()
        return self.revision

    def write(self, key, value, lease):
        """Write an encoded value."""
        self.revision += 1
        known = self.items.get(key)
        created = known["created"] if known else self.revision
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = {**item, "created": created, "lease": lease}
        self.history.append(self.items[key])

    def remove(self, key):
        """Remove a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "tombstone": True})
        self.wake()

    def wake(self):
        """Let the waiting watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        """Remove a lease and its keys; tell whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)
        return True

    def expire(self):
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease, (_, ends_at) in list(self.leases.items()):
            if ends_at <= now:
                self.end_lease(lease)

    # Calls

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                if self.delay_call is not None:
                    address = writer.get_extra_info("sockname")[0]
                    await asyncio.sleep(self.delay_call(parts.path, address))
                await asyncio.sleep(ANSWER_S * self.slowness)
                status, answer = await self.call(method, parts.path, query, body)
                headers = {"Content-Type": "application/json"}
                content = json.dumps(answer).encode()
                writer.write(encode(f"HTTP/1.1 {status} Status", headers, content))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        """Return the status and the document of an answer."""
        self.expire()
        document = json.loads(body) if body else {}
        name, _, argument = path.strip("/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, self.with_revision(item))
        if name == "kv-range":
            return 200, self.list_items(query)
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.transact(document)
        if name == "kv-lease":
            self.last_lease += 1
            lease = self.last_lease
            ttl_s = document["ttlMs"] / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttlMs": document["ttlMs"]}
        if name == "kv-keep" and int(argument) in self.leases:
            ttl_s, _ = self.leases[int(argument)]
            self.leases[int(argument)] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1000)}
        if name == "kv-lease-end" and self.end_lease(int(argument)):
            return 200, {}
        return 404, {}

    def with_revision(self, item):
        """Return an item with the store's revision."""
        return {**item, "atRev": self.revision}

    def list_items(self, query):
        """Return a page of items."""
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return {"items": items, "hasMore": has_more, "atRev": self.revision}

    async def watch(self, query):
        """Return the changes after a revision once there is one."""
        prefix = query.get("prefix", "")
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = []
            for event in self.history:
                if event["revision"] > after and event["key"].startswith(prefix):
                    events.append(event)
            wait_s = ends_at - time.monotonic()
            if events or wait_s <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                continue

    def transact(self, document):
        """Apply a transaction."""
        for row in document.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in document.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in document.get("puts", []):
            self.write(put["key"], put["value"], put.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        self.wake()
        return 200, {"revision": self.revision}
