"""Confirmation that a host's configuration is the newest one."""

import math

import pytest
import pytest_twisted
from entry_hosts import keyed_configuration
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from networks import REVOCATION, Network
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan
from twisted.internet import reactor, task

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.views import ConfirmedView


def test_a_view_ages_from_the_question_and_never_backwards():
    """Guards against a late or duplicated response that makes a view fresh."""
    clock = task.Clock()
    view = ConfirmedView(clock.seconds, 5.0)
    assert_that((view.age, view.is_fresh), Equals((math.inf, False)))
    clock.advance(10.0)
    view.confirm(9.0)
    view.confirm(3.0)
    assert_that((view.age, view.is_fresh), Equals((1.0, True)))
    clock.advance(4.0)
    assert_that(view.is_fresh, Is(False))


def test_without_a_bound_keys_are_always_accepted():
    """Guards against refused keys in an outage without a revocation limit."""
    view = ConfirmedView(task.Clock().seconds, NOTHING)
    assert_that(view.is_fresh, Is(True))


def hosts_accepting_stale_keys(network):
    """Return the hosts that accept the keys of an outdated version."""
    return [
        name
        for name, host in network.hosts.items()
        if host.up
        and host.view.is_fresh
        and host.keeper.version < network.version
    ]


FAULTS = ("cut", "cut_from_store", "freeze", "region", "end")


@settings(max_examples=30, phases=[Phase.explicit, Phase.generate])
@given(
    st.lists(
        st.tuples(
            st.sampled_from(FAULTS),
            st.integers(0, 17),
            st.integers(1, 8),
        ),
        min_size=1,
        max_size=9,
    ),
    st.integers(0, 12),
)
def test_a_key_taken_away_ends_everywhere_whatever_fails(faults, change_at):
    """Guards against a revoked key that one host still accepts.

    The host was cut off, suspended or rejected by the store when the key was
    revoked. The confirmation of its old configuration came from a buffer, or
    from a host that had not received the revocation either.
    """
    network = Network(6)
    hosts = list(network.hosts.values())
    network.run(4)
    ends = []
    for second in range(24):
        if second == change_at:
            network.version += 1
            changed_at = network.clock.seconds()
        for number, (kind, which, length) in enumerate(faults):
            if second == number * 2:
                begin_fault(network, kind, hosts[which])
                ends.append((second + length, kind, hosts[which]))
        for end, kind, host in ends:
            if end == second:
                end_fault(network, kind, host)
        for _ in range(10):
            network.run(0.1)
            if second >= change_at:
                since = network.clock.seconds() - changed_at
                if since > REVOCATION:
                    assert_that(
                        hosts_accepting_stale_keys(network), Equals([])
                    )


def begin_fault(network, kind, host):
    """Begin a fault at a host, or between its region and the store's."""
    if kind == "freeze":
        network.freeze(host)
    elif kind == "end":
        host.up = False
    elif kind == "region":
        network.cut_pairs.add(frozenset((host.region, "north")))
    else:
        getattr(network, kind).add(host)


def end_fault(network, kind, host):
    """End a fault."""
    if kind == "freeze":
        network.wake(host)
    elif kind == "region":
        network.cut_pairs.discard(frozenset((host.region, "north")))
    elif kind != "end":
        getattr(network, kind).discard(host)


def test_a_calm_fleet_confirms_its_views_with_few_calls():
    """Guards against 195 hosts that each call the store every second.

    Calls are billed and rate limited. Only the first host of a region reads
    the store; all others get confirmations from it, and no view gets old.
    """
    network = Network(65)
    network.run(4)
    before, oldest = network.store_calls, 0.0
    for _ in range(50):
        network.run(0.1)
        ages = [host.view.age for host in network.hosts.values()]
        oldest = max(oldest, *ages)
    assert_that(network.store_calls - before, LessThan(3 * 5 + 4))
    assert_that(oldest, LessThan(REVOCATION / 2))


def test_hosts_refused_by_the_store_are_confirmed_by_others():
    """Guards against refused keys while neighbours have fresh views."""
    network = Network(6)
    network.run(3)
    away = list(network.hosts.values())[:3]
    network.cut_from_store.update(away)
    for _ in range(80):
        network.run(0.1)
        for host in away:
            assert_that(host.view.is_fresh, Is(True))


def test_the_loss_of_the_first_host_costs_no_refusal():
    """Guards against a region that refuses keys as its first host fails."""
    network = Network(6)
    network.run(3)
    first = network.placer_of(network.hosts["south-0"])
    first.up = False
    others = [
        host
        for host in network.hosts.values()
        if host.region == "south" and host is not first
    ]
    for _ in range(80):
        network.run(0.1)
        for host in others:
            assert_that(host.view.is_fresh, Is(True))


@pytest.mark.parametrize("seconds", [5.5, 9.0])
def test_a_cut_region_recovers_within_a_second_of_the_link(seconds):
    """Guards against a region that still refuses keys after a cut ended."""
    network = Network(6)
    network.run(3)
    pairs = {frozenset((one, "south")) for one in ("north", "west")}
    network.cut_pairs |= pairs
    network.run(seconds)
    south = [one for one in network.hosts.values() if one.region == "south"]
    assert_that(any(host.view.is_fresh for host in south), Is(False))
    network.cut_pairs -= pairs
    network.run(1.0)
    assert_that(all(host.view.is_fresh for host in south), Is(True))


def test_a_resumed_host_ignores_confirmations_from_its_buffers():
    """Guards against a revoked key that a resumed host accepts.

    A response from before the revocation stays in the host's buffer and is
    read after the host resumes. It carries the time of a request from before.
    """
    network = Network(6)
    network.run(3)
    host = network.hosts["south-3"]
    host.views.request_confirmation(network.placer_of(host).members.own)
    network.freeze(host)
    network.run(1.0)
    network.version += 1
    network.run(REVOCATION)
    network.wake(host)
    assert_that(host.view.is_fresh, Is(False))
    host.views.refresh()
    network.run(0.4)
    assert_that(
        (host.view.is_fresh, host.keeper.version),
        Equals((True, network.version)),
    )


@pytest_twisted.ensureDeferred
async def test_keys_are_refused_when_the_view_is_old_and_served_anew(hosts):
    """Guards against a key that is accepted without a confirmed view.

    The store is down for longer than the limit. Requests with a key are
    refused at once with a proper status; routes without keys keep being
    served.
    """
    hosts.store.put_json("op/config", keyed_configuration(2))
    await hosts.until(
        lambda: all(p.keeper.version == 2 for p in hosts.processes.values())
    )
    for process in hosts.processes.values():
        process.state.view.max_age = 1.5
    hosts.store.down = True
    await task.deferLater(reactor, 3.2)
    assert_that(await request_status(hosts, "/lookup/a"), Equals(503))
    assert_that(await request_status(hosts, "/open/a"), Equals(200))
    hosts.store.down = False
    hosts.store.waiting.clear()
    await hosts.until(lambda: hosts.processes["h-north"].state.view.is_fresh)
    assert_that(await request_status(hosts, "/lookup/a"), Equals(200))


async def request_status(hosts, path):
    """Return the status of a request with a key."""
    status, _, _ = await hosts.send(
        "h-north", path, identifier="r1", x_api_key="desk-key"
    )
    return status
