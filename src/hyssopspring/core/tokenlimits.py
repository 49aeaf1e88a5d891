"""Token limits over all hosts, without a leader or a store.

Each region has an equal share of each limit, which the placing host of the
region enforces by a token bucket that is refilled at its share of the rate. A
region that runs short requests tokens from the others. Transferred tokens are
removed from the bucket of the sender before they are sent, and added to that
of the requester only once. Tokens are therefore never available twice,
whether the network is partitioned or messages are lost, duplicated or late.

Several hosts of a region may enforce the limit at once, when the placing host
fails or the region is partitioned. Each of them then uses only the fraction
of the region's share that corresponds to the hosts that rely on it.
"""

import math
from collections import OrderedDict
from dataclasses import field

from .records import dataclass
from .sentinels import NOTHING
from .shares import TOTAL_UNITS, fair_units

__all__ = ["TRANSFER_LIFETIME_SECONDS", "Allowance", "Shortage", "TokenLimits"]

TRANSFER_LIFETIME_SECONDS = 1.0
"""Time after a request for tokens in which transferred tokens may be used.
Older ones could be used in addition to the tokens of a whole window."""

DEMAND_TIME_CONSTANT_SECONDS = 1.0
"""Time constant of the moving average of the demand of a workspace."""

DEMAND_AHEAD_SECONDS = 0.8
"""Seconds of its demand for which a region aims to hold tokens: two rounds of
transfer requests and the round trip to another region."""

MIN_RESERVE_FRACTION = 0.5
"""Fraction of its bucket that a region aims to hold regardless of its demand,
and does not transfer, for the first requests of a workspace."""

SURPLUS_TIME_CONSTANT_SECONDS = 1.0
"""Time constant with which tokens above the bucket size decay. Transferred
tokens are needed immediately."""

BURST_SLACK_FRACTION = 0.4
"""Fraction of the slack that is used as burst. The rest covers hosts that
enforce the limit in parallel until they have received notice of it."""

RATE_OVERAGE_FRACTION = 0.5
"""Fraction of the tolerated overage that is used for the rate."""

START_OVERAGE_FRACTION = 0.25
"""Fraction of the tolerated overage of a whole window that a new bucket holds.
After a failure of all hosts, all callers retry within one second."""

LARGE_REQUEST_FRACTION = 0.9
"""Fraction of the bucket that must be filled for a request to pass that is
larger than the bucket. It leaves a negative level. Without this rule, such a
request could never pass."""

