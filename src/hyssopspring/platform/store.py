"""Client of the platform's metadata store."""

from base64 import b64decode, b64encode
from urllib.parse import urlencode

import msgspec

from ..core.exceptions import (
    UNDECODABLE,
    KeyValueError,
    NoAnswerError,
    ProtocolError,
)
from ..core.revisions import era_of, join_revision, number_of
from ..core.sentinels import NOTHING
from ..entry.connections import Endpoint
from ..entry.fetching import fetch
from ..entry.mirrors import Changes, HistoryLostError, Removal
from ..stores.keyvalues import (
    Applied,
    Entry,
    Lease,
    Listing,
    NotApplied,
    WriteUnknown,
)
from .operator import CONFIGURATION_KEY, hash_api_keys

__all__ = ["PlatformStore"]

CALL_TIMEOUT_SECONDS = 1.2
"""Timeout of a call. The store responds within milliseconds, and a slow one
within about 250 ms."""

WATCH_GRACE_SECONDS = 0.6
"""Time beyond the requested wait after which a watch has failed. A slow store
responds within about 250 ms."""

PROBE_TIMEOUT_SECONDS = 0.8
"""Timeout of a probe that complements a watch."""

IDLE_CONNECTION_SECONDS = 8.0
"""Time for which an idle connection to the store is kept open."""

ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 18
"""Digits of the highest era that fits into messages between hosts."""

GONE = 410
CONFLICT = 412
MAX_PAGES = 200
"""Maximum number of pages in one listing."""


class OutdatedResponseError(KeyValueError):
    """The response comes from before the last restore of the store."""


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


class _Granted(msgspec.Struct):
    ttl_ms: float
    lease: int = 0


class _Written(msgspec.Struct):
    revision: int = 0


