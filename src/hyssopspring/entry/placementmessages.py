"""Messages that carry placement queries, decisions and progress."""

from ..core.sentinels import NOTHING
from ..traffic.decisions import (
    Placed,
    PlacedRemotely,
    PlacementQuery,
    RateLimited,
    Refused,
)
from ..traffic.reportedload import ReportedLoad
from ..traffic.work import Demand
from .messages import (
    AttemptEndedMessage,
    LoadRow,
    PlacementGrantMessage,
    PlacementQueryMessage,
    PlacementRefusalMessage,
    WorkspaceLimitMessage,
)

__all__ = [
    "answer_message",
    "decision_from_message",
    "end_message",
    "load_from_row",
    "load_row",
    "query_from_message",
    "query_message",
]

MAX_SENT_SLOWDOWN = 100.0
"""Maximum slowdown in a message; the placing host caps it further."""


def load_row(load, seconds):
    """Return the `LoadRow` of a `ReportedLoad`.

    Args:
        load: The `ReportedLoad`.
        seconds: Seconds from the placement to the head of the response.
    """
    slowdown = -1
    if load.slowdown is not NOTHING:
        slowdown = round(min(load.slowdown, MAX_SENT_SLOWDOWN) * 100)
    return LoadRow(
        load.running,
        load.waiting,
        load.slots,
        slowdown,
        round(seconds * 1000),
    )


def load_from_row(row):
    """Return the `ReportedLoad` of a `LoadRow`."""
    slowdown = row.slowdown / 100 if row.slowdown > 0 else NOTHING
    return ReportedLoad(row.running, row.waiting, row.slots, slowdown)


def query_message(ask, *, is_fallback=False, recent_fallback=False):
    """Return the message that carries a `PlacementQuery`.

    Args:
        ask: The `PlacementQuery`.
        is_fallback: Whether the host that was queried first did not answer.
        recent_fallback: Whether the sender has used a fallback recently.
    """
    demand = ask.demand
    return PlacementQueryMessage(
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
        is_fallback,
        recent_fallback,
        ask.gap_objective,
        ask.outranked,
        ask.request,
        round(ask.caller_time_left, 3),
        ask.version,
    )


def query_from_message(message):
    """Return the `PlacementQuery` that a `PlacementQueryMessage` carries."""
    return PlacementQuery(
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
        gap_objective=message.gap_objective,
        outranked=message.outranked,
        request=message.request,
        caller_time_left=message.caller_time_left,
        version=message.version,
    )


def end_message(host, number, server_id, result, gaps, load=None):
    """Return the message that reports the end of an attempt.

    Args:
        host: Host that made it.
        number: Number of the request at that host.
        server_id: Its server.
        result: The `AttemptResult`.
        gaps: `StreamGaps` of its stream, or `NOTHING`.
        load: `LoadRow` of the response, or None.
    """
    if gaps is NOTHING:
        return AttemptEndedMessage(
            host, number, server_id, int(result), load=load
        )
    return AttemptEndedMessage(
        host,
        number,
        server_id,
        int(result),
        gaps.events,
        round(gaps.longest, 4),
        round(gaps.seconds, 4),
        load,
    )


def answer_message(number, decision, placer=""):
    """Return the message that carries a decision.

    Args:
        number: Number of the request at the querying host.
        decision: The decision.
        placer: Name of the host that answers.
    """
    if isinstance(decision, RateLimited):
        return WorkspaceLimitMessage(
            number,
            decision.retry_after,
            decision.host,
            decision.units,
            decision.level,
            decision.demand,
            placer,
        )
    if isinstance(decision, Refused):
        return PlacementRefusalMessage(
            number,
            decision.retry_after,
            decision.predicted,
            decision.servers,
            decision.evidence,
            decision.promised,
            placer,
        )
    if isinstance(decision, PlacedRemotely):
        return PlacementGrantMessage(
            number,
            "",
            "",
            5,
            decision.predicted,
            False,
            decision.region,
            "",
            placer=placer,
        )
    return PlacementGrantMessage(
        number,
        decision.server_id,
        decision.address,
        decision.urgency,
        decision.predicted,
        decision.at_once,
        "",
        decision.copy_from,
        decision.evidence,
        round(decision.pause, 3),
        round(decision.speed, 2),
        round(decision.slowdown, 2),
        round(decision.slowdown_age, 2),
        decision.version,
        placer,
    )


def decision_from_message(message):
    """Return the decision that an answer carries."""
    if isinstance(message, WorkspaceLimitMessage):
        return RateLimited(
            message.retry_after,
            message.host,
            message.units,
            message.level,
            message.demand,
        )
    if isinstance(message, PlacementRefusalMessage):
        return Refused(
            message.retry_after,
            message.predicted,
            message.servers,
            message.evidence,
            message.promised,
        )
    if message.region:
        return PlacedRemotely(message.region, message.predicted)
    return Placed(
        message.server_id,
        message.address,
        message.urgency,
        message.predicted,
        message.at_once,
        message.copy_from,
        message.evidence,
        message.pause,
        message.speed,
        message.slowdown,
        message.slowdown_age,
        message.version,
    )
