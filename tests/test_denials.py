"""Responses 401 and 404 only if a host can verify that they are correct."""

import time

import pytest_twisted
from entry_hosts import (
    WORKSPACES,
    configuration,
    cut_off_stores,
    keyed_configuration,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan
from twisted.internet import defer, reactor, task
from twisted.web.http_headers import Headers

APPLY_SECONDS = 4.0
"""Seconds in which every host must apply a change."""

CONFIGURATION_WITH_NEW_ROUTE = configuration(5, lookup={"prefix": "/new/"})
"""A configuration with a route that the first one lacks."""


def pause(seconds):
    """Return a deferred that fires after *seconds*."""
    return task.deferLater(reactor, seconds)


@pytest_twisted.ensureDeferred
async def test_a_route_missed_by_all_watches_is_not_denied(proxied_hosts):
    """Guards against a 404 while watches miss a change but calls succeed."""
    await pause(2.0)
    proxied_hosts.store.deaf = True
    proxied_hosts.store.put_json("op/config", CONFIGURATION_WITH_NEW_ROUTE)
    await pause(APPLY_SECONDS)
    for host in ("h-north", "h-south"):
        status, _, _ = await proxied_hosts.send(
            host, "/new/a", identifier=f"r-{host}"
        )
        assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_a_host_without_the_store_denies_no_route(proxied_hosts):
    """Guards against a 404 by a host that cannot verify its configuration.

    The host reports that the request was not run, early enough for the
    caller to retry at another host.
    """
    await pause(2.0)
    cut_off_stores(proxied_hosts)
    proxied_hosts.store.put_json("op/config", CONFIGURATION_WITH_NEW_ROUTE)
    await pause(APPLY_SECONDS)
    asked_at = reactor.seconds()
    status, headers, _ = await proxied_hosts.send(
        "h-north", "/new/a", identifier="r1"
    )
    assert_that(status, Equals(503))
    assert headers.hasHeader("retry-after")
    assert_that(reactor.seconds() - asked_at, LessThan(1.5))


@pytest_twisted.ensureDeferred
async def test_callers_wait_once_for_an_unverifiable_route(proxied_hosts):
    """Guards against a delay of a second for each caller in an outage."""
    await pause(2.0)
    cut_off_stores(proxied_hosts)
    await pause(APPLY_SECONDS)
    waits = []
    for number in range(3):
        asked_at = reactor.seconds()
        status, _, _ = await proxied_hosts.send(
            "h-north", "/nowhere/a", identifier=f"r{number}"
        )
        assert_that(status, Equals(503))
        waits.append(reactor.seconds() - asked_at)
    assert_that(max(waits[1:]), LessThan(0.3))


@pytest_twisted.ensureDeferred
async def test_a_host_that_was_suspended_denies_no_route(proxied_hosts):
    """Guards against a 404 by a host whose clock stopped during a suspension.

    By its own clock, the store answered a moment ago.
    """
    await pause(2.0)
    cut_off_stores(proxied_hosts)
    proxied_hosts.store.put_json("op/config", CONFIGURATION_WITH_NEW_ROUTE)
    for process in proxied_hosts.processes.values():
        process.state.view.clock = lambda: time.monotonic() + 30.0
    status, _, _ = await proxied_hosts.send(
        "h-north", "/new/a", identifier="r1"
    )
    assert_that(status, Equals(503))


@pytest_twisted.ensureDeferred
async def test_a_key_that_may_have_been_added_is_not_denied(proxied_hosts):
    """Guards against a 401 for a new key at a host with an old configuration.

    The host may accept the keys in its configuration for 20 s. That does not
    allow it to reject keys that are missing there.
    """
    proxied_hosts.store.put_json("op/config", keyed_configuration(4))
    proxied_hosts.add_host("h-north-2", "north", 5, revocation=20.0)
    await proxied_hosts.settled()
    second = proxied_hosts.processes["h-north-2"]
    await proxied_hosts.until(
        lambda: second.keeper.version == 4 and second.state.view.is_fresh
    )
    cut_off_stores(proxied_hosts)
    added = [{**WORKSPACES[0], "api_keys": ["new-key"]}]
    changed = keyed_configuration(5, added)
    proxied_hosts.store.put_json("op/config", changed)
    await pause(APPLY_SECONDS)
    status, _, _ = await proxied_hosts.send(
        "h-north-2", "/lookup/a", identifier="r1", x_api_key="new-key"
    )
    assert_that(status, Equals(503))
    status, _, _ = await proxied_hosts.send(
        "h-north-2", "/lookup/a", identifier="r2", x_api_key="desk-key"
    )
    assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_unknown_routes_cost_few_calls(proxied_hosts):
    """Guards against a call to the store for each denied request."""
    await pause(2.0)
    processes = proxied_hosts.processes.values()
    calls = sum(one.store_sync.store.calls for one in processes)
    for number in range(60):
        for host in ("h-north", "h-south"):
            status, _, _ = await proxied_hosts.send(
                host, "/nowhere/a", identifier=f"r{number}-{host}"
            )
            assert_that(status, Equals(404))
        await pause(0.05)
    made = sum(one.store_sync.store.calls for one in processes) - calls
    # The watch renewals and probes within 3 s, and at most two reads.
    assert_that(made, LessThan(2 * (2 + 4) + 2 * 2))


@pytest_twisted.ensureDeferred
async def test_a_planned_stop_answers_requests_under_verification(
    proxied_hosts,
):
    """Guards against connections closed without a response at a stop."""
    proxied_hosts.add_host("h-north-2", "north", 5)
    await proxied_hosts.settled()
    await pause(2.0)
    cut_off_stores(proxied_hosts)
    await pause(APPLY_SECONDS)
    process = proxied_hosts.processes.pop("h-north")
    front = process.settings.front
    stopped = defer.ensureDeferred(process.stop())
    stopped.addCallback(lambda _: defer.ensureDeferred(process.close()))
    await pause(1.2)
    asked = proxied_hosts.agent.request(
        b"GET",
        f"http://{front}/nowhere/a".encode(),
        Headers({b"host": [b"a.example"], b"x-request-attempt-id": [b"r1"]}),
    )
    response = await asked
    assert_that(response.code, Equals(503))
    await stopped
