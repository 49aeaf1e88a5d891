"""Graceful shutdown: wait for the requests in progress."""

from contextlib import contextmanager

from twisted.internet import defer

from ..core.sentinels import NOTHING


class Drain:
    """Track the requests in progress and the state of the shutdown.

    Attributes:
        leaving: Whether the host reports to others that it is shutting down.
        refusing: Whether new requests are refused.
        active: Number of requests in progress.
        idle_waiter: Deferred that fires when no request is in progress, or
            `NOTHING` if nobody waits.
    """

    def __init__(self):
        self.leaving = False
        self.refusing = False
        self.active = 0
        self.idle_waiter = NOTHING

    @contextmanager
    def track_request(self):
        """Count one request while the block runs."""
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1
            self.notify_if_idle()

    def notify_if_idle(self):
        """Fire `idle_waiter` if no request is in progress."""
        if self.active or self.idle_waiter is NOTHING:
            return
        idle_waiter, self.idle_waiter = self.idle_waiter, NOTHING
        idle_waiter.callback(None)

    def wait_until_idle(self):
        """Return a deferred that fires when no request is in progress."""
        self.idle_waiter = defer.Deferred()
        done = self.idle_waiter
        self.notify_if_idle()
        return done
