"""A server that falls silent and goes on ends no response."""

import pytest
import pytest_twisted
from entry_hosts import USAGE, configuration
from raw_callers import RawCaller
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, reactor, task

EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(4))
SILENCE_SECONDS = 1.6
IN_SILENCE_SECONDS = 0.5
"""Seconds after which a test changes something while a server is silent."""

WHOLE_TIMEOUT = {"lookup": {"timeout_ms": 8000}}


def silence(hosts, *names):
    """Let servers fall silent in each of their answers."""
    for name in names:
        hosts.backends[name].silence = SILENCE_SECONDS


async def use(hosts, document):
    """Put a configuration in force."""
    hosts.store.put_json("op/config", document)
    await hosts.until(
        lambda: all(
            process.keeper.version == document["version"]
            for process in hosts.processes.values()
        )
    )


async def stream(hosts, path="/quote/a"):
    """Request a stream; return its status and body."""
    status, _, body = await hosts.send(
        "h-north", path, identifier="r1", method=b"POST", **USAGE
    )
    return status, body


def tried(hosts):
    """Return how many servers ran the request."""
    return sum("r1" in one.ran for one in hosts.backends.values())


@pytest_twisted.ensureDeferred
async def test_streams_outlast_a_silence_of_both_servers(hosts):
    """Guards against a stream that is cut although both servers go on."""
    silence(hosts, "engine-north", "engine-south")
    assert_that(await stream(hosts), Equals((200, EVENTS)))
    # A second server was asked meanwhile, and not left at work in vain.
    assert_that(tried(hosts), Equals(2))
    south = hosts.backends["engine-south"]
    await hosts.until(lambda: south.stopped == ["r1"])


@pytest.mark.parametrize("mood", ["full", "error", "reset", "silent"])
@pytest_twisted.ensureDeferred
async def test_streams_outlast_a_silence_if_no_other_server_helps(hosts, mood):
    """Guards against a stream that is given up before another has begun."""
    silence(hosts, "engine-north")
    hosts.backends["engine-south"].mood = mood
    assert_that(await stream(hosts), Equals((200, EVENTS)))


@pytest.mark.parametrize("mood", ["well", "full", "error", "reset", "silent"])
@pytest_twisted.ensureDeferred
async def test_plain_answers_outlast_a_silence(hosts, mood):
    """Guards against 502 and 503 although a server would have answered."""
    await use(hosts, configuration(2, **WHOLE_TIMEOUT))
    silence(hosts, "plain-north", "plain-south")
    hosts.backends["plain-south"].mood = mood
    status, _, body = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that((status, body), Equals((200, b"whole /lookup/a")))


CHANGES = {
    "attempts lowered": {"quote": {"max_attempts": 1}},
    "no longer resumable": {"quote": {"resumable": False}},
    "homes moved": {"quote": {"home_regions": ["south"]}},
    "prefix moved": {"quote": {"prefix": "/elsewhere/"}},
    "timeout shortened": {"quote": {"timeout_ms": 1200}},
}


@pytest.mark.parametrize("change", CHANGES)
@pytest_twisted.ensureDeferred
async def test_a_change_during_a_silence_cuts_no_stream(hosts, change):
    """Guards against a stream that a later configuration takes away."""
    silence(hosts, "engine-north")
    hosts.backends["engine-south"].mood = "full"
    streaming = defer.ensureDeferred(stream(hosts))
    await task.deferLater(reactor, IN_SILENCE_SECONDS)
    await use(hosts, configuration(2, **CHANGES[change]))
    assert_that(await streaming, Equals((200, EVENTS)))


@pytest_twisted.ensureDeferred
async def test_a_stream_goes_on_elsewhere_if_its_server_is_dead(hosts):
    """Guards against callers that wait at a server that never goes on."""
    hosts.backends["engine-north"].silence = 60.0
    assert_that(await stream(hosts), Equals((200, EVENTS)))
    north = hosts.backends["engine-north"]
    await hosts.until(lambda: north.stopped == ["r1"])


@pytest_twisted.ensureDeferred
async def test_a_plain_answer_comes_from_elsewhere_if_its_server_is_dead(
    hosts,
):
    """Guards against a 502 although a second server has answered."""
    await use(hosts, configuration(2, **WHOLE_TIMEOUT))
    hosts.backends["plain-north"].silence = 60.0
    status, _, body = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that((status, body), Equals((200, b"whole /lookup/a")))


@pytest_twisted.ensureDeferred
async def test_both_attempts_end_with_their_caller(hosts):
    """Guards against servers at work for a caller that has left."""
    north, south = (
        hosts.backends["engine-north"],
        hosts.backends["engine-south"],
    )
    north.silence, south.mood = 60.0, "silent"
    caller = RawCaller(hosts.processes["h-north"].settings.front)
    await caller.connect()
    caller.send(
        "/quote/a", headers="x-token-usage: 1,1\r\nx-prompt-prefix: ab:1\r\n"
    )
    await hosts.until(lambda: south.ran == ["r1"])
    assert_that(north.stopped, Equals([]))
    caller.socket.close()
    await hosts.until(lambda: north.stopped == south.stopped == ["r1"])
