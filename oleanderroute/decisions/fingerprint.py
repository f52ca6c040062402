"""Fingerprints of requests and keys of at-most-once claims."""

import hashlib
import uuid

from ..ids import ClaimKey, Fingerprint

# Enough to distinguish two requests without buffering a large upload.
BODY_HEAD_BYTES = 16 * 1024

UUID_VERSION_WITH_TIME = 7
TIMED_KEY_PREFIX = "t"
OPAQUE_KEY_PREFIX = "o"


def digest_of_parts(*parts):
    """Return a hexadecimal SHA-256 over length-prefixed parts.

    The length prefixes keep ``("ab", "c")`` and ``("a", "bc")`` apart.

    Parameters
    ----------
    *parts : bytes
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def crash_fingerprint(method, path, workspace, idempotency_key, body_head):
    """Return the fingerprint under which a request may be quarantined.

    Parameters
    ----------
    method, path : str
    workspace : Workspace
    idempotency_key : str or None
        Identifies the request when present, so that its resends match.
    body_head : bytes
        First bytes of the body; used when there is no key.
    """
    if idempotency_key is not None:
        content = b"key:" + idempotency_key.encode()
    else:
        content = b"body:" + body_head[:BODY_HEAD_BYTES]
    return Fingerprint(
        digest_of_parts(method.encode(), path.encode(), workspace.encode(), content)
    )


def claim_fingerprint(method, path, workspace, content_length, body_head):
    """Return the fingerprint that a resend under the same key must repeat.

    Parameters
    ----------
    method, path : str
    workspace : Workspace
    content_length : int or None
        Bytes of the body, if announced.
    body_head : bytes
    """
    return Fingerprint(
        digest_of_parts(
            method.encode(),
            path.encode(),
            workspace.encode(),
            str(content_length).encode(),
            body_head[:BODY_HEAD_BYTES],
        )
    )


def claim_key(workspace, route_id, idempotency_key):
    """Return the fleet-wide key of a claim, of bounded length.

    A UUIDv7 key keeps its creation time in plain text, because holders check its age.

    Parameters
    ----------
    workspace : Workspace
    route_id : RouteId
    idempotency_key : str
        Value of the caller's ``Idempotency-Key`` header.
    """
    digest = digest_of_parts(
        workspace.encode(), route_id.encode(), idempotency_key.encode()
    )
    created_ms = uuid7_unix_ms(idempotency_key)
    if created_ms is None:
        return ClaimKey(f"{OPAQUE_KEY_PREFIX}:{digest}")
    return ClaimKey(f"{TIMED_KEY_PREFIX}:{created_ms}:{digest}")


def uuid7_unix_ms(text):
    """Return the creation time of a UUIDv7 in Unix milliseconds, else None."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION_WITH_TIME:
        return None
    return parsed.int >> 80


def key_created_unix_s(key):
    """Return the creation time in Unix seconds, or None for an opaque key.

    Parameters
    ----------
    key : ClaimKey
    """
    prefix, _, rest = key.partition(":")
    if prefix != TIMED_KEY_PREFIX:
        return None
    created_ms, _, _ = rest.partition(":")
    if not created_ms.isdecimal():
        return None
    return int(created_ms) / 1000
