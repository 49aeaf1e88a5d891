"""Times of a planned stop of one process."""

import math

from ..core.sentinels import NOTHING

__all__ = ["StopTimes"]

EXIT_MARGIN_SECONDS = 0.4
"""The process ends this many seconds before that time is over, which leaves
time for its own shutdown and for a late timer."""


class StopTimes:
    """When a process that has been told to stop ends.

    Args:
        clock: The runtime's clock.
        allowed: Seconds allowed from the stop signal to the end of the
            process.

    Attributes:
        since: Time of the stop signal, or `NOTHING`.
        request_margin: Seconds before the end of the time allowed by which
            every request has ended, which leaves time to deliver the
            responses and to write what is left.
    """

    request_margin = 0.8

    def __init__(self, clock, allowed):
        self.clock = clock
        self.allowed = allowed
        self.since = NOTHING

    def begin(self):
        """Record the stop signal."""
        self.since = self.clock.seconds()

    @property
    def seconds(self):
        """Seconds since the stop signal, or 0."""
        if self.since is NOTHING:
            return 0.0
        return self.clock.seconds() - self.since

    @property
    def ends_at(self):
        """Time by which every request has ended; infinite without a stop."""
        if self.since is NOTHING:
            return math.inf
        return self.since + max(0.0, self.allowed - self.request_margin)

    @property
    def exits_at(self):
        """Time by which the process ends; infinite without a stop."""
        if self.since is NOTHING:
            return math.inf
        return self.since + max(0.0, self.allowed - EXIT_MARGIN_SECONDS)

    def has_time(self, seconds):
        """Return whether *seconds* remain until every request has ended."""
        return self.clock.seconds() + seconds <= self.ends_at
