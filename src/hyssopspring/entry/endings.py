"""Tell a server that has ended from one that broke off an answer."""

from twisted.internet import defer

from ..core.events import EventKind
from ..core.hashing import digest_of
from ..core.sentinels import NOTHING
from ..net.sinks import first_value
from ..traffic.crashes import EARLY, is_early
from ..traffic.evidence import Finding
from ..traffic.servers import Usability

__all__ = [
    "WAIT",
    "Endings",
    "fingerprint_of",
]

PROBE_KEPT = 1.0
"""Seconds for which it holds that a server has ended: all that was there
ends at the same moment, and each of it asks. A server needs longer to start
again."""

WAIT = 0.05
"""Seconds for which a request waits to know whether its server has ended; a
connection within the region opens or is refused in 2 ms."""

NAMING_HEADERS = (b"authorization", b"cookie")
"""Headers by which a caller names itself, beside its key."""


def fingerprint_of(method, headers, uri, body, key_digest=""):
    """Return what repeats of a request have in common.

    They bear new identifiers and come to any host. What names the caller
    in the headers, the path and the body stay the same; the address that
    they come from need not.

    Args:
        method: HTTP method.
        headers: `Headers` of the request; the host name counts, and what
            names the caller.
        uri: Path and query.
        body: The body.
        key_digest: Digest of the caller's key. It is told to hosts that
            the request is sent on to, as the key itself is not.
    """
    host = first_value(headers, b"host").lower()
    named = [first_value(headers, name) for name in NAMING_HEADERS]
    key = key_digest.encode()
    return digest_of((method, host, uri, body, *named, key))


class Endings:
    """Look at servers that break off.

    Args:
        connections: The `Connections`.
        registry: The `Registry`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        sharing: The `CrashSharing`.
    """

    def __init__(self, connections, registry, clock, timeline, sharing):
        self.sharing = sharing
        self.connections = connections
        self.registry = registry
        self.clock = clock
        self.timeline = timeline
        self.ended = set()

    async def has_ended(self, lane):
        """Whether the process of a server is gone without notice.

        Its address refuses connections then. A server that breaks off an
        answer, or resets a connection, still accepts others; one that
        lost its power or its link refuses none. One that leaves, or was
        to be taken away, ends for that reason.
        """
        now = self.clock.seconds()
        if self.registry.usability(lane.key, now) is Usability.LEAVING:
            return False
        if lane.key in self.ended:
            return True
        # That it lived a moment ago says nothing: a busy server resets
        # connections, and may end right after.
        refused = await self.connections.is_refused(lane)
        if refused and lane.key not in self.ended:
            self.ended.add(lane.key)
            self.clock.callLater(PROBE_KEPT, self.ended.discard, lane.key)
        return refused

    def examine(self, attempt, caller, predicted, *, sent_by=""):
        """Note whether a server ended under a request, or ran it well.

        Returns:
            A deferred that fires when that is known, or `WAIT` after: a
            server without power refuses nothing, and what ended with it
            is not to wait for that.

        Args:
            attempt: The `Attempt` that has ended.
            caller: IP address of the caller.
            predicted: Seconds in which it was to begin.
            sent_by: IP address of the host that had sent the request on,
                or an empty string.
        """
        if not attempt.broke_off:
            self.note_run(attempt, caller)
            return defer.succeed(None)
        work = self.look(attempt, caller, predicted, sent_by)
        looking = defer.ensureDeferred(work)
        looking.addErrback(self.failed)
        done = defer.Deferred()
        timer = self.clock.callLater(WAIT, done.callback, None)

        def looked(_):
            if timer.active():
                timer.cancel()
                done.callback(None)

        looking.addCallback(looked)
        return done

    async def look(self, attempt, caller, predicted, sent_by):
        """Find out whether a server that broke off has ended."""
        if await self.has_ended(attempt.lane):
            self.note_ended(attempt, caller, predicted, sent_by)
        else:
            self.note_run(attempt, caller)

    def failed(self, failure):
        """Write an unexpected error to the log."""
        self.timeline.note(EventKind.UNEXPECTED, error=failure.getTraceback())

    def note_run(self, attempt, caller):
        """Note that a request ran well, if it is known at all."""
        if self.sharing.has_suspects() and ran_well(attempt):
            self.sharing.ran_well(fingerprint_at(attempt), caller)

    def note_ended(self, attempt, caller, predicted, sent_by):
        """Note that a server ended under a request."""
        sending = attempt.sending
        lane = attempt.lane
        fingerprint = fingerprint_at(attempt)
        early = is_early(
            ran_for=attempt.ran_for,
            predicted=predicted,
            headed=attempt.headed,
            begun_for=attempt.begun_for,
        )
        self.timeline.note(
            EventKind.SERVER_ENDED,
            request=sending.id.decode("latin-1"),
            server=lane.key,
            fingerprint=fingerprint,
            caller=caller,
            path=sending.uri.decode("latin-1"),
            body=digest_of((sending.body,))[:8],
            ran_ms=int(attempt.ran_for * 1000),
            events=attempt.events,
            early=early,
        )
        if early:
            self.sharing.server_ended(
                fingerprint,
                caller,
                self.registry.start_of(lane.key),
                sent_by,
            )
        elif attempt.begun_for is not NOTHING:
            self.sharing.ran_well(fingerprint, caller)


def fingerprint_at(attempt):
    """Return the fingerprint of the request of an `Attempt`."""
    sending = attempt.sending
    return fingerprint_of(
        sending.method,
        sending.headers,
        sending.uri,
        sending.body,
        sending.key_digest,
    )


def ran_well(attempt):
    """Whether an attempt shows that its server could run the request."""
    if attempt.finding is Finding.ANSWERED:
        return True
    return attempt.begun_for is not NOTHING and attempt.begun_for > EARLY
