"""Servers that a host leaves alone for a while, as they asked for it."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["RetryAfterPause", "RetryAfterPauses"]

MAX_PAUSE_SECONDS = 60.0
"""Seconds of rest that are believed; one request a minute shows whether a
server that asked for more takes work again."""

RAMP_STEP_SECONDS = 0.25
RAMP_SECONDS = 1.0
"""After a rest a host sends one request, and twice as many with each step,
for so many seconds. All that had waited would come at once else."""

SPREAD_SECONDS = 0.5
"""Seconds over which callers are spread who come back after a rest."""


@dataclass(slots=True, eq=False, kw_only=True)
class RetryAfterPause:
    """A rest of one server.

    Attributes:
        server_id: The server.
        start: Name of its start.
        until: Time of its end.
        asked_at: Time at which the server asked for it.
        request: Request that it turned away then.
        sent: Requests sent to it since the end.
    """

    server_id: str
    instance_id: str
    until: float
    requested_at: float
    request: str
    sent: int = 0

    def is_blocked(self, now):
        """Whether the host is to send nothing now."""
        since = now - self.until
        if since < 0:
            return True
        return self.sent >= 2 ** int(since / RAMP_STEP_SECONDS)

    def describe(self, now):
        """Return who asked for it and when, for a log line."""
        return (
            f"{self.server_id} rests for {max(0.0, self.until - now):.1f} s, "
            f"asked {now - self.requested_at:.1f} s ago as it turned "
            f"{self.request} away"
        )

    def is_over(self, now):
        """Whether the server gets all work again."""
        return now - self.until >= RAMP_SECONDS


class RetryAfterPauses:
    """The rests that servers asked this host for.

    A server asks only the host that it answers; others may go on.

    Args:
        registry: The `Registry`.
        rng: Random number generator.
    """

    def __init__(self, registry, rng):
        self.registry = registry
        self.rng = rng
        self.pauses = {}

    def record(self, server_id, request, seconds, now):
        """Note that a server asked for rest.

        Returns:
            Whether it was not at rest before.
        """
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        active = self.pause_of(server_id, now)
        if active is not NOTHING and now < active.until:
            active.until = max(active.until, until)
            return False
        self.pauses[server_id] = RetryAfterPause(
            server_id=server_id,
            instance_id=self.registry.current_instance(server_id),
            until=until,
            requested_at=now,
            request=request,
        )
        return True

    def pause_of(self, server_id, now):
        """Return the `RetryAfterPause` of a server, or `NOTHING`."""
        pause = self.pauses.get(server_id, NOTHING)
        if pause is NOTHING:
            return NOTHING
        if pause.is_over(now) or not self.registry.is_current_instance(
            server_id, pause.instance_id
        ):
            del self.pauses[server_id]
            return NOTHING
        return pause

    def is_blocked(self, server_id, now):
        """Whether this host is to send a server nothing now."""
        pause = self.pause_of(server_id, now)
        return pause is not NOTHING and pause.is_blocked(now)

    def blocked(self, now):
        """Return the servers to which this host is to send nothing now."""
        return [one for one in list(self.pauses) if self.is_blocked(one, now)]

    def count_blocked(self, now):
        """Return how many servers this host leaves alone."""
        return len(self.blocked(now))

    def record_sent(self, server_id, now):
        """Count a request that is sent to a server after its rest."""
        pause = self.pause_of(server_id, now)
        if pause is not NOTHING:
            pause.sent += 1

    def first_to_end(self, server_ids, now):
        """Return the `RetryAfterPause` that ends first, or `NOTHING`.

        Args:
            server_ids: The servers that could be used but for their rests.
            now: The time.

        Returns:
            `NOTHING` unless all of them are closed.
        """
        pauses = [self.pause_of(one, now) for one in server_ids]
        if not pauses or NOTHING in pauses:
            return NOTHING
        if not all(pause.is_blocked(now) for pause in pauses):
            return NOTHING
        return min(pauses, key=lambda pause: pause.until)

    def retry_delay(self, pause, now):
        """Return the seconds after which a refused caller may come back."""
        spread = SPREAD_SECONDS * self.rng.random()
        return max(0.0, pause.until - now) + spread
