"""Pool of connections to backend servers and other hosts."""

import enum
import math
import socket
from dataclasses import dataclass

from twisted.internet import defer, error, protocol
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web._newclient import (
    BODY,
    HEADER,
    STATUS,
    ParseError,
)
from zope.interface import implementer

from ..core.addresses import split_address
from ..core.sentinels import NOTHING
from ..net.clientaccounts import unacknowledged_bytes
from ..net.clientprotocol import ClientProtocol
from .largebodies import LargeBodies

__all__ = ["Connections", "Connection", "Framing", "enable_keepalive"]

CONNECT_TIMEOUT_SECONDS = 0.35
"""Timeout of opening a connection within a region. A round trip takes less
than 10 ms there, so a retransmission after one lost packet already exceeds the
timeout."""

REMOTE_CONNECT_TIMEOUT_SECONDS = 0.8
"""Timeout of opening a connection to another region, where a round trip takes
160 ms."""

REUSE_MARGIN_SECONDS = 0.6
"""Seconds before the announced end of an idle connection from which on it is
not reused, as the other side may be closing it already."""

UNANNOUNCED_IDLE_SECONDS = 0.0
"""Seconds for which an idle connection is kept if the other side announced no
idle timeout."""

MAX_IDLE_CONNECTIONS = 24
"""Maximum number of idle connections of one endpoint. The newest ones are
reused first."""

MAX_HEAD_BYTES = 32 * 1024
"""Maximum size of the head of a response, with the interim responses before
it. A server that never ends its head would otherwise keep the request until
its deadline, and fill the memory of the host."""

HEAD_PART_BYTES = 4096
"""Bytes of a head that are parsed before its size is checked again. A single
read may hold thousands of interim responses, and other requests wait
meanwhile."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 1500
"""With these TCP options, a peer that becomes unreachable without closing its
connections is detected after 1.5 s of unacknowledged data, or after about 3 s
of silence, instead of minutes."""


class Framing(enum.StrEnum):
    """How the end of a response body is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@implementer(IHalfCloseableProtocol)
class Connection(ClientProtocol):
    """Connection that records how it ended and how long it may be idle.

    The HTTP client reports a reset and an orderly close alike when a body has
    no announced length. Only an orderly close by a server that has received
    the whole request means that such a body is complete.

    Attributes:
        closed_early: Whether the other side closed it before it had received
            all that was sent.
        confirmed_instance: Server instance that is known to be at its other
            end, or `NOTHING`.
        on_broken: Called when the other side ends it without an announcement.
        on_lost: Called when it has ended, for whatever reason.
    """

    def __init__(self, quiescent):
        super().__init__(quiescent)
        self.lost_reason = NOTHING
        self.closed_early = False
        self.head_bytes = 0
        self.reserved = False
        self.idle_since = 0.0
        self.idle_limit = UNANNOUNCED_IDLE_SECONDS
        self.expiry = NOTHING
        self.confirmed_instance = NOTHING
        self.on_broken = lambda: None
        self.on_lost = lambda: None

    def connectionMade(self):
        """Enable keepalive probes before the connection is used."""
        enable_keepalive(self.transport)
        super().connectionMade()

    @property
    def is_reading_head(self):
        """Whether a response is expected whose head is not complete."""
        parser = self._parser
        return parser is not None and parser.state in (STATUS, HEADER)

    @property
    def is_usable(self):
        """Whether a request can be sent on it.

        The client keeps its state after a response that announces the close.
        """
        is_closing = self.transport is None or self.transport.disconnecting
        return self.state == "QUIESCENT" and not is_closing

    def dataReceived(self, data):
        """Process data; close the connection if a head is too large."""
        while data and self.is_reading_head:
            part, data = data[:HEAD_PART_BYTES], data[HEAD_PART_BYTES:]
            super().dataReceived(part)
            self.count_head(len(part))
            if self._parser is None:
                # What follows a complete response belongs to no request.
                return
        if data:
            super().dataReceived(data)

    def count_head(self, size):
        """Count bytes of a head, and give up above the maximum size."""
        if not self.is_reading_head:
            self.head_bytes = 0
            return
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            self._giveUp(Failure(ParseError("head too large", b"")))

    def readConnectionLost(self):
        """Close the connection as the other side has closed it.

        The socket cannot be examined any more once the connection is lost.
        """
        self.closed_early = has_unreceived_data(self.transport)
        self.transport.connectionLost(Failure(error.ConnectionDone()))

    def writeConnectionLost(self):
        """Do nothing, since connections are never closed for writing only."""

    def connectionLost(self, reason):
        """Store the reason, then handle the loss as usual."""
        self.lost_reason = reason
        self.on_lost()
        if self.is_broken(reason):
            self.on_broken()
        super().connectionLost(reason)

    def is_broken(self, reason):
        """Return whether the other side ended it without an announcement."""
        if self.transport.disconnecting or reason.check(
            error.ConnectionAborted
        ):
            return False
        parser = self._parser
        in_body = parser is not None and parser.state == BODY
        ends_body = in_body and self.framing() is Framing.CLOSE
        return not (ends_body and self.is_closed_cleanly())

    def is_closed_cleanly(self):
        """Return whether the other side closed it after the whole request."""
        lost = self.lost_reason
        if lost is NOTHING or not lost.check(error.ConnectionDone):
            return False
        return not self.closed_early

    def framing(self):
        """Return the `Framing` of the response, or `NOTHING` before it."""
        if self._parser is None:
            return NOTHING
        headers = self._parser.connHeaders
        if headers.hasHeader(b"transfer-encoding"):
            return Framing.CHUNKS
        if headers.hasHeader(b"content-length"):
            return Framing.LENGTH
        return Framing.CLOSE

    def announced_idle(self):
        """Return the idle timeout that the head of the response announced."""
        parser = self._parser
        if parser is None:
            return UNANNOUNCED_IDLE_SECONDS
        values = parser.connHeaders.getRawHeaders(b"keep-alive", ())
        for value in values:
            for item in value.split(b","):
                name, _, number = item.strip().partition(b"=")
                if name.lower() == b"timeout" and number.isdigit():
                    return float(number)
        return UNANNOUNCED_IDLE_SECONDS


KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_keepalive(transport):
    """Enable TCP keepalive probes and the user timeout of a connection."""
    set_option = transport.getHandle().setsockopt
    for level, option, value in KEEPALIVE_OPTIONS:
        set_option(level, option, value)


def has_unreceived_data(transport):
    """Return whether the other side lacks a part of what was sent to it.

    The close acknowledges all that the other side had received by then. If it
    left a part of that unread, a reset follows the close.
    """
    if transport.dataBuffer or transport._tempDataLen:
        return True
    handle = transport.getHandle()
    if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    return unacknowledged_bytes(transport) > 0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Destination of requests, and key of its pool of connections.

    Attributes:
        key: Identifier of the pool: a start of a server, or a host.
        address: ``ip:port``.
        remote: Whether it is in another region.
        keep_alive_seconds: Seconds for which an idle connection may be used,
            or `NOTHING` to use the idle timeout that responses announce.
    """

    key: str
    address: str
    remote: bool = False
    keep_alive_seconds: object = NOTHING


class _ConnectionFactory(protocol.ClientFactory):
    """Open one connection."""

    noisy = False

    def __init__(self, connected, quiescent, on_broken):
        self.connected = connected
        self.quiescent = quiescent
        self.on_broken = on_broken

    def buildProtocol(self, addr):
        """Return the protocol of the new connection."""
        connection = Connection(self.quiescent)
        connection.factory = self
        connection.on_broken = self.on_broken
        connected, self.connected = self.connected, NOTHING
        # The transport is attached only after this function returns.
        if connected is not NOTHING:
            original = connection.connectionMade

            def opened():
                original()
                connected.callback(connection)

            connection.connectionMade = opened
        return connection

    def clientConnectionFailed(self, connector, reason):
        """Report that the connection could not be opened."""
        connected, self.connected = self.connected, NOTHING
        if connected is not NOTHING:
            if not reason.check(error.UserError):
                refused = reason.check(error.ConnectionRefusedError)
                self.on_broken(bool(refused))
            connected.errback(reason)


class Connections:
    """Open connections, and pool idle ones for later requests.

    Args:
        reactor: The reactor.
        source: IP address from which connections are opened. A host may have
            several addresses; the other hosts identify it by this one.
        account: `ClientAccount` of the process.

    Attributes:
        large_bodies: The `LargeBodies` that are received over them.
        on_broken: Called with the `Endpoint` of a connection that could not be
            opened, or was ended by the other side without an announcement, and
            with whether it was refused.
    """

    def __init__(self, reactor, source, account):
        self.reactor = reactor
        self.source = source
        self.on_broken = lambda endpoint, refused: None
        self.idle = {}
        self.large_bodies = LargeBodies(account)
        self.opened = 0
        self.unopened = 0

    def open(self, endpoint, *, reuse):
        """Return a deferred of a `Connection`.

        Args:
            endpoint: The `Endpoint`.
            reuse: Whether a pooled connection may be used. The server may have
                closed it a moment ago, and a request that must not run twice
                would then end with an unknown outcome.
        """
        if reuse:
            connection = self.take_idle(endpoint)
            if connection is not NOTHING:
                return defer.succeed(connection)
        return self.connect(endpoint)

    def take_idle(self, endpoint):
        """Return the newest usable idle connection, or `NOTHING`."""
        idle = self.idle.get(endpoint.key, [])
        now = self.reactor.seconds()
        while idle:
            connection = idle.pop()
            self.cancel_expiry(connection)
            if connection.state != "QUIESCENT":
                continue
            if now - connection.idle_since < connection.idle_limit:
                return connection
            connection.transport.loseConnection()
        return NOTHING

    def count(self, key):
        """Return the number of usable idle connections of *key*."""
        idle = self.idle.get(key, ())
        return sum(one.state == "QUIESCENT" for one in idle)

    def preconnect(self, endpoint):
        """Open a connection for a later request."""
        connected = self.connect(endpoint)
        connected.addCallbacks(
            lambda connection: self.keep(endpoint, connection),
            self.count_unopened,
        )

    def count_unopened(self, failure):
        """Count a connection that was opened in advance and failed.

        A request that needs one opens a connection again and handles the
        failure itself.
        """
        self.unopened += 1

    def connect(self, endpoint):
        """Open a new connection."""
        self.opened += 1
        connected = defer.Deferred(lambda _: connector.disconnect())
        factory = _ConnectionFactory(
            connected,
            lambda one: self.keep(endpoint, one),
            lambda refused=False: self.on_broken(endpoint, refused),
        )
        ip, port = split_address(endpoint.address)
        timeout = (
            REMOTE_CONNECT_TIMEOUT_SECONDS
            if endpoint.remote
            else CONNECT_TIMEOUT_SECONDS
        )
        connector = self.reactor.connectTCP(
            ip, port, factory, timeout, bindAddress=(self.source, 0)
        )
        return connected

    def is_refused(self, endpoint):
        """Return a deferred of whether *endpoint* refuses connections.

        A connection that can be opened is added to the pool.
        """
        connected = self.connect(endpoint)

        def opened(connection):
            self.keep(endpoint, connection)
            return False

        def failed(failure):
            return bool(failure.check(error.ConnectionRefusedError))

        return connected.addCallbacks(opened, failed)

    def keep(self, endpoint, connection):
        """Add a connection whose response is complete to the pool.

        A reserved one stays with its user, which sends a second request.
        """
        if connection.reserved:
            return
        limit = endpoint.keep_alive_seconds
        if limit is NOTHING:
            limit = connection.announced_idle()
        limit -= REUSE_MARGIN_SECONDS
        idle = self.idle.setdefault(endpoint.key, [])
        if limit <= 0 or len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.transport.loseConnection()
            return
        connection.idle_since = self.reactor.seconds()
        connection.idle_limit = limit
        connection.expiry = self.reactor.callLater(
            limit, self.expire, endpoint.key, connection
        )
        idle.append(connection)

    def expire(self, key, connection):
        """Close a connection that has been idle for too long."""
        connection.expiry = NOTHING
        idle = self.idle.get(key, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(key, None)
        connection.transport.loseConnection()

    def cancel_expiry(self, connection):
        """Cancel the expiry timer of a connection that is reused."""
        if connection.expiry is not NOTHING:
            connection.expiry.cancel()
            connection.expiry = NOTHING

    def close_idle(self, key, *, before=math.inf):
        """Close idle connections to a server or host.

        Args:
            key: Key of the endpoint.
            before: Time; connections that became idle after it are kept.
        """
        idle = self.idle.pop(key, [])
        kept = [one for one in idle if one.idle_since > before]
        if kept:
            self.idle[key] = kept
        for connection in idle:
            if connection not in kept:
                self.cancel_expiry(connection)
                connection.transport.loseConnection()

    def close(self):
        """Close all idle connections."""
        for key in list(self.idle):
            self.close_idle(key)
