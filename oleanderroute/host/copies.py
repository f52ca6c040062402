"""Transfer of the store's items between hosts, by TCP."""

import asyncio
import time

from .. import events
from ..errors import MessageRejected, PeerTimeout, PeerUnreachable
from ..peer.codec import (
    decode_message,
    encode_frame,
    read_frame,
)
from ..peer.gen.oleander_messages.ttypes import CopyReply, CopyRequest, ItemChange
from .model import StoreItem

# A value of the store has up to 1 MiB; a copy also has the entries of all targets,
# 3 MB for 8,000 targets.
MAX_COPY_BYTES = 16 * 1024 * 1024
# The transfer of some hundred items takes milliseconds.
EXCHANGE_TIMEOUT_S = 0.8
# Smaller copies are not logged.
LARGE_COPY_BYTES = 64 * 1024


def elapsed_ms(started_at):
    """Return the milliseconds since a monotonic time in seconds."""
    return int((time.monotonic() - started_at) * 1000)


class CopyServer:
    """Sends other hosts the items that they lack.

    Parameters
    ----------
    view : FleetView
    """

    def __init__(self, view):
        self.view = view
        self.server = None

    async def start(self):
        """Open the listening socket."""
        settings = self.view.settings
        self.server = await asyncio.start_server(
            self.serve, settings.address, settings.control_port
        )

    def close(self):
        """Close the listener."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader, writer):
        """Answer one request and close the connection."""
        peer, after, size = "caller", 0, 0
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                request = decode_message(CopyRequest(), await read_frame(reader))
                peer, after = request.host_id, request.after_revision
                reply = self.make_reply(request)
                frame = encode_frame(reply, MAX_COPY_BYTES)
                size = len(frame)
                writer.write(frame)
                await writer.drain()
        except (OSError, EOFError, TimeoutError, MessageRejected) as error:
            events.COPY_FAILED.log(
                peer=peer,
                reason=repr(error),
                after=after,
                bytes=size,
                elapsed_ms=elapsed_ms(started_at),
            )
        else:
            if size >= LARGE_COPY_BYTES:
                events.COPY_SERVED.log(
                    peer=peer,
                    after=after,
                    revision=reply.revision,
                    bytes=size,
                    elapsed_ms=elapsed_ms(started_at),
                )
        finally:
            writer.close()

    def make_reply(self, request):
        """Return the changes that the requester lacks, or all items."""
        replica = self.view.replica
        changes = replica.changes_after(request.after_revision)
        is_complete = changes is None
        if is_complete:
            changes = list(replica.items.values())
        items = []
        for item in changes:
            items.append(ItemChange(item.key, item.revision, item.value))
        return CopyReply(replica.revision, is_complete, items)


async def fetch_copy(address, port, host_id, after_revision):
    """Fetch from another host the items that changed after a revision.

    Returns
    -------
    revision : int
    is_complete : bool
        Whether ``items`` are all items of the store.
    items : list of StoreItem

    Raises
    ------
    PeerTimeout, PeerUnreachable, MessageRejected
    """
    started_at = time.monotonic()
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                writer.write(encode_frame(CopyRequest(host_id, after_revision)))
                body = await read_frame(reader, MAX_COPY_BYTES)
                reply = decode_message(CopyReply(), body)
            finally:
                writer.close()
    except TimeoutError as error:
        raise PeerTimeout(f"{address}:{port}") from error
    except (OSError, EOFError) as error:
        raise PeerUnreachable(f"{address}:{port}: {error!r}") from error
    if len(body) >= LARGE_COPY_BYTES:
        events.COPY_FETCHED.log(
            peer=f"{address}:{port}",
            after=after_revision,
            revision=reply.revision,
            bytes=len(body),
            elapsed_ms=elapsed_ms(started_at),
        )
    items = []
    for change in reply.items:
        items.append(StoreItem(change.key, change.revision, change.value))
    return reply.revision, reply.is_complete, items
