"""A simulation of hosts, messages and a naive ledger for the claims feature."""

from dataclasses import dataclass, field

from oleanderroute.clock import Clock, ManualClock
from oleanderroute.decisions import claims
from oleanderroute.decisions.fingerprint import key_created_unix_s
from oleanderroute.decisions.holder_ranking import rank_distinct_domains

LIFETIME_S = 600.0
LIMITS = claims.ClaimLimits()
POLL_S = 20.0
DOMAINS = ("a", "b", "c", "d")
ANSWER = claims.RecordedAnswer(200, {}, b"done")
CLOCK_SKEW_S = (-0.5, 0.0, 0.5)


class LedgerViolation(AssertionError):
    """A key ran twice, or a caller was told "not run" after a run."""


class SkewedClock(Clock):
    def __init__(self, base, skew_s):
        self.base = base
        self.skew_s = skew_s

    def now(self):
        return self.base.now()

    def wall(self):
        return self.base.wall() + self.skew_s


class NoAgeRuleView(claims.HolderView):
    """A view without the age rule."""

    def is_old_enough(self, now):
        return True


class OneLifetimeAgeView(claims.HolderView):
    """A view whose age rule ignores the staleness of other voters' lists."""

    def is_old_enough(self, now):
        is_old = self.listed_since is not None
        return self.is_bootstrap_member or (
            is_old and now - self.listed_since >= self.lifetime_s
        )


class NoStalenessRuleView(claims.HolderView):
    """A view that votes with a host list of any age."""

    def is_list_fresh(self, now):
        return True


class NoRetentionView(claims.HolderView):
    """A view that stops ranking a host as soon as it has departed."""

    retention_s = 0.0


class OneLifetimeRetentionView(claims.HolderView):
    """A view that ranks departed hosts for one lifetime, without the staleness."""

    retention_s = LIFETIME_S


class NoOwnViewTable(claims.ClaimTable):
    """A table that votes whenever it is asked, regardless of its own view."""

    def _is_holder(self, key, holders, now):
        return True


class SingleHolderRound(claims.ClaimRound):
    """A naive round: the first-ranked host decides alone."""

    grants_needed = 1

    def __init__(self, holders, *others):
        super().__init__(holders[:1], *others)


class NoDeadlineRound(claims.ClaimRound):
    """A round whose dispatch has no absolute deadline."""

    def dispatch_deadline_unix_s(self, time_budget_s):
        return float("inf")


@dataclass(frozen=True)
class Protocol:
    """The classes under test; each variant disables one rule."""

    view: type = claims.HolderView
    table: type = claims.ClaimTable
    round: type = claims.ClaimRound


PROTOCOLS = {
    "as designed": Protocol(),
    "single holder": Protocol(round=SingleHolderRound),
    "no age rule": Protocol(view=NoAgeRuleView),
    "age of one lifetime": Protocol(view=OneLifetimeAgeView),
    "no list staleness rule": Protocol(view=NoStalenessRuleView),
    "departed hosts not ranked": Protocol(view=NoRetentionView),
    "departed ranked for one lifetime": Protocol(view=OneLifetimeRetentionView),
    "holder without own view": Protocol(table=NoOwnViewTable),
    "no dispatch deadline": Protocol(round=NoDeadlineRound),
}


class Process:
    """One incarnation of a host: its holder view and its claim table."""

    def __init__(self, simulation, host, incarnation):
        self.host = host
        self.incarnation = incarnation
        skew_s = CLOCK_SKEW_S[len(simulation.started) % len(CLOCK_SKEW_S)]
        clock = SkewedClock(simulation.clock, skew_s)
        self.view = simulation.protocol.view(
            host.host_id, incarnation, LIFETIME_S, clock.now(), LIMITS
        )
        self.table = simulation.protocol.table(LIFETIME_S, LIMITS, clock, self.view)
        self.is_partitioned = False
        simulation.started.append(self)


@dataclass
class Attempt:
    """One caller's request at one entry, as the ledger records it."""

    key: str
    round: claims.ClaimRound
    number: int
    votes: list = field(default_factory=list)
    is_over: bool = False
    ran_at: float | None = None
    told_not_run: bool = False


