"""State of one host: the configuration, targets, hosts and target health."""

import random

from .. import events
from ..decisions.allowance import RepeatAllowance
from ..decisions.floor import ServiceFloor
from ..decisions.health import (
    INTERIM_FINDINGS,
    SERVED_FINDINGS,
    START_FINDINGS,
    UNSERVED_FINDINGS,
    Finding,
    TargetHealth,
)
from ..decisions.latency import LatencySample
from ..decisions.replica import StoreReplica
from ..decisions.restrictions import TargetRestrictions
from ..decisions.selection import TargetView
from ..decisions.send_counts import RemoteSendCounts
from ..decisions.standing_queue import StandingQueue
from ..errors import DocumentError
from .change_log import ChangeLog
from .configuration_queue import ConfigurationQueue
from .rate_limits import RateLimits
from .repeat_records import RepeatRecords
from .routes import PrefixRoutes
from .store_news import StoreNews

# A longer gap between two confirmations by the store is taken for an outage of the
# store. A healthy watcher confirms at least every two seconds.
OUTAGE_GAP_S = 2.6
# Registrations that expired during a store outage are renewed within two seconds
# after the store recovers.
TARGET_RETURN_TIMEOUT_S = 2.2
# A host whose key was removed stays in use if it was last seen within this time.
LAPSED_HOST_TIMEOUT_S = 3.0
NOT_RETURNED = "not registered again after an outage"


