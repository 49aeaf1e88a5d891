"""Persist the records of requests and parts that crash servers.

Without them, a host that starts after all others have stopped would have no
records, and the request would crash three more servers.
"""

import msgspec

from ..core.events import EventKind
from ..core.exceptions import UNDECODABLE, KeyValueError, ProtocolError
from ..core.hashing import digest_of
from ..stores.keyvalues import Applied
from ..traffic.crashes import RETENTION_SECONDS
from .crashsharing import suspect_from_row, suspect_row
from .hostentries import OWN_PREFIX
from .messages import SuspectRow

__all__ = ["CRASHES_PREFIX", "PARTS_PREFIX", "CrashStore"]

CRASHES_PREFIX = OWN_PREFIX + "crashes/"
"""Start of the keys of requests."""

PARTS_PREFIX = OWN_PREFIX + "crash-parts/"
"""Start of the keys of parts, which earlier releases do not read."""


class StoredSuspect(msgspec.Struct, frozen=True):
    """Stored record of a suspect.

    Attributes:
        written_ms: Unix time of the write in milliseconds, to which the
            ages in the row refer.
        row: The `SuspectRow`.
    """

    written_ms: int
    row: SuspectRow


_DECODER = msgspec.json.Decoder(StoredSuspect)


class CrashStore:
    """Write the records of suspects to the store and load them at a start.

    A request is written from its second crash on, and a part from its third,
    two or three times in total. It is written under a lease, so that it
    expires in the store when it expires at the hosts.

    Args:
        store: The client of the store.
        crashes: The `CrashTracker`.
        clock: The clock of the reactor.
        wall_clock: Callable that returns the Unix time in seconds.
        timeline: The `Timeline`.
        spawn: Called with a coroutine to run.
    """

    def __init__(self, store, crashes, clock, wall_clock, timeline, spawn):
        self.store = store
        self.crashes = crashes
        self.clock = clock
        self.wall_clock = wall_clock
        self.timeline = timeline
        self.spawn = spawn
        self.pending = {}
        self.saved = {}
        self.saving = False

    def on_restored(self):
        """Write all records of this host again, as the store may lack them."""
        for key, suspect in self.saved.items():
            self.pending.setdefault(key, suspect)
        self.saved.clear()

    def save(self, suspect):
        """Write a suspect at once, and retry until the store accepts it."""
        self.pending[suspect.key] = suspect
        self.tick()

    def tick(self):
        """Write the suspects that are not in the store yet."""
        oldest = self.clock.seconds() - RETENTION_SECONDS
        for suspect in list(self.saved.values()):
            if suspect.last_event_at < oldest:
                del self.saved[suspect.key]
        if self.pending and not self.saving:
            self.saving = True
            self.spawn(self.save_all())

    async def save_all(self):
        """Write all pending suspects; stop at the first failure."""
        try:
            while self.pending:
                suspect = self.pending.pop(next(iter(self.pending)))
                if not await self.write(suspect):
                    self.pending.setdefault(suspect.key, suspect)
                    return
        finally:
            self.saving = False

    async def write(self, suspect):
        """Write one suspect under a lease.

        Returns:
            Whether it needs no retry: the write succeeded, or the record is
            about to expire.
        """
        now = self.clock.seconds()
        remaining = RETENTION_SECONDS - (now - suspect.last_event_at)
        if remaining < 1.0:
            self.saved.pop(suspect.key, None)
            return True
        # A record without crashes replaces one that a run has cleared.
        if not suspect.crashes and suspect.key not in self.saved:
            return True
        key = store_key(suspect)
        stored = StoredSuspect(
            int(self.wall_clock() * 1000), suspect_row(suspect, now)
        )
        try:
            lease = await self.store.grant_lease(remaining)
            result = await self.store.put(
                key, msgspec.json.encode(stored), lease
            )
        except KeyValueError as problem:
            self.note_unsaved(suspect, problem)
            return False
        if not isinstance(result, Applied):
            self.note_unsaved(suspect, result)
            return False
        if suspect.crashes:
            self.saved[suspect.key] = suspect
        else:
            self.saved.pop(suspect.key, None)
        return True

    def note_unsaved(self, suspect, why):
        """Log a failed write, which is retried."""
        self.timeline.note(
            EventKind.CRASH_UNSAVED,
            fingerprint=suspect.key,
            why=why,
        )

    def load(self, entry):
        """Merge a suspect that is read from the store.

        Args:
            entry: Entry of the store.

        Raises:
            ProtocolError: The value cannot be decoded.
        """
        now = self.clock.seconds()
        try:
            stored = _DECODER.decode(entry.value)
        except UNDECODABLE as problem:
            raise ProtocolError(
                f"invalid record at {entry.key}: {problem}"
            ) from None
        age = max(0.0, self.wall_clock() - stored.written_ms / 1000)
        suspect = suspect_from_row(
            stored.row, now - age, is_part=entry.key.startswith(PARTS_PREFIX)
        )
        self.crashes.merge(suspect, now)


def store_key(suspect):
    """Return the key of a suspect in the store.

    A part's identifier is chosen by callers and may not suit the store.
    """
    if not suspect.is_part:
        return CRASHES_PREFIX + suspect.key
    return PARTS_PREFIX + digest_of((suspect.part_id.encode(),))
