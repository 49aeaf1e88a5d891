"""HTTP client helpers for `twisted.web.client`."""

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
from .clientprotocol import ClientProtocol

CONNECT_TIMEOUT_SECONDS = 0.5
"""Default time limit for opening a connection."""

MAX_POOLED_CONNECTIONS = 64
"""Idle connections that a pool keeps for each address."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Default limit of a response body, which is buffered in memory."""

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
"""Exceptions of a request that received no complete response."""


class _ClientFactory(protocol.Factory):
    """Make the connections of a pool."""

    def __init__(self, quiescent, description):
        self.quiescent = quiescent
        self.description = description

    def __repr__(self):
        return f"_ClientFactory({self.description})"

    def buildProtocol(self, addr):
        """Return the protocol of a new connection."""
        return ClientProtocol(self.quiescent)


def make_agent(
    reactor, *, persistent=True, connect_timeout=CONNECT_TIMEOUT_SECONDS
):
    """Return an agent whose connection pool never retries a request.

    The built-in retry of the pool sends a request a second time if a
    pooled connection turns out to be closed, without checking whether the
    request may be repeated.

    Args:
        reactor: The reactor.
        persistent: Whether to reuse connections for later requests.
        connect_timeout: Time limit for opening a connection, in seconds.
    """
    pool = HTTPConnectionPool(reactor, persistent=persistent)
    # The pool has no argument for its factory.
    pool._factory = _ClientFactory
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_POOLED_CONNECTIONS
    agent = Agent(reactor, connectTimeout=connect_timeout, pool=pool)
    agent.pool = pool
    return agent


async def fetch_json(
    agent, method, url, value=NOTHING, *, clock, timeout, headers=NOTHING
):
    """Send *value* as JSON and return the status and the decoded response.

    Args:
        agent: The agent to use.
        method: HTTP method, as bytes.
        url: URL, as text.
        value: Value to send, or `NOTHING` for no body.
        clock: The clock (the reactor).
        timeout: Time limit for the whole exchange, in seconds.
        headers: Additional `Headers` to send.

    Raises:
        NoAnswerError: No complete response was received in time.
        ProtocolError: The response is not JSON, or is too large.
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
        raise ProtocolError(f"response of {url} is not JSON") from problem


async def fetch(
    agent, method, url, body=NOTHING, *, clock, timeout, headers=NOTHING
):
    """Send *body* and return the status and the body of the response.

    Raises:
        NoAnswerError: No complete response was received in time.
        ProtocolError: The response is too large.
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
    """Send one request and read its whole response."""
    response = await agent.request(method, url, headers, producer)
    body = await read_body(response)
    return response.code, body


def open_stream(agent, url, value):
    """Post *value* as JSON and return a deferred of the response.

    The body of the response is left to the caller to read.
    """
    body = FileBodyProducer(BytesIO(msgspec.json.encode(value)))
    headers = Headers({b"content-type": [b"application/json"]})
    return agent.request(b"POST", url.encode(), headers, body)


def read_body(response, limit=MAX_RESPONSE_BYTES, account=NOTHING):
    """Return a deferred of the whole body of *response*.

    The deferred fails if the body ends before its Content-Length, if it is
    longer than *limit* bytes, or if clients hold too much. Cancelling it
    closes the connection.

    Args:
        response: The response.
        limit: Largest body, in bytes.
        account: `ClientAccount` of the process if a client is to receive the
            body, or `NOTHING`.
    """
    reader = BodyReader(limit, account)
    response.deliverBody(reader)
    return reader.done


class BodyReader(protocol.Protocol):
    """Buffer a response body of limited size.

    Args:
        limit: Largest body, in bytes.
        account: `ClientAccount` that counts it, or `NOTHING`.
    """

    def __init__(self, limit, account=NOTHING):
        self.limit = limit
        self.account = account
        self.size = 0
        self.parts = []
        self.done = defer.Deferred(self.cancel)

    def dataReceived(self, data):
        """Buffer *data*, or fail if the body exceeds the limit."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limit:
            self.fail(ProtocolError("response body is too large"))
        elif self.account is not NOTHING and not self.count(len(data)):
            self.fail(ProtocolError("clients hold too much memory"))

    def count(self, size):
        """Count further bytes; return whether the account allows them."""
        if not self.account.allows(self, size):
            return False
        self.account.count(self, self.size)
        return True

    def connectionLost(self, reason):
        """Fire *done* with the body if it is complete, else with *reason*."""
        if self.account is not NOTHING:
            self.account.count(self, 0)
        if self.done.called:
            return
        body = b"".join(self.parts)
        self.parts.clear()
        if reason.check(ResponseDone):
            self.done.callback(body)
        else:
            self.done.errback(reason)

    def cancel(self, done):
        """Close the connection when the deferred is cancelled."""
        if self.transport is not None:
            self.transport.loseConnection()

    def fail(self, failure):
        """Fail with *failure* and close the connection."""
        self.parts.clear()
        if not self.done.called:
            self.done.errback(failure)
            self.transport.loseConnection()
