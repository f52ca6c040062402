"""Client of the platform's key-value service."""

from dataclasses import dataclass
from urllib.parse import quote

import aiohttp

from ..errors import StoreConflict, StoreError, StoreUnavailable, ValueTooLarge

CAUSE_HEADER = "X-Call-Cause"
# A healthy store answers in milliseconds.
DEFAULT_TIMEOUT_S = 2.0
# Added to the wait that a long poll requests from the store.
LONG_POLL_MARGIN_S = 2.0
TOO_MANY_REQUESTS = 429
FIRST_SERVER_ERROR = 500


class LeaseExpired(StoreError):
    """The store no longer knows the lease."""


class UnexpectedResponse(StoreUnavailable):
    """The store's answer does not conform to its interface.

    As with a missing answer, a write may or may not have taken effect.
    """


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the version under which the store holds it."""

    value: str
    version: int


class StoreClient:
    """Calls the key-value service over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    clock : Clock
    metrics : Metrics
        Each call is counted by its cause.
    timeout_s : float
        Seconds to wait for an answer.
    """

    def __init__(self, url, clock, metrics, timeout_s=DEFAULT_TIMEOUT_S):
        self.url = url.rstrip("/")
        self.clock = clock
        self.metrics = metrics
        self.timeout_s = timeout_s
        self.session = None

    async def get(self, key, cause="get"):
        """Return the ``StoredValue`` of ``key``, or None if there is none.

        Raises
        ------
        StoreUnavailable
        """
        status, document = await self.call("GET", self.key_url(key), cause)
        if status == 404:
            return None
        check_status(status, {200})
        return parse_stored_value(document)

    async def put(self, key, value, expect_version=None, lease=None, cause="put"):
        """Write ``value`` and return its new version.

        Parameters
        ----------
        key, value : str
        expect_version : int, optional
            Write only if the store holds this version; 0 means no value. None
            writes unconditionally.
        lease : str, optional
            The store removes the value when this lease expires.

        Raises
        ------
        StoreConflict
            If the store holds another version.
        StoreUnavailable
            If no answer came. The write may have taken effect.
        ValueTooLarge
        """
        body = {"value": value, "expect_version": expect_version, "lease": lease}
        status, document = await self.call("PUT", self.key_url(key), cause, body=body)
        if status == 409:
            raise StoreConflict(key, read_field(document, "version", int))
        if status == 413:
            raise ValueTooLarge(f"{key}: {len(value)} characters")
        check_status(status, {200})
        return read_field(document, "version", int)

    async def watch(self, key, after_version, timeout_s, cause="watch"):
        """Wait for a version of ``key`` above ``after_version``.

        Parameters
        ----------
        timeout_s : float
            Seconds that the store lets the call wait.

        Returns
        -------
        value : StoredValue or None
            None if nothing changed in that time or the key does not exist.

        Raises
        ------
        StoreUnavailable
        """
        query = {"watch_after": str(after_version), "timeout_s": str(timeout_s)}
        status, document = await self.call(
            "GET",
            self.key_url(key),
            cause,
            query=query,
            timeout_s=timeout_s + LONG_POLL_MARGIN_S,
        )
        if status in {204, 404}:
            return None
        check_status(status, {200})
        return parse_stored_value(document)

    async def create_lease(self, ttl_s, cause="lease"):
        """Create a lease of ``ttl_s`` seconds and return its id."""
        url = f"{self.url}/leases"
        status, document = await self.call("POST", url, cause, body={"ttl_s": ttl_s})
        check_status(status, {200, 201})
        return str(read_field(document, "id", (str, int)))

    async def renew_lease(self, lease, cause="lease"):
        """Renew a lease.

        Raises
        ------
        LeaseExpired
            If it has expired.
        """
        url = f"{self.url}/leases/{quote(lease, safe='')}/renew"
        status, _ = await self.call("POST", url, cause, body={})
        if status in {404, 409, 410}:
            raise LeaseExpired(lease)
        check_status(status, {200, 204})

    async def close(self):
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    def key_url(self, key):
        """Return the URL of a key; its slashes are part of the path."""
        return f"{self.url}/kv/{quote(key)}"

    async def call(self, method, url, cause, query=None, body=None, timeout_s=None):
        """Make one call and return its status and parsed body."""
        if self.session is None:
            self.session = aiohttp.ClientSession()
        self.metrics.store_calls.inc({"cause": cause})
        timeout = aiohttp.ClientTimeout(total=timeout_s or self.timeout_s)
        try:
            async with self.session.request(
                method,
                url,
                params=query,
                json=body,
                headers={CAUSE_HEADER: cause},
                timeout=timeout,
            ) as response:
                if response.status == TOO_MANY_REQUESTS:
                    raise StoreUnavailable("the store's rate limit was exceeded")
                if response.status >= FIRST_SERVER_ERROR:
                    raise StoreUnavailable(f"status {response.status}")
                return response.status, await read_document(response)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reason = f"{method} {url}: {type(error).__name__} {error}"
            raise StoreUnavailable(reason) from error


async def read_document(response):
    """Return the JSON body of a response, or None if it has none."""
    body = await response.read()
    if not body:
        return None
    try:
        return await response.json(content_type=None)
    except ValueError as error:
        raise UnexpectedResponse(f"not JSON: {error}") from error


def check_status(status, expected):
    """Raise ``UnexpectedResponse`` for a status that is not expected."""
    if status not in expected:
        raise UnexpectedResponse(f"status {status}")


def read_field(document, key, kinds):
    """Return a field of a JSON object, checked for its type."""
    value = document.get(key) if isinstance(document, dict) else None
    if not isinstance(value, kinds):
        raise UnexpectedResponse(f"{key} is missing or of a wrong type")
    return value


def parse_stored_value(document):
    """Build a ``StoredValue`` from an answer."""
    value = read_field(document, "value", str)
    return StoredValue(value, read_field(document, "version", int))
