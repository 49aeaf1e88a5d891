"""A server that falls silent and goes on ends no response."""

import pytest
import pytest_twisted
from entry_hosts import USAGE, configuration
from testtools.assertions import assert_that
from testtools.matchers import Equals

EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(4))
SILENCE_SECONDS = 1.6

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


@pytest.mark.parametrize("mood", ["full"])
@pytest_twisted.ensureDeferred
async def test_streams_outlast_a_silence_if_no_other_server_helps(hosts, mood):
    """Guards against a stream that is given up before another has begun."""
    silence(hosts, "engine-north")
    hosts.backends["engine-south"].mood = mood
    assert_that(await stream(hosts), Equals((200, EVENTS)))


@pytest.mark.parametrize("mood", ["full"])
@pytest_twisted.ensureDeferred
async def test_plain_answers_outlast_a_silence(hosts, mood):
    """Guards against 502 and 503 although a server would have answered."""
    await use(hosts, configuration(2, **WHOLE_TIMEOUT))
    silence(hosts, "plain-north", "plain-south")
    hosts.backends["plain-south"].mood = mood
    status, _, body = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that((status, body), Equals((200, b"whole /lookup/a")))


@pytest_twisted.ensureDeferred
async def test_a_stream_goes_on_elsewhere_if_its_server_is_dead(hosts):
    """Guards against callers that wait at a server that never goes on."""
    hosts.backends["engine-north"].silence = 60.0
    assert_that(await stream(hosts), Equals((200, EVENTS)))
    north = hosts.backends["engine-north"]
    await hosts.until(lambda: north.stopped == ["r1"])
