"""One attempt of a request at a server, or at a host that relays it."""

from dataclasses import dataclass, field

from twisted.internet import defer, protocol
from twisted.web._newclient import Request as ClientRequest
from twisted.web._newclient import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..net.inprogress import Wait
from ..net.sinks import first_value
from ..traffic.serverhealth import AttemptResult
from .eventstreams import MAX_EVENT_BYTES, EventBuffer

__all__ = [
    "BufferedResponse",
    "Attempt",
    "ResponseHead",
    "OutgoingRequest",
    "silence_limit",
]

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum size of a response that is buffered whole in memory."""

MAX_CAUSE_CHARACTERS = 300
"""Maximum size of the cause of a failure in a log line. A malformed response
is quoted there."""

MIN_SILENCE_SECONDS = 0.9
SILENCE_FACTOR = 3.0
"""A server counts as silent if its response has not started after three times
the predicted time, and after `MIN_SILENCE_SECONDS` at least."""

EVENT_STREAM_TYPE = b"text/event-stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """Request that an attempt sends.

    Attributes:
        id: Identifier of the request, which the response must echo.
        method: HTTP method.
        uri: Path and query.
        headers: `Headers` to send, including a Host header.
        body: The body, possibly empty.
        stream: Whether a successful response is a stream of events.
        repeatable: Whether a pooled connection may be used.
        key_digest: Digest of the caller's key, or ""; the key is not sent.
        parts: Identifiers of the parts of its prompt that other requests may
            have too.
        isolated: Whether it runs isolated from requests that are suspected of
            server crashes.
    """

    id: bytes
    method: bytes
    uri: bytes
    headers: Headers
    body: bytes
    stream: bool
    repeatable: bool
    key_digest: str = ""
    parts: tuple = ()
    isolated: bool = False


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Decoded head of a response.

    Attributes:
        not_run: Whether the server states that it did not run the request.
        misdirected: Whether the address belongs to another server now.
        echoed_id: Identifier of the request to which it responds, or
            `NOTHING`.
        signed: Whether it carries the server's signature.
        retry_after: Seconds after which to retry, `INVALID` if the value
            cannot be parsed, or `NOTHING`.
        server_id: Server that produced it, if a relaying host names it.
        version: Version of that server, if a relaying host names it.
        reason: `Reason` that a relaying host gives, or `NOTHING`.
        limit: Requests a second that the server accepts from all hosts
            together, `INVALID` if the value cannot be parsed, or `NOTHING`.
        leaving: Whether the server announces that it is leaving, or `INVALID`.
        rejected: Whether the server has rejected the request. A Retry-After
            value then asks this host to pause its requests to the server.
        load: `ReportedLoad` of the server, `INVALID` if the value cannot be
            used, or `NOTHING`.
    """

    not_run: bool = False
    misdirected: bool = False
    echoed_id: object = NOTHING
    signed: bool = False
    retry_after: object = NOTHING
    server_id: str = ""
    version: str = ""
    reason: object = NOTHING
    limit: object = NOTHING
    leaving: object = False
    rejected: bool = False
    load: object = NOTHING

    @property
    def is_from_server(self):
        """Whether the response comes from the server that was asked.

        Data that is no valid response carries no signature, and the statements
        of another server at the same address do not concern the one that was
        asked.
        """
        return (self.signed or self.not_run) and not self.misdirected


@dataclass(slots=True, eq=False)
class BufferedResponse:
    """Complete response that has not been forwarded yet.

    Attributes:
        status: HTTP status.
        headers: Names and values to forward.
        body: The body.
        head: The `ResponseHead`.
    """

    status: int
    headers: list
    body: bytes
    head: ResponseHead = field(default_factory=ResponseHead)

    def take_body(self):
        """Return the body and drop it.

        Reference cycles of the attempt would keep it until they are collected.
        """
        body, self.body = self.body, b""
        return body


@implementer(IBodyProducer)
class BytesProducer:
    """Write a request body at once and record that it was written."""

    def __init__(self, body):
        self.body = body
        self.length = len(body)
        self.written = False

    def startProducing(self, consumer):
        """Write the whole body."""
        self.written = True
        consumer.write(self.body)
        self.body = b""
        return defer.succeed(None)

    def pauseProducing(self):
        """Do nothing, since the whole body has been written."""

    def resumeProducing(self):
        """Do nothing, since the whole body has been written."""

    def stopProducing(self):
        """Do nothing, since the whole body has been written."""


