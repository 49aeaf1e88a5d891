"""Order of changes, leases and messages across restores of the store."""

import random

import msgspec
import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is
from twisted.internet import reactor
from twisted.web.http_headers import Headers

from hyssopspring.core.revisions import (
    era_of,
    first_of_era,
    join_revision,
    number_of,
)
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.membership import revisions_from_heartbeat
from hyssopspring.entry.messages import (
    Heartbeat,
    StoreChange,
    decode_message,
    encode_message,
)
from hyssopspring.entry.mirrors import (
    CARRIED_SECONDS,
    POSTPONED_SECONDS,
    Changes,
    Mirror,
    Removal,
)
from hyssopspring.entry.replication import decode_entries, encode_items
from hyssopspring.platform.store import read_era
from hyssopspring.stores.keyvalues import Applied, Entry, Listing, NotApplied
from hyssopspring.traffic.members import Subscription

FIRST_NEW_FIELDS = {"heartbeat": "eras", "change": "era"}


class Recorder:
    """A mirror of keys, and what it has reported.

    The value of the key ``a/config`` is its version.
    """

    def __init__(self):
        self.written = []
        self.removed = []
        self.mirror = Mirror(
            lambda entry: self.written.append(entry.value),
            lambda key, outage: self.removed.append(key),
            version_of=lambda entry: (
                int(entry.value) if entry.key == "a/config" else NOTHING
            ),
        )


def entry(key, value, number, era=0):
    """Return an `Entry` of an era."""
    return Entry(f"a/{key}", value, join_revision(era, number))


def changes(*entries):
    """Return the `Changes` of a watch."""
    return Changes(entries, (), entries[-1].revision)


@pytest.fixture
def recorder():
    """Return a `Recorder` whose mirror has seen 100 revisions."""
    made = Recorder()
    made.mirror.replace(
        [
            entry("config", b"63", 97),
            entry("s1", b"ready", 95),
            entry("s2", b"ready", 20),
        ],
        100,
    )
    return made


def restore(recorder, *entries, number=90, era=1):
    """Apply the first listing after a restore."""
    recorder.mirror.replace(entries, join_revision(era, number))


def test_a_later_era_goes_before_all_revisions_of_an_earlier_one():
    """Guards against a restored store whose changes are taken for old."""
    revision = join_revision(2, 7)
    assert revision > join_revision(1, 10**12)
    assert_that((era_of(revision), number_of(revision)), Equals((2, 7)))
    assert_that(first_of_era(revision), Equals(join_revision(2, 0)))
    assert_that(join_revision(0, 5), Equals(5))


def test_a_change_with_a_lower_number_is_applied_in_a_later_era(recorder):
    """Guards against a change that is ignored as its number was seen."""
    restore(recorder, entry("config", b"60", 50, 1), entry("s1", b"r", 40, 1))
    recorder.mirror.apply(changes(entry("config", b"66", 91, 1)))
    assert_that(recorder.mirror.entries["a/config"].value, Equals(b"66"))
    assert_that(recorder.written[-1], Equals(b"66"))


def test_a_lost_version_stays_until_it_is_written_again(recorder):
    """Guards against the older configuration of the copy."""
    recorder.written.clear()
    restore(recorder, entry("config", b"60", 50, 1))
    assert_that(recorder.mirror.entries["a/config"].value, Equals(b"63"))
    recorder.mirror.apply(changes(entry("config", b"62", 91, 1)))
    recorder.mirror.settle(0.0)
    recorder.mirror.settle(CARRIED_SECONDS)
    assert_that(recorder.mirror.entries["a/config"].value, Equals(b"63"))
    assert_that(recorder.written, Equals([]))


def test_a_version_that_the_copy_lacks_stays(recorder):
    """Guards against a configuration that is dropped with its key."""
    restore(recorder)
    recorder.mirror.settle(0.0)
    recorder.mirror.settle(CARRIED_SECONDS)
    assert_that(recorder.mirror.entries["a/config"].value, Equals(b"63"))


@pytest.mark.parametrize("channel", ["listing", "watch"])
def test_what_arrives_late_from_an_earlier_era_changes_nothing(
    recorder, channel
):
    """Guards against a lost write that comes back after the restore."""
    restore(
        recorder, entry("config", b"63", 50, 1), entry("s1", b"new", 91, 1)
    )
    recorder.mirror.settle(0.0)
    recorder.mirror.settle(CARRIED_SECONDS)
    recorder.written.clear()
    late = [entry("s1", b"old", 99), entry("s3", b"old", 99)]
    if channel == "listing":
        recorder.mirror.replace(late, 120)
    else:
        recorder.mirror.apply(
            Changes(tuple(late), (Removal("a/config", 120),), 120)
        )
    assert_that(recorder.written, Equals([]))
    assert_that(sorted(recorder.mirror.entries), Equals(["a/config", "a/s1"]))
    assert_that(era_of(recorder.mirror.newest_revision), Equals(1))


