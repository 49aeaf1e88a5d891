"""Limits of workspaces at entry hosts: what callers and operators see."""

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
    """Put a limit of 1,000 tokens a second in force."""
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
    """Make a request of the workspace; return status and headers."""
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
    """A caller asks again and again, as nobody says when there is room.

    The first request finds an empty bucket, as its host has just heard of
    the workspace. It reaches no server, and passes when it comes back.
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
    """A workspace is refused, as requests that never ran used its limit up.

    Both servers reject all. The tokens of each try are given back, so the
    next one still finds enough.
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
    """A region refuses what the whole limit has room for elsewhere.

    Only the north asks, for 0.8 of the limit, of which it owns a half.
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
    """A caller whose count cannot be read is served without limit."""
    await apply_limit(hosts)
    status, _ = await ask(hosts, 1, x_token_usage="many,1")
    assert_that(status, Equals(400))
