"""Bounds the log lines about changes of targets."""

from .. import events

# Log lines about targets for the changes of the store that arrive together.
MAX_CHANGE_LINES = 20


class ChangeLog:
    """Limits the log lines about targets for the changes of one update.

    A host that starts learns of all targets at once.
    """

    def __init__(self):
        self.lines = 0

    def may_log(self):
        """Tell whether the update may have another line; count it if not."""
        self.lines += 1
        return self.lines <= MAX_CHANGE_LINES

    def finish(self):
        """End an update; tell how many lines were left out."""
        if self.lines > MAX_CHANGE_LINES:
            events.TARGET_CHANGES_LEFT_OUT.log(left_out=self.lines - MAX_CHANGE_LINES)
        self.lines = 0
