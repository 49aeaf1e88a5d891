"""Minimal HTTP/1.1 for the stand-ins: heads, bodies and chunks."""

import asyncio

__all__ = [
    "BrokenMessageError",
    "Head",
    "encode_head",
    "read_body",
    "read_chunk",
    "read_head",
]

LAST_CHUNK = b"0\r\n\r\n"


class BrokenMessageError(Exception):
    """The other side ended or broke its message."""


class Head:
    """Start line and headers of a message.

    Attributes:
        start: Words of the start line.
        headers: Value by name in lower case.
    """

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=""):
        """Return the value of a header."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the next `Head`, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as problem:
        if problem.partial.strip():
            raise BrokenMessageError("head cut") from None
        return None
    except OSError as problem:
        raise BrokenMessageError(repr(problem)) from None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), headers)


async def read_chunk(reader):
    """Return the next chunk of a body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, OSError, ValueError) as problem:
        raise BrokenMessageError(repr(problem)) from None
    return data[:-2]


async def read_body(reader, head):
    """Return the whole body of a message with a length or in chunks."""
    if head.get("transfer-encoding").lower() == "chunked":
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                return b"".join(parts)
            parts.append(part)
    try:
        return await reader.readexactly(int(head.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError) as problem:
        raise BrokenMessageError(repr(problem)) from None


def encode_head(start, headers):
    """Return the bytes of a head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")
