"""A store that comes back from a copy: lost writes, revisions given again."""

import json

import pytest_twisted
from entry_hosts import configuration
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import reactor, task

from hyssopspring.core.revisions import era_of, join_revision
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.messages import Heartbeat
from hyssopspring.entry.mirrors import CARRIED_SECONDS, Changes
from hyssopspring.stores.keyvalues import Entry
from hyssopspring.traffic.routes import Configuration
from hyssopspring.traffic.servers import Usability

APPLY_SECONDS = 4.0
"""Time limit for a change to be in force at every host."""


def versions(hosts):
    """Return the versions that the hosts have in force."""
    return {one.keeper.version for one in hosts.processes.values()}


async def lose(hosts, revisions, version):
    """Have the store lose its newest writes, a configuration among them.

    Args:
        hosts: The `Hosts`.
        revisions: Number of writes that are lost.
        version: Version of the configuration that is lost; it is in force.
    """
    copy = hosts.store.copy()
    for number in range(revisions - 1):
        hosts.store.put_json("servers/other", {"seq": number})
    hosts.store.put_json("op/config", configuration(version))
    await hosts.until(lambda: versions(hosts) == {version})
    hosts.store.restore(copy)


@pytest_twisted.ensureDeferred
async def test_a_change_after_a_restore_is_in_force_in_time(hosts):
    """Hosts ignore each change whose revision they have seen before."""
    await hosts.with_resting_host()
    await lose(hosts, 62, version=5)
    await task.deferLater(reactor, 1.0)
    assert_that(versions(hosts), Equals({5}))
    hosts.store.put_json("op/config", configuration(5))
    await task.deferLater(reactor, 1.0)
    hosts.store.put_json("op/config", configuration(6))
    await hosts.until(lambda: versions(hosts) == {6}, within=APPLY_SECONDS)


@pytest_twisted.ensureDeferred
async def test_a_change_before_the_lost_one_is_written_again_is_in_force(
    hosts,
):
    """The next version is taken for older than the lost one."""
    await lose(hosts, 5, version=5)
    hosts.store.put_json("op/config", configuration(6))
    await hosts.until(lambda: versions(hosts) == {6}, within=APPLY_SECONDS)
    hosts.store.put_json("op/config", configuration(5))
    await task.deferLater(reactor, 0.5)
    assert_that(versions(hosts), Equals({6}))


@pytest_twisted.ensureDeferred
async def test_a_change_after_two_restores_is_in_force_in_time(hosts):
    """A second restore strikes while the first is being made good."""
    await hosts.with_resting_host()
    await lose(hosts, 30, version=5)
    await lose(hosts, 3, version=6)
    await task.deferLater(reactor, 0.3)
    hosts.store.put_json("op/config", configuration(7))
    await hosts.until(lambda: versions(hosts) == {7}, within=APPLY_SECONDS)


@pytest_twisted.ensureDeferred
async def test_a_silent_watch_hides_no_restore(proxied_hosts):
    """A watch that passes nothing any more began before the restore."""
    hosts = proxied_hosts
    await task.deferLater(reactor, 1.0)
    copy = hosts.store.copy()
    hosts.store.put_json("op/config", configuration(5))
    await hosts.until(lambda: versions(hosts) == {5})
    for proxy in hosts.proxies.values():
        proxy.silence()
    hosts.store.restore(copy)
    hosts.store.put_json("op/config", configuration(6))
    await hosts.until(lambda: versions(hosts) == {6}, within=APPLY_SECONDS)


@pytest_twisted.ensureDeferred
async def test_a_host_without_the_store_follows_its_region_into_an_era(
    proxied_hosts,
):
    """A host that is cut off from the store takes changes for older ones."""
    hosts = proxied_hosts
    _, cut = await hosts.with_resting_host()
    await task.deferLater(reactor, 1.0)
    proxy = hosts.proxies[cut.settings.host]
    proxy.silence()
    proxy.cut = True
    await lose(hosts, 30, version=5)
    hosts.store.put_json("op/config", configuration(6))
    await hosts.until(lambda: versions(hosts) == {6}, within=APPLY_SECONDS)
    await hosts.until(lambda: cut.store_sync.operator.era == 1)
    assert_that(cut.store_sync.store.era, Equals(0))
    proxy.cut = False
    await hosts.until(lambda: cut.store_sync.store.era == 1)
    hosts.store.put_json("op/config", configuration(7))
    await hosts.until(lambda: versions(hosts) == {7}, within=APPLY_SECONDS)


