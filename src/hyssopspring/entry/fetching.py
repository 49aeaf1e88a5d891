"""Short HTTP calls to the store and to other hosts."""

from twisted.internet import defer
from twisted.web._newclient import Request as ClientRequest
from twisted.web._newclient import ResponseDone
from twisted.web.http_headers import Headers

from ..core.exceptions import NoAnswerError
from .attempts import BodyCollector, BytesProducer

__all__ = ["fetch"]

MAX_RESPONSE_BYTES = 8 * 1024 * 1024


async def fetch(
    connections, endpoint, method, uri, host, body, *, timeout, clock
):
    """Send one call; return status, body and `Headers` of the response.

    Args:
        connections: The `Connections`.
        endpoint: The `Endpoint`.
        method: HTTP method.
        uri: Path and query.
        host: Value of the Host header.
        body: The body, which may be empty.
        timeout: Time limit in seconds for the whole call.
        clock: The runtime's clock.

    Raises:
        NoAnswerError: No complete response arrived in time.
        CancelledError: The caller has cancelled the call.
    """
    call = _Call(connections, endpoint, method, uri, host, body)
    work = defer.ensureDeferred(call.run())
    work.addTimeout(timeout, clock)
    try:
        return await work
    except defer.CancelledError:
        call.abort()
        raise
    except Exception as problem:
        call.abort()
        raise NoAnswerError(repr(problem)) from problem


class _Call:
    """One call in progress."""

    def __init__(self, connections, endpoint, method, uri, host, body):
        self.connections = connections
        self.endpoint = endpoint
        self.method = method
        self.uri = uri
        self.host = host
        self.body = body
        self.connection = None

    async def run(self):
        """Send the call and read the whole response."""
        self.connection = await self.connections.open(
            self.endpoint, reuse=True
        )
        headers = Headers({b"host": [self.host]})
        producer = None
        if self.body:
            headers.setRawHeaders(b"content-type", [b"application/json"])
            producer = BytesProducer(self.body)
        response = await self.connection.request(
            ClientRequest(
                self.method, self.uri, headers, producer, persistent=True
            )
        )
        reader = BodyCollector(MAX_RESPONSE_BYTES)
        response.deliverBody(reader)
        await reader.done
        if not reader.reason.check(ResponseDone):
            raise NoAnswerError("response body was truncated")
        return response.code, reader.body, response.headers

    def abort(self):
        """Abort the connection of a failed call."""
        if self.connection is not None:
            self.connection.transport.abortConnection()
