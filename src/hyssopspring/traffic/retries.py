"""A budget of retries that holds over all hosts without messages."""

from collections import deque

from ..core.sentinels import NOTHING

__all__ = ["WindowedRetryBudget"]

RATIO_FRACTION = 0.75
"""Fraction of the allowed ratio that is used; the rest covers requests that
fall into another window by the clock of whoever counts them."""

EXTRA_FRACTION = 0.7
"""Fraction of the allowed extra retries that is divided among all hosts."""


class WindowedRetryBudget:
    """Allow retries as a share of the requests of a sliding window.

    When most attempts fail, each host that retries multiplies the load and the
    servers never recover. Each host keeps to the ratio for its own requests
    and to its part of the extra retries, so the sum over all hosts keeps to
    the total without messages between them.

    Args:
        ratio: Retries allowed for each request.
        extra: Retries allowed in addition, over all hosts.
        window: Length of the window in seconds.
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
        """Use one retry of the budget.

        Args:
            service: The service.
            now: The time.
            hosts: Number of hosts that share the extra retries, or `NOTHING`
                if it is unknown.

        Returns:
            Whether the budget allowed it.
        """
        requests = self.requests.setdefault(service, deque())
        repeats = self.repeats.setdefault(service, deque())
        self.trim(requests, now)
        self.trim(repeats, now)
        allowed = self.ratio * len(requests)
        if hosts is not NOTHING:
            allowed += self.extra / hosts
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def trim(self, times, now):
        """Remove the times that are older than the window."""
        while times and now - times[0] > self.window:
            times.popleft()
