"""Interpretation of the headers in which targets report their state."""

from abc import ABC, abstractmethod
from enum import Enum


class AnswerOrigin(Enum):
    """Whose answer arrived where the answer to a request was expected."""

    OWN = "own"
    # The answer to another request; the expected one may follow.
    EARLIER = "earlier"
    # Not an answer of the target to any request, or one that can't be attributed.
    UNKNOWN = "unknown"


class TargetDialect(ABC):
    """Reads the headers in which a target reports its state.

    Attributes
    ----------
    header_names : frozenset of bytes
        Names of the headers that ``read_header`` handles, in lower case.
    close_ends_answer : bool
        Whether a body may be delimited by the end of the connection. An incomplete
        body is then recognized only by a connection reset.
    """

    header_names = frozenset()
    close_ends_answer = False

    @abstractmethod
    def read_header(self, answer, name, value):
        """Store the information of one header in ``answer``."""

    @abstractmethod
    def finish(self, answer):
        """Evaluate ``answer`` after all headers are read."""

    @abstractmethod
    def find_origin(self, answer, request_id, is_reused):
        """Return the ``AnswerOrigin`` of an answer, from its head alone.

        It is asked once for each answer, before any byte of it goes to the caller.

        Parameters
        ----------
        answer : TargetAnswer
            With all headers read.
        request_id : bytes or None
            Id of the request that waits for an answer.
        is_reused : bool
            Whether the connection has carried an earlier request.
        """


class DefaultDialect(TargetDialect):
    """The default headers, described in docs/callers.md."""

    header_names = frozenset({b"x-not-started", b"x-draining"})

    def read_header(self, answer, name, value):
        """Read whether the target refused the request unstarted or is draining."""
        if name == b"x-not-started":
            answer.not_started = answer.status == 503 and value == b"1"
        else:
            answer.draining = value == b"1"

    def finish(self, answer):
        """Do nothing: no header depends on another."""

    def find_origin(self, answer, request_id, is_reused):
        """Accept every answer: these targets mark none as theirs."""
        return AnswerOrigin.OWN


DEFAULT_DIALECT = DefaultDialect()
