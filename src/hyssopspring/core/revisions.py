"""Revisions of a store that may be restored from a copy.

A restored store gives out revisions again, for other changes, and raises its
era. A revision is therefore one integer that holds the era in its upper bits:
revisions of a later era are greater than all revisions of earlier ones. In
era 0 it equals the number that the store gives out.
"""

__all__ = ["era_of", "first_of_era", "join_revision", "number_of"]

NUMBER_BITS = 48


def join_revision(era, number):
    """Return the revision with a *number* of an *era*.

    Args:
        era: Era of the store, 0 or more.
        number: Number that the store gave out, less than 2**48.
    """
    return era << NUMBER_BITS | number


def era_of(revision):
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision):
    """Return the number of a revision, as the store gave it out."""
    return revision & (1 << NUMBER_BITS) - 1


def first_of_era(revision):
    """Return the revision before all changes of the era of *revision*."""
    return revision - number_of(revision)
