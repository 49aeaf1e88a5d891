"""Who lives, among hundreds of hosts that each hear only a few others."""

import pytest
from networks import REGIONS, Network, StartingNetwork
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

MOST_CONTROL_BYTES = 2_000
"""Bytes a second that a host may spend on control."""


@pytest.fixture
def network():
    """Return 120 hosts that have run for five seconds."""
    made = Network(40)
    made.run(5.0)
    return made


def test_all_hosts_agree_on_live_hosts_and_the_placing_host(network):
    """Requests of one region are placed by several hosts, each half blind."""
    for region in REGIONS:
        assert network.agree(region)
        for host in network.hosts.values():
            assert_that(host.live(region), Equals(network.names(region)))


@pytest.mark.parametrize("hosts_in_region", [2, 3, 20])
def test_hosts_that_start_together_learn_of_all_others(hosts_in_region):
    """Requests are answered 403 by a host of another region.

    All hosts start at once. Each reads in the store those that registered
    before it; the first knows nobody. A host that forwards a request is
    taken for a stranger where it is not known.
    """
    network = StartingNetwork(hosts_in_region)
    network.run(8.0)
    everyone = set(network.hosts)
    for name, host in network.hosts.items():
        assert_that({name, *host.members.others}, Equals(everyone))
    for region in REGIONS:
        assert network.agree(region)


def test_what_a_host_spends_does_not_grow_with_the_hosts():
    """Idle hosts need a twentieth of a core for heartbeats alone.

    Each of 195 hosts sent one to all others, 190 a second. The hosts that
    place spend more, but nine in ten stay below what control may cost.
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
    """A region forgets itself when the hosts that it reports to go.

    The host that places and the two that would follow lose their power in
    the same moment. Nobody else is heard by all. No host may be taken for
    gone that runs, and within three seconds all ask one host again.
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
    """A host without the others waits for their answers for each request."""
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
    """Requests are sent to a region that no packet reaches."""
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


def test_hosts_of_other_regions_stay_known(network):
    """Nothing is sent to other regions although they are up.

    The hosts that place send to all of their region at once, and their
    links lose what comes last, which goes to the other regions.
    """
    for _ in range(10):
        network.run(2.0)
        for host in network.hosts.values():
            for region in REGIONS:
                assert_that(host.live(region), Equals(network.names(region)))


def test_a_host_that_leaves_is_named_no_more(network):
    """Callers are sent to a host that is about to end."""
    leaving = network.hosts["north-30"]
    leaving.members.own.leaving = True
    leaving.membership.send_heartbeats()
    network.run(0.4)
    for name in network.names("north"):
        assert "north-30" not in network.hosts[name].live("north")


def test_hosts_that_start_together_name_all_others():
    """All callers of a region come to the same three hosts after an outage.

    Right after their start hosts have heard only those that they report to.
    """
    network = Network(20)
    network.run(0.5)
    for name in network.names("west"):
        members = network.hosts[name].members
        now = network.clock.seconds()
        named = {one.name for one in members.named(now, "west")}
        assert_that(named, Equals(network.names("west")))


def test_hosts_that_start_together_reach_other_regions_soon():
    """Callers of a full region are refused for seconds after an outage.

    All hosts start at once. Until they have heard of the other regions,
    none can send a request there.
    """
    network = StartingNetwork(20)
    network.run(2.0)
    now = network.clock.seconds()
    for host in network.hosts.values():
        assert_that(host.members.regions(now), Equals(set(REGIONS)))


def test_hosts_that_were_all_cut_off_find_one_another(network):
    """A region stays in two halves after a cut, each with its own placer.

    All hosts of a region hear nobody for some seconds. Each then meets a
    few others, which tell it of each other; the rest seem gone for good.
    """
    hosts = [network.hosts[name] for name in network.names("west")]
    network.cut.update(hosts)
    network.run(3.7)
    network.cut.clear()
    network.run(3.0)
    assert network.agree("west")


def test_a_host_that_nobody_knows_becomes_known_to_all(network):
    """A host that is added serves nobody, as the directory lacks it."""
    added = network.add("north-99", "north", 99, 1)
    network.introduce(added, network.hosts.values())
    network.run(9.0)
    for region in REGIONS:
        for name in network.names(region):
            assert "north-99" in network.hosts[name].live("north")


def test_a_start_after_a_clock_that_stepped_back_is_accepted(network):
    """A host is deaf and mute for half a minute after it starts again.

    Its starts are numbered by the time of day, which has stepped back by
    forty minutes in between. Its peers drop what it says as outdated.
    """
    old = network.hosts["north-7"]
    old.up = False
    network.run(1.5)
    again = network.add("north-7", "north", 7, 0)
    network.introduce(again, network.hosts.values())
    network.run(4.0)
    assert "north-7" in network.hosts["north-8"].live("north")
    assert_that(again.live("north"), Equals(network.names("north")))
