"""A caller's request from its arrival to its final answer."""

from dataclasses import replace

from twisted.internet import defer

from ..core.events import EventKind
from ..core.outcomes import Answered, NotRun, Reason
from ..core.sentinels import NOTHING
from ..net.sinks import AnswerSink
from ..traffic.decisions import Ask, Away, Limited, Placed
from ..traffic.evidence import Finding
from .attempts import Attempt, Sending, silence_limit
from .connections import Lane
from .notices import notice_details
from .relaying import (
    ORDER_HEADER,
    RelayOrder,
    encode_order,
    read_relay_head,
)
from .suspicion import HELD_RETRY_AFTER, REFUSING_REASONS, Suspicion
from .web import respond_refusal

__all__ = ["Exchange"]

MOST_TRIES = 5
"""Placements of one request, those included that never reached a server;
more would only follow a failing region round."""

STREAM_PATIENCE = 2.0
STREAM_PATIENCE_OBJECTIVES = 4.0
"""Callers give a stream up after a gap of two seconds or four times its
objective; a later first event reaches nobody."""

PATIENCE_SHARE = 0.85
"""Part of that time within which a first event must be predicted."""

SILENT_GAP = 1.0
"""Seconds without an event of a running stream after which another server
goes on with it, if it may be resumed. Engines pause for under 0.3 s."""

LEAST_TIME = 0.03
"""Seconds before a request's end in which no new attempt is begun."""

CONNECT_RETRY_AFTER = 0.4
"""Seconds after which to come back when no server could be reached; a
registry or a connection is current again by then."""

FINAL_REASONS = (Reason.DEADLINE, Reason.CALLER_GONE)
"""Reasons after which no other attempt is of use."""

EVENT_ID = b"id:"


