"""Datagrams between hosts, and how they are encoded.

Each message stands for itself: it may be lost, doubled, late or out of
order. Times in them are durations, as clocks differ between hosts.
"""

import msgspec

from ..core.exceptions import ProtocolError
from ..traffic.members import Report
from .hostentries import HostEntry

__all__ = [
    "AttemptEndedMessage",
    "AttemptStartedMessage",
    "Heartbeat",
    "HostEntriesMessage",
    "HostEntriesRequest",
    "LeavingRow",
    "LimitRow",
    "PlacementGrantMessage",
    "PlacementQueryMessage",
    "PlacementRefusalMessage",
    "RegionLoadMessage",
    "RemovedItem",
    "Roster",
    "RosterRow",
    "ServerCapacityRow",
    "ServerEndRow",
    "ServerNoticesMessage",
    "StoreChange",
    "StoredItem",
    "SuspectRow",
    "SuspectsMessage",
    "TokenTransfer",
    "TokenTransferRequest",
    "ViewRequest",
    "ViewResponse",
    "WorkspaceLimitMessage",
    "decode_message",
    "encode_message",
]


class PlacementQueryMessage(
    msgspec.Struct, array_like=True, tag="a", frozen=True
):
    """Ask a host to place a request.

    Attributes:
        host: Host that carries it out.
        number: The host's number for it.
        service: Service that it needs.
        parts: Identifier and tokens of each part of the prompt.
        tokens_in: Tokens of the prompt.
        tokens_out: Tokens of the answer.
        answer_within: Seconds in which the answer must be whole.
        time_left: Seconds in which it would meet its objective.
        patience: Seconds in which an answer is of use.
        priority: Rank among the routes of the service.
        excluded: Servers that it must not go to.
        regions: Regions that may serve it; empty for all.
        avoided: Regions that have refused it already.
        may_leave: Whether it may be sent to another region.
        begun: Whether its caller holds a part of the answer already.
        apart: Fingerprint of a request that must run apart from others
            like it, or an empty string.
        workspace: Name of the workspace whose limit it takes from, or an
            empty string.
        cost: Tokens that it takes from it.
        is_fallback: Whether the host that was asked first did not answer.
        recent_fallback: Whether that happened to the sender lately.
    """

    host: str
    number: int
    service: str
    parts: list[tuple[str, int]]
    tokens_in: int
    tokens_out: int
    answer_within: float
    time_left: float
    patience: float
    priority: int
    excluded: list[str]
    regions: list[str]
    avoided: list[str]
    may_leave: bool
    begun: bool
    apart: str = ""
    workspace: str = ""
    cost: int = 0
    is_fallback: bool = False
    recent_fallback: bool = False


class PlacementGrantMessage(
    msgspec.Struct, array_like=True, tag="g", frozen=True
):
    """Answer an ask with a server or a region.

    Attributes:
        number: The asking host's number.
        server_id: The server, or an empty string.
        address: Its address.
        urgency: Rank for the server.
        predicted: Seconds to the answer or first event.
        at_once: Whether the grant must be used at once.
        region: Region to send it to, or an empty string.
        copy_from: Address of a server that has cached more of the prompt,
            or an empty string.
        evidence: What named a limit of the server, for a log line.
    """

    number: int
    server_id: str
    address: str
    urgency: int
    predicted: float
    at_once: bool
    region: str
    copy_from: str
    evidence: str = ""


class PlacementRefusalMessage(
    msgspec.Struct, array_like=True, tag="r", frozen=True
):
    """Answer an ask with a refusal.

    Attributes:
        number: The asking host's number.
        retry_after: Seconds after which there should be room.
        predicted: Seconds to an answer if it were admitted.
        servers: Servers of the region that could take requests.
        evidence: What named the limit that holds it back, for a log line.
    """

    number: int
    retry_after: float
    predicted: float
    servers: int
    evidence: str = ""


class WorkspaceLimitMessage(
    msgspec.Struct, array_like=True, tag="t", frozen=True
):
    """Answer an ask: the workspace has reached its limit.

    Attributes:
        number: The asking host's number.
        retry_after: Seconds after which there should be enough.
        host: Host that counts.
        units: Units of the limit that it may use.
        level: Tokens that were left.
        demand: Tokens a second that are asked for there.
    """

    number: int
    retry_after: float
    host: str
    units: int
    level: int
    demand: int


class TokenTransferRequest(
    msgspec.Struct, array_like=True, tag="o", frozen=True
):
    """Ask for tokens of limits that the other region does not need.

    Attributes:
        host: Host that counts for its region.
        stamp: Milliseconds of its own clock, to be sent back.
        rows: Short name of each workspace, and the tokens wanted.
    """

    host: str
    stamp: int
    rows: list[tuple[int, int]]


