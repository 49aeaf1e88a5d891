"""Listen for HTTP calls with a function that serves each."""

from twisted.web import http

__all__ = ["listen_http"]


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

    def build(addr):
        made = original(addr)
        made.requestFactory = Call
        return made

    factory.buildProtocol = build
    return reactor.listenTCP(0, factory, interface=address)
