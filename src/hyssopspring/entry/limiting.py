"""Rate limits of workspaces, enforced where requests are placed."""

from ..core.hashing import short_id
from ..core.sentinels import NOTHING
from ..traffic.decisions import Placed, PlacedRemotely, RateLimited
from ..traffic.members import STARTUP_DISCOVERY_SECONDS, Subscription
from ..traffic.serverhealth import NOT_RUN
from .messages import TokenTransfer, TokenTransferRequest

__all__ = ["TRANSFER_INTERVAL_SECONDS", "PlacementShare", "WorkspaceLimiter"]

TRANSFER_INTERVAL_SECONDS = 0.3
"""Seconds between two requests for tokens of other regions."""

RECENT_FALLBACK_SECONDS = 1.0
"""Seconds for which a host counts as using a fallback after it last queried
another host than the first."""

FIRST_HOST_SHARE = 0.4
SECOND_HOST_SHARE = 0.4
LOCAL_SHARE = 0.2
"""Shares of the requests of a host with recent fallbacks that the first
placing host, the second one and the host itself place. Such a host queries
the first and then the second and finally decides by itself, because some of
its queries are answered too late. The shares add up to 1."""

FIRST_HOST_SILENCE_SECONDS = 0.75
"""Seconds without a heartbeat after which the second placing host assumes
the share of the first as well; the first sends two heartbeats a second."""

MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 5.0
"""Bounds of the Retry-After of a limited request, in seconds."""

SHARE_CACHE_SECONDS = 0.1
"""Seconds for which the placement share of this host is cached."""

RETRY_AFTER_JITTER = 0.5
"""Largest fraction by which the Retry-After is randomly extended, so that
callers who were refused together do not retry together."""


class PlacementShare:
    """Estimate the share of the region's placements that this host makes.

    Args:
        members: The `Members`.
        clock: The clock of the reactor.
    """

    def __init__(self, members, clock):
        self.members = members
        self.clock = clock
        self.fallback_at = {}
        self.recent_fallback_at = {}
        self.cached_share = 0.0
        self.cached_at = -SHARE_CACHE_SECONDS
        self.region_hosts = 1

    def note_asked(self, host, *, is_fallback, recent_fallback):
        """Record a placement query of another host.

        Args:
            host: Name of the host.
            is_fallback: Whether the host that it queried first did not
                answer.
            recent_fallback: Whether it has used a fallback recently.
        """
        now = self.clock.seconds()
        if is_fallback:
            self.fallback_at[host] = now
        elif recent_fallback:
            self.recent_fallback_at[host] = now

    def share(self):
        """Return the share, from 0 to 1, including that of this host.

        The shares of hosts that place at the same time add up to 1 at
        most, since the requests of each host count once in total. The sum
        may exceed 1 for a short time after a host begins to query another
        placing host.
        """
        now = self.clock.seconds()
        if now - self.cached_at >= SHARE_CACHE_SECONDS:
            self.cached_at = now
            self.cached_share = self.compute_share(now)
        return self.cached_share

    def confirmed_share(self):
        """Return the share as far as it holds beside hosts that are cut off.

        The shares of all hosts add up to 1 at most, whether they hear each
        other or not. A host that has just started may not know the others,
        and one that hears a minority of them cannot tell that the rest are
        gone.
        """
        if self.members.own.up_seconds < STARTUP_DISCOVERY_SECONDS:
            return 0.0
        share = self.share()
        known = 1 + len(self.other_hosts())
        return share * min(1.0, known / self.region_hosts)

    def other_hosts(self):
        """Return the other hosts of the region that do not shut down."""
        return [
            member
            for member in self.members.others.values()
            if member.region == self.members.own.region and not member.leaving
        ]

    def count_region(self):
        """Count the hosts of the region; only a majority lowers the count."""
        now = self.clock.seconds()
        others = self.other_hosts()
        known = 1 + len(others)
        heard = 1 + sum(self.members.is_up(member, now) for member in others)
        if known > self.region_hosts or 2 * heard > self.region_hosts:
            self.region_hosts = known

    def compute_share(self, now):
        """Compute the current share."""
        own = self.members.own
        others = self.other_hosts()
        first, *rest = self.members.placers(now)
        if first is own:
            shares = [
                self.share_as_first_host(member, now) for member in others
            ]
            own_share = 1.0
        else:
            silent = not first.heartbeat_within(
                FIRST_HOST_SILENCE_SECONDS, now
            )
            share = SECOND_HOST_SHARE + (FIRST_HOST_SHARE if silent else 0.0)
            shares = [
                share * is_recent(self.fallback_at, member, now)
                for member in others
            ]
            own_share = SECOND_HOST_SHARE if rest[0] is own else LOCAL_SHARE
        return (own_share + sum(shares)) / (1 + len(others))

    def share_as_first_host(self, member, now):
        """Return the share of a host for which this one places first."""
        if (
            member.subscription is not Subscription.ROSTERS
            or not member.is_reporting(now)
        ):
            return 0.0
        has_recent_fallback = is_recent(self.recent_fallback_at, member, now)
        return FIRST_HOST_SHARE if has_recent_fallback else 1.0


