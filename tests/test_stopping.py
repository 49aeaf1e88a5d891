"""Requests at a host that is told to stop."""

import contextlib
import signal
import time

import pytest
import pytest_twisted
from entry_hosts import (
    BROKEN,
    NOT_CONNECTED,
    USAGE,
    cut_off_stores,
    status_of,
)
from raw_callers import RawCaller, pause
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
    StartsWith,
)
from twisted.internet import defer, reactor
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from hyssopspring.entry.relaying import (
    RELAY_HEADER,
    RelayParameters,
    encode_parameters,
)
from hyssopspring.net.clients import read_body
from hyssopspring.records import cause_of, read_records
from hyssopspring_fakes.soakfleet import SoakFleet
from hyssopspring_fakes.streamscripts import (
    Ending,
    StreamScript,
    numbered_events,
)

APPLY_SECONDS = 4.0
"""Seconds in which every host must apply a change."""

PROMPT_LINES = [f"{k.replace('_', '-')}: {v}\r\n" for k, v in USAGE.items()]
"""The same headers as lines of a request."""

LATE_SECONDS = 2.9
"""Seconds after the stop signal, 0.3 s before a host of 4 s ends."""


def suspend(seconds):
    """Suspend all hosts, which run in the process of the test."""
    time.sleep(seconds)


def begin_stop(hosts, name):
    """Tell a host to stop; return a deferred of the end of its process."""
    process = hosts.processes.pop(name)
    stopped = defer.ensureDeferred(process.stop())
    stopped.addCallback(lambda _: defer.ensureDeferred(process.close()))
    return process, stopped


@pytest_twisted.ensureDeferred
async def test_an_unverified_route_is_refused_before_its_host_ends(
    proxied_hosts,
):
    """Guards against a request that waits for verification past the end."""
    await pause(2.0)
    cut_off_stores(proxied_hosts)
    await pause(APPLY_SECONDS)
    process, stopped = begin_stop(proxied_hosts, "h-north")
    await pause(LATE_SECONDS)
    status = await status_of(proxied_hosts, process, "/nowhere/a")
    assert_that(status, Equals(503))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_host_without_a_configuration_answers_until_it_ends(
    proxied_hosts,
):
    """Guards against a request that waits for a configuration past the end."""
    proxied_hosts.add_host("h-north-2", "north", 5, store="127.0.0.9:1")
    process, stopped = begin_stop(proxied_hosts, "h-north-2")
    statuses = []
    while not stopped.called:
        status = await status_of(proxied_hosts, process, "/lookup/a")
        statuses.append(status)
    assert set(statuses) <= {503, NOT_CONNECTED}, statuses


@pytest_twisted.ensureDeferred
async def test_a_request_at_a_silent_server_is_answered_before_its_host_ends(
    hosts,
):
    """Guards against a running request that is cut off without a response."""
    hosts.backends["engine-north"].mood = "silent"
    process, stopped = begin_stop(hosts, "h-north")
    asked = defer.ensureDeferred(
        status_of(hosts, process, "/review/a", method=b"POST", **USAGE)
    )
    await stopped
    status = await asked
    assert_that([502, 504], Contains(status))


@pytest_twisted.ensureDeferred
async def test_an_error_of_a_stopping_host_has_no_signature_of_a_server(hosts):
    """Guards against a 502 with the headers of a stream that never began."""
    hosts.backends["engine-north"].script = StreamScript(
        events=numbered_events(1), cut_at=0, ending=Ending.SILENCE
    )
    process, stopped = begin_stop(hosts, "h-north")
    await pause(1.0)
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/review/a", headers="".join(PROMPT_LINES))
    received = await caller.receive(4.0)
    await stopped
    assert_that(received, StartsWith(b"HTTP/1.1 502 "))
    assert_that(received, Not(Contains(b"X-Response-Stamp")))


