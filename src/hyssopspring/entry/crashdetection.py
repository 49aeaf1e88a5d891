"""Tell servers that have crashed from those that ended a response early."""

from twisted.internet import defer

from ..core.events import EventKind
from ..core.hashing import digest_of
from ..core.sentinels import NOTHING
from ..net.sinks import first_value
from ..traffic.crashes import EARLY_RESPONSE_SECONDS, may_be_cause
from ..traffic.serverhealth import AttemptResult
from ..traffic.servers import Usability
from ..traffic.suspects import part_key
from .connections import Framing
from .requestorigins import request_origin

__all__ = [
    "MAX_PROBE_WAIT_SECONDS",
    "CrashDetector",
    "fingerprint_of",
]

PROBE_RESULT_SECONDS = 1.0
"""Seconds for which the result of a probe that found a server crashed stays
valid. All attempts at a server fail at the moment of its crash, and each of
them asks for the result. A server needs longer than this to start again."""

MAX_PROBE_WAIT_SECONDS = 0.05
"""Maximum number of seconds for which a request waits until it is known
whether its server has crashed. A connection within the region is opened or
refused in 2 ms."""

IDENTITY_HEADERS = (b"authorization", b"cookie")
"""Headers by which a caller identifies itself, besides its key."""


def fingerprint_of(method, headers, uri, body, key_digest=""):
    """Return the digest that repeats of a request have in common.

    Repeats have new identifiers and may arrive at any host. The headers that
    identify the caller, the path and the body stay the same; the IP address of
    the caller may change.

    Args:
        method: HTTP method.
        headers: `Headers` of the request. The Host header and the headers that
            identify the caller are included.
        uri: Path and query.
        body: The body.
        key_digest: Digest of the caller's key. Hosts to which the request is
            forwarded receive it, as they do not receive the key itself.
    """
    host = first_value(headers, b"host").lower()
    identities = [first_value(headers, name) for name in IDENTITY_HEADERS]
    key = key_digest.encode()
    return digest_of((method, host, uri, body, *identities, key))


