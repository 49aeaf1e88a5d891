"""Comparison of state digests between hosts, and ages in messages."""

from ..core.sentinels import NOTHING

__all__ = ["DigestComparison", "millis"]

RESEND_SECONDS = 1.0
"""Seconds before the whole state is sent again to a host whose digest still
differs. A message that is under way arrives in less time."""


class DigestComparison:
    """Decide when to send the whole state to a host whose digest differs.

    Args:
        clock: The runtime's clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.sent_at = {}

    def must_send(self, name, own, other):
        """Return whether to send the state now; call it once a heartbeat.

        Args:
            name: Name of the host.
            own: Digest of this host's state.
            other: Digest of the other host's state.
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
    """Return whole milliseconds, never less than 0."""
    return max(0, round(seconds * 1000))
