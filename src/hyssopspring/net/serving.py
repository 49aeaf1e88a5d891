"""HTTP server helpers for `twisted.web`: limits, routing and JSON."""

import math

import msgspec
from twisted.internet import defer
from twisted.python import failure
from twisted.web import resource, server

from ..core.exceptions import HyssopError, ProtocolError
from ..core.outcomes import Reason
from ..core.sentinels import NOTHING
from .channels import (
    BODY_LOST_TEXT,
    NO_MEMORY_TEXT,
    ClosingRequest,
    ClosingSite,
)
from .clientaccounts import RETRY_SECONDS

MAX_REQUEST_BYTES = 4 * 1024 * 1024
"""Default limit of the size of a request body."""

LEAVING_MESSAGE = "this host is shutting down; use another host"

IDLE_TIMEOUT_SECONDS = 30.0
"""Time without data after which a connection is closed."""


def encode_refusal(status, reason, message, headers=b""):
    """Return a whole response to a request that is not read completely.

    Args:
        status: Status line without the protocol version, as bytes.
        reason: The `Reason`.
        message: Text for the caller.
        headers: Further header lines.
    """
    error = {"message": message, "type": "not_run", "code": reason}
    body = msgspec.json.encode({"error": error})
    return (
        b"HTTP/1.1 %s\r\n"
        b"Content-Type: application/json\r\n"
        b"Hyssop-Outcome: not-run\r\n"
        b"%s"
        b"Connection: close\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (status, headers, len(body), body)
    )


TOO_LARGE_REFUSAL = encode_refusal(
    b"413 Payload Too Large",
    Reason.BODY_TOO_LARGE,
    "the request body is too large",
)

LEAVING_REFUSAL = encode_refusal(
    b"503 Service Unavailable",
    Reason.LEAVING,
    LEAVING_MESSAGE,
    b"Hyssop-Reason: %s\r\nRetry-After: 1\r\n" % Reason.LEAVING.encode(),
)
"""Response of a stopping host to a request that it has not read completely."""


SLOW_REFUSAL = encode_refusal(
    b"408 Request Timeout",
    Reason.BODY_TOO_SLOW,
    "the request was received too slowly",
)


