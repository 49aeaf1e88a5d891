"""Requests that one host forwards to a host of another region."""

from dataclasses import replace

import msgspec
from twisted.internet import defer

from ..core.events import EventKind
from ..core.exceptions import ProtocolError
from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..net.sinks import AnswerSink, first_value
from ..traffic.decisions import Ask, Placed
from ..traffic.evidence import Finding
from .attempts import Attempt, Head, Sending, silence_limit
from .connections import Lane
from .notices import notice_details
from .suspicion import HELD_RETRY_AFTER, Suspicion
from .web import respond_refusal

__all__ = ["ORDER_HEADER", "RelayApi", "RelayOrder", "encode_order"]

ORDER_HEADER = b"hyssop-relay"
OUTCOME = b"hyssop-outcome"
REASON = b"hyssop-reason"
SERVER = b"hyssop-server"
RETRY_AFTER = b"retry-after"
BARRED_RETRY_AFTER = 1.0
"""Seconds after which a request may come back that this region may not
serve, or not yet."""

ANSWERED = b"answered"
NOT_RUN = b"not-run"


class RelayOrder(msgspec.Struct, array_like=True, frozen=True):
    """What a forwarded request bears besides the caller's headers.

    Attributes:
        route: Name of the route, to check its homes here as well.
        service: Service that it needs.
        stream: Whether a success is a series of events.
        repeatable: Whether a kept connection may be used.
        time_left: Seconds until it is given up.
        objective_left: Seconds in which it would meet its objective.
        patience: Seconds in which an answer is of use.
        priority: Rank among the routes of the service.
        excluded: Servers that it must not go to.
        last_event: Event after which a stream goes on.
        begun: Whether the caller holds a part of the answer already.
        caller: IP address of the caller.
        workspace: Name of its workspace; the caller's key stays where it
            came in.
        key_digest: Digest of that key, to know repeats by.
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


_DECODER = msgspec.json.Decoder(RelayOrder)


def encode_order(order):
    """Return the value of the header that bears *order*."""
    return msgspec.json.encode(order)


def decode_order(value):
    """Return the `RelayOrder` of a header.

    Raises:
        ProtocolError: It is none.
    """
    try:
        return _DECODER.decode(value)
    except msgspec.DecodeError as problem:
        raise ProtocolError(f"relay order: {problem}") from None


def read_relay_head(codec, status, headers):
    """Return the `Head` of a relaying host's answer."""
    outcome = first_value(headers, OUTCOME)
    if outcome == NOT_RUN:
        wait = first_value(headers, RETRY_AFTER)
        try:
            reason = Reason(first_value(headers, REASON).decode("ascii"))
        except ValueError:
            reason = Reason.REFUSED
        return Head(
            not_run=True,
            retry_after=float(wait) if wait else NOTHING,
            reason=reason,
        )
    if outcome != ANSWERED:
        return Head()
    head = codec.read_head(status, headers)
    server = first_value(headers, SERVER).decode("latin-1")
    for name in (OUTCOME, SERVER, REASON):
        headers.removeHeader(name)
    return Head(echo=head.echo, stamped=True, server_id=server)


class RelayApi:
    """Carry out requests that hosts of other regions forward.

    Args:
        state: The `EntryState`.
        snapshot: Called for the bytes of this host's copy of the store.
    """

    def __init__(self, state, snapshot):
        self.state = state
        self.snapshot = snapshot
        self.relayed = set()

    def handle(self, request):
        """Serve one HTTP request of another host."""
        header = request.requestHeaders.getRawHeaders(ORDER_HEADER)
        if not header:
            self.handle_page(request)
            return
        if not self.state.members.is_known(request.peer_ip):
            # A host that has just started may be a stranger for a moment.
            # It must not take this for the answer of a server.
            respond_refusal(
                request,
                403,
                "not a host of this system",
                [(OUTCOME, NOT_RUN), (REASON, str(Reason.REFUSED).encode())],
            )
            return
        try:
            order = decode_order(header[0])
        except ProtocolError as problem:
            respond_refusal(request, 400, str(problem))
            return
        Relay(self, request, order).start()

    def handle_page(self, request):
        """Answer with this host's copy of the store."""
        if request.path != b"/state":
            respond_refusal(request, 404, "no such page")
            return
        body = self.snapshot()
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()

    def barred(self, order):
        """Return why this region may not serve an order, or `NOTHING`.

        Checked here as well: the sender's configuration may be older.
        """
        current = self.state.keeper.current
        if current is NOTHING:
            return Reason.NO_CONFIGURATION
        bound = [one for one in current.routes if one.name == order.route]
        workspace = current.workspaces.get(order.workspace)
        if workspace is not None:
            bound.append(workspace)
        region = self.state.settings.region
        if all(not one.homes or region in one.homes for one in bound):
            return NOTHING
        return Reason.RESIDENCY


