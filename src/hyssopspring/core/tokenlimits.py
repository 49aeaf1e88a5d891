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
from .shares import TOTAL_UNITS, fair_units

__all__ = ["TRANSFER_LIFETIME_SECONDS", "Allowance", "Shortage", "TokenLimits"]

TRANSFER_LIFETIME_SECONDS = 1.0
"""Seconds from the question in which tokens of another region may be used.
Older ones could come on top of a whole window."""

DEMAND_TIME_CONSTANT_SECONDS = 1.0
"""Time constant of the moving average of what a workspace asks for."""

DEMAND_AHEAD_SECONDS = 0.8
"""Seconds of its demand that a region wants to hold: two rounds of questions
and the way to another region and back."""

MIN_RESERVE_FRACTION = 0.5
"""Part of its bucket that a region wants to hold whatever its demand, and
does not give away, for the first requests of a workspace."""

SURPLUS_TIME_CONSTANT_SECONDS = 1.0
"""Time constant in which tokens above the own bucket go. What is handed over
is needed at once."""

BURST_SLACK_FRACTION = 0.4
"""Part of the tolerated excess that counts as burst. The rest covers hosts
that count beside each other until they have heard of it."""

RATE_OVERAGE_FRACTION = 0.5
"""Part of the tolerated excess of the rate that is used."""

START_OVERAGE_FRACTION = 0.25
"""Part of the tolerated excess of a whole window that a bucket holds when it
is new: after an end of all hosts, all callers come back in one second."""

LARGE_REQUEST_FRACTION = 0.9
"""Part of its bucket that a request must find full to pass which is larger
than the bucket; it leaves a debt. It could never pass else."""

MAX_CHARGES = 8192
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
        return limit.rate * (1.0 + self.overage * RATE_OVERAGE_FRACTION)

    def extra(self):
        """Return the tokens that a bucket holds above the burst."""
        return self.slack * BURST_SLACK_FRACTION

    def start(self, limit):
        """Return the tokens that a new bucket holds."""
        whole = limit.rate * self.window + limit.burst
        return self.extra() + whole * self.overage * START_OVERAGE_FRACTION

    def burst(self, limit):
        """Return the most tokens that are let through at once."""
        return (
            limit.burst * (1.0 + self.overage * RATE_OVERAGE_FRACTION)
            + self.extra()
        )


