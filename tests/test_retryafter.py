"""Servers that request a pause from a host by Retry-After."""

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
from hyssopspring.traffic.retryafter import (
    MAX_RETRY_AFTER_PAUSE_SECONDS,
    SPREAD_SECONDS,
    RetryAfterPauses,
)
from hyssopspring.traffic.servers import Registry, ServerEntry

PAUSE_SECONDS = 3.0
SLACK_SECONDS = 0.5
"""Seconds after a pause is requested in which more requests may arrive."""

MAX_ARRIVALS = 2
"""Number of requests that may arrive in the rest of the pause."""


def most_in_pauses(backend):
    """Return the largest number of requests of one host within one pause."""
    found = [0]
    for peer in {address for _, address in backend.arrived}:
        times = [at for at, address in backend.arrived if address == peer]
        for asked in times:
            within = [
                t
                for t in times
                if asked + SLACK_SECONDS < t < asked + PAUSE_SECONDS
            ]
            found.append(len(within))
    return max(found)


@pytest.mark.parametrize(
    ("service", "path", "headers"),
    [("plain", "/lookup/", {}), ("engine", "/quote/", USAGE)],
    ids=["plain", "stream"],
)
@pytest_twisted.ensureDeferred
async def test_a_retry_after_pause_is_respected(hosts, service, path, headers):
    """Guards against sending again and again to a server that rejects."""
    backends = [hosts.backends[f"{service}-{r}"] for r in ("north", "south")]
    for backend in backends:
        backend.mood = "full"
        backend.told = {b"retry-after": b"3"}
    await send_for(hosts, PAUSE_SECONDS + 1.0, path, **headers)
    for backend in backends:
        assert_that(most_in_pauses(backend), LessThan(MAX_ARRIVALS + 1))


@pytest_twisted.ensureDeferred
async def test_other_hosts_keep_using_a_paused_server(hosts):
    """Guards against applying one host's pause to its whole region."""
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
async def test_callers_get_the_retry_after_of_the_first_pause_to_end(hosts):
    """Guards against callers that wait, or retry while all servers pause."""
    for region, seconds in (("north", b"9"), ("south", b"7")):
        backend = hosts.backends[f"plain-{region}"]
        backend.mood, backend.told = "full", {b"retry-after": seconds}
    for number in range(2):
        await hosts.send("h-north", "/post/a", identifier=f"r{number}")
    status, headers, _ = await hosts.send(
        "h-north", "/post/a", identifier="r9"
    )
    retry_seconds = float(headers.getRawHeaders(b"retry-after")[0])
    assert_that(status, Equals(503))
    assert_that(retry_seconds, GreaterThan(8.0))
    assert_that(retry_seconds, LessThan(9.0 + SPREAD_SECONDS))
    await hosts.until(
        lambda: any('"r9"' in one and "unknown" in one for one in hosts.lines)
    )
    records = read_records(hosts.lines)
    cause = cause_of([one for one in records if one.request == "r9"], records)
    assert_that(cause, Contains("plain-north is in its retry-after pause for"))
    assert_that(cause, Contains("when it rejected r0"))


@pytest_twisted.ensureDeferred
async def test_a_caller_refused_by_all_servers_gets_retry_after(hosts):
    """Guards against retries at once by the first callers.

    All servers pause by then.
    """
    for region in ("north", "south"):
        backend = hosts.backends[f"plain-{region}"]
        backend.mood, backend.told = "full", {b"retry-after": b"9"}
    status, headers, _ = await hosts.send(
        "h-north", "/lookup/a", identifier="r1"
    )
    retry_seconds = float(headers.getRawHeaders(b"retry-after")[0])
    assert_that(status, Equals(503))
    assert_that(retry_seconds, GreaterThan(8.0))


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
def test_an_invalid_retry_after_is_ignored(values, read):
    """Guards against a date that blocks a server or fails the response."""
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
def pauses(registry):
    """Return the pauses of a host."""
    return RetryAfterPauses(registry, random.Random(1))


def sent_from(pauses, since, until):
    """Return the number of requests sent, with one waiting every 10 ms."""
    sent = 0
    for hundredth in range(int(since * 100), int(until * 100)):
        if not pauses.is_blocked("s1", hundredth / 100):
            pauses.record_sent("s1", hundredth, hundredth / 100)
            sent += 1
    return sent


