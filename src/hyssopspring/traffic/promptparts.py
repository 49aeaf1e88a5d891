"""Parts of prompts that requests may have in common."""

from ..core.hashing import digest_of

__all__ = ["shared_parts"]

MAX_PARTS = 24
"""Parts of one prompt that are considered. Callers state them, and each may
become a record on every host."""

MAX_ID_CHARACTERS = 40
"""Length of an identifier above which its digest stands for it."""


def shared_parts(parts):
    """Return the identifiers of the parts that other requests may have too.

    The last part belongs to the request itself, or to its session.

    Args:
        parts: Identifier and tokens of each part of the prompt, in order.

    Returns:
        A tuple without duplicates.
    """
    shared = [short_id_of(name) for name, _ in parts[:-1][:MAX_PARTS]]
    return tuple(dict.fromkeys(shared))


def short_id_of(name):
    """Return an identifier of bounded length."""
    if len(name) <= MAX_ID_CHARACTERS:
        return name
    return digest_of((name.encode(),))