class Attempt:
    """Carry out one attempt.

    Args:
        connections: The `Connections`.
        endpoint: `Endpoint` of the server or host.
        outgoing: The `OutgoingRequest`.
        read_head: Called with status and `Headers`; returns the
            `ResponseHead`.
        clock: The runtime's clock.
        tracked: The `TrackedRequest` of the request, or `NOTHING`.
        on_stream: Called with a `BufferedResponse` without a body when a
            stream starts; returns the function that takes its complete events.
        on_first_data: Called when a complete response, or the first event of a
            stream, has been received.
        on_head: Called with the `ResponseHead` of a response that comes from
            the server itself.
        confirm: Coroutine function that is called with the `Connection` before
            the request is written; returns whether the server at its other end
            may get the request. `NOTHING` if that needs no confirmation.
        reject: Called with the `ResponseHead` of a stream before any event;
            returns the `Reason` for which the stream is not used, or
            `NOTHING`.
    """

    def __init__(
        self,
        connections,
        endpoint,
        outgoing,
        read_head,
        clock,
        *,
        tracked=NOTHING,
        on_stream,
        on_first_data,
        on_head=lambda head: None,
        confirm=NOTHING,
        reject=lambda head: NOTHING,
    ):
        self.connections = connections
        self.endpoint = endpoint
        self.outgoing = outgoing
        self.read_head = read_head
        self.clock = clock
        self.tracked = tracked
        self.on_stream = on_stream
        self.on_first_data = on_first_data
        self.on_head = on_head
        self.confirm = confirm
        self.reject = reject
        self.connection = NOTHING
        self.sent = False
        self.buffered_response = NOTHING
        self.result = AttemptResult.CANCELLED
        self.events = 0
        self.first_data_received = False
        self.first_data_at = NOTHING
        self.last_data_at = NOTHING
        self.head_received = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.abandon_reason = NOTHING
        self.was_silent = False
        self.framing = NOTHING
        self.incomplete_bytes = 0
        self.run_recorded = False
        self.cause = ""
        self.deferred = NOTHING

    def run(self):
        """Start the attempt; return a deferred of its outcome."""
        self.deferred = defer.ensureDeferred(self.carry_out())
        self.deferred.addErrback(self.handle_failure)
        return self.deferred

    @property
    def in_progress(self):
        """Whether it has started and not ended, sent or not."""
        return self.deferred is not NOTHING and not self.deferred.called

    @property
    def broken_by_peer(self):
        """Whether the other side ended it before the response was complete."""
        if not self.sent or self.result is AttemptResult.CANCELLED:
            return False
        return bool(self.cause) and self.abandon_reason is NOTHING

    @property
    def attempt_age(self):
        """Seconds from sending the request to its end."""
        return self.ended_at - self.sent_at

    @property
    def is_success(self):
        """Whether a complete response states no error."""
        if self.result is not AttemptResult.ANSWERED:
            return False
        response = self.buffered_response
        return response is NOTHING or response.status < 300

    @property
    def response_age(self):
        """Seconds from the first response data to the latest, or `NOTHING`.

        The time at which the end was noticed shows nothing: this process may
        have been stopped in between.
        """
        if self.first_data_at is NOTHING:
            return NOTHING
        return self.last_data_at - self.first_data_at

    def abandon(self, reason, *, silent=False):
        """Cancel the attempt and close its connection.

        The close makes the server stop work for which nobody waits. The
        connection of an attempt that has ended may carry another request.

        Args:
            reason: The `Reason`.
            silent: Whether the server had been silent for too long by then.
        """
        if self.abandon_reason is not NOTHING or not self.in_progress:
            return
        self.abandon_reason = reason
        self.was_silent = silent
        self.deferred.cancel()
        if self.connection is not NOTHING:
            self.connection.transport.abortConnection()

    async def carry_out(self):
        """Send the request and receive the response."""
        self.note_wait(Wait.CONNECTION)
        await self.connect()
        response = await self.request()
        self.head_received = True
        self.framing = self.connection.framing()
        head = self.read_head(response.code, response.headers)
        self.check_echoed_id(head)
        if head.is_from_server:
            self.on_head(head)
        if self.outgoing.stream and is_event_stream(response):
            return await self.forward_stream(response, head)
        return await self.receive_response(response, head)

    async def connect(self):
        """Open a connection that leads to the server that was chosen.

        A server may close the connection on which it was confirmed; another
        one is opened then.

        Raises:
            _RejectedResponse: It may lead to another server, or was closed
                again.
        """
        for reuse in (self.outgoing.repeatable, False):
            self.connection = await self.connections.open(
                self.endpoint, reuse=reuse
            )
            if self.confirm is NOTHING or await self.confirm_server():
                return
        raise _RejectedResponse(Reason.RESTARTED)

    async def confirm_server(self):
        """Return whether the connection is open after its confirmation.

        Raises:
            _RejectedResponse: It may lead to another server.
        """
        self.connection.reserved = True
        confirmed = await self.confirm(self.connection)
        self.connection.reserved = False
        if not confirmed:
            raise _RejectedResponse(Reason.RESTARTED)
        return self.connection.is_usable

    def request(self):
        """Write the request; return a deferred of the response's head."""
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
        self.note_wait(Wait.SERVER)
        return self.connection.request(request)

    def note_wait(self, wait):
        """Record what the request waits for."""
        if self.tracked is not NOTHING:
            self.tracked.waits_for = wait

    def check_echoed_id(self, head):
        """Check that the response belongs to this request.

        A server may send a second response to an earlier request of the
        connection. If that were taken for the response to this request, a
        caller would receive another caller's data.

        Raises:
            _InvalidResponse: It belongs to another request.
        """
        if (
            head.echoed_id is not NOTHING
            and head.echoed_id != self.outgoing.id
        ):
            raise _InvalidResponse

    def note_data(self):
        """Take the time, and report once that the response has started."""
        self.last_data_at = self.clock.seconds()
        if not self.first_data_received:
            self.first_data_received = True
            self.first_data_at = self.last_data_at
            self.on_first_data()

    async def receive_response(self, response, head):
        """Buffer the whole response and classify it."""
        collector = BodyCollector(
            MAX_RESPONSE_BYTES, self.connections.large_bodies
        )
        body = await self.read(response, collector)
        self.buffered_response = BufferedResponse(
            response.code, forwarded_headers(response), body, head
        )
        if head.misdirected:
            self.result = AttemptResult.MISDIRECTED
            return NotRun(Reason.REFUSED)
        if head.not_run:
            self.result = AttemptResult.FULL
            return self.refusal(head)
        if not head.signed and response.code < 300:
            raise _InvalidResponse
        self.note_data()
        self.result = AttemptResult.ANSWERED
        self.ended_at = self.clock.seconds()
        if response.code >= 500:
            self.result = AttemptResult.ERROR
        return Answered(response.code)

    def refusal(self, head):
        """Return the `NotRun` that the other side states.

        A Retry-After value of a server is meant for this host and not for its
        callers, as other servers may accept their requests.
        """
        if head.reason is NOTHING:
            return NotRun(Reason.REFUSED)
        if head.retry_after is NOTHING:
            return NotRun(head.reason)
        return NotRun(head.reason, head.retry_after)

    async def forward_stream(self, response, head):
        """Forward complete events as they arrive."""
        if not head.signed:
            raise _InvalidResponse
        reason = self.reject(head)
        if reason is not NOTHING:
            raise _RejectedResponse(reason)
        buffered_response = BufferedResponse(
            response.code, forwarded_headers(response), b"", head
        )
        write = self.on_stream(buffered_response, response)

        def on_events(events):
            self.note_data()
            self.events += 1
            write(events)

        reader = _EventReader(on_events)
        try:
            await self.read(response, reader)
        finally:
            self.incomplete_bytes = len(reader.buffer)
        self.result = AttemptResult.ANSWERED
        self.ended_at = self.clock.seconds()
        return Answered(response.code)

    async def read(self, response, reader):
        """Read a body to its end.

        Raises:
            _TruncatedResponse: It ended early.
            _OversizedResponse: It is larger than this host buffers.
            _InvalidResponse: One of its events is too large.
        """
        response.deliverBody(reader)
        await reader.done
        if reader.overflowed:
            raise reader.overflow_error
        if not self.is_complete(reader):
            raise _TruncatedResponse
        return reader.take_body()

    def is_complete(self, reader):
        """Return whether a body has ended where its server meant it to end.

        The close of a connection shows this only if the content agrees: a
        server that fails closes its connections as well.
        """
        closed = bool(reader.reason.check(PotentialDataLoss))
        if closed and not self.connection.is_closed_cleanly():
            return False
        if not closed and not reader.reason.check(ResponseDone):
            return False
        return reader.may_end(by_close=closed)

    def end_details(self):
        """Return the log fields on how the response was framed and ended."""
        return {
            "framing": self.framing,
            "incomplete_bytes": self.incomplete_bytes,
        }

    def handle_failure(self, failure):
        """Return the outcome that can be concluded from a failure."""
        self.cause = repr(failure.value)[:MAX_CAUSE_CHARACTERS]
        self.ended_at = self.clock.seconds()
        if self.connection is not NOTHING:
            self.connection.transport.abortConnection()
        if self.abandon_reason is not NOTHING:
            if self.was_silent:
                self.result = AttemptResult.SILENT
                # Its other idle connections may be unusable for this reason.
                self.connections.close_idle(
                    self.endpoint.key, before=self.sent_at
                )
            outcome = Unknown if self.sent else NotRun
            return outcome(self.abandon_reason)
        if failure.check(_RejectedResponse):
            self.result = AttemptResult.CANCELLED
            outcome = Unknown if self.sent else NotRun
            return outcome(failure.value.reason)
        if not self.sent:
            self.result = AttemptResult.UNREACHED
            return NotRun(Reason.CONNECT)
        if failure.check(_InvalidResponse):
            self.result = AttemptResult.ERROR
            return Unknown(Reason.BAD_ANSWER)
        if failure.check(_TruncatedResponse):
            self.result = AttemptResult.ERROR
            return Unknown(Reason.TRUNCATED)
        if failure.check(_OversizedResponse):
            self.result = AttemptResult.CANCELLED
            return Unknown(Reason.RESPONSE_TOO_LARGE)
        self.result = AttemptResult.SILENT
        return Unknown(Reason.CONNECTION_LOST)


