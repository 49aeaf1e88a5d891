"""Backend servers as the registry lists them."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from hyssopspring.traffic.servers import (
    ABSENCE_GRACE_SECONDS,
    Registry,
    ServerEntry,
    Usability,
)

REGIONS = {"north-a": "north", "south-a": "south"}


def make_entry(server_id="s1", **more):
    """Return a `ServerEntry`."""
    values = {
        "id": server_id,
        "service": "engine",
        "address": "127.0.0.1:1",
        "data_centre": "north-a",
        "slots": 4,
    }
    return ServerEntry(**{**values, **more})


def ids(registry, now, region="north"):
    """Return the identifiers of the servers that may be used."""
    found = registry.candidates("engine", region, now)
    return [server.entry.id for server in found]


def test_leaving_is_undone_only_by_a_new_start():
    """Guards against a request to a draining server, which would cut it off.

    An older entry of the server, read from another host's lagging copy,
    arrives after the one that marked it as draining.
    """
    registry = Registry(REGIONS)
    registry.put(make_entry(leaving=True), 0.0)
    registry.put(make_entry(leaving=False), 1.0)
    assert_that(ids(registry, 1.0), Equals([]))


def test_a_server_that_starts_again_is_a_new_one():
    """Guards against a restarted server that is never used, or overloaded.

    It restarts under its identifier while its former instance was draining.
    Then another host's copy brings the former entry once more.
    """
    registry = Registry(REGIONS)
    registry.put(make_entry(born=1000, leaving=True, terminates_in=2.0), 0.0)
    assert registry.put(make_entry(born=2000, cold_left=3.0), 1.0)
    assert_that(ids(registry, 1.0), Equals(["s1"]))
    assert_that(registry.usability("s1", 1.0), Is(Usability.COLD))
    assert not registry.put(make_entry(born=1000, leaving=True), 1.5)
    assert_that(ids(registry, 1.5), Equals(["s1"]))
    assert_that(registry.expire(5.0), Equals([]))


def test_servers_that_lapsed_in_an_outage_are_used_until_they_are_back():
    """Guards against refusing all requests as the store returns.

    Registrations lapse during the outage. The servers are up and register
    again within two seconds; until then the registry is empty.
    """
    registry = Registry(REGIONS)
    registry.put(make_entry("s1"), 0.0)
    registry.put(make_entry("s2"), 0.0)
    registry.replace_all([], 10.0, outage=True)
    assert_that(ids(registry, 10.1), Equals(["s1", "s2"]))
    registry.put(make_entry("s1"), 11.0)
    gone = registry.expire(10.0 + ABSENCE_GRACE_SECONDS + 0.1)
    assert_that(gone, Equals(["s2"]))
    assert_that(ids(registry, 13.0), Equals(["s1"]))


def test_a_removed_server_is_not_used_without_an_outage():
    """Guards against using a server that left without a notice.

    Its entry is removed without having been marked as draining.
    """
    registry = Registry(REGIONS)
    registry.put(make_entry(), 0.0)
    registry.remove("s1", 1.0, outage=False)
    assert_that(registry.usability("s1", 1.0), Is(Usability.REMOVED))
    assert_that(registry.candidates("engine", "north", 1.0), Equals([]))


def test_a_server_counts_as_cold_a_little_longer_than_it_says():
    """Guards against taking the cold time as exact: entries arrive late."""
    registry = Registry(REGIONS)
    registry.put(make_entry(cold_left=3.0), 10.0)
    assert_that(registry.usability("s1", 13.2), Is(Usability.COLD))
    assert_that(registry.usability("s1", 14.0), Is(Usability.READY))


def test_servers_of_a_returned_data_centre_are_cold():
    """Guards against crashing servers as their data centre is used again.

    They are cold at the end of an evacuation and their entries show it only
    with a delay, while all requests return to them at once.
    """
    registry = Registry(REGIONS)
    registry.put(make_entry(), 0.0)
    registry.evacuate({"north-a"}, 1.0, lambda service: 3.0)
    assert_that(ids(registry, 2.0), Equals([]))
    registry.evacuate(set(), 5.0, lambda service: 3.0)
    assert_that(registry.usability("s1", 7.9), Is(Usability.COLD))
    assert_that(registry.usability("s1", 9.0), Is(Usability.READY))


def test_a_server_is_gone_when_its_announced_time_is_over():
    """Guards against using a server after its announced termination.

    Servers may be terminated at short notice.
    """
    registry = Registry(REGIONS)
    registry.put(make_entry(leaving=True, terminates_in=2.0), 0.0)
    assert_that(registry.expire(1.9), Equals([]))
    assert_that(registry.expire(2.1), Equals(["s1"]))
