"""Hosts that start again under their names before they are missed."""

import pytest
from networks import Network

from hyssopspring.traffic.servers import ServerEntry

SERVERS = 60
"""More than fit into the rows of a few heartbeats."""


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


def list_servers(host):
    """Let a host list servers."""
    for number in range(SERVERS):
        entry = ServerEntry(
            id=f"server-{number}",
            service="s",
            address="h:1",
            data_centre="north-a",
        )
        host.quiet.registry.put(entry, 0.0)


def test_a_candidate_that_restarts_gets_all_speeds_at_once():
    """Guards against factors that a restarted candidate gets in turn only."""
    network = Network(2)
    network.run(5.0)
    placer = network.placer_of(network.hosts["north-0"])
    name = min(network.names("north") - {placer.members.own.name})
    list_servers(placer)
    for server_id in placer.quiet.registry.servers:
        speeds = placer.quiet.speeds.of(server_id, "s")
        speeds.factors[0].adopt(2.0, network.clock.seconds())
    network.run(15.0)
    network.hosts[name].up = False
    network.run(0.5)
    new = network.add(name, "north", int(name.partition("-")[2]), 2)
    list_servers(new)
    network.introduce(new, network.hosts.values())
    network.run(4.0)
    assert len(new.quiet.speeds.servers) == SERVERS
