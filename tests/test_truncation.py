"""Responses that a server broke off never look complete to callers."""

import pytest
import pytest_twisted
from entry_hosts import BROKEN, USAGE
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan
from twisted.internet import defer, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.web.http_headers import Headers

from hyssopspring.core.exceptions import NoAnswerError
from hyssopspring.core.outcomes import Answered, Reason, Unknown
from hyssopspring.entry import attempts
from hyssopspring.entry.attempts import Attempt, OutgoingRequest
from hyssopspring.entry.connections import Connections, Endpoint
from hyssopspring.entry.eventstreams import (
    MAX_EVENT_BYTES,
    has_unnumbered_data,
    last_event_id,
)
from hyssopspring.entry.fetching import fetch
from hyssopspring.net.backends import BackendClient
from hyssopspring.net.backends import OutgoingRequest as GatewayRequest
from hyssopspring.net.clientaccounts import ClientAccount
from hyssopspring.net.clients import make_agent
from hyssopspring.platform.headers import read_head
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring_fakes.backends import FakeBackend
from hyssopspring_fakes.listening import listen_http
from hyssopspring_fakes.streamscripts import (
    Ending,
    Framing,
    StreamScript,
    numbered_events,
)

EVENTS = numbered_events(4)
WHOLE = b"".join(EVENTS)
INSIDE_FIRST_EVENT = 9
INSIDE_THIRD_EVENT = len(EVENTS[0]) * 2 + 9


async def stream(hosts, path, host="h-north", **headers):
    """Request a stream; return its body, or None if it was visibly cut."""
    try:
        status, _, body = await hosts.send(
            host, path, identifier="r1", method=b"POST", **USAGE, **headers
        )
    except BROKEN:
        return None
    return body if status == 200 else None


async def use_engine_of_south(hosts):
    """Let only the engine of the other region take requests."""
    hosts.register_again("engine-north", state="draining")
    await hosts.until(lambda: hosts.decoded("server_leaving"))


@pytest.fixture
def server():
    """Return a stand-in server whose streams follow a script."""
    backend = FakeBackend(reactor, "s", "127.0.0.5")
    backend.endpoint = Endpoint("s", backend.start())
    yield backend
    pytest_twisted.blockon(defer.ensureDeferred(backend.stop()))


async def attempt_stream(server, script):
    """Request the stream of *script*; return attempt, outcome and events."""
    server.script = script
    received = []
    attempt = Attempt(
        Connections(reactor, "127.0.0.5", ClientAccount(reactor)),
        server.endpoint,
        OutgoingRequest(
            id=b"r1",
            method=b"GET",
            uri=b"/",
            headers=Headers(
                {
                    b"host": [b"a.example"],
                    b"x-request-attempt-id": [b"r1"],
                    b"x-expect-instance": [b"s"],
                    b"x-token-usage": [b"1,1"],
                }
            ),
            body=b"",
            stream=True,
            repeatable=False,
        ),
        read_head,
        reactor,
        on_stream=lambda head, response: received.append,
        on_first_data=lambda: None,
    )
    outcome = await attempt.run()
    return attempt, outcome, b"".join(received)


def must_be_truncated(script, newline):
    """Return whether a response of *script* must not count as complete."""
    body, cut = script.body(0), script.cut_at
    inside_event = body[:cut].rpartition(newline * 2)[2] != b""
    if inside_event or script.ending is Ending.RESET:
        return cut < len(body) or script.framing is not Framing.LENGTH
    if script.framing is Framing.CLOSE:
        return cut == 0
    if script.ending is Ending.END:
        return False
    return cut < len(body) or script.framing is Framing.CHUNKS


@pytest.mark.parametrize("newline", [b"\n", b"\r\n"])
@pytest.mark.parametrize("framing", list(Framing))
@pytest.mark.parametrize("ending", [Ending.END, Ending.CLOSE, Ending.RESET])
@pytest_twisted.ensureDeferred
async def test_no_cut_at_any_byte_looks_complete(
    server, newline, framing, ending
):
    """Guards against a part of a stream that counts as the whole."""
    events = numbered_events(2, newline=newline)
    for cut in range(len(b"".join(events)) + 1):
        script = StreamScript(
            events=events, framing=framing, cut_at=cut, ending=ending
        )
        attempt, outcome, received = await attempt_stream(server, script)
        sent = script.body(0)[:cut]
        complete_events = sent[: len(sent) - len(sent) % len(events[0])]
        if ending is Ending.RESET:
            # A reset may overtake what was sent before.
            assert complete_events.startswith(received)
        else:
            assert_that(received, Equals(complete_events))
        if must_be_truncated(script, newline):
            assert isinstance(outcome, Unknown), (cut, outcome)
            assert attempt.broken_by_peer
        elif ending is not Ending.RESET:
            assert_that(outcome, Equals(Answered(200)))


