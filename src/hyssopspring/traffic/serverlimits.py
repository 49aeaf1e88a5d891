"""Request rate limits that servers announce, enforced across a region.

An overloaded server states in its responses how many requests a second it
accepts. The placing host of the region enforces the limit with a token bucket
for each such server. While several hosts place at the same time, because the
region is partitioned or its placing host is lost, each uses the part of the
limit that corresponds to the hosts that rely on it.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING

__all__ = ["UNLIMITED", "LimitNotice", "ServerLimits"]

UNLIMITED = math.inf
"""Limit of a server that no longer announces one."""

MIN_LIMIT = 0.1
"""Requests a second that a server gets even if it announces less: only a
response can show that it accepts more again."""

LIMIT_HOLD_SECONDS = 1.0
"""Seconds for which the lowest of several limits applies. Responses, and the
messages on them between hosts, may arrive out of order."""

BURST_SECONDS = 0.5
"""Seconds of a limit that may be sent at once, in addition to one request. The
rest of what servers tolerate covers hosts that start to place."""

SHARE_FACTOR = 1.25
SHARE_EXTRA_RATE = 0.5
"""Factor on a host's share of a limit, and requests a second for a whole
region on top of it. Servers tolerate more in total; without this allowance,
half of a limit would stay unused after the loss of a host."""

MIN_RATE = 0.001
"""Requests a second below which a wait is not extended any further."""

MIN_REFILL_BURST = 0.25
"""Burst below which an idle bucket is not refilled: otherwise each of many
hosts would hold one request ready."""

IDLE_SECONDS = 2.0
"""Seconds since the last read after which a bucket counts as idle."""

UNKNOWN_SERVER_RETENTION_SECONDS = 5.0
"""Seconds for which the limit of a server that was never listed is kept; the
notice may arrive before the entry."""

ENDED_LIMIT_RETENTION_SECONDS = 10.0
"""Seconds for which the end of a limit is remembered, so that a host that
missed it does not restore the limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitNotice:
    """The limit that a server announced in a response.

    Attributes:
        server_id: The server.
        instance_id: Identifier of the server instance.
        limit: Requests a second, or `UNLIMITED`.
        at: Time at which the response was received.
        host: Host that received it.
        request: Request to which it was the response.
    """

    server_id: str
    instance_id: str
    limit: float
    at: float
    host: str = ""
    request: str = ""


@dataclass(frozen=True, slots=True)
class RetryAdvice:
    """When a refused caller should retry.

    Attributes:
        seconds: Seconds from now.
        server_id: The server that accepts a request first.
    """

    seconds: float
    server_id: str


@dataclass(slots=True, eq=False)
class Bucket:
    """Token bucket of the requests that may be sent to one server.

    Attributes:
        level: Number of requests, with a fraction.
        at: Time at which *level* was computed.
        last_read_at: Time of the last read.
    """

    level: float
    at: float
    last_read_at: float


@dataclass(slots=True, eq=False)
class ServerLimit:
    """The limit of one server.

    Attributes:
        newest: The newest `LimitNotice`.
        bucket: The `Bucket`.
        recent: Time and limit of each recent notice that changed the limit.
    """

    newest: LimitNotice
    bucket: Bucket
    recent: deque = field(default_factory=deque)

    def add(self, notice):
        """Add the limit of a notice to the recent ones."""
        if self.recent and self.recent[-1][1] == notice.limit:
            at, _ = self.recent.pop()
            self.recent.append((max(at, notice.at), notice.limit))
        else:
            self.recent.append((notice.at, notice.limit))

    def limit(self, now):
        """Return the requests a second that may be sent."""
        while self.recent and now - self.recent[0][0] > LIMIT_HOLD_SECONDS:
            self.recent.popleft()
        lowest = min((limit for _, limit in self.recent), default=UNLIMITED)
        return max(MIN_LIMIT, min(lowest, self.newest.limit))


