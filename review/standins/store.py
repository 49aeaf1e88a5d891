"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .wire import BrokenMessageError, encode_head, read_body, read_head

__all__ = ["Store"]


class Store:
    """Keys with revisions, watches and leases.

    Attributes:
        down: Whether connections are reset.
        stale_seconds: Age of what reads with `allow_stale` return.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 0
        self.leases = {}
        self.next_lease = 1000
        self.down = False
        self.stale_seconds = 0.0
        self.noted_at = []
        self.writers = set()
        self.changed = asyncio.Condition()
        self.server = None
        self.address = ""

    async def start(self, ip):
        """Listen at a free port of *ip*."""
        self.server = await asyncio.start_server(self.serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        asyncio.ensure_future(self.expire())

    def go_down(self):
        """Reset all connections, and new ones until `go_up`."""
        self.down = True
        for writer in list(self.writers):
            writer.transport.abort()

    def go_up(self):
        """Answer calls again; leases have paused meanwhile."""
        self.down = False

    async def expire(self):
        """Remove the keys of leases that have run out."""
        while True:
            await asyncio.sleep(0.1)
            if self.down:
                for lease, (end, keys, seconds) in self.leases.items():
                    self.leases[lease] = (end + 0.1, keys, seconds)
                continue
            now = time.monotonic()
            ended = [one for one, row in self.leases.items() if row[0] <= now]
            for one in ended:
                await self.end_lease(one)

    async def end_lease(self, lease):
        """End a lease and remove its keys."""
        _, keys, _ = self.leases.pop(lease, (0, set(), 0))
        for key in keys:
            if key in self.items and self.items[key]["lease"] == lease:
                await self.remove(key)

    async def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        await self.note(item)

    async def put_json(self, key, value):
        """Write a key as JSON."""
        await self.put(key, json.dumps(value).encode())

    async def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        await self.note(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    async def note(self, event):
        """Keep an event and wake the watches."""
        self.history.append(event)
        self.noted_at.append(time.monotonic())
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                status, value = await self.answer(head, body)
                self.send(writer, status, value)
                await writer.drain()
        except (BrokenMessageError, OSError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def send(self, writer, status, value):
        """Send one answer."""
        data = {"store_revision": self.revision, **value}
        body = json.dumps(data).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", len(body)),
        ]
        writer.write(encode_head(f"HTTP/1.1 {status} Status", headers) + body)

    async def answer(self, head, body):
        """Return status and value of the answer to a call."""
        method, target = head.start[:2]
        url = urlsplit(target)
        query = {name: rows[0] for name, rows in parse_qs(url.query).items()}
        name = url.path.removeprefix("/v1/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if name == "kv-range":
            return 200, self.range(query)
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return await self.transact(json.loads(body))
        if name == "kv-lease":
            return 200, self.grant(json.loads(body))
        lease = int(name.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if name.startswith("kv-keep/"):
            _, keys, seconds = self.leases[lease]
            self.leases[lease] = (time.monotonic() + seconds, keys, seconds)
            return 200, {"ttl_ms": int(seconds * 1000)}
        await self.end_lease(lease)
        return 200, {}

    def range(self, query):
        """Return the items under a prefix."""
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return {"items": items[:500], "has_more": len(items) > 500}

    async def watch(self, query):
        """Return the events after a revision, as soon as there are some."""
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        newest = time.monotonic()
        if query.get("allow_stale") == "1":
            newest -= self.stale_seconds
        while True:
            if query.get("allow_stale") != "1":
                newest = time.monotonic()
            events = [
                event
                for event, at in zip(self.history, self.noted_at, strict=True)
                if at <= newest
                and event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue

    async def transact(self, body):
        """Apply a conditional write."""
        expected = body.get("expected_revision", [])
        for row in expected:
            known = self.items.get(row["key"], {"revision": 0})
            if known["revision"] != row["revision"]:
                found = [self.items.get(one["key"]) for one in expected]
                return 412, {"items": [one for one in found if one]}
        rows = body.get("set_keys", [])
        if any(row.get("lease", 0) not in {0, *self.leases} for row in rows):
            return 404, {}
        for row in rows:
            lease = row.get("lease", 0)
            if lease:
                self.leases[lease][1].add(row["key"])
            await self.put(row["key"], base64.b64decode(row["value"]), lease)
        for key in body.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self.revision}

    def grant(self, body):
        """Grant a lease."""
        self.next_lease += 1
        seconds = body["ttl_ms"] / 1000
        self.leases[self.next_lease] = (
            time.monotonic() + seconds,
            set(),
            seconds,
        )
        return {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
