"""A key-value store in memory, with the faults of the real one."""

from dataclasses import dataclass, field


@dataclass
class StoreFaults:
    """Switches for faults.

    Attributes:
        down: No call is answered.
        slow: Seconds by which each answer comes late.
        lose_answers: Writes to come that take effect unanswered.
        lose_requests: Writes to come that neither take effect nor are
            answered.
        stale: Revisions by which reads lag behind.
    """

    down: bool = False
    slow: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    stale: int = 0


@dataclass
class Store:
    """Keys with revisions, and the history for reads of the past.

    Attributes:
        revision: Revision of the newest change.
        entries: Value and revision by key.
        history: Per change: revision, key, and the entry before it.
        reads: Reads so far, a waiting watch as one.
        writes: Writes so far.
    """

    revision: int = 0
    entries: dict = field(default_factory=dict)
    history: list = field(default_factory=list)
    faults: StoreFaults = field(default_factory=StoreFaults)
    listeners: list = field(default_factory=list)
    reads: int = 0
    writes: int = 0

    def snapshot(self):
        """Return the entries as reads see them now."""
        if not self.faults.stale:
            return self.entries
        seen = dict(self.entries)
        for _, key, before in self.history[: -self.faults.stale - 1 : -1]:
            if before is None:
                seen.pop(key, None)
            else:
                seen[key] = before
        return seen

    def range(self, start, end=None):
        """Return the triples of key, value and revision in a range."""
        self.reads += 1
        seen = self.snapshot()
        if end is None:
            keys = [start] if start in seen else []
        else:
            keys = sorted(key for key in seen if start <= key < end)
        return [(key, *seen[key]) for key in keys]

    def current(self, key):
        """Return value and revision of *key* as they are, or None."""
        return self.entries.get(key)

    def compare_and_swap(self, key, value, revision):
        """Write *value*, or delete for None, if the revision matches.

        Returns:
            Whether the write took effect.
        """
        self.writes += 1
        known = self.entries.get(key)
        if (known[1] if known else 0) != revision:
            return False
        self.revision += 1
        self.history.append((self.revision, key, known))
        del self.history[:-500]
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = (value, self.revision)
        for listener in list(self.listeners):
            listener(key)
        return True
