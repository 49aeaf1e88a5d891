"""Choice of a host of another region, and of a connection to it."""

import random

import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is
from twisted.internet import reactor, task
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.relaying import (
    OUTCOME,
    RELAY_HEADER,
    read_relay_head,
)
from hyssopspring.entry.remotehosts import RemoteHosts
from hyssopspring.platform import headers as platform_headers
from hyssopspring.traffic.members import Member, Members


def member(name, region, **more):
    """Return a `Member` that sent a heartbeat at the start."""
    made = Member(
        name=name,
        region=region,
        data_centre=f"{region}-a",
        front=f"{name}:1",
        control=f"{name}:2",
        relay=f"{name}:3",
        version=1,
        **more,
    )
    made.last_heartbeat_at = 0.0
    return made


class IdleConnections:
    """Count idle connections by host, without any network."""

    def __init__(self):
        self.idle = {}
        self.prepared = []

    def count(self, key):
        """Return the idle connections to *key*."""
        return self.idle.get(key, 0)

    def preconnect(self, endpoint):
        """Record that a connection is being opened."""
        self.prepared.append(endpoint.key)


@pytest.fixture
def connections():
    """Return a pool without any open connection."""
    return IdleConnections()


@pytest.fixture
def remote_hosts(connections):
    """Return the `RemoteHosts` of a host with thirty hosts in the south."""
    members = Members(member("own", "north"))
    for number in range(30):
        members.add(member(f"s{number}", "south"))
    return RemoteHosts(members, connections, task.Clock(), random.Random(1))


def test_a_ready_connection_is_used_before_a_new_one(
    remote_hosts, connections
):
    """Guards against late requests while engines in another region are idle.

    If each request went to another of thirty hosts, each would open a
    connection first, which costs a round trip of 160 ms.
    """
    connections.idle["s7"] = 1
    chosen = [remote_hosts.choose("south", set()) for _ in range(20)]
    assert_that({one.name for one in chosen}, Equals({"s7"}))
    other = remote_hosts.choose("south", {"s7"})
    assert other.name != "s7"


def test_a_spare_connection_is_opened_while_work_is_sent(
    remote_hosts, connections
):
    """Guards against connections opened one after another at a peak.

    A peak needs several connections at once.
    """
    remote_hosts.choose("south", set())
    assert_that(connections.prepared, HasLength(1))
    connections.idle = {"s1": 2, "s2": 2}
    remote_hosts.choose("south", set())
    assert_that(connections.prepared, HasLength(1))


def test_a_region_without_hosts_gets_nothing(remote_hosts):
    """Guards against a choice when all hosts have failed or none is live."""
    assert_that(remote_hosts.choose("west", set()), Is(NOTHING))
    tried = {f"s{number}" for number in range(30)}
    assert_that(remote_hosts.choose("south", tried), Is(NOTHING))


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (400, {}, True),
        (400, {OUTCOME: [b"unknown"]}, False),
        (500, {}, False),
    ],
)
def test_a_relay_header_that_is_not_understood_is_a_refusal(
    status, headers, not_run
):
    """Guards against a host's own 400 that is passed on as a server's.

    Hosts of another release may not be able to decode the relay header.
    """
    head = read_relay_head(platform_headers, status, Headers(headers))
    assert_that((head.not_run, head.signed), Equals((not_run, False)))


@pytest_twisted.ensureDeferred
async def test_a_host_says_that_it_has_refused_a_relay_header(hosts):
    """Guards against the same at a host of an earlier release."""
    source = hosts.processes["h-north"].settings.address
    pool = HTTPConnectionPool(reactor, persistent=False)
    agent = Agent(reactor, pool=pool, bindAddress=source)
    relay = hosts.processes["h-south"].members.own.relay
    headers = {RELAY_HEADER.decode(): "["}
    response = await hosts.request(
        relay, "/lookup/a", "r1", b"GET", b"", headers, agent
    )
    assert_that(response.code, Equals(400))
    outcome = response.headers.getRawHeaders(OUTCOME)
    assert_that(outcome, Equals([b"not-run"]))
