"""Have requests placed by the host that places for the region."""

from collections import deque
from dataclasses import dataclass, replace

from twisted.internet import defer

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.decisions import Ask, Away, Limited, Placed, Refused
from ..traffic.serverhealth import AttemptResult
from ..traffic.servers import Usability
from ..traffic.work import Demand
from .limiting import LATELY
from .messages import (
    AskMessage,
    EndMessage,
    GrantMessage,
    LimitMessage,
    OpenTicket,
    RefusalMessage,
    StartMessage,
)

__all__ = ["ANSWER_WITHIN", "Asking"]

ANSWER_WITHIN = 0.08
"""Seconds in which a placing host must answer; a round trip within the
region takes 1 ms, the rest is for a busy processor."""

ASKED_HOSTS = 2
"""Hosts that are asked one after the other before this one decides."""

RANK_FOR = 0.1
"""Seconds for which the ranking of placing hosts is kept: to rank the hosts
of a large region takes as long as to answer a question."""

MOST_AT_ONCE = 4
"""Questions that are answered before sockets are looked at again: 1 ms."""

LATE_ANSWER = 3.0
"""Seconds for which an answer that came too late is still given back."""

BRIEF_GRANT_LIFE = 0.25
"""Seconds for which a placement may be used that must be used at once. A
host that was suspended in between would send what the count has forgotten."""


@dataclass(slots=True, eq=False)
class OpenAsk:
    """A question that waits for its answer.

    Attributes:
        ask: The `Ask`.
        member: `Member` that was asked.
        done: Deferred of the answer.
        asked_at: Time by the clock that counts suspension.
        timer: Pending call that gives up, or `NOTHING`.
    """

    ask: Ask
    member: object
    done: object
    asked_at: float
    timer: object = NOTHING


@dataclass(slots=True, eq=False)
class OpenWork:
    """A request of this host in progress.

    Attributes:
        placed: The `Placed`.
        demand: Its `Demand`.
        placer: Name of the host that placed it.
        started: Whether its first event has come.
    """

    placed: Placed
    demand: Demand
    placer: str
    started: bool = False


