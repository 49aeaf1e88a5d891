"""A key-value client on a store in memory, for test clocks."""

from twisted.internet import defer

from hyssopspring.core.exceptions import KeyValueError
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.stores.keyvalues import (
    Applied,
    Entry,
    Listing,
    NotApplied,
    WriteUnknown,
)

TIMEOUT = 1.0
LATENCY = 0.004


class MemoryKeyValue:
    """Client of one host, with the faults of its way to the service.

    Args:
        store: The `Store` that all hosts share.
        clock: The test clock.

    Attributes:
        latency: Seconds that a call takes.
        write_delay: Seconds by which a write takes effect late; if it is
            longer than the timeout, the answer is lost but the write is
            not.
        paused: Whether the host is frozen; answers wait until it is not.
        cut: Whether the host cannot reach the service.
    """

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.latency = LATENCY
        self.write_delay = 0.0
        self.paused = False
        self.cut = False
        self.held = []
        self.watches = []
        store.listeners.append(self.tell_watches)

    async def get(self, key):
        """Return the `Entry` of *key*, or `NOTHING`."""
        rows = await self.call(lambda: self.store.range(key))
        return Entry(*rows[0]) if rows else NOTHING

    async def list(self, prefix):
        """Return the `Listing` below *prefix*."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)

        def read():
            rows = self.store.range(prefix, end)
            seen = self.store.revision - self.store.faults.stale
            return Listing(tuple(Entry(*row) for row in rows), seen)

        return await self.call(read)

    async def call(self, read):
        """Carry out one read; fail if the service does not answer."""
        answer = defer.Deferred()
        if self.cut or self.store.faults.down:
            failure = KeyValueError("no answer")
            self.clock.callLater(TIMEOUT, self.deliver, answer, failure)
        else:
            value = read()
            self.clock.callLater(self.latency, self.deliver, answer, value)
        value = await answer
        if isinstance(value, KeyValueError):
            raise value
        return value

    def deliver(self, answer, value):
        """Hand an answer to the host, unless it is frozen."""
        if self.paused:
            self.held.append((answer, value))
            return
        answer.callback(value)

    def resume(self):
        """Thaw the host."""
        self.paused = False
        held, self.held = self.held, []
        for answer, value in held:
            self.deliver(answer, value)

    async def swap(self, key, value, revision):
        """Write *key* if its revision still is *revision*."""
        return await self.write(key, value, revision)

    async def remove(self, key, revision):
        """Delete *key* if its revision still is *revision*."""
        return await self.write(key, None, revision)

    async def write(self, key, value, revision):
        """Carry out one write, with the faults of the moment."""
        faults = self.store.faults
        answer = defer.Deferred()
        lost = WriteUnknown("no answer")
        if self.cut or faults.down:
            self.clock.callLater(TIMEOUT, self.deliver, answer, lost)
            return await answer
        if faults.lose_requests:
            faults.lose_requests -= 1
            self.clock.callLater(TIMEOUT, self.deliver, answer, lost)
            return await answer
        results = []
        delay = self.latency / 2 + self.write_delay
        self.clock.callLater(delay, self.apply, key, value, revision, results)
        if faults.lose_answers or delay > TIMEOUT:
            faults.lose_answers = max(0, faults.lose_answers - 1)
            self.clock.callLater(TIMEOUT, self.deliver, answer, lost)
            return await answer
        self.clock.callLater(
            delay + self.latency / 2, self.deliver, answer, results
        )
        await answer
        return results[0]

    def apply(self, key, value, revision, results):
        """Let a write take effect at the service."""
        done = self.store.compare_and_swap(key, value, revision)
        if done:
            results.append(Applied(self.store.revision))
            return
        known = self.store.current(key)
        current = Entry(key, *known) if known else NOTHING
        results.append(NotApplied(current))

    def watch(self, prefix, changed):
        """Call *changed* when a key below *prefix* changes."""
        watch = MemoryWatch(prefix, changed)
        self.watches.append(watch)
        changed()
        return watch

    def tell_watches(self, key):
        """Tell the watches of a change."""
        if self.cut or self.store.faults.down:
            return
        for watch in self.watches:
            if key.startswith(watch.prefix) and not watch.stopped:
                self.clock.callLater(self.latency, watch.changed)


class MemoryWatch:
    """A watch on a store in memory."""

    def __init__(self, prefix, changed):
        self.prefix = prefix
        self.changed = changed
        self.stopped = False

    def stop(self):
        """End the watch."""
        self.stopped = True
