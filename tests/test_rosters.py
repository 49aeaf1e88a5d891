"""Agreement on live hosts among hundreds that each contact only a few."""

import pytest
from networks import REGIONS, Network, StartingNetwork
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.messages import Roster, RosterRow
from hyssopspring.entry.rosters import HostState, apply_row
from hyssopspring.traffic.members import PLACER_WARMUP_SECONDS, Member

MOST_CONTROL_BYTES = 2_000
"""Bytes per second that a host may send as control traffic."""


@pytest.fixture
def network():
    """Return 120 hosts that have run for five seconds."""
    made = Network(40)
    made.run(5.0)
    return made


def test_all_hosts_agree_on_live_hosts_and_the_placing_host(network):
    """Guards against several placing hosts in a region.

    Each of them would see only part of the load.
    """
    for region in REGIONS:
        assert network.agree(region)
        for host in network.hosts.values():
            assert_that(host.live(region), Equals(network.names(region)))


@pytest.mark.parametrize("hosts_in_region", [2, 3, 20])
def test_hosts_that_start_together_learn_of_all_others(hosts_in_region):
    """Guards against requests that a host of another region answers with 403.

    All hosts start at once. Each reads from the store the hosts that
    registered before it, and the first reads none. A host that does not know
    the sender of a forwarded request rejects it.
    """
    network = StartingNetwork(hosts_in_region)
    network.run(8.0)
    everyone = set(network.hosts)
    for name, host in network.hosts.items():
        assert_that({name, *host.members.others}, Equals(everyone))
    for region in REGIONS:
        assert network.agree(region)


