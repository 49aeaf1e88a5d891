"""Persist the versions that each service has ever had.

Without them, hosts that all start together could not tell whether a stream
from before began at the version that is listed.
"""

import msgspec

from ..core.events import EventKind
from ..core.exceptions import UNDECODABLE, KeyValueError, ProtocolError
from ..core.sentinels import NOTHING
from ..stores.keyvalues import Applied, NotApplied
from .hostentries import OWN_PREFIX

__all__ = ["VERSIONS_KEY", "VersionStore"]

VERSIONS_KEY = OWN_PREFIX + "versions"

SAVE_DELAY_SECONDS = 0.05
"""Seconds after a new version until it is written, so that all versions of a
listing are written at once."""


RECHECK_SECONDS = 2.0
"""Seconds after which a history of an earlier era is read again. Hosts that
have outlasted the restore write it anew by then."""


CONFIRMED_SECONDS = 0.2
"""Seconds for which a history that was read counts as current."""


class StoredVersions(msgspec.Struct, frozen=True):
    """Stored versions of all services.

    Attributes:
        era: Era of the store in which they were written.
        services: Versions by service, in the order in which they were seen.
        has_gap: Whether some may be missing.
    """

    era: int
    services: dict[str, list[str]]
    has_gap: bool = False


_DECODER = msgspec.json.Decoder(StoredVersions)


class VersionStore:
    """Read the `VersionHistory` from the store at a start, and write it.

    It is written when a version appears that the store does not have, and
    anew after a restore of the store. What a restore has lost is not known to
    hosts that start later, so they trust no history of an earlier era.

    Args:
        store: The client of the store.
        history: The `VersionHistory`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        spawn: Called with a coroutine to run.
        is_writer: Returns whether this host writes for its region.

    Attributes:
        stored: What the store has, as far as this host knows, or `NOTHING`.
        revision: Its revision; 0 if the key does not exist.
        confirmed_at: Time at which the history was read last to confirm it,
            or `NOTHING`.
        must_read: Whether the revision may be that of another era.
    """

    def __init__(self, store, history, clock, timeline, spawn, is_writer):
        self.store = store
        self.history = history
        self.clock = clock
        self.timeline = timeline
        self.spawn = spawn
        self.is_writer = is_writer
        self.stored = NOTHING
        self.revision = 0
        self.saving = False
        self.confirmed_at = NOTHING
        self.must_read = False
        history.on_added = self.on_added
        history.confirm = self.confirm

    def on_added(self):
        """Write a new version soon."""
        if self.history.is_loaded:
            self.clock.callLater(SAVE_DELAY_SECONDS, self.tick)

    def on_restored(self):
        """Write the history again, as the store may lack a part of it."""
        self.stored = NOTHING
        self.must_read = True

    async def confirm(self):
        """Read the history unless that was done just now.

        A host may be late to hear of a version at which others serve.

        Returns:
            Whether the store has a history that is not of an earlier era.
        """
        now = self.clock.seconds()
        at = self.confirmed_at
        if at is not NOTHING and now - at < CONFIRMED_SECONDS:
            return True
        try:
            await self.read()
        except (KeyValueError, ProtocolError) as problem:
            self.timeline.note(EventKind.STREAMS_UNREADABLE, why=problem)
            return False
        if self.stored is NOTHING or self.is_outdated:
            return False
        self.confirmed_at = now
        return True

    async def read(self):
        """Add what the store has, which may be nothing.

        Raises:
            KeyValueError: The store did not respond.
            ProtocolError: The value cannot be decoded.
        """
        listing = await self.store.list(VERSIONS_KEY)
        self.stored, self.revision = NOTHING, 0
        for entry in listing.entries:
            self.load(entry)
        self.must_read = False

    def load(self, entry):
        """Add the history that is read from the store.

        Args:
            entry: `Entry` of the store.

        Raises:
            ProtocolError: The value cannot be decoded.
        """
        self.revision = entry.revision
        try:
            stored = _DECODER.decode(entry.value)
        except UNDECODABLE as problem:
            self.history.has_gap = True
            raise ProtocolError(
                f"invalid versions at {entry.key}: {problem}"
            ) from None
        self.stored = stored
        self.history.merge(stored.services, has_gap=stored.has_gap)

    @property
    def is_outdated(self):
        """Whether the store was restored since the history was written.

        A store that was never restored has the era 0.
        """
        era = self.store.era or 0
        return era > 0 if self.stored is NOTHING else self.stored.era < era

    def on_listed(self):
        """Trust the history if it is current or does not exist."""
        if self.history.is_loaded:
            return
        if not self.is_outdated:
            self.history.is_loaded = True
            return
        self.clock.callLater(RECHECK_SECONDS, self.recheck)

    def recheck(self):
        """Read the history again, unless that has been done meanwhile."""
        if not self.history.is_loaded:
            self.spawn(self.read_again())

    async def read_again(self):
        """Read the history again; what it may lack then remains unknown."""
        try:
            await self.read()
        except KeyValueError as problem:
            self.timeline.note(EventKind.STREAMS_UNREADABLE, why=problem)
            self.clock.callLater(RECHECK_SECONDS, self.recheck)
            return
        except ProtocolError as problem:
            self.timeline.note(EventKind.STREAMS_UNREADABLE, why=problem)
        self.history.has_gap |= self.is_outdated
        self.history.is_loaded = True

    def current(self):
        """Return the `StoredVersions` that the store should have."""
        return StoredVersions(
            self.store.era or 0, self.history.versions, self.history.has_gap
        )

    def tick(self):
        """Write the history if the store lacks a part of it."""
        if self.saving or not self.history.is_loaded or not self.is_writer():
            return
        current = self.current()
        if current.services and self.lacks(current):
            self.saving = True
            self.spawn(self.save(current))

    def lacks(self, current):
        """Return whether the store does not have all of a history."""
        if self.stored is NOTHING:
            return True
        known = {
            (service, version)
            for service, versions in self.stored.services.items()
            for version in versions
        }
        return (
            self.stored.era < current.era
            or self.stored.has_gap < current.has_gap
            or any(
                (service, version) not in known
                for service, versions in current.services.items()
                for version in versions
            )
        )

    async def save(self, current):
        """Write a history, or read the one that another host has written."""
        try:
            if self.must_read:
                await self.read()
                current = self.current()
            value = msgspec.json.encode(current)
            result = await self.store.swap(VERSIONS_KEY, value, self.revision)
            if isinstance(result, Applied):
                self.revision = result.revision
                self.stored = _DECODER.decode(value)
                return
            if isinstance(result, NotApplied):
                self.reload(result.current)
            else:
                self.timeline.note(EventKind.VERSIONS_UNSAVED, why=result)
        except (KeyValueError, ProtocolError) as problem:
            self.timeline.note(EventKind.VERSIONS_UNSAVED, why=problem)
        finally:
            self.saving = False

    def reload(self, entry):
        """Add the history that was there instead of the expected one.

        Raises:
            ProtocolError: The value cannot be decoded.
        """
        if entry is NOTHING:
            self.revision = 0
            return
        self.load(entry)
