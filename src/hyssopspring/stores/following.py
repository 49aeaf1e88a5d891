"""Follow the accepted configuration and the host list."""

from twisted.internet import defer

from ..core.accepted import ACCEPTED_KEY, decode_accepted
from ..core.events import EventKind
from ..core.exceptions import KeyValueError, PlatformError, ProtocolError
from ..core.membership import PeerEntry
from ..core.sentinels import NOTHING
from ..core.trust import Level
from .keyvalues import Applied, NotApplied

FIRST_POLL = 2.5
SECOND_POLL = 10.0
"""Seconds between two readings of the first host of a data centre and of the
other one that watches. A dead watch looks like a quiet one, and a change must
be in force within four seconds; who reads it tells the others."""

UNSURE_POLL = 1.0
HOSTS_POLL = 1.0
IDLE_HOSTS_POLL = 10.0


class ConfigFollower:
    """Keep a host's configuration at the newest that can be had.

    The hosts that watch for their data centre follow the key-value
    service; all others hear of a new generation from their peers'
    messages and fetch it there. So the number of watches grows with the
    data centres and not with the hosts, and a data centre that is cut
    from the platform but not from other data centres stays current.

    Args:
        state: The `HostState`.
        peers: The `PeerTable`.
        store: The key-value client.
        control_client: The `ControlClient`.
    """

    def __init__(self, state, peers, store, control_client):
        self.state = state
        self.peers = peers
        self.store = store
        self.control_client = control_client
        self.watch = NOTHING
        self.read_due = 0.0
        self.reading = False
        self.again = False
        self.fetching = set()
        self.down = False

    def tick(self):
        """Do what is due."""
        now = self.state.clock.seconds()
        keeper = self.state.keeper
        unsure = self.is_unsure()
        if unsure:
            for host in self.peers.sources():
                self.fetch(host)
        watching = self.peers.watches(now)
        if watching and self.watch is NOTHING:
            self.watch = self.store.watch(ACCEPTED_KEY, self.changed)
        if not watching and self.watch is not NOTHING:
            self.stop()
        pause = self.reading_pause(now, unsure)
        self.read_due = min(self.read_due, now + pause)
        if (watching or not keeper.generation) and now >= self.read_due:
            self.read_due = now + pause
            self.changed()

    def reading_pause(self, now, unsure):
        """Return the seconds between two readings beside the watch."""
        if unsure:
            return UNSURE_POLL
        return FIRST_POLL if self.peers.reports(now) else SECOND_POLL

    def stop(self):
        """End the watch."""
        if self.watch is not NOTHING:
            self.watch.stop()
            self.watch = NOTHING

    def changed(self):
        """Read the accepted configuration, one read at a time."""
        if self.reading:
            self.again = True
            return
        self.reading = True
        defer.ensureDeferred(self.read()).addBoth(self.finished)

    def finished(self, result):
        """Read once more if something changed meanwhile."""
        self.reading = False
        if self.again:
            self.again = False
            self.changed()
        return result

    async def read(self):
        """Read the accepted configuration from the platform."""
        asked_at = self.state.clock.seconds()
        try:
            entry = await self.store.get(ACCEPTED_KEY)
        except KeyValueError as error:
            self.note_platform(down=True, why=error)
            self.read_due = self.state.clock.seconds() + HOSTS_POLL
            return
        self.note_platform(down=False)
        if entry is NOTHING:
            return
        unsure = self.is_unsure()
        if unsure:
            entry = await self.verify(entry)
        if entry is not NOTHING:
            self.take(entry.value, "platform")
            self.note_contact(asked_at, verified=unsure)

    def is_unsure(self):
        """Whether only a configuration that is surely the newest helps."""
        level = self.state.trust.level(self.state.clock.seconds())
        return not self.state.keeper.generation or level is not Level.FULL

    def note_contact(self, asked_at, *, verified):
        """Note that the platform gave its configuration."""
        trust = self.state.trust
        if verified:
            trust.verify(asked_at)
        now = self.state.clock.seconds()
        trust.hear_direct(asked_at, now, verified=verified)

    async def verify(self, entry):
        """Return what the platform holds now, or `NOTHING`.

        A host that has just started remembers no generation, and one
        that was frozen or cut off an old one, so none could tell an
        answer from the past. Writing back the same value succeeds only
        if it is the newest; the refusal names that.
        """
        result = await self.store.swap(
            ACCEPTED_KEY, entry.value, entry.revision
        )
        if isinstance(result, Applied):
            return entry
        if isinstance(result, NotApplied):
            return result.current
        return NOTHING

    def note_platform(self, *, down, why=""):
        """Put a change of the platform's state on the time line."""
        if down == self.down:
            return
        self.down = down
        kind = EventKind.PLATFORM_DOWN if down else EventKind.PLATFORM_BACK
        self.state.timeline.note(kind, why=why)

    def take(self, data, source):
        """Decode an accepted configuration and offer it."""
        try:
            accepted = decode_accepted(data)
        except ProtocolError as error:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=error)
            return
        self.offer(accepted, source)

    def offer(self, accepted, source):
        """Offer a configuration to the keeper."""
        keeper = self.state.keeper
        if keeper.offer(accepted):
            self.state.timeline.note(
                EventKind.CONFIG_APPLIED,
                generation=accepted.generation,
                source=source,
                proposed=accepted.proposal is not None,
            )
        elif accepted.generation < keeper.generation:
            self.state.timeline.note(
                EventKind.CONFIG_STALE,
                generation=accepted.generation,
                source=source,
            )

    def newer(self, host, generation):
        """Fetch from *host*, which has a newer configuration."""
        self.fetch(host)

    def fetch(self, host):
        """Fetch the configuration of another host, once at a time."""
        entry = self.peers.entries.get(host)
        if entry is None or host in self.fetching:
            return
        self.fetching.add(host)
        work = defer.ensureDeferred(self.fetch_from(entry))
        work.addBoth(self.fetched, host)

    def fetched(self, result, host):
        """Allow the next fetch from *host*."""
        self.fetching.discard(host)
        return result

    async def fetch_from(self, entry):
        """Read another host's configuration and offer it."""
        asked_at = self.state.clock.seconds()
        accepted = await self.control_client.config(entry.forward)
        if accepted is not NOTHING and accepted.generation:
            self.offer(accepted, entry.host)
            self.state.trust.verify(asked_at)


