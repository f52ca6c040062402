"""The platform's headers on requests to targets and on their answers."""

from ..entry.credentials import AUTHORIZATION, contains_any, credentials_of
from ..entry.dialect import AnswerOrigin, TargetDialect
from ..entry.messages import HOP_BY_HOP, end_to_end_headers

ATTEMPT_ID = b"x-attempt-id"
REMAINING_MS = b"x-deadline-remaining"
EXPECTED_INSTANCE = b"x-expected-instance"
# Names the workspace of a request to its target.
WORKSPACE = b"x-tenant"
HOST = b"host"
NOT_EXECUTED = b"x-not-executed"
# A target puts this on the answers that it makes itself.
SEAL = b"x-response-seal"
CONTENT_ENCODING = b"content-encoding"
# A target that will stop sends this with the value 1 in all its answers.
LEAVING = b"server-leaving"
# With 503, the seconds in which the target wants no request from the same host.
RETRY_AFTER = b"retry-after"
# Path of the load balancer's readiness check.
READINESS_PATH = "/readiness"
# Its value has the form "running,waiting,slots".
BACKEND_LOAD = b"x-backend-load"
# A target that has taken over another target's address rejects with this status.
MISDIRECTED_STATUS = 421
# Set for each send or written by the connection, hence not copied from the caller.
GENERATED_HEADERS = frozenset(
    {REMAINING_MS, EXPECTED_INSTANCE, b"content-length", b"expect"}
)
# With workspaces in the configuration, callers can't send these to targets. Some
# servers read an underscore in a name as a dash.
WORKSPACE_HEADERS = frozenset({AUTHORIZATION, WORKSPACE, b"x_tenant"})
KEY_SCHEME = b"bearer"


class PlatformDialect(TargetDialect):
    """Interprets the platform's headers on a target's answer."""

    header_names = frozenset(
        {
            NOT_EXECUTED,
            BACKEND_LOAD,
            ATTEMPT_ID,
            LEAVING,
            RETRY_AFTER,
            SEAL,
            CONTENT_ENCODING,
        }
    )
    close_ends_answer = True

    def read_header(self, answer, name, value):
        """Store the meaning of a platform header on ``answer``."""
        if name == NOT_EXECUTED:
            answer.not_started = True
        elif name == BACKEND_LOAD:
            answer.load = parse_load(value)
        elif name == LEAVING:
            answer.draining = value == b"1"
        elif name == RETRY_AFTER:
            answer.retry_after = value
        elif name == SEAL:
            answer.is_sealed = value != b""
        elif name == CONTENT_ENCODING:
            answer.is_encoded = value.lower() != b"identity"
        elif value != b"":
            if answer.echoed_id not in (None, value):
                answer.has_two_ids = True
            answer.echoed_id = value

    def finish(self, answer):
        """Mark the answer of a target that is not the expected one."""
        if answer.status == MISDIRECTED_STATUS:
            answer.not_started = True
            answer.misdirected = True

    def find_origin(self, answer, request_id, is_reused):
        """Attribute an answer by the id that it echoes and, if a success, its seal.

        A failure without an id is accepted on a new connection, as a target may reject
        a request before it has read the id. On a used connection it could be an
        earlier rejection, and the request may have run.
        """
        if answer.has_two_ids:
            return AnswerOrigin.UNKNOWN
        if answer.echoed_id is not None:
            if answer.echoed_id != request_id:
                return AnswerOrigin.EARLIER
        elif request_id is not None and (is_reused or answer.is_success):
            return AnswerOrigin.UNKNOWN
        if answer.is_success and not is_proven_success(answer):
            return AnswerOrigin.UNKNOWN
        return AnswerOrigin.OWN


def is_proven_success(answer):
    """Tell whether a success bears the marks of a run, and its body as it was made."""
    return answer.is_sealed and not answer.is_encoded and not answer.not_started


def parse_load(value):
    """Return (running, waiting, slots), or None for a malformed value."""
    parts = value.split(b",")
    if len(parts) != 3:
        return None
    numbers = []
    for part in parts:
        text = part.strip()
        if not text.isdigit():
            return None
        numbers.append(int(text))
    return tuple(numbers)


def parse_caller_headers(headers):
    """Return the attempt id and the remaining time of a caller's request.

    Returns
    -------
    attempt_id : bytes or None
    remaining_s : float or None
    """
    attempt_id = None
    remaining_s = None
    for name, value in headers:
        if name == ATTEMPT_ID:
            attempt_id = value
        elif name == REMAINING_MS:
            remaining_s = parse_milliseconds(value)
    return attempt_id, remaining_s


def parse_milliseconds(value):
    """Return the seconds in ``value``, or None unless it is a number above zero."""
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1000 if milliseconds > 0 else None


def parse_api_key(headers):
    """Return the API key of a caller's request.

    Returns
    -------
    key : bytes or None
        None if it is missing, malformed or sent twice.
    credentials : list of bytes
        All that may be a key, also if it is malformed.
    """
    values = [value for name, value in headers if name == AUTHORIZATION]
    if not values:
        return None, []
    credentials = credentials_of(headers)
    if len(values) == 1:
        scheme, _, rest = values[0].partition(b" ")
        key = rest.strip(b" ")
        if scheme.lower() == KEY_SCHEME and key and len(key.split()) == 1:
            return key, credentials
    return None, credentials


def workspace_headers(headers, credentials, workspace, authority):
    """Return the headers that all sends of a request share under workspaces.

    Parameters
    ----------
    credentials : list of bytes
        Headers whose value contains one of them are left out.
    workspace : Workspace or None
    authority : str
        Host name of the route. It replaces a ``Host`` header that is left out, as
        HTTP/1.1 requires one.
    """
    base = []
    for header in base_headers(headers):
        name, value = header
        if name in WORKSPACE_HEADERS:
            continue
        if not contains_any(value, credentials):
            base.append(header)
        elif name == HOST:
            base.append((HOST, authority.encode("latin-1", "replace")))
    if workspace is not None:
        base.append((WORKSPACE, workspace.encode()))
    return base


def base_headers(headers):
    """Return the end-to-end headers that all sends of a request share."""
    return end_to_end_headers(headers, HOP_BY_HOP | GENERATED_HEADERS)


def attempt_headers(base, target_id, remaining_s):
    """Return the headers of one send to one target."""
    return [
        *base,
        (REMAINING_MS, b"%d" % max(1, int(remaining_s * 1000))),
        (EXPECTED_INSTANCE, target_id.encode("latin-1")),
    ]