def test_a_higher_version_is_applied_from_any_era(recorder):
    """Guards against a host that has only the version of the copy.

    Its neighbour has not heard of the restore, and has the lost version.
    """
    restore(recorder, entry("config", b"63", 50, 1))
    recorder.mirror.apply(changes(entry("config", b"64", 99)))
    assert_that(recorder.mirror.entries["a/config"].value, Equals(b"64"))
    kept = recorder.mirror.revision_of("a/config")
    assert_that(era_of(kept), Equals(1))


def test_keys_that_the_copy_lacks_are_kept_until_they_are_due(recorder):
    """Guards against servers that are dropped with their lost entries."""
    restore(recorder, entry("config", b"63", 50, 1))
    restore(recorder, entry("config", b"63", 50, 1), number=91)
    recorder.mirror.settle(0.0)
    recorder.mirror.apply(changes(entry("s1", b"ready", 92, 1)))
    recorder.mirror.settle(CARRIED_SECONDS - 0.1)
    assert_that(recorder.removed, Equals([]))
    recorder.mirror.settle(CARRIED_SECONDS)
    assert_that(recorder.removed, Equals(["a/s2"]))


def test_a_key_that_is_removed_after_a_restore_is_not_kept(recorder):
    """Guards against a removal that waits for the end of the period."""
    restore(recorder, entry("config", b"63", 50, 1))
    removal = Removal("a/s1", join_revision(1, 91))
    recorder.mirror.apply(Changes((), (removal,), removal.revision))
    assert_that(recorder.removed, Equals(["a/s1"]))


def test_a_key_of_the_copy_that_was_removed_is_not_used_at_once(recorder):
    """Guards against requests to a server that is gone since the copy."""
    recorder.mirror.apply(Changes((), (Removal("a/s2", 101),), 101))
    recorder.written.clear()
    listed = [entry("config", b"63", 50, 1), entry("s2", b"ready", 20, 1)]
    restore(recorder, *listed)
    restore(recorder, *listed, number=91)
    recorder.mirror.settle(10.0)
    assert_that(recorder.written, Equals([]))
    assert_that(
        recorder.mirror.difference(
            Listing(tuple(listed), join_revision(1, 91))
        ).entries,
        Equals(()),
    )
    recorder.mirror.settle(10.1 + POSTPONED_SECONDS)
    assert_that(recorder.written, Equals([b"ready"]))


def test_a_removed_key_that_is_written_again_is_used(recorder):
    """Guards against a server that is not used once it is back."""
    recorder.mirror.apply(Changes((), (Removal("a/s2", 101),), 101))
    restore(recorder, entry("s2", b"ready", 20, 1))
    recorder.mirror.apply(changes(entry("s2", b"back", 91, 1)))
    assert_that(recorder.written[-1], Equals(b"back"))
    assert_that(recorder.mirror.postponed, Equals({}))


def test_an_unchanged_value_is_not_reported_again(recorder):
    """Guards against servers that count as cold again after a restore."""
    recorder.written.clear()
    restore(
        recorder, entry("config", b"63", 50, 1), entry("s2", b"ready", 20, 1)
    )
    recorder.mirror.apply(changes(entry("s1", b"ready", 91, 1)))
    assert_that(recorder.written, Equals([]))


def test_a_view_is_not_confirmed_while_a_version_may_be_lost(recorder):
    """Guards against a revoked key that is accepted after a restore."""
    assert_that(recorder.mirror.reflects_writers, Equals(True))
    restore(recorder, entry("config", b"60", 50, 1))
    assert_that(recorder.mirror.reflects_writers, Equals(False))
    recorder.mirror.apply(changes(entry("config", b"61", 91, 1)))
    assert_that(recorder.mirror.reflects_writers, Equals(False))
    recorder.mirror.apply(changes(entry("config", b"63", 92, 1)))
    assert_that(recorder.mirror.reflects_writers, Equals(True))


def test_a_start_after_a_restore_confirms_no_view_at_once():
    """Guards against a 404 for a route whose version the store has lost.

    All hosts have started since, so that none has that version.
    """
    fresh = Recorder()
    restore(fresh, entry("config", b"60", 50, 1))
    assert_that(fresh.mirror.reflects_writers, Equals(False))
    fresh.mirror.settle(0.0)
    fresh.mirror.settle(CARRIED_SECONDS)
    assert_that(fresh.mirror.reflects_writers, Equals(True))
    never = Recorder()
    never.mirror.replace([entry("config", b"60", 50)], 90)
    assert_that(never.mirror.reflects_writers, Equals(True))


