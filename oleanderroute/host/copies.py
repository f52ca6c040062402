"""Transfer of the store's items between hosts, by TCP."""

import asyncio

from thrift.protocol.TProtocol import TProtocolException

from .. import events
from ..decisions.store_history import NO_REVISION
from ..errors import MessageRejected, PeerError, PeerTimeout, PeerUnreachable
from ..peer.codec import (
    decode_message,
    encode_frame,
    encode_message,
    read_frame,
    read_large_frame,
)
from ..peer.compression import compress, decompress
from ..peer.gen.oleander_gossip.ttypes import CopyReply, CopyRequest, KeptItem
from .patches import PatchMaker, large_revisions, plain_changes, restore_items
from .store_news import StoreCopy
from .wire_revisions import era_field, revision_from_wire

# A value of the store has up to 1 MiB; a copy also has the entries of all targets,
# 3 MB for 8,000 targets.
MAX_COPY_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 0.8
# Time without any progress after which a transfer is given up. How long a whole
# transfer takes depends on the links and on how many hosts share them.
STALL_TIMEOUT_S = 0.8
TRANSFER_TIMEOUT_S = 10.0
# Bytes that are written before the receiver has to read.
WRITE_CHUNK_BYTES = 32 * 1024
# Smaller copies are not logged.
LARGE_COPY_BYTES = 8 * 1024


class CopyServer:
    """Sends other hosts the items that they lack.

    Parameters
    ----------
    view : FleetView
    clock : Clock
    """

    def __init__(self, view, clock):
        self.view = view
        self.clock = clock
        self.patch_maker = PatchMaker(view.replica)
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
        transfer = TransferLog(self.clock)
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    request = decode_message(CopyRequest(), await read_frame(reader))
                transfer.peer = request.host_id
                transfer.after = request.after_revision
                reply = self.make_reply(request)
                await self.write_frame(writer, encode_frame(reply, MAX_COPY_BYTES))
                transfer.served(reply)
        except (OSError, EOFError, TimeoutError, MessageRejected) as error:
            transfer.failed(error)
        except asyncio.CancelledError:
            # Not raised again: asyncio's stream callback would log the shutdown.
            pass
        finally:
            writer.close()

    async def write_frame(self, writer, frame):
        """Write a frame as fast as the receiver reads it.

        Raises
        ------
        TimeoutError
            If the receiver reads nothing for ``STALL_TIMEOUT_S``.
        OSError
        """
        for start in range(0, len(frame), WRITE_CHUNK_BYTES):
            writer.write(frame[start : start + WRITE_CHUNK_BYTES])
            async with asyncio.timeout(STALL_TIMEOUT_S):
                await writer.drain()

    def make_reply(self, request):
        """Return the changes that the requester lacks, or all items."""
        replica = self.view.replica
        after = revision_from_wire(request.era, request.after_revision)
        items = None
        if after.is_in_same_history(replica.revision):
            items = replica.changes_after(after)
        is_complete = items is None
        if is_complete:
            items = list(replica.items.values())
        if request.bases is None:
            # A host of an older version reads only plain items.
            return self.start_reply(is_complete, plain_changes(items))
        bases = {}
        if after.is_in_same_history(replica.revision):
            bases = self.patch_maker.bases_at(request.bases)
        changes, patches = self.patch_maker.split_changes(items, bases)
        content = self.start_reply(is_complete, changes)
        content.patches = patches
        self.add_kept_states(content)
        reply = self.start_reply(is_complete, [])
        reply.packed = compress(encode_message(content))
        return reply

    def start_reply(self, is_complete, changes):
        """Return a reply at the revision of the replica."""
        revision = self.view.replica.revision
        era = era_field(revision)
        return CopyReply(revision.number, is_complete, changes, era=era)

    def add_kept_states(self, reply):
        """Add to a reply what this host keeps against the store's copy."""
        kept = self.view.news.kept
        if kept.listed_at == NO_REVISION:
            return
        reply.listed_at = kept.listed_at.number
        reply.kept = []
        for state in kept.by_key.values():
            era, number = state.revision
            item = KeptItem(state.key, era, number, state.value, state.is_gone)
            reply.kept.append(item)


