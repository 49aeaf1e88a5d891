"""Small HTTP client helpers on `twisted.web.client`."""

from io import BytesIO

import msgspec
from twisted.internet import defer, error, protocol
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseDone,
    ResponseFailed,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from ..core.exceptions import NoAnswerError, ProtocolError
from ..core.sentinels import NOTHING

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_POOLED_CONNECTIONS = 64
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
NETWORK_FAILURES = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionLost,
    error.ConnectionDone,
    error.TimeoutError,
    defer.TimeoutError,
    defer.CancelledError,
    ResponseFailed,
    PotentialDataLoss,
)
"""What a request fails with when no whole answer comes."""


def make_agent(
    reactor, *, persistent=True, connect_timeout=CONNECT_TIMEOUT_SECONDS
):
    """Return an agent whose pool never repeats a request by itself.

    The pool's own retry would send a request a second time when a kept
    connection turns out to be closed, without any of our checks on
    whether it may be repeated.

    Args:
        reactor: The reactor.
        persistent: Whether to keep connections for later requests.
        connect_timeout: Longest time to connect, in seconds.
    """
    pool = HTTPConnectionPool(reactor, persistent=persistent)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_POOLED_CONNECTIONS
    agent = Agent(reactor, connectTimeout=connect_timeout, pool=pool)
    agent.pool = pool
    return agent


async def fetch_json(
    agent, method, url, value=NOTHING, *, clock, timeout, headers=NOTHING
):
    """Send *value* as JSON and return the status and the decoded answer.

    Args:
        agent: The agent to use.
        method: HTTP method, as bytes.
        url: Address, as text.
        value: What to send, or `NOTHING` for no body.
        clock: The runtime's clock.
        timeout: Longest time for all of it, in seconds.
        headers: More `Headers` to send.

    Raises:
        NoAnswerError: No whole answer came in time.
        ProtocolError: The answer is no JSON, or too long.
    """
    sent = NOTHING
    if value is not NOTHING:
        sent = msgspec.json.encode(value)
    status, body = await fetch(
        agent,
        method,
        url,
        sent,
        clock=clock,
        timeout=timeout,
        headers=headers,
    )
    if not body:
        return status, NOTHING
    try:
        return status, msgspec.json.decode(body)
    except msgspec.DecodeError as problem:
        raise ProtocolError(f"answer of {url} is no JSON") from problem


async def fetch(
    agent, method, url, body=NOTHING, *, clock, timeout, headers=NOTHING
):
    """Send *body* and return the status and the body of the answer.

    Raises:
        NoAnswerError: No whole answer came in time.
        ProtocolError: The answer is too long.
    """
    sent = Headers(dict(headers.getAllRawHeaders()) if headers else {})
    if body is not NOTHING and not sent.hasHeader(b"content-type"):
        sent.setRawHeaders(b"content-type", [b"application/json"])
    producer = None if body is NOTHING else FileBodyProducer(BytesIO(body))
    work = defer.ensureDeferred(
        _request(agent, method, url.encode(), sent, producer)
    )
    work.addTimeout(timeout, clock)
    try:
        return await work
    except NETWORK_FAILURES as failure:
        raise NoAnswerError(repr(failure)) from failure


async def _request(agent, method, url, headers, producer):
    """Send one request and read its whole answer."""
    response = await agent.request(method, url, headers, producer)
    body = await read_body(response)
    return response.code, body


def open_stream(agent, url, value):
    """Post *value* as JSON and return a deferred response to read from."""
    body = FileBodyProducer(BytesIO(msgspec.json.encode(value)))
    headers = Headers({b"content-type": [b"application/json"]})
    return agent.request(b"POST", url.encode(), headers, body)


def read_body(response, limit=MAX_RESPONSE_BYTES):
    """Return a deferred of the response's whole body.

    The deferred fails if the body ends before its announced length, or
    is longer than *limit* bytes. Cancelling it closes the connection.
    """
    reader = BodyReader(limit)
    response.deliverBody(reader)
    return reader.done


class BodyReader(protocol.Protocol):
    """Collect a body of limited length."""

    def __init__(self, limit):
        self.limit = limit
        self.size = 0
        self.parts = []
        self.done = defer.Deferred(self.cancel)

    def dataReceived(self, data):
        """Keep one part."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limit:
            self.fail(ProtocolError("answer too long"))

    def connectionLost(self, reason):
        """Hand over the body, if it came whole."""
        if self.done.called:
            return
        if reason.check(ResponseDone):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)

    def cancel(self, done):
        """Drop the connection of a reader that nobody waits for."""
        if self.transport is not None:
            self.transport.loseConnection()

    def fail(self, failure):
        """Give up on the body."""
        if not self.done.called:
            self.done.errback(failure)
            self.transport.loseConnection()
