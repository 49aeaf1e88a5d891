"""Ask servers whether they are cold while their entries may be missing."""

from dataclasses import dataclass

from twisted.internet import defer
from twisted.web._newclient import Request as ClientRequest
from twisted.web.http_headers import Headers

from ..core.events import EventKind
from ..traffic.servers import instance_id_of
from .attempts import BodyCollector
from .connections import Endpoint
from .startmessages import ColdServerMessage

__all__ = ["COLD_CHECK_INTERVAL_SECONDS", "ColdChecks", "ServerHealth"]

COLD_CHECK_INTERVAL_SECONDS = 0.25
"""Interval between two checks of a server. Until the next one a server that
has become cold gets requests at the rate of a warm one."""

CHECK_TIMEOUT_SECONDS = 0.6
"""Seconds in which a server must answer a check."""

MAX_CHECKS_PER_INTERVAL = 40
"""Checks that are started in one interval, which take 20 ms. More servers are
checked in turn."""

IN_USE_SECONDS = 2.0
"""Seconds since the last request after which a server is not checked."""

MAX_HEALTH_BYTES = 64 * 1024
"""Maximum size of a health response."""


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """What a health response says of its server.

    Attributes:
        server_id: Identifier of the server, or an empty string.
        cold_left: Seconds for which it stays cold; 0 if it is warm.
    """

    server_id: str
    cold_left: float


class ColdChecks:
    """Find out which servers have become cold without a new start.

    The registry tells this, unless it cannot be read. The placing host of a
    region then asks the servers that it uses, and tells the other hosts.

    Args:
        coordinator: The `PlacementCoordinator`.
        starts: The `ServerStarts`.
        connections: The `Connections`.
        codec: Reads the health responses of servers.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        broadcast: Called with a message to send to all hosts of the region.

    Attributes:
        pending: Identifiers of the servers that are being asked.
        failing: Identifiers of those whose last check failed.
        checked_at: Time of the last check by identifier.
    """

    def __init__(
        self,
        coordinator,
        starts,
        connections,
        codec,
        clock,
        timeline,
        broadcast,
    ):
        self.coordinator = coordinator
        self.registry = coordinator.registry
        self.placer = coordinator.placer
        self.starts = starts
        self.connections = connections
        self.codec = codec
        self.clock = clock
        self.timeline = timeline
        self.broadcast = broadcast
        self.pending = set()
        self.failing = set()
        self.checked_at = {}

    def tick(self):
        """Check the servers in use if this host places without a registry."""
        if not self.starts.is_registry_silent():
            self.checked_at.clear()
            self.failing.clear()
            return
        own = self.coordinator.members.own
        if self.coordinator.placers()[0] is not own:
            return
        due = sorted(self.servers_to_check(), key=self.last_check_of)
        for server in due[:MAX_CHECKS_PER_INTERVAL]:
            self.check(server)

    def servers_to_check(self):
        """Return the servers in use that may become cold and seem warm."""
        now = self.clock.seconds()
        rates = self.placer.cold_rates
        return [
            server
            for server in self.registry.servers.values()
            if server.entry.id not in self.pending
            and now >= server.cold_until
            and now - rates.last_sent_at(server.entry.id) <= IN_USE_SECONDS
            and self.is_checkable(server.entry.service)
        ]

    def is_checkable(self, name):
        """Return whether servers of a service are cold at times and say so."""
        service = self.placer.service_of(name)
        return bool(service.cold_rate and service.health_path)

    def last_check_of(self, server):
        """Return the time of the last check of a server."""
        return self.checked_at.get(server.entry.id, 0.0)

    def check(self, server):
        """Ask a server; the result is handled when it arrives."""
        server_id = server.entry.id
        self.pending.add(server_id)
        self.checked_at[server_id] = self.clock.seconds()
        asked = defer.ensureDeferred(self.ask(server))
        asked.addErrback(self.log_failure, server_id)
        asked.addBoth(lambda _: self.pending.discard(server_id))

    async def ask(self, server):
        """Ask a server for its state, and record it if it is cold."""
        entry = server.entry
        connection = await self.connections.open(
            Endpoint(entry.id, entry.address), reuse=True
        )
        path = self.placer.service_of(entry.service).health_path
        request = ClientRequest(
            b"GET",
            path.encode(),
            Headers({b"host": [entry.address.encode()]}),
            None,
            persistent=True,
        )
        answered = connection.request(request)
        answered.addTimeout(CHECK_TIMEOUT_SECONDS, self.clock)
        response = await answered
        reader = BodyCollector(MAX_HEALTH_BYTES)
        response.deliverBody(reader)
        reader.done.addTimeout(CHECK_TIMEOUT_SECONDS, self.clock)
        await reader.done
        self.failing.discard(entry.id)
        health = self.codec.read_health(response.headers)
        if health.server_id == entry.id and health.cold_left > 0:
            self.record(server, health.cold_left)

    def record(self, server, cold_left):
        """Record that a server is cold, and tell the hosts of the region."""
        message = ColdServerMessage(
            self.coordinator.host,
            server.entry.id,
            instance_id_of(server.entry),
            cold_left,
        )
        self.broadcast(message)
        self.merge(message)

    def merge(self, message):
        """Apply what a host of the region was told by a server."""
        became_cold = self.registry.record_cold(
            message.server_id,
            message.instance_id,
            message.cold_left,
            self.clock.seconds(),
        )
        if became_cold:
            self.timeline.note(
                EventKind.SERVER_COLD,
                server=message.server_id,
                cold_left=message.cold_left,
                heard_by=message.host,
            )

    def log_failure(self, failure, server_id):
        """Log the first of a series of failed checks of a server."""
        if server_id not in self.failing:
            self.failing.add(server_id)
            self.timeline.note(
                EventKind.COLD_CHECK_FAILED,
                server=server_id,
                error=failure.getErrorMessage(),
            )
