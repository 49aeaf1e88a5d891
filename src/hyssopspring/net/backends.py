"""Attempts at backend servers over HTTP."""

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
EVENT_END = b"\n\n"
EVENT_ID = b"id: "
MAX_RESUMES = 3
RESUME_DELAY_SECONDS = 0.05
CANCEL_TIMEOUT_SECONDS = 2.0
NOT_RUN_HEADER = b"hyssop-not-run"
RELAYED_HEADERS = (b"content-type",)


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """What an attempt sends.

    Attributes:
        id: Identifier of the attempt, which the answer must echo.
        method: HTTP method.
        url: Whole address.
        headers: Names and values to send.
        body: Body, maybe empty.
        stream: Whether the answer comes in parts with an end mark.
        repeatable: Whether a second run would do no harm.
        resume_url: Where a stream can be resumed or cancelled, or an
            empty string.
        refusal: Tells from an answer's head whether it is an outcome
            other than an answer; returns that or `NOTHING`.
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
    """A body that knows whether any byte of the request was written.

    The headers are written just before the body is started, so a body
    that was never started proves that the server has seen nothing.
    """

    written = False

    def startProducing(self, consumer):
        """Note that the request is on its way."""
        self.written = True
        return super().startProducing(consumer)


class BackendClient:
    """Carry out attempts.

    Args:
        pooled: Agent that keeps connections.
        fresh: Agent that opens a connection for each request.
        clock: The runtime's clock.
        timeline: The `Timeline`.
    """

    def __init__(self, pooled, unpooled, clock, timeline):
        self.pooled = pooled
        self.unpooled = unpooled
        self.clock = clock
        self.timeline = timeline

    def send(self, call, sink, *, deadline, on_load):
        """Carry out one attempt.

        Args:
            call: The `OutgoingRequest`.
            sink: Where the answer goes; it offers ``start(status,
                headers, length=NOTHING)``, ``write(data)`` and
                ``set_producer(producer)``.
            deadline: Time on the clock by which it must have ended.
            on_load: Called with the load that rides on the answer.

        Returns:
            Deferred of an outcome. Cancelling it abandons the attempt.
        """
        attempt = _Attempt(self, call, sink, on_load, deadline)
        work = defer.ensureDeferred(attempt.run())
        remaining = max(0.001, deadline - self.clock.seconds())
        work.addTimeout(remaining, self.clock)
        work.addErrback(attempt.to_outcome)
        return work

    def cancel(self, call):
        """Tell the engine to stop work on an abandoned attempt.

        Without it the engine would go on making tokens that nobody
        reads, and load from given-up requests would pile up.
        """
        if not call.resume_url:
            return
        work = self.unpooled.request(b"DELETE", call.resume_url)
        work.addTimeout(CANCEL_TIMEOUT_SECONDS, self.clock)
        work.addCallback(read_body)
        work.addErrback(lambda _: None)


class _Attempt:
    """One attempt in progress."""

    def __init__(self, client, call, sink, on_load, deadline):
        self.client = client
        self.call = call
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
        """Send the request and take the answer."""
        response = await self.request()
        self.report_load(response)
        find_refusal = self.call.refusal or parse_refusal
        refusal = find_refusal(response)
        if refusal is not NOTHING:
            await self.discard(response)
            self.ended = True
            return refusal
        self.check_request_id(response)
        if response.code >= 500:
            await self.discard(response)
            return Unknown(Reason.SERVER_ERROR)
        if self.call.stream and response.code == 200:
            return await self.receive_stream(response)
        return await self.receive_whole(response)

    def request(self):
        """Start the request.

        A kept connection may be closed by the server at the moment that
        we write to it; what became of the request is then not known. A
        request that must not be repeated gets a fresh connection, which
        fails before anything is written.
        """
        call = self.call
        agent = self.client.pooled if call.repeatable else self.client.unpooled
        self.producer = WriteTrackingProducer(
            BytesIO(call.body), cooperator=_ImmediateCooperator()
        )
        headers = Headers()
        for name, value in call.headers:
            headers.addRawHeader(name, value)
        headers.setRawHeaders(b"x-request-id", [call.id.encode()])
        return agent.request(call.method, call.url, headers, self.producer)

    async def discard(self, response):
        """Read and drop the rest of an answer."""
        await read_body(response)

    def report_load(self, response):
        """Pass on the load report that rides on the answer."""
        values = response.headers.getRawHeaders(b"x-load")
        if values:
            self.on_load(values[0])

    def check_request_id(self, response):
        """Check that the answer is to this attempt.

        Raises:
            ProtocolError: It is someone else's.
        """
        values = response.headers.getRawHeaders(b"x-request-id")
        if not values or values[0] != self.call.id.encode():
            raise ProtocolError("the answer is to another request")

    async def receive_whole(self, response):
        """Buffer the answer, check it and hand it over."""
        body = await read_body(response)
        self.complete = True
        if self.call.resume_url and not is_json(body):
            raise ProtocolError("the answer is no JSON")
        self.ended = True
        headers = select_headers(response)
        self.sink.start(response.code, headers, length=len(body))
        self.sink.write(body)
        return Answered(response.code)

    async def receive_stream(self, response):
        """Pass events on until the end mark; resume after a cut."""
        while True:
            if not self.started:
                self.started = True
                self.sink.start(response.code, select_headers(response))
            reader = _EventReader(self)
            response.deliverBody(reader)
            self.sink.set_producer(reader.transport)
            await reader.done
            if self.complete:
                self.ended = True
                return Answered(response.code)
            response = await self.resume()
            if response is NOTHING:
                return Unknown(Reason.TRUNCATED)

    async def resume(self):
        """Ask the same server for the rest of the stream.

        Returns:
            The response, or `NOTHING` if the stream cannot be resumed.
        """
        if self.last_event < 0 or not self.call.resume_url:
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
                request=self.call.id,
                after=self.last_event,
            )
            return response
        return NOTHING

    def request_remaining(self):
        """Request the events after the last one that came whole."""
        last = str(self.last_event).encode()
        headers = Headers({b"last-event-id": [last]})
        return self.client.unpooled.request(
            b"GET", self.call.resume_url, headers
        )

    def wait_before_retry(self):
        """Wait a little before the next try."""
        waited = defer.Deferred()
        call = self.client.clock.callLater(
            RESUME_DELAY_SECONDS * self.resumes, waited.callback, None
        )
        waited._canceller = lambda _: call.cancel()
        return waited

    def to_outcome(self, failure):
        """Turn a failure into the outcome that it allows."""
        if not self.ended and self.written:
            self.client.cancel(self.call)
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
        """Whether the server may have seen a byte of the request."""
        return self.producer is not NOTHING and self.producer.written


class _EventReader(protocol.Protocol):
    """Pass whole events of a stream on, as they come.

    Only whole events go to the caller, so that a resumed stream neither
    repeats nor loses the event in which the connection was cut.
    """

    def __init__(self, attempt):
        self.attempt = attempt
        self.buffer = b""
        self.done = defer.Deferred(self.cancel)

    def dataReceived(self, data):
        """Pass on what is whole."""
        buffer = self.buffer + data
        end = buffer.rfind(EVENT_END)
        if end < 0:
            self.buffer = buffer
            return
        end += len(EVENT_END)
        self.buffer = buffer[end:]
        self.handle_events(buffer[:end])

    def handle_events(self, events):
        """Note number and end mark of whole events, and pass them on."""
        last = last_event_id(events)
        if last >= 0:
            self.attempt.last_event = last
        if events.endswith(END_MARK + EVENT_END):
            self.attempt.complete = True
        self.attempt.sink.write(events)

    def connectionLost(self, reason):
        """Tell that no more will come, by whatever cause."""
        if not self.done.called:
            self.done.callback(reason.check(ResponseDone) is not None)

    def cancel(self, done):
        """Drop the connection of an abandoned attempt."""
        if self.transport is not None:
            self.transport.loseConnection()


class _ImmediateCooperator:
    """Cooperator that writes a body in one go; bodies are in memory."""

    def cooperate(self, iterator):
        """Run *iterator* to its end."""
        return _CompletedTask(iterator)


class _CompletedTask:
    """Task of a body that has been written."""

    def __init__(self, iterator):
        for _ in iterator:
            pass

    def whenDone(self):
        """Return a deferred that has fired."""
        return defer.succeed(None)

    def stop(self):
        """Do nothing; it is done."""

    def pause(self):
        """Do nothing; it is done."""

    def resume(self):
        """Do nothing; it is done."""


def last_event_id(events):
    """Return the number of the last numbered event, or -1.

    Data lines are JSON, in which a line break never stands as such, so
    a line that starts with the field name is the field.
    """
    start = events.rfind(b"\n" + EVENT_ID) + 1
    if not events.startswith(EVENT_ID, start):
        return -1
    end = events.find(b"\n", start)
    digits = events[start + len(EVENT_ID) : end].strip()
    return int(digits) if digits.isdigit() else -1


def parse_refusal(response):
    """Return `NotRun` if the server says that it did not run it."""
    values = response.headers.getRawHeaders(NOT_RUN_HEADER)
    if values:
        if values[0] == b"leaving":
            return NotRun(Reason.LEAVING)
        return NotRun(Reason.REFUSED)
    if response.code == 429:
        return NotRun(Reason.REFUSED)
    return NOTHING


def select_headers(response):
    """Return the headers of an answer that callers get."""
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
        target: Target, maybe a fallback of the requested one.
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
        """Return the body, naming *target* if it is a fallback."""
        if target == requested:
            return self.body
        values = msgspec.json.decode(self.body)
        values["model"] = target.name
        return msgspec.json.encode(values)
