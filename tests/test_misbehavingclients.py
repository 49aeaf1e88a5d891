"""Clients that send or read so that a process holds much for them."""

from collections import Counter

import pytest
import pytest_twisted
from measured_processes import (
    MEGABYTE,
    SAMPLE_SECONDS,
    Client,
    Crowd,
    MeasuredHost,
    Usage,
    answers,
    request,
)
from test_processes import Processes
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan
from twisted.internet import reactor, task
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from hyssopspring.entry.web import WebFactory, respond_refusal
from hyssopspring.net.channels import ClosingRequest
from hyssopspring.net.clientaccounts import CHECK_INTERVAL_SECONDS
from hyssopspring.net.inprogress import InProgress
from hyssopspring_fakes.backends import LARGE_BODY_BYTES

MEMORY_MB = 100
MAX_FDS = 300
BODY = b"x" * MEGABYTE
ANSWER_BYTES = 900_000
WAVES = 12
GATEWAY_MEMORY_MB = 150
TOPOLOGY = {
    "round_trip_ms": 60,
    "models": ["quick-draft"],
    "services": ["rating"],
    "regions": {"dar": {"gateways": 1, "engines": 1, "services": 1}},
    "workspaces": {"brokers": {"home": "dar", "key": "brokers-key"}},
}
PIPELINED = 1000
SMALL_CHUNKS = 9000
MAX_CHUNKS_PER_TURN = 4000
CHUNKED = "transfer-encoding: chunked\r\n"


@pytest_twisted.async_yield_fixture
async def host(tmp_path):
    """Yield an entry host with little memory and few descriptors."""
    made = MeasuredHost(
        tmp_path, body_bytes=MEGABYTE, memory_mb=MEMORY_MB, max_fds=1100
    )
    made.backend.answer = answer_long(made.backend.answer)
    await made.start()
    yield made
    await made.stop()


def answer_long(answer):
    """Return *answer*, but with a long body below ``/lookup/long``."""

    def respond(sent, status, body, headers):
        if sent.path.startswith(b"/lookup/long"):
            body = body.ljust(ANSWER_BYTES)
        answer(sent, status, body, headers)

    return respond


async def check(host, crowds):
    """Check that a process bears *crowds*, which come one by one."""
    for crowd in crowds:
        await crowd.send()
        await task.deferLater(reactor, 2.0)
        assert host.is_alive(), host.log.read_text()[-2000:]
        assert await host.answers()
    assert_that(host.usage.bytes / MEGABYTE, LessThan(MEMORY_MB))
    assert_that(host.usage.descriptors, LessThan(1100))


INCOMPLETE = {
    "length": (
        120,
        request("POST", "/lookup/a", BODY[1:], announced=MEGABYTE),
    ),
    "chunks": (
        120,
        request("POST", "/lookup/a", lines=CHUNKED)
        + b"%x\r\n%s\r\n" % (MEGABYTE - 1, BODY[1:]),
    ),
    "small": (
        800,
        request("POST", "/lookup/a", BODY[:98_999], announced=99_000),
    ),
}


@pytest.mark.parametrize("kind", INCOMPLETE)
@pytest_twisted.ensureDeferred
async def test_incomplete_bodies_stay_within_the_memory(host, kind):
    """Guards against bodies of which the end is never sent."""
    await check(host, [Crowd(host.front, *INCOMPLETE[kind])])


@pytest.mark.parametrize("listener", ["pages", "control"])
@pytest_twisted.ensureDeferred
async def test_other_listeners_stay_within_the_memory(host, listener):
    """Guards against such bodies at the listeners that need none."""
    address = getattr(host, listener)
    await check(host, [Crowd(address, *INCOMPLETE["length"])])


@pytest_twisted.ensureDeferred
async def test_whole_bodies_stay_within_the_memory(host):
    """Guards against copies of bodies that are sent on at the same time."""
    whole = request("POST", "/lookup/a", BODY)
    await check(host, [Crowd(host.front, 120, whole) for _ in range(3)])


