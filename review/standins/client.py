"""Stand-in of the clients: they ask the directory, then send requests."""

import asyncio
import itertools
import json
import os
import random
import time
from urllib.parse import urlencode

from .wire import (
    BrokenMessageError,
    encode_head,
    read_body,
    read_chunk,
    read_head,
)

__all__ = ["Answer", "Clients"]

CONNECT_SECONDS = 1.0
DIRECTORY_SECONDS = 1.0


class Answer:
    """What a client has received.

    Attributes:
        status: Status, or 0 if there was no head.
        headers: Headers of the answer.
        body: What has arrived of the body.
        whole: Whether the answer ended as complete.
        why: Why it is not whole.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.why = ""


class Clients:
    """Clients of one region.

    Args:
        directories: Addresses of directories, nearest first.
        host: Value of the Host header.
        region: Region of the clients.
        zone: Their data centre.
        record: Called with the fields of an event.
    """

    def __init__(self, directories, host, region, zone, record):
        self.directories = directories
        self.host = host
        self.region = region
        self.zone = zone
        self.record = record
        self.addresses = []
        self.valid_until = 0.0
        self.numbers = itertools.count(1)
        self.run_id = os.urandom(4).hex()

    def new_id(self):
        """Return the identifier of a new client attempt."""
        return f"{self.run_id}{next(self.numbers):08x}"

    async def resolve(self):
        """Return the addresses to connect to."""
        if time.monotonic() < self.valid_until:
            return self.addresses
        query = urlencode(
            {"name": self.host, "region": self.region, "zone": self.zone}
        )
        for address in self.directories[:3]:
            try:
                answer = await asyncio.wait_for(
                    self.exchange(address, "GET", f"/v1/resolve?{query}", []),
                    DIRECTORY_SECONDS,
                )
            except TimeoutError:
                continue
            if answer.whole and answer.status == 200:
                found = json.loads(answer.body)
                self.addresses = found["addresses"]
                self.valid_until = time.monotonic() + min(5, found["ttl_s"])
                break
        return self.addresses

    async def send(self, method, path, headers, body=b"", timeout=15.0):
        """Send one client attempt on a new connection; return its `Answer`."""
        addresses = await self.resolve()
        if not addresses:
            answer = Answer()
            answer.why = "no address"
            return answer
        answer = Answer()
        work = self.exchange(
            random.choice(addresses), method, path, headers, body, answer
        )
        try:
            return await asyncio.wait_for(work, timeout)
        except TimeoutError:
            answer.why = "timeout"
            return answer

    async def exchange(
        self, address, method, path, headers, body=b"", answer=None
    ):
        """Send one request to an address; return the `Answer`."""
        answer = answer or Answer()
        ip, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port)), CONNECT_SECONDS
            )
        except (OSError, TimeoutError):
            answer.why = "no connection"
            return answer
        rows = [("Host", self.host), *headers]
        if body:
            rows.append(("Content-Length", len(body)))
        try:
            writer.write(encode_head(f"{method} {path} HTTP/1.1", rows) + body)
            await writer.drain()
            await self.receive(reader, answer)
        except (BrokenMessageError, OSError) as problem:
            answer.why = str(problem) or repr(problem)
        finally:
            writer.close()
        return answer

    async def receive(self, reader, answer):
        """Read one answer."""
        head = await read_head(reader)
        if head is None:
            answer.why = "closed without an answer"
            return
        answer.status = int(head.start[1])
        answer.headers = head.headers
        if head.get("transfer-encoding").lower() == "chunked":
            while True:
                part = await read_chunk(reader)
                if not part:
                    break
                answer.body += part
        else:
            answer.body = await read_body(reader, head)
        answer.whole = True