class ServerLimits:
    """Enforce the announced limits, and compute retry times for refusals.

    Args:
        weight: Called for the share of the region's hosts that rely on this
            host for placement, from 0 to 1.
        rng: Random number generator.
    """

    def __init__(self, weight, rng):
        self.weight = weight
        self.rng = rng
        self.by_server = {}
        self.next_retry_at = {}
        self.digest = 0

    def apply_notice(self, notice, now):
        """Apply a `LimitNotice`.

        Returns:
            Whether the server's limit has changed.
        """
        state = self.by_server.get(notice.server_id)
        if (
            state is not None
            and state.newest.instance_id != notice.instance_id
        ):
            state = None
        if state is None:
            return notice.limit < UNLIMITED and self.add_limit(notice, now)
        state.add(notice)
        if notice.at < state.newest.at:
            return False
        before = state.newest.limit
        if before == UNLIMITED and notice.limit < UNLIMITED:
            state.bucket = self.new_bucket(now)
        state.newest = notice
        self.update_digest()
        return notice.limit != before

    def add_limit(self, notice, now):
        """Add the first limit of a server instance; return True."""
        state = ServerLimit(notice, self.new_bucket(now))
        state.add(notice)
        self.by_server[notice.server_id] = state
        self.update_digest()
        return True

    def new_bucket(self, now):
        """Return a `Bucket` that holds less than one request.

        The level is random, so that many hosts that start to place at the same
        moment do not send their first requests together.
        """
        return Bucket(self.rng.random(), now, now)

    def update_digest(self):
        """Recompute the digest of all limits that apply."""
        known = sorted(
            f"{state.newest.instance_id} {state.newest.limit}"
            for state in self.by_server.values()
            if state.newest.limit < UNLIMITED
        )
        self.digest = hash_text("\n".join(known)) if known else 0

    def notices(self):
        """Return the newest `LimitNotice` of each server."""
        return [state.newest for state in self.by_server.values()]

    def forget(self, server_id):
        """Drop the limit of a server."""
        if self.by_server.pop(server_id, None) is not None:
            self.update_digest()

    def forget_former(self, server_id, registry):
        """Drop the limit of a former instance of a listed server.

        The limit of a server that is not listed stays: its entry may lapse
        and come back.
        """
        state = self.by_server.get(server_id)
        if (
            state is not None
            and server_id in registry.servers
            and not registry.is_current_instance(
                server_id, state.newest.instance_id
            )
        ):
            self.forget(server_id)

    def forget_gone(self, registry, now):
        """Drop the limits of server instances that are gone.

        Args:
            registry: The `Registry`.
            now: The time.
        """
        for server_id, state in list(self.by_server.items()):
            self.forget_former(server_id, registry)
            if (
                server_id not in registry.servers
                and server_id not in registry.removed_at
                and now - state.newest.at > UNKNOWN_SERVER_RETENTION_SECONDS
            ):
                self.forget(server_id)

    def expire(self, now):
        """Drop limits that ended a while ago."""
        expired = [
            server_id
            for server_id, state in self.by_server.items()
            if state.newest.limit == UNLIMITED
            and now - state.newest.at > ENDED_LIMIT_RETENTION_SECONDS
        ]
        for server_id in expired:
            del self.by_server[server_id]

    def limit_of(self, server_id, now):
        """Return the limit of a server in requests a second, or `NOTHING`."""
        state = self.by_server.get(server_id)
        if state is None:
            return NOTHING
        limit = state.limit(now)
        return limit if limit < UNLIMITED else NOTHING

    def count_limited(self, now):
        """Return the number of servers that have a limit."""
        return sum(
            self.limit_of(one, now) is not NOTHING for one in self.by_server
        )

    def can_send(self, server_id, now):
        """Whether a request may be sent to a server now."""
        limit = self.limit_of(server_id, now)
        return limit is NOTHING or self.refill(server_id, limit, now) >= 1.0

    def consume(self, server_id, now):
        """Count a request that is sent to a server."""
        limit = self.limit_of(server_id, now)
        if limit is not NOTHING:
            self.refill(server_id, limit, now)
            self.by_server[server_id].bucket.level -= 1.0

    def refund(self, server_id):
        """Return the token of a request that was counted but not sent."""
        state = self.by_server.get(server_id)
        if state is not None:
            state.bucket.level += 1.0

    def refill(self, server_id, limit, now):
        """Refill the bucket for the elapsed time; return its level."""
        bucket = self.by_server[server_id].bucket
        weight = self.weight()
        burst = weight * (1.0 + limit * BURST_SECONDS)
        if (
            burst < MIN_REFILL_BURST
            and now - bucket.last_read_at > IDLE_SECONDS
        ):
            bucket.level = min(bucket.level, self.rng.random())
        else:
            seconds = max(0.0, now - bucket.at)
            level = bucket.level + seconds * local_rate(limit, weight)
            bucket.level = min(level, max(1.0, burst))
        bucket.at = bucket.last_read_at = now
        return bucket.level

    def available(self, server_id, now):
        """Return the requests that may be sent at once, or `NOTHING`."""
        limit = self.limit_of(server_id, now)
        if limit is NOTHING:
            return NOTHING
        return max(0, int(self.refill(server_id, limit, now)))

    def seconds_until_free(self, server_id, now):
        """Return the seconds until a request may be sent to a server."""
        limit = self.limit_of(server_id, now)
        if limit is NOTHING:
            return 0.0
        missing = 1.0 - self.refill(server_id, limit, now)
        rate = local_rate(limit, self.weight())
        return max(0.0, missing) / max(rate, MIN_RATE)

    def advise_retry(self, service, server_ids, now, max_seconds):
        """Return the `RetryAdvice` for a refused caller.

        Callers that are refused one after the other get successive retry
        times, at the rate that the servers accept.

        Args:
            service: The requested service.
            server_ids: Its servers that are at their limits.
            now: The time.
            max_seconds: Longest advised time, in seconds.
        """
        waits = {one: self.seconds_until_free(one, now) for one in server_ids}
        first = min(waits, key=waits.get)
        weight = self.weight()
        rate = sum(
            local_rate(self.by_server[one].limit(now), weight)
            for one in server_ids
        )
        after = self.next_retry_at.get(service, now) + 1.0 / max(
            rate, MIN_RATE
        )
        at = min(now + max_seconds, max(now + waits[first], after))
        self.next_retry_at[service] = at
        return RetryAdvice(at - now, first)

    def describe(self, server_id, now):
        """Return text on the source of a server's limit, for a log line.

        Returns:
            The text, or an empty string if the server has no limit.
        """
        if self.limit_of(server_id, now) is NOTHING:
            return ""
        newest = self.by_server[server_id].newest
        return (
            f"{server_id} accepts {newest.limit:g} requests/s, announced "
            f"{now - newest.at:.1f} s ago to {newest.host} in the response to "
            f"{newest.request}"
        )


def local_rate(limit, weight):
    """Return the requests a second that this host may send.

    Args:
        limit: Requests a second that the server accepts.
        weight: Share of the region's hosts that rely on this host.
    """
    return min(limit, weight * (limit * SHARE_FACTOR + SHARE_EXTRA_RATE))
