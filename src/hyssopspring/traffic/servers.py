"""Backend servers listed in the registry, and which of them may be used."""

import enum
from dataclasses import dataclass, replace

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING
from .versionhistory import VersionHistory

__all__ = ["LeavingNotice", "Registry", "Server", "ServerEntry", "Usability"]

COLD_MARGIN_SECONDS = 0.7
"""Seconds added to the cold phase that an entry states. They cover the age of
the entry and the time that a request takes to reach the server."""

ABSENCE_GRACE_SECONDS = 2.2
"""Seconds for which servers that vanished while the registry was unreachable
are still used after its return. Servers register again within two seconds, and
a server that shut down meanwhile serves for several more."""


LEAVING_NOTICE_RETENTION_SECONDS = 30.0
"""Seconds for which a server that announced its shutdown is remembered after
its entry is gone. The entry may lapse and come back without the leaving
flag."""


REMOVAL_RETENTION_SECONDS = 60.0
"""Seconds for which a removed server is remembered. It may serve for many
seconds after its removal, and another host may list it for longer."""


class Usability(enum.Enum):
    """Whether requests may be sent to a server."""

    READY = enum.auto()
    COLD = enum.auto()
    LEAVING = enum.auto()
    REMOVED = enum.auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """A server as the registry describes it.

    Attributes:
        id: Identifier of the server.
        born: Unix time of its start in milliseconds; 0 if not given.
        service: Service that it offers.
        address: ``ip:port``.
        data_centre: Data centre that it runs in.
        slots: Number of requests that it runs concurrently.
        leaving: Whether it is draining before its shutdown.
        cold_left: Seconds for which it stays cold, counted from the entry.
        terminates_in: Seconds until it is terminated at the latest, or
            `NOTHING`.
        version: Version of its software, or an empty string.
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
    version: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingNotice:
    """A server's announcement, in a response, that it is draining.

    Attributes:
        server_id: The server.
        instance_id: Identifier of the server instance.
        at: Time at which the response was received.
        host: Host that received it.
        request: Request to which it was the response.
        address: The ``ip:port`` of the server.
    """

    server_id: str
    instance_id: str
    address: str
    at: float
    host: str = ""
    request: str = ""


@dataclass(slots=True, eq=False)
class Server:
    """A server and its state as recorded on this host.

    Attributes:
        entry: The newest `ServerEntry`.
        region: Region of its data centre.
        cold_until: Time until which it counts as cold.
        absent_since: Time since which the registry does not list it, or
            `NOTHING`.
        terminates_at: Time at which it is terminated at the latest, or
            `NOTHING`.
    """

    entry: ServerEntry
    region: str
    cold_until: float = 0.0
    absent_since: object = NOTHING
    terminates_at: object = NOTHING

    def usability(self, now):
        """Return its `Usability` at *now*, ignoring evacuations."""
        if self.entry.leaving:
            return Usability.LEAVING
        return Usability.COLD if now < self.cold_until else Usability.READY


class Registry:
    """All servers that this host has received entries of.

    Args:
        regions: Region by data centre.

    Attributes:
        servers: `Server` by identifier.
        removed_at: Time of the removal of each server that was removed
            recently and not listed since.
        history: The `VersionHistory` of all services.
    """

    def __init__(self, regions):
        self.regions = regions
        self.servers = {}
        self.evacuated = set()
        self.removed_at = {}
        self.candidate_cache = {}
        self.leaving_notices = {}
        self.leaving_digest = 0
        self.history = VersionHistory()

    def put(self, entry, now):
        """Apply an entry of the registry.

        A server may restart under the same identifier. The new instance has
        none of the requests and caches of the old one, so the recorded state
        of the old instance, including that it was draining, does not apply to
        it. An entry of the old instance that arrives later from another host's
        copy is ignored.

        Returns:
            Whether the server, or this instance of it, is new to this host.
        """
        server = self.servers.get(entry.id)
        if server is not None and entry.born < server.entry.born:
            return False
        self.history.add(entry.service, entry.version)
        is_new = server is None or entry.born > server.entry.born
        if is_new:
            region = self.regions.get(entry.data_centre, entry.data_centre)
            server = Server(entry, region)
            self.servers[entry.id] = server
            self.removed_at.pop(entry.id, None)
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
        """Apply the removal of a server from the registry.

        During an outage of the registry, registrations lapse although the
        servers are up. Dropping them all would refuse every request until they
        have registered again, so they are kept for `ABSENCE_GRACE_SECONDS`.

        Args:
            server_id: Its identifier.
            now: The time.
            outage: Whether the registry has just become reachable again.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        if outage and not server.entry.leaving:
            if server.absent_since is NOTHING:
                server.absent_since = now
            return
        del self.servers[server_id]
        self.removed_at[server_id] = now
        self.candidate_cache.clear()

    def expire(self, now):
        """Drop servers that did not register again or are terminated.

        Removals that are older than `REMOVAL_RETENTION_SECONDS` are forgotten.

        Returns:
            Identifiers of the dropped servers.
        """
        self.removed_at = {
            server_id: removed_at
            for server_id, removed_at in self.removed_at.items()
            if now - removed_at <= REMOVAL_RETENTION_SECONDS
        }
        gone = [
            server_id
            for server_id, server in self.servers.items()
            if is_terminated(server, now)
        ]
        for server_id in gone:
            del self.servers[server_id]
            self.removed_at[server_id] = now
        if gone:
            self.candidate_cache.clear()
        return gone

    def replace_all(self, entries, now, *, outage):
        """Replace the servers by a full listing of the registry."""
        listed = {entry.id for entry in entries}
        for server_id in list(self.servers):
            if server_id not in listed:
                self.remove(server_id, now, outage=outage)
        for entry in entries:
            self.put(entry, now)

    def evacuate(self, data_centres, now, cold_seconds):
        """Set the evacuated data centres; servers of all others are usable.

        Servers of a data centre that returns are cold at first, and their
        entries show it only with a delay; a burst at that moment would crash
        them.

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

    def record_cold(self, server_id, instance_id, cold_left, now):
        """Record what a server said of itself beside its entry.

        Args:
            server_id: Its identifier.
            instance_id: Identifier of the instance that said so.
            cold_left: Seconds for which it stays cold.
            now: The time.

        Returns:
            Whether it counted as warm until now.
        """
        server = self.servers.get(server_id)
        if server is None or instance_id_of(server.entry) != instance_id:
            return False
        was_warm = now >= server.cold_until
        until = now + cold_left + COLD_MARGIN_SECONDS
        server.cold_until = max(server.cold_until, until)
        return was_warm

    def usability(self, server_id, now):
        """Return whether requests may be sent to a server.

        Returns:
            Its `Usability`, or `NOTHING` if this host has no entry of it and
            has not seen it removed recently.
        """
        server = self.servers.get(server_id)
        if server is None:
            removed = server_id in self.removed_at
            return Usability.REMOVED if removed else NOTHING
        if server.entry.data_centre in self.evacuated:
            return Usability.LEAVING
        return server.usability(now)

    def current_instance(self, server_id):
        """Return the instance identifier of a listed server.

        A server may restart under the same identifier; what was reported about
        or by the former instance does not apply to the new one.
        """
        server = self.servers.get(server_id)
        return server_id if server is None else instance_id_of(server.entry)

    def version_of(self, server_id):
        """Return the version of a listed server, or an empty string."""
        server = self.servers.get(server_id)
        return "" if server is None else server.entry.version

    def version_of_instance(self, server_id, instance_id):
        """Return the version of a listed instance, or an empty string."""
        if not self.is_current_instance(server_id, instance_id):
            return ""
        return self.version_of(server_id)

    def release_of(self, server_id):
        """Return the service and version of a listed server, or "".

        A server without a version has no release.
        """
        server = self.servers.get(server_id)
        return "" if server is None else release_of(server.entry)

    def listed_releases(self):
        """Return the releases of all listed servers."""
        return {release_of(one.entry) for one in self.servers.values()} - {""}

    def has_version(self, service, region, version, now):
        """Return whether a usable server of a region has a version.

        Args:
            service: The service.
            region: The region.
            version: The version; an empty string stands for any.
            now: The time.
        """
        return not version or any(
            server.entry.version == version
            for server in self.candidates(service, region, now)
        )

    def offers(self, service, version):
        """Return whether a server of any region may get requests.

        Args:
            service: The service.
            version: Version that the server must have.
        """
        return any(
            server.entry.service == service
            and server.entry.version == version
            and not server.entry.leaving
            and server.entry.data_centre not in self.evacuated
            for server in self.servers.values()
        )

    def listed_versions(self, service):
        """Return the versions of the listed servers of a service."""
        return {
            server.entry.version
            for server in self.servers.values()
            if server.entry.service == service
        }

    def known_versions(self, service):
        """Return the versions that a service has or has ever had."""
        past = self.history.versions.get(service, ())
        return self.listed_versions(service).union(past)

    def is_current_instance(self, server_id, instance_id):
        """Whether an instance of a server is the one that is listed here."""
        server = self.servers.get(server_id)
        return (
            server is not None and instance_id_of(server.entry) == instance_id
        )

    def drop_notice_if_moved(self, entry):
        """Drop the leaving notice of a server whose address has changed.

        If the entry has no start time, nothing else shows that it describes a
        new instance under the same identifier.
        """
        notice = self.leaving_notices.get(instance_id_of(entry))
        if notice is not None and notice.address != entry.address:
            del self.leaving_notices[notice.instance_id]
            self.update_leaving_digest()

    def record_leaving(self, notice, now):
        """Stop using a server that announced that it is draining.

        The store may report this late or never. A notice may arrive before the
        entry of its server.

        Args:
            notice: The `LeavingNotice`.
            now: The time.

        Returns:
            Whether this instance was not yet recorded as draining.
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
        """Recompute the digest of all instances with a leaving notice."""
        self.leaving_digest = 0
        if self.leaving_notices:
            self.leaving_digest = hash_text(
                "\n".join(sorted(self.leaving_notices))
            )

    def leaving_by_answer(self):
        """Return the number of listed servers with a leaving notice."""
        return sum(
            one.server_id in self.servers
            for one in self.leaving_notices.values()
        )

    def describe_leaving(self, service, region, now):
        """Return text on the draining servers of a service, for a log line."""
        return ", ".join(
            f"{one.server_id} is draining, announced {now - one.at:.1f} s "
            f"ago to {one.host} in the response to {one.request}"
            for one in self.leaving_notices.values()
            if self.is_current_instance(one.server_id, one.instance_id)
            and self.servers[one.server_id].entry.service == service
            and self.servers[one.server_id].region == region
        )

    def expire_leaving_notices(self, now):
        """Drop old notices of instances that are no longer listed."""
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

        The list is cached until an entry changes, because every placement
        reads it.
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


def release_of(entry):
    """Return the service and version of a server, or "" without a version."""
    return f"{entry.service}/{entry.version}" if entry.version else ""


def instance_id_of(entry):
    """Return the identifier of the server instance that an entry describes."""
    return f"{entry.id}/{entry.born}" if entry.born else entry.id


def notice_matches_entry(notice, entry):
    """Whether a notice concerns the instance that an entry describes."""
    same = notice.address == entry.address
    return same and notice.instance_id == instance_id_of(entry)


def eligibility_changed(entry, known):
    """Whether an entry changes which requests its server may get."""
    return (entry.service, entry.data_centre, entry.leaving) != (
        known.service,
        known.data_centre,
        known.leaving,
    )


def is_terminated(server, now):
    """Whether a server counts as gone at *now*."""
    if server.absent_since is not NOTHING:
        return now - server.absent_since > ABSENCE_GRACE_SECONDS
    return server.terminates_at is not NOTHING and now > server.terminates_at
