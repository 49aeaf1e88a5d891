"""Sentinels that stand for the absence of a value."""

import enum


class _Nothing(enum.Enum):
    """Hold the single member `NOTHING`."""

    NOTHING = enum.auto()

    def __repr__(self):
        return "NOTHING"

    def __bool__(self):
        return False


NOTHING = _Nothing.NOTHING
"""The value was not given. It is false in a condition."""
