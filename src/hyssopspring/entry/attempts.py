"""One attempt of a request at a server, or at a host that relays it."""

from dataclasses import dataclass, field

from twisted.internet import defer, error, protocol
from twisted.web._newclient import Request as ClientRequest
from twisted.web._newclient import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..traffic.evidence import Finding

__all__ = [
    "BufferedResponse",
    "Attempt",
    "ResponseHead",
    "OutgoingRequest",
    "silence_limit",
    "split_events",
]

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Bytes of the longest answer that is held whole in memory."""

MIN_SILENCE_SECONDS = 0.9
SILENCE_FACTOR = 3.0
"""A server that has not begun after three times the predicted time, and
this many seconds at least, is taken as silent."""

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """What an attempt sends.

    Attributes:
        id: Identifier of the request, which the answer must echo.
        method: HTTP method.
        uri: Path and query.
        headers: `Headers` to send, a Host among them.
        body: The body, maybe empty.
        stream: Whether a success is a series of events.
        repeatable: Whether a kept connection may be used.
        key_digest: Digest of the caller's key, which is not sent, or "".
    """

    id: bytes
    method: bytes
    uri: bytes
    headers: Headers
    body: bytes
    stream: bool
    repeatable: bool
    key_digest: str = ""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What the head of an answer says, decoded.

    Attributes:
        not_run: Whether the server says that it did not run the request.
        misdirected: Whether another server has the address.
        echo: Identifier of the request that it answers, or `NOTHING`.
        stamped: Whether it bears the server's signature.
        retry_after: Seconds after which to come back, `INVALID` if that
            cannot be read, or `NOTHING`.
        server_id: Server that gave it, if a relaying host tells.
        reason: `Reason` that a relaying host gives, or `NOTHING`.
        limit: Requests a second that the server takes from all hosts
            together, `INVALID` if that cannot be read, or `NOTHING`.
        leaving: Whether the server says that it leaves, or `INVALID`.
        turned_away: Whether the server has turned the request away; a time
            to come back is then a rest that it asks this host for.
    """

    not_run: bool = False
    misdirected: bool = False
    echoed_id: object = NOTHING
    signed: bool = False
    retry_after: object = NOTHING
    server_id: str = ""
    reason: object = NOTHING
    limit: object = NOTHING
    leaving: object = False
    rejected: bool = False

    @property
    def is_from_server(self):
        """Whether the server that was asked has given the answer.

        Bytes that are no answer bear no signature, and what another server
        says under the same address does not concern the one that was asked.
        """
        return (self.signed or self.not_run) and not self.misdirected


@dataclass(slots=True, eq=False)
class BufferedResponse:
    """A whole answer that was not passed on yet.

    Attributes:
        status: HTTP status.
        headers: Names and values to pass on.
        body: The body.
        head: The `ResponseHead`.
    """

    status: int
    headers: list
    body: bytes
    head: ResponseHead = field(default_factory=ResponseHead)


@implementer(IBodyProducer)
class BytesProducer:
    """A body that is written in one go, and knows whether it was."""

    def __init__(self, body):
        self.body = body
        self.length = len(body)
        self.written = False

    def startProducing(self, consumer):
        """Write all of it."""
        self.written = True
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self):
        """Do nothing; all is written."""

    def resumeProducing(self):
        """Do nothing; all is written."""

    def stopProducing(self):
        """Do nothing; all is written."""


