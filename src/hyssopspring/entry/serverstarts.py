"""Which start of each backend server runs, as far as this host knows."""

from dataclasses import replace

from twisted.web._newclient import Request as ClientRequest
from twisted.web._newclient import ResponseDone
from twisted.web.http_headers import Headers

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.members import MAX_CONTACT_AGE_SECONDS
from ..traffic.servers import instance_id_of
from ..traffic.streamrecords import StreamStart
from .attempts import BodyCollector
from .confirmedconnections import ConfirmedConnections
from .startmessages import ServerStartsMessage, StartRow

__all__ = ["ServerStarts"]

MAX_REPORT_BYTES = 256 * 1024
"""Maximum size of the report of a server on itself."""

REPORT_TIMEOUT_SECONDS = 0.6
"""Seconds in which a server must report its start. The request is placed
elsewhere after that time."""

CONFIRMED_SECONDS = 0.2
"""Seconds for which a confirmed start needs no other confirmation while the
registry cannot be read. A process takes longer than this to start again."""

QUIET_CONTACT_SECONDS = 4.0
"""Age of the last contact with the store from which entries of servers may be
missing. Each host renews its own entry more often."""

REPEAT_SECONDS = (0.2, 0.6)
"""Seconds after which a new start is broadcast again, as a datagram may be
lost and the placing host would treat the server as warm."""

NEVER = -1e9


