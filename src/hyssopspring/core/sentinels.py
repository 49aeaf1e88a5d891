"""Sentinel values."""

import enum


class _Nothing(enum.Enum):
    """Enumeration with the single member `NOTHING`."""

    NOTHING = enum.auto()

    def __repr__(self):
        return "NOTHING"

    def __bool__(self):
        return False


NOTHING = _Nothing.NOTHING
"""The value is absent. It is false in a Boolean context."""


class _Invalid(enum.Enum):
    """Enumeration with the single member `INVALID`."""

    INVALID = enum.auto()

    def __repr__(self):
        return "INVALID"


INVALID = _Invalid.INVALID
"""The value is present but cannot be parsed."""