def is_recent(times, member, now):
    """Return whether the time recorded for a host is recent."""
    at = times.get(member.name, NOTHING)
    return at is not NOTHING and now - at < RECENT_FALLBACK_SECONDS


class WorkspaceLimiter:
    """Enforce workspace limits and transfer unused tokens between regions.

    Args:
        limits: The `TokenLimits`.
        keeper: The `ConfigurationKeeper`.
        members: The `Members`.
        datagrams: The `DatagramEndpoint`.
        boot_clock: Callable that returns the seconds of a clock that also
            advances while the host is suspended.
        clock: The clock of the reactor, which times the heartbeats of
            hosts.
        rng: Random number generator.
        placement_share: The `PlacementShare`.
        remote_hosts: Called for the hosts of other regions to ask for tokens.
    """

    def __init__(
        self,
        limits,
        keeper,
        members,
        datagrams,
        boot_clock,
        clock,
        rng,
        placement_share,
        remote_hosts,
    ):
        self.limits = limits
        self.keeper = keeper
        self.members = members
        self.datagrams = datagrams
        self.boot_clock = boot_clock
        self.clock = clock
        self.rng = rng
        self.placement_share = placement_share
        self.remote_hosts = remote_hosts
        self.version = 0
        self.names_by_id = {}

    def limit_of(self, name):
        """Return the `TokenLimit` of a workspace, or `NOTHING`."""
        if not self.keeper.current:
            return NOTHING
        workspace = self.keeper.current.workspaces.get(name)
        return NOTHING if workspace is None else workspace.limit

    def decide(self, ask, decide):
        """Return a `RateLimited`, or the result of *decide*.

        Args:
            ask: The `PlacementQuery`.
            decide: Called to make the decision if the limit allows the
                request.
        """
        limit = self.limit_of(ask.workspace) if ask.cost else NOTHING
        if limit is NOTHING:
            return decide()
        key = (ask.host, ask.number)
        shortage = self.limits.try_take(
            ask.workspace, limit, ask.cost, self.boot_clock(), key
        )
        if shortage is not NOTHING:
            return self.limited_decision(shortage)
        decision = decide()
        if not isinstance(decision, Placed | PlacedRemotely):
            self.limits.refund(key)
        return decision

    def limited_decision(self, shortage):
        """Return the `RateLimited` decision for a `Shortage`."""
        spread = 1.0 + RETRY_AFTER_JITTER * self.rng.random()
        seconds = shortage.seconds * spread
        return RateLimited(
            min(
                MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds)
            ),
            self.members.own.name,
            shortage.units,
            int(shortage.level),
            int(shortage.demand),
        )

    def record_attempt_end(self, host, number, result):
        """Refund the tokens of a request that has not run."""
        if result in NOT_RUN:
            self.limits.refund((host, number))
        else:
            self.limits.discard_charge((host, number))

    def tick(self):
        """Request missing tokens from other regions if this host places."""
        if not self.keeper.current or not self.keeper.current.workspaces:
            return
        now = self.boot_clock()
        self.limits.refill_all(self.limit_of, now)
        if not self.is_first():
            return
        rows = []
        for workspace in self.keeper.current.workspaces.values():
            if workspace.limit is not NOTHING:
                wanted = self.limits.tokens_to_request(
                    workspace.name, workspace.limit, now
                )
                if wanted:
                    rows.append((short_id(workspace.name), wanted))
        if not rows:
            return
        request = TokenTransferRequest(
            self.members.own.name, int(now * 1000), rows
        )
        self.datagrams.send_all(request, self.transfer_sources())

    def is_first(self):
        """Return whether this host is the first placing host of its region."""
        placers = self.members.placers(self.clock.seconds())
        return placers[0] is self.members.own

    def transfer_sources(self):
        """Return the host to ask for tokens in each other region."""
        found = {}
        for member in self.remote_hosts():
            found.setdefault(member.region, member)
        return list(found.values())

    def workspace_names(self):
        """Return the names of the workspaces by short identifier."""
        current = self.keeper.current
        if current and current.version != self.version:
            self.version = current.version
            self.names_by_id = {
                short_id(name): name for name in current.workspaces
            }
        return self.names_by_id

    def handle_transfer_request(self, message):
        """Transfer tokens that this region can spare, if this host places."""
        member = self.members.others.get(message.host)
        if member is None or not self.is_first():
            return
        now = self.boot_clock()
        rows = []
        for identifier, wanted in message.rows:
            name = self.workspace_names().get(identifier, "")
            limit = self.limit_of(name)
            if limit is NOTHING:
                continue
            tokens = self.limits.transfer_out(
                name, limit, member.name, wanted, now
            )
            if tokens:
                rows.append((identifier, tokens))
        if rows:
            own = self.members.own.name
            answer = TokenTransfer(own, message.stamp, rows)
            self.datagrams.send(answer, member.control)

    def handle_transfer(self, message):
        """Add the tokens that another region has transferred."""
        now = self.boot_clock()
        for identifier, tokens in message.rows:
            name = self.workspace_names().get(identifier, "")
            limit = self.limit_of(name)
            if limit is not NOTHING:
                self.limits.transfer_in(
                    name,
                    limit,
                    message.host,
                    tokens,
                    message.stamp / 1000,
                    now,
                )
