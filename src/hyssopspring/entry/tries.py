"""One try of a request: its placement and the attempt that is made there."""

from twisted.internet import defer
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from ..core.events import EventKind
from ..core.outcomes import Answered, NotRun, Reason
from ..core.sentinels import NOTHING
from ..net.inprogress import Wait
from ..traffic.decisions import Placed
from ..traffic.pauses import GapMeter, pause_details
from ..traffic.serverhealth import AttemptResult
from .attempts import Attempt, silence_limit
from .connections import Endpoint
from .notices import notice_details
from .relaying import RELAY_HEADER, encode_parameters, read_relay_head

__all__ = ["CONNECT_RETRY_SECONDS", "Try"]

STREAM_SILENCE_SECONDS = 1.0
"""Seconds without an event after which the server of a running stream counts
as silent. Engines pause for less than 0.3 s."""

CONNECT_RETRY_SECONDS = 0.4
"""Retry-After of a request for which no server could be reached. Within this
time the service registry is up to date or the connection is restored."""


@implementer(IPushProducer)
class StreamProducer:
    """Pass the backpressure of a caller on to its server.

    Args:
        transport: Transport of the server's response.
        on_resumed: Called without arguments when the caller reads again.

    Attributes:
        paused: Whether the caller does not read at present.
    """

    def __init__(self, transport, on_resumed):
        self.transport = transport
        self.on_resumed = on_resumed
        self.paused = False

    def pauseProducing(self):
        """Stop reading from the server."""
        self.paused = True
        self.transport.pauseProducing()

    def resumeProducing(self):
        """Read from the server again."""
        self.paused = False
        self.on_resumed()
        self.transport.resumeProducing()

    def stopProducing(self):
        """Close the connection to the server."""
        self.transport.stopProducing()


