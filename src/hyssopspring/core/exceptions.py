"""Exceptions that the package raises."""

import msgspec

UNDECODABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What decoders raise for data that they cannot decode. Data that is nested
too deeply raises `RecursionError`, also in fields that are not read."""

EXIT_BAD_SETTINGS = 2
"""Exit status of a process whose settings are invalid."""


class HyssopError(Exception):
    """Base class of all exceptions of the package."""


class UnknownPolicyError(HyssopError):
    """No policy is registered under the given name."""


class InvariantError(HyssopError):
    """An internal invariant is violated."""


class SettingsError(HyssopError):
    """A settings file is invalid.

    The message contains the file, the key and the requirement.
    """


class ProtocolError(HyssopError):
    """The other side violated the protocol."""


class NoAnswerError(HyssopError):
    """The other side is unreachable or did not respond in time."""


class KeyValueError(HyssopError):
    """The key-value service did not respond in time."""


class PlatformError(HyssopError):
    """The host list or the directory did not respond."""


def ensure(condition, text):
    """Check an invariant, even if Python runs with optimization.

    Raises:
        InvariantError: *condition* is false.
    """
    if not condition:
        raise InvariantError(text)
