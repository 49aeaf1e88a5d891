"""Sentinels that stand in the place of a value."""

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


class _Invalid(enum.Enum):
    """Hold the single member `INVALID`."""

    INVALID = enum.auto()

    def __repr__(self):
        return "INVALID"


INVALID = _Invalid.INVALID
"""The value was given, but it cannot be read."""
