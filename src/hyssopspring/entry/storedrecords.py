"""What hosts keep in the store about requests, versions and streams."""

from ..core.events import EventKind
from ..core.exceptions import ProtocolError
from .crashstore import CRASHES_PREFIX, PARTS_PREFIX, CrashStore
from .streamstore import STREAMS_PREFIX, StreamStore
from .versionstore import VERSIONS_KEY, VersionStore

__all__ = ["StoredRecords"]


class StoredRecords:
    """Read the records of all kinds at a start, and write them.

    Args:
        state: The `EntryState`.
        store: The client of the store.
        crashes: The `CrashTracker`.
        wall_clock: Callable that returns the Unix time in seconds.
        spawn: Called with a coroutine to run.
        is_writer: Returns whether this host writes for its region.
    """

    def __init__(self, state, store, crashes, wall_clock, spawn, is_writer):
        self.timeline = state.timeline
        self.crashes = CrashStore(
            store, crashes, state.clock, wall_clock, state.timeline, spawn
        )
        self.versions = VersionStore(
            store,
            state.registry.history,
            state.clock,
            state.timeline,
            spawn,
            is_writer,
        )
        self.streams = StreamStore(
            store,
            state.stream_origins.archive,
            state.members.own,
            state.clock,
            wall_clock,
            state.timeline,
            spawn,
        )

    def load(self, entries):
        """Add all records of a listing.

        Args:
            entries: `Entry` list of the store.
        """
        for entry in entries:
            if entry.key.startswith((CRASHES_PREFIX, PARTS_PREFIX)):
                kind, load = EventKind.CRASH_UNREADABLE, self.crashes.load
            elif entry.key == VERSIONS_KEY:
                kind, load = EventKind.STREAMS_UNREADABLE, self.versions.load
            elif entry.key.startswith(STREAMS_PREFIX):
                kind, load = EventKind.STREAMS_UNREADABLE, self.streams.load
            else:
                continue
            try:
                load(entry)
            except ProtocolError as problem:
                self.timeline.note(kind, why=problem)
        self.versions.on_listed()

    def on_restored(self):
        """Write all records again, as the store may lack them."""
        self.crashes.on_restored()
        self.versions.on_restored()
        self.streams.on_restored()

    def tick(self):
        """Write what is not in the store yet."""
        self.crashes.tick()
        self.versions.tick()
        self.streams.tick()