class _InvalidResponse(Exception):  # noqa: N818 - never leaves this module
    """The response is not a valid one to this request."""


class _TruncatedResponse(Exception):  # noqa: N818 - never leaves this module
    """The response ended before it was complete."""


class _RejectedResponse(Exception):  # noqa: N818 - never leaves this module
    """The server, or its valid response, may not be used for this request.

    Attributes:
        reason: The `Reason`.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class _OversizedResponse(Exception):  # noqa: N818 - never leaves this module
    """The response is larger than this host buffers."""


class BodyCollector(protocol.Protocol):
    """Collect a body up to a maximum size.

    Args:
        limit: The maximum size in bytes.
        large_bodies: The `LargeBodies` that bound the size of all together, or
            `NOTHING`.

    Attributes:
        size: Bytes received so far.
        reason: Failure that tells how the body ended, or `NOTHING`.
        overflowed: Whether it exceeded the maximum. This side then closed
            the connection, so that its end shows nothing.
        overflow_error: Type of the exception to raise in that case.
    """

    overflow_error = _OversizedResponse

    def __init__(self, limit, large_bodies=NOTHING):
        self.limit = limit
        self.large_bodies = large_bodies
        self.parts = []
        self.size = 0
        self.reason = NOTHING
        self.overflowed = False
        self.done = defer.Deferred(self.cancel)

    @property
    def body(self):
        """Body received so far."""
        return b"".join(self.parts)

    def take_body(self):
        """Return the body and drop its parts."""
        body = self.body
        self.parts.clear()
        return body

    def may_end(self, *, by_close):
        """Return whether the content may end here; any body may.

        Args:
            by_close: Whether only the close of the connection ended it.
        """
        return True

    def dataReceived(self, data):
        """Store one part, and close the connection above the maximum size."""
        if self.overflowed:
            return
        self.size += len(data)
        self.parts.append(data)
        if self.size > self.limit:
            self.overflow()
        elif self.large_bodies is not NOTHING:
            self.large_bodies.note(self)

    def overflow(self):
        """Close the connection of a body that is too large."""
        self.overflowed = True
        self.parts.clear()
        self.transport.loseConnection()

    def connectionLost(self, reason):
        """Record how the body ended, and fire the deferred."""
        if self.large_bodies is not NOTHING:
            self.large_bodies.discard(self)
        if not self.done.called:
            self.reason = reason
            self.done.callback(None)

    def cancel(self, done):
        """Do nothing; the code that cancels closes the connection."""


class _EventReader(BodyCollector):
    """Forward complete events of a stream.

    Only complete events are forwarded, so that a stream that is resumed at
    another server neither repeats nor loses the event during which the first
    server failed.
    """

    overflow_error = _InvalidResponse

    def __init__(self, on_events):
        super().__init__(MAX_EVENT_BYTES)
        self.on_events = on_events
        self.buffer = EventBuffer()

    def may_end(self, *, by_close):
        """Return whether no event has begun and not ended.

        A close before the first event is no end: a server that fails as it
        begins looks the same.
        """
        if by_close and self.size == len(self.buffer):
            return False
        return not self.buffer.has_event

    def dataReceived(self, data):
        """Forward the events that are complete."""
        if self.overflowed:
            return
        self.size += len(data)
        events = self.buffer.add(data)
        if events:
            self.on_events(events)
        if len(self.buffer) > self.limit:
            self.overflow()


def silence_limit(predicted):
    """Return the seconds after which a server counts as silent.

    Args:
        predicted: Predicted seconds to the start of the response.
    """
    return max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * predicted)


def is_event_stream(response):
    """Return whether a response to a stream request is a stream.

    A server may respond with one whole document instead, which its content
    type shows.
    """
    if response.code != 200:
        return False
    content_type = first_value(response.headers, b"content-type").lower()
    return not content_type or content_type.startswith(EVENT_STREAM_TYPE)


def forwarded_headers(response):
    """Return the headers of a response that are forwarded to the caller."""
    return [
        (name, value)
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    ]
