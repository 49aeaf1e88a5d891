"""Limits that servers name hold over all hosts."""

import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import LessThan
from twisted.internet import defer, reactor, task

USAGE = {"x_token_usage": "100,20", "x_prompt_prefix": "ab:60,cd:40"}
WINDOW = 4.0
"""Seconds over which requests to a server are counted."""

RATE = 30.0
"""Requests a second that callers send."""


def most_allowed(limit):
    """Return the requests that a server may get in a window."""
    return 1.5 * limit * WINDOW + 5


def most_arrived(backend):
    """Return the most requests that reached a server in a window."""
    times = [at for at, _ in backend.arrived]
    return max(
        sum(begin <= at < begin + WINDOW for at in times) for begin in times
    )


async def send_for(hosts, seconds, path, method=b"GET", **headers):
    """Send requests to all hosts in turn; return each status."""
    names = list(hosts.processes)
    sent = []
    for number in range(int(seconds * RATE)):
        sent.append(
            hosts.send(
                names[number % len(names)],
                f"{path}{number}",
                identifier=f"{path}{number}",
                method=method,
                **headers,
            )
        )
        sent[-1] = defer.ensureDeferred(sent[-1])
        await task.deferLater(reactor, 1 / RATE)
    return [(await one)[0] for one in sent]


@pytest.mark.parametrize(
    ("service", "path", "headers"),
    [("plain", "/lookup/", {}), ("engine", "/quote/", USAGE)],
    ids=["plain", "stream"],
)
@pytest_twisted.ensureDeferred
async def test_all_hosts_together_keep_a_limit(hosts, service, path, headers):
    """A server in need gets many times the requests that it can take."""
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    limit = 1.5
    backends = [hosts.backends[f"{service}-{r}"] for r in ("north", "south")]
    for backend in backends:
        backend.told = {b"server-limit": b"%.1f" % limit}
    await send_for(hosts, WINDOW + 1.0, path, **headers)
    for backend in backends:
        assert_that(most_arrived(backend), LessThan(most_allowed(limit) + 1))
