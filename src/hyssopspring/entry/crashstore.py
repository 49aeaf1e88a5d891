"""Keep in the store under which requests servers have ended.

A host that starts after all others have ended would else know nothing, and
the request would end three more servers.
"""

import msgspec

from ..core.events import EventKind
from ..core.exceptions import KeyValueError, ProtocolError
from ..stores.keyvalues import Applied
from ..traffic.crashes import KEPT
from .crashsharing import suspect_from_row, suspect_row
from .hostentries import OWN_PREFIX
from .messages import SuspectRow

__all__ = ["CRASHES_PREFIX", "CrashStore"]

CRASHES_PREFIX = OWN_PREFIX + "crashes/"


class StoredSuspect(msgspec.Struct, frozen=True):
    """What the store holds of a request.

    Attributes:
        written_ms: Unix time of the writing, to which ages refer.
        row: The `SuspectRow`.
    """

    written_ms: int
    row: SuspectRow


_DECODER = msgspec.json.Decoder(StoredSuspect)


class CrashStore:
    """Write such requests to the store, and read them at a start.

    Only from the second end on is one written, twice or three times in
    all, under a lease, so that the store forgets it when hosts do.

    Args:
        store: The client of the store.
        crashes: The `Crashes`.
        clock: The runtime's clock.
        wall: Callable that returns the wall clock in seconds.
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
        self.saving = False

    def save(self, suspect):
        """Write a request at once, and again until the store has it."""
        self.pending[suspect.fingerprint] = suspect
        self.tick()

    def tick(self):
        """Write what the store does not have yet."""
        if self.pending and not self.saving:
            self.saving = True
            self.spawn(self.save_all())

    async def save_all(self):
        """Write each request that waits; stop where the store fails."""
        try:
            while self.pending:
                fingerprint = next(iter(self.pending))
                suspect = self.pending.pop(fingerprint)
                if not await self.write(suspect):
                    self.pending.setdefault(fingerprint, suspect)
                    return
        finally:
            self.saving = False

    async def write(self, suspect):
        """Write one request under a lease; return whether it stands."""
        now = self.clock.seconds()
        remaining = KEPT - (now - suspect.newest)
        if remaining < 1.0 or not suspect.ends:
            return True
        key = CRASHES_PREFIX + suspect.fingerprint
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
        return True

    def note_unsaved(self, suspect, why):
        """Put a failed writing on the time line; it is tried again."""
        self.timeline.note(
            EventKind.CRASH_UNSAVED,
            fingerprint=suspect.fingerprint,
            why=why,
        )

    def load(self, entry):
        """Take over a request that the store holds."""
        now = self.clock.seconds()
        try:
            stored = _DECODER.decode(entry.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as problem:
            raise ProtocolError(f"{entry.key}: {problem}") from None
        age = max(0.0, self.wall_clock() - stored.written_ms / 1000)
        self.crashes.merge(suspect_from_row(stored.row, now - age), now)
