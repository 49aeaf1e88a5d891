"""A TCP proxy whose open connections can go silent."""

import asyncio
import time

__all__ = ["SilencingProxy"]

READ_BYTES = 65536


class _Pair:
    """A connection to the proxy and the one behind it.

    Attributes:
        asked: What the near side has sent last.
        passed_at: Time at which it has passed something last.
        waiting: Whether the answer to what was sent last has not begun.
        peer: IP address of the near side.
        silent: Whether nothing is passed on any more.
    """

    def __init__(self, peer):
        self.peer = peer
        self.asked = b""
        self.passed_at = time.monotonic()
        self.waiting = False
        self.silent = False


class SilencingProxy:
    """Pass connections on to an address.

    A connection that has gone silent stays open and passes nothing, in either
    direction; new connections work.
    """

    def __init__(self, target):
        self.target = target
        self.pairs = set()
        self.address = ""

    async def start(self, ip):
        """Listen at a free port of *ip*."""
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        """Pass one connection on."""
        ip, _, port = self.target.rpartition(":")
        pair = _Pair(writer.get_extra_info("peername")[0])
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self.carry(pair, reader, far_writer, near=True),
                self.carry(pair, far_reader, writer, near=False),
            )
        except asyncio.CancelledError:
            return
        finally:
            self.pairs.discard(pair)

    async def carry(self, pair, reader, writer, *, near):
        """Pass the bytes of one direction on."""
        try:
            while data := await reader.read(READ_BYTES):
                pair.waiting = near
                if near:
                    pair.asked = data
                if not pair.silent:
                    pair.passed_at = time.monotonic()
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not pair.silent:
            writer.close()

    def silence(self, wanted):
        """Let open connections go silent for good.

        Args:
            wanted: Called with each pair; returns whether it goes silent.

        Returns:
            The number of connections that went silent.
        """
        chosen = [one for one in self.pairs if wanted(one)]
        for pair in chosen:
            pair.silent = True
        return len(chosen)