MAX_CHARGES = 8192
"""Maximum number of charges that are kept for a refund. A busy region makes
2,000 charges in the time after which it is certain that a request has not
run."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """Tolerance by which a limit may be exceeded over all hosts.

    Attributes:
        overage: Tolerated excess as a fraction of the limit.
        slack: Number of tokens tolerated in addition, per window.
        window: Length of the window in seconds.
    """

    overage: float = 0.0
    slack: float = 0.0
    window: float = 0.0

    def rate(self, limit):
        """Return the admitted tokens per second for a limit."""
        return limit.rate * (1.0 + self.overage * RATE_OVERAGE_FRACTION)

    def extra(self):
        """Return the tokens that a bucket holds in addition to the burst."""
        return self.slack * BURST_SLACK_FRACTION

    def start(self, limit):
        """Return the tokens that a new bucket holds."""
        whole = limit.rate * self.window + limit.burst
        return self.extra() + whole * self.overage * START_OVERAGE_FRACTION

    def burst(self, limit):
        """Return the maximum number of tokens that are admitted at once."""
        return (
            limit.burst * (1.0 + self.overage * RATE_OVERAGE_FRACTION)
            + self.extra()
        )


@dataclass(frozen=True, slots=True)
class Shortage:
    """Result for a request that has too few tokens.

    Attributes:
        seconds: Estimated seconds until there are enough tokens.
        units: Units of `TOTAL_UNITS` that this host enforces.
        level: Remaining tokens.
        demand: Tokens per second that are requested on this host.
    """

    seconds: float
    units: int
    level: float
    demand: float


@dataclass(slots=True, eq=False)
class Usage:
    """Token bucket of one workspace on one host.

    Attributes:
        level: Number of available tokens; negative after a large request.
        at: Time at which *level* applies.
        demand: Moving average of the requested tokens per second.
        recent_requests: Number of tokens that other hosts requested last
            and the time of the request, by host.
        last_transfers: Time of the newest request whose transfer was
            applied, by sender.
    """

    level: float
    at: float
    demand: float = 0.0
    recent_requests: dict = field(default_factory=dict)
    last_transfers: dict = field(default_factory=dict)


class TokenLimits:
    """Enforce token limits, and transfer tokens that are not needed.

    Args:
        regions: Number of regions.
        allowance: The `Allowance`.
        weight: Callable that returns the fraction of the region's hosts
            that rely on this one, from 0 to 1.
    """

    def __init__(self, regions, allowance, weight):
        self.base = TOTAL_UNITS // max(1, regions)
        self.allowance = allowance
        self.weight = weight
        self.usages = {}
        self.charges = OrderedDict()

    def usage(self, workspace, limit, now):
        """Return the `Usage` of a workspace.

        A new bucket is nearly empty: a host that has just started, or
        has just taken over, has no record of recently admitted tokens.
        """
        usage = self.usages.get(workspace)
        if usage is None:
            level = self.allowance.start(limit) * self.units() / TOTAL_UNITS
            usage = self.usages[workspace] = Usage(level, now)
        return usage

    def units(self):
        """Return the units of the limit that this host currently enforces."""
        return int(self.base * self.weight())

    def bucket_size(self, limit):
        """Return the number of tokens up to which the bucket is refilled."""
        return self.allowance.burst(limit) * self.units() / TOTAL_UNITS

    def refill(self, usage, limit, now):
        """Add the tokens for the time since the last call.

        Tokens from other regions may exceed the bucket size for a short
        time. So may the tokens that remain after a limit is lowered: if
        they were kept, they would be admitted long after the change. This
        method must be called often, as the units change. Otherwise the
        time before a change would be counted at the new rate.
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
        """Refill all workspaces; remove those without a limit.

        Args:
            limit_of: Callable that returns the `TokenLimit` of a workspace,
                or `NOTHING`.
            now: The time.
        """
        for name, usage in list(self.usages.items()):
            limit = limit_of(name)
            if limit is NOTHING:
                del self.usages[name]
            else:
                self.refill(usage, limit, now)

    def try_take(self, workspace, limit, cost, now, key):
        """Admit a request if there are enough tokens.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            cost: Number of tokens of the request.
            now: The time.
            key: Identifier of the request for `refund`.

        Returns:
            `NOTHING` if the request is admitted, else the `Shortage`.
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
        """Return the tokens that refused callers will request again.

        A caller that retries before them finds the bucket empty again.
        Without this term, all callers of a workspace far above its limit
        would retry within a tenth of a second.
        """
        return max(0.0, usage.demand - rate) * DEMAND_TIME_CONSTANT_SECONDS

    def refund(self, key):
        """Refund the tokens of a request that has not run."""
        workspace, cost = self.charges.pop(key, ("", 0))
        usage = self.usages.get(workspace)
        if usage is not None:
            usage.level += cost

    def discard_charge(self, key):
        """Discard the charge of a request that has run."""
        self.charges.pop(key, None)

    def target_level(self, usage, limit):
        """Return the number of tokens that this host aims to hold."""
        least = self.bucket_size(limit) * MIN_RESERVE_FRACTION
        return min(
            limit.burst, max(least, usage.demand * DEMAND_AHEAD_SECONDS)
        )

    def tokens_to_request(self, workspace, limit, now):
        """Return the number of tokens to request from other regions, or 0."""
        usage = self.usage(workspace, limit, now)
        self.refill(usage, limit, now)
        return max(0, int(self.target_level(usage, limit) - usage.level))

    def transfer_out(self, workspace, limit, requester, requested, now):
        """Transfer tokens that are not needed; return their number.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            requester: Name of the requesting host.
            requested: Number of tokens that it requests.
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
        """Apply a transfer of another region once, if it is in time.

        Args:
            workspace: Name of the workspace.
            limit: Its `TokenLimit`.
            sender: Name of the host that sends the tokens.
            tokens: Number of tokens.
            stamp: Time of the request on this host's clock.
            now: The time.
        """
        usage = self.usage(workspace, limit, now)
        self.refill(usage, limit, now)
        duplicate = usage.last_transfers.get(sender, -math.inf) >= stamp
        if duplicate or now - stamp >= TRANSFER_LIFETIME_SECONDS:
            return
        usage.last_transfers[sender] = stamp
        usage.level += tokens
