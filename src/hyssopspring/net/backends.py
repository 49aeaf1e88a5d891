"""Attempts at backend servers and other hosts over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO

import msgspec
from twisted.internet import defer, error, protocol
from twisted.web.client import (
    FileBodyProducer,
    ResponseDone,
    ResponseFailed,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from ..core.events import EventKind
from ..core.exceptions import ProtocolError
from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.requests import TargetKind
from ..core.sentinels import NOTHING
from .clients import read_body

END_MARK = b"data: [DONE]"
"""Last event of a complete stream."""

EVENT_END = b"\n\n"
EVENT_ID = b"id: "
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of one event, which is buffered until it is complete."""

MAX_RESUMES = 3
"""Attempts to resume one stream."""

RESUME_DELAY_SECONDS = 0.05
"""Delay before the first attempt to resume; it grows linearly."""

CANCEL_TIMEOUT_SECONDS = 2.0
"""Time for an engine to respond to a cancellation."""

NOT_RUN_HEADER = b"hyssop-not-run"
RELAYED_HEADERS = (b"content-type",)
"""Response headers that are passed on to the caller."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """The HTTP request that an attempt sends.

    Attributes:
        id: Identifier of the attempt, which the response must echo.
        method: HTTP method.
        url: Absolute URL.
        headers: Names and values of the headers.
        body: Body, possibly empty.
        stream: Whether the response is an event stream with an end mark.
        repeatable: Whether the request may run more than once.
        resume_url: URL at which a stream is resumed or cancelled, or empty
            bytes.
        refusal: Returns the outcome that a response reports in place of a
            result, or `NOTHING`; `parse_refusal` if it is not set.
    """

    id: str
    method: bytes
    url: bytes
    headers: tuple
    body: bytes
    stream: bool
    repeatable: bool
    resume_url: bytes = b""
    refusal: Callable = NOTHING


class WriteTrackingProducer(FileBodyProducer):
    """A body producer that records whether the request was written.

    The headers are written just before the body producer is started. If
    it was never started, the server has received no byte of the request.
    """

    written = False

    def startProducing(self, consumer):
        """Record that the request is being written."""
        self.written = True
        return super().startProducing(consumer)


class BackendClient:
    """Execute attempts over HTTP.

    Args:
        pooled: Agent that reuses connections.
        unpooled: Agent that opens a connection for each request.
        clock: The clock (the reactor).
        timeline: The `Timeline`, the event log.
        account: `ClientAccount` of the process, or `NOTHING`.
    """

    def __init__(self, pooled, unpooled, clock, timeline, account=NOTHING):
        self.pooled = pooled
        self.unpooled = unpooled
        self.clock = clock
        self.timeline = timeline
        self.account = account

    def send(self, outgoing, sink, *, deadline, on_load):
        """Execute one attempt.

        Args:
            outgoing: The `OutgoingRequest`.
            sink: Object that the response is written to; it has
                ``start(status, headers, length=NOTHING)``, ``write(data)`` and
                ``set_producer(producer)``.
            deadline: Time on the clock by which the attempt must have ended.
            on_load: Called with the load report in the response headers.

        Returns:
            Deferred of an outcome. Cancelling it cancels the attempt.
        """
        attempt = _Attempt(self, outgoing, sink, on_load, deadline)
        work = defer.ensureDeferred(attempt.run())
        remaining = max(0.001, deadline - self.clock.seconds())
        work.addTimeout(remaining, self.clock)
        work.addErrback(attempt.to_outcome)
        return work

    def cancel(self, outgoing):
        """Cancel an unfinished attempt at the engine.

        Without it, the engine would continue to generate tokens that
        nobody reads, and load from cancelled requests would accumulate.
        """
        if not outgoing.resume_url:
            return
        work = self.unpooled.request(b"DELETE", outgoing.resume_url)
        work.addTimeout(CANCEL_TIMEOUT_SECONDS, self.clock)
        work.addCallback(read_body)
        work.addErrback(lambda _: None)


class _Attempt:
    """One attempt in progress."""

    def __init__(self, client, outgoing, sink, on_load, deadline):
        self.client = client
        self.outgoing = outgoing
        self.sink = sink
        self.on_load = on_load
        self.deadline = deadline
        self.producer = NOTHING
        self.complete = False
        self.started = False
        self.ended = False
        self.last_event = -1
        self.resumes = 0

    async def run(self):
        """Send the request, receive the response and return the outcome."""
        response = await self.request()
        self.report_load(response)
        find_refusal = self.outgoing.refusal or parse_refusal
        refusal = find_refusal(response)
        if refusal is not NOTHING:
            await self.discard(response)
            self.ended = True
            return refusal
        self.check_request_id(response)
        if response.code >= 500:
            await self.discard(response)
            return Unknown(Reason.SERVER_ERROR)
        if self.outgoing.stream and response.code == 200:
            return await self.receive_stream(response)
        return await self.receive_whole(response)

    def request(self):
        """Send the request and return a deferred of the response.

        The server may close a pooled connection while the request is
        being written to it; whether the request ran is then unknown. A
        request that must not be repeated therefore uses a new connection,
        which fails before anything is written.
        """
        outgoing = self.outgoing
        agent = (
            self.client.pooled if outgoing.repeatable else self.client.unpooled
        )
        self.producer = WriteTrackingProducer(
            BytesIO(outgoing.body), cooperator=_ImmediateCooperator()
        )
        headers = Headers()
        for name, value in outgoing.headers:
            headers.addRawHeader(name, value)
        headers.setRawHeaders(b"x-request-id", [outgoing.id.encode()])
        return agent.request(
            outgoing.method, outgoing.url, headers, self.producer
        )

    async def discard(self, response):
        """Read and discard the body of a response."""
        await read_body(response)

    def report_load(self, response):
        """Pass the load report in the response headers to the callback."""
        values = response.headers.getRawHeaders(b"x-load")
        if values:
            self.on_load(values[0])

    def check_request_id(self, response):
        """Check that the response echoes the identifier of this attempt.

        Raises:
            ProtocolError: The response belongs to another request.
        """
        values = response.headers.getRawHeaders(b"x-request-id")
        if not values or values[0] != self.outgoing.id.encode():
            raise ProtocolError(
                "the response does not echo the request identifier"
            )

    async def receive_whole(self, response):
        """Buffer the response, check it and write it to the sink."""
        body = await read_body(response, account=self.client.account)
        self.complete = True
        if self.outgoing.resume_url and not is_json(body):
            raise ProtocolError("the response body is not JSON")
        self.ended = True
        headers = select_headers(response)
        self.sink.start(response.code, headers, length=len(body))
        self.sink.write(body)
        return Answered(response.code)

    async def receive_stream(self, response):
        """Write events to the sink until the end mark; resume if aborted."""
        while True:
            if not self.started:
                self.started = True
                self.sink.start(response.code, select_headers(response))
            reader = _EventReader(self)
            response.deliverBody(reader)
            self.sink.set_producer(reader.transport)
            await reader.done
            if reader.overflowed:
                raise ProtocolError("an event of the stream is too large")
            if self.complete:
                self.ended = True
                return Answered(response.code)
            response = await self.resume()
            if response is NOTHING:
                return Unknown(Reason.TRUNCATED)

    async def resume(self):
        """Request the rest of the stream from the same server.

        Returns:
            The response, or `NOTHING` if the stream cannot be resumed.
        """
        if self.last_event < 0 or not self.outgoing.resume_url:
            return NOTHING
        while self.resumes < MAX_RESUMES:
            self.resumes += 1
            await self.wait_before_retry()
            try:
                response = await self.request_remaining()
            except (error.ConnectError, ResponseFailed):
                continue
            if response.code != 200:
                await self.discard(response)
                return NOTHING
            self.check_request_id(response)
            self.client.timeline.note(
                EventKind.RESUMED,
                request=self.outgoing.id,
                after=self.last_event,
            )
            return response
        return NOTHING

    def request_remaining(self):
        """Request the events after the last complete one."""
        last = str(self.last_event).encode()
        headers = Headers({b"last-event-id": [last]})
        return self.client.unpooled.request(
            b"GET", self.outgoing.resume_url, headers
        )

    def wait_before_retry(self):
        """Return a deferred that fires after the delay before a retry."""
        waited = defer.Deferred()
        delayed = self.client.clock.callLater(
            RESUME_DELAY_SECONDS * self.resumes, waited.callback, None
        )
        waited._canceller = lambda _: delayed.cancel()
        return waited

    def to_outcome(self, failure):
        """Return the outcome of a failed attempt.

        Returns:
            `NotRun` if nothing was written, `Unknown` if the request may
            have run, or *failure* itself if it is unexpected.
        """
        if not self.ended and self.written:
            self.client.cancel(self.outgoing)
        if failure.check(error.ConnectError, error.TimeoutError):
            return NotRun(Reason.CONNECT)
        if not self.written:
            return NotRun(Reason.CONNECT)
        if self.client.clock.seconds() >= self.deadline:
            return Unknown(Reason.DEADLINE)
        if failure.check(defer.CancelledError):
            return Unknown(Reason.CALLER_GONE)
        if failure.check(ProtocolError):
            return Unknown(Reason.BAD_ANSWER)
        if failure.check(
            ResponseFailed,
            PotentialDataLoss,
            error.ConnectionLost,
            error.ConnectionDone,
        ):
            return Unknown(Reason.CONNECTION_LOST)
        return failure

    @property
    def written(self):
        """Whether the server may have received any of the request."""
        return self.producer is not NOTHING and self.producer.written


class _EventReader(protocol.Protocol):
    """Write the complete events of a stream to the sink on arrival.

    Only complete events are written, so that a resumed stream neither
    repeats nor loses the event during which the connection was aborted.
    """

    def __init__(self, attempt):
        self.attempt = attempt
        self.buffer = b""
        self.overflowed = False
        self.done = defer.Deferred(self.cancel)

    def dataReceived(self, data):
        """Buffer *data* and handle all complete events."""
        if self.overflowed:
            return
        buffer = self.buffer + data
        end = buffer.rfind(EVENT_END)
        end = end + len(EVENT_END) if end >= 0 else 0
        self.buffer = buffer[end:]
        if end:
            self.handle_events(buffer[:end])
        if len(self.buffer) > MAX_EVENT_BYTES:
            self.overflowed = True
            self.transport.loseConnection()

    def handle_events(self, events):
        """Record the last number and the end mark; write the events."""
        last = last_event_id(events)
        if last >= 0:
            self.attempt.last_event = last
        if events.endswith(END_MARK + EVENT_END):
            self.attempt.complete = True
        self.attempt.sink.write(events)

    def connectionLost(self, reason):
        """Fire *done* with whether the response ended properly."""
        if not self.done.called:
            self.done.callback(reason.check(ResponseDone) is not None)

    def cancel(self, done):
        """Close the connection of a cancelled attempt."""
        if self.transport is not None:
            self.transport.loseConnection()


class _ImmediateCooperator:
    """Cooperator that writes a body at once, since bodies are in memory."""

    def cooperate(self, iterator):
        """Run *iterator* to its end and return a completed task."""
        return _CompletedTask(iterator)


class _CompletedTask:
    """Cooperator task of a body that has been written."""

    def __init__(self, iterator):
        for _ in iterator:
            pass

    def whenDone(self):
        """Return a deferred that has fired."""
        return defer.succeed(None)

    def stop(self):
        """Do nothing, since the task is complete."""

    def pause(self):
        """Do nothing, since the task is complete."""

    def resume(self):
        """Do nothing, since the task is complete."""


def last_event_id(events):
    """Return the number of the last numbered event, or -1.

    Data lines are JSON, which contains no unescaped line break, so a
    line that starts with the field name is that field.
    """
    start = events.rfind(b"\n" + EVENT_ID) + 1
    if not events.startswith(EVENT_ID, start):
        return -1
    end = events.find(b"\n", start)
    digits = events[start + len(EVENT_ID) : end].strip()
    return int(digits) if digits.isdigit() else -1


def parse_refusal(response):
    """Return `NotRun` if the server reports that it did not run it."""
    values = response.headers.getRawHeaders(NOT_RUN_HEADER)
    if values:
        if values[0] == b"leaving":
            return NotRun(Reason.LEAVING)
        return NotRun(Reason.REFUSED)
    if response.code == 429:
        return NotRun(Reason.REFUSED)
    return NOTHING


def select_headers(response):
    """Return the response headers that are passed on to the caller."""
    return [
        (name, value)
        for name in RELAYED_HEADERS
        for value in response.headers.getRawHeaders(name, [])
    ]


def is_json(body):
    """Whether *body* is JSON."""
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.DecodeError:
        return False
    return True


def build_backend_request(request, attempt, target, address, message):
    """Return the `OutgoingRequest` of an attempt at a backend server.

    Args:
        request: The `Request`.
        attempt: Identifier of the attempt.
        target: The requested target or one of its fallbacks.
        address: Address of the server as ``ip:port``.
        message: The caller's `CallerMessage`.
    """
    base = b"http://" + address.encode()
    headers = [
        (b"content-type", message.content_type),
        (b"x-priority", str(int(request.priority)).encode()),
    ]
    if request.key is not NOTHING:
        headers.append((b"idempotency-key", request.key.encode()))
    resume_url = b""
    if target.kind is TargetKind.MODEL:
        resume_url = base + b"/v1/streams/" + attempt.encode()
    return OutgoingRequest(
        id=attempt,
        method=message.method,
        url=base + message.resource,
        headers=tuple(headers),
        body=message.body_for(target, request.target),
        stream=request.stream,
        repeatable=request.repeatable,
        resume_url=resume_url,
    )


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """The HTTP part of a caller's request.

    Attributes:
        method: HTTP method.
        resource: Path and query for the backend server.
        content_type: Type of the body.
        body: The body.
    """

    method: bytes
    resource: bytes
    content_type: bytes
    body: bytes

    def body_for(self, target, requested):
        """Return the body, with the model replaced if *target* is a fallback.

        Args:
            target: Target of the attempt.
            requested: Target that the caller requested.
        """
        if target == requested:
            return self.body
        values = msgspec.json.decode(self.body)
        values["model"] = target.name
        return msgspec.json.encode(values)