class Asking:
    """Ask, answer asks of others, and keep who placed what current.

    Args:
        members: The `Members`.
        placer: This host's `Placer`.
        registry: The `Registry`.
        datagrams: The `Datagrams`.
        clock: The runtime's clock.
        boot_clock: Callable that returns the seconds of a clock that also
            counts while the host is suspended.
        timeline: The `Timeline`.
        limiting: The `Limiting`.
        rests: The `RetryAfterPauses` that servers asked this host for.
        guarded: Called with work whose unexpected failure is logged.
    """

    def __init__(
        self,
        members,
        placer,
        registry,
        datagrams,
        clock,
        boot_clock,
        timeline,
        limiting,
        rests,
        guarded=lambda work: work(),
    ):
        self.members = members
        self.placer = placer
        self.registry = registry
        self.datagrams = datagrams
        self.clock = clock
        self.boot_clock = boot_clock
        self.timeline = timeline
        self.limiting = limiting
        self.rests = rests
        self.guarded = guarded
        self.number = 0
        self.asks = {}
        self.given_up = {}
        self.work = {}
        self.sent_away = {}
        self.strayed_at = NOTHING
        self.ranked = []
        self.ranked_at = NOTHING
        self.questions = deque()
        self.left_out = 0

    @property
    def host(self):
        """Name of this host."""
        return self.members.own.name

    async def place(self, ask):
        """Return the number and the decision for a request.

        Args:
            ask: The `Ask`; its host and number are set here.
        """
        self.number += 1
        number = self.number
        ask = replace(ask, host=self.host, number=number)
        decision = await self.decision_for(number, self.without_resting(ask))
        return number, self.until_first_back(ask, decision)

    def without_resting(self, ask):
        """Return an `Ask` that leaves out the servers at rest."""
        resting = self.rests.blocked(self.clock.seconds())
        if not resting:
            return ask
        return replace(ask, excluded=(*ask.excluded, *resting))

    def until_first_back(self, ask, decision):
        """Return a refusal with the end of the first rest.

        A placing host does not know which servers this one leaves alone,
        nor for how long.
        """
        if not isinstance(decision, Refused) or decision.servers:
            return decision
        rest = self.first_back(ask.service, ask.excluded)
        if rest is NOTHING:
            return decision
        now = self.clock.seconds()
        return replace(
            decision,
            retry_after=self.rests.retry_delay(rest, now),
            evidence=rest.describe(now),
        )

    def first_back(self, service, excluded=()):
        """Return the `RetryAfterPause` that ends first if all servers rest.

        Args:
            service: The service.
            excluded: Identifiers of servers that are of no use anyway,
                unless they rest.

        Returns:
            `NOTHING` if a server of this region takes requests.
        """
        now = self.clock.seconds()
        region = self.members.own.region
        found = self.registry.candidates(service, region, now)
        known = [one.entry.id for one in found]
        ids = [
            one
            for one in known
            if one not in excluded or self.rests.is_blocked(one, now)
        ]
        return self.rests.first_to_end(ids, now)

    def refused_retry_after(self, service, usual):
        """Return when a caller may come back whom a server turned away.

        Args:
            service: The service that it needs.
            usual: Seconds if not all servers here rest.
        """
        rest = self.first_back(service)
        if rest is NOTHING:
            return usual
        return self.rests.retry_delay(rest, self.clock.seconds())

    async def decision_for(self, number, ask):
        """Return the decision of the first host that answers, or the own."""
        for turn, member in enumerate(self.placers()[:ASKED_HOSTS]):
            if member is self.members.own:
                return self.decide_here(ask, cold_allowed=True)
            second = turn > 0
            if second:
                self.strayed_at = self.clock.seconds()
            decision = await self.ask_other(member, ask, second=second)
            if self.is_usable(decision):
                self.keep(number, ask, decision, member.name)
                return decision
            if isinstance(decision, Placed):
                self.decline(number, decision.server_id, member)
        ask = self.without_resting(ask)
        return self.decide_here(ask, cold_allowed=False)

    def placers(self):
        """Return the hosts that may place, the best first."""
        now = self.clock.seconds()
        if self.ranked_at is NOTHING or now - self.ranked_at >= RANK_FOR:
            self.ranked = self.members.placers(now)
            self.ranked_at = now
        return self.ranked

    def decide_here(self, ask, *, cold_allowed):
        """Decide by this host's own knowledge."""
        decision = self.decide(ask, cold_allowed=cold_allowed)
        self.keep(ask.number, ask, decision, self.host)
        return decision

    def decide(self, ask, *, cold_allowed):
        """Return this host's decision, within the limits that it counts."""
        return self.limiting.decide(
            ask,
            lambda: self.placer.place(
                ask, self.clock.seconds(), cold_allowed=cold_allowed
            ),
        )

    def keep(self, number, ask, decision, placer):
        """Remember a placed request until its end.

        One that is sent to another region is remembered if it takes from
        a limit, which is counted in this one.
        """
        if isinstance(decision, Placed):
            self.work[number] = OpenWork(decision, ask.demand, placer)
            self.rests.record_sent(decision.server_id, self.clock.seconds())
        elif isinstance(decision, Away) and ask.cost:
            self.sent_away[number] = placer

    def is_usable(self, decision):
        """Whether a decision of another host may be used.

        The other host may lag behind this one: a server of which this
        host has heard that it leaves, or that asked it for rest, gets
        nothing, whoever placed it.
        """
        if decision is NOTHING:
            return False
        if not isinstance(decision, Placed):
            return True
        now = self.clock.seconds()
        usability = self.registry.usability(decision.server_id, now)
        if usability is Usability.LEAVING:
            return False
        return not self.rests.is_blocked(decision.server_id, now)

    def ask_other(self, member, ask, *, second=False):
        """Ask another host; return a deferred of the decision.

        It is `NOTHING` if no answer came in time.
        """
        done = defer.Deferred()
        waiting = OpenAsk(ask, member, done, self.boot_clock())
        waiting.timer = self.clock.callLater(
            ANSWER_WITHIN, self.give_up, ask.number
        )
        self.asks[ask.number] = waiting
        message = ask_message(ask, second=second, strayed=self.strays)
        self.datagrams.send(message, member.control)
        return done

    @property
    def strays(self):
        """Whether the first host has left a question unanswered lately."""
        if self.strayed_at is NOTHING:
            return False
        return self.clock.seconds() - self.strayed_at < LATELY

    def give_up(self, number):
        """Go on without an answer."""
        waiting = self.asks.pop(number, None)
        if waiting is not None:
            waiting.timer = NOTHING
            self.given_up[number] = waiting.member
            self.clock.callLater(LATE_ANSWER, self.given_up.pop, number, None)
            waiting.done.callback(NOTHING)

    def take_answer(self, message):
        """Take the answer of a placing host."""
        waiting = self.asks.pop(message.number, None)
        if waiting is None:
            self.give_back(message)
            return
        if waiting.timer is not NOTHING:
            waiting.timer.cancel()
        decision = decision_of(message)
        age = self.boot_clock() - waiting.asked_at
        at_once = isinstance(decision, Placed) and decision.at_once
        if at_once and age > BRIEF_GRANT_LIFE:
            decision = NOTHING
        waiting.done.callback(decision)

    def give_back(self, message):
        """Give a placement back that came too late to be used.

        The host that made it counts the request at a server that never
        gets it. A busy host answers many late; without this its servers
        looked loaded by requests that others carried out elsewhere.
        """
        member = self.given_up.pop(message.number, None)
        if member is None or not isinstance(message, GrantMessage):
            return
        if message.server_id or message.region:
            self.decline(message.number, message.server_id, member)

    def decline(self, number, server_id, member):
        """Tell the host that placed a request that it is not sent."""
        end = EndMessage(
            self.host, number, server_id, int(AttemptResult.UNUSED)
        )
        self.datagrams.send(end, member.control)

    def take_question(self, message, member):
        """Queue the question of another host.

        The newest is answered first, and one that waited for too long not
        at all: its host has decided by itself. Answered in the order in
        which they came, a placing host that cannot keep up answers all of
        them too late.
        """
        if not self.questions:
            self.clock.callLater(0, self.guarded, self.answer_some)
        self.questions.append((self.clock.seconds(), message, member))

    def answer_some(self):
        """Answer the newest questions, and leave out those too old."""
        self.leave_out(self.clock.seconds() - ANSWER_WITHIN)
        count = min(MOST_AT_ONCE, len(self.questions))
        newest = [self.questions.pop() for _ in range(count)]
        if self.questions:
            self.clock.callLater(0, self.guarded, self.answer_some)
        for _, message, member in newest:
            self.answer(message, member)

    def leave_out(self, oldest):
        """Drop the questions that came before the time *oldest*."""
        left_out = 0
        while self.questions and self.questions[0][0] < oldest:
            self.questions.popleft()
            left_out += 1
        if left_out:
            self.left_out += left_out
            self.timeline.note(EventKind.UNANSWERED, questions=left_out)

    def answer(self, message, member):
        """Place a request of another host and tell it."""
        ask = ask_of(message)
        first = self.placers()[0] is self.members.own
        self.limiting.standing.note_asked(
            message.host, second=message.second, strayed=message.strayed
        )
        decision = self.decide(ask, cold_allowed=first)
        self.datagrams.send(
            answer_message(ask.number, decision), member.control
        )

    def note_start(self, number, seconds):
        """Tell that the first event of a request has come."""
        work = self.work.get(number)
        if work is None:
            return
        work.started = True
        self.placer.note_start(
            self.host, number, seconds, self.clock.seconds()
        )
        self.tell(work.placer, StartMessage(self.host, number, seconds))

    def note_end(self, number, finding):
        """Tell that an attempt has ended, or that a placement is not used."""
        if finding is AttemptResult.UNUSED:
            self.note_away_end(number, ran=False)
        work = self.work.pop(number, None)
        if work is None:
            return
        server_id = work.placed.server_id
        self.take_end(self.host, number, server_id, finding)
        message = EndMessage(self.host, number, server_id, int(finding))
        self.tell(work.placer, message)

    def note_away_end(self, number, *, ran):
        """Tell that an attempt in another region has ended."""
        placer = self.sent_away.pop(number, "")
        if not placer or ran:
            return
        self.limiting.note_end(self.host, number, AttemptResult.UNUSED)
        message = EndMessage(self.host, number, "", int(AttemptResult.UNUSED))
        self.tell(placer, message)

    def take_end(self, host, number, server_id, finding):
        """Take account of the end of an attempt of any host."""
        self.limiting.note_end(host, number, finding)
        if not server_id:
            return
        suspected = self.placer.note_end(
            host, number, server_id, finding, self.clock.seconds()
        )
        if suspected:
            self.timeline.note(
                EventKind.SERVER_PAUSED,
                server=server_id,
                reason=AttemptResult(finding).name.lower(),
                told_by=host,
            )

    def tell(self, name, message):
        """Send *message* to the host that placed a request."""
        if name == self.host:
            return
        member = self.members.others.get(name)
        if member is not None:
            self.datagrams.send(message, member.control)

    def placer_of(self, number):
        """Return the name of the host that placed a request."""
        work = self.work.get(number)
        return work.placer if work is not None else ""

    def open_tickets(self):
        """Return an `OpenTicket` for each request in progress."""
        return [
            OpenTicket(
                number,
                work.placed.server_id,
                0 if work.started else work.demand.tokens_in,
                work.demand.tokens_in + work.demand.tokens_out,
                work.demand.tokens_out,
                work.placed.urgency,
                work.started,
            )
            for number, work in self.work.items()
        ]


