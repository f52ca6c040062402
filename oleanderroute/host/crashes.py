"""Counts, across the fleet, the crashes of targets by request fingerprint."""

from .. import events
from ..decisions.fingerprint import crash_fingerprint
from ..decisions.quarantine import Quarantine
from ..ids import Workspace
from ..peer.gen.oleander_gossip.ttypes import CrashNotice
from .target_checks import Suspicion, TargetChecks, TargetState

NO_WORKSPACE = Workspace("")


class CrashTracker:
    """Maintains the quarantine from crashes that this and other hosts observe.

    Parameters
    ----------
    pool : TargetPool
    clock : Clock

    Attributes
    ----------
    on_crash : callable or None
        Called with each ``CrashNotice`` for the other hosts.
    is_isolated : callable
        Tells whether this host hears none of the other hosts. Its own path is then as
        likely the cause as a target that is silent.
    """

    def __init__(self, pool, clock):
        self.clock = clock
        self.quarantine = Quarantine(clock)
        self.on_crash = None
        self.is_isolated = lambda: False
        self.checks = TargetChecks(pool, clock, self.conclude)

    def close(self):
        """Give the checks of targets up."""
        self.checks.close()

    def fingerprint(self, exchange):
        """Return the fingerprint of an exchange's request."""
        request = exchange.request
        path = exchange.route.authority + request.raw_target.decode("latin-1")
        return crash_fingerprint(
            request.method, path, NO_WORKSPACE, None, exchange.body_prefix.content
        )

    def is_refused(self, exchange):
        """Tell whether a request must not be sent to another target."""
        if not self.quarantine.refused:
            return False
        return self.quarantine.is_refused(self.fingerprint(exchange), self.clock.now())

    def check_broken(self, exchange, target, sent_at):
        """Count a connection that ended early as a crash if the target is down.

        Parameters
        ----------
        target : TargetView
        sent_at : float
            When the request was sent to the target.
        """
        self.check(exchange, target, sent_at, self.clock.now())

    def check_silent(self, exchange, target, sent_at, noticed_at, span_s):
        """Count a request without an answer as a crash if the target is down.

        Parameters
        ----------
        noticed_at : float
            When the answer was overdue.
        span_s : float
            For how long a request may be at a target that works.
        """
        self.check(exchange, target, sent_at, noticed_at, span_s=span_s)

    def check_closed(self, exchange, target, sent_at):
        """Check a target that ended its answer by closing the connection.

        A crash ends such an answer in the same way, so it counts as one if the target
        is down, and as a success otherwise.
        """
        self.check(exchange, target, sent_at, self.clock.now(), is_served=True)

    def check(self, exchange, target, sent_at, noticed_at, **others):
        """Check a target for a request that may have crashed it."""
        suspicion = Suspicion(
            self.fingerprint(exchange),
            exchange.attempt_id,
            sent_at,
            noticed_at,
            **others,
        )
        self.checks.add(target, suspicion)

    def conclude(self, target, suspicion, state):
        """Count a suspicion as a crash, or drop it, by what the check has shown."""
        if state is TargetState.RUNNING:
            if suspicion.is_served:
                self.record_served(suspicion.fingerprint)
            return
        is_silent = state is TargetState.SILENT
        span_s = suspicion.span_s
        if span_s is not None:
            if not target.silence.may_begin_at(suspicion.sent_at, span_s):
                return
        if is_silent and self.is_isolated():
            return
        events.CRASH_COUNTED.log(
            request=suspicion.request_id,
            target=target.entry.target_id,
            fingerprint=suspicion.fingerprint,
            state=state.value,
            is_answered=suspicion.is_served,
            is_overdue=span_s is not None,
        )
        self.record_own_crash(suspicion, target.entry.target_id, is_silent)

    def record_own_crash(self, suspicion, target_id, is_silent):
        """Count a crash and notify the other hosts."""
        self.count_crash(
            suspicion.fingerprint,
            target_id,
            suspicion.noticed_at,
            suspicion.sent_at,
            is_silent,
        )
        if self.on_crash is None:
            return
        now = self.clock.now()
        notice = CrashNotice(
            "",
            suspicion.fingerprint,
            [target_id],
            int((now - suspicion.sent_at) * 1000),
            int((now - suspicion.noticed_at) * 1000),
            is_silent or None,
        )
        self.on_crash(notice)

    def record_success(self, exchange):
        """Clear the crashes of a request that a target has served."""
        quarantine = self.quarantine
        if not quarantine.suspected and not quarantine.refused:
            return
        self.record_served(self.fingerprint(exchange))

    def record_served(self, fingerprint):
        """Clear the crashes of a fingerprint, and tell the other hosts."""
        if self.quarantine.clear_crashes(fingerprint) and self.on_crash is not None:
            self.on_crash(CrashNotice("", fingerprint, []))

    def apply_notice(self, notice):
        """Apply the ``CrashNotice`` of another host."""
        if not notice.target_ids:
            self.quarantine.clear_crashes(notice.fingerprint)
        now = self.clock.now()
        sent_at = None if notice.sent_ms is None else now - notice.sent_ms / 1000
        crashed_at = now - (notice.broke_ms or 0) / 1000
        for target_id in notice.target_ids:
            self.count_crash(
                notice.fingerprint,
                target_id,
                crashed_at,
                sent_at,
                bool(notice.is_silent),
            )

    def count_crash(self, fingerprint, target_id, crashed_at, sent_at, is_silent):
        """Count one crash and log it if its fingerprint becomes quarantined."""
        was_refused = self.quarantine.is_refused(fingerprint, crashed_at)
        verdict = self.quarantine.record_crash(
            fingerprint, target_id, crashed_at, sent_at, is_silent
        )
        if verdict.is_refused and not was_refused:
            events.FINGERPRINT_QUARANTINED.log(
                fingerprint=fingerprint, target=target_id
            )
