"""Messages between hosts and their encoding.

Each message is self-contained, because a datagram may be lost, duplicated,
delayed or reordered. Messages carry durations instead of timestamps, because
clocks differ between hosts.
"""

import msgspec

from ..core.exceptions import UNDECODABLE, ProtocolError
from ..traffic.members import Subscription
from .hostentries import HostEntry
from .startmessages import ColdServerMessage, ServerStartsMessage
from .streammessages import (
    StreamAnswer,
    StreamQuery,
    StreamRecordsMessage,
)

__all__ = [
    "AttemptEndedMessage",
    "AttemptStartedMessage",
    "Heartbeat",
    "HostEntriesMessage",
    "HostEntriesRequest",
    "LeavingRow",
    "LimitRow",
    "LoadRow",
    "PlacementGrantMessage",
    "PlacementQueryMessage",
    "PlacementRefusalMessage",
    "RegionLoadMessage",
    "RemovedItem",
    "Roster",
    "RosterRow",
    "ServerCapacityRow",
    "ServerCrashRow",
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
    """Request that a host places a request.

    Attributes:
        host: Host that sends the request to a server.
        number: Number of the request at that host.
        service: Service of the request.
        parts: Identifier and tokens of each part of the prompt.
        tokens_in: Tokens of the prompt.
        tokens_out: Tokens of the answer.
        answer_within: Seconds in which the answer must be complete.
        time_left: Seconds in which the request meets its latency objective.
        patience: Seconds after which the caller no longer needs an answer.
        priority: Priority among the routes of the service.
        excluded: Identifiers of servers that must not get the request.
        regions: Regions that may serve it; empty for all.
        avoided: Regions that have already refused it.
        may_leave: Whether it may be sent to another region.
        begun: Whether its caller has already received a part of the answer.
        apart: Fingerprint of a request that must run apart from others
            like it, or an empty string.
        workspace: Name of the workspace whose limit it consumes, or an
            empty string.
        cost: Tokens of the limit that it consumes.
        is_fallback: Whether the host that was queried first did not answer.
        recent_fallback: Whether the sender has used a fallback recently.
        gap_objective: Longest time between two events in seconds; 0 if none
            is stated.
        outranked: Whether another route of the service goes first among
            requests of the same priority.
        request: Identifier by which a return of its caller is recognised, or
            0.
        caller_time_left: Seconds until the caller's deadline, or 0.
        version: Version that a server must have, or an empty string.
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
    gap_objective: float = 0.0
    outranked: bool = False
    request: int = 0
    caller_time_left: float = 0.0
    version: str = ""


class PlacementGrantMessage(
    msgspec.Struct, array_like=True, tag="g", frozen=True
):
    """Answer to a query: the server or region for a request.

    Attributes:
        number: Number of the request at the querying host.
        server_id: Identifier of the server, or an empty string.
        address: Address of the server.
        urgency: Rank of the request at the server.
        predicted: Predicted seconds to the answer or first event.
        at_once: Whether the grant must be used at once.
        region: Region to send the request to, or an empty string.
        copy_from: Address of a server that has cached more of the prompt,
            or an empty string.
        evidence: Source of the limit that a server gave, for a log line.
        pause: Predicted longest gap between two events in seconds.
        speed: Steady factor of the times of the server, for a log line.
        slowdown: Its current slowdown, for a log line.
        slowdown_age: Seconds since it reported its load.
        version: Version of the server, or an empty string if unknown.
        placer: Host that answers, or an empty string from earlier releases.
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
    pause: float = 0.0
    speed: float = 1.0
    slowdown: float = 1.0
    slowdown_age: float = 0.0
    version: str = ""
    placer: str = ""


class PlacementRefusalMessage(
    msgspec.Struct, array_like=True, tag="r", frozen=True
):
    """Answer to a query: no server can take the request.

    Attributes:
        number: Number of the request at the querying host.
        retry_after: Seconds after which a server should have capacity.
        predicted: Predicted seconds to an answer if it were admitted.
        servers: Number of servers of the region that accept requests.
        evidence: Source of the limit that holds the request back, for a log
            line.
        promised: Whether the caller is served if it returns at that time.
        placer: As in a `PlacementGrantMessage`.
    """

    number: int
    retry_after: float
    predicted: float
    servers: int
    evidence: str = ""
    promised: bool = False
    placer: str = ""


class WorkspaceLimitMessage(
    msgspec.Struct, array_like=True, tag="t", frozen=True
):
    """Answer to a query: the workspace has reached its limit.

    Attributes:
        number: Number of the request at the querying host.
        retry_after: Seconds after which enough tokens should be available.
        host: Host that enforces the limit.
        units: Units of the limit that this host may use.
        level: Tokens that were left.
        demand: Tokens a second that are requested at this host.
        placer: As in a `PlacementGrantMessage`.
    """

    number: int
    retry_after: float
    host: str
    units: int
    level: int
    demand: int
    placer: str = ""


class TokenTransferRequest(
    msgspec.Struct, array_like=True, tag="o", frozen=True
):
    """Request for limit tokens that another region does not need.

    Attributes:
        host: Host that enforces the limits of its region.
        stamp: Milliseconds of the sender's clock, returned in the answer.
        rows: Short identifier of each workspace, and the tokens wanted.
    """

    host: str
    stamp: int
    rows: list[tuple[int, int]]


class TokenTransfer(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """Transfer of limit tokens to another region.

    Attributes:
        host: Host that gives the tokens; it has already deducted them.
        stamp: Stamp of the request.
        rows: Short identifier of each workspace, and the tokens.
    """

    host: str
    stamp: int
    rows: list[tuple[int, int]]


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """Load that a server reported in the head of a response.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait.
        slots: Requests that can run concurrently.
        slowdown: Percentage of the usual duration of work; -1 if unknown.
        head_ms: Milliseconds from the placement of the request to the head.
    """

    running: int
    waiting: int
    slots: int
    slowdown: int = -1
    head_ms: int = 0


class AttemptStartedMessage(
    msgspec.Struct, array_like=True, tag="s", frozen=True
):
    """Report to the placing host that the first event has arrived.

    Attributes:
        host: Host that sent the request to a server.
        number: Number of the request at that host.
        seconds: Seconds since the request was sent.
        load: `LoadRow` of the response, or None.
    """

    host: str
    number: int
    seconds: float
    load: LoadRow | None = None


class AttemptEndedMessage(
    msgspec.Struct, array_like=True, tag="e", frozen=True
):
    """Report to the placing host that an attempt has ended.

    Attributes:
        host: Host that made the attempt.
        number: Number of the request at that host.
        server_id: Identifier of the server.
        result: Number of the `AttemptResult`.
        events: Number of the events of its stream; 0 if no gap was observed.
        longest_gap: Longest time between two of them in seconds.
        stream_seconds: Time from the first to the last of them in seconds.
        load: `LoadRow` of the response unless a message on the start of the
            response carried it, or None.
    """

    host: str
    number: int
    server_id: str
    result: int
    events: int = 0
    longest_gap: float = 0.0
    stream_seconds: float = 0.0
    load: LoadRow | None = None


class PlacementRow(msgspec.Struct, array_like=True, frozen=True):
    """Request in progress, as a heartbeat reports it.

    Attributes:
        number: Number of the request at the host.
        server_id: Identifier of its server.
        uncached_tokens: Tokens of the prompt that are still to be prefilled.
        tokens: Tokens of memory that it occupies.
        tokens_out: Tokens that it will generate.
        urgency: Rank of the request at the server.
        started: Whether its first event has arrived.
        gap_objective: Longest time between two events in seconds; 0 if none
            is stated.
    """

    number: int
    server_id: str
    uncached_tokens: int
    tokens: int
    tokens_out: int
    urgency: int
    started: bool
    gap_objective: float = 0.0


class Heartbeat(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Report that a host is up, and its state.

    Attributes:
        host: Name of the host.
        incarnation: Number of its start.
        region: Region of the host.
        data_centre: Data centre of the host.
        front: Address for callers.
        control: Address for datagrams.
        relay: Address for forwarded requests.
        capacity: Share of the processor that the host may use.
        up_seconds: Seconds since its start.
        leaving: Whether it is about to stop.
        contact_age: Seconds since its last contact with the store.
        version: Version of its configuration.
        revisions: Newest revisions that it has seen of the entries of
            operators and of servers.
        report: `Subscription` that it wants from the recipient.
        placements: Its requests in progress, or None if not included.
        crashes: Digest of its records of requests that crash servers.
        notices: Digest of the notices of servers of the region that it has
            received.
        speeds: Rows of `SpeedHandover`, from the placing host to the one that
            would take over.
        eras: Eras of the two revisions; empty from earlier releases.
        part_crashes: Digest of its records of parts of prompts that crash
            servers.
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
    report: Subscription
    placements: list[PlacementRow] | None = None
    crashes: int = 0
    notices: int = 0
    speeds: list[tuple[int, int, int, int, int]] = []
    eras: list[int] = []
    part_crashes: int = 0


class RosterRow(msgspec.Struct, array_like=True, frozen=True):
    """Host from which, or about which, the sender receives messages.

    Attributes:
        id: Short identifier of this start of the host.
        age_tenths: Tenths of a second since it was last known to be alive.
        state: Sum of the `HostState` values that apply to it.
    """

    id: int
    age_tenths: int
    state: int


class Roster(msgspec.Struct, array_like=True, tag="m", frozen=True):
    """Report which hosts of a region are alive.

    Attributes:
        host: Name of the sender.
        rows: `RosterRow` of each host of the region.
        is_answer: Whether it answers a roster of the recipient.
    """

    host: str
    rows: list[RosterRow]
    is_answer: bool = False


class HostEntriesRequest(
    msgspec.Struct, array_like=True, tag="q", frozen=True
):
    """Request for the entries of hosts in a roster.

    Attributes:
        host: Name of the sender.
        ids: Short identifiers for which it has no entry.
    """

    host: str
    ids: list[int]


class HostEntriesMessage(
    msgspec.Struct, array_like=True, tag="w", frozen=True
):
    """Entries of hosts.

    Attributes:
        hosts: List of `HostEntry`.
    """

    hosts: list[HostEntry]


class ServerCapacityRow(msgspec.Struct, array_like=True, frozen=True):
    """Free capacity of one server.

    Attributes:
        waits: Milliseconds that a new request would wait, by its rank.
        occupancy: Percentage of its slots in use.
        token_micros: Microseconds that it needs for an output token.
        spare: Requests that its rate limit permits now; -1 without a limit.
    """

    waits: list[int]
    occupancy: int
    token_micros: int
    spare: int = -1


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of one service in a region.

    Attributes:
        slots: Requests that one server runs concurrently.
        capacities: `ServerCapacityRow` of each server that accepts
            requests, the best first.
        prefilled_parts: Short identifiers of prompt parts that were
            prefilled recently.
        versions: Versions of these servers if they have more than one.
        version_of: Index into *versions* for each server, or none.
    """

    slots: int
    capacities: list[ServerCapacityRow]
    prefilled_parts: list[int] = []
    versions: list[str] = []
    version_of: list[int] = []


class RegionLoadMessage(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """Load of a region, sent by its placing host.

    Attributes:
        region: Name of the region.
        loads: `ServiceLoad` by service.
    """

    region: str
    loads: dict[str, ServiceLoad]


class StoredItem(msgspec.Struct, array_like=True, frozen=True):
    """Item of the store, as hosts forward it.

    Attributes:
        key: Key of the item.
        value: Value of the item.
        revision: Number of its last change, without the era.
    """

    key: str
    value: bytes
    revision: int


class RemovedItem(msgspec.Struct, array_like=True, frozen=True):
    """Key that was removed from the store.

    Attributes:
        key: The removed key.
        revision: Number of the removal, without the era.
    """

    key: str
    revision: int


class StoreChange(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """Forward a change that a watch of the store has delivered.

    Attributes:
        host: Host that has the watch.
        prefix: Prefix of the keys.
        previous: Newest revision under the prefix that the host had before the
            change.
        written: Items that were written.
        removed: Keys that were removed.
        outage: Whether the store had been unavailable.
        era: Era of all revisions in the message.
    """

    host: str
    prefix: str
    previous: int
    written: list[StoredItem]
    removed: list[RemovedItem]
    outage: bool
    era: int = 0


class ServerCrashRow(msgspec.Struct, array_like=True, frozen=True):
    """Crash of a server as a request began on it.

    Attributes:
        server: The start of the server.
        age_ms: Milliseconds since the crash.
        host: Host that observed it.
        caller: Caller of the request.
        release: Service and version of the server, or an empty string.
        isolated: Whether the request ran isolated from other suspects.
    """

    server: str
    age_ms: int
    host: str
    caller: str = ""
    release: str = ""
    isolated: bool = False


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """Request, or part of prompts, under which servers have crashed.

    Attributes:
        fingerprint: Fingerprint that repeats of the request share, or
            identifier of the part.
        ends: `ServerCrashRow` of each server.
        blocked: Whether it is considered the cause.
        cleared_age_ms: Milliseconds since it succeeded, or -1.
        parts: Identifiers of the parts of the request's prompt.
    """

    fingerprint: str
    ends: list[ServerCrashRow]
    blocked: bool = False
    cleared_age_ms: int = -1
    parts: list[str] = []


class SuspectsMessage(msgspec.Struct, array_like=True, tag="x", frozen=True):
    """Report requests and parts under which servers have crashed.

    Attributes:
        host: Name of the sender.
        rows: `SuspectRow` of each request.
        parts: `SuspectRow` of each part. Earlier releases ignore it.
    """

    host: str
    rows: list[SuspectRow]
    parts: list[SuspectRow] = []


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """Rate limit that a server has announced.

    Attributes:
        server_id: Identifier of the server.
        start: Name of its start.
        limit: Requests a second that it accepts from all hosts together; -1
            for a limit that has ended.
        age_ms: Milliseconds since the limit was received.
        host: Host that received it.
        request: Identifier of the request whose response carried it.
    """

    server_id: str
    start: str
    limit: float
    age_ms: int
    host: str
    request: str


class LeavingRow(msgspec.Struct, array_like=True, frozen=True):
    """Server that has announced in a response that it is leaving.

    Attributes:
        server_id: Identifier of the server.
        start: Name of its start.
        address: Its ``ip:port``.
        age_ms: Milliseconds since the announcement was received.
        host: Host that received it.
        request: Identifier of the request whose response carried it.
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
    """Report notices of servers of the region.

    Attributes:
        host: Name of the sender.
        limits: `LimitRow` of each server that announced a limit.
        leaving: `LeavingRow` of each server that is leaving.
    """

    host: str
    limits: list[LimitRow] = []
    leaving: list[LeavingRow] = []


class ViewRequest(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """Request how recently a configuration was verified as the newest.

    Attributes:
        host: Name of the sender.
        stamp: Milliseconds of the sender's clock, returned in the answer.
    """

    host: str
    stamp: int


class ViewResponse(msgspec.Struct, array_like=True, tag="y", frozen=True):
    """Report how recently the configuration was verified as the newest.

    Attributes:
        stamp: Stamp of the request.
        age_ms: Milliseconds since it was certainly the newest version.
        version: Version of the configuration.
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
    | StreamRecordsMessage
    | StreamQuery
    | StreamAnswer
    | ServerStartsMessage
    | ColdServerMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message):
    """Return a message encoded as a datagram."""
    return _ENCODER.encode(message)


def decode_message(data):
    """Return the message that a datagram contains.

    Raises:
        ProtocolError: The datagram cannot be decoded.
    """
    try:
        return _DECODER.decode(data)
    except UNDECODABLE as problem:
        raise ProtocolError(f"invalid datagram: {problem}") from None