class CrashDetector:
    """Find out whether servers that end a response early have crashed.

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
        self.crashed = set()

    async def has_crashed(self, endpoint):
        """Return whether the process of a server has ended without notice.

        The address of such a server refuses connections. A server that only
        ends a response early, or resets a connection, still accepts others. A
        server without power or network does not refuse connections either. A
        server that is leaving, or was to be removed, ends for that reason.
        """
        now = self.clock.seconds()
        if self.registry.usability(endpoint.key, now) is Usability.LEAVING:
            return False
        if endpoint.key in self.crashed:
            return True
        # The server is probed each time, even if a probe has just succeeded:
        # a busy server resets connections, and may crash right afterwards.
        refused = await self.connections.is_refused(endpoint)
        if refused and endpoint.key not in self.crashed:
            self.crashed.add(endpoint.key)
            self.clock.callLater(
                PROBE_RESULT_SECONDS, self.crashed.discard, endpoint.key
            )
        return refused

    def examine(self, attempt, caller, predicted, *, sent_by=""):
        """Record whether an attempt crashed its server or ran well.

        Args:
            attempt: The `Attempt` that has ended.
            caller: IP address of the caller.
            predicted: Predicted seconds to the start of its response.
            sent_by: IP address of the host that had forwarded the request, or
                an empty string.

        Returns:
            A deferred that fires when that is known, or after
            `MAX_PROBE_WAIT_SECONDS`. A server without power does not refuse
            connections, and the requests that it aborted must not wait for the
            probe to time out.
        """
        if not (attempt.broken_by_peer or may_be_truncated(attempt)):
            self.record_run(attempt, caller)
            return defer.succeed(None)
        work = self.probe(attempt, caller, predicted, sent_by)
        probing = defer.ensureDeferred(work)
        probing.addErrback(self.log_error)
        done = defer.Deferred()
        timer = self.clock.callLater(
            MAX_PROBE_WAIT_SECONDS, done.callback, None
        )

        def on_probed(_):
            if timer.active():
                timer.cancel()
                done.callback(None)

        probing.addCallback(on_probed)
        return done

    async def probe(self, attempt, caller, predicted, sent_by):
        """Record whether a server that ended a response early has crashed."""
        if await self.has_crashed(attempt.endpoint):
            self.record_crash(attempt, caller, predicted, sent_by)
        else:
            self.record_run(attempt, caller)

    def log_error(self, failure):
        """Log an unexpected error."""
        self.timeline.note(EventKind.UNEXPECTED, error=failure.getTraceback())

    def record_run(self, attempt, caller):
        """Record that a request, and the parts of its prompt, ran well."""
        self.record_part_runs(attempt)
        if self.sharing.has_suspects() and shows_success(attempt):
            self.sharing.record_completion(
                attempt_fingerprint(attempt), caller
            )

    def record_part_runs(self, attempt):
        """Record that the parts of a request's prompt ran well."""
        keys = [part_key(one) for one in attempt.outgoing.parts]
        if not keys or attempt.response_age is NOTHING:
            return
        if attempt.is_success or attempt.response_age > EARLY_RESPONSE_SECONDS:
            server = self.registry.current_instance(attempt.endpoint.key)
            self.sharing.record_part_runs(keys, server)

    def examine_running(self, attempt):
        """Record that suspected parts run well before the response ends."""
        if attempt.run_recorded or not self.sharing.has_suspects():
            return
        age = attempt.response_age
        if age is not NOTHING and age > EARLY_RESPONSE_SECONDS:
            attempt.run_recorded = True
            self.record_part_runs(attempt)

    def record_crash(self, attempt, caller, predicted, sent_by):
        """Log and record that a server crashed under a request."""
        outgoing = attempt.outgoing
        endpoint = attempt.endpoint
        origin = request_origin(
            attempt_fingerprint(attempt),
            caller,
            outgoing.key_digest,
            outgoing.parts,
        )
        early = may_be_cause(
            attempt_age=attempt.attempt_age,
            predicted=predicted,
            head_received=attempt.head_received,
            response_age=attempt.response_age,
        )
        self.timeline.note(
            EventKind.SERVER_ENDED,
            request=outgoing.id.decode("latin-1"),
            server=endpoint.key,
            fingerprint=origin.fingerprint,
            caller=caller,
            path=outgoing.uri.decode("latin-1"),
            body=digest_of((outgoing.body,))[:8],
            parts=" ".join(outgoing.parts),
            ran_ms=int(attempt.attempt_age * 1000),
            events=attempt.events,
            early=early,
        )
        if early:
            self.sharing.record_server_crash(
                origin,
                self.registry.current_instance(endpoint.key),
                release=self.registry.release_of(endpoint.key),
                isolated=outgoing.isolated,
                peer_ip=sent_by,
            )
        elif attempt.response_age is not NOTHING:
            self.sharing.record_completion(origin.fingerprint, caller)
            self.record_part_runs(attempt)


def may_be_truncated(attempt):
    """Whether a complete response may have ended as its server crashed.

    The end of the connection marks its end, so that a crash right after it
    began looks the same.
    """
    return (
        attempt.is_success
        and attempt.framing is Framing.CLOSE
        and attempt.response_age <= EARLY_RESPONSE_SECONDS
    )


def attempt_fingerprint(attempt):
    """Return the fingerprint of the request of an `Attempt`."""
    outgoing = attempt.outgoing
    return fingerprint_of(
        outgoing.method,
        outgoing.headers,
        outgoing.uri,
        outgoing.body,
        outgoing.key_digest,
    )


def shows_success(attempt):
    """Return whether an attempt shows that its server can run the request."""
    if attempt.result is AttemptResult.ANSWERED:
        return True
    return (
        attempt.response_age is not NOTHING
        and attempt.response_age > EARLY_RESPONSE_SECONDS
    )
