"""Requests that would end without a byte of a response."""

import pytest
import pytest_twisted
from raw_callers import RawCaller
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith
from twisted.internet import defer, reactor
from twisted.python.failure import Failure


async def answer_to(hosts, headers, path="/quote/a"):
    """Return the bytes that answer a request, until the close."""
    caller = RawCaller(hosts.processes["h-north"].settings.front)
    await caller.connect()
    caller.send(path, headers=f"{headers}connection: close\r\n")
    return await caller.receive(4.0)


@pytest.mark.parametrize("digits", [11, 310, 5000])
@pytest_twisted.ensureDeferred
async def test_a_part_of_absurd_size_gets_a_response(hosts, digits):
    """Guards against numbers of a caller that no calculation can take."""
    number = "9" * digits
    answer = await answer_to(
        hosts, f"x-prompt-prefix: ab:{number},cd:40\r\n", "/lookup/a"
    )
    assert_that(answer, StartsWith(b"HTTP/1.1 200"))
    answer = await answer_to(hosts, f"x-prompt-prefix: ab:{number}\r\n")
    assert_that(answer, StartsWith(b"HTTP/1.1 "))


def fail(*args, **kwargs):
    """Raise an error that no part of the process expects."""
    raise RuntimeError("unexpected")


async def error_is_logged(hosts):
    """Wait for the line of the error; its test is the only one to allow it."""
    await hosts.logged("unexpected")
    hosts.lines = [one for one in hosts.lines if "RuntimeError" not in one]


@pytest.mark.parametrize("queued", [False, True])
@pytest_twisted.ensureDeferred
async def test_an_error_before_any_attempt_gets_a_response(
    hosts, monkeypatch, queued
):
    """Guards against a close without a byte as a request is handled."""
    process = hosts.processes["h-north"]
    queue = process.callers.startup_queue
    if queued:
        monkeypatch.setattr(
            process.caller_site,
            "handle",
            lambda request: queue.enqueue(request, reactor.seconds()),
        )
        reactor.callLater(0.1, queue.release)
    monkeypatch.setattr(process.callers, "find_route", fail)
    answer = await answer_to(hosts, "")
    assert_that(answer, StartsWith(b"HTTP/1.1 502"))
    await error_is_logged(hosts)


@pytest.mark.parametrize("host", ["h-north", "h-south"])
@pytest_twisted.ensureDeferred
async def test_an_error_of_the_placement_gets_a_response(
    hosts, monkeypatch, host
):
    """Guards against a close without a byte as a request is placed."""
    if host == "h-south":
        hosts.register_again("engine-north", state="draining")
        await hosts.until(lambda: hosts.decoded("server_leaving"))
    coordinator = hosts.processes[host].state.coordinator
    monkeypatch.setattr(coordinator, "place", fail)
    answer = await answer_to(hosts, "x-token-usage: 10,20\r\n")
    assert_that(answer, StartsWith(b"HTTP/1.1 502"))
    await error_is_logged(hosts)


@pytest_twisted.ensureDeferred
async def test_an_error_beside_a_running_attempt_ends_it(hosts, monkeypatch):
    """Guards against a server that goes on for a request that has failed."""
    server = hosts.backends["plain-north"]
    server.mood = "silent"
    exchanges = hosts.processes["h-north"].callers.exchanges
    answer = defer.ensureDeferred(answer_to(hosts, "", "/post/a"))
    await hosts.until(lambda: server.ran)
    next(iter(exchanges)).handle_error(Failure(RuntimeError("unexpected")))
    assert_that(await answer, StartsWith(b"HTTP/1.1 502"))
    await error_is_logged(hosts)
    ended = await hosts.logged("attempt_ended")
    assert_that(ended["reason"], Equals("internal_error"))


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/quote/a", f"x-long: {'x' * 100_000}\r\n", b"431"),
        (f"/quote/{'a' * 20_000}", "", b"431"),
        ("/quote/a", f"content-length: {'9' * 5000}\r\n", b"400"),
    ],
)
@pytest_twisted.ensureDeferred
async def test_a_head_that_cannot_be_read_gets_a_response(
    hosts, path, headers, status
):
    """Guards against a close without a byte for a line that is too long."""
    answer = await answer_to(hosts, headers, path)
    assert_that(answer, StartsWith(b"HTTP/1.1 " + status))
    host = hosts.processes["h-north"]
    await hosts.until(lambda: not host.caller_site.channels)
