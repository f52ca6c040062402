"""How targets say in headers what an answer means."""

from abc import ABC, abstractmethod


class TargetDialect(ABC):
    """Reads the headers by which a target talks about itself.

    Attributes
    ----------
    names : frozenset of bytes
        Headers that ``read_header`` wants to see, in lower case.
    close_ends_answer : bool
        Whether an answer may end with its connection. One that broke off can then
        only be told by a reset.
    """

    header_names = frozenset()
    close_ends_answer = False

    @abstractmethod
    def read_header(self, answer, name, value):
        """Note in ``answer`` what one header tells."""

    @abstractmethod
    def finish(self, answer):
        """Judge the head of ``answer`` as a whole."""


class DefaultDialect(TargetDialect):
    """The project's own headers, see docs/callers.md."""

    header_names = frozenset({b"x-not-started", b"x-draining"})

    def read_header(self, answer, name, value):
        """Note a refusal before start and the announcement of a stop."""
        if name == b"x-not-started":
            answer.not_started = answer.status == 503 and value == b"1"
        else:
            answer.draining = value == b"1"

    def finish(self, answer):
        """Do nothing: each header speaks for itself."""


DEFAULT_DIALECT = DefaultDialect()
