"""Servers that say in their answers that they leave."""

import pytest
import pytest_twisted
from entry_hosts import USAGE, send_for
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

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
