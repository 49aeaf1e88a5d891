"""Requests at a host that is told to stop."""

import pytest_twisted
from entry_hosts import NOT_CONNECTED, USAGE, cut_off_stores, status_of
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals
from twisted.internet import defer, reactor, task

from hyssopspring.records import cause_of, read_records

APPLY_SECONDS = 4.0
"""Seconds in which every host must apply a change."""

LATE_SECONDS = 2.9
"""Seconds after the stop signal, 0.3 s before a host of 4 s ends."""


def pause(seconds):
    """Return a deferred that fires after *seconds*."""
    return task.deferLater(reactor, seconds)


def begin_stop(hosts, name):
    """Tell a host to stop; return a deferred of the end of its process."""
    process = hosts.processes.pop(name)
    stopped = defer.ensureDeferred(process.stop())
    stopped.addCallback(lambda _: defer.ensureDeferred(process.close()))
    return process, stopped


@pytest_twisted.ensureDeferred
async def test_an_unverified_route_is_refused_before_its_host_ends(
    proxied_hosts,
):
    """Guards against a request that waits for verification past the end."""
    await pause(2.0)
    cut_off_stores(proxied_hosts)
    await pause(APPLY_SECONDS)
    process, stopped = begin_stop(proxied_hosts, "h-north")
    await pause(LATE_SECONDS)
    status = await status_of(proxied_hosts, process, "/nowhere/a")
    assert_that(status, Equals(503))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_host_without_a_configuration_answers_until_it_ends(
    proxied_hosts,
):
    """Guards against a request that waits for a configuration past the end."""
    proxied_hosts.add_host("h-north-2", "north", 5, store="127.0.0.9:1")
    process, stopped = begin_stop(proxied_hosts, "h-north-2")
    statuses = []
    while not stopped.called:
        status = await status_of(proxied_hosts, process, "/lookup/a")
        statuses.append(status)
    assert set(statuses) <= {503, NOT_CONNECTED}, statuses


@pytest_twisted.ensureDeferred
async def test_a_request_at_a_silent_server_is_answered_before_its_host_ends(
    hosts,
):
    """Guards against a running request that is cut off without a response."""
    hosts.backends["engine-north"].mood = "silent"
    process, stopped = begin_stop(hosts, "h-north")
    asked = defer.ensureDeferred(
        status_of(hosts, process, "/review/a", method=b"POST", **USAGE)
    )
    await stopped
    status = await asked
    assert_that([502, 504], Contains(status))


@pytest_twisted.ensureDeferred
async def test_a_line_names_what_a_request_waited_for_as_its_host_ended(hosts):
    """Guards against a request that ends with its host without a trace."""
    hosts.backends["engine-north"].mood = "silent"
    process, stopped = begin_stop(hosts, "h-north")
    asked = defer.ensureDeferred(
        status_of(hosts, process, "/review/a", method=b"POST", **USAGE)
    )
    await hosts.until(lambda: hosts.backends["engine-north"].ran)
    assert_that(process.gauges()['requests_waiting{for="server"}'], Equals(1))
    await stopped
    await asked
    line = await hosts.logged("ended_by_stop")
    assert_that((line["request"], line["waits_for"]), Equals(("r1", "server")))
    records = read_records(hosts.lines)
    ended = [one for one in records if one.event == "ended_by_stop"]
    assert_that(cause_of(ended), Contains("had waited for server since"))
