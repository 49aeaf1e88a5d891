"""Servers that say in their answers that they leave."""

import pytest
import pytest_twisted
from entry_hosts import USAGE, send_for
from networks import LimitedServers, Network
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan
from twisted.internet import defer, reactor

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.attempts import ResponseHead
from hyssopspring.entry.messages import StoreChange
from hyssopspring.traffic.servers import (
    REMOVAL_RETENTION_SECONDS,
    LeavingNotice,
    Registry,
    ServerEntry,
    Usability,
)

DRAIN = 4.0
"""Seconds after which a host that passed the word on sends nothing more."""

LEAVING = {b"server-leaving": b"1"}


def arrived_late(backend, peer):
    """Return the requests of a host that came too late."""
    times = [at for at, address in backend.arrived if address == peer]
    return sum(at > times[0] + DRAIN for at in times)


@pytest.mark.parametrize(
    ("service", "path", "headers"),
    [("plain", "/lookup/", {}), ("engine", "/quote/", USAGE)],
    ids=["plain", "stream"],
)
@pytest_twisted.ensureDeferred
async def test_a_server_that_leaves_by_answer_gets_nothing_more(
    hosts, service, path, headers
):
    """A server that leaves gets requests until the store says so, too."""
    backend = hosts.backends[f"{service}-north"]
    backend.told = LEAVING
    statuses = await send_for(hosts, DRAIN + 1.0, path, **headers)
    assert_that(set(statuses), Equals({200}))
    assert_that(len(backend.arrived), GreaterThan(0))
    assert_that(arrived_late(backend, "127.0.0.20"), Equals(0))


@pytest_twisted.ensureDeferred
async def test_what_runs_at_a_server_that_leaves_ends_whole(hosts):
    """A stream is cut as another answer says that its server leaves."""
    backend = hosts.backends["engine-north"]
    backend.gap = 0.3
    running = defer.ensureDeferred(
        hosts.send(
            "h-north", "/quote/a", identifier="r1", method=b"POST", **USAGE
        )
    )
    await hosts.until(lambda: backend.ran)
    backend.told = LEAVING
    await hosts.send(
        "h-north", "/quote/b", identifier="r2", method=b"POST", **USAGE
    )
    status, _, body = await running
    assert_that((status, body.count(b"data: ")), Equals((200, 4)))
    assert_that(backend.stopped, Equals([]))


@pytest_twisted.ensureDeferred
async def test_all_hosts_of_a_region_hear_who_leaves(hosts):
    """Each host of a region sends one request to a server that leaves."""
    north, _ = await hosts.with_resting_host()
    hosts.backends["plain-north"].told = LEAVING
    await hosts.send("h-north", "/lookup/a", identifier="r1")
    await hosts.until(
        lambda: all(not usable(p.registry, "plain-north") for p in north)
    )
    for number, process in enumerate(north):
        name = process.settings.host
        status, _, _ = await hosts.send(
            name, "/lookup/b", identifier=f"r{number + 2}"
        )
        assert_that(status, Equals(200))
    assert_that(len(hosts.backends["plain-north"].arrived), Equals(1))


@pytest_twisted.ensureDeferred
async def test_a_removed_server_gets_nothing_by_a_placing_host_that_is_behind(
    hosts,
):
    """A host uses a placement at a server whose entry it has seen removed."""
    hosts.add_backend("plain-2", "plain", "north")
    north, _ = await hosts.with_resting_host()
    await hosts.until(
        lambda: all("plain-2" in one.registry.servers for one in north)
    )
    placing = north[0].members.placers(reactor.seconds())[0].name
    behind = hosts.processes[placing]
    behind.store_sync.stop()
    behind.store_sync.choose_watching = lambda now: None
    behind.membership.handlers[StoreChange] = lambda message: None
    behind.membership.on_peer_ahead = lambda member: None
    others = [one for one in north if one is not behind]
    hosts.store.remove("servers/plain-north")
    await hosts.until(
        lambda: all(
            "plain-north" not in one.registry.servers for one in others
        )
    )
    assert_that("plain-north" in behind.registry.servers, Equals(True))
    for number in range(20):
        status, _, _ = await hosts.send(
            others[number % 2].settings.host,
            f"/lookup/{number}",
            identifier=f"r{number}",
        )
        assert_that(status, Equals(200))
    assert_that(hosts.backends["plain-north"].arrived, Equals([]))


def usable(registry, server_id):
    """Whether a server may get new requests."""
    return registry.usability(server_id, 0.0) is not Usability.LEAVING


@pytest.fixture
def registry():
    """Return a registry with one server."""
    made = Registry({"north-a": "north"})
    made.put(entry(), 0.0)
    return made


