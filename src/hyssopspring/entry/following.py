"""Keep configuration, servers and hosts current from the store."""

import zlib

import msgspec
from twisted.internet import defer

from ..core.events import EventKind
from ..core.exceptions import KeyValueError, NoAnswerError, ProtocolError
from ..core.sentinels import NOTHING
from ..stores.keyvalues import Applied, Entry
from ..traffic.members import Member
from .connections import Lane
from .fetching import fetch
from .messages import RemovedItem, StoreChange, StoredItem
from .mirrors import Changes, Follower, Mirror, Removal

__all__ = ["Following", "MEMBERS_PREFIX"]

MEMBERS_PREFIX = "hyssop/hosts/"

LEASE_SECONDS = 9.0
"""Seconds after which the store forgets a host that is gone."""

RENEW_EVERY = 2.5
WATCHER_RENEW_EVERY = 1.0
"""Seconds between renewals of a host that does not watch the store, and of
one that does. Each is also the proof of contact with the store: others of
the region rely on a watching host, and take over when it fails."""

WATCHING_HOSTS = 2
"""Hosts of a region that watch the store and pass on what changes. Each
call is paid for, so calls must not grow with hosts times servers; the
second bridges the loss of the first."""

REST_AFTER = 1.5
"""Seconds for which a host must rank behind the watching ones before it
ends its own watches; ranks change for moments when hosts start."""

FAILING_AGE = 10.0
"""Age of contact, in seconds, that a host tells while its calls fail, so
that others rank before it at once."""

BATCH_BYTES = 6_000
"""Bytes of items that are passed on in one datagram."""

FASTEST = 1
"""Level of compression of a copy; its text shrinks to an eighth, and the
smallest hosts have links of 5 Mbit a second."""

PEER_TIMEOUT = 1.5
"""Seconds for another host's copy of the store, over its link."""

PEER_PAUSE = 0.3
"""Seconds between two reads of other hosts' copies. It is also the time
that this host's own watch gets to bring what a neighbour has already."""

PEER_IDLE = 6.0


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """A host's copy of the store.

    Attributes:
        revisions: Newest revision that it reflects, of what operators
            wrote and of the servers.
        operator: Items that operators have written.
        servers: Entries of backend servers.
        hosts: Entries of hosts.
    """

    revisions: tuple[int, int]
    operator: list[StoredItem]
    servers: list[StoredItem]
    hosts: list[StoredItem]


class HostEntry(msgspec.Struct, frozen=True):
    """What a host writes of itself into the store.

    Attributes:
        host: Its name.
        region: Its region.
        data_centre: Its data centre.
        front: Address for callers.
        control: Address for datagrams.
        relay: Address for forwarded requests.
        capacity: Processor share.
        incarnation: Number of its start.
    """

    host: str
    region: str
    data_centre: str
    front: str
    control: str
    relay: str
    capacity: float
    incarnation: int


