"""A local mirror of a store prefix."""

from dataclasses import dataclass, replace

from ..core.exceptions import KeyValueError
from ..core.revisions import era_of, first_of_era, number_of
from ..core.sentinels import NOTHING
from .provenance import Channel, Origin

__all__ = [
    "MAX_REMOVALS",
    "Changes",
    "HistoryLostError",
    "Mirror",
    "Removal",
]

CARRIED_SECONDS = 2.2
"""Time after a restore of the store for which keys that the copy lacks are
kept. Their writers write them again within two seconds."""

POSTPONED_SECONDS = 6.0
"""Time after a restore for which keys of the copy are not used that had been
removed. The store drops the entry of a server that is gone by then."""

MAX_REMOVALS = 1000
"""Number of removed keys that are remembered. A delayed message about an
earlier change no longer arrives after a thousand later removals."""


class HistoryLostError(KeyValueError):
    """The store has dropped the history that a watch asked for."""


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed.

    Attributes:
        key: The key.
        revision: Revision of the store at its removal.
    """

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes since a revision.

    Attributes:
        entries: `Entry` of each key that was written.
        removals: `Removal` of each key that was removed.
        revision: Revision from which to continue.
    """

    entries: tuple = ()
    removals: tuple = ()
    revision: int = 0


class Mirror:
    """A copy of all keys below a prefix.

    When the store is restored from a copy, the changes since that copy are
    lost there until their writers make them again. The mirror keeps its state
    meanwhile: keys that the restored store lacks are carried over for
    `CARRIED_SECONDS`, and keys that had been removed are postponed for
    `POSTPONED_SECONDS`, unless they change before.

    Args:
        on_written: Called with each `Entry` that is new to the copy.
        on_removed: Called with each key that was removed, and whether it was
            removed while the store was down.
        version_of: Called with an `Entry`; returns the version that its writer
            gave it, or `NOTHING`. A value is never replaced by one with a
            lower version, whatever their revisions.
        on_restored: Called before the first listing of a later era is applied.

    Attributes:
        origin: `Origin` of the last change applied, or `NOTHING`.
        removals: Revision at which each removed key was last known to be
            absent.
        newest_revision: Newest revision that the mirror reflects. A listing
            names the revision of the whole store, which also rises with other
            keys.
        newest_change_revision: Revision of the newest change among its own
            keys.
        loaded: Whether a listing has been applied.
        era: Era of the newest listing.
        carried: Keys that were kept from an earlier era.
        postponed: `Entry` by key of those that are not used yet.
        restored_at: Time from which both are kept, or `NOTHING`.
        reflects_writers: Whether all that was written before the last restore
            has been written again, or the time to do so is over.
    """

    def __init__(
        self,
        on_written,
        on_removed,
        version_of=lambda entry: NOTHING,
        on_restored=lambda: None,
    ):
        self.entries = {}
        self.removals = {}
        self.on_written = on_written
        self.on_removed = on_removed
        self.version_of = version_of
        self.on_restored = on_restored
        self.newest_revision = 0
        self.newest_change_revision = 0
        self.loaded = False
        self.origin = NOTHING
        self.era = 0
        self.carried = set()
        self.postponed = {}
        self.restored_at = NOTHING
        self.reflects_writers = True

    def replace(self, entries, newest, *, outage=False, origin=NOTHING):
        """Apply a full listing, except for keys that changed after it.

        Of a listing of an earlier era only higher versions are applied.

        Args:
            entries: Each `Entry`.
            newest: Revision that the listing reflects.
            outage: Whether the store has just recovered.
            origin: The `Origin` of the listing.
        """
        self.origin = origin
        if era_of(newest) < self.era:
            self.put_versions(entries)
            return
        if era_of(newest) > self.era:
            self.begin_era(entries, newest)
        listed = {entry.key for entry in entries}
        for key in [key for key in self.entries if key not in listed]:
            if key not in self.carried:
                self.remove(Removal(key, newest), outage)
        for key in [key for key in self.postponed if key not in listed]:
            del self.postponed[key]
        for entry in entries:
            if self.is_postponed(entry):
                continue
            if self.removals.get(entry.key, newest) < newest:
                # The key exists at a later revision than the recorded removal.
                del self.removals[entry.key]
            self.put(entry)
        self.newest_revision = max(self.newest_revision, newest)
        self.loaded = True

    def begin_era(self, entries, newest):
        """Prepare for the first listing since a restore of the store.

        A host that has just started cannot tell how long ago that was.

        A key that was removed is postponed unless its number is higher than
        that of the removal. The higher number was given out later in either
        era, so the key was written again after its removal.
        """
        self.era = era_of(newest)
        self.restored_at = NOTHING
        self.reflects_writers = False
        if not self.loaded:
            return
        self.on_restored()
        first = first_of_era(newest)
        for key, entry in self.entries.items():
            if entry.revision < first:
                self.entries[key] = replace(entry, revision=first)
                self.carried.add(key)
        self.postponed = {
            entry.key: entry
            for entry in entries
            if entry.key not in self.entries
            and number_of(entry.revision)
            <= number_of(self.removals.get(entry.key, 0))
        }

    def is_postponed(self, entry):
        """Return whether an entry of a restored store is not used yet."""
        postponed = self.postponed.get(entry.key)
        return postponed is not None and entry.revision <= postponed.revision

    def settle(self, now):
        """End the periods that follow a restore, once they are over.

        Args:
            now: The time, in seconds.
        """
        if self.reflects_writers and not self.carried and not self.postponed:
            self.restored_at = NOTHING
            return
        if self.restored_at is NOTHING:
            self.restored_at = now
        age = now - self.restored_at
        if age >= CARRIED_SECONDS:
            self.reflects_writers = True
            self.drop_carried()
        if age >= POSTPONED_SECONDS:
            postponed, self.postponed = self.postponed, {}
            for entry in postponed.values():
                self.removals.pop(entry.key, None)
                self.put(entry)

    def drop_carried(self):
        """Remove the keys that nobody has written again.

        A value with a version stays in force until a higher version exists.
        """
        carried, self.carried = self.carried, set()
        for key in carried:
            if self.version_of(self.entries[key]) is NOTHING:
                self.remove(Removal(key, self.newest_revision), False)

    def difference(self, listing):
        """Return the `Changes` between the mirror and a listing.

        There are none to a listing of a later era: hosts read a snapshot of
        that era as a whole.
        """
        if era_of(listing.revision) != self.era:
            return Changes(revision=listing.revision)
        listed = {entry.key for entry in listing.entries}
        return Changes(
            tuple(
                entry
                for entry in listing.entries
                if self.revision_of(entry.key) < entry.revision
                and not self.is_postponed(entry)
            ),
            tuple(
                Removal(key, listing.revision)
                for key, entry in self.entries.items()
                if key not in listed
                and key not in self.carried
                and entry.revision <= listing.revision
            ),
            listing.revision,
        )

    def revision_of(self, key):
        """Return the revision at which a key was written, or 0."""
        known = self.entries.get(key)
        return 0 if known is None else known.revision

    def refresh(self, listing):
        """Apply a listing that was read in addition to the watch.

        Most listings contain nothing new. The newest revision then stays as it
        is: the revision of the store rises all the time, and hosts that see a
        higher revision at a peer read its snapshot. A listing older than what
        the watch has delivered is ignored, because it lacks keys written
        since.
        """
        if listing.revision < self.newest_revision:
            return
        listed = {entry.key: entry.revision for entry in listing.entries}
        known = {one.key: one.revision for one in self.entries.values()}
        if listed != known:
            self.replace(
                listing.entries,
                listing.revision,
                origin=Origin(Channel.LISTING),
            )

    def apply(self, changes, *, outage=False, origin=NOTHING):
        """Apply changes in the order of their revisions.

        Of changes of an earlier era only higher versions are applied.
        """
        self.origin = origin
        rows = [(entry.revision, entry) for entry in changes.entries]
        rows += [(removal.revision, removal) for removal in changes.removals]
        for revision, row in sorted(rows, key=lambda pair: pair[0]):
            if era_of(revision) < self.era:
                if not isinstance(row, Removal):
                    self.put_versions([row])
                continue
            self.newest_revision = max(self.newest_revision, revision)
            if isinstance(row, Removal):
                self.newest_change_revision = max(
                    self.newest_change_revision, revision
                )
                self.remove(row, outage)
            else:
                self.put(row)
                self.check_rewritten(row)

    def check_rewritten(self, entry):
        """Record whether a change repeats the value in force, or a later one.

        Its writer then has no earlier change to make again.
        """
        known = self.entries.get(entry.key)
        if self.version_of(entry) is not NOTHING and known == entry:
            self.reflects_writers = True

    def put_versions(self, entries):
        """Apply those of some entries that have a higher version.

        The version orders the values of a key in all eras, so it does not
        matter when and from whom an entry was read.
        """
        for entry in entries:
            if self.version_of(entry) is not NOTHING:
                self.put(entry)

    def put_all(self, entries):
        """Apply those of some entries that are newer than the known ones."""
        for entry in entries:
            self.put(entry)

    def put(self, entry):
        """Apply one entry unless it is older than the known one."""
        known = self.entries.get(entry.key)
        if known is None:
            if self.removals.get(entry.key, 0) < entry.revision:
                self.record(entry)
                self.on_written(entry)
            return
        order = compare_versions(
            self.version_of(entry), self.version_of(known)
        )
        if order > 0:
            newest = max(known.revision, entry.revision)
            self.record(replace(entry, revision=newest))
            self.on_written(entry)
            return
        if known.revision >= entry.revision:
            return
        if order < 0:
            self.record(replace(known, revision=entry.revision))
            return
        repeated = known.value == entry.value and (
            known.key in self.carried
            or era_of(known.revision) < era_of(entry.revision)
        )
        self.record(entry)
        if not repeated:
            self.on_written(entry)

    def record(self, entry):
        """Store one entry and the revision of its change."""
        self.entries[entry.key] = entry
        self.carried.discard(entry.key)
        self.postponed.pop(entry.key, None)
        if entry.revision == first_of_era(entry.revision) and entry.revision:
            # Another host has carried it over.
            self.carried.add(entry.key)
        self.newest_revision = max(self.newest_revision, entry.revision)
        self.newest_change_revision = max(
            self.newest_change_revision, entry.revision
        )

    def remove(self, removal, outage):
        """Remove one key unless it has been written again since."""
        known = self.entries.get(removal.key)
        if known is not None and known.revision > removal.revision:
            return
        self.record_removal(removal)
        self.carried.discard(removal.key)
        self.postponed.pop(removal.key, None)
        if known is not None:
            del self.entries[removal.key]
            self.on_removed(removal.key, outage)

    def record_removal(self, removal):
        """Record a removal; drop the oldest record if there are too many."""
        before = self.removals.pop(removal.key, 0)
        self.removals[removal.key] = max(before, removal.revision)
        if len(self.removals) > MAX_REMOVALS:
            del self.removals[next(iter(self.removals))]


def compare_versions(version, known):
    """Return a positive number if a version is higher than a known one.

    Args:
        version: The version, or `NOTHING`.
        known: The known one, or `NOTHING`.

    Returns:
        0 if they are equal or one is `NOTHING`, and a negative number if
        *version* is lower.
    """
    if version is NOTHING or known is NOTHING:
        return 0
    return version - known
