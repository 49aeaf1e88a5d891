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
        self.waiting = NOTHING

    @contextmanager
    def working(self):
        """Count one request for as long as the block runs."""
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1
            self.check()

    def check(self):
        """Tell who waits once nothing is in progress."""
        if self.active or self.waiting is NOTHING:
            return
        waiting, self.waiting = self.waiting, NOTHING
        waiting.callback(None)

    def finished(self):
        """Return a deferred that fires when nothing is in progress."""
        self.waiting = defer.Deferred()
        done = self.waiting
        self.check()
        return done
