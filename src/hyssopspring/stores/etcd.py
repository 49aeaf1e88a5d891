"""Key-value client for the JSON gateway of the etcd v3 protocol."""

from base64 import b64decode, b64encode

from twisted.internet import protocol

from ..core.exceptions import KeyValueError, NoAnswerError, ProtocolError
from ..core.sentinels import NOTHING
from ..net.clients import fetch_json, open_stream
from .keyvalues import (
    Applied,
    Entry,
    Listing,
    NotApplied,
    WriteUnknown,
    register_client,
)

REQUEST_TIMEOUT_SECONDS = 1.0
"""Timeout of one request."""

WATCH_RETRY_SECONDS = 1.0
"""Pause before a watch stream is opened again."""

FAILURES = (
    NoAnswerError,
    ProtocolError,
    KeyError,
    TypeError,
    ValueError,
)
"""Errors of a request or of decoding its response."""


@register_client("etcd")
class EtcdKeyValue:
    """Client of one etcd service.

    Args:
        url: Base address, such as ``http://127.0.0.1:2379``.
        agent: The `twisted.web.client.Agent` to use.
        clock: The runtime's clock.
    """

    def __init__(self, url, agent, clock):
        self.url = url
        self.agent = agent
        self.clock = clock
        self.reads = 0
        self.writes = 0

    async def get(self, key):
        """Return the `Entry` of *key*, or `NOTHING` if there is none.

        Raises:
            KeyValueError: The service sent no valid response.
        """
        response = await self.read({"key": encode(key)})
        found = response.get("kvs", [])
        return decode_entry(found[0]) if found else NOTHING

    async def list(self, prefix):
        """Return a `Listing` of all keys that start with *prefix*.

        Raises:
            KeyValueError: The service sent no valid response.
        """
        response = await self.read(
            {"key": encode(prefix), "range_end": encode(range_end(prefix))}
        )
        try:
            return decode_listing(response)
        except FAILURES as failure:
            raise KeyValueError(repr(failure)) from failure

    async def read(self, query):
        """Send a range request and return the decoded response."""
        self.reads += 1
        try:
            return await self.call("/v3/kv/range", query)
        except FAILURES as failure:
            raise KeyValueError(repr(failure)) from failure

    async def swap(self, key, value, revision):
        """Write *key* if its revision is still *revision*.

        Args:
            key: The key.
            value: The new value, at most one megabyte.
            revision: Revision that the key must have; 0 for a new key.

        Returns:
            `Applied`, `NotApplied`, or `WriteUnknown` if no valid response
            arrived: the write may have been applied nevertheless.
        """
        put = {"key": encode(key), "value": b64encode(value).decode()}
        return await self.transact(key, revision, {"request_put": put})

    async def remove(self, key, revision):
        """Delete *key* if its revision is still *revision*."""
        operation = {"request_delete_range": {"key": encode(key)}}
        return await self.transact(key, revision, operation)

    async def transact(self, key, revision, operation):
        """Run *operation* in a transaction if *key* has *revision*."""
        self.writes += 1
        compare = {
            "key": encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        body = {
            "compare": [compare],
            "success": [operation],
            "failure": [{"request_range": {"key": encode(key)}}],
        }
        try:
            response = await self.call("/v3/kv/txn", body)
            return decode_transaction(response)
        except FAILURES as failure:
            return WriteUnknown(repr(failure))

    async def call(self, path, body):
        """Send *body* with POST and return the decoded response."""
        status, response = await fetch_json(
            self.agent,
            b"POST",
            self.url + path,
            body,
            clock=self.clock,
            timeout=REQUEST_TIMEOUT_SECONDS,
        )
        if status != 200:
            raise ProtocolError(f"unexpected status {status} from {path}")
        return response

    def watch(self, prefix, on_change):
        """Call *on_change* whenever a key under *prefix* may have changed.

        Args:
            prefix: Prefix of the keys.
            on_change: Called without arguments, also after a reconnect
                because changes may have been missed.

        Returns:
            A `Watch`; call its ``stop()`` to end it.
        """
        watch = Watch(self, prefix, on_change)
        watch.start()
        return watch


class Watch:
    """A watch stream that reconnects until it is stopped."""

    def __init__(self, client, prefix, on_change):
        self.client = client
        self.prefix = prefix
        self.on_change = on_change
        self.stopped = False
        self.retry_timer = NOTHING
        self.transport = NOTHING

    def start(self):
        """Open the watch stream."""
        if self.stopped:
            return
        self.client.reads += 1
        body = {
            "create_request": {
                "key": encode(self.prefix),
                "range_end": encode(range_end(self.prefix)),
            }
        }
        opened = open_stream(
            self.client.agent, self.client.url + "/v3/watch", body
        )
        opened.addCallbacks(self.on_opened, lambda _: self.schedule_retry())

    def on_opened(self, response):
        """Report a possible change and read events from the stream."""
        self.on_change()
        reader = _WatchReader(self)
        response.deliverBody(reader)
        self.transport = reader.transport
        if self.stopped:
            self.stop()

    def schedule_retry(self):
        """Open the stream again after a pause."""
        self.transport = NOTHING
        if not self.stopped:
            self.retry_timer = self.client.clock.callLater(
                WATCH_RETRY_SECONDS, self.start
            )

    def stop(self):
        """End the watch."""
        self.stopped = True
        if self.retry_timer is not NOTHING and self.retry_timer.active():
            self.retry_timer.cancel()
        if self.transport is not NOTHING:
            self.transport.loseConnection()


class _WatchReader(protocol.Protocol):
    """Passes received watch events to a `Watch`."""

    def __init__(self, watch):
        self.watch = watch

    def dataReceived(self, data):
        """Report a change if events arrived; the keys are read again."""
        if b'"events"' in data and not self.watch.stopped:
            self.watch.on_change()

    def connectionLost(self, reason):
        """Schedule a reconnect."""
        self.watch.schedule_retry()


def encode(text):
    """Return a key in base64, as the JSON gateway expects it."""
    return b64encode(text.encode()).decode()


def range_end(prefix):
    """Return the end of the key range that starts with *prefix*."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def decode_entry(found):
    """Return the `Entry` of a ``KeyValue`` message."""
    return Entry(
        b64decode(found["key"]).decode(),
        b64decode(found.get("value", "")),
        int(found["mod_revision"]),
    )


def decode_listing(response):
    """Return the `Listing` of a response to a range request."""
    entries = tuple(decode_entry(found) for found in response.get("kvs", []))
    return Listing(entries, int(response["header"]["revision"]))


def decode_transaction(response):
    """Return `Applied` or `NotApplied` for a response to a transaction."""
    revision = int(response["header"]["revision"])
    if response.get("succeeded", False):
        return Applied(revision)
    found = response["responses"][0]["response_range"].get("kvs", [])
    return NotApplied(decode_entry(found[0]) if found else NOTHING)
