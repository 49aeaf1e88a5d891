"""Handle a caller's request from its arrival to its final response."""

from dataclasses import replace

from twisted.internet import defer

from ..core.events import EventKind
from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..net.inprogress import Wait
from ..net.sinks import AnswerSink
from ..traffic.decisions import (
    Placed,
    PlacedRemotely,
    PlacementQuery,
    RateLimited,
)
from ..traffic.pauses import GapMeter, objective_details, pause_details
from ..traffic.promptparts import shared_parts
from ..traffic.serverhealth import AttemptResult
from .attempts import Attempt, OutgoingRequest, silence_limit
from .connections import Endpoint
from .crashchecks import REFUSING_REASONS, SUSPECTED_RETRY_SECONDS, CrashCheck
from .eventstreams import has_unnumbered_data, last_event_id
from .notices import notice_details
from .relaying import (
    RELAY_HEADER,
    RelayParameters,
    encode_parameters,
    read_relay_head,
)
from .stopping import STOPPING_RETRY_SECONDS
from .streamversion import StreamVersion
from .web import respond_refusal

__all__ = ["Exchange"]

MAX_TRIES = 5
"""Maximum number of placements of one request, including those that never
reach a server. Further placements would only repeat attempts against a region
that is failing."""

STREAM_PATIENCE_SECONDS = 2.0
STREAM_PATIENCE_OBJECTIVES = 4.0
"""Callers abandon a stream after a gap of two seconds or of four times its
objective, whichever is longer. A first event after that time no longer reaches
anybody."""

PATIENCE_FRACTION = 0.85
"""Fraction of that time within which a first event has to be predicted."""

STREAM_SILENCE_SECONDS = 1.0
"""Seconds without an event after which a running stream is resumed at another
server, if its route allows that. Engines pause for less than 0.3 s."""

MIN_ATTEMPT_SECONDS = 0.03
"""No new attempt starts when the request has fewer seconds left than this."""

CONNECT_RETRY_SECONDS = 0.4
"""Retry-After of a request for which no server could be reached. Within this
time the service registry is up to date or the connection is restored."""

FINAL_REASONS = (
    Reason.DEADLINE,
    Reason.LEAVING,
    Reason.CALLER_GONE,
    Reason.RESPONSE_TOO_LARGE,
)
"""Reasons after which another attempt is of no use."""


