"""Limits that servers announce apply to all hosts together."""

import random
from dataclasses import replace

import pytest
import pytest_twisted
from entry_hosts import USAGE, send_for
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from networks import (
    FAULTS,
    REGIONS,
    LimitedServers,
    Network,
    begin_fault,
    end_fault,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan
from twisted.internet import defer, reactor, task

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.decisions import Placed, PlacementQuery
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.routes import Service
from hyssopspring.traffic.serverlimits import (
    UNLIMITED,
    LimitNotice,
    ServerLimits,
)
from hyssopspring.traffic.servers import Registry, ServerEntry

WINDOW_SECONDS = 4.0
"""Seconds over which requests to a server are counted."""

BORN = 1_700_000_000_000
"""Time of the start of servers in milliseconds."""

ANSWER_SECONDS = 0.5
"""Seconds after which slow servers answer."""


def most_allowed(limit):
    """Return the largest number of requests allowed in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def most_arrived(backend, *, since=0.0):
    """Return the largest number of requests received in a window."""
    times = [at for at, _ in backend.arrived if at >= since]
    return max(
        sum(begin <= at < begin + WINDOW_SECONDS for at in times)
        for begin in times
    )


@pytest.mark.parametrize(
    ("service", "path", "headers"),
    [("plain", "/lookup/", {}), ("engine", "/quote/", USAGE)],
    ids=["plain", "stream"],
)
@pytest_twisted.ensureDeferred
async def test_all_hosts_together_keep_a_limit(hosts, service, path, headers):
    """Guards against sending an overloaded server many times its limit."""
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    limit = 1.5
    backends = [hosts.backends[f"{service}-{r}"] for r in ("north", "south")]
    for backend in backends:
        backend.told = {b"server-limit": b"%.1f" % limit}
    await send_for(hosts, WINDOW_SECONDS + 1.0, path, **headers)
    for backend in backends:
        assert_that(most_arrived(backend), LessThan(most_allowed(limit) + 1))


@pytest.mark.parametrize("unreadable", [False, True])
@pytest_twisted.ensureDeferred
async def test_a_limit_outlasts_a_lapsed_entry(hosts, unreadable):
    """Guards against a limit that is forgotten while an entry is missing."""
    limit = 1.5
    backends = [hosts.backends[f"plain-{r}"] for r in ("north", "south")]
    for backend in backends:
        hosts.register_again(backend.name, born=BORN)
        backend.told = {b"server-limit": b"%.1f" % limit}
        backend.born, backend.silence = BORN, ANSWER_SECONDS
    sent = defer.ensureDeferred(send_for(hosts, 11.0, "/lookup/"))
    await task.deferLater(reactor, 5.0)
    since = reactor.seconds()
    for backend in backends * 2:
        key = f"servers/{backend.name}"
        entry = hosts.store.get_json(key)
        if unreadable:
            hosts.store.put_json(key, {"service": 3})
        else:
            hosts.store.remove(key)
        await task.deferLater(reactor, 1.0)
        hosts.store.put_json(key, entry)
    await sent
    for backend in backends:
        arrived = most_arrived(backend, since=since)
        assert_that(arrived, GreaterThan(2))
        assert_that(arrived, LessThan(most_allowed(limit) + 1))


@settings(max_examples=40, phases=[Phase.explicit, Phase.generate])
@given(
    st.lists(
        st.tuples(
            st.sampled_from(FAULTS),
            st.integers(0, 17),
            st.integers(1, 9),
        ),
        max_size=6,
    ),
    st.sampled_from((0.3, 1.0, 1.8, 6.0)),
)
def test_a_limit_holds_whatever_fails(faults, limit):
    """Guards against doubling a limit while hosts count independently."""
    network = Network(6)
    hosts = list(network.hosts.values())
    network.run(4)
    servers = LimitedServers(network, lambda r, n: 20.0, lambda now: limit)
    servers.run(2.0)
    since = network.clock.seconds()
    ends = []
    for second in range(16):
        for number, (kind, which, length) in enumerate(faults):
            if second == number * 2:
                begin_fault(network, kind, hosts[which])
                ends.append((second + length, kind, hosts[which]))
        for end, kind, host in ends:
            if end == second:
                end_fault(network, kind, host)
        servers.run(1.0)
    arrived = servers.most_in(WINDOW_SECONDS, since=since)
    assert_that(arrived, LessThan(most_allowed(limit) + 1))


@pytest.mark.parametrize("limit", [0.3, 1.5, 6.0])
@pytest.mark.parametrize("hosts", [2, 3, 20])
def test_what_servers_take_is_used(hosts, limit):
    """Guards against blocking a server with less than 1 request/s per host."""
    network = Network(hosts)
    network.run(4)
    servers = LimitedServers(network, lambda r, n: 40.0, lambda now: limit)
    servers.run(3.0)
    since = network.clock.seconds()
    servers.run(20.0)
    used = servers.used(since, network.clock.seconds())
    assert_that(used, GreaterThan(0.9 * limit))


def test_hosts_that_start_together_keep_limits():
    """Guards against hosts that lack all limits after a power loss."""
    network = Network(6)
    network.run(4)
    limit = 1.5
    servers = LimitedServers(network, lambda r, n: 10.0, lambda now: limit)
    servers.run(6.0)
    since = network.clock.seconds() - 2.0
    for host in list(network.hosts.values()):
        host.up = False
    network.run(1.0)
    for number, name in enumerate(list(network.hosts)):
        region = network.hosts[name].region
        network.add(name, region, number % 6, 2)
    network.start_reading()
    servers.introduce(network.hosts.values())
    servers.run(8.0)
    arrived = servers.most_in(WINDOW_SECONDS, since=since)
    assert_that(arrived, LessThan(most_allowed(limit) + 1))


@pytest.mark.parametrize("parts", [(0, 3), (0, 1, 2, 3, 4)])
def test_both_parts_of_a_region_serve_within_its_limit(parts):
    """Guards against doubling a limit while a region is partitioned."""
    network = Network(6)
    network.run(4)
    limit = 3.0
    servers = LimitedServers(network, lambda r, n: 20.0, lambda now: limit)
    servers.run(3.0)
    since = network.clock.seconds()
    for part in parts:
        network.cut.update(
            network.hosts[f"{region}-{part}"] for region in REGIONS
        )
    servers.run(12.0)
    assert_that(
        servers.most_in(WINDOW_SECONDS, since=since),
        LessThan(most_allowed(limit) + 1),
    )
    used = servers.used(since + 4, network.clock.seconds())
    assert_that(used, GreaterThan(0.5 * limit))


def test_a_limit_that_has_ended_is_not_brought_back():
    """Guards against a host that missed a limit's end and restores it."""
    network = Network(6)
    network.run(4)
    ends_at = network.clock.seconds() + 4
    servers = LimitedServers(
        network,
        lambda r, n: 20.0,
        lambda now: 2.0 if now < ends_at else NOTHING,
    )
    servers.run(3.0)
    missing = network.hosts["south-5"]
    network.cut.add(missing)
    servers.run(5.0)
    network.cut.clear()
    servers.run(4.0)
    since = network.clock.seconds()
    servers.run(4.0)
    used = servers.used(since, network.clock.seconds())
    assert_that(used, GreaterThan(9.0))


def make_limits(weight=1.0):
    """Return limits of a host with a share of its region."""
    return ServerLimits(lambda: weight, random.Random(1))


def notice(limit, at, instance_id="s1"):
    """Return a notice of one server."""
    return LimitNotice(
        server_id="s1", instance_id=instance_id, limit=limit, at=at
    )


def passed(limits, since, until):
    """Return how many requests are sent, with one attempt every 10 ms."""
    count = 0
    for hundredth in range(int(since * 100), int(until * 100)):
        if limits.can_send("s1", hundredth / 100):
            limits.consume("s1", hundredth / 100)
            count += 1
    return count


def test_the_lowest_of_limits_named_in_turn_holds():
    """Guards against the higher limit of a server that alternates two."""
    limits = make_limits()
    count = 0
    for tenth in range(100):
        limits.apply_notice(
            notice((1.0, 9.0)[tenth % 2], tenth / 10), tenth / 10
        )
        count += passed(limits, tenth / 10, (tenth + 1) / 10)
    assert_that(count, LessThan(13))


def test_an_older_answer_does_not_raise_a_limit():
    """Guards against a delayed response that ends a limit in force."""
    limits = make_limits()
    limits.apply_notice(notice(1.0, 5.0), 5.0)
    limits.apply_notice(notice(UNLIMITED, 4.0), 6.0)
    assert_that(limits.limit_of("s1", 7.0), Equals(1.0))


def test_a_server_that_starts_again_has_no_limit():
    """Guards against applying the limit of the former instance."""
    limits = make_limits()
    limits.apply_notice(notice(1.0, 5.0), 5.0)
    limits.forget("s1")
    assert_that(limits.limit_of("s1", 5.0), Equals(NOTHING))
    assert_that(limits.digest, Equals(0))


def test_a_limit_belongs_to_one_instance_of_a_server():
    """Guards against the limit of an instance whose entry has lapsed."""
    registry = Registry({"north-a": "north"})
    entry = ServerEntry(
        id="s1", service="plain", address="a:1", data_centre="north-a", born=5
    )
    registry.put(entry, 0.0)
    limits = make_limits()
    limits.apply_notice(notice(1.0, 0.0, "s1/5"), 0.0)
    registry.remove("s1", 50.0, outage=False)
    limits.forget_gone(registry, 51.0)
    registry.put(entry, 52.0)
    limits.forget_gone(registry, 52.0)
    assert_that(limits.limit_of("s1", 52.0), Equals(1.0))
    registry.remove("s1", 60.0, outage=False)
    registry.put(replace(entry, born=6), 61.0)
    limits.forget_gone(registry, 61.0)
    assert_that(limits.limit_of("s1", 61.0), Equals(NOTHING))


def test_the_limit_of_a_server_that_is_gone_is_forgotten():
    """Guards against limits that pile up as servers are replaced."""
    registry = Registry({"north-a": "north"})
    entry = ServerEntry(
        id="s1", service="plain", address="a:1", data_centre="north-a", born=5
    )
    registry.put(entry, 0.0)
    limits = make_limits()
    limits.apply_notice(notice(1.0, 0.0, "s1/5"), 0.0)
    registry.remove("s1", 1.0, outage=False)
    registry.expire(62.0)
    limits.forget_gone(registry, 62.0)
    assert_that(limits.by_server, Equals({}))


def test_a_server_that_takes_nothing_is_asked_now_and_then():
    """Guards against missing that a server accepts requests again."""
    limits = make_limits()
    limits.apply_notice(notice(0.0, 0.0), 0.0)
    count = passed(limits, 0.0, 60.0)
    assert_that(count, GreaterThan(3))
    assert_that(count, LessThan(9))


def test_refused_callers_come_back_one_after_the_other():
    """Guards against refused callers that all retry at the same moment."""
    limits = make_limits()
    limits.apply_notice(notice(2.0, 0.0), 0.0)
    times = [
        limits.advise_retry("plain", ["s1"], 0.0, 3.0).seconds
        for _ in range(9)
    ]
    steps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert_that(round(min(steps[:3]), 6), Equals(0.5))
    assert_that(times[-1], Equals(3.0))


def test_a_request_that_was_not_sent_is_not_counted():
    """Guards against counting an unused placement against a limit."""
    limits = make_limits()
    limits.apply_notice(notice(1.0, 0.0), 0.0)
    assert_that(limits.can_send("s1", 1.0), Equals(True))
    limits.consume("s1", 1.0)
    limits.refund("s1")
    assert_that(limits.can_send("s1", 1.0), Equals(True))


def test_a_limit_may_arrive_before_the_entry_of_its_server():
    """Guards against exceeding the limit of a server not yet listed."""
    network = Network(6)
    network.run(4)
    servers = LimitedServers(network, lambda r, n: 20.0, lambda now: 1.0)
    late = network.hosts["south-2"]
    late.registry.servers.clear()
    servers.run(1.0)
    known = {"south-server-0", "south-server-1"}
    assert_that(set(late.server_limits.by_server), Equals(known))
    network.run(6.0)
    assert_that(set(late.server_limits.by_server), Equals(set()))


def test_servers_in_need_are_not_overrun_before_their_first_answer():
    """Guards against overloading a slow server after a start of all hosts.

    No host has its limit until the server has responded, 0.6 s later.
    """
    registry = Registry({"north-a": "north"})
    entry = ServerEntry(
        id="s1", service="plain", address="a:1", data_centre="north-a"
    )
    registry.put(entry, 0.0)
    placer = Placer(
        "north",
        registry,
        lambda name: Service(name=name),
        lambda service: 6.0,
        random.Random(1),
        lambda now: {"north"},
        started_at=0.0,
    )
    sent = []
    for number in range(80):
        now = 1.0 + number / 20
        for other, at in list(enumerate(sent)):
            if at <= now - 0.6 < at + 0.05:
                placer.record_response_start("h", other, 0.6, now)
                placer.limits.apply_notice(notice(1.5, now), now)
        ask = PlacementQuery(
            host="h", number=len(sent), service="plain", patience=9.0
        )
        if isinstance(placer.place(ask, now), Placed):
            sent.append(now)
    assert_that(len(sent), LessThan(most_allowed(1.5) + 1))
    assert_that(len(sent), GreaterThan(6))
