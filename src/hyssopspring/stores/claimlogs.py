"""Claim logs in the key-value service, written with group commit."""

from collections import deque

from twisted.internet import defer, task

from ..core.claims import (
    RETENTION_SECONDS,
    ClaimIndex,
    ClaimState,
    Segment,
    Verdict,
    append_records,
    decode_segment,
    encode_segment,
    is_full,
    next_segment,
    seal_segment,
)
from ..core.events import EventKind
from ..core.exceptions import KeyValueError, ProtocolError, ensure
from ..core.records import dataclass
from ..core.sentinels import NOTHING
from .keyvalues import Applied, NotApplied

CLAIMS_PREFIX = "/hyssop/claims/"
MAX_PENDING_RECORDS = 5000
"""Records that may wait for a write; further ones fail as unavailable."""

MAX_GROUP_RECORDS = 200
"""Maximum number of records in one write."""

UNAVAILABLE_PAUSE_SECONDS = 0.5
"""Pause before outcome records are retried after the service failed."""

CONFLICT_PAUSE_SECONDS = 0.01
"""Pause after another host won the race to write a shard."""

OUTCOME_TIMEOUT_SECONDS = 60.0
"""Time after which an unwritten outcome record is dropped."""


@dataclass(slots=True, eq=False)
class PendingRecord:
    """A record that waits to be written.

    Attributes:
        record: The `Record`.
        deadline: Time on the clock after which it is not written.
        done: Deferred that fires with the `Verdict`.
    """

    record: object
    deadline: float
    done: object


