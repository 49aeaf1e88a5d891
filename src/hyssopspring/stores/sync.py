"""Keep the accepted configuration and the host list up to date."""

from twisted.internet import defer

from ..core.accepted import ACCEPTED_KEY, decode_accepted
from ..core.events import EventKind
from ..core.exceptions import KeyValueError, PlatformError, ProtocolError
from ..core.membership import PeerEntry
from ..core.sentinels import NOTHING
from ..core.trust import TrustLevel
from .keyvalues import Applied, NotApplied

FIRST_WATCHER_POLL_SECONDS = 2.5
SECOND_WATCHER_POLL_SECONDS = 10.0
"""Poll intervals of the first host of a data centre and of the second host
that watches. A dead watch is indistinguishable from an idle one, and a change
must be in force within four seconds; the host that reads a change announces it
to the others."""

UNVERIFIED_POLL_SECONDS = 1.0
"""Poll interval while the configuration has to be verified."""

HOST_LIST_POLL_SECONDS = 1.0
"""Poll interval of the host list on hosts that watch for their data centre,
and pause after a failed read of the configuration."""

IDLE_HOST_LIST_POLL_SECONDS = 10.0
"""Poll interval of the host list on all other hosts."""


class ConfigSync:
    """Keeps the configuration of a host at the newest reachable generation.

    The hosts that watch for their data centre read the key-value service;
    all others learn of a new generation from the messages of their peers
    and fetch it from them. The number of watches therefore grows with the
    number of data centres and not of hosts, and a data centre that is
    disconnected from the platform but not from other data centres stays
    current.

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
        self.next_read_at = 0.0
        self.reading = False
        self.reread_requested = False
        self.fetching = set()
        self.down = False

    def tick(self):
        """Start the watch, reads and fetches that are due."""
        now = self.state.clock.seconds()
        keeper = self.state.keeper
        verifying = self.needs_verification()
        if verifying:
            for host in self.peers.verification_sources():
                self.fetch(host)
        watching = self.peers.is_watcher(now)
        if watching and self.watch is NOTHING:
            self.watch = self.store.watch(ACCEPTED_KEY, self.schedule_read)
        if not watching and self.watch is not NOTHING:
            self.stop()
        pause = self.read_interval(now, verifying)
        self.next_read_at = min(self.next_read_at, now + pause)
        if (watching or not keeper.generation) and now >= self.next_read_at:
            self.next_read_at = now + pause
            self.schedule_read()

    def read_interval(self, now, verifying):
        """Return the poll interval that complements the watch."""
        if verifying:
            return UNVERIFIED_POLL_SECONDS
        return (
            FIRST_WATCHER_POLL_SECONDS
            if self.peers.is_reporter(now)
            else SECOND_WATCHER_POLL_SECONDS
        )

    def stop(self):
        """End the watch."""
        if self.watch is not NOTHING:
            self.watch.stop()
            self.watch = NOTHING

    def schedule_read(self):
        """Start a read, or request another after the running one."""
        if self.reading:
            self.reread_requested = True
            return
        self.reading = True
        defer.ensureDeferred(self.read()).addBoth(self.on_read_finished)

    def on_read_finished(self, result):
        """Read again if it was requested in the meantime."""
        self.reading = False
        if self.reread_requested:
            self.reread_requested = False
            self.schedule_read()
        return result

    async def read(self):
        """Read the accepted configuration from the platform and apply it."""
        requested_at = self.state.clock.seconds()
        try:
            entry = await self.store.get(ACCEPTED_KEY)
        except KeyValueError as error:
            self.record_platform_state(down=True, why=error)
            self.next_read_at = (
                self.state.clock.seconds() + HOST_LIST_POLL_SECONDS
            )
            return
        self.record_platform_state(down=False)
        if entry is NOTHING:
            return
        verifying = self.needs_verification()
        if verifying:
            entry = await self.verify(entry)
        if entry is not NOTHING:
            self.apply_encoded(entry.value, "platform")
            self.record_contact(requested_at, verified=verifying)

    def needs_verification(self):
        """Return whether only a verified newest configuration is usable."""
        level = self.state.trust.level(self.state.clock.seconds())
        return not self.state.keeper.generation or level is not TrustLevel.FULL

    def record_contact(self, requested_at, *, verified):
        """Record that the platform returned its configuration.

        Args:
            requested_at: Time at which the read was started.
            verified: Whether the value was verified to be the newest.
        """
        trust = self.state.trust
        if verified:
            trust.record_verification(requested_at)
        now = self.state.clock.seconds()
        trust.record_platform_reply(requested_at, now, verified=verified)

    async def verify(self, entry):
        """Return the newest entry of the platform, or `NOTHING`.

        A host that has just started has no generation, and one that was
        suspended or partitioned has an old one, so neither can detect a
        stale read. Writing back the same value succeeds only if it is the
        newest; otherwise the response contains the newest one.
        """
        result = await self.store.swap(
            ACCEPTED_KEY, entry.value, entry.revision
        )
        if isinstance(result, Applied):
            return entry
        if isinstance(result, NotApplied):
            return result.current
        return NOTHING

    def record_platform_state(self, *, down, why=""):
        """Log when the platform becomes unavailable or available again."""
        if down == self.down:
            return
        self.down = down
        kind = EventKind.PLATFORM_DOWN if down else EventKind.PLATFORM_BACK
        self.state.timeline.note(kind, why=why)

    def apply_encoded(self, data, source):
        """Decode an accepted configuration and offer it to the keeper."""
        try:
            accepted = decode_accepted(data)
        except ProtocolError as error:
            self.state.timeline.note(EventKind.CONFIG_INVALID, why=error)
            return
        self.offer(accepted, source)

    def offer(self, accepted, source):
        """Offer a configuration to the keeper, and log the result."""
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

    def on_newer_generation(self, host, generation):
        """Fetch the configuration from *host*, which has a newer one."""
        self.fetch(host)

    def fetch(self, host):
        """Fetch the configuration of another host unless already fetching."""
        entry = self.peers.entries.get(host)
        if entry is None or host in self.fetching:
            return
        self.fetching.add(host)
        work = defer.ensureDeferred(self.fetch_from(entry))
        work.addBoth(self.on_fetched, host)

    def on_fetched(self, result, host):
        """Allow the next fetch from *host*."""
        self.fetching.discard(host)
        return result

    async def fetch_from(self, entry):
        """Read the configuration of another host and offer it."""
        requested_at = self.state.clock.seconds()
        accepted = await self.control_client.config(entry.forward)
        if accepted is not NOTHING and accepted.generation:
            self.offer(accepted, entry.host)
            self.state.trust.record_verification(requested_at)


class HostListSync:
    """Keeps the server and peer tables in sync with the host list.

    While the list cannot be read, the last one stays in use: a partitioned
    data centre continues with the servers of that list.

    Args:
        state: The `HostState`.
        peers: The `PeerTable`.
        hosts: The `HostListClient`.
        seeds: The `PeerEntry` of each peer in the settings.
    """

    def __init__(self, state, peers, hosts, seeds):
        self.state = state
        self.peers = peers
        self.hosts = hosts
        self.next_read_at = 0.0
        self.reading = False
        self.has_list = False
        peers.replace(seeds)

    def tick(self):
        """Read the list if it is due."""
        now = self.state.clock.seconds()
        if self.reading or now < self.next_read_at:
            return defer.succeed(None)
        watching = self.peers.is_watcher(now) or not self.has_list
        self.next_read_at = now + (
            HOST_LIST_POLL_SECONDS if watching else IDLE_HOST_LIST_POLL_SECONDS
        )
        self.next_read_at -= HOST_LIST_POLL_SECONDS / 2
        self.reading = True
        work = defer.ensureDeferred(self.read())
        return work.addBoth(self.on_read_finished)

    def on_read_finished(self, result):
        """Allow the next read."""
        self.reading = False
        return result

    async def read(self):
        """Read the host list and apply it."""
        requested_at = self.state.clock.seconds()
        try:
            listed = await self.hosts.read()
        except PlatformError:
            return
        self.has_list = True
        now = self.state.clock.seconds()
        self.state.trust.record_platform_reply(requested_at, now)
        self.apply_list(listed)

    def apply_list(self, listed):
        """Update servers and peers from a host list; log changed servers."""
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
