"""Watches of the store, and evidence of whether it can be reached."""

from twisted.internet import defer, task
from twisted.python.failure import Failure

from ..core.events import EventKind
from ..core.exceptions import KeyValueError
from ..core.revisions import era_of, number_of
from ..core.sentinels import NOTHING
from .mirrors import HistoryLostError
from .provenance import Channel, Origin

__all__ = [
    "LONG_WAIT_SECONDS",
    "SHORT_WAIT_SECONDS",
    "PrefixWatcher",
    "StoreContact",
]

LONG_WAIT_SECONDS = 30.0
"""Time for which a watch call waits for changes, the longest that the store
allows. Each call is billed, and other evidence shows a silent connection well
before this time."""

SHORT_WAIT_SECONDS = 3.0
"""Wait of a watch whose changes must be in force within 4 s although its
connection may be silent and replicas may lag. The timeout of the call and a
listing come on top."""

OVERDUE_SECONDS = 1.0
"""Time beyond its wait after which a watch is restarted. A call that started
while a longer wait applied has a later timeout."""

CONFIRM_INTERVAL_SECONDS = 10.0
"""Time without a listing after which a newer revision of the store causes one,
although no change below the prefix has arrived."""

WATCH_PAUSE_SECONDS = 0.2
"""Pause between a watch answer with changes and the next call. Changes come in
bursts, when servers register or are replaced, and each answer is billed; the
time limits for changes are several seconds."""

