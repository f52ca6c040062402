"""Short fixed traces; each breaks the protocol that lacks one of its rules."""

from itertools import count

from features.support.claims_world import LIFETIME_S, PROTOCOLS, World
from oleanderroute.decisions.claim_types import RankedHost
from oleanderroute.decisions.holder_ranking import (
    bucket_of,
    rank_distinct_domains,
    rank_score,
)

KEY = "o:traced"


def ranked_hosts(world):
    hosts = [RankedHost(host_id, host_id[0]) for host_id in world.processes]
    return rank_distinct_domains(KEY, hosts, 4)


def first_ranked_newcomer(first):
    """Return an id in the domain of the first holder that ranks before it."""
    bucket = bucket_of(KEY)
    for number in count(3):
        host_id = f"{first[0]}{number}"
        if rank_score(bucket, host_id) > rank_score(bucket, first):
            return host_id


def vote(world, holders, back=0):
    """Ask some holders, by the newest host list or one ``back`` versions older."""
    attempt = world.open_attempt(KEY, len(world.versions) - 1 - back)
    for holder in holders:
        world.deliver_request(attempt, holder)
    world.deliver_votes(attempt)
    attempt.round.decision()
    return attempt


def run(world, holders, back=0):
    world.finish(vote(world, holders, back), starts=True, updates_reach=0)


def first_holder_replaced(world):
    first, second, third, _ = ranked_hosts(world)
    run(world, [first, second])
    world.relist(first, False)
    world.processes.pop(first)
    world.advance(1)
    run(world, ranked_hosts(world)[:1])


def shared_holder_restarted(world):
    first, second, third, _ = ranked_hosts(world)
    run(world, [first, second])
    world.restart(second)
    run(world, [second, third])


def holder_departed(world):
    first, second, third, _ = ranked_hosts(world)
    run(world, [first, second])
    world.relist(first, False)
    world.processes.pop(first)
    world.advance(1)
    run(world, ranked_hosts(world)[1:3])


def delisted_holder_cut_off(world):
    first, second, third, fourth = ranked_hosts(world)
    world.processes[first].is_cut = True
    world.relist(first, False)
    world.advance(LIFETIME_S + 100)
    run(world, [first, second], back=1)
    del world.processes[first]
    run(world, ranked_hosts(world)[1:3])


def delisted_holder_votes(world):
    first, second, _, _ = ranked_hosts(world)
    world.processes[first].is_cut = True
    world.relist(first, False)
    world.advance(1)
    world.advance(58)
    run(world, [first, second], back=1)
    world.advance(LIFETIME_S - 57)
    del world.processes[first]
    run(world, ranked_hosts(world)[1:3])


def newcomer_unseen(world):
    """Two holders with lists 59 s old grant without a newcomer that ranks first."""
    holders = ranked_hosts(world)
    newcomer = first_ranked_newcomer(holders[0])
    world.relist(newcomer, True)
    world.restart(newcomer)
    for holder in holders[:2]:
        world.processes[holder].is_cut = True
    world.advance(59)
    run(world, holders[:2], back=1)
    for holder in holders[:2]:
        world.processes[holder].is_cut = False
    world.advance(LIFETIME_S - 59 + 1)
    assert ranked_hosts(world)[0] == newcomer
    run(world, [newcomer, holders[2]])


def frozen_entry_resumes(world):
    holders = ranked_hosts(world)[:3]
    frozen = vote(world, holders)
    world.advance(LIFETIME_S + 1)
    run(world, holders)
    world.advance(1)
    world.finish(frozen, starts=True, updates_reach=0)


TRACES = {
    "first holder replaced": first_holder_replaced,
    "shared holder restarted": shared_holder_restarted,
    "holder departed": holder_departed,
    "delisted holder cut off": delisted_holder_cut_off,
    "delisted holder votes": delisted_holder_votes,
    "newcomer unseen": newcomer_unseen,
    "frozen entry resumes": frozen_entry_resumes,
}


def play(trace, protocol):
    TRACES[trace](World(PROTOCOLS[protocol]))
