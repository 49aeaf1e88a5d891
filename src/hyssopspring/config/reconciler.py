"""Reconcile the folder of files with the accepted configuration."""

from dataclasses import dataclass

from twisted.internet import defer, task

from ..core.accepted import (
    ACCEPTED_KEY,
    FILES_PREFIX,
    Accepted,
    Verdict,
    decode_accepted,
    encode_accepted,
)
from ..core.events import EventKind
from ..core.exceptions import KeyValueError, PlatformError
from ..core.sentinels import NOTHING
from ..core.trust import RESTRICTION_HOLD_SECONDS
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
"""Time after which a proposal is withdrawn while hosts have not confirmed."""

CONFIRM_POLL_SECONDS = 0.1
"""Interval at which hosts are asked whether they enforce a proposal."""

RETRY_PAUSE_SECONDS = 0.05
"""Minimum pause between two rounds; up to as much again is added at random."""

RECONCILE_INTERVAL_SECONDS = 2.0
"""Interval of periodic reconciliations, which do not depend on the watch."""

MAX_ROUNDS = 20
"""Rounds after which a reconciliation or a removal gives up."""


@dataclass(frozen=True, slots=True)
class StoredAccepted:
    """The accepted configuration with its revision in the store."""

    accepted: Accepted
    revision: int


class Reconciler:
    """Validates the folder and updates the accepted configuration.

    Any number of reconcilers may run concurrently. Each change of the
    accepted value is a single compare-and-swap, and the written value
    depends only on the values that were read, so a lost response or a
    race costs one more round and nothing else.

    Args:
        store: The key-value client.
        hosts: The `HostListClient`.
        control_client: The `ControlClient`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        rng: Random number generator.
    """

    def __init__(self, store, hosts, control_client, clock, timeline, rng):
        self.store = store
        self.hosts = hosts
        self.control_client = control_client
        self.clock = clock
        self.timeline = timeline
        self.rng = rng
        self.running = False
        self.rerun_requested = False
        self.watch = NOTHING

    def start(self):
        """Watch the folder."""
        self.watch = self.store.watch(FILES_PREFIX, self.schedule)

    def stop(self):
        """End the watch."""
        if self.watch is not NOTHING:
            self.watch.stop()

    def schedule(self):
        """Start a reconciliation, or request another after the running one."""
        if self.running:
            self.rerun_requested = True
            return
        self.running = True
        defer.ensureDeferred(self.reconcile()).addBoth(self.on_finished)

    def on_finished(self, result):
        """Reconcile again if it was requested in the meantime."""
        self.running = False
        if self.rerun_requested:
            self.rerun_requested = False
            self.schedule()
        return result

    async def reconcile(self):
        """Run rounds until the folder and the accepted configuration agree.

        Returns:
            True if they agree; False if the platform did not respond or
            `MAX_ROUNDS` were not enough.
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
        """Run one round; return whether nothing is left to do."""
        stored = await self.read()
        if stored.accepted.proposal is not None:
            await self.resolve_proposal(stored)
            return False
        listing = await self.store.list(FILES_PREFIX)
        folder = {
            entry.key[len(FILES_PREFIX) :]: RawFile(
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
        """Store newly listed data centres; return whether there were any."""
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
        """Remove a data centre from the accepted configuration.

        Returns:
            Whether it was part of the configuration.

        Raises:
            KeyValueError: The platform did not respond, or concurrent
                writers prevented the change in all rounds.
        """
        for _ in range(MAX_ROUNDS):
            stored = await self.read()
            if name not in stored.accepted.data_centres:
                return False
            accepted = forget_data_centre(stored.accepted, name)
            if await self.swap(stored, accepted):
                return True
        raise KeyValueError(
            "cannot remove the data centre: all compare-and-swap writes failed"
        )

    async def read(self):
        """Return the `StoredAccepted`.

        Raises:
            KeyValueError: The platform did not respond.
        """
        entry = await self.store.get(ACCEPTED_KEY)
        if entry is NOTHING:
            return StoredAccepted(Accepted(), 0)
        return StoredAccepted(decode_accepted(entry.value), entry.revision)

    async def swap(self, stored, accepted):
        """Replace the stored value; return whether it is certainly applied."""
        result = await self.store.swap(
            ACCEPTED_KEY, encode_accepted(accepted), stored.revision
        )
        return isinstance(result, Applied)

    def log_verdicts(self, verdicts):
        """Log whether each file was accepted or refused."""
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
        """Wait for the hosts that lose a right, then apply or withdraw.

        A host that has not received a restriction continues to use the
        right. The restriction is in force everywhere only after each
        affected host has confirmed that it enforces the stricter of both
        configurations, and only then is it reported to the operator. All
        hosts have to keep confirming for `RESTRICTION_HOLD_SECONDS` seconds: a
        partitioned host is not listed, and takes that long to detect the
        partition itself.
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
            if (
                since is not NOTHING
                and now - since >= RESTRICTION_HOLD_SECONDS
            ):
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

        The host list drops a partitioned data centre although its hosts
        continue to serve. Each data centre that was ever listed therefore
        has to confirm until operators remove it.

        Returns:
            Host names, and ``data centre NAME`` for each data centre
            without a listed host in an affected region.
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
            self.control_client.status(row.forward) for row in affected
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
    """Run coroutines concurrently and return their results in order."""
    work = [defer.ensureDeferred(coroutine) for coroutine in coroutines]
    return await defer.gatherResults(work, consumeErrors=True)