def entry(**changes):
    """Return the entry of the server."""
    facts = {"address": "10.0.0.1:80", "data_centre": "north-a", **changes}
    return ServerEntry(id="s1", service="plain", **facts)


def notice(registry, at=1.0):
    """Return a notice of the server as it is known."""
    return LeavingNotice(
        server_id="s1",
        instance_id=registry.current_instance("s1"),
        address=registry.servers["s1"].entry.address,
        at=at,
    )


def test_an_entry_that_comes_back_does_not_hide_that_a_server_leaves(registry):
    """The entry lapses and is written again, as ready, by the old server."""
    registry.record_leaving(notice(registry), 1.0)
    registry.remove("s1", 2.0, outage=False)
    registry.put(entry(), 3.0)
    assert_that(usable(registry, "s1"), Equals(False))
    assert_that(registry.candidates("plain", "north", 3.0), Equals([]))


@pytest.mark.parametrize(
    "changes", [{"born": 7}, {"address": "10.0.0.2:80"}], ids=["born", "moved"]
)
def test_another_start_of_a_server_that_left_is_used(registry, changes):
    """A server is never used again as the one before it has left."""
    late = notice(registry)
    registry.record_leaving(notice(registry), 1.0)
    registry.remove("s1", 2.0, outage=False)
    registry.put(entry(**changes), 3.0)
    assert_that(usable(registry, "s1"), Equals(True))
    registry.record_leaving(late, 3.0)
    assert_that(usable(registry, "s1"), Equals(True))


def test_word_of_a_server_may_come_before_its_entry(registry):
    """A host that hears late of a server sends to it although it leaves."""
    word = notice(registry)
    late = Registry({"north-a": "north"})
    late.record_leaving(word, 1.0)
    late.put(entry(), 2.0)
    assert_that(usable(late, "s1"), Equals(False))


def test_a_removed_server_is_usable_once_it_is_listed_again(registry):
    """A server whose entry lapsed and came back is never used again."""
    registry.remove("s1", 2.0, outage=False)
    assert_that(registry.usability("s1", 2.0), Equals(Usability.REMOVED))
    registry.put(entry(), 3.0)
    assert_that(registry.usability("s1", 3.0), Equals(Usability.READY))


def test_removed_servers_are_forgotten(registry):
    """What a host remembers of removed servers grows for ever."""
    registry.remove("s1", 2.0, outage=False)
    registry.expire(2.0 + REMOVAL_RETENTION_SECONDS)
    assert_that(registry.usability("s1", 63.0), Equals(Usability.REMOVED))
    registry.expire(2.5 + REMOVAL_RETENTION_SECONDS)
    assert_that(registry.usability("s1", 63.0), Equals(NOTHING))


def test_who_left_is_forgotten_once_it_is_gone(registry):
    """What hosts remember of servers that are gone grows for ever."""
    registry.record_leaving(notice(registry), 1.0)
    registry.expire_leaving_notices(100.0)
    assert_that(len(registry.leaving_notices), Equals(1))
    registry.remove("s1", 100.0, outage=False)
    registry.expire_leaving_notices(101.0)
    assert_that(
        (registry.leaving_notices, registry.leaving_digest), Equals(({}, 0))
    )


@pytest.fixture
def network():
    """Return a network whose hosts know each other and the servers."""
    made = Network(6)
    LimitedServers(made, lambda region, now: 0.0, lambda now: NOTHING)
    made.run(4)
    return made


def leave(network, name):
    """Have a host hear that the first server of its region leaves."""
    host = network.hosts[name]
    server_id = f"{host.region}-server-0"
    host.notices.head_handler(server_id, "r1")(
        ResponseHead(signed=True, leaving=True)
    )


def unaware(network):
    """Return the hosts of the south that would use the server."""
    return {
        name
        for name, host in network.hosts.items()
        if host.region == "south" and usable(host.registry, "south-server-0")
    }


def test_a_host_that_was_cut_off_hears_who_leaves(network):
    """A host goes on with a server that has left while it was away."""
    network.cut.add(network.hosts["south-2"])
    leave(network, "south-4")
    network.run(0.1)
    assert_that(unaware(network), Equals({"south-2"}))
    network.cut.clear()
    network.run(3.0)
    assert_that(unaware(network), Equals(set()))


def test_a_host_that_starts_hears_who_leaves(network):
    """A host that has just started sends to a server that leaves."""
    leave(network, "south-4")
    network.run(1.0)
    network.hosts["south-2"].up = False
    network.run(1.0)
    fresh = network.add("south-2", "south", 2, 2)
    network.introduce(fresh, network.hosts.values())
    servers = LimitedServers(network, lambda r, n: 0.0, lambda now: NOTHING)
    servers.introduce([fresh])
    network.run(1.6)
    assert_that(unaware(network), Equals(set()))
