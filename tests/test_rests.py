"""Servers that ask a host for rest."""

import random

import pytest
import pytest_twisted
from entry_hosts import USAGE, send_for
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan
from twisted.internet import reactor, task
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import INVALID, NOTHING
from hyssopspring.platform.headers import read_head
from hyssopspring.records import cause_of, read_records
from hyssopspring.traffic.rests import LONGEST_REST, SPREAD_SECONDS, Rests
from hyssopspring.traffic.servers import Registry, ServerEntry

REST = 3.0
SLACK = 0.5
"""Seconds after a request for rest in which more may still arrive."""

MOST = 2
"""Requests that may arrive in the rest of the time."""


def most_in_rests(backend):
    """Return the most requests of one host within one rest."""
    found = [0]
    for peer in {address for _, address in backend.arrived}:
        times = [at for at, address in backend.arrived if address == peer]
        for asked in times:
            within = [t for t in times if asked + SLACK < t < asked + REST]
            found.append(len(within))
    return max(found)


@pytest.mark.parametrize(
    ("service", "path", "headers"),
    [("plain", "/lookup/", {}), ("engine", "/quote/", USAGE)],
    ids=["plain", "stream"],
)
@pytest_twisted.ensureDeferred
async def test_a_server_that_asks_for_rest_gets_it(
    hosts, service, path, headers
):
    """A server that turns requests away is asked again and again."""
    backends = [hosts.backends[f"{service}-{r}"] for r in ("north", "south")]
    for backend in backends:
        backend.mood = "full"
        backend.told = {b"retry-after": b"3"}
    await send_for(hosts, REST + 1.0, path, **headers)
    for backend in backends:
        assert_that(most_in_rests(backend), LessThan(MOST + 1))


@pytest_twisted.ensureDeferred
async def test_other_hosts_go_on_with_a_server_at_rest(hosts):
    """A whole region leaves a server alone that asked one host for rest."""
    north, _ = await hosts.with_resting_host()
    backend = hosts.backends["plain-north"]
    backend.mood, backend.told = "full", {b"retry-after": b"3"}
    await hosts.send("h-north", "/lookup/a", identifier="r1")
    backend.mood, backend.told = "well", {}
    await task.deferLater(reactor, 0.3)
    for number, host in enumerate(("h-north", "h-north-5")):
        await hosts.send(host, "/lookup/a", identifier=f"r{number + 2}")
    assert_that(backend.ran, Equals(["r3"]))


@pytest_twisted.ensureDeferred
async def test_callers_are_told_when_the_first_server_is_back(hosts):
    """Callers are held, or come back while all servers still rest."""
    for region, seconds in (("north", b"9"), ("south", b"7")):
        backend = hosts.backends[f"plain-{region}"]
        backend.mood, backend.told = "full", {b"retry-after": seconds}
    for number in range(2):
        await hosts.send("h-north", "/post/a", identifier=f"r{number}")
    status, headers, _ = await hosts.send(
        "h-north", "/post/a", identifier="r9"
    )
    told = float(headers.getRawHeaders(b"retry-after")[0])
    assert_that(status, Equals(503))
    assert_that(told, GreaterThan(8.0))
    assert_that(told, LessThan(9.0 + SPREAD_SECONDS))
    await hosts.until(
        lambda: any('"r9"' in one and "unknown" in one for one in hosts.lines)
    )
    records = read_records(hosts.lines)
    cause = cause_of([one for one in records if one.request == "r9"], records)
    assert_that(cause, Contains("plain-north rests for"))
    assert_that(cause, Contains("as it turned r0 away"))


@pytest_twisted.ensureDeferred
async def test_who_is_turned_away_by_all_is_told_when_to_come_back(hosts):
    """The first callers come back at once to servers that all rest."""
    for region in ("north", "south"):
        backend = hosts.backends[f"plain-{region}"]
        backend.mood, backend.told = "full", {b"retry-after": b"9"}
    status, headers, _ = await hosts.send(
        "h-north", "/lookup/a", identifier="r1"
    )
    told = float(headers.getRawHeaders(b"retry-after")[0])
    assert_that(status, Equals(503))
    assert_that(told, GreaterThan(8.0))


@pytest.mark.parametrize(
    ("values", "read"),
    [
        ((), NOTHING),
        ((b"3",), 3.0),
        ((b"0.5",), 0.5),
        ((b"-1",), INVALID),
        ((b"Thu, 01 Dec 2022 16:00:00 GMT",), INVALID),
        ((b"3", b"5"), INVALID),
    ],
)
def test_a_senseless_rest_is_not_believed(values, read):
    """A date in place of seconds closes a server, or fails the answer."""
    headers = Headers({b"retry-after": list(values)})
    head = read_head(503, headers)
    assert_that((head.rejected, head.retry_after), Equals((True, read)))


@pytest.fixture
def registry():
    """Return a registry with two servers."""
    made = Registry({"north-a": "north"})
    for server_id in ("s1", "s2"):
        made.put(entry(server_id), 0.0)
    return made


def entry(server_id, **changes):
    """Return the entry of a server."""
    return ServerEntry(
        id=server_id,
        service="plain",
        address="10.0.0.1:80",
        data_centre="north-a",
        **changes,
    )


@pytest.fixture
def rests(registry):
    """Return the rests of a host."""
    return Rests(registry, random.Random(1))


def sent_from(rests, since, until):
    """Return what is sent if a request waits every 10 ms."""
    sent = 0
    for hundredth in range(int(since * 100), int(until * 100)):
        if not rests.is_closed("s1", hundredth / 100):
            rests.count("s1", hundredth / 100)
            sent += 1
    return sent


def test_after_a_rest_work_comes_step_by_step(rests):
    """All that had waited comes in the moment in which a rest ends."""
    rests.note("s1", "r1", 3.0, 0.0)
    assert_that(sent_from(rests, 0.0, 3.0), Equals(0))
    assert_that(sent_from(rests, 3.0, 3.2), Equals(1))
    assert_that(sent_from(rests, 3.2, 3.9), Equals(7))
    assert_that(sent_from(rests, 4.0, 5.0), Equals(100))


def test_an_hour_of_rest_is_bounded(rests):
    """A faulty server is left alone for an hour."""
    rests.note("s1", "r1", 3600.0, 0.0)
    assert_that(rests.is_closed("s1", LONGEST_REST - 1), Equals(True))
    assert_that(rests.is_closed("s1", LONGEST_REST + 1), Equals(False))


def test_the_longer_of_two_rests_holds(rests):
    """A short rest that is asked for second ends a long one."""
    assert_that(rests.note("s1", "r1", 5.0, 0.0), Equals(True))
    assert_that(rests.note("s1", "r2", 1.0, 0.1), Equals(False))
    assert_that(rests.is_closed("s1", 4.0), Equals(True))


def test_another_start_of_a_server_does_not_rest(rests, registry):
    """A fresh server gets nothing, as the one before asked for rest."""
    rests.note("s1", "r1", 5.0, 0.0)
    registry.put(entry("s1", born=7), 1.0)
    assert_that(rests.is_closed("s1", 1.0), Equals(False))


def test_the_first_to_be_back_counts_only_if_all_rest(rests):
    """Callers are told to wait for a rest though a server is open."""
    rests.note("s1", "r1", 5.0, 0.0)
    assert_that(rests.first_back(["s1", "s2"], 1.0), Equals(NOTHING))
    rests.note("s2", "r2", 3.0, 0.0)
    assert_that(rests.first_back(["s1", "s2"], 1.0).server_id, Equals("s2"))
    assert_that(rests.first_back([], 1.0), Equals(NOTHING))
