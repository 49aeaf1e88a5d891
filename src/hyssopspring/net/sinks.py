"""Writing one HTTP response, at once or in parts."""

from ..core.sentinels import NOTHING

__all__ = ["AnswerSink", "first_value"]


class AnswerSink:
    """Write the response to one request.

    Args:
        request: The `twisted.web` request.
        headers: Names and values of headers that each response has.

    Attributes:
        head: Status, headers and length that the response will have, or
            `NOTHING`.
        started: Whether the head was sent, with the first part of the body or
            the end.
        finished: Whether the response was completed or aborted, or is left to
            others.
        bytes: Bytes of the body that were written so far.
    """

    def __init__(self, request, headers=()):
        self.request = request
        self.headers = headers
        self.head = NOTHING
        self.started = False
        self.finished = False
        self.producer = NOTHING
        self.bytes = 0

    @property
    def disconnected(self):
        """Whether the client has closed the connection."""
        return self.request._disconnected

    def start(self, status, headers, length=NOTHING):
        """Set the head of the response, which is sent with its first data.

        Until then another head may replace it, or a refusal.

        Args:
            status: HTTP status.
            headers: Names and values, as bytes.
            length: Length of the whole body in bytes, or `NOTHING`.
        """
        self.head = (status, headers, length)

    def send_head(self):
        """Let the request send the head with what is written next."""
        if self.started:
            return
        self.started = True
        if self.disconnected:
            return
        status, headers, length = self.head
        self.request.setResponseCode(status)
        sent = (*self.headers, *headers)
        # Replace the values that twisted.web has set for these headers.
        for name, _ in sent:
            self.request.responseHeaders.removeHeader(name)
        for name, value in sent:
            self.request.responseHeaders.addRawHeader(name, value)
        if length is not NOTHING:
            self.request.responseHeaders.setRawHeaders(
                b"content-length", [b"%d" % length]
            )

    def write(self, data):
        """Send a part of the body."""
        self.send_head()
        self.bytes += len(data)
        if not self.disconnected:
            self.request.write(data)

    def set_producer(self, producer):
        """Pause *producer* while the client reads slowly.

        Without backpressure, the response to a client that has stopped
        reading would accumulate until the memory of the host is exhausted.
        """
        self.clear_producer()
        if not self.disconnected:
            self.producer = producer
            self.request.registerProducer(producer, True)

    def clear_producer(self):
        """Unregister the producer."""
        if self.producer is not NOTHING and not self.disconnected:
            self.request.unregisterProducer()
        self.producer = NOTHING

    def finish(self):
        """End a complete response."""
        self.send_head()
        self.clear_producer()
        self.finished = True
        if not self.disconnected:
            self.request.finish()

    def release(self):
        """Leave the response, of which nothing was sent, to the caller."""
        self.clear_producer()
        self.finished = True

    def send_whole(self, status, headers, body):
        """Send a complete response."""
        self.start(status, headers, len(body))
        self.write(body)
        self.finish()

    def abort(self):
        """Abort an incomplete response by closing the connection.

        If it were ended properly, the client would take a part of the
        response for the whole. Where the close of the connection is what ends
        a body, only a reset shows that it is incomplete.
        """
        self.clear_producer()
        self.finished = True
        if self.disconnected:
            return
        if self.is_ended_by_close():
            self.request.channel.transport.abortConnection()
        else:
            self.request.loseConnection()

    def is_ended_by_close(self):
        """Return whether a body was begun without chunks or a length."""
        headers = self.request.responseHeaders
        return (
            bool(self.request.startedWriting)
            and not self.request.chunked
            and not headers.hasHeader(b"content-length")
        )


def first_value(headers, name):
    """Return the first value of a header, or empty bytes."""
    values = headers.getRawHeaders(name)
    return values[0] if values else b""
