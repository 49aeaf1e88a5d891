"""Backend servers as the registry names them, and who may be used."""

import enum
from dataclasses import dataclass, replace

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING

__all__ = ["LeavingNotice", "Registry", "Server", "ServerEntry", "Usability"]

COLD_MARGIN_SECONDS = 0.7
"""Seconds by which a cold phase is taken to last longer than told, for
the age of the entry and the way of a request to the server."""

ABSENCE_GRACE_SECONDS = 2.2
"""Seconds for which servers that vanished while the registry could not be
read are still used after its return; registrations are back within two
seconds, and a server that left serves for several more."""


LEAVING_NOTICE_RETENTION_SECONDS = 30.0
"""Seconds for which a server that said that it leaves is remembered beyond
its entry. The entry may lapse and come back, without a word on that."""


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
    terminates_in: object = NOTHING


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingNotice:
    """An answer of a server said that it leaves.

    Attributes:
        server_id: The server.
        start: Name of its start.
        at: Time at which it was heard.
        host: Host that heard it.
        request: Request to which it was the answer.
        address: Its ``ip:port``.
    """

    server_id: str
    instance_id: str
    address: str
    at: float
    host: str = ""
    request: str = ""


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
    terminates_at: object = NOTHING

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
        self.candidate_cache = {}
        self.leaving_notices = {}
        self.leaving_digest = 0

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
        is_new = server is None or entry.born > server.entry.born
        if is_new:
            region = self.regions.get(entry.data_centre, entry.data_centre)
            server = Server(entry, region)
            self.servers[entry.id] = server
            self.candidate_cache.clear()
        self.drop_notice_if_moved(entry)
        announced = instance_id_of(entry) in self.leaving_notices
        if (announced or server.entry.leaving) and not entry.leaving:
            entry = replace(entry, leaving=True)
        if eligibility_changed(entry, server.entry):
            self.candidate_cache.clear()
        server.entry = entry
        server.absent_since = NOTHING
        if entry.cold_left > 0:
            until = now + entry.cold_left + COLD_MARGIN_SECONDS
            server.cold_until = max(server.cold_until, until)
        if (
            entry.terminates_in is not NOTHING
            and server.terminates_at is NOTHING
        ):
            server.terminates_at = now + entry.terminates_in
        return is_new

    def remove(self, server_id, now, *, outage):
        """Note that the registry no longer holds a server.

        While the registry is away registrations lapse although their
        servers live. Dropping them all would refuse every request until
        they are back, so they are kept for `ABSENCE_GRACE_SECONDS`.

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
        self.candidate_cache.clear()

    def expire(self, now):
        """Drop the servers whose registration did not come back.

        Returns:
            Identifiers of the dropped servers.
        """
        gone = [
            server_id
            for server_id, server in self.servers.items()
            if is_terminated(server, now)
        ]
        for server_id in gone:
            del self.servers[server_id]
        if gone:
            self.candidate_cache.clear()
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
        self.candidate_cache.clear()
        for server in self.servers.values():
            if server.entry.data_centre in returned:
                cold = cold_seconds(server.entry.service)
                until = now + cold + COLD_MARGIN_SECONDS if cold else 0.0
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

    def current_instance(self, server_id):
        """Return the name of the start of a server that is known here.

        A server may start again under its identifier; what was said of or
        by the one before does not hold for it.
        """
        server = self.servers.get(server_id)
        return server_id if server is None else instance_id_of(server.entry)

    def is_current_instance(self, server_id, instance_id):
        """Whether this start of a server is the one that is known here."""
        server = self.servers.get(server_id)
        return (
            server is not None and instance_id_of(server.entry) == instance_id
        )

    def drop_notice_if_moved(self, entry):
        """Forget that a server leaves that has moved.

        Without the time of its start in its entry, nothing else shows that
        it is another one under the same identifier.
        """
        notice = self.leaving_notices.get(instance_id_of(entry))
        if notice is not None and notice.address != entry.address:
            del self.leaving_notices[notice.instance_id]
            self.update_leaving_digest()

    def record_leaving(self, notice, now):
        """Use a server no more that says that it leaves.

        The store may be late to say so, or not say it at all. Word of a
        server may come before its entry does.

        Args:
            notice: The `LeavingNotice`.
            now: The time.

        Returns:
            Whether that start of the server was not known to leave.
        """
        server = self.servers.get(notice.server_id)
        if server is not None and not notice_matches_entry(
            notice, server.entry
        ):
            return False
        known = self.leaving_notices.get(notice.instance_id)
        if known is not None and known.at >= notice.at:
            return False
        self.leaving_notices[notice.instance_id] = notice
        if known is None:
            self.update_leaving_digest()
        if server is None or server.entry.leaving:
            return False
        server.entry = replace(server.entry, leaving=True)
        self.candidate_cache.clear()
        return True

    def update_leaving_digest(self):
        """Note anew what sums up the servers that said that they leave."""
        self.leaving_digest = 0
        if self.leaving_notices:
            self.leaving_digest = hash_text(
                "\n".join(sorted(self.leaving_notices))
            )

    def leaving_by_answer(self):
        """Return how many servers that are known said that they leave."""
        return sum(
            one.server_id in self.servers
            for one in self.leaving_notices.values()
        )

    def describe_leaving(self, service, region, now):
        """Return which servers said that they leave, for a log line."""
        return ", ".join(
            f"{one.server_id} leaves, said {now - one.at:.1f} s ago to "
            f"{one.host} in the answer to {one.request}"
            for one in self.leaving_notices.values()
            if self.is_current_instance(one.server_id, one.instance_id)
            and self.servers[one.server_id].entry.service == service
            and self.servers[one.server_id].region == region
        )

    def expire_leaving_notices(self, now):
        """Forget servers that said that they leave, and are gone."""
        old = [
            instance_id
            for instance_id, notice in self.leaving_notices.items()
            if now - notice.at > LEAVING_NOTICE_RETENTION_SECONDS
            and not self.is_current_instance(notice.server_id, instance_id)
        ]
        for instance_id in old:
            del self.leaving_notices[instance_id]
        if old:
            self.update_leaving_digest()

    def candidates(self, service, region, now):
        """Return the servers of *service* in *region* that may be used.

        They are kept until an entry changes: each choice asks for them.
        """
        found = self.candidate_cache.get((service, region))
        if found is None:
            found = self.candidate_cache[service, region] = [
                server
                for server in self.servers.values()
                if server.entry.service == service
                and server.region == region
                and server.entry.data_centre not in self.evacuated
                and not server.entry.leaving
            ]
        return found


def instance_id_of(entry):
    """Return the name of the start of a server that an entry tells of."""
    return f"{entry.id}/{entry.born}" if entry.born else entry.id


def notice_matches_entry(notice, entry):
    """Whether a notice is on the start of a server that an entry names."""
    same = notice.address == entry.address
    return same and notice.instance_id == instance_id_of(entry)


def eligibility_changed(entry, known):
    """Whether an entry says something new on who may use a server."""
    return (entry.service, entry.data_centre, entry.leaving) != (
        known.service,
        known.data_centre,
        known.leaving,
    )


def is_terminated(server, now):
    """Whether a server is to be taken as gone at *now*."""
    if server.absent_since is not NOTHING:
        return now - server.absent_since > ABSENCE_GRACE_SECONDS
    return server.terminates_at is not NOTHING and now > server.terminates_at
