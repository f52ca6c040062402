"""Short fixed traces; each breaks a protocol variant that lacks one rule."""

from itertools import count

from features.support.claims_simulation import LIFETIME_S, PROTOCOLS, ClaimsSimulation
from oleanderroute.decisions.claim_types import RankedHost
from oleanderroute.decisions.holder_ranking import (
    bucket_of,
    rank_distinct_domains,
    rank_score,
)

KEY = "o:traced"


def ranked_hosts(simulation):
    hosts = [RankedHost(host_id, host_id[0]) for host_id in simulation.processes]
    return rank_distinct_domains(KEY, hosts, 4)


def first_ranked_newcomer(first):
    """Return a host id that ranks before the first holder, in the same domain."""
    bucket = bucket_of(KEY)
    for number in count(3):
        host_id = f"{first[0]}{number}"
        if rank_score(bucket, host_id) > rank_score(bucket, first):
            return host_id


def vote(simulation, holders, back=0):
    """Ask some holders, using the host list ``back`` versions before the newest."""
    attempt = simulation.open_attempt(KEY, len(simulation.versions) - 1 - back)
    for holder in holders:
        simulation.deliver_request(attempt, holder)
    simulation.deliver_votes(attempt)
    attempt.round.decision()
    return attempt


def run(simulation, holders, back=0):
    simulation.finish(vote(simulation, holders, back), starts=True, updates_reach=0)


def first_holder_replaced(simulation):
    first, second, third, _ = ranked_hosts(simulation)
    run(simulation, [first, second])
    simulation.relist(first, False)
    simulation.processes.pop(first)
    simulation.advance(1)
    run(simulation, ranked_hosts(simulation)[:1])


def shared_holder_restarted(simulation):
    first, second, third, _ = ranked_hosts(simulation)
    run(simulation, [first, second])
    simulation.restart(second)
    run(simulation, [second, third])


def holder_departed(simulation):
    first, second, third, _ = ranked_hosts(simulation)
    run(simulation, [first, second])
    simulation.relist(first, False)
    simulation.processes.pop(first)
    simulation.advance(1)
    run(simulation, ranked_hosts(simulation)[1:3])


def delisted_holder_cut_off(simulation):
    first, second, third, fourth = ranked_hosts(simulation)
    simulation.processes[first].is_partitioned = True
    simulation.relist(first, False)
    simulation.advance(LIFETIME_S + 100)
    run(simulation, [first, second], back=1)
    del simulation.processes[first]
    run(simulation, ranked_hosts(simulation)[1:3])


def delisted_holder_votes(simulation):
    first, second, _, _ = ranked_hosts(simulation)
    simulation.processes[first].is_partitioned = True
    simulation.relist(first, False)
    simulation.advance(1)
    simulation.advance(58)
    run(simulation, [first, second], back=1)
    simulation.advance(LIFETIME_S - 57)
    del simulation.processes[first]
    run(simulation, ranked_hosts(simulation)[1:3])


def newcomer_unseen(simulation):
    """Two holders with lists 59 s old grant without a newcomer that ranks first."""
    holders = ranked_hosts(simulation)
    newcomer = first_ranked_newcomer(holders[0])
    simulation.relist(newcomer, True)
    simulation.restart(newcomer)
    for holder in holders[:2]:
        simulation.processes[holder].is_partitioned = True
    simulation.advance(59)
    run(simulation, holders[:2], back=1)
    for holder in holders[:2]:
        simulation.processes[holder].is_partitioned = False
    simulation.advance(LIFETIME_S - 59 + 1)
    assert ranked_hosts(simulation)[0] == newcomer
    run(simulation, [newcomer, holders[2]])


def frozen_entry_resumes(simulation):
    holders = ranked_hosts(simulation)[:3]
    frozen = vote(simulation, holders)
    simulation.advance(LIFETIME_S + 1)
    run(simulation, holders)
    simulation.advance(1)
    simulation.finish(frozen, starts=True, updates_reach=0)


TRACES = {
    "first holder replaced": first_holder_replaced,
    "shared holder restarted": shared_holder_restarted,
    "holder departed": holder_departed,
    "delisted holder cut off": delisted_holder_cut_off,
    "delisted holder votes": delisted_holder_votes,
    "newcomer unseen": newcomer_unseen,
    "frozen entry resumes": frozen_entry_resumes,
}


def run_trace(trace, protocol):
    TRACES[trace](ClaimsSimulation(PROTOCOLS[protocol]))
