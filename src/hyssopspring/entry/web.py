"""HTTP service on `twisted.web`: listeners, requests and responses."""

import msgspec
from twisted.web import http

from ..core.sentinels import NOTHING
from ..net.channels import ClosingRequest, ClosingSite
from .stopping import STOPPING_RETRY_SECONDS

__all__ = ["WebFactory", "WebRequest", "respond_refusal"]

ABORT_AFTER_SECONDS = 2.0
"""Seconds after an idle timeout within which a connection has to close before
it is aborted."""


STOPPING_HEADERS = ((b"retry-after", b"%.3f" % STOPPING_RETRY_SECONDS),)
"""Headers of the response of a stopping host to a request that it has not read
completely."""


class WebRequest(ClosingRequest):
    """Request with a bounded body, which is handled once it is complete.

    Attributes:
        too_long: Whether its body exceeds the maximum.
        tracked: Its `TrackedRequest`, or `NOTHING` while it is being read.
    """

    _parsePOSTFormSubmission = False
    too_long = False
    tracked = NOTHING

    def gotLength(self, length):
        """Record a body whose announced length exceeds the maximum."""
        if length is not None and length > self.channel.site.max_body_bytes():
            self.too_long = True
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Drop data beyond the maximum body size to bound memory."""
        if self.too_long:
            return
        if (
            self.content.tell() + len(data)
            > self.channel.site.max_body_bytes()
        ):
            self.too_long = True
            return
        super().handleContentChunk(data)

    def process(self):
        """Pass the complete request to the handler of the listener."""
        site = self.channel.site
        self.tracked = site.in_progress.add(self)
        if self.too_long:
            self.close_after()
            respond_refusal(self, 413, "the request body is too long")
            return
        site.handle(self)

    @property
    def peer_ip(self):
        """IP address of the other side."""
        return self.getClientAddress().host


class WebFactory(ClosingSite, http.HTTPFactory):
    """Serve one listener.

    Args:
        handle: Called with each `WebRequest`.
        reactor: The reactor.
        in_progress: The `InProgress` that tracks the requests.
        max_idle_seconds: Returns the maximum number of seconds for which a
            connection may be idle.
        max_body_bytes: Returns the maximum size of a body in bytes.
        stopping_headers: Headers of the refusal of a request that is not read
            completely as the host stops.
    """

    noisy = False

    def __init__(
        self,
        handle,
        reactor,
        in_progress,
        *,
        max_idle_seconds,
        max_body_bytes,
        stopping_headers=STOPPING_HEADERS,
    ):
        super().__init__(reactor=reactor)
        self.handle = handle
        self.in_progress = in_progress
        self.max_idle_seconds = max_idle_seconds
        self.max_body_bytes = max_body_bytes
        self.stopping_headers = stopping_headers

    def buildProtocol(self, addr):
        """Return the protocol of a new connection."""
        self.timeOut = self.max_idle_seconds()
        channel = super().buildProtocol(addr)
        channel.requestFactory = WebRequest
        channel.abortTimeout = ABORT_AFTER_SECONDS
        return channel

    def incomplete_refusal(self):
        """Return the response to a request that is not read completely."""
        body = msgspec.json.encode({"error": "this host is stopping"})
        headers = (
            *self.stopping_headers,
            (b"connection", b"close"),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        )
        lines = [b"%s: %s\r\n" % row for row in headers]
        return b"HTTP/1.1 503 Service Unavailable\r\n%s\r\n%s" % (
            b"".join(lines),
            body,
        )

    def startFactory(self):
        """Open no access log; the event log contains the relevant events."""

    def stopFactory(self):
        """Do nothing, since there is no access log."""

    def log(self, request):
        """Write no access log."""


def respond_refusal(request, status, text, headers=()):
    """Respond with a status of this host and a text that states the reason."""
    if request._disconnected or request.finished:
        return
    body = msgspec.json.encode({"error": text})
    request.setResponseCode(status)
    for name, value in headers:
        request.responseHeaders.setRawHeaders(name, [value])
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()
