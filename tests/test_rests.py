"""Servers that ask a host for rest."""

import pytest
import pytest_twisted
from entry_hosts import USAGE, send_for
from testtools.assertions import assert_that
from testtools.matchers import LessThan

REST = 3.0
SLACK = 0.5
"""Seconds after a request for rest in which more may still arrive."""

MOST = 2
"""Requests that may arrive in the rest of the time."""


def most_in_rests(backend):
    """Return the most requests of one host within one rest."""
    found = [0]
    for peer in {address for _, address in backend.arrived}:
        times = [at for at, address in backend.arrived if address == peer]
        for asked in times:
            within = [t for t in times if asked + SLACK < t < asked + REST]
            found.append(len(within))
    return max(found)


@pytest.mark.parametrize(
    ("service", "path", "headers"),
    [("plain", "/lookup/", {}), ("engine", "/quote/", USAGE)],
    ids=["plain", "stream"],
)
@pytest_twisted.ensureDeferred
async def test_a_server_that_asks_for_rest_gets_it(
    hosts, service, path, headers
):
    """A server that turns requests away is asked again and again."""
    backends = [hosts.backends[f"{service}-{r}"] for r in ("north", "south")]
    for backend in backends:
        backend.mood = "full"
        backend.told = {b"retry-after": b"3"}
    await send_for(hosts, REST + 1.0, path, **headers)
    for backend in backends:
        assert_that(most_in_rests(backend), LessThan(MOST + 1))
