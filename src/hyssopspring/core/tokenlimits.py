"""Limits in tokens that hold over all hosts, without a leader or a store.

Each region owns an equal share of each limit, counted by the host that
places its requests. A region that needs less lends the rest to others for a
short time. What is lent is not used by the lender until the loan is over by
its own clock, which is later than by that of the borrower; so the shares in
use add up to at most the whole, whatever is cut, lost, doubled or late.

Several hosts of a region may count at once: as the one that counts dies, or
as the region is cut in two. Each then uses only the part of the region's
share that belongs to the hosts that count on it.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from .sentinels import NOTHING
from .shares import WHOLE, fair_units

__all__ = ["LOAN_LIFE", "Allowance", "Loan", "Shortage", "TokenLimits"]

LOAN_LIFE = 1.0
"""Seconds for which a loan may be used, from the time of the question."""

LENDER_MARGIN = 0.1
"""Seconds longer for which the lender leaves it unused."""

DEMAND_SECONDS = 1.0
"""Time constant of the moving average of what a workspace asks for."""

HEADROOM = 1.4
"""Part of its demand that a region wants to hold, as demand varies."""

LEAST_KEPT = 0.25
"""Part of its own share that a region never lends, for the first requests
of a workspace that was not there before."""

SLACK_USED = 0.45
"""Part of the tolerated excess that counts as burst. The rest covers hosts
that count beside each other until they have heard of it."""

RATE_USED = 0.5
"""Part of the tolerated excess of the rate that is used."""

ASK_BELOW = 0.6
"""Part of its bucket below which a region asks for loans. One large request
makes a small workspace look busy for a second, and what is lent for it is
missing elsewhere."""

LEND_ABOVE = 0.95
"""Part of its bucket from which on a region counts as not needing more than
it always keeps: its callers have left, whatever they asked for before."""

LARGEST_PART = 0.9
"""Part of its bucket that a request must find full to pass which is larger
than the bucket; it leaves a debt. It could never pass else."""

CHARGES_KEPT = 8192
"""Charges that may be given back; a busy region makes 2,000 in the time in
which a request shows that it has not run."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """By how much a limit may be exceeded over all hosts.

    Attributes:
        overage: Part of the limit.
        slack: Tokens besides, in the window over which is counted.
    """

    overage: float = 0.0
    slack: float = 0.0

    def rate(self, limit):
        """Return the tokens a second that are let through of a limit."""
        return limit.rate * (1.0 + self.overage * RATE_USED)

    def extra(self):
        """Return the tokens that a bucket holds above the burst."""
        return self.slack * SLACK_USED

    def burst(self, limit):
        """Return the most tokens that are let through at once."""
        return limit.burst * (1.0 + self.overage * RATE_USED) + self.extra()


@dataclass(frozen=True, slots=True)
class Loan:
    """A part of a limit that is lent.

    Attributes:
        units: Units of `WHOLE`.
        until: Time at which it ends.
        stamp: Time of the question, by the borrower's clock.
    """

    units: int
    until: float
    stamp: float = 0.0


@dataclass(frozen=True, slots=True)
class Shortage:
    """There are too few tokens for a request.

    Attributes:
        seconds: Time until there should be enough.
        units: Units of `WHOLE` that this host may use now.
        level: Tokens that are left.
        demand: Tokens a second that are asked for here.
    """

    seconds: float
    units: int
    level: float
    demand: float


@dataclass(slots=True, eq=False)
class Usage:
    """What one host lets through of one workspace's limit.

    Attributes:
        level: Tokens that may pass now; negative after a large request.
        at: Time for which *level* holds.
        demand: Moving average of tokens asked for, a second.
        lent: Each `Loan` given, by borrower.
        borrowed: The `Loan` of each lender.
        wishes: Units that other hosts asked for last, with the time.
    """

    level: float
    at: float
    demand: float = 0.0
    lent: dict = field(default_factory=dict)
    borrowed: dict = field(default_factory=dict)
    wishes: dict = field(default_factory=dict)


class TokenLimits:
    """Decide which requests pass, and lend what is not needed.

    Args:
        regions: Number of regions.
        allowance: The `Allowance`.
        weight: Called for the part of the region's hosts that count on
            this one, from 0 to 1.
    """

    def __init__(self, regions, allowance, weight):
        self.base = WHOLE // max(1, regions)
        self.allowance = allowance
        self.weight = weight
        self.usages = {}
        self.charges = OrderedDict()

    def usage(self, workspace, now):
        """Return the `Usage` of a workspace.

        It begins nearly empty: a host that has just started, or has just
        taken over, does not know what was let through a moment ago.
        """
        usage = self.usages.get(workspace)
        if usage is None:
            level = self.allowance.extra() * self.base / WHOLE
            usage = self.usages[workspace] = Usage(level * self.weight(), now)
        return usage

    def units(self, usage, now):
        """Return the units that this host may use now."""
        own = self.base * self.weight()
        borrowed = sum(
            loan.units for loan in usage.borrowed.values() if loan.until > now
        )
        return max(0, int(own) - lent_units(usage, now)) + borrowed

    def settle(self, usage, limit, now):
        """Add the tokens of the time that has passed; return the units.

        To be called whenever the units change, else what came before
        would be added at the new rate.
        """
        units = self.units(usage, now)
        seconds = max(0.0, now - usage.at)
        gained = seconds * self.allowance.rate(limit) * units / WHOLE
        most = self.allowance.burst(limit) * units / WHOLE
        usage.level = min(most, usage.level + gained)
        usage.demand *= math.exp(-seconds / DEMAND_SECONDS)
        usage.at = max(usage.at, now)
        return units

    def settle_all(self, limit_of, now):
        """Settle all workspaces; forget those without a limit.

        Args:
            limit_of: Called with a name; returns the `TokenLimit`, or
                `NOTHING`.
            now: The time.
        """
        for name, usage in list(self.usages.items()):
            limit = limit_of(name)
            if limit is NOTHING:
                del self.usages[name]
            else:
                self.settle(usage, limit, now)

    def take(self, workspace, limit, cost, now, key):
        """Let a request pass if there are tokens for it.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            cost: Tokens of the request.
            now: The time.
            key: What names the request in `give_back`.

        Returns:
            `NOTHING`, or the `Shortage`.
        """
        usage = self.usage(workspace, now)
        units = self.settle(usage, limit, now)
        usage.demand += cost / DEMAND_SECONDS
        most = self.allowance.burst(limit) * units / WHOLE
        needed = min(cost, most * LARGEST_PART)
        if units and usage.level >= needed:
            usage.level -= cost
            self.charges[key] = (workspace, cost)
            if len(self.charges) > CHARGES_KEPT:
                self.charges.popitem(last=False)
            return NOTHING
        rate = self.allowance.rate(limit) * max(units, 1) / WHOLE
        seconds = (needed - usage.level) / rate
        return Shortage(seconds, units, usage.level, usage.demand)

    def give_back(self, key):
        """Return the tokens of a request that has not run."""
        workspace, cost = self.charges.pop(key, ("", 0))
        usage = self.usages.get(workspace)
        if usage is not None:
            usage.level += cost

    def forget_charge(self, key):
        """Note that a request has run."""
        self.charges.pop(key, None)

    def wanted(self, usage, limit):
        """Return the units that this host's demand takes."""
        rate = self.allowance.rate(limit)
        return min(WHOLE, int(usage.demand * HEADROOM / rate * WHOLE))

    def wishes(self, workspace, limit, lenders, now):
        """Return the units to ask each lender for, by lender.

        Each is asked for an equal part of what is missing, and for what
        the others do not lend.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            lenders: Names of the hosts to ask.
            now: The time.
        """
        usage = self.usage(workspace, now)
        units = self.settle(usage, limit, now)
        most = self.allowance.burst(limit) * units / WHOLE
        missing = self.wanted(usage, limit)
        missing -= int(self.base * self.weight()) - lent_units(usage, now)
        held = {
            name: loan.units
            for name, loan in usage.borrowed.items()
            if loan.until > now
        }
        enough = missing <= 0 or usage.level >= most * ASK_BELOW
        if enough or not lenders:
            return {}
        equal = missing // len(lenders)
        others = sum(held.values())
        return {
            name: max(equal, missing - others + held.get(name, 0))
            for name in lenders
        }

    def lend(self, workspace, limit, borrower, wish, now):
        """Lend what is not needed here; return the units.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            borrower: Name of the host that asks.
            wish: Units that it asks for.
            now: The time.
        """
        usage = self.usage(workspace, now)
        units = self.settle(usage, limit, now)
        most = self.allowance.burst(limit) * units / WHOLE
        usage.wishes[borrower] = (wish, now)
        lately = {
            name: units
            for name, (units, at) in usage.wishes.items()
            if now - at < LOAN_LIFE
        }
        own = int(self.base * self.weight())
        kept = int(own * LEAST_KEPT)
        if usage.level < most * LEND_ABOVE:
            kept = max(kept, self.wanted(usage, limit))
        spare = max(0, own - kept)
        others = lent_units(usage, now, but=borrower)
        fair = fair_units(lately, borrower, spare)
        units = max(0, min(wish, fair, spare - others))
        self.note_lent(workspace, limit, borrower, units, now)
        return units

    def note_lent(self, workspace, limit, borrower, units, now):
        """Leave unused what this host, or its region's first, has lent."""
        usage = self.usage(workspace, now)
        self.settle(usage, limit, now)
        loans = [
            loan for loan in usage.lent.get(borrower, ()) if loan.until > now
        ]
        if units:
            loans.append(Loan(units, now + LOAN_LIFE + LENDER_MARGIN))
        usage.lent[borrower] = loans

    def note_borrowed(self, workspace, limit, lender, units, stamp, now):
        """Use what another host lends, from the time of the question on.

        An answer that came late, or before a newer one, changes nothing.
        """
        usage = self.usage(workspace, now)
        self.settle(usage, limit, now)
        known = usage.borrowed.get(lender)
        if known is not None and known.stamp >= stamp:
            return
        usage.borrowed[lender] = Loan(units, stamp + LOAN_LIFE, stamp)


def lent_units(usage, now, but=""):
    """Return the units that are lent, to others than *but*.

    Of two loans to one borrower the larger one counts until it is over:
    the answer that made it smaller may be lost.
    """
    return sum(
        max((one.units for one in loans if one.until > now), default=0)
        for borrower, loans in usage.lent.items()
        if borrower != but
    )
