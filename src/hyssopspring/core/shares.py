"""Shares of a workspace's limits, held by hosts.

A limit counts over all hosts. Each host admits by its own share of it,
and the shares are kept in a ledger whose sum never exceeds the whole. A
host uses less before it writes less, and more only after it has written
more; so the sum holds in every cut and through every lost answer.
"""

from dataclasses import dataclass, field

import msgspec

from .exceptions import ProtocolError, ensure
from .hashing import hash_text
from .sentinels import NOTHING

TOTAL_UNITS = 10_000
LEDGER_COUNT = 8
HOLDING_LIFETIME_SECONDS = 7200.0
MAX_CLOCK_SKEW_SECONDS = 60.0
DEMAND_HEADROOM = 1.3
HOME_MIN_SHARE = 0.3


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """What one host holds of one workspace's limits.

    Attributes:
        units: Units of `TOTAL_UNITS` that it holds.
        wanted: Units that it could use.
        until: Wall-clock second until which it may use them.
    """

    units: int
    wanted: int
    expires_at: int


NO_HOLDING = Holding(0, 0, 0)
"""Stands for a host that holds nothing."""


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """All holdings of some workspaces.

    Attributes:
        holdings: `Holding` by host, by workspace.
    """

    holdings: dict[str, dict[str, Holding]] = {}


@dataclass(frozen=True, slots=True)
class ShareDemand:
    """What a host wants of one workspace's limits.

    Attributes:
        units: Units that it could use.
        busy_units: Units that its requests in progress take up. They cannot be
            given away before those end, else the next holder's requests
            would come on top of them.
    """

    units: int = 0
    busy_units: int = 0


def ledger_of(workspace):
    """Return the number of the ledger that a workspace stands in."""
    return hash_text(workspace) % LEDGER_COUNT


def fair_units(wanted, host, whole=TOTAL_UNITS):
    """Return the max-min fair units of *host* among what all want.

    Args:
        wanted: Wanted units by host.
        host: The host.
        whole: Units that there are.
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
    """Return the ledger with what *host* may hold now.

    Args:
        ledger: The `Ledger` as it stands.
        host: The host.
        wants: `ShareDemand` by workspace.
        wall: Wall clock in seconds.
        lifetime: Seconds for which a holding may be used unrenewed.

    Returns:
        The next `Ledger`. Holdings whose time is long over are taken
        back; their holder has stopped using them by its own clock.
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
    """Assert that holdings do not add up to more than the whole."""
    total = sum(held.units for held in holdings.values())
    ensure(total <= TOTAL_UNITS, f"shares add up to {total} of {TOTAL_UNITS}")


def decode_ledger(data):
    """Return the `Ledger` that *data* stands for.

    Raises:
        ProtocolError: It is none.
    """
    try:
        return msgspec.msgpack.decode(data, type=Ledger)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"no ledger: {error}") from None


def encode_ledger(ledger):
    """Return the bytes that are stored for *ledger*."""
    return msgspec.msgpack.encode(ledger)


@dataclass(slots=True)
class Usage:
    """What one host lets through of one workspace.

    Attributes:
        units: Units in use, never more than are held.
        until: Wall-clock second until which they may be used.
        tokens: Requests that may start now.
        at: Time of the last refill, on the host's clock.
        active: Requests in progress.
        asked: Requests asked for since the last measure.
        demand: Moving average of requests asked for a second.
        peak: Most requests in progress or refused for it, lately.
        turned_away: Requests refused since the last measure.
        tried_at: When units were last asked for.
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
        """Return the requests a second that may start."""
        return (
            limits.requests_per_second * self.usable_units(wall) / TOTAL_UNITS
        )

    def concurrency(self, limits, wall):
        """Return the requests that may be in progress."""
        return int(limits.concurrent * self.usable_units(wall) / TOTAL_UNITS)

    def usable_units(self, wall):
        """Return the units that may be used at *wall*."""
        return self.units if wall < self.expires_at else 0

    def try_start(self, limits, now, wall):
        """Start a request if the share allows it.

        Returns:
            `NOTHING` if it may start, else the name of the limit.
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
        """Fold what was asked for in the last *seconds* into demand."""
        self.demand += 0.5 * (self.requested / seconds - self.demand)
        self.requested = 0
        self.peak = max(self.active, self.peak // 2)
        self.rejected = 0

    def busy_units(self, limits):
        """Return the units that the requests in progress take up."""
        if limits.concurrent is None:
            return 0
        return -(-self.active * TOTAL_UNITS // limits.concurrent)

    def wanted(self, limits, floor):
        """Return the units that this host could use.

        Args:
            limits: The workspace's `Limits`.
            floor: Units to keep in any case.
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
