"""Requests that wait until this host knows enough to answer them."""

from collections import deque
from dataclasses import dataclass

__all__ = ["QueuedRequest", "HoldingQueue"]

MAX_QUEUED_REQUESTS = 200
"""Requests that wait at once; the second's worth of a busy host."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits.

    Attributes:
        request: The `WebRequest`.
        since: Time of its arrival.
        held_at: Time since when it waits.
        gone: Whether its caller has left.
    """

    request: object
    arrived: float
    queued_at: float
    disconnected: bool = False

    def mark_disconnected(self, reason):
        """Note that the caller has left."""
        self.disconnected = True


class HoldingQueue:
    """Hold requests until they can be served, or for a short time.

    Args:
        clock: The runtime's clock.
        longest: Seconds for which a request waits at most.
        serve: Called with each request that may be served now, and the
            time of its arrival.
        refuse: Called with each request that has waited for too long.
    """

    def __init__(self, clock, max_wait, serve, refuse):
        self.clock = clock
        self.max_wait = max_wait
        self.serve = serve
        self.refuse = refuse
        self.waiting = deque()

    def enqueue(self, request, arrived):
        """Let a request wait that came at *since*; return whether it may."""
        if len(self.waiting) >= MAX_QUEUED_REQUESTS:
            return False
        queued = QueuedRequest(request, arrived, self.clock.seconds())
        request.notifyFinish().addErrback(queued.mark_disconnected)
        self.waiting.append(queued)
        return True

    def release(self):
        """Serve all that wait."""
        waiting, self.waiting = self.waiting, deque()
        for queued in waiting:
            if not queued.disconnected:
                self.serve(queued.request, queued.arrived)

    def refuse_expired(self, now):
        """Refuse those that have waited for too long."""
        while (
            self.waiting and now - self.waiting[0].queued_at >= self.max_wait
        ):
            queued = self.waiting.popleft()
            if not queued.disconnected:
                self.refuse(queued.request)