def test_two_restores_in_a_row_are_followed(recorder):
    """Guards against a second restore within the periods of the first."""
    restore(recorder, entry("config", b"63", 50, 1))
    recorder.mirror.settle(10.0)
    restore(recorder, entry("config", b"60", 40, 2), number=80, era=2)
    recorder.mirror.settle(11.0)
    recorder.mirror.settle(10.0 + CARRIED_SECONDS)
    assert_that(recorder.removed, Equals([]))
    recorder.mirror.apply(changes(entry("config", b"64", 81, 2)))
    assert_that(recorder.mirror.entries["a/config"].value, Equals(b"64"))


@pytest.mark.parametrize(
    ("values", "era"),
    [([b"3"], 3), ([], 0), ([b"-1"], 0), ([b"x"], 0), ([b"9" * 30], 0)],
)
def test_an_invalid_era_is_not_believed(values, era):
    """Guards against one bad answer that outranks all later eras."""
    headers = Headers({b"store-era": values} if values else {})
    assert_that(read_era(headers), Equals(era))


def heartbeat(revisions, eras):
    """Return a `Heartbeat` of a host."""
    address = "127.0.0.29:9"
    place = ("h", 1, "r", "d", address, address, address)
    state = (1.0, 9.0, False, 0.1, 3, revisions, Subscription.NONE)
    return Heartbeat(*place, *state, eras=eras)


def test_messages_carry_eras_and_lack_them_from_older_hosts():
    """Guards against unread messages while hosts of two builds run."""
    messages = {
        "heartbeat": heartbeat((7, 9), [2, 1]),
        "change": StoreChange("h", "op/", 7, [], [], False, 2),
    }
    older = {}
    for name, message in messages.items():
        row = msgspec.msgpack.decode(encode_message(message))
        known = message.__struct_fields__.index(FIRST_NEW_FIELDS[name])
        shorter = msgspec.msgpack.encode(row[: 1 + known])
        older[name] = decode_message(shorter)
        assert_that(decode_message(encode_message(message)), Equals(message))
    assert_that(older["change"].era, Equals(0))
    assert_that(
        revisions_from_heartbeat(messages["heartbeat"]),
        Equals((join_revision(2, 7), join_revision(1, 9))),
    )
    assert_that(revisions_from_heartbeat(older["heartbeat"]), Equals((7, 9)))


def test_hosts_of_an_earlier_release_are_not_relied_on(hosts):
    """Guards against a host that hears of changes from older hosts only.

    These ignore all changes after a restore.
    """
    north = hosts.processes["h-north"]
    now = reactor.seconds()
    own = north.members.own
    older = heartbeat((7, 9), [])
    for name in ("h-1", "h-2"):
        message = msgspec.structs.replace(
            older, host=name, region="north", capacity=9.0, up_seconds=99.0
        )
        north.membership.handle_heartbeat(message)
    ranked = north.members.placers(now)
    assert_that([one.name for one in ranked][:2], Equals(["h-1", "h-2"]))
    assert_that(north.store_sync.watching_hosts(now), Equals([own]))


@pytest_twisted.ensureDeferred
async def test_a_lease_of_an_earlier_era_is_left_alone(hosts):
    """Guards against ending the lease of another host after a restore.

    Its identifier was given out again.
    """
    store = hosts.processes["h-north"].store_sync.store
    copy = hosts.store.copy()
    lease = await store.grant_lease(9.0)
    hosts.store.restore(copy)
    other = await store.grant_lease(9.0)
    assert_that(other.id, Equals(lease.id))
    assert_that(await store.put("hyssop/x", b"x", lease), Equals(NotApplied()))
    await store.end_lease(lease)
    assert_that(await store.renew_lease(lease), Equals(False))
    assert_that(await store.renew_lease(other), Equals(True))
    written = await store.put("hyssop/x", b"x", other)
    assert_that(type(written), Is(Applied))
    assert_that(era_of(written.revision), Equals(1))