@pytest_twisted.ensureDeferred
async def test_memory_of_bodies_is_used_again(host):
    """Guards against bodies that stay in memory after their requests."""
    whole = request("POST", "/lookup/a", BODY)
    for _ in range(WAVES):
        crowd = Crowd(host.front, 120, whole)
        await check(host, [crowd])
        crowd.close()


@pytest.mark.parametrize(("count", "pipelined"), [(120, 1), (20, 10)])
@pytest_twisted.ensureDeferred
async def test_unread_responses_stay_within_the_memory(host, count, pipelined):
    """Guards against responses that clients do not read."""
    asked = request("GET", "/lookup/long") * pipelined
    await check(host, [Crowd(host.front, count, asked) for _ in range(2)])


@pytest.mark.parametrize("count", [1, 4])
@pytest_twisted.ensureDeferred
async def test_large_requests_and_responses_are_served(tmp_path, count):
    """Guards against limits that callers meet without any trouble."""
    host = MeasuredHost(
        tmp_path, body_bytes=4 * MEGABYTE, memory_mb=300, max_fds=4100
    )
    await host.start()
    whole = request("POST", "/lookup/large", BODY * 4)
    crowd = Crowd(host.front, count, whole, window=MEGABYTE)

    def is_answered(client):
        client.advance()
        client.read()
        return client.closed or len(client.received) > LARGE_BODY_BYTES

    assert await crowd.until(is_answered)
    statuses = {client.status for client in crowd.clients}
    await host.stop()
    assert_that(statuses, Equals({200}))


@pytest_twisted.ensureDeferred
async def test_a_body_that_advances_by_single_bytes_is_refused(tmp_path):
    """Guards against an idle timeout that each byte begins anew."""
    host = MeasuredHost(tmp_path, body_bytes=MEGABYTE, idle_ms=1000)
    await host.start()
    head = request("POST", "/lookup/a", b"x", announced=MEGABYTE)
    crowd = Crowd(host.front, 5, head)
    await crowd.send()

    def is_closed(client):
        client.read()
        if not client.closed:
            client.send(b"x")
        return client.closed

    closed = await crowd.until(is_closed)
    statuses = {client.status for client in crowd.clients}
    await host.stop()
    assert_that((closed, statuses), Equals((True, {408})))


@pytest_twisted.ensureDeferred
async def test_idle_connections_leave_descriptors(tmp_path):
    """Guards against ordinary callers that find no descriptor left."""
    host = MeasuredHost(tmp_path, body_bytes=MEGABYTE, max_fds=MAX_FDS)
    await host.start()
    crowd = Crowd(host.front, 400, b"")
    await task.deferLater(reactor, 1.0)
    is_answered = await host.answers()
    await host.stop()
    assert is_answered
    assert_that(host.usage.descriptors, LessThan(MAX_FDS))
    crowd.close()


@pytest_twisted.ensureDeferred
async def test_small_chunks_are_processed_over_several_turns(
    hosts, monkeypatch
):
    """Guards against a client whose single read holds up all others."""
    handle = ClosingRequest.handleContentChunk
    chunks, turns = [], []

    def count(request, data):
        chunks.append(len(turns))
        handle(request, data)

    monkeypatch.setattr(ClosingRequest, "handleContentChunk", count)
    counting = task.LoopingCall(lambda: turns.append(len(turns)))
    counting.start(0)
    with Client(hosts.processes["h-north"].settings.front) as client:
        client.send(request("POST", "/lookup/a", lines=CHUNKED))
        client.send(b"1\r\nx\r\n" * SMALL_CHUNKS + b"0\r\n\r\n")
        await client.receive_head()
        assert_that(client.status, Equals(200))
    counting.stop()
    assert_that(len(chunks), Equals(SMALL_CHUNKS))
    most = max(Counter(chunks).values())
    assert_that(most, LessThan(MAX_CHUNKS_PER_TURN))


