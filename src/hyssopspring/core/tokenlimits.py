"""Limits in tokens that hold over all hosts, without a leader or a store.

Each region owns an equal share of each limit, counted by the host that
places its requests: a bucket that fills at its part of the rate. A region
that runs short asks the others for tokens. What is given leaves the bucket
of the giver before it is sent, and fills that of the asker once; so nothing
is ever there twice, whatever is cut, lost, doubled or late.

Several hosts of a region may count at once: as the one that counts dies, or
as the region is cut in two. Each then uses only the part of the region's
share that belongs to the hosts that count on it.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from .sentinels import NOTHING
from .shares import WHOLE, fair_units

__all__ = ["TRANSFER_LIFE", "Allowance", "Shortage", "TokenLimits"]

TRANSFER_LIFE = 1.0
"""Seconds from the question in which tokens of another region may be used.
Older ones could come on top of a whole window."""

DEMAND_SECONDS = 1.0
"""Time constant of the moving average of what a workspace asks for."""

AHEAD = 0.8
"""Seconds of its demand that a region wants to hold: two rounds of questions
and the way to another region and back."""

LEAST_HELD = 0.5
"""Part of its bucket that a region wants to hold whatever its demand, and
does not give away, for the first requests of a workspace."""

SURPLUS_SECONDS = 1.0
"""Time constant in which tokens above the own bucket go. What is handed over
is needed at once."""

SLACK_USED = 0.4
"""Part of the tolerated excess that counts as burst. The rest covers hosts
that count beside each other until they have heard of it."""

RATE_USED = 0.5
"""Part of the tolerated excess of the rate that is used."""

START_USED = 0.25
"""Part of the tolerated excess of a whole window that a bucket holds when it
is new: after an end of all hosts, all callers come back in one second."""

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
        window: Seconds of that window.
    """

    overage: float = 0.0
    slack: float = 0.0
    window: float = 0.0

    def rate(self, limit):
        """Return the tokens a second that are let through of a limit."""
        return limit.rate * (1.0 + self.overage * RATE_USED)

    def extra(self):
        """Return the tokens that a bucket holds above the burst."""
        return self.slack * SLACK_USED

    def start(self, limit):
        """Return the tokens that a new bucket holds."""
        whole = limit.rate * self.window + limit.burst
        return self.extra() + whole * self.overage * START_USED

    def burst(self, limit):
        """Return the most tokens that are let through at once."""
        return limit.burst * (1.0 + self.overage * RATE_USED) + self.extra()


@dataclass(frozen=True, slots=True)
class Shortage:
    """There are too few tokens for a request.

    Attributes:
        seconds: Time until there should be enough.
        units: Units of `WHOLE` that this host counts.
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
        wishes: Tokens that other hosts asked for last, with the time.
        taken: Time of the newest question whose answer was taken, by giver.
    """

    level: float
    at: float
    demand: float = 0.0
    wishes: dict = field(default_factory=dict)
    taken: dict = field(default_factory=dict)


class TokenLimits:
    """Decide which requests pass, and give away what is not needed.

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

    def usage(self, workspace, limit, now):
        """Return the `Usage` of a workspace.

        It begins nearly empty: a host that has just started, or has just
        taken over, does not know what was let through a moment ago.
        """
        usage = self.usages.get(workspace)
        if usage is None:
            level = self.allowance.start(limit) * self.units() / WHOLE
            usage = self.usages[workspace] = Usage(level, now)
        return usage

    def units(self):
        """Return the units of the whole that this host counts now."""
        return int(self.base * self.weight())

    def most(self, limit):
        """Return the tokens to which this host's bucket fills by itself."""
        return self.allowance.burst(limit) * self.units() / WHOLE

    def settle(self, usage, limit, now):
        """Add the tokens of the time that has passed.

        What other regions gave may lie above the own bucket, for a short
        time. So does what a lowered limit leaves of the one before: kept,
        it would be let through long after the change. To be called often,
        as the units change: the time before would else be counted at the
        new rate.
        """
        seconds = max(0.0, now - usage.at)
        rate = self.allowance.rate(limit) * self.units() / WHOLE
        room = self.most(limit) - usage.level
        if room < 0.0:
            usage.level += room * (1.0 - math.exp(-seconds / SURPLUS_SECONDS))
        else:
            usage.level += min(room, seconds * rate)
        usage.demand *= math.exp(-seconds / DEMAND_SECONDS)
        usage.at = max(usage.at, now)

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
        usage = self.usage(workspace, limit, now)
        self.settle(usage, limit, now)
        usage.demand += cost / DEMAND_SECONDS
        units = self.units()
        needed = min(cost, self.most(limit) * LARGEST_PART)
        if units and usage.level >= needed:
            usage.level -= cost
            self.charges[key] = (workspace, cost)
            if len(self.charges) > CHARGES_KEPT:
                self.charges.popitem(last=False)
            return NOTHING
        rate = self.allowance.rate(limit) * max(units, 1) / WHOLE
        missing = needed - usage.level + self.returning(usage, rate)
        return Shortage(missing / rate, units, usage.level, usage.demand)

    def returning(self, usage, rate):
        """Return the tokens that refused callers will ask for once more.

        Who comes back before them finds the bucket empty again; without
        them, the callers of a workspace far above its limit all came back
        within a tenth of a second.
        """
        return max(0.0, usage.demand - rate) * DEMAND_SECONDS

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
        """Return the tokens that this host wants to hold."""
        least = self.most(limit) * LEAST_HELD
        return min(limit.burst, max(least, usage.demand * AHEAD))

    def wish(self, workspace, limit, now):
        """Return the tokens to ask other regions for, or 0."""
        usage = self.usage(workspace, limit, now)
        self.settle(usage, limit, now)
        return max(0, int(self.wanted(usage, limit) - usage.level))

    def transfer_out(self, workspace, limit, asker, wish, now):
        """Give tokens that are not needed here; return their number.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            asker: Name of the host that asks.
            wish: Tokens that it asks for.
            now: The time.
        """
        usage = self.usage(workspace, limit, now)
        self.settle(usage, limit, now)
        usage.wishes[asker] = (wish, now)
        lately = {
            name: tokens
            for name, (tokens, at) in usage.wishes.items()
            if now - at < TRANSFER_LIFE
        }
        spare = max(0, int(usage.level - self.wanted(usage, limit)))
        tokens = min(wish, fair_units(lately, asker, spare))
        usage.level -= tokens
        return tokens

    def transfer_in(self, workspace, limit, giver, tokens, stamp, now):
        """Use what another region gives, once and in time.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            giver: Name of the host that gives.
            tokens: Their number.
            stamp: Time of the question, by this host's clock.
            now: The time.
        """
        usage = self.usage(workspace, limit, now)
        self.settle(usage, limit, now)
        doubled = usage.taken.get(giver, -math.inf) >= stamp
        if doubled or now - stamp >= TRANSFER_LIFE:
            return
        usage.taken[giver] = stamp
        usage.level += tokens
