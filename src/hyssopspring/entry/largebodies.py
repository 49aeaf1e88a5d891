"""Memory of response bodies that are received whole."""

__all__ = ["LargeBodies"]

LARGE_BODY_BYTES = 1024 * 1024
"""Size from which a body counts as large. Smaller ones are ended only if there
is no large one."""

MAX_LARGE_BYTES = 32 * 1024 * 1024
"""Maximum sum of the sizes of the large bodies that are being received."""


class LargeBodies:
    """Bodies that a process is receiving whole.

    Above a maximum sum, the largest one is ended. A body without an end
    grows to that position, and sound ones go on.

    Args:
        account: `ClientAccount` of the process.
    """

    def __init__(self, account):
        self.account = account
        self.receiving = set()
        self.large = set()

    def note(self, body):
        """Count a `BodyCollector` that has grown."""
        if not self.account.allows(body, body.size - self.held(body)):
            self.end_largest(self.receiving | {body})
            if body.overflowed:
                return
        self.receiving.add(body)
        self.account.count(body, body.size)
        if body.size < LARGE_BODY_BYTES:
            return
        self.large.add(body)
        if sum(one.size for one in self.large) > MAX_LARGE_BYTES:
            self.end_largest(self.large)

    def held(self, body):
        """Return the bytes that the account counts for a body."""
        return self.account.counted.get(body, 0)

    def end_largest(self, bodies):
        """End the largest of some bodies."""
        largest = max(bodies, key=lambda one: one.size)
        self.discard(largest)
        largest.overflow()

    def discard(self, body):
        """Stop counting a `BodyCollector` that has ended."""
        self.receiving.discard(body)
        self.large.discard(body)
        self.account.count(body, 0)
