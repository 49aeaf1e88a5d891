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
from ..traffic.pauses import objective_details
from ..traffic.promptparts import shared_parts
from ..traffic.serverhealth import AttemptResult
from .attempts import OutgoingRequest
from .crashchecks import REFUSING_REASONS, SUSPECTED_RETRY_SECONDS, CrashCheck
from .eventstreams import has_unnumbered_data, last_event_id
from .hedging import Hedging
from .notices import notice_details
from .relaying import RelayParameters
from .stopping import STOPPING_RETRY_SECONDS
from .streamversion import StreamVersion
from .tries import CONNECT_RETRY_SECONDS, Try
from .web import respond_failure

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

MIN_ATTEMPT_SECONDS = 0.03
"""No new attempt starts when the request has fewer seconds left than this."""

FINAL_REASONS = (
    Reason.DEADLINE,
    Reason.LEAVING,
    Reason.CALLER_GONE,
    Reason.INTERNAL_ERROR,
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
        self.current = NOTHING
        self.longest_gap = 0.0
        self.excluded = []
        self.tried_hosts = set()
        self.responsive_hosts = set()
        self.sent_attempts = 0
        self.executions = 0
        self.tries = 0
        self.may_leave = True
        self.avoided = []
        self.refused_locally = False
        self.hedging = Hedging(self)
        self.streaming = NOTHING
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
        """Log an unexpected error, and refuse or abort the response."""
        self.state.timeline.note(
            EventKind.UNEXPECTED,
            request=self.id,
            error=failure.getTraceback(),
        )
        self.hedging.drop(Reason.INTERNAL_ERROR)
        if self.current is not NOTHING:
            self.current.abandon(Reason.INTERNAL_ERROR)
        try:
            self.conclude(Unknown(Reason.INTERNAL_ERROR))
        finally:
            if not self.sink.finished:
                self.sink.abort()
            self.close()

    def close(self):
        """Report the end of the exchange once."""
        if not self.closed:
            self.closed = True
            self.hedging.drop(Reason.SUPERSEDED)
            self.on_end(self)

    def handle_disconnect(self, reason):
        """Stop all work for a caller that has disconnected.

        If the server was silent for too long by then, the attempt counts as
        evidence against it. Otherwise a server that hangs would get the next
        request as well, and each request that must not be repeated would wait
        there until its caller disconnects.
        """
        self.hedging.drop(Reason.CALLER_GONE)
        current = self.current
        if current is not NOTHING and current.in_progress:
            current.abandon(Reason.CALLER_GONE, silent=current.is_silent)

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
            over = self.closed or self.sink.disconnected
            if over or not self.should_retry(outcome):
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
        """Place the request, make one attempt and return its outcome.

        An attempt that runs beside the one that has ended takes its place.
        """
        hedge = self.hedging.take()
        if hedge is not NOTHING:
            self.current = hedge
            return await hedge.ended
        self.tries += 1
        refusal = self.crash_refusal()
        if refusal is not NOTHING:
            return refusal
        self.request.tracked.waits_for = Wait.PLACEMENT
        number, decision = await self.state.coordinator.place(self.ask())
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
        if isinstance(decision, Placed | PlacedRemotely):
            self.current = Try(self, number, decision)
            return await self.current.start()
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
            excluded=tuple(self.excluded_servers()),
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

    def excluded_servers(self):
        """Return the servers that a further attempt must not use."""
        current = self.current
        if current is NOTHING or not current.in_progress:
            return self.excluded
        return [*self.excluded, current.server_id]

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
            waited = self.current.silent_seconds
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

    def avoid_region(self, region):
        """Use another region for the next try.

        A try in a third region would be too late.
        """
        self.may_leave = not self.avoided
        self.avoided.append(region)

    def record_first_data(self, now):
        """Record when a response started."""
        if self.first_data_at is NOTHING:
            self.first_data_at = now

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
            list(ask.excluded),
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
        return OutgoingRequest(
            id=self.metadata.id,
            method=self.request.method,
            uri=self.request.uri,
            headers=headers,
            body=self.request.read_body(),
            stream=self.route.stream,
            repeatable=reuse or self.route.repeatable,
            key_digest=self.metadata.key_digest,
            parts=self.crash_check.parts,
            isolated=self.crash_check.isolated,
        )

    def open_response(self, chosen):
        """Start the caller's stream, or go on with it from another server.

        A stream that is resumed at another server keeps the head of its first
        response.

        Args:
            chosen: The `Try` whose stream the caller receives.
        """
        if self.streaming is chosen:
            return
        self.streaming = chosen
        if not self.sink.started:
            head = chosen.stream_head
            self.sink.start(head.status, head.headers)
        self.sink.set_producer(chosen.producer)

    def forward_events(self, chosen, events):
        """Forward events and store the identifier of the last one.

        Args:
            chosen: The `Try` that received them.
            events: Complete events.
        """
        self.hedging.select(chosen)
        if self.sink.finished:
            return
        self.open_response(chosen)
        self.stream_version.begin(
            self.service, chosen.served_version, chosen.served_start
        )
        now = self.state.clock.seconds()
        if self.last_event_at is not NOTHING:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = now
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
        if self.is_settled(outcome):
            return False
        self.keep_fallback(self.current, outcome)
        if self.hedging.hedge is not NOTHING:
            return True
        if self.is_final(outcome) or self.tries >= MAX_TRIES:
            return False
        if self.time_left < MIN_ATTEMPT_SECONDS * 2:
            return False
        if self.crash_check.refusal() is not NOTHING:
            return False
        return self.sent_attempts == 0 or self.spend_retry()

    def is_settled(self, outcome):
        """Return whether *outcome* decides the request, whatever else runs."""
        if isinstance(outcome, Answered):
            return outcome.status < 500
        if outcome.reason in REFUSING_REASONS:
            return True
        is_unknown = not isinstance(outcome, NotRun)
        return is_unknown and outcome.reason in FINAL_REASONS

    def is_final(self, outcome):
        """Return whether no further attempt may follow *outcome*."""
        if isinstance(outcome, NotRun):
            return self.refused_locally
        return not self.may_retry()

    def keep_fallback(self, ended, outcome):
        """Keep an error response, for the case that no other one comes.

        Args:
            ended: The `Try` that received it.
            outcome: Its outcome.
        """
        if isinstance(outcome, Answered) and outcome.status >= 500:
            self.fallback_response = ended.attempt.buffered_response

    def may_retry(self, *, running=0):
        """Return whether the request may run at one more server.

        Args:
            running: Number of servers at which it runs.
        """
        executions = self.executions + running
        if not self.route.repeatable or executions >= self.route.max_attempts:
            return False
        return self.may_resume()

    def may_hedge(self):
        """Return whether a second attempt may run beside the current one."""
        if self.tries >= MAX_TRIES:
            return False
        if self.time_left < MIN_ATTEMPT_SECONDS * 2:
            return False
        if self.crash_check.refusal() is not NOTHING:
            return False
        return self.may_retry(running=1)

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
        hosts = self.state.members.count_known()
        return self.state.retries.spend(self.service, now, hosts)

    def check(self, now):
        """Enforce the deadline, and look after a silent server."""
        if self.closed:
            return
        if now >= self.deadline_at:
            self.end(Reason.DEADLINE)
            return
        if self.current is NOTHING or not self.current.in_progress:
            return
        self.state.crash_detector.examine_running(self.current.attempt)
        if self.crash_check.refusal() is Reason.CRASHES_SERVERS:
            self.current.abandon(Reason.CRASHES_SERVERS)
            return
        self.hedging.check(now)

    def end_with_host(self):
        """End the request as its host ends."""
        self.end(Reason.LEAVING, STOPPING_RETRY_SECONDS)

    def end(self, reason, retry_after=CONNECT_RETRY_SECONDS):
        """End the request at once, whatever it waits for.

        Args:
            reason: The `Reason`.
            retry_after: Seconds after which to retry if it was not run.
        """
        if self.hedging.has_response():
            self.deliver_hedge()
        sent = self.hedging.drop(reason)
        outcome = NOTHING
        if self.current is not NOTHING:
            sent |= self.current.abandon(reason)
            outcome = self.current.outcome
        if self.closed or self.sink.finished or self.sink.disconnected:
            return
        if isinstance(outcome, Answered):
            self.conclude(outcome)
        elif sent or self.executions:
            self.conclude(Unknown(reason))
        else:
            self.conclude(NotRun(reason, retry_after))
        self.close()

    def deliver_hedge(self):
        """Deliver the response of the second attempt, which is complete."""
        first, self.current = self.current, self.hedging.take()
        self.conclude(self.current.outcome)
        self.close()
        first.abandon(Reason.SUPERSEDED)

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
        buffered_response = self.current.attempt.buffered_response
        if buffered_response is NOTHING:
            self.open_response(self.current)
            self.sink.finish()
            self.log_end("answered", outcome.status)
        elif self.sink.started:
            self.log_end("cut: the server that resumed the stream failed")
            self.sink.abort()
        else:
            self.deliver_buffered(buffered_response)

    def deliver_buffered(self, buffered_response):
        """Send a buffered response of a server."""
        self.sink.send_whole(
            buffered_response.status,
            buffered_response.headers,
            buffered_response.take_body(),
        )
        self.log_end("answered", buffered_response.status)

    def log_end(self, how, status=0):
        """Log the end of the request."""
        now = self.state.clock.seconds()
        current = self.current
        predicted = 0.0 if current is NOTHING else current.predicted
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
            predicted=round(predicted, 3),
            tries=self.tries,
            service=self.service,
            **self.end_details(),
            **self.stream_version.details(),
            **self.configuration,
        )

    def end_details(self):
        """Return the log fields on the end of the last attempt."""
        details = {"sent_bytes": self.sink.bytes}
        current = self.current
        if current is NOTHING or current.attempt is NOTHING:
            return details
        details["silent_ms"] = int(current.silent_seconds * 1000)
        return {**details, **current.attempt.end_details()}

    def respond_failure(self, outcome):
        """Respond at once that there is no result."""
        self.sink.release()
        not_run = isinstance(outcome, NotRun) and self.executions == 0
        if not_run and outcome.reason is Reason.REFUSED:
            retry_after = self.state.coordinator.retry_after_for_refused(
                self.service, outcome.retry_after
            )
            outcome = replace(outcome, retry_after=retry_after)
        respond_failure(self.request, outcome, not_run=not_run)
        self.log_end(f"{type(outcome).__name__}: {outcome.reason}")
