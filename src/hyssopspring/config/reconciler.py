"""Bring the folder and the accepted configuration into agreement."""

from dataclasses import dataclass

from twisted.internet import defer, task

from ..core.accepted import (
    ACCEPTED_KEY,
    FOLDER_PREFIX,
    Accepted,
    Verdict,
    decode_accepted,
    encode_accepted,
)
from ..core.events import EventKind
from ..core.exceptions import KeyValueError, PlatformError
from ..core.sentinels import NOTHING
from ..core.trust import RESTRICTION_HOLD
from ..stores.keyvalues import Applied
from .validation import (
    FolderValidator,
    RawFile,
    add_data_centres,
    apply_proposal,
    forget_data_centre,
    withdraw_proposal,
)

CONFIRM_TIMEOUT_SECONDS = 1.2
CONFIRM_POLL_SECONDS = 0.1
RETRY_PAUSE_SECONDS = 0.05
RECONCILE_INTERVAL_SECONDS = 2.0
MAX_ROUNDS = 20


@dataclass(frozen=True, slots=True)
class StoredAccepted:
    """The accepted configuration with its revision in the service."""

    accepted: Accepted
    revision: int


class Reconciler:
    """Judge the folder whenever it changes.

    Any number of these may run. Each change of the accepted value is one
    compare-and-swap, and what is written depends only on what was read,
    so a lost answer or a race costs one more round and nothing else.

    Args:
        store: The key-value client.
        hosts: The `HostListClient`.
        pages: The `PageReader`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        rng: Random number generator.
    """

    def __init__(self, store, hosts, pages, clock, timeline, rng):
        self.store = store
        self.hosts = hosts
        self.pages = pages
        self.clock = clock
        self.timeline = timeline
        self.rng = rng
        self.running = False
        self.rerun_requested = False
        self.watch = NOTHING

    def start(self):
        """Watch the folder."""
        self.watch = self.store.watch(FOLDER_PREFIX, self.schedule)

    def stop(self):
        """End the watch."""
        if self.watch is not NOTHING:
            self.watch.stop()

    def schedule(self):
        """Judge the folder soon, one judgement at a time."""
        if self.running:
            self.rerun_requested = True
            return
        self.running = True
        defer.ensureDeferred(self.reconcile()).addBoth(self.on_finished)

    def on_finished(self, result):
        """Judge once more if the folder changed meanwhile."""
        self.running = False
        if self.rerun_requested:
            self.rerun_requested = False
            self.schedule()
        return result

    async def reconcile(self):
        """Judge until folder and accepted configuration agree.

        Returns:
            Whether they agree, or the platform did not answer in time.
        """
        for _ in range(MAX_ROUNDS):
            try:
                if await self.reconcile_once():
                    return True
            except KeyValueError:
                return False
            pause = RETRY_PAUSE_SECONDS * (1 + self.rng.random())
            await task.deferLater(self.clock, pause)
        return False

    async def reconcile_once(self):
        """Make one step; return whether nothing is left to do."""
        stored = await self.read()
        if stored.accepted.proposal is not None:
            await self.resolve_proposal(stored)
            return False
        listing = await self.store.list(FOLDER_PREFIX)
        folder = {
            entry.key[len(FOLDER_PREFIX) :]: RawFile(
                entry.value.decode("utf-8", "replace"), entry.revision
            )
            for entry in listing.entries
        }
        validated = FolderValidator(stored.accepted).validate(
            folder, listing.revision
        )
        if validated.accepted is NOTHING:
            return not await self.record_data_centres(stored)
        if await self.swap(stored, validated.accepted):
            self.log_verdicts(validated.file_states)
        return False

    async def record_data_centres(self, stored):
        """Remember data centres; return whether any was new."""
        try:
            listed = await self.hosts.read()
        except PlatformError:
            return False
        centres = {row.data_centre: row.region for row in listed.gateways}
        accepted = add_data_centres(stored.accepted, centres)
        if accepted is NOTHING:
            return False
        await self.swap(stored, accepted)
        return True

    async def forget_data_centre(self, name):
        """Take a data centre off; return whether it was known."""
        for _ in range(MAX_ROUNDS):
            stored = await self.read()
            if name not in stored.accepted.data_centres:
                return False
            accepted = forget_data_centre(stored.accepted, name)
            if await self.swap(stored, accepted):
                return True
        raise KeyValueError("the data centre could not be taken off")

    async def read(self):
        """Return what is `StoredAccepted`.

        Raises:
            KeyValueError: The platform did not answer.
        """
        entry = await self.store.get(ACCEPTED_KEY)
        if entry is NOTHING:
            return StoredAccepted(Accepted(), 0)
        return StoredAccepted(decode_accepted(entry.value), entry.revision)

    async def swap(self, stored, accepted):
        """Replace what is held; return whether it surely took effect."""
        result = await self.store.swap(
            ACCEPTED_KEY, encode_accepted(accepted), stored.revision
        )
        return isinstance(result, Applied)

    def log_verdicts(self, verdicts):
        """Put the verdicts on the time line."""
        for name, state in verdicts.items():
            if state.verdict is Verdict.REFUSED:
                self.timeline.note(
                    EventKind.CONFIG_REFUSED,
                    file=name,
                    line=state.line,
                    reason=state.reason,
                )
            else:
                self.timeline.note(
                    EventKind.CONFIG_ACCEPTED,
                    file=name,
                    generation=state.generation,
                )

    async def resolve_proposal(self, stored):
        """Wait for the hosts that lose a right, then accept or refuse.

        A host that has not heard of a restriction goes on using the
        right. Only when each has confirmed that it enforces the stricter
        of both is the restriction in force everywhere, and only then is
        the operator told so. All must go on confirming for as long as a
        host that is cut off, and therefore not listed, takes to notice
        that itself.
        """
        deadline = self.clock.seconds() + CONFIRM_TIMEOUT_SECONDS
        since = NOTHING
        while True:
            unconfirmed = await self.find_unconfirmed(stored.accepted)
            now = self.clock.seconds()
            if unconfirmed:
                since = NOTHING
            elif since is NOTHING:
                since = now
            if since is not NOTHING and now - since >= RESTRICTION_HOLD:
                await self.swap(stored, apply_proposal(stored.accepted))
                return
            if unconfirmed and now >= deadline:
                self.timeline.note(
                    EventKind.CONFIG_REFUSED, unheard=",".join(unconfirmed)
                )
                await self.swap(
                    stored, withdraw_proposal(stored.accepted, unconfirmed)
                )
                return
            await task.deferLater(self.clock, CONFIRM_POLL_SECONDS)

    async def find_unconfirmed(self, accepted):
        """Return the affected hosts that do not enforce *accepted* yet.

        The host list drops a data centre that is cut off, though its
        hosts go on serving. Therefore each data centre that was ever
        listed must be heard, until operators say that it is gone.
        """
        try:
            listed = await self.hosts.read()
        except PlatformError:
            return ["host list"]
        affected = [
            row
            for row in listed.gateways
            if row.region in accepted.proposal.affected
        ]
        statuses = await gather(
            self.pages.status(row.forward) for row in affected
        )
        unconfirmed = [
            row.name
            for row, status in zip(affected, statuses, strict=True)
            if status is NOTHING or status.generation < accepted.generation
        ]
        reporting_centres = {row.data_centre for row in affected}
        missing = [
            f"data centre {name}"
            for name, region in accepted.data_centres.items()
            if region in accepted.proposal.affected
            and name not in reporting_centres
        ]
        return unconfirmed + missing


async def gather(coroutines):
    """Run coroutines at the same time and return their results."""
    work = [defer.ensureDeferred(coroutine) for coroutine in coroutines]
    return await defer.gatherResults(work, consumeErrors=True)
