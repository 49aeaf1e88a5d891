"""Requests shortly before the end of their host, and errors beside them."""

import contextlib
import errno
import io
import tempfile

import pytest
import pytest_twisted
from raw_callers import RawCaller, pause
from test_stopping import PROMPT_LINES, begin_stop
from test_unanswered import error_is_logged, fail
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith
from twisted.internet import defer, reactor

from hyssopspring.entry import exchanges

SHORTLY_BEFORE = 0.4
"""Seconds before the end of the requests of a stopping host."""

CHUNKED = (
    b"POST /post/a HTTP/1.1\r\nhost: a.example\r\n"
    b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)
"""A request whose body has no known length, so that it is stored in a file."""


async def until_shortly_before_the_end(process):
    """Wait until the requests of a stopping host are about to be ended."""
    left = process.state.stopping.ends_at - reactor.seconds()
    await pause(left - SHORTLY_BEFORE)


async def hold_stream(hosts):
    """Let a silent server hold a stream; return its caller."""
    hosts.backends["engine-north"].mood = "silent"
    caller = RawCaller(hosts.processes["h-north"].settings.front)
    await caller.connect()
    caller.send("/review/a", headers="".join(PROMPT_LINES))
    await hosts.until(lambda: hosts.backends["engine-north"].ran)
    return caller


@pytest.mark.parametrize("path", ["/post/a", "/nowhere/a"])
@pytest_twisted.ensureDeferred
async def test_a_request_shortly_before_the_end_is_answered(hosts, path):
    """Guards against a request that is taken late in a stop and given up."""
    held = await hold_stream(hosts)
    process, stopped = begin_stop(hosts, "h-north")
    caller = RawCaller(process.settings.front)
    await until_shortly_before_the_end(process)
    await caller.connect()
    caller.send(path)
    answer = await caller.receive(2.0)
    assert_that(answer, StartsWith(b"HTTP/1.1 503"))
    assert_that(await held.receive(2.0), StartsWith(b"HTTP/1.1 502"))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_head_in_parts_over_the_end_is_refused(hosts):
    """Guards against a close of a connection with a part of a head."""
    held = await hold_stream(hosts)
    process, stopped = begin_stop(hosts, "h-north")
    await until_shortly_before_the_end(process)
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.socket.send(b"POST /post/a HTTP/1.1\r\nhost: a.exa")
    answer = await caller.receive(2.0)
    assert_that(answer, StartsWith(b"HTTP/1.1 503"))
    assert_that(await held.receive(2.0), StartsWith(b"HTTP/1.1 502"))
    await stopped


@pytest_twisted.ensureDeferred
async def test_an_error_of_the_stop_takes_no_response(hosts, monkeypatch):
    """Guards against an error whose line and responses are lost."""
    held = await hold_stream(hosts)
    process = hosts.processes.pop("h-north")
    monkeypatch.setattr(process.listeners, "end_lingering", fail)
    stopped = defer.ensureDeferred(process.stop())
    stopped.addErrback(process.log_failure)
    stopped.addCallback(lambda _: defer.ensureDeferred(process.close()))
    assert_that(await held.receive(4.0), StartsWith(b"HTTP/1.1 502"))
    await stopped
    await error_is_logged(hosts)


class FullDisk(io.BytesIO):
    """A file to which nothing can be written."""

    def __init__(self, failing):
        super().__init__()
        setattr(self, failing, no_space)


def no_space(*args, **kwargs):
    """Raise the error of a full disk."""
    raise OSError(errno.ENOSPC, "no space left on device")


async def answers_to_body(hosts):
    """Return what answers a request with a body, and one behind it."""
    caller = RawCaller(hosts.processes["h-north"].settings.front)
    await caller.connect()
    caller.socket.send(CHUNKED)
    await pause(0.2)
    with contextlib.suppress(BrokenPipeError):
        caller.send("/lookup/a", headers="connection: close\r\n")
    return await caller.receive(2.0)


@pytest_twisted.ensureDeferred
async def test_a_body_that_cannot_be_stored_gets_a_response(
    hosts, monkeypatch
):
    """Guards against a close without a byte as a request is read."""
    files = [no_space, lambda: FullDisk("write"), lambda: FullDisk("seek")]
    for create in files:
        monkeypatch.setattr(tempfile, "TemporaryFile", create)
        answers = await answers_to_body(hosts)
        assert_that(answers, StartsWith(b"HTTP/1.1 503"))
        assert_that(answers, Contains(b"HTTP/1.1 200"))
    assert_that(hosts.backends["plain-north"].ran, Equals(["r1"] * 3))
    await hosts.until(lambda: len(hosts.decoded("unexpected")) == len(files))
    hosts.lines = [one for one in hosts.lines if "OSError" not in one]


@pytest_twisted.ensureDeferred
async def test_a_gateway_refuses_a_body_that_it_cannot_store(
    fleet, monkeypatch
):
    """Guards against a close without a byte as a gateway reads a request."""
    monkeypatch.setattr(tempfile, "TemporaryFile", no_space)
    caller = RawCaller(fleet.gateways["dar-0"].settings.listen)
    await caller.connect()
    caller.socket.send(CHUNKED)
    answer = await caller.receive(0.5)
    assert_that(answer, StartsWith(b"HTTP/1.1 503"))
    assert_that(answer.lower(), Contains(b"hyssop-outcome: not-run"))


@pytest_twisted.ensureDeferred
async def test_a_request_left_by_an_error_is_answered_by_the_stop(
    hosts, monkeypatch
):
    """Guards against a close without a byte after an error of a refusal."""
    for server in hosts.backends.values():
        server.mood = "full"
    process = hosts.processes["h-north"]
    monkeypatch.setattr(exchanges, "respond_failure", fail)
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/post/a")
    await error_is_logged(hosts)
    process, stopped = begin_stop(hosts, "h-north")
    assert_that(await caller.receive(5.0), StartsWith(b"HTTP/1.1 502"))
    await stopped
    hosts.lines = [one for one in hosts.lines if "RuntimeError" not in one]
