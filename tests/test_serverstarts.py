"""What is known of a server ends with its process."""

from types import SimpleNamespace

import pytest_twisted
from entry_hosts import USAGE, configuration, lose_store
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan
from twisted.internet import defer, reactor, task
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.attempts import Attempt, OutgoingRequest
from hyssopspring.entry.confirmedconnections import ConfirmedConnections
from hyssopspring.entry.connections import Endpoint
from hyssopspring.entry.serverstarts import CONFIRMED_SECONDS

FORMER, NEXT = 1780000000000, 1780000009000
COLD_BOUND = 2.2 * 1.5 + 3.0
"""Requests in a second that the users' rule allows at a cold server."""

ALLOWED_MIXED = 2
"""Mixed streams that the users' rule allows."""

REQUESTS = 40
NORTH = ("h-north", "h-north-2", "h-north-3")


@pytest_twisted.async_fixture
async def fleet(hosts):
    """Return three hosts before two engines in the north, one in the south.

    All engines are of one version; servers are cold after a start.
    """
    document = configuration(2)
    document["services"][0].update(cold_s=3.0, cold_per_s=2.2)
    hosts.store.put_json("op/config", document)
    for number in (2, 3):
        hosts.add_host(f"h-north-{number}", "north", number)
    hosts.add_backend("engine-north-2", "engine", "north")
    for name, backend in hosts.backends.items():
        backend.born, backend.version = FORMER, "v1"
        hosts.register_again(name, born=FORMER, version="v1")
    await hosts.settled()
    await hosts.until(
        lambda: all(
            process.keeper.version == 2
            and len(process.registry.servers) == len(hosts.backends)
            and all(
                one.entry.born for one in process.registry.servers.values()
            )
            for process in hosts.processes.values()
        )
    )
    return hosts


def restart_unlisted(hosts):
    """Let a server be another start of another version; return it."""
    backend = hosts.backends["engine-north"]
    backend.born, backend.version = NEXT, "v2"
    return backend


def send_streams(hosts, path):
    """Send streams to the hosts of the north; return their deferred ends."""
    work = []
    for number in range(REQUESTS):
        host, name = NORTH[number % len(NORTH)], f"r{number}"
        sent = hosts.send(host, path + name, identifier=name, **USAGE)
        work.append(defer.ensureDeferred(sent))
    return defer.DeferredList(work, consumeErrors=True)


@pytest_twisted.ensureDeferred
async def test_a_stream_of_an_unlisted_start_is_not_joined(fleet):
    """Guards against a stream recorded under the version of a former start."""
    await lose_store(fleet)
    restarted = restart_unlisted(fleet)
    restarted.mood = "cut"
    results = await send_streams(fleet, "/quote/")
    bodies = [found[2] for done, found in results if done]
    mixed = [one for one in bodies if b"of v1" in one and b"of v2" in one]
    assert_that(mixed, Equals([]))
    assert_that(len(bodies), GreaterThan(ALLOWED_MIXED))


@pytest_twisted.ensureDeferred
async def test_a_cold_start_that_is_not_listed_gets_few_requests(fleet):
    """Guards against the load of a warm server at one that is cold again."""
    await lose_store(fleet)
    restarted = restart_unlisted(fleet)
    began = reactor.seconds()
    results = await send_streams(fleet, "/review/")
    early = [at for at, _ in restarted.arrived if at - began < 1.0]
    assert_that(len(early), LessThan(COLD_BOUND))
    served = sum(done and found[0] == 200 for done, found in results)
    assert_that(served, GreaterThan(COLD_BOUND))


@pytest_twisted.ensureDeferred
async def test_a_refused_connection_is_told_to_all_hosts_of_the_region(fleet):
    """Guards against hosts that go on with a start that another saw end."""
    fleet.backends["engine-north"].crash()
    state = fleet.processes["h-north"].state
    address = state.registry.servers["engine-north"].entry.address
    await state.connections.is_refused(Endpoint("engine-north", address))
    await fleet.until(
        lambda: all(
            fleet.processes[name].state.starts.doubted
            == {f"engine-north/{FORMER}"}
            for name in NORTH
        )
    )


