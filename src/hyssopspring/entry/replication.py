"""Replication of store changes and snapshots between hosts of a region."""

import zlib
from dataclasses import replace

import msgspec
from twisted.internet import defer

from ..core.addresses import split_address
from ..core.events import EventKind
from ..core.exceptions import NoAnswerError
from ..core.revisions import (
    era_of,
    first_of_era,
    join_revision,
    number_of,
)
from ..core.sentinels import NOTHING
from ..stores.keyvalues import Entry
from .connections import Endpoint
from .fetching import fetch
from .hostentries import MEMBERS_PREFIX, encode_host
from .messages import RemovedItem, StoreChange, StoredItem
from .mirrors import Changes, Removal
from .provenance import Channel, Origin

__all__ = ["Replication", "Snapshot", "split_rows"]

BATCH_BYTES = 6_000
"""Size of the items in one change datagram."""

COMPRESSION_LEVEL = 1
"""zlib level for snapshots. At this level a snapshot of 80 routes and 51
servers shrinks from 36 KB to 3 KB; the smallest hosts have links of 5
Mbit/s."""

PEER_TIMEOUT_SECONDS = 1.5
"""Timeout for reading another host's snapshot over its link."""

PEER_READ_PAUSE_SECONDS = 0.3
"""Pause between two reads of other hosts' snapshots. It is also the time in
which this host's own watch may deliver what a neighbour already has."""

REMOTE_READ_DELAY_SECONDS = 1.5
"""Time for which a host of another region must be ahead before its snapshot
is read. The store brings a change much sooner, unless it has lost the change
in a restore or turns all hosts of this region away."""

MAX_NEIGHBOURS_READ = 2
"""Hosts of its region, besides seeds, that a starting host reads from."""

PEER_IDLE_SECONDS = 6.0


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """A host's copy of the store.

    Attributes:
        revisions: Numbers of the newest revisions that it reflects, of the
            operators' keys and of the servers' keys.
        operator: Items written by operators.
        servers: Entries of backend servers.
        hosts: Entries of hosts.
        eras: Eras of these revisions, and of the items.
    """

    revisions: tuple[int, int]
    operator: list[StoredItem]
    servers: list[StoredItem]
    hosts: list[StoredItem]
    eras: tuple[int, int] = (0, 0)

    def full_revisions(self):
        """Return the revisions with their eras."""
        return tuple(map(join_revision, self.eras, self.revisions))


_ENCODER = msgspec.msgpack.Encoder()
_SNAPSHOT = msgspec.msgpack.Decoder(Snapshot)


