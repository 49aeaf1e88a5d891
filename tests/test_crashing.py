"""Requests under which servers end: what callers and servers see."""

import json

import pytest
import pytest_twisted
from entry_hosts import BROKEN
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from hyssopspring.core.sentinels import NOTHING

CRASHING = b"draft that no server survives"
USAGE = {"x_token_usage": "100,20", "x_prompt_prefix": "ab:60,cd:40"}
REPEATS = 4
MOST_RETRIES = 3
"""Sends to servers that are allowed once three servers have ended."""


class Crashes:
    """Servers that end under one request, and are back at once.

    Args:
        hosts: The `Hosts`.
        service: Service of the servers.
    """

    def __init__(self, hosts, service):
        self.hosts = hosts
        self.service = service
        self.count = 0
        for region in ("north", "south"):
            for _ in range(2):
                self.add(region)
        for name in (f"{service}-north", f"{service}-south"):
            hosts.store.remove(f"servers/{name}")

    def add(self, region):
        """Start one more server."""
        self.count += 1
        name = f"{self.service}-{region}-{self.count}"
        backend = self.hosts.add_backend(name, self.service, region)
        backend.region = region
        backend.crashed_by = CRASHING

    @property
    def servers(self):
        """The servers that can end so, those that have ended too."""
        return [
            one
            for one in self.hosts.backends.values()
            if one.crashed_by is not None and self.service in one.name
        ]

    def restart(self):
        """Start a server for each that has ended since the last call."""
        for backend in self.servers:
            key = f"servers/{backend.name}"
            if not backend.up and key in self.hosts.store.items:
                self.hosts.store.remove(key)
                self.add(backend.region)

    async def settled(self):
        """Wait until the hosts know the servers that are up."""
        up = {one.name for one in self.servers if one.up}

        def known():
            return all(
                up == {name for name in one.registry.servers if name in up}
                for one in self.hosts.processes.values()
            )

        await self.hosts.until(known)

    @property
    def ended(self):
        """How many servers have ended."""
        return sum(not one.up for one in self.servers)

    @property
    def sent(self):
        """How many requests have reached servers that end so."""
        return sum(len(one.seen) for one in self.servers)


@pytest.fixture
def send(hosts):
    """Return a function that sends a request and says how it ended."""

    async def send(host, path, number, body, **headers):
        try:
            status, found, _ = await hosts.send(
                host,
                path,
                identifier=f"r{number}",
                method=b"POST",
                body=body,
                **headers,
            )
        except BROKEN:
            return 0, None
        return status, found

    return send


async def repeat(crashes, send, path, **headers):
    """Send the request until three servers have ended, and then again.

    Returns:
        How often it was sent to servers after the third had ended.
    """
    ended, sent = crashes.ended, NOTHING
    for number in range(4 * REPEATS):
        await crashes.settled()
        host = ("h-north", "h-south")[number % 2]
        await send(host, path, number, CRASHING, **headers)
        if sent is NOTHING and crashes.ended >= ended + 3:
            sent = crashes.sent
        crashes.restart()
    assert sent is not NOTHING, "three servers never ended"
    return crashes.sent - sent


@pytest_twisted.ensureDeferred
async def test_a_request_that_ends_servers_is_sent_to_few(hosts, send):
    """Everybody's streams are cut, again and again.

    A server ends as soon as it begins to run one request. The host sends
    it to another, which ends too; its caller comes back to other hosts,
    and each of them begins anew: nothing remembers under which request
    servers have ended. All that runs beside it ends with them.
    """
    plain, engines = Crashes(hosts, "plain"), Crashes(hosts, "engine")
    again = [
        await repeat(plain, send, "/lookup/a"),
        await repeat(plain, send, "/post/a"),
        await repeat(engines, send, "/quote/a", **USAGE),
        await repeat(engines, send, "/review/a", **USAGE),
    ]
    assert_that(max(again), LessThan(MOST_RETRIES + 1))


@pytest_twisted.ensureDeferred
async def test_lines_say_which_repeats_are_one_request(hosts, send):
    """Nobody can tell which request servers end under.

    Repeats bear new identifiers. The line of an ended server names what
    they share; a server that only breaks off an answer has no such line.
    """
    crashes = Crashes(hosts, "plain")
    await crashes.settled()
    hosts.backends["engine-north"].mood = "cut"
    await send("h-north", "/review/a", 1, b"", **USAGE)
    await send("h-north", "/post/a", 2, CRASHING)
    await send("h-south", "/post/a", 3, CRASHING)
    await hosts.until(lambda: len(lines_of(hosts, "server_ended")) == 2)
    lines = lines_of(hosts, "server_ended")
    assert_that({line["request"] for line in lines}, Equals({"r2", "r3"}))
    assert_that(len({line["fingerprint"] for line in lines}), Equals(1))
    assert_that({line["caller"] for line in lines}, Equals({"127.0.0.1"}))


def lines_of(hosts, event):
    """Return the log lines of one kind of event, decoded."""
    lines = map(json.loads, hosts.lines)
    return [line for line in lines if line.get("event") == event]