@pytest_twisted.ensureDeferred
async def test_a_host_that_starts_after_a_restore_has_the_lost_version(hosts):
    """A host that starts takes the older version of the copy for the newest.

    The lost version is not written again meanwhile.
    """
    await lose(hosts, 10, version=5)
    await task.deferLater(reactor, 0.5)
    hosts.add_host("h-north-5", "north", 5)
    await hosts.until(lambda: versions(hosts) == {5}, within=APPLY_SECONDS)


@pytest_twisted.ensureDeferred
async def test_a_server_that_leaves_after_a_restore_gets_nothing_more(hosts):
    """Hosts ignore that a server leaves, as they have seen that revision."""
    north, _ = await hosts.with_resting_host()
    copy = hosts.store.copy()
    for number in range(20):
        hosts.register_again("plain-north", seq=number + 2)
    await hosts.until(
        lambda: all(
            p.store_sync.servers.revision_of("servers/plain-north")
            == hosts.store.revision
            for p in north
        )
    )
    hosts.store.restore(copy)
    await task.deferLater(reactor, 0.5)
    hosts.register_again("plain-north", state="draining")
    await hosts.until(
        lambda: all(is_leaving(p, "plain-north") for p in north),
        within=APPLY_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_a_lost_word_that_a_server_leaves_is_kept(hosts):
    """The copy lists a server as ready that has said that it leaves."""
    north, _ = await hosts.with_resting_host()
    copy = hosts.store.copy()
    hosts.register_again("plain-north", state="draining")
    await hosts.until(lambda: all(is_leaving(p, "plain-north") for p in north))
    hosts.store.restore(copy)
    await hosts.until(
        lambda: all(
            era_of(p.store_sync.servers.newest_revision) for p in north
        )
    )
    hosts.add_host("h-north-2", "north", 2)
    fresh = hosts.processes["h-north-2"]
    await hosts.until(lambda: is_leaving(fresh, "plain-north"))
    await task.deferLater(reactor, CARRIED_SECONDS + 1.0)
    assert all(is_leaving(p, "plain-north") for p in (*north, fresh))


@pytest_twisted.ensureDeferred
async def test_a_server_whose_entry_is_lost_is_used_meanwhile(hosts):
    """Callers are refused until a server has written its entry again."""
    copy = hosts.store.copy()
    hosts.add_backend("plain-2", "plain", "north")
    hosts.store.remove("servers/plain-north")
    north = hosts.processes["h-north"]
    await hosts.until(
        lambda: plain_servers(north) == {"plain-2"}, within=APPLY_SECONDS
    )
    hosts.store.restore(copy)
    await hosts.until(lambda: north.store_sync.servers.era)
    assert_that(plain_servers(north), Equals({"plain-2"}))
    await hosts.until(
        lambda: not plain_servers(north), within=CARRIED_SECONDS + 1.0
    )


@pytest_twisted.ensureDeferred
async def test_hosts_write_their_entries_again_once(hosts):
    """Entries of hosts are missing after a restore, or written for ever."""
    empty = hosts.store.copy()
    for name in hosts.processes:
        empty.items.pop(f"hyssop/hosts/{name}", None)
    empty.leases.clear()
    hosts.store.restore(empty)
    keys = {f"hyssop/hosts/{name}" for name in hosts.processes}
    await hosts.until(lambda: keys <= set(hosts.store.items))
    written = {key: hosts.store.items[key]["revision"] for key in keys}
    await task.deferLater(reactor, 3.0)
    again = {key: hosts.store.items[key]["revision"] for key in keys}
    assert_that(again, Equals(written))


@pytest_twisted.ensureDeferred
async def test_a_restore_is_one_event_at_each_host(hosts):
    """A restore is not told from an outage, or is logged over and over."""
    await lose(hosts, 5, version=5)
    await task.deferLater(reactor, 3.5)
    for process in hosts.processes.values():
        process.log_writer.flush()
    lines = hosts.decoded("store_restored")
    assert_that(
        sorted((line["host"], line["store_era"]) for line in lines),
        Equals([("h-north", "1"), ("h-south", "1")]),
    )


@pytest_twisted.ensureDeferred
async def test_hosts_that_all_start_after_a_restore_deny_no_lost_route(hosts):
    """Callers get 404 on a route of the version that the store has lost.

    No host has that version any more.
    """
    await lose(hosts, 5, version=5)
    for name in list(hosts.processes):
        await hosts.processes.pop(name).close()
    hosts.add_host("h-alone", "north", 5)
    await hosts.until(hosts.processes["h-alone"].is_ready)
    status, _, _ = await hosts.send("h-alone", "/lost/a", identifier="r1")
    assert_that(status, Equals(503))
    await task.deferLater(reactor, CARRIED_SECONDS + 0.6)
    status, _, _ = await hosts.send("h-alone", "/lost/a", identifier="r2")
    assert_that(status, Equals(404))


@pytest_twisted.ensureDeferred
async def test_a_late_watch_of_an_earlier_era_is_not_passed_on(hosts):
    """A neighbour gets a lost write, with a gap of another era."""
    north = hosts.processes["h-north"]
    await lose(hosts, 5, version=5)
    mirror = north.store_sync.operator
    await hosts.until(lambda: mirror.era)
    sent = []
    north.store_sync.replication.broadcast = sent.append
    for era, number in ((0, 99), (1, 99)):
        late = Entry("op/evacuate/north-a", b"{}", join_revision(era, number))
        north.store_sync.replication.broadcast_changes(
            "op/", Changes((late,), (), late.revision), False
        )
    assert_that([message.era for message in sent], Equals([1]))


@pytest_twisted.ensureDeferred
async def test_a_region_takes_a_lost_version_from_another_one(hosts):
    """A region that missed the lost version keeps and confirms an older one.

    The operator has not written the lost version again.
    """
    north, south = (
        hosts.processes[f"h-{name}"] for name in ("north", "south")
    )
    await lose(hosts, 5, version=5)
    put_older_version_in_force(south)
    await hosts.until(lambda: south.keeper.version == 5, within=APPLY_SECONDS)
    south.log_writer.flush()
    applied = [
        line
        for line in hosts.decoded("config_applied")
        if line["host"] == "h-south" and line["version"] == "5"
    ]
    assert_that(applied[-1]["version_by"], Equals("copy"))
    assert_that(north.keeper.version, Equals(5))


@pytest_twisted.ensureDeferred
async def test_one_report_is_enough_to_take_a_lost_version(hosts):
    """A region waits for a second heartbeat of the region that is ahead.

    Heartbeats between regions are two seconds apart, and any may be lost.
    """
    south = hosts.processes["h-south"]
    await lose(hosts, 5, version=5)
    handle = south.membership.handlers[Heartbeat]
    passed = []

    def pass_first(message):
        if not passed:
            passed.append(message)
            handle(message)

    put_older_version_in_force(south)
    south.membership.handlers[Heartbeat] = pass_first
    await hosts.until(lambda: south.keeper.version == 5, within=APPLY_SECONDS)
    assert_that([message.version for message in passed], Equals([5]))


def put_older_version_in_force(process):
    """Have a host that missed the lost version 5 keep version 1."""
    process.store_sync.operator.entries["op/config"] = Entry(
        "op/config", json.dumps(configuration(1)).encode(), 1
    )
    process.keeper.current = NOTHING
    process.keeper.offer(Configuration(version=1))
    process.members.own.version = 1


def is_leaving(process, server_id):
    """Whether a host knows that a server leaves."""
    return process.registry.usability(server_id, 0.0) is Usability.LEAVING


def plain_servers(process):
    """Return the servers of the north that a host may send requests to."""
    now = reactor.seconds()
    found = process.registry.candidates("plain", "north", now)
    return {one.entry.id for one in found}
