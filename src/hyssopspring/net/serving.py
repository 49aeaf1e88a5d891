"""HTTP server helpers on `twisted.web`: limits, JSON, coroutines."""

import msgspec
from twisted.internet import defer
from twisted.python import failure
from twisted.web import resource, server

from ..core.exceptions import HyssopError, ProtocolError
from ..core.outcomes import Reason

MAX_REQUEST_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_SECONDS = 30.0


class LimitedRequest(server.Request):
    """A request whose body may not grow beyond the site's limit.

    Without the limit one caller's endless body fills the memory that all
    other requests of the host need.
    """

    refused = False

    def gotLength(self, length):
        """Refuse a body whose announced length is too great."""
        if length is not None and length > self.channel.site.max_request_bytes:
            self.refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Refuse a body of unknown length once it is too long."""
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
        """Serve the request unless it was refused on the way."""
        if not self.refused:
            super().requestReceived(command, path, version)

    def refuse(self):
        """Answer that the body is too long, and hang up."""
        if self.refused:
            return
        self.refused = True
        body = self.channel.site.too_large_body
        head = (
            b"HTTP/1.1 413 Payload Too Large\r\n"
            b"Content-Type: application/json\r\n"
            b"Hyssop-Outcome: not-run\r\n"
            b"Connection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        self.channel.transport.write(head + body)
        self.channel.loseConnection()


class LimitedSite(server.Site):
    """A site with limits on body size and on time without data."""

    def __init__(
        self, root, *, max_request_bytes=MAX_REQUEST_BYTES, reactor=None
    ):
        super().__init__(root, timeout=IDLE_TIMEOUT_SECONDS, reactor=reactor)
        self.requestFactory = LimitedRequest
        self.max_request_bytes = max_request_bytes
        self.too_large_body = msgspec.json.encode(
            {
                "error": {
                    "message": "the body is too long",
                    "type": "not_run",
                    "code": Reason.BODY_TOO_LARGE,
                }
            }
        )
        self.displayTracebacks = False

    def log(self, request):
        """Write no access log; the time line holds what matters."""


class CoroutineResource(resource.Resource):
    """A leaf that answers by a coroutine.

    Args:
        handle: Coroutine function that takes the request and answers it.
        on_failure: Called with request and failure if the handler raised.
    """

    isLeaf = True

    def __init__(self, handle, on_failure):
        super().__init__()
        self.handle = handle
        self.on_failure = on_failure

    def render(self, request):
        """Start the coroutine."""
        deferred = defer.ensureDeferred(self.handle(request))
        deferred.addErrback(self.handle_failure, request)
        return server.NOT_DONE_YET

    def handle_failure(self, reason, request):
        """Answer a request whose handler failed, if it still can be."""
        self.on_failure(request, reason)
        if request.finished or request._disconnected:
            return
        if request.startedWriting:
            request.loseConnection()
            return
        respond_error(request, 500, "internal_error", "internal error")


class Router:
    """Map method and path to handlers.

    Args:
        on_failure: Called with the failure of a handler that raised.
    """

    def __init__(self, on_failure):
        self.on_failure = on_failure
        self.routes = []

    def add(self, method, path, handler):
        """Add a handler; a *path* that ends in ``/`` takes all below."""
        self.routes.append((method.encode(), path.encode(), handler))

    def resource(self):
        """Return the resource that serves all routes."""
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
                "the method is not allowed",
                kind="not_run",
                headers=[("hyssop-outcome", "not-run")],
            )
        return respond_error(request, 404, "not_found", "no such path")

    async def call(self, handler, request):
        """Call one handler and turn its typed errors into answers."""
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
    """Answer with *value* as JSON."""
    respond(request, status, msgspec.json.encode(value), headers=headers)


def respond(
    request, status, body, *, content_type="application/json", headers=()
):
    """Answer with *body*, unless the other side has gone."""
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
    """Answer with an error in the chat-completions convention."""
    error = {"message": message, "type": kind or code, "code": code}
    respond_json(request, status, {"error": error}, headers)


def read_json(request, schema=dict):
    """Return the request's body as *schema*.

    Raises:
        ProtocolError: The body is no JSON, or not of this form.
    """
    request.content.seek(0)
    try:
        return msgspec.json.decode(request.content.read(), type=schema)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the body is not as expected: {error}") from None


def header(request, name, default=""):
    """Return a header as text."""
    value = request.getHeader(name.encode())
    if value is None:
        return default
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return value