class TransferLog:
    """What the log tells of one transfer.

    Parameters
    ----------
    clock : Clock
    peer : str
    after : int
        Revision from which on the changes are sent.
    """

    def __init__(self, clock, peer="caller", after=0):
        self.clock = clock
        self.peer = peer
        self.after = after
        self.started_at = clock.now()

    def elapsed_ms(self):
        """Return the milliseconds since the start of the transfer."""
        return int((self.clock.now() - self.started_at) * 1000)

    def served(self, reply):
        """Log a large copy that was sent."""
        size = len(reply.packed or b"")
        if size < LARGE_COPY_BYTES:
            return
        events.COPY_SERVED.log(
            peer=self.peer,
            after=self.after,
            revision=reply.revision,
            bytes=size,
            elapsed_ms=self.elapsed_ms(),
        )

    def fetched(self, reply, size):
        """Log a large copy that was received."""
        if size < LARGE_COPY_BYTES:
            return
        events.COPY_FETCHED.log(
            peer=self.peer,
            after=self.after,
            revision=reply.revision,
            bytes=size,
            elapsed_ms=self.elapsed_ms(),
        )

    def failed(self, error, received=0):
        """Log a transfer that failed."""
        events.COPY_FAILED.log(
            peer=self.peer,
            reason=repr(error),
            after=self.after,
            bytes=received,
            elapsed_ms=self.elapsed_ms(),
        )


async def fetch_copy(address, port, host_id, view, clock):
    """Fetch from another host what changed after the revision of a view's replica.

    Returns
    -------
    StoreCopy

    Raises
    ------
    PeerTimeout, PeerUnreachable, MessageRejected, PatchBaseMissing
    """
    replica = view.replica
    after = replica.revision
    transfer = TransferLog(clock, f"{address}:{port}", after.number)
    request = CopyRequest(
        host_id, after.number, large_revisions(replica), era_field(after)
    )
    try:
        body = await exchange_frames(address, port, encode_frame(request))
        reply = unpack_reply(decode_message(CopyReply(), body))
        copy = read_copy(reply, replica, view.news.kept)
    except PeerError as error:
        transfer.failed(error)
        raise
    transfer.fetched(reply, len(body))
    return copy


def read_copy(reply, replica, kept):
    """Return the ``StoreCopy`` in a reply.

    Raises
    ------
    MessageRejected, PatchBaseMissing
    """
    revision = revision_from_wire(reply.era, reply.revision)
    items = restore_items(replica, revision.era, reply.items, reply.patches)
    copy = StoreCopy(revision, reply.is_complete, items)
    if reply.listed_at is not None:
        copy.listed_at = revision_from_wire(reply.era, reply.listed_at)
    for item in reply.kept or ():
        check_kept_item(item)
        item_revision = revision_from_wire(item.era, item.revision)
        state = kept.make_state(item.key, item_revision, item.value, item.is_gone)
        if state is not None and item_revision.era < revision.era:
            copy.kept.append(state)
    return copy


def check_kept_item(item):
    """Reject a kept state without one of its required fields."""
    try:
        item.validate()
    except TProtocolException as error:
        raise MessageRejected(str(error)) from error


async def exchange_frames(address, port, frame):
    """Send one frame to a host and return the body of its reply.

    Raises
    ------
    PeerTimeout, PeerUnreachable, MessageRejected
    """
    try:
        async with asyncio.timeout(TRANSFER_TIMEOUT_S):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(address, port)
            try:
                writer.write(frame)
                return await read_large_frame(reader, MAX_COPY_BYTES, STALL_TIMEOUT_S)
            finally:
                writer.close()
    except TimeoutError as error:
        raise PeerTimeout(f"{address}:{port}") from error
    except (OSError, EOFError) as error:
        raise PeerUnreachable(f"{address}:{port}: {error!r}") from error


def unpack_reply(reply):
    """Return the ``CopyReply`` inside a packed one; others as they are.

    Raises
    ------
    MessageRejected
    """
    if reply.packed is None:
        return reply
    return decode_message(CopyReply(), decompress(reply.packed, b"", MAX_COPY_BYTES))
