"""Requests that one host forwards to a host of another region."""

from dataclasses import replace

import msgspec
from twisted.internet import defer

from ..core.events import EventKind
from ..core.exceptions import UNDECODABLE, ProtocolError
from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..net.inprogress import Wait
from ..net.sinks import AnswerSink, first_value
from ..traffic.decisions import Placed, PlacementQuery
from ..traffic.pauses import GapMeter, pause_details
from ..traffic.promptparts import shared_parts
from ..traffic.serverhealth import AttemptResult
from .attempts import Attempt, OutgoingRequest, ResponseHead, silence_limit
from .connections import Endpoint
from .crashchecks import SUSPECTED_RETRY_SECONDS, CrashCheck
from .notices import notice_details
from .stopping import STOPPING_RETRY_SECONDS
from .web import AddedHead, respond_refusal

__all__ = [
    "RELAY_HEAD",
    "RELAY_HEADER",
    "RelayApi",
    "RelayParameters",
    "encode_parameters",
]

RELAY_HEADER = b"hyssop-relay"
RELAY_HEAD = AddedHead(bytes=16 * 1024, headers=20)
"""What forwarding adds to the head of a request. The servers to which it must
not be sent are listed there."""

OUTCOME = b"hyssop-outcome"
REASON = b"hyssop-reason"
SERVER = b"hyssop-server"
VERSION = b"hyssop-server-version"
RETRY_AFTER = b"retry-after"
DENIED_RETRY_SECONDS = 1.0
"""Retry-After of a request that this region may not serve, or may not serve
yet."""

ANSWERED = b"answered"
NOT_RUN = b"not-run"
STOPPING_HEADERS = (
    (OUTCOME, NOT_RUN),
    (REASON, str(Reason.LEAVING).encode()),
    (RETRY_AFTER, b"%.3f" % STOPPING_RETRY_SECONDS),
)
"""Headers of the refusal of a forwarded request by a host that stops."""


class RelayParameters(msgspec.Struct, array_like=True, frozen=True):
    """Data that a forwarded request carries besides the caller's headers.

    Attributes:
        route: Name of the route, whose home regions are checked here as well.
        service: Service that the request needs.
        stream: Whether a successful response is a stream of events.
        repeatable: Whether a pooled connection may be used.
        time_left: Seconds until its deadline.
        objective_left: Seconds within which it meets its objective.
        patience: Seconds within which a response is of use.
        priority: Rank among the routes of the service.
        excluded: Servers to which it must not be sent.
        last_event: Event after which a stream is resumed.
        begun: Whether the caller has received a part of the response already.
        caller: IP address of the caller.
        workspace: Name of its workspace. The caller's key itself is not
            forwarded.
        key_digest: Digest of that key, by which repeats are recognised.
        gap_objective: Longest time between two events in seconds; 0 if none
            is stated.
        outranked: Whether another route of the service goes first among
            requests of the same priority.
        version: Version that a server must have, or an empty string.
    """

    route: str
    service: str
    stream: bool
    repeatable: bool
    time_left: float
    objective_left: float
    patience: float
    priority: int
    excluded: list[str]
    last_event: str
    begun: bool
    caller: str = ""
    workspace: str = ""
    key_digest: str = ""
    gap_objective: float = 0.0
    outranked: bool = False
    version: str = ""


_DECODER = msgspec.json.Decoder(RelayParameters)


def encode_parameters(parameters):
    """Return the value of the header that carries *parameters*."""
    return msgspec.json.encode(parameters)


def decode_parameters(value):
    """Return the `RelayParameters` of a header value.

    Raises:
        ProtocolError: The value cannot be decoded.
    """
    try:
        return _DECODER.decode(value)
    except UNDECODABLE as problem:
        raise ProtocolError(f"invalid relay header: {problem}") from None


def read_relay_head(codec, status, headers):
    """Return the `ResponseHead` of a relaying host's response."""
    outcome = first_value(headers, OUTCOME)
    if outcome == NOT_RUN:
        retry_after = first_value(headers, RETRY_AFTER)
        try:
            reason = Reason(first_value(headers, REASON).decode("ascii"))
        except ValueError:
            reason = Reason.REFUSED
        return ResponseHead(
            not_run=True,
            retry_after=float(retry_after) if retry_after else NOTHING,
            reason=reason,
        )
    if outcome != ANSWERED:
        # Without an outcome, a host could not read the relay header.
        return ResponseHead(
            not_run=status == 400 and not outcome, reason=Reason.REFUSED
        )
    head = codec.read_head(status, headers)
    server = first_value(headers, SERVER).decode("latin-1")
    version = first_value(headers, VERSION).decode("latin-1")
    for name in (OUTCOME, SERVER, VERSION, REASON):
        headers.removeHeader(name)
    return ResponseHead(
        echoed_id=head.echoed_id,
        signed=True,
        server_id=server,
        version=version,
    )


