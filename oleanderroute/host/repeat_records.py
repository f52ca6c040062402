"""Records in the store of how many repeats the fleet has spent."""

import asyncio

from .. import events
from ..decisions.spent_repeats import (
    NOTHING_SPENT,
    SpentRepeats,
    merge_spent,
    repeats_to_record,
)
from ..decisions.store_history import NO_REVISION
from ..errors import DocumentError, LeaseUnknown, StoreError

CHECK_INTERVAL_S = 0.1
# Of a host that does not watch the store, and so has nothing to write.
ROLE_CHECK_INTERVAL_S = 0.5
# A record outlives its writer by the window that it covers and this margin, in which
# the hosts that are killed with the writer start again.
LEASE_MARGIN_S = 2.0
RENEW_INTERVAL_S = 3.0
# The watchers of the failure domains write one after the other, each only if the
# records of the others do not suffice by then.
TURN_S = 0.4
RETRY_S = 0.5
# A host that starts takes itself for the only one until it hears the others.
CONTACT_S = 2.0


class RepeatRecords:
    """The records of all hosts, as far as this host has read them.

    Parameters
    ----------
    view : FleetView
    """

    def __init__(self, view):
        self.view = view
        self.by_host = {}

    def record_changed(self, item):
        """Apply a changed item that holds a record.

        What was recorded before this host has read the store may have been spent
        before it started. Later sends of others reach it by their announcements.
        """
        host_id = item.key.removeprefix(self.view.formats.REPEATS_PREFIX)
        self.by_host.pop(host_id, None)
        if item.value is None:
            return
        try:
            record = self.view.formats.decode_repeats(item.key, item.value)
        except DocumentError as error:
            events.REPEAT_RECORD_REFUSED.log(host=host_id, reason=str(error))
            return
        self.by_host[host_id] = record
        if self.view.replica.revision == NO_REVISION:
            for service, spent in self.merged().items():
                self.view.allowance_of(service).assume_earlier(spent)

    def merged(self):
        """Return what the records cover, by service."""
        return merge_spent(self.by_host.values())

    def merged_before(self, host_id):
        """Return what the records of hosts with a smaller id cover, by service."""
        found = []
        for other_id, record in self.by_host.items():
            if other_id < host_id:
                found.append(record)
        return merge_spent(found)


class RepeatRecorder:
    """Keeps a record of the fleet's repeats in the store while there are many.

    It writes a record once, when the count rises or falls by a step, and its lease
    removes it if this host stops. Repeats do not wait for it.

    Parameters
    ----------
    view : FleetView
    store : KvClient
    membership : GossipMembership
    formats : object
        Has ``encode_repeats(host_id, record)``.
    clock : Clock
    """

    def __init__(self, view, store, membership, formats, clock):
        self.view = view
        self.store = store
        self.membership = membership
        self.formats = formats
        self.clock = clock
        self.lease = None
        self.renewed_at = 0.0
        self.written = {}
        self.written_at = NO_REVISION
        self.lacking_since = None

    async def run(self):
        """Keep the record until the task is cancelled."""
        while True:
            if self.lease is None and not self.membership.is_watcher():
                self.lacking_since = None
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                await self.update(self.clock.now())
            except LeaseUnknown:
                self.forget()
                await asyncio.sleep(RETRY_S)
            except StoreError as error:
                events.REPEAT_RECORD_DELAYED.log(reason=str(error))
                await asyncio.sleep(RETRY_S)

    async def update(self, now):
        """Write, renew or end the record of this host if that is due.

        Raises
        ------
        StoreError, LeaseUnknown
        """
        if self.lease is not None and self.is_of_earlier_history():
            self.forget()
        if self.lease is None:
            # Of other hosts, and of an earlier process of this one.
            known = self.view.repeat_records.merged()
            due = self.due_record(known, now)
            if self.is_turn(is_beyond(due, known), now):
                await self.write(due, now)
            return
        due = self.due_record(self.written, now)
        if not due or self.is_covered_before(now):
            key, _ = self.formats.encode_repeats(self.view.settings.host_id, {})
            written_at = self.written_at
            self.forget()
            await self.store.remove(key, written_at)
        elif covered(due) != covered(self.written):
            await self.write(due, now)
        elif now - self.renewed_at >= RENEW_INTERVAL_S:
            await self.store.renew_lease(self.lease)
            self.renewed_at = now

    def due_record(self, recorded, now):
        """Return what a record must hold now, by service; empty if none is due.

        Parameters
        ----------
        recorded : dict of ServiceName to SpentRepeats
            What a record holds already.
        """
        due = {}
        live = self.membership.live_host_count()
        known = self.view.host_count
        for service, allowance in self.view.allowances.items():
            allowance.expire(now)
            repeats = repeats_to_record(
                recorded.get(service, NOTHING_SPENT).repeats,
                allowance.repeat_count(),
                allowance.limit(live, known, now),
            )
            if repeats:
                due[service] = SpentRepeats(allowance.first_send_count(), repeats)
        return due

    def is_covered_before(self, now):
        """Tell whether the records of hosts with a smaller id suffice."""
        before = self.view.repeat_records.merged_before(self.view.settings.host_id)
        return bool(before) and not is_beyond(self.due_record(before, now), before)

    def is_turn(self, is_lacking, now):
        """Tell whether this host has to write what no record covers."""
        is_new = now - self.view.started_at < CONTACT_S
        if not is_lacking or is_new or not self.membership.is_watcher():
            self.lacking_since = None
            return False
        if self.lacking_since is None:
            self.lacking_since = now
        turn_s = self.membership.watcher_rank(now) * TURN_S
        return now - self.lacking_since >= turn_s

    async def write(self, record, now):
        """Write the record under a lease of its own."""
        if self.lease is None:
            settings = self.view.settings
            ttl_s = settings.retry_window_s + LEASE_MARGIN_S
            self.lease = await self.store.create_lease(max(ttl_s, settings.min_lease_s))
            self.renewed_at = now
        key, value = self.formats.encode_repeats(self.view.settings.host_id, record)
        self.written_at = await self.store.write(key, value, self.lease)
        self.written = record
        events.REPEATS_RECORDED.log(
            services=len(record), repeats=sum(covered(record).values())
        )

    def is_of_earlier_history(self):
        """Tell whether the store came back from a copy since it gave out the lease.

        The record may be gone, and the number of the lease may name another one. If the
        copy has the record, it lasts until its lease ends there.
        """
        return self.view.replica.revision.era > self.lease.era

    def forget(self):
        """Start anew without a record."""
        self.lease = None
        self.written = {}
        self.written_at = NO_REVISION
        self.lacking_since = None


def covered(record):
    """Return the repeats that a record covers, by service."""
    return {service: spent.repeats for service, spent in record.items()}


def is_beyond(due, recorded):
    """Tell whether a record does not cover what is due."""
    for service, spent in due.items():
        if spent.repeats > recorded.get(service, NOTHING_SPENT).repeats:
            return True
    return False
