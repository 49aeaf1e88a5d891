"""Order of changes, leases and messages across restores of the store."""

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