@pytest_twisted.ensureDeferred
async def test_a_line_names_what_a_request_waited_for_as_its_host_ended(hosts):
    """Guards against a request that ends with its host without a trace."""
    hosts.backends["engine-north"].mood = "silent"
    process, stopped = begin_stop(hosts, "h-north")
    asked = defer.ensureDeferred(
        status_of(hosts, process, "/review/a", method=b"POST", **USAGE)
    )
    await hosts.until(lambda: hosts.backends["engine-north"].ran)
    assert_that(process.gauges()['requests_waiting{for="server"}'], Equals(1))
    await stopped
    await asked
    line = await hosts.logged("ended_by_stop")
    assert_that((line["request"], line["waits_for"]), Equals(("r1", "server")))
    records = read_records(hosts.lines)
    ended = [one for one in records if one.event == "ended_by_stop"]
    assert_that(cause_of(ended), Contains("had waited for server since"))


@pytest_twisted.ensureDeferred
async def test_a_relayed_request_goes_on_to_another_host_of_its_region(hosts):
    """Guards against a relayed request that ends with the relaying host.

    The host in the south stays up for a stream, and the one in the north still
    sends requests to it.
    """
    hosts.add_host("h-south-4", "south", 4)
    await hosts.settled()
    hosts.backends["engine-south"].gap = 0.5
    hosts.backends["engine-south"].events = 5
    leaving, north = hosts.processes["h-south"], hosts.processes["h-north"]
    streaming = defer.ensureDeferred(
        status_of(hosts, leaving, "/quote/a", method=b"POST", **USAGE)
    )
    await hosts.until(lambda: hosts.backends["engine-south"].ran)
    member = north.members.others["h-south"]
    choose = north.state.remote_hosts.choose
    north.state.remote_hosts.choose = lambda region, tried: (
        choose(region, tried) if "h-south" in tried else member
    )
    _, stopped = begin_stop(hosts, "h-south")
    await pause(1.6)
    status, _, _ = await hosts.send("h-north", "/bound/a", identifier="r2")
    assert_that(status, Equals(200))
    refused = await hosts.logged("forward_refused")
    assert_that(refused["reason"], Equals("host_leaving"))
    await streaming
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_response_is_delivered_to_a_slow_reader(hosts):
    """Guards against a response whose rest is lost as its host ends."""
    body = b"x" * 12_000_000
    backend = hosts.backends["plain-north"]
    backend.run = lambda request, headers, identifier: backend.answer(
        request,
        200,
        body,
        {b"x-request-attempt-id": identifier, b"x-response-stamp": b"s"},
    )
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    process, stopped = begin_stop(hosts, "h-north")
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/lookup/a")
    head = await caller.receive(1.0, most=1000)
    assert_that(head, Contains(b"200 OK"))
    await pause(2.2)
    rest = await caller.receive(2.0)
    assert_that((head + rest).count(b"x"), GreaterThan(len(body) - 1))
    await stopped


async def stop_with_stream(hosts):
    """Stop a host that stays up for a stream, beside one that serves."""
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    engine = hosts.backends["engine-north"]
    engine.events, engine.gap = 6, 0.5
    streaming = defer.ensureDeferred(
        status_of(
            hosts,
            hosts.processes["h-north"],
            "/quote/a",
            method=b"POST",
            **USAGE,
        )
    )
    await hosts.until(lambda: engine.ran)
    process, stopped = begin_stop(hosts, "h-north")
    stopped.addCallback(lambda _: streaming)
    return process, stopped