@dataclass(frozen=True, slots=True)
class Shortage:
    """There are too few tokens for a request.

    Attributes:
        seconds: Time until there should be enough.
        units: Units of `TOTAL_UNITS` that this host counts.
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
    recent_requests: dict = field(default_factory=dict)
    last_transfers: dict = field(default_factory=dict)


class TokenLimits:
    """Decide which requests pass, and give away what is not needed.

    Args:
        regions: Number of regions.
        allowance: The `Allowance`.
        weight: Called for the part of the region's hosts that count on
            this one, from 0 to 1.
    """

    def __init__(self, regions, allowance, weight):
        self.base = TOTAL_UNITS // max(1, regions)
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
            level = self.allowance.start(limit) * self.units() / TOTAL_UNITS
            usage = self.usages[workspace] = Usage(level, now)
        return usage

    def units(self):
        """Return the units of the whole that this host counts now."""
        return int(self.base * self.weight())

    def bucket_size(self, limit):
        """Return the tokens to which this host's bucket fills by itself."""
        return self.allowance.burst(limit) * self.units() / TOTAL_UNITS

    def refill(self, usage, limit, now):
        """Add the tokens of the time that has passed.

        What other regions gave may lie above the own bucket, for a short
        time. So does what a lowered limit leaves of the one before: kept,
        it would be let through long after the change. To be called often,
        as the units change: the time before would else be counted at the
        new rate.
        """
        seconds = max(0.0, now - usage.at)
        rate = self.allowance.rate(limit) * self.units() / TOTAL_UNITS
        free_space = self.bucket_size(limit) - usage.level
        if free_space < 0.0:
            usage.level += free_space * (
                1.0 - math.exp(-seconds / SURPLUS_TIME_CONSTANT_SECONDS)
            )
        else:
            usage.level += min(free_space, seconds * rate)
        usage.demand *= math.exp(-seconds / DEMAND_TIME_CONSTANT_SECONDS)
        usage.at = max(usage.at, now)

    def refill_all(self, limit_of, now):
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
                self.refill(usage, limit, now)

    def try_take(self, workspace, limit, cost, now, key):
        """Let a request pass if there are tokens for it.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            cost: Tokens of the request.
            now: The time.
            key: What names the request in `refund`.

        Returns:
            `NOTHING`, or the `Shortage`.
        """
        usage = self.usage(workspace, limit, now)
        self.refill(usage, limit, now)
        usage.demand += cost / DEMAND_TIME_CONSTANT_SECONDS
        units = self.units()
        needed = min(cost, self.bucket_size(limit) * LARGE_REQUEST_FRACTION)
        if units and usage.level >= needed:
            usage.level -= cost
            self.charges[key] = (workspace, cost)
            if len(self.charges) > MAX_CHARGES:
                self.charges.popitem(last=False)
            return NOTHING
        rate = self.allowance.rate(limit) * max(units, 1) / TOTAL_UNITS
        missing = needed - usage.level + self.expected_retries(usage, rate)
        return Shortage(missing / rate, units, usage.level, usage.demand)

    def expected_retries(self, usage, rate):
        """Return the tokens that refused callers will ask for once more.

        Who comes back before them finds the bucket empty again; without
        them, the callers of a workspace far above its limit all came back
        within a tenth of a second.
        """
        return max(0.0, usage.demand - rate) * DEMAND_TIME_CONSTANT_SECONDS

    def refund(self, key):
        """Return the tokens of a request that has not run."""
        workspace, cost = self.charges.pop(key, ("", 0))
        usage = self.usages.get(workspace)
        if usage is not None:
            usage.level += cost

    def discard_charge(self, key):
        """Note that a request has run."""
        self.charges.pop(key, None)

    def target_level(self, usage, limit):
        """Return the tokens that this host wants to hold."""
        least = self.bucket_size(limit) * MIN_RESERVE_FRACTION
        return min(
            limit.burst, max(least, usage.demand * DEMAND_AHEAD_SECONDS)
        )

    def tokens_to_request(self, workspace, limit, now):
        """Return the tokens to ask other regions for, or 0."""
        usage = self.usage(workspace, limit, now)
        self.refill(usage, limit, now)
        return max(0, int(self.target_level(usage, limit) - usage.level))

    def transfer_out(self, workspace, limit, requester, requested, now):
        """Give tokens that are not needed here; return their number.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            requester: Name of the host that asks.
            requested: Tokens that it asks for.
            now: The time.
        """
        usage = self.usage(workspace, limit, now)
        self.refill(usage, limit, now)
        usage.recent_requests[requester] = (requested, now)
        recent = {
            name: tokens
            for name, (tokens, at) in usage.recent_requests.items()
            if now - at < TRANSFER_LIFETIME_SECONDS
        }
        spare = max(0, int(usage.level - self.target_level(usage, limit)))
        tokens = min(requested, fair_units(recent, requester, spare))
        usage.level -= tokens
        return tokens

    def transfer_in(self, workspace, limit, sender, tokens, stamp, now):
        """Use what another region gives, once and in time.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            sender: Name of the host that gives.
            tokens: Their number.
            stamp: Time of the question, by this host's clock.
            now: The time.
        """
        usage = self.usage(workspace, limit, now)
        self.refill(usage, limit, now)
        duplicate = usage.last_transfers.get(sender, -math.inf) >= stamp
        if duplicate or now - stamp >= TRANSFER_LIFETIME_SECONDS:
            return
        usage.last_transfers[sender] = stamp
        usage.level += tokens
