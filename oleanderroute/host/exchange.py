"""State of one caller's request from its arrival to its answer."""

from dataclasses import dataclass, field
from enum import Enum

from ..entry.messages import BodyPrefix, CallerRequest
from ..ids import ServiceName, TargetId
from .model import HostRoute, WorkspacePolicy


class SendResult(Enum):
    """How one send to a target ended."""

    ANSWERED = "answered"
    # The target answered that it did not run the request.
    NOT_RUN = "not-run"
    # No byte of the request was written to a target.
    NOT_SENT = "not-sent"
    # The API key of the request no longer permits it; nothing was sent.
    KEY_REFUSED = "key-refused"
    BROKEN = "broken"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class SendRecord:
    """One send, as it is written to the log.

    Attributes
    ----------
    is_queued : bool
        Whether the target had no free slot when the request was sent.
    """

    number: int
    target_id: TargetId
    started_at: float
    gray: float
    cut: float
    is_queued: bool
    result: SendResult | None = None
    elapsed_s: float = 0.0
    status: int = 0

    @property
    def result_name(self):
        """Name of the result in logs and metrics."""
        return self.result.value if self.result else "open"

    def log_fields(self):
        """Return the fields for the log."""
        return {
            "target": self.target_id,
            "gray": round(self.gray, 3),
            "cut": round(self.cut, 3),
            "result": self.result_name,
            "status": self.status,
            "elapsed_ms": int(self.elapsed_s * 1000),
        }


@dataclass(slots=True)
class Exchange:
    """One request of a caller.

    Attributes
    ----------
    attempt_id : str
        Id under which the caller sent the request.
    deadline_at : float
        Monotonic seconds at which the time limit of the caller or the route ends.
    base_headers : list of tuple of bytes
        Headers that are common to all sends.
    sends : list of SendRecord
    arrivals : int
        Number of sends of which a target may have read a byte.
    may_have_run : bool
        Whether a target may have started to run the request.
    body_consumed : bool
        Whether the streaming of the body to a target has begun.
    wait_s : float
        Minimum expected wait at the healthy targets when the request arrived, in
        seconds.
    workspace : WorkspacePolicy or None
        Workspace of the request's API key.
    key_version : int
        Version of the configuration by which the key was last judged.
    admitted_policy : WorkspacePolicy or None
        Policy under which the request was admitted. The key may name another
        workspace, or none, by the time that the request is sent or ends.
    admitted_at : float or None
        When the request was admitted under the rate limit of its workspace, in
        monotonic seconds.
    """

    request: CallerRequest
    route: HostRoute
    service: ServiceName
    attempt_id: str
    attempt_id_bytes: bytes | None
    deadline_at: float
    version: int
    base_headers: list
    body_prefix: BodyPrefix = field(default_factory=lambda: BodyPrefix(b"", True))
    sends: list[SendRecord] = field(default_factory=list)
    tried_targets: set[TargetId] = field(default_factory=set)
    delivered_sends: int = 0
    may_have_run: bool = False
    body_consumed: bool = False
    wait_s: float = 0.0
    workspace: WorkspacePolicy | None = None
    key_version: int = 0
    admitted_policy: WorkspacePolicy | None = None
    admitted_at: float | None = None

    @property
    def priority(self):
        """Priority of the workspace, else of the route; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def may_send_again(self):
        """Tell whether the route and the body allow another send."""
        return self.delivered_sends < self.route.max_targets and not self.body_consumed
