"""Keeps the platform's host list on one host, and hands it to peers.

Relays poll the platform. The other hosts see a newer version in the headers of peer
messages and fetch what changed from the peer that showed it.
"""

import asyncio

from .. import events
from ..errors import PeerError, StoreError
from ..peer.gen.oleander_messages.ttypes import HostListReply, HostListRequest
from ..platform.hostlist import (
    EMPTY_HOST_LIST,
    HostEntry,
    HostList,
    MalformedHostList,
    MemberState,
    TargetEntry,
)
from .hostchanges import HostListHistory

__all__ = [
    "HostEntry",
    "HostList",
    "HostListTask",
    "MemberState",
    "TargetEntry",
]

# A leaving target gets no new work after 3 s. The relay's poll, two hops of the
# configuration task's poll and the fetches must fit into that.
RELAY_POLL_PERIOD_S = 0.5
FETCH_TIMEOUT_S = 2.0
# A list not confirmed for this long is confirmed with a peer. Claim holders refuse
# to vote after 60 s.
CONFIRM_AGE_S = 5.0
# A host whose peers do not confirm the list for this long asks the platform itself,
# at a random time so that a fleet does not ask at once.
PLATFORM_AGE_S = 15.0
JITTER_S = 5.0
START_JITTER_S = 1.0
CHECK_PERIOD_S = 1.0
MAX_SOURCES = 3


class HostListTask:
    """Owner of the host list.

    Parameters
    ----------
    distribution : Distribution
        It is told each new list.
    client : HostListClient
    peers : PeerClient
    clock : Clock
    rng : random.Random
    on_hosts : callable
        Told each new ``HostList``.
    sleep : callable
        Awaitable sleep; tests replace it.

    Attributes
    ----------
    current : HostList
        Version 0 and empty until a first list is known.
    confirmed_at : float
        Monotonic time in seconds at which the platform or a peer last showed that
        ``current`` is up to date; minus infinity before that.
    """

    def __init__(
        self, distribution, client, peers, clock, rng, on_hosts, sleep=asyncio.sleep
    ):
        self.distribution = distribution
        self.client = client
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.on_hosts = on_hosts
        self.sleep = sleep
        self.current = EMPTY_HOST_LIST
        self.history = HostListHistory()
        self.confirmed_at = float("-inf")
        self.sources = {}
        self.offered = asyncio.Event()
        self.platform_down = False

    @property
    def version(self):
        """Return the version of the list, 0 before the first one."""
        return self.current.version

    def register(self, server):
        """Answer the requests of peers that arrive at ``server``."""
        server.register("host_list_request", self.answer_host_list)

    async def run(self):
        """Follow the list until cancelled."""
        await self.find_first_list()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.keep_current())
            group.create_task(self.follow_peers())

    async def find_first_list(self):
        """Ask the seeds, then the platform, until one has a list."""
        while self.version == 0:
            for peer in self.distribution.poll_candidates():
                if await self.fetch_from_peer(peer):
                    return
            await self.sleep(self.rng.uniform(0, START_JITTER_S))
            await self.poll_once()

    async def keep_current(self):
        """Poll the platform as a relay, and confirm the list with peers otherwise."""
        while True:
            if self.distribution.is_relay:
                await self.poll_once()
            await self.sleep(self.pause_s())
            await self.confirm()

    def pause_s(self):
        """Return the time to the next poll or check in seconds."""
        if not self.distribution.is_relay:
            return CHECK_PERIOD_S
        if self.platform_down:
            return self.rng.uniform(0, JITTER_S)
        return RELAY_POLL_PERIOD_S * self.rng.uniform(0.8, 1.0)

    def age_s(self):
        """Return the time since the list was confirmed, in seconds."""
        return self.clock.now() - self.confirmed_at

    async def confirm(self):
        """Confirm an unconfirmed list with a peer, at last with the platform."""
        if self.age_s() <= CONFIRM_AGE_S:
            return
        for peer in self.distribution.poll_candidates():
            await self.fetch_from_peer(peer)
            if self.age_s() <= CONFIRM_AGE_S:
                return
        if self.distribution.is_relay or self.age_s() <= PLATFORM_AGE_S:
            return
        await self.sleep(self.rng.uniform(0, JITTER_S))
        await self.poll_once()

    async def poll_once(self):
        """Ask the platform for a newer list.

        Returns
        -------
        answered : bool
        """
        asked_at = self.clock.now()
        try:
            host_list = await self.client.fetch(self.version)
        except MalformedHostList as error:
            events.HOST_LIST_REFUSED.log(reason=str(error))
            return False
        except StoreError as error:
            if not self.platform_down:
                events.STORE_UNAVAILABLE.log(reason=str(error))
            self.platform_down = True
            return False
        self.platform_down = False
        # The answer shows the list as it was no earlier than the question.
        self.confirmed_at = max(self.confirmed_at, asked_at)
        if host_list is not None:
            self.install(host_list)
        return True

    def on_peer_header(self, header):
        """Note the version in a header; called for each peer message."""
        if header.host_list_version <= self.version:
            return
        peer = self.distribution.find_peer(header.host_id)
        if peer is not None:
            self.sources[peer.host_id] = peer
            self.offered.set()

    async def follow_peers(self):
        """Fetch newer lists from the peers that showed them."""
        while True:
            await self.offered.wait()
            await self.take_sources()

    async def take_sources(self):
        """Ask peers that showed a newer list, until one has sent it."""
        self.offered.clear()
        sources = list(self.sources.values())
        self.sources.clear()
        self.rng.shuffle(sources)
        for peer in sources[:MAX_SOURCES]:
            if await self.fetch_from_peer(peer):
                return

    async def fetch_from_peer(self, peer):
        """Get a newer list, or its changes, from one peer.

        The list counts as confirmed as of the question: a message may have waited
        for long in the buffers of a host that was paused.

        Returns
        -------
        newer : bool
            Whether a newer list was received.
        """
        request = HostListRequest(known_version=self.version)
        asked_at = self.clock.now()
        try:
            reply = await self.peers.request(
                peer, "host_list_request", request, timeout_s=FETCH_TIMEOUT_S
            )
            self.distribution.note_answer(peer.host_id, answered=True)
            if reply.version <= self.version or reply.document is None:
                self.confirm_version(reply.version, asked_at)
                return False
            host_list = self.history.decode(reply, self.current)
        except (PeerError, MalformedHostList) as error:
            if isinstance(error, PeerError):
                self.distribution.note_answer(peer.host_id, answered=False)
            events.PEER_FETCH_FAILED.log(peer=peer.host_id, reason=str(error))
            return False
        self.install(host_list)
        self.confirm_version(host_list.version, asked_at)
        return True

    def confirm_version(self, version, asked_at):
        """Note that ``version`` was shown to be current at ``asked_at``."""
        if version == self.version and version > 0:
            self.confirmed_at = max(self.confirmed_at, asked_at)

    def answer_host_list(self, request, header):
        """Send the list, or its changes since the version that the peer knows."""
        if request.known_version >= self.version:
            return "host_list_reply", HostListReply(version=self.version)
        return "host_list_reply", self.history.encode(
            self.current, request.known_version
        )

    def install(self, host_list):
        """Take ``host_list`` if it is newer."""
        if host_list.version <= self.version:
            return
        self.history.record(self.current, host_list)
        self.current = host_list
        self.distribution.update_hosts(host_list)
        events.HOST_LIST_CHANGED.log(
            version=host_list.version,
            hosts=len(host_list.hosts),
            targets=len(host_list.targets),
        )
        self.on_hosts(host_list)
