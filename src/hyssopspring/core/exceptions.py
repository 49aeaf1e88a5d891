"""Failures of the program, each with a type of its own."""

EXIT_BAD_SETTINGS = 2
"""Exit status of a process whose settings are wrong."""


class HyssopError(Exception):
    """Base of every error that the project raises."""


class UnknownPolicyError(HyssopError):
    """No policy of this name is registered."""


class InvariantError(HyssopError):
    """The program found itself in a state that must never be."""


class SettingsError(HyssopError):
    """A settings file is wrong; the text names file, key and need."""


class ProtocolError(HyssopError):
    """The other side sent what its protocol does not allow."""


class NoAnswerError(HyssopError):
    """The other side could not be reached, or did not answer in time."""


class KeyValueError(HyssopError):
    """The key-value service did not answer, or not in time."""


class PlatformError(HyssopError):
    """The host list or the directory did not answer."""


def ensure(condition, text):
    """Assert an invariant also when Python runs optimised.

    Raises:
        InvariantError: *condition* is false.
    """
    if not condition:
        raise InvariantError(text)
