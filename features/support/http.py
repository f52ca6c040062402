"""Minimal blocking HTTP client for steps."""

import http.client
import json
from dataclasses import dataclass

from features.support.processes import LOOPBACK

TIMEOUT_S = 20.0


@dataclass(slots=True)
class HttpAnswer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


class OpenRequest:
    """A sent request whose answer is read later.

    Parameters
    ----------
    connection : http.client.HTTPConnection
    """

    def __init__(self, connection):
        self.connection = connection

    def answer(self, timeout_s=TIMEOUT_S):
        """Read the answer; the connection stays open."""
        self.connection.sock.settimeout(timeout_s)
        response = self.connection.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return HttpAnswer(response.status, headers, response.read())

    def close(self):
        """Close the connection, which cancels the request."""
        self.connection.close()


def send(port, method, path, body=None, headers=None, connection=None):
    """Send a request without waiting for the answer.

    Parameters
    ----------
    port : int
    body : bytes, iterable of bytes, dict or None
        An iterable is sent in chunks, a dict as JSON.
    connection : http.client.HTTPConnection or None
        An open connection to reuse.

    Returns
    -------
    OpenRequest
    """
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    connection = connection or http.client.HTTPConnection(LOOPBACK, port, TIMEOUT_S)
    connection.request(method, path, body=body, headers=headers or {})
    return OpenRequest(connection)


def call(port, method, path, body=None, headers=None):
    """Send a request on a new connection and return its ``HttpAnswer``."""
    request = send(port, method, path, body, headers)
    try:
        return request.answer()
    finally:
        request.close()
