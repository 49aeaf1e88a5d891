"""What a host that has been told to stop still accepts, and until when."""

from ..core.sentinels import NOTHING
from ..net.stoptimes import StopTimes

__all__ = [
    "DRAIN_ACCEPT_SECONDS",
    "STOPPING_RETRY_SECONDS",
    "STOPPING_TEXT",
    "Stopping",
]

DRAIN_ACCEPT_SECONDS = 1.3
"""Seconds for which a stopping host accepts all requests: the time for which
callers cache a directory response, plus one heartbeat interval."""

LAST_HOST_STREAM_SECONDS = 2.8
"""Seconds for which the last host of a region still accepts streams while it
is stopping. A stream that starts later may not end in time."""

STOPPING_TEXT = "this host is stopping"
"""Text of the responses of a host that stops."""

STOPPING_RETRY_SECONDS = 0.05
"""Retry-After of a host that is stopping. Another host can serve the request
at once."""


class Stopping(StopTimes):
    """The planned stop of one process.

    Args:
        clock: The runtime's clock.
        allowed: Seconds allowed from the stop signal to the end of the
            process.
        members: The `Members`.
        keeper: The `ConfigurationKeeper`.

    Attributes:
        refusing: Whether no request is accepted any more.
    """

    request_margin = 0.55

    def __init__(self, clock, allowed, members, keeper):
        super().__init__(clock, allowed)
        self.members = members
        self.keeper = keeper
        self.refusing = False

    @property
    def drain_seconds(self):
        """Seconds for which all requests are accepted."""
        if self.since is NOTHING:
            return DRAIN_ACCEPT_SECONDS
        return min(DRAIN_ACCEPT_SECONDS, self.ends_at - self.since)

    def accepts(self, timeout, *, stream, busy):
        """Return whether a request may still be accepted.

        Args:
            timeout: Seconds that the request may take.
            stream: Whether its response is a stream.
            busy: Whether the host stays up for other requests.
        """
        if self.refusing:
            return False
        if self.seconds <= self.drain_seconds:
            return True
        last = self.is_last_host()
        if stream:
            return last and self.seconds <= LAST_HOST_STREAM_SECONDS
        return (last or busy) and self.has_time(timeout)

    def is_last_host(self):
        """Return whether only this host of its region can serve requests."""
        if self.keeper.current is NOTHING:
            return False
        own = self.members.own
        live = self.members.live(self.clock.seconds(), region=own.region)
        return not any(member.version for member in live)
