"""Servers of raw bytes, and the attempt of an entry host at them."""

import pytest_twisted
from twisted.internet import defer, protocol, reactor
from twisted.web.http_headers import Headers

from hyssopspring.entry.attempts import Attempt, OutgoingRequest
from hyssopspring.entry.connections import Connections, Endpoint
from hyssopspring.net.clientaccounts import ClientAccount
from hyssopspring.platform.headers import read_head

IDENTIFIER = b"r1"


def listen_raw(server):
    """Yield the factory of a protocol that listens until the test ends.

    Args:
        server: The protocol; the factory gets the attribute ``address``.
    """
    factory = protocol.Factory.forProtocol(server)
    port = reactor.listenTCP(0, factory, interface="127.0.0.5")
    factory.address = f"127.0.0.5:{port.getHost().port}"
    yield factory
    pytest_twisted.blockon(defer.maybeDeferred(port.stopListening))


async def attempt_at(address, body=b""):
    """Make an attempt of a plain request; return its outcome."""
    attempt = Attempt(
        Connections(reactor, "127.0.0.5", ClientAccount(reactor)),
        Endpoint("s", address),
        OutgoingRequest(
            id=IDENTIFIER,
            method=b"POST",
            uri=b"/",
            headers=Headers({b"host": [b"a.example"]}),
            body=body,
            stream=False,
            repeatable=False,
        ),
        read_head,
        reactor,
        on_stream=None,
        on_first_data=lambda: None,
    )
    return await attempt.run()
