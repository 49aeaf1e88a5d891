"""What hosts tell each other of the same: digests of it, and its age."""

from ..core.sentinels import NOTHING

__all__ = ["DigestComparison", "millis"]

RESEND_SECONDS = 1.0
"""Seconds before a host is told all again that still knows something else:
the word on its way needs less."""


class DigestComparison:
    """Say when to tell a host all, as it knows something else.

    Args:
        clock: The runtime's clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.sent_at = {}

    def must_send(self, name, own, other):
        """Whether to tell a host now; call it once a heartbeat.

        Args:
            name: Name of the host.
            own: Digest of what this host knows.
            other: Digest of what the other knows.
        """
        if own == other:
            self.sent_at.pop(name, None)
            return False
        now = self.clock.seconds()
        since = self.sent_at.get(name, NOTHING)
        if since is not NOTHING and now - since < RESEND_SECONDS:
            return False
        self.sent_at[name] = now
        return True


def millis(seconds):
    """Return whole milliseconds, none below 0."""
    return max(0, round(seconds * 1000))