class Attempt:
    """Carry out one attempt.

    Args:
        connections: The `Connections`.
        endpoint: `Endpoint` to the server or host.
        outgoing: The `OutgoingRequest`.
        read_head: Called with status and `Headers`; returns the
            `ResponseHead`.
        clock: The runtime's clock.
        on_stream: Called with the `BufferedResponse` without a body when a
            stream
            begins; returns the function that takes its whole events.
        on_first_data: Called when the head of an answer has come, or the first
            event of a stream.
        on_head: Called with the `ResponseHead` of an answer that the server
            itself has given.
    """

    def __init__(
        self,
        connections,
        endpoint,
        outgoing,
        read_head,
        clock,
        *,
        on_stream,
        on_first_data,
        on_head=lambda head: None,
    ):
        self.connections = connections
        self.endpoint = endpoint
        self.outgoing = outgoing
        self.read_head = read_head
        self.clock = clock
        self.on_stream = on_stream
        self.on_first_data = on_first_data
        self.on_head = on_head
        self.connection = NOTHING
        self.sent = False
        self.answer = NOTHING
        self.finding = Finding.CANCELLED
        self.events = 0
        self.first_data_received = False
        self.first_data_at = NOTHING
        self.head_received = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.abandon_reason = NOTHING
        self.was_silent = False
        self.cause = ""
        self.deferred = NOTHING

    def run(self):
        """Start the attempt; return a deferred of its outcome."""
        self.deferred = defer.ensureDeferred(self.carry_out())
        self.deferred.addErrback(self.handle_failure)
        return self.deferred

    @property
    def in_progress(self):
        """Whether it has begun and not ended, sent or not."""
        return self.deferred is not NOTHING and not self.deferred.called

    @property
    def broken_by_peer(self):
        """Whether the other side ended it before it was answered whole."""
        if not self.sent or self.abandon_reason is not NOTHING:
            return False
        return bool(self.cause)

    @property
    def ran_for(self):
        """Seconds from when it was sent to when it broke off."""
        return self.ended_at - self.sent_at

    @property
    def begun_for(self):
        """Seconds from the first of its answer to its end, or `NOTHING`."""
        if self.first_data_at is NOTHING:
            return NOTHING
        return self.ended_at - self.first_data_at

    def abandon(self, reason, *, silent=False):
        """Give the attempt up and close its connection.

        The close makes the server stop work that nobody waits for.

        Args:
            reason: The `Reason`.
            silent: Whether the server was silent for too long by then.
        """
        if self.abandon_reason is not NOTHING or self.deferred is NOTHING:
            return
        self.abandon_reason = reason
        self.was_silent = silent
        self.deferred.cancel()
        if self.connection is not NOTHING:
            self.connection.transport.abortConnection()

    async def carry_out(self):
        """Send the request and take the answer."""
        self.connection = await self.connections.open(
            self.endpoint, reuse=self.outgoing.repeatable
        )
        response = await self.request()
        self.head_received = True
        head = self.read_head(response.code, response.headers)
        self.check_echoed_id(head)
        if head.is_from_server:
            self.on_head(head)
        if self.outgoing.stream and response.code == 200:
            return await self.forward_stream(response, head)
        return await self.receive_response(response, head)

    def request(self):
        """Write the request; return a deferred of the answer's head."""
        body = (
            BytesProducer(self.outgoing.body) if self.outgoing.body else None
        )
        request = ClientRequest(
            self.outgoing.method,
            self.outgoing.uri,
            self.outgoing.headers,
            body,
            persistent=True,
        )
        self.sent = True
        self.sent_at = self.clock.seconds()
        return self.connection.request(request)

    def check_echoed_id(self, head):
        """Check that the answer is to this request.

        A server may send a second answer to an earlier request of the
        connection; taken for the answer to this one, a caller would get
        someone else's data.

        Raises:
            _WrongAnswer: It is someone else's.
        """
        if (
            head.echoed_id is not NOTHING
            and head.echoed_id != self.outgoing.id
        ):
            raise _InvalidResponse

    def note_first_data(self):
        """Tell once that the answer has begun."""
        if not self.first_data_received:
            self.first_data_received = True
            self.first_data_at = self.clock.seconds()
            self.on_first_data()

    async def receive_response(self, response, head):
        """Hold the whole answer and judge it."""
        body = await self.read(response, BodyCollector(MAX_RESPONSE_BYTES))
        self.answer = BufferedResponse(
            response.code, forwarded_headers(response), body, head
        )
        if head.misdirected:
            self.finding = Finding.MISDIRECTED
            return NotRun(Reason.REFUSED)
        if head.not_run:
            self.finding = Finding.FULL
            return self.refusal(head)
        if not head.signed and response.code < 300:
            raise _InvalidResponse
        self.note_first_data()
        self.finding = Finding.ANSWERED
        if response.code >= 500:
            self.finding = Finding.ERROR
        return Answered(response.code)

    def refusal(self, head):
        """Return the `NotRun` that the other side states.

        A server's own time to come back is meant for this host, not for
        its callers, whom others may serve.
        """
        if head.reason is NOTHING:
            return NotRun(Reason.REFUSED)
        if head.retry_after is NOTHING:
            return NotRun(head.reason)
        return NotRun(head.reason, head.retry_after)

    async def forward_stream(self, response, head):
        """Pass whole events on as they come."""
        if not head.signed:
            raise _InvalidResponse
        answer = BufferedResponse(
            response.code, forwarded_headers(response), b"", head
        )
        write = self.on_stream(answer, response)

        def on_events(events):
            self.note_first_data()
            self.events += 1
            write(events)

        await self.read(response, _EventReader(on_events))
        self.finding = Finding.ANSWERED
        return Answered(response.code)

    async def read(self, response, reader):
        """Read a body to its end.

        Raises:
            _Truncated: It ended early.
        """
        response.deliverBody(reader)
        await reader.done
        reason = reader.reason
        if reason.check(ResponseDone):
            return reader.body
        if reason.check(PotentialDataLoss) and self.closed_cleanly():
            return reader.body
        raise _TruncatedResponse

    def closed_cleanly(self):
        """Whether the other side closed the connection, not reset it."""
        lost = self.connection.lost_reason
        return lost is not NOTHING and bool(lost.check(error.ConnectionDone))

    def handle_failure(self, failure):
        """Return the outcome that a failure allows to claim."""
        self.cause = repr(failure.value)
        self.ended_at = self.clock.seconds()
        if self.connection is not NOTHING:
            self.connection.transport.abortConnection()
        if self.abandon_reason is not NOTHING:
            if self.was_silent:
                self.finding = Finding.SILENT
                # What silenced this connection may have silenced others.
                self.connections.close_idle(
                    self.endpoint.key, before=self.sent_at
                )
            outcome = Unknown if self.sent else NotRun
            return outcome(self.abandon_reason)
        if not self.sent:
            self.finding = Finding.UNREACHED
            return NotRun(Reason.CONNECT)
        if failure.check(_InvalidResponse):
            self.finding = Finding.ERROR
            return Unknown(Reason.BAD_ANSWER)
        if failure.check(_TruncatedResponse):
            self.finding = Finding.ERROR
            return Unknown(Reason.TRUNCATED)
        self.finding = Finding.SILENT
        return Unknown(Reason.CONNECTION_LOST)


