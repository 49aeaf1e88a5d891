"""Records of streams in the store."""

from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan
from twisted.internet import defer, task

from hyssopspring.core.exceptions import KeyValueError, ProtocolError
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.streamstore import (
    LEASE_ROTATION_SECONDS,
    MAX_ROWS,
    STREAMS_PREFIX,
    StreamStore,
)
from hyssopspring.stores.keyvalues import Applied, Entry, Lease, WriteUnknown
from hyssopspring.traffic.members import Member
from hyssopspring.traffic.streamarchive import MAX_PENDING, StreamArchive
from hyssopspring.traffic.streamrecords import CONFLICT, RETENTION_SECONDS

ORIGIN = 2**64 - 5
OTHER = 7


class Leases:
    """A store that keeps what is written under leases.

    Attributes:
        down: Whether all calls fail.
        items: Value by key.
        leases: Seconds of each `Lease` by its identifier.
    """

    def __init__(self):
        self.down = False
        self.items = {}
        self.leases = {}
        self.calls = Counter()

    async def grant_lease(self, seconds):
        """Grant a lease."""
        self.calls["lease"] += 1
        if self.down:
            raise KeyValueError("down")
        self.leases[len(self.leases)] = seconds
        return Lease(len(self.leases) - 1)

    async def put(self, key, value, lease):
        """Write a key."""
        self.calls["put"] += 1
        if self.down:
            return WriteUnknown("down")
        self.items[key] = value
        return Applied(1)


class Timeline:
    """Count the events of a host."""

    def __init__(self):
        self.events = Counter()

    def note(self, kind, **details):
        """Count an event."""
        self.events[kind] += 1


class Writer:
    """The first host of a region."""

    def __init__(self, store, incarnation=1):
        self.clock = task.Clock()
        self.archive = StreamArchive()
        self.timeline = Timeline()
        own = Member(
            name="h",
            region="r",
            data_centre="r-a",
            front="h:1",
            control="h:2",
            relay="h:3",
            capacity=1.0,
            incarnation=incarnation,
        )
        self.store = StreamStore(
            store,
            self.archive,
            own,
            self.clock,
            lambda: 1e9 + self.clock.seconds(),
            self.timeline,
            defer.ensureDeferred,
        )

    def run(self, seconds):
        """Let time pass, with heartbeats."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            if round(self.clock.seconds() * 20) % 10 == 0:
                self.store.tick()

    def load(self, store):
        """Read what a store has, as after a start."""
        for key, value in store.items.items():
            self.store.load(Entry(key, value, 1))


@pytest.fixture
def store():
    """Return a store without records."""
    return Leases()


@pytest.fixture
def writer(store):
    """Return a host that writes to the store."""
    return Writer(store)


def found(store, streams):
    """Return the origins that a host which has just started finds."""
    started = Writer(store, incarnation=2)
    started.load(store)
    archived = [started.archive.find(stream) for stream in streams]
    return [NOTHING if one is NOTHING else one.origin for one in archived]


def test_records_are_found_after_a_start(store, writer):
    """Guards against records that end with the hosts that keep them."""
    streams = [1, 2**64 - 1, 77]
    writer.archive.add([(streams[0], ORIGIN), (streams[1], OTHER)])
    writer.archive.add([(streams[2], ORIGIN)])
    writer.run(0.1)
    assert_that(found(store, streams), Equals([ORIGIN, OTHER, ORIGIN]))
    assert_that(found(store, [5]), Equals([NOTHING]))


def test_contradicting_records_in_the_store_count_as_unknown(store, writer):
    """Guards against a guess between two versions."""
    writer.archive.add([(1, ORIGIN), (1, OTHER)])
    writer.run(0.1)
    assert_that(found(store, [1]), Equals([CONFLICT]))


def test_batches_take_few_calls_and_bytes(store, writer):
    """Guards against a call for each stream; 70 a second begin in a region."""
    streams = []
    for number in range(40):
        for one in range(70):
            streams.append(number * 1000 + one)
            writer.archive.add([(streams[-1], ORIGIN)])
        writer.run(1.0)
    assert_that(store.calls["put"], LessThan(4 * 40))
    assert_that(store.calls["lease"], LessThan(40 / 8))
    assert_that(set(found(store, streams)), Equals({ORIGIN}))
    assert_that(max(map(len, store.items.values())), LessThan(2_000))
    longest = RETENTION_SECONDS + LEASE_ROTATION_SECONDS
    assert_that(set(store.leases.values()), Equals({longest}))


def test_nothing_is_written_without_records(store, writer):
    """Guards against calls on a day with one version."""
    writer.run(60.0)
    assert_that(sum(store.calls.values()), Equals(0))


def test_records_are_written_once_the_store_is_back(store, writer):
    """Guards against records that are lost in an outage, or a full table."""
    store.down = True
    for number in range(MAX_PENDING + 10):
        writer.archive.pending.append((number, ORIGIN))
    writer.archive.add([(MAX_PENDING + 10, ORIGIN)])
    writer.run(5.0)
    assert_that(len(writer.archive.pending), LessThan(MAX_PENDING + 1))
    assert_that(store.calls["lease"], LessThan(15))
    store.down = False
    writer.run(10.0)
    assert_that(found(store, [MAX_PENDING + 10, 500]), Equals([ORIGIN] * 2))
    assert_that(max(map(len, store.items.values())), LessThan(9 * MAX_ROWS))


def test_records_are_written_again_after_a_restore(store, writer):
    """Guards against records that a restore of the store loses."""
    streams = list(range(300))
    for stream in streams:
        writer.archive.add([(stream, ORIGIN)])
        writer.run(0.1)
    store.items.clear()
    writer.store.on_restored()
    writer.run(2.0)
    assert_that(set(found(store, streams)), Equals({ORIGIN}))


def test_incarnations_write_different_keys(store, writer):
    """Guards against a host that overwrites the records of its former self."""
    writer.archive.add([(1, ORIGIN)])
    writer.run(0.1)
    again = Writer(store, incarnation=2)
    again.archive.add([(2, ORIGIN)])
    again.run(0.1)
    assert_that(found(store, [1, 2]), Equals([ORIGIN] * 2))


def test_records_that_were_read_expire(store, writer):
    """Guards against memory that a start takes for good."""
    writer.archive.add([(1, ORIGIN)])
    writer.run(0.1)
    writer.load(store)
    writer.run(RETENTION_SECONDS + 1.0)
    assert_that(writer.archive.segments, Equals({}))


def test_unreadable_records_are_refused(writer):
    """Guards against keys that another program has written."""
    with pytest.raises(ProtocolError):
        writer.store.load(Entry(STREAMS_PREFIX + "x", b"\xff", 1))
