"""Rendezvous hashing: each host ranks all hosts for a key in the same order.

When a host joins or leaves, only the keys for which it ranks or ranked first
change their host.
"""

from hashlib import blake2b

SCORE_BYTES = 8


def scores(key, host_ids):
    """Return the score of each host for ``key``.

    Parameters
    ----------
    key : str
    host_ids : iterable of HostId

    Returns
    -------
    scored : list of tuple of (bytes, HostId)
    """
    # The length prefix keeps ("ab", "c") and ("a", "bc") apart.
    encoded = key.encode()
    prefix = blake2b(len(encoded).to_bytes(4) + encoded, digest_size=SCORE_BYTES)
    scored = []
    for host_id in host_ids:
        state = prefix.copy()
        state.update(host_id.encode())
        scored.append((state.digest(), host_id))
    return scored


def rank(key, host_ids):
    """Return all hosts in descending order of their score for ``key``.

    The order does not depend on the order of ``host_ids``.
    """
    ordered = sorted(scores(key, host_ids), reverse=True)
    return [host_id for _, host_id in ordered]
