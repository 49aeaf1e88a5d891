"""Callers whose connection a test drives byte by byte."""

import contextlib
import socket

from twisted.internet import reactor, task

from hyssopspring.core.addresses import split_address


def pause(seconds):
    """Return a deferred that fires after *seconds*."""
    return task.deferLater(reactor, seconds)


class RawCaller:
    """A caller on one connection, whose bytes a test sends by itself.

    Its socket does not depend on the event loop, so that it sends and connects
    also while a host in the same process is suspended.

    Args:
        address: Address of the host.
    """

    def __init__(self, address):
        self.address = split_address(address)
        self.socket = socket.socket()
        self.socket.setblocking(False)

    async def connect(self):
        """Connect; the host accepts the connection soon after."""
        self.begin_connect()
        await pause(0.02)

    def begin_connect(self):
        """Connect on loopback; the host need not accept for that."""
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(self.address)

    def send(self, path, *, body=b"", announced=0, headers=""):
        """Send a request, or the part of it that *body* leaves incomplete."""
        head = (
            f"POST {path} HTTP/1.1\r\nhost: a.example\r\n"
            f"x-request-attempt-id: r1\r\n{headers}"
            f"content-length: {announced or len(body)}\r\n\r\n"
        )
        self.socket.send(head.encode() + body)

    async def receive(self, seconds, *, most=64 * 1024 * 1024):
        """Return what comes until the close, in *seconds*, up to *most*."""
        received = b""
        end = reactor.seconds() + seconds
        while reactor.seconds() < end and len(received) < most:
            try:
                data = self.socket.recv(65536)
            except BlockingIOError:
                await pause(0.01)
                continue
            except ConnectionResetError:
                break
            if not data:
                break
            received += data
        return received
