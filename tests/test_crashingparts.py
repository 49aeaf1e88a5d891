"""Parts of prompts that crash servers: what callers and servers observe."""

import pytest
import pytest_twisted
from entry_hosts import BROKEN
from test_crashing import CrashingServers
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan
from twisted.internet import defer, reactor, task

MOST_CRASHES = 5
"""Servers that may crash under requests that come one by one."""

MOST_LATE_REQUESTS = 3
"""Requests that may reach servers after the fifth crash."""


class PartLoad:
    """Requests with prompts of several parts, no two of them alike.

    Args:
        hosts: The `Hosts`.
        bad: Identifiers of the parts that crash servers.
    """

    def __init__(self, hosts, bad=("bad",)):
        self.hosts = hosts
        self.bad = frozenset(bad)
        self.crashes = CrashingServers(hosts, "engine")
        self.count = 0
        self.mark_servers()

    def mark_servers(self):
        """Let all servers crash under the bad parts."""
        for server in self.crashes.servers:
            server.crashing_parts = self.bad

    async def renew(self):
        """Start a server for each that crashed, and wait until it is known."""
        self.crashes.restart()
        self.mark_servers()
        await self.crashes.settled()

    async def send(self, host, parts, path="/quote/a", source=""):
        """Send one new request; return its status, or 0 if it was cut."""
        self.count += 1
        name = f"n{self.count}"
        stated = ",".join(f"{one}:20" for one in (*parts, name))
        try:
            status, _, _ = await self.hosts.send(
                host,
                path,
                identifier=name,
                method=b"POST",
                body=name.encode(),
                source=source,
                x_token_usage="100,20",
                x_prompt_prefix=stated,
            )
        except BROKEN:
            return 0
        return status


def host_of(number):
    """Return the name of one of the two hosts in turn."""
    return ("h-north", "h-south")[number % 2]


@pytest.mark.parametrize(
    ("path", "parts"),
    [("/quote/a", ("common", "bad")), ("/review/a", ("bad", "common"))],
)
@pytest_twisted.ensureDeferred
async def test_requests_that_share_a_crashing_part_reach_few_servers(
    hosts, path, parts
):
    """A part is blocked although no two requests with it are alike.

    Sound requests of the same caller with the other part are served.
    """
    load = PartLoad(hosts)
    await load.renew()
    sound = []
    for number in range(12):
        sound.append(await load.send(host_of(number), ("common",), path))
        await load.send(host_of(number), parts, path)
        await load.renew()
    assert_that(load.crashes.crashed, LessThan(MOST_CRASHES + 1))
    assert_that(sound, Equals([200] * 12))


@pytest_twisted.ensureDeferred
async def test_simultaneous_requests_with_a_crashing_part_reach_few_servers(
    hosts,
):
    """Few requests with a part reach servers after the fifth crash.

    They arrive at two regions, faster than servers are replaced.
    """
    load = PartLoad(hosts)
    await load.renew()
    sent_by_fifth = []
    requests = []
    for number in range(40):
        answer = load.send(host_of(number), ("common", "bad"))
        requests.append(defer.ensureDeferred(answer))
        await task.deferLater(reactor, 0.05)
        if load.crashes.crashed >= MOST_CRASHES and not sent_by_fifth:
            sent_by_fifth.append(load.crashes.sent)
        load.crashes.restart()
        load.mark_servers()
    await defer.gatherResults(requests)
    late = load.crashes.sent - sent_by_fifth[0] if sent_by_fifth else 0
    assert_that(late, LessThan(MOST_LATE_REQUESTS + 1))