class FleetView:
    """State of one host, kept up to date by the store's items and by findings.

    Parameters
    ----------
    settings : HostSettings
    formats : object
        Decodes the platform's documents: ``decode_configuration``,
        ``decode_in_steps``, ``decode_target``, ``decode_host``, ``state_order`` and the
        key names.
    clock : Clock
    pool : TargetPool
    """

    def __init__(self, settings, formats, clock, pool):
        self.settings = settings
        self.formats = formats
        self.clock = clock
        self.pool = pool
        self.replica = StoreReplica(
            (formats.CONFIGURATION_KEY, formats.TARGET_PREFIX, formats.HOST_PREFIX)
        )
        self.news = StoreNews(self)
        self.configuration = None
        self.configuration_queue = ConfigurationQueue(
            formats, clock, self.configuration_changed, self.refuse_configuration
        )
        self.routes = PrefixRoutes(())
        self.targets = {}
        self.services = {}
        self.hosts = {}
        # How often ``hosts`` has changed.
        self.hosts_changes = 0
        self.lapsed_hosts = set()
        # When the last datagram of each other host arrived, in monotonic seconds.
        self.last_seen_at = {}
        # The limit in force for each target of a service.
        self.connection_limits = {}
        self.latencies = {}
        self.queues = {}
        self.allowances = {}
        self.floors = {}
        self.remote_counts = RemoteSendCounts()
        self.restrictions = TargetRestrictions()
        self.rate_limits = RateLimits(self)
        self.repeat_records = RepeatRecords(self)
        self.change_log = ChangeLog()
        # Crossings of a gray probability of 0.5 since the start.
        self.belief_changes = 0
        self.started_at = clock.now()
        self.store_recovered_at = float("-inf")
        # Targets whose entry was removed while the store was recovering, and the time
        # until which they are kept.
        self.awaiting_return = {}
        self.on_configuration = []

    def update_settings(self, settings):
        """Apply changed settings."""
        self.settings = settings
        for floor in self.floors.values():
            floor.floor_share = settings.floor_share
        for allowance in self.allowances.values():
            allowance.configure(
                settings.retry_ratio,
                settings.retry_allowance,
                settings.retry_window_s,
            )

    # Items of the store

    def record_confirmation(self, at):
        """Record that the store confirmed the replica's revision at ``at``."""
        replica = self.replica
        before = replica.confirmed_at
        if before is not None and at <= before:
            return
        replica.confirmed_at = at
        if before is not None and at - before > OUTAGE_GAP_S:
            self.store_recovered_at = at
            events.STORE_NEWS_RESUMED.log(gap_s=round(at - before, 2))

    def item_changed(self, item, source):
        """Apply one changed item."""
        formats = self.formats
        if item.key == formats.CONFIGURATION_KEY:
            self.configuration_queue.submit(item, source)
        elif item.key.startswith(formats.TARGET_PREFIX):
            self.target_changed(item, source)
        elif item.key.startswith(formats.HOST_PREFIX):
            self.host_changed(item)
        elif item.key.startswith(formats.REPEATS_PREFIX):
            self.repeat_records.record_changed(item)

    def configuration_changed(self, found, item, source):
        """Apply a decoded configuration unless it is not newer."""
        current = self.configuration
        if found == current:
            # The key had been taken for removed, or was written again.
            return
        if current is not None and found.version <= current.version:
            reason = f"version {current.version} is in force"
            self.refuse_configuration(reason, item, source, found.version)
            return
        self.configuration = found
        self.routes = PrefixRoutes(found.routes)
        self.update_limits()
        events.CONFIGURATION_IN_FORCE.log(
            version=found.version,
            routes=len(found.routes),
            workspaces=len(found.workspaces),
            revision=item.revision.number,
            source=source,
        )
        for listener in self.on_configuration:
            listener(found)

    def refuse_configuration(self, reason, item, source, version=0):
        """Log that the configuration in force stays.

        Parameters
        ----------
        version : int
            Version of the refused configuration; 0 if it has none.
        """
        events.CONFIGURATION_REFUSED.log(
            reason=reason,
            version=version,
            in_force=0 if self.configuration is None else self.configuration.version,
            revision=item.revision.number,
            source=source,
        )

    def target_changed(self, item, source):
        """Add, change or remove a target."""
        formats = self.formats
        target_id = item.key.removeprefix(formats.TARGET_PREFIX)
        now = self.clock.now()
        if item.value is None:
            self.target_entry_removed(target_id, now, source)
            return
        try:
            entry = formats.decode_target(item.key, item.value)
        except DocumentError as error:
            if self.change_log.may_log():
                events.TARGET_ENTRY_REFUSED.log(target=target_id, reason=str(error))
            self.forget_target(target_id)
            return
        self.awaiting_return.pop(target_id, None)
        view = self.targets.get(target_id)
        if view is None or view.entry.incarnation != entry.incarnation:
            self.forget_target(target_id)
            view = TargetView(entry, TargetHealth(now))
            self.targets[target_id] = view
            if self.change_log.may_log():
                events.TARGET_ADDED.log(target=target_id, service=entry.service)
        elif view.entry.service != entry.service:
            self.services[view.entry.service].pop(target_id, None)
        if entry.is_leaving and not view.entry.is_leaving:
            if self.change_log.may_log():
                events.TARGET_LEAVING.log(
                    target=target_id, revision=item.revision.number, source=source
                )
        view.entry = entry
        view.cold_until = now + entry.cold_s if entry.cold_s else 0.0
        self.services.setdefault(entry.service, {})[target_id] = view
        self.pool.set_connection_limit(target_id, self.connection_limit(entry.service))

    def target_entry_removed(self, target_id, now, source):
        """Remove a target, or keep it for a while if the store is recovering."""
        return_by = self.store_recovered_at + TARGET_RETURN_TIMEOUT_S
        view = self.targets.get(target_id)
        if view is None:
            return
        is_gone = self.news.kept.is_gone(self.formats.TARGET_PREFIX + target_id)
        if now < return_by and not is_gone and not self.is_leaving(view.entry):
            self.awaiting_return[target_id] = return_by
            return
        self.remove_target(target_id, source)

    def await_return(self, key):
        """Keep a target for a while that the copy lacks from which the store came."""
        target_id = key.removeprefix(self.formats.TARGET_PREFIX)
        if target_id in self.targets and target_id not in self.awaiting_return:
            recovered_at = max(self.store_recovered_at, self.started_at)
            self.awaiting_return[target_id] = recovered_at + TARGET_RETURN_TIMEOUT_S

    def remove_unreturned_targets(self, now):
        """Remove the targets that did not register again in time after an outage."""
        for target_id, return_by in list(self.awaiting_return.items()):
            if now >= return_by:
                self.news.kept.drop(self.formats.TARGET_PREFIX + target_id)
                self.remove_target(target_id, NOT_RETURNED)
        self.change_log.finish()

    def remove_target(self, target_id, source):
        """Log the removal of a known target and remove its state."""
        service = self.targets[target_id].entry.service
        if self.change_log.may_log():
            events.TARGET_GONE.log(target=target_id, service=service, source=source)
        self.forget_target(target_id)

    def forget_target(self, target_id):
        """Remove the state of a target; requests in flight are not cancelled."""
        self.awaiting_return.pop(target_id, None)
        view = self.targets.pop(target_id, None)
        if view is None:
            return
        self.services[view.entry.service].pop(target_id, None)
        self.pool.close_target(target_id)

    def host_changed(self, item):
        """Add or remove another host."""
        host_id = item.key.removeprefix(self.formats.HOST_PREFIX)
        if item.value is None:
            # The lease may have expired while the host still serves; the host is
            # counted while its datagrams arrive.
            self.lapsed_hosts.add(host_id)
            return
        try:
            host = self.formats.decode_host(item.key, item.value)
        except DocumentError as error:
            events.HOST_ENTRY_REFUSED.log(host=host_id, reason=str(error))
            return
        self.hosts[host_id] = host
        self.hosts_changes += 1
        self.lapsed_hosts.discard(host_id)
        self.update_limits()

    def remove_expired_hosts(self, now):
        """Remove the hosts whose key was removed and whose datagrams have stopped."""
        for host_id in list(self.lapsed_hosts):
            last_seen_at = self.last_seen_at.get(host_id)
            if last_seen_at is not None and now - last_seen_at < LAPSED_HOST_TIMEOUT_S:
                continue
            self.lapsed_hosts.discard(host_id)
            if self.hosts.pop(host_id, None) is not None:
                self.hosts_changes += 1
                self.update_limits()

    def is_registered(self):
        """Tell whether the store has the registration of this host."""
        own_id = self.settings.host_id
        return own_id in self.hosts and own_id not in self.lapsed_hosts

    # Derived limits

    @property
    def host_count(self):
        """Number of hosts that share the fleet's limits, including this host."""
        return len(self.hosts.keys() | {self.settings.host_id})

    def connection_limit(self, service):
        """Return how many connections this host may open to one target."""
        policy = None
        if self.configuration is not None:
            policy = self.configuration.services.get(service)
        if policy is None:
            return 4
        return max(2, policy.connection_limit // (2 * self.host_count))

    def update_limits(self):
        """Divide the connection limits of the targets among the known hosts."""
        for service, views in self.services.items():
            limit = self.connection_limit(service)
            if limit == self.connection_limits.get(service):
                continue
            self.connection_limits[service] = limit
            for target_id in views:
                self.pool.set_connection_limit(target_id, limit)

    # Queries of the request path

    def is_replica_current(self, now):
        """Tell whether the store has confirmed the replica recently."""
        confirmed_at = self.replica.confirmed_at
        return confirmed_at is not None and now - confirmed_at < OUTAGE_GAP_S

    def usable_targets(self, service):
        """Return the views of the targets that may get new requests."""
        now = self.clock.now()
        forbids = self.restrictions.forbids
        found = []
        for target_id, view in self.services.get(service, {}).items():
            entry = view.entry
            if entry.is_leaving or forbids(target_id, entry.started_ms, now):
                continue
            found.append(view)
        return found

    def min_pause_s(self, service):
        """Return the shortest pause that targets of a service asked for, or None."""
        now = self.clock.now()
        pauses_s = []
        for target_id, view in self.services.get(service, {}).items():
            entry = view.entry
            pause_s = self.restrictions.pause_s(target_id, entry.started_ms, now)
            if pause_s > 0.0 and not entry.is_leaving:
                pauses_s.append(pause_s)
        return min(pauses_s, default=None)

    def is_leaving(self, entry):
        """Tell whether a target announced its stop, in the store or in an answer."""
        return entry.is_leaving or self.restrictions.is_leaving(
            entry.target_id, entry.started_ms
        )

    def latencies_of(self, service):
        """Return the latency sample of a service."""
        sample = self.latencies.get(service)
        if sample is None:
            sample = self.latencies[service] = LatencySample()
        return sample

    def queue_of(self, service):
        """Return the ``StandingQueue`` of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = StandingQueue()
        return queue

    def allowance_of(self, service):
        """Return the ``RepeatAllowance`` of a service."""
        allowance = self.allowances.get(service)
        if allowance is None:
            settings = self.settings
            allowance = self.allowances[service] = RepeatAllowance(
                settings.retry_ratio,
                settings.retry_allowance,
                settings.retry_window_s,
                self.started_at,
            )
        return allowance

    def floor_of(self, service):
        """Return the ``ServiceFloor`` of a service."""
        floor = self.floors.get(service)
        if floor is None:
            floor = self.floors[service] = ServiceFloor(
                self.settings.floor_share,
                random.Random(f"{self.settings.host_id}/{service}"),
            )
        return floor

    # Findings

    def observe(
        self,
        target_id,
        finding,
        sent_at,
        sender,
        latency_s=None,
        load=None,
        count=None,
    ):
        """Apply a finding of this or another host about a target.

        Parameters
        ----------
        sender : tuple of (HostId, int) or None
            Host and number of the send; None if this host sent it.
        load : tuple of int, optional
            Number of requests at the target, and number of its slots.
        count : tuple of int, optional
            Incarnation of the sending process and the number of its sends so far, at
            the start of a send of another host.
        """
        view = self.targets.get(target_id)
        if view is None:
            return
        now = self.clock.now()
        is_own = sender is None
        if not is_own:
            self.count_remote_send(view, finding, sender, now, count)
        before = view.health.gray_probability
        view.health.observe(finding, sent_at, now, is_own)
        view.silence.record(finding, sent_at)
        if load is not None:
            view.reported_in_system = float(load[0])
            view.reported_at = now
        if latency_s is not None:
            self.latencies_of(view.entry.service).add(latency_s)
        if finding in SERVED_FINDINGS:
            self.floor_of(view.entry.service).record(False, now)
        elif finding in UNSERVED_FINDINGS:
            self.floor_of(view.entry.service).record(True, now)
        self.record_belief_change(target_id, before, view.health, finding, is_own)

    def record_leaving(self, target_id, started_ms, source):
        """Record that a target said in an answer that it will stop.

        Parameters
        ----------
        source : HostId
            The host that got the answer.

        Returns
        -------
        bool
            Whether it was not known.
        """
        if not self.restrictions.mark_leaving(target_id, started_ms):
            return False
        events.TARGET_SAID_LEAVING.log(target=target_id, source=source)
        return True

    def count_own_send(self, service, is_repeat):
        """Count a send of this host for the limit on repeats."""
        self.allowance_of(service).record(is_repeat, True, self.clock.now())

    def count_remote_send(self, view, finding, sender, now, count):
        """Count first and repeated sends, and the sends in flight of other hosts."""
        if finding not in START_FINDINGS:
            if finding not in INTERIM_FINDINGS:
                view.record_remote_end(sender)
            return
        view.record_remote_send(sender, now)
        is_repeat = finding is Finding.RESENT
        service = view.entry.service
        amount = 1
        if count is not None:
            incarnation, number = count
            amount = self.remote_counts.advance(
                sender[0], incarnation, (service, is_repeat), number
            )
        self.allowance_of(service).record(is_repeat, False, now, amount)

    def record_belief_change(self, target_id, before, health, finding, is_own):
        """Count, and log for own findings, when a gray probability crosses 0.5.

        Findings of other hosts are in the logs of these hosts; a line on each host for
        each of them would grow with the fleet.
        """
        if (before > 0.5) == (health.gray_probability > 0.5):
            return
        self.belief_changes += 1
        if is_own:
            events.TARGET_BELIEF_CHANGED.log(
                target=target_id,
                gray=round(health.gray_probability, 3),
                cut=round(health.path_down_probability, 3),
                finding=finding.name.lower(),
            )

    def count_gray_targets(self):
        """Return how many targets are estimated to be in a gray phase."""
        count = 0
        for view in self.targets.values():
            if view.health.gray_probability > 0.5:
                count += 1
        return count
