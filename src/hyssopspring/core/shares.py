"""Shares of the limits of workspaces that hosts hold.

A limit applies over all hosts. Each host admits requests up to its own
share, and the shares are stored in a ledger in which their sum never
exceeds the limit. A host reduces its usage before it writes a smaller
share, and increases it only after it has written a larger one. The sum
therefore stays within the limit during network partitions and when
responses are lost.
"""

from dataclasses import field

import msgspec

from .exceptions import ProtocolError, ensure
from .hashing import hash_text
from .records import dataclass
from .sentinels import NOTHING

TOTAL_UNITS = 10_000
"""Units into which each limit is divided."""

LEDGER_COUNT = 8
"""Ledgers among which the workspaces are distributed."""

HOLDING_LIFETIME_SECONDS = 7200.0
"""Time for which a holding may be used without renewal."""

MAX_CLOCK_SKEW_SECONDS = 60.0
"""Time after its expiry at which a holding is reclaimed, which bounds the
tolerated difference between the wall clocks of hosts."""

DEMAND_HEADROOM = 1.3
"""Factor by which the requested rate exceeds the measured demand."""

HOME_MIN_SHARE = 0.3
"""Fraction of each limit that the hosts of the home region keep without
demand, so that they can serve the workspace without the platform."""


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """Share of the limits of a workspace that a host holds.

    Attributes:
        units: Number of units held, out of `TOTAL_UNITS`.
        wanted: Number of units that the host could use.
        expires_at: Wall-clock second until which it may use the units.
    """

    units: int
    wanted: int
    expires_at: int


NO_HOLDING = Holding(0, 0, 0)
"""Holding of a host that has no units."""


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """All holdings of a group of workspaces.

    Attributes:
        holdings: `Holding` by host, for each workspace.
    """

    holdings: dict[str, dict[str, Holding]] = {}


@dataclass(frozen=True, slots=True)
class ShareDemand:
    """Demand of a host for the limits of a workspace.

    Attributes:
        units: Number of units that the host could use.
        busy_units: Number of units that its requests in progress use.
            They cannot be released before these requests end; otherwise
            the requests of the next holder would exceed the limit.
    """

    units: int = 0
    busy_units: int = 0


def ledger_of(workspace):
    """Return the number of the ledger that contains a workspace."""
    return hash_text(workspace) % LEDGER_COUNT


def fair_units(wanted, host, whole=TOTAL_UNITS):
    """Return the max-min fair share of *host*.

    Args:
        wanted: Requested units by host.
        host: Name of the host.
        whole: Number of units to distribute.
    """
    left = whole
    waiting = dict(wanted)
    while waiting:
        equal = left // len(waiting)
        satisfied = {name: w for name, w in waiting.items() if w <= equal}
        if not satisfied:
            return equal
        if host in satisfied:
            return satisfied[host]
        for name, units in satisfied.items():
            left -= units
            del waiting[name]
    return 0


def allocate(ledger, host, wants, wall, lifetime=HOLDING_LIFETIME_SECONDS):
    """Return the ledger with an updated holding of *host*.

    Args:
        ledger: The current `Ledger`.
        host: Name of the host.
        wants: `ShareDemand` by workspace.
        wall: Wall-clock time in seconds.
        lifetime: Seconds for which a holding may be used without renewal.

    Returns:
        The updated `Ledger`. Holdings that have been expired for longer
        than the maximum clock skew are reclaimed; their holders have
        stopped using them by their own clocks.
    """
    holdings = dict(ledger.holdings)
    for workspace, want in wants.items():
        wanted = want.units
        before = {
            name: held
            for name, held in holdings.get(workspace, {}).items()
            if held.expires_at + MAX_CLOCK_SKEW_SECONDS > wall
        }
        held = before.pop(host, NO_HOLDING)
        wishes = {name: other.wanted for name, other in before.items()}
        fair = fair_units({**wishes, host: wanted}, host)
        free = TOTAL_UNITS - sum(other.units for other in before.values())
        busy = min(held.units, want.busy_units)
        units = max(busy, min(fair, free))
        if units or wanted or held.units:
            before[host] = Holding(units, wanted, int(wall + lifetime))
        check_total(before)
        holdings[workspace] = before
    return Ledger(holdings)


