"""Responses of stand-in servers that never end."""

import enum

from twisted.internet import task

__all__ = ["Endless", "send_endless"]

WRITE_EVERY = 0.01
WRITE_BYTES = 16384
"""Seconds between two writes, and bytes of each."""

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s%s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Endless(enum.Enum):
    """What never ends in a response."""

    HEADER_LINE = enum.auto()
    HEADERS = enum.auto()
    INTERIM = enum.auto()
    LINE = enum.auto()
    CHUNKED_LINE = enum.auto()
    CHUNK_SIZE = enum.auto()


def send_endless(reactor, request, stamp, kind):
    """Write to a caller until it closes the connection.

    Args:
        reactor: The reactor.
        request: The request.
        stamp: Names and values of the headers that each response has.
        kind: The `Endless`.
    """
    transport = request.transport
    begin, more = parts_of(kind, stamp)
    transport.write(begin)
    loop = task.LoopingCall(transport.write, more)
    loop.clock = reactor
    loop.start(WRITE_EVERY)
    request.notifyFinish().addErrback(lambda _: loop.stop())


def parts_of(kind, stamp):
    """Return how a response begins and what is repeated after that."""
    stated = b"".join(b"%s: %s\r\n" % row for row in stamp.items())
    line = b"x" * WRITE_BYTES
    if kind is Endless.HEADER_LINE:
        return b"HTTP/1.1 200 OK\r\n" + stated + b"X-Long: ", line
    if kind is Endless.HEADERS:
        header = b"X-More: 1\r\n"
        count = WRITE_BYTES // len(header)
        return b"HTTP/1.1 200 OK\r\n" + stated, header * count
    if kind is Endless.INTERIM:
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        return b"", interim * (WRITE_BYTES // len(interim))
    if kind is Endless.LINE:
        return STREAM_HEAD % (stated, b"") + b"data: ", line
    begin = STREAM_HEAD % (stated, CHUNKED)
    if kind is Endless.CHUNKED_LINE:
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        return begin, chunk
    return begin, b"1" * WRITE_BYTES