@pytest.mark.parametrize("ending", [False, True])
@pytest_twisted.ensureDeferred
async def test_a_request_that_came_during_a_suspension_is_answered(
    hosts, ending
):
    """Guards against a close of an idle connection with a request unread.

    The host is suspended as it begins to close idle connections, or as it is
    about to close its ports, with connections that wait to be accepted.
    """
    if ending:
        hosts.add_host("h-north-2", "north", 5)
        await hosts.settled()
        process, stopped = begin_stop(hosts, "h-north")
    else:
        process, stopped = await stop_with_stream(hosts)
    await pause(1.35 if ending else 1.0)
    callers = [RawCaller(process.settings.front) for _ in range(4)]
    if not ending:
        for caller in callers:
            await caller.connect()
    # Resumes in an event of a socket, so that timers are next.
    await hosts.page("h-south", "/v1/ready")
    for caller in callers:
        if ending:
            caller.begin_connect()
        caller.send("/lookup/a")
    suspend(0.4)
    for caller in callers:
        assert_that(await caller.receive(0.5), Contains(b"HTTP/1.1 "))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_request_that_is_read_as_the_time_ends_is_answered(hosts):
    """Guards against a process that ends before it writes its last response.

    It is suspended over the end of its time, and timers come before sockets.
    """
    hosts.backends["engine-north"].mood = "silent"
    process, stopped = begin_stop(hosts, "h-north")
    stopping = process.state.stopping
    asked = defer.ensureDeferred(
        status_of(hosts, process, "/review/a", method=b"POST", **USAGE)
    )
    callers = [RawCaller(process.settings.front) for _ in range(4)]
    await pause(stopping.ends_at - reactor.seconds() - 0.1)
    for caller in callers:
        caller.begin_connect()
    await hosts.until(lambda: stopping.refusing)
    # Resumes in an event of a socket, so that timers are next.
    await hosts.page("h-south", "/v1/ready")
    for caller in callers:
        caller.send("/lookup/a")
    suspend(stopping.exits_at - reactor.seconds() + 0.05)
    for caller in callers:
        assert_that(await caller.receive(0.5), Contains(b"HTTP/1.1 503"))
    await stopped
    await asked


@pytest_twisted.ensureDeferred
async def test_the_first_request_of_a_new_connection_is_answered(hosts):
    """Guards against a close of a connection before its first request."""
    process, stopped = await stop_with_stream(hosts)
    await pause(1.4)
    caller = RawCaller(process.settings.front)
    await caller.connect()
    await pause(0.15)
    caller.send("/lookup/a")
    assert_that(await caller.receive(0.5), Contains(b"HTTP/1.1 200"))
    await stopped


@pytest_twisted.ensureDeferred
async def test_the_last_host_of_a_region_keeps_idle_connections(hosts):
    """Guards against a request that crosses a close nobody needs."""
    process, stopped = begin_stop(hosts, "h-north")
    caller = RawCaller(process.settings.front)
    await caller.connect()
    await pause(1.7)
    caller.send("/lookup/a")
    assert_that(await caller.receive(0.5), Contains(b"HTTP/1.1 200"))
    await stopped


@pytest_twisted.ensureDeferred
async def test_callers_that_stay_connected_delay_no_end(hosts):
    """Guards against a process that is killed as it waits for its callers."""
    process, stopped = begin_stop(hosts, "h-north")
    caller = RawCaller(process.settings.front)
    await caller.connect()
    await stopped
    stopping = process.state.stopping
    assert_that(reactor.seconds() - stopping.exits_at, LessThan(0.1))


@pytest_twisted.ensureDeferred
async def test_an_idle_timeout_drops_no_request(hosts):
    """Guards against a timer that closes a connection before reading it."""
    caller = RawCaller(hosts.processes["h-north"].settings.front)
    await caller.connect()
    (channel,) = hosts.processes["h-north"].caller_site.channels
    channel.setTimeout(0.5)
    await pause(0.4)
    await hosts.page("h-south", "/v1/ready")
    caller.send("/lookup/a")
    suspend(0.3)
    assert_that(await caller.receive(0.5), Contains(b"HTTP/1.1 200"))


