"""Hosts that start again under their names before they are missed."""

import pytest
from networks import Network


@pytest.fixture
def network():
    """Return four hosts in each region that know each other."""
    made = Network(4)
    made.run(5.0)
    return made


def test_work_of_a_host_that_the_store_names_anew_is_forgotten(network):
    """Guards against work of a former process that counts as in progress."""
    placer = network.placer_of(network.hosts["north-0"])
    name = min(network.names("north") - {placer.members.own.name})
    network.hosts[name].up = False
    network.run(0.5)
    new = network.add(name, "north", int(name.partition("-")[2]), 2)
    network.introduce(placer, [new])
    network.introduce(new, network.hosts.values())
    network.run(1.0)
    assert placer.quiet.forgotten == [name]
