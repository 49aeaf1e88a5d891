"""Workspace limits over all hosts: admission and the ledgers of holdings.

A holding is the share of a limit that one host may use.
"""

from twisted.internet import defer
from twisted.python.failure import Failure

from ..core.events import EventKind
from ..core.exceptions import KeyValueError, ProtocolError
from ..core.outcomes import NotRun, Reason
from ..core.pacing import TokenBucket
from ..core.sentinels import NOTHING
from ..core.shares import (
    HOME_MIN_SHARE,
    LEDGER_COUNT,
    NO_HOLDING,
    TOTAL_UNITS,
    Ledger,
    ShareDemand,
    Usage,
    allocate,
    decode_ledger,
    encode_ledger,
    ledger_of,
)
from ..stores.keyvalues import Applied
from .inprogress import Wait

SHARES_PREFIX = "/hyssop/shares/"
FLEET_WRITES_PER_SECOND = 100.0
"""Limit on ledger writes of all hosts together, divided among the hosts."""

WRITE_BURST = LEDGER_COUNT
"""Ledger writes of one host that may follow each other without a pause; one
for each ledger."""

MIN_UPDATE_INTERVAL_SECONDS = 1.0
"""Shortest interval, per workspace, between two ledger updates that are
triggered by a rejected request."""

MIN_RELATIVE_CHANGE = 0.2
"""Difference between demand and holding, relative to the holding, above which
the holding is updated."""

RENEW_BEFORE_EXPIRY_SECONDS = 3600.0
"""Remaining validity below which a holding is renewed."""

TICK_INTERVAL_SECONDS = 1.0
"""Interval between two calls of `WorkspaceLimiter.tick`, over which demand is
measured."""

MAX_WRITE_ATTEMPTS = 4
"""Compare-and-swap attempts for one update of a ledger."""

REASON_BY_LIMIT = {
    "concurrent": Reason.CONCURRENCY_LIMIT,
    "requests_per_second": Reason.RATE_LIMIT,
}


