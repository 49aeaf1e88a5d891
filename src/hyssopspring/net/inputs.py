"""Bound on the work that the input of one connection causes at a time."""

from collections import deque

from twisted.python.failure import Failure
from twisted.web import http

__all__ = ["BoundedInput", "InputQueue"]

READ_BYTES = 16 * 1024
"""Bytes that are read of a connection at a time."""

MAX_PART_BYTES = 4096
"""Bytes of heads and of the framing of chunks that are processed of one
connection before others get their turn. A single read may hold thousands of
requests or chunks."""

STEP_BYTES = 512
"""Bytes that are processed before it is checked again whether the next ones
are content only."""

CHANNELS_PER_TURN = 4


class InputQueue:
    """Connections whose input waits for a later turn of the event loop.

    Args:
        clock: The runtime's clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.channels = deque()
        self.is_scheduled = False

    def add(self, channel):
        """Let a `BoundedInput` go on in a later turn."""
        if channel not in self.channels:
            self.channels.append(channel)
        self.schedule()

    def schedule(self):
        """Let the next connections go on in the next turn."""
        if self.channels and not self.is_scheduled:
            self.is_scheduled = True
            self.clock.callLater(0, self.run)

    def run(self):
        """Let the connections go on that wait for longest."""
        self.is_scheduled = False
        for _ in range(min(CHANNELS_PER_TURN, len(self.channels))):
            channel = self.channels.popleft()
            try:
                channel.continue_input()
            except Exception:  # noqa: BLE001 - all are logged
                channel.fail_input(Failure())
        self.schedule()


class BoundedInput(http.HTTPChannel):
    """HTTP connection that processes its input in bounded parts.

    A subclass provides `input_queue`, the `InputQueue` of the process,
    `is_closing` and `fail_input`.

    Attributes:
        pending: Input that waits for a later turn of the event loop.
    """

    pending = b""

    def connectionMade(self):
        """Read little at a time, as what is read may have to wait."""
        super().connectionMade()
        self.transport.bufferSize = READ_BYTES

    def requestDone(self, request):
        """Go on with the next request."""
        super().requestDone(request)
        self.keep_paused()

    def resumeProducing(self):
        """Go on after the client has read what was written."""
        super().resumeProducing()
        self.keep_paused()

    def keep_paused(self):
        """Leave the socket unread while earlier input waits."""
        if self.pending:
            self.transport.pauseProducing()

    def dataReceived(self, data):
        """Process data, now or after the data that waits."""
        if self.pending:
            self.pending += data
        else:
            self.take_input(data)

    def continue_input(self):
        """Process a further part of the input that waits."""
        data, self.pending = self.pending, b""
        self.take_input(data)
        if not self.pending and self.may_read:
            self.transport.resumeProducing()

    def take_input(self, data):
        """Process data within the bound, and keep the rest for later."""
        # What was buffered during a request comes before the rest.
        self.pending += self.process_input(data)
        if self.pending:
            self.keep_paused()
            self.input_queue.add(self)

    def process_input(self, data):
        """Process data within the bound; return the rest."""
        left = MAX_PART_BYTES
        while data and not self.is_closing:
            if self.pending:
                return data
            size = min(len(data), self.content_bytes)
            if not size:
                if left <= 0:
                    return data
                size = min(len(data), STEP_BYTES)
                left -= size
            super().dataReceived(data[:size])
            data = data[size:]
        return b""

    @property
    def content_bytes(self):
        """Number of the next bytes that need no parsing."""
        if self._handlingRequest:
            return self._optimisticEagerReadSize
        decoder = self._transferDecoder
        if decoder is None:
            return 0
        if isinstance(decoder, http._IdentityTransferDecoder):
            return decoder.contentLength or 0
        return decoder.length if decoder.state == "BODY" else 0

    @property
    def may_read(self):
        """Whether nothing but the input queue keeps the socket unread."""
        buffered = sum(map(len, self._dataBuffer))
        return not (
            self._waitingForTransport
            or buffered > self._optimisticEagerReadSize
        )
