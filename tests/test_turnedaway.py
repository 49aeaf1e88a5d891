"""Regions all of whose hosts the store turns away while it serves others."""

import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Equals

from hyssopspring.traffic.servers import Usability

EVACUATION_SECONDS = 5.0
"""Seconds after its acknowledgement in which an evacuation takes effect."""


@pytest.fixture
def turned_away(hosts):
    """Return two regions of which the store turns the north away."""
    north = hosts.processes["h-north"]
    hosts.store.refuse(north.settings.address)
    return hosts, north


def usability(process, server_id):
    """Return the `Usability` of a server for a host."""
    return process.registry.usability(server_id, process.reactor.seconds())


@pytest_twisted.ensureDeferred
async def test_an_evacuation_reaches_a_region_without_the_store(turned_away):
    """Guards against requests to a data centre evacuated seconds ago.

    Only hosts of another region have read of it, and it has no version.
    """
    hosts, north = turned_away
    hosts.store.put_json("op/evacuate/north-a", {})
    await hosts.until(
        lambda: usability(north, "plain-north") is Usability.LEAVING,
        within=EVACUATION_SECONDS,
    )
    hosts.store.remove("op/evacuate/north-a")
    await hosts.until(
        lambda: usability(north, "plain-north") is Usability.READY,
        within=EVACUATION_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_a_leaving_server_is_known_in_a_region_without_the_store(
    turned_away,
):
    """Guards against requests to a server that other regions see leave."""
    hosts, north = turned_away
    hosts.register_again("plain-north", state="draining")
    await hosts.until(
        lambda: usability(north, "plain-north") is Usability.LEAVING,
        within=EVACUATION_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_a_region_without_the_store_keeps_servers_that_lapse(
    turned_away,
):
    """Guards against refusals as servers do not reach the store either."""
    hosts, north = turned_away
    hosts.store.remove("servers/plain-north")
    hosts.store.put_json("op/evacuate/south-a", {})
    await hosts.until(
        lambda: usability(north, "plain-south") is Usability.LEAVING,
        within=EVACUATION_SECONDS,
    )
    assert_that(usability(north, "plain-north"), Equals(Usability.READY))
