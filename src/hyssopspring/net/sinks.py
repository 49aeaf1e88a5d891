"""Writing one answer over HTTP, whole or in parts."""

from ..core.sentinels import NOTHING

__all__ = ["AnswerSink", "first_value"]


class AnswerSink:
    """Write one answer.

    Args:
        request: The request of `twisted.web` that is answered.
        headers: Names and values that each answer carries.

    Attributes:
        started: Whether the head was sent.
        finished: Whether the answer has ended, or was cut.
        bytes: Bytes of the body so far.
    """

    def __init__(self, request, headers=()):
        self.request = request
        self.headers = headers
        self.started = False
        self.finished = False
        self.producer = NOTHING
        self.bytes = 0

    @property
    def disconnected(self):
        """Whether the other side has closed the connection."""
        return self.request._disconnected

    def start(self, status, headers, length=NOTHING):
        """Send the head of an answer.

        Args:
            status: HTTP status.
            headers: Names and values, as bytes.
            length: Bytes of the whole body, if they are known.
        """
        self.started = True
        if self.disconnected:
            return
        self.request.setResponseCode(status)
        sent = (*self.headers, *headers)
        # The web server's own values must not stand beside these.
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
        self.bytes += len(data)
        if not self.disconnected:
            self.request.write(data)

    def set_producer(self, producer):
        """Let a slow reader pause *producer*.

        Without it the answer to a reader that stopped reading would pile
        up in memory until the host has none left.
        """
        self.clear_producer()
        if not self.disconnected:
            self.producer = producer
            self.request.registerProducer(producer, True)

    def clear_producer(self):
        """Let go of the producer."""
        if self.producer is not NOTHING and not self.disconnected:
            self.request.unregisterProducer()
        self.producer = NOTHING

    def finish(self):
        """End a whole answer."""
        self.clear_producer()
        self.finished = True
        if not self.disconnected:
            self.request.finish()

    def send_whole(self, status, headers, body):
        """Send a whole answer."""
        self.start(status, headers, len(body))
        self.write(body)
        self.finish()

    def abort(self):
        """Cut an answer that is not whole, so that it shows.

        A proper end would pass a part off as the whole.
        """
        self.clear_producer()
        self.finished = True
        if not self.disconnected:
            self.request.loseConnection()


def first_value(headers, name):
    """Return the first value of a header, or empty bytes."""
    values = headers.getRawHeaders(name)
    return values[0] if values else b""