def check_total(holdings):
    """Check that the sum of holdings does not exceed `TOTAL_UNITS`."""
    total = sum(held.units for held in holdings.values())
    ensure(
        total <= TOTAL_UNITS,
        f"sum of shares is {total}, more than {TOTAL_UNITS}",
    )


def decode_ledger(data):
    """Deserialize a `Ledger`.

    Raises:
        ProtocolError: *data* is not a valid ledger.
    """
    try:
        return msgspec.msgpack.decode(data, type=Ledger)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"invalid ledger: {error}") from None


def encode_ledger(ledger):
    """Serialize *ledger* for storage."""
    return msgspec.msgpack.encode(ledger)


@dataclass(slots=True)
class Usage:
    """Usage of the limits of one workspace on one host.

    Attributes:
        units: Number of units in use, never more than are held.
        expires_at: Wall-clock second until which they may be used.
        tokens: Number of requests that may start now.
        at: Time of the last refill, on this host's clock.
        active: Number of requests in progress.
        requested: Number of requests received since the last update of
            the demand.
        demand: Moving average of requests received per second.
        peak: Recent maximum of the requests in progress plus those
            rejected by the concurrency limit.
        rejected: Number of requests rejected by the concurrency limit
            since the last update of the demand.
        last_request_at: Time at which units were last requested.
    """

    units: int = 0
    expires_at: float = 0.0
    tokens: float = 0.0
    at: float = 0.0
    active: int = 0
    requested: int = 0
    demand: float = 0.0
    peak: int = 0
    rejected: int = 0
    last_request_at: float = field(default=float("-inf"))

    def rate(self, limits, wall):
        """Return the number of requests per second that may start."""
        return (
            limits.requests_per_second * self.usable_units(wall) / TOTAL_UNITS
        )

    def concurrency(self, limits, wall):
        """Return the number of requests that may be in progress."""
        return int(limits.concurrent * self.usable_units(wall) / TOTAL_UNITS)

    def usable_units(self, wall):
        """Return the number of units that may be used at *wall*."""
        return self.units if wall < self.expires_at else 0

    def try_start(self, limits, now, wall):
        """Start a request if the share allows it.

        Returns:
            `NOTHING` if it may start, else the name of the limit that is
            reached.
        """
        if limits.concurrent is not None:
            self.peak = max(self.peak, self.active + 1)
            if self.active >= self.concurrency(limits, wall):
                self.rejected += 1
                self.peak = max(self.peak, self.active + self.rejected)
                return "concurrent"
        if limits.requests_per_second is not None:
            rate = self.rate(limits, wall)
            gained = max(0.0, now - self.at) * rate
            self.tokens = min(max(1.0, rate), self.tokens + gained)
            self.at = now
            if self.tokens < 1.0 or not rate:
                return "requests_per_second"
            self.tokens -= 1.0
        self.active += 1
        return NOTHING

    def update_demand(self, seconds):
        """Update the demand with the requests of the last *seconds*."""
        self.demand += 0.5 * (self.requested / seconds - self.demand)
        self.requested = 0
        self.peak = max(self.active, self.peak // 2)
        self.rejected = 0

    def busy_units(self, limits):
        """Return the number of units that requests in progress use."""
        if limits.concurrent is None:
            return 0
        return -(-self.active * TOTAL_UNITS // limits.concurrent)

    def wanted(self, limits, floor):
        """Return the number of units that this host could use.

        Args:
            limits: The workspace's `Limits`.
            floor: Minimum number of units to keep.
        """
        shares = [0.0]
        if limits.requests_per_second is not None:
            demand = max(self.demand, float(self.requested))
            shares.append(
                demand * DEMAND_HEADROOM / limits.requests_per_second
            )
        if limits.concurrent is not None:
            shares.append((self.peak + 1) / limits.concurrent)
            if not self.peak and not self.demand and not self.requested:
                shares.pop()
        return min(TOTAL_UNITS, max(floor, int(max(shares) * TOTAL_UNITS) + 1))
