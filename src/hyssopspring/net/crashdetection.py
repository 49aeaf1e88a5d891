"""Detection of calls under which backend servers crash."""

from twisted.internet import error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from ..core.addresses import split_address
from ..core.events import EventKind
from ..core.hashing import digest_of
from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..entry.crashsharing import (
    note_blocked,
    suspect_row,
    suspects_from_message,
)
from ..entry.requestorigins import RequestOrigin
from ..traffic.crashes import RETENTION_SECONDS, CrashTracker, may_be_cause
from ..traffic.crashverdicts import Verdict
from ..traffic.partruns import PartRuns
from ..traffic.suspects import ServerCrash, part_id_of, part_key
from .messages import CrashSuspectsMessage

__all__ = ["CRASH_TOPIC", "AttemptTiming", "CallCrashDetector"]

CRASH_TOPIC = b"c"
"""Topic of `CrashSuspectsMessage` messages between hosts."""

PROBE_TIMEOUT_SECONDS = 0.1
"""Time limit for connecting to a server that aborted a response. If its
process has ended, its machine refuses the connection within 2 ms; a machine
without power does not respond at all."""

DEFERRED_RETRY_AFTER_SECONDS = 0.5
"""Retry-After of a call that is deferred until another suspected call has
finished, or until more is known about which servers crashed."""

BROADCAST_INTERVAL_SECONDS = 5.0
"""Interval of the broadcasts of all shared suspects. They are for hosts that
missed a message, were isolated or have just started."""

MAX_BROADCAST_ROWS = 20
"""Calls in one broadcast, which is 5 KB at most. With one message every five
seconds it takes half of the bandwidth that a host may use for control
messages, while servers crash."""

CONNECTION_BROKEN_REASONS = (Reason.CONNECTION_LOST, Reason.TRUNCATED)
"""Reasons of an attempt whose connection or stream the server aborted."""


