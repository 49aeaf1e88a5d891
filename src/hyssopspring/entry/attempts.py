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
from ..traffic.serverhealth import AttemptResult

__all__ = [
    "Answer",
    "Attempt",
    "Head",
    "Sending",
    "silence_limit",
    "split_events",
]

LONGEST_ANSWER = 16 * 1024 * 1024
"""Bytes of the longest answer that is held whole in memory."""

SILENT_SECONDS = 0.9
SILENT_FACTOR = 3.0
"""A server that has not begun after three times the predicted time, and
this many seconds at least, is taken as silent."""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True, slots=True, kw_only=True)
class Sending:
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
class Head:
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
    echo: object = NOTHING
    stamped: bool = False
    retry_after: object = NOTHING
    server_id: str = ""
    reason: object = NOTHING
    limit: object = NOTHING
    leaving: object = False
    turned_away: bool = False

    @property
    def is_of_server(self):
        """Whether the server that was asked has given the answer.

        Bytes that are no answer bear no signature, and what another server
        says under the same address does not concern the one that was asked.
        """
        return (self.stamped or self.not_run) and not self.misdirected


@dataclass(slots=True, eq=False)
class Answer:
    """A whole answer that was not passed on yet.

    Attributes:
        status: HTTP status.
        headers: Names and values to pass on.
        body: The body.
        head: The `Head`.
    """

    status: int
    headers: list
    body: bytes
    head: Head = field(default_factory=Head)


