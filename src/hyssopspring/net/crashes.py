"""Calls under which backend servers end, as a gateway knows them."""

from twisted.internet import error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from ..core.addresses import split_address
from ..core.events import EventKind
from ..core.hashing import digest_of
from ..core.outcomes import Answered, NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..entry.crashsharing import suspect_from_row, suspect_row
from ..traffic.crashes import (
    RETENTION_SECONDS,
    CrashTracker,
    ServerCrash,
    Verdict,
    may_be_cause,
)
from .messages import CallSuspects

__all__ = ["CRASH_TOPIC", "AttemptTimes", "CallCrashes"]

CRASH_TOPIC = b"c"

PROBE_TIMEOUT = 0.1
"""Seconds to connect to a server that broke off; it refuses in 2 ms if it
has ended, and says nothing without power."""

HELD_RETRY_AFTER = 0.5
"""Seconds after which a call may come back that waits for another one, or
for word of what else ended."""

TELL_EVERY = 5.0
"""Seconds between two messages on all that is known, for hosts that missed
a message, were cut off or have just started."""

ROWS_AT_ONCE = 20
"""Calls in such a message, 5 KB at most: with one each five seconds half of
what a host may spend on control, while servers end."""

BROKE_OFF = (Reason.CONNECTION_LOST, Reason.TRUNCATED)


class CallCrashes:
    """Refuse calls under which servers end, and tell other hosts of them.

    Callers name themselves by keys here, so a call is known by its
    workspace, target, path and body.

    Args:
        host: Name of this host.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        publish: Called with a `CallSuspects` for all hosts.
    """

    def __init__(self, host, clock, timeline, publish):
        self.host = host
        self.clock = clock
        self.timeline = timeline
        self.publish = publish
        self.crashes = CrashTracker()
        self.apart = set()
        self.tell_due = 0.0

    def refusal(self, request, message):
        """Return a `NotRun` if a call may go to no server now, or `NOTHING`.

        Args:
            request: The `Request`.
            message: Its `Message`.
        """
        if not self.crashes.suspects:
            return NOTHING
        now = self.clock.seconds()
        fingerprint = fingerprint_of(request, message)
        verdict = self.crashes.verdict(fingerprint, "", now)
        if verdict is Verdict.BLOCKED:
            # It is tried again when it is forgotten, and not sooner.
            return NotRun(Reason.CRASHES_SERVERS, RETENTION_SECONDS)
        waits = verdict is Verdict.ALONE and self.apart - {request.id}
        if verdict is Verdict.HELD or waits:
            return NotRun(Reason.SUSPECTED, HELD_RETRY_AFTER)
        if verdict is Verdict.ALONE:
            self.apart.add(request.id)
        return NOTHING

    def done(self, request):
        """Note that a call is over."""
        self.apart.discard(request.id)

    async def look(self, request, message, server, address, outcome, times):
        """Note whether a server ended under a call, or ran it well.

        Args:
            request: The `Request`.
            message: Its `Message`.
            server: The start of a server.
            address: Its ``ip:port``.
            outcome: How the attempt ended.
            times: The `AttemptTimes`.
        """
        if isinstance(outcome, Answered):
            self.note_run(fingerprint_of(request, message))
        broke_off = (
            isinstance(outcome, Unknown) and outcome.reason in BROKE_OFF
        )
        if not broke_off or not times.early:
            return
        if await self.is_refused(address):
            self.note_end(request, fingerprint_of(request, message), server)

    async def is_refused(self, address):
        """Whether nobody listens at *address* any more."""
        ip, port = split_address(address)
        endpoint = TCP4ClientEndpoint(self.clock, ip, port, PROBE_TIMEOUT)
        try:
            opened = await connectProtocol(endpoint, protocol.Protocol())
        except error.ConnectError as problem:
            return isinstance(problem, error.ConnectionRefusedError)
        opened.transport.loseConnection()
        return False

    def note_run(self, fingerprint):
        """Note that a call ran well."""
        if self.crashes.record_success(fingerprint, "", self.clock.seconds()):
            self.tell([self.crashes.suspects[fingerprint]])

    def note_end(self, request, fingerprint, server):
        """Note that a server ended as a call began on it."""
        now = self.clock.seconds()
        self.timeline.note(
            EventKind.SERVER_ENDED,
            request=request.id,
            server=server,
            fingerprint=fingerprint,
        )
        end = ServerCrash(server, now, self.host)
        if self.crashes.record_crash(fingerprint, end, now):
            self.tell([self.crashes.suspects[fingerprint]])

    def tell(self, suspects):
        """Tell all hosts of some calls."""
        now = self.clock.seconds()
        rows = [suspect_row(one, now) for one in suspects[:ROWS_AT_ONCE]]
        self.publish(CallSuspects(host=self.host, rows=rows))

    def take(self, message):
        """Take over what another host tells, and pass on what is news.

        A host is connected to few of another data centre; the others hear
        it from these.
        """
        now = self.clock.seconds()
        news = []
        for row in message.rows:
            told = suspect_from_row(row, now)
            if self.crashes.merge(told, now):
                news.append(told.fingerprint)
        suspects = self.crashes.suspects
        news = [suspects[one] for one in news if one in suspects]
        if news:
            self.tell(news)

    def tick(self):
        """Do what is due; called once a heartbeat interval."""
        now = self.clock.seconds()
        for suspect in self.crashes.block_causes(now):
            self.timeline.note(
                EventKind.REQUEST_BLOCKED,
                fingerprint=suspect.fingerprint,
                evidence=", ".join(sorted(suspect.crashes)),
            )
        if now < self.tell_due:
            return
        self.tell_due = now + TELL_EVERY
        self.crashes.expire(now)
        known = self.crashes.suspects_for_all()
        if known:
            self.tell(known)


class AttemptTimes:
    """When an attempt was sent, was to begin, began and ended.

    Args:
        began: Time at which it was sent.
        predicted: Seconds in which it was to begin.
        first_at: Time of the first of its answer, or `NOTHING`.
        headed: Whether the head of its answer had come.
        now: Time of its end.
    """

    def __init__(self, *, began, predicted, first_at, headed, now):
        begun_for = NOTHING
        if first_at is not NOTHING:
            begun_for = now - first_at
        self.early = may_be_cause(
            attempt_age=now - began,
            predicted=predicted,
            head_received=headed,
            response_age=begun_for,
        )


def fingerprint_of(request, message):
    """Return what repeats of a call have in common."""
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