class Relay:
    """One forwarded request.

    Args:
        api: The `RelayApi`.
        request: The `WebRequest`.
        order: The `RelayOrder`.
    """

    def __init__(self, api, request, order):
        self.api = api
        self.state = api.state
        self.request = request
        self.order = order
        self.sink = AnswerSink(request)
        self.suspicion = Suspicion(
            self.state.sharing, request, order.caller, order.key_digest
        )
        self.attempt = NOTHING
        self.arrived = self.state.clock.seconds()
        self.server_id = ""
        self.id = ""
        self.began = self.arrived
        self.predicted = 0.0

    def start(self):
        """Begin; the answer ends it."""
        gone = self.request.notifyFinish()
        gone.addErrback(self.caller_gone)
        self.api.relayed.add(self)
        work = defer.ensureDeferred(self.run())
        work.addBoth(self.ended)

    def ended(self, result):
        """Forget the request; write an unexpected error to the log."""
        self.api.relayed.discard(self)
        if hasattr(result, "getTraceback"):
            self.state.timeline.note(
                EventKind.UNEXPECTED, error=result.getTraceback()
            )
            if not self.sink.finished:
                self.sink.abort()

    def caller_gone(self, reason):
        """Stop the server's work when the sender has gone."""
        if self.attempt is NOTHING:
            return
        waited = self.state.clock.seconds() - self.began
        silent = waited > silence_limit(self.predicted)
        silent = silent and not self.attempt.first_seen
        self.attempt.abandon(Reason.CALLER_GONE, silent=silent)

    async def run(self):
        """Place the request, make one attempt and pass its answer on."""
        facts = self.state.codec.read_caller(self.request.requestHeaders)
        self.id = facts.id.decode("latin-1")
        barred = self.api.barred(self.order)
        if barred is not NOTHING:
            self.refuse(NotRun(barred, BARRED_RETRY_AFTER))
            return
        if self.refuse_for_crashes():
            return
        number, decision = await self.state.asking.place(self.ask(facts))
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
            placed_by=self.state.asking.placer_of(number),
            **notice_details(decision),
        )
        if self.sink.disconnected or self.refuse_for_crashes():
            self.state.asking.note_end(number, Finding.UNUSED)
            return
        outcome = await self.carry(number, decision, facts)
        self.conclude(outcome)

    def refuse_for_crashes(self):
        """Refuse a request under which servers end; return whether.

        Checked here as well: its sender may not have heard of it yet.
        """
        reason = self.suspicion.refusal()
        if reason is NOTHING:
            return False
        evidence = self.suspicion.evidence()
        self.refuse(NotRun(reason, HELD_RETRY_AFTER), evidence=evidence)
        return True

    def ask(self, facts):
        """Return the `Ask`; it stays in this region."""
        return Ask(
            host="",
            number=0,
            service=self.order.service,
            demand=replace(facts.demand, answer_within=self.order.time_left),
            time_left=self.order.objective_left,
            patience=self.order.patience,
            priority=self.order.priority,
            excluded=tuple(self.order.excluded),
            may_leave=False,
            begun=self.order.begun,
            apart=self.suspicion.apart(),
        )

    async def carry(self, number, placed, facts):
        """Make the attempt and return its outcome."""
        self.server_id = placed.server_id
        self.predicted = placed.predicted
        began = self.began = self.state.clock.seconds()
        left = self.order.time_left - (began - self.arrived)
        headers = self.state.codec.server_headers(
            self.request.requestHeaders,
            time_left=left,
            server_id=placed.server_id,
            urgency=placed.urgency if facts.demand.tokens_in else NOTHING,
            last_event=self.order.last_event.encode(),
            copy_from=placed.copy_from,
            workspace=self.order.workspace,
        )
        headers.removeHeader(ORDER_HEADER)
        self.attempt = Attempt(
            self.state.connections,
            Lane(placed.server_id, placed.address),
            sending_of(self.request, facts, headers, self.order),
            self.state.codec.read_head,
            self.state.clock,
            opened=self.open_stream,
            started=lambda: self.state.asking.note_start(
                number, self.state.clock.seconds() - began
            ),
            heard=self.state.notices.listener(placed.server_id, self.id),
        )
        outcome = await self.attempt.run()
        self.state.asking.note_end(number, self.attempt.finding)
        await self.state.endings.examine(
            self.attempt,
            self.order.caller,
            placed.predicted,
            sent_by=self.request.peer_ip,
        )
        return outcome

    def open_stream(self, answer, response):
        """Pass the head of a stream on; return what takes its events."""
        self.sink.start(answer.status, self.marked(answer.headers))
        self.sink.set_producer(response._transport)
        return self.sink.write

    def marked(self, headers):
        """Return the headers of an answer with what the sender needs."""
        return [
            *headers,
            (OUTCOME, ANSWERED),
            (SERVER, self.server_id.encode()),
        ]

    def conclude(self, outcome):
        """End the answer as the outcome demands."""
        self.state.timeline.note(
            EventKind.RELAYED,
            request=self.id,
            server=self.server_id,
            outcome=outcome,
            service=self.order.service,
            **self.state.provenance.details(),
        )
        if self.sink.started:
            if isinstance(outcome, Answered):
                self.sink.finish()
            else:
                self.sink.abort()
        elif isinstance(outcome, Answered):
            answer = self.attempt.answer
            self.sink.send_whole(
                answer.status, self.marked(answer.headers), answer.body
            )
        elif isinstance(outcome, Unknown):
            self.sink.abort()
        else:
            self.refuse(outcome)

    def refuse(self, outcome, predicted=0.0, evidence="", **details):
        """Tell the sender that the request was not run.

        Args:
            outcome: The `NotRun`.
            predicted: Seconds to an answer, had it been admitted.
            evidence: Why servers are kept from it, or "".
            details: What else the line is to say.
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
        self.sink.finished = True
        respond_refusal(self.request, 503, str(outcome.reason), headers)


def sending_of(request, facts, headers, order):
    """Return the `Sending` of a request.

    Args:
        request: The `WebRequest`.
        facts: The `CallerFacts`.
        headers: `Headers` to send.
        order: Says whether it is a stream and may be repeated.
    """
    request.content.seek(0)
    return Sending(
        id=facts.id,
        method=request.method,
        uri=request.uri,
        headers=headers,
        body=request.content.read(),
        stream=order.stream,
        repeatable=order.repeatable,
        key_digest=order.key_digest,
    )