@pytest_twisted.ensureDeferred
async def test_input_behind_a_response_takes_nothing_of_it_away(hosts):
    """Guards against a reset that discards what a caller has not read."""
    body = b"x" * 400_000
    backend = hosts.backends["plain-north"]
    backend.run = lambda request, headers, identifier: backend.answer(
        request,
        200,
        body,
        {b"x-request-attempt-id": identifier, b"x-response-stamp": b"s"},
    )
    process, stopped = begin_stop(hosts, "h-north")
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/lookup/a")
    await pause(0.3)
    caller.send("/lookup/b")
    await pause(0.2)
    received = await caller.receive(1.0)
    assert_that(received.count(b"x"), GreaterThan(len(body) - 1))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_response_that_is_cut_holds_no_host_up(hosts):
    """Guards against a host that waits for a caller with nothing to read."""
    process, stopped = await stop_with_stream(hosts)
    hosts.backends["engine-north"].mood = "cut"
    hosts.backends["engine-north"].cut_after = 1
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/review/a", headers="".join(PROMPT_LINES))
    assert_that(await caller.receive(1.5), Contains(b"event 0"))
    await stopped
    assert_that(process.state.stopping.seconds, LessThan(3.2))


@pytest_twisted.ensureDeferred
async def test_a_request_that_cannot_be_ended_is_answered(hosts):
    """Guards against an error that takes the response of each request."""
    hosts.backends["engine-north"].mood = "silent"
    process, stopped = begin_stop(hosts, "h-north")
    asked = [
        defer.ensureDeferred(
            status_of(hosts, process, "/review/a", method=b"POST", **USAGE)
        )
        for _ in range(2)
    ]
    await hosts.until(lambda: len(hosts.backends["engine-north"].ran) == 2)

    def fail(*args):
        raise ValueError("injected")

    process.log_ended_by_stop = fail
    for tracked in process.in_progress.tracked_requests():
        tracked.end = fail
    await stopped
    assert_that([await one for one in asked], Equals([502, 502]))
    errors = [line for line in hosts.lines if '"unexpected"' in line]
    assert_that(errors, HasLength(4))
    hosts.lines.clear()


def relay_to(hosts, process, *, time_left=5.0):
    """Send a relayed request to a process; return the deferred response."""
    parameters = encode_parameters(
        RelayParameters(
            "post",
            "plain",
            False,
            False,
            time_left,
            1.0,
            5.0,
            0,
            [],
            "",
            False,
        )
    )
    headers = {RELAY_HEADER.decode(): parameters.decode()}
    pool = HTTPConnectionPool(reactor, persistent=False)
    source = hosts.processes["h-north"].settings.address
    agent = Agent(reactor, pool=pool, bindAddress=source)
    relay = process.members.own.relay
    return hosts.request(relay, "/post/a", "r1", b"POST", b"", headers, agent)


@pytest_twisted.ensureDeferred
async def test_a_relayed_request_that_waits_is_refused_as_its_host_ends(hosts):
    """Guards against an unknown outcome of a request that nothing ran."""
    process = hosts.processes["h-south"]
    endless = defer.Deferred()
    process.coordinator.place = lambda ask: endless
    asked = relay_to(hosts, process)
    await hosts.until(lambda: process.relay.relayed)
    _, stopped = begin_stop(hosts, "h-south")
    response = await asked
    found = response.headers.getRawHeaders
    assert_that(
        (found("hyssop-outcome"), found("hyssop-reason")),
        Equals((["not-run"], ["host_leaving"])),
    )
    await read_body(response)
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_relayed_request_ends_at_its_deadline(hosts):
    """Guards against a sender that is gone and holds a host up for ever."""
    hosts.backends["plain-south"].mood = "silent"
    process = hosts.processes["h-south"]
    asked = relay_to(hosts, process, time_left=0.5)
    asked.addErrback(lambda reason: reason.trap(*BROKEN))
    await hosts.until(lambda: process.relay.relayed)
    await hosts.until(lambda: not process.relay.relayed, within=1.0)
    await asked


