"""Queue of requests that wait until this host can process them."""

from collections import deque
from dataclasses import dataclass

__all__ = ["QueuedRequest", "HoldingQueue"]

MAX_QUEUED_REQUESTS = 200
"""Maximum number of requests that wait at the same time; a busy host receives
about as many in one second."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits.

    Attributes:
        request: The `WebRequest`.
        arrived: Time of its arrival.
        queued_at: Time at which it was queued.
        done: Whether it has its response, or its caller has disconnected.
    """

    request: object
    arrived: float
    queued_at: float
    done: bool = False

    def mark_done(self, reason):
        """Record that the request needs no response any more."""
        self.done = True


class HoldingQueue:
    """Queue requests until they can be served, for a limited time.

    Args:
        clock: The runtime's clock.
        max_wait: Maximum number of seconds for which a request waits.
        serve: Called with each request that may be served now, and the time of
            its arrival.
        refuse: Called with each request that has waited for too long.
    """

    def __init__(self, clock, max_wait, serve, refuse):
        self.clock = clock
        self.max_wait = max_wait
        self.serve = serve
        self.refuse = refuse
        self.waiting = deque()

    def enqueue(self, request, arrived):
        """Queue a request; return whether there was room for it.

        Args:
            request: The `WebRequest`.
            arrived: Time of its arrival.
        """
        if len(self.waiting) >= MAX_QUEUED_REQUESTS:
            return False
        queued = QueuedRequest(request, arrived, self.clock.seconds())
        request.notifyFinish().addBoth(queued.mark_done)
        self.waiting.append(queued)
        return True

    def release(self):
        """Serve all requests that wait."""
        waiting, self.waiting = self.waiting, deque()
        try:
            while waiting:
                queued = waiting.popleft()
                if not queued.done:
                    self.serve(queued.request, queued.arrived)
        finally:
            # An error with one request leaves the others in the queue.
            self.waiting.extendleft(reversed(waiting))

    def refuse_expired(self, now):
        """Refuse the requests that have waited for too long."""
        while (
            self.waiting and now - self.waiting[0].queued_at >= self.max_wait
        ):
            queued = self.waiting.popleft()
            if not queued.done:
                self.refuse(queued.request)