STARTING_PAUSE_SECONDS = 0.8
"""The same pause for a host that has just started. It watches by itself until
it receives messages from the hosts that watch for the region. When all hosts
start together, each would otherwise make five calls while servers register."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
"""Bounds of the pause after a failed call. While the store is down, each host
makes at most about one call a second."""

MAX_INITIAL_RETRY_SECONDS = 0.3
"""Longest pause of a host that has never read the store. Such a host cannot
serve any request until it has."""

WATCH_LAG_SECONDS = 0.9
"""Time for which a watch may lack a change that the mirror has received
through another channel. A live watch delivers it within a few round trips."""

STORE_DOWN_SECONDS = 0.6
"""Duration of failing calls after which the store counts as down."""

RECOVERY_SECONDS = 2.2
"""Time after the store's recovery in which expired registrations may still be
renewed."""


class StoreContact:
    """The time of the last answer of the store, and its outages.

    Args:
        clock: The runtime's clock.
        timeline: The `Timeline`.
    """

    def __init__(self, clock, timeline):
        self.clock = clock
        self.timeline = timeline
        self.last_reply_at = NOTHING
        self.failing_since = NOTHING
        self.recovered_at = NOTHING
        self.unavailable = False

    def record_reply(self):
        """Record an answer of the store."""
        now = self.clock.seconds()
        self.last_reply_at = now
        self.failing_since = NOTHING
        if self.unavailable:
            self.unavailable = False
            self.recovered_at = now
            self.timeline.note(EventKind.PLATFORM_BACK)

    def record_failure(self, why):
        """Record a call without an answer."""
        now = self.clock.seconds()
        if self.failing_since is NOTHING:
            self.failing_since = now
        if (
            now - self.failing_since >= STORE_DOWN_SECONDS
            and not self.unavailable
        ):
            self.unavailable = True
            self.timeline.note(EventKind.PLATFORM_DOWN, why=why)

    @property
    def age(self):
        """Seconds since the last answer of the store."""
        if self.last_reply_at is NOTHING:
            return 1e6
        return self.clock.seconds() - self.last_reply_at

    @property
    def recovering(self):
        """Whether the store is down or has recovered only a moment ago."""
        if self.unavailable or self.failing_since is not NOTHING:
            return True
        if self.recovered_at is NOTHING:
            return False
        return self.clock.seconds() - self.recovered_at < RECOVERY_SECONDS


class PrefixWatcher:
    """Keep a `Mirror` of one prefix current.

    Args:
        store: The client of the store.
        prefix: The prefix.
        mirror: The `Mirror`.
        contact: The `StoreContact`.
        clock: The runtime's clock.
        rng: Random number generator.
        on_changes: Called with the prefix, the `Changes` from a watch and
            whether the store was down, before the mirror applies them.
        before_listing: Called with the prefix before a listing; returns a
            callable to call once the mirror reflects it.
        is_starting: Called to find out whether this host has just started.
        wait_seconds: Called for the time for which a watch call waits for
            changes, in seconds.
    """

    def __init__(
        self,
        store,
        prefix,
        mirror,
        contact,
        clock,
        rng,
        on_changes,
        before_listing,
        is_starting,
        wait_seconds=lambda: LONG_WAIT_SECONDS,
    ):
        self.store = store
        self.prefix = prefix
        self.mirror = mirror
        self.contact = contact
        self.clock = clock
        self.rng = rng
        self.on_changes = on_changes
        self.before_listing = before_listing
        self.is_starting = is_starting
        self.wait_seconds = wait_seconds
        self.after_revision = NOTHING
        self.last_reply_at = NOTHING
        self.pending_watch = NOTHING
        self.watch_started_at = NOTHING
        self.behind_since = NOTHING
        self.listed_at = 0.0
        self.current_wait = 0.0
        self.restarting = False
        self.retry_delay = MIN_RETRY_SECONDS
        self.running = True
        self.work = NOTHING

    def start(self):
        """Start watching; return a deferred that fires when it stops."""
        self.work = defer.ensureDeferred(self.run())
        return self.work

    def stop(self):
        """Stop watching."""
        self.running = False
        if self.work is not NOTHING:
            self.work.addErrback(lambda _: None)
            self.work.cancel()

    async def run(self):
        """List, then watch, and list again when the history is lost.

        An unexpected error is logged and must not end the loop: this host
        would never receive a change again.
        """
        while self.running:
            try:
                await self.step()
                self.retry_delay = MIN_RETRY_SECONDS
            except HistoryLostError:
                self.contact.record_reply()
                self.after_revision = NOTHING
            except (KeyValueError, defer.CancelledError) as problem:
                self.after_revision = NOTHING
                if not self.running:
                    return
                if self.restarting:
                    self.restarting = False
                    continue
                self.contact.record_failure(problem)
                await self.back_off()
            except Exception:  # noqa: BLE001 - all are logged
                self.contact.timeline.note(
                    EventKind.UNEXPECTED, error=Failure().getTraceback()
                )
                self.after_revision = NOTHING
                await self.back_off()

    async def step(self):
        """Make one call and apply its answer.

        A watch that ends without an event is followed by a listing if the
        revision of the store has risen. While the store drops its history,
        watches do not receive the changes made in the meantime, and a watch
        that resumes from the previous revision waits until the next change
        although it has missed some. Requests would then be handled with an old
        configuration, or go to draining servers.
        """
        if self.after_revision is NOTHING:
            outage = self.contact.recovering
            listed = self.before_listing(self.prefix)
            listing = await self.store.list(self.prefix)
            self.record_reply()
            self.apply_listing(listing, outage=outage and self.mirror.loaded)
            self.after_revision = listing.revision
            self.listed_at = self.clock.seconds()
            listed()
            return
        changes = await self.watch()
        outage = self.contact.recovering
        self.record_reply()
        if not changes.entries and not changes.removals:
            if self.may_have_missed(changes.revision, self.current_wait):
                self.after_revision = NOTHING
            return
        self.on_changes(self.prefix, changes, outage)
        self.mirror.apply(changes, outage=outage, origin=Origin(Channel.WATCH))
        self.after_revision = max(self.after_revision, changes.revision)
        pause = (
            STARTING_PAUSE_SECONDS
            if self.is_starting()
            else WATCH_PAUSE_SECONDS
        )
        await task.deferLater(self.clock, pause)

    def may_have_missed(self, revision, waited):
        """Return whether to list, as the store is at a newer revision.

        The newer revision is mostly that of a key below another prefix.

        Args:
            revision: Revision of the store in an answer without a change.
            waited: Seconds for which the call has waited for changes.
        """
        if revision <= self.after_revision:
            return False
        age = self.clock.seconds() - self.listed_at
        return max(age, waited) >= CONFIRM_INTERVAL_SECONDS

    async def watch(self):
        """Wait for changes."""
        self.watch_started_at = self.clock.seconds()
        self.current_wait = self.wait_seconds()
        self.pending_watch = defer.ensureDeferred(
            self.store.watch(
                self.prefix, self.after_revision, self.current_wait
            )
        )
        try:
            return await self.pending_watch
        finally:
            self.pending_watch = NOTHING

    def apply_listing(self, listing, *, outage):
        """Apply a listing, and pass on the changes that it contains."""
        if self.mirror.loaded:
            changes = self.mirror.difference(listing)
            if changes.entries or changes.removals:
                self.on_changes(self.prefix, changes, outage)
        self.mirror.replace(
            listing.entries,
            listing.revision,
            outage=outage,
            origin=Origin(Channel.LISTING),
        )

    def apply_probe(self, changes):
        """Apply changes that a probe has found in addition to the watch."""
        self.record_reply()
        if not changes.entries and not changes.removals:
            if self.pending_watch is not NOTHING and self.may_have_missed(
                changes.revision, 0.0
            ):
                self.restart("store has a newer revision")
            return
        outage = self.contact.recovering
        self.on_changes(self.prefix, changes, outage)
        self.mirror.apply(changes, outage=outage, origin=Origin(Channel.PROBE))

    def record_listing(self, prefix):
        """Record that a listing outside the watch has confirmed the mirror."""
        if prefix == self.prefix and self.last_reply_at is not NOTHING:
            self.last_reply_at = self.clock.seconds()

    def check(self):
        """Restart the watch if it is overdue or lacks changes."""
        now = self.clock.seconds()
        if (
            self.pending_watch is not NOTHING
            and now - self.watch_started_at
            >= self.wait_seconds() + OVERDUE_SECONDS
        ):
            self.restart("overdue")
        elif (
            self.pending_watch is NOTHING
            or self.mirror.newest_change_revision <= self.after_revision
        ):
            self.behind_since = NOTHING
        elif self.behind_since is NOTHING:
            self.behind_since = now
        elif now - self.behind_since >= WATCH_LAG_SECONDS:
            self.restart("overtaken")

    def restart(self, why):
        """Restart with a listing, as the pending watch may be dead.

        Args:
            why: The evidence against the watch, for the event log.
        """
        if self.pending_watch is NOTHING or self.restarting:
            return
        self.contact.timeline.note(
            EventKind.WATCH_RENEWED,
            prefix=self.prefix,
            why=why,
            after=number_of(self.after_revision),
            newest=number_of(self.mirror.newest_change_revision),
            era=era_of(self.after_revision),
            waited=round(self.clock.seconds() - self.watch_started_at, 1),
        )
        self.behind_since = NOTHING
        self.restarting = True
        self.pending_watch.cancel()

    def record_reply(self):
        """Record an answer to a listing, a watch or a probe."""
        self.last_reply_at = self.clock.seconds()
        self.contact.record_reply()

    def back_off(self):
        """Wait for the next attempt, with exponential backoff and jitter."""
        pause = self.retry_delay * (0.5 + self.rng.random())
        longest = (
            MAX_RETRY_SECONDS
            if self.mirror.loaded
            else MAX_INITIAL_RETRY_SECONDS
        )
        self.retry_delay = min(longest, self.retry_delay * 2)
        return task.deferLater(self.clock, pause)
