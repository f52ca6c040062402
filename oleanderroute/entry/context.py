"""State of one request in the pipeline."""

from dataclasses import dataclass, field

from ..decisions.fingerprint import crash_fingerprint
from ..declaration.model import Repeatability, Route
from ..ids import Fingerprint, Region, TargetId, Workspace
from ..outcome import Attempt, CallerOutcome
from .messages import BodyPrefix, CallerRequest
from .service_entry import ServiceEntry

# A body up to this size is read before a target is chosen, so that a slow caller
# occupies no slot and the request can be retried.
BUFFERED_BODY_BYTES = 64 * 1024


@dataclass(slots=True)
class RequestContext:
    """One request in the pipeline and the state of its attempts.

    Attributes
    ----------
    claim_region : Region
        Region of the declared service, also while a fallback serves the request,
        because a resend must reach the same claim holders.
    deadline_at : float
        Monotonic seconds.
    idempotency_key : str or None
    claim : ClaimHandle or None
        Set once this request owns the claim on its key.
    may_have_run : bool
        Whether any byte of the request may have reached a target that did not refuse
        it.
    tried : set of TargetId
        Targets that are excluded from further attempts.
    body_consumed : bool
        Whether a streamed body was sent to a target; it can't be sent again.
    shed_count : int
        Attempts that targets refused before starting them.
    unsent_count : int
        Attempts that sent no byte.
    ended_attempts : list of Attempt
        In the order in which they ended, for the burn report.
    """

    request: CallerRequest
    route: Route
    entry: ServiceEntry
    workspace: Workspace
    claim_region: Region
    deadline_at: float
    idempotency_key: str | None
    body_prefix: BodyPrefix = field(default_factory=lambda: BodyPrefix(b"", True))
    fingerprint: Fingerprint | None = None
    claim: object | None = None
    may_have_run: bool = False
    tried: set[TargetId] = field(default_factory=set)
    attempts: int = 0
    body_consumed: bool = False
    shed_count: int = 0
    unsent_count: int = 0
    ended_attempts: list[Attempt] = field(default_factory=list)

    def crash_fingerprint(self):
        """Return the fingerprint under which a crash of this request is counted.

        Computed on demand, because few requests meet a crash or a quarantine.
        """
        if self.fingerprint is None:
            request = self.request
            self.fingerprint = crash_fingerprint(
                request.method,
                request.path,
                self.workspace,
                self.idempotency_key,
                self.body_prefix.content,
            )
        return self.fingerprint

    @property
    def is_idempotent(self):
        """Whether the request may run more than once."""
        return self.route.repeatability is Repeatability.IDEMPOTENT

    @property
    def needs_claim(self):
        """Whether the request needs a claim, so that a resend is recognized."""
        return not self.is_idempotent and self.idempotency_key is not None

    @property
    def can_be_sent_again(self):
        """Whether the body is still available for another attempt."""
        return self.body_prefix.complete or not self.body_consumed


def refusal_outcome(context):
    """Return the outcome that is proven for a refused request.

    ``NOT_RUN`` also covers earlier requests with the same key, so a request with a
    key gets it only if the request owns the claim.

    Parameters
    ----------
    context : RequestContext
    """
    if context.may_have_run:
        return CallerOutcome.UNKNOWN
    if context.idempotency_key is not None and context.claim is None:
        if not context.is_idempotent:
            return CallerOutcome.UNKNOWN
    return CallerOutcome.NOT_RUN