class WorkspaceLimiter:
    """Admit requests within this host's holding of each workspace's limits.

    Args:
        state: `HostState` of this host.
        peers: `PeerTable` of the other hosts.
        store: Client of the key-value service.
        wall: Callable that returns the wall-clock time in seconds.
        on_failure: Called with the failure of a background update.

    Attributes:
        usages: `Usage` by workspace.
        waiting_by_ledger: Deferreds that wait for an update in progress,
            by ledger number.
        pacer: `TokenBucket` that limits the ledger writes of this host.
    """

    wait = Wait.LIMIT

    def __init__(self, state, peers, store, wall, *, on_failure):
        self.state = state
        self.peers = peers
        self.store = store
        self.wall = wall
        self.on_failure = on_failure
        self.usages = {}
        self.waiting_by_ledger = {}
        self.pacer = TokenBucket(FLEET_WRITES_PER_SECOND, WRITE_BURST)

    async def intercept(self, request, run):
        """Run the request if the limits of its workspace permit it.

        Args:
            request: The `Request`.
            run: Coroutine function that runs it.

        Returns:
            The outcome of *run*, or `NotRun` with the limit as reason.
        """
        limits = self.limits(request.workspace)
        if limits is NOTHING:
            return await run()
        usage = self.usages.setdefault(request.workspace, Usage())
        usage.requested += 1
        exceeded_limit = await self.admit(request.workspace, usage, limits)
        if exceeded_limit is not NOTHING:
            return NotRun(REASON_BY_LIMIT[exceeded_limit])
        try:
            return await run()
        finally:
            usage.active -= 1

    def limits(self, workspace):
        """Return the `Limits` of a workspace, or `NOTHING` if it has none."""
        rights = self.state.keeper.enforced.workspaces.get(workspace)
        if rights is None:
            return NOTHING
        limits = rights.limits
        if limits.concurrent is None and limits.requests_per_second is None:
            return NOTHING
        return limits

    async def admit(self, workspace, usage, limits):
        """Admit one request within this host's holding of the limits.

        If the holding is exhausted, the ledger is updated and admission
        is tried again. That happens at most once per
        `MIN_UPDATE_INTERVAL_SECONDS`, unless an update of the ledger is
        already in progress, which is then awaited.

        Args:
            workspace: Name of the workspace.
            usage: Its `Usage`.
            limits: Its `Limits`.

        Returns:
            `NOTHING` if the request is admitted, else the name of the
            limit.
        """
        now = self.state.clock.seconds()
        ledger_number = ledger_of(workspace)
        exceeded_limit = usage.try_start(limits, now, self.wall())
        is_recent = now - usage.last_request_at < MIN_UPDATE_INTERVAL_SECONDS
        if exceeded_limit is NOTHING or (
            is_recent and ledger_number not in self.waiting_by_ledger
        ):
            return exceeded_limit
        usage.last_request_at = now
        await self.update_ledger(ledger_number)
        return usage.try_start(limits, self.state.clock.seconds(), self.wall())

    def tick(self):
        """Adapt the holdings to demand; called once per second."""
        hosts = len(self.peers.entries) + 1
        self.pacer.rate = FLEET_WRITES_PER_SECOND / hosts
        for usage in self.usages.values():
            usage.update_demand(TICK_INTERVAL_SECONDS)
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
        """Whether a holding is due for renewal or differs much from demand.

        Differences of up to 0.5 % of the whole limit are ignored.
        """
        limits = self.limits(workspace)
        wanted = 0
        if limits is not NOTHING:
            wanted = usage.wanted(limits, self.min_units(workspace))
        if (
            usage.units
            and usage.expires_at - self.wall() < RENEW_BEFORE_EXPIRY_SECONDS
        ):
            return True
        difference = abs(wanted - usage.units)
        return difference > max(
            MIN_RELATIVE_CHANGE * usage.units, TOTAL_UNITS // 200
        )

    def min_units(self, workspace):
        """Return the minimum units that a host of the home region retains.

        Without a minimum, a home region that is partitioned from the
        platform could not serve its own callers until the connection is
        restored.
        """
        rights = self.state.keeper.enforced.workspaces.get(workspace)
        if rights is None or rights.home != self.state.region:
            return 0
        home_hosts = 1 + sum(
            1
            for entry in self.peers.entries.values()
            if entry.region == self.state.region
        )
        return int(TOTAL_UNITS * HOME_MIN_SHARE / home_hosts)

    def update_ledger(self, ledger_number):
        """Update one ledger and return a deferred.

        Callers that request an update while one is in progress wait for
        that one.
        """
        if ledger_number in self.waiting_by_ledger:
            waiting = defer.Deferred()
            self.waiting_by_ledger[ledger_number].append(waiting)
            return waiting
        self.waiting_by_ledger[ledger_number] = []
        work = defer.ensureDeferred(self.write_ledger(ledger_number))
        return work.addBoth(self.on_ledger_updated, ledger_number)

    def on_ledger_updated(self, result, ledger_number):
        """Resume all callers that wait for the update of a ledger.

        Returns:
            The result of the update, or `None` after a failure, which is
            reported to `on_failure`.
        """
        if isinstance(result, Failure):
            self.on_failure(result)
            result = None
        for waiting in self.waiting_by_ledger.pop(ledger_number):
            waiting.callback(None)
        return result

    async def write_ledger(self, ledger_number):
        """Write this host's demand and use the holdings that result.

        The update is abandoned if the rate limit of writes is exceeded or
        the key-value service fails; a later tick repeats it.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not self.pacer.try_take(self.state.clock.seconds()):
                return
            try:
                if await self.try_write(ledger_number):
                    return
            except (KeyValueError, ProtocolError):
                return

    async def try_write(self, ledger_number):
        """Make one attempt to write a ledger.

        A holding that shrinks is reduced on this host before the write,
        and stays reduced if the write fails. A holding that grows is used
        only after the write is confirmed. Thus the holdings in use never
        exceed the limit.

        Returns:
            Whether the ledger is up to date, so that no further attempt
            is needed.
        """
        key = f"{SHARES_PREFIX}{ledger_number}"
        entry = await self.store.get(key)
        old_ledger, revision = Ledger(), 0
        if entry is not NOTHING:
            old_ledger, revision = decode_ledger(entry.value), entry.revision
        new_ledger = allocate(
            old_ledger,
            self.state.host,
            self.own_demands(ledger_number),
            self.wall(),
        )
        holdings = self.own_holdings(ledger_number, new_ledger)
        for workspace, holding in holdings.items():
            usage = self.usages[workspace]
            usage.units = min(usage.units, holding.units)
        if new_ledger == old_ledger:
            return True
        result = await self.store.swap(
            key, encode_ledger(new_ledger), revision
        )
        if not isinstance(result, Applied):
            return False
        for workspace, holding in holdings.items():
            usage = self.usages[workspace]
            usage.units = holding.units
            usage.expires_at = holding.expires_at
        self.state.timeline.note(
            EventKind.SHARES_CHANGED, ledger=ledger_number
        )
        return True

    def own_demands(self, ledger_number):
        """Return this host's `ShareDemand` by workspace for one ledger."""
        return {
            workspace: self.own_demand(workspace, usage)
            for workspace, usage in self.usages.items()
            if ledger_of(workspace) == ledger_number
        }

    def own_holdings(self, ledger_number, ledger):
        """Return this host's `Holding` by workspace in one ledger.

        Args:
            ledger_number: Number of the ledger.
            ledger: The `Ledger`.
        """
        return {
            workspace: ledger.holdings[workspace].get(
                self.state.host, NO_HOLDING
            )
            for workspace in self.usages
            if ledger_of(workspace) == ledger_number
        }

    def own_demand(self, workspace, usage):
        """Return this host's `ShareDemand` for a workspace."""
        limits = self.limits(workspace)
        if limits is NOTHING:
            return ShareDemand()
        units = usage.wanted(limits, self.min_units(workspace))
        return ShareDemand(units, usage.busy_units(limits))