@pytest.mark.parametrize("remote", [False, True])
@pytest_twisted.ensureDeferred
async def test_a_close_inside_an_event_does_not_end_a_stream(hosts, remote):
    """Guards against a truncated stream that is framed as complete."""
    server = "engine-south" if remote else "engine-north"
    hosts.backends[server].script = StreamScript(
        events=EVENTS, cut_at=INSIDE_THIRD_EVENT
    )
    if remote:
        await use_engine_of_south(hosts)
    assert_that(await stream(hosts, "/review/a"), Equals(None))


@pytest.mark.parametrize("cut", [0, INSIDE_FIRST_EVENT, INSIDE_THIRD_EVENT])
@pytest.mark.parametrize("framing", list(Framing))
@pytest.mark.parametrize("ending", [Ending.END, Ending.CLOSE, Ending.RESET])
@pytest_twisted.ensureDeferred
async def test_a_stream_cut_inside_an_event_goes_on_whole(
    hosts, cut, framing, ending
):
    """Guards against a stream handed over short although it may go on."""
    if not cut and ending is Ending.END and framing is not Framing.CLOSE:
        # The server states that the stream has no events.
        return
    hosts.backends["engine-north"].script = StreamScript(
        events=EVENTS, framing=framing, cut_at=cut, ending=ending
    )
    hosts.backends["engine-south"].script = StreamScript(events=EVENTS)
    assert_that(await stream(hosts, "/quote/a"), Equals(WHOLE))


@pytest_twisted.ensureDeferred
async def test_a_stream_that_falls_silent_inside_an_event_goes_on(hosts):
    """The part of an event before a silence is not sent twice."""
    hosts.backends["engine-north"].script = StreamScript(
        events=EVENTS, cut_at=INSIDE_THIRD_EVENT, ending=Ending.SILENCE
    )
    hosts.backends["engine-south"].script = StreamScript(events=EVENTS)
    assert_that(await stream(hosts, "/quote/a"), Equals(WHOLE))


@pytest_twisted.ensureDeferred
async def test_a_relayed_stream_that_is_cut_goes_on(hosts):
    """A host of another region passes on that a stream was broken off."""
    hosts.add_backend("engine-south-2", "engine", "south")
    await use_engine_of_south(hosts)
    whole = hosts.backends["engine-south-2"]
    whole.script = StreamScript(events=EVENTS)
    hosts.backends["engine-south"].script = StreamScript(
        events=EVENTS, cut_at=INSIDE_THIRD_EVENT
    )
    assert_that(await stream(hosts, "/quote/a"), Equals(WHOLE))


@pytest_twisted.ensureDeferred
async def test_a_stream_cut_inside_an_event_goes_on_for_its_caller(hosts):
    """A caller that comes back with its last event receives the rest."""
    server = hosts.backends["engine-north"]
    server.script = StreamScript(events=EVENTS, cut_at=INSIDE_THIRD_EVENT)
    assert_that(await stream(hosts, "/review/a"), Equals(None))
    server.script = StreamScript(events=EVENTS)
    rest = await stream(hosts, "/review/a", last_event_id="1", resumes="r1")
    assert_that(rest, Equals(b"".join(EVENTS[2:])))


UNNUMBERED = (b"data: a\n\n", b"data: b\n\n", b"data: c\n\n")
COMMENTED = (EVENTS[0], b": idle\n\n", EVENTS[1])


@pytest_twisted.ensureDeferred
async def test_data_without_identifier_is_not_sent_twice(hosts):
    """Guards against a resumed stream that repeats unnumbered events."""
    for name in ("engine-north", "engine-south"):
        hosts.backends[name].script = StreamScript(
            events=UNNUMBERED, cut_at=len(UNNUMBERED[0]) + 3
        )
    assert_that(await stream(hosts, "/quote/a"), Equals(None))
    assert_that(hosts.backends["engine-south"].ran, Equals([]))


