"""HTTP service on `twisted.web`: listeners, requests and their answers."""

import weakref

import msgspec
from twisted.web import http

__all__ = ["WebFactory", "WebRequest", "respond_refusal"]

ABORT_AFTER = 2.0
"""Seconds after an idle timeout in which a connection must close."""


class WebRequest(http.Request):
    """A request whose body is bounded and handed over when it is whole."""

    _parsePOSTFormSubmission = False
    too_long = False

    def gotLength(self, length):
        """Note a body whose announced length is too great."""
        if length is not None and length > self.channel.site.longest_body():
            self.too_long = True
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Drop what exceeds the longest body, so that memory is bounded."""
        if self.too_long:
            return
        if self.content.tell() + len(data) > self.channel.site.longest_body():
            self.too_long = True
            return
        super().handleContentChunk(data)

    def process(self):
        """Hand the whole request to the site's handler."""
        site = self.channel.site
        if site.closing:
            self.close_after()
        if self.too_long:
            self.close_after()
            respond_refusal(self, 413, "the body is too long")
            return
        site.handle(self)

    def close_after(self):
        """Close the connection after this answer, and say so."""
        self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self.channel.persistent = False

    @property
    def peer_ip(self):
        """IP address of the other side."""
        return self.getClientAddress().host


class WebFactory(http.HTTPFactory):
    """Serve one listener.

    Args:
        handle: Called with each `WebRequest`.
        reactor: The reactor.
        idle_seconds: Called for the longest time without a request.
        longest_body: Called for the bytes of the longest body.
    """

    noisy = False

    def __init__(self, handle, reactor, *, idle_seconds, longest_body):
        super().__init__(reactor=reactor)
        self.handle = handle
        self.idle_seconds = idle_seconds
        self.longest_body = longest_body
        self.closing = False
        self.channels = weakref.WeakSet()

    def buildProtocol(self, addr):
        """Return the protocol of a new connection."""
        self.timeOut = self.idle_seconds()
        wrapper = super().buildProtocol(addr)
        wrapper.requestFactory = WebRequest
        wrapper.site = self
        wrapper._channel.abortTimeout = ABORT_AFTER
        self.channels.add(wrapper._channel)
        return wrapper

    def startFactory(self):
        """Write no access log; the time line holds what matters."""

    def stopFactory(self):
        """Do nothing; there is no access log."""

    def log(self, request):
        """Write no access log."""

    def close_idle(self):
        """Close the connections that carry no request now."""
        for channel in list(self.channels):
            if not channel.requests and channel.transport is not None:
                channel.transport.loseConnection()

    def close_all(self):
        """Close all connections."""
        for channel in list(self.channels):
            if channel.transport is not None:
                channel.transport.abortConnection()


def respond_refusal(request, status, text, headers=()):
    """Answer with a status of our own and a line that says why."""
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
