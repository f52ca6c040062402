"""Revisions of the store in the messages between hosts.

A message names the era once, for all its revisions. A store without eras, and a host of
a version that knows none, leaves the field out.
"""

from ..decisions.store_history import UNNAMED_ERA, StoreRevision


def revision_from_wire(era, number):
    """Return the ``StoreRevision`` of two fields of a message."""
    return StoreRevision(UNNAMED_ERA if era is None else era, number)


def era_field(revision):
    """Return the value of the field ``era`` for a revision."""
    return None if revision.era == UNNAMED_ERA else revision.era