class CallCrashDetector:
    """Refuse calls under which servers crash, and report them to all hosts.

    Callers are identified by their API keys here, so a call is identified
    by its workspace, target, method, path and body. Calls may have the start
    of their prompts in common, which is a suspect of its own.

    Args:
        host: Name of this host.
        clock: The clock (the reactor).
        timeline: The `Timeline`, the event log.
        publish: Called with a `CrashSuspectsMessage` to send to all hosts.
    """

    def __init__(self, host, clock, timeline, publish):
        self.host = host
        self.clock = clock
        self.timeline = timeline
        self.publish = publish
        self.crashes = CrashTracker()
        self.part_runs = PartRuns()
        self.isolated = set()
        self.next_broadcast_at = 0.0

    def refusal(self, request, message):
        """Return a `NotRun` if a call must not be sent now, else `NOTHING`.

        A blocked call is refused. A suspected call is either deferred, or
        run while no other suspected call runs on this host.

        Args:
            request: The `Request`.
            message: Its `CallerMessage`.
        """
        if not self.crashes.suspects:
            return NOTHING
        now = self.clock.seconds()
        callers = origin_of(request, message).callers
        verdict = self.crashes.causes.assess(callers, now).verdict
        if verdict is Verdict.BLOCKED:
            # The block is removed when it expires, and not sooner.
            return NotRun(Reason.CRASHES_SERVERS, RETENTION_SECONDS)
        must_wait = verdict is Verdict.ISOLATED and self.isolated - {
            request.id
        }
        if verdict is Verdict.DEFERRED or must_wait:
            return NotRun(Reason.SUSPECTED, DEFERRED_RETRY_AFTER_SECONDS)
        if verdict is Verdict.ISOLATED:
            self.isolated.add(request.id)
        return NOTHING

    def request_finished(self, request):
        """Record that a request has finished."""
        self.isolated.discard(request.id)

    async def check_attempt(
        self, request, message, server, address, outcome, times
    ):
        """Record whether a server crashed under a call or ran it successfully.

        A crash is assumed if the response was aborted soon after the
        server began to run the call and its address now refuses
        connections.

        Args:
            request: The `Request`.
            message: Its `CallerMessage`.
            server: Identifier of the server instance.
            address: Address of the server as ``ip:port``.
            outcome: Outcome of the attempt.
            times: The `AttemptTiming`.
        """
        if isinstance(outcome, Answered):
            self.record_success(origin_of(request, message))
        connection_broken = (
            isinstance(outcome, Unknown)
            and outcome.reason in CONNECTION_BROKEN_REASONS
        )
        if not connection_broken or not times.early:
            return
        if await self.refuses_connections(address):
            self.record_crash(request, origin_of(request, message), server)

    async def refuses_connections(self, address):
        """Whether connections to *address* are refused."""
        ip, port = split_address(address)
        endpoint = TCP4ClientEndpoint(
            self.clock, ip, port, PROBE_TIMEOUT_SECONDS
        )
        try:
            opened = await connectProtocol(endpoint, protocol.Protocol())
        except error.ConnectError as problem:
            return isinstance(problem, error.ConnectionRefusedError)
        opened.transport.loseConnection()
        return False

    def record_success(self, origin):
        """Record that a call, given its `RequestOrigin`, ran well."""
        now = self.clock.seconds()
        self.part_runs.record(origin.parts, now)
        cleared = [
            self.crashes.suspects[key]
            for key, caller in origin.callers.items()
            if self.crashes.record_success(key, caller, now)
        ]
        if cleared:
            self.broadcast(cleared)

    def record_crash(self, request, origin, server):
        """Record that a server crashed when it began to run a call."""
        now = self.clock.seconds()
        self.timeline.note(
            EventKind.SERVER_ENDED,
            request=request.id,
            server=server,
            fingerprint=origin.fingerprint,
            parts=" ".join(map(part_id_of, origin.parts)),
        )
        changed = []
        for key, caller in origin.callers.items():
            end = ServerCrash(
                server,
                now,
                self.host,
                caller,
                isolated=request.id in self.isolated,
            )
            parts = origin.parts if key == origin.fingerprint else ()
            if self.crashes.record_crash(key, end, now, parts):
                self.apply_earlier_run(key, now)
                changed.append(self.crashes.suspects[key])
        if changed:
            self.broadcast(changed)

    def apply_earlier_run(self, key, now):
        """Take into account that a start of prompts ran on this host."""
        at = self.part_runs.last_run(key, now)
        if at is not NOTHING:
            self.crashes.record_earlier_run(key, at)

    def broadcast(self, suspects):
        """Send the first `MAX_BROADCAST_ROWS` of *suspects* to all hosts."""
        now = self.clock.seconds()
        sent = suspects[:MAX_BROADCAST_ROWS]
        message = CrashSuspectsMessage(
            host=self.host,
            rows=[suspect_row(one, now) for one in sent if not one.is_part],
            parts=[suspect_row(one, now) for one in sent if one.is_part],
        )
        self.publish(message)

    def handle_message(self, message):
        """Merge the suspects of another host and rebroadcast the changes.

        A host is connected to only a few hosts of another data centre;
        the rest receive the message from these.
        """
        now = self.clock.seconds()
        updated = []
        for received in suspects_from_message(message, now):
            news = self.crashes.merge(received, now)
            if received.is_part:
                self.apply_earlier_run(received.key, now)
                news = news or self.crashes.knows_later_run(received)
            if news:
                updated.append(received.key)
        suspects = self.crashes.suspects
        updated = [suspects[one] for one in updated if one in suspects]
        if updated:
            self.broadcast(updated)

    def tick(self):
        """Block calls that are found to crash servers, and broadcast suspects.

        It is called once per heartbeat interval.
        """
        now = self.clock.seconds()
        for suspect in self.crashes.block_causes(now):
            note_blocked(
                self.timeline, suspect, ", ".join(sorted(suspect.crashes))
            )
        if now < self.next_broadcast_at:
            return
        self.next_broadcast_at = now + BROADCAST_INTERVAL_SECONDS
        self.crashes.expire(now)
        shared = self.crashes.suspects_for_all()
        if shared:
            self.broadcast(shared)


class AttemptTiming:
    """Times of an attempt and whether it ended early.

    Args:
        started_at: Time at which the attempt was sent.
        predicted: Predicted wait in seconds until the server begins.
        first_body_at: Time of the first part of the response body, or
            `NOTHING`.
        head_received: Whether the response head was received.
        now: Time at which the attempt ended.

    Attributes:
        early: Whether the call may be the cause if its server crashed.
    """

    def __init__(
        self, *, started_at, predicted, first_body_at, head_received, now
    ):
        begun_for = NOTHING
        if first_body_at is not NOTHING:
            begun_for = now - first_body_at
        self.early = may_be_cause(
            attempt_age=now - started_at,
            predicted=predicted,
            head_received=head_received,
            response_age=begun_for,
        )


def fingerprint_of(request, message):
    """Return the fingerprint that all repeats of a call share."""
    target = request.target
    return digest_of(
        (
            request.workspace.encode(),
            target.kind.encode(),
            target.name.encode(),
            message.method,
            message.resource,
            message.body,
        )
    )


def origin_of(request, message):
    """Return the `RequestOrigin` of a call.

    A start of prompts is blocked for the workspaces whose calls crashed
    servers, until a call of another one did.
    """
    callers = {fingerprint_of(request, message): ""}
    if request.prefix:
        callers[part_key(f"{request.prefix:016x}")] = request.workspace
    return RequestOrigin(next(iter(callers)), callers)
