"""Rate limits for servers that have just started."""

import math
from collections import deque

__all__ = ["ColdRates"]

WINDOW_SECONDS = 1.3
"""Seconds over which requests are counted. The bound holds for any second at
the server; the rest of the window covers the different latencies of requests
on their way to it."""

CONCURRENT_PLACERS = 3
"""Maximum number of hosts that may place requests for one region one after the
other within the window. None has a record of what the others have sent."""

MAX_TOTAL_SHARE = 2.0
"""Maximum sum of the shares of all hosts. A host that has just been cut off
counts for itself, and for a moment still for the host that placed for it."""


class ColdRates:
    """Count the requests to each cold server.

    A cold server crashes at a rate well above its bound, which applies to all
    hosts together. Each host uses the part of the bound that corresponds to
    the hosts that rely on it. A host that hears no others gets none.

    Args:
        share: Called for the share of the region's placements that this host
            makes, from 0 to 1.
        window: Seconds over which requests are counted.
    """

    def __init__(self, share=lambda: 1.0, *, window=WINDOW_SECONDS):
        self.share = share
        self.window = window
        self.sent = {}

    def allowance(self, bound):
        """Return the requests that this host may send in a window."""
        largest = bound / CONCURRENT_PLACERS
        own = bound * self.share() / MAX_TOTAL_SHARE
        return max(0, int(min(largest, own)))

    def is_allowed(self, server_id, bound, now):
        """Return whether a request may be sent to the server at *now*."""
        return len(self.recent(server_id, now)) < self.allowance(bound)

    def recent(self, server_id, now):
        """Return the times of the requests to a server within the window."""
        times = self.sent.get(server_id, ())
        while times and now - times[0] > self.window:
            times.popleft()
        return times

    def count(self, server_id, now):
        """Count a request to a server, whether it is cold or not.

        Requests to a warm server count as well: it may turn out that it was
        already cold when they were sent.
        """
        self.recent(server_id, now)
        self.sent.setdefault(server_id, deque()).append(now)

    def last_sent_at(self, server_id):
        """Return the time of the last request that this host has placed."""
        times = self.sent.get(server_id)
        return times[-1] if times else -math.inf

    def describe(self, server, bound, now):
        """Return text on a request to a cold server, for a log line.

        Args:
            server: The `Server`.
            bound: Requests a second that it tolerates.
            now: The time.
        """
        count = len(self.sent.get(server.entry.id, ()))
        return (
            f"{server.entry.id} is cold for {server.cold_until - now:.1f} s "
            f"more, request {count} of {self.allowance(bound)} within "
            f"{self.window} s by its placing host, whose share is "
            f"{self.share():.2f}"
        )

    def forget(self, server_id):
        """Remove the counts of a server that is gone."""
        self.sent.pop(server_id, None)
