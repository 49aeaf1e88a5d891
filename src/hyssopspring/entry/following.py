"""Keep configuration, servers and hosts current from the store."""

from twisted.internet import defer

from ..core.events import EventKind
from ..core.exceptions import KeyValueError, ProtocolError
from ..core.sentinels import NOTHING
from ..stores.keyvalues import Applied
from ..traffic.members import LEARNING, SETTLED
from .copies import Copies
from .crashstore import CRASHES_PREFIX
from .hostentries import (
    MEMBERS_PREFIX,
    OWN_PREFIX,
    decode_host,
    encode_host,
)
from .mirrors import Follower, HistoryLostError, Mirror

__all__ = ["Following"]

LEASE_SECONDS = 9.0
"""Seconds after which the store forgets a host that is gone."""

RENEW_EVERY = 2.5
"""Seconds between renewals of a host's entry in the store."""

PROBE_EVERY = 0.9
"""Seconds between two probes of the watches of the first host of a region,
each watch in turn. A connection can pass nothing and stay open, and a watch
without an answer looks like a store without changes."""

WATCHING_HOSTS = 2
"""Hosts of a region that watch the store and pass on what changes. Each
call is paid for, so calls must not grow with hosts times servers; the
second bridges the loss of the first."""

REST_AFTER = 1.5
"""Seconds for which a host must rank behind the watching ones before it
ends its own watches; ranks change for moments when hosts start."""

BEHIND_FOR = 0.5
"""Seconds for which another host may have a newer configuration before the
watch here is begun anew; a change reaches all regions within 0.4 s."""

FAILING_AGE = 10.0
"""Age of contact, in seconds, that a host tells while its calls fail, so
that others rank before it at once."""


