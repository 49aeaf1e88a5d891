"""Connections that pass no data but stay open, and their detection."""

from types import SimpleNamespace

import pytest
import pytest_twisted
from entry_hosts import configuration
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, reactor, task
from twisted.internet.testing import StringTransport

from hyssopspring.core.outcomes import Answered, Reason
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.attempts import Attempt
from hyssopspring.entry.messages import StoreChange
from hyssopspring_fakes.proxies import FaultProxy

APPLY_SECONDS = 4.0
"""Time limit for a change to be in force at every host."""


def is_watch(asked):
    """Return whether the last request on a connection was a watch."""
    return b"/v1/kv-watch" in asked and b"wait_ms=0" not in asked


async def watching(hosts):
    """Wait until each host has two pending watches."""

    def waits(proxy):
        watches = [one for one in proxy.pairs if is_watch(one.asked)]
        return len(watches) == 2

    await hosts.until(lambda: all(map(waits, hosts.proxies.values())))
    await task.deferLater(reactor, 1.0)


@pytest.mark.parametrize(
    "chosen", [lambda asked: True, is_watch], ids=["all", "watches"]
)
@pytest_twisted.ensureDeferred
async def test_silent_connections_to_the_store_hide_no_change(
    proxied_hosts, chosen
):
    """Guards against an old version in force while the watch is dead."""
    await watching(proxied_hosts)
    for proxy in proxied_hosts.proxies.values():
        proxy.silence(chosen)
    proxied_hosts.store.put_json("op/config", configuration(5))
    processes = proxied_hosts.processes.values()
    await proxied_hosts.until(
        lambda: all(one.keeper.version == 5 for one in processes),
        within=APPLY_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_a_lost_answer_of_a_watch_hides_no_change(proxied_hosts):
    """Guards against a watch whose only answer was lost in transit."""
    await watching(proxied_hosts)
    for proxy in proxied_hosts.proxies.values():
        proxy.mute()
    proxied_hosts.store.put_json("op/evacuate/north-a", {})
    processes = proxied_hosts.processes.values()
    await proxied_hosts.until(
        lambda: all(one.registry.evacuated for one in processes),
        within=APPLY_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_silent_watches_hide_no_server_that_leaves(proxied_hosts):
    """Guards against requests to a draining server."""
    await watching(proxied_hosts)
    for proxy in proxied_hosts.proxies.values():
        proxy.silence(is_watch)
    backend = proxied_hosts.backends["plain-north"]
    address = f"{backend.address}:{backend.port.getHost().port}"
    proxied_hosts.register(
        "plain-north", "plain", address, "north", state="draining"
    )
    registry = proxied_hosts.processes["h-north"].registry
    await proxied_hosts.until(
        lambda: registry.servers["plain-north"].entry.leaving,
        within=APPLY_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_a_replica_that_lags_hides_no_server_that_leaves(proxied_hosts):
    """Guards against requests to a draining server shown by no probe in time.

    All watches are dead, and the replica lags by longer than servers go on.
    """
    await watching(proxied_hosts)
    proxied_hosts.store.lag = 5.5
    for proxy in proxied_hosts.proxies.values():
        proxy.silence(is_watch)
    proxied_hosts.register_again("plain-north", state="draining")
    registry = proxied_hosts.processes["h-north"].registry
    await proxied_hosts.until(
        lambda: registry.servers["plain-north"].entry.leaving,
        within=APPLY_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_watches_cut_off_with_all_else_are_not_kept_after_the_cut(
    proxied_hosts,
):
    """Guards against a watch that survives a cut but gets no more changes."""
    await watching(proxied_hosts)
    for proxy in proxied_hosts.proxies.values():
        proxy.silence()
        proxy.cut = True
    await task.deferLater(reactor, 2.5)
    for proxy in proxied_hosts.proxies.values():
        proxy.cut = False
    proxied_hosts.store.put_json("op/config", configuration(6))
    processes = proxied_hosts.processes.values()
    await proxied_hosts.until(
        lambda: all(one.keeper.version == 6 for one in processes),
        within=APPLY_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_a_region_follows_while_its_watching_hosts_fall_silent(
    proxied_hosts,
):
    """Guards against a host that relies on two others with dead watches."""
    north, resting = await proxied_hosts.with_resting_host()
    await task.deferLater(reactor, 1.0)
    for proxy in proxied_hosts.proxies.values():
        proxy.silence()
    proxied_hosts.store.put_json("op/config", configuration(7))
    await proxied_hosts.until(
        lambda: all(one.keeper.version == 7 for one in north),
        within=APPLY_SECONDS,
    )


@pytest_twisted.ensureDeferred
async def test_a_neighbour_that_cannot_be_read_hides_no_change(hosts):
    """Guards against a host that reads only from unreachable neighbours.

    It relies on two others for changes and loses their datagrams. Their
    heartbeats report newer revisions, but reads of their snapshots fail.
    """
    north, resting = await hosts.with_resting_host()
    resting.membership.handlers[StoreChange] = lambda message: None
    for member in resting.members.others.values():
        member.relay = "127.0.0.8:9"
    hosts.store.put_json("op/config", configuration(8))
    await hosts.until(
        lambda: resting.keeper.version == 8, within=APPLY_SECONDS
    )


@pytest_twisted.ensureDeferred
async def test_another_region_that_has_more_is_evidence(proxied_hosts):
    """Guards against a region in which all watches and probes are dead.

    Only the hosts of the other region receive the change.
    """
    await watching(proxied_hosts)
    north = proxied_hosts.processes["h-north"]

    async def probe(follower):
        north.store_sync.probing = False

    north.store_sync.probe = probe
    proxied_hosts.proxies["h-north"].silence(is_watch)
    proxied_hosts.store.put_json("op/config", configuration(9))
    await proxied_hosts.until(
        lambda: north.keeper.version == 9, within=APPLY_SECONDS
    )


@pytest_twisted.ensureDeferred
async def test_one_silent_request_is_evidence_against_idle_connections(hosts):
    """Guards against one lost request per connection that passes no data.

    All connections to a server pass no data any more; new ones would.
    """
    backend = hosts.add_backend("plain-2", "plain", "north")
    backend.kept_for = 30
    address = f"{backend.address}:{backend.port.getHost().port}"
    proxy = FaultProxy(reactor, "127.0.0.8", address)
    hosts.proxies["plain-2"] = proxy
    hosts.register("plain-2", "plain", proxy.start(), "north", born=5)
    hosts.store.remove("servers/plain-north")
    north = hosts.processes["h-north"]
    await hosts.until(
        lambda: [
            one.entry.address
            for one in north.registry.servers.values()
            if one.entry.service == "plain" and not one.entry.leaving
        ].count(proxy.port.getHost().host + f":{proxy.port.getHost().port}")
    )
    await defer.gatherResults(
        [
            defer.ensureDeferred(
                hosts.send("h-north", "/lookup/a", identifier=f"r{number}")
            )
            for number in range(4)
        ]
    )
    connections = north.state.connections
    assert connections.count("plain-2") > 1
    proxy.silence()
    status, _, _ = await hosts.send("h-north", "/lookup/a", identifier="r9")
    assert_that(connections.count("plain-2"), Equals(0))


def test_an_attempt_that_has_ended_leaves_its_connection_alone():
    """Guards against an abort that ends another request of the connection."""
    connection = SimpleNamespace(transport=StringTransport())
    attempt = Attempt(
        NOTHING,
        NOTHING,
        NOTHING,
        NOTHING,
        task.Clock(),
        on_stream=NOTHING,
        on_first_data=NOTHING,
    )

    async def carry_out():
        attempt.connection = connection
        return Answered(200)

    attempt.carry_out = carry_out
    attempt.run()
    attempt.abandon(Reason.CALLER_GONE)
    assert not connection.transport.disconnecting
