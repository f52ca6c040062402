"""Keeps the replica of the platform's store current, directly or through peers."""

import asyncio

from .. import events
from ..decisions.link_budget import BYTES_PER_MBIT
from ..decisions.store_history import NO_REVISION, UNNAMED_ERA
from ..errors import (
    DocumentError,
    HistoryLost,
    HistoryReplaced,
    LeaseUnknown,
    PeerError,
    StoreError,
    StoreUnavailable,
)
from .copies import fetch_copy
from .store_news import ALL_KEYS, MAX_LOGGED_KEYS

# Duration of a long poll. A connection that has gone silent is detected after it.
LONG_POLL_TIMEOUT_S = 1.0
# Pause after a long poll that returned changes, so that the next call returns several
# changes at once.
BATCH_PAUSE_S = 0.15
# A host that has seen no other host for this time watches the store itself.
PEER_SILENCE_TIMEOUT_S = 0.9
# All hosts watch the store if it has confirmed nothing to any of them for this time.
# A healthy watcher confirms every 1.2 s.
CONFIRMATION_TIMEOUT_S = 1.5
ROLE_CHECK_INTERVAL_S = 0.1
# A host that knows of a newer revision for this time, but could not get it from other
# hosts, asks the store.
BEHIND_TIMEOUT_S = 0.6
# Bounds of the random pause after a failed call, so that hosts do not retry together.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.5
# Added to the pause while other hosts relay the store's changes, so that a host whose
# calls fail retries less often.
RETRY_RELAYED_S = 1.2
# Changes are fetched only if they have not arrived by gossip after this delay.
FETCH_DELAY_S = 0.05
LEASE_TTL_S = 12.0
RENEW_INTERVAL_S = 4.0
# Minimum pause after a failed registration; the host serves meanwhile.
REGISTRATION_RETRY_S = 0.8
# Calls that take longer than this need no pause between them.
MIN_CALL_S = 0.5 * LONG_POLL_TIMEOUT_S
# Bound of the factor by which the pause between calls grows that bring nothing.
MAX_PAUSE_FACTOR = 3
# The hosts that the hubs appointed read a later history at once, the others after this
# time and a random part of the second one, if none of them could.
LATER_HISTORY_WAIT_S = 0.6
LATER_HISTORY_SPREAD_S = 1.0
# A host that starts asks others for what they know beyond the store's copy.
KNOWN_STATES_TIMEOUT_S = 0.3
MAX_ASKED_HOSTS = 3
# Hosts that lost their registrations together take at most this share of the store's
# writes.
REGISTRATION_WRITES = 2
REGISTRATION_SHARE = 0.5
# Time after which this host's own write has arrived in its replica.
REGISTRATION_CHECK_S = 1.5
# A watch returns every version of a changed value. If the last page took the link for
# this time, the next call lists the items instead, which returns the newest only.
MAX_PAGE_TRANSFER_S = 0.2
# The store encodes values in base64.
ENCODED_SIZE_RATIO = 4 / 3


