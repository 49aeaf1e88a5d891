"""The rate of requests to servers that have just started."""

from collections import deque

__all__ = ["ColdRates"]

WINDOW_SECONDS = 1.3
"""Seconds over which requests are counted. The bound holds for any second
at the server; what is more covers the different times that requests need
on their way."""

CONCURRENT_PLACERS = 3
"""Hosts that may place for one region at the same time while views of who
lives differ. All of them together must stay within the bound."""


class ColdRates:
    """Count the requests to each cold server.

    A cold server crashes at a rate well above its bound. The one host
    that places for a region counts exactly; the allowance leaves room for
    other hosts that believe that they place.

    Args:
        window: Seconds over which requests are counted.
    """

    def __init__(self, *, window=WINDOW_SECONDS):
        self.window = window
        self.sent = {}

    def allowance(self, bound):
        """Return the requests that one placer may send in a window."""
        return max(0, int(bound // CONCURRENT_PLACERS))

    def is_allowed(self, server_id, bound, now):
        """Whether the server can be sent a request at *now*."""
        times = self.sent.get(server_id)
        if times is None:
            return self.allowance(bound) > 0
        while times and now - times[0] > self.window:
            times.popleft()
        return len(times) < self.allowance(bound)

    def count(self, server_id, now):
        """Count a request to a server, cold or not.

        Requests to a warm server count too: it may turn out to have been
        cold already when they were sent.
        """
        times = self.sent.get(server_id)
        if times is None:
            times = self.sent[server_id] = deque(maxlen=16)
        times.append(now)

    def forget(self, server_id):
        """Drop what is known of a server that is gone."""
        self.sent.pop(server_id, None)
