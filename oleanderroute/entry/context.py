"""What the pipeline knows of one request while it runs."""

from dataclasses import dataclass, field

from ..declaration.model import Repeatability, Route
from ..ids import Fingerprint, TargetId, Workspace
from .messages import BodyHead, CallerRequest
from .service_entry import ServiceEntry

# A body up to this size is read before a target is chosen, so that a slow caller
# holds no slot and the request can be sent again.
BUFFERED_BODY_BYTES = 64 * 1024
EMPTY_BODY = BodyHead(b"", True)


@dataclass(slots=True)
class RequestContext:
    """One request on its way through the decisions.

    Attributes
    ----------
    deadline_at : float
        Monotonic seconds.
    idempotency_key : str or None
    claim : ClaimHandle or None
        Set once this request owns the claim of its key.
    may_have_run : bool
        Whether any byte of it may have reached a target that did not refuse it.
    tried : set of TargetId
        Targets that are not chosen again.
    body_consumed : bool
        Whether a streamed body was handed to a target; it can't be sent again.
    """

    request: CallerRequest
    route: Route
    entry: ServiceEntry
    workspace: Workspace
    deadline_at: float
    idempotency_key: str | None
    head: BodyHead = EMPTY_BODY
    fingerprint: Fingerprint | None = None
    claim: object | None = None
    may_have_run: bool = False
    tried: set[TargetId] = field(default_factory=set)
    attempts: int = 0
    body_consumed: bool = False

    @property
    def is_idempotent(self):
        """Whether the request may run more than once."""
        return self.route.repeatability is Repeatability.IDEMPOTENT

    @property
    def needs_claim(self):
        """Whether a resend of this request can be recognized by its key."""
        return not self.is_idempotent and self.idempotency_key is not None

    @property
    def can_be_sent_again(self):
        """Whether the body is still there for another target."""
        return self.head.complete or not self.body_consumed