@implementer(IBodyProducer)
class WholeBody:
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
        lane: `Lane` to the server or host.
        sending: The `Sending`.
        read_head: Called with status and `Headers`; returns the `Head`.
        clock: The runtime's clock.
        opened: Called with the `Answer` without a body when a stream
            begins; returns the function that takes its whole events.
        started: Called when the head of an answer has come, or the first
            event of a stream.
        heard: Called with the `Head` of an answer that the server itself
            has given.
    """

    def __init__(
        self,
        connections,
        lane,
        sending,
        read_head,
        clock,
        *,
        opened,
        started,
        heard=lambda head: None,
    ):
        self.connections = connections
        self.lane = lane
        self.sending = sending
        self.read_head = read_head
        self.clock = clock
        self.opened = opened
        self.started = started
        self.heard = heard
        self.connection = NOTHING
        self.sent = False
        self.answer = NOTHING
        self.finding = AttemptResult.CANCELLED
        self.events = 0
        self.first_seen = False
        self.first_at = NOTHING
        self.headed = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.abandon_reason = NOTHING
        self.was_silent = False
        self.cause = ""
        self.work = NOTHING

    def run(self):
        """Start the attempt; return a deferred of its outcome."""
        self.work = defer.ensureDeferred(self.carry_out())
        self.work.addErrback(self.failed)
        return self.work

    @property
    def in_progress(self):
        """Whether it has begun and not ended, sent or not."""
        return self.work is not NOTHING and not self.work.called

    @property
    def broke_off(self):
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
        if self.first_at is NOTHING:
            return NOTHING
        return self.ended_at - self.first_at

    def abandon(self, reason, *, silent=False):
        """Give the attempt up and close its connection.

        The close makes the server stop work that nobody waits for.

        Args:
            reason: The `Reason`.
            silent: Whether the server was silent for too long by then.
        """
        if self.abandon_reason is not NOTHING or self.work is NOTHING:
            return
        self.abandon_reason = reason
        self.was_silent = silent
        self.work.cancel()
        if self.connection is not NOTHING:
            self.connection.transport.abortConnection()

    async def carry_out(self):
        """Send the request and take the answer."""
        self.connection = await self.connections.open(
            self.lane, kept=self.sending.repeatable
        )
        response = await self.request()
        self.headed = True
        head = self.read_head(response.code, response.headers)
        self.check_echo(head)
        if head.is_of_server:
            self.heard(head)
        if self.sending.stream and response.code == 200:
            return await self.take_stream(response, head)
        return await self.take_whole(response, head)

    def request(self):
        """Write the request; return a deferred of the answer's head."""
        body = WholeBody(self.sending.body) if self.sending.body else None
        request = ClientRequest(
            self.sending.method,
            self.sending.uri,
            self.sending.headers,
            body,
            persistent=True,
        )
        self.sent = True
        self.sent_at = self.clock.seconds()
        return self.connection.request(request)

    def check_echo(self, head):
        """Check that the answer is to this request.

        A server may send a second answer to an earlier request of the
        connection; taken for the answer to this one, a caller would get
        someone else's data.

        Raises:
            _WrongAnswer: It is someone else's.
        """
        if head.echo is not NOTHING and head.echo != self.sending.id:
            raise _WrongAnswer

    def first(self):
        """Tell once that the answer has begun."""
        if not self.first_seen:
            self.first_seen = True
            self.first_at = self.clock.seconds()
            self.started()

    async def take_whole(self, response, head):
        """Hold the whole answer and judge it."""
        body = await self.read(response, Collector(LONGEST_ANSWER))
        self.answer = Answer(
            response.code, passed_headers(response), body, head
        )
        if head.misdirected:
            self.finding = AttemptResult.MISDIRECTED
            return NotRun(Reason.REFUSED)
        if head.not_run:
            self.finding = AttemptResult.FULL
            return self.refusal(head)
        if not head.stamped and response.code < 300:
            raise _WrongAnswer
        self.first()
        self.finding = AttemptResult.ANSWERED
        if response.code >= 500:
            self.finding = AttemptResult.ERROR
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

    async def take_stream(self, response, head):
        """Pass whole events on as they come."""
        if not head.stamped:
            raise _WrongAnswer
        answer = Answer(response.code, passed_headers(response), b"", head)
        write = self.opened(answer, response)

        def take(events):
            self.first()
            self.events += 1
            write(events)

        await self.read(response, _EventReader(take))
        self.finding = AttemptResult.ANSWERED
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
        if reason.check(PotentialDataLoss) and self.closed_in_order():
            return reader.body
        raise _Truncated

    def closed_in_order(self):
        """Whether the other side closed the connection, not reset it."""
        lost = self.connection.lost_reason
        return lost is not NOTHING and bool(lost.check(error.ConnectionDone))

    def failed(self, failure):
        """Return the outcome that a failure allows to claim."""
        self.cause = repr(failure.value)
        self.ended_at = self.clock.seconds()
        if self.connection is not NOTHING:
            self.connection.transport.abortConnection()
        if self.abandon_reason is not NOTHING:
            if self.was_silent:
                self.finding = AttemptResult.SILENT
                # What silenced this connection may have silenced others.
                self.connections.forget(self.lane.key, before=self.sent_at)
            outcome = Unknown if self.sent else NotRun
            return outcome(self.abandon_reason)
        if not self.sent:
            self.finding = AttemptResult.UNREACHED
            return NotRun(Reason.CONNECT)
        if failure.check(_WrongAnswer):
            self.finding = AttemptResult.ERROR
            return Unknown(Reason.BAD_ANSWER)
        if failure.check(_Truncated):
            self.finding = AttemptResult.ERROR
            return Unknown(Reason.TRUNCATED)
        self.finding = AttemptResult.SILENT
        return Unknown(Reason.CONNECTION_LOST)


class _WrongAnswer(Exception):  # noqa: N818 - never leaves this module
    """The answer is not one to this request."""


class _Truncated(Exception):  # noqa: N818 - never leaves this module
    """The answer ended before its end."""


class Collector(protocol.Protocol):
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


class _EventReader(Collector):
    """Pass on whole events of a stream.

    Only whole events go on, so that a stream that another server goes on
    with neither repeats nor loses the event in which the first broke.
    """

    def __init__(self, take):
        super().__init__(LONGEST_ANSWER)
        self.take = take
        self.buffer = b""

    def dataReceived(self, data):
        """Pass on what is whole."""
        events, self.buffer = split_events(self.buffer + data)
        if events:
            self.take(events)


def silence_limit(predicted):
    """Return the seconds after which a server that has not begun is silent.

    Args:
        predicted: Seconds in which it was to begin.
    """
    return max(SILENT_SECONDS, SILENT_FACTOR * predicted)


def split_events(data):
    """Return the whole events at the start of *data*, and the rest."""
    cut = 0
    for end in EVENT_ENDS:
        found = data.rfind(end)
        if found >= 0:
            cut = max(cut, found + len(end))
    return data[:cut], data[cut:]


def passed_headers(response):
    """Return the headers of an answer that go to the caller."""
    return [
        (name, value)
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    ]