def ask_message(ask, *, second=False, strayed=False):
    """Return the message of an `Ask`.

    Args:
        ask: The `Ask`.
        second: Whether the host that was asked first did not answer.
        strayed: Whether that happened lately.
    """
    demand = ask.demand
    return AskMessage(
        ask.host,
        ask.number,
        ask.service,
        list(demand.parts),
        demand.tokens_in,
        demand.tokens_out,
        round(demand.answer_within, 3),
        round(ask.time_left, 4),
        round(ask.patience, 4),
        ask.priority,
        list(ask.excluded),
        sorted(ask.regions),
        list(ask.avoided),
        ask.may_leave,
        ask.begun,
        ask.apart,
        ask.workspace,
        ask.cost,
        second,
        strayed,
    )


def ask_of(message):
    """Return the `Ask` of a message."""
    return Ask(
        host=message.host,
        number=message.number,
        service=message.service,
        demand=Demand(
            parts=tuple(message.parts),
            tokens_in=message.tokens_in,
            tokens_out=message.tokens_out,
            answer_within=message.answer_within,
        ),
        time_left=message.time_left,
        patience=message.patience,
        priority=message.priority,
        excluded=tuple(message.excluded),
        regions=frozenset(message.regions),
        avoided=tuple(message.avoided),
        may_leave=message.may_leave,
        begun=message.begun,
        apart=message.apart,
        workspace=message.workspace,
        cost=message.cost,
    )