class ClaimLog:
    """One shard of the claim log.

    All waiting records are written with one compare-and-swap, so the
    write rate does not grow with the request rate. Any number of hosts
    may write the same shard; a lost race costs one additional read.

    Args:
        store: The key-value client.
        shard: Number of the shard.
        clock: The runtime's clock.
        wall: Callable that returns the wall clock in seconds.
        pacer: `TokenBucket` that limits the write rate of the shard.
        timeline: The `Timeline`.
        health: `Health` of the service, shared by all logs of the host.
        retention: Seconds for which records are kept.
    """

    def __init__(
        self,
        store,
        shard,
        clock,
        *,
        wall,
        pacer,
        timeline,
        health,
        retention=RETENTION_SECONDS,
    ):
        self.store = store
        self.prefix = f"{CLAIMS_PREFIX}{shard}/"
        self.clock = clock
        self.wall = wall
        self.pacer = pacer
        self.timeline = timeline
        self.health = health
        self.retention = retention
        self.index = ClaimIndex()
        self.open_segment = Segment()
        self.is_current = False
        self.pending = deque()
        self.running = False
        self.commits = 0

    @property
    def open_key(self):
        """Key of the segment that new records are appended to."""
        return f"{self.prefix}open"

    def closed_key(self, number):
        """Return the key of a closed segment."""
        return f"{self.prefix}closed/{number:08d}"

    def submit(self, record, deadline):
        """Queue *record* for the next group write.

        Args:
            record: The `Record`.
            deadline: Time on the clock after which it is not written.

        Returns:
            Deferred of a `Verdict`. It fires immediately with
            `Verdict.UNAVAILABLE` if too many records are pending, or if
            the record is a claim and the service is known to be down.
        """
        full = len(self.pending) >= MAX_PENDING_RECORDS
        claim = record.state is ClaimState.CLAIMED
        if full or (claim and self.health.down):
            return defer.succeed(Verdict.UNAVAILABLE)
        waiting = PendingRecord(record, deadline, defer.Deferred())
        self.pending.append(waiting)
        if not self.running:
            self.running = True
            work = defer.ensureDeferred(self.run())
            work.addErrback(self.on_crash)
        return waiting.done

    def on_crash(self, reason):
        """Fail all pending records after an unexpected error."""
        self.running = False
        self.is_current = False
        while self.pending:
            self.pending.popleft().done.callback(Verdict.UNAVAILABLE)
        return reason

    async def run(self):
        """Write groups until no record is pending."""
        while self.pending:
            try:
                await self.refresh()
                await self.commit()
            except (KeyValueError, ProtocolError) as error:
                await self.handle_failure(error)
            self.drop_expired()
        self.running = False

    async def refresh(self):
        """Read the records of other hosts unless the index is current.

        Raises:
            KeyValueError: The service did not respond, or its response
                is stale.
        """
        if self.is_current:
            return
        entry = await self.store.get(self.open_key)
        if entry is NOTHING:
            if self.index.number >= 0:
                raise KeyValueError("stale read: open segment is missing")
            self.apply_open(Segment(), 0)
            return
        segment = decode_segment(entry.value)
        if entry.revision < self.index.revision:
            raise KeyValueError("stale read: open segment is outdated")
        if self.index.number < segment.first:
            self.index = ClaimIndex()
        await self.fold_closed(segment)
        self.apply_open(segment, entry.revision)

    async def fold_closed(self, segment):
        """Apply the closed segments between the index and *segment*."""
        start = max(self.index.number, segment.first)
        for number in range(start, segment.number):
            entry = await self.store.get(self.closed_key(number))
            if entry is NOTHING:
                raise KeyValueError("stale read: closed segment is missing")
            self.index.apply_segment(decode_segment(entry.value))

    def apply_open(self, segment, revision):
        """Apply the open segment as stored at *revision*."""
        self.index.apply_segment(segment)
        self.index.revision = revision
        self.open_segment = segment
        self.is_current = True

    async def commit(self):
        """Write one group of records with one compare-and-swap."""
        if is_full(self.open_segment):
            await self.roll_segment()
            return
        group = self.choose_group()
        if not group:
            return
        await self.wait_for_pacer()
        records = [waiting.record for waiting in group]
        segment = append_records(self.open_segment, records)
        result = await self.write_open(segment)
        if result is NOTHING:
            await task.deferLater(self.clock, CONFLICT_PAUSE_SECONDS)
            return
        self.commits += 1
        self.health.record_success()
        self.apply_open(segment, result.revision)
        self.timeline.note(
            EventKind.CLAIM_COMMITTED, shard=self.prefix, records=len(records)
        )
        self.resolve_written(group)

    def resolve_written(self, group):
        """Deliver the verdicts of records that have just been written."""
        wall = self.wall()
        for item in group:
            self.pending.remove(item)
            record = item.record
            verdict = self.index.verdict(record.digest, record.nonce, wall)
            item.done.callback(verdict or Verdict.UNKNOWN)

    def choose_group(self):
        """Resolve records that the index contains; return those to write.

        After a lost response the nonce in the index shows whether the
        write was applied, so no claim is granted twice or lost. A group
        has at most one record for each key digest.
        """
        wall = self.wall()
        group = []
        waiting = deque()
        digests = set()
        for item in self.pending:
            record = item.record
            if self.index.is_redundant(record):
                verdict = self.index.verdict(record.digest, record.nonce, wall)
                item.done.callback(verdict or Verdict.UNKNOWN)
                continue
            waiting.append(item)
            fresh = record.digest not in digests
            if fresh and len(group) < MAX_GROUP_RECORDS:
                digests.add(record.digest)
                group.append(item)
        self.pending = waiting
        return group

    async def wait_for_pacer(self):
        """Wait until the shard may be written again.

        The budget keeps the write rate of all shards together below the
        capacity of the service, even when all hosts resume after an
        outage. Each shard has its own budget: if all shards of a host
        shared one, waiting shards would overtake each other and some
        would starve.
        """
        while not self.pacer.try_take(self.clock.seconds()):
            pause = self.pacer.time_to_token(self.clock.seconds())
            await task.deferLater(self.clock, max(pause, 0.001))

    async def write_open(self, segment):
        """Replace the open segment.

        Returns:
            `Applied`, or `NOTHING` if another host has changed it first.

        Raises:
            KeyValueError: It is unknown whether the write was applied.
        """
        self.is_current = False
        result = await self.store.swap(
            self.open_key, encode_segment(segment), self.index.revision
        )
        if isinstance(result, Applied):
            ensure(
                result.revision > self.index.revision,
                "revision of the key-value service has decreased",
            )
            return result
        if isinstance(result, NotApplied):
            self.timeline.note(EventKind.CLAIM_CONFLICT, shard=self.prefix)
            return NOTHING
        raise KeyValueError(result.reason)

    async def roll_segment(self):
        """Close the full segment and open the next one.

        The closed copy is written first and never changes: all hosts
        write the same records to it, because nothing is appended to a
        full segment. Only the compare-and-swap of the open segment
        decides which host has closed it.
        """
        wall = self.wall()
        full = seal_segment(self.open_segment, wall)
        result = await self.store.swap(
            self.closed_key(full.number), encode_segment(full), 0
        )
        if not isinstance(result, Applied | NotApplied):
            raise KeyValueError(result.reason)
        self.index.sealed[full.number] = full.sealed_at
        after = next_segment(
            self.open_segment, self.index.sealed, wall, self.retention
        )
        dropped = range(self.open_segment.first, after.first)
        result = await self.write_open(after)
        if result is NOTHING:
            return
        self.apply_open(after, result.revision)
        await self.remove_closed(dropped, wall)

    async def remove_closed(self, numbers, wall):
        """Remove closed segments that are older than the retention."""
        if not numbers:
            return
        self.index.drop_expired(wall - self.retention)
        for number in numbers:
            key = self.closed_key(number)
            entry = await self.store.get(key)
            if entry is not NOTHING:
                await self.store.remove(key, entry.revision)
            self.index.sealed.pop(number, None)

    async def handle_failure(self, error):
        """Fail pending claims immediately after a failure of the service.

        A claim that waited for the service to recover would block its
        caller until the deadline; the caller gets a retry time instead.
        Records of outcomes stay pending, because no caller waits for them.
        """
        self.is_current = False
        if self.health.record_failure():
            self.timeline.note(EventKind.CLAIM_UNAVAILABLE, why=error)
        kept = deque()
        for item in self.pending:
            if item.record.state is ClaimState.CLAIMED:
                item.done.callback(Verdict.UNAVAILABLE)
            else:
                kept.append(item)
        self.pending = kept
        if kept:
            await task.deferLater(self.clock, UNAVAILABLE_PAUSE_SECONDS)

    def drop_expired(self):
        """Fail pending records whose deadline has passed."""
        now = self.clock.seconds()
        kept = deque()
        for item in self.pending:
            if item.deadline <= now:
                item.done.callback(Verdict.UNAVAILABLE)
            else:
                kept.append(item)
        self.pending = kept