class StoreFollower:
    """Keeps the replica of one host current and the host registered in the store.

    Parameters
    ----------
    view : FleetView
    store : KvClient
    gossip : GossipTask
    formats : object
        Key names and the registration document of this host.
    clock : Clock
    rng : random.Random
    """

    def __init__(self, view, store, gossip, formats, clock, rng):
        self.view = view
        self.store = store
        self.gossip = gossip
        self.formats = formats
        self.clock = clock
        self.rng = rng
        self.is_loaded = asyncio.Event()
        self.store_failing = False
        self.is_watching = False
        self.fetches = set()
        # The task that reads all items after a difference; fetches go on meanwhile.
        self.corrections = set()
        # The newest revision that another host has announced, and since when this
        # host has been behind.
        self.announced_revision = NO_REVISION
        self.behind_since = 0.0
        self.must_list = False
        # Watches in a row that were refused, or brought nothing without waiting for it.
        self.idle_watches = 0
        self.lease = None
        # The write of the registration under that lease.
        self.registered_at = NO_REVISION
        # Leases in a row that ended before their first renewal.
        self.lost_leases = 0
        self.is_deregistered = False
        self.registration_lock = asyncio.Lock()
        gossip.on_newer_revision = self.newer_revision_seen
        gossip.on_difference = self.difference_seen
        gossip.on_other_kept_states = self.other_kept_states_seen

    @property
    def settings(self):
        """The ``HostSettings`` in force."""
        return self.view.settings

    def close(self):
        """Stop reading changes from other hosts and after a difference."""
        for task in (*self.fetches, *self.corrections):
            task.cancel()

    # Start

    async def load(self):
        """Load a first copy from the store, or from a seed if the store fails."""
        while not self.is_loaded.is_set():
            if self.view.replica.revision > NO_REVISION:
                # The store has no configuration yet.
                await self.watch_once()
            elif not await self.load_first():
                await self.load_from_seeds()
                if not self.is_loaded.is_set():
                    await self.sleep_before_retry()
            self.finish_load("store")

    async def load_first(self):
        """Read all items for the first time; return whether the store answered."""
        pages = await self.read_pages()
        if pages is None:
            return False
        copy = None
        if pages[0].revision.era > UNNAMED_ERA:
            # The store may have come back from an older copy.
            copy = await self.fetch_known_states(pages)
        self.apply_pages(pages, copy)
        return True

    async def load_from_store(self):
        """Read all items; return the changes, or None if it failed."""
        pages = await self.read_pages()
        return None if pages is None else self.apply_pages(pages)

    async def read_pages(self):
        """Return a page for each prefix that hosts read, or None if it failed."""
        formats = self.formats
        prefixes = (
            formats.CONFIGURATION_KEY,
            formats.TARGET_PREFIX,
            formats.FLEET_PREFIX,
        )
        reads = []
        for prefix in prefixes:
            reads.append(self.store.read_prefix(prefix))
        try:
            pages = await asyncio.gather(*reads)
            check_one_history(pages)
            for prefix, page in zip(prefixes, pages, strict=True):
                page.prefix = prefix
        except StoreError as error:
            self.record_store_failure(error)
            return None
        self.record_store_success()
        return pages

    def apply_pages(self, pages, copy=None):
        """Apply pages of all prefixes and return the changes.

        Parameters
        ----------
        copy : StoreCopy, optional
            What another host knows, of this history or an earlier one.
        """
        view = self.view
        # Pages that are read one after the other are complete at the lowest revision.
        revision = min(page.revision for page in pages)
        changes = []
        if revision.is_in_later_history(view.replica.revision):
            items = []
            for page in pages:
                items += page.items
            changes = view.news.enter_history(items, revision, copy=copy)
        else:
            for page in pages:
                changes += view.news.apply_listing(
                    page.prefix, page.items, page.revision
                )
        view.replica.advance(revision)
        return changes

    async def load_from_seeds(self):
        """Fetch a copy from the first seed that has one."""
        seeds = list(self.settings.seeds)
        self.rng.shuffle(seeds)
        own = (self.settings.address, self.settings.control_port)
        for address, port in seeds:
            if (address, port) == own:
                continue
            if not await self.fetch_from(address, port):
                continue
            if self.view.replica.revision > NO_REVISION:
                self.finish_load("host")
                return

    async def fetch_known_states(self, pages):
        """Return a copy of the first host that answers, or None.

        A host that starts after the store came back would otherwise use older states.
        """
        asked = []
        for address, port in self.choose_others(pages):
            fetch = fetch_copy(
                address, port, self.settings.host_id, self.view, self.clock
            )
            asked.append(asyncio.ensure_future(fetch))
        try:
            async with asyncio.timeout(KNOWN_STATES_TIMEOUT_S):
                for answered in asyncio.as_completed(asked):
                    try:
                        return await answered
                    except PeerError:
                        # ``fetch_copy`` has logged the reason.
                        continue
        except TimeoutError:
            pass
        finally:
            for fetch in asked:
                fetch.cancel()
            await asyncio.gather(*asked, return_exceptions=True)
        return None

    def choose_others(self, pages):
        """Return the addresses of some other hosts: seeds, or listed in pages."""
        settings = self.settings
        places = set(settings.seeds)
        for page in pages:
            for item in page.items:
                if not item.key.startswith(self.formats.HOST_PREFIX):
                    continue
                try:
                    host = self.formats.decode_host(item.key, item.value)
                except DocumentError:
                    # Logged when the item is applied.
                    continue
                places.add((host.address, host.control_port))
        places.discard((settings.address, settings.control_port))
        return self.rng.sample(sorted(places), min(MAX_ASKED_HOSTS, len(places)))

    def finish_load(self, source):
        """Mark the first copy as loaded once a configuration is in force."""
        if self.is_loaded.is_set() or self.view.configuration is None:
            return
        events.FIRST_COPY_LOADED.log(
            source=source,
            revision=self.view.replica.revision.number,
            targets=len(self.view.targets),
        )
        self.is_loaded.set()

    # Following

    async def run(self):
        """Watch the store while this host has to; else rely on the other hosts."""
        await self.load()
        while True:
            watches = self.must_watch(self.clock.now())
            if watches != self.is_watching:
                self.is_watching = watches
                events.WATCH_ROLE_CHANGED.log(
                    watching=watches, revision=self.view.replica.revision.number
                )
            if not watches:
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            if self.must_list:
                await self.list_once()
            else:
                await self.watch_once()

    def must_watch(self, now):
        """Tell whether this host has to watch the store itself."""
        is_appointed = self.gossip.membership.watcher == self.settings.host_id
        return is_appointed or not self.has_live_relay(now) or self.is_behind(now)

    def is_behind(self, now):
        """Tell whether this host lacks an announced revision for too long."""
        if self.announced_revision <= self.view.replica.revision:
            return False
        return now - self.behind_since > BEHIND_TIMEOUT_S

    def has_live_relay(self, now):
        """Tell whether other hosts relay the changes of the store."""
        if not self.hears_others(now):
            return False
        confirmed_at = self.view.replica.confirmed_at
        return confirmed_at is not None and now - confirmed_at < CONFIRMATION_TIMEOUT_S

    def hears_others(self, now):
        """Tell whether datagrams of other hosts arrive."""
        last_seen_at = self.gossip.membership.any_last_seen_at
        return last_seen_at is not None and now - last_seen_at <= PEER_SILENCE_TIMEOUT_S

    async def watch_once(self):
        """Make one long poll and apply its changes."""
        replica = self.view.replica
        after = replica.revision
        called_at = self.clock.now()
        try:
            page = await self.store.watch(ALL_KEYS, after, LONG_POLL_TIMEOUT_S)
        except HistoryReplaced as error:
            await self.read_later_history(error.era)
            return
        except HistoryLost as error:
            events.HISTORY_LOST.log(revision=after.number, reason=str(error))
            await self.list_after_refusal()
            return
        except StoreError as error:
            self.record_store_failure(error)
            await self.sleep_before_retry()
            return
        self.record_store_success()
        self.view.news.apply(page.items)
        replica.advance(page.revision)
        self.must_list = self.transfer_s(page.items) > MAX_PAGE_TRANSFER_S
        if page.items and page.revision > after:
            self.idle_watches = 0
            self.gossip.announce_changes(after)
            await asyncio.sleep(BATCH_PAUSE_S)
        elif self.clock.now() - called_at >= MIN_CALL_S:
            self.idle_watches = 0
            self.gossip.announce_confirmation()
        else:
            await self.pause_after_idle_watch()

    async def list_once(self):
        """Read all items and announce the new revision."""
        after = self.view.replica.revision
        changes = await self.load_from_store()
        if changes is None:
            await self.sleep_before_retry()
            return
        self.must_list = self.transfer_s(changes) > MAX_PAGE_TRANSFER_S
        self.gossip.announce_changes(after)

    async def list_after_refusal(self):
        """Read all items after the store refused a watch."""
        await self.pause_after_idle_watch()
        await self.list_once()

    async def pause_after_idle_watch(self):
        """Wait before the next call, longer after each watch that brought nothing."""
        factor = min(self.idle_watches, MAX_PAUSE_FACTOR)
        self.idle_watches += 1
        if factor:
            await asyncio.sleep(factor * self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S))

    async def read_later_history(self, era):
        """Read all items of a later history, unless another host can send them."""
        now = self.clock.now()
        is_appointed = self.gossip.membership.watcher == self.settings.host_id
        if not is_appointed and self.hears_others(now):
            wait_s = LATER_HISTORY_WAIT_S
            wait_s += self.rng.uniform(0.0, LATER_HISTORY_SPREAD_S)
            until = now + wait_s
            while self.view.replica.revision.era < era and self.clock.now() < until:
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
        if self.view.replica.revision.era < era:
            await self.list_after_refusal()

    def transfer_s(self, items):
        """Return for how long items of the store take the link; 0 if not known."""
        if self.settings.link_mbps <= 0.0:
            return 0.0
        size = sum(len(item.value or b"") for item in items)
        return ENCODED_SIZE_RATIO * size / (self.settings.link_mbps * BYTES_PER_MBIT)

    def record_store_success(self):
        """Record a successful call to the store; log the end of an outage."""
        if self.store_failing:
            events.STORE_REGAINED.log(revision=self.view.replica.revision.number)
        self.store_failing = False
        self.gossip.set_store_lost(False)
        self.view.record_confirmation(self.clock.now())

    def record_store_failure(self, error):
        """Record a failed call to the store; log the start of an outage."""
        if not self.store_failing:
            events.STORE_LOST.log(reason=str(error))
        self.store_failing = True
        self.gossip.set_store_lost(True)

    async def sleep_before_retry(self):
        """Wait before the next call after a failure."""
        pause_s = self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
        if self.has_live_relay(self.clock.now()):
            pause_s += RETRY_RELAYED_S
        await asyncio.sleep(pause_s)

    # Changes from other hosts

    def newer_revision_seen(self, host_id, revision):
        """Fetch the changes that another host has and this host lacks."""
        if self.announced_revision <= self.view.replica.revision:
            self.behind_since = self.clock.now()
        self.announced_revision = max(self.announced_revision, revision)
        host = self.view.hosts.get(host_id)
        if self.fetches or host is None:
            return
        task = asyncio.ensure_future(self.fetch_newer(host, revision))
        self.fetches.add(task)
        task.add_done_callback(self.fetches.discard)

    def other_kept_states_seen(self, host_id):
        """Fetch what another host keeps against the store's copy."""
        host = self.view.hosts.get(host_id)
        if self.fetches or host is None:
            return
        task = asyncio.ensure_future(self.fetch_from(host.address, host.control_port))
        self.fetches.add(task)
        task.add_done_callback(self.fetches.discard)

    def difference_seen(self):
        """Read all items, since another host has others at the same revision."""
        if self.corrections or not self.is_loaded.is_set():
            return
        task = asyncio.ensure_future(self.correct_replica())
        self.corrections.add(task)
        task.add_done_callback(self.corrections.discard)

    async def correct_replica(self):
        """Read all items, once the store serves them, and log what was missed."""
        while (changes := await self.load_from_store()) is None:
            await self.sleep_before_retry()
        events.REPLICA_CORRECTED.log(
            revision=self.view.replica.revision.number,
            changes=len(changes),
            keys=[change.key for change in changes[:MAX_LOGGED_KEYS]],
        )

    async def fetch_newer(self, host, revision):
        """Fetch from ``host`` unless the changes arrive by gossip first."""
        await asyncio.sleep(FETCH_DELAY_S)
        if self.view.replica.revision < revision:
            await self.fetch_from(host.address, host.control_port)

    async def fetch_from(self, address, port):
        """Fetch the changes from another host; return whether it answered."""
        source = f"{address}:{port}"
        try:
            copy = await fetch_copy(
                address, port, self.settings.host_id, self.view, self.clock
            )
        except PeerError:
            # ``fetch_copy`` has logged the reason.
            return False
        self.view.news.apply_copy(copy, source)
        return True

    # Registration of this host

    async def keep_registered(self):
        """Register this host and keep its lease alive until it deregisters."""
        renewed_at = float("-inf")
        while not self.is_deregistered:
            try:
                if self.lease is None:
                    await self.register()
                    renewed_at = self.clock.now()
                elif self.clock.now() - renewed_at >= RENEW_INTERVAL_S:
                    await self.store.renew_lease(self.lease)
                    self.lost_leases = 0
                    renewed_at = self.clock.now()
                    self.gossip.set_store_lost(self.store_failing)
                await asyncio.sleep(REGISTRATION_CHECK_S)
                await self.check_registration()
            except LeaseUnknown:
                events.LEASE_LOST.log(
                    lease=0 if self.lease is None else self.lease.number
                )
                self.lease = None
                await asyncio.sleep(self.registration_pause_s())
            except StoreError as error:
                events.REGISTRATION_DELAYED.log(reason=str(error))
                self.gossip.set_store_lost(True)
                await asyncio.sleep(self.rng.uniform(1.0, 2.0) * REGISTRATION_RETRY_S)

    async def check_registration(self):
        """Give up a lease that no longer keeps the registration of this host.

        Raises
        ------
        LeaseUnknown
            If the store came back from a copy in which this host is not registered
            under its lease, whose number may be given out again.
        """
        if self.lease is None:
            return
        if self.view.replica.revision.era > self.lease.era:
            self.carry_lease_over()
        if not self.view.is_registered():
            # The keys may be gone although the lease can still be renewed.
            self.lease = None

    def carry_lease_over(self):
        """Go on with the lease in a later history if the copy has the registration."""
        key, _ = self.formats.encode_host(self.settings)
        item = self.view.replica.items.get(key)
        if item is None or not item.revision.is_copied_from(self.registered_at):
            raise LeaseUnknown(str(self.lease.number))
        self.registered_at = item.revision
        self.lease = self.lease._replace(era=item.revision.era)

    def registration_pause_s(self):
        """Return a random pause that spreads the registrations of all hosts.

        It grows with each lease that is lost at once.
        """
        settings = self.settings
        writes_per_s = REGISTRATION_SHARE * max(1.0, settings.store_writes_per_s)
        spread_s = REGISTRATION_WRITES * self.view.host_count / writes_per_s
        pause_s = self.rng.uniform(RETRY_MIN_S, max(RETRY_MAX_S, spread_s))
        self.lost_leases += 1
        return pause_s * min(self.lost_leases, MAX_PAUSE_FACTOR)

    async def register(self):
        """Write the registration under a new lease."""
        async with self.registration_lock:
            if self.is_deregistered:
                return
            key, value = self.formats.encode_host(self.settings)
            ttl_s = max(LEASE_TTL_S, self.settings.min_lease_s)
            lease = await self.store.create_lease(ttl_s)
            self.registered_at = await self.store.write(key, value, lease)
            self.lease = lease

    async def deregister(self):
        """Remove the registration of this host for good."""
        self.is_deregistered = True
        async with self.registration_lock:
            if self.lease is None:
                return
            key, _ = self.formats.encode_host(self.settings)
            try:
                await self.store.remove(key, self.registered_at)
            except StoreError as error:
                events.REGISTRATION_DELAYED.log(reason=str(error))


def check_one_history(pages):
    """Raise ``StoreUnavailable`` unless all pages are of one history of the store."""
    for page in pages:
        if not page.revision.is_in_same_history(pages[0].revision):
            raise StoreUnavailable("the store came back from a copy between two reads")
