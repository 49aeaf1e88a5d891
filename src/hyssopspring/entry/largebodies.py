"""Memory of large response bodies that are received whole."""

__all__ = ["LargeBodies"]

LARGE_BODY_BYTES = 1024 * 1024
"""Size from which a body counts as large. Smaller ones are never ended for the
memory that others take."""

MAX_LARGE_BYTES = 32 * 1024 * 1024
"""Maximum sum of the sizes of the large bodies that are being received."""


class LargeBodies:
    """Large bodies that a process is receiving.

    Above the maximum sum, the largest one is ended. A body without an end
    grows to that position, and sound ones go on.
    """

    def __init__(self):
        self.receiving = set()

    def note(self, body):
        """Count a `BodyCollector` that has grown."""
        if body.size < LARGE_BODY_BYTES:
            return
        self.receiving.add(body)
        if sum(one.size for one in self.receiving) > MAX_LARGE_BYTES:
            largest = max(self.receiving, key=lambda one: one.size)
            self.receiving.discard(largest)
            largest.overflow()

    def discard(self, body):
        """Stop counting a `BodyCollector` that has ended."""
        self.receiving.discard(body)
