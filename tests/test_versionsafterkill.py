"""Streams that are resumed after all hosts were killed at once."""

import pytest
import pytest_twisted
from entry_hosts import configuration
from test_streamversions import (
    EVENTS,
    all_of,
    begin_streams,
    check_streams,
    end_host,
    engines,
    versions,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import reactor, task

from hyssopspring.entry.hostentries import OWN_PREFIX

HOSTS = (
    ("h-north", "north", 0),
    ("h-south", "south", 1),
    ("h-north-2", "north", 2),
    ("h-north-3", "north", 3),
    ("h-south-4", "south", 4),
)
TIMEOUT = 1.0
"""Seconds for which the route lets one attempt last."""

DOWN_SECONDS = 0.8

WRITTEN_SECONDS = 0.5
"""Seconds in which records are in the store."""

__all__ = ["versions"]


async def kill_all(hosts):
    """End all hosts at once; start them again under their names."""
    await end_all(hosts)
    await task.deferLater(reactor, DOWN_SECONDS)
    await start_all(hosts)


async def end_all(hosts):
    """End all hosts at once; what they still send is not written."""
    hosts.store.down = True
    for name, _, _ in HOSTS:
        await end_host(hosts, name)


async def start_all(hosts):
    """Start all hosts under their names."""
    hosts.store.down = False
    for name, region, number in HOSTS:
        hosts.add_host(name, region, number)
    await hosts.settled()


async def add_hosts(hosts):
    """Add hosts before a single version of servers."""
    for name, region, number in HOSTS[2:]:
        hosts.add_host(name, region, number)
    await hosts.settled()
    for backend in engines(hosts):
        backend.version, backend.events = "v1", EVENTS


async def set_timeout(hosts):
    """Let one attempt of a stream last for `TIMEOUT`."""
    quote = {"max_attempts": 1, "timeout_ms": int(TIMEOUT * 1000)}
    hosts.store.put_json("op/config", configuration(3, quote=quote))
    await hosts.until(
        lambda: all(
            one.keeper.version == 3 for one in hosts.processes.values()
        )
    )


async def leave(hosts, version):
    """Let the servers of a version leave."""
    for name, backend in list(hosts.backends.items()):
        if name.startswith("engine") and backend.version == version:
            hosts.store.remove(f"servers/{name}")
    await hosts.until(
        lambda: all(
            version not in one.registry.listed_versions("engine")
            for one in hosts.processes.values()
        )
    )


@pytest.mark.parametrize(
    ("kills", "named"), [(0, False), (1, True), (2, True), (1, False)]
)
@pytest_twisted.ensureDeferred
async def test_a_late_caller_gets_no_other_version(versions, kills, named):
    """Guards against a version inferred from what is listed since a start."""
    callers = await begin_streams(versions)
    await set_timeout(versions)
    await leave(versions, "v1")
    for _ in range(kills):
        await kill_all(versions)
        await task.deferLater(reactor, TIMEOUT + 1.0)
    await task.deferLater(reactor, TIMEOUT)
    more = {} if named else {"resumes": ""}
    await all_of(one.call("h-north", **more) for one in callers)
    assert_that(sum(one.is_mixed for one in callers), Equals(0))


@pytest.mark.parametrize("in_place", [False, True])
@pytest_twisted.ensureDeferred
async def test_a_version_that_leaves_while_all_are_down(versions, in_place):
    """Guards against a version that no host has seen leave."""
    callers = await begin_streams(versions)
    await set_timeout(versions)
    await end_all(versions)
    for name, backend in list(versions.backends.items()):
        if name.startswith("engine") and backend.version == "v1":
            if in_place:
                backend.version = "v2"
                versions.register_again(name, version="v2")
            else:
                versions.store.remove(f"servers/{name}")
    await start_all(versions)
    await task.deferLater(reactor, TIMEOUT + 1.0)
    await all_of(one.call("h-north") for one in callers)
    assert_that(sum(one.is_mixed for one in callers), Equals(0))


@pytest.mark.parametrize("kills", [1, 2])
@pytest_twisted.ensureDeferred
async def test_streams_of_two_versions_outlast_all_hosts(versions, kills):
    """Guards against streams that end with the hosts that know them."""
    callers = await begin_streams(versions)
    await task.deferLater(reactor, WRITTEN_SECONDS)
    for _ in range(kills):
        await kill_all(versions)
    await all_of(one.call("h-north") for one in callers)
    check_streams(callers)


@pytest_twisted.ensureDeferred
async def test_streams_from_before_a_release_outlast_all_hosts(hosts):
    """Guards against streams that began before their service had a record."""
    await add_hosts(hosts)
    callers = await begin_streams(hosts, versions={b"v1"})
    hosts.register_again("plain-south", service="engine", version="v2")
    await hosts.until(
        lambda: any("/streams/" in key for key in hosts.store.items)
    )
    hosts.store.remove("servers/plain-south")
    await task.deferLater(reactor, 0.5)
    await kill_all(hosts)
    await all_of(one.call("h-north") for one in callers)
    check_streams(callers)


@pytest.mark.parametrize("kills", [1, 2])
@pytest_twisted.ensureDeferred
async def test_streams_of_the_only_version_outlast_all_hosts(hosts, kills):
    """Guards against refusals though a service has had one version only."""
    await add_hosts(hosts)
    callers = await begin_streams(hosts, versions={b"v1"})
    for _ in range(kills):
        await kill_all(hosts)
    await all_of(one.call("h-north") for one in callers)
    check_streams(callers)
    assert_that(hosts.store.items["hyssop/versions"]["lease"], Equals(0))


@pytest_twisted.ensureDeferred
async def test_records_are_read_after_a_listing_that_failed(hosts):
    """Guards against a host that refuses streams as long as it runs."""
    failed = []

    def fail_once(request):
        own = request.args[b"prefix"][0] == OWN_PREFIX.encode()
        if own and not failed:
            failed.append(request)
            hosts.store.respond(request, 503, {})
        else:
            answer(request)

    answer, hosts.store.list = hosts.store.list, fail_once
    hosts.add_host("h-north-2", "north", 2)
    history = hosts.processes["h-north-2"].registry.history
    await hosts.until(lambda: failed)
    await hosts.until(lambda: history.is_loaded)