class RelayApi:
    """Serve requests that hosts of other regions forward.

    Args:
        state: The `EntryState`.
        snapshot: Returns the bytes of this host's snapshot of the store.
    """

    def __init__(self, state, snapshot):
        self.state = state
        self.snapshot = snapshot
        self.relayed = set()
        self.accepted = 0

    def handle(self, request):
        """Serve one HTTP request of another host."""
        header = request.requestHeaders.getRawHeaders(RELAY_HEADER)
        if not header:
            self.handle_page(request)
            return
        if not self.state.members.is_known(request.peer_ip):
            # A host that has just started may not be a known member yet.
            # The headers keep it from taking this for a server's response.
            respond_refusal(
                request,
                403,
                "the sender is not a known host of this system",
                [(OUTCOME, NOT_RUN), (REASON, str(Reason.REFUSED).encode())],
            )
            return
        try:
            parameters = decode_parameters(header[0])
        except ProtocolError as problem:
            respond_refusal(
                request,
                400,
                str(problem),
                [(OUTCOME, NOT_RUN), (REASON, str(Reason.REFUSED).encode())],
            )
            return
        relay = Relay(self, request, parameters)
        if self.accepts(parameters):
            relay.start()
        else:
            relay.refuse_stopping()

    def accepts(self, parameters):
        """Return whether a request may be accepted, as this host may stop.

        Args:
            parameters: Its `RelayParameters`.
        """
        return self.state.stopping.accepts(
            parameters.time_left, stream=parameters.stream, busy=False
        )

    def check(self):
        """Enforce the deadlines of the requests in progress."""
        now = self.state.clock.seconds()
        for relay in list(self.relayed):
            relay.check(now)

    def handle_page(self, request):
        """Respond with this host's snapshot of the store."""
        if request.path != b"/state":
            respond_refusal(request, 404, "no such page")
            return
        body = self.snapshot()
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()

    def denial_reason(self, parameters):
        """Return why this region may not serve a request, or `NOTHING`.

        This is checked here as well, since the configuration of the sending
        host may be older.
        """
        current = self.state.keeper.current
        if current is NOTHING:
            return Reason.NO_CONFIGURATION
        restrictions = [
            one for one in current.routes if one.name == parameters.route
        ]
        workspace = current.workspaces.get(parameters.workspace)
        if workspace is not None:
            restrictions.append(workspace)
        region = self.state.settings.region
        if all(not one.homes or region in one.homes for one in restrictions):
            return NOTHING
        return Reason.RESIDENCY


