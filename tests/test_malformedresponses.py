"""Responses with a malformed head do not reach callers."""

import pytest
import pytest_twisted
from entry_hosts import USAGE
from raw_servers import attempt_at, listen_raw
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan
from twisted.internet import protocol, reactor

from hyssopspring.core.outcomes import Reason, Unknown
from hyssopspring.entry.attempts import MAX_CAUSE_CHARACTERS
from hyssopspring.net.backends import BackendClient, OutgoingRequest
from hyssopspring.net.clients import make_agent

OK = b"HTTP/1.1 200 OK"
BODY = b"id: 0\ndata: event 0\n\n"
"""A whole body, of a plain response as well as of a stream."""

MALFORMED_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 \t200 OK",
    b"HTTP/2.0 200 OK",
    b"SMTP/1.1 200 OK",
)

MALFORMED_FIELDS = (
    b"X Odd: 1\r\n",
    b"X\tOdd: 1\r\n",
    b"X\x01Odd: 1\r\n",
    b"X\rOdd: 1\r\n",
    b"X-Odd : 1\r\n",
    b"X-Odd\r\n : 1\r\n",
    b"X-\xe9: 1\r\n",
    b": 1\r\n",
    b"X-Odd\r\n",
    b"Content-Length : 2\r\n",
    b"Transfer-Encoding : chunked\r\n",
)
"""Header lines whose name is missing or not a token, or without a colon."""

CONTROL_BYTES = (
    b"X-Odd: a\x00b\r\n",
    b"X-Odd: a\x08b\r\n",
    b"X-Odd: a\x7fb\r\n",
    b"X-Odd: a\rContent-Length: 2\r\n",
    b"X-Odd: a\r\n b\x00\r\n",
    b"Content-Length:\x0b2\r\n",
)
"""Header lines with control bytes in their value."""


def respond_with(backend, status_line, fields=b""):
    """Let a stand-in answer each request with the same head and body."""

    def respond(request, stamp):
        rows = [b"%s: %s\r\n" % row for row in stamp.items()]
        head = [status_line, b"\r\n", *rows, fields]
        head.append(b"Content-Type: text/event-stream\r\n")
        head.append(b"Content-Length: %d\r\n\r\n" % len(BODY))
        request.transport.write(b"".join(head) + BODY)

    backend.answer = lambda request, _, body, stamp: respond(request, stamp)
    backend.stream = lambda request, stamp, _: respond(request, stamp)


async def statuses(hosts):
    """Request a plain response and a stream; return both statuses."""
    plain, _, _ = await hosts.send(
        "h-north", "/post/a", identifier="r1", method=b"POST"
    )
    stream, _, _ = await hosts.send(
        "h-north", "/review/a", identifier="r2", method=b"POST", **USAGE
    )
    return plain, stream


def use_head(hosts, status_line, fields=b""):
    """Let the servers of the north respond with a head."""
    for name in ("plain-north", "engine-north"):
        respond_with(hosts.backends[name], status_line, fields)


@pytest.mark.parametrize("line", [b"HTTP/1.1 200", b"HTTP/1.0 201 Made"])
@pytest_twisted.ensureDeferred
async def test_a_valid_status_line_is_accepted(hosts, line):
    """The reason phrase may be missing, and the version older."""
    use_head(hosts, line)
    status = int(line[9:12])
    assert_that(await statuses(hosts), Equals((status, status)))


@pytest.mark.parametrize("line", MALFORMED_STATUS_LINES)
@pytest_twisted.ensureDeferred
async def test_a_malformed_status_line_is_no_response(hosts, line):
    """Guards against a status of no meaning that a caller receives."""
    use_head(hosts, line)
    assert_that(await statuses(hosts), Equals((502, 502)))


@pytest.mark.parametrize("fields", MALFORMED_FIELDS)
@pytest_twisted.ensureDeferred
async def test_a_malformed_header_name_is_no_response(hosts, fields):
    """Guards against a malformed header line that a caller receives."""
    use_head(hosts, OK, fields)
    assert_that(await statuses(hosts), Equals((502, 502)))


@pytest.mark.parametrize("fields", CONTROL_BYTES)
@pytest_twisted.ensureDeferred
async def test_a_control_byte_in_a_head_is_no_response(hosts, fields):
    """Guards against a NUL or CR in a header that a caller receives."""
    use_head(hosts, OK, fields)
    assert_that(await statuses(hosts), Equals((502, 502)))


@pytest_twisted.ensureDeferred
async def test_a_control_byte_in_a_reason_phrase_is_no_response(hosts):
    """The whole head is checked, the status line included."""
    use_head(hosts, b"HTTP/1.1 200 O\x00K")
    assert_that(await statuses(hosts), Equals((502, 502)))


