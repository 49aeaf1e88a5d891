"""Listeners whose connections close without losing a request or response."""

import contextlib
import io
import socket

from twisted.internet import error, task
from twisted.python import log
from twisted.python.failure import Failure
from twisted.web import http

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from .clientaccounts import (
    CHECK_INTERVAL_SECONDS,
    MAX_BODY_FILES,
    ClientAccount,
    Holding,
)
from .inputs import BoundedInput

__all__ = [
    "BODY_LOST_TEXT",
    "NO_MEMORY_TEXT",
    "Channel",
    "ClosingRequest",
    "ClosingSite",
    "Listeners",
]

FIRST_REQUEST_SECONDS = 0.25
"""Seconds for which a new connection without a request is not closed. The
request of a caller that has just connected is still on its way."""

LINGER_SECONDS = 1.0
"""Seconds for which a caller that has been sent everything may leave the
connection open after the other side was closed."""

TOO_LONG_REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
"""Response to a request whose first line, or a header line, is too long."""

BODY_LOST_TEXT = "the request body could not be stored"
"""Text of the refusal of a request whose body could not be stored."""

NO_MEMORY_TEXT = "there is no memory for the request body at present"
"""Text of the refusal of a request whose body was dropped."""

CLOSE_INTERVAL_SECONDS = 0.02
"""Interval between checks whether connections have closed."""


