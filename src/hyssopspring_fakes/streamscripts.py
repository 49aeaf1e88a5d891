"""Raw stream responses of stand-in servers, cut at any byte."""

import enum
from dataclasses import dataclass

__all__ = ["Ending", "Framing", "StreamScript", "numbered_events"]


class Framing(enum.Enum):
    """How a response marks the end of its body."""

    LENGTH = enum.auto()
    CHUNKS = enum.auto()
    CLOSE = enum.auto()


class Ending(enum.Enum):
    """What a server does after the last byte that it sends."""

    END = enum.auto()
    CLOSE = enum.auto()
    RESET = enum.auto()
    SILENCE = enum.auto()


def numbered_events(count, *, newline=b"\n"):
    """Return the bytes of *count* events with identifiers from 0."""
    return tuple(
        newline.join((b"id: %d" % n, b"data: event %d" % n, b"", b""))
        for n in range(count)
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamScript:
    """What a stand-in sends as the response to a stream request.

    Attributes:
        events: Bytes of each event.
        framing: The `Framing`.
        cut_at: Bytes of the body that are sent, or None for all.
        ending: The `Ending`. With `END`, the framing states that the body
            is complete although it was cut.
    """

    events: tuple
    framing: Framing = Framing.CLOSE
    cut_at: int | None = None
    ending: Ending = Ending.CLOSE

    def body(self, first):
        """Return the whole body from event number *first* on."""
        return b"".join(self.events[first:])

    def response(self, headers, first):
        """Return the bytes of the response.

        Args:
            headers: Names and values of its headers.
            first: Number of the first event that is sent.
        """
        body = self.body(first)
        sent = body if self.cut_at is None else body[: self.cut_at]
        ends = self.ending is Ending.END
        stated = sent if ends else body
        head = [b"HTTP/1.1 200 OK"]
        head += [b"%s: %s" % row for row in headers.items()]
        head.append(b"Content-Type: text/event-stream")
        if self.framing is Framing.LENGTH:
            head.append(b"Content-Length: %d" % len(stated))
        elif self.framing is Framing.CHUNKS:
            head.append(b"Transfer-Encoding: chunked")
            sent = self.chunk(sent, len(stated), ends)
        return b"\r\n".join(head) + b"\r\n\r\n" + sent

    def chunk(self, sent, size, ends):
        """Return one chunk of *size* bytes, of which *sent* are sent."""
        chunk = b"%x\r\n%s" % (size, sent) if size else b""
        if len(sent) == size and size:
            chunk += b"\r\n"
        return chunk + b"0\r\n\r\n" if ends else chunk

    def finish(self, transport):
        """End the connection as the script says."""
        if self.ending is Ending.RESET:
            transport.abortConnection()
        elif self.ending is not Ending.SILENCE:
            transport.loseConnection()
