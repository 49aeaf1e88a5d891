"""Parts of prompts that requests may have in common."""

__all__ = ["MAX_PARTS", "shared_parts"]

MAX_PARTS = 64
"""Parts of one prompt that are considered. Callers state them, and each may
become a record on every host."""

MAX_PART_ID_CHARACTERS = 64
"""Length of an identifier above which a part is not considered."""


def shared_parts(parts):
    """Return the identifiers of the parts that other requests may have too.

    The last part belongs to the request itself, or to its session.

    Args:
        parts: Identifier and tokens of each part of the prompt, in order.

    Returns:
        A tuple without duplicates.
    """
    shared = [name for name, _ in parts[:-1][:MAX_PARTS]]
    return tuple(
        dict.fromkeys(
            name for name in shared if len(name) <= MAX_PART_ID_CHARACTERS
        )
    )