class _InvalidResponse(Exception):  # noqa: N818 - never leaves this module
    """The answer is not one to this request."""


class _TruncatedResponse(Exception):  # noqa: N818 - never leaves this module
    """The answer ended before its end."""


class BodyCollector(protocol.Protocol):
    """Collect a body of limited length."""

    def __init__(self, limit):
        self.limit = limit
        self.parts = []
        self.size = 0
        self.reason = NOTHING
        self.done = defer.Deferred(self.cancel)

    @property
    def body(self):
        """What has come."""
        return b"".join(self.parts)

    def dataReceived(self, data):
        """Keep one part."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limit:
            self.transport.loseConnection()

    def connectionLost(self, reason):
        """Tell how it ended."""
        if not self.done.called:
            self.reason = reason
            self.done.callback(None)

    def cancel(self, done):
        """Do nothing; whoever cancels closes the connection."""


class _EventReader(BodyCollector):
    """Pass on whole events of a stream.

    Only whole events go on, so that a stream that another server goes on
    with neither repeats nor loses the event in which the first broke.
    """

    def __init__(self, on_events):
        super().__init__(MAX_RESPONSE_BYTES)
        self.on_events = on_events
        self.buffer = b""

    def dataReceived(self, data):
        """Pass on what is whole."""
        events, self.buffer = split_events(self.buffer + data)
        if events:
            self.on_events(events)


def silence_limit(predicted):
    """Return the seconds after which a server that has not begun is silent.

    Args:
        predicted: Seconds in which it was to begin.
    """
    return max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * predicted)


def split_events(data):
    """Return the whole events at the start of *data*, and the rest."""
    cut = 0
    for terminator in EVENT_TERMINATORS:
        found = data.rfind(terminator)
        if found >= 0:
            cut = max(cut, found + len(terminator))
    return data[:cut], data[cut:]


def forwarded_headers(response):
    """Return the headers of an answer that go to the caller."""
    return [
        (name, value)
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    ]