class Replication:
    """Broadcast changes, and read a peer's snapshot when some were missed.

    Args:
        state: The `EntryState`.
        mirrors: `Mirror` of the operators' keys and of the servers' keys, by
            prefix and in this order.
        on_host_written: Called with the `Entry` of a host in a snapshot.
        broadcast: Called with a `StoreChange` for the hosts of the region.
        spawn: Called with a coroutine to run.
        on_peer_unreadable: Called when the snapshot of a host that is ahead
            could not be read.
    """

    def __init__(
        self,
        state,
        mirrors,
        on_host_written,
        broadcast,
        spawn,
        on_peer_unreadable,
    ):
        self.state = state
        self.mirrors = mirrors
        self.on_host_written = on_host_written
        self.broadcast = broadcast
        self.spawn = spawn
        self.on_peer_unreadable = on_peer_unreadable
        self.fetching = False
        self.fetch_due = 0.0
        self.newest_reported_version = 0
        self.newest_reported_at = 0.0
        self.remote_ahead = NOTHING
        self.remote_ahead_since = 0.0
        self.remote_revisions = (0, 0)

    def broadcast_changes(self, prefix, changes, outage):
        """Broadcast changes from a watch to the hosts of the region.

        Changes of an earlier era than that of the mirror are not passed on.
        """
        mirror = self.mirrors[prefix]
        rows = sorted(
            (
                row
                for row in (*changes.entries, *changes.removals)
                if era_of(row.revision) >= mirror.era
            ),
            key=lambda row: row.revision,
        )
        previous = mirror.newest_revision
        for batch in split_rows(rows):
            newest = max(previous, batch[-1].revision)
            self.broadcast(self.make_change(prefix, previous, batch, outage))
            previous = newest

    def make_change(self, prefix, previous, batch, outage):
        """Return the `StoreChange` of a batch.

        An item that is too large for a datagram is left out. The message then
        names the item's revision as the previous one, so that a receiver
        detects the gap and reads a snapshot. The same goes for the first
        changes of an era, as a receiver needs the state at its start.
        """
        newest = batch[-1].revision
        era = era_of(newest)
        if sum(map(row_size, batch)) > BATCH_BYTES:
            previous, batch = newest, []
        elif era_of(previous) < era:
            previous = newest
        return StoreChange(
            self.state.members.own.name,
            prefix,
            number_of(previous),
            [encode_item(row) for row in batch if isinstance(row, Entry)],
            [
                RemovedItem(row.key, number_of(row.revision))
                for row in batch
                if isinstance(row, Removal)
            ],
            outage,
            era,
        )

    @property
    def revisions(self):
        """Newest revisions that this host has seen, by prefix.

        They are kept separately because watches deliver their changes in any
        order: with a single revision, a later change of a server would hide
        the loss of an earlier change of the configuration.
        """
        return tuple(
            mirror.newest_revision for mirror in self.mirrors.values()
        )

    def apply_change(self, message):
        """Apply changes that another host's watch has received.

        A datagram may be lost. The next one then names a previous revision
        that this host has not seen, and the host reads a whole snapshot
        instead. Until the snapshot arrives, it keeps reporting its old
        revision.
        """
        mirror = self.mirrors.get(message.prefix)
        if mirror is None:
            return
        seen = mirror.newest_revision
        changes = Changes(
            tuple(decode_entries(message.written, message.era)),
            tuple(
                Removal(row.key, join_revision(message.era, row.revision))
                for row in message.removed
            ),
        )
        mirror.apply(
            changes,
            outage=message.outage,
            origin=Origin(Channel.CHANGE, message.host),
        )
        if join_revision(message.era, message.previous) <= seen:
            return
        mirror.newest_revision = seen
        member = self.state.members.others.get(message.host)
        if member is not None and not self.fetching:
            self.fetching = True
            self.spawn(self.read_host(member.relay))

    def snapshot(self):
        """Return this host's copy of the store, encoded and compressed."""
        own = self.state.members.own
        hosts = [
            StoredItem(
                MEMBERS_PREFIX + member.name,
                encode_host(member),
                1,
            )
            for member in (*self.state.members.others.values(), own)
        ]
        snapshot = Snapshot(
            tuple(map(number_of, self.revisions)),
            *map(encode_items, self.mirrors.values()),
            hosts,
            tuple(map(era_of, self.revisions)),
        )
        return zlib.compress(_ENCODER.encode(snapshot), COMPRESSION_LEVEL)

    def record_behind(self, member):
        """Log that this host is behind a peer, once for each newer version."""
        newer = max(self.newest_reported_version, self.state.keeper.version)
        if member.version <= newer:
            return
        self.newest_reported_version = member.version
        self.newest_reported_at = self.state.clock.seconds()
        self.state.timeline.note(
            EventKind.CONFIG_BEHIND,
            peer=member.name,
            newer=member.version,
            contact_age=round(min(self.state.contact.age, 1e6), 1),
            **self.state.provenance.details(),
        )

    def is_behind(self, since, seconds):
        """Return whether a watch fails to deliver what another host has.

        Args:
            since: Time at which the watch call started.
            seconds: Time within which the watch must deliver it.
        """
        if not self.lacks_reported_version:
            return False
        due_at = self.newest_reported_at + seconds
        return since <= due_at <= self.state.clock.seconds()

    @property
    def lacks_reported_version(self):
        """Whether another host has reported a newer configuration."""
        return self.newest_reported_version > self.state.keeper.version

    def on_peer_ahead(self, member):
        """Read a host's snapshot if this host stays behind it.

        Otherwise a host whose watch has died, or whose calls the store
        rejects, would keep an old configuration.
        """
        self.record_behind(member)
        if member.region != self.state.members.own.region:
            if self.is_remote_ahead(member):
                if self.remote_ahead is NOTHING:
                    self.remote_ahead_since = self.state.clock.seconds()
                self.remote_ahead = member
                self.check()
            return
        if self.fetching:
            return
        if self.is_neighbour_due(self.state.clock.seconds()):
            self.fetching = True
            self.spawn(self.read_host(member.relay))

    def is_remote_ahead(self, member):
        """Return whether a host of another region has what was not read."""
        seen = tuple(map(max, self.revisions, self.remote_revisions))
        return member.is_ahead(self.state.keeper.version, seen)

    def check(self):
        """Read a host of another region once this is due.

        Its heartbeats are too far apart to wait for the next one, which may
        also be lost.
        """
        member = self.remote_ahead
        if member is NOTHING or self.fetching:
            return
        if not self.is_remote_ahead(member):
            self.remote_ahead = NOTHING
            return
        now = self.state.clock.seconds()
        if now - self.remote_ahead_since > REMOTE_READ_DELAY_SECONDS:
            self.remote_ahead = NOTHING
            self.fetching = True
            self.spawn(self.read_host(member.relay, is_remote=True))

    def is_neighbour_due(self, now):
        """Return whether to read a neighbour that has been ahead for long."""
        if self.fetch_due == 0.0 or now - self.fetch_due > 1.0:
            self.fetch_due = now + PEER_READ_PAUSE_SECONDS
            return False
        if now < self.fetch_due:
            return False
        self.fetch_due = 0.0
        return True

    async def start(self):
        """Read other hosts' snapshots, to start without the store.

        A seed may be behind, so its snapshot is applied only after hosts of
        this region that the seed lists have been read too.
        """
        own = self.state.settings
        seeds = [one for one in own.seeds if one != own.control]
        snapshots = await self.fetch_snapshots(seeds)
        asked = {split_address(address)[0] for address in seeds}
        neighbours = [
            member.relay
            for member in self.state.members.others.values()
            if member.region == own.region
            and split_address(member.relay)[0] not in asked
        ]
        snapshots += await self.fetch_snapshots(
            neighbours[:MAX_NEIGHBOURS_READ]
        )
        snapshots.sort(key=lambda pair: pair[1].full_revisions(), reverse=True)
        for address, snapshot in snapshots:
            self.apply_snapshot(snapshot, address)

    async def fetch_snapshots(self, addresses):
        """Return address and `Snapshot` of each host that responds."""
        found = await defer.gatherResults(
            [
                defer.ensureDeferred(self.fetch_snapshot(address))
                for address in addresses
            ]
        )
        pairs = zip(addresses, found, strict=True)
        return [pair for pair in pairs if pair[1] is not NOTHING]

    async def read_host(self, address, *, is_remote=False):
        """Read and apply another host's snapshot.

        Args:
            address: Its address for requests of other hosts.
            is_remote: Whether it is in another region.
        """
        try:
            snapshot = await self.fetch_snapshot(address)
        finally:
            self.fetching = False
        if snapshot is not NOTHING:
            self.apply_snapshot(snapshot, address, is_remote=is_remote)
        else:
            self.on_peer_unreadable()

    async def fetch_snapshot(self, address):
        """Return the `Snapshot` of another host, or `NOTHING`.

        The hosts listed in it are recorded at once.
        """
        endpoint = Endpoint(
            f"state {address}", address, True, PEER_IDLE_SECONDS
        )
        try:
            status, data, _ = await fetch(
                self.state.connections,
                endpoint,
                b"GET",
                b"/state",
                address.encode(),
                b"",
                timeout=PEER_TIMEOUT_SECONDS,
                clock=self.state.clock,
            )
            if status != 200:
                raise NoAnswerError(f"snapshot response has status {status}")
            snapshot = _SNAPSHOT.decode(zlib.decompress(data))
        except (NoAnswerError, msgspec.DecodeError, zlib.error) as problem:
            self.state.timeline.note(
                EventKind.PEER_UNREAD, peer=address, why=problem
            )
            self.state.connections.close_idle(endpoint.key)
            return NOTHING
        for row in snapshot.hosts:
            self.on_host_written(Entry(row.key, row.value, row.revision))
        return snapshot

    def apply_snapshot(self, snapshot, address, *, is_remote=False):
        """Apply the parts of another host's snapshot that are newer.

        The other host may have a configuration that the store lost in a
        restore, whichever of the two has seen the newer revision.

        In a snapshot from another region the entries of servers of this one
        may be missing only because they do not reach the store either. It
        removes none.

        Args:
            snapshot: The `Snapshot`.
            address: Address that it was read from.
            is_remote: Whether that host is in another region.
        """
        origin = Origin(Channel.COPY, address)
        rows = (snapshot.operator, snapshot.servers)
        revisions = snapshot.full_revisions()
        if is_remote:
            self.remote_revisions = tuple(
                map(max, self.remote_revisions, revisions)
            )
        operator = next(iter(self.mirrors.values()))
        for mirror, revision, items_ in zip(
            self.mirrors.values(), revisions, rows, strict=True
        ):
            entries = decode_entries(items_, era_of(revision))
            is_same_era = era_of(revision) == mirror.era
            if is_remote and is_same_era and mirror is not operator:
                mirror.origin = origin
                mirror.put_all(entries)
            elif revision > mirror.newest_revision:
                mirror.replace(entries, revision, origin=origin)
            else:
                mirror.origin = origin
                mirror.put_versions(entries)


def row_size(row):
    """Return the size in bytes of an item in a datagram."""
    return len(row.key) + len(getattr(row, "value", b""))


def split_rows(rows):
    """Yield lists of rows that each fit into a datagram.

    A row that is too large for a datagram forms a list of its own.
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


def encode_item(entry):
    """Return the `StoredItem` of an `Entry`."""
    return StoredItem(entry.key, entry.value, number_of(entry.revision))


def encode_items(mirror):
    """Return a `StoredItem` for each entry of a `Mirror`.

    An entry of an earlier era than the newest revision counts as carried over
    to that of the newest revision.
    """
    first = first_of_era(mirror.newest_revision)
    return [
        encode_item(replace(entry, revision=max(first, entry.revision)))
        for entry in mirror.entries.values()
    ]


def decode_entries(rows, era):
    """Return an `Entry` for each `StoredItem` of an era."""
    return [
        Entry(row.key, row.value, join_revision(era, row.revision))
        for row in rows
    ]
