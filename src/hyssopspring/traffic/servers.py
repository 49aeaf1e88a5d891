"""Backend servers as the registry names them, and who may be used."""

import enum
from dataclasses import dataclass, replace

from ..core.sentinels import NOTHING

__all__ = ["Registry", "Server", "ServerEntry", "Usability"]

COLD_MARGIN = 0.7
"""Seconds by which a cold phase is taken to last longer than told, for
the age of the entry and the way of a request to the server."""

ABSENT_GRACE = 2.2
"""Seconds for which servers that vanished while the registry could not be
read are still used after its return; registrations are back within two
seconds, and a server that left serves for several more."""


class Usability(enum.Enum):
    """Whether a server may get requests."""

    READY = enum.auto()
    COLD = enum.auto()
    LEAVING = enum.auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """A server as the registry describes it.

    Attributes:
        id: Identifier of the server.
        born: Unix time of its start in milliseconds; 0 if not told.
        service: Service that it offers.
        address: ``ip:port``.
        data_centre: Where it stands.
        slots: Requests that it runs at once.
        leaving: Whether it is about to go.
        cold_left: Seconds for which it stays cold, as of the entry.
        gone_in: Seconds until it is gone without fail, or `NOTHING`.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int = 1
    born: int = 0
    leaving: bool = False
    cold_left: float = 0.0
    gone_in: object = NOTHING


@dataclass(slots=True, eq=False)
class Server:
    """A server and what this host believes of it.

    Attributes:
        entry: The newest `ServerEntry`.
        region: Region of its data centre.
        cold_until: Time until which it counts as cold.
        absent_since: Time since when the registry lacks it, or `NOTHING`.
        gone_at: Time at which it is gone without fail, or `NOTHING`.
    """

    entry: ServerEntry
    region: str
    cold_until: float = 0.0
    absent_since: object = NOTHING
    gone_at: object = NOTHING

    def usability(self, now):
        """Return its `Usability` at *now*, evacuations aside."""
        if self.entry.leaving:
            return Usability.LEAVING
        return Usability.COLD if now < self.cold_until else Usability.READY


class Registry:
    """All servers that this host knows.

    Args:
        regions: Region by data centre.
    """

    def __init__(self, regions):
        self.regions = regions
        self.servers = {}
        self.evacuated = set()
        self.removed = set()
        self.groups = {}

    def put(self, entry, now):
        """Take over an entry of the registry.

        A server may start again under its identifier. It then knows and
        holds nothing of before, so what is believed of the former one,
        its leaving too, does not hold for it. An entry of the former one
        that a neighbour's copy brings later is passed over.

        Returns:
            Whether the server, or this start of it, is new to this host.
        """
        server = self.servers.get(entry.id)
        if server is not None and entry.born < server.entry.born:
            return False
        fresh = server is None or entry.born > server.entry.born
        if fresh:
            region = self.regions.get(entry.data_centre, entry.data_centre)
            server = Server(entry, region)
            self.servers[entry.id] = server
            self.groups.clear()
        if server.entry.leaving and not entry.leaving:
            entry = replace(entry, leaving=True)
        if differs(entry, server.entry):
            self.groups.clear()
        server.entry = entry
        server.absent_since = NOTHING
        if entry.cold_left > 0:
            until = now + entry.cold_left + COLD_MARGIN
            server.cold_until = max(server.cold_until, until)
        if entry.gone_in is not NOTHING and server.gone_at is NOTHING:
            server.gone_at = now + entry.gone_in
        return fresh

    def remove(self, server_id, now, *, outage):
        """Note that the registry no longer holds a server.

        While the registry is away registrations lapse although their
        servers live. Dropping them all would refuse every request until
        they are back, so they are kept for `ABSENT_GRACE`.

        Args:
            server_id: Its identifier.
            now: The time.
            outage: Whether the registry has just come back.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        if outage and not server.entry.leaving:
            if server.absent_since is NOTHING:
                server.absent_since = now
            return
        del self.servers[server_id]
        self.groups.clear()

    def expire(self, now):
        """Drop the servers whose registration did not come back.

        Returns:
            Identifiers of the dropped servers.
        """
        gone = [
            server_id
            for server_id, server in self.servers.items()
            if is_over(server, now)
        ]
        for server_id in gone:
            del self.servers[server_id]
        if gone:
            self.groups.clear()
        return gone

    def replace_all(self, entries, now, *, outage):
        """Take over the whole registry."""
        listed = {entry.id for entry in entries}
        for server_id in list(self.servers):
            if server_id not in listed:
                self.remove(server_id, now, outage=outage)
        for entry in entries:
            self.put(entry, now)

    def evacuate(self, data_centres, now, cold_seconds):
        """Use no server of *data_centres*, and again those of the others.

        Servers of a data centre that is taken back are cold at first,
        and their entries say so only with a lag; a burst at that moment
        would crash them.

        Args:
            data_centres: All data centres that are evacuated.
            now: The time.
            cold_seconds: Called with a service; returns for how long its
                servers are cold after a start.
        """
        returned = self.evacuated - set(data_centres)
        self.evacuated = set(data_centres)
        self.groups.clear()
        for server in self.servers.values():
            if server.entry.data_centre in returned:
                cold = cold_seconds(server.entry.service)
                until = now + cold + COLD_MARGIN if cold else 0.0
                server.cold_until = max(server.cold_until, until)

    def usability(self, server_id, now):
        """Return whether requests may go to a server.

        Returns:
            Its `Usability`, or `NOTHING` if it is not known here.
        """
        server = self.servers.get(server_id)
        if server is None:
            return NOTHING
        if server.entry.data_centre in self.evacuated:
            return Usability.LEAVING
        return server.usability(now)

    def start_of(self, server_id):
        """Return the name of the start of a server that is known here.

        A server may start again under its identifier; what was said of or
        by the one before does not hold for it.
        """
        server = self.servers.get(server_id)
        if server is None or not server.entry.born:
            return server_id
        return f"{server_id}/{server.entry.born}"

    def candidates(self, service, region, now):
        """Return the servers of *service* in *region* that may be used.

        They are kept until an entry changes: each choice asks for them.
        """
        found = self.groups.get((service, region))
        if found is None:
            found = self.groups[service, region] = [
                server
                for server in self.servers.values()
                if server.entry.service == service
                and server.region == region
                and server.entry.data_centre not in self.evacuated
                and not server.entry.leaving
            ]
        return found


def differs(entry, known):
    """Whether an entry says something new on who may use a server."""
    return (entry.service, entry.data_centre, entry.leaving) != (
        known.service,
        known.data_centre,
        known.leaving,
    )


def is_over(server, now):
    """Whether a server is to be taken as gone at *now*."""
    if server.absent_since is not NOTHING:
        return now - server.absent_since > ABSENT_GRACE
    return server.gone_at is not NOTHING and now > server.gone_at