class Relay:
    """Handle one forwarded request.

    Args:
        api: The `RelayApi`.
        request: The `WebRequest`.
        parameters: The `RelayParameters`.
    """

    def __init__(self, api, request, parameters):
        self.api = api
        self.state = api.state
        self.request = request
        self.parameters = parameters
        self.sink = AnswerSink(request)
        self.metadata = self.state.codec.read_caller(request.requestHeaders)
        self.crash_check = CrashCheck(
            self.state.sharing,
            request,
            parameters.caller,
            parameters.key_digest,
            shared_parts(self.metadata.demand.parts),
        )
        self.attempt = NOTHING
        self.outcome = NOTHING
        self.arrived = self.state.clock.seconds()
        self.server_id = ""
        self.version = ""
        self.id = self.metadata.id.decode("latin-1")
        self.began = self.arrived
        self.predicted = 0.0
        self.gap_meter = GapMeter()

    def start(self):
        """Start processing; it ends with the response."""
        disconnected = self.request.notifyFinish()
        disconnected.addErrback(self.handle_disconnect)
        self.request.tracked.end = self.end_with_host
        self.api.relayed.add(self)
        self.api.accepted += 1
        work = defer.ensureDeferred(self.run())
        work.addBoth(self.handle_end)

    def handle_end(self, result):
        """Remove the request; log an unexpected error."""
        self.api.relayed.discard(self)
        if hasattr(result, "getTraceback"):
            self.state.timeline.note(
                EventKind.UNEXPECTED, error=result.getTraceback()
            )
            if not self.sink.finished:
                self.sink.abort()

    def handle_disconnect(self, reason):
        """Stop the server's work when the sending host has disconnected."""
        if self.attempt is NOTHING:
            return
        waited = self.state.clock.seconds() - self.began
        silent = waited > silence_limit(self.predicted)
        silent = silent and not self.attempt.first_data_received
        self.attempt.abandon(Reason.CALLER_GONE, silent=silent)

    async def run(self):
        """Place the request, make one attempt and forward its response."""
        metadata = self.metadata
        denial_reason = self.api.denial_reason(self.parameters)
        if denial_reason is not NOTHING:
            self.refuse(NotRun(denial_reason, DENIED_RETRY_SECONDS))
            return
        if self.refuse_if_crashing():
            return
        self.request.tracked.waits_for = Wait.PLACEMENT
        number, decision = await self.state.coordinator.place(
            self.ask(metadata)
        )
        if self.sink.finished:
            self.state.coordinator.record_attempt_end(
                number, AttemptResult.UNUSED
            )
            return
        if not isinstance(decision, Placed):
            outcome = NotRun(Reason.OVERLOADED, decision.retry_after)
            details = notice_details(decision)
            self.refuse(outcome, decision.predicted, **details)
            return
        self.state.timeline.note(
            EventKind.PLACED,
            request=self.id,
            server=decision.server_id,
            predicted=round(decision.predicted, 3),
            urgency=decision.urgency,
            copy_from=decision.copy_from,
            peer=self.request.peer_ip,
            **self.state.coordinator.placement_details(number),
            **pause_details(decision),
            **notice_details(decision),
        )
        if self.sink.disconnected or self.refuse_if_crashing():
            self.state.coordinator.record_attempt_end(
                number, AttemptResult.UNUSED
            )
            return
        outcome = await self.run_attempt(number, decision, metadata)
        self.conclude(outcome)

    def refuse_if_crashing(self):
        """Refuse a request that crashes servers; return whether it did.

        This is checked here as well, since the sending host may not have
        received the report of the crashes yet.
        """
        reason = self.crash_check.refusal()
        if reason is NOTHING:
            return False
        self.refuse(
            NotRun(reason, SUSPECTED_RETRY_SECONDS),
            **self.crash_check.refusal_details(),
        )
        return True

    def ask(self, metadata):
        """Return the `PlacementQuery`, which is confined to this region."""
        return PlacementQuery(
            host="",
            number=0,
            service=self.parameters.service,
            demand=replace(
                metadata.demand, answer_within=self.parameters.time_left
            ),
            time_left=self.parameters.objective_left,
            patience=self.parameters.patience,
            priority=self.parameters.priority,
            outranked=self.parameters.outranked,
            excluded=tuple(self.parameters.excluded),
            may_leave=False,
            begun=self.parameters.begun,
            apart=self.crash_check.apart(),
            gap_objective=self.parameters.gap_objective,
            version=self.parameters.version,
        )

    async def run_attempt(self, number, placed, metadata):
        """Make the attempt and return its outcome."""
        self.server_id = placed.server_id
        self.version = self.state.coordinator.version_of(placed)
        self.predicted = placed.predicted
        began = self.began = self.state.clock.seconds()
        left = self.parameters.time_left - (began - self.arrived)
        headers = self.state.codec.server_headers(
            self.request.requestHeaders,
            time_left=left,
            server_id=placed.server_id,
            urgency=placed.urgency if metadata.demand.tokens_in else NOTHING,
            last_event=self.parameters.last_event.encode(),
            copy_from=placed.copy_from,
            workspace=self.parameters.workspace,
        )
        headers.removeHeader(RELAY_HEADER)
        self.attempt = Attempt(
            self.state.connections,
            Endpoint(placed.server_id, placed.address),
            outgoing_request_for(
                self.request,
                metadata,
                headers,
                self.parameters,
                isolated=self.crash_check.isolated,
            ),
            self.state.codec.read_head,
            self.state.clock,
            tracked=self.request.tracked,
            on_stream=self.open_stream,
            on_first_data=lambda: self.state.coordinator.record_response_start(
                number, self.state.clock.seconds() - began
            ),
            on_head=self.state.notices.head_handler(
                placed.server_id, self.id, number
            ),
            confirm=self.state.starts.confirmation(
                placed,
                self.parameters.version,
                resumable=self.parameters.stream
                and self.parameters.repeatable,
            ),
        )
        outcome = self.outcome = await self.attempt.run()
        self.state.coordinator.record_attempt_end(
            number, self.attempt.result, self.gap_meter.gaps()
        )
        self.request.tracked.waits_for = Wait.CRASH_CHECK
        await self.state.crash_detector.examine(
            self.attempt,
            self.parameters.caller,
            placed.predicted,
            sent_by=self.request.peer_ip,
        )
        return outcome

    def open_stream(self, buffered_response, response):
        """Prepare a stream; return the function that takes its events."""
        self.sink.start(
            buffered_response.status,
            self.relay_headers(buffered_response.headers),
        )
        self.sink.set_producer(response._transport)
        return self.forward_events

    def forward_events(self, events):
        """Forward events and measure the gaps between them."""
        self.gap_meter.record(self.state.clock.seconds())
        self.sink.write(events)

    def relay_headers(self, headers):
        """Return response headers with those for the sending host."""
        return [
            *headers,
            (OUTCOME, ANSWERED),
            (SERVER, self.server_id.encode()),
            (VERSION, self.version.encode()),
        ]

    def end_with_host(self):
        """End the request at once as this host ends."""
        self.end(Reason.LEAVING, STOPPING_RETRY_SECONDS)

    def check(self, now):
        """Enforce the deadline, also if the sending host is gone."""
        if now >= self.arrived + self.parameters.time_left:
            self.end(Reason.DEADLINE, DENIED_RETRY_SECONDS)

    def end(self, reason, retry_after):
        """End the request at once, whatever it waits for.

        Args:
            reason: The `Reason`.
            retry_after: Seconds after which to retry if it was not run.
        """
        if self.attempt is not NOTHING and self.attempt.in_progress:
            self.attempt.abandon(reason)
        if self.sink.finished or self.sink.disconnected:
            return
        if self.outcome is not NOTHING:
            self.conclude(self.outcome)
        elif self.attempt is not NOTHING and self.attempt.sent:
            self.conclude(Unknown(reason))
        else:
            self.refuse(NotRun(reason, retry_after))

    def refuse_stopping(self):
        """Refuse the request because this host stops."""
        self.refuse(NotRun(Reason.LEAVING, STOPPING_RETRY_SECONDS))

    def conclude(self, outcome):
        """End the response according to the outcome, unless it has ended."""
        if self.sink.finished:
            return
        self.request.tracked.waits_for = Wait.DELIVERY
        self.state.timeline.note(
            EventKind.RELAYED,
            request=self.id,
            server=self.server_id,
            outcome=outcome,
            service=self.parameters.service,
            **self.attempt.end_details(),
            **self.state.provenance.details(),
        )
        if isinstance(outcome, Answered):
            self.deliver()
        elif self.sink.started or isinstance(outcome, Unknown):
            self.sink.abort()
        else:
            self.refuse(outcome)

    def deliver(self):
        """End a stream, or send a buffered response."""
        buffered_response = self.attempt.buffered_response
        if buffered_response is NOTHING:
            self.sink.finish()
            return
        self.sink.send_whole(
            buffered_response.status,
            self.relay_headers(buffered_response.headers),
            buffered_response.take_body(),
        )

    def refuse(self, outcome, predicted=0.0, evidence="", **details):
        """Respond to the sending host that the request was not run.

        Args:
            outcome: The `NotRun`.
            predicted: Predicted seconds to a response, had it been admitted.
            evidence: Why the request is kept away from servers, or "".
            details: Further fields of the log line.
        """
        self.state.timeline.note(
            EventKind.FORWARD_REFUSED,
            request=self.id,
            reason=outcome.reason,
            predicted=round(predicted, 3),
            retry_after=round(outcome.retry_after, 3),
            peer=self.request.peer_ip,
            evidence=evidence,
            **details,
            **self.state.provenance.details(),
        )
        headers = [
            (OUTCOME, NOT_RUN),
            (REASON, str(outcome.reason).encode()),
            (RETRY_AFTER, b"%.3f" % outcome.retry_after),
        ]
        self.sink.release()
        respond_refusal(self.request, 503, str(outcome.reason), headers)


def outgoing_request_for(request, metadata, headers, parameters, *, isolated):
    """Return the `OutgoingRequest` of a request.

    Args:
        request: The `WebRequest`.
        metadata: The `RequestMetadata`.
        headers: `Headers` to send.
        parameters: States whether it is a stream and may be repeated.
        isolated: Whether it runs isolated from suspects of server crashes.
    """
    return OutgoingRequest(
        id=metadata.id,
        method=request.method,
        uri=request.uri,
        headers=headers,
        body=request.read_body(),
        stream=parameters.stream,
        repeatable=parameters.repeatable,
        key_digest=parameters.key_digest,
        parts=shared_parts(metadata.demand.parts),
        isolated=isolated,
    )
