"""Which hosts are alive, and which of them places for the region."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from hyssopspring.traffic.members import Member, Members


def make_member(name, region="north", **more):
    """Return a `Member`."""
    values = {
        "name": name,
        "region": region,
        "data_centre": f"{region}-a",
        "front": f"{name}:1",
        "control": f"{name}:2",
        "relay": f"{name}:3",
        "incarnation": 1,
        "up_seconds": 60.0,
        "version": 1,
    }
    return Member(**{**values, **more})


@pytest.fixture
def members():
    """Return the list of ``h1``, which gets heartbeats of two hosts."""
    made = Members(make_member("h1"))
    for name in ("h2", "h3"):
        made.add(make_member(name))
        made.others[name].last_heartbeat_at = 10.0
    return made


def names(found):
    """Return the names of members."""
    return [member.name for member in found]


def view_of(name, all_names):
    """Return the list of a host that receives heartbeats of all others."""
    made = Members(make_member(name))
    for other in all_names:
        made.add(make_member(other))
    for member in made.others.values():
        member.last_heartbeat_at = 10.0
    return made


def test_all_hosts_ask_the_same_host():
    """Guards against two placing hosts that each see half of the load."""
    everyone = ("h1", "h2", "h3", "h4")
    first = {
        view_of(name, everyone).placers(10.1)[0].name for name in everyone
    }
    assert_that(len(first), Equals(1))


def test_the_strongest_host_places():
    """Guards against a weak host that places for the region.

    Hosts differ fourfold in capacity. If the placing host is among the weak
    ones, requests wait for it that a quarter of the others could place.
    """
    everyone = [f"h{number}" for number in range(20)]
    members = view_of("h0", everyone)
    strong = [make_member(name, capacity=2.15) for name in ("s1", "s2")]
    for member in strong:
        member.last_heartbeat_at = 10.0
        members.add(member)
    assert_that(set(names(members.placers(10.1))[:2]), Equals({"s1", "s2"}))


def test_hosts_of_two_data_centres_are_reported_to():
    """Guards against losing all placers with the power of a data centre."""
    members = Members(make_member("h0"))
    for number in range(6):
        place = "north-a" if number < 5 else "north-b"
        weight = 2.0 if number < 5 else 0.5
        member = make_member(f"h{number + 1}", capacity=weight)
        member.data_centre = place
        member.last_heartbeat_at = 10.0
        members.add(member)
    chosen = members.report_targets(10.1, "north", 3)
    assert_that(len(chosen), Equals(3))
    assert_that(
        {one.data_centre for one in chosen}, Equals({"north-a", "north-b"})
    )
    assert_that(members.report_targets(10.2, "north", 3), Equals(chosen))


def test_a_host_that_leaves_or_lost_the_store_places_last(members):
    """Guards against placing at a stopped server by a host with old data."""
    ranked = names(members.placers(10.1))
    first = ranked[0]
    target = members.own if first == "h1" else members.others[first]
    target.contact_age = 30.0
    assert_that(names(members.placers(10.1))[-1], Equals(first))
    target.contact_age = 0.0
    target.leaving = True
    assert_that(names(members.placers(10.1))[-1], Equals(first))


def test_a_host_that_has_just_started_places_last(members):
    """Guards against a new host that overfills servers.

    It has not received what the other hosts have in progress.
    """
    first = names(members.placers(10.1))[0]
    target = members.own if first == "h1" else members.others[first]
    target.up_seconds = 0.2
    assert_that(names(members.placers(10.1))[-1], Equals(first))


def test_silent_hosts_are_neither_named_nor_asked(members):
    """Guards against sending callers to a host that lost power."""
    members.others["h2"].last_heartbeat_at = 20.0
    assert_that(sorted(names(members.live(20.1))), Equals(["h1", "h2"]))
    assert "h3" not in names(members.placers(20.1))


def test_an_old_entry_does_not_replace_a_newer_start(members):
    """Guards against an old entry that is read late and hides a restart."""
    members.add(make_member("h2", incarnation=5, front="new"))
    members.add(make_member("h2", incarnation=1, front="old"))
    assert_that(members.others["h2"].front, Equals("new"))


def test_addresses_of_removed_hosts_are_not_trusted(members):
    """Guards against trusting another machine at a removed host's address."""
    assert members.is_known("h2")
    assert not members.is_known("h9")
    members.remove_silent(100.0, 30.0)
    assert not members.is_known("h2")
    assert members.is_known("h1")
