"""Stand-in of the platform's store."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from . import http


class Store:
    """Keys with revisions, watches and leases, as PROTOCOL.md tells them.

    Attributes:
        refused: IP addresses whose calls are answered 503.
        silent: Whether calls get no answer.
    """

    def __init__(self, ip):
        self.ip = ip
        self.items = {}
        self.events = []
        self.revision = 0
        self.leases = {}
        self.refused = set()
        self.silent = False
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""

    async def start(self):
        """Listen."""
        self.server, port = await http.serve(self.ip, self.serve)
        self.address = f"{self.ip}:{port}"

    def put(self, key, value, lease=0):
        """Write a key; return its revision."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        self.note(self.items[key])
        return self.revision

    def put_json(self, key, value):
        """Write a key as JSON."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def note(self, event):
        """Keep an event and wake the watches."""
        self.events.append(dict(event))
        self.wake()

    def wake(self):
        """Wake all watches that wait."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def refuse(self, *ips):
        """Turn some machines away, also the calls of theirs that wait."""
        self.refused.update(ips)
        self.wake()

    def expire(self):
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease, row in list(self.leases.items()):
            if now > row["until"]:
                self.end(lease)

    def end(self, lease):
        """End a lease and remove its keys."""
        for key in self.leases.pop(lease, {"keys": ()})["keys"]:
            if self.items.get(key, {}).get("lease") == lease:
                self.remove(key)

    async def serve(self, call):
        """Serve one call."""
        if self.silent:
            await asyncio.sleep(600)
        if call.peer in self.refused:
            await self.respond(call, 503, {})
            return
        self.expire()
        name = call.path.split("/")[2] if call.path.count("/") > 1 else ""
        handler = {
            "kv-key": self.read,
            "kv-range": self.list,
            "kv-watch": self.watch,
            "kv-txn": self.transact,
            "kv-lease": self.grant,
            "kv-keep": self.keep,
            "kv-lease-end": self.end_call,
        }.get(name)
        if handler is None:
            await self.respond(call, 404, {})
            return
        await handler(call)

    async def respond(self, call, status, value):
        """Respond with JSON and the revision of the store."""
        body = json.dumps({"store_revision": self.revision, **value})
        headers = {"Content-Type": "application/json"}
        await call.respond(status, headers, body.encode())

    async def read(self, call):
        """Serve the reading of a key."""
        item = self.items.get(parse_qs(call.query)["key"][0])
        await self.respond(call, 200 if item else 404, item or {})

    async def list(self, call):
        """Serve a listing."""
        prefix = parse_qs(call.query)["prefix"][0]
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix)
        ]
        await self.respond(call, 200, {"items": items, "has_more": False})

    async def watch(self, call):
        """Serve a watch."""
        query = parse_qs(call.query)
        prefix, after = query["prefix"][0], int(query["after"][0])
        until = time.monotonic() + int(query["wait_ms"][0]) / 1000
        while True:
            if call.peer in self.refused:
                await self.respond(call, 503, {})
                return
            found = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                await self.respond(call, 200, {"events": found})
                return
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 1.0))
            except TimeoutError:
                self.expire()

    async def transact(self, call):
        """Serve a transaction."""
        body = json.loads(call.message.body)
        for row in body.get("expected_revision", ()):
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                found = [item] if item["revision"] else []
                await self.respond(call, 412, {"items": found})
                return
        rows = body.get("set_keys", ())
        if any(
            row.get("lease", 0) and row["lease"] not in self.leases
            for row in rows
        ):
            await self.respond(call, 404, {})
            return
        for row in rows:
            lease = row.get("lease", 0)
            if lease:
                self.leases[lease]["keys"].add(row["key"])
            self.put(row["key"], base64.b64decode(row["value"]), lease)
        for key in body.get("remove", ()):
            self.remove(key)
        await self.respond(call, 200, {"revision": self.revision})

    async def grant(self, call):
        """Serve the grant of a lease."""
        ttl = json.loads(call.message.body)["ttl_ms"]
        lease = 1000 + self.revision * 100 + len(self.leases)
        self.leases[lease] = {
            "until": time.monotonic() + ttl / 1000,
            "ttl": ttl,
            "keys": set(),
        }
        await self.respond(call, 200, {"lease": lease, "ttl_ms": ttl})

    async def keep(self, call):
        """Serve the renewal of a lease."""
        row = self.leases.get(int(call.path.rsplit("/", 1)[1]))
        if row is None:
            await self.respond(call, 404, {})
            return
        row["until"] = time.monotonic() + row["ttl"] / 1000
        await self.respond(call, 200, {})

    async def end_call(self, call):
        """Serve the end of a lease."""
        self.end(int(call.path.rsplit("/", 1)[1]))
        await self.respond(call, 200, {})
