"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The words of its first line.
        headers: Values by lower-case name; the last one of each.
        body: The body.
        complete: Whether the body is whole.
    """

    start: list
    headers: dict
    body: bytes = b""
    complete: bool = True

    @property
    def status(self):
        """Status of a response."""
        return int(self.start[1])


@dataclass
class Call:
    """A request that a stand-in serves.

    Attributes:
        message: The `Message`.
        peer: IP address of the sender.
        reader: Stream from the sender.
        writer: Stream to the sender.
        keep: Whether the connection stays open after the response.
    """

    message: Message
    peer: str
    reader: object
    writer: object
    keep: bool = True
    sent: bool = field(default=False)

    @property
    def path(self):
        """Path without the query."""
        return self.message.start[1].partition("?")[0]

    @property
    def query(self):
        """Query as text."""
        return self.message.start[1].partition("?")[2]

    async def respond(self, status, headers, body=b""):
        """Send a whole response with a length."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        self.sent = True
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def begin_chunks(self, status, headers):
        """Send the head of a response in chunks."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        self.sent = True
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def chunk(self, data):
        """Send one chunk; an empty one ends the body."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    def reset(self):
        """Reset the connection."""
        handle = self.writer.get_extra_info("socket")
        handle.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()
        self.keep = False


async def read_message(reader):
    """Read one message; return None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_body(reader, message, *, is_response=False, on_part=None):
    """Read the body of a message, and note whether it is whole."""
    parts = []

    def add(data):
        parts.append(data)
        if on_part is not None:
            on_part(data)

    try:
        if message.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size:
                    add(await reader.readexactly(size))
                await reader.readline()
                if not size:
                    break
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            if size:
                add(await reader.readexactly(size))
        elif is_response:
            while data := await reader.read(65536):
                add(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    message.body = b"".join(parts)


async def serve(address, handle):
    """Serve calls at a free port of an IP address; return server and port."""

    async def connected(reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await read_body(reader, message)
                if not message.complete:
                    break
                call = Call(message, peer, reader, writer)
                await handle(call)
                if not call.keep:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(
        connected, address, 0, limit=MAX_HEAD_BYTES
    )
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """A connection of a client, for one request after the other."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, source=None):
        """Open a connection to ``ip:port``."""
        ip, port = address.rsplit(":", 1)
        local = None if source is None else (source, 0)
        reader, writer = await asyncio.open_connection(
            ip, int(port), limit=MAX_HEAD_BYTES, local_addr=local
        )
        return cls(reader, writer)

    def send(self, method, uri, headers, body=b""):
        """Send a request."""
        lines = [f"{method} {uri} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def receive(self, on_part=None):
        """Return the next response, or None if there is none."""
        message = await read_message(self.reader)
        if message is not None:
            await read_body(
                self.reader, message, is_response=True, on_part=on_part
            )
        return message

    def close(self):
        """Close the connection."""
        self.writer.close()