class LimitedRequest(ClosingRequest, server.Request):
    """A request whose body is bounded by the limit of its site.

    Without the limit, a single unbounded body exhausts the memory that
    all other requests on the host need.

    Attributes:
        refused: Whether its body exceeds the limit.
        tracked: Its `TrackedRequest`, or `NOTHING` if its site tracks none
            or it is being read.
    """

    refused = False
    tracked = NOTHING

    def gotLength(self, length):
        """Refuse a body whose Content-Length exceeds the limit."""
        if length is not None and length > self.channel.site.max_request_bytes:
            self.refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Refuse a body of unknown length once it exceeds the limit."""
        if self.refused:
            return
        if (
            self.content.tell() + len(data)
            > self.channel.site.max_request_bytes
        ):
            self.refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command, path, version):
        """Process the request unless its body was refused."""
        if not self.refused:
            super().requestReceived(command, path, version)

    def process(self):
        """Track the complete request and pass it to its handler."""
        in_progress = self.channel.site.in_progress
        if in_progress is not NOTHING:
            self.tracked = in_progress.add(self)
        if self.body_lost:
            respond_error(
                self,
                503,
                Reason.INTERNAL_ERROR,
                BODY_LOST_TEXT,
                kind="not_run",
                headers=[("hyssop-outcome", "not-run")],
            )
            return
        if self.body_refused:
            respond_error(
                self,
                503,
                Reason.OVERLOADED,
                NO_MEMORY_TEXT,
                kind="not_run",
                headers=[
                    ("hyssop-outcome", "not-run"),
                    ("hyssop-reason", Reason.OVERLOADED),
                    ("retry-after", str(math.ceil(RETRY_SECONDS))),
                ],
            )
            return
        super().process()

    def refuse(self):
        """Respond with status 413 and close the connection."""
        if self.refused:
            return
        self.refused = True
        self.channel.transport.write(TOO_LARGE_REFUSAL)
        self.channel.loseConnection()


class LimitedSite(ClosingSite, server.Site):
    """A site that limits the body size and the idle time.

    Args:
        root: The root resource.
        max_request_bytes: Largest body of a request.
        reactor: The reactor.
        in_progress: `InProgress` that tracks the requests, or `NOTHING`.
        options: Further arguments of the `ClosingSite`.
    """

    def __init__(
        self,
        root,
        *,
        max_request_bytes=MAX_REQUEST_BYTES,
        reactor=None,
        in_progress=NOTHING,
        **options,
    ):
        super().__init__(
            root, timeout=IDLE_TIMEOUT_SECONDS, reactor=reactor, **options
        )
        self.requestFactory = LimitedRequest
        self.max_request_bytes = max_request_bytes
        self.in_progress = in_progress
        self.displayTracebacks = False

    def incomplete_refusal(self):
        """Return the response to a request that is not read completely."""
        return LEAVING_REFUSAL

    def slow_refusal(self):
        """Return the response to a request that does not arrive."""
        return SLOW_REFUSAL

    def log(self, request):
        """Write no access log; requests are recorded in the event log."""


class CoroutineResource(resource.Resource):
    """A leaf resource whose handler is a coroutine function.

    Args:
        handle: Coroutine function that responds to a request.
        on_failure: Called with the request and the failure if the handler
            raised.
    """

    isLeaf = True

    def __init__(self, handle, on_failure):
        super().__init__()
        self.handle = handle
        self.on_failure = on_failure

    def render(self, request):
        """Start the handler for *request*."""
        deferred = defer.ensureDeferred(self.handle(request))
        deferred.addErrback(self.handle_failure, request)
        return server.NOT_DONE_YET

    def handle_failure(self, reason, request):
        """Respond with status 500 if no response has been started.

        A response that has been started is aborted.
        """
        self.on_failure(request, reason)
        if request.finished or request._disconnected:
            return
        if request.startedWriting:
            request.loseConnection()
            return
        respond_error(request, 500, "internal_error", "internal error")


class Router:
    """Dispatch requests to handlers by method and path.

    Args:
        on_failure: Called with the failure of a handler that raised.
    """

    def __init__(self, on_failure):
        self.on_failure = on_failure
        self.routes = []

    def add(self, method, path, handler):
        """Add a handler.

        Args:
            method: HTTP method, or ``*`` for all methods.
            path: Path to serve; one that ends in ``/`` also serves all
                paths that start with it.
            handler: Function or coroutine function of the request.
        """
        self.routes.append((method.encode(), path.encode(), handler))

    def resource(self):
        """Return the resource that dispatches to all routes."""
        return CoroutineResource(
            self.dispatch, lambda request, reason: self.on_failure(reason)
        )

    async def dispatch(self, request):
        """Call the handler of the request's method and path."""
        path_found = False
        for method, path, handler in self.routes:
            is_below = path.endswith(b"/") and request.path.startswith(path)
            if request.path != path and not is_below:
                continue
            path_found = True
            if method in (request.method, b"*"):
                return await self.call(handler, request)
        if path_found:
            return respond_error(
                request,
                405,
                Reason.WRONG_METHOD,
                "the path does not allow this method",
                kind="not_run",
                headers=[("hyssop-outcome", "not-run")],
            )
        return respond_error(request, 404, "not_found", "no such path")

    async def call(self, handler, request):
        """Call a handler and respond to the errors that it raises.

        A `ProtocolError` gives status 400. Any other `HyssopError` is
        reported to *on_failure* and gives status 503.
        """
        try:
            result = handler(request)
            if hasattr(result, "__await__"):
                await result
        except ProtocolError as error:
            respond_error(request, 400, "bad_request", str(error))
        except HyssopError as error:
            self.on_failure(failure.Failure())
            respond_error(request, 503, "unavailable", str(error))


def respond_json(request, status, value, headers=()):
    """Respond with *value* as JSON."""
    respond(request, status, msgspec.json.encode(value), headers=headers)


def respond(
    request, status, body, *, content_type="application/json", headers=()
):
    """Respond with *body*, unless the client has disconnected."""
    if request._disconnected or request.finished:
        return
    request.setResponseCode(status)
    request.setHeader(b"content-type", content_type.encode())
    for name, value in headers:
        request.setHeader(name.encode(), value.encode())
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def respond_error(request, status, code, message, *, kind="", headers=()):
    """Respond with an error object in the form of the completions API."""
    error = {"message": message, "type": kind or code, "code": code}
    respond_json(request, status, {"error": error}, headers)


def read_json(request, schema=dict):
    """Return the request body, decoded as *schema*.

    Raises:
        ProtocolError: The body is not JSON, or does not match *schema*.
    """
    try:
        return msgspec.json.decode(request.read_body(), type=schema)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the request body is invalid: {error}") from None


def header(request, name, default=""):
    """Return a request header as text, or *default* if it is missing."""
    value = request.getHeader(name.encode())
    if value is None:
        return default
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return value
