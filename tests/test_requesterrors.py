"""Unexpected errors beside requests that are in progress."""

import pytest_twisted
from test_silentservers import EVENTS, silence, stream
from test_unanswered import answer_to, error_is_logged, fail
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, reactor


@pytest_twisted.ensureDeferred
async def test_an_error_of_a_second_placement_ends_no_attempt(
    hosts, monkeypatch
):
    """Guards against a cut of a sound stream as no second attempt begins."""
    silence(hosts, "engine-north")
    streaming = defer.ensureDeferred(stream(hosts))
    await hosts.until(lambda: hosts.backends["engine-north"].ran == ["r1"])
    coordinator = hosts.processes["h-north"].state.coordinator
    monkeypatch.setattr(coordinator, "place", fail)
    assert_that(await streaming, Equals((200, EVENTS)))
    await error_is_logged(hosts)


@pytest_twisted.ensureDeferred
async def test_an_error_of_one_check_spares_other_requests(hosts, monkeypatch):
    """Guards against an error of one request that lifts other time limits."""
    callers = hosts.processes["h-north"].callers
    hosts.backends["plain-north"].mood = "silent"
    answers = [
        defer.ensureDeferred(answer_to(hosts, "", "/post/a")) for _ in range(4)
    ]
    await hosts.until(lambda: len(callers.exchanges) == 4)
    monkeypatch.setattr(next(iter(callers.exchanges)), "check", fail)
    found = await defer.gatherResults(answers)
    statuses = sorted(answer[9:12] for answer in found)
    assert_that(statuses, Equals([b"502", b"504", b"504", b"504"]))
    await error_is_logged(hosts)


@pytest_twisted.ensureDeferred
async def test_an_error_of_a_refusal_spares_other_requests(hosts, monkeypatch):
    """Guards against requests that wait to start and get no response."""
    process = hosts.processes["h-north"]
    queue = process.callers.startup_queue
    monkeypatch.setattr(
        process.caller_site,
        "handle",
        lambda request: queue.enqueue(request, reactor.seconds()),
    )
    monkeypatch.setattr(process.callers, "refuse", fail)
    answers = [
        defer.ensureDeferred(answer_to(hosts, "", "/post/a")) for _ in range(3)
    ]
    found = await defer.gatherResults(answers)
    statuses = [answer[9:12] for answer in found]
    assert_that(statuses, Equals([b"502"] * 3))
    await error_is_logged(hosts)


@pytest_twisted.ensureDeferred
async def test_an_error_of_a_queue_spares_running_requests(hosts, monkeypatch):
    """Guards against requests that run past their time limit."""
    callers = hosts.processes["h-north"].callers
    hosts.backends["plain-north"].mood = "silent"
    monkeypatch.setattr(callers.startup_queue, "refuse_expired", fail)
    answer = await answer_to(hosts, "", "/post/a")
    assert_that(answer[9:12], Equals(b"504"))
    await error_is_logged(hosts)
