"""Keep configuration, servers and hosts in sync with the store."""

from twisted.internet import defer

from ..core.events import EventKind
from ..core.exceptions import KeyValueError, ProtocolError
from ..core.revisions import era_of, number_of
from ..core.sentinels import NOTHING
from ..stores.keyvalues import Applied
from ..traffic.members import PLACER_WARMUP_SECONDS, STARTUP_DISCOVERY_SECONDS
from ..traffic.servers import LeavingNotice
from .hostentries import MEMBERS_PREFIX, OWN_PREFIX, decode_host, encode_host
from .mirrors import HistoryLostError, Mirror
from .replication import Replication
from .watches import LONG_WAIT_SECONDS, SHORT_WAIT_SECONDS, PrefixWatcher

__all__ = ["StoreSync"]

HOST_LEASE_SECONDS = 9.0
"""Lease on a host's entry, after which the store drops a host that is gone."""

RENEW_INTERVAL_SECONDS = 2.5
"""Interval between renewals of a host's entry in the store."""

PROBE_INTERVAL_SECONDS = 1.8
"""Interval between two probes of the watch of the operators' keys at the first
host of a region. A connection can stay open without passing any data, and a
watch without an answer looks like a store without changes."""

WATCHING_HOSTS = 2
"""Hosts of a region that watch the store and broadcast changes. Each call is
billed, so the number of calls must not grow with hosts times servers; the
second host covers the loss of the first."""

STOP_WATCHING_SECONDS = 1.5
"""Time for which a host must rank behind the watching ones before it ends its
own watches. Ranks change briefly when hosts start."""

BEHIND_SECONDS = 0.5
"""Time for which another host may report a newer configuration before the
watch of this host is restarted. A change reaches all regions within 0.4 s."""

FAILING_CONTACT_AGE_SECONDS = 10.0
"""Contact age that a host reports while its calls fail, so that other hosts
rank before it at once."""