class TokenTransfer(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """Hand tokens of limits over to another region.

    Attributes:
        host: Host that gives them, and has them no more.
        stamp: That of the question.
        rows: Short name of each workspace, and the tokens.
    """

    host: str
    stamp: int
    rows: list[tuple[int, int]]


class AttemptStartedMessage(
    msgspec.Struct, array_like=True, tag="s", frozen=True
):
    """Tell the placing host that the first event has come.

    Attributes:
        host: Host that carries the request out.
        number: Its number.
        seconds: Seconds since it was sent.
    """

    host: str
    number: int
    seconds: float


class AttemptEndedMessage(
    msgspec.Struct, array_like=True, tag="e", frozen=True
):
    """Tell the placing host that an attempt has ended.

    Attributes:
        host: Host that carried it out.
        number: Its number.
        server_id: The server.
        finding: Number of the `Finding`.
    """

    host: str
    number: int
    server_id: str
    finding: int


class OpenTicket(msgspec.Struct, array_like=True, frozen=True):
    """A request in progress, as a heartbeat names it.

    Attributes:
        number: The host's number for it.
        server_id: Its server.
        fresh_tokens: Tokens to be read.
        tokens: Memory that it takes.
        tokens_out: Tokens that it will make.
        urgency: Its rank.
        started: Whether its first event has come.
    """

    number: int
    server_id: str
    fresh_tokens: int
    tokens: int
    tokens_out: int
    urgency: int
    started: bool


class Heartbeat(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Tell that a host is up, and what it has.

    Attributes:
        host: Its name.
        incarnation: Number of its start.
        region: Its region.
        data_centre: Its data centre.
        front: Address for callers.
        control: Address for datagrams.
        relay: Address for forwarded requests.
        capacity: Processor share.
        up_seconds: Seconds since its start.
        leaving: Whether it is about to stop.
        contact_age: Seconds since it heard the store.
        version: Version of its configuration.
        revisions: Newest revisions that it has seen, of what operators
            wrote and of the servers.
        report: `Report`: what it wants from who gets this.
        tickets: Its requests in progress, or None if they are not told.
        crashes: Digest of what it knows of requests under which servers
            ended.
        notices: Digest of what it knows that servers of the region say of
            themselves.
    """

    host: str
    incarnation: int
    region: str
    data_centre: str
    front: str
    control: str
    relay: str
    capacity: float
    up_seconds: float
    leaving: bool
    contact_age: float
    version: int
    revisions: tuple[int, int]
    report: Report
    tickets: list[OpenTicket] | None = None
    crashes: int = 0
    notices: int = 0


class RosterRow(msgspec.Struct, array_like=True, frozen=True):
    """A host that the sender hears, or is told of.

    Attributes:
        id: Short name of this start of it.
        age_tenths: Tenths of a second since it was heard.
        state: Sum of the `HostState` that hold for it.
    """

    id: int
    age_tenths: int
    state: int


class Roster(msgspec.Struct, array_like=True, tag="m", frozen=True):
    """Tell which hosts of a region live.

    Attributes:
        host: Name of the sender.
        rows: `RosterRow` of each host of the region.
    """

    host: str
    rows: list[RosterRow]


class HostEntriesRequest(
    msgspec.Struct, array_like=True, tag="q", frozen=True
):
    """Ask who the hosts of a roster are.

    Attributes:
        host: Name of the sender.
        ids: Short names that it does not know.
    """

    host: str
    ids: list[int]


class HostEntriesMessage(
    msgspec.Struct, array_like=True, tag="w", frozen=True
):
    """Tell who hosts are.

    Attributes:
        hosts: `HostEntry` of each.
    """

    hosts: list[HostEntry]


class ServerCapacityRow(msgspec.Struct, array_like=True, frozen=True):
    """Room at one server.

    Attributes:
        waits: Milliseconds that a new request would wait, by its rank.
        used: Percentage of its places in use.
        token_micros: Microseconds that it needs for an output token.
        spare: Requests that its limit lets through now; -1 without one.
    """

    waits: list[int]
    used: int
    token_micros: int
    spare: int = -1


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of one service in a region.

    Attributes:
        slots: Requests that one server runs at once.
        rooms: `ServerCapacityRow` of each server that takes requests, the best
            first.
        read: Short names of parts of prompts that were read of late.
    """

    slots: int
    rooms: list[ServerCapacityRow]
    read: list[int] = []


class RegionLoadMessage(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """Load of a region, from the host that places there.

    Attributes:
        region: The region.
        loads: `ServiceLoad` by service.
    """

    region: str
    loads: dict[str, ServiceLoad]


class StoredItem(msgspec.Struct, array_like=True, frozen=True):
    """One item of the store, as hosts pass it on.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of its last change.
    """

    key: str
    value: bytes
    revision: int


class RemovedItem(msgspec.Struct, array_like=True, frozen=True):
    """A key that was removed from the store.

    Attributes:
        key: The key.
        revision: Revision of the store at its removal.
    """

    key: str
    revision: int


class StoreChange(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """Pass on what a watch of the store has brought.

    Attributes:
        host: Host whose watch it was.
        prefix: Prefix of the keys.
        previous: Newest revision below the prefix that the host knew.
        written: Items that were written.
        removed: Keys that were removed.
        outage: Whether the store had been away.
    """

    host: str
    prefix: str
    previous: int
    written: list[StoredItem]
    removed: list[RemovedItem]
    outage: bool


class ServerEndRow(msgspec.Struct, array_like=True, frozen=True):
    """A server that ended as a request began on it.

    Attributes:
        server: The start of a server.
        age_ms: Milliseconds since its end.
        host: Host that saw it.
        caller: Address that the request came from.
    """

    server: str
    age_ms: int
    host: str
    caller: str = ""


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """A request under which servers ended.

    Attributes:
        fingerprint: What its repeats have in common.
        ends: `ServerEndRow` of each server.
        blocked: Whether it is held to be the cause.
        cleared_age_ms: Milliseconds since it ran well, or -1.
    """

    fingerprint: str
    ends: list[ServerEndRow]
    blocked: bool = False
    cleared_age_ms: int = -1


class SuspectsMessage(msgspec.Struct, array_like=True, tag="x", frozen=True):
    """Tell of requests under which servers ended.

    Attributes:
        host: Name of the sender.
        rows: `SuspectRow` of each request.
    """

    host: str
    rows: list[SuspectRow]


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """The limit that a server names.

    Attributes:
        server_id: The server.
        start: Name of its start.
        limit: Requests a second that it takes from all hosts together; -1
            for a limit that has ended.
        age_ms: Milliseconds since it was heard.
        host: Host that heard it.
        request: Request to which it was the answer.
    """

    server_id: str
    start: str
    limit: float
    age_ms: int
    host: str
    request: str


class LeavingRow(msgspec.Struct, array_like=True, frozen=True):
    """A server whose answer said that it leaves.

    Attributes:
        server_id: The server.
        start: Name of its start.
        address: Its ``ip:port``.
        age_ms: Milliseconds since it was heard.
        host: Host that heard it.
        request: Request to which it was the answer.
    """

    server_id: str
    start: str
    address: str
    age_ms: int
    host: str
    request: str


class ServerNoticesMessage(
    msgspec.Struct, array_like=True, tag="n", frozen=True
):
    """Tell what servers of the region say of themselves.

    Attributes:
        host: Name of the sender.
        limits: `LimitRow` of each server that named a limit.
        leaving: `LeavingRow` of each server that leaves.
    """

    host: str
    limits: list[LimitRow] = []
    leaving: list[LeavingRow] = []


class ViewRequest(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """Ask how surely a host's configuration is the newest.

    Attributes:
        host: Name of the sender.
        stamp: Milliseconds of its own clock, to be sent back.
    """

    host: str
    stamp: int


class ViewResponse(msgspec.Struct, array_like=True, tag="y", frozen=True):
    """Tell how surely the sender's configuration is the newest.

    Attributes:
        stamp: That of the question.
        age_ms: Milliseconds since it was the newest for sure.
        version: Its version.
    """

    stamp: int
    age_ms: int
    version: int


Message = (
    PlacementQueryMessage
    | PlacementGrantMessage
    | PlacementRefusalMessage
    | WorkspaceLimitMessage
    | AttemptStartedMessage
    | AttemptEndedMessage
    | Heartbeat
    | Roster
    | HostEntriesRequest
    | HostEntriesMessage
    | RegionLoadMessage
    | StoreChange
    | SuspectsMessage
    | ServerNoticesMessage
    | TokenTransfer
    | TokenTransferRequest
    | ViewRequest
    | ViewResponse
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message):
    """Return the bytes of a datagram."""
    return _ENCODER.encode(message)


def decode_message(data):
    """Return the message of a datagram.

    Raises:
        ProtocolError: It is none.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ProtocolError(f"datagram: {problem}") from None
