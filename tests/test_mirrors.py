"""Mirrors of the store, during outages and after lost history."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, task

from hyssopspring.core.events import HybridClock, Timeline
from hyssopspring.core.exceptions import KeyValueError
from hyssopspring.entry.mirrors import (
    MAX_REMOVALS,
    Changes,
    HistoryLostError,
    Mirror,
    Removal,
)
from hyssopspring.entry.watches import (
    LONG_WAIT_SECONDS,
    PrefixWatcher,
    StoreContact,
)
from hyssopspring.stores.keyvalues import Entry, Listing


class ScriptedStore:
    """A store that gives scripted answers."""

    def __init__(self, steps):
        self.steps = list(steps)
        self.calls = []

    def next(self, call):
        """Return the next scripted answer, or fail with it."""
        self.calls.append(call)
        if not self.steps:
            return defer.Deferred()
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            return defer.fail(step)
        return defer.succeed(step)

    def list(self, prefix):
        """Answer a listing."""
        return self.next(("list", prefix))

    def watch(self, prefix, after, wait):
        """Answer a watch."""
        return self.next(("watch", after))


class Recorder:
    """Record the callbacks of a mirror."""

    def __init__(self):
        self.written = []
        self.removed = []
        self.mirror = Mirror(
            lambda entry: self.written.append(entry.value),
            lambda key, outage: self.removed.append((key, outage)),
        )


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return task.Clock()


@pytest.fixture
def recorder():
    """Return a `Recorder`."""
    return Recorder()


@pytest.fixture
def follow(clock, recorder):
    """Return a function that follows a script to its end."""

    def start(*steps, wait=LONG_WAIT_SECONDS):
        script = ScriptedStore(steps)
        contact = StoreContact(
            clock, Timeline("h1", HybridClock(clock.seconds))
        )
        watcher = PrefixWatcher(
            script,
            "a/",
            recorder.mirror,
            contact,
            clock,
            random.Random(1),
            lambda prefix, changes, outage: None,
            lambda prefix: lambda: None,
            lambda: False,
            lambda: wait,
        )
        watcher.start()
        return script, contact, watcher

    return start


def test_an_older_entry_does_not_overwrite_a_newer_one(recorder):
    """Guards against a replaced value that comes back.

    The snapshot of a neighbour still contains the older value.
    """
    recorder.mirror.replace([Entry("a/1", b"new", 9)], 9)
    recorder.mirror.replace([Entry("a/1", b"old", 4)], 4)
    assert_that(recorder.written, Equals([b"new"]))


def test_changes_are_taken_in_the_order_of_their_revisions(recorder):
    """Guards against a lost key that was removed and written again.

    Both changes arrive in one answer.
    """
    recorder.mirror.put(Entry("a/1", b"one", 1))
    recorder.mirror.apply(
        Changes((Entry("a/1", b"two", 5),), (Removal("a/1", 3),), 5)
    )
    assert_that(recorder.mirror.entries["a/1"].value, Equals(b"two"))


def test_lost_history_is_made_up_by_a_new_listing(follow, recorder):
    """Guards against requests to a server that has left.

    It left while the store dropped its history. The watch gets an error that
    the requested history is gone; the next listing shows the removal.
    """
    script, _, _ = follow(
        Listing((Entry("a/1", b"x", 1), Entry("a/2", b"y", 2)), 2),
        HistoryLostError("gone"),
        Listing((Entry("a/2", b"y", 2),), 8),
    )
    assert_that(recorder.removed, Equals([("a/1", False)]))
    assert_that(script.calls[-1], Equals(("watch", 8)))


def test_a_watch_that_was_cut_is_followed_by_a_listing(
    follow, clock, recorder
):
    """Guards against requests handled with a replaced configuration.

    A change is made while watches receive nothing. The store then drops its
    history and closes all watches. A new watch that resumes from the last
    revision seen does not get the change, because the store no longer has it,
    and waits until the next one.
    """
    script, _, _ = follow(
        Listing((Entry("a/1", b"old", 1),), 1),
        KeyValueError("connection lost"),
        Listing((Entry("a/1", b"new", 5),), 6),
    )
    clock.advance(0.3)
    assert_that(recorder.written, Equals([b"old", b"new"]))
    assert_that(script.calls[-1], Equals(("watch", 6)))


def test_a_watch_that_brought_nothing_is_followed_by_a_listing(
    follow, recorder
):
    """Guards against requests to a draining server.

    The wait of a watch ends while watches receive nothing. Its answer names a
    revision beyond a change that it does not contain, and a watch that resumes
    from that revision never delivers the change.
    """
    script, _, _ = follow(
        Listing((Entry("a/1", b"ready", 1),), 1),
        Changes((), (), 7),
        Listing((Entry("a/1", b"leaving", 5),), 7),
    )
    assert_that(recorder.written, Equals([b"ready", b"leaving"]))
    assert_that(script.calls[-1], Equals(("watch", 7)))


def test_a_quiet_store_is_not_listed_again_and_again(follow):
    """Guards against a full listing by every host each few seconds.

    The wait of a watch has ended, and the store's revision shows that nothing
    has changed, so no change can have been missed.
    """
    script, _, _ = follow(
        Listing((Entry("a/1", b"x", 1),), 1),
        Changes((), (), 1),
    )
    assert_that(script.calls[-1], Equals(("watch", 1)))
    assert_that(len(script.calls), Equals(3))


def test_keys_below_other_prefixes_cause_few_listings(follow):
    """Guards against a full listing after each short watch."""
    entry = Entry("a/1", b"x", 1)
    script, _, _ = follow(
        Listing((entry,), 1), Changes((), (), 2), Changes((), (), 3), wait=3.0
    )
    assert_that(script.calls, Equals([("list", "a/"), *[("watch", 1)] * 3]))


def test_a_watch_that_has_become_too_long_is_restarted(follow, clock):
    """Guards against a first host of a region that keeps a dead watch.

    The watch started with a longer wait, while another host was the first.
    """
    script, _, watcher = follow(Listing((Entry("a/1", b"x", 1),), 1))
    clock.advance(9.0)
    watcher.check()
    assert_that(script.calls[-1], Equals(("watch", 1)))
    watcher.wait_seconds = lambda: 3.0
    watcher.check()
    assert_that(script.calls[-1], Equals(("list", "a/")))


def test_keys_lost_in_an_outage_are_marked(follow, clock, recorder):
    """Guards against dropping all servers when the store recovers.

    Their registrations expired while the store was down.
    """
    script, contact, _ = follow(
        Listing((Entry("a/1", b"x", 1),), 1),
        *[KeyValueError("down")] * 6,
        Listing((), 6),
    )
    while not recorder.removed:
        clock.advance(0.1)
    assert_that(recorder.removed, Equals([("a/1", True)]))
    assert contact.recovering
    clock.advance(3.0)
    assert not contact.recovering


def test_a_store_that_is_away_is_asked_seldom(follow, clock):
    """Guards against hosts that overload a store that is down with retries."""
    listing = Listing((Entry("a/1", b"x", 1),), 1)
    script, _, _ = follow(listing, *[KeyValueError("down")] * 200)
    for _ in range(100):
        clock.advance(0.1)
    assert 8 <= len(script.calls) <= 30


def test_a_host_without_a_listing_retries_more_often(follow, clock):
    """Guards against a host that serves no request after an outage.

    It started while the store was down. With the longest backoff it would
    notice the recovery about a second late.
    """
    script, _, _ = follow(*[KeyValueError("down")] * 200)
    for _ in range(100):
        clock.advance(0.1)
    assert 25 <= len(script.calls) <= 60


def test_a_listing_beside_the_watch_brings_back_nothing_old(recorder):
    """Guards against a new key that is lost again.

    A listing is older than the key that the watch has delivered since. If the
    listing were applied, it would remove an evacuation that is in force.
    """
    recorder.mirror.put(Entry("a/1", b"one", 3))
    recorder.mirror.put(Entry("a/2", b"two", 9))
    recorder.mirror.refresh(Listing((Entry("a/1", b"one", 3),), 5))
    assert_that(recorder.removed, Equals([]))


def test_a_listing_that_brings_nothing_new_makes_no_host_read_a_copy(recorder):
    """Guards against hosts that read snapshots from each other every second.

    The store's revision rises all the time. A host that adopted the revision
    of each listing would seem to be ahead of all others.
    """
    recorder.mirror.put(Entry("a/1", b"one", 3))
    recorder.mirror.refresh(Listing((Entry("a/1", b"one", 3),), 50))
    assert_that(recorder.mirror.newest_revision, Equals(3))
    recorder.mirror.refresh(Listing((Entry("a/1", b"new", 60),), 70))
    assert_that(recorder.written[-1], Equals(b"new"))
    assert_that(recorder.mirror.newest_revision, Equals(70))


def test_a_listing_that_comes_late_takes_no_newer_key_away(recorder):
    """Guards against an evacuation that ends when an older listing arrives.

    A neighbour broadcast the key while the listing was under way.
    """
    recorder.mirror.replace([Entry("a/1", b"one", 3)], 5)
    recorder.mirror.apply(Changes((Entry("a/2", b"two", 9),), (), 9))
    recorder.mirror.replace([Entry("a/1", b"one", 3)], 7)
    assert_that(recorder.removed, Equals([]))
    assert_that(recorder.mirror.newest_revision, Equals(9))
    recorder.mirror.replace([Entry("a/1", b"one", 3)], 12)
    assert_that(recorder.removed, Equals([("a/2", False)]))


def test_a_key_that_was_removed_does_not_come_back_older(recorder):
    """Guards against requests to a server that has left.

    Two hosts broadcast the entry of the server and its removal. The entry from
    the slower host arrives last; so does a listing made in between.
    """
    written = Changes((Entry("a/1", b"one", 5),), (), 5)
    recorder.mirror.apply(written)
    recorder.mirror.apply(Changes((), (Removal("a/1", 8),), 8))
    recorder.mirror.apply(written)
    recorder.mirror.replace([Entry("a/1", b"one", 5)], 6)
    assert_that(recorder.mirror.entries, Equals({}))
    assert_that(recorder.written, Equals([b"one"]))
    recorder.mirror.apply(Changes((Entry("a/1", b"two", 9),), (), 9))
    assert_that(recorder.written, Equals([b"one", b"two"]))


def test_a_removal_that_comes_first_is_not_undone(recorder):
    """Guards against a removed key that stays as its removal came first."""
    recorder.mirror.apply(Changes((), (Removal("a/1", 8),), 8))
    recorder.mirror.apply(Changes((Entry("a/1", b"one", 5),), (), 5))
    assert_that(recorder.written, Equals([]))


def test_a_listing_corrects_a_removal_that_was_wrong(recorder):
    """Guards against an unused server that was missing in one listing."""
    recorder.mirror.apply(Changes((Entry("a/1", b"one", 3),), (), 3))
    recorder.mirror.replace([], 6)
    recorder.mirror.replace([Entry("a/1", b"one", 3)], 9)
    assert_that(recorder.mirror.entries["a/1"].value, Equals(b"one"))


def test_removals_are_remembered_within_bounds(recorder):
    """Guards against memory that grows with each server that ever left."""
    for number in range(MAX_REMOVALS + 50):
        revision = number + 1
        removal = Removal(f"a/{number}", revision)
        recorder.mirror.apply(Changes((), (removal,), revision))
    assert_that(len(recorder.mirror.removals), Equals(MAX_REMOVALS))
    last = f"a/{MAX_REMOVALS + 49}"
    recorder.mirror.put(Entry(last, b"old", 1))
    assert_that(recorder.written, Equals([]))


def test_an_unexpected_error_does_not_end_a_watch_for_good(
    follow, clock, recorder
):
    """Guards against a host that never receives changes again.

    Handling one answer of the store raised an exception and ended the loop.
    """
    script, contact, _ = follow(
        Listing((Entry("a/1", b"old", 1),), 1),
        RuntimeError("a fault"),
        Listing((Entry("a/1", b"new", 5),), 6),
    )
    clock.advance(0.3)
    assert_that(recorder.written, Equals([b"old", b"new"]))
    noted = [event.name for event in contact.timeline.select()]
    assert_that(noted.count("unexpected"), Equals(1))


def test_a_copy_that_brings_nothing_is_no_evidence_against_a_watch(
    follow, clock, recorder
):
    """Guards against repeated listings for as long as the store changes.

    A listing names the revision of the whole store, which rises with all keys.
    A neighbour's snapshot of it seems newer than the watch.
    """
    entry = Entry("a/1", b"x", 1)
    script, _, watcher = follow(Listing((entry,), 5))
    recorder.mirror.replace([entry], 50)
    for _ in range(6):
        clock.advance(0.5)
        watcher.check()
    assert_that(script.calls[-1], Equals(("watch", 5)))


def test_a_change_that_came_otherwise_is_evidence_against_a_watch(
    follow, clock, recorder
):
    """Guards against a dead watch that is kept until its wait ends."""
    script, _, watcher = follow(Listing((Entry("a/1", b"x", 1),), 5))
    recorder.mirror.apply(Changes((Entry("a/1", b"y", 9),), (), 9))
    for _ in range(3):
        clock.advance(0.5)
        watcher.check()
    assert_that(script.calls[-1], Equals(("list", "a/")))