class MeasuredProcesses(Processes):
    """Processes of one region with little memory."""

    def common_settings(self, name, region):
        """Return the settings that all processes share."""
        return {
            **super().common_settings(name, region),
            "memory_mb": GATEWAY_MEMORY_MB,
            "max_descriptors": MAX_FDS,
        }


@pytest.fixture
def processes(tmp_path):
    """Yield a gateway and an admin server, as processes of their own."""
    made = MeasuredProcesses(TOPOLOGY, tmp_path)
    try:
        made.start()
        yield made
    finally:
        made.stop()


@pytest.mark.parametrize(
    ("name", "path", "size", "count"),
    [
        ("dar-gateway-0", "/v1/completions", 4 * MEGABYTE, 60),
        ("admin", "/v1/files/a.yaml", 256 * 1024, 800),
    ],
)
@pytest_twisted.ensureDeferred
async def test_gateway_and_admin_server_stay_within_the_memory(
    processes, name, path, size, count
):
    """Guards against incomplete bodies at the processes of the gateway."""
    rows = {row["name"]: row["address"] for row in processes.rows}
    address = rows.get(name, processes.admin)
    usage = Usage(processes.running[name].pid)
    usage.sampling.start(SAMPLE_SECONDS)
    body = b"x" * (size - 1)
    crowd = Crowd(address, count, request("PUT", path, body, announced=size))
    await crowd.send()
    await task.deferLater(reactor, 2.0)
    assert await answers(address, "/healthz")
    usage.sampling.stop()
    assert processes.running[name].poll() is None
    assert_that(usage.bytes / MEGABYTE, LessThan(GATEWAY_MEMORY_MB))
    crowd.close()


class Transport(StringTransport):
    """Transport without a network, whose client reads everything at once."""

    dataBuffer = b""
    offset = 0
    _tempDataLen = 0


@pytest.fixture
def channel():
    """Return a connection to a site that leaves requests in progress."""
    clock = Clock()
    site = WebFactory(
        lambda one: None,
        raise_failure,
        clock,
        InProgress(clock, respond_refusal),
        max_idle_seconds=lambda: 15.0,
        max_body_bytes=lambda: MEGABYTE,
        max_head_bytes=lambda: 16 * 1024,
    )
    made = site.buildProtocol(None)
    made.makeConnection(Transport())
    return made


def test_the_socket_stays_unread_while_input_waits(channel):
    """Guards against input that is read faster than it is processed."""
    channel.site.handle = lambda one: respond_refusal(one, 404, "no page")
    channel.dataReceived(request("GET", "/") * PIPELINED)
    answered = []
    while channel.pending:
        answered.append(channel.transport.value().count(b" 404 "))
        channel.pauseProducing()
        channel.resumeProducing()
        assert_that(channel.transport.producerState, Equals("paused"))
        channel.input_queue.run()
    assert_that(channel.transport.producerState, Equals("producing"))
    assert_that(channel.transport.value().count(b" 404 "), Equals(PIPELINED))
    assert_that(len(answered), GreaterThan(PIPELINED // 200))


def test_a_request_that_was_read_whole_is_not_ended_as_slow(channel):
    """Guards against a close without a response after a slow upload."""
    clock, account = channel.site.reactor, channel.site.account
    head = request("POST", "/", BODY[:30_000], announced=60_000)
    channel.dataReceived(head)
    for _ in range(20):
        account.check()
        clock.advance(CHECK_INTERVAL_SECONDS)
    assert channel.holding.is_slow(clock.seconds())
    channel.dataReceived(BODY[:30_000])
    account.count("others", account.limits.max_bytes)
    account.reclaim()
    assert_that(channel.transport.disconnected, Equals(False))
    assert_that(channel.holding.counted, Equals(120_000))


def raise_failure(failure):
    """Raise the error of a failure."""
    failure.raiseException()
