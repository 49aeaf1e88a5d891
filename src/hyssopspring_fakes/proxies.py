"""A TCP proxy on loopback that delays, cuts, silences and resets."""

from twisted.internet import protocol

from hyssopspring.core.addresses import split_address

__all__ = ["FaultProxy"]

CONNECT_TIMEOUT = 2.0
"""Seconds to open the connection behind the proxy."""


class _Side(protocol.Protocol):
    """One of the two connections of a pair."""

    def __init__(self, pair):
        self.pair = pair

    def dataReceived(self, data):
        """Hand bytes over to the other side."""
        self.pair.carry(self, data)

    def connectionLost(self, reason):
        """End the other side too, unless nothing passes."""
        self.pair.ended(self)


class _Pair:
    """A caller's connection and the one behind the proxy.

    Attributes:
        silent: Whether nothing is passed on in either direction.
        mute: Whether nothing is passed on to the caller.
        asked: What the caller has sent last.
    """

    def __init__(self, proxy):
        self.proxy = proxy
        self.near = _Side(self)
        self.far = None
        self.waiting = []
        self.silent = False
        self.mute = False
        self.asked = b""

    def connected(self, far):
        """Note that the connection behind the proxy is open."""
        self.far = far
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self.carry(self.near, data)

    def carry(self, side, data):
        """Pass bytes on, now or later, unless a fault drops them."""
        if side is self.near:
            self.asked = data
        if self.silent or self.proxy.cut:
            return
        if side is not self.near and self.mute:
            return
        if side is self.near and self.far is None:
            self.waiting.append(data)
            return
        other = self.far if side is self.near else self.near
        if self.proxy.delay:
            self.proxy.reactor.callLater(self.proxy.delay, write, other, data)
        else:
            write(other, data)

    def ended(self, side):
        """End the other side when one has ended."""
        if side is self.near:
            self.proxy.pairs.discard(self)
        elif self.silent or self.proxy.cut:
            return
        for one in (self.near, self.far):
            if one is not None and one.transport is not None:
                one.transport.loseConnection()

    def reset(self):
        """Reset both connections."""
        for one in (self.near, self.far):
            if one is not None and one.transport is not None:
                one.transport.abortConnection()


def write(side, data):
    """Write to one side if it is still open."""
    if side.transport is not None and side.connected:
        side.transport.write(data)


class _Front(protocol.ServerFactory):
    """Accept the connections of callers."""

    noisy = False

    def __init__(self, proxy):
        self.proxy = proxy

    def buildProtocol(self, addr):
        """Open the connection behind the proxy for each caller's."""
        pair = _Pair(self.proxy)
        self.proxy.pairs.add(pair)
        self.proxy.open_far(pair)
        return pair.near


class _Back(protocol.ClientFactory):
    """Open a connection behind the proxy."""

    noisy = False

    def __init__(self, pair):
        self.pair = pair

    def buildProtocol(self, addr):
        """Return the far side, which tells its pair once it is open."""
        side = _Side(self.pair)
        side.connectionMade = lambda: self.pair.connected(side)
        return side

    def clientConnectionFailed(self, connector, reason):
        """Reset the caller's connection."""
        self.pair.reset()


class FaultProxy:
    """Pass the connections of one host on to an address, or not.

    What it drops is lost, and both ends stay open: neither the probes of
    the system nor a reset tells that nothing passes.

    Args:
        reactor: The reactor.
        address: IP address to listen at.
        target: ``ip:port`` behind it.

    Attributes:
        cut: Whether nothing passes, on new connections as well.
        delay: Seconds by which bytes are late.
    """

    def __init__(self, reactor, address, target):
        self.reactor = reactor
        self.address = address
        self.target = target
        self.pairs = set()
        self.cut = False
        self.delay = 0.0
        self.port = None

    def start(self):
        """Listen; return ``ip:port``."""
        self.port = self.reactor.listenTCP(
            0, _Front(self), interface=self.address
        )
        return f"{self.address}:{self.port.getHost().port}"

    def open_far(self, pair):
        """Open the connection behind the proxy."""
        ip, port = split_address(self.target)
        self.reactor.connectTCP(ip, port, _Back(pair), CONNECT_TIMEOUT)

    def silence(self, chosen=lambda asked: True):
        """Let the connections that are open now pass nothing any more.

        Args:
            chosen: Called for each with the bytes that its caller has
                sent last; says whether it falls silent.
        """
        for pair in self.pairs:
            pair.silent = pair.silent or chosen(pair.asked)

    def mute(self):
        """Let the connections that are open now bring no answer."""
        for pair in self.pairs:
            pair.mute = True

    def reset(self):
        """Reset the connections that are open now."""
        for pair in list(self.pairs):
            pair.reset()

    async def stop(self):
        """Stop listening and end all connections."""
        await self.port.stopListening()
        self.reset()
