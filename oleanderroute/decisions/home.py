"""Home slots: which slots of a service a host fills first.

Hosts that choose alone collide: with about as many slots as hosts, a random choice
finds a busy target while others are idle. Each host therefore has some slots of its
own, and leaves the others to requests beyond them.
"""

from .subset import seed_of


def home_slots(host_id, host_ids, target_ids, slots_per_target):
    """Return the slots that one host fills first.

    All hosts work out the same shares from the same lists, without any exchange. A
    list that lags costs collisions, nothing else.

    Parameters
    ----------
    host_id : HostId
    host_ids : iterable of HostId
        All hosts that may call the service.
    target_ids : iterable of TargetId
        All targets of the service.
    slots_per_target : int

    Returns
    -------
    dict of TargetId to int
    """
    hosts = sorted(host_ids, key=seed_of)
    targets = sorted(target_ids, key=seed_of)
    if host_id not in hosts:
        return {}
    position = hosts.index(host_id)
    homes = {}
    for slot in range(position, len(targets) * slots_per_target, len(hosts)):
        target_id = targets[slot % len(targets)]
        homes[target_id] = homes.get(target_id, 0) + 1
    return homes