def test_load_ramps_up_after_a_pause(pauses):
    """Guards against all waiting requests arriving as a pause ends."""
    pauses.record("s1", "r1", 3.0, 0.0)
    assert_that(sent_from(pauses, 0.0, 3.0), Equals(0))
    assert_that(sent_from(pauses, 3.0, 3.2), Equals(1))
    pauses.record_end("s1", 300, 3.2, is_answered=True)
    assert_that(sent_from(pauses, 3.2, 3.4), Equals(2))
    assert_that(sent_from(pauses, 3.4, 4.1), Equals(14))
    assert_that(sent_from(pauses, 4.2, 5.2), Equals(100))


def test_one_request_waits_for_its_answer_after_a_pause(pauses):
    """Guards against further requests before a slow refusal arrives."""
    pauses.record("s1", "r1", 90.0, 0.0)
    assert_that(sent_from(pauses, 90.0, 95.0), Equals(1))
    pauses.record("s1", "r2", 90.0, 95.0)
    pauses.record_end("s1", 9000, 95.0, is_answered=True)
    assert_that(sent_from(pauses, 95.0, 185.0), Equals(0))
    assert_that(sent_from(pauses, 185.0, 186.0), Equals(1))


def test_another_request_follows_one_that_is_not_answered(pauses):
    """Guards against a server left alone as one caller gave up."""
    pauses.record("s1", "r1", 3.0, 0.0)
    assert_that(sent_from(pauses, 3.0, 4.0), Equals(1))
    pauses.record_end("s1", 300, 4.0, is_answered=False)
    assert_that(sent_from(pauses, 4.0, 5.0), Equals(1))


def test_a_pause_of_an_hour_is_kept_whole(pauses):
    """Guards against requests to a server that has asked for a long pause."""
    pauses.record("s1", "r1", 3600.0, 0.0)
    assert_that(pauses.is_blocked("s1", 3599.0), Equals(True))
    assert_that(pauses.is_blocked("s1", 3601.0), Equals(False))


def test_the_length_of_a_pause_is_bounded(pauses):
    """Guards against a faulty server that requests a pause of years."""
    pauses.record("s1", "r1", 1e9, 0.0)
    assert_that(
        pauses.is_blocked("s1", MAX_RETRY_AFTER_PAUSE_SECONDS - 1),
        Equals(True),
    )
    assert_that(
        pauses.is_blocked("s1", MAX_RETRY_AFTER_PAUSE_SECONDS + 1),
        Equals(False),
    )


def test_the_pause_of_a_server_that_is_gone_is_forgotten(pauses, registry):
    """Guards against a record for each server that ever asked for a pause."""
    pauses.record("s1", "r1", 3600.0, 0.0)
    registry.remove("s1", 1.0, outage=False)
    assert_that(pauses.blocked(3601.0), Equals([]))
    assert_that(pauses.pauses, Equals({}))


def test_the_longer_of_two_pauses_applies(pauses):
    """Guards against a second, shorter pause that ends a long one."""
    assert_that(pauses.record("s1", "r1", 5.0, 0.0), Equals(True))
    assert_that(pauses.record("s1", "r2", 1.0, 0.1), Equals(False))
    assert_that(pauses.is_blocked("s1", 4.0), Equals(True))


def test_a_pause_outlasts_a_lapsed_entry(pauses, registry):
    """Guards against requests in a pause whose server was unlisted meanwhile.

    Entries lapse while the store is down, and servers write them again.
    """
    pauses.record("s1", "r1", 5.0, 0.0)
    registry.remove("s1", 1.0, outage=False)
    assert_that(pauses.blocked(1.0), Equals(["s1"]))
    registry.put(entry("s1"), 2.0)
    assert pauses.is_blocked("s1", 2.0)


def test_a_pause_ends_with_its_server_instance(pauses, registry):
    """Guards against applying the pause of the former instance."""
    pauses.record("s1", "r1", 5.0, 0.0)
    registry.put(entry("s1", born=7), 1.0)
    assert_that(pauses.is_blocked("s1", 1.0), Equals(False))


def test_the_first_pause_to_end_counts_only_if_all_servers_pause(pauses):
    """Guards against a retry time for a pause while a server is usable."""
    pauses.record("s1", "r1", 5.0, 0.0)
    assert_that(pauses.first_to_end(["s1", "s2"], 1.0), Equals(NOTHING))
    pauses.record("s2", "r2", 3.0, 0.0)
    assert_that(pauses.first_to_end(["s1", "s2"], 1.0).server_id, Equals("s2"))
    assert_that(pauses.first_to_end([], 1.0), Equals(NOTHING))