@pytest_twisted.ensureDeferred
async def test_a_comment_does_not_keep_a_stream_from_going_on(hosts):
    """A comment carries no data, so the stream resumes after the event."""
    hosts.backends["engine-north"].script = StreamScript(
        events=COMMENTED, cut_at=len(EVENTS[0]) + len(COMMENTED[1]) + 4
    )
    hosts.backends["engine-south"].script = StreamScript(events=EVENTS)
    rest = b"".join(EVENTS[1:])
    expected = EVENTS[0] + COMMENTED[1] + rest
    assert_that(await stream(hosts, "/quote/a"), Equals(expected))


@pytest.mark.parametrize(
    ("events", "identifier", "unnumbered"),
    [
        (b"id: 1\ndata: a\n\n", b"1", False),
        (b"data: a\nid: 1\n\n", b"1", False),
        (b"id: 1\r\ndata: a\r\n\r\n", b"1", False),
        (b"id: 1\ndata: a\n\ndata: b\n\n", b"1", True),
        (b"data: a\n\nid: 2\ndata: b\n\n", b"2", False),
        (b"data: a\n\n", b"", True),
        (b": idle\n\n", b"", False),
        (b"id: 1\ndata: a\n\n: idle\n\n", b"1", False),
        (b"x-weight-versions: 2\nid: 1\ndata: a\n\n", b"1", False),
    ],
)
def test_the_point_from_which_a_stream_resumes(events, identifier, unnumbered):
    """Data after the last identifier is recognised."""
    found = last_event_id(events), has_unnumbered_data(events)
    assert_that(found, Equals((identifier, unnumbered)))


@pytest_twisted.ensureDeferred
async def test_a_document_in_place_of_a_stream_is_delivered_whole(hosts):
    """Guards against a document of which a caller receives nothing."""
    server = hosts.backends["engine-north"]
    server.stream = lambda request, stamp, first: server.answer(
        request,
        200,
        b'{"whole": true}',
        {**stamp, b"content-type": b"application/json"},
    )
    assert_that(await stream(hosts, "/review/a"), Equals(b'{"whole": true}'))


class RawCaller(Protocol):
    """Send raw bytes, and keep what comes back and how it ended."""

    def __init__(self, sent):
        self.sent = sent
        self.data = b""
        self.ended = defer.Deferred()

    def connectionMade(self):
        """Send the request."""
        self.transport.write(self.sent)

    def dataReceived(self, data):
        """Keep data."""
        self.data += data

    def connectionLost(self, reason):
        """Fire `ended` with whether the close was orderly."""
        self.ended.callback(bool(reason.check(ConnectionDone)))


async def call_raw(hosts, version, header=b""):
    """Request a stream over raw HTTP; return the `RawCaller` and its end."""
    address = hosts.processes["h-north"].settings.front
    host, port = address.split(":")
    sent = (
        b"POST /review/a HTTP/" + version + b"\r\nHost: a.example\r\n"
        b"X-Request-Attempt-Id: r1\r\nX-Token-Usage: 100,20\r\n"
        b"Content-Length: 0\r\n" + header + b"\r\n"
    )
    caller = await connectProtocol(
        TCP4ClientEndpoint(reactor, host, int(port)), RawCaller(sent)
    )
    return caller, await caller.ended


@pytest.mark.parametrize("cut", [None, INSIDE_THIRD_EVENT])
@pytest_twisted.ensureDeferred
async def test_a_caller_without_chunks_sees_a_cut(hosts, cut):
    """Guards against a cut that looks like the end to a caller of HTTP/1.0."""
    hosts.backends["engine-north"].script = StreamScript(
        events=EVENTS, cut_at=cut
    )
    caller, orderly = await call_raw(hosts, b"1.0")
    assert_that(orderly, Equals(cut is None))
    if cut is None:
        assert caller.data.endswith(WHOLE)


@pytest_twisted.ensureDeferred
async def test_a_caller_that_closes_sees_a_cut(hosts):
    """A cut stream has no last chunk for a caller that sent close."""
    hosts.backends["engine-north"].script = StreamScript(
        events=EVENTS, cut_at=INSIDE_THIRD_EVENT
    )
    caller, _ = await call_raw(hosts, b"1.1", b"Connection: close\r\n")
    assert b"chunked" in caller.data
    assert not caller.data.endswith(b"0\r\n\r\n")