_ENCODER = msgspec.msgpack.Encoder()
_SNAPSHOT = msgspec.msgpack.Decoder(Snapshot)
_HOST = msgspec.json.Decoder(HostEntry)


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
    """

    def __init__(self, state, store, layout, applied, found_hosts, spread):
        self.state = state
        self.store = store
        self.layout = layout
        self.applied = applied
        self.found_hosts = found_hosts
        self.spread = spread
        self.evacuated = set()
        self.lease = NOTHING
        self.renew_due = 0.0
        self.renewing = False
        self.fetching = False
        self.fetch_due = 0.0
        self.operator = Mirror(self.operator_wrote, self.operator_removed)
        self.servers = Mirror(self.server_wrote, self.server_removed)
        self.hosts = Mirror(self.host_wrote, self.host_removed)
        self.mirrors = {
            layout.OPERATOR_PREFIX: self.operator,
            layout.SERVERS_PREFIX: self.servers,
        }
        self.followers = []
        self.needed_at = 0.0

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
        )

    def start(self):
        """Begin to follow."""
        self.needed_at = self.state.clock.seconds()
        self.start_watching()
        self.spawn(self.ask_seeds())

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

    def pass_on(self, prefix, changes, outage):
        """Tell the hosts of the region what a watch has brought."""
        rows = [
            StoredItem(entry.key, entry.value, entry.revision)
            for entry in changes.entries
        ]
        rows += [
            RemovedItem(removal.key, removal.revision)
            for removal in changes.removals
        ]
        rows.sort(key=lambda row: row.revision)
        previous = self.mirrors[prefix].newest
        for batch in split_rows(rows):
            newest = max(previous, batch[-1].revision)
            self.spread(self.change_of(prefix, previous, batch, outage))
            previous = newest

    def change_of(self, prefix, previous, batch, outage):
        """Return the `StoreChange` of a batch.

        An item that is too large for a datagram is left out. The message
        then names its revision as the one before, so that whoever gets it
        knows that it lacks something, and reads a copy.
        """
        if sum(map(row_size, batch)) > BATCH_BYTES:
            previous, batch = batch[-1].revision, []
        return StoreChange(
            self.state.members.own.name,
            prefix,
            previous,
            [row for row in batch if isinstance(row, StoredItem)],
            [row for row in batch if isinstance(row, RemovedItem)],
            outage,
        )

    @property
    def revisions(self):
        """Newest revisions that this host has seen, by prefix.

        They are kept apart, as the watches bring their changes in any
        order: a later change of a server would hide that an earlier one
        of the configuration was lost.
        """
        return self.operator.newest, self.servers.newest

    def take_change(self, message):
        """Take over what another host's watch has brought.

        A datagram may be lost. Then the next one follows on a revision
        that this host has not seen, and a whole copy is read instead.
        Until it has come, the host goes on to name its old revision.
        """
        mirror = self.mirrors.get(message.prefix)
        if mirror is None:
            return
        seen = mirror.newest
        changes = Changes(
            tuple(entries(message.written)),
            tuple(Removal(row.key, row.revision) for row in message.removed),
            0,
        )
        mirror.apply(changes, outage=message.outage)
        if message.previous <= seen:
            return
        mirror.newest = seen
        member = self.state.members.others.get(message.host)
        if member is not None and not self.fetching:
            self.fetching = True
            self.spawn(self.read_host(member.relay))

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
        self.state.timeline.note(
            EventKind.CONFIG_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
        )
        self.applied()

    def server_wrote(self, entry):
        """Take over the entry of a server."""
        try:
            server = self.layout.decode_server(entry.key, entry.value)
        except ProtocolError as problem:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=problem)
            return
        known = self.state.registry.servers.get(server.id)
        was_leaving = known is not None and known.entry.leaving
        fresh = self.state.registry.put(server, self.state.clock.seconds())
        if fresh:
            self.note_server(EventKind.SERVER_ADDED, server)
        if server.leaving and not was_leaving:
            self.note_server(EventKind.SERVER_LEAVING, server)
        if server.cold_left > 0:
            self.note_server(EventKind.SERVER_COLD, server)

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
            row = _HOST.decode(entry.value)
        except msgspec.DecodeError as problem:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=problem)
            return
        self.state.members.learn(
            Member(
                name=row.host,
                region=row.region,
                data_centre=row.data_centre,
                front=row.front,
                control=row.control,
                relay=row.relay,
                capacity=row.capacity,
                incarnation=row.incarnation,
            )
        )

    def host_removed(self, key, outage):
        """Do nothing: heartbeats tell which hosts live."""

    async def read_hosts(self):
        """Read the hosts that are in the store."""
        try:
            listing = await self.store.list(MEMBERS_PREFIX)
        except KeyValueError as problem:
            self.state.contact.failed(problem)
            return
        self.state.contact.heard()
        self.hosts.replace(listing.entries, listing.revision)
        self.found_hosts()

    def tick(self):
        """Do the periodic work."""
        now = self.state.clock.seconds()
        own = self.state.members.own
        own.contact_age = self.state.contact.age
        if self.state.contact.failing_since is not NOTHING:
            own.contact_age = max(own.contact_age, FAILING_AGE)
        own.revisions = self.revisions
        self.choose_watching(now)
        for server_id in self.state.registry.expire(now):
            self.state.timeline.note(EventKind.SERVER_GONE, server=server_id)
            self.state.connections.forget(server_id)
        if now >= self.renew_due and not self.renewing:
            self.renewing = True
            watching = bool(self.followers)
            period = WATCHER_RENEW_EVERY if watching else RENEW_EVERY
            self.renew_due = now + period
            self.spawn(self.renew())

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
        lease = await self.store.grant_lease(LEASE_SECONDS)
        own = self.state.members.own
        value = msgspec.json.encode(host_entry(own))
        key = MEMBERS_PREFIX + own.name
        result = await self.store.put(key, value, lease)
        if isinstance(result, Applied):
            self.lease = lease
            await self.read_hosts()

    async def leave(self):
        """Remove this host's entry from the store."""
        if self.lease is NOTHING:
            return
        lease, self.lease = self.lease, NOTHING
        try:
            await self.store.end_lease(lease)
        except KeyValueError as problem:
            self.state.contact.failed(problem)

    def snapshot(self):
        """Return the bytes of this host's copy of the store."""
        own = self.state.members.own
        hosts = [
            StoredItem(
                MEMBERS_PREFIX + member.name,
                msgspec.json.encode(host_entry(member)),
                1,
            )
            for member in (*self.state.members.others.values(), own)
        ]
        copy = Snapshot(
            self.revisions, items(self.operator), items(self.servers), hosts
        )
        return zlib.compress(_ENCODER.encode(copy), FASTEST)

    def neighbour_is_newer(self, member):
        """Read a neighbour's copy if this host's stays behind it.

        A watch that fell silent, or a store that turns this host away,
        would leave it with an old configuration.
        """
        now = self.state.clock.seconds()
        if self.fetching or member.region != self.state.members.own.region:
            return
        if self.fetch_due == 0.0 or now - self.fetch_due > 1.0:
            self.fetch_due = now + PEER_PAUSE
            return
        if now < self.fetch_due:
            return
        self.fetch_due = 0.0
        self.fetching = True
        self.spawn(self.read_host(member.relay))

    async def ask_seeds(self):
        """Read a seed's copy of the store, for a start without it."""
        own = self.state.settings.control
        for address in self.state.settings.seeds:
            if address != own:
                await self.read_host(address)

    async def read_host(self, address):
        """Read another host's copy of the store."""
        try:
            status, data = await fetch(
                self.state.connections,
                Lane(f"state {address}", address, True, PEER_IDLE),
                b"GET",
                b"/state",
                address.encode(),
                b"",
                timeout=PEER_TIMEOUT,
                clock=self.state.clock,
            )
            snapshot = NOTHING
            if status == 200:
                snapshot = _SNAPSHOT.decode(zlib.decompress(data))
        except (NoAnswerError, msgspec.DecodeError, zlib.error) as problem:
            self.state.timeline.note(
                EventKind.PEER_UNREAD, peer=address, why=problem
            )
            return
        finally:
            self.fetching = False
        if snapshot is not NOTHING:
            self.take_snapshot(snapshot)

    def take_snapshot(self, snapshot):
        """Take over what is newer in another host's copy."""
        for row in snapshot.hosts:
            self.host_wrote(Entry(row.key, row.value, row.revision))
        rows = (snapshot.operator, snapshot.servers)
        for mirror, revision, items_ in zip(
            self.mirrors.values(), snapshot.revisions, rows, strict=True
        ):
            if revision > mirror.newest:
                mirror.replace(entries(items_), revision)


def row_size(row):
    """Return the bytes that an item takes in a datagram."""
    return len(row.key) + len(getattr(row, "value", b""))


def split_rows(rows):
    """Yield lists of rows that each fit into a datagram.

    A row that is too large for one stands alone.
    """
    batch, size = [], 0
    for row in rows:
        length = row_size(row)
        if batch and size + length > BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(row)
        size += length
    if batch:
        yield batch


def host_entry(member):
    """Return the `HostEntry` of a `Member`."""
    return HostEntry(
        member.name,
        member.region,
        member.data_centre,
        member.front,
        member.control,
        member.relay,
        member.capacity,
        member.incarnation,
    )


def items(mirror):
    """Return a `StoredItem` for each entry of a `Mirror`."""
    return [
        StoredItem(entry.key, entry.value, entry.revision)
        for entry in mirror.entries.values()
    ]


def entries(rows):
    """Return an `Entry` for each `StoredItem`."""
    return [Entry(row.key, row.value, row.revision) for row in rows]