def test_what_a_host_spends_does_not_grow_with_the_hosts():
    """Guards against heartbeats that cost an idle host a twentieth of a core.

    That was the cost when each of 195 hosts sent heartbeats to all others, 190
    a second. Placing hosts send more, but nine in ten hosts stay below the
    limit for control traffic.
    """
    network = Network(65)
    network.run(5.0)
    before = {
        name: (host.datagrams.bytes_sent, host.datagrams.sent)
        for name, host in network.hosts.items()
    }
    network.run(10.0)
    spent = sorted(
        (host.datagrams.bytes_sent - before[name][0]) / 10
        for name, host in network.hosts.items()
    )
    sent = sorted(
        (host.datagrams.sent - before[name][1]) / 10
        for name, host in network.hosts.items()
    )
    assert_that(spent[len(spent) * 9 // 10], LessThan(MOST_CONTROL_BYTES))
    assert_that(sum(spent) / len(spent), LessThan(MOST_CONTROL_BYTES * 2))
    assert_that(sent[len(sent) * 9 // 10], LessThan(12))


def test_the_hosts_that_report_all_others_fail_at_once(network):
    """Guards against a region that counts as gone when its contacts fail.

    The placing host and the two candidates to replace it lose power at the
    same time, and no other host receives heartbeats from all. No running host
    may be counted as gone, and within three seconds all hosts must agree on
    the placing host again.
    """
    host = network.hosts["north-39"]
    gone = network.placer_of(host).members.placers(network.clock.seconds())
    for member in gone[:3]:
        network.hosts[member.name].up = False
    for _ in range(50):
        network.run(0.1)
        for name in network.names("north"):
            others = network.hosts[name].live("north")
            assert network.names("north") <= others
    assert network.placer_of(host).up
    network.run(3.0)
    assert network.agree("north")


def test_a_host_that_is_cut_off_decides_by_itself(network):
    """Guards against a cut-off host that waits for others at each request."""
    host = network.hosts["south-30"]
    network.cut.add(host)
    network.run(1.5)
    assert_that(network.placer_of(host), Equals(host))
    network.run(2.6)
    assert "south-30" not in network.hosts["south-31"].live("south")
    network.cut.clear()
    network.run(6.0)
    assert network.agree("south")


def test_a_region_that_is_cut_off_is_left_out_soon(network):
    """Guards against requests sent to a region that no packet reaches."""
    network.cut.update(
        host for host in network.hosts.values() if host.region == "west"
    )
    network.run(5.0)
    now = network.clock.seconds()
    for name in network.names("north"):
        regions = network.hosts[name].members.regions(now)
        assert_that(regions, Equals({"north", "south"}))
    network.cut.clear()
    network.run(6.0)
    for region in REGIONS:
        assert network.agree(region)


@pytest.mark.parametrize("kind", ["heartbeat", "roster"])
def test_a_region_that_comes_back_is_used_at_once(network, kind):
    """Guards against streams cut for the lack of a region just heard from."""
    now = network.clock.seconds()
    here, there = network.hosts["north-1"], network.hosts["west-1"]
    for member in here.members.others.values():
        if member.region == "west":
            member.last_heartbeat_at = member.reported_alive_at = now - 60.0
    here.members.live_regions_at = NOTHING
    assert_that(here.members.regions(now), Equals({"north", "south"}))
    if kind == "heartbeat":
        here.membership.handle_heartbeat(there.membership.heartbeat())
    else:
        roster = there.membership.rosters.roster("west", now)
        here.membership.handle_roster(roster)
    assert_that(here.members.regions(now), Equals(set(REGIONS)))


def test_hosts_of_other_regions_stay_known(network):
    """Guards against remote regions that count as down although they are up.

    Placing hosts send to their whole region in one burst, and their links drop
    the datagrams sent last, those for other regions.
    """
    for _ in range(10):
        network.run(2.0)
        for host in network.hosts.values():
            for region in REGIONS:
                assert_that(host.live(region), Equals(network.names(region)))


def test_the_answer_to_a_roster_is_not_answered(network):
    """Guards against rosters that two hosts exchange without end.

    A host that has stopped placing gets the answers to its last report.
    """
    first, second = network.hosts["north-30"], network.hosts["south-30"]
    received = []
    handle = second.membership.handlers[Roster]

    def record(message):
        if message.host == "north-30":
            received.append(message)
        handle(message)

    second.membership.handlers[Roster] = record
    now = network.clock.seconds()
    report = first.membership.rosters.roster("north", now)
    first.datagrams.send(report, second.members.own.control)
    network.run(2.0)
    assert_that(len(received), Equals(1))


def test_an_older_row_does_not_replace_a_newer_state():
    """Guards against reports to other hosts than the ones that place.

    Of two hosts that report a third one, one may not have heard since its
    start that it is able to place.
    """
    member = Member("h", "south", "south-a", "f", "c", "r")
    newer = RosterRow(member.id, 1, 0)
    older = RosterRow(member.id, 9, int(HostState.UNSETTLED))
    for row in (newer, older):
        apply_row(member, row, 10.0)
    assert_that(member.up_seconds, Equals(PLACER_WARMUP_SECONDS))
    assert_that(member.reported_alive_at, Equals(9.9))


def test_a_host_that_leaves_is_named_no_more(network):
    """Guards against callers that are sent to a host that is shutting down."""
    leaving = network.hosts["north-30"]
    leaving.members.own.leaving = True
    leaving.membership.send_heartbeats()
    network.run(0.4)
    for name in network.names("north"):
        assert "north-30" not in network.hosts[name].live("north")


def test_hosts_that_start_together_name_all_others():
    """Guards against directing all callers to the same three hosts at a start.

    Right after an outage hosts have received heartbeats only from the hosts
    that they report to.
    """
    network = Network(20)
    network.run(0.5)
    for name in network.names("west"):
        members = network.hosts[name].members
        now = network.clock.seconds()
        named = {one.name for one in members.listed(now, "west")}
        assert_that(named, Equals(network.names("west")))


def test_a_reported_host_counts_as_up_once_its_entry_arrives(network):
    """Guards against a region that is reported and not used until later.

    The rosters name hosts by identifiers that this host does not know yet.
    """
    host, other = network.hosts["north-30"], network.hosts["north-31"]
    now = network.clock.seconds()
    for name in network.names("south"):
        host.members.by_id.pop(host.members.others.pop(name).id)
    roster = other.membership.rosters.roster("south", now)
    other.datagrams.send(roster, host.members.own.control)
    network.run(0.1)
    assert_that(host.live("south"), Equals(network.names("south")))


def test_hosts_that_start_together_reach_other_regions_soon():
    """Guards against refused callers of a full region after an outage.

    All hosts start at once. Until they receive messages from the other
    regions, they cannot send requests there.
    """
    network = StartingNetwork(20)
    network.run(2.0)
    now = network.clock.seconds()
    for host in network.hosts.values():
        assert_that(host.members.regions(now), Equals(set(REGIONS)))


def test_hosts_that_were_all_cut_off_find_one_another(network):
    """Guards against a region that stays split with two placing hosts.

    All hosts of a region are cut off for some seconds. Each then reaches a few
    others, which report each other; the rest would count as gone for good.
    """
    hosts = [network.hosts[name] for name in network.names("west")]
    network.cut.update(hosts)
    network.run(3.7)
    network.cut.clear()
    network.run(3.0)
    assert network.agree("west")


def test_a_host_that_nobody_knows_becomes_known_to_all(network):
    """Guards against a new host that gets no requests.

    The directory does not name a host that the others do not know.
    """
    added = network.add("north-99", "north", 99, 1)
    network.introduce(added, network.hosts.values())
    network.run(9.0)
    for region in REGIONS:
        for name in network.names(region):
            assert "north-99" in network.hosts[name].live("north")


def test_a_start_after_a_clock_that_stepped_back_is_accepted(network):
    """Guards against a restarted host that is ignored for half a minute.

    Its incarnation is the wall clock time, which has stepped back by forty
    minutes in between. Its peers drop its messages as outdated.
    """
    old = network.hosts["north-7"]
    old.up = False
    network.run(1.5)
    again = network.add("north-7", "north", 7, 0)
    network.introduce(again, network.hosts.values())
    network.run(4.0)
    assert "north-7" in network.hosts["north-8"].live("north")
    assert_that(again.live("north"), Equals(network.names("north")))
