"""Graceful shutdown: count what is in progress and wait for it."""

from contextlib import contextmanager

from twisted.internet import defer

from ..core.sentinels import NOTHING


class Drain:
    """Track requests in progress, and whether new ones are refused.

    Attributes:
        leaving: Whether the host has told others that it leaves.
        refusing: Whether new requests are refused.
        active: Requests in progress.
    """

    def __init__(self):
        self.leaving = False
        self.refusing = False
        self.active = 0
        self.idle_waiter = NOTHING

    @contextmanager
    def track_request(self):
        """Count one request for as long as the block runs."""
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1
            self.notify_if_idle()

    def notify_if_idle(self):
        """Tell who waits once nothing is in progress."""
        if self.active or self.idle_waiter is NOTHING:
            return
        idle_waiter, self.idle_waiter = self.idle_waiter, NOTHING
        idle_waiter.callback(None)

    def wait_until_idle(self):
        """Return a deferred that fires when nothing is in progress."""
        self.idle_waiter = defer.Deferred()
        done = self.idle_waiter
        self.notify_if_idle()
        return done
