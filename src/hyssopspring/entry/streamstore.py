"""Persist the records of streams, so that they outlast all hosts."""

from collections import deque

import msgspec

from ..core.events import EventKind
from ..core.exceptions import UNDECODABLE, KeyValueError, ProtocolError
from ..core.sentinels import NOTHING
from ..stores.keyvalues import Applied
from ..traffic.streamarchive import pack_streams
from ..traffic.streamrecords import RETENTION_SECONDS
from .hostentries import OWN_PREFIX

__all__ = ["STREAMS_PREFIX", "StreamStore"]

STREAMS_PREFIX = OWN_PREFIX + "streams/"

GATHER_SECONDS = 0.05
"""Seconds for which records are gathered before the first of them is
written."""

WRITE_INTERVAL_SECONDS = 0.3
"""Seconds between two writes of many in a row; less between the first ones.
Streams that began since the last one are lost with all hosts."""

IDLE_SECONDS = 1.0
"""Seconds without a write after which the next ones follow sooner again."""

SEGMENT_ROWS = 100
"""Records from which on the next ones are written under another key. A key is
written anew with each batch until then."""

MAX_ROWS = 5_000
"""Records in one write, of 54 KB."""

LEASE_ROTATION_SECONDS = 10.0
"""Seconds for which new keys are written under the same lease."""


class StoredStreams(msgspec.Struct, frozen=True):
    """Stored records of streams.

    Attributes:
        written_ms: Unix time of the write in milliseconds.
        streams: Packed hashes of streams by the hash of service and version.
    """

    written_ms: int
    streams: dict[int, bytes]


_DECODER = msgspec.msgpack.Decoder(StoredStreams)


class StreamStore:
    """Write the records of a `StreamArchive` in batches, and read them.

    Args:
        store: The client of the store.
        archive: The `StreamArchive`.
        own: The `Member` of this host.
        clock: The runtime's clock.
        wall_clock: Callable that returns the Unix time in seconds.
        timeline: The `Timeline`.
        spawn: Called with a coroutine to run.

    Attributes:
        rows: Rows of the key that is being written.
        number: Number of that key.
        closed: Time and rows of each key that is complete.
        unwritten: Whether the last write failed.
        tried_at: Time of the last write.
        writes_in_a_row: Number of writes since the last idle time.
    """

    def __init__(
        self, store, archive, own, clock, wall_clock, timeline, spawn
    ):
        self.store = store
        self.archive = archive
        self.own = own
        self.clock = clock
        self.wall_clock = wall_clock
        self.timeline = timeline
        self.spawn = spawn
        self.lease = NOTHING
        self.leased_at = 0.0
        self.rows = []
        self.number = 0
        self.closed = deque()
        self.unwritten = False
        self.timer = NOTHING
        self.tried_at = 0.0
        self.writes_in_a_row = 0
        self.saving = False
        archive.on_pending = self.schedule

    def schedule(self):
        """Write as soon as allowed, unless that is due or in progress."""
        is_due = self.timer is not NOTHING and self.timer.active()
        if self.saving or is_due:
            return
        elapsed = self.clock.seconds() - self.tried_at
        if elapsed >= IDLE_SECONDS and not self.unwritten:
            self.writes_in_a_row = 0
        interval = WRITE_INTERVAL_SECONDS
        if not self.unwritten:
            interval = min(interval, GATHER_SECONDS * self.writes_in_a_row)
        delay = max(GATHER_SECONDS, interval - elapsed)
        self.timer = self.clock.callLater(delay, self.flush)

    def flush(self):
        """Write what is pending."""
        if self.saving or not (self.archive.pending or self.unwritten):
            return
        self.saving = True
        self.tried_at = self.clock.seconds()
        self.writes_in_a_row += 1
        self.spawn(self.save())

    async def save(self):
        """Write one batch, and schedule the next one."""
        try:
            self.unwritten = not await self.write()
        finally:
            self.saving = False
        if self.archive.pending and not self.unwritten:
            self.schedule()

    async def write(self):
        """Write one batch under a lease; return whether that succeeded."""
        try:
            await self.choose_key(self.clock.seconds())
            result = await self.put_rows()
        except KeyValueError as problem:
            result = problem
        if isinstance(result, Applied):
            return True
        self.note_unsaved(result)
        self.lease = NOTHING
        return False

    async def put_rows(self):
        """Write the next rows, and return what the store makes of it.

        Raises:
            KeyValueError: The response is invalid.
        """
        pending = self.archive.pending
        room = MAX_ROWS - len(self.rows)
        self.rows += pending[:room]
        del pending[:room]
        value = msgspec.msgpack.encode(
            StoredStreams(
                int(self.wall_clock() * 1000), pack_streams(self.rows)
            )
        )
        return await self.store.put(self.key, value, self.lease)

    @property
    def key(self):
        """Key that is being written; no two incarnations share one."""
        own = self.own
        start = f"{STREAMS_PREFIX}{own.region}/{own.name}-{own.incarnation}"
        return f"{start}-{self.number}"

    async def choose_key(self, now):
        """Begin another key, or grant another lease, if it is time.

        Raises:
            KeyValueError: The store did not grant a lease.
        """
        is_old = now - self.leased_at >= LEASE_ROTATION_SECONDS
        needs_lease = self.lease is NOTHING or is_old
        if needs_lease:
            seconds = RETENTION_SECONDS + LEASE_ROTATION_SECONDS
            self.lease = await self.store.grant_lease(seconds)
            self.leased_at = now
        is_full = len(self.rows) >= SEGMENT_ROWS
        if self.rows and not self.unwritten and (needs_lease or is_full):
            self.closed.append((now, self.rows))
            self.rows = []
            self.number += 1

    def on_restored(self):
        """Write all records again, as the store may lack them."""
        for _, rows in self.closed:
            self.archive.pending += rows
        self.archive.pending += self.rows
        self.closed.clear()
        self.rows = []
        self.number += 1
        self.lease = NOTHING
        self.unwritten = False

    def tick(self):
        """Repeat a write that failed, and forget what has expired."""
        now = self.clock.seconds()
        self.archive.expire(now)
        while self.closed and now - self.closed[0][0] > RETENTION_SECONDS:
            self.closed.popleft()
        if self.archive.pending or self.unwritten:
            self.schedule()

    def note_unsaved(self, why):
        """Log a failed write, which is repeated."""
        self.timeline.note(
            EventKind.STREAMS_UNSAVED,
            pending=len(self.archive.pending) + len(self.rows),
            why=why,
        )

    def load(self, entry):
        """Add the records that are read from one key.

        Args:
            entry: `Entry` of the store.

        Raises:
            ProtocolError: The value cannot be decoded.
        """
        try:
            stored = _DECODER.decode(entry.value)
        except UNDECODABLE as problem:
            raise ProtocolError(
                f"invalid records at {entry.key}: {problem}"
            ) from None
        age = max(0.0, self.wall_clock() - stored.written_ms / 1000)
        now = self.clock.seconds()
        self.archive.load(entry.key, stored.streams, age, now)
