"""Stop signals of a process."""

import signal

from twisted.internet import defer

from .core.events import EventKind

__all__ = ["StopSignals"]


class StopSignals:
    """Stop a process at its first stop signal, and ignore further ones.

    The handlers are installed before the process listens, since a signal
    without a handler would end it at once.

    Args:
        reactor: The reactor, which must not install handlers of its own.
        stop: Coroutine function that stops the process.
        timeline: The `Timeline`, the event log.
        on_failure: Called with the failure if *stop* raised.
    """

    def __init__(self, reactor, stop, *, timeline, on_failure):
        self.reactor = reactor
        self.stop = stop
        self.timeline = timeline
        self.on_failure = on_failure
        self.received = False

    def install(self):
        """Install the signal handlers."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.receive)

    def receive(self, number, frame):
        """Handle a signal in the event loop."""
        self.reactor.callFromThread(self.handle, number)

    def handle(self, number):
        """Begin the stop, or log that it goes on."""
        if self.received:
            name = signal.Signals(number).name
            self.timeline.note(EventKind.STOP_REPEATED, signal=name)
            return
        self.received = True
        work = defer.ensureDeferred(self.stop())
        work.addErrback(self.on_failure)
        work.addBoth(lambda _: self.reactor.stop())
