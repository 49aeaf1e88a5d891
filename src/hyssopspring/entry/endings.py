"""Tell a server that has ended from one that broke off an answer."""

from ..core.events import EventKind
from ..core.hashing import digest_of
from ..core.sentinels import NOTHING
from ..net.sinks import first_value
from ..traffic.servers import Usability
from .connections import Lane

__all__ = ["Endings", "fingerprint_of"]

PROBE_KEPT = 1.0
"""Seconds for which what was found of a server holds: all that was there
ends at the same moment, and each of it asks. A server needs longer to start
again."""


def fingerprint_of(caller, method, headers, uri, body):
    """Return what repeats of a request have in common.

    A caller's repeats bear new identifiers and come to any host. The
    caller, the path and the body stay the same.

    Args:
        caller: IP address of the caller.
        method: HTTP method.
        headers: `Headers` of the request; only the host name counts.
        uri: Path and query.
        body: The body.
    """
    host = first_value(headers, b"host").lower()
    return digest_of((caller.encode(), method, host, uri, body))


class Endings:
    """Look at servers that break off.

    Args:
        connections: The `Connections`.
        registry: The `Registry`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
    """

    def __init__(self, connections, registry, clock, timeline):
        self.connections = connections
        self.registry = registry
        self.clock = clock
        self.timeline = timeline
        self.found = {}

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
        known = self.found.get(lane.key)
        if known is not None and now - known[0] < PROBE_KEPT:
            return known[1]
        refused = await self.connections.is_refused(lane)
        self.found[lane.key] = (now, refused)
        self.clock.callLater(PROBE_KEPT, self.found.pop, lane.key, None)
        return refused

    async def examine(self, attempt, caller):
        """Note on the time line that a server ended with a request.

        Args:
            attempt: The `Attempt` that has ended.
            caller: IP address of the caller.

        Returns:
            The fingerprint of the request, or `NOTHING` if its server has
            not ended under it.
        """
        if not attempt.broke_off:
            return NOTHING
        lane = Lane(attempt.lane.key, attempt.lane.address)
        if not await self.has_ended(lane):
            return NOTHING
        sending = attempt.sending
        fingerprint = fingerprint_of(
            caller,
            sending.method,
            sending.headers,
            sending.uri,
            sending.body,
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
        )
        return fingerprint
