"""Interpretation of the headers in which targets report their state."""

from abc import ABC, abstractmethod


class TargetDialect(ABC):
    """Reads the headers in which a target reports its state.

    Attributes
    ----------
    names : frozenset of bytes
        Names of the headers that ``read_header`` handles, in lower case.
    close_ends_answer : bool
        Whether a body may be delimited by the end of the connection. An incomplete
        body is then recognized only by a connection reset.
    echoes_ids : bool
        Whether targets echo the id of a request in its answer. An answer without an id
        on a connection that was used before then belongs to no known request.
    """

    header_names = frozenset()
    close_ends_answer = False
    echoes_ids = False

    @abstractmethod
    def read_header(self, answer, name, value):
        """Store the information of one header in ``answer``."""

    @abstractmethod
    def finish(self, answer):
        """Evaluate ``answer`` after all headers are read."""


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


DEFAULT_DIALECT = DefaultDialect()
