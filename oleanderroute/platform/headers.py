"""The platform's headers on requests to targets and on their answers."""

from ..entry.dialect import TargetDialect
from ..entry.messages import HOP_BY_HOP, end_to_end_headers

ATTEMPT_ID = b"x-attempt-id"
REMAINING_MS = b"x-deadline-remaining"
EXPECTED_INSTANCE = b"x-expected-instance"
NOT_EXECUTED = b"x-not-executed"
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


class PlatformDialect(TargetDialect):
    """Interprets the platform's headers on a target's answer."""

    header_names = frozenset(
        {NOT_EXECUTED, BACKEND_LOAD, ATTEMPT_ID, LEAVING, RETRY_AFTER}
    )
    close_ends_answer = True
    echoes_ids = True

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
        else:
            answer.echoed_id = value

    def finish(self, answer):
        """Mark the answer of a target that is not the expected one."""
        if answer.status == MISDIRECTED_STATUS:
            answer.not_started = True
            answer.misdirected = True


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