class Following:
    """Follow the store, and other hosts while it cannot be read.

    Args:
        state: The `EntryState`.
        store: The client of the store.
        layout: Prefixes and decoders of what others write there; offers
            ``OPERATOR_PREFIX``, ``SERVERS_PREFIX``, ``CONFIGURATION_KEY``,
            ``decode_configuration``, ``evacuated_data_centre``,
            ``decode_server`` and ``server_id``.
        applied: Called when the configuration has changed.
        found_hosts: Called when the hosts in the store were read.
        spread: Called with a `StoreChange` for the hosts of the region.
        found_crash: Called with the `Entry` of a request under which
            servers ended.
    """

    def __init__(
        self,
        state,
        store,
        layout,
        applied,
        found_hosts,
        spread,
        found_crash,
    ):
        self.state = state
        self.store = store
        self.layout = layout
        self.applied = applied
        self.found_hosts = found_hosts
        self.found_crash = found_crash
        self.evacuated = set()
        self.lease = NOTHING
        self.renewed_at = NOTHING
        self.renewing = False
        self.reading = False
        self.probing = False
        self.probed_at = 0.0
        self.operator = Mirror(self.operator_wrote, self.operator_removed)
        self.servers = Mirror(self.server_wrote, self.server_removed)
        self.hosts = Mirror(self.host_wrote, self.host_removed)
        self.mirrors = {
            layout.OPERATOR_PREFIX: self.operator,
            layout.SERVERS_PREFIX: self.servers,
        }
        self.copies = Copies(
            state,
            self.mirrors,
            self.host_wrote,
            spread,
            self.spawn,
            self.read_store,
        )
        self.followers = []
        self.needed_at = 0.0

    @property
    def watch_age(self):
        """Seconds since the oldest watch had an answer; 0 without one."""
        now = self.state.clock.seconds()
        heard = [one.heard_at for one in self.followers if one.heard_at]
        return round(now - min(heard, default=now), 1)

    def follower(self, prefix, mirror):
        """Return the `Follower` of one prefix."""
        return Follower(
            self.store,
            prefix,
            mirror,
            self.state.contact,
            self.state.clock,
            self.state.rng,
            self.pass_on,
            self.asking,
            lambda: self.state.members.own.up_seconds < LEARNING,
        )

    def asking(self, prefix):
        """Return what is to be called when a listing has been taken over.

        A listing of what operators wrote confirms the view as of now, when
        it is asked for.
        """
        view = self.state.view
        if prefix != self.layout.OPERATOR_PREFIX:
            return lambda: None
        asked_at = view.clock()
        return lambda: view.confirm(asked_at)

    def read_configuration(self):
        """Read what operators wrote, beside the watch."""
        self.read_beside([self.layout.OPERATOR_PREFIX])

    def read_store(self):
        """Read all beside the watches, as neighbours cannot be read."""
        self.read_beside(list(self.mirrors))

    def read_beside(self, prefixes):
        """Read what stands below some prefixes, once at a time."""
        if not self.reading:
            self.reading = True
            self.spawn(self.list_beside(prefixes))

    async def list_beside(self, prefixes):
        """List each of some prefixes; the first failure ends it."""
        try:
            for prefix in prefixes:
                listed = self.asking(prefix)
                listing = await self.store.list(prefix)
                self.state.contact.heard()
                self.take_beside(prefix, listing)
                listed()
        except KeyValueError as problem:
            self.state.contact.failed(problem)
        finally:
            self.reading = False

    def take_beside(self, prefix, listing):
        """Take over a listing that was read beside the watch."""
        mirror = self.mirrors[prefix]
        changes = mirror.difference(listing)
        if changes.entries or changes.removals:
            self.pass_on(prefix, changes, False)
        mirror.refresh(listing)
        for follower in self.followers:
            follower.note_listing(prefix)

    def pass_on(self, prefix, changes, outage):
        """Tell the hosts of the region what a watch has brought.

        Right after its start each host watches for itself. If all told
        all others then, a region of 27 hosts would exchange 4,000 copies
        of the first changes, of 8 KB each.
        """
        now = self.state.clock.seconds()
        own = self.state.members.own
        ranked = self.state.members.placers(now)[:WATCHING_HOSTS]
        if own in ranked and own.up_seconds >= SETTLED:
            self.copies.pass_on(prefix, changes, outage)

    def start(self):
        """Begin to follow."""
        self.needed_at = self.state.clock.seconds()
        self.start_watching()
        self.spawn(self.copies.start())

    def start_watching(self):
        """Read all of the store, and watch it."""
        self.state.timeline.note(EventKind.WATCHING)
        self.followers = [
            self.follower(prefix, mirror)
            for prefix, mirror in self.mirrors.items()
        ]
        for follower in self.followers:
            follower.start().addErrback(self.crashed)

    def stop(self):
        """End following."""
        for follower in self.followers:
            follower.stop()
        self.followers = []

    def choose_watching(self, now):
        """Watch the store if this host is one of those that must."""
        ranked = self.state.members.placers(now)[:WATCHING_HOSTS]
        if self.state.members.own in ranked:
            self.needed_at = now
            if not self.followers:
                self.start_watching()
        elif self.followers and now - self.needed_at > REST_AFTER:
            self.stop()
            self.state.timeline.note(
                EventKind.RESTING, watched_by=[one.name for one in ranked]
            )

    def check_watches(self, now):
        """Find watches that are dead.

        The first host of a region asks a replica of the store for what
        they may lack. The second hears of a change from the first, and
        sees by it whether its own watch lives.
        """
        for follower in self.followers:
            follower.check()
            self.compare_watch(follower)
        if self.probing or now - self.probed_at < PROBE_EVERY:
            return
        if self.state.members.placers(now)[0] is not self.state.members.own:
            return
        waiting = [one for one in self.followers if one.waiting]
        if not waiting:
            return
        longest = min(waiting, key=lambda one: one.heard_at)
        if now - longest.heard_at >= PROBE_EVERY:
            self.probing = True
            self.probed_at = now
            self.spawn(self.probe(longest))

    def compare_watch(self, follower):
        """Begin a watch anew that does not bring what another host has."""
        if follower.prefix != self.layout.OPERATOR_PREFIX:
            return
        if not follower.waiting:
            return
        if self.copies.is_behind(follower.waiting_since, BEHIND_FOR):
            follower.renew("another host has more")

    async def probe(self, follower):
        """Ask a replica of the store for what a watch may lack."""
        try:
            changes = await self.store.probe(follower.prefix, follower.after)
            follower.take_probe(changes)
        except HistoryLostError:
            follower.renew("history lost")
        except KeyValueError as problem:
            self.state.contact.failed(problem)
        finally:
            self.probing = False

    def store_silent(self, sent_at):
        """Begin watches anew that are older than a call without answer."""
        for follower in self.followers:
            if follower.waiting and follower.waiting_since <= sent_at:
                follower.renew("no answer to a later call")

    def spawn(self, coroutine):
        """Run a coroutine whose unexpected failure is logged."""
        defer.ensureDeferred(coroutine).addErrback(self.crashed)

    def crashed(self, failure):
        """Write an unexpected failure to the log."""
        if failure.check(defer.CancelledError):
            return
        self.state.timeline.note(
            EventKind.UNEXPECTED, error=failure.getTraceback()
        )

    def operator_wrote(self, entry):
        """Take over what an operator has written."""
        if entry.key == self.layout.CONFIGURATION_KEY:
            self.take_configuration(entry)
            return
        place = self.layout.evacuated_data_centre(entry.key)
        if place is not NOTHING:
            self.evacuated.add(place)
            self.evacuate()

    def operator_removed(self, key, outage):
        """Take account of what an operator has removed."""
        place = self.layout.evacuated_data_centre(key)
        if place is not NOTHING:
            self.evacuated.discard(place)
            self.evacuate()

    def evacuate(self):
        """Put the evacuated data centres in force."""
        self.state.timeline.note(
            EventKind.EVACUATED, data_centres=sorted(self.evacuated)
        )
        self.state.registry.evacuate(
            self.evacuated, self.state.clock.seconds(), self.cold_seconds
        )

    def cold_seconds(self, service):
        """Return for how long the servers of a service start cold."""
        current = self.state.keeper.current
        if current is NOTHING:
            return 0.0
        return current.service(service).cold_seconds

    def take_configuration(self, entry):
        """Put a configuration in force if it is newer."""
        try:
            configuration = self.layout.decode_configuration(entry.value)
        except ProtocolError as problem:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=problem)
            return
        if not self.state.keeper.offer(configuration):
            self.state.timeline.note(
                EventKind.CONFIG_STALE, version=configuration.version
            )
            return
        self.state.members.own.version = configuration.version
        provenance = self.state.provenance
        provenance.note_applied(self.operator.origin, entry.revision)
        self.state.timeline.note(
            EventKind.CONFIG_APPLIED,
            routes=len(configuration.routes),
            contact_age=round(min(self.state.contact.age, 1e6), 1),
            watching=bool(self.followers),
            **provenance.details(),
        )
        self.applied()

    def server_wrote(self, entry):
        """Take over the entry of a server."""
        try:
            server = self.layout.decode_server(entry.key, entry.value)
        except ProtocolError as problem:
            self.drop_unreadable(entry.key, problem)
            return
        known = self.state.registry.servers.get(server.id)
        was_leaving = known is not None and known.entry.leaving
        now = self.state.clock.seconds()
        fresh = self.state.registry.put(server, now)
        if fresh and known is not None:
            self.state.coordinator.placer.forget_server(server.id, now)
            self.state.connections.forget(server.id)
        if fresh:
            self.note_server(EventKind.SERVER_ADDED, server)
        if server.leaving and not was_leaving:
            self.note_server(EventKind.SERVER_LEAVING, server)
        if server.cold_left > 0:
            self.note_server(EventKind.SERVER_COLD, server)

    def drop_unreadable(self, key, problem):
        """Use no server whose entry cannot be read.

        Someone else has written there, so the server that it named before
        may be gone, and its address may be another's by now.
        """
        self.state.timeline.note(
            EventKind.SERVER_UNREADABLE, key=key, why=problem
        )
        server_id = self.layout.server_id(key)
        now = self.state.clock.seconds()
        self.state.registry.remove(server_id, now, outage=False)
        self.state.connections.forget(server_id)

    def note_server(self, kind, server):
        """Put a change of a server on the time line."""
        self.state.timeline.note(
            kind,
            server=server.id,
            service=server.service,
            data_centre=server.data_centre,
            cold_left=server.cold_left,
        )

    def server_removed(self, key, outage):
        """Take account of an entry that is gone."""
        server_id = self.layout.server_id(key)
        self.state.registry.remove(
            server_id, self.state.clock.seconds(), outage=outage
        )
        self.state.timeline.note(
            EventKind.SERVER_GONE, server=server_id, outage=outage
        )
        if server_id not in self.state.registry.servers:
            self.state.connections.forget(server_id)

    def host_wrote(self, entry):
        """Take over the entry of a host."""
        try:
            member = decode_host(entry.value)
        except ProtocolError as problem:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=problem)
            return
        self.state.members.learn(member)

    def host_removed(self, key, outage):
        """Do nothing: heartbeats tell which hosts live."""

    async def read_own(self):
        """Read what hosts have written to the store, in one call."""
        try:
            listing = await self.store.list(OWN_PREFIX)
        except KeyValueError as problem:
            self.state.contact.failed(problem)
            return
        self.state.contact.heard()
        hosts = [
            entry
            for entry in listing.entries
            if entry.key.startswith(MEMBERS_PREFIX)
        ]
        self.hosts.replace(hosts, listing.revision)
        for entry in listing.entries:
            if entry.key.startswith(CRASHES_PREFIX):
                self.crash_wrote(entry)
        self.found_hosts()

    def crash_wrote(self, entry):
        """Take over a request under which servers ended."""
        try:
            self.found_crash(entry)
        except ProtocolError as problem:
            self.state.timeline.note(EventKind.CRASH_UNREADABLE, why=problem)

    def tick(self):
        """Do the periodic work."""
        now = self.state.clock.seconds()
        own = self.state.members.own
        own.contact_age = self.state.contact.age
        if self.state.contact.failing_since is not NOTHING:
            own.contact_age = max(own.contact_age, FAILING_AGE)
        own.revisions = self.copies.revisions
        self.choose_watching(now)
        self.check_watches(now)
        for server_id in self.state.registry.expire(now):
            self.state.timeline.note(EventKind.SERVER_GONE, server=server_id)
            self.state.connections.forget(server_id)
        if self.must_renew(now):
            self.renewing = True
            self.renewed_at = now
            self.spawn(self.renew())

    def must_renew(self, now):
        """Whether it is time to renew this host's entry in the store."""
        if self.renewing:
            return False
        return (
            self.renewed_at is NOTHING or now - self.renewed_at >= RENEW_EVERY
        )

    async def renew(self):
        """Keep this host's entry in the store."""
        try:
            await self.renew_lease()
            self.state.contact.heard()
        except KeyValueError as problem:
            self.state.contact.failed(problem)
        finally:
            self.renewing = False

    async def renew_lease(self):
        """Renew the lease, or write the entry under a new one."""
        if self.lease is not NOTHING:
            if await self.store.renew_lease(self.lease):
                return
            self.lease = NOTHING
        if self.state.members.own.leaving:
            return
        seconds = max(LEASE_SECONDS, self.state.settings.least_lease)
        lease = await self.store.grant_lease(seconds)
        own = self.state.members.own
        key = MEMBERS_PREFIX + own.name
        result = await self.store.put(key, encode_host(own), lease)
        if isinstance(result, Applied):
            self.lease = lease
            await self.read_own()

    async def leave(self):
        """Remove this host's entry from the store."""
        if self.lease is NOTHING:
            return
        lease, self.lease = self.lease, NOTHING
        try:
            await self.store.end_lease(lease)
        except KeyValueError as problem:
            self.state.contact.failed(problem)
