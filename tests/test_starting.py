"""The configuration with which a host starts."""

import pytest_twisted
from entry_hosts import configuration
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import reactor, task


async def versions_at_start(hosts, name, number, **settings):
    """Start a host without the store; return the versions that it applies.

    The versions are polled for three seconds.
    """
    hosts.proxied = True
    hosts.add_host(name, "north", number, **settings)
    hosts.proxies[name].cut = True
    process = hosts.processes[name]
    seen = []
    end = reactor.seconds() + 3.0
    while reactor.seconds() < end:
        if not seen or seen[-1] != process.keeper.version:
            seen.append(process.keeper.version)
        await task.deferLater(reactor, 0.01)
    return seen


@pytest_twisted.ensureDeferred
async def test_a_host_does_not_start_with_less_than_its_region_has(
    proxied_hosts,
):
    """Guards against an old version from a seed that is behind.

    The host reaches the seed first, and finds its region's other host only
    through the seed's snapshot.
    """
    south = proxied_hosts.processes["h-south"]
    proxied_hosts.proxies["h-south"].silence()
    proxied_hosts.proxies["h-south"].cut = True
    south.store_sync.replication.on_peer_ahead = lambda member: None
    south.membership.on_peer_ahead = lambda member: None
    proxied_hosts.store.put_json("op/config", configuration(5))
    north = proxied_hosts.processes["h-north"]
    await proxied_hosts.until(lambda: north.keeper.version == 5)
    assert_that(south.keeper.version, Equals(1))
    seen = await versions_at_start(
        proxied_hosts, "h-north-2", 5, seeds=(south.settings.control,)
    )
    assert_that(seen, Equals([0, 5]))


@pytest_twisted.ensureDeferred
async def test_a_host_starts_with_a_seed_if_nobody_knows_more(proxied_hosts):
    """Guards against a host that serves no request while the store is down."""
    south = proxied_hosts.processes["h-south"]
    await proxied_hosts.processes.pop("h-north").close()
    seen = await versions_at_start(
        proxied_hosts, "h-north-2", 5, seeds=(south.settings.control,)
    )
    assert_that(seen, Equals([0, 1]))
