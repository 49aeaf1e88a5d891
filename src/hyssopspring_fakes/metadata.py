"""Stand-in of the platform's metadata store, for tests on loopback."""

from base64 import b64decode, b64encode
from copy import deepcopy
from dataclasses import dataclass

import msgspec
from twisted.internet import defer

from .listening import listen_http

__all__ = ["FakeMetadata"]


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a copy of the store holds.

    Attributes:
        items: Item by key.
        history: Events that watches may ask for.
        revision: Newest revision.
        leases: Keys by lease.
    """

    items: dict
    history: list
    revision: int
    leases: dict


class FakeMetadata:
    """Keys with revisions, watches and leases, over HTTP.

    Args:
        reactor: The reactor.
        address: IP address to listen at.

    Attributes:
        down: Whether calls get no answer.
        deaf: Whether watches hear nothing of changes.
        lag: Seconds by which reads with `allow_stale` lag behind.
        refused: IP addresses whose calls are answered 503.
        era: Number of times that the store came back from a copy.
        wanted: Value by key as last written, whatever a restore has lost.
    """

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 0
        self.leases = {}
        self.waiting = []
        self.down = False
        self.deaf = False
        self.forgotten = 0
        self.lag = 0.0
        self.noted_at = {}
        self.refused = set()
        self.era = 0
        self.wanted = {}
        self.port = None

    def start(self):
        """Listen; return ``ip:port``."""
        self.port = listen_http(self.reactor, self.address, self.answer_call)
        return f"{self.address}:{self.port.getHost().port}"

    def answer_call(self, request):
        """Answer a call, now or when there is something to tell."""
        defer.ensureDeferred(self.serve(request))

    def put(self, key, value, lease=0):
        """Write a key, as the operator or a server would."""
        self.wanted[key] = value
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.note(item)

    def put_json(self, key, value):
        """Write a key as JSON."""
        self.put(key, msgspec.json.encode(value))

    def get_json(self, key):
        """Return what was last written as JSON, also if a restore lost it."""
        return msgspec.json.decode(self.wanted[key])

    def remove(self, key):
        """Remove a key."""
        self.wanted.pop(key, None)
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        """Keep an event and tell those who wait."""
        self.history.append(event)
        self.noted_at[event["revision"]] = self.reactor.seconds()
        if not self.deaf:
            self.wake_all()

    async def serve(self, request):
        """Answer one call."""
        if self.down:
            return
        if request.getClientAddress().host in self.refused:
            self.respond(request, 503, {})
            return
        name = request.path.rsplit(b"/", 1)[-1]
        if name == b"kv-range":
            self.list(request)
        elif name == b"kv-watch":
            await self.watch(request)
        elif name == b"kv-txn":
            self.transact(request)
        elif name == b"kv-lease":
            self.grant(request)
        elif request.path.startswith(b"/v1/kv-keep/"):
            self.respond(request, 200 if int(name) in self.leases else 404, {})
        else:
            self.end(request, int(name))

    def list(self, request):
        """Answer a listing."""
        prefix = request.args[b"prefix"][0].decode()
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix)
        ]
        answer = {"items": items, "has_more": False}
        self.respond(request, 200, answer)

    async def watch(self, request):
        """Answer a watch, once there is an event or its time is over."""
        prefix = request.args[b"prefix"][0].decode()
        after = int(request.args[b"after"][0])
        seconds = int(request.args[b"wait_ms"][0]) / 1000
        until = self.reactor.seconds() + seconds
        while True:
            if after < self.forgotten or after > self.revision:
                self.respond(request, 410, {})
                return
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            if request.getClientAddress().host in self.refused:
                self.respond(request, 503, {})
                return
            left = until - self.reactor.seconds()
            if self.deaf:
                events = []
            if b"allow_stale" in request.args:
                events = [one for one in events if self.is_replicated(one)]
            if events or left <= 0 or request._disconnected:
                self.respond(request, 200, {"events": events})
                return
            done = defer.Deferred()
            timer = self.reactor.callLater(left, self.wake, done)
            self.waiting.append(done)
            await done
            if timer.active():
                timer.cancel()

    def is_replicated(self, event):
        """Return whether reads with `allow_stale` show an event by now."""
        age = self.reactor.seconds() - self.noted_at[event["revision"]]
        return age >= self.lag

    def forget(self):
        """Drop the history, and cut the watches that wait."""
        self.history.clear()
        self.forgotten = self.revision
        self.wake_all()

    def copy(self):
        """Return a `StoreCopy` of the present state."""
        return deepcopy(
            StoreCopy(self.items, self.history, self.revision, self.leases)
        )

    def restore(self, copy):
        """Come back from a copy: what was written since is gone."""
        self.items = deepcopy(copy.items)
        self.history = deepcopy(copy.history)
        self.revision = copy.revision
        self.leases = deepcopy(copy.leases)
        self.forgotten = min(self.forgotten, copy.revision)
        self.era += 1
        self.wake_all()

    def write_again(self, prefixes):
        """Make the changes again that restores have lost, as writers do.

        Args:
            prefixes: Prefixes of the keys.
        """
        for key in {*self.wanted, *self.items}:
            if not key.startswith(prefixes):
                continue
            if key not in self.wanted:
                self.remove(key)
            elif (
                key not in self.items
                or b64decode(self.items[key]["value"]) != self.wanted[key]
            ):
                self.put(key, self.wanted[key])

    def wake_all(self):
        """End the waiting of all watches."""
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            done.callback(None)

    def wake(self, done):
        """End the waiting of a watch."""
        if done in self.waiting:
            self.waiting.remove(done)
            done.callback(None)

    def transact(self, request):
        """Write keys if those that are expected have not changed."""
        body = msgspec.json.decode(request.content.read())
        for row in body["expected_revision"]:
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                found = [item] if item["revision"] else []
                self.respond(request, 412, {"items": found})
                return
        for row in body["set_keys"]:
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                self.respond(request, 404, {})
                return
            self.leases.get(lease, set()).add(row["key"])
            self.put(row["key"], b64decode(row["value"]), lease)
        self.respond(request, 200, {"revision": self.revision})

    def refuse(self, address):
        """Turn the calls of one host away, also those that wait."""
        self.refused.add(address)
        self.wake_all()

    def grant(self, request):
        """Grant a lease."""
        lease = 1000 + len(self.leases)
        self.leases[lease] = set()
        self.respond(request, 200, {"lease": lease, "ttl_ms": 9000})

    def end(self, request, lease):
        """End a lease and remove its keys."""
        for key in self.leases.pop(lease, set()):
            self.remove(key)
        self.respond(request, 200, {})

    def respond(self, request, status, value):
        """Answer with *value* as JSON and the revision."""
        if request._disconnected:
            return
        body = msgspec.json.encode({"store_revision": self.revision, **value})
        request.setResponseCode(status)
        request.setHeader(b"content-length", b"%d" % len(body))
        request.setHeader(b"store-era", b"%d" % self.era)
        request.write(body)
        request.finish()

    async def stop(self):
        """Stop listening."""
        self.down = True
        self.wake_all()
        await self.port.stopListening()
