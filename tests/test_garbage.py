"""Malformed and hostile input affects only its sender."""

import msgspec
import pytest
import pytest_twisted
import zmq
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals
from twisted.internet import defer, reactor, task
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol

from hyssopspring.core.events import EventKind
from hyssopspring_fakes.fleet import Shape


@pytest.fixture
def shape():
    """Return a fleet of one region."""
    return Shape(regions=("dar",), engines=1)


class RawConnection(Protocol):
    """Collect the data received on a plain TCP connection."""

    def __init__(self):
        self.data = b""
        self.closed = defer.Deferred()

    def dataReceived(self, data):
        """Buffer *data*."""
        self.data += data

    def connectionLost(self, reason):
        """Fire `closed`."""
        self.closed.callback(None)


async def connect(address):
    """Return a `RawConnection` that is connected to *address*."""
    host, port = address.split(":")
    endpoint = TCP4ClientEndpoint(reactor, host, int(port))
    return await connectProtocol(endpoint, RawConnection())


HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer test-key\r\n"
)


@pytest_twisted.ensureDeferred
async def test_endless_chunked_body_is_refused_and_cut(fleet, caller):
    """A body without a length is refused at the limit.

    Guards against memory exhaustion of a host: one caller sends a body
    that never ends, and the host keeps all of it in memory.
    """
    raw = await connect(fleet.gateways["dar-0"].settings.listen)
    raw.transport.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    for _ in range(80):
        raw.transport.write(chunk)
    await raw.closed
    assert_that(raw.data, Contains(b"413"))
    assert_that(raw.data, Contains(b"body_too_large"))
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_truncated_and_slow_bodies_delay_no_other_caller(fleet, caller):
    """Callers that send an incomplete body do not delay other callers."""
    address = fleet.gateways["dar-0"].settings.listen
    slow = await connect(address)
    slow.transport.write(HEAD + b"Content-Length: 100\r\n\r\n{")
    aborted = await connect(address)
    aborted.transport.write(HEAD + b"Content-Length: 100\r\n\r\n{")
    aborted.transport.loseConnection()
    await aborted.closed
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))
    assert_that(len(fleet.engines["dar-engine-0"].ran), Equals(1))
    slow.transport.loseConnection()
    await slow.closed


@pytest_twisted.ensureDeferred
async def test_broken_heads_are_answered_or_cut(fleet, caller):
    """Connections with malformed or oversized heads are closed."""
    address = fleet.gateways["dar-0"].settings.listen
    for sent in (
        b"no http at all\r\n\r\n",
        HEAD + b"X: " + b"x" * 100_000 + b"\r\n\r\n",
        HEAD + b"Content-Length: -4\r\n\r\n",
    ):
        raw = await connect(address)
        raw.transport.write(sent)
        await raw.closed
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_body_of_other_types_is_a_bad_request(caller):
    """JSON that does not match the schema is a bad request."""
    for body in (
        {"model": 5},
        {"model": "quick-draft", "stream": "yes"},
        {"model": "quick-draft", "messages": "x"},
        [],
    ):
        status, _, answer = await caller.send(
            "dar-0", "/v1/completions", msgspec.json.encode(body)
        )
        assert_that(status, Equals(400))
        error = msgspec.json.decode(answer)["error"]
        assert_that(error["code"], Equals("bad_request"))


@pytest_twisted.ensureDeferred
async def test_garbage_on_the_control_port_is_dropped(fleet, caller):
    """Frames that are not messages are logged and dropped."""
    gateway = fleet.gateways["dar-0"]
    context = zmq.Context(io_threads=1)
    socket = context.socket(zmq.PUB)
    socket.linger = 0
    port = socket.bind_to_random_port("tcp://127.0.0.1")
    gateway.bus.subscriber.connect(f"tcp://127.0.0.1:{port}")
    ring = gateway.timeline.recent_events

    def refusals():
        return [
            event
            for event in ring
            if event.number == EventKind.PEER_REFUSED.number
        ]

    for _ in range(200):
        socket.send_multipart([b"b:dar-a", b"\xff\x00garbage"])
        socket.send_multipart([b"b:dar-a", b"\xff", b"0" * 16])
        await task.deferLater(reactor, 0.02)
        if len(refusals()) >= 2:
            break
    gateway.bus.subscriber.disconnect(f"tcp://127.0.0.1:{port}")
    socket.close()
    context.term()
    assert len(refusals()) >= 2
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))
