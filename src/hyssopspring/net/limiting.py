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
MIN_UPDATE_INTERVAL_SECONDS = 1.0
MIN_RELATIVE_CHANGE = 0.2
RENEW_BEFORE_EXPIRY_SECONDS = 3600.0
TICK_INTERVAL_SECONDS = 1.0
MAX_WRITE_ATTEMPTS = 4
REASON_BY_LIMIT = {
    "concurrent": Reason.CONCURRENCY_LIMIT,
    "requests_per_second": Reason.RATE_LIMIT,
}


class WorkspaceLimiter:
    """Admit requests within this host's share of their limits.

    Args:
        state: The `HostState`.
        peers: The `PeerTable`.
        store: The key-value client.
        wall: Callable that returns the wall clock in seconds.
        failed: Called with the failure of work in the background.
    """

    def __init__(self, state, peers, store, wall, *, on_failure):
        self.state = state
        self.peers = peers
        self.store = store
        self.wall = wall
        self.on_failure = on_failure
        self.usages = {}
        self.waiting_by_ledger = {}
        self.pacer = Pacer(FLEET_WRITES_PER_SECOND, WRITE_BURST)

    async def carry_out(self, request, run):
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
            return NotRun(REASON_BY_LIMIT[refused])
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
        ledger_number = ledger_of(workspace)
        refused = usage.take(limits, now, self.wall())
        is_recent = now - usage.tried_at < MIN_UPDATE_INTERVAL_SECONDS
        if refused is NOTHING or (
            is_recent and ledger_number not in self.waiting_by_ledger
        ):
            return refused
        usage.tried_at = now
        await self.update_ledger(ledger_number)
        return usage.take(limits, self.state.clock.seconds(), self.wall())

    def tick(self):
        """Adapt shares to demand; called once a second."""
        hosts = len(self.peers.entries) + 1
        self.pacer.rate = FLEET_WRITES_PER_SECOND / hosts
        for usage in self.usages.values():
            usage.measure(TICK_INTERVAL_SECONDS)
        for workspace in self.state.keeper.enforced.workspaces:
            if self.min_units(workspace) and self.limits(workspace):
                self.usages.setdefault(workspace, Usage())
        due = {
            ledger_of(workspace)
            for workspace, usage in self.usages.items()
            if self.is_due(workspace, usage)
        }
        for ledger_number in sorted(due):
            defer.ensureDeferred(self.update_ledger(ledger_number))

    def is_due(self, workspace, usage):
        """Whether a holding should change by much, or be renewed."""
        limits = self.limits(workspace)
        wanted = 0
        if limits is not NOTHING:
            wanted = usage.wanted(limits, self.min_units(workspace))
        if (
            usage.units
            and usage.until - self.wall() < RENEW_BEFORE_EXPIRY_SECONDS
        ):
            return True
        difference = abs(wanted - usage.units)
        return difference > max(
            MIN_RELATIVE_CHANGE * usage.units, WHOLE // 200
        )

    def min_units(self, workspace):
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

    def update_ledger(self, ledger_number):
        """Bring one ledger up to date; return a deferred.

        Those who ask while the work is going on share its result.
        """
        if ledger_number in self.waiting_by_ledger:
            waiting = defer.Deferred()
            self.waiting_by_ledger[ledger_number].append(waiting)
            return waiting
        self.waiting_by_ledger[ledger_number] = []
        work = defer.ensureDeferred(self.write_ledger(ledger_number))
        return work.addBoth(self.on_ledger_updated, ledger_number)

    def on_ledger_updated(self, result, ledger_number):
        """Wake all who waited for the same ledger."""
        if isinstance(result, Failure):
            self.on_failure(result)
            result = None
        for waiting in self.waiting_by_ledger.pop(ledger_number):
            waiting.callback(None)
        return result

    async def write_ledger(self, ledger_number):
        """Write what this host wants, and use what it got."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not self.pacer.take(self.state.clock.seconds()):
                return
            try:
                if await self.try_write(ledger_number):
                    return
            except (KeyValueError, ProtocolError):
                return

    async def try_write(self, ledger_number):
        """Make one try; return whether no further one is needed.

        What shrinks is used less before it is written, and stays so if
        the write fails. What grows is used only after the write.
        """
        key = f"{SHARES_PREFIX}{ledger_number}"
        entry = await self.store.get(key)
        before, revision = Ledger(), 0
        if entry is not NOTHING:
            before, revision = decode_ledger(entry.value), entry.revision
        after = settle(
            before,
            self.state.host,
            self.own_demands(ledger_number),
            self.wall(),
        )
        held = self.own_holdings(ledger_number, after)
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
        self.state.timeline.note(
            EventKind.SHARES_CHANGED, ledger=ledger_number
        )
        return True

    def own_demands(self, ledger_number):
        """Return the `Want` by workspace for one ledger."""
        return {
            workspace: self.own_demand(workspace, usage)
            for workspace, usage in self.usages.items()
            if ledger_of(workspace) == ledger_number
        }

    def own_holdings(self, ledger_number, ledger):
        """Return this host's `Holding` by workspace in one ledger."""
        return {
            workspace: ledger.holdings[workspace].get(
                self.state.host, NO_HOLDING
            )
            for workspace in self.usages
            if ledger_of(workspace) == ledger_number
        }

    def own_demand(self, workspace, usage):
        """Return the `Want` of this host for a workspace."""
        limits = self.limits(workspace)
        if limits is NOTHING:
            return Want()
        units = usage.wanted(limits, self.min_units(workspace))
        return Want(units, usage.busy(limits))
