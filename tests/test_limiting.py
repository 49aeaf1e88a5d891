"""Workspace limits at entry hosts, as callers and operators see them."""

import pytest_twisted
from entry_hosts import keyed_configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan
from twisted.internet import reactor, task

from hyssopspring.records import cause_of, read_records

LIMITED = [
    {
        "name": "desk",
        "api_keys": ["desk-key"],
        "unit": "tokens",
        "rate_per_s": 1000,
        "burst": 1000,
        "plain_tokens": 200,
    }
]


async def apply_limit(hosts):
    """Configure a limit of 1,000 tokens a second and wait for it."""
    document = keyed_configuration(2, LIMITED)
    hosts.store.put_json("op/config", document)
    await hosts.until(
        lambda: all(
            process.keeper.version == 2
            and process.state.view.is_fresh
            and process.limiter.is_first()
            for process in hosts.processes.values()
        )
    )


async def ask(hosts, number, path="/lookup/a", **headers):
    """Send a request of the workspace; return the status and headers."""
    status, found, _ = await hosts.send(
        "h-north",
        path,
        identifier=f"r{number}",
        x_api_key="desk-key",
        **headers,
    )
    return status, found


@pytest_twisted.ensureDeferred
async def test_a_request_over_the_limit_gets_retry_after(hosts):
    """Guards against callers that retry blindly for want of a Retry-After.

    The first request finds an empty token bucket, because its host has just
    received the configuration of the workspace. It reaches no server, and
    succeeds when it is repeated after the Retry-After.
    """
    await apply_limit(hosts)
    status, headers = await ask(hosts, 1)
    assert_that(status, Equals(429))
    wait = float(headers.getRawHeaders(b"retry-after")[0])
    assert_that(wait, GreaterThan(0.0))
    assert_that(hosts.backends["plain-north"].ran, Equals([]))
    await task.deferLater(reactor, wait)
    status, _ = await ask(hosts, 2)
    assert_that(status, Equals(200))
    records = read_records(hosts.lines)
    mine = [one for one in records if one.request == "r1"]
    cause = cause_of(mine, records)
    assert_that(cause, Contains("workspace desk asked for 200 tokens"))
    assert_that(cause, Contains("left at h-north, which holds 50%"))


@pytest_twisted.ensureDeferred
async def test_what_a_server_rejects_is_not_counted(hosts):
    """Guards against requests that never ran but use up the limit.

    Both servers reject all requests. The tokens of each attempt are
    refunded, so the next attempt still finds enough.
    """
    await apply_limit(hosts)
    await ask(hosts, 0)
    await task.deferLater(reactor, 1.0)
    for backend in hosts.backends.values():
        backend.mood = "full"
    usage = hosts.processes["h-north"].limiter.limits.usages["desk"]
    before = usage.level
    status, _ = await ask(hosts, 1)
    assert_that(status, Equals(503))
    assert_that(usage.level, GreaterThan(before - 1))


@pytest_twisted.ensureDeferred
async def test_a_region_without_demand_transfers_its_tokens(hosts):
    """Guards against refusals while another region has unused tokens.

    Only the region north receives requests. They need 0.8 of the limit, and
    the region holds half of it.
    """
    await apply_limit(hosts)
    refused = 0
    for number in range(20):
        status, _ = await ask(hosts, number)
        refused += number >= 8 and status == 429
        await task.deferLater(reactor, 0.25)
    assert_that(refused, LessThan(2))


@pytest_twisted.ensureDeferred
async def test_an_invalid_token_count_is_rejected(hosts):
    """Guards against serving a request with an unreadable token count."""
    await apply_limit(hosts)
    status, _ = await ask(hosts, 1, x_token_usage="many,1")
    assert_that(status, Equals(400))