@pytest_twisted.ensureDeferred
async def test_nothing_is_asked_while_the_registry_is_read(fleet):
    """Guards against questions on days without crashes."""
    await send_streams(fleet, "/review/")
    asked = sum(one.state.starts.asked for one in fleet.processes.values())
    assert_that(asked, Equals(0))


@pytest_twisted.ensureDeferred
async def test_a_server_without_a_report_is_used_in_an_outage(fleet):
    """Guards against refusing what servers without a report could serve."""
    for backend in fleet.backends.values():
        backend.born = None
    await lose_store(fleet)
    status, _, _ = await fleet.send("h-north", "/lookup/a", identifier="r")
    assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_an_open_connection_stands_for_those_that_follow(fleet):
    """Guards against a question for each stream that may be resumed."""
    fleet.backends["engine-north"].gap = 0.3
    fleet.store.remove("servers/engine-north-2")
    north = fleet.processes["h-north"]
    await fleet.until(lambda: "engine-north-2" not in north.registry.servers)
    first = defer.ensureDeferred(
        fleet.send("h-north", "/quote/a", identifier="a", **USAGE)
    )
    await task.deferLater(reactor, 2 * CONFIRMED_SECONDS)
    others = [
        defer.ensureDeferred(
            fleet.send("h-north", "/quote/b", identifier=f"b{number}", **USAGE)
        )
        for number in range(3)
    ]
    ends = await defer.gatherResults([first, *others])
    assert_that([status for status, _, _ in ends], Equals([200] * 4))
    assert_that(north.state.starts.asked, Equals(1))
    await fleet.until(lambda: not north.state.starts.confirmed.by_instance)


@pytest_twisted.ensureDeferred
async def test_a_server_without_a_report_is_asked_once(fleet):
    """Guards against a call in vain for each stream of a plain server."""
    for backend in fleet.backends.values():
        backend.born = None
    for name in ("a", "b", "c"):
        await fleet.send("h-north", f"/quote/{name}", identifier=name, **USAGE)
        await task.deferLater(reactor, 1.5 * CONFIRMED_SECONDS)
    asked = fleet.processes["h-north"].state.starts.asked
    assert_that(asked, LessThan(3))


class Opened:
    """A connection that its server has ended, or not.

    Args:
        is_usable: Whether it has not.
    """

    def __init__(self, *, is_usable):
        self.is_usable = is_usable
        self.state = "QUIESCENT"
        self.lost_reason = NOTHING if is_usable else "closed"
        self.confirmed_instance = NOTHING
        self.requests = []

    def request(self, request):
        """Keep a request."""
        self.requests.append(request)
        return defer.Deferred()


def test_a_connection_that_ends_with_its_report_gets_no_request():
    """Guards against a stream that is lost with a closing connection."""
    closing, usable = Opened(is_usable=False), Opened(is_usable=True)
    opened = iter([closing, usable])
    confirmed = ConfirmedConnections()

    async def confirm(connection):
        confirmed.add(connection, "server/1")
        return True

    attempt = Attempt(
        SimpleNamespace(open=lambda *_, **__: defer.succeed(next(opened))),
        Endpoint("server", "127.0.0.5:1"),
        OutgoingRequest(
            id=b"a",
            method=b"GET",
            uri=b"/quote/a",
            headers=Headers({b"host": [b"h"]}),
            body=b"",
            stream=True,
            repeatable=True,
        ),
        NOTHING,
        task.Clock(),
        on_stream=NOTHING,
        on_first_data=NOTHING,
        confirm=confirm,
    )
    attempt.run()
    assert_that((closing.requests, len(usable.requests)), Equals(([], 1)))
    assert confirmed.has_open("server/1")
    usable.on_lost()
    assert not confirmed.has_open("server/1")