class ClaimsSimulation:
    def __init__(self, protocol):
        self.protocol = protocol
        self.clock = ManualClock()
        self.started = []
        self.processes = {}
        self.attempts = []
        hosts = [claims.RankedHost(f"{d}{n}", d) for d in DOMAINS for n in (1, 2)]
        # The last member is missing from the first version of the lagging list.
        self.versions = [hosts[:-1], hosts]
        for host in hosts:
            self.processes[host.host_id] = Process(self, host, 1)
        members = [claims.BootstrapMember(host, 1) for host in hosts]
        record = claims.BootstrapRecord(tuple(members))
        for number, process in enumerate(self.started):
            self.poll(process, version=number % 2)
            process.view.apply_bootstrap_record(record, self.clock.now())

    def poll(self, process, version=None):
        version = len(self.versions) - 1 if version is None else version
        now = self.clock.now()
        process.view.update(version, self.versions[version], now)
        process.view.confirm(version, now, now)

    def advance(self, seconds):
        while seconds > 0:
            step_s = min(seconds, POLL_S)
            seconds -= step_s
            self.clock.advance(step_s)
            for process in self.processes.values():
                if not process.is_partitioned:
                    self.poll(process)

    def restart(self, host_id):
        """Start a new process of a host, whether or not an old one runs."""
        host = claims.RankedHost(host_id, host_id[0])
        self.processes[host_id] = Process(self, host, len(self.started))
        self.poll(self.processes[host_id])

    def relist(self, host_id, is_listed):
        """Publish a host list with or without a host, running or not."""
        current = [h for h in self.versions[-1] if h.host_id != host_id]
        if is_listed:
            current.append(claims.RankedHost(host_id, host_id[0]))
        self.versions.append(current)

    def open_attempt(self, key, version):
        """Start a round at an entry with any version of the host list."""
        asked = rank_distinct_domains(key, self.versions[version], 3)
        skew_s = CLOCK_SKEW_S[len(self.attempts) % len(CLOCK_SKEW_S)]
        clock = SkewedClock(self.clock, skew_s)
        number = len(self.attempts)
        args = (asked, f"owner-{number}", LIFETIME_S, LIMITS, clock)
        attempt = Attempt(key, self.protocol.round(*args), number)
        self.attempts.append(attempt)
        return attempt

    def deliver_request(self, attempt, holder):
        """Let a holder vote; the vote remains in flight until it is delivered."""
        process = self.processes.get(holder)
        if process is None:
            return
        vote = process.table.request(
            attempt.key,
            attempt.round.owner,
            "fingerprint",
            attempt.round.holders,
            self.clock.now(),
        )
        attempt.votes.append((holder, vote))

    def deliver_votes(self, attempt, lost=()):
        for holder, vote in attempt.votes:
            if holder not in lost:
                attempt.round.add_vote(holder, vote)
        attempt.votes = []

    def finish(self, attempt, starts, updates_reach):
        """Close the round, then dispatch, or release and answer the caller."""
        if attempt.is_over:
            return
        attempt.is_over = True
        decision = attempt.round.close()
        if decision.kind is claims.DecisionKind.GRANTED:
            self.dispatch(attempt, starts, updates_reach)
            return
        self.release(attempt, attempt.round.holders_to_release(), updates_reach)
        attempt.told_not_run = decision.kind is claims.DecisionKind.NOT_RUN
        self.check(attempt)

    def dispatch(self, attempt, starts, updates_reach):
        deadline = attempt.round.dispatch_deadline_unix_s(LIFETIME_S)
        target_wall_s = self.clock.wall() + CLOCK_SKEW_S[attempt.number % 2 * 2]
        if not starts or target_wall_s > deadline:
            attempt.told_not_run = True
            self.release(attempt, attempt.round.holders, updates_reach)
            self.check(attempt)
            return
        attempt.ran_at = self.clock.now()
        for holder in self.reached(attempt.round.holders, updates_reach):
            holder.table.complete(
                attempt.key,
                attempt.round.owner,
                ANSWER,
                self.clock.now(),
                "fingerprint",
            )
        self.check(attempt)

    def release(self, attempt, holders, updates_reach):
        for holder in self.reached(holders, updates_reach):
            holder.table.release(attempt.key, attempt.round.owner, self.clock.now())

    def reached(self, holders, updates_reach):
        alive = [self.processes[h] for h in holders if h in self.processes]
        return [process for n, process in enumerate(alive) if updates_reach & 1 << n]

    def check(self, changed):
        """Compare the changed attempt with all others of its key."""
        for other in self.attempts:
            if other is changed or other.key != changed.key:
                continue
            pair = sorted(
                (changed, other), key=lambda attempt: attempt.round.started_at
            )
            self.check_pair(*pair)

    def check_pair(self, earlier, later):
        if earlier.ran_at is not None and later.ran_at is not None:
            if self.is_protected(earlier, later):
                raise LedgerViolation("a key ran twice")
            if earlier.ran_at > later.round.started_at:
                raise LedgerViolation("a key ran twice")
        if earlier.ran_at is not None and later.told_not_run:
            if not self.is_protected(earlier, later):
                return
            if earlier.ran_at < later.round.started_at:
                raise LedgerViolation("told not run after a run")

    def is_protected(self, earlier, later):
        """Opaque keys are protected for the lifetime less the vote window."""
        if key_created_unix_s(earlier.key) is not None:
            return True
        apart_s = later.round.started_at - earlier.round.started_at
        return apart_s < LIFETIME_S - LIMITS.vote_window_s
