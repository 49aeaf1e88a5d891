"""One bound for a cold server over all hosts that place at it."""

import pytest
import pytest_twisted
from entry_hosts import USAGE, configuration
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan
from twisted.internet import defer

from hyssopspring.traffic.members import (
    MAX_CONTACT_AGE_SECONDS,
    STARTUP_DISCOVERY_SECONDS,
)

COLD_BOUND = 2.2 * 1.5 + 3.0
"""Requests in a second that the users' rule allows at a cold server."""

NUMBERS = (2, 3, 4, 5, 6)
NORTH = ("h-north", *(f"h-north-{number}" for number in NUMBERS))
REQUESTS_PER_HOST = 4


@pytest.fixture
def cold_fleet(hosts):
    """Return two regions whose engine in the north is cold for 20 s."""
    document = configuration(2)
    document["services"][0].update(cold_s=20.0, cold_per_s=2.2)
    hosts.store.put_json("op/config", document)
    hosts.register_again("engine-north", cold_left_ms=20_000)
    return hosts


def add_north(fleet):
    """Start all further hosts of the north at the same moment."""
    for number in NUMBERS:
        fleet.add_host(f"h-north-{number}", "north", number)


async def all_know_the_engine(fleet):
    """Wait until the hosts of the north serve and list the cold engine."""
    processes = [fleet.processes[name] for name in NORTH]
    await fleet.until(
        lambda: all(
            process.keeper.version == 2
            and "engine-north" in process.registry.servers
            for process in processes
        )
    )


async def busiest_second(fleet):
    """Send requests to all hosts of the north at once.

    Returns:
        The largest number that reached the cold engine within a second.
    """
    work = [
        defer.ensureDeferred(
            fleet.send(
                name, "/review/a", identifier=f"{name}-{number}", **USAGE
            )
        )
        for name in NORTH
        for number in range(REQUESTS_PER_HOST)
    ]
    await defer.DeferredList(work, consumeErrors=True)
    times = [at for at, _ in fleet.backends["engine-north"].arrived]
    return max(
        (sum(start <= at < start + 1.0 for at in times) for start in times),
        default=0,
    )


def mute(process):
    """Cut a host off from all other hosts, not from servers or the store."""
    process.datagrams.send_bytes = lambda data, address: None


@pytest_twisted.ensureDeferred
async def test_hosts_that_start_together_keep_the_bound_of_a_cold_server(
    cold_fleet,
):
    """Guards against an allowance for each host that has heard of no other."""
    process = cold_fleet.processes.pop("h-north")
    await process.close()
    cold_fleet.add_host("h-north", "north", 0)
    add_north(cold_fleet)
    for name in NORTH:
        mute(cold_fleet.processes[name])
    await all_know_the_engine(cold_fleet)
    assert_that(await busiest_second(cold_fleet), LessThan(COLD_BOUND))


def first_hosts(fleet):
    """Return the name of the host that each host of the north asks first."""
    return {
        fleet.processes[name].coordinator.placers()[0].name for name in NORTH
    }


async def one_host_places(fleet):
    """Wait until all hosts of the north ask the same one, for some seconds."""
    first = fleet.processes["h-north"].coordinator.placers
    await fleet.until(
        lambda: (
            len(first_hosts(fleet)) == 1
            and first()[0].up_seconds >= STARTUP_DISCOVERY_SECONDS
        )
    )


@pytest_twisted.ensureDeferred
async def test_hosts_that_are_cut_off_keep_the_bound_of_a_cold_server(
    cold_fleet,
):
    """Guards against an allowance for each host that has lost the others."""
    add_north(cold_fleet)
    await all_know_the_engine(cold_fleet)
    await one_host_places(cold_fleet)
    for name in NORTH:
        mute(cold_fleet.processes[name])
    await cold_fleet.until(lambda: first_hosts(cold_fleet) == set(NORTH))
    assert_that(await busiest_second(cold_fleet), LessThan(COLD_BOUND))


@pytest_twisted.ensureDeferred
async def test_hosts_that_regain_the_store_keep_the_bound_of_a_cold_server(
    cold_fleet,
):
    """Guards against hosts that each rank themselves first after an outage.

    Each has just reached the store again; the last heartbeats of the others
    say that they have not.
    """
    add_north(cold_fleet)
    await all_know_the_engine(cold_fleet)
    await one_host_places(cold_fleet)
    for name in NORTH:
        coordinator = cold_fleet.processes[name].coordinator
        mute(cold_fleet.processes[name])
        for member in coordinator.members.others.values():
            member.contact_age = 2 * MAX_CONTACT_AGE_SECONDS
    await cold_fleet.until(lambda: first_hosts(cold_fleet) == set(NORTH))
    assert_that(await busiest_second(cold_fleet), LessThan(COLD_BOUND))


@pytest_twisted.ensureDeferred
async def test_a_cold_server_is_used_by_the_host_that_places(cold_fleet):
    """Guards against a cold server that gets nothing in a calm region."""
    add_north(cold_fleet)
    await all_know_the_engine(cold_fleet)
    await one_host_places(cold_fleet)
    found = await busiest_second(cold_fleet)
    assert_that(found, GreaterThan(0))
    assert_that(found, LessThan(COLD_BOUND))