class HostFollower:
    """Keep servers and peers as the host list has them.

    When the list cannot be read, the last one stays: a data centre that
    is cut off goes on with the servers that it knows.

    Args:
        state: The `HostState`.
        peers: The `PeerTable`.
        hosts: The `HostListClient`.
        seeds: Each `PeerEntry` known from the settings.
    """

    def __init__(self, state, peers, hosts, seeds):
        self.state = state
        self.peers = peers
        self.hosts = hosts
        self.due = 0.0
        self.reading = False
        self.complete = False
        peers.replace(seeds)

    def tick(self):
        """Read the list if it is due."""
        now = self.state.clock.seconds()
        if self.reading or now < self.due:
            return defer.succeed(None)
        watching = self.peers.watches(now) or not self.complete
        self.due = now + (HOSTS_POLL if watching else IDLE_HOSTS_POLL)
        self.due -= HOSTS_POLL / 2
        self.reading = True
        work = defer.ensureDeferred(self.read())
        return work.addBoth(self.finished)

    def finished(self, result):
        """Allow the next reading."""
        self.reading = False
        return result

    async def read(self):
        """Read the list and take it over."""
        asked_at = self.state.clock.seconds()
        try:
            listed = await self.hosts.read()
        except PlatformError:
            return
        self.complete = True
        now = self.state.clock.seconds()
        self.state.trust.hear_direct(asked_at, now)
        self.take(listed)

    def take(self, listed):
        """Take over a host list."""
        table = self.state.table
        leaving = {
            name for name, server in table.servers.items() if server.leaving
        }
        added, gone = table.replace(listed.servers)
        for name in sorted(added):
            self.state.timeline.note(EventKind.SERVER_ADDED, server=name)
        for name in sorted(gone):
            self.state.timeline.note(EventKind.SERVER_GONE, server=name)
        for name, server in table.servers.items():
            if server.leaving and name not in leaving:
                self.state.timeline.note(
                    EventKind.SERVER_LEAVING, server=name, source="list"
                )
        self.peers.replace(
            PeerEntry(
                host=row.name,
                region=row.region,
                data_centre=row.data_centre,
                address=row.address,
                forward=row.forward,
                control=row.control,
                leaving=row.leaving,
            )
            for row in listed.gateways
        )