def answer_message(number, decision):
    """Return the message of a decision."""
    if isinstance(decision, Limited):
        return LimitMessage(
            number,
            decision.retry_after,
            decision.host,
            decision.units,
            decision.level,
            decision.demand,
        )
    if isinstance(decision, Refused):
        return RefusalMessage(
            number,
            decision.retry_after,
            decision.predicted,
            decision.servers,
            decision.evidence,
        )
    if isinstance(decision, Away):
        return GrantMessage(
            number, "", "", 5, decision.predicted, False, decision.region, ""
        )
    return GrantMessage(
        number,
        decision.server_id,
        decision.address,
        decision.urgency,
        decision.predicted,
        decision.at_once,
        "",
        decision.copy_from,
        decision.evidence,
    )


def decision_of(message):
    """Return the decision of a message."""
    if isinstance(message, LimitMessage):
        return Limited(
            message.retry_after,
            message.host,
            message.units,
            message.level,
            message.demand,
        )
    if isinstance(message, RefusalMessage):
        return Refused(
            message.retry_after,
            message.predicted,
            message.servers,
            message.evidence,
        )
    if message.region:
        return Away(message.region, message.predicted)
    return Placed(
        message.server_id,
        message.address,
        message.urgency,
        message.predicted,
        message.at_once,
        message.copy_from,
        message.evidence,
    )