@pytest.mark.parametrize("second", [b"gzip", b"identity", b"chunked"])
@pytest_twisted.ensureDeferred
async def test_a_body_with_two_encodings_is_no_response(raw_server, second):
    """Guards against a body of which only one encoding is decoded."""
    raw_server.response = (
        OK + b"\r\nX-Request-Attempt-Id: r1\r\nX-Response-Stamp: s\r\n"
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: " + second
    ) + b"\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
    outcome = await send_by_entry_host(raw_server)
    assert_that(outcome, Equals(Unknown(Reason.CONNECTION_LOST)))


@pytest_twisted.ensureDeferred
async def test_tabs_and_bytes_beyond_ascii_may_stand_in_a_value(hosts):
    """Such values are valid; a folded line is joined."""
    use_head(hosts, OK, b"X-Odd: a\tb \xe9\r\n\tc\r\n")
    assert_that(await statuses(hosts), Equals((200, 200)))


@pytest_twisted.ensureDeferred
async def test_a_log_line_quotes_only_the_beginning_of_a_response(hosts):
    """Guards against log lines as long as a server likes."""
    use_head(hosts, b"HTTP/1.1 000 " + b"x" * 10_000)
    assert_that(await statuses(hosts), Equals((502, 502)))
    ended = await hosts.logged("attempt_ended")
    assert_that(ended["cause"], Contains("HTTP/1.1 000"))
    assert_that(len(ended["cause"]), LessThan(MAX_CAUSE_CHARACTERS + 1))


@pytest_twisted.ensureDeferred
async def test_another_server_responds_in_place_of_a_malformed_one(hosts):
    """Guards against an idempotent request that ends with status 000."""
    use_head(hosts, MALFORMED_STATUS_LINES[0])
    status, headers, _ = await hosts.send(
        "h-north", "/lookup/a", identifier="r1"
    )
    stamps = headers.getRawHeaders("x-response-stamp")
    assert_that((status, stamps), Equals((200, ["stamp-plain-south"])))


@pytest_twisted.ensureDeferred
async def test_a_relayed_malformed_response_is_refused(hosts):
    """Guards against a status 000 that a host of another region passes on."""
    for service in ("plain", "engine"):
        hosts.register_again(f"{service}-north", state="draining")
        backend = hosts.backends[f"{service}-south"]
        respond_with(backend, MALFORMED_STATUS_LINES[0])
    await hosts.until(lambda: len(hosts.decoded("server_leaving")) == 4)
    assert_that(await statuses(hosts), Equals((502, 502)))


class RawServer(protocol.Protocol):
    """Send fixed bytes as the response to a request, and close."""

    def dataReceived(self, data):
        """Respond to the first bytes of a request."""
        self.transport.write(self.factory.response)
        self.transport.loseConnection()


@pytest.fixture
def raw_server():
    """Return the factory of a listening `RawServer`."""
    yield from listen_raw(RawServer)


async def send_by_gateway(server):
    """Send a request of the gateway; return its outcome."""
    agent = make_agent(reactor, persistent=False)
    client = BackendClient(agent, agent, reactor, timeline=None)
    outgoing = OutgoingRequest(
        id="r1",
        method=b"POST",
        url=f"http://{server.address}/".encode(),
        headers=(),
        body=b"{}",
        stream=False,
        repeatable=False,
    )
    sink = StartedSink()
    return await client.send(
        outgoing, sink, deadline=reactor.seconds() + 5, on_load=None
    )


async def send_by_entry_host(server):
    """Send a request of an entry host; return its outcome."""
    return await attempt_at(server.address)


class StartedSink:
    """Sink that accepts no response."""

    def start(self, status, headers, length=None):
        """Fail, since the caller must not receive a head."""
        raise AssertionError(f"response with status {status}")


@pytest.mark.parametrize(
    "line",
    [
        *MALFORMED_STATUS_LINES,
        *(OK + b"\r\n" + fields[:-2] for fields in MALFORMED_FIELDS),
        *(OK + b"\r\n" + fields[:-2] for fields in CONTROL_BYTES),
    ],
)
@pytest_twisted.ensureDeferred
async def test_the_gateway_accepts_no_malformed_head(raw_server, line):
    """Guards against a status 000 that the gateway passes on."""
    raw_server.response = (
        line + b"\r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\n{}"
    )
    outcome = await send_by_gateway(raw_server)
    assert_that(outcome, Equals(Unknown(Reason.CONNECTION_LOST)))


@pytest.mark.parametrize("send", [send_by_gateway, send_by_entry_host])
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 102 Wait\r\n\r\n"])
@pytest_twisted.ensureDeferred
async def test_a_head_that_is_cut_is_no_response(raw_server, interim, send):
    """Guards against a cut head that is taken for a response without body."""
    head = (
        interim + OK + b"\r\nX-Request-Id: r1\r\nX-Request-Attempt-Id: r1\r\n"
        b"X-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n"
    )
    for cut in range(len(head)):
        raw_server.response = head[:cut]
        outcome = await send(raw_server)
        assert_that(outcome, Equals(Unknown(Reason.CONNECTION_LOST)))