class StoreSync:
    """Synchronise with the store, or with other hosts while it is down.

    Args:
        state: The `EntryState`.
        store: The client of the store.
        layout: Prefixes and decoders of the keys that other programs write;
            offers ``OPERATOR_PREFIX``, ``SERVERS_PREFIX``,
            ``CONFIGURATION_KEY``, ``decode_configuration``,
            ``configuration_version``, ``evacuated_data_centre``,
            ``decode_server`` and ``server_id``.
        on_applied: Called when the configuration has changed.
        on_hosts_read: Called when the hosts in the store were read.
        broadcast: Called with a `StoreChange` for the hosts of the region.
        on_records_read: Called with each `Entry` that hosts have written,
            those of hosts aside.
    """

    def __init__(
        self,
        state,
        store,
        layout,
        on_applied,
        on_hosts_read,
        broadcast,
        on_records_read,
    ):
        self.state = state
        self.store = store
        self.layout = layout
        self.on_applied = on_applied
        self.on_hosts_read = on_hosts_read
        self.on_records_read = on_records_read
        self.evacuated = set()
        self.lease = NOTHING
        self.renewed_at = NOTHING
        self.renewing = False
        self.own_prefix_read = False
        self.reading = False
        self.probing = False
        self.last_probe_at = 0.0
        self.operator = Mirror(
            self.on_operator_written,
            self.on_operator_removed,
            version_of=self.version_of,
        )
        self.servers = Mirror(
            self.on_server_written,
            self.on_server_removed,
            on_restored=self.keep_leaving_servers,
        )
        self.hosts = Mirror(self.on_host_written, self.on_host_removed)
        self.mirrors = {
            layout.OPERATOR_PREFIX: self.operator,
            layout.SERVERS_PREFIX: self.servers,
        }
        self.replication = Replication(
            state,
            self.mirrors,
            self.on_host_written,
            broadcast,
            self.spawn,
            self.read_store,
        )
        self.watchers = []
        self.last_required_at = 0.0

    @property
    def watch_age(self):
        """Seconds since the last answer of the oldest watch, or 0."""
        now = self.state.clock.seconds()
        reply_times = [
            one.last_reply_at for one in self.watchers if one.last_reply_at
        ]
        return round(now - min(reply_times, default=now), 1)

    def make_watcher(self, prefix, mirror):
        """Return the `PrefixWatcher` of one prefix."""
        return PrefixWatcher(
            self.store,
            prefix,
            mirror,
            self.state.contact,
            self.state.clock,
            self.state.rng,
            self.broadcast_changes,
            self.before_listing,
            lambda: (
                self.state.members.own.up_seconds < STARTUP_DISCOVERY_SECONDS
            ),
            lambda: self.wait_seconds(prefix),
        )

    def wait_seconds(self, prefix):
        """Return for how long a watch of a prefix waits, in seconds.

        The first host of a region finds out in time which servers leave. The
        replica that answers probes may lag by longer than servers go on.
        """
        if prefix == self.layout.SERVERS_PREFIX and self.is_first_watching():
            return SHORT_WAIT_SECONDS
        return LONG_WAIT_SECONDS

    def is_first_watching(self):
        """Return whether this host is the first of its region to watch."""
        ranked = self.watching_hosts(self.state.clock.seconds())
        return bool(ranked) and ranked[0] is self.state.members.own

    def before_listing(self, prefix):
        """Return the callable to call once a listing has been applied.

        A listing of the operators' keys confirms the view as of the time at
        which it is requested, which is now. Right after a restore of the store
        it does not, as the newest configuration may be lost until it is
        written again, nor while another host has a newer one.
        """
        view = self.state.view
        if prefix != self.layout.OPERATOR_PREFIX:
            return lambda: None
        asked_at = view.clock()

        def listed():
            if (
                self.operator.reflects_writers
                and not self.replication.lacks_reported_version
            ):
                view.confirm(asked_at)

        return listed

    def read_configuration(self):
        """Read the operators' keys, in addition to the watch.

        Right after a restore of the store a reading could not confirm the
        view.
        """
        if self.operator.reflects_writers:
            self.read_prefixes([self.layout.OPERATOR_PREFIX])

    def read_store(self):
        """Read all prefixes in addition to the watches.

        This is the fallback when neighbours cannot be read.
        """
        self.read_prefixes(list(self.mirrors))

    def read_prefixes(self, prefixes):
        """List some prefixes unless such a read is already in progress."""
        if not self.reading:
            self.reading = True
            self.spawn(self.list_prefixes(prefixes))

    async def list_prefixes(self, prefixes):
        """List some prefixes in turn, and stop at the first failure."""
        try:
            for prefix in prefixes:
                listed = self.before_listing(prefix)
                listing = await self.store.list(prefix)
                self.state.contact.record_reply()
                self.apply_extra_listing(prefix, listing)
                listed()
        except KeyValueError as problem:
            self.state.contact.record_failure(problem)
        finally:
            self.reading = False

    def apply_extra_listing(self, prefix, listing):
        """Apply a listing that was read in addition to the watch."""
        mirror = self.mirrors[prefix]
        changes = mirror.difference(listing)
        if changes.entries or changes.removals:
            self.broadcast_changes(prefix, changes, False)
        mirror.refresh(listing)
        for watcher in self.watchers:
            watcher.record_listing(prefix)

    def broadcast_changes(self, prefix, changes, outage):
        """Broadcast changes from a watch to the hosts of the region.

        Right after its start each host watches by itself. If all of them
        broadcast then, a region of 27 hosts would exchange 4,000 copies of the
        first changes, of 8 KB each.
        """
        now = self.state.clock.seconds()
        own = self.state.members.own
        ranked = self.watching_hosts(now)
        if own in ranked and own.up_seconds >= PLACER_WARMUP_SECONDS:
            self.replication.broadcast_changes(prefix, changes, outage)

    def start(self):
        """Start the watches, and read the snapshots of other hosts."""
        self.last_required_at = self.state.clock.seconds()
        self.start_watching()
        self.spawn(self.replication.start())

    def start_watching(self):
        """Start a watcher for each prefix, which lists and then watches it."""
        self.state.timeline.note(EventKind.WATCHING)
        self.watchers = [
            self.make_watcher(prefix, mirror)
            for prefix, mirror in self.mirrors.items()
        ]
        for watcher in self.watchers:
            watcher.start().addErrback(self.log_failure)

    def stop(self):
        """Stop all watchers."""
        for watcher in self.watchers:
            watcher.stop()
        self.watchers = []

    def watching_hosts(self, now):
        """Return the hosts of the region that watch the store, best first.

        After a restore, hosts of earlier releases ignore the changes that
        they receive from the store.
        """
        ranked = self.state.members.placers(now)
        able = [one for one in ranked if one.knows_eras]
        return able[:WATCHING_HOSTS]

    def choose_watching(self, now):
        """Start or stop watching, depending on the rank of this host."""
        ranked = self.watching_hosts(now)
        if self.state.members.own in ranked:
            self.last_required_at = now
            if not self.watchers:
                self.start_watching()
        elif (
            self.watchers
            and now - self.last_required_at > STOP_WATCHING_SECONDS
        ):
            self.stop()
            self.state.timeline.note(
                EventKind.RESTING, watched_by=[one.name for one in ranked]
            )

    def check_watches(self, now):
        """Detect and restart dead watches.

        The first host of a region asks a replica of the store for changes that
        its watch of the operators' keys may lack; its watch of the servers
        ends soon by itself. The second host receives each change from the
        first, which shows whether its own watch is alive.
        """
        for watcher in self.watchers:
            watcher.check()
            self.restart_lagging_watch(watcher)
        if self.probing or now - self.last_probe_at < PROBE_INTERVAL_SECONDS:
            return
        if not self.is_first_watching():
            return
        for watcher in self.watchers:
            if self.is_probe_due(watcher, now):
                self.probing = True
                self.last_probe_at = now
                self.spawn(self.probe(watcher))

    def is_probe_due(self, watcher, now):
        """Return whether a watch has been without an answer for long."""
        return (
            watcher.prefix == self.layout.OPERATOR_PREFIX
            and watcher.pending_watch is not NOTHING
            and now - watcher.last_reply_at >= PROBE_INTERVAL_SECONDS
        )

    def restart_lagging_watch(self, watcher):
        """Restart a watch that fails to deliver what another host has."""
        if watcher.prefix != self.layout.OPERATOR_PREFIX:
            return
        if not watcher.pending_watch:
            return
        if self.replication.is_behind(
            watcher.watch_started_at, BEHIND_SECONDS
        ):
            watcher.restart("another host has a newer configuration")

    async def probe(self, watcher):
        """Ask a replica of the store for changes that a watch may lack."""
        try:
            changes = await self.store.probe(
                watcher.prefix, watcher.after_revision
            )
            watcher.apply_probe(changes)
        except HistoryLostError:
            watcher.restart("history lost")
        except KeyValueError as problem:
            self.state.contact.record_failure(problem)
        finally:
            self.probing = False

    def restart_older_watches(self, sent_at):
        """Restart watches that are older than a call without an answer."""
        for watcher in self.watchers:
            if watcher.pending_watch and watcher.watch_started_at <= sent_at:
                watcher.restart("no answer to a later call")

    def on_restored(self, previous, era):
        """Log that the store was restored, and list it again.

        The lease of this host's entry counts as ended, so the entry is written
        again when its renewal is due. Renewals are spread over all hosts.
        """
        operator, servers = self.replication.revisions
        self.state.timeline.note(
            EventKind.STORE_RESTORED,
            store_era=era,
            previous_era=previous,
            operator_revision=number_of(operator),
            servers_revision=number_of(servers),
            **self.state.provenance.details(),
        )
        for watcher in self.watchers:
            if watcher.pending_watch and era_of(watcher.after_revision) < era:
                watcher.restart("store was restored")

    def keep_leaving_servers(self):
        """Keep on record which servers are leaving.

        The copy from which the store was restored may list them as ready.
        """
        registry = self.state.registry
        now = self.state.clock.seconds()
        for server in list(registry.servers.values()):
            if server.entry.leaving:
                notice = LeavingNotice(
                    server_id=server.entry.id,
                    instance_id=registry.current_instance(server.entry.id),
                    address=server.entry.address,
                    at=now,
                    host=self.state.members.own.name,
                )
                registry.record_leaving(notice, now)

    def spawn(self, coroutine):
        """Run a coroutine, and log its failure if it is unexpected."""
        defer.ensureDeferred(coroutine).addErrback(self.log_failure)

    def log_failure(self, failure):
        """Log an unexpected failure."""
        if failure.check(defer.CancelledError):
            return
        self.state.timeline.note(
            EventKind.UNEXPECTED, error=failure.getTraceback()
        )

    def version_of(self, entry):
        """Return the version of a configuration, or `NOTHING`."""
        if entry.key != self.layout.CONFIGURATION_KEY:
            return NOTHING
        return self.layout.configuration_version(entry.value)

    def on_operator_written(self, entry):
        """Apply a key that an operator has written."""
        if entry.key == self.layout.CONFIGURATION_KEY:
            self.apply_configuration(entry)
            return
        data_centre = self.layout.evacuated_data_centre(entry.key)
        if data_centre is not NOTHING:
            self.evacuated.add(data_centre)
            self.apply_evacuation()

    def on_operator_removed(self, key, outage):
        """Apply the removal of an operator's key."""
        data_centre = self.layout.evacuated_data_centre(key)
        if data_centre is not NOTHING:
            self.evacuated.discard(data_centre)
            self.apply_evacuation()

    def apply_evacuation(self):
        """Put the current set of evacuated data centres in force."""
        self.state.timeline.note(
            EventKind.EVACUATED, data_centres=sorted(self.evacuated)
        )
        self.state.registry.evacuate(
            self.evacuated, self.state.clock.seconds(), self.cold_seconds
        )

    def cold_seconds(self, service):
        """Return how long the servers of a service start cold, in seconds."""
        current = self.state.keeper.current
        if current is NOTHING:
            return 0.0
        return current.service(service).cold_seconds

    def apply_configuration(self, entry):
        """Put a configuration in force if it is newer."""
        try:
            configuration = self.layout.decode_configuration(entry.value)
        except ProtocolError as problem:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=problem)
            return
        if not self.state.keeper.offer(configuration):
            if configuration.version < self.state.keeper.version:
                self.state.timeline.note(
                    EventKind.CONFIG_STALE, version=configuration.version
                )
            return
        self.state.members.own.version = configuration.version
        provenance = self.state.provenance
        provenance.record_applied(self.operator.origin, entry.revision)
        self.state.timeline.note(
            EventKind.CONFIG_APPLIED,
            routes=len(configuration.routes),
            contact_age=round(min(self.state.contact.age, 1e6), 1),
            watching=bool(self.watchers),
            **provenance.details(),
        )
        self.on_applied()

    def on_server_written(self, entry):
        """Apply the entry of a server."""
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
            self.state.connections.close_idle(server.id)
        if fresh:
            self.record_server(EventKind.SERVER_ADDED, server)
        if server.leaving and not was_leaving:
            self.record_server(EventKind.SERVER_LEAVING, server)
        if server.cold_left > 0:
            self.record_server(EventKind.SERVER_COLD, server)

    def drop_unreadable(self, key, problem):
        """Stop using a server whose entry cannot be decoded.

        Another program has overwritten the entry, so the server that it named
        before may be gone, and its address may be in use by another one.
        """
        self.state.timeline.note(
            EventKind.SERVER_UNREADABLE, key=key, why=problem
        )
        server_id = self.layout.server_id(key)
        now = self.state.clock.seconds()
        self.state.registry.remove(server_id, now, outage=False)
        self.state.connections.close_idle(server_id)

    def record_server(self, kind, server):
        """Log a change of a server."""
        self.state.timeline.note(
            kind,
            server=server.id,
            service=server.service,
            data_centre=server.data_centre,
            cold_left=server.cold_left,
            server_version=server.version,
        )

    def on_server_removed(self, key, outage):
        """Apply the removal of a server's entry."""
        server_id = self.layout.server_id(key)
        self.state.registry.remove(
            server_id, self.state.clock.seconds(), outage=outage
        )
        self.state.timeline.note(
            EventKind.SERVER_GONE, server=server_id, outage=outage
        )
        if server_id not in self.state.registry.servers:
            self.state.connections.close_idle(server_id)

    def on_host_written(self, entry):
        """Record the entry of a host."""
        try:
            member = decode_host(entry.value)
        except ProtocolError as problem:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=problem)
            return
        self.state.members.add(member)

    def on_host_removed(self, key, outage):
        """Do nothing: heartbeats show which hosts are up."""

    async def read_own_prefix(self):
        """Read the keys that hosts have written to the store, in one call."""
        try:
            listing = await self.store.list(OWN_PREFIX)
        except KeyValueError as problem:
            self.state.contact.record_failure(problem)
            return
        self.state.contact.record_reply()
        self.own_prefix_read = True
        hosts, records = [], []
        for entry in listing.entries:
            is_host = entry.key.startswith(MEMBERS_PREFIX)
            (hosts if is_host else records).append(entry)
        self.hosts.replace(hosts, listing.revision)
        self.on_records_read(records)
        self.on_hosts_read()

    def tick(self):
        """Do the periodic work."""
        now = self.state.clock.seconds()
        own = self.state.members.own
        own.contact_age = self.state.contact.age
        if self.state.contact.failing_since is not NOTHING:
            own.contact_age = max(own.contact_age, FAILING_CONTACT_AGE_SECONDS)
        own.revisions = self.replication.revisions
        for mirror in (self.operator, self.servers, self.hosts):
            mirror.settle(now)
        self.choose_watching(now)
        self.check_watches(now)
        for server_id in self.state.registry.expire(now):
            self.state.timeline.note(EventKind.SERVER_GONE, server=server_id)
            self.state.connections.close_idle(server_id)
        if self.renewal_due(now):
            self.renewing = True
            self.renewed_at = now
            self.spawn(self.renew())

    def renewal_due(self, now):
        """Return whether this host's entry in the store is due for renewal."""
        if self.renewing:
            return False
        return (
            self.renewed_at is NOTHING
            or now - self.renewed_at >= RENEW_INTERVAL_SECONDS
        )

    async def renew(self):
        """Keep this host's entry in the store."""
        try:
            await self.renew_lease()
            self.state.contact.record_reply()
        except KeyValueError as problem:
            self.state.contact.record_failure(problem)
        finally:
            self.renewing = False

    async def renew_lease(self):
        """Renew the lease, or write the entry under a new one."""
        if self.lease is not NOTHING:
            if await self.store.renew_lease(self.lease):
                if not self.own_prefix_read:
                    await self.read_own_prefix()
                return
            self.lease = NOTHING
        if self.state.members.own.leaving:
            return
        seconds = max(
            HOST_LEASE_SECONDS, self.state.settings.min_lease_seconds
        )
        lease = await self.store.grant_lease(seconds)
        own = self.state.members.own
        key = MEMBERS_PREFIX + own.name
        result = await self.store.put(key, encode_host(own), lease)
        if isinstance(result, Applied):
            self.lease = lease
            await self.read_own_prefix()

    async def leave(self):
        """Remove this host's entry from the store."""
        if self.lease is NOTHING:
            return
        lease, self.lease = self.lease, NOTHING
        try:
            await self.store.end_lease(lease)
        except KeyValueError as problem:
            self.state.contact.record_failure(problem)