class PlatformStore:
    """Client of the platform's store.

    Revisions that it takes and returns hold the era of the store, see
    `core.revisions`.

    Args:
        address: Its ``ip:port``.
        connections: The `Connections` to use.
        clock: The runtime's clock.
        on_no_response: Called when a call got no response, with the time
            at which the call was sent. Connections that were opened before
            may be dead as well.
        on_restored: Called when the era rises, which is when the store was
            restored from a copy, with the previous era and the new one.

    Attributes:
        era: Highest era in a response so far, or `NOTHING` before the first.
    """

    def __init__(
        self,
        address,
        connections,
        clock,
        on_no_response=lambda at: None,
        on_restored=lambda previous, era: None,
    ):
        self.endpoint = Endpoint(
            "store", address, True, IDLE_CONNECTION_SECONDS
        )
        self.host = address.encode()
        self.connections = connections
        self.clock = clock
        self.on_no_response = on_no_response
        self.on_restored = on_restored
        self.era = NOTHING
        self.calls = 0

    async def list(self, prefix):
        """Return a `Listing` of all keys under *prefix*.

        The pages do not form a snapshot: concurrent changes are returned by
        a watch that starts at the revision of the first page.

        Raises:
            KeyValueError: The store did not return all pages, or was
                restored from a copy meanwhile.
        """
        entries, after, revision = [], "", NOTHING
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page, era = await self.read("/v1/kv-range", query, _Page)
            if revision is NOTHING:
                revision = join_revision(era, page.store_revision)
            elif era != era_of(revision):
                raise KeyValueError(
                    f"store was restored during a listing of {prefix}"
                )
            entries += [decode_item(item, era) for item in page.items]
            if not page.has_more or not page.items:
                return Listing(tuple(entries), revision)
            after = page.items[-1].key
        raise KeyValueError(
            f"listing of {prefix} exceeds the maximum number of pages"
        )

    async def watch(self, prefix, after, wait):
        """Wait for changes under *prefix* after a revision.

        Args:
            prefix: Start of the keys.
            after: Revision after which changes are of interest.
            wait: Maximum seconds to wait.

        Returns:
            The `Changes`, maybe none.

        Raises:
            HistoryLostError: The store has dropped that history.
            KeyValueError: The store did not respond with success.
        """
        query = {"prefix": prefix, "wait_ms": int(wait * 1000)}
        timeout = wait + WATCH_GRACE_SECONDS
        return await self.read_changes(query, after, timeout)

    async def probe(self, prefix, after):
        """Return the changes after a revision that a replica has by now.

        A probe costs a tenth of a watch. The replica may be seconds behind,
        so that it shows which changes exist, but not that none exist.

        Args:
            prefix: Start of the keys.
            after: Revision after which changes are of interest.

        Returns:
            The `Changes`, maybe none.

        Raises:
            HistoryLostError: The store has dropped that history.
            KeyValueError: The store did not respond with success.
        """
        query = {"prefix": prefix, "wait_ms": 0, "allow_stale": 1}
        try:
            return await self.read_changes(query, after, PROBE_TIMEOUT_SECONDS)
        except OutdatedResponseError:
            return Changes(revision=after)

    async def read_changes(self, query, after, timeout):
        """Return the changes in the response to a watch request.

        Raises:
            HistoryLostError: The store has dropped that history, or was
                restored from a copy since.
            OutdatedResponseError: The response is of an earlier era.
            KeyValueError: The store did not respond with success.
        """
        path = "/v1/kv-watch"
        query = {**query, "after": number_of(after)}
        response, era = await self.read(path, query, _Events, timeout)
        if era > era_of(after):
            raise HistoryLostError(path)
        if era < era_of(after):
            raise OutdatedResponseError(f"{path}: response of era {era}")
        return Changes(
            tuple(
                decode_item(item, era)
                for item in response.events
                if not item.tombstone
            ),
            tuple(
                Removal(item.key, join_revision(era, item.revision))
                for item in response.events
                if item.tombstone
            ),
            join_revision(era, response.store_revision),
        )

    async def grant_lease(self, seconds):
        """Create a `Lease` and return it.

        Raises:
            KeyValueError: The store did not respond with success.
        """
        body = {"ttl_ms": int(seconds * 1000)}
        response, era = await self.call("POST", "/v1/kv-lease", body, _Granted)
        return Lease(response.lease, era)

    async def renew_lease(self, lease):
        """Renew a lease; return whether it still existed.

        A lease of an earlier era counts as ended: its keys may be gone, and
        its identifier may have been given to another host.

        Raises:
            KeyValueError: The store did not respond, or with a status other
                than 200 and 404.
        """
        if self.is_outdated(lease):
            return False
        path = f"/v1/kv-keep/{lease.id}"
        status, _, era = await self.send(
            "POST", path, NOTHING, CALL_TIMEOUT_SECONDS
        )
        if status not in (200, 404):
            raise KeyValueError(f"{path} returned status {status}")
        return status == 200 and era == lease.era

    def is_outdated(self, lease):
        """Return whether the store was restored since it gave out a lease."""
        return bool(self.era) and lease.era < self.era

    async def end_lease(self, lease):
        """End a lease, which removes its keys.

        Raises:
            KeyValueError: The store did not respond.
        """
        if self.is_outdated(lease):
            return
        path = f"/v1/kv-lease-end/{lease.id}"
        await self.send("DELETE", path, NOTHING, CALL_TIMEOUT_SECONDS)

    async def put(self, key, value, lease):
        """Write *key* under a lease, regardless of its current value.

        Returns:
            `Applied`, `NotApplied` if the lease has ended or is of an
            earlier era, or `WriteUnknown` if no valid response arrived.
        """
        if self.is_outdated(lease):
            return NotApplied()
        row = {
            "key": key,
            "value": b64encode(value).decode(),
            "lease": lease.id,
        }
        body = {"expected_revision": [], "set_keys": [row], "remove": []}
        try:
            status, data, era = await self.send(
                "POST", "/v1/kv-txn", body, CALL_TIMEOUT_SECONDS
            )
        except KeyValueError as problem:
            return WriteUnknown(str(problem))
        if status in (404, CONFLICT):
            return NotApplied()
        if status != 200:
            return WriteUnknown(f"store returned status {status}")
        if era != lease.era:
            return NotApplied()
        return Applied(join_revision(era, decode(data, _Written).revision))

    async def swap(self, key, value, revision):
        """Write *key* without a lease if it has not changed.

        Args:
            key: The key.
            value: Its new value.
            revision: Revision of its last change; 0 if it must not exist.

        Returns:
            `Applied`, `NotApplied`, or `WriteUnknown` if no valid response
            arrived.
        """
        row = {"key": key, "value": b64encode(value).decode(), "lease": 0}
        expected = {"key": key, "revision": number_of(revision)}
        body = {
            "expected_revision": [expected],
            "set_keys": [row],
            "remove": [],
        }
        try:
            status, data, era = await self.send(
                "POST", "/v1/kv-txn", body, CALL_TIMEOUT_SECONDS
            )
            if status == CONFLICT:
                items = decode(data, _Page).items
                present = [one for one in items if one.revision]
                return NotApplied(
                    decode_item(present[0], era) if present else NOTHING
                )
            if status != 200:
                return WriteUnknown(f"store returned status {status}")
            return Applied(join_revision(era, decode(data, _Written).revision))
        except KeyValueError as problem:
            return WriteUnknown(str(problem))

    async def read(self, path, query, schema, timeout=CALL_TIMEOUT_SECONDS):
        """Return the decoded response to a read, and its era."""
        return await self.call(
            "GET", f"{path}?{urlencode(query)}", NOTHING, schema, timeout
        )

    async def call(
        self, method, path, body, schema, timeout=CALL_TIMEOUT_SECONDS
    ):
        """Return response and era of a call that must succeed, decoded.

        Raises:
            HistoryLostError: The store has dropped that history.
            KeyValueError: There was no response, or its status is not 200.
        """
        status, data, era = await self.send(method, path, body, timeout)
        if status == GONE:
            raise HistoryLostError(path)
        if status != 200:
            raise KeyValueError(f"{path} returned status {status}")
        return decode(data, schema), era

    async def send(self, method, path, body, timeout):
        """Send one call; return status, body and era of the response.

        Raises:
            KeyValueError: No complete response arrived in time.
        """
        self.calls += 1
        sent_at = self.clock.seconds()
        data = b"" if body is NOTHING else msgspec.json.encode(body)
        try:
            status, response_body, headers = await fetch(
                self.connections,
                self.endpoint,
                method.encode(),
                path.encode(),
                self.host,
                data,
                timeout=timeout,
                clock=self.clock,
            )
        except NoAnswerError as problem:
            self.connections.close_idle(self.endpoint.key)
            self.on_no_response(sent_at)
            raise KeyValueError(f"{path}: {problem}") from None
        era = read_era(headers)
        self.record_era(era)
        return status, response_body, era

    def record_era(self, era):
        """Record the era of a response; report a restore of the store."""
        previous = self.era
        if previous is not NOTHING and era <= previous:
            return
        self.era = era
        if previous is not NOTHING:
            self.on_restored(previous, era)


def read_era(headers):
    """Return the era that a response of the store names.

    Args:
        headers: `Headers` of the response.

    Returns:
        The era; 0 if the response names none or an invalid one.
    """
    value = headers.getRawHeaders(ERA_HEADER, [b""])[0]
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return 0
    return int(value)


def decode(data, schema):
    """Return the body of a response as *schema*.

    Raises:
        KeyValueError: The body does not match the schema.
    """
    try:
        return msgspec.json.decode(data, type=schema)
    except (*UNDECODABLE, ProtocolError) as problem:
        raise KeyValueError(
            f"invalid response of the store: {problem}"
        ) from None


def decode_item(item, era):
    """Return the `Entry` of one item, without API keys of callers.

    A value that is not valid base64 is replaced by an empty one, which all
    decoders reject.

    Args:
        item: The item.
        era: Era of the response that contained it.
    """
    try:
        value = b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    if item.key == CONFIGURATION_KEY:
        value = hash_api_keys(value)
    return Entry(item.key, value, join_revision(era, item.revision))
