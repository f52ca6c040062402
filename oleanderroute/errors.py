"""The exception family of the package. Each failure has a type."""

import traceback


class OleanderError(Exception):
    """Base class of all failures that this package raises or returns."""


class SettingsError(OleanderError):
    """A settings file is missing, malformed or out of range.

    Parameters
    ----------
    path : str
        JSON path of the offending value, for example ``$.caller.port``.
    reason : str
    """

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DeclarationError(OleanderError):
    """A declaration was refused.

    Parameters
    ----------
    problems : tuple of DeclarationProblem
    """

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class ChunkError(OleanderError):
    """A chunk of the declaration is missing or does not match its digest."""


class StoreError(OleanderError):
    """A call to the platform's key-value service failed."""


class StoreUnavailable(StoreError):
    """The store did not answer; whether a write took effect is unknown."""


class StoreConflict(StoreError):
    """A compare-and-swap found another version.

    Parameters
    ----------
    key : str
    version : int
        The version that the store holds now.
    """

    def __init__(self, key, version):
        super().__init__(f"{key} is at version {version}")
        self.key = key
        self.version = version


class ValueTooLarge(StoreError):
    """A value exceeds the size limit of the store."""


class StoreRefused(StoreUnavailable):
    """The store refused a call and did nothing."""


class HistoryLost(StoreError):
    """The changes that a watch asked for were discarded, or one is unreadable."""


class HistoryReplaced(StoreError):
    """The store came back from an older copy, in a later history.

    Parameters
    ----------
    era : Era
        Of the later history.
    """

    def __init__(self, era):
        super().__init__(f"the store is in era {era}")
        self.era = era


class LeaseUnknown(StoreError):
    """The store does not know a lease any more."""


class DocumentError(OleanderError):
    """A document of the platform can't be used.

    Parameters
    ----------
    path : str
        Place of the offending value in the document.
    reason : str
    """

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class PeerError(OleanderError):
    """A message exchange with another host failed."""


class PeerTimeout(PeerError):
    """A peer did not answer in time."""


class PeerUnreachable(PeerError):
    """No connection to a peer could be opened, or it broke."""


class MessageRejected(PeerError):
    """A message is malformed, oversized, foreign or of an unknown version."""


class PatchBaseMissing(PeerError):
    """A patch refers to an older value that this host does not have."""


class TargetError(OleanderError):
    """An exchange with a target failed.

    Parameters
    ----------
    reason : str
    bytes_sent : bool
        Whether any byte of the request may have reached the target.
    """

    def __init__(self, reason, bytes_sent):
        super().__init__(reason)
        self.reason = reason
        self.bytes_sent = bytes_sent


class ConnectFailed(TargetError):
    """No connection to the target could be opened."""

    def __init__(self, reason):
        super().__init__(reason, bytes_sent=False)


class ConnectionBroken(TargetError):
    """The connection closed before the answer was complete."""


class FirstByteTimeout(TargetError):
    """The target sent no byte of an answer in time."""


class BetweenBytesTimeout(TargetError):
    """The target stopped in the middle of an answer."""


class AnswerTimeout(TargetError):
    """The answer was still being sent at the time limit of its request."""


class MalformedAnswer(TargetError):
    """The answer is not valid HTTP or its framing is inconsistent."""


class CallerDisconnected(OleanderError):
    """The caller closed its connection before its request or answer was complete."""


def format_failure(error):
    """Return the innermost failure of a group with its place in the code."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{error!r} at {frame.filename}:{frame.lineno}"