class Exchange:
    """One request of a caller.

    Args:
        state: The `EntryState`.
        request: The `WebRequest`.
        route: Its `Route`.
        facts: Its `CallerFacts`.
        rights: Its `Rights`.
        ended: Called with this exchange at its end.
        arrived: Time at which the request came.
    """

    def __init__(
        self, state, request, route, facts, rights, ended, *, arrived
    ):
        self.state = state
        self.request = request
        self.route = route
        self.facts = facts
        self.rights = rights
        self.ended = ended
        self.id = facts.id.decode("latin-1")
        self.service = route.service_for(self.id)
        self.configuration = state.provenance.details()
        self.sink = AnswerSink(request)
        self.arrived = arrived
        allowed = route.timeout
        if facts.deadline is not NOTHING:
            allowed = min(allowed, facts.deadline)
        self.give_up_at = self.arrived + allowed
        self.attempt = NOTHING
        self.attempt_began = 0.0
        self.last_data = 0.0
        self.longest_gap = 0.0
        self.predicted = 0.0
        self.excluded = []
        self.tried_hosts = set()
        self.arrivals = 0
        self.runs = 0
        self.tries = 0
        self.may_leave = True
        self.avoided = []
        self.refused = False
        self.retry_paid = False
        self.moving = False
        self.placement = NOTHING
        self.kept = NOTHING
        self.suspicion = Suspicion(
            state.sharing, request, request.peer_ip, facts.key_digest
        )
        self.last_event = facts.last_event
        self.last_event_at = NOTHING
        self.first_at = NOTHING
        self.over = False

    def start(self):
        """Begin; the answer ends it."""
        gone = self.request.notifyFinish()
        gone.addErrback(self.caller_gone)
        work = defer.ensureDeferred(self.run())
        work.addErrback(self.crashed)

    def crashed(self, failure):
        """Write an unexpected error to the log, and cut the answer."""
        self.state.timeline.note(
            EventKind.UNEXPECTED,
            request=self.id,
            error=failure.getTraceback(),
        )
        if not self.sink.finished:
            self.sink.abort()
        self.close()

    def close(self):
        """Note the end once."""
        if not self.over:
            self.over = True
            self.ended(self)

    def caller_gone(self, reason):
        """Stop all work for a caller that has gone.

        A caller that left a silent server is evidence against the server:
        one that hangs would else get the next request, and each that must
        not be repeated would wait there until its caller has left.
        """
        if self.attempt is NOTHING:
            return
        waited = self.state.clock.seconds() - self.last_data
        silent = waited > self.silence_limit()
        self.attempt.abandon(Reason.CALLER_GONE, silent=silent)

    @property
    def time_left(self):
        """Seconds until the request is given up."""
        return self.give_up_at - self.state.clock.seconds()

    async def run(self):
        """Try until there is a final outcome, and deliver it."""
        now = self.state.clock.seconds()
        self.state.retries.note_request(self.service, now)
        outcome = NOTHING
        while True:
            outcome = await self.next_try()
            if self.sink.disconnected or not self.goes_on(outcome):
                break
        self.conclude(outcome)
        self.close()

    async def next_try(self):
        """Place the request, make an attempt, return its outcome."""
        self.tries += 1
        refusal = self.refused_for_crashes()
        if refusal is not NOTHING:
            return refusal
        number, decision = await self.placed()
        if self.sink.disconnected or self.time_left < LEAST_TIME:
            self.state.asking.note_end(number, Finding.UNUSED)
            return NotRun(Reason.DEADLINE, CONNECT_RETRY_AFTER)
        refusal = self.refused_for_crashes()
        if refusal is not NOTHING:
            self.state.asking.note_end(number, Finding.UNUSED)
            return refusal
        if isinstance(decision, Placed):
            return await self.try_server(number, decision)
        if isinstance(decision, Away):
            outcome = await self.try_region(decision)
            ran = not isinstance(outcome, NotRun)
            self.state.asking.note_away_end(number, ran=ran)
            return outcome
        self.refused = True
        if isinstance(decision, Limited):
            self.note_limit(decision)
            return NotRun(Reason.RATE_LIMIT, decision.retry_after)
        self.note_refusal(decision)
        return NotRun(Reason.OVERLOADED, decision.retry_after)

    def refused_for_crashes(self):
        """Return a `NotRun` if servers end under this request, or `NOTHING`.

        It would end one more, and all that runs there.
        """
        reason = self.suspicion.refusal()
        if reason is NOTHING:
            return NOTHING
        self.refused = True
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=self.id,
            reason=reason,
            route=self.route.name,
            fingerprint=self.suspicion.fingerprint,
            evidence=self.suspicion.evidence(),
            **self.state.provenance.details(),
        )
        return NotRun(reason, HELD_RETRY_AFTER)

    async def placed(self):
        """Return the number and the decision for the next attempt."""
        if self.placement is NOTHING:
            return await self.state.asking.place(self.ask())
        placement, self.placement = self.placement, NOTHING
        return placement

    def note_refusal(self, refused):
        """Put a refusal and its grounds on the time line."""
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=self.id,
            reason=Reason.OVERLOADED,
            route=self.route.name,
            predicted=round(refused.predicted, 3),
            retry_after=round(refused.retry_after, 3),
            servers_open=refused.servers,
            excluded=len(self.excluded),
            apart=self.suspicion.apart(),
            **notice_details(refused),
            **self.state.provenance.details(),
        )

    def note_limit(self, limited):
        """Put a refusal by a limit and its grounds on the time line."""
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=self.id,
            reason=Reason.RATE_LIMIT,
            route=self.route.name,
            retry_after=round(limited.retry_after, 3),
            workspace=self.rights.workspace,
            cost=self.rights.cost,
            counted_by=limited.host,
            units=limited.units,
            left=limited.level,
            demand=limited.demand,
            **self.state.provenance.details(),
        )

    def ask(self):
        """Return the `Ask` of this moment."""
        waited = self.state.clock.seconds() - self.arrived
        return Ask(
            host="",
            number=0,
            service=self.service,
            demand=replace(self.facts.demand, answer_within=self.time_left),
            time_left=self.objective_left(waited),
            patience=self.patience(waited),
            priority=self.rights.priority,
            excluded=tuple(self.excluded),
            regions=self.rights.homes,
            avoided=tuple(self.avoided),
            may_leave=self.may_leave,
            begun=self.sink.started,
            apart=self.suspicion.apart(),
            workspace=self.rights.workspace,
            cost=self.rights.cost,
        )

    def patience(self, waited):
        """Return the seconds in which the next event is of use.

        Args:
            waited: Seconds since the request came.
        """
        if not self.route.stream:
            return max(0.0, self.time_left)
        if self.sink.started:
            waited = self.state.clock.seconds() - self.last_data
        longest = max(
            STREAM_PATIENCE, STREAM_PATIENCE_OBJECTIVES * self.route.objective
        )
        left = longest * PATIENCE_SHARE - waited
        return max(0.0, min(self.time_left, left))

    def objective_left(self, waited):
        """Return the seconds in which the request is still on time.

        A stream that goes on is as urgent as a new one: its caller waits
        for the next event, and what was made is lost if none comes.
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
            placed_by=self.state.asking.placer_of(number),
            **notice_details(placed),
        )
        headers = self.state.codec.server_headers(
            self.request.requestHeaders,
            time_left=self.time_left,
            server_id=placed.server_id,
            urgency=self.urgency(placed),
            last_event=self.last_event,
            copy_from=placed.copy_from,
            workspace=self.rights.workspace,
        )
        began = self.state.clock.seconds()
        self.attempt = Attempt(
            self.state.connections,
            Lane(placed.server_id, placed.address),
            self.sending(headers),
            self.state.codec.read_head,
            self.state.clock,
            opened=self.open_stream,
            started=lambda: self.started(number, began),
            heard=self.state.notices.listener(placed.server_id, self.id),
        )
        outcome = await self.carry(placed.predicted)
        self.state.asking.note_end(number, self.attempt.finding)
        await self.state.endings.examine(
            self.attempt, self.request.peer_ip, placed.predicted
        )
        if not isinstance(outcome, Answered) or outcome.status >= 500:
            self.excluded.append(placed.server_id)
        if self.attempt.finding is Finding.UNREACHED:
            self.state.connections.forget(placed.server_id)
        return outcome

    def urgency(self, placed):
        """Return the urgency for an engine, or `NOTHING`."""
        return placed.urgency if self.facts.demand.tokens_in else NOTHING

    def started(self, number, began):
        """Note when the answer began."""
        now = self.state.clock.seconds()
        if self.first_at is NOTHING:
            self.first_at = now
        self.state.asking.note_start(number, now - began)

    async def try_region(self, away):
        """Make an attempt through a host of another region.

        A kept connection is used whatever the request: a new one costs a
        round trip of 160 ms, and the other side keeps it five times as
        long. Should it be dead all the same, the outcome is unknown, and
        what must not run twice is not sent again.
        """
        far = self.state.far_hosts
        member = far.choose(away.region, self.tried_hosts)
        if member is NOTHING:
            self.avoid_region(away.region)
            return NotRun(Reason.CONNECT, CONNECT_RETRY_AFTER)
        self.tried_hosts.add(member.name)
        self.state.timeline.note(
            EventKind.SENT_AWAY,
            request=self.id,
            region=away.region,
            peer=member.name,
            predicted=round(away.predicted, 3),
        )
        headers = self.state.codec.passed_on(self.request.requestHeaders)
        headers.setRawHeaders(ORDER_HEADER, [encode_order(self.order())])
        self.attempt = Attempt(
            self.state.connections,
            far.lane(member),
            self.sending(headers, kept=True),
            lambda status, found: read_relay_head(
                self.state.codec, status, found
            ),
            self.state.clock,
            opened=self.open_stream,
            started=self.relay_started,
        )
        outcome = await self.carry(away.predicted)
        answer = self.attempt.answer
        if answer is not NOTHING and answer.head.server_id:
            self.excluded.append(answer.head.server_id)
        if isinstance(outcome, NotRun):
            self.avoid_region(away.region)
        if self.attempt.finding is Finding.UNREACHED:
            self.state.connections.forget(member.name)
        return outcome

    def avoid_region(self, region):
        """Try another region next; a third would come too late."""
        self.may_leave = not self.avoided
        self.avoided.append(region)

    def relay_started(self):
        """Note when an answer from another region began."""
        if self.first_at is NOTHING:
            self.first_at = self.state.clock.seconds()

    def order(self):
        """Return the `RelayOrder` of this moment."""
        ask = self.ask()
        return RelayOrder(
            self.route.name,
            self.service,
            self.route.stream,
            self.route.repeatable,
            round(self.time_left, 4),
            round(ask.time_left, 4),
            round(ask.patience, 4),
            self.rights.priority,
            list(self.excluded),
            self.last_event.decode("latin-1"),
            self.sink.started,
            self.request.peer_ip,
            self.rights.workspace,
            self.facts.key_digest,
        )

    def sending(self, headers, *, kept=False):
        """Return the `Sending` of an attempt."""
        self.request.content.seek(0)
        return Sending(
            id=self.facts.id,
            method=self.request.method,
            uri=self.request.uri,
            headers=headers,
            body=self.request.content.read(),
            stream=self.route.stream,
            repeatable=kept or self.route.repeatable,
            key_digest=self.facts.key_digest,
        )

    async def carry(self, predicted):
        """Run the attempt and count what it did."""
        self.predicted = predicted
        self.attempt_began = self.state.clock.seconds()
        self.last_data = self.attempt_began
        outcome = await self.attempt.run()
        if self.attempt.sent:
            self.arrivals += 1
        if not isinstance(outcome, NotRun):
            self.runs += 1
        if not isinstance(outcome, Answered):
            self.state.timeline.note(
                EventKind.ATTEMPT_ENDED,
                request=self.id,
                at=self.attempt.lane.key,
                outcome=type(outcome).__name__,
                reason=outcome.reason,
                events=self.attempt.events,
                cause=self.attempt.cause,
            )
        return outcome

    def open_stream(self, answer, response):
        """Begin the caller's stream; return what takes whole events.

        A stream that another server goes on with keeps its first head.
        """
        if not self.sink.started:
            self.sink.start(answer.status, answer.headers)
        self.sink.set_producer(response._transport)
        return self.take_events

    def take_events(self, events):
        """Pass events on and remember the last one's identifier."""
        now = self.state.clock.seconds()
        if self.last_event_at is not NOTHING:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = self.last_data = now
        found = last_event_id(events)
        if found:
            self.last_event = found
        self.sink.write(events)

    def goes_on(self, outcome):
        """Whether another attempt is to follow *outcome*."""
        if self.final(outcome) or self.tries >= MOST_TRIES:
            return False
        if self.time_left < LEAST_TIME * 2:
            return False
        if self.suspicion.refusal() is not NOTHING:
            return False
        if self.arrivals == 0 or self.retry_paid:
            self.retry_paid = False
            return True
        return self.pay_retry()

    def final(self, outcome):
        """Whether nothing better than *outcome* can follow."""
        if isinstance(outcome, Answered):
            if outcome.status < 500 or not self.may_run_again():
                return True
            self.kept = self.attempt.answer
            return False
        if outcome.reason in REFUSING_REASONS:
            return True
        if isinstance(outcome, NotRun):
            return self.refused
        if outcome.reason in FINAL_REASONS:
            return True
        return not self.may_run_again()

    def may_run_again(self):
        """Whether the request may run at one more server."""
        if not self.route.repeatable or self.runs >= self.route.max_attempts:
            return False
        return not self.sink.started or self.route.resumable

    def pay_retry(self):
        """Take a repeat from the budget; return whether there was one."""
        now = self.state.clock.seconds()
        hosts = len(self.state.members.live(now))
        return self.state.retries.spend(self.service, now, hosts)

    def check(self, now):
        """Give up what has run out of time, or a server that is silent."""
        if self.over:
            return
        if now >= self.give_up_at:
            self.expire()
            return
        if self.attempt is NOTHING or self.attempt.abandon_reason:
            return
        if self.suspicion.refusal() is Reason.CRASHES_SERVERS:
            self.attempt.abandon(Reason.CRASHES_SERVERS)
            return
        if not self.route.repeatable or self.retry_paid:
            return
        with_this = self.runs + 1
        if with_this >= self.route.max_attempts or self.moving:
            return
        if now - self.last_data > self.silence_limit() and self.pay_retry():
            self.retry_paid = True
            self.moving = True
            work = defer.ensureDeferred(self.move(self.attempt))
            work.addErrback(self.crashed)

    async def move(self, silent):
        """Go on elsewhere in place of a silent attempt.

        Another place is found first: a server that is only slow would
        have answered, and an answer that was cut for nothing is lost.

        Args:
            silent: The `Attempt`.
        """
        seen = self.last_data
        key = silent.lane.key
        ask = self.ask()
        ask = replace(ask, excluded=(*ask.excluded, key))
        number, decision = await self.state.asking.place(ask)
        self.moving = False
        found = isinstance(decision, Placed | Away)
        silent_still = self.attempt is silent and self.last_data == seen
        if found and silent_still and not self.over:
            self.placement = (number, decision)
            silent.abandon(Reason.CONNECTION_LOST, silent=True)
        else:
            self.state.asking.note_end(number, Finding.UNUSED)

    def silence_limit(self):
        """Return the seconds after which a server counts as silent."""
        if self.attempt.events:
            return SILENT_GAP
        return silence_limit(self.predicted)

    def expire(self):
        """End the request at the time that the operator allows."""
        attempt = self.attempt
        if attempt is not NOTHING and (attempt.sent or attempt.in_progress):
            attempt.abandon(Reason.DEADLINE)
            return
        if not self.sink.started and not self.sink.finished:
            self.fail(NotRun(Reason.DEADLINE, CONNECT_RETRY_AFTER))
            self.close()

    def conclude(self, outcome):
        """Deliver the final outcome."""
        if self.sink.finished or self.sink.disconnected:
            self.note_end("gone")
            return
        if isinstance(outcome, Answered):
            self.deliver(outcome)
            return
        if self.sink.started:
            self.note_end(f"cut: {outcome.reason}")
            self.sink.abort()
            return
        if self.kept is not NOTHING:
            self.deliver_whole(self.kept)
            return
        self.fail(outcome)

    def deliver(self, outcome):
        """End a stream, or send a whole answer."""
        if self.sink.started and self.attempt.answer is NOTHING:
            self.sink.finish()
            self.note_end("answered", outcome.status)
        elif self.sink.started:
            self.note_end("cut: the server that went on failed")
            self.sink.abort()
        else:
            self.deliver_whole(self.attempt.answer)

    def deliver_whole(self, answer):
        """Send a whole answer of a server."""
        self.sink.send_whole(answer.status, answer.headers, answer.body)
        self.note_end("answered", answer.status)

    def note_end(self, how, status=0):
        """Put the end of the request on the time line."""
        now = self.state.clock.seconds()
        first = self.first_at if self.first_at is not NOTHING else now
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
            predicted=round(self.predicted, 3),
            tries=self.tries,
            service=self.service,
            **self.configuration,
        )

    def fail(self, outcome):
        """Tell the caller that there is no answer, at once."""
        if isinstance(outcome, NotRun) and self.runs == 0:
            retry_after = outcome.retry_after
            if outcome.reason is Reason.REFUSED:
                retry_after = self.state.asking.refused_retry_after(
                    self.service, retry_after
                )
            headers = [(b"retry-after", b"%.3f" % retry_after)]
            if outcome.reason is Reason.CRASHES_SERVERS:
                # To come back within minutes would be in vain.
                headers = []
            limited = outcome.reason is Reason.RATE_LIMIT
            status = 429 if limited else 503
            respond_refusal(self.request, status, str(outcome.reason), headers)
        else:
            status = 504 if outcome.reason is Reason.DEADLINE else 502
            respond_refusal(self.request, status, str(outcome.reason))
        self.sink.finished = True
        self.note_end(f"{type(outcome).__name__}: {outcome.reason}")


def last_event_id(events):
    """Return the identifier of the last event that has one, or b""."""
    start = events.rfind(b"\n" + EVENT_ID) + 1
    if not events.startswith(EVENT_ID, start):
        return b""
    end = events.find(b"\n", start)
    return events[start + len(EVENT_ID) : end].strip()
