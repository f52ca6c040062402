"""Counts over the fleet which requests end the targets that run them."""

from .. import events
from ..decisions.fingerprint import crash_fingerprint
from ..decisions.quarantine import Quarantine
from ..ids import Workspace
from ..peer.gen.oleander_messages.ttypes import CrashNotice

NO_WORKSPACE = Workspace("")


class CrashLedger:
    """The quarantine of this host, fed by its own requests and by other hosts.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    on_crash : callable or None
        Told a ``CrashNotice`` for the other hosts.
    """

    def __init__(self, clock):
        self.clock = clock
        self.quarantine = Quarantine(clock)
        self.on_crash = None

    def fingerprint(self, exchange):
        """Return the fingerprint of an exchange's request."""
        request = exchange.request
        path = exchange.route.authority + request.raw_target.decode("latin-1")
        return crash_fingerprint(
            request.method, path, NO_WORKSPACE, None, exchange.head.content
        )

    def is_refused(self, exchange):
        """Tell whether a request must not be sent to another target."""
        if not self.quarantine.refused:
            return False
        return self.quarantine.is_refused(self.fingerprint(exchange), self.clock.now())

    def record(self, exchange, target_id):
        """Count a connection that broke while the request ran."""
        fingerprint = self.fingerprint(exchange)
        self.count(fingerprint, target_id, exchange.attempt_id)
        if self.on_crash is not None:
            self.on_crash(CrashNotice("", fingerprint, [target_id]))

    def take_notice(self, notice):
        """Count what another host saw."""
        for target_id in notice.target_ids:
            self.count(notice.fingerprint, target_id, "")

    def count(self, fingerprint, target_id, request_id):
        """Count one crash and log a new refusal."""
        now = self.clock.now()
        was_refused = self.quarantine.is_refused(fingerprint, now)
        verdict = self.quarantine.record_crash(fingerprint, target_id, now)
        if verdict.is_refused and not was_refused:
            events.FINGERPRINT_QUARANTINED.log(
                fingerprint=fingerprint, target=target_id, request=request_id
            )