class Try:
    """Carry out one placement of a request.

    Args:
        exchange: The `Exchange`.
        number: Number of the placement.
        decision: The `Placed` or `PlacedRemotely`.

    Attributes:
        attempt: The `Attempt`, or `NOTHING` before it is made.
        ended: Deferred of the outcome, or `NOTHING` before the start.
        outcome: Outcome of the attempt, or `NOTHING` while it runs.
        began: Time at which the attempt was made.
        last_data: Time of its latest data.
        predicted: Predicted seconds to the start of the response.
        gap_meter: `GapMeter` of its stream.
        served_version: Version of its server as far as this host knows.
        served_start: `StreamStart` at which a stream begins, or `NOTHING` if
            its server instance is not known.
        stream_head: `BufferedResponse` without a body that began its stream,
            or `NOTHING`.
        producer: `StreamProducer` of that stream, or `NOTHING`.
    """

    def __init__(self, exchange, number, decision):
        self.exchange = exchange
        self.state = exchange.state
        self.number = number
        self.decision = decision
        self.attempt = NOTHING
        self.ended = NOTHING
        self.outcome = NOTHING
        self.began = self.last_data = self.state.clock.seconds()
        self.predicted = decision.predicted
        self.gap_meter = GapMeter()
        self.served_version = ""
        self.served_start = NOTHING
        self.stream_head = NOTHING
        self.producer = NOTHING

    def start(self):
        """Start the attempt; return the deferred of its outcome."""
        self.ended = defer.ensureDeferred(self.run())
        return self.ended

    @property
    def in_progress(self):
        """Whether its attempt runs."""
        return self.attempt is not NOTHING and self.attempt.in_progress

    @property
    def silent_seconds(self):
        """Seconds since its latest data."""
        return self.state.clock.seconds() - self.last_data

    @property
    def is_silent(self):
        """Whether its server sends nothing for longer than expected."""
        if self.producer is not NOTHING and self.producer.paused:
            return False
        if self.attempt.events:
            return self.silent_seconds > STREAM_SILENCE_SECONDS
        return self.silent_seconds > silence_limit(self.predicted)

    @property
    def server_id(self):
        """Server of the attempt, or "" while it is not known here."""
        if isinstance(self.decision, Placed):
            return self.decision.server_id
        return self.relayed_server()

    @property
    def is_superfluous(self):
        """Whether it ended only since another attempt has data."""
        attempt = self.attempt
        superseded = attempt.abandon_reason is Reason.SUPERSEDED
        return superseded and not attempt.was_silent

    def abandon(self, reason, *, silent=False):
        """Cancel the attempt if it runs; return whether it had been sent.

        Args:
            reason: The `Reason`.
            silent: Whether the server had been silent for too long by then.
        """
        if not self.in_progress:
            return False
        sent = self.attempt.sent
        self.attempt.abandon(reason, silent=silent)
        return sent

    async def run(self):
        """Make the attempt and return its outcome."""
        if isinstance(self.decision, Placed):
            return await self.try_server(self.decision)
        outcome = await self.try_region(self.decision)
        ran = not isinstance(outcome, NotRun)
        self.state.coordinator.note_away_end(self.number, ran=ran)
        return outcome

    async def try_server(self, placed):
        """Make an attempt at a server of this region."""
        exchange = self.exchange
        self.state.timeline.note(
            EventKind.PLACED,
            request=exchange.id,
            server=placed.server_id,
            predicted=round(placed.predicted, 3),
            urgency=placed.urgency,
            copy_from=placed.copy_from,
            **exchange.stream_version.details(),
            **self.state.coordinator.placement_details(self.number),
            **pause_details(placed),
            **notice_details(placed),
        )
        self.served_version = self.state.coordinator.version_of(placed)
        self.served_start = self.state.starts.start_of(placed.server_id)
        self.attempt = Attempt(
            self.state.connections,
            Endpoint(placed.server_id, placed.address),
            exchange.outgoing(self.server_headers(placed)),
            self.state.codec.read_head,
            self.state.clock,
            tracked=exchange.request.tracked,
            on_stream=self.open_stream,
            on_first_data=self.record_start,
            on_head=self.state.notices.head_handler(
                placed.server_id, exchange.id, self.number
            ),
            confirm=self.state.starts.confirmation(
                placed,
                exchange.stream_version.required or "",
                resumable=exchange.route.stream and exchange.route.resumable,
            ),
        )
        outcome = await self.run_attempt()
        self.state.coordinator.record_attempt_end(
            self.number, self.attempt.result, self.gap_meter.gaps()
        )
        exchange.request.tracked.waits_for = Wait.CRASH_CHECK
        await self.state.crash_detector.examine(
            self.attempt, exchange.request.peer_ip, placed.predicted
        )
        failed = not isinstance(outcome, Answered) or outcome.status >= 500
        if failed and not self.is_superfluous:
            exchange.excluded.append(placed.server_id)
        if self.attempt.result is AttemptResult.UNREACHED:
            self.state.connections.close_idle(placed.server_id)
        return outcome

    def server_headers(self, placed):
        """Return the headers to send to a server of this region."""
        exchange = self.exchange
        is_prompt = bool(exchange.metadata.demand.tokens_in)
        return self.state.codec.server_headers(
            exchange.request.requestHeaders,
            time_left=exchange.deadline_left,
            server_id=placed.server_id,
            urgency=placed.urgency if is_prompt else NOTHING,
            last_event=exchange.last_event,
            copy_from=placed.copy_from,
            workspace=exchange.permissions.workspace,
        )

    def record_start(self):
        """Record when the response started."""
        now = self.state.clock.seconds()
        self.exchange.record_first_data(now)
        self.state.coordinator.record_response_start(
            self.number, now - self.began
        )

    async def try_region(self, away):
        """Make an attempt through a host of another region.

        A pooled connection is used for every kind of request. A new connection
        costs a round trip of 160 ms, and the other side keeps idle connections
        five times as long as this one. If the connection turns out to be
        closed nevertheless, the outcome is unknown, and a request that must
        not run twice is not sent again.
        """
        exchange = self.exchange
        far = self.state.remote_hosts
        member = self.choose_remote_host(away.region)
        if member is NOTHING:
            exchange.avoid_region(away.region)
            return NotRun(Reason.CONNECT, CONNECT_RETRY_SECONDS)
        exchange.tried_hosts.add(member.name)
        self.state.timeline.note(
            EventKind.SENT_AWAY,
            request=exchange.id,
            region=away.region,
            peer=member.name,
            predicted=round(away.predicted, 3),
            **exchange.stream_version.details(),
        )
        headers = self.state.codec.forwarded_headers(
            exchange.request.requestHeaders
        )
        headers.setRawHeaders(
            RELAY_HEADER, [encode_parameters(exchange.relay_parameters())]
        )
        self.attempt = Attempt(
            self.state.connections,
            far.endpoint(member),
            exchange.outgoing(headers, reuse=True),
            lambda status, found: read_relay_head(
                self.state.codec, status, found
            ),
            self.state.clock,
            tracked=exchange.request.tracked,
            on_stream=self.open_stream,
            on_first_data=lambda: exchange.record_first_data(
                self.state.clock.seconds()
            ),
            reject=self.reject_version,
        )
        outcome = await self.run_attempt()
        if self.is_superfluous:
            exchange.tried_hosts.discard(member.name)
            return outcome
        if self.attempt.head_received:
            exchange.responsive_hosts.add(member.name)
        server_id = self.relayed_server()
        if server_id:
            exchange.excluded.append(server_id)
        if isinstance(outcome, NotRun) and outcome.reason != Reason.LEAVING:
            exchange.avoid_region(away.region)
        if self.attempt.result is AttemptResult.UNREACHED:
            self.state.connections.close_idle(member.name)
        return outcome

    def choose_remote_host(self, region):
        """Return the `Member` that relays the attempt, or `NOTHING`.

        A host that has responded is used again only if there is no other.
        What failed was its server, or the host itself since.
        """
        far = self.state.remote_hosts
        tried = self.exchange.tried_hosts
        member = far.choose(region, tried)
        if member is NOTHING:
            failed = tried - self.exchange.responsive_hosts
            member = far.choose(region, failed)
        return member

    def reject_version(self, head):
        """Return why a relayed stream is not used, or `NOTHING`.

        A host of an earlier release places it at a server of any version.
        """
        self.served_version = head.version or self.state.registry.version_of(
            head.server_id
        )
        required = self.exchange.stream_version.required
        if required is NOTHING or self.served_version == required:
            return NOTHING
        return Reason.WRONG_VERSION

    def relayed_server(self):
        """Return the server at which a relayed attempt ran, or ""."""
        for response in (self.attempt.buffered_response, self.stream_head):
            if response is not NOTHING:
                return response.head.server_id
        return ""

    async def run_attempt(self):
        """Run the attempt and count whether it was sent and executed."""
        exchange = self.exchange
        self.began = self.last_data = self.state.clock.seconds()
        outcome = self.outcome = await self.attempt.run()
        if self.attempt.sent:
            exchange.sent_attempts += 1
        if not isinstance(outcome, NotRun):
            exchange.executions += 1
        exchange.hedging.handle_outcome(self)
        if not isinstance(outcome, Answered):
            self.state.timeline.note(
                EventKind.ATTEMPT_ENDED,
                request=exchange.id,
                at=self.attempt.endpoint.key,
                outcome=type(outcome).__name__,
                reason=outcome.reason,
                events=self.attempt.events,
                cause=self.attempt.cause,
                **self.attempt.end_details(),
            )
        return outcome

    def open_stream(self, buffered_response, response):
        """Keep the head of the stream; return the function for its events."""
        self.stream_head = buffered_response
        self.producer = StreamProducer(response._transport, self.note_resumed)
        return self.forward_events

    def note_resumed(self):
        """Measure the silence of the server from the caller's pause on."""
        self.last_data = self.state.clock.seconds()

    def forward_events(self, events):
        """Pass events on to the caller of the exchange."""
        self.last_data = self.state.clock.seconds()
        self.gap_meter.record(self.last_data)
        self.exchange.forward_events(self, events)
