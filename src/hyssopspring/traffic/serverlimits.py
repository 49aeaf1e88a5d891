"""Limits that servers name, kept by all hosts of a region together.

A server in need says in its answers how many requests a second it takes.
Who places for the region lets so many through, by a bucket for each such
server. Hosts that place beside each other, as the region is cut or the
placing host is lost, use the part of the limit that belongs to the hosts
that count on them.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING

__all__ = ["UNLIMITED", "LimitNotice", "ServerLimits"]

UNLIMITED = math.inf
"""Limit of a server that names none any more."""

MIN_LIMIT = 0.1
"""Requests a second that a server gets although it names less: only an
answer can tell that it takes more again."""

LIMIT_HOLD_SECONDS = 1.0
"""Seconds for which the lowest of several limits holds. Answers overtake
each other on their way, and on the way between hosts."""

BURST_SECONDS = 0.5
"""Seconds of a limit that may be let through at once, besides one request.
The rest of what servers tolerate covers hosts that begin to place."""

SHARE_FACTOR = 1.25
SHARE_EXTRA_RATE = 0.5
"""What a host that counts for a part of the region may use of that part, and
requests a second for a whole region besides. Servers tolerate more in all;
without it, half of a limit would lie idle after the loss of a host."""

MIN_RATE = 0.001
"""Requests a second below which times are not told any longer."""

MIN_REFILL_BURST = 0.25
"""Burst below which a bucket is not filled while nobody asks: each of many
hosts would hold one request ready."""

IDLE_SECONDS = 2.0
"""Seconds without a question after which that is so."""

UNKNOWN_SERVER_RETENTION_SECONDS = 5.0
"""Seconds for which the limit of a server is kept without its entry; word
of the server may come before it."""

ENDED_LIMIT_RETENTION_SECONDS = 10.0
"""Seconds for which the end of a limit is remembered, so that a host that
missed it does not bring the limit back."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitNotice:
    """What an answer of a server said of its limit.

    Attributes:
        server_id: The server.
        start: Name of its start.
        limit: Requests a second, or `UNLIMITED`.
        at: Time at which it was heard.
        host: Host that heard it.
        request: Request to which it was the answer.
    """

    server_id: str
    instance_id: str
    limit: float
    at: float
    host: str = ""
    request: str = ""


@dataclass(frozen=True, slots=True)
class RetryAdvice:
    """When a refused caller may come back.

    Attributes:
        seconds: Seconds from now.
        server_id: The server that takes a request first.
    """

    seconds: float
    server_id: str


@dataclass(slots=True, eq=False)
class Bucket:
    """Requests that may go to one server now.

    Attributes:
        level: Their number, with a fraction.
        at: Time for which *level* holds.
        asked_at: Time of the last question.
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
        recent: Time and limit of each notice of late that named another
            limit than the one before it.
    """

    newest: LimitNotice
    bucket: Bucket
    recent: deque = field(default_factory=deque)

    def add(self, notice):
        """Remember what a notice names for a while."""
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
    """Let through what servers take, and say when there is more.

    Args:
        weight: Called for the part of the region's hosts that count on
            this one to place, from 0 to 1.
        rng: Random number generator.
    """

    def __init__(self, weight, rng):
        self.weight = weight
        self.rng = rng
        self.by_server = {}
        self.next_retry_at = {}
        self.digest = 0

    def apply_notice(self, notice, now):
        """Take a `LimitNotice`.

        Returns:
            Whether the server names another limit than was known.
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
        """Keep a limit that was not known; return True."""
        state = ServerLimit(notice, self.new_bucket(now))
        state.add(notice)
        self.by_server[notice.server_id] = state
        self.update_digest()
        return True

    def new_bucket(self, now):
        """Return a `Bucket` that holds less than one request.

        How much is drawn, so that many hosts that begin to place at the
        same moment do not all send their first request together.
        """
        return Bucket(self.rng.random(), now, now)

    def update_digest(self):
        """Note anew what sums up all limits that are named."""
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
        """Drop what a server named that is gone or has started anew."""
        if self.by_server.pop(server_id, None) is not None:
            self.update_digest()

    def forget_unknown(self, known, now):
        """Drop limits of servers that are gone.

        Args:
            known: Identifiers of the servers that are known.
            now: The time.
        """
        for server_id, state in list(self.by_server.items()):
            if (
                server_id not in known
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
        """Return how many servers have a limit."""
        return sum(
            self.limit_of(one, now) is not NOTHING for one in self.by_server
        )

    def can_send(self, server_id, now):
        """Whether a server can be sent a request now."""
        limit = self.limit_of(server_id, now)
        return limit is NOTHING or self.refill(server_id, limit, now) >= 1.0

    def consume(self, server_id, now):
        """Count a request that is sent to a server."""
        limit = self.limit_of(server_id, now)
        if limit is not NOTHING:
            self.refill(server_id, limit, now)
            self.by_server[server_id].bucket.level -= 1.0

    def refund(self, server_id):
        """Take back one that was counted and not sent."""
        state = self.by_server.get(server_id)
        if state is not None:
            state.bucket.level += 1.0

    def refill(self, server_id, limit, now):
        """Add what the time has brought; return the level of the bucket."""
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
        """Return the requests that a server takes at once, or `NOTHING`."""
        limit = self.limit_of(server_id, now)
        if limit is NOTHING:
            return NOTHING
        return max(0, int(self.refill(server_id, limit, now)))

    def seconds_until_free(self, server_id, now):
        """Return the seconds until a server can be sent a request."""
        limit = self.limit_of(server_id, now)
        if limit is NOTHING:
            return 0.0
        missing = 1.0 - self.refill(server_id, limit, now)
        rate = local_rate(limit, self.weight())
        return max(0.0, missing) / max(rate, MIN_RATE)

    def advise_retry(self, service, server_ids, now, max_seconds):
        """Return the `RetryAdvice` to a caller who is refused.

        Callers who are refused one after the other are given one time
        after the other, as the servers take no more.

        Args:
            service: The service that they need.
            server_ids: Its servers that a limit holds back.
            now: The time.
            max_seconds: Longest time to tell, in seconds.
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
        """Return what named the limit of a server, for a log line.

        Returns:
            Text, or "" if it has none.
        """
        if self.limit_of(server_id, now) is NOTHING:
            return ""
        newest = self.by_server[server_id].newest
        return (
            f"{server_id} takes {newest.limit:g} a second, said "
            f"{now - newest.at:.1f} s ago to {newest.host} in the answer to "
            f"{newest.request}"
        )


def local_rate(limit, weight):
    """Return the requests a second that a host may let through.

    Args:
        limit: Requests a second that the server takes.
        weight: Part of the region's hosts that count on this one.
    """
    return min(limit, weight * (limit * SHARE_FACTOR + SHARE_EXTRA_RATE))
