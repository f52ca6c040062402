"""What losses, restarts and changes cost at full size, by formula."""

from dataclasses import dataclass, replace

from .capacity_model import DAY_S, entry_load, relay_load

VOTE_AGE_S = 660.0
RESTARTS_PER_DAY = 3_400 + 52


@dataclass(frozen=True, slots=True)
class Situation:
    """One situation and what it means."""

    name: str
    figure: str


def young_share(fleet):
    """Return the share of hosts that are too young to vote on claims."""
    return RESTARTS_PER_DAY * VOTE_AGE_S / DAY_S / fleet.hosts


def unknown_share(young, lost=0):
    """Return the share of claim rounds without two votes of three.

    Parameters
    ----------
    young : float
        Share of hosts that can't vote.
    lost : int
        Holders of each key that are gone.
    """
    if lost >= 2:
        return 1.0
    if lost == 1:
        return 1 - (1 - young) ** 2
    return 3 * young**2 * (1 - young) + young**3


def situations(fleet, costs, list_ms):
    """Return the situations of the design page."""
    young = young_share(fleet)
    hosts = fleet.domain_hosts
    lost_domain = replace(
        fleet,
        rate=fleet.rate * fleet.hosts / (fleet.hosts - hosts),
        hosts_by_domain=dict(list(fleet.hosts_by_domain.items())[1:]),
    )
    busy = replace(fleet, host_lists_per_day=2 * DAY_S)
    rolling_s = len(fleet.hosts_by_domain) * VOTE_AGE_S
    whole = costs.of("complete host list of the platform")
    chunks = costs.of("chunks of the declaration")
    return [
        Situation(
            "3,400 restarts and 52 failures a day",
            f"{young:.2%} of the hosts can't vote at any time; "
            f"{unknown_share(young):.3%} of the at-most-once requests end as unknown",
        ),
        Situation(
            "a failure domain lost for an hour",
            f"{lost_domain.rate:.0f} req/s a host; an entry's reports "
            f"{entry_load(lost_domain, costs).sent:.0f} B/s; in a region of three "
            f"domains {unknown_share(young, 1):.1%} of the at-most-once requests end "
            "as unknown (both other holders are needed)",
        ),
        Situation(
            "a region lost for an hour",
            "its services and their claims are unknown or refused from the other "
            "region; pooling and news stay within each domain",
        ),
        Situation(
            "a domain leaves or returns host by host",
            "at most 2.2 lists/s; a relay receives "
            f"{relay_load(busy, costs, list_ms).received / 1e6:.1f} MB/s and spends "
            f"{relay_load(busy, costs, list_ms).processor_ms:.0f} ms/s meanwhile",
        ),
        Situation(
            "870 changes a day",
            f"{fleet.changes_per_day / DAY_S:.4f} changes/s; each host receives "
            f"{costs.at('manifest, chunk: bytes', chunks):.0f} B of manifest and about "
            f"{costs.of('bytes of a chunk'):.0f} B of chunk per change",
        ),
        Situation(
            "the store returns",
            "14 relays read over 5 s (8.4 reads/s); the other hosts were served by "
            "peers and do not ask",
        ),
        Situation(
            "every host starts at once, no peer has the declaration",
            f"up to {fleet.hosts * (chunks + 1) / 5:.0f} reads/s over 5 s against "
            "2,000: start the first domain, then the others",
        ),
        Situation(
            "rolling restart",
            f"{VOTE_AGE_S:.0f} s between failure domains, {rolling_s / 3600:.1f} h for "
            "all; while a domain is young, "
            f"{unknown_share(young, 1):.1%} of the at-most-once requests of a region "
            "of three domains end as unknown",
        ),
        Situation(
            "a rack of 30 hosts a week",
            f"{30 * 3 / fleet.hosts:.1%} of the claims lose one of three holders; its "
            "shards move to the next in rank after two missed replies; one host list "
            f"of {whole / 1e6:.2f} MB or 30 at each relay",
        ),
    ]