class PlainScript:
    """A plain response that ends with its connection.

    Args:
        size: Bytes of its body.
        ending: The `Ending`.
    """

    def __init__(self, size, ending=Ending.CLOSE):
        self.size = size
        self.ending = ending

    def serve(self, request, status, body, headers):
        """Write the response in place of the usual one."""
        lines = [b"HTTP/1.1 200 OK"]
        lines += [b"%s: %s" % row for row in headers.items()]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        request.transport.write(head + b"x" * self.size)
        StreamScript(events=(), ending=self.ending).finish(request.transport)


@pytest_twisted.ensureDeferred
async def test_a_body_that_is_too_large_is_not_cut_and_framed(
    hosts, monkeypatch
):
    """Guards against a plain body that the host cuts and frames as whole."""
    monkeypatch.setattr(attempts, "MAX_RESPONSE_BYTES", 100_000)
    server = hosts.backends["plain-north"]
    server.answer = PlainScript(200_000).serve
    status, _, _ = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that(status, Equals(502))
    ended = await hosts.logged("attempt_ended")
    assert_that(ended["reason"], Equals(str(Reason.RESPONSE_TOO_LARGE)))
    health = hosts.processes["h-north"].placer.health_of("plain-north")
    assert_that(health.error_rate, Equals(0.0))
    assert_that(hosts.backends["plain-south"].ran, Equals([]))


@pytest.mark.parametrize("size", [0, 50_000])
@pytest_twisted.ensureDeferred
async def test_a_body_that_ends_with_its_connection_is_whole(hosts, size):
    """A plain body needs neither length nor chunks, and may be empty."""
    hosts.backends["plain-north"].answer = PlainScript(size).serve
    status, _, body = await hosts.send("h-north", "/post/a", identifier="r1")
    assert_that((status, len(body)), Equals((200, size)))


@pytest_twisted.ensureDeferred
async def test_calls_of_hosts_need_a_framed_response(server):
    """Guards against a part of a listing that counts as the whole."""
    server.answer = PlainScript(100).serve
    call = fetch(
        Connections(reactor, "127.0.0.5", ClientAccount(reactor)),
        server.endpoint,
        b"GET",
        b"/v1/kv-range",
        b"store",
        b"",
        timeout=2.0,
        clock=reactor,
    )
    with pytest.raises(NoAnswerError):
        await call


@pytest_twisted.ensureDeferred
async def test_an_event_that_never_ends_does_not_fill_the_memory(server):
    """Guards against a server that sends one event without an end."""
    endless = b"data: " + b"x" * (4 * MAX_EVENT_BYTES)
    script = StreamScript(events=(endless,), ending=Ending.SILENCE)
    attempt, outcome, received = await attempt_stream(server, script)
    assert_that(outcome, Equals(Unknown(Reason.BAD_ANSWER)))
    assert_that(attempt.result, Equals(AttemptResult.ERROR))
    assert_that(received, Equals(b""))
    assert_that(attempt.incomplete_bytes, LessThan(2 * MAX_EVENT_BYTES))


@pytest_twisted.ensureDeferred
async def test_the_gateway_does_not_buffer_an_endless_event():
    """Guards against an engine that sends one event without an end."""

    def serve(request):
        request.setHeader(b"x-request-id", b"r1")
        request.write(b"id: 0\ndata: " + b"x" * (4 * MAX_EVENT_BYTES))

    port = listen_http(reactor, "127.0.0.5", serve)
    address = f"http://127.0.0.5:{port.getHost().port}/".encode()
    agent = make_agent(reactor, persistent=False)
    client = BackendClient(agent, agent, reactor, timeline=None)
    outgoing = GatewayRequest(
        id="r1",
        method=b"POST",
        url=address,
        headers=(),
        body=b"",
        stream=True,
        repeatable=False,
    )
    sink = DiscardingSink()
    outcome = await client.send(
        outgoing, sink, deadline=reactor.seconds() + 5, on_load=None
    )
    await port.stopListening()
    assert_that(outcome, Equals(Unknown(Reason.BAD_ANSWER)))


class DiscardingSink:
    """Sink of a response that nobody reads."""

    def start(self, status, headers, length=None):
        """Ignore the head."""

    def write(self, data):
        """Ignore a part of the body."""

    def set_producer(self, producer):
        """Ignore the producer."""
