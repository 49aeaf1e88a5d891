"""Limits of workspaces over all hosts: the gate and the ledgers."""

from twisted.internet import defer
from twisted.python.failure import Failure

from ..core.events import EventKind
from ..core.exceptions import KeyValueError, ProtocolError
from ..core.outcomes import NotRun, Reason
from ..core.pacing import Pacer
from ..core.sentinels import NOTHING
from ..core.shares import (
    HOME_FLOOR,
    LEDGERS,
    NO_HOLDING,
    WHOLE,
    Ledger,
    Usage,
    Want,
    decode_ledger,
    encode_ledger,
    ledger_of,
    settle,
)
from ..stores.keyvalues import Applied

SHARES_PREFIX = "/hyssop/shares/"
FLEET_WRITES_PER_SECOND = 100.0
WRITE_BURST = LEDGERS
ASK_AGAIN = 1.0
ADJUST = 0.2
RENEW_BEFORE = 3600.0
MEASURE_EVERY = 1.0
TRIES = 4
REASONS = {
    "concurrent": Reason.CONCURRENCY_LIMIT,
    "requests_per_second": Reason.RATE_LIMIT,
}


class Limits:
    """Admit requests within this host's share of their limits.

    Args:
        state: The `HostState`.
        peers: The `PeerTable`.
        store: The key-value client.
        wall: Callable that returns the wall clock in seconds.
        failed: Called with the failure of work in the background.
    """

    def __init__(self, state, peers, store, wall, *, failed):
        self.state = state
        self.peers = peers
        self.store = store
        self.wall = wall
        self.failed = failed
        self.usages = {}
        self.working = {}
        self.pacer = Pacer(FLEET_WRITES_PER_SECOND, WRITE_BURST)

    async def intercept(self, request, run):
        """Run the request if its workspace's limits allow it.

        Args:
            request: The `Request`.
            run: Coroutine function that carries it out.
        """
        limits = self.limits(request.workspace)
        if limits is NOTHING:
            return await run()
        usage = self.usages.setdefault(request.workspace, Usage())
        usage.asked += 1
        refused = await self.admit(request.workspace, usage, limits)
        if refused is not NOTHING:
            return NotRun(REASONS[refused])
        try:
            return await run()
        finally:
            usage.active -= 1

    def limits(self, workspace):
        """Return the `Limits` of a workspace, or `NOTHING` for none."""
        rights = self.state.keeper.enforced.workspaces.get(workspace)
        if rights is None:
            return NOTHING
        limits = rights.limits
        if limits.concurrent is None and limits.requests_per_second is None:
            return NOTHING
        return limits

    async def admit(self, workspace, usage, limits):
        """Take from the share; ask for a larger one first if it is due."""
        now = self.state.clock.seconds()
        number = ledger_of(workspace)
        refused = usage.take(limits, now, self.wall())
        lately = now - usage.tried_at < ASK_AGAIN
        if refused is NOTHING or (lately and number not in self.working):
            return refused
        usage.tried_at = now
        await self.settle(number)
        return usage.take(limits, self.state.clock.seconds(), self.wall())

    def tick(self):
        """Adapt shares to demand; called once a second."""
        hosts = len(self.peers.entries) + 1
        self.pacer.rate = FLEET_WRITES_PER_SECOND / hosts
        for usage in self.usages.values():
            usage.measure(MEASURE_EVERY)
        for workspace in self.state.keeper.enforced.workspaces:
            if self.floor(workspace) and self.limits(workspace):
                self.usages.setdefault(workspace, Usage())
        due = {
            ledger_of(workspace)
            for workspace, usage in self.usages.items()
            if self.is_due(workspace, usage)
        }
        for number in sorted(due):
            defer.ensureDeferred(self.settle(number))

    def is_due(self, workspace, usage):
        """Whether a holding should change by much, or be renewed."""
        limits = self.limits(workspace)
        wanted = 0
        if limits is not NOTHING:
            wanted = usage.wanted(limits, self.floor(workspace))
        if usage.units and usage.until - self.wall() < RENEW_BEFORE:
            return True
        gap = abs(wanted - usage.units)
        return gap > max(ADJUST * usage.units, WHOLE // 200)

    def floor(self, workspace):
        """Return the units that a host of the home region keeps.

        Without them a home region that is cut off could not serve its
        own callers until it reaches the platform again.
        """
        rights = self.state.keeper.enforced.workspaces.get(workspace)
        if rights is None or rights.home != self.state.region:
            return 0
        at_home = 1 + sum(
            1
            for entry in self.peers.entries.values()
            if entry.region == self.state.region
        )
        return int(WHOLE * HOME_FLOOR / at_home)

    def settle(self, number):
        """Bring one ledger up to date; return a deferred.

        Those who ask while the work is going on share its result.
        """
        if number in self.working:
            waiting = defer.Deferred()
            self.working[number].append(waiting)
            return waiting
        self.working[number] = []
        work = defer.ensureDeferred(self.settle_ledger(number))
        return work.addBoth(self.settled, number)

    def settled(self, result, number):
        """Wake all who waited for the same ledger."""
        if isinstance(result, Failure):
            self.failed(result)
            result = None
        for waiting in self.working.pop(number):
            waiting.callback(None)
        return result

    async def settle_ledger(self, number):
        """Write what this host wants, and use what it got."""
        for _ in range(TRIES):
            if not self.pacer.take(self.state.clock.seconds()):
                return
            try:
                if await self.swap(number):
                    return
            except (KeyValueError, ProtocolError):
                return

    async def swap(self, number):
        """Make one try; return whether no further one is needed.

        What shrinks is used less before it is written, and stays so if
        the write fails. What grows is used only after the write.
        """
        key = f"{SHARES_PREFIX}{number}"
        entry = await self.store.get(key)
        before, revision = Ledger(), 0
        if entry is not NOTHING:
            before, revision = decode_ledger(entry.value), entry.revision
        after = settle(
            before, self.state.host, self.all_wants(number), self.wall()
        )
        held = self.own_holdings(number, after)
        for workspace, holding in held.items():
            usage = self.usages[workspace]
            usage.units = min(usage.units, holding.units)
        if after == before:
            return True
        result = await self.store.swap(key, encode_ledger(after), revision)
        if not isinstance(result, Applied):
            return False
        for workspace, holding in held.items():
            usage = self.usages[workspace]
            usage.units = holding.units
            usage.until = holding.until
        self.state.timeline.note(EventKind.SHARES_CHANGED, ledger=number)
        return True

    def all_wants(self, number):
        """Return the `Want` by workspace for one ledger."""
        return {
            workspace: self.wants(workspace, usage)
            for workspace, usage in self.usages.items()
            if ledger_of(workspace) == number
        }

    def own_holdings(self, number, ledger):
        """Return this host's `Holding` by workspace in one ledger."""
        return {
            workspace: ledger.holdings[workspace].get(
                self.state.host, NO_HOLDING
            )
            for workspace in self.usages
            if ledger_of(workspace) == number
        }

    def wants(self, workspace, usage):
        """Return the `Want` of this host for a workspace."""
        limits = self.limits(workspace)
        if limits is NOTHING:
            return Want()
        units = usage.wanted(limits, self.floor(workspace))
        return Want(units, usage.busy(limits))
