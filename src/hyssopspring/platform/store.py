"""Client of the platform's metadata store."""

from base64 import b64decode, b64encode
from urllib.parse import urlencode

import msgspec

from ..core.exceptions import KeyValueError, NoAnswerError, ProtocolError
from ..core.sentinels import NOTHING
from ..entry.connections import Lane
from ..entry.fetching import fetch
from ..entry.mirrors import Changes, HistoryLostError, Removal
from ..stores.keyvalues import (
    Applied,
    Entry,
    Listing,
    NotApplied,
    WriteUnknown,
)
from .operator import CONFIGURATION_KEY, hash_api_keys

__all__ = ["PlatformStore"]

CALL_TIMEOUT_SECONDS = 1.2
"""Seconds for a call; the store answers in milliseconds, and a slow one
within about a quarter of a second."""

WATCH_GRACE_SECONDS = 1.5
"""Seconds over the asked waiting time after which a watch counts as cut."""

PROBE_TIMEOUT_SECONDS = 0.8
"""Seconds for the answer to a probe of a watch."""

IDLE_CONNECTION_SECONDS = 8.0
"""Seconds for which an idle connection to the store is kept."""

GONE = 410
CONFLICT = 412
MAX_PAGES = 200


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    revision: int = 0
    tombstone: bool = False


class _Page(msgspec.Struct):
    items: list[_Item] = []
    has_more: bool = False
    store_revision: int = 0


class _Events(msgspec.Struct):
    events: list[_Item] = []
    store_revision: int = 0


class _Lease(msgspec.Struct):
    ttl_ms: float
    lease: int = 0


class _Written(msgspec.Struct):
    revision: int = 0


class _Conflict(msgspec.Struct):
    items: list[_Item | None] = []


