"""The hypothesis state machine that drives the simulation of claims."""

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    get_state_machine_test,
    precondition,
    rule,
)

from features.support.claims_simulation import (
    DOMAINS,
    LIFETIME_S,
    LIMITS,
    POLL_S,
    ClaimsSimulation,
)
from oleanderroute.decisions.holder_ranking import bucket_of, rank_score

HOST_IDS = [f"{d}{n}" for d in DOMAINS for n in (1, 2, 3)]
# Delays around the vote window, the list staleness, the dispatch limit and the
# lifetime.
DELAYS_S = st.sampled_from([1, 1, 9, 11, 40, 59, 61, 250, 539, 571, 591, 601, 661])
# Bit masks of the holders that a message reaches; majorities are the critical cases.
REACHED = st.sampled_from([7, 3, 5, 6, 7, 3, 5, 6, 1, 0])
ANSWERED = st.sampled_from([7, 7, 7, 7, 7, 3, 5, 6, 0])
STARTS = st.sampled_from([True, True, True, False])
INDEX = st.integers(0, 3)
KEYS = st.sampled_from([0, 0, 0, 1])
# Ranks of hosts for a key; the first ones are holders and are drawn more often.
RANKS = st.sampled_from([0, 0, 1, 1, 2, 2, 3, 3, 4, 5])


class ClaimsMachine(RuleBasedStateMachine):
    protocol = None

    def __init__(self):
        super().__init__()
        self.simulation = ClaimsSimulation(self.protocol)
        self.keys = []
        self.renew_keys()

    @rule()
    def renew_keys(self):
        """Create new keys: one opaque, one UUIDv7 from a clock that is ahead."""
        created_ms = int(self.simulation.clock.wall() * 1000) + 9000
        self.keys = [f"o:{created_ms}", f"t:{created_ms}:key"]

    def pick(self, items, index):
        return items[index % len(items)]

    def ranked(self, key, rank):
        bucket = bucket_of(self.keys[key])
        scores = {host: rank_score(bucket, host) for host in HOST_IDS}
        return sorted(HOST_IDS, key=scores.get, reverse=True)[rank]

    @rule(seconds=DELAYS_S)
    def advance(self, seconds):
        self.simulation.advance(seconds)

    @rule()
    def settle(self):
        """End all faults, let hosts become old enough, and create new keys."""
        for host in self.simulation.versions[-1]:
            if host.host_id not in self.simulation.processes:
                self.simulation.restart(host.host_id)
            self.simulation.processes[host.host_id].is_partitioned = False
        self.simulation.advance(LIFETIME_S + LIMITS.list_staleness_s + POLL_S)
        self.renew_keys()

    @rule(
        key=KEYS,
        version=INDEX,
        asked=REACHED,
        answered=ANSWERED,
        starts=STARTS,
        freezes=st.booleans(),
    )
    def whole_round(self, key, version, asked, answered, starts, freezes):
        """Run one request completely, with message losses in both directions."""
        attempt = self.open_attempt(key, version)
        for number, holder in enumerate(attempt.round.holders):
            if asked & 1 << number:
                self.simulation.deliver_request(attempt, holder)
        lost = [h for n, h in enumerate(attempt.round.holders) if not answered & 1 << n]
        self.simulation.deliver_votes(attempt, lost)
        attempt.round.decision()
        if not freezes:
            self.simulation.finish(attempt, starts, answered)

    @rule(
        fault=st.sampled_from(["restart", "kill", "delist", "cut and delist", "join"]),
        rank=RANKS,
        seconds=DELAYS_S,
        first=REACHED,
        second=REACHED,
        version=INDEX,
        freezes=st.booleans(),
    )
    def resend_after_fault(self, fault, rank, seconds, first, second, version, freezes):
        """Resend a new key after a fault of a highly ranked host."""
        self.renew_keys()
        if fault.startswith("cut"):
            self.cut_from_platform(0, rank, True)
        if "delist" in fault:
            self.relist(0, rank, False)
            self.simulation.advance(seconds)
        self.whole_round(0, version, first, 7, True, freezes)
        if fault == "restart":
            self.restart(0, rank)
        if fault == "kill":
            self.kill(0, rank)
        if fault == "join":
            self.relist(0, rank, True)
        if "delist" not in fault:
            self.simulation.advance(seconds)
        self.whole_round(0, 0, second, 7, True, False)

    @rule(key=KEYS, version=INDEX)
    def start_round(self, key, version):
        """Start a round whose messages are delivered later, or never."""
        self.open_attempt(key, version)

    def open_attempt(self, key, version):
        back = version % min(3, len(self.simulation.versions))
        last = len(self.simulation.versions) - 1
        return self.simulation.open_attempt(self.pick(self.keys, key), last - back)

    @precondition(lambda self: self.simulation.attempts)
    @rule(index=INDEX, holder=INDEX, with_vote=st.booleans())
    def deliver(self, index, holder, with_vote):
        """Deliver a delayed, repeated or reordered message, or a paused host's vote."""
        attempt = self.simulation.attempts[-1 - index % len(self.simulation.attempts)]
        if attempt.round.holders:
            chosen = self.pick(attempt.round.holders, holder)
            self.simulation.deliver_request(attempt, chosen)
        if with_vote:
            self.simulation.deliver_votes(attempt)
            attempt.round.decision()

    @precondition(lambda self: self.simulation.attempts)
    @rule(index=INDEX, starts=STARTS, reach=REACHED)
    def resume_and_finish(self, index, starts, reach):
        """Resume an entry that was paused since the last step of its round."""
        attempt = self.simulation.attempts[-1 - index % len(self.simulation.attempts)]
        self.simulation.finish(attempt, starts, reach)

    @rule(key=KEYS, rank=RANKS)
    def kill(self, key, rank):
        self.simulation.processes.pop(self.ranked(key, rank), None)

    @rule(key=KEYS, rank=RANKS)
    def restart(self, key, rank):
        self.simulation.restart(self.ranked(key, rank))

    @rule(key=KEYS, rank=RANKS, is_listed=st.booleans())
    def relist(self, key, rank, is_listed):
        host_id = self.ranked(key, rank)
        self.simulation.relist(host_id, is_listed)
        if is_listed and host_id not in self.simulation.processes:
            self.simulation.restart(host_id)

    @rule(key=KEYS, rank=RANKS, is_partitioned=st.booleans())
    def cut_from_platform(self, key, rank, is_partitioned):
        host_id = self.ranked(key, rank)
        if host_id in self.simulation.processes:
            self.simulation.processes[host_id].is_partitioned = is_partitioned

    @rule(key=KEYS, rank=RANKS, other=RANKS)
    def hand_over(self, key, rank, other):
        processes = self.simulation.processes
        source, destination = self.ranked(key, rank), self.ranked(key, other)
        if source not in processes or destination not in processes:
            return
        now = self.simulation.clock.now()
        exports = processes[source].table.export(now)
        processes[destination].table.import_claims(exports, now)


def run_claims_machine(protocol, seed_number, examples):
    """Run the state machine on one protocol; raise the first LedgerViolation."""
    machine = type("Machine", (ClaimsMachine,), {"protocol": protocol})
    options = settings(
        max_examples=examples,
        stateful_step_count=25,
        deadline=None,
        derandomize=False,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    test = get_state_machine_test(machine, settings=options)
    seed(seed_number)(test)()
