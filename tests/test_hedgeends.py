"""Ends of requests of which two attempts run side by side."""

import socket
from types import SimpleNamespace

import pytest
import pytest_twisted
from entry_hosts import configuration
from raw_callers import RawCaller
from test_silentservers import (
    EVENTS,
    SILENCE_SECONDS,
    WHOLE_TIMEOUT,
    silence,
    stream,
    use,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, reactor, task

from hyssopspring.core.outcomes import Answered
from hyssopspring.entry import crashdetection
from hyssopspring.entry.hedging import Hedging
from hyssopspring.traffic.decisions import Placed
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring_fakes.streamscripts import Framing, StreamScript


@pytest.mark.parametrize("silence", [3.0, 60.0])
@pytest_twisted.ensureDeferred
async def test_a_whole_answer_of_the_last_attempt_is_delivered(hosts, silence):
    """Guards against a 502 although the second attempt has an answer."""
    await use(hosts, configuration(2, **WHOLE_TIMEOUT))
    hosts.backends["plain-north"].silence = silence
    status, _, body = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that((status, body), Equals((200, b"whole /lookup/a")))


def never(*args, **kwargs):
    """Return a deferred that never fires."""
    return defer.Deferred()


@pytest_twisted.ensureDeferred
async def test_a_stream_that_ends_beside_a_crash_check_is_whole(
    hosts, monkeypatch
):
    """Guards against a cut after a stream that the second server completed."""
    monkeypatch.setattr(crashdetection, "MAX_PROBE_WAIT_SECONDS", 1.0)
    connections = hosts.processes["h-north"].state.connections
    monkeypatch.setattr(connections, "is_refused", never)
    north, south = (
        hosts.backends["engine-north"],
        hosts.backends["engine-south"],
    )
    north.silence, south.silence = 60.0, 0.3
    streaming = defer.ensureDeferred(stream(hosts))
    await hosts.until(lambda: south.ran == ["r1"])
    north.crash()
    assert_that(await streaming, Equals((200, EVENTS)))


THREE_ATTEMPTS = {"quote": {"max_attempts": 3}}


@pytest_twisted.ensureDeferred
async def test_a_second_attempt_in_vain_keeps_its_server_usable(hosts):
    """Guards against a cut as the only other server helped in vain before."""
    await use(hosts, configuration(2, **THREE_ATTEMPTS))
    north, south = (
        hosts.backends["engine-north"],
        hosts.backends["engine-south"],
    )
    north.silence, north.mood, north.cut_after = SILENCE_SECONDS, "cut", 3
    south.mood = "silent"
    streaming = defer.ensureDeferred(stream(hosts))
    await hosts.until(lambda: south.ran == ["r1"])
    south.mood = "well"
    assert_that(await streaming, Equals((200, EVENTS)))


@pytest_twisted.ensureDeferred
async def test_a_second_attempt_avoids_the_silent_server_elsewhere(hosts):
    """Guards against a second run at a silent server of another region."""
    hosts.register_again("engine-north", state="draining")
    await hosts.until(lambda: hosts.decoded("server_leaving"))
    hosts.add_host("h-south-2", "south", 5)
    await hosts.settled()
    silence(hosts, "engine-south")
    assert_that(await stream(hosts), Equals((200, EVENTS)))
    assert_that(hosts.backends["engine-south"].ran, Equals(["r1"]))


async def read_late(hosts, path, seconds):
    """Request a stream and read it *seconds* later; return the answer."""
    caller = RawCaller(hosts.processes["h-north"].settings.front)
    caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    await caller.connect()
    caller.send(
        path,
        headers="x-token-usage: 1,1\r\nx-prompt-prefix: ab:1\r\n"
        "connection: close\r\n",
    )
    await task.deferLater(reactor, seconds)
    return await caller.receive(4.0)


@pytest_twisted.ensureDeferred
async def test_a_caller_that_reads_late_makes_no_server_silent(hosts):
    """Guards against second attempts for the pauses of a slow caller."""
    events = tuple(
        b"id: %d\ndata: %s\n\n" % (n, b"x" * 500_000) for n in range(24)
    )
    script = StreamScript(events=events, framing=Framing.LENGTH)
    for name in ("engine-north", "engine-south"):
        hosts.backends[name].script = script
    answer = await read_late(hosts, "/quote/a", 2.5)
    assert_that(answer.count(b"\nid: "), Equals(len(events)))
    assert_that(hosts.backends["engine-south"].ran, Equals([]))
    assert_that(hosts.decoded("hedged"), Equals([]))


@pytest.mark.parametrize("end", ["end_with_host", "at_deadline"])
@pytest_twisted.ensureDeferred
async def test_a_complete_second_attempt_is_delivered_at_the_end(
    hosts, monkeypatch, end
):
    """Guards against a cut at the end of a host after the last event."""
    monkeypatch.setattr(crashdetection, "MAX_PROBE_WAIT_SECONDS", 1.0)
    process = hosts.processes["h-north"]
    monkeypatch.setattr(process.state.connections, "is_refused", never)
    north, south = (
        hosts.backends["engine-north"],
        hosts.backends["engine-south"],
    )
    north.silence, south.silence = 60.0, 0.3
    streaming = defer.ensureDeferred(stream(hosts))
    await hosts.until(lambda: south.ran == ["r1"])
    north.crash()
    (exchange,) = process.callers.exchanges
    hedge = exchange.hedging.hedge
    await hosts.until(lambda: hedge.outcome == Answered(200))
    if end == "end_with_host":
        exchange.end_with_host()
    else:
        exchange.check(exchange.deadline_at)
    assert_that(await streaming, Equals((200, EVENTS)))


class LateDocument:
    """A whole response that ends with its connection, after a silence."""

    def __init__(self, transport_seconds):
        self.seconds = transport_seconds
        self.head = b""

    def response(self, headers, first):
        """Return nothing yet; keep the head."""
        lines = [b"%s: %s\r\n" % row for row in headers.items()]
        self.head = b"".join(
            [b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", *lines]
        )
        return b""

    def finish(self, transport):
        """Send the response later, and close."""
        reactor.callLater(self.seconds, self.send, transport)

    def send(self, transport):
        """Send the response, and close."""
        transport.write(self.head + b"\r\n{}")
        transport.loseConnection()


@pytest_twisted.ensureDeferred
async def test_a_whole_response_ends_the_attempt_beside_it(hosts, monkeypatch):
    """Guards against a cut of a response that was complete before."""
    monkeypatch.setattr(crashdetection, "MAX_PROBE_WAIT_SECONDS", 1.0)
    connections = hosts.processes["h-north"].state.connections
    monkeypatch.setattr(connections, "is_refused", never)
    north, south = (
        hosts.backends["engine-north"],
        hosts.backends["engine-south"],
    )
    north.script = LateDocument(1.2)
    south.paused_until = reactor.seconds() + 1.6
    assert_that(await stream(hosts), Equals((200, b"{}")))


@pytest.mark.parametrize("goes_on", [False, True])
def test_a_placement_that_comes_too_late_is_released(goes_on):
    """Guards against a placement kept for an attempt that is not started."""
    released, placed = [], defer.Deferred()
    silent = SimpleNamespace(is_silent=True, in_progress=True, last_data=1.0)
    coordinator = SimpleNamespace(
        place=lambda ask: placed,
        record_attempt_end=lambda *end: released.append(end),
    )
    exchange = SimpleNamespace(
        state=SimpleNamespace(coordinator=coordinator),
        current=silent,
        may_hedge=lambda: True,
        ask=lambda: None,
        spend_retry=lambda: True,
    )
    hedging = Hedging(exchange)
    hedging.check(2.0)
    if goes_on:
        silent.last_data = 2.1
    else:
        silent.in_progress = False
    placed.callback((7, Placed("s1", "a:1", 0, 0.1)))
    assert_that(released, Equals([(7, AttemptResult.UNUSED)]))
    assert_that(hedging.is_placing, Equals(False))
