"""Versions of streams over hosts that are killed and back at once."""

import pytest
from networks import Network
from test_streamnetwork import all_names, ask, begin, check

DOWN_SECONDS = 0.5
"""Seconds after which a killed host is back, less than heartbeats take to
show that it was gone."""


@pytest.fixture
def network():
    """Return a network of nine hosts that know each other."""
    made = Network(3)
    made.run(5.0)
    return made


def kill(network, names):
    """Kill some hosts at once; start them again under their names."""
    for name in names:
        network.hosts[name].up = False
    network.run(DOWN_SECONDS)
    for name in names:
        old = network.hosts[name]
        number = int(name.partition("-")[2])
        incarnation = old.members.own.incarnation + 1
        new = network.add(name, old.region, number, incarnation)
        network.introduce(new, network.hosts.values())


def groups(network):
    """Return the names of the first host of each region, and the others."""
    names = all_names(network)
    first = {name for name in names if name.endswith("-0")}
    return sorted(first), sorted(names - first)


def test_versions_outlast_kills_of_two_groups(network):
    """Guards against records that are not sent to hosts that restarted."""
    first, others = groups(network)
    began = begin(network, all_names(network), count=60)
    kill(network, first)
    network.run(7.0)
    kill(network, others)
    check(began, ask(network, began, first))


def test_versions_outlast_kills_one_after_another(network):
    """Guards against records whose keepers restart one after another."""
    began = begin(network, all_names(network), count=60)
    for name in sorted(all_names(network)):
        kill(network, [name])
        network.run(2.5)
    check(began, ask(network, began, all_names(network)))


def test_records_of_a_host_that_is_gone_are_passed_on(network):
    """Guards against records that only the host that began them sends."""
    first, others = groups(network)
    began = begin(network, first, count=30)
    for name in first:
        network.hosts[name].up = False
    network.run(12.0)
    kill(network, others[:3])
    network.run(7.0)
    for name in others[3:]:
        network.hosts[name].up = False
    check(began, ask(network, began, others[:3]))
