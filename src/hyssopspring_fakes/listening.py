"""Listen for HTTP calls with a function that serves each."""

import weakref

from twisted.web import http

__all__ = ["cut_connections", "listen_http"]


def listen_http(reactor, address, serve):
    """Serve calls at a free port.

    Args:
        reactor: The reactor.
        address: IP address to listen at.
        serve: Called with each whole request.

    Returns:
        The listening port.
    """
    factory = http.HTTPFactory(reactor=reactor)
    factory.log = lambda request: None

    class Call(http.Request):
        """One call."""

        def process(self):
            """Hand it over."""
            serve(self)

    original = factory.buildProtocol
    factory.made = weakref.WeakSet()

    def build(addr):
        made = original(addr)
        made.requestFactory = Call
        factory.made.add(made)
        return made

    factory.buildProtocol = build
    return reactor.listenTCP(0, factory, interface=address)


def cut_connections(port):
    """Reset all connections of a listening port, as an end does."""
    for wrapper in list(port.factory.made):
        channel = getattr(wrapper, "_channel", wrapper)
        if channel.transport is not None:
            channel.transport.abortConnection()