@pytest_twisted.ensureDeferred
async def test_an_incomplete_relayed_request_counts_as_not_run(hosts):
    """Guards against a refusal that a host takes for a server's response."""
    process, stopped = begin_stop(hosts, "h-north")
    await pause(2.5)
    caller = RawCaller(process.members.own.relay)
    await caller.connect()
    caller.send("/post/a", body=b"12345", announced=10)
    received = await caller.receive(3.0)
    assert_that(received.lower(), Contains(b"hyssop-outcome: not-run"))
    await stopped


@pytest.mark.parametrize("body", [b"", b"a body"])
@pytest_twisted.ensureDeferred
async def test_responses_of_a_stopping_host_announce_the_close(hosts, body):
    """Guards against a close that a caller learns of with its next request."""
    process, stopped = begin_stop(hosts, "h-north")
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/lookup/a", body=body)
    received = await caller.receive(1.0)
    assert_that(received, Contains(b"HTTP/1.1 200"))
    assert_that(received.lower(), Contains(b"connection: close"))
    await stopped


@pytest_twisted.ensureDeferred
async def test_requests_behind_one_in_progress_are_answered(hosts):
    """Guards against a close that drops requests which were read already."""
    process, stopped = begin_stop(hosts, "h-north")
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/lookup/a")
    caller.send("/lookup/b")
    received = await caller.receive(1.0)
    assert_that(received.count(b"HTTP/1.1 200"), Equals(2))
    assert_that(received.lower().count(b"connection: close"), Equals(1))
    await stopped


@pytest.mark.parametrize(
    "part", [b"POST /loo", b"POST /lookup/a HTTP/1.1\r\n"]
)
@pytest_twisted.ensureDeferred
async def test_a_request_that_is_still_arriving_is_refused(hosts, part):
    """Guards against a close whose caller cannot tell that nothing ran."""
    process, stopped = begin_stop(hosts, "h-north")
    await pause(2.5)
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.socket.send(part)
    received = await caller.receive(3.0)
    assert_that(received, Contains(b"HTTP/1.1 503"))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_body_that_is_still_arriving_is_refused(hosts):
    """Guards against a close whose caller cannot tell that nothing ran."""
    process, stopped = begin_stop(hosts, "h-north")
    await pause(2.5)
    caller = RawCaller(process.settings.front)
    await caller.connect()
    caller.send("/post/a", body=b"12345", announced=10)
    received = await caller.receive(3.0)
    assert_that(received, Contains(b"HTTP/1.1 503"))
    await stopped


@pytest_twisted.async_yield_fixture
async def fleet_of_one(tmp_path):
    """Yield a host in a process of its own, before a server of streams."""
    made = SoakFleet(reactor, tmp_path, 1)
    made.start()
    backend = made.add_stream_backend("slow", "north", "v1")
    backend.events, backend.gap = 9, 0.2
    yield made
    await made.stop()


@pytest.mark.parametrize(
    "number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
)
@pytest_twisted.ensureDeferred
async def test_a_further_signal_cuts_no_response(fleet_of_one, number):
    """Guards against a second stop signal that ends the process at once."""
    (host,) = fleet_of_one.hosts.values()
    agent = Agent(reactor, pool=HTTPConnectionPool(reactor, persistent=False))
    headers = {"host": "a.example", "x-request-attempt-id": "r1", **USAGE}
    sent = Headers({k.replace("_", "-"): [v] for k, v in headers.items()})
    url = f"http://{host.front}/streaming/x".encode()
    end = reactor.seconds() + 15
    status = 0
    while status != 200 and reactor.seconds() < end:
        await pause(0.1)
        with contextlib.suppress(ConnectError):
            response = await agent.request(b"POST", url, sent)
            status = response.code
    stopped = host.stop()
    await pause(0.5)
    host.send_signal(number)
    body = await read_body(response)
    assert_that(body.count(b"data: "), Equals(9))
    await stopped
