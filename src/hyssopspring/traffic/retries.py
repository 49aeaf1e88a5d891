"""A budget of repeated attempts, kept without asking other hosts."""

from collections import deque

__all__ = ["WindowedRetryBudget"]

RATIO_FRACTION = 0.75
"""Part of the allowed ratio that is used; the rest covers requests that
are counted by another clock than ours."""

EXTRA_FRACTION = 0.7
"""Part of the allowed extra attempts that all hosts share out."""


class WindowedRetryBudget:
    """Allow repeats as a share of the requests of a sliding window.

    When most attempts fail, each host that repeats multiplies the load
    and the servers never recover. Each host keeps to the ratio of its own
    requests and to its part of the extra ones, so the sum over all hosts
    keeps to the whole without a message between them.

    Args:
        ratio: Repeats allowed for each request.
        extra: Repeats allowed besides, over all hosts.
        window: Seconds of the window.
    """

    def __init__(self, ratio, extra, window):
        self.ratio = ratio * RATIO_FRACTION
        self.extra = extra * EXTRA_FRACTION
        self.window = window
        self.requests = {}
        self.repeats = {}

    def record_request(self, service, now):
        """Count a request of a caller."""
        self.requests.setdefault(service, deque()).append(now)
        self.trim(self.requests[service], now)

    def spend(self, service, now, hosts):
        """Take one repeat.

        Args:
            service: The service.
            now: The time.
            hosts: Number of hosts that share the extra repeats.

        Returns:
            Whether there was one to take.
        """
        requests = self.requests.setdefault(service, deque())
        repeats = self.repeats.setdefault(service, deque())
        self.trim(requests, now)
        self.trim(repeats, now)
        allowed = self.ratio * len(requests) + self.extra / max(1, hosts)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def trim(self, times, now):
        """Drop the times that have left the window."""
        while times and now - times[0] > self.window:
            times.popleft()