class ServerStarts:
    """Find out when a server has started again under its identifier.

    The registry tells this, unless it cannot be read or is late. The start of
    a server is in doubt while the registry cannot be read, and after a
    connection was refused or broken. A request is then sent only on a
    connection on which the server has reported its start: a connection does
    not outlive the process at its other end.

    A stream that may go on elsewhere is sent only on such a connection at any
    time, since its version is recorded and a host that has just been cut off
    does not know it. Another open connection to the same start counts too.

    Args:
        registry: The `Registry`.
        coordinator: The `PlacementCoordinator`.
        contact: The `StoreContact`.
        connections: The `Connections`.
        codec: Reads the reports of servers.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        broadcast: Called with a message to send to all hosts of the region.

    Attributes:
        doubted: Server instances that may have ended.
        announced: Those of them that the other hosts were told of.
        confirmed_at: Time of the last confirmation by server instance.
        confirmed: The `ConfirmedConnections`.
        unreported: Server instances that offer no report. They are asked again
            only in doubt.
        asked: Number of reports that were requested.
    """

    def __init__(
        self,
        registry,
        coordinator,
        contact,
        connections,
        codec,
        clock,
        timeline,
        broadcast,
    ):
        self.registry = registry
        self.coordinator = coordinator
        self.contact = contact
        self.connections = connections
        self.codec = codec
        self.clock = clock
        self.timeline = timeline
        self.broadcast = broadcast
        self.doubted = set()
        self.announced = set()
        self.confirmed_at = {}
        self.confirmed = ConfirmedConnections()
        self.unreported = set()
        self.asked = 0
        connections.on_broken = self.handle_broken

    def confirmation(self, placed, version, *, resumable):
        """Return what an attempt calls to confirm the start of its server.

        Args:
            placed: The `Placed` decision.
            version: Version that the server must have, or an empty string.
            resumable: Whether it begins a stream that may go on at another
                server of the same version.

        Returns:
            A coroutine function, or `NOTHING` if each start of the server has
            its own identifier.
        """
        server = self.registry.servers.get(placed.server_id)
        if server is None or not server.entry.born:
            return NOTHING
        instance = instance_id_of(server.entry)

        async def confirm(connection):
            if self.needs_report(connection, instance, version, resumable):
                reported = await self.has_reported(
                    connection, placed, instance, version
                )
                if not reported:
                    return False
            return instance == self.registry.current_instance(placed.server_id)

        return confirm

    def start_of(self, server_id):
        """Return the `StreamStart` of streams that a server begins now.

        Returns:
            `NOTHING` if the server states no start: its instances cannot be
            told apart.
        """
        server = self.registry.servers.get(server_id)
        if server is None or not server.entry.born:
            return NOTHING
        entry = server.entry
        return StreamStart(entry.service, server_id, instance_id_of(entry))

    def needs_report(self, connection, instance, version, resumable):
        """Return whether a server must report its start on a connection.

        Args:
            connection: The `Connection`.
            instance: The server instance that is to be at its other end.
            version: As for `confirmation`.
            resumable: As for `confirmation`.
        """
        if connection.confirmed_instance == instance:
            return False
        if version or self.is_doubtful(instance):
            return True
        if not resumable or instance in self.unreported:
            return False
        if self.confirmed.has_open(instance):
            self.confirmed.add(connection, instance)
            return False
        return not self.is_confirmed_recently(instance)

    async def has_reported(self, connection, placed, instance, version):
        """Ask a server for its start; return whether it may get the request.

        One that offers no report may, unless a version is required.
        """
        asked_at = self.clock.seconds()
        self.asked += 1
        status, body = await self.read_report(connection, placed.address)
        if has_no_report(status):
            self.unreported.add(instance)
            self.settle(instance, asked_at)
            return not version
        born = self.codec.read_start_time(body)
        if self.record_report(placed.server_id, born, asked_at) != instance:
            return False
        self.confirmed.add(connection, instance)
        return True

    async def read_report(self, connection, address):
        """Return status and body of a report, empty if it is not whole."""
        request = ClientRequest(
            b"GET",
            self.codec.REPORT_PATH,
            Headers({b"host": [address.encode()]}),
            None,
            persistent=True,
        )
        answered = connection.request(request)
        answered.addTimeout(REPORT_TIMEOUT_SECONDS, self.clock)
        response = await answered
        reader = BodyCollector(MAX_REPORT_BYTES)
        response.deliverBody(reader)
        reader.done.addTimeout(REPORT_TIMEOUT_SECONDS, self.clock)
        await reader.done
        whole = reader.reason.check(ResponseDone) and not reader.overflowed
        usable = whole and response.code == 200
        return response.code, reader.body if usable else b""

    def record_report(self, server_id, born, asked_at):
        """Record the start that a server reported at the time *asked_at*.

        Returns:
            The server instance that has reported, or `NOTHING`.
        """
        server = self.registry.servers.get(server_id)
        if server is None or not born or born < server.entry.born:
            return NOTHING
        if born > server.entry.born:
            self.record_start(server_id, born, "")
            self.announce_start(server_id, born)
        instance = self.registry.current_instance(server_id)
        self.settle(instance, asked_at)
        return instance

    def settle(self, instance, asked_at):
        """End the doubt about an instance that was asked at *asked_at*."""
        self.confirmed_at[instance] = asked_at
        if len(self.confirmed_at) > 2 * len(self.registry.servers):
            self.prune()
        self.doubted.discard(instance)
        self.announced.discard(instance)

    def record_start(self, server_id, born, heard_by):
        """Replace all that is known of a server by what its new start shows.

        Its version stays unknown until its entry arrives, so that no stream
        that begins there goes on elsewhere. It counts as cold for as long as
        the servers of its service are after a start.

        Args:
            server_id: Identifier of the server.
            born: Unix time of its start in milliseconds.
            heard_by: Host that has asked it, or "" for this one.
        """
        server = self.registry.servers.get(server_id)
        if server is None or born <= server.entry.born:
            return
        now = self.clock.seconds()
        placer = self.coordinator.placer
        service = placer.service_of(server.entry.service)
        entry = replace(
            server.entry,
            born=born,
            version="",
            leaving=False,
            terminates_in=NOTHING,
            cold_left=service.cold_seconds,
        )
        self.registry.put(entry, now)
        placer.forget_server(server_id, now)
        self.connections.close_idle(server_id)
        self.prune()
        self.timeline.note(
            EventKind.SERVER_RESTARTED,
            server=server_id,
            born=born,
            heard_by=heard_by or self.coordinator.host,
            cold_seconds=service.cold_seconds,
        )

    def announce_start(self, server_id, born):
        """Tell the hosts of the region of a new start, more than once."""
        message = self.message(StartRow(server_id, born, running=True))
        self.broadcast(message)
        for seconds in REPEAT_SECONDS:
            self.clock.callLater(seconds, self.broadcast, message)

    def message(self, row):
        """Return the message that carries a `StartRow`."""
        return ServerStartsMessage(self.coordinator.host, [row])

    def merge(self, message):
        """Apply what another host has found out."""
        for row in message.rows:
            if row.running:
                self.record_start(row.server_id, row.born, message.host)
                continue
            server = self.registry.servers.get(row.server_id)
            if server is not None and server.entry.born == row.born:
                self.doubt(instance_id_of(server.entry))

    def handle_broken(self, endpoint, refused):
        """Doubt a server after a connection to it was refused or broken.

        Other hosts are told if it was refused, as its process has ended then.
        """
        server = self.registry.servers.get(endpoint.key)
        if server is None or not server.entry.born or server.entry.leaving:
            return
        instance = instance_id_of(server.entry)
        self.doubt(instance)
        if refused and instance not in self.announced:
            self.announced.add(instance)
            row = StartRow(endpoint.key, server.entry.born, running=False)
            self.broadcast(self.message(row))

    def doubt(self, instance):
        """Require another confirmation of a server instance."""
        self.doubted.add(instance)
        self.confirmed_at.pop(instance, None)

    def is_doubtful(self, instance):
        """Return whether the start of a server has to be confirmed."""
        if instance in self.doubted:
            return True
        if not self.is_registry_silent():
            return False
        return not self.is_confirmed_recently(instance)

    def is_confirmed_recently(self, instance):
        """Return whether an instance cannot have ended since it reported."""
        confirmed_at = self.confirmed_at.get(instance, NEVER)
        return self.clock.seconds() - confirmed_at <= CONFIRMED_SECONDS

    def is_registry_silent(self):
        """Return whether the entry of a new start may be missing.

        Hosts that watch the store for this one report if their calls fail.
        """
        if self.contact.recovering or self.contact.age > QUIET_CONTACT_SECONDS:
            return True
        return any(
            member.contact_age > MAX_CONTACT_AGE_SECONDS
            for member in self.coordinator.placers()
        )

    def prune(self):
        """Drop the state of server instances that are no longer listed."""
        listed = {
            instance_id_of(server.entry)
            for server in self.registry.servers.values()
        }
        self.doubted &= listed
        self.announced &= listed
        self.unreported &= listed
        self.confirmed_at = {
            instance: at
            for instance, at in self.confirmed_at.items()
            if instance in listed
        }


def has_no_report(status):
    """Return whether a status shows that a server offers no report.

    Plain servers take the call for a request of a caller.
    """
    return 400 <= status < 500 and status not in (421, 429)
