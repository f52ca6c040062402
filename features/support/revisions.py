"""Revisions of the store in tests."""

from oleanderroute.decisions.store_history import UNNAMED_ERA, StoreRevision


def revision_at(number, era=UNNAMED_ERA):
    """Return the revision with a number in a history."""
    return StoreRevision(era, number)