class Channel(BoundedInput):
    """HTTP connection that a stopping process can close safely.

    Attributes:
        made_at: Time at which it was accepted.
        has_requested: Whether it has carried a complete request.
        half_closed_at: Time at which the sending side was closed, or
            `NOTHING`.
        holding: `Holding` of its client.
        is_behind: Whether the next request waits until the client has read
            the response before it.
    """

    half_closed_at = NOTHING
    is_behind = False

    def connectionMade(self):
        """Register the connection with its site."""
        self.holding = Holding(self.site.account, self)
        super().connectionMade()
        self.made_at = self.site.reactor.seconds()
        self.has_requested = False
        self.site.channels.add(self)

    def connectionLost(self, reason):
        """Remove the connection from its site."""
        self.site.channels.discard(self)
        self.pending = b""
        self.holding.close()
        for request in self.requests:
            request.release_body()
        super().connectionLost(reason)

    def dataReceived(self, data):
        """Process data, and count what the connection holds afterwards."""
        super().dataReceived(data)
        self.holding.note_received(len(data))

    def write(self, data):
        """Write a part of the body of a response."""
        super().write(data)
        self.holding.note_written(len(data))

    def requestDone(self, request):
        """Go on with the next request once the client has read enough.

        Responses to requests behind one another would otherwise accumulate
        for a client that does not read.
        """
        request.release_body()
        may_go_on = not self._waitingForTransport or self.site.closing
        if may_go_on or not self.persistent:
            super().requestDone(request)
            return
        self.requests.remove(request)
        self.is_behind = True

    def resumeProducing(self):
        """Go on after the client has read what was written."""
        super().resumeProducing()
        self.handle_next()

    def handle_next(self):
        """Handle the data behind a response that the client has read."""
        if not self.is_behind:
            return
        self.is_behind = False
        self._handlingRequest = False
        if self._savedTimeOut:
            self.setTimeout(self._savedTimeOut)
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self.setLineMode(data)

    @property
    def input_queue(self):
        """The `InputQueue` of the process."""
        return self.site.account.input_queue

    def fail_input(self, failure):
        """Log an error in processing input, and abort the connection."""
        self.site.on_error(failure)
        self.transport.abortConnection()

    @property
    def buffered_bytes(self):
        """Number of bytes that were read and not processed yet."""
        waiting = len(self.pending) + len(self._buffer)
        return waiting + sum(map(len, self._dataBuffer))

    @property
    def has_buffered_input(self):
        """Whether data was read that belongs to no request in progress."""
        return self.buffered_bytes > 0

    @property
    def is_closing(self):
        """Whether the connection is being closed already."""
        return (
            self.half_closed_at is not NOTHING or self.transport.disconnecting
        )

    @property
    def is_receiving(self):
        """Whether a part of a request was read, and not all of it."""
        if self.is_closing:
            return False
        if self.requests:
            return not self._handlingRequest
        return bool(self._buffer or self.pending)

    @property
    def unsent_bytes(self):
        """Number of bytes that the process still holds for the caller."""
        transport = self.transport
        written = len(transport.dataBuffer) - transport.offset
        return written + transport._tempDataLen

    def write_unsent(self):
        """Write what the socket takes, without the event loop."""
        if self.unsent_bytes:
            self.transport.doWrite()

    def has_unread_input(self):
        """Return whether data waits in the socket."""
        try:
            return bool(self.transport.getHandle().recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def may_close(self, now):
        """Return whether the connection carries no request at present."""
        if self.is_closing:
            return False
        if self.requests or self.has_buffered_input:
            return False
        if self.has_unread_input():
            return False
        age = now - self.made_at
        return self.has_requested or age >= FIRST_REQUEST_SECONDS

    def allContentReceived(self):
        """Handle a request that has been read completely."""
        self.has_requested = True
        super().allContentReceived()

    def loseConnection(self):
        """Close the connection after the data that was written.

        While the process stops, only the sending side is closed at first, and
        the other side is closed once the caller has closed its own. A close
        with unread data would reset the connection, and a reset can discard
        the end of a response that the caller has not read yet.
        """
        if not self.site.closing:
            super().loseConnection()
            return
        self.half_close()

    def half_close(self):
        """Close the sending side, and ignore what the caller still sends."""
        if self.half_closed_at is not NOTHING:
            return
        self.half_closed_at = self.site.reactor.seconds()
        self.setTimeout(None)
        self.dataReceived = lambda data: None
        self._networkProducer.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def headerReceived(self, line):
        """Process a header line; refuse a number that has too many digits."""
        try:
            return super().headerReceived(line)
        except ValueError:
            self._respondToBadRequestAndDisconnect()
            return False

    def lineLengthExceeded(self, line):
        """Refuse a request of which a line is too long."""
        self.refuse_and_close(TOO_LONG_REFUSAL)

    def refuse_and_close(self, response):
        """Send a whole response and close, whatever the client still sends."""
        self.transport.write(response)
        self.half_close()
        self.site.reactor.callLater(
            LINGER_SECONDS, self.transport.loseConnection
        )

    def end_slow(self):
        """Refuse a request that does not arrive, or abort its response."""
        if self.unsent_bytes or not self.is_receiving:
            self.transport.abortConnection()
            return
        for request in self.requests:
            request.drop_body()
        self.refuse_and_close(self.site.slow_refusal())

    def timeoutConnection(self):
        """Close an idle connection, unless a request waits to be read.

        The time of a client that reads a response ends by its progress.
        """
        if self.has_unread_input() or self.unsent_bytes:
            self.setTimeout(self.timeOut)
        elif self.is_receiving:
            self.end_slow()
        else:
            super().timeoutConnection()

    def end_lingering(self, now):
        """Close the connection of a caller that does not close its own."""
        if self.half_closed_at is NOTHING or self.unsent_bytes:
            return
        if now - self.half_closed_at >= LINGER_SECONDS:
            self.transport.loseConnection()

    def refuse_incomplete(self):
        """Refuse a request of which only a part has been read."""
        self.transport.write(self.site.incomplete_refusal())
        self.loseConnection()


class ClosingRequest(http.Request):
    """Request whose response announces that a stopping host closes.

    A large body is stored in a temporary file. If that fails, or if clients
    hold too much, the rest of the body is read and dropped, so that the
    request can be refused.

    Attributes:
        body_lost: Whether its body could not be stored.
        body_refused: Whether its body was dropped for lack of memory.
        body_bytes: Bytes that the account counts for its body.
        body: The body, or `NOTHING` until it is first read.
        has_file: Whether a temporary file holds its body.
    """

    body_lost = False
    body_refused = False
    body_bytes = 0
    body = NOTHING
    has_file = False

    def gotLength(self, length):
        """Prepare to store the body."""
        account = self.channel.site.account
        if length == 0 or account.files >= MAX_BODY_FILES:
            self.content = io.BytesIO()
            return
        try:
            super().gotLength(length)
        except OSError:
            self.lose_body()
        self.has_file = not isinstance(self.content, io.BytesIO)
        account.files += self.has_file

    def handleContentChunk(self, data):
        """Store a part of the body."""
        if self.body_lost or self.body_refused:
            return
        if not self.count_body(len(data)):
            return
        try:
            super().handleContentChunk(data)
        except OSError:
            self.lose_body()

    def count_body(self, size):
        """Count further bytes of the body; return whether it is kept."""
        holding = self.channel.holding
        if not holding.allows(size):
            self.channel.site.account.bodies_refused += 1
            self.body_refused = True
            self.drop_body()
            return False
        self.body_bytes += size
        holding.add_body(size)
        return True

    def requestReceived(self, command, path, version):
        """Process the request, of which all has been received.

        While the body is sent on, there are two copies of it.
        """
        try:
            self.content.seek(0)
            self.content.seek(0, io.SEEK_END)
        except OSError:
            self.lose_body()
        if self.body_bytes:
            self.count_body(self.body_bytes)
        super().requestReceived(command, path, version)

    def read_body(self):
        """Return the body; all who read it share the same copy."""
        if self.body is NOTHING:
            self.content.seek(0)
            self.body = self.content.read()
            self.close_content()
        return self.body

    def lose_body(self):
        """Log that the body could not be stored, and drop it."""
        self.channel.site.on_error(Failure())
        self.body_lost = True
        self.drop_body()

    def drop_body(self):
        """Drop the body of a request that is refused."""
        self.release_body()
        self.content = io.BytesIO()

    def release_body(self):
        """Release the body, which cannot be read any more."""
        self.channel.holding.add_body(-self.body_bytes)
        self.channel.site.account.note_released(self.body_bytes)
        self.body_bytes = 0
        self.body = NOTHING
        self.close_content()

    def close_content(self):
        """Close what stores the body."""
        self.channel.site.account.files -= self.has_file
        self.has_file = False
        if self.content is not None:
            with contextlib.suppress(OSError):
                self.content.close()

    def write(self, data):
        """Write a part of the body, after the head.

        A request behind this one has been read already, and its response
        follows on the same connection.
        """
        if not self.startedWriting and not self._disconnected:
            site = self.channel.site
            if site.closing and not self.channel.has_buffered_input:
                self.close_after()
        super().write(data)

    def close_after(self):
        """Close the connection after this response, and announce it."""
        self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self.channel.persistent = False


class ClosingSite:
    """Part of an HTTP factory that can close its connections.

    Args:
        account: `ClientAccount` of the process, or `NOTHING` for one of its
            own.
        for_callers: Whether callers connect to it.

    Attributes:
        closing: Whether connections are closed after their responses.
        channels: The open connections.
    """

    protocol = Channel

    def __init__(self, *args, account=NOTHING, for_callers=True, **kwargs):
        super().__init__(*args, **kwargs)
        if account is NOTHING:
            account = ClientAccount(self.reactor)
        self.account = account
        limits = account.limits
        self.max_connections = (
            limits.caller_connections
            if for_callers
            else limits.other_connections
        )
        self.closing = False
        self.channels = set()

    def buildProtocol(self, addr):
        """Return the protocol of a new connection, or None to close it."""
        if not self.account.admits(self.channels, self.max_connections):
            return None
        channel = super().buildProtocol(addr)
        channel.site = self
        return channel

    def on_error(self, failure):
        """Log an unexpected error with a request that is being read."""
        log.err(failure)

    def close_idle(self):
        """Close the connections that carry no request at present."""
        now = self.reactor.seconds()
        for channel in list(self.channels):
            if channel.may_close(now):
                channel.loseConnection()


class Listeners:
    """All listeners of a process, which stop together.

    Args:
        reactor: The reactor.
        limits: `ClientLimits` of the process, or `NOTHING` for the default.
        timeline: The `Timeline`, or `NOTHING` to log nothing.

    Attributes:
        account: `ClientAccount` that all listeners share.
    """

    def __init__(self, reactor, limits=NOTHING, timeline=NOTHING):
        self.reactor = reactor
        self.timeline = timeline
        self.account = ClientAccount(reactor, limits, self.note_limited)
        self.checking = task.LoopingCall(self.check_account)
        self.checking.clock = reactor
        self.ports = []
        self.sites = []

    def add(self, port, site):
        """Add a listening port and the `ClosingSite` it serves."""
        self.ports.append((port, site))
        self.sites.append(site)
        if not self.checking.running:
            self.checking.start(CHECK_INTERVAL_SECONDS)

    def note_limited(self, **gauges):
        """Log that clients were limited, with what they hold."""
        if self.timeline is not NOTHING:
            self.timeline.note(EventKind.CLIENTS_LIMITED, **gauges)

    def check_account(self):
        """Check the clients; an error must not end the periodic check."""
        try:
            self.account.check()
        except Exception:  # noqa: BLE001 - all are logged
            self.sites[0].on_error(Failure())

    def announce(self):
        """Let responses announce that their connections are closed."""
        for site in self.sites:
            site.closing = True
            for channel in list(site.channels):
                channel.handle_next()

    def close_idle(self):
        """Close the connections that carry no request at present."""
        for site in self.sites:
            site.close_idle()

    def end_lingering(self):
        """Close connections of callers that do not close their own."""
        now = self.reactor.seconds()
        for channel in self.channels:
            channel.end_lingering(now)

    @property
    def channels(self):
        """The open connections of all listeners."""
        return [one for site in self.sites for one in site.channels]

    @property
    def unsent_bytes(self):
        """Number of bytes that the process still holds for callers."""
        return sum(channel.unsent_bytes for channel in self.channels)

    def stop_listening(self):
        """Accept the connections that wait, and close the ports at once.

        Connections that come before a delayed close would be reset.
        """
        for port, site in self.ports:
            accept_waiting(port, site)
            port.connectionLost(Failure(error.ConnectionDone()))
        self.ports = []

    async def close(self, until):
        """Close the ports, then all connections.

        What has arrived by then is read and handled first.

        Args:
            until: Time at which the remaining connections are given up.
        """
        self.stop_listening()
        # One pass of the event loop reads what waits in the sockets.
        await task.deferLater(self.reactor, 0)
        while self.channels and self.reactor.seconds() < until:
            for channel in self.channels:
                if channel.is_receiving and not channel.pending:
                    channel.refuse_incomplete()
            self.end_lingering()
            self.close_idle()
            await task.deferLater(self.reactor, CLOSE_INTERVAL_SECONDS)
        # Timers come before sockets, so that requests may be unread.
        await task.deferLater(self.reactor, 0)
        for channel in self.channels:
            if channel.pending and channel.is_receiving:
                channel.refuse_incomplete()
            channel.write_unsent()

    def abort(self):
        """Abort all connections."""
        if self.checking.running:
            self.checking.stop()
        for channel in self.channels:
            channel.transport.abortConnection()


def accept_waiting(port, site):
    """Accept the connections that wait at a port."""
    accepted = -1
    while accepted != len(site.channels):
        accepted = len(site.channels)
        port.doRead()
