"""Versions that services have had, in the store."""

from types import SimpleNamespace

import msgspec
import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan
from twisted.internet import defer, task

from hyssopspring.core.exceptions import ProtocolError
from hyssopspring.core.revisions import join_revision
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.versionstore import VERSIONS_KEY, VersionStore
from hyssopspring.stores.keyvalues import (
    Applied,
    Entry,
    Listing,
    NotApplied,
    WriteUnknown,
)
from hyssopspring.traffic.versionhistory import MAX_VERSIONS, VersionHistory


class OneKey:
    """A store with one key.

    Attributes:
        lose: Number of responses that are still to be lost.
    """

    def __init__(self):
        self.era = 0
        self.entry = NOTHING
        self.number = 0
        self.writes = 0
        self.lose = 0

    async def swap(self, key, value, revision):
        """Write the key if it has not changed."""
        self.writes += 1
        present = 0 if self.entry is NOTHING else self.entry.revision
        if revision != present:
            return NotApplied(self.entry)
        self.number += 1
        self.entry = Entry(key, value, join_revision(self.era, self.number))
        if self.lose:
            self.lose -= 1
            return WriteUnknown("lost")
        return Applied(self.entry.revision)

    async def list(self, prefix):
        """Return the key."""
        entries = () if self.entry is NOTHING else (self.entry,)
        return Listing(entries, 0)


class Writer:
    """A host that writes the history to a store."""

    def __init__(self, store):
        self.clock = task.Clock()
        self.history = VersionHistory()
        self.store = VersionStore(
            store,
            self.history,
            self.clock,
            SimpleNamespace(note=lambda *args, **more: None),
            defer.ensureDeferred,
            lambda: True,
        )
        if store.entry is not NOTHING:
            self.store.load(store.entry)
        self.store.on_listed()

    def tick(self, count=3):
        """Do the work of some heartbeat intervals."""
        for _ in range(count):
            self.clock.advance(0.4)
            self.store.tick()


@pytest.fixture
def store():
    """Return a store without the key."""
    return OneKey()


def stored(store):
    """Return what the store has, decoded."""
    return msgspec.json.decode(store.entry.value)


def test_two_hosts_write_the_union(store):
    """Guards against a version that the write of another host removes."""
    first, second = Writer(store), Writer(store)
    first.history.add("s", "v1")
    second.history.add("s", "v2")
    for _ in range(3):
        first.tick(1)
        second.tick(1)
    assert_that(sorted(stored(store)["services"]["s"]), Equals(["v1", "v2"]))
    assert_that(Writer(store).history.single("s"), Equals(""))


def test_a_version_is_written_once(store):
    """Guards against calls to the store that a calm day does not need."""
    writer = Writer(store)
    writer.history.add("s", "v1")
    writer.tick(50)
    writer.history.add("s", "v1")
    writer.tick(50)
    assert_that(store.writes, Equals(1))


def test_a_write_without_a_response_is_repeated(store):
    """Guards against a version that is taken for stored, and the reverse."""
    store.lose = 1
    writer = Writer(store)
    writer.history.add("s", "v1")
    writer.tick(5)
    assert_that(stored(store)["services"], Equals({"s": ["v1"]}))
    assert_that(store.writes, LessThan(4))


def test_a_host_that_outlasts_a_restore_writes_all_again(store):
    """Guards against a version that a restore loses."""
    writer = Writer(store)
    writer.history.add("s", "v1")
    writer.tick()
    copy = store.entry
    writer.history.add("s", "v2")
    writer.tick()
    store.entry, store.era = copy, 1
    writer.store.on_restored()
    writer.tick()
    assert_that(stored(store)["services"], Equals({"s": ["v1", "v2"]}))
    assert_that(stored(store)["era"], Equals(1))
    assert not writer.history.has_gap


def test_a_host_that_starts_after_a_restore_trusts_no_history(store):
    """Guards against a version that a restore has lost while all are down."""
    writer = Writer(store)
    writer.history.add("s", "v1")
    writer.tick()
    store.era = 1
    later = Writer(store)
    later.tick(10)
    assert later.history.is_loaded
    assert_that(later.history.single("s"), Equals(""))
    assert_that(Writer(store).history.single("s"), Equals(""))


def test_a_host_that_starts_right_after_a_restore_waits(store):
    """Guards against a gap that no version has fallen into."""
    writer = Writer(store)
    writer.history.add("s", "v1")
    writer.tick()
    store.era = 1
    later = Writer(store)
    assert_that(later.history.single("s"), Equals(""))
    writer.store.on_restored()
    writer.tick()
    later.tick(10)
    assert_that(later.history.single("s"), Equals("v1"))


def test_an_unreadable_history_proves_nothing(store):
    """Guards against a guess from a history that another program wrote."""
    store.entry = Entry(VERSIONS_KEY, b"[]", 7)
    writer = Writer(OneKey())
    with pytest.raises(ProtocolError):
        writer.store.load(store.entry)
    writer.history.add("s", "v1")
    assert_that(writer.history.single("s"), Equals(""))


def test_a_history_is_bounded():
    """Guards against a key that grows with all releases."""
    history = VersionHistory()
    for number in range(2 * MAX_VERSIONS):
        history.add("s", f"v{number}")
    assert_that(len(history.versions["s"]), Equals(MAX_VERSIONS))
    assert history.may_have_several("s")


@pytest_twisted.ensureDeferred
async def test_hosts_write_what_is_listed(hosts):
    """Guards against a history that no host writes, or all of them."""
    await hosts.until(lambda: VERSIONS_KEY in hosts.store.items)
    expected = {"engine": ["v1"], "plain": ["v1"]}
    assert_that(
        hosts.store.get_json(VERSIONS_KEY)["services"], Equals(expected)
    )
    first = hosts.store.items[VERSIONS_KEY]["revision"]
    hosts.register_again("engine-north", version="v2")
    await hosts.until(
        lambda: hosts.store.items[VERSIONS_KEY]["revision"] > first
    )
    services = hosts.store.get_json(VERSIONS_KEY)["services"]
    assert_that(services["engine"], Equals(["v1", "v2"]))


@pytest_twisted.ensureDeferred
async def test_the_history_outlasts_a_restore(hosts):
    """Guards against a restored key that lacks a version."""
    await hosts.until(lambda: VERSIONS_KEY in hosts.store.items)
    copy = hosts.store.copy()
    hosts.register_again("engine-north", version="v2")
    await hosts.until(lambda: "v2" in str(hosts.store.get_json(VERSIONS_KEY)))
    hosts.store.restore(copy)
    hosts.store.write_again(("servers/", "op/"))
    await hosts.until(
        lambda: hosts.store.get_json(VERSIONS_KEY)["era"] == 1,
    )
    assert_that(
        hosts.store.get_json(VERSIONS_KEY)["services"]["engine"],
        Equals(["v1", "v2"]),
    )
