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
from .acceptance import (
    Judge,
    RawFile,
    confirm,
    forget_data_centre,
    note_data_centres,
    withdraw,
)

CONFIRM_WITHIN = 1.2
CONFIRM_POLL = 0.1
RETRY_PAUSE = 0.05
EVALUATE_EVERY = 2.0
MOST_ROUNDS = 20


@dataclass(frozen=True, slots=True)
class Held:
    """The accepted configuration with its revision in the service."""

    accepted: Accepted
    revision: int


class Acceptor:
    """Judge the folder whenever it changes.

    Any number of these may run. Each change of the accepted value is one
    compare-and-swap, and what is written depends only on what was read,
    so a lost answer or a race costs one more round and nothing else.

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
        self.again = False
        self.watch = NOTHING

    def start(self):
        """Watch the folder."""
        self.watch = self.store.watch(FOLDER_PREFIX, self.changed)

    def stop(self):
        """End the watch."""
        if self.watch is not NOTHING:
            self.watch.stop()

    def changed(self):
        """Judge the folder soon, one judgement at a time."""
        if self.running:
            self.again = True
            return
        self.running = True
        defer.ensureDeferred(self.evaluate()).addBoth(self.finished)

    def finished(self, result):
        """Judge once more if the folder changed meanwhile."""
        self.running = False
        if self.again:
            self.again = False
            self.changed()
        return result

    async def evaluate(self):
        """Judge until folder and accepted configuration agree.

        Returns:
            Whether they agree, or the platform did not answer in time.
        """
        for _ in range(MOST_ROUNDS):
            try:
                if await self.round():
                    return True
            except KeyValueError:
                return False
            pause = RETRY_PAUSE * (1 + self.rng.random())
            await task.deferLater(self.clock, pause)
        return False

    async def round(self):
        """Make one step; return whether nothing is left to do."""
        held = await self.read()
        if held.accepted.proposal is not None:
            await self.settle(held)
            return False
        listing = await self.store.list(FOLDER_PREFIX)
        folder = {
            entry.key[len(FOLDER_PREFIX) :]: RawFile(
                entry.value.decode("utf-8", "replace"), entry.revision
            )
            for entry in listing.entries
        }
        judged = Judge(held.accepted).judge(folder, listing.revision)
        if judged.accepted is NOTHING:
            return not await self.note_data_centres(held)
        if await self.swap(held, judged.accepted):
            self.note_verdicts(judged.verdicts)
        return False

    async def note_data_centres(self, held):
        """Remember data centres; return whether any was new."""
        try:
            listed = await self.hosts.read()
        except PlatformError:
            return False
        centres = {row.data_centre: row.region for row in listed.gateways}
        accepted = note_data_centres(held.accepted, centres)
        if accepted is NOTHING:
            return False
        await self.swap(held, accepted)
        return True

    async def forget_data_centre(self, name):
        """Take a data centre off; return whether it was known."""
        for _ in range(MOST_ROUNDS):
            held = await self.read()
            if name not in held.accepted.data_centres:
                return False
            accepted = forget_data_centre(held.accepted, name)
            if await self.swap(held, accepted):
                return True
        raise KeyValueError("the data centre could not be taken off")

    async def read(self):
        """Return what is `Held`.

        Raises:
            KeyValueError: The platform did not answer.
        """
        entry = await self.store.get(ACCEPTED_KEY)
        if entry is NOTHING:
            return Held(Accepted(), 0)
        return Held(decode_accepted(entry.value), entry.revision)

    async def swap(self, held, accepted):
        """Replace what is held; return whether it surely took effect."""
        result = await self.store.swap(
            ACCEPTED_KEY, encode_accepted(accepted), held.revision
        )
        return isinstance(result, Applied)

    def note_verdicts(self, verdicts):
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

    async def settle(self, held):
        """Wait for the hosts that lose a right, then accept or refuse.

        A host that has not heard of a restriction goes on using the
        right. Only when each has confirmed that it enforces the stricter
        of both is the restriction in force everywhere, and only then is
        the operator told so. All must go on confirming for as long as a
        host that is cut off, and therefore not listed, takes to notice
        that itself.
        """
        give_up = self.clock.seconds() + CONFIRM_WITHIN
        since = NOTHING
        while True:
            unheard = await self.unheard(held.accepted)
            now = self.clock.seconds()
            if unheard:
                since = NOTHING
            elif since is NOTHING:
                since = now
            if since is not NOTHING and now - since >= RESTRICTION_HOLD:
                await self.swap(held, confirm(held.accepted))
                return
            if unheard and now >= give_up:
                self.timeline.note(
                    EventKind.CONFIG_REFUSED, unheard=",".join(unheard)
                )
                await self.swap(held, withdraw(held.accepted, unheard))
                return
            await task.deferLater(self.clock, CONFIRM_POLL)

    async def unheard(self, accepted):
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
            self.control_client.status(row.forward) for row in affected
        )
        unheard = [
            row.name
            for row, status in zip(affected, statuses, strict=True)
            if status is NOTHING or status.generation < accepted.generation
        ]
        heard = {row.data_centre for row in affected}
        missing = [
            f"data centre {name}"
            for name, region in accepted.data_centres.items()
            if region in accepted.proposal.affected and name not in heard
        ]
        return unheard + missing


async def gather(coroutines):
    """Run coroutines at the same time and return their results."""
    work = [defer.ensureDeferred(coroutine) for coroutine in coroutines]
    return await defer.gatherResults(work, consumeErrors=True)