class Exchange:
    """Handle one request of a caller.

    Args:
        state: The `EntryState`.
        request: The `WebRequest`.
        route: Its `Route`.
        metadata: Its `RequestMetadata`.
        permissions: Its `Permissions`.
        on_end: Called with this exchange when it ends.
        arrived: Time at which the request arrived.
    """

    def __init__(
        self, state, request, route, metadata, permissions, on_end, *, arrived
    ):
        self.state = state
        self.request = request
        self.route = route
        self.metadata = metadata
        self.permissions = permissions
        self.on_end = on_end
        self.id = metadata.id.decode("latin-1")
        self.service = route.service_for(self.id)
        self.configuration = state.provenance.details()
        self.sink = AnswerSink(request)
        self.arrived = arrived
        allowed = route.timeout
        if metadata.deadline is not NOTHING:
            allowed = min(allowed, metadata.deadline)
        self.deadline_at = self.arrived + allowed
        self.attempt = NOTHING
        self.attempt_began = 0.0
        self.last_data = 0.0
        self.longest_gap = 0.0
        self.gap_meter = GapMeter()
        self.predicted = 0.0
        self.excluded = []
        self.tried_hosts = set()
        self.responsive_hosts = set()
        self.stream_server = ""
        self.sent_attempts = 0
        self.executions = 0
        self.outcome = NOTHING
        self.tries = 0
        self.may_leave = True
        self.avoided = []
        self.refused_locally = False
        self.retry_spent = False
        self.switching = False
        self.next_placement = NOTHING
        self.fallback_response = NOTHING
        self.crash_check = CrashCheck(
            state.sharing,
            request,
            request.peer_ip,
            metadata.key_digest,
            shared_parts(metadata.demand.parts),
        )
        self.stream_version = StreamVersion(
            state.stream_origins, state.registry, route, metadata
        )
        self.served_version = ""
        self.last_event = metadata.last_event
        self.last_event_at = NOTHING
        self.has_unnumbered_data = False
        self.first_data_at = NOTHING
        self.closed = False

    def start(self):
        """Start processing; it ends with the response."""
        disconnected = self.request.notifyFinish()
        disconnected.addErrback(self.handle_disconnect)
        self.request.tracked.end = self.end_with_host
        work = defer.ensureDeferred(self.run())
        work.addErrback(self.handle_error)

    def handle_error(self, failure):
        """Log an unexpected error and abort the response."""
        self.state.timeline.note(
            EventKind.UNEXPECTED,
            request=self.id,
            error=failure.getTraceback(),
        )
        if not self.sink.finished:
            self.sink.abort()
        self.close()

    def close(self):
        """Report the end of the exchange once."""
        if not self.closed:
            self.closed = True
            self.on_end(self)

    def handle_disconnect(self, reason):
        """Stop all work for a caller that has disconnected.

        If the server was silent for too long by then, the attempt counts as
        evidence against it. Otherwise a server that hangs would get the next
        request as well, and each request that must not be repeated would wait
        there until its caller disconnects.
        """
        if self.attempt is NOTHING:
            return
        waited = self.state.clock.seconds() - self.last_data
        silent = waited > self.silence_limit()
        self.attempt.abandon(Reason.CALLER_GONE, silent=silent)

    @property
    def deadline_left(self):
        """Seconds until the request reaches its deadline.

        Servers and other hosts get this time also if this host ends sooner. A
        server that stops at an earlier deadline would look as if it failed.
        """
        return self.deadline_at - self.state.clock.seconds()

    @property
    def time_left(self):
        """Seconds until the request reaches its deadline or its host ends."""
        ends_at = min(self.deadline_at, self.state.stopping.ends_at)
        return ends_at - self.state.clock.seconds()

    async def run(self):
        """Make attempts until there is a final outcome, and deliver it."""
        outcome = await self.resolve_version()
        if outcome is not NOTHING:
            self.conclude(outcome)
            self.close()
            return
        now = self.state.clock.seconds()
        self.state.retries.record_request(self.service, now)
        while True:
            outcome = await self.next_try()
            if self.sink.disconnected or not self.should_retry(outcome):
                break
        self.conclude(outcome)
        self.close()

    async def resolve_version(self):
        """Find out which version must serve a stream that is resumed.

        Returns:
            A `NotRun` if the stream cannot go on, or `NOTHING`.
        """
        if not self.stream_version.is_resumed_by_caller:
            return NOTHING
        self.request.tracked.waits_for = Wait.VERSION
        refusal = await self.stream_version.resolve()
        if refusal is NOTHING:
            self.service = self.stream_version.service
            return NOTHING
        self.refused_locally = True
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=self.id,
            reason=refusal.reason,
            route=self.route.name,
            **self.stream_version.details(),
            **self.state.provenance.details(),
        )
        return refusal

    async def next_try(self):
        """Place the request, make one attempt and return its outcome."""
        self.tries += 1
        refusal = self.crash_refusal()
        if refusal is not NOTHING:
            return refusal
        number, decision = await self.get_placement()
        over = self.closed or self.sink.disconnected
        if over or self.time_left < MIN_ATTEMPT_SECONDS:
            self.state.coordinator.record_attempt_end(
                number, AttemptResult.UNUSED
            )
            return NotRun(Reason.DEADLINE, CONNECT_RETRY_SECONDS)
        refusal = self.crash_refusal()
        if refusal is not NOTHING:
            self.state.coordinator.record_attempt_end(
                number, AttemptResult.UNUSED
            )
            return refusal
        if isinstance(decision, Placed):
            return await self.try_server(number, decision)
        if isinstance(decision, PlacedRemotely):
            outcome = await self.try_region(decision)
            ran = not isinstance(outcome, NotRun)
            self.state.coordinator.note_away_end(number, ran=ran)
            return outcome
        self.refused_locally = True
        if isinstance(decision, RateLimited):
            self.log_rate_limit(decision)
            return NotRun(Reason.RATE_LIMIT, decision.retry_after)
        self.log_refusal(decision)
        return NotRun(Reason.OVERLOADED, decision.retry_after)

    def crash_refusal(self):
        """Return a `NotRun` if the request crashes servers, or `NOTHING`.

        Sending it on would crash one more server and abort everything that
        runs there.
        """
        reason = self.crash_check.refusal()
        if reason is NOTHING:
            return NOTHING
        self.refused_locally = True
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=self.id,
            reason=reason,
            route=self.route.name,
            fingerprint=self.crash_check.fingerprint,
            **self.crash_check.refusal_details(),
            **self.state.provenance.details(),
        )
        return NotRun(reason, SUSPECTED_RETRY_SECONDS)

    async def get_placement(self):
        """Return the number and the decision for the next attempt."""
        if self.next_placement is NOTHING:
            self.request.tracked.waits_for = Wait.PLACEMENT
            return await self.state.coordinator.place(self.ask())
        placement, self.next_placement = self.next_placement, NOTHING
        return placement

    def log_refusal(self, refused):
        """Log a refusal by the placement and its grounds."""
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=self.id,
            reason=Reason.OVERLOADED,
            route=self.route.name,
            predicted=round(refused.predicted, 3),
            retry_after=round(refused.retry_after, 3),
            servers_open=refused.servers,
            excluded=len(self.excluded),
            apart=self.crash_check.apart(),
            promised=refused.promised,
            **self.stream_version.details(),
            **notice_details(refused),
            **self.state.provenance.details(),
        )

    def log_rate_limit(self, limited):
        """Log a refusal by a rate limit and its grounds."""
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=self.id,
            reason=Reason.RATE_LIMIT,
            route=self.route.name,
            retry_after=round(limited.retry_after, 3),
            workspace=self.permissions.workspace,
            cost=self.permissions.cost,
            counted_by=limited.host,
            units=limited.units,
            left=limited.level,
            demand=limited.demand,
            **self.state.provenance.details(),
        )

    def ask(self):
        """Return the `PlacementQuery` of the request as it is now."""
        waited = self.state.clock.seconds() - self.arrived
        return PlacementQuery(
            host="",
            number=0,
            service=self.service,
            demand=replace(self.metadata.demand, answer_within=self.time_left),
            time_left=self.objective_left(waited),
            patience=self.patience(waited),
            priority=self.permissions.priority,
            outranked=self.permissions.outranked,
            excluded=tuple(self.excluded),
            regions=self.permissions.homes,
            avoided=tuple(self.avoided),
            may_leave=self.may_leave,
            begun=self.has_begun,
            apart=self.crash_check.apart(),
            workspace=self.permissions.workspace,
            cost=self.permissions.cost,
            gap_objective=self.route.gap_objective,
            request=self.crash_check.caller_id(),
            caller_time_left=self.caller_time_left(waited),
            version=self.stream_version.required or "",
        )

    @property
    def has_begun(self):
        """Whether the caller holds a part of the response."""
        return self.sink.started or self.stream_version.is_resumed_by_caller

    def caller_time_left(self, waited):
        """Return the seconds to the caller's deadline, or 0 without one."""
        if self.metadata.deadline is NOTHING:
            return 0.0
        return max(0.0, self.metadata.deadline - waited)

    def patience(self, waited):
        """Return the seconds within which the next event is still of use.

        Args:
            waited: Seconds since the request arrived.
        """
        if not self.route.stream:
            return max(0.0, self.time_left)
        if self.sink.started:
            waited = self.state.clock.seconds() - self.last_data
        longest = max(
            STREAM_PATIENCE_SECONDS,
            STREAM_PATIENCE_OBJECTIVES * self.route.objective,
        )
        left = longest * PATIENCE_FRACTION - waited
        return max(0.0, min(self.time_left, left))

    def objective_left(self, waited):
        """Return the seconds within which the request meets its objective.

        A stream that is resumed is as urgent as a new one: its caller waits
        for the next event, and the work done so far is lost if none arrives.
        """
        if self.sink.started:
            return self.route.objective
        return max(0.0, self.route.objective - waited)

    async def try_server(self, number, placed):
        """Make an attempt at a server of this region."""
        self.state.timeline.note(
            EventKind.PLACED,
            request=self.id,
            server=placed.server_id,
            predicted=round(placed.predicted, 3),
            urgency=placed.urgency,
            copy_from=placed.copy_from,
            **self.stream_version.details(),
            **self.state.coordinator.placement_details(number),
            **pause_details(placed),
            **notice_details(placed),
        )
        headers = self.state.codec.server_headers(
            self.request.requestHeaders,
            time_left=self.deadline_left,
            server_id=placed.server_id,
            urgency=self.urgency(placed),
            last_event=self.last_event,
            copy_from=placed.copy_from,
            workspace=self.permissions.workspace,
        )
        began = self.state.clock.seconds()
        self.served_version = self.state.coordinator.version_of(placed)
        self.attempt = Attempt(
            self.state.connections,
            Endpoint(placed.server_id, placed.address),
            self.outgoing(headers),
            self.state.codec.read_head,
            self.state.clock,
            tracked=self.request.tracked,
            on_stream=self.open_stream,
            on_first_data=lambda: self.record_start(number, began),
            on_head=self.state.notices.head_handler(
                placed.server_id, self.id, number
            ),
            confirm=self.state.starts.confirmation(
                placed, self.stream_version.required or ""
            ),
        )
        outcome = await self.run_attempt(placed.predicted)
        self.state.coordinator.record_attempt_end(
            number, self.attempt.result, self.gap_meter.gaps()
        )
        self.request.tracked.waits_for = Wait.CRASH_CHECK
        await self.state.crash_detector.examine(
            self.attempt, self.request.peer_ip, placed.predicted
        )
        if not isinstance(outcome, Answered) or outcome.status >= 500:
            self.excluded.append(placed.server_id)
        if self.attempt.result is AttemptResult.UNREACHED:
            self.state.connections.close_idle(placed.server_id)
        return outcome

    def urgency(self, placed):
        """Return the urgency to send to an engine, or `NOTHING`."""
        return placed.urgency if self.metadata.demand.tokens_in else NOTHING

    def record_start(self, number, began):
        """Record when the response started."""
        now = self.state.clock.seconds()
        if self.first_data_at is NOTHING:
            self.first_data_at = now
        self.state.coordinator.record_response_start(number, now - began)

    async def try_region(self, away):
        """Make an attempt through a host of another region.

        A pooled connection is used for every kind of request. A new connection
        costs a round trip of 160 ms, and the other side keeps idle connections
        five times as long as this one. If the connection turns out to be
        closed nevertheless, the outcome is unknown, and a request that must
        not run twice is not sent again.
        """
        far = self.state.remote_hosts
        member = self.choose_remote_host(away.region)
        if member is NOTHING:
            self.avoid_region(away.region)
            return NotRun(Reason.CONNECT, CONNECT_RETRY_SECONDS)
        self.tried_hosts.add(member.name)
        self.state.timeline.note(
            EventKind.SENT_AWAY,
            request=self.id,
            region=away.region,
            peer=member.name,
            predicted=round(away.predicted, 3),
            **self.stream_version.details(),
        )
        headers = self.state.codec.forwarded_headers(
            self.request.requestHeaders
        )
        headers.setRawHeaders(
            RELAY_HEADER, [encode_parameters(self.relay_parameters())]
        )
        self.attempt = Attempt(
            self.state.connections,
            far.endpoint(member),
            self.outgoing(headers, reuse=True),
            lambda status, found: read_relay_head(
                self.state.codec, status, found
            ),
            self.state.clock,
            tracked=self.request.tracked,
            on_stream=self.open_stream,
            on_first_data=self.record_relay_start,
            reject=self.reject_version,
        )
        self.stream_server = ""
        outcome = await self.run_attempt(away.predicted)
        if self.attempt.head_received:
            self.responsive_hosts.add(member.name)
        server_id = self.relayed_server()
        if server_id:
            self.excluded.append(server_id)
        if isinstance(outcome, NotRun) and outcome.reason != Reason.LEAVING:
            self.avoid_region(away.region)
        if self.attempt.result is AttemptResult.UNREACHED:
            self.state.connections.close_idle(member.name)
        return outcome

    def reject_version(self, head):
        """Return why a relayed stream is not used, or `NOTHING`.

        A host of an earlier release places it at a server of any version.
        """
        self.served_version = head.version or self.state.registry.version_of(
            head.server_id
        )
        required = self.stream_version.required
        if required is NOTHING or self.served_version == required:
            return NOTHING
        return Reason.WRONG_VERSION

    def choose_remote_host(self, region):
        """Return the `Member` that relays the next attempt, or `NOTHING`.

        A host that has responded is used again only if there is no other.
        What failed was its server, or the host itself since.
        """
        far = self.state.remote_hosts
        member = far.choose(region, self.tried_hosts)
        if member is NOTHING:
            failed = self.tried_hosts - self.responsive_hosts
            member = far.choose(region, failed)
        return member

    def relayed_server(self):
        """Return the server at which a relayed attempt ran, or ""."""
        buffered_response = self.attempt.buffered_response
        if buffered_response is NOTHING:
            return self.stream_server
        return buffered_response.head.server_id

    def avoid_region(self, region):
        """Use another region for the next try.

        A try in a third region would be too late.
        """
        self.may_leave = not self.avoided
        self.avoided.append(region)

    def record_relay_start(self):
        """Record when a response from another region started."""
        if self.first_data_at is NOTHING:
            self.first_data_at = self.state.clock.seconds()

    def relay_parameters(self):
        """Return the `RelayParameters` of the request at this moment."""
        ask = self.ask()
        return RelayParameters(
            self.route.name,
            self.service,
            self.route.stream,
            self.route.repeatable,
            round(self.deadline_left, 4),
            round(ask.time_left, 4),
            round(ask.patience, 4),
            self.permissions.priority,
            list(self.excluded),
            self.last_event.decode("latin-1"),
            self.sink.started,
            self.request.peer_ip,
            self.permissions.workspace,
            self.metadata.key_digest,
            self.route.gap_objective,
            self.permissions.outranked,
            ask.version,
        )

    def outgoing(self, headers, *, reuse=False):
        """Return the `OutgoingRequest` of an attempt."""
        self.request.content.seek(0)
        return OutgoingRequest(
            id=self.metadata.id,
            method=self.request.method,
            uri=self.request.uri,
            headers=headers,
            body=self.request.content.read(),
            stream=self.route.stream,
            repeatable=reuse or self.route.repeatable,
            key_digest=self.metadata.key_digest,
            parts=self.crash_check.parts,
            isolated=self.crash_check.isolated,
        )

    async def run_attempt(self, predicted):
        """Run the attempt and count whether it was sent and executed."""
        self.predicted = predicted
        self.attempt_began = self.state.clock.seconds()
        self.last_data = self.attempt_began
        self.gap_meter = GapMeter()
        self.outcome = NOTHING
        outcome = self.outcome = await self.attempt.run()
        if self.attempt.sent:
            self.sent_attempts += 1
        if not isinstance(outcome, NotRun):
            self.executions += 1
        if not isinstance(outcome, Answered):
            self.state.timeline.note(
                EventKind.ATTEMPT_ENDED,
                request=self.id,
                at=self.attempt.endpoint.key,
                outcome=type(outcome).__name__,
                reason=outcome.reason,
                events=self.attempt.events,
                cause=self.attempt.cause,
                **self.attempt.end_details(),
            )
        return outcome

    def open_stream(self, buffered_response, response):
        """Start the caller's stream; return the function that takes events.

        A stream that is resumed at another server keeps the head of its first
        response.
        """
        self.stream_server = buffered_response.head.server_id
        if not self.sink.started:
            self.sink.start(
                buffered_response.status, buffered_response.headers
            )
        self.sink.set_producer(response._transport)
        return self.forward_events

    def forward_events(self, events):
        """Forward events and store the identifier of the last one."""
        self.stream_version.begin(self.service, self.served_version)
        now = self.state.clock.seconds()
        if self.last_event_at is not NOTHING:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = self.last_data = now
        self.gap_meter.record(now)
        found = last_event_id(events)
        unnumbered = has_unnumbered_data(events)
        if found:
            self.last_event = found
            self.has_unnumbered_data = unnumbered
        else:
            self.has_unnumbered_data |= unnumbered
        self.sink.write(events)

    def should_retry(self, outcome):
        """Return whether another attempt follows *outcome*."""
        if self.is_final(outcome) or self.tries >= MAX_TRIES:
            return False
        if self.time_left < MIN_ATTEMPT_SECONDS * 2:
            return False
        if self.crash_check.refusal() is not NOTHING:
            return False
        if self.sent_attempts == 0 or self.retry_spent:
            self.retry_spent = False
            return True
        return self.spend_retry()

    def is_final(self, outcome):
        """Return whether no further attempt can improve on *outcome*."""
        if isinstance(outcome, Answered):
            if outcome.status < 500 or not self.may_retry():
                return True
            self.fallback_response = self.attempt.buffered_response
            return False
        if outcome.reason in REFUSING_REASONS:
            return True
        if isinstance(outcome, NotRun):
            return self.refused_locally
        if outcome.reason in FINAL_REASONS:
            return True
        return not self.may_retry()

    def may_retry(self):
        """Return whether the request may run at one more server."""
        if (
            not self.route.repeatable
            or self.executions >= self.route.max_attempts
        ):
            return False
        return self.may_resume()

    def may_resume(self):
        """Return whether another server may send the rest of the response."""
        if not self.sink.started:
            return True
        return (
            self.route.resumable
            and not self.has_unnumbered_data
            and self.stream_version.may_go_on
        )

    def spend_retry(self):
        """Take a retry from the retry budget; return whether there was one."""
        now = self.state.clock.seconds()
        hosts = len(self.state.members.live(now))
        return self.state.retries.spend(self.service, now, hosts)

    def check(self, now):
        """Enforce the deadline, and replace an attempt at a silent server."""
        if self.closed:
            return
        if now >= self.deadline_at:
            self.end(Reason.DEADLINE)
            return
        if self.attempt is NOTHING or self.attempt.abandon_reason:
            return
        self.state.crash_detector.examine_running(self.attempt)
        if self.crash_check.refusal() is Reason.CRASHES_SERVERS:
            self.attempt.abandon(Reason.CRASHES_SERVERS)
            return
        if not self.route.repeatable or self.retry_spent:
            return
        if not self.may_resume():
            return
        executions_with_this = self.executions + 1
        if executions_with_this >= self.route.max_attempts or self.switching:
            return
        if now - self.last_data > self.silence_limit() and self.spend_retry():
            self.retry_spent = True
            self.switching = True
            work = defer.ensureDeferred(self.switch_server(self.attempt))
            work.addErrback(self.handle_error)

    async def switch_server(self, silent):
        """Replace an attempt at a silent server by one elsewhere.

        The other place is found before the attempt is abandoned. A server that
        is merely slow would have responded, and the work of an attempt that is
        abandoned without a replacement is lost.

        Args:
            silent: The `Attempt`.
        """
        last_data_seen = self.last_data
        key = silent.endpoint.key
        ask = self.ask()
        ask = replace(ask, excluded=(*ask.excluded, key))
        number, decision = await self.state.coordinator.place(ask)
        self.switching = False
        found = isinstance(decision, Placed | PlacedRemotely)
        still_silent = (
            self.attempt is silent and self.last_data == last_data_seen
        )
        if found and still_silent and not self.closed:
            self.next_placement = (number, decision)
            silent.abandon(Reason.CONNECTION_LOST, silent=True)
        else:
            self.state.coordinator.record_attempt_end(
                number, AttemptResult.UNUSED
            )

    def silence_limit(self):
        """Return the seconds after which the server counts as silent."""
        if self.attempt.events:
            return STREAM_SILENCE_SECONDS
        return silence_limit(self.predicted)

    def end_with_host(self):
        """End the request as its host ends."""
        self.end(Reason.LEAVING, STOPPING_RETRY_SECONDS)

    def end(self, reason, retry_after=CONNECT_RETRY_SECONDS):
        """End the request at once, whatever it waits for.

        Args:
            reason: The `Reason`.
            retry_after: Seconds after which to retry if it was not run.
        """
        sent = False
        if self.attempt is not NOTHING and self.attempt.in_progress:
            sent = self.attempt.sent
            self.attempt.abandon(reason)
        if self.closed or self.sink.finished or self.sink.disconnected:
            return
        if isinstance(self.outcome, Answered):
            self.conclude(self.outcome)
        elif sent or self.executions:
            self.conclude(Unknown(reason))
        else:
            self.conclude(NotRun(reason, retry_after))
        self.close()

    def conclude(self, outcome):
        """Deliver the final outcome, unless the request has ended."""
        if self.closed:
            return
        self.request.tracked.waits_for = Wait.DELIVERY
        if self.sink.finished or self.sink.disconnected:
            self.log_end("gone")
            return
        if isinstance(outcome, Answered):
            self.deliver(outcome)
            return
        if self.sink.started:
            self.log_end(f"cut: {outcome.reason}")
            self.sink.abort()
            return
        if self.fallback_response is not NOTHING:
            self.deliver_buffered(self.fallback_response)
            return
        self.respond_failure(outcome)

    def deliver(self, outcome):
        """End a stream, or send a buffered response."""
        if self.sink.started and self.attempt.buffered_response is NOTHING:
            self.sink.finish()
            self.log_end("answered", outcome.status)
        elif self.sink.started:
            self.log_end("cut: the server that resumed the stream failed")
            self.sink.abort()
        else:
            self.deliver_buffered(self.attempt.buffered_response)

    def deliver_buffered(self, buffered_response):
        """Send a buffered response of a server."""
        self.sink.send_whole(
            buffered_response.status,
            buffered_response.headers,
            buffered_response.body,
        )
        self.log_end("answered", buffered_response.status)

    def log_end(self, how, status=0):
        """Log the end of the request."""
        now = self.state.clock.seconds()
        first = (
            self.first_data_at if self.first_data_at is not NOTHING else now
        )
        self.state.timeline.note(
            EventKind.ANSWERED if status else EventKind.UNKNOWN,
            request=self.id,
            how=how,
            status=status,
            first_ms=int((first - self.arrived) * 1000),
            took_ms=int((now - self.arrived) * 1000),
            route=self.route.name,
            objective_ms=int(self.route.objective * 1000),
            longest_gap_ms=int(self.longest_gap * 1000),
            **objective_details(self.route),
            predicted=round(self.predicted, 3),
            tries=self.tries,
            service=self.service,
            **self.end_details(),
            **self.stream_version.details(),
            **self.configuration,
        )

    def end_details(self):
        """Return the log fields on the end of the last attempt."""
        if self.attempt is NOTHING:
            return {}
        return self.attempt.end_details()

    def respond_failure(self, outcome):
        """Respond at once that there is no result."""
        if isinstance(outcome, NotRun) and self.executions == 0:
            retry_after = outcome.retry_after
            if outcome.reason is Reason.REFUSED:
                retry_after = self.state.coordinator.retry_after_for_refused(
                    self.service, retry_after
                )
            headers = []
            # The block of a request that crashes servers lasts for minutes,
            # so a retry would be refused.
            if (
                retry_after is not NOTHING
                and outcome.reason is not Reason.CRASHES_SERVERS
            ):
                headers = [(b"retry-after", b"%.3f" % retry_after)]
            limited = outcome.reason is Reason.RATE_LIMIT
            status = 429 if limited else 503
            respond_refusal(self.request, status, str(outcome.reason), headers)
        else:
            status = 504 if outcome.reason is Reason.DEADLINE else 502
            respond_refusal(self.request, status, str(outcome.reason))
        self.sink.finished = True
        self.log_end(f"{type(outcome).__name__}: {outcome.reason}")