class RandomHistory:
    """A store with restores, mirrors, and readings that arrive late.

    Args:
        seed: Seed of the run.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.items = {"a/config": Entry("a/config", b"1", 1)}
        self.wanted = {"a/config": b"1"}
        self.revision = 1
        self.era = 0
        self.copies = []
        self.readings = []
        self.now = 0.0
        self.recorders = [Recorder() for _ in range(3)]
        self.versions = [0] * 3
        self.read_all()

    def step(self):
        """Do one thing at random."""
        actions = (
            self.change_config,
            self.change_server,
            self.change_server,
            self.remove_server,
            self.copy,
            self.restore,
            self.write_again,
            self.capture,
            self.deliver,
            self.deliver,
            self.share,
            self.wait,
        )
        self.rng.choice(actions)()
        self.check_versions()

    def put(self, key, value):
        """Write a key."""
        self.revision += 1
        written = Entry(key, value, join_revision(self.era, self.revision))
        self.items[key] = written
        self.wanted[key] = value
        self.readings.append(changes(written))

    def change_config(self):
        """Write the next version."""
        self.put("a/config", b"%d" % (int(self.wanted["a/config"]) + 1))

    def change_server(self):
        """Write the entry of a server."""
        key = f"a/s{self.rng.randint(1, 4)}"
        self.put(key, b"%d" % self.revision)

    def remove_server(self):
        """Remove the entry of a server."""
        key = f"a/s{self.rng.randint(1, 4)}"
        self.wanted.pop(key, None)
        if self.items.pop(key, None):
            self.revision += 1
            at = join_revision(self.era, self.revision)
            self.readings.append(Changes((), (Removal(key, at),), at))

    def copy(self):
        """Take a copy of the store."""
        self.copies = [*self.copies[-2:], (dict(self.items), self.revision)]

    def restore(self):
        """Come back from a copy."""
        if self.copies:
            items, self.revision = self.rng.choice(self.copies)
            self.era += 1
            self.items = {
                key: Entry(
                    key,
                    one.value,
                    join_revision(self.era, number_of(one.revision)),
                )
                for key, one in items.items()
            }

    def write_again(self):
        """Make all lost changes again."""
        for key, value in list(self.wanted.items()):
            if key not in self.items or self.items[key].value != value:
                self.put(key, value)
        for key in set(self.items) - set(self.wanted):
            self.wanted[key] = b""
            self.remove_key(key)

    def remove_key(self, key):
        """Remove one key for good."""
        del self.wanted[key], self.items[key]
        self.revision += 1
        at = join_revision(self.era, self.revision)
        self.readings.append(Changes((), (Removal(key, at),), at))

    def listing(self):
        """Return a `Listing` of the store."""
        at = join_revision(self.era, self.revision)
        return Listing(tuple(self.items.values()), at)

    def capture(self):
        """Read a listing that arrives later."""
        self.readings.append(self.listing())

    def deliver(self):
        """Hand a reading to one mirror, maybe late and not in order."""
        if self.readings:
            reading = self.rng.choice(self.readings[-12:])
            mirror = self.rng.choice(self.recorders).mirror
            if isinstance(reading, Listing):
                mirror.replace(reading.entries, reading.revision)
            else:
                mirror.apply(reading)

    def share(self):
        """Let a mirror take the snapshot of another one."""
        source, target = self.rng.sample(self.recorders, 2)
        if source.mirror.newest_revision > target.mirror.newest_revision:
            newest = source.mirror.newest_revision
            rows = decode_entries(encode_items(source.mirror), era_of(newest))
            target.mirror.replace(rows, newest)

    def wait(self):
        """Let time pass."""
        self.now += self.rng.choice((0.1, 1.0, 3.0))
        for one in self.recorders:
            one.mirror.settle(self.now)

    def read_all(self):
        """Hand a present listing to each mirror."""
        listing = self.listing()
        for one in self.recorders:
            one.mirror.replace(listing.entries, listing.revision)

    def check_versions(self):
        """Check that no mirror goes back to a lower version."""
        for number, one in enumerate(self.recorders):
            version = int(one.mirror.entries["a/config"].value)
            assert version >= self.versions[number]
            self.versions[number] = version

    def end(self):
        """Write all again, let the periods end, and read once more."""
        self.write_again()
        self.read_all()
        for _ in range(3):
            self.now += POSTPONED_SECONDS
            for one in self.recorders:
                one.mirror.settle(self.now)
        self.revision += 1
        self.read_all()

    def values(self, recorder):
        """Return the value of each key in a mirror."""
        entries = recorder.mirror.entries
        return {key: one.value for key, one in entries.items()}


@pytest.mark.parametrize("seed", range(100))
def test_mirrors_follow_a_store_through_random_restores(seed):
    """Guards against a mirror that goes back, or differs for good."""
    history = RandomHistory(seed)
    for _ in range(150):
        history.step()
    history.end()
    for recorder in history.recorders:
        assert_that(history.values(recorder), Equals(history.wanted))