class PlatformStore:
    """Call the store.

    Args:
        address: Its ``ip:port``.
        connections: The `Connections` to use.
        clock: The runtime's clock.
        on_no_response: Called when a call got no answer, with the time at
            which it
            was sent. Connections opened before may be dead as well.
    """

    def __init__(
        self, address, connections, clock, on_no_response=lambda at: None
    ):
        self.lane = Lane("store", address, True, IDLE_CONNECTION_SECONDS)
        self.host = address.encode()
        self.connections = connections
        self.clock = clock
        self.on_no_response = on_no_response
        self.calls = 0

    async def list(self, prefix):
        """Return a `Listing` of all keys below *prefix*.

        Pages are no snapshot: what changes meanwhile is seen by a watch
        that starts at the first page's revision.

        Raises:
            KeyValueError: The store did not answer, or not all of it.
        """
        entries, after, revision = [], "", NOTHING
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page = await self.read("/v1/kv-range", query, _Page)
            if revision is NOTHING:
                revision = page.store_revision
            entries += [decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return Listing(tuple(entries), revision)
            after = page.items[-1].key
        raise KeyValueError(f"{prefix}: more pages than expected")

    async def watch(self, prefix, after, wait):
        """Wait for changes below *prefix* that follow a revision.

        Args:
            prefix: Start of the keys.
            after: Revision after which changes are of interest.
            wait: Most seconds to wait.

        Returns:
            The `Changes`, maybe none.

        Raises:
            HistoryLostError: The store has dropped that history.
            KeyValueError: The store did not answer.
        """
        query = {
            "prefix": prefix,
            "after": after,
            "wait_ms": int(wait * 1000),
        }
        return await self.read_changes(query, wait + WATCH_GRACE_SECONDS)

    async def probe(self, prefix, after):
        """Return the changes after a revision that a replica has by now.

        It costs a tenth of a watch. The replica may be seconds behind, so
        only what it has is news, not what it lacks.

        Args:
            prefix: Start of the keys.
            after: Revision after which changes are of interest.

        Returns:
            The `Changes`, maybe none.

        Raises:
            HistoryLostError: The store has dropped that history.
            KeyValueError: The store did not answer.
        """
        query = {
            "prefix": prefix,
            "after": after,
            "wait_ms": 0,
            "allow_stale": 1,
        }
        return await self.read_changes(query, PROBE_TIMEOUT_SECONDS)

    async def read_changes(self, query, timeout):
        """Return the decoded answer of a watch."""
        answer = await self.read("/v1/kv-watch", query, _Events, timeout)
        return Changes(
            tuple(
                decode_item(item)
                for item in answer.events
                if not item.tombstone
            ),
            tuple(
                Removal(item.key, item.revision)
                for item in answer.events
                if item.tombstone
            ),
            answer.store_revision,
        )

    async def grant_lease(self, seconds):
        """Return the identifier of a new lease.

        Raises:
            KeyValueError: The store did not answer.
        """
        body = {"ttl_ms": int(seconds * 1000)}
        answer = await self.call("POST", "/v1/kv-lease", body, _Lease)
        return answer.lease

    async def renew_lease(self, lease):
        """Renew a lease; return whether it still stood.

        Raises:
            KeyValueError: The store did not answer.
        """
        path = f"/v1/kv-keep/{lease}"
        status, _ = await self.send(
            "POST", path, NOTHING, CALL_TIMEOUT_SECONDS
        )
        if status not in (200, 404):
            raise KeyValueError(f"{path} answered {status}")
        return status == 200

    async def end_lease(self, lease):
        """End a lease, and so remove its keys.

        Raises:
            KeyValueError: The store did not answer.
        """
        path = f"/v1/kv-lease-end/{lease}"
        await self.send("DELETE", path, NOTHING, CALL_TIMEOUT_SECONDS)

    async def put(self, key, value, lease):
        """Write *key* under a lease, whatever stands there.

        Returns:
            `Applied`, `NotApplied` if the lease has ended, or
            `WriteUnknown` if the answer did not come.
        """
        row = {"key": key, "value": b64encode(value).decode(), "lease": lease}
        body = {"expected_revision": [], "set_keys": [row], "remove": []}
        try:
            status, data = await self.send(
                "POST", "/v1/kv-txn", body, CALL_TIMEOUT_SECONDS
            )
        except KeyValueError as problem:
            return WriteUnknown(str(problem))
        if status in (404, CONFLICT):
            return NotApplied()
        if status != 200:
            return WriteUnknown(f"the store answered {status}")
        return Applied(decode(data, _Written).revision)

    async def read(self, path, query, schema, timeout=CALL_TIMEOUT_SECONDS):
        """Return the decoded answer of a read."""
        return await self.call(
            "GET", f"{path}?{urlencode(query)}", NOTHING, schema, timeout
        )

    async def call(
        self, method, path, body, schema, timeout=CALL_TIMEOUT_SECONDS
    ):
        """Return the decoded answer of a call that must succeed.

        Raises:
            HistoryLostError: The store has dropped that history.
            KeyValueError: There was no answer, or another than 200.
        """
        status, data = await self.send(method, path, body, timeout)
        if status == GONE:
            raise HistoryLostError(path)
        if status != 200:
            raise KeyValueError(f"{path} answered {status}")
        return decode(data, schema)

    async def send(self, method, path, body, timeout):
        """Send one call; return status and body of the answer.

        Raises:
            KeyValueError: No whole answer came in time.
        """
        self.calls += 1
        sent_at = self.clock.seconds()
        data = b"" if body is NOTHING else msgspec.json.encode(body)
        try:
            return await fetch(
                self.connections,
                self.lane,
                method.encode(),
                path.encode(),
                self.host,
                data,
                timeout=timeout,
                clock=self.clock,
            )
        except NoAnswerError as problem:
            self.connections.forget(self.lane.key)
            self.on_no_response(sent_at)
            raise KeyValueError(f"{path}: {problem}") from None


def decode(data, schema):
    """Return an answer's body as *schema*.

    Raises:
        KeyValueError: It is not of that form.
    """
    try:
        return msgspec.json.decode(data, type=schema)
    except (msgspec.DecodeError, ProtocolError) as problem:
        raise KeyValueError(f"answer of the store: {problem}") from None


def decode_item(item):
    """Return the `Entry` of one item, without any caller's key.

    A value that is no base64 counts as empty, which no decoder takes.
    """
    try:
        value = b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    if item.key == CONFIGURATION_KEY:
        value = hash_api_keys(value)
    return Entry(item.key, value, item.revision)
