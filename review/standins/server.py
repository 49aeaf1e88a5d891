"""Stand-in of a backend server that registers itself in the store."""

import asyncio
import json
import time

from .wire import (
    LAST_CHUNK,
    BrokenMessageError,
    encode_head,
    read_body,
    read_head,
)

__all__ = ["Server"]

IDLE_SECONDS = 5


class Server:
    """One backend server, through all of its starts.

    Args:
        store: The `Store`.
        record: Called with the fields of an event.
        ip: Address to listen at.
        id: Its identifier, which stays the same at a restart.
        service: Its service.
        zone: Its data centre.
        version: Version of its software.
        slots: Requests that it runs concurrently.

    Attributes:
        answer: Coroutine function that is called with this server, the
            request's `Head`, its body and the writer, and answers.
        heartbeat: Seconds between two writes of its entry.
        registering: Whether it writes its entry.
        cold_seconds: How long it is cold after a start during traffic.
        cold_until: Time until which it is cold.
    """

    def __init__(self, store, record, ip, id, service, zone, version, slots):
        self.store = store
        self.record = record
        self.ip = ip
        self.id = id
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.written = {}
        self.heartbeat = 1.2
        self.registering = True
        self.cold_seconds = 0.0
        self.cold_until = 0.0
        self.answer = None
        self.listener = None
        self.writers = set()
        self.tasks = set()
        self.running = 0

    @property
    def address(self):
        """Its ``ip:port``."""
        return f"{self.ip}:{self.port}"

    @property
    def up(self):
        """Whether it is up."""
        return self.listener is not None

    async def start(self):
        """Start, at the port it had before if it is a restart."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.cold_until = time.monotonic() + self.cold_seconds
        self.listener = await asyncio.start_server(
            self.serve, self.ip, self.port
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        self.record(event="server up", server=self.id, version=self.version)
        self.spawn(self.beat())

    @property
    def cold_left_ms(self):
        """Milliseconds for which it stays cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def spawn(self, work):
        """Run *work* until it ends or the server crashes."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def beat(self):
        """Write its entry at once and then with each heartbeat."""
        lease = 0
        while True:
            if self.store.down:
                # The call gets no answer; the next heartbeat tries again.
                await asyncio.sleep(0.1)
                continue
            if self.registering:
                if lease not in self.store.leases:
                    ttl = int(self.heartbeat * 3000)
                    lease = self.store.grant({"ttl_ms": ttl})["lease"]
                _, keys, seconds = self.store.leases[lease]
                self.store.leases[lease] = (
                    time.monotonic() + seconds,
                    keys,
                    seconds,
                )
                keys.add(f"servers/{self.id}")
                self.sequence += 1
                await self.write_entry(lease)
            await asyncio.sleep(self.heartbeat)

    async def write_entry(self, lease):
        """Write its entry, if more than the count has changed."""
        entry = self.entry()
        facts = {**entry, "seq": 0}
        key = f"servers/{self.id}"
        if facts != self.written or key not in self.store.items:
            self.written = facts
            await self.store.put(key, json.dumps(entry).encode(), lease)

    def entry(self):
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": self.cold_left_ms,
            "seq": self.sequence,
            "born": self.born,
        }

    def crash(self):
        """End at once: connections break, the address refuses new ones."""
        self.record(event="server down", server=self.id, version=self.version)
        self.listener.close()
        self.listener = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.running = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                await self.handle(head, body, writer)
                await writer.drain()
        except (BrokenMessageError, OSError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, body, writer):
        """Answer one request."""
        path = head.start[1].partition("?")[0]
        if path == "/v1/report":
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": self.sequence,
                "queued": 0,
                "active": self.running,
                "kv_used": 0,
                "kv_total": 100000,
                "handles": 0,
                "born": self.born,
            }
            self.send(writer, 200, [], json.dumps(report).encode())
            return
        if path == "/health":
            headers = [
                ("X-Instance-Id", self.id),
                ("X-Cold-Ms", self.cold_left_ms),
            ]
            self.send(writer, 200, headers, b"{}")
            return
        expected = head.get("x-expect-instance")
        if expected and expected != self.id:
            self.send(writer, 421, [("X-Instance-Id", self.id)], b"")
            return
        self.running += 1
        try:
            await self.answer(self, head, body, writer)
        finally:
            self.running -= 1

    def headers(self, head, run):
        """Return the headers of an answer to a request that ran."""
        return [
            ("X-Request-Attempt-Id", head.get("x-request-attempt-id")),
            ("X-Response-Stamp", f"{self.id}.{self.born}.{run}"),
            ("Keep-Alive", f"timeout={IDLE_SECONDS}"),
        ]

    def send(self, writer, status, headers, body):
        """Send a whole answer."""
        rows = [*headers, ("Content-Length", len(body))]
        writer.write(encode_head(f"HTTP/1.1 {status} Status", rows) + body)

    def begin_stream(self, writer, headers):
        """Send the head of a stream of events."""
        rows = [
            *headers,
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(encode_head("HTTP/1.1 200 OK", rows))

    async def send_event(self, writer, number, data):
        """Send one event of a stream."""
        event = f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()

    def end_stream(self, writer):
        """End a stream that is complete."""
        writer.write(LAST_CHUNK)
